//! The events that a driver reports and the actions that it carries out.

use std::net::SocketAddr;

use bytes::Bytes;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;

use crate::message::PoolMessage;
use crate::report::Report;
use crate::roster::FleetRecord;
use crate::statement::CallerError;
use crate::statement::CallerRequest;
use crate::statement::MemberAnswer;
use crate::statement::MemberCommand;
use crate::statement::MemberError;
use crate::statement::TransactionState;
use crate::store::ObjectAnswer;
use crate::store::ObjectCall;
use crate::store::ObjectKind;

/// The outcome of a conditional write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect with this revision.
    Written(u64),
    /// The object has another revision; the record is `None` when it does not exist.
    Conflict {
        /// The revision of the object, or 0.
        revision: u64,
        /// The record as it is.
        record: Option<FleetRecord>,
    },
    /// There was no usable answer; the write may take effect later.
    Unknown,
}

/// The outcome of an order to promote a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The member will lead the next term.
    Accepted,
    /// A higher fencing token was seen, or the member does not run.
    Refused,
    /// There was no usable answer; the order may be carried out later.
    Unknown,
}

/// An event for the pool.
#[derive(Clone, Debug)]
pub enum PoolEvent {
    /// A caller has connected.
    CallerConnected {
        /// The number of the connection.
        caller: CallerId,
    },
    /// A caller has sent a message.
    CallerSent {
        /// The caller.
        caller: CallerId,
        /// The message.
        request: CallerRequest,
    },
    /// A caller has sent something that is no message.
    CallerSentInvalid {
        /// The caller.
        caller: CallerId,
        /// Whether the message was too large.
        is_too_large: bool,
    },
    /// A caller's connection has ended by itself.
    CallerClosed {
        /// The caller.
        caller: CallerId,
    },
    /// A member has accepted a connection.
    LinkReady {
        /// The connection.
        link: ConnectionId,
        /// The position of the member's log, if it reported one.
        position: Option<Position>,
    },
    /// A member has refused a connection.
    LinkRefused {
        /// The connection; it has ended.
        link: ConnectionId,
        /// Why.
        error: MemberError,
    },
    /// A member has answered the oldest command of a connection.
    LinkAnswered {
        /// The connection.
        link: ConnectionId,
        /// The answer.
        answer: MemberAnswer,
    },
    /// A connection to a member could not be opened or has ended by itself.
    LinkClosed {
        /// The connection.
        link: ConnectionId,
    },
    /// A read from the store has ended.
    ObjectsRead {
        /// The kind of the call.
        kind: ObjectKind,
        /// The answer.
        answer: ObjectAnswer,
    },
    /// A write to the store has ended.
    RecordWritten {
        /// The name of the record.
        name: String,
        /// The outcome.
        outcome: WriteOutcome,
    },
    /// An order to promote a member has ended.
    PromotionAnswered {
        /// The group.
        group: GroupId,
        /// The fencing token of the order.
        token: u64,
        /// The outcome.
        outcome: PromotionOutcome,
    },
    /// Another VM has sent a message.
    PeerSent {
        /// The sender.
        from: VmId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The message.
        message: PoolMessage,
    },
    /// The process has been asked to stop.
    StopRequested,
    /// The time given by `next_deadline` has come.
    DeadlineReached,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerReply {
    /// The session is open.
    Started,
    /// A statement has a result.
    Done {
        /// The rows in the encoding of the wire.
        rows: Bytes,
        /// The member's signature; `None` for a statement that this VM answered itself.
        signature: Option<String>,
        /// The state of the session's transaction.
        state: TransactionState,
        /// The position of the member's log, if it reported one.
        position: Option<Position>,
    },
    /// A statement has no result.
    Failed {
        /// Why.
        error: CallerError,
        /// What the caller reads besides the kind of the error.
        text: String,
        /// The state of the session's transaction.
        state: TransactionState,
        /// The position of the member's log, if it reported one.
        position: Option<Position>,
    },
    /// The session cannot be opened; the connection ends.
    Rejected {
        /// Why.
        error: CallerError,
        /// What the caller reads besides the kind of the error.
        text: String,
    },
}

/// An action of the pool.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// Tell a caller something.
    Reply {
        /// The caller.
        caller: CallerId,
        /// What to tell.
        reply: CallerReply,
    },
    /// End a caller's connection after what was written to it.
    CloseCaller {
        /// The caller.
        caller: CallerId,
    },
    /// Open a connection to a member.
    OpenLink {
        /// The number of the connection.
        link: ConnectionId,
        /// The member's address.
        address: SocketAddr,
        /// The group that the member must belong to.
        group: GroupId,
        /// The workspace that uses the connection.
        workspace: WorkspaceId,
        /// The member that must answer.
        member: MemberId,
    },
    /// Send a command to a member.
    Send {
        /// The connection.
        link: ConnectionId,
        /// The command.
        command: MemberCommand,
    },
    /// End a connection to a member.
    CloseLink {
        /// The connection.
        link: ConnectionId,
    },
    /// Read from the store.
    ReadObjects(ObjectCall),
    /// Write a record of the fleet if it has the expected revision; `None` creates it.
    WriteRecord {
        /// The name of the record.
        name: String,
        /// The record.
        record: FleetRecord,
        /// The revision that the record must have.
        expected: Option<u64>,
    },
    /// Remove a record of the fleet if it has the expected revision.
    RemoveRecord {
        /// The name of the record.
        name: String,
        /// The revision that the record must have.
        expected: u64,
    },
    /// Order the promotion of a member.
    Promote {
        /// The group.
        group: GroupId,
        /// The member.
        member: MemberId,
        /// The fencing token.
        token: u64,
    },
    /// Send a message to another VM; it may be lost.
    SendPeer {
        /// The receiver.
        to: VmId,
        /// The receiver's address.
        address: SocketAddr,
        /// The message.
        message: PoolMessage,
    },
    /// Report to the balancer whether this VM takes new callers.
    SetReady(bool),
    /// Write a report to the log.
    Report(Report),
    /// End the process.
    Exit,
}
