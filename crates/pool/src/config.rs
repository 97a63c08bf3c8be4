//! The configuration set by operators, in the form that the pool uses.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// The consistency of reads over a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// A read sees all commits acknowledged before it was sent.
    Primary,
    /// A read sees all commits acknowledged longer ago than the route's staleness bound.
    Bounded,
    /// As `Bounded`; a read also sees all earlier commits of its own session.
    Session,
}

/// The configuration of a route, which is a database name that callers connect to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The group that serves statements of the route.
    pub group: GroupId,
    /// The consistency that reads require.
    pub consistency: Consistency,
    /// The maximum staleness of the data that a read returns.
    pub max_staleness: Duration,
    /// The timeout of one statement.
    pub statement_timeout: Duration,
    /// The latency objective of a whole operation; slower statements are logged as late.
    pub target_latency: Duration,
    /// The priority of waiting statements; 0 is the highest.
    pub priority: u8,
    /// Whether callers without a key are accepted.
    pub is_public: bool,
}

/// The configuration of a database group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupRule {
    /// The maximum number of connections to one member, over all VMs.
    pub max_connections: u32,
    /// The number of replicas that confirm a commit before the primary acknowledges it.
    pub sync_replicas: u32,
    /// The maximum number of statements per second, over all VMs, to a member that has just
    /// started and is cold; `None` without such a limit.
    pub cold_per_s: Option<f64>,
    /// Whether the load on members follows how they answer. Configurations that state limits for
    /// cold members leave it off; so do those that VMs of older builds pass on.
    #[serde(default)]
    pub is_adaptive: bool,
}

/// The rate limit of a workspace, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateRule {
    /// Sustained operations per second.
    pub per_s: u32,
    /// Operations that may arrive in one burst.
    pub burst: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolConfig {
    /// The version number; a higher version replaces a lower one.
    pub version: u64,
    /// The routes, by database name.
    pub routes: BTreeMap<String, Rc<RouteRule>>,
    /// The database groups, by name.
    pub groups: BTreeMap<GroupId, GroupRule>,
    /// The rate limits, by workspace.
    pub rates: BTreeMap<WorkspaceId, RateRule>,
    /// The workspace that each API key belongs to.
    pub keys: BTreeMap<String, WorkspaceId>,
    /// Idle time after which an open transaction is rolled back; `None` without a limit.
    pub transaction_idle_limit: Option<Duration>,
}

impl PoolConfig {
    /// Returns the number of routes, groups, rate limits and keys.
    pub(crate) fn entry_count(&self) -> usize {
        self.routes.len() + self.groups.len() + self.rates.len() + self.keys.len()
    }

    /// Returns the highest priority among the routes of each group, which is the lowest number.
    pub(crate) fn highest_priorities(&self) -> BTreeMap<GroupId, u8> {
        let mut highest = BTreeMap::new();
        for route in self.routes.values() {
            let known = highest.entry(route.group.clone()).or_insert(u8::MAX);
            *known = route.priority.min(*known);
        }
        highest
    }

    /// Converts the configuration to the form that the rate limiter takes.
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
