//! Actions that the exchanges request from the driver and from other roles.

use std::sync::Arc;

use crate::session::SessionVector;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Outcome;
use crate::types::Position;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::WorkspaceId;

/// An action requested by [`Exchanges`](crate::exchange::Exchanges).
///
/// `Deliver`, `Refuse` and `Abandon` report the outcome of a statement; each statement gets exactly
/// one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeAction {
    /// Check the key, route, data centre and rate limit of a statement.
    Admit {
        /// The statement to check.
        request: RequestId,
        /// Whether it belongs to an open transaction, which ends if the statement is refused.
        in_transaction: bool,
    },
    /// Queue a statement for a member.
    Enqueue {
        /// The statement to queue.
        request: RequestId,
        /// The group of the member.
        group: GroupId,
        /// The member that is to run the statement.
        member: MemberId,
        /// The workspace whose queue the statement enters.
        workspace: WorkspaceId,
        /// When the statement is refused if it is still queued then.
        deadline: MonoTime,
        /// Why a read goes to the primary; `None` for writes and for reads on replicas.
        reason: Option<Reason>,
    },
    /// Remove a statement from its queue.
    Withdraw {
        /// The queued statement.
        request: RequestId,
    },
    /// Write a statement to a connection.
    Send {
        /// The statement to send.
        request: RequestId,
        /// The connection to a target, on which no other statement is in progress.
        connection: ConnectionId,
        /// The workspace on whose behalf the statement runs.
        workspace: WorkspaceId,
        /// The idempotency key that the caller sent with the statement, if any.
        idempotency_key: Option<Arc<str>>,
    },
    /// Ask a replica to reply once it has received the log up to a position.
    AwaitReceived {
        /// The group of the replica.
        group: GroupId,
        /// The replica to ask.
        member: MemberId,
        /// The highest position that a held answer waits for.
        position: Position,
    },
    /// Ask a replica for its positions because no replica was known to be fresh enough for a read.
    ProbeMember {
        /// The group of the replica.
        group: GroupId,
        /// The replica to probe.
        member: MemberId,
    },
    /// Report that a statement will be tried again.
    Retry {
        /// The statement to retry.
        request: RequestId,
        /// Why the previous attempt failed.
        reason: Reason,
        /// When a member is chosen for it again.
        at: MonoTime,
    },
    /// Return the complete answer of a target to the caller.
    Deliver {
        /// The caller that sent the statement.
        caller: CallerId,
        /// The answered statement.
        request: RequestId,
        /// The updated session of the caller; `None` if it has not changed.
        session: Option<SessionVector>,
    },
    /// Discard the answer to a statement, if any, and send the caller an error. The caller has no
    /// open transaction afterwards; if the refusal ended one, `CloseCaller` follows.
    Refuse {
        /// The caller that sent the statement.
        caller: CallerId,
        /// The refused statement.
        request: RequestId,
        /// Why it was refused; the SQLSTATE of the reason is consistent with the outcome.
        reason: Reason,
        /// Whether the statement may have run, as reported to the caller.
        outcome: Outcome,
        /// The updated session of the caller; `None` if it has not changed.
        session: Option<SessionVector>,
    },
    /// Drop a statement whose caller has disconnected or is being disconnected.
    Abandon {
        /// The dropped statement.
        request: RequestId,
        /// Whether the statement may have run.
        outcome: Outcome,
    },
    /// Send the caller a final error and close its connection, because its transaction has ended.
    CloseCaller {
        /// The caller to disconnect.
        caller: CallerId,
        /// Why the transaction ended.
        reason: Reason,
    },
    /// Close a connection to a target whose state is unknown.
    CloseConnection {
        /// The connection to close.
        connection: ConnectionId,
        /// Why it is closed.
        reason: Reason,
    },
    /// Return a connection to the pool and free its slot; no statement or transaction is in
    /// progress on it.
    ReleaseConnection {
        /// The connection to release.
        connection: ConnectionId,
    },
}
