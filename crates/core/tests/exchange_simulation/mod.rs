//! A simulation that drives one `Exchanges` with clients, connections, faults and promotions.

mod checks;
mod clients;
mod connections;
pub(crate) mod database;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use lycheedoor_core::exchange::AnswerGate;
use lycheedoor_core::exchange::ExchangeEvent;
use lycheedoor_core::exchange::ExchangeLimits;
use lycheedoor_core::exchange::Exchanges;
use lycheedoor_core::session::MemberPlacement;
use lycheedoor_core::session::SelectorEvent;
use lycheedoor_core::session::SessionVector;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::WorkspaceId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use database::Answer;
use database::Database;
use database::MEMBERS;
use database::StatementKind;
use database::member_id;

const CLIENTS: usize = 8;

#[derive(Debug)]
struct Gate {
    term: Term,
    open: bool,
}

impl AnswerGate for Gate {
    fn may_answer(&self, _: MonoTime, _: &GroupId, term: Term) -> bool {
        self.open && self.term == term
    }

    fn expected_queue_time(
        &self,
        _: MonoTime,
        _: &GroupId,
        _: &MemberId,
        _: &WorkspaceId,
    ) -> Duration {
        Duration::from_millis(3)
    }
}

/// An event that is scheduled for a later time.
#[derive(Debug)]
enum ScheduledEvent {
    SendStatement(usize, u64),
    Interrupt(usize, RequestId),
    Report(ExchangeEvent),
    Dispatch(RequestId),
    StatementArrival(ConnectionId, RequestId),
    Answer(ConnectionId, RequestId, Answer),
    LoseConnection(ConnectionId, bool),
    Probe(usize),
    Replicate,
    SetGate(bool),
    PartitionPrimary,
    StartPromotion,
    Promote,
    ReportTerm,
    DemoteOldPrimary(usize),
}

#[derive(Debug, Default)]
struct Client {
    caller: CallerId,
    /// The number of the latest scheduled statement; statements scheduled earlier are not sent.
    schedule_number: u64,
    session: SessionVector,
    current: Option<RequestId>,
    in_transaction: bool,
    /// Whether the last refused statement belonged to a transaction.
    refused_in_transaction: bool,
    transaction: Vec<RequestId>,
    acknowledged: BTreeSet<RequestId>,
}

#[derive(Debug)]
struct Connection {
    member: usize,
    closed: bool,
    lost: bool,
}

#[derive(Debug)]
pub(crate) struct Simulation {
    rng: ChaCha8Rng,
    now: MonoTime,
    sequence: u64,
    scheduled: BTreeMap<(MonoTime, u64), ScheduledEvent>,
    exchanges: Exchanges,
    gate: Gate,
    pub(crate) database: Database,
    clients: Vec<Client>,
    connections: BTreeMap<ConnectionId, Connection>,
    idle: Vec<ConnectionId>,
    queued: BTreeMap<RequestId, MemberId>,
    pending_confirmations: Vec<(usize, Position)>,
    statements: BTreeMap<RequestId, (usize, StatementKind)>,
    sent: BTreeMap<RequestId, ConnectionId>,
    sent_to_primary: BTreeSet<(ConnectionId, RequestId)>,
    answers: BTreeMap<(ConnectionId, RequestId), Answer>,
    pub(crate) outcomes: BTreeMap<RequestId, Outcome>,
    pub(crate) reasons: BTreeMap<Reason, u32>,
    next_id: u64,
    stopping: bool,
}

