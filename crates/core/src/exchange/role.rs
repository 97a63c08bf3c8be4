//! The state of the role, and the dispatch of events to their handlers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::exchange::AnswerGate;
use crate::exchange::ExchangeAction;
use crate::exchange::ExchangeEvent;
use crate::exchange::budget::RetryBudget;
use crate::exchange::caller::Caller;
use crate::exchange::caller::Usage;
use crate::exchange::durability::Durability;
use crate::exchange::statement::Stage;
use crate::exchange::statement::Statement;
use crate::exchange::timers::TimerKey;
use crate::exchange::timers::Timers;
use crate::session::ReplicaSelector;
use crate::session::SelectorEvent;
use crate::session::SessionVector;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::MonoTime;
use crate::types::RequestId;
use crate::types::WorkspaceId;

/// Limits of the exchanges of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeLimits {
    /// How long a transaction may stay open without a statement; it occupies a connection and a
    /// slot.
    pub idle_transaction: Duration,
    /// How many statements a caller may send before the answer to its first one.
    pub pipelined: usize,
}

impl Default for ExchangeLimits {
    fn default() -> Self {
        Self {
            idle_transaction: Duration::from_secs(30),
            pipelined: 64,
        }
    }
}

/// The role that owns all statements, callers and connections in use of one VM.
#[derive(Debug)]
pub struct Exchanges {
    pub(super) selector: ReplicaSelector,
    pub(super) callers: BTreeMap<CallerId, Caller>,
    pub(super) statements: BTreeMap<RequestId, Statement>,
    pub(super) connections: BTreeMap<ConnectionId, Usage>,
    pub(super) groups: BTreeMap<GroupId, GroupState>,
    pub(super) budgets: BTreeMap<WorkspaceId, RetryBudget>,
    pub(super) timers: Timers,
    pub(super) rng: ChaCha8Rng,
    pub(super) limits: ExchangeLimits,
}

/// The statements and answers of one group that wait, and what they wait for.
#[derive(Debug, Default)]
pub(super) struct GroupState {
    pub(super) durability: Durability,
    /// Statements whose answers wait only for the lease.
    pub(super) gated: BTreeSet<RequestId>,
    /// Statements that wait until a primary may be used.
    pub(super) waiting_primary: BTreeSet<RequestId>,
    /// Reads that wait for a replica to become fresh enough.
    pub(super) waiting_replica: BTreeSet<RequestId>,
    /// When replicas were last considered for the reads in `waiting_primary`.
    pub(super) rechecked: MonoTime,
    pub(super) probed: Option<MonoTime>,
    /// Whether a planned switchover of the primary is being prepared.
    pub(super) paused: bool,
}

/// The context in which an event is handled: its time, access to other roles, and the actions that
/// have been requested so far.
pub(super) struct Step<'a> {
    pub(super) now: MonoTime,
    pub(super) gate: &'a dyn AnswerGate,
    pub(super) actions: &'a mut Vec<ExchangeAction>,
}

impl Exchanges {
    /// Creates the role without callers or members. The seed determines the random retry delays.
    pub fn new(limits: ExchangeLimits, seed: u64) -> Self {
        Self {
            selector: ReplicaSelector::new(),
            callers: BTreeMap::new(),
            statements: BTreeMap::new(),
            connections: BTreeMap::new(),
            groups: BTreeMap::new(),
            budgets: BTreeMap::new(),
            timers: Timers::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            limits,
        }
    }

    /// Returns the replica selector, which holds the known state of the members.
    pub fn selector(&self) -> &ReplicaSelector {
        &self.selector
    }

    /// Returns the current session of a caller, or `None` if the caller is unknown.
    pub fn session(&self, caller: CallerId) -> Option<&SessionVector> {
        self.callers.get(&caller).map(|caller| &caller.session)
    }

    /// Returns the number of statements that have no outcome yet, including pipelined ones.
    pub fn in_progress(&self) -> usize {
        self.statements.len()
            + self
                .callers
                .values()
                .map(|caller| caller.pipelined.len())
                .sum::<usize>()
    }

    /// Returns whether a caller has neither a statement nor a transaction in progress. An unknown
    /// caller is idle.
    pub fn is_idle(&self, caller: CallerId) -> bool {
        self.callers.get(&caller).is_none_or(|state| {
            state.current.is_none() && state.pinned.is_none() && state.pipelined.is_empty()
        })
    }

    /// Returns the number of callers with an open transaction.
    pub fn open_transactions(&self) -> usize {
        self.callers
            .values()
            .filter(|caller| caller.pinned.is_some())
            .count()
    }

