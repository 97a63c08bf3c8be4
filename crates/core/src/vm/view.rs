//! What a VM shows of its state.

use crate::config::ConfigFollower;
use crate::exchange::Exchanges;
use crate::membership::Membership;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::WorkspaceId;
use crate::vm::OutcomeCounts;
use crate::vm::Vm;
use crate::vm::VmSettings;

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmPhase {
    /// No configuration or no lease has been seen since the start.
    Starting,
    /// The VM takes new work.
    Serving,
    /// The membership lease has run out.
    LeaseLost,
    /// A planned stop is under way.
    Draining,
}

impl Vm {
    /// Returns whether the VM takes new work.
    pub fn phase(&self, now: MonoTime) -> VmPhase {
        if self.drain.is_draining() {
            VmPhase::Draining
        } else if self.config.is_none() || self.membership.lease_until().is_none() {
            VmPhase::Starting
        } else if self.membership.may_act(now) {
            VmPhase::Serving
        } else {
            VmPhase::LeaseLost
        }
    }

    /// Returns the settings of the VM.
    pub fn settings(&self) -> &VmSettings {
        &self.settings
    }

    /// Returns the membership role.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the configuration follower.
    pub fn follower(&self) -> &ConfigFollower {
        &self.follower
    }

    /// Returns the statements in progress.
    pub fn exchanges(&self) -> &Exchanges {
        &self.exchanges
    }

    /// Returns the number of callers.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    /// Returns how statements of a workspace ended on this VM.
    pub fn outcomes(&self, workspace: &WorkspaceId) -> OutcomeCounts {
        self.counters.get(workspace)
    }

    /// Returns the number of statements of a workspace that wait for a connection.
    pub fn queued(&self, workspace: &WorkspaceId) -> usize {
        self.dispatch.queued_of(workspace)
    }

    /// Returns the number of connections to a member.
    pub fn connection_count(&self, group: &GroupId, member: &MemberId) -> usize {
        let open = self.connections.values();
        open.filter(|(of_group, of_member)| of_group == group && of_member == member)
            .count()
    }
}
