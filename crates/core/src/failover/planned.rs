//! Planned moves of a healthy primary whose member accepts no new work.
//!
//! The observer that prepares a move requests all VMs to pause the group. It waits until no VM has
//! work in progress on the primary and a replica in service has caught up with it, and only then
//! opens the intent. The pause expires by itself: it shortens the time without a primary for
//! writers, and safety does not depend on it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::failover::Failover;
use crate::failover::FailoverAction;
use crate::failover::FailoverMessage;
use crate::failover::IntentCause;
use crate::failover::observed::ObservedGroup;
use crate::membership::IntentPhase;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::Term;
use crate::types::VmId;
use crate::vm::MemberCommand;

/// An attempt of this VM to move the primary.
#[derive(Clone, Debug)]
pub(crate) struct MoveAttempt {
    round: u64,
    started_at: MonoTime,
    pause_requested_at: MonoTime,
    /// The VMs that answered; `true` for those without work in progress on the primary.
    replies: BTreeMap<VmId, bool>,
    /// When each VM was quiet or no longer waited for. Only positions requested later count.
    quiesced_at: Option<MonoTime>,
    status_sent_at: Option<MonoTime>,
    intent_requested_at: Option<MonoTime>,
}

/// A pause of a group, requested by this VM or another one.
#[derive(Clone, Debug)]
pub(crate) struct GroupPause {
    requested_by: VmId,
    round: u64,
    pub(crate) until: MonoTime,
    /// Whether this VM has no work in progress on the primary.
    pub(crate) quiet: bool,
    /// Whether the fence names the new term, so that only the promotion of its primary is awaited.
    pub(super) awaits_promotion: bool,
}

impl GroupPause {
    pub(super) fn new(requested_by: VmId, round: u64, until: MonoTime) -> Self {
        Self {
            requested_by,
            round,
            until,
            quiet: false,
            awaits_promotion: false,
        }
    }

    pub(super) fn matches(&self, requested_by: &VmId, round: u64) -> bool {
        self.requested_by == *requested_by && self.round == round
    }

    pub(super) fn requested_by(&self) -> &VmId {
        &self.requested_by
    }

    pub(super) fn round(&self) -> u64 {
        self.round
    }
}

/// The state of planned moves of one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlannedMoveState {
    /// The members that accept no new work, with the reason.
    pub(crate) unavailable: BTreeMap<MemberId, Reason>,
    pub(crate) attempt: Option<MoveAttempt>,
    pub(crate) pause: Option<GroupPause>,
    /// Since when the primary has accepted no new work.
    unavailable_since: Option<MonoTime>,
    next_attempt_at: Option<MonoTime>,
    /// The delay after the next attempt that fails; `None` until one has failed.
    pub(super) retry_delay: Option<Duration>,
}

impl PlannedMoveState {
    /// Ends the attempt of the old term. The retry delay is kept if the primary stays the same
    /// member, so that repeated moves that do not change it still back off.
    pub(crate) fn handle_term_change(
        &mut self,
        now: MonoTime,
        same_member: bool,
        promotion_timeout: Duration,
    ) {
        self.attempt = None;
        if !same_member {
            self.reset();
        }
        // The new primary refuses statements until it is promoted.
        if let Some(pause) = &mut self.pause {
            pause.awaits_promotion = true;
            pause.until = pause.until.min(now + promotion_timeout);
        }
    }

    fn reset(&mut self) {
        self.unavailable_since = None;
        self.next_attempt_at = None;
        self.retry_delay = None;
    }

    pub(super) fn end_pause(&mut self, id: &GroupId, actions: &mut Vec<FailoverAction>) {
        if self.pause.take().is_some() {
            actions.push(FailoverAction::PauseChanged {
                group: id.clone(),
                paused: false,
            });
        }
    }

    /// Prevents this VM from starting an attempt before `at`.
    pub(super) fn set_next_attempt_at(&mut self, at: MonoTime) {
        self.next_attempt_at = Some(at);
    }

    fn record_intent_request(&mut self, now: MonoTime) {
        if let Some(attempt) = &mut self.attempt {
            attempt.intent_requested_at = Some(now);
        }
    }

    /// Schedules the next attempt and doubles the delay for the one after it. An attempt that opens
    /// an intent counts as well, because the promotion may choose the same member again.
    fn back_off(&mut self, now: MonoTime, (first, longest): (Duration, Duration)) {
        if self.next_attempt_at.is_none_or(|at| at <= now) {
            let retry_delay = self.retry_delay.unwrap_or(first);
            self.next_attempt_at = Some(now + retry_delay);
            self.retry_delay = Some((retry_delay * 2).min(longest));
        }
    }

