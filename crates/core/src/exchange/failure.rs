//! Handles lost connections, deadlines, cancellation and retries.

use crate::exchange::ExchangeAction;
use crate::exchange::Exchanges;
use crate::exchange::budget::retry_delay;
use crate::exchange::role::Step;
use crate::exchange::statement::Stage;
use crate::session::SelectorEvent;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::Reason;
use crate::types::RequestId;

impl Exchanges {
    pub(super) fn lose_connection(
        &mut self,
        step: &mut Step<'_>,
        connection: ConnectionId,
        statement_unsent: bool,
    ) {
        let Some(usage) = self.connections.remove(&connection) else {
            return;
        };
        let caller = usage.caller;
        let Some(request) = usage.request else {
            self.lose_idle_transaction(step, caller);
            return;
        };
        let (group, member) = (usage.group, usage.member);
        let ended = SelectorEvent::StatementEnded { group, member };
        self.selector.handle(step.now, &ended);
        if let Some(statement) = self.statements.get_mut(&request) {
            statement.ran_before |= !statement_unsent;
        }
        // The connection is closed, so no further byte of the statement can reach the target.
        self.enter_unsent(request);
        self.retry_or_refuse(step, request, Reason::ConnectionLost);
    }

    /// Ends a transaction whose connection was lost between two statements; the target rolls it
    /// back.
    fn lose_idle_transaction(&mut self, step: &mut Step<'_>, caller: CallerId) {
        let current = self.callers.get(&caller).and_then(|state| state.current);
        match current {
            Some(request) => self.refuse(step, request, Reason::ConnectionLost),
            None => self.end_caller(step, caller, Reason::ConnectionLost),
        }
    }

    fn enter_unsent(&mut self, request: RequestId) {
        let reason = Reason::ConnectionLost;
        if let Some(until) = self.statements.get(&request).map(|state| state.deadline) {
            self.enter(request, Stage::Backoff { until, reason });
        }
    }

    /// Records that a statement is no longer in a dispatch queue.
    pub(super) fn leave_queue(&mut self, request: RequestId, reason: Reason) {
        if let Some(until) = self.statements.get(&request).map(|state| state.deadline) {
            self.enter(request, Stage::Backoff { until, reason });
        }
    }

    /// Schedules a retry if the statement is safe to repeat or certainly has not run, and refuses
    /// it otherwise. It is also refused if it belongs to a transaction, the retry would miss its
    /// deadline or the retry budget is used up.
    pub(super) fn retry_or_refuse(
        &mut self,
        step: &mut Step<'_>,
        request: RequestId,
        reason: Reason,
    ) {
        let Some(statement) = self.statements.get_mut(&request) else {
            return;
        };
        let pinned = self.callers.get(&statement.caller).and_then(|c| c.pinned);
        let harmless = statement.may_run_twice() || !statement.may_have_run();
        let at = step.now + retry_delay(&mut self.rng, statement.attempt);
        let budget = self.budgets.entry(statement.plan.workspace.clone());
        let allowed = pinned.is_none()
            && harmless
            && at < statement.deadline
            && budget.or_default().take(step.now);
        if !allowed {
            self.refuse(step, request, reason);
            return;
        }
        statement.attempt += 1;
        statement.ran_before = statement.may_have_run();
        let occupied = statement.stage.clone();
        if let Stage::Sent { connection } = occupied {
            self.discard_connection(step, connection, reason);
        }
        self.enter(request, Stage::Backoff { until: at, reason });
        step.actions.push(ExchangeAction::Retry {
            request,
            reason,
            at,
        });
    }

    pub(super) fn statement_due(&mut self, step: &mut Step<'_>, request: RequestId) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        if step.now < statement.deadline {
            // The timer was set for the end of a wait for a replica or of a retry delay.
            self.place(step, request);
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
        self.refuse(step, request, reason);
    }

    pub(super) fn transaction_due(&mut self, step: &mut Step<'_>, caller: CallerId) {
        if let Some(state) = self.callers.get_mut(&caller) {
            state.idle_timer = None;
            self.end_caller(step, caller, Reason::Idle);
        }
    }

    /// Cancels the statement in progress; an answer that has already arrived is still delivered.
    pub(super) fn cancel(&mut self, step: &mut Step<'_>, caller: CallerId) {
        let Some(request) = self.callers.get(&caller).and_then(|state| state.current) else {
            return;
        };
        let stage = self.statements.get(&request).map(|state| &state.stage);
        if !matches!(stage, None | Some(Stage::Held(_))) {
            self.refuse(step, request, Reason::CallerGone);
        }
    }
}
