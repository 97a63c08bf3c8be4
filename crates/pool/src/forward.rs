//! Forwarding of statements to the home of their workspace.
//!
//! The session stays at the VM that the caller is connected to: its values, its prepared statements
//! and the position of its last commit are sent along with each statement. At the home a statement
//! runs in a session of its own, which lasts until the statement or its transaction has ended.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::event::CallerReply;
use crate::event::PoolAction;
use crate::home::ServedBy;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::remote::is_remote;
use crate::report::Report;
use crate::session::Operation;
use crate::session::Session;
use crate::session::Stage;
use crate::session::Transaction;
use crate::statement::Access;
use crate::statement::CallerError;
use crate::statement::TransactionState;
use crate::unreachable_primary::will_need_primary;

/// Attempts to forward a statement before it runs on the VM of its caller.
const MAX_FORWARD_ATTEMPTS: u32 = 2;

/// Time without a message of the home after which it is asked whether it is running, while a
/// statement is there.
const PING_DELAY: Duration = Duration::from_millis(150);

/// Time without a message of the home after which it is considered unreachable.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that the answer of the home may take beyond the timeout of the statement, at which the home
/// answers itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// A statement that is forwarded to the home of its workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The session at the sender.
    pub(crate) session: CallerId,
    /// The number of the statement at the sender, which the reply repeats.
    pub(crate) request: RequestId,
    /// The version of the configuration with which the sender has checked the caller's access.
    pub(crate) version: u64,
    pub(crate) database: String,
    /// The group that the route leads to in this configuration, or that the transaction runs in.
    pub(crate) group: GroupId,
    pub(crate) workspace: WorkspaceId,
    /// The values of the session.
    pub(crate) values: Vec<(String, String)>,
    /// The position of the session's last commit in this group.
    pub(crate) last_commit: Option<Position>,
    /// Whether the statement belongs to a transaction that is open at the receiver.
    pub(crate) in_transaction: bool,
    /// The identifier that the caller assigned to the statement.
    pub(crate) id: String,
    pub(crate) text: String,
    pub(crate) operation: Operation,
    /// Time since the statement arrived at the sender, in milliseconds.
    pub(crate) age_ms: u64,
}

/// The reply to a [`ForwardedRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedReply {
    /// The incarnation of the process that forwarded the statement. The receiver may be a later
    /// process of its VM, which uses the same numbers.
    pub(crate) incarnation: Incarnation,
    /// The session at the receiver.
    pub(crate) session: CallerId,
    /// The number of the statement at the receiver.
    pub(crate) request: RequestId,
    pub(crate) outcome: ForwardedOutcome,
}

/// What became of a forwarded statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ForwardedOutcome {
    /// The sender has not handled the statement, and the receiver can run it elsewhere.
    NotAccepted,
    /// The sender has not handled the statement, since its newer configuration leads to another group
    /// than that of the receiver. The receiver runs it itself, in the group whose commits it records.
    OtherGroup,
    Done {
        rows: Bytes,
        signature: Option<String>,
        state: TransactionState,
        position: Option<Position>,
        /// The position of the session's last commit in the group of the request.
        last_commit: Option<Position>,
    },
    Failed {
        error: CallerError,
        text: String,
        state: TransactionState,
        position: Option<Position>,
    },
}

impl Pool {
    /// Forwards a caller's current statement.
    pub(crate) fn forward_statement(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        home: VmId,
        actions: &mut Vec<PoolAction>,
    ) {
        let version = self.config.version;
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let (Some(login), Some(current)) = (&session.login, &mut session.current) else {
            return;
        };
        current.stage = Stage::Forwarded;
        current.home = Some(home.clone());
        current.placed_at = now;
        let is_forwarded_as_sent = !matches!(
            current.operation,
            Operation::Begin { .. } | Operation::Execute { .. }
        );
        let request = ForwardedRequest {
            session: caller,
            request: current.request,
            version,
            database: login.database.clone(),
            group: current.route.group.clone(),
            workspace: login.workspace.clone(),
            values: session.values.clone(),
            last_commit: session.last_commits.get(&current.route.group).copied(),
            in_transaction: session.transaction.is_some(),
            id: current.id.clone(),
            text: match is_forwarded_as_sent {
                true => current.text.clone(),
                false => String::new(),
            },
            operation: current.operation.clone(),
            age_ms: u64::try_from(now.since(current.started_at).as_millis()).unwrap_or(u64::MAX),
        };
        self.send_peer(&home, PoolMessage::Forward(Box::new(request)), actions);
    }

