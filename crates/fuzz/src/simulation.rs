//! The simulation: a queue of timed events that connects VMs, platform, members and callers.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::MemberState;
use lycheedoor_core::vm::PeerMessage;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_core::vm::VmEvent;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::callers::Caller;
use crate::calls::Command;
use crate::case::Case;
use crate::counts::Counts;
use crate::database::Answer;
use crate::database::LogEntry;
use crate::database::Member;
use crate::faults::OperatorTask;
use crate::links::Links;
use crate::oracle::Oracle;
use crate::platform::Platform;
use crate::statements::Statement;
use crate::targets::Connection;
use crate::targets::ConnectionKey;
use crate::topology::*;
use crate::vms::Start;
use crate::vms::VmSlot;

/// The maximum number of trace lines that are kept.
const TRACE_LINES: usize = 4_000;
/// The interval of the periodic checks.
const CHECK_INTERVAL_US: u64 = 50_000;
/// The virtual time before the first operation, in which the VMs join the roster.
const WARM_UP_US: u64 = 2_000_000;

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    StartVm(usize),
    Timer(Start),
    ToVm(Start, VmEvent),
    PeerMessageArrives {
        from: Start,
        to: usize,
        message: Box<PeerMessage>,
    },
    PlatformServes {
        start: Start,
        call: u64,
        request: PlatformRequest,
    },
    PlatformTimeout {
        start: Start,
        call: u64,
    },
    WatchExpires {
        start: Start,
        call: u64,
    },
    Connect(ConnectionKey),
    ConnectionLost(ConnectionKey),
    ConnectionCloseArrives(ConnectionKey),
    StatementArrives(ConnectionKey, u64),
    StatementRuns(ConnectionKey, u64),
    AnswerArrives(ConnectionKey, u64, Box<Answer>),
    CommandArrives(u64),
    CommandAnswered(u64, Option<MemberState>),
    CommandTimeout(u64),
    Replicate {
        to: usize,
        term: Term,
        log: Arc<Vec<LogEntry>>,
    },
    MembersTick,
    CallerStep {
        caller: usize,
        step_id: u64,
    },
    CallerTimeout {
        caller: usize,
        step_id: u64,
    },
    OperatorReads(OperatorTask),
    OperatorWrites {
        task: OperatorTask,
        version: u64,
        value: Vec<u8>,
    },
    PeriodicChecks,
}

/// What a run prints besides its result.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Whether to keep the last events as text and print them to standard error if the run fails.
    pub trace: bool,
}

/// Several VMs with the simulated platform, members, links and callers, in virtual time.
pub struct Simulation {
    pub(crate) now: u64,
    pub(crate) rng: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    pub(crate) links: Links,
    pub(crate) platform: Platform,
    pub(crate) vms: Vec<VmSlot>,
    pub(crate) members: Vec<Member>,
    pub(crate) callers: Vec<Caller>,
    pub(crate) statements: Vec<Statement>,
    pub(crate) connections: BTreeMap<ConnectionKey, Connection>,
    /// The connection on which each transaction began.
    pub(crate) transaction_connections: BTreeMap<u64, ConnectionKey>,
    pub(crate) commands: Vec<Command>,
    /// Indexes of the `AwaitReceived` commands that are not answered yet.
    pub(crate) pending_waits: Vec<u64>,
    pub(crate) last_caller_id: u64,
    pub(crate) last_operation: u64,
    /// The generation of the newest key of each workspace.
    pub(crate) generations: [u64; WORKSPACE_COUNT],
    pub(crate) flood_until: [u64; WORKSPACE_COUNT],
    /// The VMs that are up according to the list that callers use. The list is not updated before
    /// `vm_list_stale_until`.
    pub(crate) listed_vms: [bool; VM_COUNT],
    pub(crate) vm_list_stale_until: u64,
    /// Whether all faults have been ended; `traffic_stopped` says whether ordinary callers and
    /// flooders have stopped.
    pub(crate) healed: bool,
    pub(crate) traffic_stopped: bool,
    /// The time of the last periodic check that found an active fault.
    pub(crate) fault_free_since: u64,
    pub(crate) oracle: Oracle,
    pub(crate) counts: Counts,
    options: Options,
    trace: VecDeque<String>,
}

