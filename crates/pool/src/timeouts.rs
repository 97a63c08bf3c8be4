//! Timeouts of statements, transactions and connections.

use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MonoTime;

use crate::event::PoolAction;
use crate::link::Owner;
use crate::pool::Pool;
use crate::remote::is_remote;
use crate::session::Operation;
use crate::session::Stage;
use crate::statement::Access;
use crate::statement::CallerError;

/// Timeout for a member to accept a connection. Opening one takes up to 30 ms plus the wait for a
/// slot.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without any answer after which a member with unanswered commands is considered down.
/// Statements take 60 ms at the 99th percentile, and a few hundred with queueing.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Longest wait of a statement for a member, in percent of its timeout; the rest is left to run it.
const MAX_WAIT_PERCENT: u32 = 80;

impl Pool {
    /// Ends statements and idle transactions that have exceeded their time limits.
    pub(crate) fn check_time_limits(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let callers: Vec<CallerId> = self.active.iter().copied().collect();
        for caller in callers {
            self.check_session(now, caller, actions);
        }
    }

    fn check_session(&mut self, now: MonoTime, caller: CallerId, actions: &mut Vec<PoolAction>) {
        let Some(session) = self.sessions.get(&caller) else {
            return;
        };
        let Some(current) = &session.current else {
            let limit = self.config.transaction_idle_limit;
            let open_transaction = session
                .transaction
                .as_ref()
                .filter(|open_transaction| !open_transaction.has_failed);
            let is_over = |limit| {
                open_transaction
                    .is_some_and(|open_transaction| now.since(open_transaction.used_at) > limit)
            };
            if limit.is_some_and(is_over) {
                self.abort_transaction(now, caller, actions);
                if is_remote(caller) {
                    self.drop_remote_session(now, caller, actions);
                }
            }
            return;
        };
        let elapsed = now.since(current.started_at);
        let limit = current.route.statement_timeout;
        let wait_limit = limit * MAX_WAIT_PERCENT / 100;
        match current.stage {
            Stage::Admission | Stage::Waiting if elapsed >= wait_limit => {
                let in_transaction = session.transaction.is_some();
                if in_transaction {
                    self.abort_transaction(now, caller, actions);
                }
                self.fail_current(now, caller, CallerError::Busy, "no member in time", actions);
            }
            Stage::Forwarded => self.check_forwarded(now, caller, actions),
            Stage::OnLink(link) if elapsed >= wait_limit => {
                self.check_assigned_statement(now, caller, link, elapsed >= limit, actions);
            }
            _ => {}
        }
    }

    fn check_assigned_statement(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        id: ConnectionId,
        is_over: bool,
        actions: &mut Vec<PoolAction>,
    ) {
        let was_sent = self
            .links
            .get(&id)
            .is_some_and(|link| link.has_sent_statement());
        if was_sent && !is_over {
            return;
        }
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let Some(current) = &session.current else {
            return;
        };
        let is_commit = matches!(current.operation, Operation::Commit);
        let is_write = current.operation.access() == Access::Write;
        let in_transaction = session.transaction.is_some();
        if let Some(open_transaction) = &mut session.transaction {
            open_transaction.link = None;
            open_transaction.has_failed = true;
        }
        if is_commit {
            session.transaction = None;
        }
        let (error, cause) = match (was_sent, in_transaction, is_commit || is_write) {
            (false, true, _) => (CallerError::Aborted, "no member in time"),
            (false, false, _) => (CallerError::Busy, "no member in time"),
            (true, true, _) if !is_commit => (CallerError::Aborted, "no answer in time"),
            _ => (CallerError::TimedOut, "no answer in time"),
        };
        self.fail_current(now, caller, error, cause, actions);
        self.abandon_link(now, id, actions);
    }

    /// Detects members that do not answer, and closes connections that cannot be used.
    pub(crate) fn check_links(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let mut unresponsive = Vec::new();
        for link in self.links.values() {
            let cause = if !link.is_open && now.since(link.opened_at) > CONNECT_TIMEOUT {
                "no answer to connect"
            } else if link.awaits_answer() && now.since(link.waiting_since) > ANSWER_TIMEOUT {
                "no answer to statement"
            } else {
                continue;
            };
            unresponsive.push((link.id, cause));
        }
        for (id, cause) in unresponsive {
            self.handle_unresponsive_link(now, id, cause, actions);
        }
        self.check_overdue_answers(now, actions);
        self.probe_down_members(now, actions);
    }

    /// Handles a connection whose answer is overdue. Reads are retried elsewhere; a write that was
    /// sent keeps waiting, because its outcome may still arrive.
    fn handle_unresponsive_link(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        cause: &'static str,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let (group, member, owner) = (link.group.clone(), link.member.clone(), link.owner);
        let was_sent = link.has_sent_statement();
        let is_open = link.is_open;
        let last_answer_at = self.member_of(id).and_then(|member| member.last_answer_at);
        let is_unresponsive =
            last_answer_at.is_none_or(|answered_at| now.since(answered_at) > ANSWER_TIMEOUT);
        let is_down = self
            .member_of(id)
            .is_some_and(|member| member.down_since.is_some());
        if is_unresponsive && (!is_down || !is_open) {
            self.note_member_failure(now, &group, &member, cause, actions);
        } else if !is_open {
            // The member answers on other connections, so it has no capacity for this one.
            let budget = self.link_budget(&group, &member);
            if let Some(member) = self.member_of(id) {
                member.refused_connection(now);
                member.pace.overloaded(now, budget);
            }
        }
        let is_read = match owner {
            Owner::Unowned | Owner::Pool => true,
            Owner::Caller(caller) => self.sessions.get(&caller).is_none_or(|session| {
                let current = session.current.as_ref();
                current.is_none_or(|current| {
                    current.operation.access() == Access::Read
                        && !matches!(current.operation, Operation::Commit)
                })
            }),
        };
        if !is_open || is_read && is_unresponsive || !was_sent && is_unresponsive {
            self.abort_link(now, id, actions);
        }
    }
}
