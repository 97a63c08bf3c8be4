//! The driver between callers and VMs: messages of VMs to callers, and the checks on them.

use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::vm::VmEvent;

use crate::callers::CallerRole;
use crate::database::Answer;
use crate::database::StatementKind;
use crate::simulation::Simulation;
use crate::topology::*;
use crate::vms::Start;

impl Simulation {
    /// Updates the state of the driver for an event of a caller. Returns `false` if the event has
    /// to be dropped because the driver has closed its connection.
    pub(crate) fn driver_accepts(&mut self, start: Start, event: &VmEvent) -> bool {
        if self.vms[start.vm].is_paused(self.now) {
            return true;
        }
        match event {
            VmEvent::CallerStarted { caller, .. } => {
                let is_match =
                    |connection: crate::callers::CallerConnection| connection.id == caller.0;
                let mut callers = self.callers.iter();
                let Some(index) = callers.position(|state| state.connection.is_some_and(is_match))
                else {
                    return false;
                };
                self.vms[start.vm].callers.insert(caller.0, index);
                true
            }
            VmEvent::RequestReceived {
                caller, request, ..
            } => {
                let known = self.vms[start.vm].callers.contains_key(&caller.0);
                if known {
                    self.statements[request.0 as usize].arrived_at = Some(self.now);
                }
                known
            }
            VmEvent::CallerClosed { caller } => {
                self.vms[start.vm].callers.remove(&caller.0).is_some()
            }
            VmEvent::RequestCancelled { caller } => {
                self.vms[start.vm].callers.contains_key(&caller.0)
            }
            _ => true,
        }
    }

    pub(crate) fn accept_caller(&mut self, start: Start, id: u64) {
        if let Some(caller) = self.connected_caller(start, id) {
            if let Some(connection) = &mut self.callers[caller].connection {
                connection.accepted = true;
            }
            self.schedule_step(caller, 500);
        }
    }

    /// Returns the caller of a connection, if it is still connected.
    fn connected_caller(&self, start: Start, id: u64) -> Option<usize> {
        let caller = *self.vms[start.vm].callers.get(&id)?;
        let connection = self.callers[caller].connection?;
        (connection.id == id && connection.start == start).then_some(caller)
    }

    /// Returns whether a caller has a statement or a transaction in progress on one start of a VM.
    pub(crate) fn is_busy(&self, caller: usize, start: Start) -> bool {
        let state = &self.callers[caller];
        let here = state
            .connection
            .is_some_and(|connection| connection.start == start);
        let current = state
            .current
            .map(|request| &self.statements[request as usize]);
        let arrived = current
            .is_some_and(|statement| statement.arrived_at.is_some() && statement.outcome.is_none());
        here && (arrived || self.has_open_transaction(caller))
    }

    /// Returns whether a caller's transaction is open and not aborted on a target.
    fn has_open_transaction(&self, caller: usize) -> bool {
        let Some(open_transaction) = &self.callers[caller].open_transaction else {
            return false;
        };
        let mut connections = self.connections.values().filter(|c| !c.closed);
        connections.any(|c| {
            let open = c.transaction.as_ref();
            open.is_some_and(|open| open.id == open_transaction.id && !open.aborted)
        })
    }

    pub(crate) fn close_caller(&mut self, start: Start, id: u64, reason: Reason) {
        self.counts.add(&format!("callers closed: {reason:?}"), 1);
        let Some(caller) = self.connected_caller(start, id) else {
            self.vms[start.vm].callers.remove(&id);
            return;
        };
        if reason == Reason::Draining && self.is_busy(caller, start) {
            let text = format!("{start:?} closes caller {caller}, which is busy");
            self.oracle.record_violation(self.now, 13, text);
        }
        self.vms[start.vm].callers.remove(&id);
        if reason == Reason::BadKey {
            let state = &mut self.callers[caller];
            state.key = (state.workspace, self.generations[state.workspace]);
        }
        self.caller_connection_lost(caller, start);
    }

    /// Notifies a caller that its connection has ended, and schedules a reconnect.
    pub(crate) fn caller_connection_lost(&mut self, caller: usize, start: Start) {
        if self.callers[caller]
            .connection
            .take_if(|connection| connection.start == start)
            .is_some()
        {
            self.abandon_caller_progress(caller);
            let pause = self.random(1_000..60_000);
            self.schedule_step(caller, pause);
        }
    }

    pub(crate) fn deliver_answer(
        &mut self,
        start: Start,
        id: u64,
        request: u64,
        token: Option<String>,
    ) {
        self.counts.add("answers", 1);
        let Some(answer) = self.vms[start.vm].answers.remove(&request) else {
            let text = format!("delivery of {request} without its whole answer");
            return self.oracle.record_violation(self.now, 9, text);
        };
        self.record_outcome(start, id, request, Outcome::Answered);
        let statement = &self.statements[request as usize];
        self.oracle
            .check_delivered_answer(self.now, request, statement, &answer);
        if statement.kind == StatementKind::Read
            && answer.position.term < self.oracle.term(statement.group)
        {
            self.counts.add("reads of an older term", 1);
        }
        if answer.failed {
            self.counts.add("answers that are errors of the target", 1);
        }
        if statement.kind == StatementKind::Commit && !answer.failed {
            self.acknowledge_transaction(request);
        }
        if let Some(caller) = self.connected_caller(start, id) {
            self.process_answer(caller, request, &answer, token);
        }
    }

