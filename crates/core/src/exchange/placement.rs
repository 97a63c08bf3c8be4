//! Chooses a member for each statement and queues the statement for it.

use std::sync::Arc;
use std::time::Duration;

use crate::exchange::ExchangeAction;
use crate::exchange::Exchanges;
use crate::exchange::RequestPlan;
use crate::exchange::caller::PipelinedStatement;
use crate::exchange::role::EventContext;
use crate::exchange::statement::Stage;
use crate::exchange::statement::Statement;
use crate::exchange::timers::TimerKey;
use crate::session::ReadChoice;
use crate::session::ReadQuery;
use crate::types::CallerId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Outcome;
use crate::types::Reason;
use crate::types::RequestId;

/// The minimum interval between two rounds of probes that are sent because a read found no fresh
/// replica.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(2);
/// The minimum interval between two attempts to serve reads that wait for a primary from replicas.
/// Thousands of statements may wait for a promotion while replicas answer often.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Exchanges {
    pub(super) fn receive_statement(
        &mut self,
        context: &mut EventContext<'_>,
        caller: CallerId,
        request: RequestId,
        plan: Arc<RequestPlan>,
        idempotency_key: Option<Arc<str>>,
    ) {
        let Some(state) = self.callers.get_mut(&caller) else {
            let outcome = Outcome::NotRun;
            context
                .actions
                .push(ExchangeAction::Abandon { request, outcome });
            return;
        };
        let deadline = context.now + plan.timeout;
        let too_many = state.pipelined.len() >= self.limits.max_pipelined_statements;
        state.pipelined.push_back(PipelinedStatement {
            request,
            plan,
            idempotency_key,
            deadline,
        });
        if too_many {
            self.disconnect_caller(context, caller, Reason::Malformed);
        } else {
            self.start_next(context, caller);
        }
    }

    /// Starts the next pipelined statement of a caller unless one is in progress.
    pub(super) fn start_next(&mut self, context: &mut EventContext<'_>, caller: CallerId) {
        let Some(state) = self.callers.get_mut(&caller) else {
            return;
        };
        if state.current_request.is_some() {
            return;
        }
        let Some(next) = state.pipelined.pop_front() else {
            return;
        };
        state.current_request = Some(next.request);
        if let Some(at) = state.idle_deadline.take() {
            self.timers.remove(at, TimerKey::IdleTransaction(caller));
        }
        let in_transaction = state.pinned_connection.is_some();
        let statement = Statement {
            caller,
            plan: next.plan,
            idempotency_key: next.idempotency_key,
            deadline: next.deadline,
            timer_at: next.deadline,
            attempt: 0,
            may_have_run_before: false,
            primary_only: false,
            waiting_since: None,
            stage: Stage::Admission,
        };
        self.statements.insert(next.request, statement);
        self.enter_stage(next.request, Stage::Admission);
        context.actions.push(ExchangeAction::Admit {
            request: next.request,
            in_transaction,
        });
    }

    pub(super) fn handle_admission(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        refused: Option<Reason>,
    ) {
        let stage = self.statements.get(&request).map(|state| &state.stage);
        if !matches!(stage, Some(Stage::Admission)) {
            return;
        }
        match refused {
            Some(reason) => self.refuse(context, request, reason),
            None => self.place(context, request),
        }
    }

    /// Chooses a member for a statement that is not in a queue, or lets the statement wait.
    pub(super) fn place(&mut self, context: &mut EventContext<'_>, request: RequestId) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        if statement.deadline <= context.now {
            self.handle_statement_timer(context, request);
            return;
        }
        let pinned = self
            .callers
            .get(&statement.caller)
            .and_then(|c| c.pinned_connection);
        if let Some(connection) = pinned {
            self.send_pinned(context, request, connection);
        } else if statement.is_read() && !statement.primary_only {
            self.place_read(context, request);
        } else {
            let reason = statement.primary_only.then_some(Reason::ReplicaBehind);
            self.place_on_primary(context, request, reason);
        }
    }

    /// Tries again to place all waiting statements of a group.
    pub(super) fn place_waiting_statements(
        &mut self,
        context: &mut EventContext<'_>,
        group: &GroupId,
    ) {
        let Some(state) = self.groups.get(group) else {
            return;
        };
        let waiting = state.waiting_primary.iter().chain(&state.waiting_replica);
        let waiting: Vec<RequestId> = waiting.copied().collect();
        for request in waiting {
            self.place(context, request);
        }
    }

    /// Tries again to place the waiting reads of a group after a replica reported a new position.
    pub(super) fn place_waiting_reads(&mut self, context: &mut EventContext<'_>, group: &GroupId) {
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let mut reads: Vec<RequestId> = state.waiting_replica.iter().copied().collect();
        if context.now >= state.last_recheck + MIN_RECHECK_INTERVAL {
            state.last_recheck = context.now;
            let waiting = state.waiting_primary.iter().copied();
            reads.extend(waiting.filter(|request| {
                let statement = self.statements.get(request);
                statement.is_some_and(Statement::is_read)
            }));
        }
        for request in reads {
            self.place(context, request);
        }
    }

    fn place_read(&mut self, context: &mut EventContext<'_>, request: RequestId) {
        let Some(choice) = self.choose_member(context, request) else {
            return;
        };
        match choice {
            ReadChoice::Replica(member) => self.enqueue(context, request, member, false, None),
            ReadChoice::Wait { until, .. } => {
                if let Some(statement) = self.statements.get_mut(&request) {
                    statement.waiting_since.get_or_insert(context.now);
                }
                self.enter_stage(request, Stage::WaitingReplica { until });
                self.probe_replicas(context, request);
            }
            ReadChoice::Primary { reason, .. } => {
                if reason == Reason::ReplicaBehind {
                    self.probe_replicas(context, request);
                }
                self.place_on_primary(context, request, Some(reason));
            }
        }
    }

    fn choose_member(&self, context: &EventContext<'_>, request: RequestId) -> Option<ReadChoice> {
        let statement = self.statements.get(&request)?;
        let caller = self.callers.get(&statement.caller)?;
        let plan = &statement.plan;
        let queue = self.selector.primary(&plan.group).map(|primary| {
            let workspace = &plan.workspace;
            context
                .gate
                .expected_queue_time(context.now, &plan.group, primary, workspace)
        });
        let query = ReadQuery {
            group: &plan.group,
            mark: caller.session.mark(&plan.group),
            max_staleness: plan.max_age,
            primary_queue: queue.unwrap_or(Duration::MAX),
            waited: statement
                .waiting_since
                .map_or(Duration::ZERO, |since| context.now.since(since)),
        };
        Some(self.selector.choose(context.now, &query))
    }

    /// Queues a statement for the primary, or lets it wait until a primary may be used.
    fn place_on_primary(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        primary_reason: Option<Reason>,
    ) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        let group = &statement.plan.group;
        let permitted = context
            .gate
            .may_answer(context.now, group, self.selector.term(group));
        match self.selector.usable_primary(group) {
            Ok(_) if self.is_paused(group) => self.enter_stage(
                request,
                Stage::WaitingPrimary {
                    reason: Reason::NoPrimary,
                },
            ),
            Ok(member) if permitted => {
                let member = member.clone();
                self.enqueue(context, request, member, true, primary_reason);
            }
            Ok(_) => self.enter_stage(
                request,
                Stage::WaitingPrimary {
                    reason: Reason::LeaseLost,
                },
            ),
            Err(reason) => self.enter_stage(request, Stage::WaitingPrimary { reason }),
        }
    }

    fn enqueue(
        &mut self,
        context: &mut EventContext<'_>,
        request: RequestId,
        member: MemberId,
        on_primary: bool,
        reason: Option<Reason>,
    ) {
        self.enter_stage(
            request,
            Stage::Queued {
                member: member.clone(),
                on_primary,
            },
        );
        if let Some(statement) = self.statements.get(&request) {
            context.actions.push(ExchangeAction::Enqueue {
                request,
                group: statement.plan.group.clone(),
                member,
                workspace: statement.plan.workspace.clone(),
                deadline: statement.deadline,
                reason,
            });
        }
    }

    fn probe_replicas(&mut self, context: &mut EventContext<'_>, request: RequestId) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        let group = &statement.plan.group;
        let state = self.groups.entry(group.clone()).or_default();
        let due: Option<MonoTime> = state.last_probe.map(|probed| probed + MIN_PROBE_INTERVAL);
        if due.is_some_and(|due| context.now < due) {
            return;
        }
        state.last_probe = Some(context.now);
        for member in self.selector.reachable_replicas(group) {
            context.actions.push(ExchangeAction::ProbeMember {
                group: group.clone(),
                member: member.clone(),
            });
        }
    }
}
