//! Ends or requeues statements when the term of their group changes or their member becomes
//! unusable.

use crate::exchange::ExchangeAction;
use crate::exchange::Exchanges;
use crate::exchange::role::EventContext;
use crate::exchange::statement::Stage;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::Reason;
use crate::types::RequestId;

impl Exchanges {
    /// Ends the statements and transactions on the primary of an earlier term. They can no longer
    /// be acknowledged, so waiting for them would only delay the caller.
    pub(super) fn handle_term_change(&mut self, context: &mut EventContext<'_>, group: &GroupId) {
        if let Some(state) = self.groups.get_mut(group) {
            state.durability.clear_confirmations();
        }
        let statements: Vec<RequestId> = self
            .statements
            .iter()
            .filter(|(_, statement)| statement.plan.group == *group)
            .map(|(request, _)| *request)
            .collect();
        for request in statements {
            self.end_statement_of_replaced_term(context, request);
        }
        self.end_replaced_transactions(context, group);
    }

    /// Requeues a statement that waits for a primary, and retries or refuses one that was sent in
    /// an earlier term.
    fn end_statement_of_replaced_term(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
    ) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        let term = self.selector.term(&statement.plan.group);
        let used_term = match &statement.stage {
            Stage::Queued {
                on_primary: true, ..
            } => return self.requeue(context, request),
            Stage::Sent { connection } => self.connections.get(connection).and_then(|u| u.term),
            Stage::Held(held) => held.term,
            _ => None,
        };
        if used_term.is_some_and(|used_term| used_term < term) {
            self.retry_or_refuse(context, request, Reason::TermReplaced);
        }
    }

    /// Removes a statement from its queue and places it again according to the current state.
    pub(super) fn requeue(&mut self, context: &mut EventContext<'_>, request: RequestId) {
        context.actions.push(ExchangeAction::Withdraw { request });
        self.leave_queue(request, Reason::NoPrimary);
        self.place(context, request);
    }

    /// Places the statements in a member's queue again if the member cannot be used any more.
    pub(super) fn requeue_from_unusable_member(
        &mut self,
        context: &mut EventContext<'_>,
        group: &GroupId,
        member: &MemberId,
    ) {
        if self.selector.is_usable(group, member) {
            return;
        }
        let queued: Vec<RequestId> = self
            .statements
            .iter()
            .filter(|(_, statement)| statement.plan.group == *group)
            .filter(|(_, statement)| match &statement.stage {
                Stage::Queued { member: queue, .. } => queue == member,
                _ => false,
            })
            .map(|(request, _)| *request)
            .collect();
        for request in queued {
            self.requeue(context, request);
        }
    }

    fn end_replaced_transactions(&mut self, context: &mut EventContext<'_>, group: &GroupId) {
        let term = self.selector.term(group);
        let replaced: Vec<(ConnectionId, CallerId)> = self
            .connections
            .iter()
            .filter(|(_, usage)| usage.group == *group)
            .filter(|(_, usage)| usage.term.is_some_and(|used_term| used_term < term))
            .map(|(connection, usage)| (*connection, usage.caller))
            .collect();
        for (connection, caller) in replaced {
            let current = self
                .callers
                .get(&caller)
                .and_then(|state| state.current_request);
            if let Some(request) = current {
                self.refuse(context, request, Reason::TermReplaced);
            }
            self.discard_connection(context, connection, Reason::TermReplaced);
            self.disconnect_caller(context, caller, Reason::TermReplaced);
        }
    }
}
