//! Handling of members' answers: replies to callers, retries and the state of the member.

use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;

use crate::event::CallerReply;
use crate::event::PoolAction;
use crate::link::Owner;
use crate::link::Purpose;
use crate::pool::Pool;
use crate::report::Report;
use crate::session::Operation;
use crate::session::Stage;
use crate::statement::Access;
use crate::statement::CallerError;
use crate::statement::MemberAnswer;
use crate::statement::MemberCommand;
use crate::statement::MemberError;
use crate::statement::MemberFault;
use crate::statement::TransactionState;

/// Delay before a statement is retried after its member was busy or had lost leadership: about the
/// time of one statement, after which a slot or the new primary may be available.
const RETRY_DELAY: Duration = Duration::from_millis(15);

/// Attempts without a result after which a read that a member failed to run is not retried.
const MAX_READ_RETRIES: u32 = 3;

/// Returns whether an answer shows that the member began to run the statement.
fn has_begun(answer: &MemberAnswer) -> bool {
    let error = answer.result.as_ref().err();
    error.is_none_or(|error| matches!(error.fault, MemberFault::Failed | MemberFault::TimedOut))
}

impl Pool {
    pub(crate) fn link_ready(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        position: Option<Position>,
        actions: &mut Vec<PoolAction>,
    ) {
        self.record_answer(now, id, position, actions);
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.is_open = true;
        link.used_at = now;
        let group = link.group.clone();
        let taken = now.since(link.opened_at);
        link.send(now, actions);
        if let Some(member) = self.member_of(id) {
            member.opened_in(taken);
        }
        let Some(link) = self.links.get(&id) else {
            return;
        };
        if link.owner == Owner::Pool && link.has_no_pending_commands() {
            self.release_link(now, id, actions);
        }
        self.dispatch_group(now, &group, actions);
    }

    /// Records that a member has answered, and reports the end of an outage.
    pub(crate) fn record_answer(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        position: Option<Position>,
        actions: &mut Vec<PoolAction>,
    ) {
        let outage = self
            .member_of(id)
            .and_then(|member| member.note_answer(now, position));
        if let (Some(outage), Some(link)) = (outage, self.links.get(&id)) {
            actions.push(PoolAction::Report(Report::MemberBack {
                group: link.group.clone(),
                member: link.member.clone(),
                outage,
            }));
        }
    }

    pub(crate) fn link_answered(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        answer: MemberAnswer,
        actions: &mut Vec<PoolAction>,
    ) {
        self.record_answer(now, id, answer.position, actions);
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let Some((purpose, sent_at)) = link.take_oldest_in_flight(now) else {
            return self.abort_link(now, id, actions);
        };
        link.in_transaction = answer.state != TransactionState::Idle;
        let begins = purpose == Purpose::Statement && has_begun(&answer);
        let first_of = link.note_statement(begins).then(|| link.workspace.clone());
        if let Some(workspace) = first_of {
            self.count_usage(sent_at, &workspace);
        }
        match purpose {
            Purpose::SetUp | Purpose::RollBack if answer.result.is_err() => {
                // The session state of the connection is not what this VM assumes.
                return self.abort_link(now, id, actions);
            }
            Purpose::SetUp | Purpose::RollBack => {}
            Purpose::BeginTransaction { requires_primary } => {
                self.transaction_opened(now, id, requires_primary, sent_at, answer, actions);
            }
            Purpose::Statement => self.statement_answered(now, id, sent_at, answer, actions),
            Purpose::MemberQuery => self.member_query_answered(now, id, &answer, actions),
        }
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.send(now, actions);
        if link.has_no_pending_commands() {
            self.release_link_if_unused(now, id, actions);
        }
    }

    /// Frees a connection that its owner no longer needs, and rolls back what is open on it.
    fn release_link_if_unused(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let is_used = match link.owner {
            Owner::Unowned | Owner::Pool => false,
            Owner::Caller(caller) => self.sessions.get(&caller).is_some_and(|session| {
                let open_transaction = session.transaction.as_ref();
                let current = session.current.as_ref();
                open_transaction.is_some_and(|open_transaction| open_transaction.link == Some(id))
                    || current.is_some_and(|current| current.stage == Stage::OnLink(id))
            }),
        };
        if !is_used {
            if link.in_transaction {
                return self.roll_back_link(now, id, actions);
            }
            self.release_link(now, id, actions);
        }
    }

