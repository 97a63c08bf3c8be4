//! Reports outcomes. Each statement is removed from the role here, exactly once.

use crate::exchange::ExchangeAction;
use crate::exchange::Exchanges;
use crate::exchange::role::Step;
use crate::exchange::statement::HeldAnswer;
use crate::exchange::statement::Stage;
use crate::exchange::statement::Statement;
use crate::exchange::timers::TimerKey;
use crate::session::SelectorEvent;
use crate::session::SessionVector;
use crate::session::Trust;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::MonoTime;
use crate::types::Outcome;
use crate::types::Reason;
use crate::types::RequestId;

impl Exchanges {
    pub(super) fn deliver(&mut self, step: &mut Step<'_>, request: RequestId, held: HeldAnswer) {
        let Some(statement) = self.take(request) else {
            return;
        };
        let group = &statement.plan.group;
        if !held.failed {
            let budget = self.budgets.entry(statement.plan.workspace.clone());
            budget.or_default().succeed(step.now);
        }
        let Some(caller) = self.callers.get_mut(&statement.caller) else {
            return;
        };
        // A read does not advance a session that already covers the session's own writes.
        let moves = !statement.is_read() || caller.session.mark(group).trust != Trust::Proven;
        let moved = match held.position.filter(|_| moves && held.term.is_some()) {
            Some(position) => caller.session.raise_on_primary(group, position),
            None => false,
        };
        caller.current = None;
        step.actions.push(ExchangeAction::Deliver {
            caller: statement.caller,
            request,
            session: moved.then(|| caller.session.clone()),
        });
        if caller.pinned.is_some() {
            let at: MonoTime = step.now + self.limits.idle_transaction;
            caller.idle_timer = Some(at);
            self.timers.set(at, TimerKey::Transaction(statement.caller));
        }
        self.start_next(step, statement.caller);
    }

    /// Refuses a statement and ends the open transaction of its caller, if any.
    pub(super) fn refuse(&mut self, step: &mut Step<'_>, request: RequestId, reason: Reason) {
        let Some(statement) = self.take(request) else {
            return;
        };
        self.free(step, request, &statement, reason);
        let (outcome, reason) = statement.verdict(reason);
        let Some(caller) = self.callers.get_mut(&statement.caller) else {
            return;
        };
        let moved = outcome == Outcome::Unknown && mark_unknown(&mut caller.session, &statement);
        caller.current = None;
        step.actions.push(ExchangeAction::Refuse {
            caller: statement.caller,
            request,
            reason,
            outcome,
            session: moved.then(|| caller.session.clone()),
        });
        if caller.pinned.is_some() {
            self.end_caller(step, statement.caller, reason);
        } else {
            self.start_next(step, statement.caller);
        }
    }

    /// Drops a statement whose caller has been removed.
    fn abandon(&mut self, step: &mut Step<'_>, request: RequestId) {
        let Some(statement) = self.take(request) else {
            return;
        };
        self.free(step, request, &statement, Reason::CallerGone);
        let (outcome, _) = statement.verdict(Reason::CallerGone);
        step.actions
            .push(ExchangeAction::Abandon { request, outcome });
    }

    /// Disconnects a caller whose transaction cannot continue. It must receive an error and
    /// reconnect, because its next statements would otherwise run outside the transaction.
    pub(super) fn end_caller(&mut self, step: &mut Step<'_>, caller: CallerId, reason: Reason) {
        if self.callers.contains_key(&caller) {
            step.actions
                .push(ExchangeAction::CloseCaller { caller, reason });
            self.drop_caller(step, caller, reason);
        }
    }

    pub(super) fn close_caller(&mut self, step: &mut Step<'_>, caller: CallerId) {
        self.drop_caller(step, caller, Reason::CallerGone);
    }

    fn drop_caller(&mut self, step: &mut Step<'_>, caller: CallerId, reason: Reason) {
        let Some(state) = self.callers.remove(&caller) else {
            return;
        };
        if let Some(at) = state.idle_timer {
            self.timers.remove(at, TimerKey::Transaction(caller));
        }
        if let Some(request) = state.current {
            self.abandon(step, request);
        }
        for next in state.pipelined {
            step.actions.push(ExchangeAction::Abandon {
                request: next.request,
                outcome: Outcome::NotRun,
            });
        }
        if let Some(connection) = state.pinned {
            self.discard_connection(step, connection, reason);
        }
    }

    /// Closes a connection whose state is unknown, so that it is never reused.
    pub(super) fn discard_connection(
        &mut self,
        step: &mut Step<'_>,
        connection: ConnectionId,
        reason: Reason,
    ) {
        let Some(usage) = self.connections.remove(&connection) else {
            return;
        };
        if usage.request.is_some() {
            let (group, member) = (usage.group, usage.member);
            let ended = SelectorEvent::StatementEnded { group, member };
            self.selector.handle(step.now, &ended);
        }
        step.actions
            .push(ExchangeAction::CloseConnection { connection, reason });
    }

    fn take(&mut self, request: RequestId) -> Option<Statement> {
        self.detach(request);
        self.statements.remove(&request)
    }

    /// Releases the queue entry or connection that a statement occupies.
    pub(super) fn free(
        &mut self,
        step: &mut Step<'_>,
        request: RequestId,
        statement: &Statement,
        reason: Reason,
    ) {
        match &statement.stage {
            Stage::Queued { .. } => step.actions.push(ExchangeAction::Withdraw { request }),
            Stage::Sent { connection } => self.discard_connection(step, *connection, reason),
            _ => {}
        }
    }
}

/// Updates a session so that later reads see a write that may have run. Returns whether the session
/// changed.
fn mark_unknown(session: &mut SessionVector, statement: &Statement) -> bool {
    let group = &statement.plan.group;
    match &statement.stage {
        _ if statement.is_read() => false,
        Stage::Held(HeldAnswer {
            position: Some(position),
            ..
        }) => session.raise_on_primary(group, *position),
        _ => session.mark_primary_only(group),
    }
}
