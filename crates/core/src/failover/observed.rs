//! The observed state of one group.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::failover::planned::PlannedMoveState;
use crate::membership::IntentPhase;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Nonce;
use crate::types::Term;
use crate::types::VmId;
use crate::vm::MemberRole;
use crate::vm::MemberState;

/// The observed state of one member of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedMember {
    /// When the newest request that the member answered was sent.
    pub(crate) answered_request_at: Option<MonoTime>,
    /// When the newest state was requested, and the state.
    pub(crate) state: Option<(MonoTime, MemberState)>,
    pub(crate) last_probe_at: Option<MonoTime>,
    /// When the first two probes since the newest answered request were sent.
    pub(crate) unanswered_probes: SmallVec<[MonoTime; 2]>,
    pub(crate) last_command_at: Option<MonoTime>,
}

impl ObservedMember {
    /// Records an answer to a request that was sent at `sent_at`. An answer that arrives after
    /// the answer to a later request changes nothing.
    pub(crate) fn record_answer(&mut self, sent_at: MonoTime, state: Option<MemberState>) {
        self.answered_request_at = self.answered_request_at.max(Some(sent_at));
        self.unanswered_probes.retain(|probe| *probe > sent_at);
        if let Some(state) = state {
            let newest = self.state.as_ref().is_none_or(|(at, _)| *at <= sent_at);
            // The term of a member never goes back, so that an answer with an older term is stale.
            let known_term = self.state.as_ref().map_or(Term(0), |(_, state)| state.term);
            if newest && state.term >= known_term {
                self.state = Some((sent_at, state));
            }
        }
    }

    pub(crate) fn record_probe(&mut self, now: MonoTime) {
        self.last_probe_at = Some(now);
        if self.unanswered_probes.len() < 2 {
            self.unanswered_probes.push(now);
        }
    }

    /// Returns the state if the member knows this term or a later one, and so refuses older terms.
    pub(crate) fn fenced_for(&self, term: Term) -> Option<&MemberState> {
        let state = self.state.as_ref().map(|(_, state)| state);
        state.filter(|state| state.term >= term)
    }

    /// Returns whether the member reports itself as primary of this term.
    pub(crate) fn is_primary_of(&self, term: Term) -> bool {
        let state = self.state.as_ref().map(|(_, state)| state);
        state.is_some_and(|state| state.role == MemberRole::Primary && state.term == term)
    }
}

/// What another VM reported about the primary.
#[derive(Clone, Debug)]
pub(crate) struct PeerReport {
    pub(crate) received_at: MonoTime,
    pub(crate) suspects: bool,
    /// When the newest request that the sender got an answer to was sent, on this VM's clock. The
    /// delay of the report makes it too late rather than too early.
    pub(crate) newest_answer: Option<MonoTime>,
    /// When the sender sent the second probe that was left unanswered, with the same error.
    pub(crate) unanswered_since: Option<MonoTime>,
}

/// The open intent of a group, and when this VM saw it.
#[derive(Clone, Debug)]
pub(crate) struct ObservedIntent {
    pub(crate) nonce: Nonce,
    pub(crate) from_term: Term,
    pub(crate) promoter: VmId,
    pub(crate) phase: IntentPhase,
    pub(crate) seen_at: MonoTime,
    pub(crate) phase_seen_at: MonoTime,
}

/// The observed state of one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedGroup {
    pub(crate) members: BTreeMap<MemberId, ObservedMember>,
    /// The observers of the group, lowest rank first.
    pub(crate) observers: Vec<VmId>,
    pub(crate) primary: Option<(Term, MemberId)>,
    /// When observation of the primary began, or was last restarted.
    pub(crate) observed_since: MonoTime,
    pub(crate) suspected: bool,
    /// Until when this VM, which is not an observer, probes the primary as well.
    pub(crate) assists_until: Option<MonoTime>,
    pub(crate) reports: BTreeMap<VmId, PeerReport>,
    pub(crate) intent: Option<ObservedIntent>,
    /// Since when a majority of the observers agrees that the primary is silent.
    pub(crate) majority_since: Option<MonoTime>,
    pub(crate) last_report_at: Option<MonoTime>,
    pub(crate) last_request_at: Option<MonoTime>,
    /// The term whose promotion this VM requested; it then promotes the member without delay.
    pub(crate) requested_term: Option<Term>,
    /// When this VM last did the work of an observer; sets the next deadline while there is some.
    pub(crate) last_tick_at: Option<MonoTime>,
    /// Since when a member has known a later term and refused the current one.
    pub(crate) member_ahead_since: Option<MonoTime>,
    pub(crate) planned_move: PlannedMoveState,
}

impl ObservedGroup {
    /// Restarts the observation of the primary.
    pub(crate) fn restart_observation(&mut self, now: MonoTime) {
        self.observed_since = now;
        self.suspected = false;
        self.reports.clear();
        self.majority_since = None;
        self.member_ahead_since = None;
        for member in self.members.values_mut() {
            member.unanswered_probes.clear();
        }
    }

    /// Returns when the newest request of this VM that the primary answered was sent.
    pub(crate) fn own_newest_answer(&self) -> Option<MonoTime> {
        let (_, primary) = self.primary.as_ref()?;
        self.members.get(primary)?.answered_request_at
    }

    /// Returns when the newest request that the primary is known to have answered was sent, by this
    /// VM or another one.
    pub(crate) fn newest_answer(&self) -> Option<MonoTime> {
        let reported = self
            .reports
            .values()
            .filter_map(|report| report.newest_answer);
        reported.max().max(self.own_newest_answer())
    }

    /// Returns when this VM sent the second probe that the primary has left unanswered.
    pub(crate) fn own_unanswered_since(&self) -> Option<MonoTime> {
        let (_, primary) = self.primary.as_ref()?;
        self.members.get(primary)?.unanswered_probes.get(1).copied()
    }

    /// Returns the time since the primary's newest answer to this VM, or since observation began.
    pub(crate) fn own_silence(&self, now: MonoTime) -> Duration {
        let newest = self.own_newest_answer().max(Some(self.observed_since));
        newest.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Returns the time since the primary's newest known answer to any VM, or since observation
    /// began.
    pub(crate) fn overall_silence(&self, now: MonoTime) -> Duration {
        let newest = self.newest_answer().max(Some(self.observed_since));
        newest.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Returns the rank of a VM among the observers.
    pub(crate) fn observer_index(&self, vm: &VmId) -> Option<usize> {
        self.observers.iter().position(|observer| observer == vm)
    }
}
