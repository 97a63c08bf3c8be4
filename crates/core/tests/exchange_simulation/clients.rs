//! Simulated clients: the statements that they send, and their cancellations and disconnects.

use std::sync::Arc;
use std::time::Duration;

use lycheedoor_core::config::Access;
use lycheedoor_core::exchange::ExchangeEvent;
use lycheedoor_core::exchange::RequestPlan;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::WorkspaceId;
use rand::RngExt;

use super::ScheduledEvent;
use super::Simulation;
use super::database::StatementKind;
use super::group;

impl Simulation {
    pub(super) fn start_client(&mut self, client: usize) {
        let caller = CallerId(self.new_id());
        let state = &mut self.clients[client];
        state.caller = caller;
        state.current = None;
        state.in_transaction = false;
        state.transaction.clear();
        let session = state.session.clone();
        self.report(ExchangeEvent::CallerStarted { caller, session });
        self.schedule_statement(client);
    }

    pub(super) fn schedule_statement(&mut self, client: usize) {
        self.clients[client].schedule_number += 1;
        let schedule_number = self.clients[client].schedule_number;
        self.schedule(
            0..4_000,
            ScheduledEvent::SendStatement(client, schedule_number),
        );
    }

    pub(super) fn send_statement(&mut self, client: usize) {
        if self.stopping {
            return;
        }
        let kind = self.choose_kind(client);
        let request = RequestId(self.new_id());
        self.statements.insert(request, (client, kind));
        let state = &mut self.clients[client];
        state.current = Some(request);
        state.in_transaction |= kind == StatementKind::Begin;
        let caller = state.caller;
        let plan = RequestPlan {
            workspace: WorkspaceId::from("w"),
            group: group(),
            access: if kind == StatementKind::Read {
                Access::Read
            } else {
                Access::Write
            },
            idempotent: kind == StatementKind::IdempotentWrite,
            max_age: Duration::ZERO,
            timeout: Duration::from_millis(self.rng.random_range(5..150)),
        };
        let key =
            (kind == StatementKind::KeyedWrite).then(|| Arc::from(request.to_string().as_str()));
        self.report(ExchangeEvent::RequestReceived {
            caller,
            request,
            plan: Arc::new(plan),
            idempotency_key: key,
        });
        if self.chance(6) {
            self.schedule(0..20_000, ScheduledEvent::Interrupt(client, request));
        }
    }

    pub(super) fn choose_kind(&mut self, client: usize) -> StatementKind {
        let roll = self.rng.random_range(0..12);
        if self.clients[client].in_transaction {
            return if roll < 7 {
                StatementKind::TransactionWrite
            } else {
                StatementKind::Commit
            };
        }
        match roll {
            0..6 => StatementKind::Read,
            6..8 => StatementKind::Write,
            8 => StatementKind::KeyedWrite,
            9 => StatementKind::IdempotentWrite,
            _ => StatementKind::Begin,
        }
    }

    /// Cancels the statement of a client, or disconnects the client and starts it again.
    pub(super) fn interrupt(&mut self, client: usize, request: RequestId) {
        let caller = self.clients[client].caller;
        if self.clients[client].current != Some(request) {
            return;
        }
        if self.chance(70) {
            self.report(ExchangeEvent::Cancelled { caller });
        } else {
            self.report(ExchangeEvent::CallerClosed { caller });
            self.start_client(client);
        }
    }
}