    /// Checks invariant 9: a statement gets exactly one outcome, which goes to the caller that sent
    /// it.
    fn record_outcome(&mut self, start: Start, id: u64, request: u64, outcome: Outcome) {
        let caller = self.vms[start.vm].callers.get(&id).copied();
        let statement = &mut self.statements[request as usize];
        // The driver drops outcomes for a connection that it has closed, so a missing caller is no
        // violation.
        if statement.start != start || caller.is_some_and(|found| found != statement.caller) {
            let text = format!("outcome of {request} goes to caller {caller:?} on {start:?}");
            self.oracle.record_violation(self.now, 9, text);
        }
        if let Some(former) = statement.outcome.replace(outcome) {
            let text = format!("{request} is {outcome:?} after it was {former:?}");
            self.oracle.record_violation(self.now, 9, text);
        }
        let workspace = index_from_name(statement.workspace.as_str());
        let rated = statement.arrived_at.zip(statement.sent_at);
        if let Some((arrived, sent)) = rated.filter(|_| workspace < WORKSPACE_COUNT) {
            self.oracle.record_admitted(workspace, arrived, sent);
        }
    }

    /// Records all writes of a committed transaction as acknowledged.
    fn acknowledge_transaction(&mut self, request: u64) {
        let statement = &self.statements[request as usize];
        let (group, caller) = (statement.group, statement.caller);
        self.counts.add("transactions committed", 1);
        let Some(open_transaction) = &self.callers[caller].open_transaction else {
            return;
        };
        if Some(open_transaction.id) == statement.transaction {
            for operation in &open_transaction.operations {
                self.oracle.acknowledge_operation(group, *operation, false);
            }
        }
    }

    fn process_answer(
        &mut self,
        caller: usize,
        request: u64,
        answer: &Answer,
        token: Option<String>,
    ) {
        let statement = &self.statements[request as usize];
        let state = &mut self.callers[caller];
        state.current = None;
        state.answered += u32::from(!answer.failed);
        if statement.route != RouteKind::Open {
            state.token = token.or(state.token.take());
        }
        if answer.failed {
            state.open_transaction = None;
            return self.schedule_step_after_outcome(caller, Outcome::NotRun);
        }
        match (statement.kind, &mut state.open_transaction) {
            (StatementKind::Write, _) => {
                state.acknowledged[statement.group].push(statement.operation)
            }
            (StatementKind::TransactionWrite, Some(open_transaction)) => {
                open_transaction.operations.push(statement.operation);
            }
            (StatementKind::Commit, open_transaction) => {
                let written = open_transaction
                    .take()
                    .into_iter()
                    .flat_map(|done| done.operations);
                state.acknowledged[statement.group].extend(written);
            }
            _ => {}
        }
        self.schedule_step_after_outcome(caller, Outcome::Answered);
    }

    pub(crate) fn refuse_request(
        &mut self,
        start: Start,
        id: u64,
        request: u64,
        (reason, outcome): (Reason, Outcome),
        token: Option<String>,
    ) {
        self.counts.add(&format!("{outcome:?}: {reason:?}"), 1);
        let total = match outcome {
            Outcome::NotRun => "refusals",
            _ => "unknowns",
        };
        self.counts.add(total, 1);
        self.vms[start.vm].answers.remove(&request);
        let statement = &self.statements[request as usize];
        if outcome == Outcome::NotRun && statement.runs > 0 {
            let text = format!("statement {request} is refused as not run ({reason:?}) and ran");
            self.oracle.record_violation(self.now, 10, text);
        }
        if reason == Reason::Draining {
            let text = format!("statement {request} is refused by the stop of {start:?}");
            self.oracle.record_violation(self.now, 13, text);
        }
        self.record_outcome(start, id, request, outcome);
        if let Some(caller) = self.connected_caller(start, id) {
            self.process_refusal(caller, request, outcome, token);
        }
    }

    fn process_refusal(
        &mut self,
        caller: usize,
        request: u64,
        outcome: Outcome,
        token: Option<String>,
    ) {
        let statement = &self.statements[request as usize];
        let state = &mut self.callers[caller];
        state.current = None;
        state.open_transaction = None;
        if statement.route != RouteKind::Open {
            state.token = token.or(state.token.take());
        }
        if statement.keyed && state.role != (CallerRole::Flooder) {
            state.repeat = Some((statement.group, statement.operation));
        }
        self.schedule_step_after_outcome(caller, outcome);
    }
}
