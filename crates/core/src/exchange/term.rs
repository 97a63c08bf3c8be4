//! Ends the use of primaries and members that statements may no longer use.

use crate::exchange::ExchangeAction;
use crate::exchange::Exchanges;
use crate::exchange::role::Step;
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
    pub(super) fn replace_term(&mut self, step: &mut Step<'_>, group: &GroupId) {
        if let Some(state) = self.groups.get_mut(group) {
            state.durability.forget();
        }
        let statements: Vec<RequestId> = self
            .statements
            .iter()
            .filter(|(_, statement)| statement.plan.group == *group)
            .map(|(request, _)| *request)
            .collect();
        for request in statements {
            self.replace_statement(step, request);
        }
        self.end_replaced_transactions(step, group);
    }

    fn replace_statement(&mut self, step: &mut Step<'_>, request: RequestId) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        let term = self.selector.term(&statement.plan.group);
        let used_in = match &statement.stage {
            Stage::Queued {
                on_primary: true, ..
            } => return self.requeue(step, request),
            Stage::Sent { connection } => self.connections.get(connection).and_then(|u| u.term),
            Stage::Held(held) => held.term,
            _ => None,
        };
        if used_in.is_some_and(|used_in| used_in < term) {
            self.retry_or_refuse(step, request, Reason::TermReplaced);
        }
    }

    /// Removes a statement from its queue and places it again according to the current state.
    pub(super) fn requeue(&mut self, step: &mut Step<'_>, request: RequestId) {
        step.actions.push(ExchangeAction::Withdraw { request });
        self.leave_queue(request, Reason::NoPrimary);
        self.place(step, request);
    }

    /// Places the statements in a member's queue again if the member cannot be used any more.
    pub(super) fn recheck_queued(
        &mut self,
        step: &mut Step<'_>,
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
            self.requeue(step, request);
        }
    }

    fn end_replaced_transactions(&mut self, step: &mut Step<'_>, group: &GroupId) {
        let term = self.selector.term(group);
        let replaced: Vec<(ConnectionId, CallerId)> = self
            .connections
            .iter()
            .filter(|(_, usage)| usage.group == *group)
            .filter(|(_, usage)| usage.term.is_some_and(|used_in| used_in < term))
            .map(|(connection, usage)| (*connection, usage.caller))
            .collect();
        for (connection, caller) in replaced {
            let current = self.callers.get(&caller).and_then(|state| state.current);
            if let Some(request) = current {
                self.refuse(step, request, Reason::TermReplaced);
            }
            self.discard_connection(step, connection, Reason::TermReplaced);
            self.end_caller(step, caller, Reason::TermReplaced);
        }
    }
}
