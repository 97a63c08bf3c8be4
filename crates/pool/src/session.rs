//! A caller's session: values, prepared statements, transaction and the statement in progress.

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
use lycheedoor_core::types::WorkspaceId;
use smallvec::SmallVec;

use crate::catalogue::RouteRule;
use crate::statement::Access;
use crate::statement::CallerRequest;
use crate::statement::MemberFault;
use crate::statement::TransactionState;

/// A prepared statement of a session.
#[derive(Clone, Debug)]
pub(crate) struct PreparedStatement {
    pub(crate) access: Access,
    pub(crate) shape: String,
}

/// A transaction of a session.
#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    pub(crate) route: Rc<RouteRule>,
    pub(crate) read_only: bool,
    pub(crate) has_failed: bool,
    /// The connection on which the transaction runs, from its first statement on.
    pub(crate) link: Option<ConnectionId>,
    /// Whether the caller has got a result; until then the transaction can start anew elsewhere.
    pub(crate) has_results: bool,
    pub(crate) has_written: bool,
    pub(crate) used_at: MonoTime,
}

/// The work of a statement in progress.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// Opens a transaction; waits only for its token.
    Begin { read_only: bool },
    /// Commits a transaction.
    Commit,
    /// Runs the text as sent.
    Run(Access),
    /// Executes a prepared statement.
    Execute {
        prepared: PreparedStatement,
        arguments: String,
    },
}

impl Work {
    pub(crate) fn access(&self) -> Access {
        match self {
            Self::Begin { .. } | Self::Commit => Access::Read,
            Self::Run(access) => *access,
            Self::Execute { prepared, .. } => prepared.access,
        }
    }
}

/// How far a statement has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for a token of its workspace.
    Admission,
    /// It waits for a connection.
    Waiting,
    /// It has a connection.
    OnLink(ConnectionId),
}

/// The statement in progress of a session.
#[derive(Clone, Debug)]
pub(crate) struct CurrentStatement {
    pub(crate) request: RequestId,
    pub(crate) id: String,
    pub(crate) text: String,
    pub(crate) work: Work,
    pub(crate) route: Rc<RouteRule>,
    pub(crate) started_at: MonoTime,
    /// When the statement got its connection, in the latest attempt.
    pub(crate) placed_at: MonoTime,
    pub(crate) stage: Stage,
    /// Members that could not run the statement.
    pub(crate) excluded: SmallVec<[MemberId; 2]>,
    pub(crate) last_member: Option<MemberId>,
    pub(crate) needs_primary: bool,
    /// What the last member that did not run the statement said.
    pub(crate) last_fault: Option<MemberFault>,
    /// Attempts that ended without a result.
    pub(crate) attempts: u32,
    /// Not before this time the statement is tried again.
    pub(crate) not_before: MonoTime,
}

/// A caller's session.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) caller: CallerId,
    /// The database and key of an open session.
    pub(crate) login: Option<Login>,
    pub(crate) values: Vec<(String, String)>,
    pub(crate) prepared: BTreeMap<String, PreparedStatement>,
    pub(crate) transaction: Option<Transaction>,
    /// The position of the session's last commit in each group that it wrote to.
    pub(crate) last_commits: BTreeMap<GroupId, Position>,
    pub(crate) current: Option<CurrentStatement>,
    pub(crate) backlog: VecDeque<CallerRequest>,
}

/// What a caller said when it opened its session.
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

    /// Returns whether nothing is open or in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.transaction.is_none() && self.current.is_none() && self.backlog.is_empty()
    }

    /// Notes a commit of the session.
    pub(crate) fn record_commit(&mut self, group: &GroupId, position: Position) {
        let latest = self.last_commits.entry(group.clone()).or_insert(position);
        *latest = position.max(*latest);
    }
}
