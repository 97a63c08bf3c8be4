//! Connections from VMs to members, the execution of statements there, and replication.

use std::sync::Arc;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_core::vm::VmEvent;

use crate::database::Answer;
use crate::database::LogEntry;
use crate::database::Transaction;
use crate::simulation::Event;
use crate::simulation::Simulation;
use crate::topology::*;
use crate::vms::Start;

const CONNECT_DELAY_US: u64 = 10_000;
const CONNECT_TIMEOUT_US: u64 = 300_000;
const MEMBER_TICK_INTERVAL_US: u64 = 5_000;
/// The interval at which a stream retransmits while its link is cut.
const RESEND_INTERVAL_US: u64 = 40_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionKey {
    pub(crate) start: Start,
    pub(crate) id: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Connection {
    pub(crate) member: usize,
    /// Whether the VM has closed the connection or has been notified that it ended.
    pub(crate) closed: bool,
    /// Whether the connection is broken, so that nothing arrives over it any more.
    lost: bool,
    /// Whether the statement in progress was never written to the connection.
    unsent: bool,
    /// The statement that the VM has sent and that has not been answered.
    pub(crate) in_progress: Option<u64>,
    /// Whether a statement is in flight to the member or runs there.
    pub(crate) running: bool,
    pub(crate) transaction: Option<Transaction>,
}

impl Simulation {
    pub(crate) fn open_connection(
        &mut self,
        start: Start,
        connection: ConnectionId,
        member: &MemberId,
    ) {
        let member = index_from_name(member.as_str());
        let key = ConnectionKey {
            start,
            id: connection.0,
        };
        let new_connection = Connection {
            member,
            ..Connection::default()
        };
        self.connections.insert(key, new_connection);
        self.check_connections(member);
        self.after(CONNECT_DELAY_US, Event::Connect(key));
    }

    pub(crate) fn connect_to_member(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get(&key).filter(|found| !found.closed) else {
            return;
        };
        let (member, vm) = (connection.member, key.start.vm);
        let target = &self.members[member];
        let accepts = !target.is_down(self.now) && target.paused_until <= self.now;
        if accepts && self.links.passes_both(self.now, vm, member_node(member)) {
            let connection = ConnectionId(key.id);
            let delay = self.delay();
            let event = VmEvent::ConnectionOpened { connection };
            self.after(delay, Event::ToVm(key.start, event));
        } else {
            self.after(CONNECT_TIMEOUT_US, Event::ConnectionLost(key));
        }
    }

    pub(crate) fn close_connection(&mut self, start: Start, connection: ConnectionId) {
        let id = connection.0;
        let key = ConnectionKey { start, id };
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.closed = true;
            // Bytes that were written earlier still arrive, even after a cut.
            let delay = self.delay();
            self.after(15_000 + delay, Event::ConnectionCloseArrives(key));
        }
    }

    /// Ends the transaction of a closed connection on the member, once all bytes sent before the
    /// close have arrived.
    pub(crate) fn connection_close_arrives(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if connection.running && !connection.lost {
            return self.after(MEMBER_TICK_INTERVAL_US, Event::ConnectionCloseArrives(key));
        }
        connection.transaction = None;
    }

    pub(crate) fn connection_lost(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        connection.lost = true;
        connection.transaction = None;
        if std::mem::replace(&mut connection.closed, true) {
            return;
        }
        connection.in_progress = None;
        let statement_unsent = connection.unsent;
        let connection = ConnectionId(key.id);
        let event = VmEvent::ConnectionClosed {
            connection,
            statement_unsent,
        };
        self.handle_vm_event(key.start, event);
    }

    /// Breaks all connections to a member, as a restart of its process does.
    pub(crate) fn reset_member(&mut self, member: usize) {
        let keys: Vec<ConnectionKey> = self.connections_where(|c| c.member == member && !c.lost);
        for key in keys {
            if let Some(connection) = self.connections.get_mut(&key) {
                connection.lost = true;
                connection.transaction = None;
            }
            let after = self.random(300..40_000);
            self.after(after, Event::ConnectionLost(key));
        }
    }

    /// Closes all connections of a VM whose process has ended. Bytes that it has sent still arrive.
    pub(crate) fn reset_connections_of(&mut self, start: Start) {
        let keys: Vec<ConnectionKey> = self.connections.keys().copied().collect();
        for key in keys.into_iter().filter(|key| key.start == start) {
            self.close_connection(start, ConnectionId(key.id));
        }
    }

    fn connections_where(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<ConnectionKey> {
        let found = self.connections.iter().filter(|(_, c)| predicate(c));
        found.map(|(key, _)| *key).collect()
    }

    /// Rolls back the open transactions of a member that has been demoted.
    pub(crate) fn abort_transactions(&mut self, member: usize) {
        for connection in self.connections.values_mut() {
            if let Some(open) = &mut connection.transaction
                && connection.member == member
            {
                open.aborted = true;
            }
        }
    }

    pub(crate) fn send_statement(
        &mut self,
        start: Start,
        connection: ConnectionId,
        request: RequestId,
        workspace: &WorkspaceId,
        idempotency_key: Option<String>,
    ) {
        let id = connection.0;
        let (key, request) = (ConnectionKey { start, id }, request.0);
        let Some(member) = self.connections.get(&key).map(|found| found.member) else {
            let text = format!("statement {request} goes to unknown connection {key:?}");
            return self.oracle.record_violation(self.now, 3, text);
        };
        self.check_sent(key, member, request, workspace, idempotency_key);
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if let Some(other) = connection.in_progress.replace(request) {
            let text = format!("statement {request} is sent while {other} is in progress");
            self.oracle.record_violation(self.now, 9, text);
        }
        if connection.closed {
            return;
        }
        if connection.lost {
            connection.unsent = true;
            return;
        }
        connection.running = true;
        let delay = self.delay();
        self.after(delay, Event::StatementArrives(key, request));
    }

    pub(crate) fn statement_arrives(&mut self, key: ConnectionKey, request: u64) {
        let Some(connection) = self.connections.get(&key).filter(|found| !found.lost) else {
            return;
        };
        let member = connection.member;
        if !self
            .links
            .passes(self.now, key.start.vm, member_node(member))
        {
            return self.resend(key, Event::StatementArrives(key, request));
        }
        let target = &self.members[member];
        if target.paused_until > self.now {
            return self.at(target.paused_until, Event::StatementArrives(key, request));
        }
        let duration = match self.random(0..200) {
            0 => self.random(100_000..2_500_000),
            1..=20 => self.random(5_000..60_000),
            _ => self.random(200..3_000),
        };
        self.after(duration, Event::StatementRuns(key, request));
    }

    /// Retransmits over a cut link, or breaks the connection with a probability of 4%.
    fn resend(&mut self, key: ConnectionKey, event: Event) {
        if self.chance(4) {
            self.after(RESEND_INTERVAL_US, Event::ConnectionLost(key));
        } else {
            self.after(RESEND_INTERVAL_US, event);
        }
    }

    pub(crate) fn statement_runs(&mut self, key: ConnectionKey, request: u64) {
        let Some(connection) = self.connections.get(&key).filter(|found| !found.lost) else {
            return;
        };
        let member = connection.member;
        let paused_until = self.members[member].paused_until;
        if paused_until > self.now {
            return self.at(paused_until, Event::StatementRuns(key, request));
        }
        let answer = self.run_statement(key, member, request);
        self.record_trace(|| format!("member {member} ran {request} on {key:?}: {answer:?}"));
        let delay = self.delay();
        let answer = Box::new(answer);
        self.after(delay, Event::AnswerArrives(key, request, answer));
    }

    fn run_statement(&mut self, key: ConnectionKey, member: usize, request: u64) -> Answer {
        self.check_transaction(key, request);
        let target = &mut self.members[member];
        let statement = &mut self.statements[request as usize];
        let mut transaction = None;
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.running = false;
            transaction = connection.transaction.take();
        }
        let (kind, operation) = (statement.kind, statement.operation);
        let mut answer = target.run(kind, operation, statement.keyed, &mut transaction);
        answer.missing = target.missing(&statement.must_see);
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.transaction = transaction;
        }
        self.statement_ran(request, !answer.failed);
        answer
    }

    pub(crate) fn answer_arrives(&mut self, key: ConnectionKey, request: u64, answer: Answer) {
        let Some(connection) = self.connections.get_mut(&key).filter(|found| !found.lost) else {
            return;
        };
        let node = member_node(connection.member);
        if !self.links.passes(self.now, node, key.start.vm) {
            return self.resend(key, Event::AnswerArrives(key, request, Box::new(answer)));
        }
        let event = VmEvent::TargetAnswered {
            connection: ConnectionId(key.id),
            request: RequestId(request),
            position: Some(answer.position),
            status: answer.status,
            failed: answer.failed,
        };
        // The decision logic sees a late answer, but the driver has dropped its contents.
        if connection.closed {
            self.counts.add("late answers", 1);
        } else {
            connection.in_progress = None;
            if self.is_alive(key.start) {
                self.vms[key.start.vm].answers.insert(request, answer);
            }
        }
        self.handle_vm_event(key.start, event);
    }

    pub(crate) fn members_tick(&mut self) {
        self.after(MEMBER_TICK_INTERVAL_US, Event::MembersTick);
        for from in 0..MEMBER_COUNT {
            let source = &self.members[from];
            if source.is_primary() && !source.is_down(self.now) && source.paused_until <= self.now {
                self.replicate_from(from);
            }
        }
        for member in &mut self.members {
            member.apply(self.now);
        }
        self.answer_completed_waits();
    }

    fn replicate_from(&mut self, from: usize) {
        let mut copy = None;
        for to in members_of(group_of(from)).filter(|to| *to != from) {
            let (source, target) = (&self.members[from], &self.members[to]);
            let same = (target.term, target.log_term, target.log.len())
                == (source.term, source.log_term, source.log.len());
            let (one, other) = (member_node(from), member_node(to));
            let stalled = target.receive_stalled_until > self.now || target.has_outage(self.now);
            if same || stalled || !self.links.passes_both(self.now, one, other) {
                continue;
            }
            let log = copy.get_or_insert_with(|| Arc::new(source.log.clone()));
            let (log, term) = (Arc::clone(log), source.term);
            let delay = self.delay();
            self.after(delay, Event::Replicate { to, term, log });
        }
    }

    pub(crate) fn replicate(&mut self, to: usize, term: Term, log: &[LogEntry]) {
        let target = &mut self.members[to];
        if target.has_outage(self.now) {
            return;
        }
        if target.receive(term, log) {
            self.abort_transactions(to);
        }
        self.members[to].apply(self.now);
        self.answer_completed_waits();
    }
}
