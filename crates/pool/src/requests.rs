//! Handling of callers' requests: sessions, and statements that need no member.

use std::rc::Rc;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::WorkspaceId;
use smallvec::SmallVec;

use crate::config::Consistency;
use crate::config::RouteRule;
use crate::event::CallerReply;
use crate::event::PoolAction;
use crate::pool::Pool;
use crate::session::CallerUsage;
use crate::session::CurrentStatement;
use crate::session::Login;
use crate::session::Operation;
use crate::session::PreparedStatement;
use crate::session::Session;
use crate::session::Stage;
use crate::statement::Access;
use crate::statement::CallerError;
use crate::statement::CallerRequest;
use crate::statement::Statement;

/// Requests that a session may send ahead of the current statement. With more, the connection is
/// closed.
const MAX_BACKLOG_REQUESTS: usize = 64;

/// Size of the values and prepared statements that a session may hold. It has room for a few of the
/// largest messages.
const MAX_STATE_BYTES: usize = 4 * 1024 * 1024;

/// The workspace name that is sent to members for a caller of a public route without a key.
pub(crate) const PUBLIC_WORKSPACE: &str = "-";

impl Pool {
    pub(crate) fn caller_connected(&mut self, caller: CallerId) {
        self.sessions.insert(caller, Session::new(caller));
    }

    pub(crate) fn caller_sent(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        request: CallerRequest,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        if session.current.is_some() {
            if session.backlog.len() >= MAX_BACKLOG_REQUESTS {
                return self.end_session(now, caller, actions);
            }
            session.backlog.push_back(request);
            return;
        }
        match request {
            CallerRequest::Start { database, key } => {
                self.start_session(now, caller, database, key, actions)
            }
            CallerRequest::Query {
                id,
                text,
                statement,
            } => self.handle_query(now, caller, id, text, statement, actions),
            CallerRequest::Terminate => self.end_session(now, caller, actions),
        }
    }

    pub(crate) fn caller_sent_invalid(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        is_too_large: bool,
        actions: &mut Vec<PoolAction>,
    ) {
        let error = if is_too_large {
            CallerError::TooLarge
        } else {
            CallerError::Malformed
        };
        reject(caller, error, "message not understood", actions);
        self.end_session(now, caller, actions);
    }

    pub(crate) fn caller_closed(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        self.drop_session(now, caller, actions);
    }

    /// Ends a caller's session and closes its connection.
    pub(crate) fn end_session(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        self.drop_session(now, caller, actions);
        actions.push(PoolAction::CloseCaller { caller });
    }

    pub(crate) fn drop_session(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.remove(&caller) else {
            return;
        };
        self.active.remove(&caller);
        self.end_at_home(&session, actions);
        if let Some(current) = &session.current {
            self.cancel_admission(now, current.request, actions);
            self.leave_queue(caller, &current.route.group);
            if let Stage::OnLink(link) = current.stage {
                self.abandon_link(now, link, actions);
            }
        }
        if let Some(link) = session.transaction.and_then(|transaction| transaction.link) {
            self.abandon_link(now, link, actions);
        }
    }

    /// Returns what the session of a caller holds in memory.
    pub fn caller_usage(&self, caller: CallerId) -> CallerUsage {
        self.sessions
            .get(&caller)
            .map(Session::usage)
            .unwrap_or_default()
    }

    fn start_session(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        database: String,
        key: String,
        actions: &mut Vec<PoolAction>,
    ) {
        if self.accepts_no_statements(now) {
            reject(caller, CallerError::Busy, "VM is stopping", actions);
            return self.end_session(now, caller, actions);
        }
        let login = match self.check_access(&database, &key) {
            Ok((_, workspace)) => Login {
                database,
                key,
                workspace,
            },
            Err((error, text)) => {
                reject(caller, error, text, actions);
                return self.end_session(now, caller, actions);
            }
        };
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        if session.login.is_some() {
            reject(caller, CallerError::Malformed, "session is open", actions);
            return self.end_session(now, caller, actions);
        }
        session.login = Some(login);
        let reply = CallerReply::Started;
        actions.push(PoolAction::Reply { caller, reply });
    }

    /// Returns the route of a database and the workspace of a key in the current configuration.
    fn check_access(
        &self,
        database: &str,
        key: &str,
    ) -> Result<(Rc<RouteRule>, WorkspaceId), (CallerError, &'static str)> {
        if self.config.version == 0 {
            return Err((CallerError::Busy, "no configuration yet"));
        }
        let key_ttl = self.settings.key_ttl;
        if key_ttl.is_some_and(|key_ttl| self.last_event().since(self.store_answered_at) > key_ttl)
        {
            return Err((CallerError::Busy, "keys cannot be checked"));
        }
        let route = self.config.routes.get(database);
        let route = route.ok_or((CallerError::UnknownDatabase, "no such database"))?;
        let workspace = match self.config.keys.get(key) {
            Some(workspace) => workspace.clone(),
            None if route.is_public => WorkspaceId::from(PUBLIC_WORKSPACE),
            None => return Err((CallerError::UnknownKey, "key is not accepted")),
        };
        Ok((Rc::clone(route), workspace))
    }

