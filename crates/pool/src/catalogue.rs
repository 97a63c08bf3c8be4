//! The operators' configuration as the pool uses it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::WorkspaceId;

/// What reads of a route have to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// All commits acknowledged before the read.
    Primary,
    /// Commits acknowledged longer ago than the route's staleness bound.
    Bounded,
    /// Like `Bounded`, and all commits of the same session.
    Session,
}

/// A route: a database name that callers use.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The group that serves the route.
    pub group: GroupId,
    /// What reads have to see.
    pub consistency: Consistency,
    /// How old the data of a read may be.
    pub max_staleness: Duration,
    /// The limit of one statement.
    pub statement_timeout: Duration,
    /// The objective for a whole operation.
    pub target_latency: Duration,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Whether the route needs no key.
    pub is_public: bool,
}

/// The rules of a database group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupRule {
    /// Connections that one member takes from all VMs together.
    pub max_connections: u32,
    /// Replicas that confirm a commit before the member acknowledges it.
    pub sync_replicas: u32,
    /// Statements a second that a member takes while it is cold; `None` without such a limit.
    pub cold_per_s: Option<f64>,
}

/// The rate of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateRule {
    /// Operations a second over the whole fleet.
    pub per_s: u32,
    /// Operations that may come at once over the whole fleet.
    pub burst: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes by database name.
    pub routes: BTreeMap<String, Rc<RouteRule>>,
    /// The groups by name.
    pub groups: BTreeMap<GroupId, GroupRule>,
    /// The rates of the workspaces.
    pub rates: BTreeMap<WorkspaceId, RateRule>,
    /// The workspace of each key.
    pub keys: BTreeMap<String, WorkspaceId>,
    /// How long a transaction may be idle; `None` without a limit.
    pub transaction_idle_limit: Option<Duration>,
}

impl Catalogue {
    /// Returns the configuration in the form that the rates role takes.
    pub(crate) fn rates_config(&self) -> lycheedoor_core::config::Config {
        let workspaces = self.rates.iter().map(|(id, rate)| {
            let workspace = lycheedoor_core::config::Workspace {
                keys: Vec::new(),
                rate_per_s: rate.per_s,
                burst: rate.burst,
                weight: 1,
            };
            (id.clone(), workspace)
        });
        lycheedoor_core::config::Config {
            version: self.version,
            workspaces: workspaces.collect(),
            ..Default::default()
        }
    }
}
