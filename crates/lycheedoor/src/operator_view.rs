//! The status of a VM for operators, built from its decision logic at the time of a request.

use lycheedoor_core::config::Config;
use lycheedoor_core::config::Group;
use lycheedoor_core::membership::Fence;
use lycheedoor_core::timeline::Export;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::vm::Vm;
use lycheedoor_core::vm::VmPhase;
use lycheedoor_operator::DataCentreStatus;
use lycheedoor_operator::GroupStatus;
use lycheedoor_operator::MemberStatus;
use lycheedoor_operator::OperatorView;
use lycheedoor_operator::Phase;
use lycheedoor_operator::Status;
use lycheedoor_operator::WorkspaceStatus;
use lycheedoor_telemetry::MetricsHandle;

/// The state of a VM at the time of an operator's request.
pub(crate) struct VmView<'a> {
    pub(crate) vm: &'a Vm,
    pub(crate) now: MonoTime,
    pub(crate) metrics: &'a MetricsHandle,
}

impl OperatorView for VmView<'_> {
    fn status(&self) -> Status {
        let membership = self.vm.membership();
        let remaining = membership
            .lease_until()
            .map(|until| until.since(self.now).as_millis());
        let config = self.vm.config();
        Status {
            vm: self.vm.settings().vm.clone(),
            incarnation: self.vm.settings().incarnation,
            data_centre: self.vm.settings().data_centre.clone(),
            phase: phase(self.vm.phase(self.now)),
            config_version: config.map_or(0, |config| config.version),
            roster_version: membership.fence().map_or(0, |fence| fence.version),
            slots: membership
                .slots()
                .iter()
                .map(|held| held.slot.into())
                .collect(),
            lease_remaining_ms: remaining
                .and_then(|ms| u64::try_from(ms).ok())
                .unwrap_or_default(),
            platform_serves: membership.platform_serves(self.now),
            callers: self.vm.caller_count() as u64,
            groups: config.map_or_else(Vec::new, |config| self.groups(config)),
            data_centres: config.map_or_else(Vec::new, |config| data_centres(config)),
            workspaces: config.map_or_else(Vec::new, |config| self.workspaces(config)),
        }
    }

    fn timeline(&self, since: u64, limit: usize) -> Export {
        self.vm.export_timeline(self.now, since, limit)
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}

impl VmView<'_> {
    fn groups(&self, config: &Config) -> Vec<GroupStatus> {
        let fence = self.vm.membership().fence();
        let groups = config.groups.iter();
        groups
            .map(|(id, group)| self.group(id, group, fence.map(AsRef::as_ref)))
            .collect()
    }

    fn group(&self, id: &GroupId, group: &Group, fence: Option<&Fence>) -> GroupStatus {
        let state = fence.and_then(|fence| fence.groups.get(id));
        let selector = self.vm.exchanges().selector();
        let members = group.members.iter().map(|(member, declared)| MemberStatus {
            member: member.clone(),
            data_centre: declared.data_centre.clone(),
            availability: declared.availability,
            answers: selector.is_reachable(id, member),
            lag_ms: selector
                .applied_age(self.now, id, member)
                .and_then(|age| u64::try_from(age.as_millis()).ok()),
            connections: self.vm.connection_count(id, member) as u32,
        });
        GroupStatus {
            group: id.clone(),
            term: state.map(|state| state.term).unwrap_or_default(),
            primary: state.map(|state| state.primary.clone()),
            promotion_in_progress: fence.is_some_and(|fence| fence.intents.contains_key(id)),
            members: members.collect(),
        }
    }

    fn workspaces(&self, config: &Config) -> Vec<WorkspaceStatus> {
        let names = config.workspaces.keys();
        names
            .map(|workspace| {
                let counts = self.vm.outcomes(workspace);
                WorkspaceStatus {
                    workspace: workspace.clone(),
                    admitted: counts.answered + counts.unknown,
                    refused: counts.not_run,
                    unknown: counts.unknown,
                    queued: self.vm.queued_statement_count(workspace) as u64,
                }
            })
            .collect()
    }
}

fn data_centres(config: &Config) -> Vec<DataCentreStatus> {
    let declared = config.data_centres.iter();
    declared
        .map(|(data_centre, state)| DataCentreStatus {
            data_centre: data_centre.clone(),
            state: state.state,
        })
        .collect()
}

fn phase(phase: VmPhase) -> Phase {
    match phase {
        VmPhase::Starting => Phase::Starting,
        VmPhase::Serving => Phase::Serving,
        VmPhase::LeaseLost => Phase::LeaseLost,
        VmPhase::Draining => Phase::Draining,
    }
}
