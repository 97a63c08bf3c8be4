//! Processes answers of targets: checks them against the session, holds them until they are durable
//! and the lease is valid, then delivers them.

use std::time::Duration;

use crate::exchange::ExchangeAction;
use crate::exchange::Exchanges;
use crate::exchange::caller::ConnectionUse;
use crate::exchange::durability::replicas_needed;
use crate::exchange::role::EventContext;
use crate::exchange::statement::HeldAnswer;
use crate::exchange::statement::Stage;
use crate::exchange::timers::TimerKey;
use crate::session::SelectorEvent;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::Position;
use crate::types::Reason;
use crate::types::RequestId;
use crate::vm::TransactionStatus;

/// The delay before a replica that failed to confirm a position is asked again.
const AWAIT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Exchanges {
    pub(super) fn handle_answer(
        &mut self,
        context: &mut EventContext<'_>,
        connection: ConnectionId,
        request: RequestId,
        position: Option<Position>,
        status: TransactionStatus,
        failed: bool,
    ) {
        let usage = self.connections.get_mut(&connection);
        let Some(usage) = usage.filter(|usage| usage.request == Some(request)) else {
            // The connection is no longer used for this statement, so the answer is stale.
            return;
        };
        usage.request = None;
        let usage = usage.clone();
        self.record_answer(context, &usage, position);
        if usage.term.is_none() && !self.covers_session(request, position) {
            self.redirect_to_primary(context, request, connection, status);
        } else {
            self.pin_or_release_connection(context, &usage, connection, status);
            self.hold_answer(context, request, &usage, position, failed);
        }
        self.place_waiting_reads(context, &usage.group);
    }

    fn record_answer(
        &mut self,
        context: &EventContext<'_>,
        usage: &ConnectionUse,
        position: Option<Position>,
    ) {
        let (group, member) = (usage.group.clone(), usage.member.clone());
        let ended = SelectorEvent::StatementEnded { group, member };
        self.selector.handle(context.now, &ended);
        let observed = SelectorEvent::Observed {
            group: usage.group.clone(),
            member: usage.member.clone(),
            term: None,
            applied: position,
            received: None,
            sent_at: usage.sent_at,
        };
        self.selector.handle(context.now, &observed);
        self.record_primary_position(context, &observed);
    }

    /// Uses a position reported by the primary to bound the age of the data on replicas. Does so
    /// only while the lease is valid, because a replaced primary may lack newer writes.
    pub(super) fn record_primary_position(
        &mut self,
        context: &EventContext<'_>,
        event: &SelectorEvent,
    ) {
        let SelectorEvent::Observed {
            group,
            member,
            term: reported,
            applied: Some(position),
            sent_at,
            ..
        } = event
        else {
            return;
        };
        let term = self.selector.term(group);
        let in_term = reported.unwrap_or(position.term) == term;
        if in_term
            && !self.selector.is_promotion_pending(group)
            && self.selector.primary(group) == Some(member)
            && context.gate.may_answer(context.now, group, term)
        {
            let sample = SelectorEvent::PrimaryPosition {
                group: group.clone(),
                term,
                position: *position,
                sent_at: *sent_at,
            };
            self.selector.handle(context.now, &sample);
        }
    }

    fn covers_session(&self, request: RequestId, position: Option<Position>) -> bool {
        let Some(statement) = self.statements.get(&request) else {
            return false;
        };
        let caller = self.callers.get(&statement.caller);
        let wanted = caller.and_then(|c| c.session.mark(&statement.plan.group).position);
        wanted.is_none() || wanted <= position
    }

    /// Discards a replica's answer that is older than the session and runs the read on the primary.
    fn redirect_to_primary(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        connection: ConnectionId,
        status: TransactionStatus,
    ) {
        let Some(statement) = self.statements.get_mut(&request) else {
            return;
        };
        let pinned = self
            .callers
            .get(&statement.caller)
            .and_then(|c| c.pinned_connection);
        if pinned.is_some() {
            self.refuse(context, request, Reason::ConnectionLost);
            return;
        }
        statement.primary_only = true;
        statement.may_have_run_before = true;
        self.connections.remove(&connection);
        let reason = Reason::ReplicaBehind;
        context.actions.push(match status {
            TransactionStatus::Idle => ExchangeAction::ReleaseConnection { connection },
            _ => ExchangeAction::CloseConnection { connection, reason },
        });
        let at = context.now;
        context.actions.push(ExchangeAction::Retry {
            request,
            reason,
            at,
        });
        self.place(context, request);
    }

    /// Pins the connection to the caller while a transaction is open, and releases it otherwise.
    fn pin_or_release_connection(
        &mut self,
        context: &mut EventContext<'_>,
        usage: &ConnectionUse,
        connection: ConnectionId,
        status: TransactionStatus,
    ) {
        let Some(caller) = self.callers.get_mut(&usage.caller) else {
            return;
        };
        if status == TransactionStatus::Idle {
            caller.pinned_connection = None;
            self.connections.remove(&connection);
            context
                .actions
                .push(ExchangeAction::ReleaseConnection { connection });
        } else {
            caller.pinned_connection = Some(connection);
        }
    }

    fn hold_answer(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        usage: &ConnectionUse,
        position: Option<Position>,
        failed: bool,
    ) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        // A position of a later term means that there was a promotion that this VM does not know
        // about yet.
        let term = usage
            .term
            .map(|term| position.map_or(term, |seen| seen.term.max(term)));
        // Any statement on a write route may contain a commit, whatever transaction state it
        // leaves.
        let needs_replica = term.is_some() && !statement.is_read();
        let held = HeldAnswer {
            term,
            position,
            needs_replica,
            failed,
        };
        self.enter_stage(request, Stage::Held(held));
        if needs_replica && position.is_none() {
            self.refuse(context, request, Reason::NotConfirmedDurable);
            return;
        }
        if !self.try_deliver(context, request) && needs_replica {
            self.request_confirmations(context, &usage.group);
        }
    }

    /// Delivers a held answer if it is durable and the lease is valid now. Returns whether it was
    /// delivered.
    pub(super) fn try_deliver(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
    ) -> bool {
        let Some(statement) = self.statements.get(&request) else {
            return false;
        };
        let Stage::Held(held) = statement.stage else {
            return false;
        };
        let group = &statement.plan.group;
        let permitted = held
            .term
            .is_none_or(|term| context.gate.may_answer(context.now, group, term));
        if !permitted || !self.is_durable(group, &held) {
            return false;
        }
        self.deliver(context, request, held);
        true
    }

    pub(super) fn is_durable(&self, group: &GroupId, held: &HeldAnswer) -> bool {
        if !held.needs_replica {
            return true;
        }
        let (Some(term), Some(position), Some(state)) =
            (held.term, held.position, self.groups.get(group))
        else {
            return false;
        };
        let replicas = replicas_needed(self.selector.member_count(group));
        state.durability.is_durable(position, term, replicas)
    }

    pub(super) fn handle_confirmation(
        &mut self,
        context: &mut EventContext<'_>,
        group: &GroupId,
        member: &MemberId,
        position: Position,
    ) {
        if self.selector.primary(group) == Some(member) {
            return;
        }
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        state.durability.record_confirmation(member, position);
        for request in state.durability.held_up_to(position) {
            self.try_deliver(context, request);
        }
        self.request_confirmations(context, group);
    }

    pub(super) fn handle_await_failure(
        &mut self,
        context: &mut EventContext<'_>,
        group: &GroupId,
        member: &MemberId,
    ) {
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        state.durability.cancel_request(member);
        if state.durability.retry_at.is_none() {
            let at = context.now + AWAIT_RETRY_DELAY;
            state.durability.retry_at = Some(at);
            self.timers
                .set(at, TimerKey::ConfirmationRetry(group.clone()));
        }
    }

    /// Asks each replica without an outstanding request to confirm the highest position that a held
    /// answer waits for.
    pub(super) fn request_confirmations(
        &mut self,
        context: &mut EventContext<'_>,
        group: &GroupId,
    ) {
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        for member in self.selector.reachable_replicas(group) {
            if let Some(position) = state.durability.next_request(member) {
                context.actions.push(ExchangeAction::AwaitReceived {
                    group: group.clone(),
                    member: member.clone(),
                    position,
                });
            }
        }
    }

    pub(super) fn recheck_gate(&mut self, context: &mut EventContext<'_>) {
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in &groups {
            let Some(state) = self.groups.get(group) else {
                continue;
            };
            let mut held: Vec<RequestId> = state.waiting_lease.iter().copied().collect();
            held.extend(state.durability.all_held());
            for request in held {
                self.try_deliver(context, request);
            }
            self.place_waiting_statements(context, group);
        }
    }
}
