//! Executes the actions of the role and checks each of them against the state of the simulated
//! database.

use lycheedoor_core::exchange::AnswerGate;
use lycheedoor_core::exchange::ExchangeAction;
use lycheedoor_core::exchange::ExchangeEvent;
use lycheedoor_core::session::SessionVector;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::vm::TransactionStatus;
use rand::RngExt;

use super::ScheduledEvent;
use super::Simulation;
use super::database::StatementKind;
use super::database::member_index;
use super::group;

impl Simulation {
    pub(super) fn execute_action(&mut self, action: ExchangeAction) {
        match action {
            ExchangeAction::Admit { request, .. } => {
                let refused = self.chance(2).then_some(Reason::OverRate);
                let event = ExchangeEvent::AdmissionDecided { request, refused };
                self.schedule(0..500, ScheduledEvent::Report(event));
            }
            ExchangeAction::Enqueue {
                request, member, ..
            } => self.queue(request, member),
            ExchangeAction::Withdraw { request } => {
                assert!(
                    self.queued.remove(&request).is_some(),
                    "{request} was not queued"
                );
            }
            ExchangeAction::Send {
                request,
                connection,
                ..
            } => self.send(request, connection),
            ExchangeAction::AwaitReceived {
                member, position, ..
            } => {
                if self.chance(5) {
                    let group = group();
                    let event = ExchangeEvent::ReceivedNotConfirmed { group, member };
                    self.schedule(0..3_000, ScheduledEvent::Report(event));
                } else {
                    self.pending_confirmations
                        .push((member_index(&member), position));
                }
            }
            ExchangeAction::ProbeMember { member, .. } => self.probe(member_index(&member)),
            ExchangeAction::Retry { request, .. } => {
                assert!(!self.outcomes.contains_key(&request));
            }
            ExchangeAction::Deliver {
                caller,
                request,
                session,
            } => {
                self.check_delivery(request);
                self.record_outcome(request, Outcome::Answered);
                self.finish_statement(caller, session);
            }
            ExchangeAction::Refuse {
                caller,
                request,
                reason,
                outcome,
                session,
            } => {
                let says_unknown = reason.sqlstate().starts_with("LD1");
                assert_eq!(
                    says_unknown,
                    outcome == Outcome::Unknown,
                    "{reason:?} {outcome:?}"
                );
                *self.reasons.entry(reason).or_default() += 1;
                self.record_outcome(request, outcome);
                // No transaction is open after a refusal.
                let client = &mut self.clients[self.statements[&request].0];
                client.refused_in_transaction = std::mem::take(&mut client.in_transaction);
                client.transaction.clear();
                self.finish_statement(caller, session);
            }
            ExchangeAction::Abandon { request, outcome } => self.record_outcome(request, outcome),
            ExchangeAction::CloseCaller { caller, .. } => {
                let client = self
                    .clients
                    .iter()
                    .position(|c| c.caller == caller)
                    .unwrap();
                let state = &self.clients[client];
                let transaction = state.in_transaction || state.refused_in_transaction;
                assert!(transaction, "a caller was closed without a transaction");
                self.start_client(client);
            }
            ExchangeAction::CloseConnection { connection, .. } => self.close(connection),
            ExchangeAction::ReleaseConnection { connection } => self.release(connection),
        }
    }

    fn queue(&mut self, request: RequestId, member: MemberId) {
        let before = self.queued.insert(request, member);
        assert_eq!(before, None, "{request} is queued twice");
        let wait = if self.chance(5) { 30_000 } else { 2_000 };
        self.schedule(0..wait, ScheduledEvent::Dispatch(request));
    }

    fn send(&mut self, request: RequestId, connection: ConnectionId) {
        let state = &self.connections[&connection];
        assert!(
            !state.closed && !state.lost,
            "{connection} is used after it was closed or lost"
        );
        let index = state.member;
        let kind = self.statements[&request].1;
        if kind != StatementKind::Read {
            assert!(self.gate.open, "{request} is sent without a valid lease");
            assert_eq!(self.database.term, self.gate.term);
            assert_eq!(index, self.database.primary);
        }
        if index == self.database.primary && self.gate.term == self.database.term {
            self.sent_to_primary.insert((connection, request));
        }
        self.sent.insert(request, connection);
        match self.rng.random_range(0..100) {
            0..2 => self.schedule(0..2_000, ScheduledEvent::LoseConnection(connection, true)),
            2 => self.schedule(0..2_000, ScheduledEvent::LoseConnection(connection, false)),
            3 => {}
            _ => self.schedule(
                100..2_000,
                ScheduledEvent::StatementArrival(connection, request),
            ),
        }
    }

