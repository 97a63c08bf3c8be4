//! The driver of the simulated VMs: starts and exits, clocks, timers, events and actions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::vm::PeerMessage;
use lycheedoor_core::vm::Vm;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_core::vm::VmSettings;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::database::Answer;
use crate::simulation::Event;
use crate::simulation::Simulation;
use crate::topology::*;

const MILLION: u64 = 1_000_000;

/// The time to live of a permit at its coordinator (design page, section 13).
const PERMIT_TTL_US: u64 = 1_200_000;

/// Identifies one start of a VM; events for an earlier start of the same VM are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Start {
    pub(crate) vm: usize,
    pub(crate) incarnation: u64,
}

pub(crate) struct VmSlot {
    pub(crate) vm: Option<Vm>,
    pub(crate) incarnation: u64,
    pub(crate) paused_until: u64,
    pub(crate) paused_at: u64,
    pub(crate) up_since: u64,
    pub(crate) stopping: bool,
    timer_at: Option<u64>,
    clock_offset: u64,
    clock_ppm: u64,
    /// State of the driver: callers by connection, complete answers, and open platform calls.
    pub(crate) callers: BTreeMap<u64, usize>,
    pub(crate) answers: BTreeMap<u64, Answer>,
    pub(crate) open_calls: BTreeSet<u64>,
    last_version: u64,
}

impl VmSlot {
    pub(crate) fn new(vm: usize, rng: &mut ChaCha8Rng) -> Self {
        Self {
            vm: None,
            incarnation: vm as u64 * 1_000,
            paused_until: 0,
            paused_at: 0,
            up_since: 0,
            stopping: false,
            timer_at: None,
            clock_offset: rng.random_range(1..100 * MILLION),
            clock_ppm: MILLION - MAX_CLOCK_DRIFT_PPM
                + rng.random_range(0..=2 * MAX_CLOCK_DRIFT_PPM),
            callers: BTreeMap::new(),
            answers: BTreeMap::new(),
            open_calls: BTreeSet::new(),
            last_version: 0,
        }
    }

    pub(crate) fn clock(&self, now: u64) -> MonoTime {
        MonoTime::from_micros(self.clock_offset + now * self.clock_ppm / MILLION)
    }

    fn virtual_time_of(&self, at: MonoTime) -> u64 {
        let elapsed = at.as_micros().saturating_sub(self.clock_offset);
        elapsed.saturating_mul(MILLION) / self.clock_ppm + 1
    }

    /// Returns whether the VM has been paused for longer than the time to live of its permits at
    /// their coordinators.
    pub(crate) fn is_paused_past_permit_ttl(&self, now: u64) -> bool {
        self.is_paused(now) && now > self.paused_at + PERMIT_TTL_US
    }

    pub(crate) fn is_paused(&self, now: u64) -> bool {
        now < self.paused_until
    }
}

impl Simulation {
    pub(crate) fn start_of(&self, vm: usize) -> Start {
        let incarnation = self.vms[vm].incarnation;
        Start { vm, incarnation }
    }

    pub(crate) fn is_alive(&self, start: Start) -> bool {
        let slot = &self.vms[start.vm];
        slot.vm.is_some() && slot.incarnation == start.incarnation
    }

    pub(crate) fn start_vm(&mut self, vm: usize) {
        if self.vms[vm].vm.is_some() {
            return;
        }
        let seed = self.rng.random();
        let slot = &mut self.vms[vm];
        slot.incarnation += 1;
        let incarnation = Incarnation(slot.incarnation);
        let data_centre = data_centre_id(vm % DATA_CENTRE_COUNT);
        let settings = VmSettings::new(vm_id(vm), incarnation, data_centre, vm_address(vm), seed);
        slot.vm = Some(Vm::new(settings));
        slot.up_since = self.now;
        slot.stopping = false;
        slot.timer_at = None;
        slot.paused_until = 0;
        slot.last_version = 0;
        slot.callers.clear();
        slot.answers.clear();
        slot.open_calls.clear();
        let start = self.start_of(vm);
        self.record_trace(|| format!("START {start:?}"));
        self.handle_vm_event(start, VmEvent::DeadlineReached);
    }

    /// Ends a VM immediately, without notice to peers or callers.
    pub(crate) fn kill_vm(&mut self, vm: usize) {
        let start = self.start_of(vm);
        if self.vms[vm].vm.take().is_none() {
            return;
        }
        self.record_trace(|| format!("KILL {start:?}"));
        self.vms[vm].paused_until = 0;
        self.reset_connections_of(start);
        let callers: Vec<usize> = self.vms[vm].callers.values().copied().collect();
        self.vms[vm].callers.clear();
        for caller in callers {
            self.caller_connection_lost(caller, start);
        }
    }

    pub(crate) fn timer(&mut self, start: Start) {
        let slot = &mut self.vms[start.vm];
        if slot.incarnation == start.incarnation && slot.timer_at.is_some_and(|at| at <= self.now) {
            slot.timer_at = None;
            self.handle_vm_event(start, VmEvent::DeadlineReached);
        }
    }

