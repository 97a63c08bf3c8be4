//! The events that the driver passes to the pool, and the actions that it carries out for it.

use std::net::SocketAddr;

use bytes::Bytes;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::RequestId;
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
use crate::store_revision::StoreRevision;
use crate::usage_report::FixedWindow;
use crate::usage_report::UsageOutcome;

/// The outcome of a conditional write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the record now has this revision.
    Written(StoreRevision),
    /// The object does not have the expected revision; nothing was written.
    Conflict {
        /// The current revision of the object, or revision 0 of the era if it does not exist.
        revision: StoreRevision,
        /// The current record; `None` if it does not exist.
        record: Option<FleetRecord>,
    },
    /// There was no usable answer; the write may still take effect.
    Unknown,
}

/// The outcome of a request to the platform to promote a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The member will be the primary of the next term.
    Accepted,
    /// The platform has seen a higher fencing token, or the member is not running.
    Refused,
    /// There was no usable answer; the promotion may still be carried out.
    Unknown,
}

/// An event that the driver passes to the pool.
#[derive(Clone, Debug)]
pub enum PoolEvent {
    /// A caller has opened a connection to this VM.
    CallerConnected {
        /// The number that the driver assigned to the connection.
        caller: CallerId,
    },
    /// A complete message of a caller has arrived.
    CallerSent {
        /// The caller that sent the message.
        caller: CallerId,
        /// The decoded message.
        request: CallerRequest,
    },
    /// A caller has sent data that cannot be decoded as a message.
    CallerSentInvalid {
        /// The caller that sent the data.
        caller: CallerId,
        /// Whether the message exceeds the size limit.
        is_too_large: bool,
    },
    /// A caller's connection has ended without a request of the pool.
    CallerClosed {
        /// The caller whose connection has ended.
        caller: CallerId,
    },
    /// A member has accepted a connection.
    LinkReady {
        /// The connection that is open now.
        link: ConnectionId,
        /// The position of the member's log; `None` if it did not report one.
        position: Option<Position>,
    },
    /// A member has refused a connection.
    LinkRefused {
        /// The refused connection, which has ended.
        link: ConnectionId,
        /// The reason that the member gave.
        error: MemberError,
    },
    /// A member has answered the oldest unanswered command of a connection.
    LinkAnswered {
        /// The connection on which the answer arrived.
        link: ConnectionId,
        /// The complete answer.
        answer: MemberAnswer,
    },
    /// A connection to a member could not be opened, or has ended without a request of the pool.
    LinkClosed {
        /// The connection that has ended.
        link: ConnectionId,
    },
    /// A list or watch call to the store has completed.
    ObjectsRead {
        /// The kind of object that the call was for.
        kind: ObjectKind,
        /// The answer of the store, or that there was none.
        answer: ObjectAnswer,
    },
    /// The store has answered any call in an era. Answers of an earlier era may still follow.
    StoreEraSeen {
        /// The era of the answer.
        era: u64,
    },
    /// A question for the revision of the store has ended.
    StoreRevisionRead {
        /// The present revision; `None` if there was no usable answer.
        revision: Option<StoreRevision>,
    },
    /// A read of changes without waiting for one has ended.
    ObjectsChecked {
        /// The kind of object that the call was for.
        kind: ObjectKind,
        /// The answer of the store, or that there was none.
        answer: ObjectAnswer,
    },
    /// A probe of the store has ended.
    StoreProbed {
        /// Whether the store has answered in time.
        is_answered: bool,
    },
    /// A write to the store has completed.
    RecordWritten {
        /// The name of the record in the store.
        name: String,
        /// Whether the write took effect.
        outcome: WriteOutcome,
    },
    /// A request to promote a member has completed.
    PromotionAnswered {
        /// The group of the member.
        group: GroupId,
        /// The fencing token of the request.
        token: u64,
        /// Whether the platform accepted the request.
        outcome: PromotionOutcome,
    },
    /// A report of usage to the platform has completed.
    UsageAnswered {
        /// The fencing token of the report.
        token: u64,
        /// The number of the window.
        window: u64,
        /// Whether the platform accepted the report.
        outcome: UsageOutcome,
    },
    /// A message of another VM has arrived.
    PeerSent {
        /// The VM that sent the message.
        from: VmId,
        /// The sender's incarnation when it sent the message.
        incarnation: Incarnation,
        /// The decoded message.
        message: PoolMessage,
    },
    /// The connection to another VM is lost; messages to it may not have arrived.
    PeerLost {
        /// The VM that cannot be reached.
        vm: VmId,
        /// The forwarded statements that have certainly not arrived, because the connection was
        /// never established.
        unsent: Vec<RequestId>,
    },
    /// The process has been asked to shut down gracefully.
    StopRequested,
    /// The time returned by [`Pool::next_deadline`](crate::Pool::next_deadline) has come.
    DeadlineReached,
}

