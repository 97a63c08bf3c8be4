//! The status document of a VM.

use std::fmt;

use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// The operating state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The VM waits for the platform or to be added to the roster.
    Starting,
    /// The VM accepts new work.
    Serving,
    /// The membership lease has expired; statements are refused.
    LeaseLost,
    /// The VM finishes the statements in progress and accepts no new work.
    Draining,
}

impl Phase {
    /// Returns the name of the phase as operators see it, for example `lease lost`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::LeaseLost => "lease lost",
            Self::Draining => "draining",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The status of a VM, its database groups and its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the VM.
    pub vm: VmId,
    /// The incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// The data centre in which the VM runs.
    pub data_centre: DataCentreId,
    /// The operating state of the VM.
    pub phase: Phase,
    /// The version of the configuration in force; 0 when there is none.
    pub config_version: u64,
    /// The version of the latest roster that the VM has received.
    pub roster_version: u64,
    /// The roster slots that the VM holds.
    pub slots: Vec<u32>,
    /// The time until the membership lease expires, in milliseconds; 0 when it has expired.
    pub lease_remaining_ms: u64,
    /// Whether the platform answered the latest call to it.
    pub platform_serves: bool,
    /// The number of open caller connections.
    pub callers: u64,
    /// Database groups, sorted by name.
    pub groups: Vec<GroupStatus>,
    /// Data centres, sorted by name.
    pub data_centres: Vec<DataCentreStatus>,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<WorkspaceStatus>,
}

/// A database group, as seen by the VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The name of the group.
    pub group: GroupId,
    /// The latest term of the group that the VM has seen.
    pub term: Term,
    /// The primary of this term, or `None` when it is not known.
    pub primary: Option<MemberId>,
    /// Whether a promotion is in progress.
    pub promotion_in_progress: bool,
    /// Members, sorted by name.
    pub members: Vec<MemberStatus>,
}

/// A member of a database group, as seen by the VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name of the member.
    pub member: MemberId,
    /// The data centre in which the member runs.
    pub data_centre: DataCentreId,
    /// Whether the configuration allows new work on the member.
    pub availability: MemberAvailability,
    /// Whether the member responds to this VM.
    pub answers: bool,
    /// The age of the newest data that the member has applied, in milliseconds, or `None` when it
    /// is not known.
    pub lag_ms: Option<u64>,
    /// The number of this VM's connections to the member, including those that are being opened.
    pub connections: u32,
}

/// A data centre in the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// The name of the data centre.
    pub data_centre: DataCentreId,
    /// Whether the configuration allows new work in the data centre.
    pub state: DataCentreState,
}

/// Statement counts of a workspace on this VM, since the process started except for `queued`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// The name of the workspace.
    pub workspace: WorkspaceId,
    /// The number of statements that were admitted.
    pub admitted: u64,
    /// The number of statements that were refused and not run.
    pub refused: u64,
    /// The number of statements whose outcome is unknown.
    pub unknown: u64,
    /// The number of statements that are queued now.
    pub queued: u64,
}
