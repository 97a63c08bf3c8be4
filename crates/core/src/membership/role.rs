//! The membership state machine of one VM.

use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::membership::Fence;
use crate::membership::FenceAnswer;
use crate::membership::FenceChange;
use crate::membership::LeaseSource;
use crate::membership::LossCause;
use crate::membership::MembershipAction;
use crate::membership::MembershipEvent;
use crate::membership::MembershipSettings;
use crate::membership::Roster;
use crate::membership::RosterMember;
use crate::membership::RosterMemberKey;
use crate::membership::SlotAssignment;
use crate::membership::lease::LeaseEvidence;
use crate::membership::peers::Peers;
use crate::membership::platform::FenceCalls;
use crate::membership::settlement::SettlementTracker;
use crate::types::GroupId;
use crate::types::MonoTime;
use crate::types::Term;

/// Decides whether this VM may act, keeps its copy of the fence up to date and maintains the
/// roster.
///
/// Performs no I/O: the caller reports events to `handle` and carries out the actions that it
/// returns.
#[derive(Debug)]
pub struct Membership {
    pub(super) own_member: RosterMember,
    pub(super) key: RosterMemberKey,
    pub(super) settings: MembershipSettings,
    pub(super) rng: ChaCha8Rng,
    /// The newest fence that this VM has received; its version never decreases.
    pub(super) fence: Option<Arc<Fence>>,
    /// The members of the newest roster, lowest rank as a relay first.
    pub(super) ranked_members: Vec<RosterMember>,
    pub(super) fence_adopted_at: MonoTime,
    /// Whether this VM wrote the newest fence.
    pub(super) wrote_fence: bool,
    pub(super) evidence: LeaseEvidence,
    pub(super) peers: Peers,
    pub(super) calls: FenceCalls,
    pub(super) settlements: SettlementTracker,
    /// Changes that other roles requested, with the time of the last request for each.
    pub(super) requested_changes: Vec<(FenceChange, MonoTime)>,
    /// Slots that this VM is moving to another member and must not use, with the version that the
    /// update replaces.
    pub(super) transferring_slots: Vec<(u16, u64)>,
    pub(super) leaving: bool,
    left_reported: bool,
    /// Whether the last reported change of the lease was that it was gained.
    lease_held: bool,
    pub(super) last_evidence_request_at: Option<MonoTime>,
    pub(super) last_full_evidence_request_at: Option<MonoTime>,
    pub(super) last_fence_resend_at: Option<MonoTime>,
    pub(super) last_silence_query_at: Option<MonoTime>,
}

impl Membership {
    /// Creates the role of a VM that has not joined the roster. The slots of `own_member` are
    /// ignored.
    pub fn new(own_member: RosterMember, settings: MembershipSettings, seed: u64) -> Self {
        let own_member = RosterMember {
            slots: Vec::new(),
            ..own_member
        };
        Self {
            key: own_member.key(),
            own_member,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fence: None,
            ranked_members: Vec::new(),
            fence_adopted_at: MonoTime::ZERO,
            wrote_fence: false,
            evidence: LeaseEvidence::default(),
            peers: Peers::default(),
            calls: FenceCalls::default(),
            settlements: SettlementTracker::default(),
            requested_changes: Vec::new(),
            transferring_slots: Vec::new(),
            leaving: false,
            left_reported: false,
            lease_held: false,
            last_evidence_request_at: None,
            last_full_evidence_request_at: None,
            last_fence_resend_at: None,
            last_silence_query_at: None,
        }
    }

    /// Returns whether this VM may act on the fence that it holds.
    pub fn may_act(&self, now: MonoTime) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Returns whether an answer of the group's primary in this term may be acknowledged now.
    ///
    /// `now` must be the clock reading at which the caller of this method passes the answer on.
    pub fn may_answer(&self, now: MonoTime, group: &GroupId, term: Term) -> bool {
        let may_acknowledge = |fence: &Arc<Fence>| fence.may_acknowledge(group, term);
        self.may_act(now) && self.fence.as_ref().is_some_and(may_acknowledge)
    }

    /// Returns the end of the lease, or `None` if this VM is not a member or is leaving.
    pub fn lease_until(&self) -> Option<MonoTime> {
        let (at, _) = self.evidence.newest()?;
        (self.is_member() && !self.leaving).then(|| at + self.settings.lease_duration)
    }

    /// Returns whether this VM has recent evidence from the platform, received directly or relayed
    /// by other VMs.
    pub fn platform_serves(&self, now: MonoTime) -> bool {
        !self.platform_silent(now)
    }

    /// Returns the slots that this VM may use while `may_act` holds.
    pub fn slots(&self) -> Vec<SlotAssignment> {
        let own = self.roster().and_then(|roster| roster.member(&self.key));
        let is_transferring = |slot: u16| {
            self.transferring_slots
                .iter()
                .any(|(held, _)| *held == slot)
        };
        let slots = own.into_iter().flat_map(|member| &member.slots);
        slots
            .filter(|held| !is_transferring(held.slot))
            .copied()
            .collect()
    }

    /// Returns the newest roster that this VM has received.
    pub fn roster(&self) -> Option<&Roster> {
        self.fence.as_ref().map(|fence| &fence.roster)
    }

    /// Returns the newest fence that this VM has received.
    pub fn fence(&self) -> Option<&Arc<Fence>> {
        self.fence.as_ref()
    }

