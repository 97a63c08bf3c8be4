//! Messages between permit holders and coordinators.
//!
//! Each message carries the full state of the members in it, so the next message makes up for a
//! lost one, and a stale message is recognised by its sequence number.

use serde::Deserialize;
use serde::Serialize;

use crate::types::MemberId;
use crate::types::WorkspaceId;

/// The number of a permit; one incarnation of a coordinator never uses a number twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PermitId(pub u64);

/// A message between the dispatch roles of two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchMessage {
    /// What a VM holds and needs, sent to the coordinator of the members.
    Status {
        /// The sequence number among the statuses from one VM to another.
        seq: u64,
        /// One entry for each member concerned.
        members: Vec<MemberStatus>,
    },
    /// The permits that a coordinator lends, sent to their holder.
    Lend {
        /// The sequence number among the messages of this kind from one VM to another.
        seq: u64,
        /// One entry for each member concerned.
        members: Vec<MemberLending>,
    },
}

/// The permits of one member that a VM holds, and its demand for more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member that the permits are for.
    pub member: MemberId,
    /// The sequence number of the newest `Lend` about the member that the VM has applied.
    pub seen: u64,
    /// The number of requests without a permit, by workspace.
    pub queued: Vec<(WorkspaceId, u32)>,
    /// The permits that the VM holds. All others that were in messages up to `seen` are returned.
    pub holding: Vec<PermitId>,
    /// The workspace of each statement in progress on a permit of a former coordinator.
    pub orphans: Vec<WorkspaceId>,
}

/// All permits of one member that a coordinator lends to one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLending {
    /// The member that the permits are for.
    pub member: MemberId,
    /// The sequence number of the newest status that the coordinator has applied. The permits
    /// expire a fixed time after it was sent.
    pub echo: u64,
    /// Whether others wait for permits; if so, the holder returns unused ones at once.
    pub contended: bool,
    /// The permits that are lent now; all others of this coordinator are void.
    pub permits: Vec<LentPermit>,
}

/// One permit in a coordinator's message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentPermit {
    /// The number by which the holder lists the permit in its statuses.
    pub permit: PermitId,
    /// The workspace for which the permit is lent.
    pub workspace: WorkspaceId,
    /// Whether the holder must return the permit after the statement in progress.
    pub recalled: bool,
}
