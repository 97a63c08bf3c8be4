//! Handles lost connections, deadlines, cancellation and retries.

use crate::exchange::ExchangeAction;
use crate::exchange::Exchanges;
use crate::exchange::budget::retry_delay;
use crate::exchange::role::EventContext;
use crate::exchange::statement::Stage;
use crate::session::SelectorEvent;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::Reason;
use crate::types::RequestId;

impl Exchanges {
    pub(super) fn handle_connection_loss(
        &mut self,
        context: &mut EventContext<'_>,
        connection: ConnectionId,
        statement_unsent: bool,
    ) {
        let Some(usage) = self.connections.remove(&connection) else {
            return;
        };
        let caller = usage.caller;
        let Some(request) = usage.request else {
            self.end_idle_transaction(context, caller);
            return;
        };
        let (group, member) = (usage.group, usage.member);
        let ended = SelectorEvent::StatementEnded { group, member };
        self.selector.handle(context.now, &ended);
        if let Some(statement) = self.statements.get_mut(&request) {
            statement.may_have_run_before |= !statement_unsent;
        }
        // The connection is closed, so no further byte of the statement can reach the target.
        self.leave_connection(request);
        self.retry_or_refuse(context, request, Reason::ConnectionLost);
    }

    /// Ends a transaction whose connection was lost between two statements; the target rolls it
    /// back.
    fn end_idle_transaction(&mut self, context: &mut EventContext<'_>, caller: CallerId) {
        let current = self
            .callers
            .get(&caller)
            .and_then(|state| state.current_request);
        match current {
            Some(request) => self.refuse(context, request, Reason::ConnectionLost),
            None => self.disconnect_caller(context, caller, Reason::ConnectionLost),
        }
    }

    /// Records that a statement is no longer in progress on a connection.
    fn leave_connection(&mut self, request: RequestId) {
        let reason = Reason::ConnectionLost;
        if let Some(until) = self.statements.get(&request).map(|state| state.deadline) {
            self.enter_stage(request, Stage::Backoff { until, reason });
        }
    }

    /// Records that a statement is no longer in a dispatch queue.
    pub(super) fn leave_queue(&mut self, request: RequestId, reason: Reason) {
        if let Some(until) = self.statements.get(&request).map(|state| state.deadline) {
            self.enter_stage(request, Stage::Backoff { until, reason });
        }
    }

    /// Schedules a retry if the statement is safe to repeat or certainly has not run, and refuses
    /// it otherwise. It is also refused if it belongs to a transaction, the retry would miss its
    /// deadline or the retry budget is used up.
    pub(super) fn retry_or_refuse(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        reason: Reason,
    ) {
        let Some(statement) = self.statements.get_mut(&request) else {
            return;
        };
        let pinned = self
            .callers
            .get(&statement.caller)
            .and_then(|c| c.pinned_connection);
        let safe_to_retry = statement.is_safe_to_repeat() || !statement.may_have_run();
        let at = context.now + retry_delay(&mut self.rng, statement.attempt);
        let budget = self.budgets.entry(statement.plan.workspace.clone());
        let allowed = pinned.is_none()
            && safe_to_retry
            && at < statement.deadline
            && budget.or_default().try_spend(context.now);
        if !allowed {
            self.refuse(context, request, reason);
            return;
        }
        statement.attempt += 1;
        statement.may_have_run_before = statement.may_have_run();
        let previous_stage = statement.stage.clone();
        if let Stage::Sent { connection } = previous_stage {
            self.discard_connection(context, connection, reason);
        }
        self.enter_stage(request, Stage::Backoff { until: at, reason });
        context.actions.push(ExchangeAction::Retry {
            request,
            reason,
            at,
        });
    }

    pub(super) fn handle_statement_timer(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
    ) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        if context.now < statement.deadline {
            // The timer was set for the end of a wait for a replica or of a retry delay.
            self.place(context, request);
            return;
        }
        let reason = match &statement.stage {
            Stage::Admission | Stage::WaitingReplica { .. } | Stage::Queued { .. } => {
                Reason::DeadlineInQueue
            }
            Stage::WaitingPrimary { reason } | Stage::Backoff { reason, .. } => *reason,
            Stage::Sent { .. } => Reason::AnswerDeadline,
            Stage::Held(held) if self.is_durable(&statement.plan.group, held) => {
                Reason::AnswerDeadline
            }
            Stage::Held(_) => Reason::NotConfirmedDurable,
        };
        self.refuse(context, request, reason);
    }

    pub(super) fn handle_idle_timeout(&mut self, context: &mut EventContext<'_>, caller: CallerId) {
        if let Some(state) = self.callers.get_mut(&caller) {
            state.idle_deadline = None;
            self.disconnect_caller(context, caller, Reason::Idle);
        }
    }

    /// Cancels the statement in progress; an answer that has already arrived is still delivered.
    pub(super) fn cancel_statement(&mut self, context: &mut EventContext<'_>, caller: CallerId) {
        let Some(request) = self
            .callers
            .get(&caller)
            .and_then(|state| state.current_request)
        else {
            return;
        };
        let stage = self.statements.get(&request).map(|state| &state.stage);
        if !matches!(stage, None | Some(Stage::Held(_))) {
            self.refuse(context, request, Reason::CallerGone);
        }
    }
}
