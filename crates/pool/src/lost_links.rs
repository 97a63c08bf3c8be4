//! Handles connections to members that are refused, lost or abandoned, and their effect on callers.

use std::collections::BTreeSet;
use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;

use crate::event::PoolAction;
use crate::link::Link;
use crate::link::Owner;
use crate::pool::Pool;
use crate::report::Report;
use crate::session::Operation;
use crate::session::Stage;
use crate::statement::Access;
use crate::statement::CallerError;
use crate::statement::MemberError;
use crate::statement::MemberFault;

/// How long a VM keeps an unused connection that it has to leave to others.
const UNUSED_LINK_TIMEOUT: Duration = Duration::from_millis(500);

impl Pool {
    /// Records that a member did not answer, and reports it when it was considered up until now.
    pub(crate) fn note_member_failure(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        cause: &'static str,
        actions: &mut Vec<PoolAction>,
    ) {
        let known = self
            .groups
            .get_mut(group)
            .and_then(|group| group.members.get_mut(member));
        let Some(state) = known else {
            return;
        };
        let silence = state
            .last_answer_at
            .map_or(Duration::ZERO, |answered_at| now.since(answered_at));
        if state.failed(now) {
            self.record_down(now, group, member, actions);
            actions.push(PoolAction::Report(Report::MemberSuspected {
                group: group.clone(),
                member: member.clone(),
                cause,
                silence,
            }));
        }
    }

    pub(crate) fn link_refused(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        error: &MemberError,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let (group, member) = (link.group.clone(), link.member.clone());
        match error.fault {
            // The member is up but accepts no further connection for now.
            MemberFault::TooManyConnections | MemberFault::Busy => {
                self.record_answer(now, id, None, actions);
                let budget = self.link_budget(&group, &member);
                let is_overloaded = error.fault == MemberFault::Busy;
                if let Some(member) = self.member_of(id) {
                    member.refused_connection(now);
                    if is_overloaded {
                        member.pace.overloaded(now, budget);
                    }
                }
                if is_overloaded {
                    self.note_full_member(now, &group, &member, actions);
                }
            }
            _ => self.note_member_failure(now, &group, &member, "connection refused", actions),
        }
        self.handle_lost_link(now, id, actions);
    }

    pub(crate) fn link_closed(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let (group, member) = (link.group.clone(), link.member.clone());
        let is_expected = link.is_open && link.has_no_pending_commands();
        let is_other = |other: &Link| other.id != id && other.member == member && other.is_open;
        if !is_expected && link.is_open && self.links.values().any(is_other) {
            // Members also close single connections. When the member itself has terminated, the
            // other connections close at the same time.
            if let Some(member) = self.member_of(id) {
                member.lost_connection(now);
            }
        } else if !is_expected {
            self.note_member_failure(now, &group, &member, "connection lost", actions);
        }
        self.handle_lost_link(now, id, actions);
    }

    /// Closes all connections to a member.
    pub(crate) fn close_links_of(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        actions: &mut Vec<PoolAction>,
    ) {
        let of_member = |link: &&Link| link.group == *group && link.member == *member;
        let ids: Vec<_> = self
            .links
            .values()
            .filter(of_member)
            .map(|link| link.id)
            .collect();
        for id in ids {
            actions.push(PoolAction::CloseLink { link: id });
            self.handle_lost_link(now, id, actions);
        }
    }

    /// Closes free connections that exceed this VM's share, or that it has not used for
    /// `UNUSED_LINK_TIMEOUT` although it has to leave unused ones to others. Other VMs need them
    /// after the homes have changed.
    pub(crate) fn close_surplus_links(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let mut surplus = Vec::new();
        let connected: BTreeSet<GroupId> =
            self.links.values().map(|link| link.group.clone()).collect();
        for id in &connected {
            self.update_group_homes(id);
        }
        for (id, group) in &self.groups {
            if group.members.values().all(|member| member.links == 0) {
                continue;
            }
            let homes = self.group_homes(id);
            for (name, member) in &group.members {
                let may_keep_unused = homes.may_keep_unused(name, &self.settings.vm);
                let budget = homes.connection_share(name, &self.settings.vm);
                let of_member = |link: &&Link| link.group == *id && link.member == *name;
                let mut free: Vec<&Link> = self
                    .links
                    .values()
                    .filter(of_member)
                    .filter(|link| link.is_free())
                    .collect();
                free.sort_by_key(|link| link.used_at);
                let excess = usize::try_from(member.links.saturating_sub(budget));
                let excess = excess.unwrap_or(usize::MAX);
                let is_idle = |link: &Link| now.since(link.used_at) >= UNUSED_LINK_TIMEOUT;
                let closed = free
                    .iter()
                    .enumerate()
                    .filter(|(index, link)| *index < excess || !may_keep_unused && is_idle(link));
                surplus.extend(closed.map(|(_, link)| link.id));
            }
        }
        for link in surplus {
            self.close_link(link, actions);
        }
    }