    /// Passes the result of a forwarded statement on to its caller.
    pub(crate) fn forwarded_reply_received(
        &mut self,
        now: MonoTime,
        from: &VmId,
        reply: ForwardedReply,
        actions: &mut Vec<PoolAction>,
    ) {
        let caller = reply.session;
        if reply.incarnation != self.settings.incarnation {
            let cause = "statement of an earlier process";
            return report_unexpected_reply(from, &reply, cause, actions);
        }
        let session = self.sessions.get_mut(&caller);
        let expected = session.filter(|session| {
            session.current.as_ref().is_some_and(|current| {
                current.request == reply.request
                    && current.stage == Stage::Forwarded
                    && current.home.as_ref() == Some(from)
            })
        });
        let Some(session) = expected else {
            let cause = "nobody waits for it";
            return report_unexpected_reply(from, &reply, cause, actions);
        };
        let Some(current) = &session.current else {
            return;
        };
        let (group, route) = (current.route.group.clone(), Rc::clone(&current.route));
        let (is_begin, read_only) = match current.operation {
            Operation::Begin { read_only } => (true, read_only),
            _ => (false, false),
        };
        let (state, reply) = match reply.outcome {
            ForwardedOutcome::NotAccepted => {
                self.note_peer_unavailable(now, from, "statement not accepted", actions);
                return self.forward_again(now, caller, actions);
            }
            ForwardedOutcome::OtherGroup => {
                let version = self.config.version;
                let vm = from.clone();
                actions.push(PoolAction::Report(Report::RouteDiffers {
                    vm,
                    group,
                    version,
                }));
                return self.run_without_home(now, caller, actions);
            }
            ForwardedOutcome::Done {
                rows,
                signature,
                state,
                position,
                last_commit,
            } => {
                if let Some(last_commit) = last_commit {
                    session.record_commit(&group, last_commit);
                }
                let reply = CallerReply::Done {
                    rows,
                    signature,
                    state,
                    position,
                };
                (state, reply)
            }
            ForwardedOutcome::Failed {
                error,
                text,
                state,
                position,
            } => {
                let reply = CallerReply::Failed {
                    error,
                    text,
                    state,
                    position,
                };
                (state, reply)
            }
        };
        session.current = None;
        match (state, &mut session.transaction) {
            (TransactionState::Idle, transaction) => *transaction = None,
            (TransactionState::Failed, Some(transaction)) => {
                transaction.has_failed = true;
                transaction.home = None;
            }
            (_, Some(transaction)) => transaction.used_at = now,
            (_, None) if !is_begin => {}
            (_, transaction @ None) => {
                let mut opened = Transaction::new(route, read_only, now);
                opened.home = Some(from.clone());
                *transaction = Some(opened);
            }
        }
        self.note_peer_available(from, actions);
        actions.push(PoolAction::Reply { caller, reply });
        self.next_request(now, caller, actions);
    }