    fn transaction_opened(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        requires_primary: bool,
        sent_at: MonoTime,
        answer: MemberAnswer,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let (owner, member) = (link.owner, link.member.clone());
        let Some(group) = self.groups.get_mut(&link.group) else {
            return;
        };
        if owner == Owner::Pool {
            group.is_sampling = false;
        }
        match answer.result {
            Ok(_) => {
                if let (true, Some(position)) = (requires_primary, answer.position) {
                    group.confirm_primary(&member);
                    group.add_sample(sent_at, position);
                }
            }
            Err(error) => {
                link.drop_unsent();
                if link.in_transaction {
                    link.push(MemberCommand::Rollback, Purpose::RollBack);
                }
                if let Owner::Caller(caller) = owner {
                    // The connection stays occupied until it has rolled back.
                    link.owner = Owner::Pool;
                    self.handle_not_run(now, caller, &member, error.fault, actions);
                } else if error.fault == MemberFault::ReadOnly {
                    group.note_not_primary(now, &member);
                }
            }
        }
    }

    /// Handles a statement that a member refused to run: updates the state of the member, and
    /// retries the statement.
    fn handle_not_run(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        member: &MemberId,
        fault: MemberFault,
        actions: &mut Vec<PoolAction>,
    ) {
        let session = self.sessions.get_mut(&caller);
        let mut current = session.and_then(|session| session.current.as_mut());
        if let Some(current) = &mut current {
            current.last_fault = Some(fault);
        }
        let Some(group_id) = current.map(|current| current.route.group.clone()) else {
            return;
        };
        let budget = self.link_budget(&group_id, member);
        let Some(group) = self.groups.get_mut(&group_id) else {
            return;
        };
        let (delay, excluded) = match fault {
            MemberFault::Busy => {
                if let Some(state) = group.members.get_mut(member) {
                    state.pace.overloaded(now, budget);
                }
                (RETRY_DELAY, None)
            }
            MemberFault::ReadOnly => {
                group.note_not_primary(now, member);
                (RETRY_DELAY, None)
            }
            MemberFault::Lagging => {
                if let Some(state) = group.members.get_mut(member) {
                    state.lagged(now);
                }
                (Duration::ZERO, Some(member))
            }
            MemberFault::UnknownStatement => (Duration::ZERO, None),
            _ => (RETRY_DELAY, None),
        };
        if fault == MemberFault::Busy {
            self.note_full_member(now, &group_id, member, actions);
        }
        self.refresh_group(now, &group_id, actions);
        self.requeue_statement(now, caller, delay, excluded, actions);
    }

