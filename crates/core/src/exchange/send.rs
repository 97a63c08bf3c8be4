//! Checks dispatched statements again and sends them.

use std::time::Duration;

use crate::exchange::ExchangeAction;
use crate::exchange::Exchanges;
use crate::exchange::caller::ConnectionUse;
use crate::exchange::role::EventContext;
use crate::exchange::statement::Stage;
use crate::session::ReadQuery;
use crate::session::SelectorEvent;
use crate::types::ConnectionId;
use crate::types::MemberId;
use crate::types::Reason;
use crate::types::RequestId;

impl Exchanges {
    /// Sends a dispatched statement if its member may still run it, and places it again otherwise.
    pub(super) fn handle_dispatch(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        connection: ConnectionId,
        member: MemberId,
    ) {
        let Some(on_primary) = self.queued_on_primary(request, &member) else {
            context
                .actions
                .push(ExchangeAction::ReleaseConnection { connection });
            return;
        };
        if !self.is_placement_valid(context, request, &member, on_primary) {
            context
                .actions
                .push(ExchangeAction::ReleaseConnection { connection });
            self.leave_queue(request, Reason::DeadlineInQueue);
            self.place(context, request);
            return;
        }
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        let group = statement.plan.group.clone();
        let usage = ConnectionUse {
            caller: statement.caller,
            request: None,
            term: on_primary.then(|| self.selector.term(&group)),
            group,
            member,
            sent_at: context.now,
        };
        self.connections.insert(connection, usage);
        self.send(context, request, connection);
    }

    pub(super) fn is_queued(&self, request: RequestId) -> bool {
        let stage = self.statements.get(&request).map(|state| &state.stage);
        matches!(stage, Some(Stage::Queued { .. }))
    }

    fn queued_on_primary(&self, request: RequestId, wanted: &MemberId) -> Option<bool> {
        match &self.statements.get(&request)?.stage {
            Stage::Queued { member, on_primary } if member == wanted => Some(*on_primary),
            _ => None,
        }
    }

    fn is_placement_valid(
        &self,
        context: &EventContext<'_>,
        request: RequestId,
        member: &MemberId,
        on_primary: bool,
    ) -> bool {
        let Some(statement) = self.statements.get(&request) else {
            return false;
        };
        if statement.deadline <= context.now {
            return false;
        }
        let group = &statement.plan.group;
        if on_primary {
            let term = self.selector.term(group);
            return self.selector.usable_primary(group) == Ok(member)
                && !self.is_paused(group)
                && context.gate.may_answer(context.now, group, term);
        }
        let Some(caller) = self.callers.get(&statement.caller) else {
            return false;
        };
        let query = ReadQuery {
            group,
            mark: caller.session.mark(group),
            max_staleness: statement.plan.max_age,
            primary_queue: Duration::ZERO,
            waited: Duration::ZERO,
        };
        self.selector.may_serve(context.now, &query, member)
    }

    /// Sends a statement of an open transaction, or lets it wait while the lease is not valid.
    pub(super) fn send_pinned(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        connection: ConnectionId,
    ) {
        let Some(usage) = self.connections.get(&connection) else {
            return;
        };
        let permitted = usage
            .term
            .is_none_or(|term| context.gate.may_answer(context.now, &usage.group, term));
        if permitted {
            self.send(context, request, connection);
        } else {
            self.enter_stage(
                request,
                Stage::WaitingPrimary {
                    reason: Reason::LeaseLost,
                },
            );
        }
    }

    fn send(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        connection: ConnectionId,
    ) {
        self.enter_stage(request, Stage::Sent { connection });
        let (Some(statement), Some(usage)) = (
            self.statements.get(&request),
            self.connections.get_mut(&connection),
        ) else {
            return;
        };
        usage.request = Some(request);
        usage.sent_at = context.now;
        let started = SelectorEvent::StatementStarted {
            group: usage.group.clone(),
            member: usage.member.clone(),
        };
        self.selector.handle(context.now, &started);
        context.actions.push(ExchangeAction::Send {
            request,
            connection,
            workspace: statement.plan.workspace.clone(),
            idempotency_key: statement.idempotency_key.clone(),
        });
    }
}
