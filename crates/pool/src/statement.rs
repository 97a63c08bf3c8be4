//! What callers ask, what members are told and what they answer.

use bytes::Bytes;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;

/// Whether a statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Access {
    /// The statement only reads.
    Read,
    /// The statement writes.
    Write,
}

/// The state of a session's transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed; only its end is accepted.
    Failed,
}

/// A statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction promises not to write.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes with the text as sent.
    Run(Access),
    /// Sets a session value.
    SetValue {
        /// The name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The name, which only this session knows.
        name: String,
        /// Whether the prepared statement reads or writes.
        access: Access,
        /// The statement that is prepared.
        shape: String,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name that the session prepared.
        name: String,
        /// The text after the name.
        arguments: String,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// The name that the session prepared.
        name: String,
    },
}

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerRequest {
    /// Opens the session.
    Start {
        /// The database that the caller names; a route of the configuration.
        database: String,
        /// The key that identifies the workspace; empty when the caller sent none.
        key: String,
    },
    /// Sends a statement.
    Query {
        /// The identifier that the caller gave the statement.
        id: String,
        /// The text as sent.
        text: String,
        /// The statement, or `None` when the text is not understood.
        statement: Option<Statement>,
    },
    /// Ends the session.
    Bye,
}

/// Why a caller gets no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerError {
    /// Nothing has run; the fleet cannot serve the statement now.
    Busy,
    /// The transaction was rolled back; nothing of it is kept.
    Aborted,
    /// No member has what the statement has to see; nothing has run.
    Lagging,
    /// The member may not write; nothing is kept.
    ReadOnly,
    /// The outcome is unknown.
    InDoubt,
    /// The statement took too long; the outcome is unknown.
    TimedOut,
    /// The statement ran and failed.
    Failed,
    /// The key belongs to no workspace.
    UnknownKey,
    /// No route has the name of the database.
    UnknownDatabase,
    /// The session has not prepared this name; nothing has run.
    UnknownStatement,
    /// The message is not understood or not allowed in this state.
    Malformed,
    /// The message is too large.
    TooLarge,
}

impl CallerError {
    /// Returns the name in logs and metrics.
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

/// A caller's statement as a member gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardedStatement {
    /// The text as the caller sent it.
    AsSent(String),
    /// A prepared statement under the connection's name for it.
    Execute {
        /// The name on the connection.
        name: String,
        /// The text after the name, as the caller sent it.
        arguments: String,
    },
}

/// A command for a member; commands of one connection are answered in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberCommand {
    /// Drops session values and prepared statements.
    Reset,
    /// Sets a session value.
    SetValue {
        /// The name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name of this VM.
    Prepare {
        /// The name on this connection.
        name: String,
        /// Whether the prepared statement reads or writes.
        access: Access,
        /// The statement that is prepared.
        shape: String,
    },
    /// Opens a transaction. One that may write is refused by a member that is not the primary.
    Begin {
        /// Whether the transaction promises not to write.
        read_only: bool,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Runs a caller's statement.
    Forward {
        /// The identifier that the caller gave the statement.
        id: String,
        /// The statement.
        statement: ForwardedStatement,
        /// The position that the member's log must have.
        after: Option<Position>,
    },
    /// Asks for the member's state.
    Status,
    /// Stops a replica from receiving further commits of terms below the given one.
    Pause(Term),
    /// Makes a primary of a term below the given one a replica.
    StepDown(Term),
}

/// A member's own report of its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the member believes that it is the primary.
    pub is_primary: bool,
    /// The member's term.
    pub term: Term,
    /// The newest position that the member has received.
    pub received: Position,
}

/// The kinds of refusal of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberFault {
    /// Nothing has run: all slots are taken.
    Busy,
    /// Nothing has run: the connection has no such prepared statement.
    UnknownStatement,
    /// Nothing has run: the log lacks the position that was asked for.
    Lagging,
    /// Nothing has run: the member is not the primary.
    ReadOnly,
    /// The address belongs to another member by now.
    Misrouted,
    /// The member has no connection left.
    TooManyConnections,
    /// The statement ran and failed.
    Failed,
    /// The statement ran too long.
    TimedOut,
    /// The member did not accept the command.
    Other,
}

impl MemberFault {
    /// Returns the name in logs and metrics.
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

/// A refusal of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberError {
    /// The kind of the refusal.
    pub fault: MemberFault,
    /// What the member said.
    pub text: String,
}

/// The whole answer of a member to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberAnswer {
    /// The rows in the encoding of the wire; passed on unchanged.
    pub rows: Bytes,
    /// The member's signature, or why there is no result.
    pub result: Result<String, MemberError>,
    /// The state of the connection's transaction after the command.
    pub state: TransactionState,
    /// The position of the member's log, if it reported one.
    pub position: Option<Position>,
    /// The member's state, if the command asked for it.
    pub status: Option<MemberStatus>,
}
