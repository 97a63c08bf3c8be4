//! A simulated VM: its clock, its roles, and the actions that they reported.

use std::collections::BTreeSet;

use lycheedoor_core::failover::Failover;
use lycheedoor_core::failover::FailoverAction;
use lycheedoor_core::failover::FailoverEvent;
use lycheedoor_core::failover::FailoverSettings;
use lycheedoor_core::membership::Membership;
use lycheedoor_core::membership::MembershipAction;
use lycheedoor_core::membership::MembershipEvent;
use lycheedoor_core::membership::MembershipSettings;
use lycheedoor_core::membership::RosterMember;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::VmId;

use super::Random;

const MILLION: u64 = 1_000_000;

/// An event for one of the roles of a VM.
#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    DeadlineReached,
    Membership(MembershipEvent),
    Failover(FailoverEvent),
    /// A replica received a write that this VM sent in a term.
    WriteConfirmed {
        term: Term,
        write: u64,
    },
}

pub(crate) struct SimVm {
    pub(crate) index: usize,
    pub(crate) up: bool,
    pub(crate) incarnation: u64,
    pub(crate) paused_until: u64,
    pub(crate) timer_at: Option<u64>,
    clock_offset: u64,
    clock_ppm: u64,
    pub(crate) me: RosterMember,
    pub(crate) membership: Membership,
    pub(crate) failover: Failover,
    /// Actions of the membership role that the simulation does not carry out, such as changes of
    /// the lease, each with its time.
    pub(crate) membership_log: Vec<(u64, MembershipAction)>,
    pub(crate) failover_log: Vec<(u64, FailoverAction)>,
    /// Whether the failover role has paused the group for a planned move of its primary.
    pub(crate) group_paused: bool,
    /// The members that take no new work, as far as this VM knows.
    pub(crate) unavailable: BTreeSet<MemberId>,
    /// The writes that were sent and are not confirmed yet.
    pub(crate) outstanding: BTreeSet<u64>,
}

pub(crate) fn vm_id(index: usize) -> VmId {
    VmId::from(format!("vm-{index}").as_str())
}

impl SimVm {
    pub(crate) fn new(
        index: usize,
        incarnation: u64,
        drift_ppm: u64,
        settings: &MembershipSettings,
        random: &mut Random,
    ) -> Self {
        let me = RosterMember {
            vm: vm_id(index),
            incarnation: Incarnation(incarnation),
            address: ([10, 0, 0, u8::try_from(index).unwrap()], 7_000).into(),
            data_centre: DataCentreId::from(["dc-a", "dc-b", "dc-c"][index % 3]),
            slots: Vec::new(),
        };
        Self {
            index,
            up: true,
            incarnation,
            paused_until: 0,
            timer_at: None,
            clock_offset: random.between(0, 10 * MILLION),
            clock_ppm: random.between(MILLION - drift_ppm, MILLION + drift_ppm),
            membership: Membership::new(me.clone(), settings.clone(), random.next()),
            me,
            failover: Failover::new(vm_id(index), FailoverSettings::default()),
            membership_log: Vec::new(),
            failover_log: Vec::new(),
            group_paused: false,
            unavailable: BTreeSet::new(),
            outstanding: BTreeSet::new(),
        }
    }

    /// Passes an event to the roles that it concerns, as `lycheedoor_core::vm::Vm` does.
    pub(crate) fn handle(
        &mut self,
        now: MonoTime,
        event: SimEvent,
        membership: &mut Vec<MembershipAction>,
        failover: &mut Vec<FailoverAction>,
    ) {
        let due = |deadline: Option<MonoTime>| deadline.is_some_and(|at| at <= now);
        let serves = self.membership.platform_serves(now);
        let platform = FailoverEvent::PlatformChanged { serves };
        self.failover.handle(now, platform, failover);
        match event {
            SimEvent::DeadlineReached => {
                let timer = FailoverEvent::DeadlineReached;
                if due(self.failover.next_deadline()) {
                    self.failover.handle(now, timer, failover);
                }
                let timer = MembershipEvent::DeadlineReached;
                if due(self.membership.next_deadline()) {
                    self.membership.handle(now, timer, membership);
                }
            }
            SimEvent::Membership(event) => self.membership.handle(now, event, membership),
            SimEvent::Failover(event) => {
                if let FailoverEvent::AvailabilityChanged { unavailable } = &event {
                    let members = unavailable.values().flat_map(|group| group.keys());
                    self.unavailable = members.cloned().collect();
                }
                self.failover.handle(now, event, failover);
            }
            SimEvent::WriteConfirmed { .. } => {}
        }
        self.exchange_actions(now, membership, failover);
    }

    /// Passes the actions of each role to the other until neither has new ones.
    fn exchange_actions(
        &mut self,
        now: MonoTime,
        membership: &mut Vec<MembershipAction>,
        failover: &mut Vec<FailoverAction>,
    ) {
        let (mut seen_membership, mut seen_failover) = (0, 0);
        loop {
            let done = seen_membership == membership.len() && seen_failover == failover.len();
            let paused = self.failover.unquiesced_groups().next().cloned();
            match paused.filter(|_| done && self.outstanding.is_empty()) {
                Some(group) => {
                    let quiesced = FailoverEvent::GroupQuiesced { group };
                    self.failover.handle(now, quiesced, failover);
                }
                None if done => break,
                None => {}
            }
            if let Some(action) = membership.get(seen_membership) {
                seen_membership += 1;
                if let Some(event) = event_for_failover(action) {
                    self.failover.handle(now, event, failover);
                }
            }
            if let Some(action) = failover.get(seen_failover) {
                seen_failover += 1;
                if let FailoverAction::PauseChanged { paused, .. } = action {
                    self.group_paused = *paused;
                }
                if let FailoverAction::RequestChange { change } = action {
                    let change = change.clone();
                    let event = MembershipEvent::ChangeRequested { change };
                    self.membership.handle(now, event, membership);
                }
            }
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let failover = self.failover.next_deadline();
        let deadlines = [self.membership.next_deadline(), failover];
        deadlines.into_iter().flatten().min()
    }

    pub(crate) fn clock(&self, time: u64) -> MonoTime {
        MonoTime::from_micros(self.clock_offset + time * self.clock_ppm / MILLION)
    }

    /// Returns the first time at which the clock shows at least `reading`.
    pub(crate) fn time_of_reading(&self, reading: MonoTime) -> u64 {
        let elapsed = reading.as_micros().saturating_sub(self.clock_offset);
        (elapsed * MILLION).div_ceil(self.clock_ppm)
    }
}

fn event_for_failover(action: &MembershipAction) -> Option<FailoverEvent> {
    match action {
        MembershipAction::FenceChanged { fence } => Some(FailoverEvent::FenceChanged {
            fence: fence.clone(),
        }),
        MembershipAction::IntentSettled {
            group,
            nonce,
            settlement,
        } => Some(FailoverEvent::IntentSettled {
            group: group.clone(),
            nonce: *nonce,
            settlement: settlement.clone(),
        }),
        _ => None,
    }
}
