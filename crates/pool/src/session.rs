//! A caller's session: its values, prepared statements, transaction and current statement.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::config::RouteRule;
use crate::statement::Access;
use crate::statement::CallerRequest;
use crate::statement::MemberFault;
use crate::statement::TransactionState;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PreparedStatement {
    pub(crate) access: Access,
    pub(crate) statement_text: String,
}

/// An open transaction of a session, or one that failed and that the caller has yet to end.
#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    pub(crate) route: Rc<RouteRule>,
    pub(crate) read_only: bool,
    pub(crate) has_failed: bool,
    /// The VM that runs the transaction, if that is not this one.
    pub(crate) home: Option<VmId>,
    /// The connection that runs the transaction; `None` before its first statement.
    pub(crate) link: Option<ConnectionId>,
    /// Whether the caller has received a result. Until then the transaction can be restarted on
    /// another member.
    pub(crate) has_results: bool,
    pub(crate) has_written: bool,
    pub(crate) used_at: MonoTime,
}

impl Transaction {
    pub(crate) fn new(route: Rc<RouteRule>, read_only: bool, now: MonoTime) -> Self {
        Self {
            route,
            read_only,
            has_failed: false,
            home: None,
            link: None,
            has_results: false,
            has_written: false,
            used_at: now,
        }
    }
}

/// What the current statement of a session does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Operation {
    /// Opens a transaction. It needs a token, but no connection.
    Begin { read_only: bool },
    /// Commits a transaction.
    Commit,
    /// Runs the text that the caller sent.
    Run(Access),
    /// Executes a prepared statement.
    Execute {
        prepared: PreparedStatement,
        arguments: String,
    },
}

impl Operation {
    pub(crate) fn access(&self) -> Access {
        match self {
            Self::Begin { .. } | Self::Commit => Access::Read,
            Self::Run(access) => *access,
            Self::Execute { prepared, .. } => prepared.access,
        }
    }
}

/// The progress of the current statement of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The statement waits for a token of its workspace.
    Admission,
    /// The statement waits for a connection.
    Waiting,
    /// The statement is queued on a connection or was sent over it.
    OnLink(ConnectionId),
    /// The statement was forwarded to another VM.
    Forwarded,
}

/// The statement that a session is executing.
#[derive(Clone, Debug)]
pub(crate) struct CurrentStatement {
    pub(crate) request: RequestId,
    pub(crate) id: String,
    pub(crate) text: String,
    pub(crate) operation: Operation,
    pub(crate) route: Rc<RouteRule>,
    pub(crate) started_at: MonoTime,
    /// When the latest attempt was assigned to a connection.
    pub(crate) placed_at: MonoTime,
    pub(crate) stage: Stage,
    /// The VM that the statement was forwarded to.
    pub(crate) home: Option<VmId>,
    /// How often a VM that the statement was forwarded to did not run it.
    pub(crate) forward_attempts: u32,
    /// Members that could not run the statement, which retries avoid.
    pub(crate) excluded: SmallVec<[MemberId; 2]>,
    pub(crate) last_member: Option<MemberId>,
    pub(crate) needs_primary: bool,
    /// The error of the last member that refused to run the statement.
    pub(crate) last_fault: Option<MemberFault>,
    /// Number of attempts that ended without a result.
    pub(crate) attempts: u32,
    /// The earliest time of the next attempt.
    pub(crate) not_before: MonoTime,
}

#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) caller: CallerId,
    /// What the caller sent to open the session; `None` until it is open.
    pub(crate) login: Option<Login>,
    pub(crate) values: Vec<(String, String)>,
    pub(crate) prepared: BTreeMap<String, PreparedStatement>,
    pub(crate) transaction: Option<Transaction>,
    /// The position of the session's last commit in each group that it wrote to.
    pub(crate) last_commits: BTreeMap<GroupId, Position>,
    pub(crate) current: Option<CurrentStatement>,
    pub(crate) backlog: VecDeque<CallerRequest>,
}

/// What a session holds in memory for its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerUsage {
    /// Whether the session is open.
    pub has_session: bool,
    /// Whether a statement or transaction is in progress.
    pub is_busy: bool,
    /// Number of requests that wait for the current statement.
    pub requests_ahead: usize,
    /// Size of the texts of the current statement and of those that wait for it.
    pub statement_bytes: usize,
    /// Size of the session's values and prepared statements.
    pub state_bytes: usize,
}

/// Memory of a session value or prepared statement beside its texts, in bytes.
const STATE_ENTRY_BYTES: usize = 128;

/// The database and the key that a caller sent to open its session, with the workspace of the key.
#[derive(Clone, Debug)]
pub(crate) struct Login {
    pub(crate) database: String,
    pub(crate) key: String,
    pub(crate) workspace: WorkspaceId,
}

impl Session {
    pub(crate) fn new(caller: CallerId) -> Self {
        Self {
            caller,
            login: None,
            values: Vec::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            last_commits: BTreeMap::new(),
            current: None,
            backlog: VecDeque::new(),
        }
    }

    pub(crate) fn transaction_state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.has_failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }

    /// Returns whether the session has no transaction, no current statement and no backlog.
    pub(crate) fn is_idle(&self) -> bool {
        self.transaction.is_none() && self.current.is_none() && self.backlog.is_empty()
    }

    /// Returns what the session holds in memory for its caller.
    pub(crate) fn usage(&self) -> CallerUsage {
        let values = self.values.iter().map(|(name, value)| (name, value));
        let prepared = self.prepared.iter();
        let prepared = prepared.map(|(name, prepared)| (name, &prepared.statement_text));
        let state_bytes = values
            .chain(prepared)
            .map(|(name, text)| name.len() + text.len() + STATE_ENTRY_BYTES)
            .sum();
        let current = self.current.iter().map(|current| &current.text);
        let ahead = self.backlog.iter().map(|request| match request {
            CallerRequest::Query { text, .. } => text.len(),
            CallerRequest::Start { database, key } => database.len() + key.len(),
            CallerRequest::Terminate => 0,
        });
        CallerUsage {
            has_session: self.login.is_some(),
            is_busy: !self.is_idle(),
            requests_ahead: self.backlog.len(),
            statement_bytes: current.map(String::len).chain(ahead).sum(),
            state_bytes,
        }
    }

    /// Records the position of a commit, which later reads of the session require.
    pub(crate) fn record_commit(&mut self, group: &GroupId, position: Position) {
        let latest = self.last_commits.entry(group.clone()).or_insert(position);
        *latest = position.max(*latest);
    }
}