    /// Records the reply of a VM to a request to pause.
    pub(super) fn record_reply(&mut self, vm: &VmId, round: u64, quiet: bool) {
        if let Some(attempt) = &mut self.attempt
            && attempt.round == round
        {
            // Replies may arrive out of order; a VM that was quiet once stays quiet.
            *attempt.replies.entry(vm.clone()).or_default() |= quiet;
        }
    }
}

impl Failover {
    /// Returns the paused groups for which `GroupQuiesced` has not been reported yet.
    pub fn unquiesced_groups(&self) -> impl Iterator<Item = &GroupId> {
        let groups = self.groups.iter();
        let unquiesced = groups.filter(|(_, group)| {
            let pause = group.planned_move.pause.as_ref();
            pause.is_some_and(|pause| !pause.quiet && !pause.awaits_promotion)
        });
        unquiesced.map(|(id, _)| id)
    }

    /// Starts or continues a move of the primary if its member accepts no new work.
    pub(super) fn advance_planned_move(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        index: usize,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some((term, primary)) = group.primary.clone() else {
            return;
        };
        let Some(reason) = group.planned_move.unavailable.get(&primary).copied() else {
            self.abandon_attempt(now, id, group, false, actions);
            if group.planned_move.attempt.is_none() {
                group.planned_move.reset();
            }
            return;
        };
        let since = *group.planned_move.unavailable_since.get_or_insert(now);
        let candidates = self.candidates(now, group, &primary);
        let possible = !candidates.is_empty() && self.platform_serves && !group.suspected;
        if !possible {
            self.abandon_attempt(now, id, group, true, actions);
            return;
        }
        let due_at = since + self.rank_delay(index);
        let due_at = group.planned_move.next_attempt_at.unwrap_or(due_at);
        if group.planned_move.attempt.is_none() {
            if now < due_at {
                return;
            }
            group.planned_move.attempt = Some(MoveAttempt {
                round: now.as_micros(),
                started_at: now,
                pause_requested_at: now,
                replies: BTreeMap::new(),
                quiesced_at: None,
                status_sent_at: None,
                intent_requested_at: None,
            });
            self.request_pause(now, id, group, term, actions);
        }
        self.continue_move(now, id, group, (term, &primary, reason), actions);
    }

    fn continue_move(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        (term, primary, reason): (Term, &MemberId, Reason),
        actions: &mut Vec<FailoverAction>,
    ) {
        let moves = &self.settings.moves;
        let Some(attempt) = &mut group.planned_move.attempt else {
            return;
        };
        let quiesced_at = match attempt.quiesced_at {
            Some(at) => at,
            None if self.pause_took_effect(now, attempt) => *attempt.quiesced_at.insert(now),
            None => {
                if now.since(attempt.pause_requested_at) >= moves.pause_request_interval {
                    attempt.pause_requested_at = now;
                    self.request_pause(now, id, group, term, actions);
                }
                return;
            }
        };
        if now.since(quiesced_at) >= moves.catch_up_timeout {
            self.abandon_attempt(now, id, group, true, actions);
            return;
        }
        if self.candidate_caught_up(now, group, primary, term, quiesced_at) {
            if self.members_reachable(now, group) && self.may_request(now, group) {
                group.planned_move.record_intent_request(now);
                group.planned_move.back_off(now, moves.retry_delay_range);
                self.request_intent(id, term, IntentPhase::Fencing, actions);
                let member = primary.clone();
                let cause = IntentCause::PlannedMove { member, reason };
                let group = id.clone();
                actions.push(FailoverAction::IntentOpened { group, cause });
            }
            return;
        }
        self.request_positions(now, id, group, primary, actions);
    }

    fn pause_took_effect(&self, now: MonoTime, attempt: &MoveAttempt) -> bool {
        let moves = &self.settings.moves;
        let waited = now.since(attempt.started_at);
        let Some(fence) = &self.fence else {
            return false;
        };
        let mut members = fence.roster.members.iter();
        let all_quiet = members.all(|member| match attempt.replies.get(&member.vm) {
            Some(quiet) => *quiet,
            None => waited >= moves.reply_timeout,
        });
        all_quiet || waited >= moves.quiesce_timeout
    }

