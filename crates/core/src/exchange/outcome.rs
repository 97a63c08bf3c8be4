//! Reports outcomes. Each statement is removed from the role here, exactly once.

use crate::exchange::ExchangeAction;
use crate::exchange::Exchanges;
use crate::exchange::role::EventContext;
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
    pub(super) fn deliver(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        held: HeldAnswer,
    ) {
        let Some(statement) = self.remove_statement(request) else {
            return;
        };
        let group = &statement.plan.group;
        if !held.failed {
            let budget = self.budgets.entry(statement.plan.workspace.clone());
            budget.or_default().record_success(context.now);
        }
        let Some(caller) = self.callers.get_mut(&statement.caller) else {
            return;
        };
        // A read does not advance a session that already covers the session's own writes.
        let may_advance = !statement.is_read() || caller.session.mark(group).trust != Trust::Proven;
        let advanced = match held.position.filter(|_| may_advance && held.term.is_some()) {
            Some(position) => caller.session.raise_on_primary(group, position),
            None => false,
        };
        caller.current_request = None;
        context.actions.push(ExchangeAction::Deliver {
            caller: statement.caller,
            request,
            session: advanced.then(|| caller.session.clone()),
        });
        if caller.pinned_connection.is_some() {
            let at: MonoTime = context.now + self.limits.idle_transaction_timeout;
            caller.idle_deadline = Some(at);
            self.timers
                .set(at, TimerKey::IdleTransaction(statement.caller));
        }
        self.start_next(context, statement.caller);
    }

    /// Refuses a statement and ends the open transaction of its caller, if any.
    pub(super) fn refuse(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        reason: Reason,
    ) {
        let Some(statement) = self.remove_statement(request) else {
            return;
        };
        self.release_resources(context, request, &statement, reason);
        let (outcome, reason) = statement.refusal_outcome(reason);
        let Some(caller) = self.callers.get_mut(&statement.caller) else {
            return;
        };
        let advanced =
            outcome == Outcome::Unknown && record_unknown_write(&mut caller.session, &statement);
        caller.current_request = None;
        context.actions.push(ExchangeAction::Refuse {
            caller: statement.caller,
            request,
            reason,
            outcome,
            session: advanced.then(|| caller.session.clone()),
        });
        if caller.pinned_connection.is_some() {
            self.disconnect_caller(context, statement.caller, reason);
        } else {
            self.start_next(context, statement.caller);
        }
    }

    /// Drops a statement whose caller has been removed.
    fn abandon(&mut self, context: &mut EventContext<'_>, request: RequestId) {
        let Some(statement) = self.remove_statement(request) else {
            return;
        };
        self.release_resources(context, request, &statement, Reason::CallerGone);
        let (outcome, _) = statement.refusal_outcome(Reason::CallerGone);
        context
            .actions
            .push(ExchangeAction::Abandon { request, outcome });
    }

    /// Disconnects a caller whose transaction cannot continue. It must receive an error and
    /// reconnect, because its next statements would otherwise run outside the transaction.
    pub(super) fn disconnect_caller(
        &mut self,
        context: &mut EventContext<'_>,
        caller: CallerId,
        reason: Reason,
    ) {
        if self.callers.contains_key(&caller) {
            context
                .actions
                .push(ExchangeAction::CloseCaller { caller, reason });
            self.remove_caller(context, caller, reason);
        }
    }

    pub(super) fn handle_caller_closed(
        &mut self,
        context: &mut EventContext<'_>,
        caller: CallerId,
    ) {
        self.remove_caller(context, caller, Reason::CallerGone);
    }

    fn remove_caller(&mut self, context: &mut EventContext<'_>, caller: CallerId, reason: Reason) {
        let Some(state) = self.callers.remove(&caller) else {
            return;
        };
        if let Some(at) = state.idle_deadline {
            self.timers.remove(at, TimerKey::IdleTransaction(caller));
        }
        if let Some(request) = state.current_request {
            self.abandon(context, request);
        }
        for next in state.pipelined {
            context.actions.push(ExchangeAction::Abandon {
                request: next.request,
                outcome: Outcome::NotRun,
            });
        }
        if let Some(connection) = state.pinned_connection {
            self.discard_connection(context, connection, reason);
        }
    }

    /// Closes a connection whose state is unknown, so that it is never reused.
    pub(super) fn discard_connection(
        &mut self,
        context: &mut EventContext<'_>,
        connection: ConnectionId,
        reason: Reason,
    ) {
        let Some(usage) = self.connections.remove(&connection) else {
            return;
        };
        if usage.request.is_some() {
            let (group, member) = (usage.group, usage.member);
            let ended = SelectorEvent::StatementEnded { group, member };
            self.selector.handle(context.now, &ended);
        }
        context
            .actions
            .push(ExchangeAction::CloseConnection { connection, reason });
    }

    fn remove_statement(&mut self, request: RequestId) -> Option<Statement> {
        self.remove_from_indexes(request);
        self.statements.remove(&request)
    }

    /// Releases the queue entry or connection that a statement occupies.
    pub(super) fn release_resources(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        statement: &Statement,
        reason: Reason,
    ) {
        match &statement.stage {
            Stage::Queued { .. } => context.actions.push(ExchangeAction::Withdraw { request }),
            Stage::Sent { connection } => self.discard_connection(context, *connection, reason),
            _ => {}
        }
    }
}

/// Updates a session so that later reads see a write that may have run. Returns whether the session
/// changed.
fn record_unknown_write(session: &mut SessionVector, statement: &Statement) -> bool {
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
