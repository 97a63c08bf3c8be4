//! Simulated callers: sessions that connect, read, write, open transactions and move between VMs
//! with their session token.

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::vm::VmEvent;

use crate::database::StatementKind;
use crate::simulation::Event;
use crate::simulation::Simulation;
use crate::statements::Statement;
use crate::topology::*;
use crate::vms::Start;

/// The number of callers with moderate traffic, in addition to the flooders.
pub(crate) const ORDINARY_CALLER_COUNT: usize = 12;
/// The number of callers of each workspace that send statements at a high rate during a flood.
const FLOODERS_PER_WORKSPACE: usize = 4;
/// The time that a caller waits for an answer before it closes its connection.
const CALLER_TIMEOUT_US: u64 = 8_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerRole {
    Ordinary,
    Flooder,
    /// Sends a write to one VM after all faults have ended, and stops once it is answered.
    Probe {
        vm: usize,
    },
}

/// A connection of a caller to a VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerConnection {
    pub(crate) start: Start,
    pub(crate) id: u64,
    pub(crate) accepted: bool,
}

/// A transaction that a caller has opened.
#[derive(Clone, Debug)]
pub(crate) struct CallerTransaction {
    pub(crate) id: u64,
    pub(crate) writes_left: u64,
    pub(crate) operations: Vec<u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) role: CallerRole,
    pub(crate) workspace: usize,
    /// The workspace and generation of the key that the caller presents.
    pub(crate) key: (usize, u64),
    pub(crate) connection: Option<CallerConnection>,
    pub(crate) group: usize,
    pub(crate) route: RouteKind,
    pub(crate) token: Option<String>,
    /// The acknowledged writes of the session, by group.
    pub(crate) acknowledged: [Vec<u64>; GROUP_COUNT],
    pub(crate) current: Option<u64>,
    pub(crate) open_transaction: Option<CallerTransaction>,
    /// The group and operation of a write with an idempotency key that has no answer and will be
    /// retried.
    pub(crate) repeat: Option<(usize, u64)>,
    pub(crate) statements_left: u64,
    /// The number of the step scheduled last; events of earlier steps are ignored.
    pub(crate) step_id: u64,
    pub(crate) answered: u32,
}

impl Caller {
    pub(crate) fn new(role: CallerRole, workspace: usize) -> Self {
        Self {
            role,
            workspace,
            key: (workspace, 0),
            connection: None,
            group: 0,
            route: RouteKind::Write,
            token: None,
            acknowledged: Default::default(),
            current: None,
            open_transaction: None,
            repeat: None,
            statements_left: 0,
            step_id: 0,
            answered: 0,
        }
    }
}

pub(crate) fn new_callers() -> Vec<Caller> {
    let ordinary = (0..ORDINARY_CALLER_COUNT)
        .map(|index| Caller::new(CallerRole::Ordinary, index % WORKSPACE_COUNT));
    let flooders = (0..FLOODERS_PER_WORKSPACE * WORKSPACE_COUNT)
        .map(|index| Caller::new(CallerRole::Flooder, index % WORKSPACE_COUNT));
    ordinary.chain(flooders).collect()
}

impl Simulation {
    /// Schedules the next step of a caller and invalidates the one scheduled before.
    pub(crate) fn schedule_step(&mut self, caller: usize, delay_us: u64) {
        let state = &mut self.callers[caller];
        state.step_id += 1;
        let step_id = state.step_id;
        self.after(delay_us, Event::CallerStep { caller, step_id });
    }