    /// Returns when [`ExchangeEvent::DeadlineReached`] must be reported next, if at all.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.timers.next()
    }

    /// Handles an event and appends the resulting actions.
    ///
    /// Deadlines that have passed take effect first, so that a VM that was suspended does not
    /// deliver an answer after its deadline.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: ExchangeEvent,
        gate: &dyn AnswerGate,
        actions: &mut Vec<ExchangeAction>,
    ) {
        let step = &mut Step { now, gate, actions };
        // These events report that a statement has left its queue, so an expired deadline must not
        // withdraw it again.
        let from_queue = matches!(
            event,
            ExchangeEvent::Dispatched { .. } | ExchangeEvent::DispatchRefused { .. }
        );
        if !from_queue {
            self.run_timers(step);
        }
        self.handle_event(step, event);
        self.run_timers(step);
    }

    fn handle_event(&mut self, step: &mut Step<'_>, event: ExchangeEvent) {
        match event {
            ExchangeEvent::CallerStarted { caller, session } => {
                let state = Caller {
                    session,
                    ..Caller::default()
                };
                self.callers.entry(caller).or_insert(state);
            }
            ExchangeEvent::RequestReceived {
                caller,
                request,
                plan,
                idempotency_key,
            } => self.receive(step, caller, request, plan, idempotency_key),
            ExchangeEvent::AdmissionDecided { request, refused } => {
                self.decide_admission(step, request, refused);
            }
            ExchangeEvent::Dispatched {
                request,
                connection,
                member,
            } => self.dispatch(step, request, connection, member),
            ExchangeEvent::DispatchRefused { request, reason } => {
                if self.is_queued(request) {
                    self.leave_queue(request, reason);
                    self.refuse(step, request, reason);
                }
            }
            ExchangeEvent::ConnectionLost {
                connection,
                statement_unsent,
            } => self.lose_connection(step, connection, statement_unsent),
            ExchangeEvent::TargetAnswered {
                connection,
                request,
                position,
                status,
                failed,
            } => self.answer(step, connection, request, position, status, failed),
            ExchangeEvent::ReceivedConfirmed {
                group,
                member,
                position,
            } => self.confirm(step, &group, &member, position),
            ExchangeEvent::AwaitFailed { group, member } => {
                self.fail_await(step, &group, &member);
            }
            ExchangeEvent::Members(event) => self.update_members(step, &event),
            ExchangeEvent::PauseChanged { group, paused } => {
                self.change_pause(step, &group, paused);
            }
            ExchangeEvent::GateChanged => self.recheck_gate(step),
            ExchangeEvent::Cancelled { caller } => self.cancel(step, caller),
            ExchangeEvent::CallerClosed { caller } => self.close_caller(step, caller),
            ExchangeEvent::DeadlineReached => {}
        }
    }

    fn run_timers(&mut self, step: &mut Step<'_>) {
        while let Some(key) = self.timers.pop_due(step.now) {
            match key {
                TimerKey::Statement(request) => self.statement_due(step, request),
                TimerKey::Transaction(caller) => self.transaction_due(step, caller),
                TimerKey::Await(group) => {
                    if let Some(state) = self.groups.get_mut(&group) {
                        state.durability.retry_timer = None;
                    }
                    self.ask_replicas(step, &group);
                }
            }
        }
    }

    fn update_members(&mut self, step: &mut Step<'_>, event: &SelectorEvent) {
        let (group, old_term) = match event {
            SelectorEvent::MemberConfigured { group, .. }
            | SelectorEvent::MemberRemoved { group, .. }
            | SelectorEvent::TermChanged { group, .. }
            | SelectorEvent::PromotionReported { group, .. }
            | SelectorEvent::Observed { group, .. }
            | SelectorEvent::PrimaryPosition { group, .. }
            | SelectorEvent::ReachabilityChanged { group, .. }
            | SelectorEvent::StatementStarted { group, .. }
            | SelectorEvent::StatementEnded { group, .. } => (group, self.selector.term(group)),
        };
        self.selector.handle(step.now, event);
        self.sample_primary(step, event);
        match event {
            SelectorEvent::TermChanged { .. } if self.selector.term(group) > old_term => {
                self.replace_term(step, group);
            }
            SelectorEvent::Observed {
                member,
                received: Some(position),
                ..
            } => {
                self.confirm(step, group, member, *position);
                return self.place_observed(step, group);
            }
            SelectorEvent::Observed { .. }
            | SelectorEvent::PrimaryPosition { .. }
            | SelectorEvent::StatementStarted { .. }
            | SelectorEvent::StatementEnded { .. } => return self.place_observed(step, group),
            SelectorEvent::ReachabilityChanged { member, .. } => {
                self.fail_await(step, group, member);
                self.recheck_queued(step, group, member);
            }
            SelectorEvent::MemberConfigured { member, .. }
            | SelectorEvent::MemberRemoved { member, .. } => {
                self.recheck_queued(step, group, member);
            }
            SelectorEvent::TermChanged { .. } | SelectorEvent::PromotionReported { .. } => {}
        }
        self.place_waiting(step, group);
    }

    /// Moves a statement to another stage and updates the indexes and timers accordingly.
    pub(super) fn enter(&mut self, request: RequestId, stage: Stage) {
        self.detach(request);
        let Some(statement) = self.statements.get_mut(&request) else {
            return;
        };
        statement.stage = stage;
        statement.timer = statement.due();
        self.timers
            .set(statement.timer, TimerKey::Statement(request));
        let state = self.groups.entry(statement.plan.group.clone()).or_default();
        match &statement.stage {
            Stage::WaitingPrimary { .. } => {
                state.waiting_primary.insert(request);
            }
            Stage::WaitingReplica { .. } => {
                state.waiting_replica.insert(request);
            }
            Stage::Held(held) => match held.position.filter(|_| held.needs_replica) {
                Some(position) => state.durability.hold(position, request),
                None => {
                    state.gated.insert(request);
                }
            },
            _ => {}
        }
    }

    /// Removes a statement from the indexes and timers.
    pub(super) fn detach(&mut self, request: RequestId) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        self.timers
            .remove(statement.timer, TimerKey::Statement(request));
        let Some(state) = self.groups.get_mut(&statement.plan.group) else {
            return;
        };
        match &statement.stage {
            Stage::WaitingPrimary { .. } => {
                state.waiting_primary.remove(&request);
            }
            Stage::WaitingReplica { .. } => {
                state.waiting_replica.remove(&request);
            }
            Stage::Held(held) => match held.position.filter(|_| held.needs_replica) {
                Some(position) => state.durability.release(position, request),
                None => {
                    state.gated.remove(&request);
                }
            },
            _ => {}
        }
    }
}