    /// Returns the replicas that accept new work and have answered recently.
    fn candidates(
        &self,
        now: MonoTime,
        group: &ObservedGroup,
        primary: &MemberId,
    ) -> Vec<MemberId> {
        let max_age = self.settings.reachable_max_age;
        let members = group.members.iter().filter(|(member, observed)| {
            let answers = observed
                .answered_request_at
                .is_some_and(|at| now.since(at) <= max_age);
            answers && *member != primary && !group.planned_move.unavailable.contains_key(*member)
        });
        members.map(|(member, _)| member.clone()).collect()
    }

    /// Returns whether a candidate has received everything that the primary had after the pause
    /// took effect: both positions were requested after that, and the candidate's is not behind.
    fn candidate_caught_up(
        &self,
        now: MonoTime,
        group: &ObservedGroup,
        primary: &MemberId,
        term: Term,
        quiesced_at: MonoTime,
    ) -> bool {
        let state_of = |member: &MemberId| {
            let (sent_at, state) = group.members.get(member)?.state.as_ref()?;
            (*sent_at >= quiesced_at && state.term == term).then_some(state.received)
        };
        let Some(primary_position) = state_of(primary) else {
            return false;
        };
        let mut candidates = self.candidates(now, group, primary).into_iter();
        candidates
            .any(|member| state_of(&member).is_some_and(|received| received >= primary_position))
    }

    fn request_positions(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        primary: &MemberId,
        actions: &mut Vec<FailoverAction>,
    ) {
        let mut recipients = self.candidates(now, group, primary);
        recipients.push(primary.clone());
        let interval = self.settings.command_interval;
        let Some(attempt) = &mut group.planned_move.attempt else {
            return;
        };
        if attempt
            .status_sent_at
            .is_some_and(|at| now.since(at) < interval)
        {
            return;
        }
        attempt.status_sent_at = Some(now);
        for member in recipients {
            actions.push(FailoverAction::Command {
                group: id.clone(),
                member,
                command: MemberCommand::Status,
            });
        }
    }

    fn request_pause(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        term: Term,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(attempt) = &group.planned_move.attempt else {
            return;
        };
        let round = attempt.round;
        let message = FailoverMessage::PauseRequested {
            group: id.clone(),
            term,
            round,
        };
        self.broadcast(&message, actions);
        let me = self.me.clone();
        self.pause_group(now, id, group, &me, round, actions);
    }

    /// Abandons the attempt and ends the pause on all VMs. While a requested intent may still be
    /// opened, the pause stays: statements sent before that would get an unknown outcome.
    fn abandon_attempt(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        will_retry: bool,
        actions: &mut Vec<FailoverAction>,
    ) {
        let request_timeout = self.settings.moves.intent_request_timeout;
        let may_end = |attempt: &mut MoveAttempt| {
            let requested_at = attempt.intent_requested_at;
            requested_at.is_none_or(|at| now.since(at) >= request_timeout)
        };
        let Some(attempt) = group.planned_move.attempt.take_if(may_end) else {
            return;
        };
        let retry_delay = group
            .planned_move
            .retry_delay
            .unwrap_or(self.settings.moves.retry_delay_range.0);
        if will_retry {
            group
                .planned_move
                .back_off(now, self.settings.moves.retry_delay_range);
            // Lets the other observers try first. This VM may be cut off from the platform without
            // noticing, because it still receives the fence from other VMs.
            let other_ranks_delay = self.rank_delay(self.settings.observer_count);
            group
                .planned_move
                .set_next_attempt_at(now + retry_delay + other_ranks_delay);
        }
        let message = FailoverMessage::PauseEnded {
            group: id.clone(),
            round: attempt.round,
            retry_us: u64::try_from(retry_delay.as_micros()).unwrap_or(u64::MAX),
        };
        self.broadcast(&message, actions);
        group.planned_move.end_pause(id, actions);
    }

    pub(super) fn broadcast(&self, message: &FailoverMessage, actions: &mut Vec<FailoverAction>) {
        let Some(fence) = &self.fence else { return };
        let others = fence.roster.members.iter();
        for member in others.filter(|member| member.vm != self.me) {
            actions.push(FailoverAction::Send {
                to: member.vm.clone(),
                address: member.address,
                message: message.clone(),
            });
        }
    }

    pub(super) fn send_to(
        &self,
        to: &VmId,
        message: FailoverMessage,
        actions: &mut Vec<FailoverAction>,
    ) {
        let members = self.fence.iter().flat_map(|fence| &fence.roster.members);
        if let Some(member) = members.into_iter().find(|member| member.vm == *to) {
            actions.push(FailoverAction::Send {
                to: to.clone(),
                address: member.address,
                message,
            });
        }
    }
}
