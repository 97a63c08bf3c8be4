//! Statements that the VM sends on its own behalf: samples of a primary's log position, and probes
//! of members that do not answer.
//!
//! A sample is an empty read-write transaction. It takes no slot at the member, and a member that
//! is no longer the primary refuses it.

use std::time::Duration;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;

use crate::event::PoolAction;
use crate::link::Link;
use crate::link::Owner;
use crate::link::Purpose;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::statement::MemberCommand;

/// Age at which the latest sample is replaced while reads need one. Staleness bounds are a second
/// or more, so a replica has some hundred milliseconds to receive the sampled position.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(500);

impl Pool {
    /// Takes a sample of the primary's position if reads of the group need a newer one. Returns false
    /// if one is needed, but this VM has no free connection to the primary.
    pub(crate) fn sample_primary(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(group) = self.groups.get_mut(id) else {
            return true;
        };
        let is_recent = |at| now.since(at) < MAX_SAMPLE_AGE;
        if group.is_sampling || group.sampled_at().is_some_and(is_recent) {
            return true;
        }
        let Some(primary) = group.primary.clone() else {
            return true;
        };
        let of_primary =
            |link: &&mut Link| link.group == *id && link.member == primary && link.is_free();
        let Some(link) = self.links.values_mut().find(of_primary) else {
            return false;
        };
        group.is_sampling = true;
        link.owner = Owner::Pool;
        let purpose = Purpose::BeginTransaction {
            requires_primary: true,
        };
        link.push(MemberCommand::Begin { read_only: false }, purpose);
        link.push(MemberCommand::Rollback, Purpose::RollBack);
        link.send(now, actions);
        let link = link.id;
        if let Some(member) = self.member_of(link) {
            member.busy += 1;
        }
        true
    }

    /// Opens a connection to each member that is considered down and is due for another attempt.
    pub(crate) fn probe_down_members(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let mut due = Vec::new();
        for (id, group) in &self.groups {
            for (member, state) in &group.members {
                let is_probed = || {
                    let mut links = self.links.values();
                    links.any(|link| link.group == *id && link.member == *member && !link.is_open)
                };
                if state.down_since.is_some() && !state.is_paused(now) && !is_probed() {
                    due.push((id.clone(), member.clone()));
                }
            }
        }
        for (group, member) in due {
            self.open_pool_link(now, &group, &member, actions);
        }
    }

    /// Opens a connection that the VM itself uses. Members accept connections only for a workspace,
    /// so it uses the first one.
    pub(crate) fn open_pool_link(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        actions: &mut Vec<PoolAction>,
    ) -> Option<ConnectionId> {
        let workspace: WorkspaceId = self.config.rates.keys().next()?.clone();
        let id = self.open_link(now, group, member, workspace, actions);
        if let Some(link) = self.links.get_mut(&id) {
            link.owner = Owner::Pool;
        }
        if let Some(member) = self.member_of(id) {
            member.busy += 1;
        }
        Some(id)
    }

    /// Reports to another VM how long ago this one last received an answer from a member.
    pub(crate) fn contact_requested(
        &mut self,
        now: MonoTime,
        from: &VmId,
        group: GroupId,
        member: MemberId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        state.failover.peer_attempt_started(now);
        let known = state.members.get(&member);
        let last_answer_at = known.and_then(|member| member.last_answer_at);
        let heard_ms =
            last_answer_at.map(|at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX));
        let message = PoolMessage::Contact {
            group,
            member,
            heard_ms,
        };
        self.send_peer(from, message, actions);
    }

    /// Returns the incarnation under which this VM sends messages to its peers.
    pub fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }
}
