//! Queries the members for their received positions, and chooses and promotes the next primary.

use std::cmp::Reverse;
use std::time::Duration;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::event::PoolAction;
use crate::event::PromotionOutcome;
use crate::failover::FAILED_STEP_DELAY;
use crate::failover::FailoverCause;
use crate::failover::Phase;
use crate::failover::candidates;
use crate::failover::is_presumed_primary;
use crate::failover::reachable_replicas;
use crate::failover::report_step;
use crate::group::Group;
use crate::link::Link;
use crate::link::Owner;
use crate::link::Purpose;
use crate::member::Member;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::roster::RequestedPromotion;
use crate::statement::MemberAnswer;
use crate::statement::MemberCommand;
use crate::store_era::STORE_ERA_VERSION;
use crate::store_revision::StoreRevision;

/// How long a primary has to be unreachable, or report that it is not the primary, before the
/// members are asked which of them is.
const PRIMARY_SEARCH_DELAY: Duration = Duration::from_millis(400);

/// Time between two such searches.
const PRIMARY_SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between repeated queries for the members' positions.
const MEMBER_QUERY_INTERVAL: Duration = Duration::from_millis(60);

/// Delay after an attempt that found too few members. Each attempt writes a claim.
const TOO_FEW_MEMBERS_DELAY: Duration = Duration::from_millis(500);

/// Time for a promotion request to be answered and for the promoted member to become primary.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Group {
    /// Returns the promotion that was recorded in the term of the present attempt, if it can be repeated:
    /// when it was recorded the member had all confirmed commits, and none has been confirmed since if
    /// no replica has received more.
    fn repeatable_promotion(&self, confirming: usize) -> Option<&RequestedPromotion> {
        let Phase::QueryingMembers {
            ended_term,
            received,
            ..
        } = &self.failover.phase
        else {
            return None;
        };
        let requested = self.requested_promotion.as_ref()?;
        let mut replicas = received
            .iter()
            .filter(|(id, _)| self.primary.as_ref() != Some(*id));
        let own = received.get(&requested.member);
        let is_repeatable = confirming > 0
            && requested.ended_term == *ended_term
            && own.is_none_or(|position| *position >= requested.received)
            && replicas.all(|(_, position)| *position <= requested.received);
        is_repeatable.then_some(requested)
    }

    /// Returns the promotion of the candidate that has received most, if it has all confirmed commits.
    fn newest_candidate(
        &self,
        candidates: &[MemberId],
        cause: FailoverCause,
        confirming: usize,
        commit_holders: usize,
    ) -> Option<RequestedPromotion> {
        let Phase::QueryingMembers {
            ended_term,
            received,
            step_down_position,
            ..
        } = &self.failover.phase
        else {
            return None;
        };
        let positions = candidates
            .iter()
            .filter_map(|member| Some((*received.get(member)?, Reverse(member))));
        let (position, Reverse(member)) = positions.max()?;
        // A confirmed commit is in the log of the primary and of at least `confirming` other members,
        // so of any members that are all but `confirming`, one has it.
        let has_confirmed = match (confirming, cause) {
            (0, _) => true,
            (_, FailoverCause::Planned) => step_down_position.is_some_and(|last| position >= last),
            (_, FailoverCause::Lost | FailoverCause::Paused) => {
                let covered = received.values().filter(|other| **other <= position);
                covered.count().saturating_add(confirming) >= commit_holders
            }
        };
        has_confirmed.then(|| RequestedPromotion {
            member: member.clone(),
            ended_term: *ended_term,
            received: position,
        })
    }
}

