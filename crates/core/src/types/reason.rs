//! The reasons of decisions, and the SQLSTATEs and messages that callers get for them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran, as far as the VM knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The target's whole answer was passed on to the caller.
    Answered,
    /// No byte of the request reached a target.
    NotRun,
    /// The request may have run: it was sent, but no complete answer was passed on.
    Unknown,
}

/// Why a request was refused, a connection was closed, or statements were sent to another
/// member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reason {
    /// The caller's key is missing, unknown or withdrawn.
    BadKey,
    /// The route or workspace does not exist, or the route is closed to the workspace.
    NoRoute,
    /// The workspace exceeds its rate limit, and no rate limiter token became available in time.
    OverRate,
    /// The workspace's queue is full.
    QueueFull,
    /// The deadline passed before the request was sent.
    DeadlineInQueue,
    /// The VM is draining.
    Draining,
    /// The VM's membership lease has expired.
    LeaseLost,
    /// The group has no primary that may be used.
    NoPrimary,
    /// Operators have taken the data centre out of service.
    DataCentreOut,
    /// The caller's message is malformed or too large.
    Malformed,
    /// The connection to the target was lost after the request was sent.
    ConnectionLost,
    /// The answer did not arrive before the deadline.
    AnswerDeadline,
    /// The primary that answered was replaced before the answer could be acknowledged.
    TermReplaced,
    /// No replica confirmed the write before the deadline.
    NotConfirmedDurable,
    /// The configuration marks the target as leaving, so it takes no new statements.
    TargetLeaving,
    /// The session needs data that no replica is known to have.
    ReplicaBehind,
    /// The session has no valid token, so the positions that it has seen are unknown.
    NoSessionEvidence,
    /// The caller cancelled the request or closed its connection.
    CallerGone,
    /// An operator or a change of the configuration requested it.
    Requested,
    /// The connection was idle or no longer needed.
    Idle,
    /// The permit to use the target expired before the statement ended.
    PermitExpired,
    /// The primary that was suspected of having failed answers again.
    PrimaryAnswers,
}

impl Reason {
    /// Returns the SQLSTATE of a refusal for this reason; it does not change between versions.
    pub fn sqlstate(self) -> &'static str {
        match self {
            Self::BadKey => "LD001",
            Self::NoRoute => "LD002",
            Self::OverRate => "LD003",
            Self::QueueFull => "LD004",
            Self::DeadlineInQueue => "LD005",
            Self::Draining => "LD006",
            Self::LeaseLost => "LD007",
            Self::NoPrimary
            | Self::ReplicaBehind
            | Self::NoSessionEvidence
            | Self::PrimaryAnswers => "LD008",
            Self::DataCentreOut | Self::TargetLeaving => "LD009",
            Self::Malformed | Self::CallerGone | Self::Requested | Self::Idle => "LD010",
            Self::ConnectionLost | Self::PermitExpired => "LD101",
            Self::AnswerDeadline => "LD102",
            Self::TermReplaced => "LD103",
            Self::NotConfirmedDurable => "LD104",
        }
    }

    /// Returns the message shown to callers and operators.
    pub fn message(self) -> &'static str {
        match self {
            Self::BadKey => "key is missing, unknown or withdrawn",
            Self::NoRoute => "no such route for this workspace",
            Self::OverRate => "workspace is over its rate",
            Self::QueueFull => "queue of the workspace is full",
            Self::DeadlineInQueue => "deadline passed before the statement was sent",
            Self::Draining => "server is shutting down",
            Self::LeaseLost => "server has lost its membership lease",
            Self::NoPrimary => "group has no usable primary",
            Self::DataCentreOut => "data centre is out of service",
            Self::Malformed => "message is malformed or too large",
            Self::ConnectionLost => "connection to the target was lost",
            Self::AnswerDeadline => "answer did not arrive before the deadline",
            Self::TermReplaced => "primary was replaced before the answer could be acknowledged",
            Self::NotConfirmedDurable => "no replica confirmed the write before the deadline",
            Self::TargetLeaving => "target is leaving",
            Self::ReplicaBehind => "no replica is known to have the data that the session needs",
            Self::NoSessionEvidence => "session has no usable evidence of what it has seen",
            Self::CallerGone => "caller cancelled the request or closed its connection",
            Self::Requested => "requested by an operator or the configuration",
            Self::Idle => "connection is not needed any more",
            Self::PrimaryAnswers => "suspected primary answers again",
            Self::PermitExpired => "permit to use the target ran out before the statement ended",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())
    }
}
