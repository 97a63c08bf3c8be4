//! Evaluates whether the other VMs still reach a primary, and claims its group in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::event::PoolAction;
use crate::event::WriteOutcome;
use crate::failover::FAILED_STEP_DELAY;
use crate::failover::PEER_CLAIM_DELAY;
use crate::failover::Phase;
use crate::failover::report_step;
use crate::pool::Pool;
use crate::roster::FleetRecord;
use crate::roster::RequestedPromotion;
use crate::store_revision::StoreRevision;

/// Delay before the next attempt after the other VMs' answers ruled out a replacement.
const REJECTED_ATTEMPT_DELAY: Duration = Duration::from_millis(500);

/// Time for members to report their received positions.
const MEMBER_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

impl Pool {
    /// Records how long ago another VM last received an answer from a member.
    pub(crate) fn contact_answered(
        &mut self,
        now: MonoTime,
        from: &VmId,
        group: &GroupId,
        member: &MemberId,
        since_contact: Option<Duration>,
    ) {
        let Some(group) = self.groups.get_mut(group) else {
            return;
        };
        let Phase::QueryingPeers {
            peer_answers: answers,
            ..
        } = &mut group.failover.phase
        else {
            return;
        };
        if group.primary.as_ref() == Some(member) {
            let down = group
                .members
                .get(member)
                .and_then(|member| member.down_since);
            let outage = down.map_or(Duration::ZERO, |since| now.since(since));
            answers.insert(
                from.clone(),
                since_contact.filter(|since_contact| *since_contact < outage),
            );
        }
    }

    /// Decides on a replacement by the answers of the other VMs. The attempt ends if one of them
    /// reaches the primary, or if the VMs that answered and this VM together are no majority of the
    /// fleet and the primary is still registered: the primary may then be up and this VM cut off
    /// from it.
    pub(crate) fn evaluate_peer_answers(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        let vms = self.roster.len();
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let Phase::QueryingPeers { peer_answers, .. } = &group.failover.phase else {
            return;
        };
        let is_unregistered = group
            .primary
            .as_ref()
            .and_then(|primary| group.members.get(primary))
            .is_none_or(|primary| primary.missing_since.is_some());
        let reaching = peer_answers.iter();
        let reaching = reaching.filter_map(|(vm, contact)| contact.map(|contact| (contact, vm)));
        let reached_by = reaching.min().map(|(_, vm)| vm.clone());
        let has_majority = (peer_answers.len() + 1) * 2 > vms;
        let primary = group.primary.clone();
        let is_reached = reached_by.is_some();
        group.primary_reached_by = reached_by;
        if is_reached {
            report_step(id, "another VM reaches the primary", primary, None, actions);
            group.failover.pause(now, REJECTED_ATTEMPT_DELAY);
            return self.move_waiting_to_reaching_vm(now, id, actions);
        }
        if !has_majority && !is_unregistered {
            report_step(id, "too few VMs answer", primary, None, actions);
            return group.failover.pause(now, REJECTED_ATTEMPT_DELAY);
        }
        self.claim_group(now, id, actions);
    }

    pub(crate) fn claim_group(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        let (_, expected) = self.group_record(id);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        group.failover.phase = Phase::Claiming;
        group.failover.not_before = now;
        group.failover.claimed_primary = group.primary.clone();
        let requested = group.requested_promotion.clone();
        report_step(id, "claiming", group.primary.clone(), None, actions);
        self.write_group_record(id, requested, expected, actions);
    }

    /// Records which member this VM is about to promote. The token of the promotion is the revision of
    /// this record, so a VM that claims the group later has read it.
    pub(crate) fn write_promotion_record(
        &mut self,
        id: &GroupId,
        requested: RequestedPromotion,
        claim: StoreRevision,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let member = Some(requested.member.clone());
        report_step(id, "recording the promotion", member, Some(claim), actions);
        group.failover.phase = Phase::Recording {
            claim,
            requested: requested.clone(),
        };
        self.write_group_record(id, Some(requested), Some(claim), actions);
    }

    fn write_group_record(
        &mut self,
        id: &GroupId,
        requested: Option<RequestedPromotion>,
        expected: Option<StoreRevision>,
        actions: &mut Vec<PoolAction>,
    ) {
        let (name, _) = self.group_record(id);
        self.claim_sequence += 1;
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        group.failover.latest_claim = Some(self.claim_sequence);
        let record = FleetRecord::Promotion {
            holder: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.claim_sequence,
            replaces: group.failover.claimed_primary.clone(),
            requested,
        };
        actions.push(PoolAction::WriteRecord {
            name,
            record,
            expected,
        });
    }

    pub(crate) fn claim_answered(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        outcome: WriteOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let failover = &mut group.failover;
        match (&failover.phase, &outcome) {
            // The claim itself was read from the store before this answer to it.
            (Phase::Recording { claim, .. }, WriteOutcome::Written(written))
                if written <= claim =>
            {
                return;
            }
            (Phase::Claiming | Phase::Recording { .. }, _) => {}
            _ => return,
        }
        let (vm, incarnation) = (&self.settings.vm, self.settings.incarnation);
        let is_own = |record: &FleetRecord| match record {
            FleetRecord::Promotion {
                holder,
                incarnation: of,
                sequence,
                replaces,
                ..
            } => {
                holder == vm
                    && *of == incarnation
                    && *replaces == failover.claimed_primary
                    && failover.unanswered_claims.contains(sequence)
            }
            FleetRecord::Vm { .. } | FleetRecord::CommitHolders(_) | FleetRecord::Usage(_) => false,
        };
        let claim = match outcome {
            WriteOutcome::Written(claim) => claim,
            // An earlier claim, which got no answer, took effect. Its token has not been used.
            WriteOutcome::Conflict {
                revision,
                record: Some(record),
            } if is_own(&record) => revision,
            WriteOutcome::Conflict { revision, record } => {
                failover.unanswered_claims.clear();
                let member = group.primary.clone();
                report_step(
                    id,
                    "another VM has claimed",
                    member,
                    Some(revision),
                    actions,
                );
                let pause = if record.is_some() {
                    PEER_CLAIM_DELAY
                } else {
                    FAILED_STEP_DELAY
                };
                return group.failover.pause(now, pause);
            }
            WriteOutcome::Unknown => {
                failover.unanswered_claims.extend(failover.latest_claim);
                report_step(
                    id,
                    "claim has no answer",
                    group.primary.clone(),
                    None,
                    actions,
                );
                return group.failover.pause(now, FAILED_STEP_DELAY);
            }
        };
        group.failover.unanswered_claims.clear();
        let recorded = match &group.failover.phase {
            Phase::Recording { requested, .. } => Some(requested.clone()),
            _ => None,
        };
        if recorded.is_some() {
            group.requested_promotion.clone_from(&recorded);
        }
        if group.failover.pending_cause.is_none() {
            return group.failover.pause(now, Duration::ZERO);
        }
        if let Some(requested) = recorded {
            return self.request_promotion(now, id, requested.member, claim, actions);
        }
        report_step(id, "claimed", group.primary.clone(), Some(claim), actions);
        group.failover.phase = Phase::QueryingMembers {
            claim,
            deadline: now + MEMBER_ANSWER_TIMEOUT,
            next_query_at: now,
            ended_term: group.highest_term(),
            received: BTreeMap::new(),
            step_down_position: None,
        };
        self.run_failover(now, id, actions);
    }
}
