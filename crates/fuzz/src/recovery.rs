//! What is checked between events, and after all faults have ended.

use std::collections::BTreeSet;

use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::vm::VmPhase;

use crate::callers::Caller;
use crate::callers::Role;
use crate::faults::Edit;
use crate::faults::Work;
use crate::names::*;
use crate::world::Event;
use crate::world::World;

/// The time in which a published version is applied everywhere under good conditions.
const APPLIED_US: u64 = 3_000_000;
/// Slack beyond the deadline of a statement: the caller's link and one timer.
const HANG_SLACK_US: u64 = 500_000;
/// The time in which service is restored after all faults have ended.
const RECOVERY_US: u64 = 10_000_000;
const PROBE_US: u64 = 3_000_000;

impl World {
    /// Checks states that no event reports.
    pub(crate) fn sweep(&mut self) {
        if self.now >= self.list_stale_until {
            self.listed =
                std::array::from_fn(|vm| self.vms[vm].vm.is_some() && !self.vms[vm].stopping);
        }
        for vm in 0..VMS {
            if self.vms[vm].vm.is_none() && self.vms[vm].stopping {
                self.vms[vm].stopping = false;
                self.after(200_000, Event::StartVm(vm));
            }
        }
        if !self.is_learnable() {
            self.oracle.learnable_since = self.now;
        }
        if self.has_fault() {
            self.calm_since = self.now;
        }
        self.check_versions();
        self.check_hanging();
    }

    /// Returns whether most VMs can read the platform.
    fn is_learnable(&self) -> bool {
        let reading = (0..VMS).filter(|vm| {
            let slot = &self.vms[*vm];
            slot.vm.is_some()
                && !slot.is_paused(self.now)
                && self.links.passes_both(self.now, *vm, PLATFORM_NODE)
        });
        let slow = self.platform.latency(self.now) > 100_000;
        !self.platform.is_down(self.now) && !slow && reading.count() * 2 > VMS
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

    /// Guards the second part of invariant 14.
    fn check_versions(&mut self) {
        let newest = self.oracle.newest_version();
        let since = self.calm_since.max(self.oracle.published_at);
        for vm in 0..VMS {
            let slot = &self.vms[vm];
            let Some(decide) = &slot.vm else {
                continue;
            };
            let version = decide.config_watcher().version();
            if version < newest && self.now > since.max(slot.up_since) + APPLIED_US {
                let text = format!("vm {vm} holds version {version} and not {newest}");
                self.oracle.violation(self.now, 14, text);
            }
        }
    }

    /// Guards against statements that get no outcome at their deadline.
    fn check_hanging(&mut self) {
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
                && self.now > since + TIMEOUT_MS * 1_000 + HANG_SLACK_US
            {
                let text = format!("statement {request} has no outcome: {statement:?}");
                self.oracle.violation(self.now, 9, text);
            }
        }
    }

    /// Ends all faults, and checks that service is restored.
    pub(crate) fn recover(&mut self) -> Result<(), String> {
        self.heal();
        self.run_for(2_000_000)?;
        self.quiet = true;
        self.run_for(RECOVERY_US - 2_000_000)?;
        self.check_restored();
        self.oracle.verdict()?;
        let probes = self.start_probes();
        self.run_for(PROBE_US)?;
        for probe in probes {
            let Caller { role, answered, .. } = self.callers[probe];
            if answered == 0 {
                let group = self.callers[probe].group;
                let text = format!("{role:?} gets no answer of group {group}");
                self.oracle.violation(self.now, 0, text);
            }
        }
        self.check_logs();
        self.oracle.check_rates(self.now);
        self.oracle.verdict()
    }

    fn heal(&mut self) {
        self.note(|| "HEAL".to_owned());
        self.healed = true;
        self.links.heal();
        self.platform.heal();
        self.flood_until = [0; WORKSPACES];
        self.list_stale_until = 0;
        let now = self.now;
        self.members.iter_mut().for_each(|member| member.heal(now));
        for vm in 0..VMS {
            let slot = &mut self.vms[vm];
            slot.paused_until = slot.paused_until.min(now);
            self.after(0, Event::StartVm(vm));
        }
        for workspace in 0..WORKSPACES {
            self.after(
                0,
                Event::OperatorReads(Work::final_edit(Edit::Grant(workspace))),
            );
        }
        for data_centre in 0..DATA_CENTRES {
            let edit = Edit::SetDataCentre(data_centre, DataCentreState::In);
            self.after(0, Event::OperatorReads(Work::final_edit(edit)));
        }
        for member in 0..MEMBERS {
            let edit = Edit::SetMember(member, MemberAvailability::Active);
            self.after(0, Event::OperatorReads(Work::final_edit(edit)));
        }
    }

    /// Guards the end of all effects of faults: leases, primaries and the configuration.
    fn check_restored(&mut self) {
        for vm in 0..VMS {
            let slot = &self.vms[vm];
            let clock = slot.clock(self.now);
            let phase = slot.vm.as_ref().map(|decide| decide.phase(clock));
            if phase != Some(VmPhase::Serving) {
                let text = format!("vm {vm} is {phase:?} after all faults have ended");
                self.oracle.violation(self.now, 0, text);
            }
        }
        for group in 0..GROUPS {
            if self.primary_of(group).is_none() {
                let text = format!("group {group} has no primary after all faults have ended");
                self.oracle.violation(self.now, 0, text);
            }
        }
    }

    /// Returns the member that leads the term that the platform names.
    pub(crate) fn primary_of(&self, group: usize) -> Option<usize> {
        let term = self.oracle.term(group);
        members_of(group).find(|member| {
            let member = &self.members[*member];
            member.is_primary() && member.term == term
        })
    }

    fn start_probes(&mut self) -> Vec<usize> {
        let mut probes = Vec::new();
        for (vm, group) in (0..VMS).flat_map(|vm| (0..GROUPS).map(move |group| (vm, group))) {
            let mut caller = Caller::new(Role::Probe { vm }, 1);
            caller.group = group;
            caller.key = (1, self.generations[1]);
            probes.push(self.callers.len());
            self.callers.push(caller);
            self.plan(self.callers.len() - 1, 0);
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
        for group in 0..GROUPS {
            if let Some(member) = self.primary_of(group) {
                self.oracle
                    .check_log(self.now, &self.members, member, &repeats);
                let entries = self.members[member].log.len() as u64;
                self.counts.add("log entries", entries);
            }
        }
    }
}
