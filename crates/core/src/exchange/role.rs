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
use crate::exchange::caller::ConnectionUse;
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
    pub idle_transaction_timeout: Duration,
    /// How many statements of a caller may wait behind the one in progress.
    pub max_pipelined_statements: usize,
}

impl Default for ExchangeLimits {
    fn default() -> Self {
        Self {
            idle_transaction_timeout: Duration::from_secs(30),
            max_pipelined_statements: 64,
        }
    }
}

/// The role that owns all statements, callers and connections in use of one VM.
#[derive(Debug)]
pub struct Exchanges {
    pub(super) selector: ReplicaSelector,
    pub(super) callers: BTreeMap<CallerId, Caller>,
    pub(super) statements: BTreeMap<RequestId, Statement>,
    pub(super) connections: BTreeMap<ConnectionId, ConnectionUse>,
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
    pub(super) waiting_lease: BTreeSet<RequestId>,
    /// Statements that wait until a primary may be used.
    pub(super) waiting_primary: BTreeSet<RequestId>,
    /// Reads that wait for a replica to become fresh enough.
    pub(super) waiting_replica: BTreeSet<RequestId>,
    /// When replicas were last considered for the reads in `waiting_primary`.
    pub(super) last_recheck: MonoTime,
    pub(super) last_probe: Option<MonoTime>,
    /// Whether a planned switchover of the primary is being prepared.
    pub(super) paused: bool,
}

/// The context in which an event is handled: its time, access to other roles, and the actions that
/// have been requested so far.
pub(super) struct EventContext<'a> {
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
            state.current_request.is_none()
                && state.pinned_connection.is_none()
                && state.pipelined.is_empty()
        })
    }

    /// Returns the number of callers with an open transaction.
    pub fn open_transactions(&self) -> usize {
        self.callers
            .values()
            .filter(|caller| caller.pinned_connection.is_some())
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
        let context = &mut EventContext { now, gate, actions };
        // These events report that a statement has left its queue, so an expired deadline must not
        // withdraw it again.
        let from_queue = matches!(
            event,
            ExchangeEvent::Dispatched { .. } | ExchangeEvent::DispatchRefused { .. }
        );
        if !from_queue {
            self.run_timers(context);
        }
        self.handle_event(context, event);
        self.run_timers(context);
    }

    fn handle_event(&mut self, context: &mut EventContext<'_>, event: ExchangeEvent) {
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
            } => self.receive_statement(context, caller, request, plan, idempotency_key),
            ExchangeEvent::AdmissionDecided { request, refused } => {
                self.handle_admission(context, request, refused);
            }
            ExchangeEvent::Dispatched {
                request,
                connection,
                member,
            } => self.handle_dispatch(context, request, connection, member),
            ExchangeEvent::DispatchRefused { request, reason } => {
                if self.is_queued(request) {
                    self.leave_queue(request, reason);
                    self.refuse(context, request, reason);
                }
            }
            ExchangeEvent::ConnectionLost {
                connection,
                statement_unsent,
            } => self.handle_connection_loss(context, connection, statement_unsent),
            ExchangeEvent::TargetAnswered {
                connection,
                request,
                position,
                status,
                failed,
            } => self.handle_answer(context, connection, request, position, status, failed),
            ExchangeEvent::ReceivedConfirmed {
                group,
                member,
                position,
            } => self.handle_confirmation(context, &group, &member, position),
            ExchangeEvent::ReceivedNotConfirmed { group, member } => {
                self.handle_await_failure(context, &group, &member);
            }
            ExchangeEvent::MemberStateChanged(event) => self.update_members(context, &event),
            ExchangeEvent::PauseChanged { group, paused } => {
                self.set_paused(context, &group, paused);
            }
            ExchangeEvent::GateChanged => self.recheck_gate(context),
            ExchangeEvent::Cancelled { caller } => self.cancel_statement(context, caller),
            ExchangeEvent::CallerClosed { caller } => self.handle_caller_closed(context, caller),
            ExchangeEvent::DeadlineReached => {}
        }
    }

    fn run_timers(&mut self, context: &mut EventContext<'_>) {
        while let Some(key) = self.timers.pop_due(context.now) {
            match key {
                TimerKey::Statement(request) => self.handle_statement_timer(context, request),
                TimerKey::IdleTransaction(caller) => self.handle_idle_timeout(context, caller),
                TimerKey::ConfirmationRetry(group) => {
                    if let Some(state) = self.groups.get_mut(&group) {
                        state.durability.retry_at = None;
                    }
                    self.request_confirmations(context, &group);
                }
            }
        }
    }

    fn update_members(&mut self, context: &mut EventContext<'_>, event: &SelectorEvent) {
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
        self.selector.handle(context.now, event);
        self.record_primary_position(context, event);
        match event {
            SelectorEvent::TermChanged { .. } if self.selector.term(group) > old_term => {
                self.handle_term_change(context, group);
            }
            SelectorEvent::Observed {
                member,
                received: Some(position),
                ..
            } => {
                self.handle_confirmation(context, group, member, *position);
                return self.place_waiting_reads(context, group);
            }
            SelectorEvent::Observed { .. }
            | SelectorEvent::PrimaryPosition { .. }
            | SelectorEvent::StatementStarted { .. }
            | SelectorEvent::StatementEnded { .. } => {
                return self.place_waiting_reads(context, group);
            }
            SelectorEvent::ReachabilityChanged { member, .. } => {
                self.handle_await_failure(context, group, member);
                self.requeue_from_unusable_member(context, group, member);
            }
            SelectorEvent::MemberConfigured { member, .. }
            | SelectorEvent::MemberRemoved { member, .. } => {
                self.requeue_from_unusable_member(context, group, member);
            }
            SelectorEvent::TermChanged { .. } | SelectorEvent::PromotionReported { .. } => {}
        }
        self.place_waiting_statements(context, group);
    }

    /// Moves a statement to another stage and updates the indexes and timers accordingly.
    pub(super) fn enter_stage(&mut self, request: RequestId, stage: Stage) {
        self.remove_from_indexes(request);
        let Some(statement) = self.statements.get_mut(&request) else {
            return;
        };
        statement.stage = stage;
        statement.timer_at = statement.timer_due_at();
        self.timers
            .set(statement.timer_at, TimerKey::Statement(request));
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
                    state.waiting_lease.insert(request);
                }
            },
            _ => {}
        }
    }

    /// Removes a statement from the indexes and timers.
    pub(super) fn remove_from_indexes(&mut self, request: RequestId) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        self.timers
            .remove(statement.timer_at, TimerKey::Statement(request));
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
                    state.waiting_lease.remove(&request);
                }
            },
            _ => {}
        }
    }
}
