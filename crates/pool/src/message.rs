//! The messages that the pools of two VMs exchange.

use lycheedoor_core::rates::RatesMessage;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::forward::ForwardedReply;
use crate::forward::ForwardedRequest;
use crate::store::ObjectKind;
use crate::store::StoreUpdate;
use crate::store_revision::StoreRevision;
use crate::usage_report::UsageMessage;

/// A message from the pool of one VM to that of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PoolMessage {
    /// A message of the distributed rate limiter.
    Rates(RatesMessage),
    /// Checks whether the receiver is running; it replies with `Pong`.
    Ping,
    /// The reply to `Ping`.
    Pong,
    /// Asks when the receiver last had an answer from a member that the sender cannot reach.
    AskContact {
        /// The group that the member belongs to.
        group: GroupId,
        /// The member that the sender cannot reach.
        member: MemberId,
    },
    /// The reply to `AskContact`.
    Contact {
        /// The group of the request.
        group: GroupId,
        /// The member of the request.
        member: MemberId,
        /// Time since the member last answered the sender, in milliseconds; `None` if the sender
        /// knows of no answer.
        heard_ms: Option<u64>,
    },
    /// Asks for a recent log position of a group's primary.
    AskPosition {
        /// The group of the primary.
        group: GroupId,
        /// The sender's incarnation, which the answer repeats.
        incarnation: Incarnation,
        /// The number of the request at the sender, which the answer repeats.
        number: RequestId,
    },
    /// The reply to `AskPosition`.
    Position {
        /// The group of the request.
        group: GroupId,
        /// The incarnation in the request.
        incarnation: Incarnation,
        /// The number of the request.
        number: RequestId,
        /// A position that holds all commits that were acknowledged before it was sampled.
        position: Position,
        /// Time since the sample, in milliseconds; at least the actual time.
        age_ms: u64,
    },
    /// Announces that the platform has accepted a promotion.
    Promoted {
        /// The group whose primary changes.
        group: GroupId,
        /// The new primary.
        member: MemberId,
        /// The fencing token of the promotion.
        token: u64,
    },
    /// Asks the receiver to run a statement of a session at the sender.
    Forward(Box<ForwardedRequest>),
    /// The reply to `Forward`.
    ForwardReply(Box<ForwardedReply>),
    /// Ends what the receiver runs for a session at the sender.
    EndForwarded {
        /// The session at the sender.
        session: CallerId,
        /// The latest statement of the sender; what later ones have begun goes on.
        latest: RequestId,
    },
    /// Asks the receiver to pass on what it reads from the store. Only builds before message version 1
    /// send it, which know no eras; the answer is `StoreNotRead`.
    FollowStore {
        /// The revisions up to which the sender knows the objects of each kind.
        revisions: Vec<(ObjectKind, u64)>,
    },
    /// Asks the receiver to pass on what it reads from the store, for some seconds.
    SubscribeStore {
        /// The latest era of the store that the sender knows of.
        era: u64,
        /// The revisions up to which the sender knows the objects of each kind.
        revisions: Vec<(ObjectKind, StoreRevision)>,
    },
    /// The reply to `SubscribeStore`, which passes on what the sender has read from the store.
    StoreUpdates {
        /// The latest era of the store that the sender knows of.
        era: u64,
        /// What is new for the receiver; empty if nothing is.
        updates: Vec<StoreUpdate>,
        /// Time since the store last answered the sender, in milliseconds.
        answered_ms: u64,
    },
    /// The sender does not pass on what it reads from the store.
    StoreNotRead,
    /// Hands on the counts of operations that are reported to the platform.
    Usage(Box<UsageMessage>),
    /// States whether a member has answered the sender badly; the sender repeats it while it lasts.
    /// Only for VMs that understand version 1.
    MemberVerdict {
        /// The group that the member belongs to.
        group: GroupId,
        /// The member whose answers the sender has seen.
        member: MemberId,
        /// Whether too many of them were errors, missing or late.
        is_bad: bool,
    },
    /// Statements of a priority lack room at a member: the receiver holds lower ones back there for
    /// a moment. Understood from message version 1 on.
    RoomWanted {
        /// The group of the member.
        group: GroupId,
        /// The member that is short of room.
        member: MemberId,
        /// The priority that lacks room; 0 is the highest.
        priority: u8,
    },
    /// States that the store has reached a revision, which the sender has just read. Only for relays
    /// that understand version 2.
    StoreReached {
        /// The revision that the sender has read.
        revision: StoreRevision,
    },
    /// Passes on what the sender has read from the store since it last told the receiver, who has not
    /// asked for it. Only for VMs that understand version 2; others get `StoreUpdates`.
    StoreNews {
        /// The latest era of the store that the sender knows of.
        era: u64,
        /// What is new for the receiver.
        updates: Vec<StoreUpdate>,
        /// Time since the store last answered the sender, in milliseconds.
        answered_ms: u64,
    },
}

impl PoolMessage {
    /// Returns the number of the statement that the message forwards, if it forwards one.
    pub fn forwarded_statement(&self) -> Option<RequestId> {
        match self {
            Self::Forward(request) => Some(request.request),
            _ => None,
        }
    }
}
