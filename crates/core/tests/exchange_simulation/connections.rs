//! Simulated connections to the members, with connection losses, late answers and duplicates.

use lycheedoor_core::exchange::ExchangeEvent;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;

use super::Connection;
use super::ScheduledEvent;
use super::Simulation;
use super::database::Answer;
use super::database::StatementKind;
use super::database::member_index;

impl Simulation {
    pub(super) fn dispatch(&mut self, request: RequestId) {
        let Some(member) = self.queued.remove(&request) else {
            return;
        };
        if self.chance(1) {
            let reason = Reason::QueueFull;
            self.report(ExchangeEvent::DispatchRefused { request, reason });
            return;
        }
        let index = member_index(&member);
        let found = self
            .idle
            .iter()
            .position(|id| self.connections[id].member == index);
        let connection = match found {
            Some(at) => self.idle.swap_remove(at),
            None => {
                let id = ConnectionId(self.new_id());
                let state = Connection {
                    member: index,
                    closed: false,
                    lost: false,
                };
                self.connections.insert(id, state);
                id
            }
        };
        self.report(ExchangeEvent::Dispatched {
            request,
            connection,
            member,
        });
    }

    /// Runs a statement on its member and schedules the answer. A statement on a connection that
    /// was closed or lost may still reach the member.
    pub(super) fn run_statement(&mut self, connection: ConnectionId, request: RequestId) {
        let state = &self.connections[&connection];
        let index = state.member;
        let ended = state.closed || state.lost;
        if ended && (self.chance(50) || !self.transaction_state_matches(connection, request)) {
            return;
        }
        let kind = self.statements[&request].1;
        let failed = self.chance(3);
        let answer = self.database.run(index, connection, request, kind, failed);
        if ended {
            self.database.transactions.remove(&connection);
        }
        self.answers.insert((connection, request), answer.clone());
        let slow = if self.chance(2) { 50_000 } else { 3_000 };
        self.schedule(
            100..slow,
            ScheduledEvent::Answer(connection, request, answer.clone()),
        );
        if self.chance(5) {
            // A late duplicate must have no effect.
            self.schedule(
                100..60_000,
                ScheduledEvent::Answer(connection, request, answer),
            );
        }
        if self.chance(3) {
            self.schedule(0..3_000, ScheduledEvent::LoseConnection(connection, false));
        }
    }

    pub(super) fn transaction_state_matches(
        &self,
        connection: ConnectionId,
        request: RequestId,
    ) -> bool {
        let in_transaction = matches!(
            self.statements[&request].1,
            StatementKind::TransactionWrite | StatementKind::Commit
        );
        self.database.transactions.contains_key(&connection) == in_transaction
    }

    pub(super) fn deliver_answer(
        &mut self,
        connection: ConnectionId,
        request: RequestId,
        answer: Answer,
    ) {
        if self.connections[&connection].lost && self.chance(50) {
            return;
        }
        self.report(ExchangeEvent::TargetAnswered {
            connection,
            request,
            position: Some(answer.position),
            status: answer.status,
            failed: answer.failed,
        });
    }

    pub(super) fn lose_connection(&mut self, connection: ConnectionId, statement_unsent: bool) {
        let state = self.connections.get_mut(&connection).unwrap();
        if state.closed || state.lost {
            return;
        }
        state.lost = true;
        self.idle.retain(|id| *id != connection);
        if statement_unsent || self.chance(50) {
            self.database.transactions.remove(&connection);
        }
        self.report(ExchangeEvent::ConnectionLost {
            connection,
            statement_unsent,
        });
    }
}