    /// Returns the name and incarnation of this VM.
    pub fn key(&self) -> &RosterMemberKey {
        &self.key
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: MembershipEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        // Reports a lease that expired while the VM was paused before the event can renew it.
        self.report_lease(now, actions);
        match event {
            MembershipEvent::DeadlineReached => {}
            MembershipEvent::PlatformAnswered { call, answer } => {
                self.platform_answered(now, call, answer, actions);
            }
            MembershipEvent::PeerReceived {
                from,
                address,
                message,
            } => self.peer_received(now, &from, address, message, actions),
            MembershipEvent::ChangeRequested { change } => self.queue_change(now, change),
            MembershipEvent::MemberEnded { member } => {
                self.queue_change(now, FenceChange::ReportEnded { member });
            }
            MembershipEvent::LeaveRequested => self.leaving = true,
        }
        self.advance(now, actions);
    }

    /// Returns when `MembershipEvent::DeadlineReached` must be reported next.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let lease_end = self.lease_until().filter(|_| self.lease_held);
        let lease_wait = self.settings.lease_wait();
        [
            lease_end,
            self.next_evidence_request(),
            self.next_read(),
            self.next_fence_resend(),
            self.next_silence_query(),
            self.settlements.next_deadline(lease_wait),
            self.calls.put_deadline(self.settings.platform_timeout),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    pub(super) fn is_member(&self) -> bool {
        let roster = self.roster();
        roster.is_some_and(|roster| roster.member(&self.key).is_some())
    }

    pub(super) fn version(&self) -> u64 {
        self.fence.as_ref().map_or(0, |fence| fence.version)
    }

    fn advance(&mut self, now: MonoTime, actions: &mut Vec<MembershipAction>) {
        self.calls.expire_put(now, self.settings.platform_timeout);
        self.report_lease(now, actions);
        self.advance_settlements(now, actions);
        self.renew(now, actions);
        self.resend_fence(now, actions);
        self.query_silent_members(now, actions);
        self.write_changes(now, actions);
        self.report_left(actions);
    }

    fn queue_change(&mut self, now: MonoTime, change: FenceChange) {
        self.requested_changes.retain(|(held, _)| *held != change);
        self.requested_changes.push((change, now));
    }

    fn report_lease(&mut self, now: MonoTime, actions: &mut Vec<MembershipAction>) {
        let may_act = self.may_act(now);
        if may_act == self.lease_held {
            return;
        }
        self.lease_held = may_act;
        if !may_act {
            let cause = match (self.leaving, self.is_member()) {
                (true, _) => LossCause::Leaving,
                (false, false) => LossCause::Removed,
                (false, true) => LossCause::RanOut,
            };
            actions.push(MembershipAction::LeaseLost { cause });
        } else if let (Some(until), Some((_, source))) =
            (self.lease_until(), self.evidence.newest())
        {
            actions.push(MembershipAction::LeaseGained { until, source });
        }
    }

    fn report_left(&mut self, actions: &mut Vec<MembershipAction>) {
        let update_outcome_known = self.calls.may_put();
        if self.leaving && !self.left_reported && !self.is_member() && update_outcome_known {
            self.left_reported = true;
            actions.push(MembershipAction::Left);
        }
    }

    fn platform_answered(
        &mut self,
        now: MonoTime,
        call: u64,
        answer: FenceAnswer,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(sent_at) = self.calls.take_read(call) {
            match answer {
                FenceAnswer::Object(fence) => {
                    let version = fence.version;
                    self.calls.read_answered();
                    self.adopt(now, fence, actions);
                    self.confirm(sent_at, version);
                }
                FenceAnswer::Unchanged { version } => {
                    self.calls.read_answered();
                    self.confirm(sent_at, version);
                }
                _ => {}
            }
        } else if let Some(put) = self.calls.take_put(call) {
            match answer {
                FenceAnswer::Updated { version } => {
                    let mut fence = Arc::unwrap_or_clone(put.fence);
                    fence.version = version;
                    self.adopt_own_update(now, Arc::new(fence), actions);
                    self.confirm(put.sent_at, version);
                }
                FenceAnswer::Conflict { .. } => self.calls.require_read(),
                _ => self.calls.record_unknown_outcome(put.fence.nonce),
            }
        }
    }

    /// Records that `version` was the newest on the platform at `at` or later.
    fn confirm(&mut self, at: MonoTime, version: u64) {
        if self.fence.is_some() && version == self.version() {
            self.evidence.confirm_platform(at);
        }
    }

    fn adopt_own_update(
        &mut self,
        now: MonoTime,
        fence: Arc<Fence>,
        actions: &mut Vec<MembershipAction>,
    ) {
        if fence.version > self.version() {
            self.adopt(now, fence, actions);
            self.wrote_fence = true;
            self.push_fence(actions);
        }
    }

    pub(super) fn adopt(
        &mut self,
        now: MonoTime,
        fence: Arc<Fence>,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.fence.is_some() && fence.version <= self.version() {
            return;
        }
        let roster_changed = self.roster() != Some(&fence.roster);
        self.wrote_fence = self.calls.recognise_own_update(&fence);
        self.fence_adopted_at = now;
        self.fence = Some(Arc::clone(&fence));
        self.rank_members();
        self.settlements.track(&fence);
        self.transferring_slots
            .retain(|(_, version)| *version >= fence.version);
        self.peers.retain_members(&fence.roster);
        if roster_changed {
            let fence = Arc::clone(&fence);
            actions.push(MembershipAction::RosterChanged { fence });
        }
        actions.push(MembershipAction::FenceChanged { fence });
    }

    pub(super) fn platform_silent(&self, now: MonoTime) -> bool {
        let after = self.settings.platform_silent_after;
        self.evidence.platform_silent(now, after)
    }

    pub(super) fn newest_evidence(&self) -> Option<(MonoTime, LeaseSource)> {
        self.evidence.newest()
    }
}
