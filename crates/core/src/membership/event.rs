//! Events that the membership role handles and actions that it requests.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::membership::Fence;
use crate::membership::FenceChange;
use crate::membership::MembershipMessage;
use crate::membership::RosterMemberKey;
use crate::types::GroupId;
use crate::types::MonoTime;
use crate::types::Nonce;
use crate::types::VmId;

/// The outcome of a call to the platform that reads or updates the fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceAnswer {
    /// The current fence with its version; version 0 if the object does not exist.
    Object(Arc<Fence>),
    /// The fence still has the known version that the read named.
    Unchanged {
        /// The current version of the fence.
        version: u64,
    },
    /// The conditional update took effect.
    Updated {
        /// The version that the update created.
        version: u64,
    },
    /// The conditional update did not take effect because the fence had another version.
    Conflict {
        /// The current version of the fence.
        version: u64,
    },
    /// No answer arrived. An update may have taken effect, or may still take effect.
    Unreachable,
}

/// An event that `Membership` handles.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The time that `Membership::next_deadline` returned has been reached.
    DeadlineReached,
    /// The platform has answered a call, or the call has failed or timed out.
    PlatformAnswered {
        /// The number of the call, from the action that requested it.
        call: u64,
        /// The outcome of the call.
        answer: FenceAnswer,
    },
    /// Another VM has sent a message.
    PeerReceived {
        /// The VM that sent the message, with its incarnation.
        from: RosterMemberKey,
        /// The sender's listen address, as known from the roster or the connection.
        address: SocketAddr,
        /// The content of the message.
        message: MembershipMessage,
    },
    /// Another role requests a change to the fence. It repeats the request for as long as the
    /// change is needed; a request that is not repeated and cannot be written in time is dropped.
    ChangeRequested {
        /// The change; dropped when the fence already contains it or rules it out.
        change: FenceChange,
    },
    /// The process of a current or former member is known, by means outside the protocol, to have
    /// ended.
    ///
    /// A false report makes promotions unsafe. The event lets a cell recover after a majority of
    /// the roster has failed permanently without leaving.
    MemberEnded {
        /// The member whose process has ended.
        member: RosterMemberKey,
    },
    /// This VM must leave the roster for a planned stop.
    LeaveRequested,
}

/// The source of the newest evidence for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseSource {
    /// An answer of the platform, received directly or relayed by other VMs.
    Platform,
    /// A majority of the roster that confirmed the fence while the platform did not answer.
    Peers,
}

/// Why a VM lost its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// No new evidence arrived before the lease expired.
    RanOut,
    /// The roster no longer contains the VM.
    Removed,
    /// The VM is leaving for a planned stop.
    Leaving,
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RanOut => "ran_out",
            Self::Removed => "removed",
            Self::Leaving => "leaving",
        })
    }
}

/// The evidence that a change is settled: no VM can act on an older version of the fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The version of the fence that had to be acknowledged.
    pub version: u64,
    /// The members that acknowledged the version or have ended.
    pub acknowledged: Vec<RosterMemberKey>,
    /// Whether leases had to expire because a member did not acknowledge the version.
    pub waited: bool,
}

/// The evidence on which a member is removed from the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovalEvidence {
    /// How long the member has not responded to this VM.
    pub silent: Duration,
    /// The members, including this VM, that the member has not responded to.
    pub agreeing: SmallVec<[VmId; 8]>,
}

/// An action that `Membership` requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Read the fence from the platform.
    ReadFence {
        /// The number of the call, to be reported with its outcome.
        call: u64,
        /// The version that this VM holds; 0 if it holds none.
        known_version: u64,
    },
    /// Update the fence if it still has the version `expected_version`.
    PutFence {
        /// The number of the call, to be reported with its outcome.
        call: u64,
        /// The version that must be current; 0 if the object must not exist.
        expected_version: u64,
        /// The new content; its `version` field is to be ignored.
        fence: Arc<Fence>,
    },
    /// Send a message to another VM.
    Send {
        /// The VM that is to receive the message.
        to: VmId,
        /// The receiver's listen address.
        address: SocketAddr,
        /// The content of the message.
        message: MembershipMessage,
    },
    /// This VM holds a lease and may act from now on.
    LeaseGained {
        /// When the lease expires unless it is renewed.
        until: MonoTime,
        /// The source of the evidence for the lease.
        source: LeaseSource,
    },
    /// This VM no longer holds a lease and must not act.
    LeaseLost {
        /// Why the lease was lost.
        cause: LossCause,
    },
    /// This VM holds a newer version of the fence.
    FenceChanged {
        /// The new version.
        fence: Arc<Fence>,
    },
    /// The members or slots of the roster have changed.
    RosterChanged {
        /// The fence with the new roster.
        fence: Arc<Fence>,
    },
    /// From now on, no VM acknowledges anything in the term that an intent ends.
    IntentSettled {
        /// The group of the intent.
        group: GroupId,
        /// The nonce of the intent.
        nonce: Nonce,
        /// The evidence that the intent is settled.
        settlement: Settlement,
    },
    /// A member is being removed from the roster.
    MemberRemoved {
        /// The member that is removed.
        member: RosterMemberKey,
        /// The evidence that the member is unresponsive.
        evidence: RemovalEvidence,
    },
    /// The roster no longer contains this VM; a planned stop may proceed.
    Left,
}