    pub(crate) fn caller_step(&mut self, caller: usize, step_id: u64) {
        let state = &self.callers[caller];
        if state.step_id != step_id || state.current.is_some() {
            return;
        }
        let is_idle = match state.role {
            CallerRole::Probe { .. } => state.answered > 0,
            CallerRole::Ordinary => self.traffic_stopped && state.open_transaction.is_none(),
            CallerRole::Flooder => {
                self.traffic_stopped || self.flood_until[state.workspace] <= self.now
            }
        };
        if is_idle {
            return;
        }
        match state.connection {
            None => self.connect(caller),
            Some(connection) if !connection.accepted => self.disconnect(caller),
            Some(_) if state.statements_left == 0 && state.open_transaction.is_none() => {
                self.disconnect(caller);
            }
            Some(connection) => self.send_request(caller, connection),
        }
    }

    fn choose_vm(&mut self, caller: usize) -> usize {
        if let CallerRole::Probe { vm } = self.callers[caller].role {
            return vm;
        }
        let listed_vms: Vec<usize> = (0..VM_COUNT).filter(|vm| self.listed_vms[*vm]).collect();
        match listed_vms.len() as u64 {
            0 => self.random(0..VM_COUNT as u64) as usize,
            count => listed_vms[self.random(0..count) as usize],
        }
    }

    fn connect(&mut self, caller: usize) {
        let vm = self.choose_vm(caller);
        let start = self.start_of(vm);
        if !self.is_alive(start) {
            let delay = self.random(5_000..40_000);
            return self.schedule_step(caller, delay);
        }
        self.last_caller_id += 1;
        let id = self.last_caller_id;
        let (kind, group) = (
            self.random(0..10),
            self.random(0..GROUP_COUNT as u64) as usize,
        );
        let statements_left = self.random(1..15);
        let wrong_key = self.chance(3);
        let generations = self.generations;
        let state = &mut self.callers[caller];
        if state.role == CallerRole::Ordinary {
            (state.route, state.group) = (choose_route(kind), group);
            if let Some((group, _)) = state.repeat {
                (state.route, state.group) = (RouteKind::Write, group);
            }
        }
        let key_of = (state.workspace + usize::from(wrong_key)) % WORKSPACE_COUNT;
        if wrong_key || key_of != state.key.0 {
            state.key = (key_of, generations[key_of]);
        }
        state.statements_left = statements_left;
        let accepted = false;
        state.connection = Some(CallerConnection {
            start,
            id,
            accepted,
        });
        let event = self.start_message(caller, id);
        self.counts.add("caller connections", 1);
        let delay = self.delay();
        self.after(delay, Event::ToVm(start, event));
        self.schedule_step(caller, 3_000_000);
    }

    fn start_message(&self, caller: usize, id: u64) -> VmEvent {
        let state = &self.callers[caller];
        let open = state.route == RouteKind::Open;
        let (workspace, generation) = state.key;
        VmEvent::CallerStarted {
            caller: CallerId(id),
            workspace: match open {
                true => public_workspace(),
                false => workspace_id(state.workspace),
            },
            key: (!open).then(|| key_digest(workspace, generation)),
            route: route_id(state.group, state.route),
            session_token: state.token.clone().filter(|_| !open),
        }
    }

    /// Closes a caller's connection from the caller's side.
    pub(crate) fn disconnect(&mut self, caller: usize) {
        let Some(connection) = self.callers[caller].connection.take() else {
            return;
        };
        self.abandon_caller_progress(caller);
        let caller_id = CallerId(connection.id);
        let delay = self.delay();
        let event = VmEvent::CallerClosed { caller: caller_id };
        self.after(delay, Event::ToVm(connection.start, event));
        let pause = self.random(100..8_000);
        self.schedule_step(caller, pause);
    }

    /// Clears the transaction and statement in progress of a caller whose connection has ended. The
    /// outcome of the statement is unknown, so one with an idempotency key will be retried.
    pub(crate) fn abandon_caller_progress(&mut self, caller: usize) {
        let state = &mut self.callers[caller];
        state.open_transaction = None;
        let Some(request) = state.current.take() else {
            return;
        };
        let statement = &self.statements[request as usize];
        if statement.keyed {
            state.repeat = Some((statement.group, statement.operation));
        }
    }

