//! The outputs of a VM's decision logic, which its driver carries out.

use std::net::SocketAddr;

use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::Outcome;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::VmId;
use crate::types::WorkspaceId;
use crate::vm::PeerMessage;
use crate::vm::event::MemberCommand;

/// A request to the platform's object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Reads an object. The value is left out if its version is still `known_version`.
    Get {
        /// The name of the object on the platform.
        object: String,
        /// The version that this VM holds; 0 if it holds none.
        known_version: u64,
    },
    /// Long poll: is answered once the version of the object differs from `known_version`, or when
    /// the platform ends the poll.
    Watch {
        /// The name of the object on the platform.
        object: String,
        /// The version that this VM holds; 0 if it holds none.
        known_version: u64,
    },
    /// Writes an object if it still has the version `expected_version`.
    Put {
        /// The name of the object on the platform.
        object: String,
        /// The version that must be current; 0 if the object must not exist.
        expected_version: u64,
        /// The value to store.
        value: Vec<u8>,
    },
}

/// An action that the driver of a VM carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum VmAction {
    /// Complete the caller's start-up, so that it may send statements.
    AcceptCaller {
        /// The number of the caller's connection.
        caller: CallerId,
    },
    /// Send a final error to the caller and close its connection.
    CloseCaller {
        /// The number of the caller's connection.
        caller: CallerId,
        /// The reason in the error that the caller receives.
        reason: Reason,
    },
    /// Open a connection to a target.
    OpenConnection {
        /// The number under which the driver reports events of the new connection.
        connection: ConnectionId,
        /// The group to which the target belongs.
        group: GroupId,
        /// The member to connect to.
        member: MemberId,
    },
    /// Close a connection to a target, even while a statement is in progress.
    CloseConnection {
        /// The connection to close.
        connection: ConnectionId,
        /// Why the connection is closed.
        reason: Reason,
    },
    /// Write the frames of a statement to a target.
    SendStatement {
        /// The connection on which the statement runs.
        connection: ConnectionId,
        /// The statement, as numbered by the driver.
        request: RequestId,
        /// The workspace for which the statement runs.
        workspace: WorkspaceId,
        /// The idempotency key that the caller sent with the statement, if any.
        idempotency_key: Option<String>,
    },
    /// Forward the target's complete answer to the caller.
    DeliverAnswer {
        /// The number of the caller's connection.
        caller: CallerId,
        /// The statement that was answered.
        request: RequestId,
        /// The new session token, if the statement advanced the session.
        session_token: Option<String>,
    },
    /// Discard the answer to a statement, if there is one, and send the caller an error.
    RefuseRequest {
        /// The number of the caller's connection.
        caller: CallerId,
        /// The statement that was refused.
        request: RequestId,
        /// Why the statement was refused.
        reason: Reason,
        /// Whether the statement ran, as far as the caller may conclude.
        outcome: Outcome,
        /// The new session token, if the statement advanced the session.
        session_token: Option<String>,
    },
    /// Send a control command to a member.
    CommandMember {
        /// The group to which the member belongs.
        group: GroupId,
        /// The member that receives the command.
        member: MemberId,
        /// The command to send.
        command: MemberCommand,
    },
    /// Send a request to the platform's object API.
    CallPlatform {
        /// The number that `VmEvent::PlatformAnswered` carries for this request.
        call: u64,
        /// The request to send.
        request: PlatformRequest,
    },
    /// Send a message to another VM without waiting for delivery.
    SendPeer {
        /// The VM that receives the message.
        to: VmId,
        /// The address on which the receiver listens for other VMs.
        address: SocketAddr,
        /// The message to send.
        message: PeerMessage,
    },
    /// End the process; the planned stop is complete.
    Exit,
}
