//! Chooses a member for each statement and queues the statement for it.

use std::sync::Arc;
use std::time::Duration;

use crate::exchange::ExchangeAction;
use crate::exchange::Exchanges;
use crate::exchange::RequestPlan;
use crate::exchange::caller::Pipelined;
use crate::exchange::role::Step;
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
const PROBE_SPACING: Duration = Duration::from_millis(2);
/// The minimum interval between two attempts to serve reads that wait for a primary from replicas.
/// Thousands of statements may wait for a promotion while replicas answer often.
const RECHECK_SPACING: Duration = Duration::from_millis(10);

impl Exchanges {
    pub(super) fn receive(
        &mut self,
        step: &mut Step<'_>,
        caller: CallerId,
        request: RequestId,
        plan: Arc<RequestPlan>,
        idempotency_key: Option<Arc<str>>,
    ) {
        let Some(state) = self.callers.get_mut(&caller) else {
            let outcome = Outcome::NotRun;
            step.actions
                .push(ExchangeAction::Abandon { request, outcome });
            return;
        };
        let deadline = step.now + plan.timeout;
        let too_many = state.pipelined.len() >= self.limits.pipelined;
        state.pipelined.push_back(Pipelined {
            request,
            plan,
            idempotency_key,
            deadline,
        });
        if too_many {
            self.end_caller(step, caller, Reason::Malformed);
        } else {
            self.start_next(step, caller);
        }
    }

    /// Starts the next pipelined statement of a caller unless one is in progress.
    pub(super) fn start_next(&mut self, step: &mut Step<'_>, caller: CallerId) {
        let Some(state) = self.callers.get_mut(&caller) else {
            return;
        };
        if state.current.is_some() {
            return;
        }
        let Some(next) = state.pipelined.pop_front() else {
            return;
        };
        state.current = Some(next.request);
        if let Some(at) = state.idle_timer.take() {
            self.timers.remove(at, TimerKey::Transaction(caller));
        }
        let in_transaction = state.pinned.is_some();
        let statement = Statement {
            caller,
            plan: next.plan,
            idempotency_key: next.idempotency_key,
            deadline: next.deadline,
            timer: next.deadline,
            attempt: 0,
            ran_before: false,
            primary_only: false,
            waiting_since: None,
            stage: Stage::Admission,
        };
        self.statements.insert(next.request, statement);
        self.enter(next.request, Stage::Admission);
        step.actions.push(ExchangeAction::Admit {
            request: next.request,
            in_transaction,
        });
    }

    pub(super) fn decide_admission(
        &mut self,
        step: &mut Step<'_>,
        request: RequestId,
        refused: Option<Reason>,
    ) {
        let stage = self.statements.get(&request).map(|state| &state.stage);
        if !matches!(stage, Some(Stage::Admission)) {
            return;
        }
        match refused {
            Some(reason) => self.refuse(step, request, reason),
            None => self.place(step, request),
        }
    }