impl Simulation {
    /// Creates the VMs, members and callers, and schedules the first events without running them.
    pub fn new(seed: u64, options: Options) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = (0..VM_COUNT).map(|vm| VmSlot::new(vm, &mut rng)).collect();
        let member = |member: usize| match member % MEMBERS_PER_GROUP {
            0 => Member::new(MemberRole::Primary),
            _ => Member::new(MemberRole::Replica),
        };
        let mut simulation = Self {
            now: 0,
            rng,
            queue: BTreeMap::new(),
            sequence: 0,
            links: Links::default(),
            platform: Platform::default(),
            vms,
            members: (0..MEMBER_COUNT).map(member).collect(),
            callers: crate::callers::new_callers(),
            statements: Vec::new(),
            connections: BTreeMap::new(),
            transaction_connections: BTreeMap::new(),
            commands: Vec::new(),
            pending_waits: Vec::new(),
            last_caller_id: 0,
            last_operation: 0,
            generations: [0; WORKSPACE_COUNT],
            flood_until: [0; WORKSPACE_COUNT],
            listed_vms: [true; VM_COUNT],
            vm_list_stale_until: 0,
            healed: false,
            traffic_stopped: false,
            fault_free_since: 0,
            oracle: Oracle::default(),
            counts: Counts::default(),
            options,
            trace: VecDeque::new(),
        };
        simulation.start();
        simulation
    }

    fn start(&mut self) {
        let value = serde_json::to_vec(&initial_config()).unwrap_or_default();
        self.store(lycheedoor_core::config::CONFIG_OBJECT, 0, value);
        for vm in 0..VM_COUNT {
            self.after(1_000 * vm as u64, Event::StartVm(vm));
        }
        self.after(1_000, Event::MembersTick);
        self.after(CHECK_INTERVAL_US, Event::PeriodicChecks);
        for caller in 0..self.callers.len() {
            self.schedule_step(caller, WARM_UP_US / 2);
        }
    }

    /// Runs a case: the warm-up, the operations, and the recovery.
    ///
    /// # Errors
    ///
    /// Returns the first violation of an invariant.
    pub fn run(case: &Case, options: Options) -> Result<Counts, String> {
        let mut simulation = Self::new(case.seed, options);
        let result = simulation.run_case(case);
        if result.is_err() && options.trace {
            simulation.trace.iter().for_each(|line| eprintln!("{line}"));
        }
        result.map(|()| simulation.counts)
    }

    fn run_case(&mut self, case: &Case) -> Result<(), String> {
        self.run_for(WARM_UP_US)?;
        for step in &case.steps {
            self.record_trace(|| format!("OPERATION {:?}", step.operation));
            self.counts.add("steps", 1);
            self.apply_operation(&step.operation);
            self.run_for(step.then_ms * 1_000)?;
        }
        self.recover()
    }

    /// Runs the events of the next `span_us` microseconds of virtual time.
    ///
    /// # Errors
    ///
    /// Returns the first violation of an invariant.
    pub(crate) fn run_for(&mut self, span_us: u64) -> Result<(), String> {
        let end = self.now + span_us;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle_event(event);
            self.oracle.verdict()?;
        }
        self.now = end;
        self.oracle.verdict()
    }

    pub(crate) fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now + delay_us, event);
    }

    pub(crate) fn at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    pub(crate) fn delay(&mut self) -> u64 {
        crate::links::delay(&mut self.rng)
    }

    pub(crate) fn random(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(crate) fn record_trace(&mut self, text: impl FnOnce() -> String) {
        if !self.options.trace {
            return;
        }
        if self.trace.len() >= TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:>10} {}", self.now, text()));
    }

    fn handle_event(&mut self, event: Event) {
        if let Some(until) = self.receiver_paused_until(&event) {
            return self.at(until, event);
        }
        match event {
            Event::StartVm(vm) => self.start_vm(vm),
            Event::Timer(start) => self.timer(start),
            Event::ToVm(start, event) => self.handle_vm_event(start, event),
            Event::PeerMessageArrives { from, to, message } => {
                self.receive_peer_message(from, to, *message)
            }
            Event::PlatformServes {
                start,
                call,
                request,
            } => self.platform_serves(start, call, request),
            Event::PlatformTimeout { start, call } => self.platform_timeout(start, call),
            Event::WatchExpires { start, call } => self.watch_expires(start, call),
            Event::Connect(key) => self.connect_to_member(key),
            Event::ConnectionLost(key) => self.connection_lost(key),
            Event::ConnectionCloseArrives(key) => self.connection_close_arrives(key),
            Event::StatementArrives(key, request) => self.statement_arrives(key, request),
            Event::StatementRuns(key, request) => self.statement_runs(key, request),
            Event::AnswerArrives(key, request, answer) => {
                self.answer_arrives(key, request, *answer);
            }
            Event::CommandArrives(command) => self.command_arrives(command),
            Event::CommandAnswered(command, state) => self.command_answered(command, state),
            Event::CommandTimeout(command) => self.command_answered(command, None),
            Event::Replicate { to, term, log } => self.replicate(to, term, &log),
            Event::MembersTick => self.members_tick(),
            Event::CallerStep { caller, step_id } => self.caller_step(caller, step_id),
            Event::CallerTimeout { caller, step_id } => self.caller_timeout(caller, step_id),
            Event::OperatorReads(task) => self.operator_reads(task),
            Event::OperatorWrites {
                task,
                version,
                value,
            } => self.operator_writes(task, version, value),
            Event::PeriodicChecks => {
                self.after(CHECK_INTERVAL_US, Event::PeriodicChecks);
                self.run_periodic_checks();
            }
        }
    }

    /// Returns the end of the pause of the VM that receives an event, if that VM is paused.
    fn receiver_paused_until(&self, event: &Event) -> Option<u64> {
        let vm = match event {
            Event::Timer(start) | Event::ToVm(start, _) => start.vm,
            Event::PlatformTimeout { start, .. } => start.vm,
            Event::ConnectionLost(key) | Event::AnswerArrives(key, ..) => key.start.vm,
            Event::CommandAnswered(command, _) | Event::CommandTimeout(command) => {
                self.commands[*command as usize].start.vm
            }
            Event::PeerMessageArrives { to, .. } => *to,
            _ => return None,
        };
        let until = self.vms[vm].paused_until;
        (until > self.now).then_some(until)
    }
}