    /// Passes an event to a VM and carries out the resulting actions.
    pub(crate) fn handle_vm_event(&mut self, start: Start, event: VmEvent) {
        if !self.is_alive(start) || !self.driver_accepts(start, &event) {
            return;
        }
        if self.vms[start.vm].is_paused(self.now) {
            let until = self.vms[start.vm].paused_until;
            return self.at(until, Event::ToVm(start, event));
        }
        if !matches!(
            event,
            VmEvent::PeerReceived { .. } | VmEvent::DeadlineReached
        ) {
            self.record_trace(|| format!("{start:?} <- {}", truncated_debug(&event)));
        }
        let now = self.now;
        let slot = &mut self.vms[start.vm];
        let clock = slot.clock(now);
        let mut actions = Vec::new();
        if let Some(vm) = &mut slot.vm {
            vm.handle(clock, event, &mut actions);
        }
        self.counts.add("vm events", 1);
        for action in actions {
            self.carry_out(start, action);
        }
        self.check_config_version_order(start.vm);
        self.set_timer(start);
    }

    fn set_timer(&mut self, start: Start) {
        if !self.is_alive(start) {
            return;
        }
        let slot = &mut self.vms[start.vm];
        let Some(deadline) = slot.vm.as_ref().and_then(Vm::next_deadline) else {
            return;
        };
        // The timer resolution of 100 us also prevents a deadline in the past from stopping virtual
        // time.
        let at = slot.virtual_time_of(deadline).max(self.now + 100);
        if slot.timer_at.is_none_or(|set| at < set) {
            slot.timer_at = Some(at);
            self.at(at, Event::Timer(start));
        }
    }

    fn check_config_version_order(&mut self, vm: usize) {
        let slot = &mut self.vms[vm];
        let Some(version) = slot.vm.as_ref().map(|vm| vm.config_watcher().version()) else {
            return;
        };
        let seen = std::mem::replace(&mut slot.last_version, version);
        if version < seen {
            let text = format!("configuration of vm {vm} went from {seen} back to {version}");
            self.oracle.record_violation(self.now, 14, text);
        }
    }

    pub(crate) fn carry_out(&mut self, start: Start, action: VmAction) {
        if !matches!(action, VmAction::SendPeer { .. }) {
            self.record_trace(|| format!("{start:?} -> {}", truncated_debug(&action)));
        }
        match action {
            VmAction::AcceptCaller { caller } => self.accept_caller(start, caller.0),
            VmAction::CloseCaller { caller, reason } => {
                self.close_caller(start, caller.0, reason);
            }
            VmAction::OpenConnection {
                connection, member, ..
            } => self.open_connection(start, connection, &member),
            VmAction::CloseConnection { connection, .. } => {
                self.close_connection(start, connection);
            }
            VmAction::SendStatement {
                connection,
                request,
                workspace,
                idempotency_key,
            } => self.send_statement(start, connection, request, &workspace, idempotency_key),
            VmAction::DeliverAnswer {
                caller,
                request,
                session_token,
            } => self.deliver_answer(start, caller.0, request.0, session_token),
            VmAction::RefuseRequest {
                caller,
                request,
                reason,
                outcome,
                session_token,
            } => self.refuse_request(start, caller.0, request.0, (reason, outcome), session_token),
            VmAction::CommandMember {
                member, command, ..
            } => self.command_member(start, &member, command),
            VmAction::CallPlatform { call, request } => self.call_platform(start, call, request),
            VmAction::SendPeer { to, message, .. } => {
                self.send_peer(start, index_from_name(to.as_str()), message);
            }
            VmAction::Exit => self.exit(start),
        }
    }

    fn send_peer(&mut self, from: Start, to: usize, message: PeerMessage) {
        if self.links.carries(self.now, from.vm, to, &mut self.rng) {
            let message = Box::new(message);
            let delay = self.delay();
            self.after(delay, Event::PeerMessageArrives { from, to, message });
        }
    }

    pub(crate) fn receive_peer_message(&mut self, from: Start, to: usize, message: PeerMessage) {
        let event = VmEvent::PeerReceived {
            from: vm_id(from.vm),
            incarnation: Incarnation(from.incarnation),
            message,
        };
        self.handle_vm_event(self.start_of(to), event);
    }

    /// Ends a VM after a planned stop, and checks invariant 13: no caller was interrupted.
    fn exit(&mut self, start: Start) {
        self.counts.add("planned stops completed", 1);
        let callers: Vec<usize> = self.vms[start.vm].callers.values().copied().collect();
        for caller in callers {
            if self.is_busy(caller, start) {
                let text = format!("{start:?} exits while caller {caller} is busy");
                self.oracle.record_violation(self.now, 13, text);
            }
        }
        self.kill_vm(start.vm);
    }
}

/// Returns the `Debug` form of a value, truncated so that stored objects do not fill the trace.
fn truncated_debug(value: &impl std::fmt::Debug) -> String {
    let mut text = format!("{value:?}");
    if let Some((end, _)) = text.char_indices().nth(260) {
        text.truncate(end);
    }
    text
}
