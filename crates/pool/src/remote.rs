//! Sessions of callers at other VMs, for which this VM runs a statement or a transaction as the home
//! of their workspace.

use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;

use crate::event::CallerReply;
use crate::event::PoolAction;
use crate::forward::ForwardedOutcome;
use crate::forward::ForwardedReply;
use crate::forward::ForwardedRequest;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::session::Login;
use crate::session::Session;
use crate::statement::CallerError;
use crate::statement::TransactionState;
use crate::unreachable_primary::will_need_primary;

/// Callers with at least this number are sessions at other VMs.
const FIRST_REMOTE_CALLER: u64 = 1 << 63;

/// A session at another VM. Each process of a VM numbers its sessions from the start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RemoteSession {
    vm: VmId,
    incarnation: Incarnation,
    session: CallerId,
}

/// The session at another VM for which this one runs a statement or a transaction.
#[derive(Clone, Debug)]
pub(crate) struct RemoteCaller {
    origin: RemoteSession,
    /// The number of its latest statement there.
    request: RequestId,
    /// The group in which this statement runs.
    group: GroupId,
}

/// Returns whether a caller is a session at another VM.
pub(crate) fn is_remote(caller: CallerId) -> bool {
    caller.0 >= FIRST_REMOTE_CALLER
}

impl Pool {
    /// Runs a statement that another VM has forwarded.
    pub(crate) fn forwarded_request_received(
        &mut self,
        now: MonoTime,
        from: &VmId,
        incarnation: Incarnation,
        request: ForwardedRequest,
        actions: &mut Vec<PoolAction>,
    ) {
        let sender = RemoteCaller {
            origin: RemoteSession {
                vm: from.clone(),
                incarnation,
                session: request.session,
            },
            request: request.request,
            group: request.group.clone(),
        };
        let known = self.remote_sessions.get(&sender.origin).copied();
        let remote = known.and_then(|caller| self.remote_callers.get(&caller));
        if remote.is_some_and(|remote| remote.request >= request.request) {
            // The sender has given up this statement: its session has sent a later one, which came
            // over another connection.
            return;
        }
        if request.in_transaction {
            let is_open = |caller: &CallerId| {
                let session = self.sessions.get(caller);
                session.is_some_and(|session| session.transaction.is_some())
            };
            let Some(caller) = known.filter(is_open) else {
                let outcome = ForwardedOutcome::Failed {
                    error: CallerError::Aborted,
                    text: "transaction is not open at its VM".into(),
                    state: TransactionState::Failed,
                    position: None,
                };
                return self.send_forwarded_reply(&sender, outcome, actions);
            };
            self.remote_callers.insert(caller, sender);
            return self.start_forwarded(now, caller, request, actions);
        }
        if let Some(caller) = known {
            self.drop_remote_session(now, caller, actions);
        }
        let is_serving = self.is_ready && self.stop.is_none() && !self.is_isolated();
        let route = self.config.routes.get(&request.database);
        let is_out_of_reach = route.is_some_and(|route| {
            will_need_primary(&request.operation, route)
                && self.vm_that_reaches_primary(now, &route.group).is_some()
        });
        if !is_serving || is_out_of_reach || self.config.version < request.version {
            return self.send_forwarded_reply(&sender, ForwardedOutcome::NotAccepted, actions);
        }
        if route.is_some_and(|route| route.group != request.group) {
            return self.send_forwarded_reply(&sender, ForwardedOutcome::OtherGroup, actions);
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
        self.remote_sessions.insert(sender.origin.clone(), caller);
        self.remote_callers.insert(caller, sender);
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
            session.record_commit(&request.group, position);
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
        let Some(sender) = self.remote_callers.get(&caller).cloned() else {
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
                    .and_then(|session| session.last_commits.get(&sender.group))
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
        self.send_forwarded_reply(&sender, outcome, actions);
        let is_open = self.sessions.get(&caller).is_some_and(|session| {
            session.transaction_state() == TransactionState::Open || session.current.is_some()
        });
        if !is_open {
            self.drop_remote_session(now, caller, actions);
        }
    }

    pub(crate) fn send_forwarded_reply(
        &self,
        sender: &RemoteCaller,
        outcome: ForwardedOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let reply = ForwardedReply {
            incarnation: sender.origin.incarnation,
            session: sender.origin.session,
            request: sender.request,
            outcome,
        };
        let message = PoolMessage::ForwardReply(Box::new(reply));
        self.send_peer(&sender.origin.vm, message, actions);
    }

    /// Ends the session of a caller at another VM, and rolls back its transaction.
    pub(crate) fn drop_remote_session(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        if let Some(sender) = self.remote_callers.remove(&caller) {
            self.remote_sessions.remove(&sender.origin);
        }
        self.drop_session(now, caller, actions);
    }

    /// Rolls back the transactions of a process that has been replaced by its VM's next one. No
    /// session continues them. Single statements end by themselves.
    pub(crate) fn drop_transactions_of(
        &mut self,
        now: MonoTime,
        vm: &VmId,
        incarnation: Incarnation,
        actions: &mut Vec<PoolAction>,
    ) {
        let is_of_process = |(session, caller): &(&RemoteSession, &CallerId)| {
            let open = self.sessions.get(caller);
            session.vm == *vm
                && session.incarnation == incarnation
                && open.is_some_and(|session| session.transaction.is_some())
        };
        let ended = self.remote_sessions.iter().filter(is_of_process);
        let ended: Vec<CallerId> = ended.map(|(_, caller)| *caller).collect();
        for caller in ended {
            self.drop_remote_session(now, caller, actions);
        }
    }

    /// Ends the session of a caller whose VM has reported that it needs it no longer.
    pub(crate) fn forwarded_session_ended(
        &mut self,
        now: MonoTime,
        from: &VmId,
        incarnation: Incarnation,
        session: CallerId,
        latest: RequestId,
        actions: &mut Vec<PoolAction>,
    ) {
        let origin = RemoteSession {
            vm: from.clone(),
            incarnation,
            session,
        };
        let Some(caller) = self.remote_sessions.get(&origin).copied() else {
            return;
        };
        // The message may have been overtaken by a later statement of the session.
        let sender = self.remote_callers.get(&caller);
        if sender.is_some_and(|sender| sender.request <= latest) {
            self.drop_remote_session(now, caller, actions);
        }
    }
}