    /// Closes a connection that is no longer needed.
    pub(crate) fn close_link(&mut self, id: ConnectionId, actions: &mut Vec<PoolAction>) {
        self.remove_link(id);
        actions.push(PoolAction::CloseLink { link: id });
    }

    fn remove_link(&mut self, id: ConnectionId) -> Option<Link> {
        let is_busy = self
            .links
            .get(&id)
            .is_some_and(|link| link.owner != Owner::Unowned);
        if let Some(member) = self.member_of(id) {
            member.links = member.links.saturating_sub(1);
            member.busy = member.busy.saturating_sub(u32::from(is_busy));
        }
        let link = self.links.remove(&id)?;
        if let Some(sent_at) = link.operation_sent_at() {
            // The answer is lost; the statement has most likely begun.
            self.count_usage(sent_at, &link.workspace);
        }
        Some(link)
    }

    /// Releases a connection from its user. Answers that are still outstanding are ignored.
    pub(crate) fn release_link(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if link.owner != Owner::Unowned {
            link.owner = Owner::Unowned;
            link.used_at = now;
            if let Some(member) = self.member_of(id) {
                member.busy = member.busy.saturating_sub(1);
            }
        }
        let link = self.links.get(&id);
        let Some((group, member)) = link.map(|link| (link.group.clone(), link.member.clone()))
        else {
            return;
        };
        self.dispatch_group(now, &group, actions);
        let budget = self.link_budget(&group, &member);
        let is_borrowed = self
            .member_of(id)
            .is_some_and(|member| member.links > budget);
        if is_borrowed && self.links.get(&id).is_some_and(Link::is_free) {
            self.close_link(id, actions);
        }
    }

    /// Ends the use of a connection by a caller that has disconnected or has already been answered.
    pub(crate) fn abandon_link(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.drop_unsent();
        if link.awaits_answer() || !link.is_open {
            // Nobody waits for the answer, and the member rolls back its open transaction.
            return self.close_link(id, actions);
        }
        self.roll_back_link(now, id, actions);
    }

    /// Removes a connection that has ended, and retries or fails the statement that used it.
    pub(crate) fn handle_lost_link(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.remove_link(id) else {
            return;
        };
        if link.owner == Owner::Pool
            && let Some(group) = self.groups.get_mut(&link.group)
        {
            group.is_sampling = false;
        }
        let Owner::Caller(caller) = link.owner else {
            return;
        };
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let on_link = session
            .current
            .as_ref()
            .filter(|current| current.stage == Stage::OnLink(id));
        let Some(current) = on_link else {
            if session
                .transaction
                .as_ref()
                .is_some_and(|open| open.link == Some(id))
            {
                self.abort_transaction(now, caller, actions);
            }
            return;
        };
        let was_sent = link.has_sent_statement();
        let is_commit = matches!(current.operation, Operation::Commit);
        let is_read = current.operation.access() == Access::Read && !is_commit;
        let is_single = session.transaction.is_none();
        let has_not_begun = !link.in_transaction;
        if is_commit && was_sent {
            session.transaction = None;
            let cause = "connection lost while committing";
            return self.fail_current(now, caller, CallerError::InDoubt, cause, actions);
        }
        if was_sent && !is_read && is_single {
            let cause = "connection lost after the write was sent";
            return self.fail_current(now, caller, CallerError::InDoubt, cause, actions);
        }
        if is_single || has_not_begun {
            let excluded = was_sent.then_some(&link.member);
            return self.requeue_statement(now, caller, Duration::ZERO, excluded, actions);
        }
        self.abort_transaction(now, caller, actions);
        let cause = "connection lost in the transaction";
        self.fail_current(now, caller, CallerError::Aborted, cause, actions);
    }

    /// Puts a caller's statement back into the queue.
    pub(crate) fn requeue_statement(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        pause: Duration,
        excluded: Option<&MemberId>,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        if let Some(transaction) = &mut session.transaction {
            transaction.link = None;
        }
        let Some(current) = &mut session.current else {
            return;
        };
        current.stage = Stage::Waiting;
        current.attempts += 1;
        current.not_before = now + pause;
        if let Some(member) = excluded {
            current.excluded.push(member.clone());
        }
        let members = self
            .groups
            .get(&current.route.group)
            .map_or(0, |group| group.members.len());
        if current.excluded.len() >= members {
            current.excluded.clear();
            current.needs_primary = true;
        }
        self.enqueue(now, caller, actions);
    }

    pub(crate) fn abort_link(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        actions: &mut Vec<PoolAction>,
    ) {
        actions.push(PoolAction::CloseLink { link: id });
        self.handle_lost_link(now, id, actions);
    }
}