    fn send_request(&mut self, caller: usize, connection: CallerConnection) {
        let statement = self.new_statement(caller, connection.start);
        let request = self.statements.len() as u64;
        let idempotency_key = statement.idempotency_key();
        self.counts.add("statements", 1);
        self.statements.push(statement);
        let state = &mut self.callers[caller];
        state.statements_left = state.statements_left.saturating_sub(1);
        state.current = Some(request);
        state.step_id += 1;
        let step_id = state.step_id;
        self.after(CALLER_TIMEOUT_US, Event::CallerTimeout { caller, step_id });
        let event = VmEvent::RequestReceived {
            caller: CallerId(connection.id),
            request: RequestId(request),
            idempotency_key,
        };
        let delay = self.delay();
        self.after(delay, Event::ToVm(connection.start, event));
    }

    fn new_statement(&mut self, caller: usize, start: Start) -> Statement {
        let (roll, writes) = (self.random(0..100), self.random(1..4));
        self.last_operation += 1;
        let mut operation = self.last_operation;
        let state = &mut self.callers[caller];
        let mut keyed = false;
        let kind = match (state.route, &mut state.open_transaction) {
            (RouteKind::Write, Some(open_transaction)) if open_transaction.writes_left == 0 => {
                StatementKind::Commit
            }
            (RouteKind::Write, Some(open_transaction)) => {
                open_transaction.writes_left -= 1;
                StatementKind::TransactionWrite
            }
            (RouteKind::Write, None) => {
                if let Some((_, known)) = state.repeat.take_if(|(group, _)| *group == state.group) {
                    operation = known;
                }
                keyed = operation != self.last_operation || roll < 20;
                match roll {
                    80.. if !keyed && state.role == CallerRole::Ordinary => StatementKind::Begin,
                    _ => StatementKind::Write,
                }
            }
            (RouteKind::Upsert, _) => StatementKind::Write,
            _ => StatementKind::Read,
        };
        if kind == StatementKind::Begin {
            state.open_transaction = Some(CallerTransaction {
                id: operation,
                writes_left: writes,
                operations: Vec::new(),
            });
        }
        let transaction = state
            .open_transaction
            .as_ref()
            .map(|open_transaction| open_transaction.id);
        let open = state.route == RouteKind::Open;
        let must_see = state.acknowledged[state.group].clone();
        Statement {
            caller,
            start,
            workspace: match open {
                true => public_workspace(),
                false => workspace_id(state.workspace),
            },
            key: (!open).then_some(state.key),
            group: state.group,
            route: state.route,
            kind,
            operation,
            keyed,
            transaction,
            must_see: if open { Vec::new() } else { must_see },
            arrived_at: None,
            sent_at: None,
            sent_as_primary: None,
            runs: 0,
            outcome: None,
        }
    }

    pub(crate) fn caller_timeout(&mut self, caller: usize, step_id: u64) {
        if self.callers[caller].step_id == step_id && self.callers[caller].current.is_some() {
            self.counts.add("callers that gave up", 1);
            self.disconnect(caller);
        }
    }

    /// Schedules the next step of a caller, after a delay that depends on the outcome.
    pub(crate) fn schedule_step_after_outcome(&mut self, caller: usize, outcome: Outcome) {
        let flooder = self.callers[caller].role == CallerRole::Flooder;
        let delay = match outcome {
            _ if flooder => self.random(100..2_000),
            Outcome::Answered => self.random(500..60_000),
            Outcome::NotRun | Outcome::Unknown => self.random(2_000..80_000),
        };
        self.schedule_step(caller, delay);
    }
}

fn choose_route(roll: u64) -> RouteKind {
    match roll {
        0..=4 => RouteKind::Write,
        5 => RouteKind::Upsert,
        6 | 7 => RouteKind::Read,
        8 => RouteKind::Aged,
        _ => RouteKind::Open,
    }
}
