//! The fencing phase of an intent: fencing the members and promoting one of them.

use std::time::Duration;

use crate::failover::Failover;
use crate::failover::FailoverAction;
use crate::failover::PromotionEvidence;
use crate::failover::fence_quorum;
use crate::failover::observed::ObservedGroup;
use crate::membership::FenceChange;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Position;
use crate::types::Term;
use crate::vm::MemberCommand;

impl Failover {
    /// Requests the fencing phase once the detection time has passed and enough members can be
    /// reached; until then the intent can still be cancelled.
    pub(super) fn start_fencing(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        index: usize,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(intent) = &group.intent else { return };
        let nonce = intent.nonce;
        let is_promoter = self.acts_as_promoter(now, group);
        let delay = if is_promoter {
            Duration::ZERO
        } else {
            self.rank_delay(index + 3)
        };
        let Some(evidence) = self.silence_evidence(now, group) else {
            return;
        };
        let since = self.majority_unanswered_since(group, &evidence);
        let detected = since.is_some_and(|at| now >= at + self.settings.detection_time + delay);
        if !detected || !self.members_reachable(now, group) {
            return;
        }
        if self.may_request(now, group) {
            let change = FenceChange::StartFencing {
                group: id.clone(),
                nonce,
                promoter: self.me.clone(),
            };
            actions.push(FailoverAction::RequestChange { change });
            actions.push(FailoverAction::FencingStarted {
                group: id.clone(),
                evidence,
            });
        }
    }

    pub(super) fn members_reachable(&self, now: MonoTime, group: &ObservedGroup) -> bool {
        let max_age = self.settings.reachable_max_age;
        let reachable = group.members.values().filter(|member| {
            member
                .answered_request_at
                .is_some_and(|at| now.since(at) <= max_age)
        });
        reachable.count() >= fence_quorum(group.members.len())
    }

    /// Fences the members, and requests the promotion of the most advanced one once enough are
    /// fenced and no VM can acknowledge anything in the old term any more.
    pub(super) fn promote(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(intent) = group.intent.clone() else {
            return;
        };
        let term = intent.from_term.next();
        self.fence_members(now, id, group, term, actions);
        let fenced = fenced_members(group, term);
        if fenced.len() < fence_quorum(group.members.len()) {
            return;
        }
        let settlement = self.settlements.get(id);
        let settlement = settlement.filter(|(nonce, _)| *nonce == intent.nonce);
        let settlement = settlement.map(|(_, settlement)| settlement.clone());
        let primary = group.primary.as_ref().map(|(_, primary)| primary.clone());
        let chosen = fenced.iter().max_by_key(|(member, received)| {
            // Of equally advanced members, one that accepts new work is preferred, then the current
            // primary, so that only the term changes.
            let available = !group.planned_move.unavailable.contains_key(member);
            (*received, available, Some(member) == primary.as_ref())
        });
        let (Some((member, _)), Some(settlement)) = (chosen.cloned(), settlement) else {
            return;
        };
        let all_fenced = fenced.len() == group.members.len();
        let grace_ends_at = intent.phase_seen_at + self.settings.moves.fencing_grace_period;
        if !all_fenced && now < grace_ends_at && better_member_may_follow(group, &fenced, &member) {
            return;
        }
        if self.may_request(now, group) {
            group.requested_term = Some(term);
            let change = FenceChange::CompletePromotion {
                group: id.clone(),
                nonce: intent.nonce,
                member: member.clone(),
            };
            actions.push(FailoverAction::RequestChange { change });
            actions.push(FailoverAction::PromotionRequested {
                group: id.clone(),
                member,
                evidence: PromotionEvidence { fenced, settlement },
            });
        }
    }

    fn fence_members(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        term: Term,
        actions: &mut Vec<FailoverAction>,
    ) {
        let interval = self.settings.command_interval;
        for (member, observed) in &mut group.members {
            let due = observed
                .last_command_at
                .is_none_or(|at| now.since(at) >= interval);
            if due && observed.fenced_for(term).is_none() {
                observed.last_command_at = Some(now);
                actions.push(FailoverAction::Command {
                    group: id.clone(),
                    member: member.clone(),
                    command: MemberCommand::Fence(term),
                });
            }
        }
    }
}

/// Returns whether it is worth waiting for another member to be fenced: in a planned move, for the
/// former primary or for a member that accepts new work.
fn better_member_may_follow(
    group: &ObservedGroup,
    fenced: &[(MemberId, Position)],
    chosen: &MemberId,
) -> bool {
    let unavailable = &group.planned_move.unavailable;
    let primary = group.primary.as_ref().map(|(_, primary)| primary);
    let primary_leaves = primary.is_some_and(|primary| unavailable.contains_key(primary));
    let primary_fenced = fenced.iter().any(|(member, _)| Some(member) == primary);
    primary_leaves && (!primary_fenced || unavailable.contains_key(chosen))
}

fn fenced_members(group: &ObservedGroup, term: Term) -> Vec<(MemberId, Position)> {
    let members = group.members.iter();
    let fenced = members.filter_map(|(member, observed)| {
        let state = observed.fenced_for(term)?;
        Some((member.clone(), state.received))
    });
    fenced.collect()
}
