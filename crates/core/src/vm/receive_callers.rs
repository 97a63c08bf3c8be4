//! Start-up of callers, and acceptance of their statements.

use std::sync::Arc;

use rand::Rng;

use crate::config::KeyDigest;
use crate::exchange::ExchangeEvent;
use crate::session::SessionToken;
use crate::session::SessionVector;
use crate::timeline::EventCode;
use crate::timeline::SessionId;
use crate::timeline::Subject;
use crate::types::CallerId;
use crate::types::MonoTime;
use crate::types::Outcome;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::RouteId;
use crate::types::WorkspaceId;
use crate::vm::Vm;
use crate::vm::VmAction;
use crate::vm::callers::CallerEntry;
use crate::vm::roles::RoleEvent;

impl Vm {
    pub(super) fn start_caller(
        &mut self,
        now: MonoTime,
        login: Login,
        actions: &mut Vec<VmAction>,
    ) {
        let caller = login.caller;
        match self.accept(now, &login) {
            Ok(mut entry) => {
                let token = login.session_token.as_deref();
                let (session_id, session, rejected) =
                    self.start_session(now, &login.workspace, token);
                entry.session = Some(session_id);
                self.callers.insert(caller, entry);
                if rejected {
                    let reason = Some(Reason::NoSessionEvidence);
                    self.record_caller(now, EventCode::TokenRejected, &login, reason);
                }
                self.record_caller(now, EventCode::CallerAccepted, &login, None);
                self.push(RoleEvent::Exchange(ExchangeEvent::CallerStarted {
                    caller,
                    session,
                }));
                actions.push(VmAction::AcceptCaller { caller });
            }
            Err(reason) => {
                // The workspace that a refused caller requested is unverified. Counting unknown
                // names would let callers grow the counters without bound.
                let config = self.config.as_ref();
                if config.is_some_and(|current| current.workspaces.contains_key(&login.workspace)) {
                    self.counters.count(&login.workspace, Outcome::NotRun);
                }
                self.record_caller(now, EventCode::CallerRefused, &login, Some(reason));
                actions.push(VmAction::CloseCaller { caller, reason });
            }
        }
    }

    /// Returns the number and the vector of a new caller's session, and whether its token was
    /// rejected. Advances the clock to the timestamp of the token, so that the session's records
    /// on this VM are ordered after those on the previous VM.
    fn start_session(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceId,
        token: Option<&str>,
    ) -> (SessionId, SessionVector, bool) {
        let new_session = SessionId(self.session_numbers.next_u64());
        let Some(text) = token else {
            return (new_session, SessionVector::new(), false);
        };
        let secrets = self.secrets.as_ref();
        let token = secrets.and_then(|session_secrets| {
            SessionToken::verify(session_secrets, workspace, text).ok()
        });
        match token {
            Some(token) => {
                self.observe_timestamp(now, token.stamp);
                (token.session, token.vector, false)
            }
            None => (new_session, SessionVector::without_evidence(), true),
        }
    }

    /// Records that a caller has closed its connection.
    pub(super) fn record_caller_closed(&mut self, now: MonoTime, caller: CallerId) {
        let Some(entry) = self.callers.get_mut(caller) else {
            return;
        };
        let subject = Subject {
            caller: Some(caller),
            workspace: Some(entry.workspace.clone()),
            session: entry.session,
            reason: Some(Reason::CallerGone),
            ..Subject::default()
        };
        self.record(now, EventCode::CallerClosed, subject);
    }

    fn record_caller(
        &mut self,
        now: MonoTime,
        code: EventCode,
        login: &Login,
        reason: Option<Reason>,
    ) {
        let entry = self.callers.get_mut(login.caller);
        let subject = Subject {
            caller: Some(login.caller),
            session: entry.and_then(|entry| entry.session),
            workspace: Some(login.workspace.clone()),
            reason,
            ..Subject::default()
        };
        self.record(now, code, subject);
    }

    fn accept(&self, now: MonoTime, login: &Login) -> Result<CallerEntry, Reason> {
        if self.drain.is_draining() {
            return Err(Reason::Draining);
        }
        let config = self.config.as_ref().ok_or(Reason::LeaseLost)?;
        if !self.may_serve(now) {
            return Err(Reason::LeaseLost);
        }
        CallerEntry::accept(
            config,
            login.workspace.clone(),
            login.key,
            login.route.clone(),
        )
    }

    /// Returns whether this VM holds a lease and a confirmed configuration, so that it may serve
    /// callers.
    pub(super) fn may_serve(&self, now: MonoTime) -> bool {
        let platform_serves = self.membership.platform_serves(now);
        self.membership.may_act(now) && self.config_watcher.is_confirmed(platform_serves)
    }

    /// Passes a statement of a caller on to the exchanges.
    pub(super) fn receive_request(
        &mut self,
        caller: CallerId,
        request: RequestId,
        idempotency_key: Option<String>,
        actions: &mut Vec<VmAction>,
    ) {
        let (Some(entry), Some(config)) = (self.callers.get_mut(caller), &self.config) else {
            return actions.push(VmAction::RefuseRequest {
                caller,
                request,
                reason: Reason::LeaseLost,
                outcome: Outcome::NotRun,
                session_token: None,
            });
        };
        let plan = entry.current_plan(config);
        self.callers.open_request(caller, request);
        self.push(RoleEvent::Exchange(ExchangeEvent::RequestReceived {
            caller,
            request,
            plan,
            idempotency_key: idempotency_key.map(Arc::from),
        }));
    }
}

/// The content of a caller's start-up message.
pub(super) struct Login {
    pub(super) caller: CallerId,
    pub(super) workspace: WorkspaceId,
    pub(super) key: Option<KeyDigest>,
    pub(super) route: RouteId,
    pub(super) session_token: Option<String>,
}