/// A reply to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerReply {
    /// The session is open.
    Started,
    /// A statement has succeeded.
    Done {
        /// The rows, in the wire encoding in which the member sent them.
        rows: Bytes,
        /// The member's signature; `None` for a statement that this VM answered itself.
        signature: Option<String>,
        /// The state of the session's transaction after the statement.
        state: TransactionState,
        /// The position of the member's log; `None` if it did not report one.
        position: Option<Position>,
    },
    /// A statement has failed or was not run; the session stays open.
    Failed {
        /// The kind of the error.
        error: CallerError,
        /// The message that the caller gets in addition to the kind of the error.
        text: String,
        /// The state of the session's transaction after the statement.
        state: TransactionState,
        /// The position of the member's log; `None` if it did not report one.
        position: Option<Position>,
    },
    /// The session cannot be opened or continued; the connection ends.
    Rejected {
        /// The kind of the error.
        error: CallerError,
        /// The message that the caller gets in addition to the kind of the error.
        text: String,
    },
}

/// An action that the driver carries out for the pool.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// Send a reply to a caller.
    Reply {
        /// The caller that gets the reply.
        caller: CallerId,
        /// The reply to send.
        reply: CallerReply,
    },
    /// Close a caller's connection once all replies to it have been written.
    CloseCaller {
        /// The caller whose connection is closed.
        caller: CallerId,
    },
    /// Open a connection to a member.
    OpenLink {
        /// The number that the pool assigned to the connection.
        link: ConnectionId,
        /// The address that the member has in its entry.
        address: SocketAddr,
        /// The group that the member has to belong to.
        group: GroupId,
        /// The workspace that the connection is opened for.
        workspace: WorkspaceId,
        /// The member that has to answer at the address.
        member: MemberId,
    },
    /// Send a command to a member.
    Send {
        /// The connection to send it on.
        link: ConnectionId,
        /// The command to send.
        command: MemberCommand,
    },
    /// Close a connection to a member.
    CloseLink {
        /// The connection to close.
        link: ConnectionId,
    },
    /// Start a call that reads from the store.
    ReadObjects(ObjectCall),
    /// End the list or watch call for a kind of object without an answer, and use a new connection for
    /// the next one.
    AbandonRead {
        /// The kind of object that the call is for.
        kind: ObjectKind,
    },
    /// End the reads from the store without an answer, and use new connections for the next ones.
    ReconnectStore,
    /// Write a record of the fleet if it still has the expected revision.
    WriteRecord {
        /// The name of the record in the store.
        name: String,
        /// The content to write.
        record: FleetRecord,
        /// The revision that the record must have; `None` if it must not exist yet.
        expected: Option<StoreRevision>,
    },
    /// Remove a record of the fleet if it still has the expected revision.
    RemoveRecord {
        /// The name of the record in the store.
        name: String,
        /// The revision that the record must have.
        expected: StoreRevision,
    },
    /// Ask the platform to promote a member.
    Promote {
        /// The group whose primary is replaced.
        group: GroupId,
        /// The member that becomes the primary.
        member: MemberId,
        /// The fencing token, with which the platform refuses outdated requests.
        token: u64,
    },
    /// Report the usage of one window to the platform.
    ReportUsage {
        /// The fencing token, with which the platform refuses outdated reports.
        token: u64,
        /// The window and its counts.
        window: FixedWindow,
    },
    /// Send a message to another VM. Delivery is not guaranteed.
    SendPeer {
        /// The VM that gets the message.
        to: VmId,
        /// The address of that VM for its peers.
        address: SocketAddr,
        /// The message to send.
        message: PoolMessage,
    },
    /// Answer the message of another VM that is being handled. The address of that VM is not known,
    /// since this one has not read the records of the fleet yet, or the VM has left.
    AnswerPeer {
        /// The VM that gets the message.
        to: VmId,
        /// The message to send.
        message: PoolMessage,
    },
    /// Report to the load balancer whether this VM accepts new callers.
    SetReady(bool),
    /// Write a report to the log and the metrics.
    Report(Report),
    /// Exit the process.
    Exit,
}
