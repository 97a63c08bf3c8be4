//! The state that a VM keeps for each caller between two statements.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Access;
use crate::config::Config;
use crate::config::KeyDigest;
use crate::config::Route;
use crate::exchange::RequestPlan;
use crate::timeline::SessionId;
use crate::types::CallerId;
use crate::types::GroupId;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::RouteId;
use crate::types::WorkspaceId;

/// The state of a caller whose start-up was accepted.
#[derive(Debug)]
pub(super) struct CallerEntry {
    /// The workspace for which the caller's statements run.
    pub(super) workspace: WorkspaceId,
    /// The caller's session, once it has been started.
    pub(super) session: Option<SessionId>,
    key: Option<KeyDigest>,
    route: RouteId,
    plan: Arc<RequestPlan>,
    plan_version: u64,
}

impl CallerEntry {
    /// Creates the entry of a caller if the configuration authorises it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the configuration does not authorise the caller.
    pub(super) fn accept(
        config: &Config,
        workspace: WorkspaceId,
        key: Option<KeyDigest>,
        route: RouteId,
    ) -> Result<Self, Reason> {
        let declared = config.authorise(&workspace, key.as_ref(), &route)?;
        let plan = Arc::new(request_plan(&workspace, declared));
        Ok(Self {
            workspace,
            session: None,
            key,
            route,
            plan,
            plan_version: config.version,
        })
    }

    /// Returns the plan for the caller's statements under the configuration in force. If the route
    /// is no longer declared, the previous plan is kept and `check` refuses the statement.
    pub(super) fn current_plan(&mut self, config: &Config) -> Arc<RequestPlan> {
        if self.plan_version != config.version {
            self.plan_version = config.version;
            if let Some(route) = config.routes.get(&self.route) {
                self.plan = Arc::new(request_plan(&self.workspace, route));
            }
        }
        Arc::clone(&self.plan)
    }

    pub(super) fn group(&self) -> &GroupId {
        &self.plan.group
    }

    pub(super) fn is_read_only(&self) -> bool {
        self.plan.access == Access::Read
    }

    /// Returns the timeout of each of the caller's statements.
    pub(super) fn timeout(&self) -> Duration {
        self.plan.timeout
    }

    /// Checks that the configuration in force still authorises the caller.
    ///
    /// # Errors
    ///
    /// Returns the reason for which its statement is refused.
    pub(super) fn check(&self, config: &Config) -> Result<(), Reason> {
        config
            .authorise(&self.workspace, self.key.as_ref(), &self.route)
            .map(|_| ())
    }
}

fn request_plan(workspace: &WorkspaceId, route: &Route) -> RequestPlan {
    RequestPlan {
        workspace: workspace.clone(),
        group: route.group.clone(),
        access: route.access,
        idempotent: route.is_repeatable(),
        max_age: Duration::from_millis(route.max_age_ms.into()),
        timeout: Duration::from_millis(route.timeout_ms.into()),
    }
}

/// The callers of a VM, and the caller of each statement in progress.
#[derive(Debug, Default)]
pub(super) struct Callers {
    entries: BTreeMap<CallerId, CallerEntry>,
    requests: BTreeMap<RequestId, CallerId>,
}

impl Callers {
    pub(super) fn insert(&mut self, caller: CallerId, entry: CallerEntry) {
        self.entries.insert(caller, entry);
    }

    pub(super) fn get_mut(&mut self, caller: CallerId) -> Option<&mut CallerEntry> {
        self.entries.get_mut(&caller)
    }

    /// Records that a statement of a caller is in progress.
    pub(super) fn open_request(&mut self, caller: CallerId, request: RequestId) {
        self.requests.insert(request, caller);
    }

    /// Removes a statement that has ended and returns the workspace for which it ran.
    pub(super) fn close_request(&mut self, request: RequestId) -> Option<WorkspaceId> {
        let caller = self.requests.remove(&request)?;
        let entry = self.entries.get(&caller)?;
        Some(entry.workspace.clone())
    }

    /// Returns the caller of a statement in progress.
    pub(super) fn caller_of_request(&self, request: RequestId) -> Option<(CallerId, &CallerEntry)> {
        let caller = *self.requests.get(&request)?;
        Some((caller, self.entries.get(&caller)?))
    }

    pub(super) fn remove(&mut self, caller: CallerId) {
        self.entries.remove(&caller);
    }

    /// Iterates over the callers in ascending order of their numbers.
    pub(super) fn ids(&self) -> impl Iterator<Item = CallerId> {
        self.entries.keys().copied()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
