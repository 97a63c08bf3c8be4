//! Changes to the roster: joining, leaving, removal of unresponsive members, and slots.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use smallvec::SmallVec;

use crate::membership::ChangeResult;
use crate::membership::Fence;
use crate::membership::FenceChange;
use crate::membership::Membership;
use crate::membership::MembershipAction;
use crate::membership::MembershipMessage;
use crate::membership::RemovalEvidence;
use crate::membership::RosterMember;
use crate::membership::RosterMemberKey;
use crate::membership::peer_messages::send;
use crate::membership::settlement::OpenChange;
use crate::types::MonoTime;
use crate::types::Nonce;

/// The interval at which other members are asked about unresponsive ones.
const SILENCE_QUERY_INTERVAL: Duration = Duration::from_millis(100);

impl Membership {
    pub(super) fn advance_settlements(
        &mut self,
        now: MonoTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(fence) = &self.fence else { return };
        let own_version = fence.version;
        let acknowledged = |key: &RosterMemberKey, version| {
            (*key == self.key && own_version >= version) || self.peers.acknowledged(key, version)
        };
        let lease_wait = self.settings.lease_wait();
        let settled = self
            .settlements
            .advance(now, fence, lease_wait, acknowledged);
        for (open_change, settlement) in settled {
            if let OpenChange::Intent(group, nonce) = open_change {
                actions.push(MembershipAction::IntentSettled {
                    group,
                    nonce,
                    settlement,
                });
            }
        }
    }

    /// Writes all changes that the newest fence allows in one update.
    pub(super) fn write_changes(&mut self, now: MonoTime, actions: &mut Vec<MembershipAction>) {
        let lifetime = self.settings.request_lifetime;
        self.requested_changes.retain(|(change, requested_at)| {
            // The end of a member is permanent, so its report does not become out of date.
            now.since(*requested_at) < lifetime || matches!(change, FenceChange::ReportEnded { .. })
        });
        let Some(base) = self.fence.clone().filter(|_| self.calls.may_put()) else {
            return;
        };
        let roster_changes = self.roster_changes(now, &base, actions);
        if roster_changes.is_empty() && self.requested_changes.is_empty() {
            return;
        }
        let mut fence = Fence::clone(&base);
        fence.nonce = Nonce(self.rng.next_u64());
        let mut settled = self.settlements.roster_settled();
        let mut changed = false;
        for change in roster_changes {
            if change.apply(&mut fence, settled) != ChangeResult::Applied {
                continue;
            }
            changed = true;
            // An update contains at most one change of the members.
            settled &= !change.changes_members();
            if let FenceChange::TransferSlot { slot, .. } = change {
                self.transferring_slots.push((slot, base.version));
            }
        }
        let member = self.is_member();
        self.requested_changes.retain(|(change, _)| {
            let result = change.apply(&mut fence, settled);
            changed |= result == ChangeResult::Applied;
            let once = matches!(change, FenceChange::OpenIntent { .. });
            let allowed = member || matches!(change, FenceChange::ReportEnded { .. });
            allowed && result != ChangeResult::Inapplicable && !once
        });
        if changed {
            actions.push(self.calls.put(now, base.version, Arc::new(fence)));
        }
    }

    /// Returns the changes to the roster that this VM is to write now.
    fn roster_changes(
        &self,
        now: MonoTime,
        base: &Fence,
        actions: &mut Vec<MembershipAction>,
    ) -> SmallVec<[FenceChange; 2]> {
        let mut changes = SmallVec::new();
        let settled = self.settlements.roster_settled();
        let Some(own) = base.roster.member(&self.key) else {
            if !self.leaving && settled {
                changes.push(FenceChange::Join {
                    member: self.own_member.clone(),
                    slot_count: self.settings.slot_count,
                });
            } else if !self.leaving {
                // The open change may need this report to reach a majority.
                changes.extend(self.ended_incarnations(base));
            }
            return changes;
        };
        if settled && self.maintains_roster(now) {
            self.maintain_roster(now, base, &mut changes, actions);
        }
        if self.leaving && settled {
            let member = self.key.clone();
            changes.push(FenceChange::Leave { member });
        } else if let Some((slot, to)) = surplus_slot(base, own) {
            let from = self.key.clone();
            changes.push(FenceChange::TransferSlot { slot, from, to });
        }
        changes
    }

    /// Reports earlier incarnations of this VM as ended: a process starts only after the earlier
    /// one has ended.
    fn ended_incarnations(&self, base: &Fence) -> impl Iterator<Item = FenceChange> {
        let known = base
            .roster
            .current_and_former_members()
            .map(RosterMember::key);
        let earlier = known.filter(|key| key.vm == self.key.vm && *key != self.key);
        let unreported = earlier.filter(|key| !base.roster.ended.contains(key));
        unreported.map(|member| FenceChange::ReportEnded { member })
    }