fn group() -> GroupId {
    GroupId::from("g")
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: MonoTime::from_millis(1),
            sequence: 0,
            scheduled: BTreeMap::new(),
            exchanges: Exchanges::new(ExchangeLimits::default(), seed),
            gate: Gate {
                term: Term(1),
                open: true,
            },
            database: Database::new(),
            clients: (0..CLIENTS).map(|_| Client::default()).collect(),
            connections: BTreeMap::new(),
            idle: Vec::new(),
            queued: BTreeMap::new(),
            pending_confirmations: Vec::new(),
            statements: BTreeMap::new(),
            sent: BTreeMap::new(),
            sent_to_primary: BTreeSet::new(),
            answers: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            next_id: 1,
            stopping: false,
        };
        for index in 0..MEMBERS {
            let (group, member, place) = (group(), member_id(index), MemberPlacement::default());
            let event = SelectorEvent::MemberConfigured {
                group,
                member,
                place,
            };
            simulation.report(ExchangeEvent::MemberStateChanged(event));
            simulation.schedule(0..5_000, ScheduledEvent::Probe(index));
        }
        simulation.report_term();
        (0..CLIENTS).for_each(|client| simulation.start_client(client));
        simulation.schedule(0..2, ScheduledEvent::Replicate);
        simulation.schedule(100_000..200_000, ScheduledEvent::SetGate(false));
        simulation.schedule(50_000..400_000, ScheduledEvent::PartitionPrimary);
        simulation
    }

    /// Runs for a time span, then until every statement has an outcome, and checks the final state.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
        self.stopping = true;
        while self.outcomes.len() < self.statements.len() {
            self.step();
        }
        self.check_final_state();
    }

    fn step(&mut self) {
        let next = self.scheduled.first_key_value().map(|(key, _)| key.0);
        if let Some(at) = self.exchanges.next_deadline().filter(|at| Some(*at) < next) {
            self.now = self.now.max(at);
            self.report(ExchangeEvent::DeadlineReached);
            return;
        }
        let ((at, _), scheduled_event) = self.scheduled.pop_first().unwrap();
        self.now = self.now.max(at);
        self.run_event(scheduled_event);
    }

    fn schedule(&mut self, micros: std::ops::Range<u64>, scheduled_event: ScheduledEvent) {
        let delay = Duration::from_micros(self.rng.random_range(micros));
        self.sequence += 1;
        self.scheduled
            .insert((self.now + delay, self.sequence), scheduled_event);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn report(&mut self, event: ExchangeEvent) {
        let mut actions = Vec::new();
        self.exchanges
            .handle(self.now, event, &self.gate, &mut actions);
        actions
            .into_iter()
            .for_each(|action| self.execute_action(action));
    }

    fn run_event(&mut self, scheduled_event: ScheduledEvent) {
        match scheduled_event {
            ScheduledEvent::SendStatement(client, schedule_number)
                if self.clients[client].schedule_number == schedule_number =>
            {
                self.send_statement(client);
            }
            ScheduledEvent::SendStatement(..) => {}
            ScheduledEvent::Interrupt(client, request) => self.interrupt(client, request),
            ScheduledEvent::Report(event) => self.report(event),
            ScheduledEvent::Dispatch(request) => self.dispatch(request),
            ScheduledEvent::StatementArrival(connection, request) => {
                self.run_statement(connection, request)
            }
            ScheduledEvent::Answer(connection, request, answer) => {
                self.deliver_answer(connection, request, answer);
            }
            ScheduledEvent::LoseConnection(connection, statement_unsent) => {
                self.lose_connection(connection, statement_unsent);
            }
            ScheduledEvent::Probe(index) => {
                self.probe(index);
                self.schedule(10_000..20_000, ScheduledEvent::Probe(index));
            }
            ScheduledEvent::Replicate => self.replicate(),
            ScheduledEvent::SetGate(open) => {
                if self.gate.term == self.database.term {
                    self.gate.open = open;
                }
                self.report(ExchangeEvent::GateChanged);
                let wait = if open {
                    100_000..300_000
                } else {
                    1_000..60_000
                };
                self.schedule(wait, ScheduledEvent::SetGate(!open));
            }
            ScheduledEvent::PartitionPrimary => {
                self.database.partitioned = self.chance(70);
                self.schedule(0..60_000, ScheduledEvent::StartPromotion);
            }
            ScheduledEvent::StartPromotion => {
                self.gate.open = false;
                self.schedule(5_000..40_000, ScheduledEvent::Promote);
            }
            ScheduledEvent::Promote => {
                self.gate.open = false;
                let old = self.database.promote();
                self.schedule(1_000..30_000, ScheduledEvent::ReportTerm);
                self.schedule(0..100_000, ScheduledEvent::DemoteOldPrimary(old));
            }
            ScheduledEvent::ReportTerm => {
                self.report_term();
                self.schedule(150_000..400_000, ScheduledEvent::PartitionPrimary);
            }
            ScheduledEvent::DemoteOldPrimary(old) => self.demote_old_primary(old),
        }
    }

    fn report_term(&mut self) {
        let term = self.database.term;
        self.gate = Gate { term, open: true };
        let primary = Some(member_id(self.database.primary));
        let event = SelectorEvent::TermChanged {
            group: group(),
            term,
            primary,
        };
        self.report(ExchangeEvent::MemberStateChanged(event));
        self.report(ExchangeEvent::GateChanged);
    }

    fn demote_old_primary(&mut self, old: usize) {
        self.database.follow_primary(old);
        let open = self.connections.iter().filter(|(_, c)| c.member == old);
        let open: Vec<ConnectionId> = open.map(|(id, _)| *id).collect();
        open.into_iter()
            .for_each(|connection| self.lose_connection(connection, false));
    }

    fn replicate(&mut self) {
        for index in 0..MEMBERS {
            let (entries, apply) = (self.rng.random_range(0..4), self.rng.random_range(0..3));
            self.database.replicate(index, entries, apply);
        }
        let members = &self.database.members;
        let (done, rest) = std::mem::take(&mut self.pending_confirmations)
            .into_iter()
            .partition(|(index, position)| members[*index].received() >= *position);
        self.pending_confirmations = rest;
        for (index, _) in done {
            let position = self.database.members[index].received();
            let (group, member) = (group(), member_id(index));
            let event = ExchangeEvent::ReceivedConfirmed {
                group,
                member,
                position,
            };
            self.schedule(100..2_000, ScheduledEvent::Report(event));
        }
        self.schedule(300..1_500, ScheduledEvent::Replicate);
    }

    fn probe(&mut self, index: usize) {
        let member = &self.database.members[index];
        let event = SelectorEvent::Observed {
            group: group(),
            member: member_id(index),
            term: Some(member.term),
            applied: Some(member.applied()),
            received: Some(member.received()),
            sent_at: self.now,
        };
        self.schedule(
            100..2_000,
            ScheduledEvent::Report(ExchangeEvent::MemberStateChanged(event)),
        );
    }
}