    fn statement_answered(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        sent_at: MonoTime,
        answer: MemberAnswer,
        actions: &mut Vec<PoolAction>,
    ) {
        if answer.result.is_ok()
            && let Some(member) = self.member_of(id)
        {
            member.answered_in(now.since(sent_at));
            member.kept_up();
            self.record_pace(now, id, now.since(sent_at), actions);
        }
        let fault = answer.result.as_ref().err().map(|error| error.fault);
        self.record_health(now, id, sent_at, fault, actions);
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let Owner::Caller(caller) = link.owner else {
            return;
        };
        let (group, member) = (link.group.clone(), link.member.clone());
        let session = self.sessions.get_mut(&caller);
        let session = session.filter(|session| {
            let current = session.current.as_ref();
            current.is_some_and(|current| current.stage == Stage::OnLink(id))
        });
        let Some(session) = session else {
            return;
        };
        match answer.result {
            Ok(signature) => {
                let Some(current) = session.current.take() else {
                    return;
                };
                let elapsed = now.since(current.started_at);
                let known = self.groups.get(&group);
                let primary = known.and_then(|group| group.primary.as_ref());
                if let Some(login) = &session.login {
                    actions.push(PoolAction::Report(Report::StatementDone {
                        workspace: login.workspace.clone(),
                        route: login.database.clone(),
                        group: group.clone(),
                        access: current.operation.access(),
                        by_primary: primary == Some(&member),
                        waited: current.placed_at.since(current.started_at),
                        elapsed,
                    }));
                }
                if elapsed > current.route.target_latency {
                    actions.push(PoolAction::Report(Report::StatementLate {
                        caller,
                        id: current.id.clone(),
                        group: group.clone(),
                        member: member.clone(),
                        last_fault: current.last_fault,
                        attempts: current.attempts,
                        waited: current.placed_at.since(current.started_at),
                        elapsed,
                    }));
                }
                let is_commit = matches!(current.operation, Operation::Commit);
                let is_write = current.operation.access() == Access::Write;
                let has_committed = match &mut session.transaction {
                    None => is_write,
                    Some(open_transaction) if is_commit => open_transaction.has_written,
                    Some(open_transaction) => {
                        open_transaction.has_results = true;
                        open_transaction.has_written |= is_write;
                        false
                    }
                };
                if is_commit {
                    session.transaction = None;
                }
                if let (true, Some(position)) = (has_committed, answer.position) {
                    session.record_commit(&group, position);
                    if let Some(group) = self.groups.get_mut(&group) {
                        group.confirm_primary(&member);
                        group.add_sample(sent_at, position);
                    }
                }
                let reply = CallerReply::Done {
                    rows: answer.rows,
                    signature: Some(signature),
                    state: self.transaction_state_of(caller),
                    position: answer.position,
                };
                actions.push(PoolAction::Reply { caller, reply });
                self.note_statement_time(now, &current.route, &member, elapsed, actions);
                self.next_request(now, caller, actions);
            }
            Err(error) => {
                let state = answer.state;
                self.statement_failed(now, caller, id, &member, &error, state, actions);
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one answer")]
    fn statement_failed(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        id: ConnectionId,
        member: &MemberId,
        error: &MemberError,
        state: TransactionState,
        actions: &mut Vec<PoolAction>,
    ) {
        if error.fault == MemberFault::UnknownStatement
            && let Some(link) = self.links.get_mut(&id)
        {
            link.forget_prepared();
        }
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let Some(current) = &session.current else {
            return;
        };
        let has_not_run = matches!(
            error.fault,
            MemberFault::Busy
                | MemberFault::Lagging
                | MemberFault::ReadOnly
                | MemberFault::UnknownStatement
        );
        let is_read = current.operation.access() == Access::Read;
        let attempts = current.attempts;
        let Some(transaction) = &mut session.transaction else {
            if has_not_run {
                return self.handle_not_run(now, caller, member, error.fault, actions);
            }
            if is_read && error.fault == MemberFault::Failed && attempts < MAX_READ_RETRIES {
                return self.requeue_statement(now, caller, Duration::ZERO, Some(member), actions);
            }
            let (error, cause) = match error.fault {
                MemberFault::TimedOut => (CallerError::TimedOut, "member gave up"),
                MemberFault::Failed => (CallerError::Failed, "member failed"),
                _ => (CallerError::InDoubt, "member refused"),
            };
            return self.fail_current(now, caller, error, cause, actions);
        };
        if has_not_run && !transaction.has_results {
            transaction.link = None;
            self.roll_back_link(now, id, actions);
            return self.handle_not_run(now, caller, member, error.fault, actions);
        }
        if state == TransactionState::Open && error.fault == MemberFault::Failed {
            let cause = "member failed in the transaction";
            return self.fail_current(now, caller, CallerError::Failed, cause, actions);
        }
        let is_commit = matches!(current.operation, Operation::Commit);
        let is_certain = has_not_run || !is_commit;
        if is_commit {
            // The transaction ends whatever the outcome of the commit.
            transaction.link = None;
            session.transaction = None;
        } else {
            self.abort_transaction(now, caller, actions);
        }
        let (error, cause) = match (is_certain, error.fault) {
            (true, _) => (CallerError::Aborted, "member refused in the transaction"),
            (false, MemberFault::TimedOut) => (CallerError::TimedOut, "commit took too long"),
            (false, _) => (CallerError::InDoubt, "commit failed"),
        };
        self.fail_current(now, caller, error, cause, actions);
        self.release_link_if_unused(now, id, actions);
    }
}
