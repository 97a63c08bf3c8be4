//! The content of the configuration object.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::config::KeyDigest;
use crate::types::DataCentreId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::RouteId;
use crate::types::WorkspaceId;

/// One version of the configuration.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The number of this version; a VM replaces its configuration only by one with a higher
    /// number.
    pub version: u64,
    /// The workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// The routes by name.
    pub routes: BTreeMap<RouteId, Route>,
    /// The database groups by name.
    pub groups: BTreeMap<GroupId, Group>,
    /// The data centres by name.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// The secrets that sign session tokens, in hexadecimal; the first signs, all verify.
    pub session_secrets: Vec<String>,
}

/// Prints only the number of session secrets; key digests redact themselves.
impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let secrets = format_args!("{} redacted", self.session_secrets.len());
        f.debug_struct("Config")
            .field("version", &self.version)
            .field("workspaces", &self.workspaces)
            .field("routes", &self.routes)
            .field("groups", &self.groups)
            .field("data_centres", &self.data_centres)
            .field("session_secrets", &secrets)
            .finish()
    }
}

/// A tenant, with its keys, its rate limit and its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The digests of the keys that are accepted.
    pub keys: Vec<KeyDigest>,
    /// The rate limit, in statements per second over all VMs.
    pub rate_per_s: u32,
    /// The maximum burst, in statements over all VMs.
    pub burst: u32,
    /// The weight of the workspace when the slots of a member are shared max-min fairly.
    pub weight: u32,
}

/// Whether the statements of a route read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Statements only read; they may run on a replica.
    Read,
    /// Statements may write; they run on the primary.
    Write,
}

/// A named entry point through which callers reach a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The group that serves the route.
    pub group: GroupId,
    /// Whether statements read or write.
    pub access: Access,
    /// Whether running a statement twice has the same effect as running it once.
    pub idempotent: bool,
    /// The maximum staleness of data, in milliseconds, that reads without a session token accept.
    pub max_age_ms: u32,
    /// Whether the route serves every caller, with or without a key.
    pub open: bool,
    /// The workspaces that may use the route; all if the list is empty.
    pub workspaces: Vec<WorkspaceId>,
    /// The timeout of a statement, in milliseconds, from its arrival to its answer.
    pub timeout_ms: u32,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The members by name.
    pub members: BTreeMap<MemberId, Member>,
    /// The maximum number of statements in progress on each member, over all VMs.
    pub slots: u32,
    /// The maximum number of connections to each member, over all VMs.
    pub connections: u32,
}

/// Whether a member takes new statements, as operators have set it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberAvailability {
    /// The member takes new statements.
    #[default]
    Active,
    /// The member finishes the statements in progress and takes no new ones.
    Leaving,
}

/// One member of a database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address on which the member accepts connections.
    pub address: SocketAddr,
    /// The data centre in which the member runs.
    pub data_centre: DataCentreId,
    /// Whether the member takes new statements; `Active` if not given.
    #[serde(default)]
    pub availability: MemberAvailability,
}

/// Whether a data centre is in service, so that its members take new statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DataCentreState {
    /// The data centre is in service.
    #[default]
    In,
    /// Operators have taken the data centre out of service.
    Out,
}

/// A data centre in which members run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Whether the data centre is in service; `In` if not given.
    #[serde(default)]
    pub state: DataCentreState,
}
