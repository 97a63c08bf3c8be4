//! Messages of callers: sessions, and statements that need no member.

use std::rc::Rc;

use bytes::Bytes;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::WorkspaceId;
use smallvec::SmallVec;

use crate::catalogue::Consistency;
use crate::catalogue::RouteRule;
use crate::event::CallerReply;
use crate::event::PoolAction;
use crate::event::Report;
use crate::link::Purpose;
use crate::pool::Pool;
use crate::session::Current;
use crate::session::Opened;
use crate::session::Prepared;
use crate::session::Session;
use crate::session::Stage;
use crate::session::Transaction;
use crate::session::Work;
use crate::statement::Access;
use crate::statement::CallerError;
use crate::statement::CallerRequest;
use crate::statement::MemberCommand;
use crate::statement::Statement;
use crate::statement::TransactionState;

/// Statements that one session may send ahead; beyond them the connection is closed.
const BACKLOG_LIMIT: usize = 64;

/// The workspace that members are told for a public route and a caller without a key.
const PUBLIC_WORKSPACE: &str = "-";

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
            if session.backlog.len() >= BACKLOG_LIMIT {
                return self.end_session(now, caller, actions);
            }
            session.backlog.push_back(request);
            return;
        }
        match request {
            CallerRequest::Start { database, key } => self.start(caller, database, key, actions),
            CallerRequest::Query {
                id,
                text,
                statement,
            } => self.query(now, caller, id, text, statement, actions),
            CallerRequest::Bye => self.end_session(now, caller, actions),
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

    /// Closes a caller's connection and forgets the session.
    pub(crate) fn end_session(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        self.drop_session(now, caller, actions);
        actions.push(PoolAction::CloseCaller { caller });
    }

    fn drop_session(&mut self, now: MonoTime, caller: CallerId, actions: &mut Vec<PoolAction>) {
        let Some(session) = self.sessions.remove(&caller) else {
            return;
        };
        self.active.remove(&caller);
        if let Some(current) = &session.current {
            self.withdraw_admission(now, current.request, actions);
            self.leave_queue(caller, &current.route.group);
            if let Stage::OnLink(link) = current.stage {
                self.abandon_link(now, link, actions);
            }
        }
        if let Some(link) = session.transaction.and_then(|transaction| transaction.link) {
            self.abandon_link(now, link, actions);
        }
    }

    fn start(
        &mut self,
        caller: CallerId,
        database: String,
        key: String,
        actions: &mut Vec<PoolAction>,
    ) {
        let opened = match self.check_access(&database, &key) {
            Ok((_, workspace)) => Opened {
                database,
                key,
                workspace,
            },
            Err((error, text)) => {
                reject(caller, error, text, actions);
                self.sessions.remove(&caller);
                return actions.push(PoolAction::CloseCaller { caller });
            }
        };
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        if session.opened.is_some() {
            reject(caller, CallerError::Malformed, "session is open", actions);
            self.sessions.remove(&caller);
            return actions.push(PoolAction::CloseCaller { caller });
        }
        session.opened = Some(opened);
        let reply = CallerReply::Started;
        actions.push(PoolAction::Reply { caller, reply });
    }

    /// Returns the route and workspace of a caller under the configuration in force.
    fn check_access(
        &self,
        database: &str,
        key: &str,
    ) -> Result<(Rc<RouteRule>, WorkspaceId), (CallerError, &'static str)> {
        if self.catalogue.version == 0 {
            return Err((CallerError::Busy, "no configuration yet"));
        }
        let life = self.settings.key_life;
        if life.is_some_and(|life| self.last_event().since(self.store_heard_at) > life) {
            return Err((CallerError::Busy, "keys cannot be checked"));
        }
        let route = self.catalogue.routes.get(database);
        let route = route.ok_or((CallerError::UnknownDatabase, "no such database"))?;
        let workspace = match self.catalogue.keys.get(key) {
            Some(workspace) => workspace.clone(),
            None if route.is_public => WorkspaceId::from(PUBLIC_WORKSPACE),
            None => return Err((CallerError::UnknownKey, "key is not accepted")),
        };
        Ok((Rc::clone(route), workspace))
    }

    fn query(
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
        let Some(opened) = session.opened.clone() else {
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
        let work = match statement {
            Statement::SetValue { name, value } => {
                session.values.retain(|known| known.0 != name);
                session.values.push((name, value));
                return self.reply_done(caller, actions);
            }
            Statement::Prepare {
                name,
                access,
                shape,
            } => {
                session.prepared.insert(name, Prepared { access, shape });
                return self.reply_done(caller, actions);
            }
            Statement::Deallocate { name } => {
                session.prepared.remove(&name);
                return self.reply_done(caller, actions);
            }
            Statement::Rollback => return self.roll_back(now, caller, actions),
            Statement::Begin { read_only } => Work::Begin { read_only },
            Statement::Commit => Work::Commit,
            Statement::Run(access) => Work::Run(access),
            Statement::Execute { name, arguments } => match session.prepared.get(&name) {
                Some(prepared) => Work::Execute {
                    prepared: prepared.clone(),
                    arguments,
                },
                None => {
                    let error = CallerError::UnknownStatement;
                    return self.reply_error(caller, error, "no such statement", actions);
                }
            },
        };
        self.begin_work(now, caller, &opened, id, text, work, actions);
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    fn begin_work(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        opened: &Opened,
        id: String,
        text: String,
        work: Work,
        actions: &mut Vec<PoolAction>,
    ) {
        let access = self.check_access(&opened.database, &opened.key);
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let open = session.transaction.as_ref();
        let has_failed = open.is_some_and(|transaction| transaction.has_failed);
        let is_begin = matches!(work, Work::Begin { .. });
        let is_commit = matches!(work, Work::Commit);
        if open.is_some() && is_begin || open.is_none() && is_commit {
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
        let (route, workspace) = match (access, open) {
            // A changed route counts from the next transaction; a withdrawn key counts at once.
            (Ok((_, workspace)), Some(transaction)) if workspace == opened.workspace => {
                (Rc::clone(&transaction.route), workspace)
            }
            (Ok((route, workspace)), None) if workspace == opened.workspace => (route, workspace),
            (Err((CallerError::UnknownDatabase, _)), Some(transaction)) => {
                (Rc::clone(&transaction.route), opened.workspace.clone())
            }
            (refused, open) => {
                let refused = refused.err();
                let (error, text) = refused.unwrap_or((CallerError::UnknownKey, "key has moved"));
                let is_open = open.is_some();
                if is_open {
                    self.abort_transaction(now, caller, actions);
                }
                let error = if is_open { CallerError::Aborted } else { error };
                return self.reply_error(caller, error, text, actions);
            }
        };
        let in_transaction = open.is_some();
        let needs_primary = match open {
            Some(transaction) => !transaction.read_only,
            None => work.access() == Access::Write,
        } || route.consistency == Consistency::Primary;
        let request = self.new_request_id();
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        session.current = Some(Current {
            request,
            id,
            text,
            work,
            route,
            started_at: now,
            placed_at: now,
            stage: Stage::Admission,
            excluded: SmallVec::new(),
            last_member: None,
            needs_primary,
            last_fault: None,
            attempts: 0,
            not_before: now,
        });
        self.active.insert(caller);
        if !in_transaction {
            return self.ask_admission(now, caller, &workspace, actions);
        }
        if let Some(current) = &mut session.current {
            current.stage = Stage::Waiting;
        }
        self.enqueue(now, caller, actions);
    }

    /// Opens the transaction of a caller; members learn of it with its first statement.
    pub(crate) fn begin_admitted(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        read_only: bool,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let Some(current) = session.current.take() else {
            return;
        };
        session.transaction = Some(Transaction {
            route: current.route,
            read_only,
            has_failed: false,
            link: None,
            has_results: false,
            has_written: false,
            used_at: now,
        });
        self.reply_done(caller, actions);
        self.next_request(now, caller, actions);
    }

    fn roll_back(&mut self, now: MonoTime, caller: CallerId, actions: &mut Vec<PoolAction>) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        match session.transaction.take() {
            Some(transaction) => {
                self.active.remove(&caller);
                if let Some(link) = transaction.link {
                    self.roll_back_link(now, link, actions);
                }
                self.reply_done(caller, actions);
            }
            None => {
                let text = "no transaction is open";
                self.reply_error(caller, CallerError::Malformed, text, actions);
            }
        }
    }

    /// Rolls the transaction of a caller back; the caller has to end it.
    pub(crate) fn abort_transaction(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let session = self.sessions.get_mut(&caller);
        let transaction = session.and_then(|session| session.transaction.as_mut());
        let Some(transaction) = transaction else {
            return;
        };
        transaction.has_failed = true;
        if let Some(link) = transaction.link.take() {
            self.roll_back_link(now, link, actions);
        }
    }

    /// Rolls back what runs on a connection and frees it.
    pub(crate) fn roll_back_link(
        &mut self,
        now: MonoTime,
        id: lycheedoor_core::types::ConnectionId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if link.in_transaction {
            link.push(MemberCommand::Rollback, Purpose::RollBack);
            link.send(now, actions);
        }
        self.free_link(now, id, actions);
    }

    /// Ends the statement in progress without a result and goes on with the session.
    pub(crate) fn fail_current(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        error: CallerError,
        cause: &'static str,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let Some(current) = session.current.take() else {
            return;
        };
        let workspace = session
            .opened
            .as_ref()
            .map(|opened| opened.workspace.clone());
        let group = current.route.group.clone();
        actions.push(PoolAction::Report(Report::StatementFailed {
            caller,
            id: current.id,
            workspace: workspace.unwrap_or_else(|| WorkspaceId::from(PUBLIC_WORKSPACE)),
            group: Some(group.clone()),
            member: current.last_member,
            last_fault: current.last_fault,
            attempts: current.attempts,
            error,
            cause,
            version: self.catalogue.version,
            elapsed: now.since(current.started_at),
        }));
        self.withdraw_admission(now, current.request, actions);
        self.leave_queue(caller, &group);
        self.reply_error(caller, error, cause, actions);
        self.next_request(now, caller, actions);
    }

    /// Goes on with what a caller sent ahead.
    pub(crate) fn next_request(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        if session.transaction.is_none() && session.current.is_none() {
            self.active.remove(&caller);
        }
        if session.current.is_none()
            && let Some(request) = session.backlog.pop_front()
        {
            self.caller_sent(now, caller, request, actions);
            self.next_request(now, caller, actions);
        }
    }

    fn reply_done(&self, caller: CallerId, actions: &mut Vec<PoolAction>) {
        let reply = CallerReply::Done {
            rows: Bytes::new(),
            signature: None,
            state: self.state_of(caller),
            position: None,
        };
        actions.push(PoolAction::Reply { caller, reply });
    }

    pub(crate) fn reply_error(
        &self,
        caller: CallerId,
        error: CallerError,
        text: &str,
        actions: &mut Vec<PoolAction>,
    ) {
        self.reply_error_at(caller, error, text, None, actions);
    }

    pub(crate) fn reply_error_at(
        &self,
        caller: CallerId,
        error: CallerError,
        text: &str,
        position: Option<Position>,
        actions: &mut Vec<PoolAction>,
    ) {
        let reply = CallerReply::Failed {
            error,
            text: text.to_owned(),
            state: self.state_of(caller),
            position,
        };
        actions.push(PoolAction::Reply { caller, reply });
    }

    pub(crate) fn state_of(&self, caller: CallerId) -> TransactionState {
        self.sessions
            .get(&caller)
            .map(Session::state)
            .unwrap_or_default()
    }
}

fn reject(caller: CallerId, error: CallerError, text: &str, actions: &mut Vec<PoolAction>) {
    let text = text.to_owned();
    let reply = CallerReply::Rejected { error, text };
    actions.push(PoolAction::Reply { caller, reply });
}
