//! Rate limits of workspaces: each operation takes a token of its workspace before it is served.

use lycheedoor_core::rates::MAX_TOKEN_WAIT;
use lycheedoor_core::rates::RatesAction;
use lycheedoor_core::rates::RatesEvent;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::WorkspaceId;

use crate::event::PoolAction;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::session::Operation;
use crate::session::Stage;
use crate::statement::CallerError;

/// Longest wait of an operation for a token, in percent of its route's latency target. A result
/// that is somewhat late is worth more to the caller than none. An operation that would wait longer
/// is better retried by the caller, at a VM that may have tokens.
const MAX_TOKEN_WAIT_PERCENT: u32 = 150;

impl Pool {
    /// Passes an event to the rate limiter and carries out its actions.
    pub(crate) fn run_rates(
        &mut self,
        now: MonoTime,
        event: RatesEvent,
        actions: &mut Vec<PoolAction>,
    ) {
        let mut decided = Vec::new();
        self.rates.handle(now, event, &mut decided);
        for action in decided {
            match action {
                RatesAction::Admitted { request } => self.handle_admitted(now, request, actions),
                RatesAction::Refused { request, .. } => self.handle_refused(now, request, actions),
                RatesAction::Send { to, message } => {
                    self.send_peer(&to, PoolMessage::Rates(message), actions);
                }
                // A VM that stops keeps its fleet record, because it usually restarts in seconds.
                RatesAction::LoansReturned => {}
            }
        }
    }

    /// Requests a token for a caller's current statement.
    pub(crate) fn request_admission(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        workspace: &WorkspaceId,
        actions: &mut Vec<PoolAction>,
    ) {
        let current = self
            .sessions
            .get(&caller)
            .and_then(|session| session.current.as_ref());
        let Some(current) = current else {
            return;
        };
        let request = current.request;
        if !self.config.rates.contains_key(workspace) {
            // Only callers of a public route have no workspace, and no rate limit applies to them.
            return self.continue_admitted(now, caller, actions);
        }
        let max_wait = current.route.target_latency * MAX_TOKEN_WAIT_PERCENT / 100;
        // A statement that comes back from another VM may have used up its wait, but not its timeout.
        let deadline = (current.started_at + max_wait).max(now + MAX_TOKEN_WAIT);
        // Tokens go to the highest priority first. The others get theirs in order of arrival, so that
        // none of them starves, and so do all where the group does not share room by priority.
        let is_highest = self.is_highest_priority(&current.route);
        let priority = match self.shares_room(&current.route.group) {
            true => u8::from(!is_highest),
            false => 0,
        };
        if self.is_isolated() {
            let cause = "neither the store nor another VM is in reach";
            return self.fail_current(now, caller, CallerError::Busy, cause, actions);
        }
        self.awaiting_admission.insert(request, caller);
        let event = RatesEvent::Admit {
            workspace: workspace.clone(),
            request,
            deadline,
            priority,
        };
        self.run_rates(now, event, actions);
    }

    /// Cancels the pending request for a token, if there is one.
    pub(crate) fn cancel_admission(
        &mut self,
        now: MonoTime,
        request: RequestId,
        actions: &mut Vec<PoolAction>,
    ) {
        if self.awaiting_admission.remove(&request).is_some() {
            self.run_rates(now, RatesEvent::Cancelled { request }, actions);
        }
    }

    fn handle_admitted(
        &mut self,
        now: MonoTime,
        request: RequestId,
        actions: &mut Vec<PoolAction>,
    ) {
        if let Some(caller) = self.awaiting_admission.remove(&request) {
            self.continue_admitted(now, caller, actions);
        }
    }

    /// Continues with a caller's current statement once it needs no further token.
    fn continue_admitted(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let session = self.sessions.get_mut(&caller);
        let Some(current) = session.and_then(|session| session.current.as_mut()) else {
            return;
        };
        if let Operation::Begin { read_only } = current.operation {
            return self.begin_transaction(now, caller, read_only, actions);
        }
        current.stage = Stage::Waiting;
        self.enqueue(now, caller, actions);
    }

    fn handle_refused(&mut self, now: MonoTime, request: RequestId, actions: &mut Vec<PoolAction>) {
        let Some(caller) = self.awaiting_admission.remove(&request) else {
            return;
        };
        self.fail_current(now, caller, CallerError::Busy, "over the rate", actions);
    }
}