    /// Runs a statement that its home has not run at another home or on this VM, or fails it if it
    /// belongs to a transaction there.
    fn forward_again(&mut self, now: MonoTime, caller: CallerId, actions: &mut Vec<PoolAction>) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let Some(current) = &mut session.current else {
            return;
        };
        if session.transaction.is_some() {
            self.abort_transaction(now, caller, actions);
            let cause = "VM of the transaction is lost";
            return self.fail_current(now, caller, CallerError::Aborted, cause, actions);
        }
        current.forward_attempts += 1;
        current.home = None;
        current.stage = Stage::Admission;
        let Some(login) = &session.login else {
            return;
        };
        let workspace = login.workspace.clone();
        self.admit_current(now, caller, &workspace, actions);
    }

    /// Runs a statement that no home runs in its group on this VM.
    fn run_without_home(&mut self, now: MonoTime, caller: CallerId, actions: &mut Vec<PoolAction>) {
        let session = self.sessions.get_mut(&caller);
        if let Some(current) = session.and_then(|session| session.current.as_mut()) {
            current.forward_attempts = MAX_FORWARD_ATTEMPTS;
        }
        self.forward_again(now, caller, actions);
    }

    /// Returns the VM to which a caller's current statement has to be forwarded, if any.
    pub(crate) fn home_of_current(&self, now: MonoTime, caller: CallerId) -> Option<VmId> {
        let session = self.sessions.get(&caller)?;
        let current = session.current.as_ref()?;
        if is_remote(caller) {
            return None;
        }
        if let Some(transaction) = &session.transaction {
            return transaction.home.clone();
        }
        let workspace = &session.login.as_ref()?.workspace;
        let may_forward = current.forward_attempts < MAX_FORWARD_ATTEMPTS;
        let group = &current.route.group;
        let needs_primary = will_need_primary(&current.operation, &current.route);
        let served_by = match needs_primary {
            true => ServedBy::Primary,
            false => ServedBy::Replica,
        };
        let home = may_forward
            .then(|| self.forwarding_target(now, workspace, group, served_by))
            .flatten();
        let home = home.or_else(|| {
            let may_detour = current.forward_attempts <= MAX_FORWARD_ATTEMPTS && needs_primary;
            may_detour
                .then(|| self.vm_that_reaches_primary(now, group))
                .flatten()
        });
        home.filter(|home| self.roster.get(home).is_some())
    }

    /// Tells the home of a session's transaction or statement that it is needed no longer.
    pub(crate) fn end_at_home(&self, session: &Session, actions: &mut Vec<PoolAction>) {
        let transaction = session.transaction.as_ref();
        let current = session.current.as_ref();
        let home = transaction
            .and_then(|transaction| transaction.home.as_ref())
            .or_else(|| current.and_then(|current| current.home.as_ref()));
        if let Some(home) = home {
            self.send_end_forwarded(home, session.caller, actions);
        }
    }

    /// Tells another VM that what it runs for a session is needed no longer.
    pub(crate) fn send_end_forwarded(
        &self,
        home: &VmId,
        session: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let latest = self.latest_request();
        let message = PoolMessage::EndForwarded { session, latest };
        self.send_peer(home, message, actions);
    }

    /// Handles the loss of the connection to another VM: statements there may not have arrived, and
    /// their results may be lost. Those in `unsent` have not arrived and run elsewhere.
    pub(crate) fn peer_lost(
        &mut self,
        now: MonoTime,
        vm: &VmId,
        unsent: &[RequestId],
        actions: &mut Vec<PoolAction>,
    ) {
        self.note_peer_unavailable(now, vm, "connection lost", actions);
        for caller in self.callers_at(vm) {
            let session = self.sessions.get(&caller);
            let current = session.and_then(|session| session.current.as_ref());
            if current.is_some_and(|current| unsent.contains(&current.request)) {
                self.forward_again(now, caller, actions);
            } else {
                self.recover_statement(now, caller, true, actions);
            }
        }
    }

    fn callers_at(&self, vm: &VmId) -> Vec<CallerId> {
        let is_there = |caller: &&CallerId| {
            let session = self.sessions.get(caller);
            session.is_some_and(|session| {
                let current = session.current.as_ref();
                let transaction = session.transaction.as_ref();
                current.is_some_and(|current| current.home.as_ref() == Some(vm))
                    || transaction.is_some_and(|open| open.home.as_ref() == Some(vm))
            })
        };
        self.active.iter().filter(is_there).copied().collect()
    }

    /// Ends the wait for the result of a statement at a VM that cannot be reached. Reads run again
    /// elsewhere. If the connection is not lost, the result of a write may still arrive.
    fn recover_statement(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        is_lost: bool,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get(&caller) else {
            return;
        };
        let Some(current) = &session.current else {
            if is_lost {
                self.abort_transaction(now, caller, actions);
            }
            return;
        };
        if session.transaction.is_none() && current.operation.access() == Access::Read {
            self.end_at_home(session, actions);
            return self.forward_again(now, caller, actions);
        }
        if is_lost {
            self.fail_forwarded(now, caller, CallerError::InDoubt, actions);
        }
    }

    /// Fails a statement whose home has not answered. Only a commit or a single write may have taken
    /// effect: a transaction that is not committed is rolled back.
    fn fail_forwarded(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        unknown: CallerError,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let current = session.current.as_ref();
        let is_commit =
            current.is_some_and(|current| matches!(current.operation, Operation::Commit));
        let error = match (is_commit, session.transaction.is_some()) {
            (true, _) => {
                session.transaction = None;
                unknown
            }
            (false, false) => unknown,
            (false, true) => {
                self.abort_transaction(now, caller, actions);
                CallerError::Aborted
            }
        };
        let cause = "no answer of the VM that ran it";
        self.fail_current(now, caller, error, cause, actions);
    }

    /// Checks a statement that was forwarded: whether its home is reachable, and its timeout.
    pub(crate) fn check_forwarded(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get(&caller) else {
            return;
        };
        let Some(current) = &session.current else {
            return;
        };
        let Some(home) = current.home.clone() else {
            return;
        };
        let limit = current.route.statement_timeout + ANSWER_MARGIN;
        if now.since(current.started_at) >= limit {
            self.end_at_home(session, actions);
            return self.fail_forwarded(now, caller, CallerError::TimedOut, actions);
        }
        let placed_at = current.placed_at;
        let health = self.peer_health.entry(home.clone()).or_default();
        let silence = now.since(placed_at.max(health.heard_at));
        if silence >= SILENCE_TIMEOUT {
            self.note_peer_unavailable(now, &home, "no answer", actions);
            return self.recover_statement(now, caller, false, actions);
        }
        if silence >= PING_DELAY && now.since(health.pinged_at) >= PING_DELAY {
            health.pinged_at = now;
            self.send_peer(&home, PoolMessage::Ping, actions);
        }
    }
}

fn report_unexpected_reply(
    from: &VmId,
    reply: &ForwardedReply,
    cause: &'static str,
    actions: &mut Vec<PoolAction>,
) {
    actions.push(PoolAction::Report(Report::ReplyIgnored {
        vm: from.clone(),
        incarnation: reply.incarnation,
        session: reply.session,
        request: reply.request,
        cause,
    }));
}
