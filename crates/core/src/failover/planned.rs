//! The planned move of a healthy primary whose member takes no new work.
//!
//! The promoter asks all VMs to pause the group, waits until nothing is in progress on the
//! primary and a replica in service has everything that the primary has, and only then opens the
//! intent. The pause expires by itself: it shortens the gap for writers and has no part in safety.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::failover::Failover;
use crate::failover::FailoverAction;
use crate::failover::FailoverMessage;
use crate::failover::IntentCause;
use crate::failover::watch::GroupWatch;
use crate::membership::IntentPhase;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::Term;
use crate::types::VmId;
use crate::vm::MemberCommand;

/// A move that this VM is preparing.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    round: u64,
    started_at: MonoTime,
    asked_at: MonoTime,
    /// The VMs that answered, and whether nothing of theirs is in progress any more.
    replies: BTreeMap<VmId, bool>,
    /// When the pause took effect, as far as this VM waits for it.
    settled_at: Option<MonoTime>,
    status_at: Option<MonoTime>,
    /// When the intent was asked for last.
    requested_at: Option<MonoTime>,
}

/// A pause of a group that another VM, or this one, has asked for.
#[derive(Clone, Debug)]
pub(crate) struct Pause {
    by: VmId,
    round: u64,
    pub(crate) until: MonoTime,
    /// Whether nothing of this VM is in progress on the primary.
    pub(crate) quiet: bool,
    /// Whether the move is recorded, and only the new primary's promotion is waited for.
    pub(super) for_promotion: bool,
}

impl Pause {
    pub(super) fn new(by: VmId, round: u64, until: MonoTime) -> Self {
        Self {
            by,
            round,
            until,
            quiet: false,
            for_promotion: false,
        }
    }

    pub(super) fn is(&self, by: &VmId, round: u64) -> bool {
        self.by == *by && self.round == round
    }

    pub(super) fn by(&self) -> &VmId {
        &self.by
    }

    pub(super) fn round(&self) -> u64 {
        self.round
    }
}

/// What a VM knows of planned moves of one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlannedMove {
    /// The members that take no new work.
    pub(crate) unavailable: BTreeMap<MemberId, Reason>,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) pause: Option<Pause>,
    wanted_since: Option<MonoTime>,
    next_try_at: Option<MonoTime>,
    /// The delay after the next attempt that fails.
    pub(super) retry: Option<Duration>,
}

impl PlannedMove {
    /// Forgets the former primary; the retry delay stays if the same member goes on.
    pub(crate) fn term_changed(&mut self, now: MonoTime, same_member: bool, wait: Duration) {
        self.attempt = None;
        if !same_member {
            self.forget();
        }
        // A statement that reaches the new primary before its promotion would be refused.
        if let Some(pause) = &mut self.pause {
            pause.for_promotion = true;
            pause.until = pause.until.min(now + wait);
        }
    }

    fn forget(&mut self) {
        self.wanted_since = None;
        self.next_try_at = None;
        self.retry = None;
    }

    pub(super) fn end_pause(&mut self, id: &GroupId, actions: &mut Vec<FailoverAction>) {
        if self.pause.take().is_some() {
            actions.push(FailoverAction::PauseChanged {
                group: id.clone(),
                paused: false,
            });
        }
    }

    /// Starts no move of this VM before a time.
    pub(super) fn try_after(&mut self, at: MonoTime) {
        self.next_try_at = Some(at);
    }

    fn requested(&mut self, now: MonoTime) {
        if let Some(attempt) = &mut self.attempt {
            attempt.requested_at = Some(now);
        }
    }

    /// Doubles the delay before each attempt that follows a failed one. The promotion may leave
    /// the primary where it is, so that an attempt which opens an intent counts too.
    fn delay_retry(&mut self, now: MonoTime, (first, longest): (Duration, Duration)) {
        if self.next_try_at.is_none_or(|at| at <= now) {
            let retry = self.retry.unwrap_or(first);
            self.next_try_at = Some(now + retry);
            self.retry = Some((retry * 2).min(longest));
        }
    }

    /// Records the answer of a VM to a request to pause.
    pub(super) fn replied(&mut self, vm: &VmId, round: u64, quiet: bool) {
        if let Some(attempt) = &mut self.attempt
            && attempt.round == round
        {
            // Answers may overtake each other; a quiet VM stays quiet.
            *attempt.replies.entry(vm.clone()).or_default() |= quiet;
        }
    }
}

impl Failover {
    /// Returns the paused groups for which this VM has not told yet that nothing is in progress.
    pub fn unsettled_pauses(&self) -> impl Iterator<Item = &GroupId> {
        let groups = self.groups.iter();
        let unsettled = groups.filter(|(_, group)| {
            let pause = group.planned.pause.as_ref();
            pause.is_some_and(|pause| !pause.quiet && !pause.for_promotion)
        });
        unsettled.map(|(id, _)| id)
    }

    /// Moves the primary if its member takes no new work.
    pub(super) fn plan_move(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        index: usize,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some((term, primary)) = group.primary.clone() else {
            return;
        };
        let Some(reason) = group.planned.unavailable.get(&primary).copied() else {
            self.abandon(now, id, group, false, actions);
            if group.planned.attempt.is_none() {
                group.planned.forget();
            }
            return;
        };
        let since = *group.planned.wanted_since.get_or_insert(now);
        let candidates = self.candidates(now, group, &primary);
        let possible = !candidates.is_empty() && self.platform_serves && !group.suspected;
        if !possible {
            self.abandon(now, id, group, true, actions);
            return;
        }
        let turn = since + self.rank_delay(index);
        let turn = group.planned.next_try_at.unwrap_or(turn);
        if group.planned.attempt.is_none() {
            if now < turn {
                return;
            }
            group.planned.attempt = Some(Attempt {
                round: now.as_micros(),
                started_at: now,
                asked_at: now,
                replies: BTreeMap::new(),
                settled_at: None,
                status_at: None,
                requested_at: None,
            });
            self.ask_for_pause(now, id, group, term, actions);
        }
        self.continue_move(now, id, group, (term, &primary, reason), actions);
    }

