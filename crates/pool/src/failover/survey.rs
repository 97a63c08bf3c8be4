//! What the members say of themselves, and the choice of the next primary.

use std::cmp::Reverse;
use std::time::Duration;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;

use crate::event::PoolAction;
use crate::event::PromotionOutcome;
use crate::failover::Cause;
use crate::failover::Phase;
use crate::failover::RETRY_PAUSE;
use crate::failover::candidates;
use crate::failover::report;
use crate::failover::voters;
use crate::link::Link;
use crate::link::Owner;
use crate::link::Purpose;
use crate::member::Member;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::statement::MemberAnswer;
use crate::statement::MemberCommand;

/// How long a primary denies the lead or is out of reach before the members are asked who leads.
const SEARCH_DELAY: Duration = Duration::from_millis(400);

/// Time between such questions.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between questions in one survey.
const SURVEY_REPEAT: Duration = Duration::from_millis(60);

/// Time for an order to be answered, and for the promoted member to lead.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

impl Pool {
    /// Asks the members who leads, once the one that the evidence names has denied it for a while.
    /// A VM without the store and the other VMs learns of a new primary only so.
    pub(crate) fn search_primary(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let primary = group
            .primary
            .as_ref()
            .and_then(|primary| group.members.get(primary));
        let is_denied = |member: &Member| {
            let denied = member
                .not_primary_since
                .is_some_and(|since| now.since(since) >= SEARCH_DELAY);
            denied
                || member
                    .down_since
                    .is_some_and(|since| now.since(since) >= SEARCH_DELAY)
        };
        if !primary.is_none_or(is_denied) || now < group.next_primary_search {
            return;
        }
        group.next_primary_search = now + SEARCH_INTERVAL;
        let reachable = group
            .members
            .iter()
            .filter(|(_, member)| member.down_since.is_none());
        let members: Vec<MemberId> = reachable.map(|(member, _)| member.clone()).collect();
        for member in members {
            self.ask_member(now, id, &member, MemberCommand::Status, actions);
        }
    }

    pub(crate) fn continue_survey(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        cause: Cause,
        actions: &mut Vec<PoolAction>,
    ) {
        let sync_replicas = self
            .catalogue
            .groups
            .get(id)
            .map_or(0, |rule| rule.sync_replicas);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let candidates = candidates(now, group, &self.evacuated);
        let commit_holders = group.commit_holders(now);
        let asked = match (sync_replicas, cause) {
            (0, _) | (_, Cause::Planned) => candidates.clone(),
            (_, Cause::Lost) => voters(now, group),
        };
        let Phase::Surveying {
            until,
            repeat_at,
            received,
            handed_over,
            ..
        } = &mut group.failover.phase
        else {
            return;
        };
        let newest = |members: &[MemberId]| {
            let positions = members.iter().filter_map(|member| received.get(member));
            positions.max().copied()
        };
        let answered = asked.iter().filter(|member| received.contains_key(*member));
        let answered = answered.count();
        let is_complete = answered == asked.len() && answered > 0;
        let has_all = match (cause, *handed_over) {
            (Cause::Lost, _) => true,
            (Cause::Planned, None) => false,
            (Cause::Planned, Some(last)) => newest(&candidates) >= Some(last),
        };
        // A confirmed commit is in the primary and as many others as have to confirm. So each is in
        // one of the members that have answered, if no more than those others are missing.
        let keeps_confirmed = match (sync_replicas, cause) {
            (0, _) => true,
            (_, Cause::Planned) => has_all,
            (confirming, Cause::Lost) => {
                let confirming = usize::try_from(confirming).unwrap_or(usize::MAX);
                answered.saturating_add(confirming) >= commit_holders
                    && newest(&candidates) >= newest(&asked)
            }
        };
        let is_due = now >= *until;
        if keeps_confirmed && (is_complete && has_all || is_due && newest(&candidates).is_some()) {
            return self.promote_newest(now, id, &candidates, actions);
        }
        if is_due {
            let step = match answered {
                0 => "no replica answers",
                _ => "no replica is known to have all",
            };
            report(id, step, group.primary.clone(), 0, actions);
            return group.failover.pause(now, RETRY_PAUSE);
        }
        if now >= *repeat_at {
            *repeat_at = now + SURVEY_REPEAT;
            let term = group.highest_term().next();
            let primary = group.primary.clone().filter(|_| cause == Cause::Planned);
            let pauses = sync_replicas > 0 && cause == Cause::Lost;
            for member in asked {
                let command = if pauses {
                    MemberCommand::Pause(term)
                } else {
                    MemberCommand::Status
                };
                self.ask_member(now, id, &member, command, actions);
            }
            if let Some(primary) = primary {
                self.ask_member(now, id, &primary, MemberCommand::StepDown(term), actions);
            }
        }
    }

