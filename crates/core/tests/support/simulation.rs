//! The event queue of the simulation, and the checks after each event.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use lycheedoor_core::failover::FailoverEvent;
use lycheedoor_core::membership::Fence;
use lycheedoor_core::membership::GroupState;
use lycheedoor_core::membership::MembershipEvent;
use lycheedoor_core::membership::MembershipSettings;
use lycheedoor_core::membership::Roster;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberCommand;

use super::Fault;
use super::Platform;
use super::Random;
use super::SimEvent;
use super::SimVm;
use super::members::Entry;
use super::members::FakeMember;
use super::members::group_config;
use super::members::group_id;
use super::members::member_id;
use super::members::new_members;

pub(crate) const fn ms(millis: u64) -> u64 {
    millis * 1_000
}

#[derive(Clone, Debug)]
pub(super) enum Step {
    Timer(usize),
    Start(usize),
    Deliver(usize, SimEvent),
    Read {
        vm: usize,
        call: u64,
        known: u64,
    },
    Put {
        vm: usize,
        call: u64,
        expected: u64,
        fence: Arc<Fence>,
    },
    Command {
        vm: usize,
        member: usize,
        command: MemberCommand,
        sent_at: MonoTime,
    },
    Write {
        vm: usize,
        member: usize,
        term: Term,
        write: u64,
        sent_at: MonoTime,
    },
    Replicate {
        from: usize,
        to: usize,
        term: Term,
        log: Arc<Vec<Entry>>,
        write: Option<(usize, u64)>,
    },
    SendWrite,
    Fault(Fault),
}

impl Step {
    fn vm(&self) -> Option<usize> {
        match self {
            Self::Timer(vm) | Self::Start(vm) | Self::Deliver(vm, _) => Some(*vm),
            Self::Read { vm, .. } | Self::Put { vm, .. } => Some(*vm),
            Self::Command { vm, .. } | Self::Write { vm, .. } => Some(*vm),
            _ => None,
        }
    }
}

/// The behaviour of the links between VMs, members and the platform.
pub(crate) struct Links {
    pub(crate) loss_per_mille: u64,
    pub(crate) duplicates_per_mille: u64,
    pub(crate) delay_us: (u64, u64),
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    pub(crate) platform_cuts: BTreeSet<usize>,
}

pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) random: Random,
    pub(crate) settings: MembershipSettings,
    pub(crate) vms: Vec<SimVm>,
    /// The fake members; without them the failover role is idle.
    pub(crate) members: Vec<FakeMember>,
    pub(crate) links: Links,
    pub(crate) platform: Platform,
    /// Whether a VM completes a promotion as soon as its intent is settled, without commands to
    /// members.
    pub(crate) auto_promote: bool,
    pub(super) drift_ppm: u64,
    queue: BTreeMap<(u64, u64), (u64, Step)>,
    sequence: u64,
    pub(crate) promotions: u64,
    /// Whether to check after each event that no two VMs use the same slot.
    pub(crate) check_slots: bool,
    pub(crate) violations: Vec<String>,
    /// Writes that were acknowledged to a caller.
    pub(crate) acknowledged: BTreeSet<u64>,
    /// The times at which the writes were acknowledged.
    pub(crate) acknowledged_at: Vec<u64>,
    /// The members that the configuration has taken out of service.
    pub(crate) unavailable: BTreeSet<usize>,
    pub(crate) last_write: u64,
    pub(crate) writes_every_us: Option<u64>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, vms: usize, drift_ppm: u64) -> Self {
        let mut random = Random::new(seed);
        let settings = MembershipSettings::default();
        let vms: Vec<_> = (0..vms)
            .map(|index| SimVm::new(index, 1, drift_ppm, &settings, &mut random))
            .collect();
        let mut simulation = Self {
            now: 0,
            random,
            settings,
            vms,
            members: Vec::new(),
            links: Links {
                loss_per_mille: 0,
                duplicates_per_mille: 0,
                delay_us: (300, 1_500),
                cuts: BTreeSet::new(),
                platform_cuts: BTreeSet::new(),
            },
            platform: Platform::default(),
            auto_promote: false,
            drift_ppm,
            queue: BTreeMap::new(),
            sequence: 0,
            promotions: 0,
            check_slots: false,
            violations: Vec::new(),
            acknowledged: BTreeSet::new(),
            acknowledged_at: Vec::new(),
            unavailable: BTreeSet::new(),
            last_write: 0,
            writes_every_us: None,
        };
        for index in 0..simulation.vms.len() {
            let at = simulation.random.between(0, ms(20));
            simulation.schedule(at, Step::Start(index));
        }
        simulation
    }

    /// Adds the group `g` to the platform's fence, with term 1 and its first member as primary.
    pub(crate) fn create_group(&mut self) {
        let mut fence = Fence::clone(&self.platform.fence);
        let state = GroupState {
            term: Term(1),
            primary: member_id(0),
        };
        fence.groups.insert(group_id(), state);
        fence.version += 1;
        self.platform.fence = Arc::new(fence);
    }

    /// Adds all VMs to the roster in the platform's fence, so that a run need not wait for them to
    /// join.
    pub(crate) fn create_roster(&mut self) {
        let mut fence = Fence::clone(&self.platform.fence);
        let members = self.vms.iter().map(|vm| vm.me.clone()).collect();
        fence.roster = Roster {
            slot_count: 8,
            members,
            ..Roster::default()
        };
        fence.version += 1;
        self.platform.fence = Arc::new(fence);
    }

    /// Starts the members of the group `g` and enables failover for it.
    pub(crate) fn start_members(&mut self, count: usize) {
        self.members = new_members(count);
        for vm in 0..self.vms.len() {
            self.send_groups(vm);
        }
    }

    /// Starts periodic writes, each from a random VM to the primary that it knows.
    pub(crate) fn start_writes(&mut self, every_us: u64) {
        self.writes_every_us = Some(every_us);
        self.schedule(self.now + every_us, Step::SendWrite);
    }

    pub(super) fn send_groups(&mut self, vm: usize) {
        let groups = group_config(self.members.len());
        let event = SimEvent::Failover(FailoverEvent::GroupsChanged { groups });
        let at = self.now.max(self.vms[vm].paused_until);
        self.schedule(at, Step::Deliver(vm, event));
        self.send_unavailable_members(vm, at);
    }

    pub(super) fn send_unavailable_members(&mut self, vm: usize, at: u64) {
        let members = self.unavailable.iter();
        let members = members.map(|member| (member_id(*member), Reason::DataCentreOut));
        let unavailable = BTreeMap::from([(group_id(), members.collect())]);
        let event = FailoverEvent::AvailabilityChanged { unavailable };
        self.schedule(at, Step::Deliver(vm, SimEvent::Failover(event)));
    }

    pub(crate) fn schedule_fault(&mut self, at: u64, fault: Fault) {
        self.schedule(at, Step::Fault(fault));
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), (incarnation, step)) = entry.remove_entry();
            self.now = at;
            // What an incarnation of a VM sent still takes effect, but answers to it do not reach a
            // later incarnation.
            self.run_step(incarnation, step);
        }
        self.now = end;
    }

    /// Ends all faults of links and of the platform.
    pub(crate) fn heal(&mut self) {
        self.links.loss_per_mille = 0;
        self.links.cuts.clear();
        self.links.platform_cuts.clear();
        self.platform.down = false;
        self.platform.lost_answers_per_mille = 0;
        self.platform.slow_calls_per_mille = 0;
    }

    pub(crate) fn may_act(&self, vm: usize) -> bool {
        let vm = &self.vms[vm];
        vm.up && vm.membership.may_act(vm.clock(self.now))
    }

    pub(crate) fn may_answer(&self, vm: usize, term: u64) -> bool {
        let vm = &self.vms[vm];
        let now = vm.clock(self.now);
        vm.up && vm.membership.may_answer(now, &group_id(), Term(term))
    }

    pub(crate) fn acting_vm_count(&self) -> usize {
        (0..self.vms.len()).filter(|vm| self.may_act(*vm)).count()
    }

    pub(super) fn schedule(&mut self, at: u64, step: Step) {
        let incarnation = step.vm().map_or(0, |vm| self.vms[vm].incarnation);
        self.schedule_for(at, incarnation, step);
    }

    /// Schedules a step for an incarnation of a VM, which may have been replaced since.
    pub(super) fn schedule_for(&mut self, at: u64, incarnation: u64, step: Step) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (incarnation, step));
    }

    fn run_step(&mut self, incarnation: u64, step: Step) {
        match step {
            Step::Timer(vm) => {
                if self.vms[vm].timer_at == Some(self.now) {
                    self.vms[vm].timer_at = None;
                    self.deliver(vm, incarnation, SimEvent::DeadlineReached);
                }
            }
            Step::Start(vm) => self.deliver(vm, incarnation, SimEvent::DeadlineReached),
            Step::Deliver(vm, event) => self.deliver(vm, incarnation, event),
            Step::Read { vm, call, known } => {
                let answer = self.platform.read(known);
                self.answer_from_platform(vm, incarnation, call, answer);
            }
            Step::Put {
                vm,
                call,
                expected,
                fence,
            } => {
                let before = self.platform.fence.groups.get(&group_id()).cloned();
                let answer = self.platform.put(expected, &fence, &mut self.random);
                if before.is_some()
                    && before.as_ref() != self.platform.fence.groups.get(&group_id())
                {
                    self.promotions += 1;
                    (0..self.vms.len()).for_each(|vm| self.check_ended_terms(vm));
                }
                self.answer_from_platform(vm, incarnation, call, answer);
            }
            Step::SendWrite => self.send_random_write(),
            Step::Fault(fault) => self.apply_fault(fault),
            step => self.run_member_step(incarnation, step),
        }
    }

    fn deliver(&mut self, index: usize, incarnation: u64, event: SimEvent) {
        let vm = &mut self.vms[index];
        if !vm.up || vm.incarnation != incarnation {
            return;
        }
        if vm.paused_until > self.now {
            let at = vm.paused_until;
            if matches!(event, SimEvent::DeadlineReached) {
                vm.timer_at = Some(at);
                self.schedule(at, Step::Timer(index));
            } else {
                self.schedule(at, Step::Deliver(index, event));
            }
            return;
        }
        if let SimEvent::WriteConfirmed { term, write } = event {
            self.acknowledge_write(index, term, write);
        }
        let vm = &mut self.vms[index];
        let now = vm.clock(self.now);
        let (mut membership, mut failover) = (Vec::new(), Vec::new());
        vm.handle(now, event, &mut membership, &mut failover);
        for action in membership {
            self.run_membership_action(index, action);
        }
        for action in failover {
            self.run_failover_action(index, action);
        }
        self.check_ended_terms(index);
        if self.check_slots {
            self.check_slots();
        }
        self.set_timer(index);
    }

    fn set_timer(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let Some(deadline) = vm.next_deadline() else {
            return;
        };
        // Real timers have a limited resolution. The minimum delay also prevents an endless loop on
        // a deadline in the past.
        let at = vm.time_of_reading(deadline).max(self.now + 100);
        if vm.timer_at.is_none_or(|set| at < set || set <= self.now) {
            vm.timer_at = Some(at);
            self.schedule(at, Step::Timer(index));
        }
    }

    /// Checks the safety of leases: once a term has ended on the platform, no VM may deliver an
    /// answer in it. A paused VM is checked as if it resumed now.
    fn check_ended_terms(&mut self, index: usize) {
        let Some(state) = self.platform.fence.groups.get(&group_id()) else {
            return;
        };
        let vm = &self.vms[index];
        let now = vm.clock(self.now);
        let ended = (state.term.0.saturating_sub(2)..state.term.0).map(Term);
        for term in ended {
            if vm.up && vm.membership.may_answer(now, &group_id(), term) {
                let text = format!(
                    "{} us: VM {index} may answer in ended term {term}",
                    self.now
                );
                self.violations.push(text);
            }
        }
    }

    /// Checks that no two VMs use the same slot. A paused VM is checked as if it resumed now.
    fn check_slots(&mut self) {
        let mut users = BTreeMap::new();
        for index in 0..self.vms.len() {
            if !self.may_act(index) {
                continue;
            }
            for held in self.vms[index].membership.slots() {
                if let Some(other) = users.insert(held.slot, index) {
                    let slot = held.slot;
                    let text = format!("{} us: VMs {other} and {index} use slot {slot}", self.now);
                    self.violations.push(text);
                }
            }
        }
    }
}
