//! Checks that run periodically, and checks that service is restored after all faults have ended.

use std::collections::BTreeSet;

use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::vm::VmPhase;

use crate::callers::Caller;
use crate::callers::CallerRole;
use crate::faults::ConfigEdit;
use crate::faults::OperatorTask;
use crate::simulation::Event;
use crate::simulation::Simulation;
use crate::topology::*;

/// The time in which all VMs must apply a published configuration while there are no faults.
const CONFIG_APPLY_TIMEOUT_US: u64 = 3_000_000;
/// Time allowed beyond the deadline of a statement, for the caller's link and one timer.
const OUTCOME_SLACK_US: u64 = 500_000;
/// The time in which service must be restored after all faults have ended.
const RECOVERY_TIMEOUT_US: u64 = 10_000_000;
const PROBE_TIMEOUT_US: u64 = 3_000_000;

impl Simulation {
    /// Updates and checks states that are not reported by events.
    pub(crate) fn run_periodic_checks(&mut self) {
        if self.now >= self.vm_list_stale_until {
            self.listed_vms =
                std::array::from_fn(|vm| self.vms[vm].vm.is_some() && !self.vms[vm].stopping);
        }
        for vm in 0..VM_COUNT {
            if self.vms[vm].vm.is_none() && self.vms[vm].stopping {
                self.vms[vm].stopping = false;
                self.after(200_000, Event::StartVm(vm));
            }
        }
        if !self.is_platform_readable() {
            self.oracle.platform_readable_since = self.now;
        }
        if self.has_fault() {
            self.fault_free_since = self.now;
        }
        self.check_config_versions();
        self.check_statement_deadlines();
    }

    /// Returns whether a majority of VMs can read the platform without long delays.
    fn is_platform_readable(&self) -> bool {
        let reading = (0..VM_COUNT).filter(|vm| {
            let slot = &self.vms[*vm];
            slot.vm.is_some()
                && !slot.is_paused(self.now)
                && self.links.passes_both(self.now, *vm, PLATFORM_NODE)
        });
        let slow = self.platform.latency(self.now) > 100_000;
        !self.platform.is_down(self.now) && !slow && reading.count() * 2 > VM_COUNT
    }

    fn has_fault(&self) -> bool {
        self.links.has_fault(self.now)
            || self.platform.has_fault(self.now)
            || self.members.iter().any(|member| member.has_fault(self.now))
            || self
                .vms
                .iter()
                .any(|slot| slot.vm.is_none() || slot.stopping || slot.is_paused(self.now))
    }

    /// Checks the second part of invariant 14: VMs apply a published configuration in time.
    fn check_config_versions(&mut self) {
        let newest = self.oracle.newest_version();
        let since = self.fault_free_since.max(self.oracle.published_at);
        for vm in 0..VM_COUNT {
            let slot = &self.vms[vm];
            let Some(logic) = &slot.vm else {
                continue;
            };
            let version = logic.config_watcher().version();
            if version < newest && self.now > since.max(slot.up_since) + CONFIG_APPLY_TIMEOUT_US {
                let text = format!("vm {vm} holds version {version} and not {newest}");
                self.oracle.record_violation(self.now, 14, text);
            }
        }
    }

    /// Checks that each statement gets an outcome by its deadline.
    fn check_statement_deadlines(&mut self) {
        for caller in 0..self.callers.len() {
            let Some(request) = self.callers[caller].current else {
                continue;
            };
            let statement = &self.statements[request as usize];
            let slot = &self.vms[statement.start.vm];
            let Some(arrived) = statement.arrived_at else {
                continue;
            };
            let since = arrived.max(slot.paused_until);
            if statement.outcome.is_none()
                && self.is_alive(statement.start)
                && self.now > since + STATEMENT_TIMEOUT_MS * 1_000 + OUTCOME_SLACK_US
            {
                let text = format!("statement {request} has no outcome: {statement:?}");
                self.oracle.record_violation(self.now, 9, text);
            }
        }
    }