    fn maintain_roster(
        &self,
        now: MonoTime,
        base: &Fence,
        changes: &mut SmallVec<[FenceChange; 2]>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let silent = self.removable_members(now, base, actions);
        if !silent.is_empty() {
            changes.push(FenceChange::Remove { members: silent });
            return;
        }
        if base.roster.previous.is_some() {
            changes.push(FenceChange::ClearPrevious);
        }
        if !base.roster.free_slots().is_empty() {
            changes.push(FenceChange::AssignFreeSlots);
        }
    }

    /// Returns the members that have ended, or that a majority, including this VM, gets no answer
    /// from.
    fn removable_members(
        &self,
        now: MonoTime,
        base: &Fence,
        actions: &mut Vec<MembershipAction>,
    ) -> Vec<RosterMemberKey> {
        let after = self.settings.member_removed_after;
        let members = &base.roster.members;
        let mut removable = Vec::new();
        for key in members.iter().map(RosterMember::key) {
            if base.roster.ended.contains(&key) {
                removable.push(key);
                continue;
            }
            let silent = self.peers.unanswered_duration(now, &key);
            if key == self.key || silent < after {
                continue;
            }
            let max_report_age = SILENCE_QUERY_INTERVAL * 3;
            let agreeing = self
                .peers
                .peers_reporting_silence(now, &key, max_report_age, after / 3);
            if (agreeing.len() + 1) * 2 > members.len() {
                let mut agreeing: SmallVec<_> = agreeing.into_iter().map(|by| by.vm).collect();
                agreeing.push(self.key.vm.clone());
                actions.push(MembershipAction::MemberRemoved {
                    member: key.clone(),
                    evidence: RemovalEvidence { silent, agreeing },
                });
                removable.push(key);
            }
        }
        removable
    }

    /// Returns when other members are next to be asked about unresponsive ones.
    pub(super) fn next_silence_query(&self) -> Option<MonoTime> {
        let since = self.peers.earliest_unanswered()?;
        let first = since + self.settings.member_removed_after / 2;
        let next = self
            .last_silence_query_at
            .map(|at| at + SILENCE_QUERY_INTERVAL);
        Some(first.max(next.unwrap_or(MonoTime::ZERO)))
    }

    pub(super) fn query_silent_members(
        &mut self,
        now: MonoTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.next_silence_query().is_none_or(|at| at > now) {
            return;
        }
        self.last_silence_query_at = Some(now);
        let Some(fence) = self.fence.clone().filter(|_| self.maintains_roster(now)) else {
            return;
        };
        let others = || {
            fence
                .roster
                .members
                .iter()
                .filter(|m| !m.matches_key(&self.key))
        };
        let limit = self.settings.member_removed_after / 2;
        for silent in others().filter(|m| self.peers.unanswered_duration(now, &m.key()) >= limit) {
            for receiver in others().filter(|other| other.vm != silent.vm) {
                let member = silent.key();
                let message = MembershipMessage::AskSilence { member };
                send(actions, &receiver.key(), receiver.address, message);
            }
        }
    }

    pub(super) fn answer_silence_query(
        &mut self,
        now: MonoTime,
        from: &RosterMemberKey,
        address: SocketAddr,
        member: RosterMemberKey,
        actions: &mut Vec<MembershipAction>,
    ) {
        let known = self
            .roster()
            .and_then(|roster| roster.current_or_former_member(&member));
        let Some(silent_address) = known.map(|known| known.address) else {
            return;
        };
        let unanswered = self.peers.unanswered_duration(now, &member);
        let version = self.version();
        let question = self.evidence.start_request(now, version);
        self.peers.record_request(now, &member);
        let request = MembershipMessage::Ask { question, version };
        send(actions, &member, silent_address, request);
        let message = MembershipMessage::Silence {
            member,
            unanswered_us: u64::try_from(unanswered.as_micros()).unwrap_or(u64::MAX),
        };
        send(actions, from, address, message);
    }
}

/// Returns a slot that `own` holds beyond its fair share, and the member to move it to.
fn surplus_slot(base: &Fence, own: &RosterMember) -> Option<(u16, RosterMemberKey)> {
    let fewest = base.roster.members.iter().min_by_key(|m| m.slots.len())?;
    let slot = own.slots.last()?;
    (own.slots.len() > fewest.slots.len() + 1).then(|| (slot.slot, fewest.key()))
}
