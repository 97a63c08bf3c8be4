//! Read-only access to the state of a VM, for its driver, status and metrics.

use crate::config::ConfigWatcher;
use crate::exchange::Exchanges;
use crate::membership::Membership;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::WorkspaceId;
use crate::vm::OutcomeCounts;
use crate::vm::Vm;
use crate::vm::VmSettings;

/// The phase of a VM, which says whether it accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmPhase {
    /// The VM holds no configuration, or is not a member of the roster.
    Starting,
    /// The VM accepts new callers and statements.
    Serving,
    /// The membership lease has expired; the VM refuses work until it holds a new one.
    LeaseLost,
    /// A planned stop is in progress.
    Draining,
}

impl Vm {
    /// Returns the phase in which the VM is at the time `now`.
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

    /// Returns the settings with which the VM was created.
    pub fn settings(&self) -> &VmSettings {
        &self.settings
    }

    /// Returns the membership role, which holds the lease and the fence.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the configuration watcher, which holds the configuration in force.
    pub fn config_watcher(&self) -> &ConfigWatcher {
        &self.config_watcher
    }

    /// Returns the exchanges, which hold the statements in progress.
    pub fn exchanges(&self) -> &Exchanges {
        &self.exchanges
    }

    /// Returns the number of callers whose start-up was accepted and that are still connected.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    /// Returns how many statements of a workspace ended in each way on this VM.
    pub fn outcomes(&self, workspace: &WorkspaceId) -> OutcomeCounts {
        self.counters.get(workspace)
    }

    /// Returns the number of queued statements of a workspace.
    pub fn queued_statement_count(&self, workspace: &WorkspaceId) -> usize {
        self.dispatch.queued_for_workspace(workspace)
    }

    /// Returns the number of connections to a member, including those that are being opened.
    pub fn connection_count(&self, group: &GroupId, member: &MemberId) -> usize {
        let open = self.connections.values();
        open.filter(|(connected_group, connected_member)| {
            connected_group == group && connected_member == member
        })
        .count()
    }
}
