//! The events and actions of the dispatch role.

use std::sync::Arc;

use crate::config::Config;
use crate::dispatch::DispatchMessage;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::Incarnation;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::RosterView;
use crate::types::VmId;
use crate::types::WorkspaceId;

/// An input of the dispatch role.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// The roster has changed; the view also carries the end of the lease.
    Roster(RosterView),
    /// The membership lease has been extended.
    LeaseExtended {
        /// When the extended lease ends.
        until: MonoTime,
    },
    /// The membership lease has been lost before its end.
    LeaseLost,
    /// A version of the configuration has been applied.
    Configured(Arc<Config>),
    /// A request is to be run by a member, and is queued until then.
    Enqueue {
        /// The new request; its id is unique on this VM.
        request: RequestId,
        /// The member that is to run the request.
        member: MemberId,
        /// The workspace whose share of the member the request uses.
        workspace: WorkspaceId,
        /// When the request is refused unless it has been dispatched.
        deadline: MonoTime,
    },
    /// The answer to a dispatched request is complete.
    Finished {
        /// The request that was answered.
        request: RequestId,
        /// Whether a transaction is open, which pins the connection and the permit.
        in_transaction: bool,
    },
    /// The transaction that pinned a connection has ended.
    TransactionEnded {
        /// The connection that other requests may use again.
        connection: ConnectionId,
    },
    /// The answer to a request is no longer needed. If the request was dispatched, its connection
    /// is closed.
    Cancelled {
        /// The request, queued or dispatched.
        request: RequestId,
    },
    /// A connection is ready for statements.
    ConnectionOpened {
        /// The number from `DispatchAction::OpenConnection`.
        connection: ConnectionId,
    },
    /// A connection could not be opened, or is closed.
    ConnectionClosed {
        /// The number from `DispatchAction::OpenConnection`.
        connection: ConnectionId,
    },
    /// A message of another VM has arrived.
    Received {
        /// The VM that sent the message.
        from: VmId,
        /// The sender's incarnation; messages of incarnations outside the roster are ignored.
        incarnation: Incarnation,
        /// The decoded message.
        message: DispatchMessage,
    },
    /// The last request before a planned stop has finished: permits are returned and connections
    /// closed.
    StopFinished,
    /// The time returned by `Dispatch::next_deadline` has passed.
    DeadlineReached,
}

/// An output of the dispatch role, carried out by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send a queued request to its member.
    Dispatch {
        /// The request that leaves the queue.
        request: RequestId,
        /// The member that runs the request.
        member: MemberId,
        /// The connection to use, which runs nothing else until the request has finished.
        connection: ConnectionId,
    },
    /// Refuse a request that was never dispatched.
    Refuse {
        /// The request that is not run.
        request: RequestId,
        /// Why the request is refused.
        reason: Reason,
    },
    /// Open a connection to a member.
    OpenConnection {
        /// The number of the new connection.
        connection: ConnectionId,
        /// The group of the member.
        group: GroupId,
        /// The member to connect to.
        member: MemberId,
    },
    /// Close a connection, even during a statement.
    CloseConnection {
        /// The connection, which may still be opening.
        connection: ConnectionId,
        /// Why the connection is closed.
        reason: Reason,
    },
    /// Send a message to another VM.
    Send {
        /// The VM that receives the message.
        to: VmId,
        /// The message to encode.
        message: DispatchMessage,
    },
}
