//! Events that are reported to the exchanges.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Access;
use crate::session::SelectorEvent;
use crate::session::SessionVector;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::Position;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::WorkspaceId;
use crate::vm::TransactionStatus;

/// The configuration that applies to a statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPlan {
    /// The workspace on whose behalf the statement runs.
    pub workspace: WorkspaceId,
    /// The group to which the route sends statements.
    pub group: GroupId,
    /// Whether the route is for reads or for writes.
    pub access: Access,
    /// Whether running a statement twice has the same effect as running it once.
    pub idempotent: bool,
    /// The maximum age of the data that reads without a session accept; zero if they accept no
    /// stale data.
    pub max_age: Duration,
    /// The maximum time from the arrival of a statement to its answer.
    pub timeout: Duration,
}

/// An event reported to the exchanges of one VM.
#[derive(Clone, Debug)]
pub enum ExchangeEvent {
    /// A caller has been accepted.
    CallerStarted {
        /// The number given to the caller.
        caller: CallerId,
        /// The session contained in its token.
        session: SessionVector,
    },
    /// A caller has sent a statement.
    RequestReceived {
        /// The caller that sent it.
        caller: CallerId,
        /// The number given to the statement.
        request: RequestId,
        /// The configuration that applies to it.
        plan: Arc<RequestPlan>,
        /// The idempotency key that the caller sent with it, if any.
        idempotency_key: Option<Arc<str>>,
    },
    /// The key, route, data centre and rate limit of a statement have been checked.
    AdmissionDecided {
        /// The checked statement.
        request: RequestId,
        /// Why it was refused; `None` if it was admitted.
        refused: Option<Reason>,
    },
    /// A queued statement has been given a connection and a slot. Its key and data centre were
    /// checked again.
    Dispatched {
        /// The dispatched statement.
        request: RequestId,
        /// The connection to use, on which no statement is in progress.
        connection: ConnectionId,
        /// The member that the connection reaches.
        member: MemberId,
    },
    /// A queued statement was refused before it was sent.
    DispatchRefused {
        /// The refused statement.
        request: RequestId,
        /// Why it was refused.
        reason: Reason,
    },
    /// A connection to a target was closed or failed.
    ConnectionLost {
        /// The lost connection.
        connection: ConnectionId,
        /// Whether it is certain that no byte of the statement in progress was written.
        statement_unsent: bool,
    },
    /// The complete answer of a target to a statement has arrived.
    TargetAnswered {
        /// The connection that carried the statement.
        connection: ConnectionId,
        /// The answered statement.
        request: RequestId,
        /// The log position of the member after the statement; `None` if it reported none.
        position: Option<Position>,
        /// The transaction status of the connection after the statement.
        status: TransactionStatus,
        /// Whether the answer contains an error.
        failed: bool,
    },
    /// A member has confirmed that it received the log up to a position.
    ReceivedConfirmed {
        /// The group of the member.
        group: GroupId,
        /// The member that confirmed.
        member: MemberId,
        /// The position up to which it has received the log.
        position: Position,
    },
    /// A member did not confirm a position that an `AwaitReceived` action asked it for.
    ReceivedNotConfirmed {
        /// The group of the member.
        group: GroupId,
        /// The member that was asked.
        member: MemberId,
    },
    /// The known state of a member has changed, or a group has a new term.
    MemberStateChanged(SelectorEvent),
    /// The lease was renewed or a fence was removed; answers that waited for that may be delivered.
    GateChanged,
    /// The pause of a group has started or ended. During a pause, statements outside open
    /// transactions are not sent to the group's primary.
    PauseChanged {
        /// The group whose pause has changed.
        group: GroupId,
        /// Whether the group is paused now.
        paused: bool,
    },
    /// A caller has requested the cancellation of its statement in progress.
    Cancelled {
        /// The caller whose statement is to be cancelled.
        caller: CallerId,
    },
    /// The connection of a caller was closed or failed.
    CallerClosed {
        /// The caller that has disconnected.
        caller: CallerId,
    },
    /// The time returned by [`Exchanges::next_deadline`](crate::exchange::Exchanges::next_deadline)
    /// has been reached.
    DeadlineReached,
}