    fn handle_query(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        id: String,
        text: String,
        statement: Option<Statement>,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let Some(login) = session.login.clone() else {
            reject(
                caller,
                CallerError::Malformed,
                "session is not open",
                actions,
            );
            return self.end_session(now, caller, actions);
        };
        let Some(statement) = statement else {
            return self.reply_error(caller, CallerError::Malformed, "statement", actions);
        };
        if let Some(transaction) = &mut session.transaction {
            transaction.used_at = now;
        }
        if session.is_full_for(&statement) {
            let error = CallerError::Busy;
            return self.reply_error(caller, error, "session holds too much", actions);
        }
        let operation = match statement {
            Statement::SetValue { name, value } => {
                session.values.retain(|existing| existing.0 != name);
                session.values.push((name, value));
                return self.reply_done(caller, actions);
            }
            Statement::Prepare {
                name,
                access,
                statement_text,
            } => {
                session.prepared.insert(
                    name,
                    PreparedStatement {
                        access,
                        statement_text,
                    },
                );
                return self.reply_done(caller, actions);
            }
            Statement::Deallocate { name } => {
                session.prepared.remove(&name);
                return self.reply_done(caller, actions);
            }
            Statement::Rollback => return self.roll_back_transaction(now, caller, actions),
            Statement::Begin { read_only } => Operation::Begin { read_only },
            Statement::Commit => Operation::Commit,
            Statement::Run(access) => Operation::Run(access),
            Statement::Execute { name, arguments } => match session.prepared.get(&name) {
                Some(prepared) => Operation::Execute {
                    prepared: prepared.clone(),
                    arguments,
                },
                None => {
                    let error = CallerError::UnknownStatement;
                    return self.reply_error(caller, error, "no such statement", actions);
                }
            },
        };
        self.start_statement(now, caller, &login, id, text, operation, actions);
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    fn start_statement(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        login: &Login,
        id: String,
        text: String,
        operation: Operation,
        actions: &mut Vec<PoolAction>,
    ) {
        let access = self.check_access(&login.database, &login.key);
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let open_transaction = session.transaction.as_ref();
        let has_failed = open_transaction.is_some_and(|transaction| transaction.has_failed);
        let is_begin = matches!(operation, Operation::Begin { .. });
        let is_commit = matches!(operation, Operation::Commit);
        if open_transaction.is_some() && is_begin || open_transaction.is_none() && is_commit {
            let text = "not in this transaction state";
            return self.reply_error(caller, CallerError::Malformed, text, actions);
        }
        if has_failed {
            if is_commit {
                session.transaction = None;
                self.active.remove(&caller);
            }
            let text = "transaction was rolled back";
            return self.reply_error(caller, CallerError::Aborted, text, actions);
        }
        let (route, workspace) = match (access, open_transaction) {
            // Route changes apply from the next transaction on; a revoked key is refused at once.
            (Ok((_, workspace)), Some(transaction)) if workspace == login.workspace => {
                (Rc::clone(&transaction.route), workspace)
            }
            (Ok((route, workspace)), None) if workspace == login.workspace => (route, workspace),
            (Err((CallerError::UnknownDatabase, _)), Some(transaction)) => {
                (Rc::clone(&transaction.route), login.workspace.clone())
            }
            (refused, open_transaction) => {
                let refused = refused.err();
                let (error, text) = refused.unwrap_or((CallerError::UnknownKey, "key has moved"));
                let is_open = open_transaction.is_some();
                if is_open {
                    self.abort_transaction(now, caller, actions);
                }
                let error = if is_open { CallerError::Aborted } else { error };
                return self.reply_error(caller, error, text, actions);
            }
        };
        self.set_current(now, caller, route, id, text, operation, now);
        self.admit_current(now, caller, &workspace, actions);
    }

    /// Makes a statement the current one of a session.
    #[expect(clippy::too_many_arguments, reason = "the parts of one statement")]
    pub(crate) fn set_current(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        route: Rc<RouteRule>,
        id: String,
        text: String,
        operation: Operation,
        started_at: MonoTime,
    ) {
        let request = self.new_request_id();
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let needs_primary = match &session.transaction {
            Some(transaction) => !transaction.read_only,
            None => operation.access() == Access::Write,
        } || route.consistency == Consistency::Primary;
        session.current = Some(CurrentStatement {
            request,
            id,
            text,
            operation,
            route,
            started_at,
            placed_at: now,
            stage: Stage::Admission,
            home: None,
            forward_attempts: 0,
            excluded: SmallVec::new(),
            last_member: None,
            needs_primary,
            last_fault: None,
            attempts: 0,
            not_before: now,
        });
        self.active.insert(caller);
    }

    /// Forwards a caller's current statement to the home of its workspace, or starts it on this VM.
    pub(crate) fn admit_current(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        workspace: &WorkspaceId,
        actions: &mut Vec<PoolAction>,
    ) {
        let current = self
            .sessions
            .get(&caller)
            .and_then(|session| session.current.as_ref());
        let is_commit =
            current.is_some_and(|current| matches!(current.operation, Operation::Commit));
        if !is_commit && self.accepts_no_statements(now) {
            return self.refuse_because_of_stop(now, caller, actions);
        }
        if let Some(home) = self.home_of_current(now, caller) {
            return self.forward_statement(now, caller, home, actions);
        }
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        if session.transaction.is_none() {
            return self.request_admission(now, caller, workspace, actions);
        }
        if let Some(current) = &mut session.current {
            current.stage = Stage::Waiting;
        }
        self.enqueue(now, caller, actions);
    }
}

fn reject(caller: CallerId, error: CallerError, text: &str, actions: &mut Vec<PoolAction>) {
    let text = text.to_owned();
    let reply = CallerReply::Rejected { error, text };
    actions.push(PoolAction::Reply { caller, reply });
}

impl Session {
    /// Returns whether a statement would make the session hold more than it may. What it replaces
    /// still counts.
    fn is_full_for(&self, statement: &Statement) -> bool {
        let added = match statement {
            Statement::SetValue { name, value } => name.len() + value.len(),
            Statement::Prepare {
                name,
                statement_text,
                ..
            } => name.len() + statement_text.len(),
            _ => return false,
        };
        self.usage().state_bytes + added > MAX_STATE_BYTES
    }
}