impl Pool {
    /// Asks the members which of them is the primary, once the presumed primary has been unusable
    /// for `PRIMARY_SEARCH_DELAY`. A VM that reaches neither the store nor the other VMs has no
    /// other way to find a new primary.
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
        let needs_search = |member: &Member| {
            let is_not_primary = member
                .not_primary_since
                .is_some_and(|since| now.since(since) >= PRIMARY_SEARCH_DELAY);
            is_not_primary
                || member
                    .down_since
                    .is_some_and(|since| now.since(since) >= PRIMARY_SEARCH_DELAY)
        };
        if !primary.is_none_or(needs_search) || now < group.next_primary_search {
            return;
        }
        group.next_primary_search = now + PRIMARY_SEARCH_INTERVAL;
        let reachable = group
            .members
            .iter()
            .filter(|(_, member)| member.down_since.is_none());
        let members: Vec<MemberId> = reachable.map(|(member, _)| member.clone()).collect();
        for member in members {
            self.query_member(now, id, &member, MemberCommand::Status, actions);
        }
    }

    /// Asks the members for their positions, and promotes one once it is known to have all commits that
    /// must not be lost.
    pub(crate) fn continue_member_queries(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        cause: FailoverCause,
        actions: &mut Vec<PoolAction>,
    ) {
        let confirming = self.confirming_replicas(id);
        let must_pause = confirming > 0 && cause != FailoverCause::Planned;
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let candidates = candidates(now, group, &self.evacuated);
        let commit_holders = group.commit_holders(now);
        let queried = match must_pause {
            true => reachable_replicas(now, group),
            false => candidates.clone(),
        };
        let repeated = group.repeatable_promotion(confirming).cloned();
        let stepping_down = group.primary.clone().filter(|primary| {
            let member = group.members.get(primary);
            let is_presumed = |member| is_presumed_primary(group, primary, member);
            match cause {
                FailoverCause::Lost => false,
                FailoverCause::Paused => repeated.is_none() && member.is_some_and(is_presumed),
                FailoverCause::Planned => true,
            }
        });
        let asked = queried.len() + usize::from(stepping_down.is_some());
        if must_pause && repeated.is_none() && asked.saturating_add(confirming) < commit_holders {
            // A replica that is paused for nothing confirms no commit when the primary is back.
            let step = "too few members run to have all commits";
            report_step(id, step, group.primary.clone(), None, actions);
            return group.failover.pause(now, TOO_FEW_MEMBERS_DELAY);
        }
        let newest = group.newest_candidate(&candidates, cause, confirming, commit_holders);
        let promoted = repeated.or(newest);
        let Phase::QueryingMembers {
            claim,
            deadline,
            next_query_at,
            ended_term,
            received,
            step_down_position,
        } = &mut group.failover.phase
        else {
            return;
        };
        let (claim, ended_term) = (*claim, *ended_term);
        let answered = queried.iter();
        let answered = answered.filter(|member| received.contains_key(*member));
        let answered = answered.count();
        let awaits_primary = cause == FailoverCause::Paused && stepping_down.is_some();
        let is_complete = answered == queried.len() && answered > 0 && !awaits_primary;
        let has_final_position = match (cause, *step_down_position) {
            (FailoverCause::Lost | FailoverCause::Paused, _) => true,
            (FailoverCause::Planned, None) => false,
            (FailoverCause::Planned, Some(last)) => {
                let mut positions = candidates.iter().filter_map(|member| received.get(member));
                positions.any(|position| *position >= last)
            }
        };
        let is_timed_out = now >= *deadline;
        if let Some(promoted) = promoted
            && (is_complete && has_final_position || is_timed_out && answered > 0)
        {
            return self.promote(now, id, promoted, claim, actions);
        }
        if is_timed_out {
            let step = match answered {
                0 => "no replica answers",
                _ => "no replica is known to have all commits",
            };
            report_step(id, step, group.primary.clone(), None, actions);
            return group.failover.pause(now, FAILED_STEP_DELAY);
        }
        if now >= *next_query_at {
            *next_query_at = now + MEMBER_QUERY_INTERVAL;
            let next_term = ended_term.next();
            for member in queried {
                let command = if must_pause {
                    MemberCommand::Pause(next_term)
                } else {
                    MemberCommand::Status
                };
                self.query_member(now, id, &member, command, actions);
            }
            if let Some(primary) = stepping_down {
                let command = MemberCommand::StepDown(next_term);
                self.query_member(now, id, &primary, command, actions);
            }
        }
    }

    /// Sends a query to a member over a free connection or a new one.
    pub(crate) fn query_member(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        command: MemberCommand,
        actions: &mut Vec<PoolAction>,
    ) {
        let of_member = |link: &&Link| link.group == *group && link.member == *member;
        let is_query = |link: &&Link| of_member(link) && link.owner == Owner::Pool;
        if self
            .links
            .values()
            .any(|link| is_query(&link) && !link.has_no_pending_commands())
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
            None => self.open_pool_link(now, group, member, actions),
        };
        if let Some(link) = id.and_then(|id| self.links.get_mut(&id)) {
            link.push(command, Purpose::MemberQuery);
            link.send(now, actions);
        }
    }

    pub(crate) fn member_query_answered(
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
        let confirming = self.confirming_replicas(&group_id);
        let Some(group) = self.groups.get_mut(&group_id) else {
            return;
        };
        let is_primary = group.primary.as_ref() == Some(&member);
        let status = answer.status.filter(|_| answer.result.is_ok());
        if let Some(status) = status {
            group.note_status(now, &member, status);
        }
        let is_unusable = |primary: &MemberId| {
            let state = group.members.get(primary);
            state.is_some_and(|state| {
                state.not_primary_since.is_some() || state.down_since.is_some()
            })
        };
        if status.is_some_and(|status| status.is_primary)
            && !is_primary
            && group.primary.as_ref().is_none_or(is_unusable)
        {
            group.adopt_primary(now, &member);
            return self.refresh_group(now, &group_id, actions);
        }
        let Some(status) = status else {
            return;
        };
        let cause = group.failover.pending_cause.map(|(cause, _)| cause);
        match (is_primary, status.is_primary) {
            (true, true) => group.confirm_primary(&member),
            // In a planned replacement the primary has stepped down, and replicas still receive its
            // last commits.
            (true, false) if cause != Some(FailoverCause::Planned) => {
                group.note_not_primary(now, &member);
            }
            _ => {}
        }
        let Phase::QueryingMembers {
            received,
            step_down_position,
            ended_term,
            ..
        } = &mut group.failover.phase
        else {
            return;
        };
        let has_ended = confirming > 0 && status.term > *ended_term;
        if has_ended {
            // Positions of a term that has ended say nothing about commits since then.
            let step = "the members are in a later term";
            report_step(&group_id, step, Some(member), None, actions);
            return group.failover.pause(now, FAILED_STEP_DELAY);
        }
        // A primary that has stepped down commits nothing more, and neither do the others.
        let counts = confirming == 0
            || status.is_paused()
            || cause == Some(FailoverCause::Planned)
            || cause == Some(FailoverCause::Paused) && is_primary;
        if is_primary && !status.is_primary && cause == Some(FailoverCause::Planned) {
            *step_down_position = Some(status.received);
        } else if counts && !status.is_primary {
            received.insert(member, status.received);
        }
        self.run_failover(now, &group_id, actions);
    }

    /// Promotes a member under a claim. Where replicas confirm commits, the promotion is recorded first
    /// unless the claim contains it.
    fn promote(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        promoted: RequestedPromotion,
        claim: StoreRevision,
        actions: &mut Vec<PoolAction>,
    ) {
        let must_record = self.confirming_replicas(id) > 0;
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        if group.is_promoted_after(claim) {
            return group.failover.pause(now, FAILED_STEP_DELAY);
        }
        if must_record && group.requested_promotion.as_ref() != Some(&promoted) {
            return self.write_promotion_record(id, promoted, claim, actions);
        }
        self.request_promotion(now, id, promoted.member, claim, actions);
    }

    /// Asks the platform to promote a member.
    pub(crate) fn request_promotion(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        member: MemberId,
        claim: StoreRevision,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        report_step(id, "promoting", Some(member.clone()), Some(claim), actions);
        group.failover.phase = Phase::Promoting {
            claim,
            member: member.clone(),
            deadline: now + PROMOTION_TIMEOUT,
        };
        actions.push(PoolAction::Promote {
            group: id.clone(),
            member,
            token: claim.token(),
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
        let (_, latest_claim) = self.group_record(id);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let Phase::Promoting { claim, member, .. } = &group.failover.phase else {
            return;
        };
        if claim.token() != answered_token {
            return;
        }
        let is_latest_claim = latest_claim == Some(*claim);
        let (claim, member) = (*claim, member.clone());
        match outcome {
            PromotionOutcome::Accepted => {
                report_step(id, "promoted", Some(member.clone()), Some(claim), actions);
                group.record_promotion(member.clone(), claim);
                self.announce_promotion(id, &member, claim, actions);
                self.refresh_group(now, id, actions);
            }
            PromotionOutcome::Refused => {
                let step = "promotion refused";
                report_step(id, step, Some(member.clone()), Some(claim), actions);
                let requested = group.requested_promotion.as_ref();
                if is_latest_claim && requested.is_some_and(|known| known.member == member) {
                    // The platform has seen this token, so it refuses all earlier requests as well.
                    group.requested_promotion = None;
                }
                group.failover.pause(now, FAILED_STEP_DELAY);
            }
            PromotionOutcome::Unknown => {
                report_step(
                    id,
                    "promotion has no answer",
                    Some(member),
                    Some(claim),
                    actions,
                );
                group.failover.pause(now, FAILED_STEP_DELAY);
            }
        }
    }

    /// Tells the other VMs about an accepted promotion. VMs of builds that know no eras compare the
    /// revision alone.
    fn announce_promotion(
        &self,
        group: &GroupId,
        member: &MemberId,
        claim: StoreRevision,
        actions: &mut Vec<PoolAction>,
    ) {
        let own = &self.settings.vm;
        for vm in self.roster.names().filter(|vm| *vm != own) {
            let token = match self.roster.understands(vm, STORE_ERA_VERSION) {
                true => claim.token(),
                false => claim.revision,
            };
            let message = PoolMessage::Promoted {
                group: group.clone(),
                member: member.clone(),
                token,
            };
            self.send_peer(vm, message, actions);
        }
    }

    /// Handles the news of a promotion that another VM requested.
    pub(crate) fn promotion_announced(
        &mut self,
        now: MonoTime,
        from: &VmId,
        group: &GroupId,
        member: MemberId,
        token: u64,
        actions: &mut Vec<PoolAction>,
    ) {
        let mut claim = StoreRevision::from_token(token);
        if claim.era > 0 {
            self.note_store_era(now, claim.era, actions);
        } else if !self.roster.understands(from, STORE_ERA_VERSION) {
            claim.era = self.store_era();
        }
        if let Some(known) = self.groups.get_mut(group) {
            known.record_promotion(member, claim);
        }
        self.refresh_group(now, group, actions);
        self.dispatch_group(now, group, actions);
    }

    /// Ends a promotion that is complete or has timed out.
    pub(crate) fn check_promotion(&mut self, now: MonoTime, id: &GroupId) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        if let Phase::Promoting {
            deadline, member, ..
        } = &group.failover.phase
            && (now >= *deadline || group.primary.as_ref() == Some(member))
        {
            group.failover.pause(now, Duration::ZERO);
        }
    }
}
