//! Replies to callers, and the continuation of a session after a reply.

use bytes::Bytes;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::WorkspaceId;

use crate::event::CallerReply;
use crate::event::PoolAction;
use crate::pool::Pool;
use crate::report::Report;
use crate::requests::PUBLIC_WORKSPACE;
use crate::session::Session;
use crate::statement::CallerError;
use crate::statement::TransactionState;

impl Pool {
    /// Fails a caller's current statement and continues with the next request of the session.
    pub(crate) fn fail_current(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        error: CallerError,
        cause: &'static str,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let Some(current) = session.current.take() else {
            return;
        };
        let workspace = session.login.as_ref().map(|login| login.workspace.clone());
        let group = current.route.group.clone();
        actions.push(PoolAction::Report(Report::StatementFailed {
            caller,
            id: current.id,
            workspace: workspace.unwrap_or_else(|| WorkspaceId::from(PUBLIC_WORKSPACE)),
            group: Some(group.clone()),
            member: current.last_member,
            last_fault: current.last_fault,
            attempts: current.attempts,
            error,
            cause,
            version: self.config.version,
            elapsed: now.since(current.started_at),
        }));
        self.cancel_admission(now, current.request, actions);
        self.leave_queue(caller, &group);
        self.reply_error(caller, error, cause, actions);
        self.next_request(now, caller, actions);
    }

    /// Handles the requests that a caller sent ahead, until one of them becomes the current
    /// statement.
    pub(crate) fn next_request(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        match &mut session.transaction {
            Some(open) if session.current.is_none() => open.used_at = now,
            None if session.current.is_none() => {
                self.active.remove(&caller);
            }
            _ => {}
        }
        if session.current.is_none()
            && let Some(request) = session.backlog.pop_front()
        {
            self.caller_sent(now, caller, request, actions);
            self.next_request(now, caller, actions);
        }
    }

    pub(crate) fn reply_done(&self, caller: CallerId, actions: &mut Vec<PoolAction>) {
        let reply = CallerReply::Done {
            rows: Bytes::new(),
            signature: None,
            state: self.transaction_state_of(caller),
            position: None,
        };
        actions.push(PoolAction::Reply { caller, reply });
    }

    pub(crate) fn reply_error(
        &self,
        caller: CallerId,
        error: CallerError,
        text: &str,
        actions: &mut Vec<PoolAction>,
    ) {
        self.reply_error_at(caller, error, text, None, actions);
    }

    pub(crate) fn reply_error_at(
        &self,
        caller: CallerId,
        error: CallerError,
        text: &str,
        position: Option<Position>,
        actions: &mut Vec<PoolAction>,
    ) {
        let reply = CallerReply::Failed {
            error,
            text: text.to_owned(),
            state: self.transaction_state_of(caller),
            position,
        };
        actions.push(PoolAction::Reply { caller, reply });
    }

    pub(crate) fn transaction_state_of(&self, caller: CallerId) -> TransactionState {
        self.sessions
            .get(&caller)
            .map(Session::transaction_state)
            .unwrap_or_default()
    }
}
