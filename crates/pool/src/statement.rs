//! The statements of callers, the commands that are sent to members, and the members' answers.

use bytes::Bytes;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use serde::Deserialize;
use serde::Serialize;

/// Whether a statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Access {
    /// The statement does not modify data.
    Read,
    /// The statement may modify data.
    Write,
}

/// The state of a session's transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction has failed, and the caller has to end it before anything else can run.
    Failed,
}

/// A parsed statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Runs the text as sent; the access states whether it reads or writes.
    Run(Access),
    /// Sets a session value.
    SetValue {
        /// The name of the session value.
        name: String,
        /// The new value.
        value: String,
    },
    /// Prepares a statement under a name that is local to the session.
    Prepare {
        /// The name, which other sessions may use for other statements.
        name: String,
        /// Whether the statement reads or writes when it is executed.
        access: Access,
        /// The text of the statement to prepare.
        statement_text: String,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name under which the session prepared the statement.
        name: String,
        /// The text that follows the name.
        arguments: String,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// The name under which the session prepared the statement.
        name: String,
    },
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerRequest {
    /// Opens the session.
    Start {
        /// The name of the database, which selects a route of the configuration.
        database: String,
        /// The key that identifies the workspace; empty when the caller sent none.
        key: String,
    },
    /// Sends a statement.
    Query {
        /// The identifier that the caller assigned to the statement.
        id: String,
        /// The text as sent.
        text: String,
        /// The parsed statement, or `None` if the text could not be parsed.
        statement: Option<Statement>,
    },
    /// Ends the session.
    Terminate,
}

/// The reason why a caller gets no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerError {
    /// The statement has not run, because it cannot be served now.
    Busy,
    /// The transaction was rolled back and has no effect.
    Aborted,
    /// The statement has not run, because no member has the position that it requires.
    Lagging,
    /// The member does not accept writes; the statement has no effect.
    ReadOnly,
    /// The outcome is unknown.
    InDoubt,
    /// The statement exceeded its time limit; the outcome is unknown.
    TimedOut,
    /// The statement ran and failed.
    Failed,
    /// The key belongs to no workspace.
    UnknownKey,
    /// No route is configured for the name of the database.
    UnknownDatabase,
    /// The statement has not run, because the session has not prepared one of this name.
    UnknownStatement,
    /// The message could not be parsed, or is not allowed in the state of the session.
    Malformed,
    /// The message is too large.
    TooLarge,
}

impl CallerError {
    /// Returns the name that is used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::InDoubt => "in_doubt",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
            Self::UnknownKey => "unknown_key",
            Self::UnknownDatabase => "unknown_database",
            Self::UnknownStatement => "unknown_statement",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
        }
    }
}

/// A caller's statement in the form that is sent to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardedStatement {
    /// The text as the caller sent it.
    AsSent(String),
    /// A prepared statement, by the name that the connection has for it.
    Execute {
        /// The name of the prepared statement on the connection.
        name: String,
        /// The text after the name, as the caller sent it.
        arguments: String,
    },
}

/// A command for a member; commands of one connection are answered in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberCommand {
    /// Discards all session values and prepared statements of the connection.
    Reset,
    /// Sets a session value.
    SetValue {
        /// The name of the session value.
        name: String,
        /// The new value.
        value: String,
    },
    /// Prepares a statement under a name that this VM has chosen.
    Prepare {
        /// The name on this connection.
        name: String,
        /// Whether the statement reads or writes when it is executed.
        access: Access,
        /// The text of the statement to prepare.
        statement_text: String,
    },
    /// Opens a transaction. A member that is not the primary refuses one that may write.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Rolls back the open transaction.
    Rollback,
    /// Runs a caller's statement.
    Forward {
        /// The identifier that the caller assigned to the statement.
        id: String,
        /// The statement in the form for this connection.
        statement: ForwardedStatement,
        /// The position that the member's log must include; `None` if the statement requires none.
        required_position: Option<Position>,
    },
    /// Asks for the member's status.
    Status,
    /// Stops a replica from receiving further commits of terms below the given one.
    Pause(Term),
    /// Demotes a primary of a term below the given one to a replica.
    StepDown(Term),
}

/// The status that a member reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the member considers itself the primary.
    pub is_primary: bool,
    /// The member's current term.
    pub term: Term,
    /// The newest position that the member has received.
    pub received: Position,
    /// The term of the pause in force, up to which the member receives no commits; `None` if it has
    /// not been paused.
    pub paused_term: Option<Term>,
}

impl MemberStatus {
    /// Returns whether the member receives no commits until one of a later term is promoted.
    pub fn is_paused(&self) -> bool {
        !self.is_primary && self.paused_term.is_some_and(|paused| paused > self.term)
    }
}

/// The reason why a member returned an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberFault {
    /// Nothing has run: all slots are in use.
    Busy,
    /// Nothing has run: the connection has no such prepared statement.
    UnknownStatement,
    /// Nothing has run: the member's log does not include the required position.
    Lagging,
    /// Nothing has run: the member is not the primary.
    ReadOnly,
    /// The address now belongs to another member.
    Misrouted,
    /// The member accepts no further connections.
    TooManyConnections,
    /// The statement ran and failed.
    Failed,
    /// The statement exceeded the member's time limit.
    TimedOut,
    /// The member refused the command for another reason.
    Other,
}

impl MemberFault {
    /// Returns the name that is used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::UnknownStatement => "unknown_statement",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::Misrouted => "misrouted",
            Self::TooManyConnections => "too_many_connections",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
            Self::Other => "other",
        }
    }
}

/// An error that a member returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberError {
    /// The reason, which decides whether the statement is retried.
    pub fault: MemberFault,
    /// The member's description of the error.
    pub text: String,
}

/// The complete answer of a member to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberAnswer {
    /// The rows in wire encoding, passed on unchanged.
    pub rows: Bytes,
    /// The member's signature, or the error that it returned instead of a result.
    pub result: Result<String, MemberError>,
    /// The state of the connection's transaction after the command.
    pub state: TransactionState,
    /// The position of the member's log, if it reported one.
    pub position: Option<Position>,
    /// The member's status, if the command asked for it.
    pub status: Option<MemberStatus>,
}