    fn close(&mut self, connection: ConnectionId) {
        let state = self.connections.get_mut(&connection).unwrap();
        assert!(
            !self.idle.contains(&connection),
            "{connection} is closed while it is idle in the pool"
        );
        assert!(!state.closed, "{connection} is closed twice");
        state.closed = true;
        if self.chance(50) {
            self.database.transactions.remove(&connection);
        }
    }

    fn release(&mut self, connection: ConnectionId) {
        let state = &self.connections[&connection];
        assert!(!state.closed, "{connection} is pooled after it was closed");
        let open = self.database.transactions.contains_key(&connection);
        assert!(
            !open || state.lost,
            "{connection} is pooled with an open transaction"
        );
        if !state.lost {
            self.idle.push(connection);
        }
    }

    fn record_outcome(&mut self, request: RequestId, outcome: Outcome) {
        let before = self.outcomes.insert(request, outcome);
        assert_eq!(before, None, "{request} has two outcomes");
    }

    /// Checks that the answer belongs to the caller's statement, comes from a usable member and
    /// includes the caller's own writes.
    fn check_delivery(&mut self, request: RequestId) {
        let (client, kind) = self.statements[&request];
        let connection = self.sent[&request];
        let answer = &self.answers[&(connection, request)];
        let state = &mut self.clients[client];
        assert_eq!(state.current, Some(request), "answer to another request");
        if self.sent_to_primary.contains(&(connection, request)) {
            let open = self.gate.may_answer(self.now, &group(), self.gate.term);
            assert!(
                open,
                "{request} is answered by the primary without a valid lease"
            );
        }
        let written: Vec<RequestId> = match kind {
            StatementKind::Read => {
                let own = &state.acknowledged;
                assert!(
                    own.is_subset(&answer.visible),
                    "{request} does not see its own writes"
                );
                return;
            }
            StatementKind::TransactionWrite => {
                state.transaction.push(request);
                vec![]
            }
            StatementKind::Begin => vec![],
            StatementKind::Commit => std::mem::take(&mut state.transaction),
            _ => vec![request],
        };
        state.in_transaction = answer.status != TransactionStatus::Idle;
        assert!(
            self.gate.may_answer(self.now, &group(), self.database.term),
            "{request} is acknowledged by a primary that has been replaced"
        );
        if !answer.failed {
            state.acknowledged.extend(written);
        }
    }

    fn finish_statement(&mut self, caller: CallerId, session: Option<SessionVector>) {
        let client = self
            .clients
            .iter()
            .position(|c| c.caller == caller)
            .unwrap();
        if let Some(session) = session {
            self.clients[client].session = session;
        }
        self.clients[client].current = None;
        self.schedule_statement(client);
    }

    pub(super) fn check_final_state(&mut self) {
        let log = &self.database.members[self.database.primary].log;
        let count = |wanted: RequestId| log.iter().filter(|(_, r)| *r == wanted).count();
        for client in &self.clients {
            for write in &client.acknowledged {
                assert!(count(*write) >= 1, "acknowledged write {write} is lost");
            }
        }
        for (request, outcome) in &self.outcomes {
            let runs = self.database.runs.get(request).copied().unwrap_or(0);
            let (_, kind) = self.statements[request];
            assert!(
                *outcome != Outcome::NotRun || runs == 0,
                "{request} ran but was reported as not run: {kind:?}"
            );
            assert!(
                *outcome != Outcome::Answered || runs > 0,
                "{request} was answered but never ran"
            );
            let may_repeat = matches!(
                kind,
                StatementKind::Read | StatementKind::IdempotentWrite | StatementKind::KeyedWrite
            );
            assert!(
                may_repeat || runs <= 1,
                "{request} ran {runs} times: {kind:?}"
            );
            assert!(
                kind != StatementKind::KeyedWrite || count(*request) <= 1,
                "the keyed write {request} took effect more than once"
            );
        }
        assert_eq!(self.exchanges.in_progress(), 0);
    }
}