    /// Sends a command of the survey over a free connection or a new one.
    fn ask_member(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        command: MemberCommand,
        actions: &mut Vec<PoolAction>,
    ) {
        let of_member = |link: &&Link| link.group == *group && link.member == *member;
        let is_asking = |link: &&Link| of_member(link) && link.owner == Owner::Pool;
        if self
            .links
            .values()
            .any(|link| is_asking(&link) && !link.is_quiet())
        {
            return;
        }
        let free = self
            .links
            .values()
            .find(|link| of_member(link) && link.is_free());
        let id = match free.map(|link| link.id) {
            Some(id) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.owner = Owner::Pool;
                }
                if let Some(member) = self.member_of(id) {
                    member.busy += 1;
                }
                Some(id)
            }
            None => self.open_own_link(now, group, member, actions),
        };
        if let Some(link) = id.and_then(|id| self.links.get_mut(&id)) {
            link.push(command, Purpose::Survey);
            link.send(now, actions);
        }
    }

    pub(crate) fn survey_answered(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        answer: &MemberAnswer,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let (group_id, member) = (link.group.clone(), link.member.clone());
        let Some(group) = self.groups.get_mut(&group_id) else {
            return;
        };
        let is_primary = group.primary.as_ref() == Some(&member);
        let status = answer.status.filter(|_| answer.result.is_ok());
        let denies = |primary: &MemberId| {
            let state = group.members.get(primary);
            state.is_some_and(|state| {
                state.not_primary_since.is_some() || state.down_since.is_some()
            })
        };
        if status.is_some_and(|status| status.is_primary)
            && !is_primary
            && group.primary.as_ref().is_none_or(denies)
        {
            group.adopt_primary(now, &member);
            return self.refresh_group(now, &group_id, actions);
        }
        let Phase::Surveying {
            received,
            handed_over,
            ..
        } = &mut group.failover.phase
        else {
            return;
        };
        let Some(status) = status else {
            return;
        };
        if is_primary && !status.is_primary {
            *handed_over = Some(status.received);
        } else {
            received.insert(member, status.received);
        }
        self.run_failover(now, &group_id, actions);
    }

    fn promote_newest(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        candidates: &[MemberId],
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let Phase::Surveying {
            token, received, ..
        } = &group.failover.phase
        else {
            return;
        };
        let token = *token;
        let newest = candidates
            .iter()
            .filter_map(|member| Some((received.get(member)?, Reverse(member), member)))
            .max();
        let Some((_, _, member)) = newest else {
            return;
        };
        let member = member.clone();
        report(id, "promoting", Some(member.clone()), token, actions);
        group.failover.phase = Phase::Promoting {
            token,
            member: member.clone(),
            until: now + SETTLE_TIME,
        };
        actions.push(PoolAction::Promote {
            group: id.clone(),
            member,
            token,
        });
    }

    pub(crate) fn promotion_answered(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        answered_token: u64,
        outcome: PromotionOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let Phase::Promoting { token, member, .. } = &group.failover.phase else {
            return;
        };
        if *token != answered_token {
            return;
        }
        let (token, member) = (*token, member.clone());
        match outcome {
            PromotionOutcome::Accepted => {
                report(id, "promoted", Some(member.clone()), token, actions);
                group.announce(member.clone(), token);
                let message = PoolMessage::Promoted {
                    group: id.clone(),
                    member,
                    token,
                };
                self.send_all_peers(&message, actions);
                self.refresh_group(now, id, actions);
            }
            PromotionOutcome::Refused => {
                report(id, "promotion refused", Some(member), token, actions);
                group.failover.pause(now, RETRY_PAUSE);
            }
            PromotionOutcome::Unknown => {
                report(id, "promotion has no answer", Some(member), token, actions);
                group.failover.pause(now, RETRY_PAUSE);
            }
        }
    }

    /// Ends a replacement that is complete or has taken too long.
    pub(crate) fn check_promotion(&mut self, now: MonoTime, id: &GroupId) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        if let Phase::Promoting { until, member, .. } = &group.failover.phase
            && (now >= *until || group.primary.as_ref() == Some(member))
        {
            group.failover.pause(now, Duration::ZERO);
        }
    }
}
