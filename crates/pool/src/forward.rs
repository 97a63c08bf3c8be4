//! Forwarding of statements to the home of their workspace, and serving of statements that other
//! VMs forward.
//!
//! The session stays at the VM that the caller is connected to: its values, its prepared statements
//! and the position of its last commit are sent along with each statement. At the home a statement
//! runs in a session of its own, which lasts until the statement or its transaction has ended.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use lycheedoor_core::types::CallerId;
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
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::session::Login;
use crate::session::Operation;
use crate::session::Session;
use crate::session::Stage;
use crate::session::Transaction;
use crate::statement::Access;
use crate::statement::CallerError;
use crate::statement::TransactionState;

/// Callers with at least this number are sessions at other VMs.
const FIRST_REMOTE_CALLER: u64 = 1 << 63;

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
    pub(crate) workspace: WorkspaceId,
    /// The values of the session.
    pub(crate) values: Vec<(String, String)>,
    /// The position of the session's last commit in the group.
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
    Done {
        rows: Bytes,
        signature: Option<String>,
        state: TransactionState,
        position: Option<Position>,
        /// The position of the session's last commit in the group.
        last_commit: Option<Position>,
    },
    Failed {
        error: CallerError,
        text: String,
        state: TransactionState,
        position: Option<Position>,
    },
}

/// The session at another VM for which this one runs a statement or a transaction.
#[derive(Clone, Debug)]
pub(crate) struct RemoteCaller {
    vm: VmId,
    incarnation: Incarnation,
    session: CallerId,
    request: RequestId,
}