    fn continue_move(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        (term, primary, reason): (Term, &MemberId, Reason),
        actions: &mut Vec<FailoverAction>,
    ) {
        let moves = &self.settings.moves;
        let Some(attempt) = &mut group.planned.attempt else {
            return;
        };
        let settled_at = match attempt.settled_at {
            Some(at) => at,
            None if self.pause_settled(now, attempt) => *attempt.settled_at.insert(now),
            None => {
                if now.since(attempt.asked_at) >= moves.pause_request_interval {
                    attempt.asked_at = now;
                    self.ask_for_pause(now, id, group, term, actions);
                }
                return;
            }
        };
        if now.since(settled_at) >= moves.catch_up_timeout {
            self.abandon(now, id, group, true, actions);
            return;
        }
        if self.has_equal(now, group, primary, term, settled_at) {
            if self.members_reachable(now, group) && self.may_request(now, group) {
                group.planned.requested(now);
                group.planned.delay_retry(now, moves.retry_delay_range);
                self.request_intent(id, term, IntentPhase::Fencing, actions);
                let member = primary.clone();
                let cause = IntentCause::PlannedMove { member, reason };
                let group = id.clone();
                actions.push(FailoverAction::IntentOpened { group, cause });
            }
            return;
        }
        self.ask_positions(now, id, group, primary, actions);
    }

    fn pause_settled(&self, now: MonoTime, attempt: &Attempt) -> bool {
        let moves = &self.settings.moves;
        let waited = now.since(attempt.started_at);
        let Some(fence) = &self.fence else {
            return false;
        };
        let mut members = fence.roster.members.iter();
        let settled = members.all(|member| match attempt.replies.get(&member.vm) {
            Some(quiet) => *quiet,
            None => waited >= moves.reply_timeout,
        });
        settled || waited >= moves.quiesce_timeout
    }

    /// Returns the replicas that take new work and have answered lately.
    fn candidates(&self, now: MonoTime, group: &GroupWatch, primary: &MemberId) -> Vec<MemberId> {
        let window = self.settings.reachable_max_age;
        let members = group.members.iter().filter(|(member, watch)| {
            let answers = watch.answered_at.is_some_and(|at| now.since(at) <= window);
            answers && *member != primary && !group.planned.unavailable.contains_key(*member)
        });
        members.map(|(member, _)| member.clone()).collect()
    }

    /// Returns whether a candidate has everything that the primary had after the pause took
    /// effect. The position of the primary must not be newer than that of the candidate.
    fn has_equal(
        &self,
        now: MonoTime,
        group: &GroupWatch,
        primary: &MemberId,
        term: Term,
        settled_at: MonoTime,
    ) -> bool {
        let state_of = |member: &MemberId| {
            let (asked_at, state) = group.members.get(member)?.state.as_ref()?;
            (*asked_at >= settled_at && state.term == term).then_some(state.received)
        };
        let Some(wanted) = state_of(primary) else {
            return false;
        };
        let mut candidates = self.candidates(now, group, primary).into_iter();
        candidates.any(|member| state_of(&member).is_some_and(|received| received >= wanted))
    }

    fn ask_positions(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        primary: &MemberId,
        actions: &mut Vec<FailoverAction>,
    ) {
        let mut asked = self.candidates(now, group, primary);
        asked.push(primary.clone());
        let interval = self.settings.command_interval;
        let Some(attempt) = &mut group.planned.attempt else {
            return;
        };
        if attempt.status_at.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        attempt.status_at = Some(now);
        for member in asked {
            actions.push(FailoverAction::Command {
                group: id.clone(),
                member,
                command: MemberCommand::Status,
            });
        }
    }

    fn ask_for_pause(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        term: Term,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(attempt) = &group.planned.attempt else {
            return;
        };
        let round = attempt.round;
        let message = FailoverMessage::PauseRequested {
            group: id.clone(),
            term,
            round,
        };
        self.send_to_all(&message, actions);
        let me = self.me.clone();
        self.pause(now, id, group, &me, round, actions);
    }

    /// Gives an attempt up and lets the other VMs end their pause. An intent that was asked for may
    /// still be opened: what is sent before that would get an unknown outcome.
    fn abandon(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        again: bool,
        actions: &mut Vec<FailoverAction>,
    ) {
        let uncertain = self.settings.moves.intent_request_timeout;
        let open = |attempt: &mut Attempt| {
            let requested = attempt.requested_at;
            requested.is_none_or(|at| now.since(at) >= uncertain)
        };
        let Some(attempt) = group.planned.attempt.take_if(open) else {
            return;
        };
        let retry = group
            .planned
            .retry
            .unwrap_or(self.settings.moves.retry_delay_range.0);
        if again {
            group
                .planned
                .delay_retry(now, self.settings.moves.retry_delay_range);
            // The next observer comes first: this VM may be the one that is cut off from the
            // platform, and cannot tell because it follows the fence over other VMs.
            let others = self.rank_delay(self.settings.observer_count);
            group.planned.try_after(now + retry + others);
        }
        let message = FailoverMessage::PauseEnded {
            group: id.clone(),
            round: attempt.round,
            retry_us: u64::try_from(retry.as_micros()).unwrap_or(u64::MAX),
        };
        self.send_to_all(&message, actions);
        group.planned.end_pause(id, actions);
    }

    pub(super) fn send_to_all(&self, message: &FailoverMessage, actions: &mut Vec<FailoverAction>) {
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
