//! The inputs of a VM's decision logic, which its driver reports.

use crate::config::KeyDigest;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::Incarnation;
use crate::types::MemberId;
use crate::types::Position;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::RouteId;
use crate::types::Term;
use crate::types::VmId;
use crate::types::WorkspaceId;
use crate::vm::PeerMessage;

/// The transaction state that a target reports at the end of each exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}

/// An event that the driver of a VM reports.
#[derive(Clone, Debug)]
pub enum VmEvent {
    /// A caller has sent its start-up message and API key.
    CallerStarted {
        /// The number of the caller's connection.
        caller: CallerId,
        /// The workspace that the caller requested; not yet verified.
        workspace: WorkspaceId,
        /// The digest of the key that the caller presented, if any.
        key: Option<KeyDigest>,
        /// The route that the caller requested; not yet verified.
        route: RouteId,
        /// The token of the session that the caller continues, if any.
        session_token: Option<String>,
    },
    /// A caller has sent a statement, that is, all frames up to the point at which it expects an
    /// answer.
    RequestReceived {
        /// The number of the caller's connection.
        caller: CallerId,
        /// The number that the driver has given to this statement.
        request: RequestId,
        /// The idempotency key that the caller sent with the statement, if any.
        idempotency_key: Option<String>,
    },
    /// A caller has requested the cancellation of its statement in progress.
    RequestCancelled {
        /// The number of the caller's connection.
        caller: CallerId,
    },
    /// A caller's connection has been closed.
    CallerClosed {
        /// The number of the caller's connection.
        caller: CallerId,
    },
    /// A connection to a target is ready for statements.
    ConnectionOpened {
        /// The number from `VmAction::OpenConnection`.
        connection: ConnectionId,
    },
    /// A connection to a target could not be opened, or has been closed.
    ConnectionClosed {
        /// The number from `VmAction::OpenConnection`.
        connection: ConnectionId,
        /// Whether it is certain that no byte of the statement in progress was written.
        statement_unsent: bool,
    },
    /// The complete answer of a target to a statement has arrived.
    TargetAnswered {
        /// The connection on which the statement ran.
        connection: ConnectionId,
        /// The statement that was answered.
        request: RequestId,
        /// The member's log position after the statement, if it reported one.
        position: Option<Position>,
        /// The transaction state after the statement.
        status: TransactionStatus,
        /// Whether the answer contains an error.
        failed: bool,
    },
    /// A member has answered a control command.
    MemberAnswered {
        /// The group to which the member belongs.
        group: GroupId,
        /// The member that answered.
        member: MemberId,
        /// The state that the member reported in its answer.
        state: MemberState,
        /// The command that was answered.
        command: MemberCommand,
    },
    /// A member has not answered a control command in time, or has refused it.
    MemberFailed {
        /// The group to which the member belongs.
        group: GroupId,
        /// The member that received the command.
        member: MemberId,
        /// The command that failed.
        command: MemberCommand,
        /// Why the command failed.
        reason: Reason,
    },
    /// The platform has answered a request, or the request has failed.
    PlatformAnswered {
        /// The number from `VmAction::CallPlatform`.
        call: u64,
        /// The answer, or `Unreachable` if there is none.
        answer: PlatformAnswer,
    },
    /// A message from another VM has arrived.
    PeerReceived {
        /// The VM that sent the message.
        from: VmId,
        /// The incarnation of the sender when it sent the message.
        incarnation: Incarnation,
        /// The decoded message. VMs encode messages with `rmp-serde`.
        message: PeerMessage,
    },
    /// A message could not be delivered to another VM.
    PeerUnreachable {
        /// The VM that did not receive the message.
        vm: VmId,
    },
    /// A planned stop has been requested.
    StopRequested,
    /// The time returned by `Vm::next_deadline` has been reached.
    DeadlineReached,
}

/// The result of a request to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// The current state of the object.
    Object {
        /// The version of the object; 0 if it does not exist.
        version: u64,
        /// The value of the object; empty if it does not exist.
        value: Vec<u8>,
    },
    /// The object still has the known version that the request contains.
    Unchanged {
        /// The current version of the object.
        version: u64,
    },
    /// The conditional update took effect.
    Updated {
        /// The version that the update created.
        version: u64,
    },
    /// The conditional update did not take effect because the object had another version.
    Conflict {
        /// The current version of the object.
        version: u64,
    },
    /// No answer arrived, or the platform returned an error. An update may have taken effect.
    Unreachable,
}

/// A control command to a member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberCommand {
    /// Report the member's state.
    Status,
    /// Reject replication and statements of terms lower than this one.
    Fence(Term),
    /// Become the primary of this term.
    Promote(Term),
    /// Answer once the member has received the log up to this position.
    AwaitReceived(Position),
}

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// The member accepts writes.
    Primary,
    /// The member replicates from a primary.
    Replica,
}

/// The state that a member reports when it answers a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// Whether the member is the primary or a replica of its group.
    pub role: MemberRole,
    /// The highest term that the member has seen.
    pub term: Term,
    /// The position up to which the log is stored on the member.
    pub received: Position,
    /// The position up to which the log has been applied, so that reads on the member see it.
    pub applied: Position,
}