/// Returns whether a caller is a session at another VM.
pub(crate) fn is_remote(caller: CallerId) -> bool {
    caller.0 >= FIRST_REMOTE_CALLER
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

    /// Runs a statement that another VM has forwarded.
    pub(crate) fn forwarded_request_received(
        &mut self,
        now: MonoTime,
        from: &VmId,
        incarnation: Incarnation,
        request: ForwardedRequest,
        actions: &mut Vec<PoolAction>,
    ) {
        let origin = RemoteCaller {
            vm: from.clone(),
            incarnation,
            session: request.session,
            request: request.request,
        };
        let known = self.remote_sessions.get(&(from.clone(), request.session));
        let known = known.copied();
        let remote = known.and_then(|caller| self.remote_callers.get(&caller));
        let is_same_process = remote.is_some_and(|remote| remote.incarnation == incarnation);
        if is_same_process && remote.is_some_and(|remote| remote.request >= request.request) {
            // The sender has given up this statement: its session has sent a later one, which came
            // over another connection.
            return;
        }
        if request.in_transaction {
            let is_open = |caller: &CallerId| {
                let session = self.sessions.get(caller);
                is_same_process && session.is_some_and(|session| session.transaction.is_some())
            };
            let Some(caller) = known.filter(is_open) else {
                let outcome = ForwardedOutcome::Failed {
                    error: CallerError::Aborted,
                    text: "transaction is not open at its VM".into(),
                    state: TransactionState::Failed,
                    position: None,
                };
                return self.send_forwarded_reply(&origin, outcome, actions);
            };
            self.remote_callers.insert(caller, origin);
            return self.start_forwarded(now, caller, request, actions);
        }
        if let Some(caller) = known {
            self.drop_remote_session(now, caller, actions);
        }
        let is_serving = self.is_ready && self.stop.is_none() && !self.is_isolated(now);
        if !is_serving || self.config.version < request.version {
            return self.send_forwarded_reply(&origin, ForwardedOutcome::NotAccepted, actions);
        }
        self.last_remote_caller += 1;
        let caller = CallerId(FIRST_REMOTE_CALLER + self.last_remote_caller);
        let mut session = Session::new(caller);
        session.login = Some(Login {
            database: request.database.clone(),
            key: String::new(),
            workspace: request.workspace.clone(),
        });
        self.sessions.insert(caller, session);
        let key = (origin.vm.clone(), origin.session);
        self.remote_sessions.insert(key, caller);
        self.remote_callers.insert(caller, origin);
        self.start_forwarded(now, caller, request, actions);
    }

    fn start_forwarded(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        request: ForwardedRequest,
        actions: &mut Vec<PoolAction>,
    ) {
        let route = self.config.routes.get(&request.database).map(Rc::clone);
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        session.values = request.values;
        let open = session.transaction.as_mut();
        let has_failed = open.as_ref().is_some_and(|open| open.has_failed);
        let route = match open {
            Some(open) => {
                open.used_at = now;
                Some(Rc::clone(&open.route))
            }
            None => route,
        };
        let Some(route) = route else {
            let text = "no such database";
            return self.reply_error(caller, CallerError::UnknownDatabase, text, actions);
        };
        if !request.in_transaction && !self.config.rates.contains_key(&request.workspace) {
            let text = "workspace has been removed";
            return self.reply_error(caller, CallerError::UnknownKey, text, actions);
        }
        if has_failed {
            let text = "transaction was rolled back";
            return self.reply_error(caller, CallerError::Aborted, text, actions);
        }
        if let Some(position) = request.last_commit {
            session.record_commit(&route.group, position);
        }
        let started_at = now - Duration::from_millis(request.age_ms);
        let (id, text, operation) = (request.id, request.text, request.operation);
        self.set_current(now, caller, route, id, text, operation, started_at);
        self.admit_current(now, caller, &request.workspace, actions);
    }

    /// Replaces replies to sessions at other VMs by messages, and ends those sessions that have no
    /// open transaction any more.
    pub(crate) fn redirect_remote_replies(
        &mut self,
        now: MonoTime,
        first: usize,
        actions: &mut Vec<PoolAction>,
    ) {
        let is_for_remote = |action: &PoolAction| match action {
            PoolAction::Reply { caller, .. } | PoolAction::CloseCaller { caller } => {
                is_remote(*caller)
            }
            _ => false,
        };
        // Ending a session can free a connection for a statement of another one.
        while actions[first..].iter().any(is_for_remote) {
            for action in actions.split_off(first) {
                match action {
                    PoolAction::Reply { caller, reply } if is_remote(caller) => {
                        self.redirect_reply(now, caller, reply, actions);
                    }
                    PoolAction::CloseCaller { caller } if is_remote(caller) => {
                        self.drop_remote_session(now, caller, actions);
                    }
                    other => actions.push(other),
                }
            }
        }
    }

    fn redirect_reply(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        reply: CallerReply,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(origin) = self.remote_callers.get(&caller).cloned() else {
            return;
        };
        let session = self.sessions.get(&caller);
        let outcome = match reply {
            CallerReply::Started => return,
            CallerReply::Done {
                rows,
                signature,
                state,
                position,
            } => ForwardedOutcome::Done {
                rows,
                signature,
                state,
                position,
                last_commit: session
                    .and_then(|session| session.last_commits.values().max())
                    .copied(),
            },
            CallerReply::Failed {
                error,
                text,
                state,
                position,
            } => ForwardedOutcome::Failed {
                error,
                text,
                state,
                position,
            },
            CallerReply::Rejected { error, text } => ForwardedOutcome::Failed {
                error,
                text,
                state: TransactionState::Idle,
                position: None,
            },
        };
        self.send_forwarded_reply(&origin, outcome, actions);
        let is_open = self.sessions.get(&caller).is_some_and(|session| {
            session.transaction_state() == TransactionState::Open || session.current.is_some()
        });
        if !is_open {
            self.drop_remote_session(now, caller, actions);
        }
    }

    fn send_forwarded_reply(
        &self,
        origin: &RemoteCaller,
        outcome: ForwardedOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let reply = ForwardedReply {
            session: origin.session,
            request: origin.request,
            outcome,
        };
        let message = PoolMessage::ForwardReply(Box::new(reply));
        self.send_peer(&origin.vm, message, actions);
    }

    /// Ends the session of a caller at another VM, and rolls back its transaction.
    pub(crate) fn drop_remote_session(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        if let Some(origin) = self.remote_callers.remove(&caller) {
            self.remote_sessions.remove(&(origin.vm, origin.session));
        }
        self.drop_session(now, caller, actions);
    }

    /// Ends the session of a caller whose VM has reported that it needs it no longer.
    pub(crate) fn forwarded_session_ended(
        &mut self,
        now: MonoTime,
        from: &VmId,
        session: CallerId,
        latest: RequestId,
        actions: &mut Vec<PoolAction>,
    ) {
        let key = (from.clone(), session);
        let Some(caller) = self.remote_sessions.get(&key).copied() else {
            return;
        };
        // The message may have been overtaken by a later statement of the session.
        let origin = self.remote_callers.get(&caller);
        if origin.is_some_and(|origin| origin.request <= latest) {
            self.drop_remote_session(now, caller, actions);
        }
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
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let expected = session.current.as_ref().filter(|current| {
            current.request == reply.request
                && current.stage == Stage::Forwarded
                && current.home.as_ref() == Some(from)
        });
        let Some(current) = expected else {
            return;
        };
        let (group, route) = (current.route.group.clone(), Rc::clone(&current.route));
        let (is_begin, read_only) = match current.operation {
            Operation::Begin { read_only } => (true, read_only),
            _ => (false, false),
        };
        let (state, reply) = match reply.outcome {
            ForwardedOutcome::NotAccepted => {
                self.note_peer_unavailable(now, from);
                return self.forward_again(now, caller, actions);
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
        self.note_peer_available(from);
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
        let home = may_forward
            .then(|| self.forwarding_target(now, workspace, &current.route.group))
            .flatten();
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
    /// their results may be lost.
    pub(crate) fn peer_lost(&mut self, now: MonoTime, vm: &VmId, actions: &mut Vec<PoolAction>) {
        self.note_peer_unavailable(now, vm);
        for caller in self.callers_at(vm) {
            self.recover_statement(now, caller, true, actions);
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
            self.note_peer_unavailable(now, &home);
            return self.recover_statement(now, caller, false, actions);
        }
        if silence >= PING_DELAY && now.since(health.pinged_at) >= PING_DELAY {
            health.pinged_at = now;
            self.send_peer(&home, PoolMessage::Ping, actions);
        }
    }
}
