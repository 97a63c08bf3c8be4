//! From the end of the detection time to the promotion.

use std::time::Duration;

use crate::failover::Failover;
use crate::failover::FailoverAction;
use crate::failover::PromotionEvidence;
use crate::failover::fence_quorum;
use crate::failover::watch::GroupWatch;
use crate::membership::FenceChange;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Position;
use crate::types::Term;
use crate::vm::MemberCommand;

impl Failover {
    /// Moves an intent on to fencing when the detection time is over and enough members can be
    /// reached; until then the intent can still be cancelled.
    pub(super) fn start_fencing(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        index: usize,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(intent) = &group.intent else { return };
        let nonce = intent.nonce;
        let own = self.is_promoter(now, group);
        let delay = if own {
            Duration::ZERO
        } else {
            self.rank_delay(index + 3)
        };
        let Some(evidence) = self.silence_evidence(now, group) else {
            return;
        };
        let since = self.unanswered_since(group, &evidence);
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

    pub(super) fn members_reachable(&self, now: MonoTime, group: &GroupWatch) -> bool {
        let window = self.settings.reachable_max_age;
        let reachable = group
            .members
            .values()
            .filter(|member| member.answered_at.is_some_and(|at| now.since(at) <= window));
        reachable.count() >= fence_quorum(group.members.len())
    }

    /// Fences the members, and asks for the promotion of the most advanced one when enough are
    /// fenced and no VM can acknowledge anything in the old term any more.
    pub(super) fn promote(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
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
            // Among equals a member that takes new work comes first, then the present primary, so
            // that only the term changes.
            let available = !group.planned.unavailable.contains_key(member);
            (*received, available, Some(member) == primary.as_ref())
        });
        let (Some((member, _)), Some(settlement)) = (chosen.cloned(), settlement) else {
            return;
        };
        let complete = fenced.len() == group.members.len();
        let grace = intent.phase_seen_at + self.settings.moves.fencing_grace_period;
        if !complete && now < grace && better_may_come(group, &fenced, &member) {
            return;
        }
        if self.may_request(now, group) {
            group.completed_term = Some(term);
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
        group: &mut GroupWatch,
        term: Term,
        actions: &mut Vec<FailoverAction>,
    ) {
        let interval = self.settings.command_interval;
        for (member, watch) in &mut group.members {
            let due = watch
                .last_command_at
                .is_none_or(|at| now.since(at) >= interval);
            if due && watch.fenced_for(term).is_none() {
                watch.last_command_at = Some(now);
                actions.push(FailoverAction::Command {
                    group: id.clone(),
                    member: member.clone(),
                    command: MemberCommand::Fence(term),
                });
            }
        }
    }
}

/// Returns whether it is worth to wait for another member to be fenced: in a planned move, the
/// former primary or a member that takes new work.
fn better_may_come(group: &GroupWatch, fenced: &[(MemberId, Position)], chosen: &MemberId) -> bool {
    let unavailable = &group.planned.unavailable;
    let primary = group.primary.as_ref().map(|(_, primary)| primary);
    let moves = primary.is_some_and(|primary| unavailable.contains_key(primary));
    let primary_fenced = fenced.iter().any(|(member, _)| Some(member) == primary);
    moves && (!primary_fenced || unavailable.contains_key(chosen))
}

fn fenced_members(group: &GroupWatch, term: Term) -> Vec<(MemberId, Position)> {
    let members = group.members.iter();
    let fenced = members.filter_map(|(member, watch)| {
        let state = watch.fenced_for(term)?;
        Some((member.clone(), state.received))
    });
    fenced.collect()
}
