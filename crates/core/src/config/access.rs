//! Access checks against the configuration.

use crate::config::Access;
use crate::config::Config;
use crate::config::DataCentreState;
use crate::config::KeyDigest;
use crate::config::Member;
use crate::config::MemberAvailability;
use crate::config::Route;
use crate::types::DataCentreId;
use crate::types::Reason;
use crate::types::RouteId;
use crate::types::WorkspaceId;

impl Config {
    /// Checks that a caller may use a route, and returns the route.
    ///
    /// # Errors
    ///
    /// Returns `Reason::NoRoute` when the route does not exist or does not admit the workspace,
    /// and `Reason::BadKey` when the key is not one of the workspace's current keys.
    pub fn authorise(
        &self,
        workspace: &WorkspaceId,
        key: Option<&KeyDigest>,
        route: &RouteId,
    ) -> Result<&Route, Reason> {
        let declared = self.routes.get(route).ok_or(Reason::NoRoute)?;
        if declared.open {
            return Ok(declared);
        }
        if !self.accepts_key(workspace, key) {
            return Err(Reason::BadKey);
        }
        if !declared.workspaces.is_empty() && !declared.workspaces.contains(workspace) {
            return Err(Reason::NoRoute);
        }
        Ok(declared)
    }

    /// Compares the key with every key of the workspace, so that the time taken does not depend on
    /// which one matches.
    fn accepts_key(&self, workspace: &WorkspaceId, key: Option<&KeyDigest>) -> bool {
        let (Some(workspace), Some(key)) = (self.workspaces.get(workspace), key) else {
            return false;
        };
        workspace
            .keys
            .iter()
            .fold(false, |found, known| (known == key) | found)
    }

    /// Returns whether a data centre is in service; one that the configuration does not contain is
    /// not.
    pub fn is_data_centre_in_service(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|found| found.state == DataCentreState::In)
    }

    /// Checks that a member takes new statements.
    ///
    /// # Errors
    ///
    /// Returns `Reason::DataCentreOut` or `Reason::TargetLeaving` when it does not.
    pub fn check_member(&self, member: &Member) -> Result<(), Reason> {
        if !self.is_data_centre_in_service(&member.data_centre) {
            return Err(Reason::DataCentreOut);
        }
        match member.availability {
            MemberAvailability::Active => Ok(()),
            MemberAvailability::Leaving => Err(Reason::TargetLeaving),
        }
    }
}

impl Route {
    /// Returns whether the route is for reads, whose statements may run on a replica.
    pub fn is_read_only(&self) -> bool {
        self.access == Access::Read
    }

    /// Returns whether a statement of this route may safely run twice.
    pub fn is_repeatable(&self) -> bool {
        self.idempotent || self.is_read_only()
    }
}