    /// Ends all faults, and checks that service is restored.
    pub(crate) fn recover(&mut self) -> Result<(), String> {
        self.heal();
        self.run_for(2_000_000)?;
        self.traffic_stopped = true;
        self.run_for(RECOVERY_TIMEOUT_US - 2_000_000)?;
        self.check_service_restored();
        self.oracle.verdict()?;
        let probes = self.start_probes();
        self.run_for(PROBE_TIMEOUT_US)?;
        for probe in probes {
            let Caller { role, answered, .. } = self.callers[probe];
            if answered == 0 {
                let group = self.callers[probe].group;
                let text = format!("{role:?} gets no answer of group {group}");
                self.oracle.record_violation(self.now, 0, text);
            }
        }
        self.check_logs();
        self.oracle.check_rates(self.now);
        self.oracle.verdict()
    }

    fn heal(&mut self) {
        self.record_trace(|| "HEAL".to_owned());
        self.healed = true;
        self.links.heal();
        self.platform.heal();
        self.flood_until = [0; WORKSPACE_COUNT];
        self.vm_list_stale_until = 0;
        let now = self.now;
        self.members.iter_mut().for_each(|member| member.heal(now));
        for vm in 0..VM_COUNT {
            let slot = &mut self.vms[vm];
            slot.paused_until = slot.paused_until.min(now);
            self.after(0, Event::StartVm(vm));
        }
        for workspace in 0..WORKSPACE_COUNT {
            self.after(
                0,
                Event::OperatorReads(OperatorTask::permanent(ConfigEdit::Grant(workspace))),
            );
        }
        for data_centre in 0..DATA_CENTRE_COUNT {
            let edit = ConfigEdit::SetDataCentre(data_centre, DataCentreState::In);
            self.after(0, Event::OperatorReads(OperatorTask::permanent(edit)));
        }
        for member in 0..MEMBER_COUNT {
            let edit = ConfigEdit::SetMember(member, MemberAvailability::Active);
            self.after(0, Event::OperatorReads(OperatorTask::permanent(edit)));
        }
    }

    /// Checks that all VMs serve and all groups have a primary after all faults have ended.
    fn check_service_restored(&mut self) {
        for vm in 0..VM_COUNT {
            let slot = &self.vms[vm];
            let clock = slot.clock(self.now);
            let phase = slot.vm.as_ref().map(|logic| logic.phase(clock));
            if phase != Some(VmPhase::Serving) {
                let text = format!("vm {vm} is {phase:?} after all faults have ended");
                self.oracle.record_violation(self.now, 0, text);
            }
        }
        for group in 0..GROUP_COUNT {
            if self.primary_of(group).is_none() {
                let text = format!("group {group} has no primary after all faults have ended");
                self.oracle.record_violation(self.now, 0, text);
            }
        }
    }

    /// Returns the primary of the group's term as stored on the platform, if that member has been
    /// promoted.
    pub(crate) fn primary_of(&self, group: usize) -> Option<usize> {
        let term = self.oracle.term(group);
        members_of(group).find(|member| {
            let member = &self.members[*member];
            member.is_primary() && member.term == term
        })
    }

    fn start_probes(&mut self) -> Vec<usize> {
        let mut probes = Vec::new();
        for (vm, group) in
            (0..VM_COUNT).flat_map(|vm| (0..GROUP_COUNT).map(move |group| (vm, group)))
        {
            let mut caller = Caller::new(CallerRole::Probe { vm }, 1);
            caller.group = group;
            caller.key = (1, self.generations[1]);
            probes.push(self.callers.len());
            self.callers.push(caller);
            self.schedule_step(self.callers.len() - 1, 0);
        }
        probes
    }

    fn check_logs(&mut self) {
        let repeats: BTreeSet<u64> = self
            .statements
            .iter()
            .filter(|statement| statement.route == RouteKind::Upsert)
            .map(|statement| statement.operation)
            .collect();
        for group in 0..GROUP_COUNT {
            if let Some(member) = self.primary_of(group) {
                self.oracle
                    .check_log(self.now, &self.members, member, &repeats);
                let entries = self.members[member].log.len() as u64;
                self.counts.add("log entries", entries);
            }
        }
    }
}