    /// Chooses a member for a statement that is not in a queue, or lets the statement wait.
    pub(super) fn place(&mut self, step: &mut Step<'_>, request: RequestId) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        if statement.deadline <= step.now {
            self.statement_due(step, request);
            return;
        }
        let pinned = self.callers.get(&statement.caller).and_then(|c| c.pinned);
        if let Some(connection) = pinned {
            self.send_pinned(step, request, connection);
        } else if statement.is_read() && !statement.primary_only {
            self.place_read(step, request);
        } else {
            let reason = statement.primary_only.then_some(Reason::ReplicaBehind);
            self.place_on_primary(step, request, reason);
        }
    }

    /// Tries again to place all waiting statements of a group.
    pub(super) fn place_waiting(&mut self, step: &mut Step<'_>, group: &GroupId) {
        let Some(state) = self.groups.get(group) else {
            return;
        };
        let waiting = state.waiting_primary.iter().chain(&state.waiting_replica);
        let waiting: Vec<RequestId> = waiting.copied().collect();
        for request in waiting {
            self.place(step, request);
        }
    }

    /// Tries again to place the waiting reads of a group after a replica reported a new position.
    pub(super) fn place_observed(&mut self, step: &mut Step<'_>, group: &GroupId) {
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let mut reads: Vec<RequestId> = state.waiting_replica.iter().copied().collect();
        if step.now >= state.rechecked + RECHECK_SPACING {
            state.rechecked = step.now;
            let waiting = state.waiting_primary.iter().copied();
            reads.extend(waiting.filter(|request| {
                let statement = self.statements.get(request);
                statement.is_some_and(Statement::is_read)
            }));
        }
        for request in reads {
            self.place(step, request);
        }
    }

    fn place_read(&mut self, step: &mut Step<'_>, request: RequestId) {
        let Some(choice) = self.choose(step, request) else {
            return;
        };
        match choice {
            ReadChoice::Replica(member) => self.enqueue(step, request, member, false, None),
            ReadChoice::Wait { until, .. } => {
                if let Some(statement) = self.statements.get_mut(&request) {
                    statement.waiting_since.get_or_insert(step.now);
                }
                self.enter(request, Stage::WaitingReplica { until });
                self.probe_replicas(step, request);
            }
            ReadChoice::Primary { reason, .. } => {
                if reason == Reason::ReplicaBehind {
                    self.probe_replicas(step, request);
                }
                self.place_on_primary(step, request, Some(reason));
            }
        }
    }

    fn choose(&self, step: &Step<'_>, request: RequestId) -> Option<ReadChoice> {
        let statement = self.statements.get(&request)?;
        let caller = self.callers.get(&statement.caller)?;
        let plan = &statement.plan;
        let queue = self.selector.primary(&plan.group).map(|primary| {
            let workspace = &plan.workspace;
            step.gate
                .expected_queue(step.now, &plan.group, primary, workspace)
        });
        let query = ReadQuery {
            group: &plan.group,
            mark: caller.session.mark(&plan.group),
            max_age: plan.max_age,
            primary_queue: queue.unwrap_or(Duration::MAX),
            waited: statement
                .waiting_since
                .map_or(Duration::ZERO, |since| step.now.since(since)),
        };
        Some(self.selector.choose(step.now, &query))
    }

    /// Queues a statement for the primary, or lets it wait until a primary may be used.
    fn place_on_primary(
        &mut self,
        step: &mut Step<'_>,
        request: RequestId,
        why_primary: Option<Reason>,
    ) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        let group = &statement.plan.group;
        let open = step
            .gate
            .may_answer(step.now, group, self.selector.term(group));
        match self.selector.usable_primary(group) {
            Ok(_) if self.is_paused(group) => self.enter(
                request,
                Stage::WaitingPrimary {
                    reason: Reason::NoPrimary,
                },
            ),
            Ok(member) if open => {
                let member = member.clone();
                self.enqueue(step, request, member, true, why_primary);
            }
            Ok(_) => self.enter(
                request,
                Stage::WaitingPrimary {
                    reason: Reason::LeaseLost,
                },
            ),
            Err(reason) => self.enter(request, Stage::WaitingPrimary { reason }),
        }
    }

    fn enqueue(
        &mut self,
        step: &mut Step<'_>,
        request: RequestId,
        member: MemberId,
        on_primary: bool,
        reason: Option<Reason>,
    ) {
        self.enter(
            request,
            Stage::Queued {
                member: member.clone(),
                on_primary,
            },
        );
        if let Some(statement) = self.statements.get(&request) {
            step.actions.push(ExchangeAction::Enqueue {
                request,
                group: statement.plan.group.clone(),
                member,
                workspace: statement.plan.workspace.clone(),
                deadline: statement.deadline,
                reason,
            });
        }
    }

    fn probe_replicas(&mut self, step: &mut Step<'_>, request: RequestId) {
        let Some(statement) = self.statements.get(&request) else {
            return;
        };
        let group = &statement.plan.group;
        let state = self.groups.entry(group.clone()).or_default();
        let due: Option<MonoTime> = state.probed.map(|probed| probed + PROBE_SPACING);
        if due.is_some_and(|due| step.now < due) {
            return;
        }
        state.probed = Some(step.now);
        for member in self.selector.reachable_replicas(group) {
            step.actions.push(ExchangeAction::ProbeMember {
                group: group.clone(),
                member: member.clone(),
            });
        }
    }
}
