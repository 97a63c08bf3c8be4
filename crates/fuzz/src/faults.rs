//! Applies the operations of a case: faults, caller actions, and operators that change the
//! configuration.

use lycheedoor_core::config::CONFIG_OBJECT;
use lycheedoor_core::config::Config;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::vm::VmEvent;

use crate::callers::CallerRole;
use crate::callers::ORDINARY_CALLER_COUNT;
use crate::case::Change;
use crate::case::Operation;
use crate::simulation::Event;
use crate::simulation::Simulation;
use crate::topology::*;

/// The delay before an operator retries a failed call to the platform.
const OPERATOR_RETRY_US: u64 = 100_000;

/// A change to one field of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfigEdit {
    Withdraw(usize),
    Grant(usize),
    SetDataCentre(usize, DataCentreState),
    SetMember(usize, MemberAvailability),
}

/// A configuration change by an operator, and the edit that reverts it some time after it was
/// stored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperatorTask {
    pub(crate) edit: ConfigEdit,
    /// The time between reading and writing the configuration.
    pub(crate) think_us: u64,
    revert: Option<(ConfigEdit, u64)>,
}

impl OperatorTask {
    pub(crate) fn permanent(edit: ConfigEdit) -> Self {
        let (think_us, revert) = (0, None);
        Self {
            edit,
            think_us,
            revert,
        }
    }
}

impl Simulation {
    pub(crate) fn apply_operation(&mut self, operation: &Operation) {
        self.counts
            .add(&format!("operation {}", count_label(operation)), 1);
        let until = |for_ms: u64| self.now + for_ms * 1_000;
        match *operation {
            Operation::Wait => {}
            Operation::Cut {
                from,
                to,
                both,
                for_ms,
            } => {
                let until = until(for_ms);
                self.links.cut(from, to, until);
                if both {
                    self.links.cut(to, from, until);
                }
            }
            Operation::Isolate {
                node,
                direction,
                for_ms,
            } => self.links.split(1 << node, direction, until(for_ms)),
            Operation::Split {
                side,
                direction,
                for_ms,
            } => self.links.split(side, direction, until(for_ms)),
            Operation::Pocket {
                vm,
                group,
                direction,
                for_ms,
            } => {
                let primary = self
                    .primary_of(group)
                    .map_or(0, |found| 1 << member_node(found));
                self.links
                    .split(1 << vm | primary, direction, until(for_ms));
            }
            Operation::Loss { per_mille, for_ms } => self.links.set_loss(per_mille, until(for_ms)),
            Operation::Lag {
                member,
                receives,
                for_ms,
            } => {
                let until = until(for_ms);
                let member = &mut self.members[member];
                member.apply_stalled_until = until;
                if !receives {
                    member.receive_stalled_until = until;
                }
            }
            Operation::PauseMember { member, for_ms } => {
                self.members[member].paused_until = until(for_ms);
            }
            Operation::PausePrimary { group, for_ms } => {
                if let Some(member) = self.primary_of(group) {
                    self.members[member].paused_until = until(for_ms);
                }
            }
            Operation::RestartMember { member, for_ms } => {
                self.members[member].down_until = until(for_ms);
                self.reset_member(member);
            }
            Operation::PlatformDown { for_ms } => self.platform.down_until = until(for_ms),
            Operation::PlatformSlow { latency_ms, for_ms } => {
                self.platform.slow_until = until(for_ms);
                self.platform.latency_us = latency_ms * 1_000;
            }
            Operation::PlatformLosesAnswers { count } => self.platform.answers_to_lose += count,
            Operation::StaleList { for_ms } => self.vm_list_stale_until = until(for_ms),
            Operation::Publish {
                change, think_ms, ..
            } => self.publish(change, think_ms * 1_000),
            Operation::Flood { workspace, for_ms } => self.flood(workspace, until(for_ms)),
            Operation::KillVm { vm, for_ms }
            | Operation::PauseVm { vm, for_ms }
            | Operation::StopVm { vm, for_ms } => self.apply_vm_operation(operation, vm, for_ms),
            Operation::Cancel { caller }
            | Operation::Disconnect { caller }
            | Operation::Roam { caller } => self.apply_caller_operation(operation, caller),
        }
    }

    fn apply_vm_operation(&mut self, operation: &Operation, vm: usize, for_ms: u64) {
        let start = self.start_of(vm);
        match operation {
            Operation::KillVm { .. } => {
                self.kill_vm(vm);
                self.after(for_ms * 1_000, Event::StartVm(vm));
            }
            Operation::PauseVm { .. } => {
                if !self.vms[vm].is_paused(self.now) {
                    self.vms[vm].paused_at = self.now;
                }
                self.vms[vm].paused_until = self.now + for_ms * 1_000;
            }
            _ => {
                self.vms[vm].stopping = true;
                self.after(0, Event::ToVm(start, VmEvent::StopRequested));
                // The periodic checks restart the VM after it has exited, so no start is scheduled
                // here.
            }
        }
    }

    fn apply_caller_operation(&mut self, operation: &Operation, caller: usize) {
        let state = &self.callers[caller % ORDINARY_CALLER_COUNT];
        let Some(connection) = state.connection else {
            return;
        };
        match operation {
            Operation::Cancel { .. } => {
                let caller = CallerId(connection.id);
                let event = VmEvent::RequestCancelled { caller };
                self.after(500, Event::ToVm(connection.start, event));
            }
            Operation::Roam { .. }
                if state.current.is_some() || state.open_transaction.is_some() =>
            {
                self.callers[caller].statements_left = 0;
            }
            _ => self.disconnect(caller),
        }
    }

    fn flood(&mut self, workspace: usize, until: u64) {
        self.flood_until[workspace] = until;
        let flooders: Vec<usize> = (0..self.callers.len())
            .filter(|caller| {
                let state = &self.callers[*caller];
                state.role == CallerRole::Flooder && state.workspace == workspace
            })
            .filter(|caller| self.callers[*caller].current.is_none())
            .collect();
        for caller in flooders {
            let delay = self.random(0..5_000);
            self.schedule_step(caller, delay);
        }
    }

    fn publish(&mut self, change: Change, think_us: u64) {
        let (edit, revert, for_ms) = match change {
            Change::Withdraw { workspace, for_ms } => (
                ConfigEdit::Withdraw(workspace),
                ConfigEdit::Grant(workspace),
                for_ms,
            ),
            Change::DataCentreOut {
                data_centre,
                for_ms,
            } => {
                let set = |state| ConfigEdit::SetDataCentre(data_centre, state);
                (set(DataCentreState::Out), set(DataCentreState::In), for_ms)
            }
            Change::MemberLeaves { member, for_ms } => {
                let set = |state| ConfigEdit::SetMember(member, state);
                (
                    set(MemberAvailability::Leaving),
                    set(MemberAvailability::Active),
                    for_ms,
                )
            }
        };
        let task = OperatorTask {
            edit,
            think_us,
            revert: Some((revert, for_ms * 1_000)),
        };
        self.after(0, Event::OperatorReads(task));
    }

    pub(crate) fn operator_reads(&mut self, task: OperatorTask) {
        // Changes that will be reverted are dropped once all faults have ended.
        if self.healed && task.revert.is_some() {
            return;
        }
        if self.platform.is_down(self.now) {
            return self.after(OPERATOR_RETRY_US, Event::OperatorReads(task));
        }
        let version = self.platform.version(CONFIG_OBJECT);
        let value = self.platform.value(CONFIG_OBJECT);
        let Ok(mut config) = serde_json::from_slice::<Config>(value) else {
            return;
        };
        if !apply_edit(&mut config, task.edit, self.generations) {
            return;
        }
        config.version = version + 1;
        let value = serde_json::to_vec(&config).unwrap_or_default();
        let write_delay = task.think_us + self.platform.latency(self.now);
        self.after(
            write_delay,
            Event::OperatorWrites {
                task,
                version,
                value,
            },
        );
    }

    pub(crate) fn operator_writes(&mut self, task: OperatorTask, version: u64, value: Vec<u8>) {
        let void = self.healed && task.revert.is_some();
        let down = self.platform.is_down(self.now);
        if void || down || self.store(CONFIG_OBJECT, version, value).is_none() {
            self.counts.add("operator conflicts and retries", 1);
            return self.after(OPERATOR_RETRY_US, Event::OperatorReads(task));
        }
        if let Some((edit, after_us)) = task.revert {
            let revert = OperatorTask {
                edit,
                revert: None,
                ..task
            };
            self.after(after_us, Event::OperatorReads(revert));
        }
    }
}

/// Applies an edit to a configuration. Returns whether the configuration changed.
fn apply_edit(config: &mut Config, edit: ConfigEdit, generations: [u64; WORKSPACE_COUNT]) -> bool {
    let before = config.clone();
    match edit {
        ConfigEdit::Withdraw(workspace) => {
            if let Some(found) = config.workspaces.get_mut(&workspace_id(workspace)) {
                found.keys.clear();
            }
        }
        ConfigEdit::Grant(workspace) => {
            let next = key_digest(workspace, generations[workspace] + 1);
            let found = config.workspaces.get_mut(&workspace_id(workspace));
            if let Some(found) = found.filter(|found| found.keys.is_empty()) {
                found.keys.push(next);
            }
        }
        ConfigEdit::SetDataCentre(data_centre, state) => {
            if let Some(found) = config.data_centres.get_mut(&data_centre_id(data_centre)) {
                found.state = state;
            }
        }
        ConfigEdit::SetMember(member, availability) => {
            let group = config.groups.get_mut(&group_id(group_of(member)));
            let found = group.and_then(|group| group.members.get_mut(&member_id(member)));
            if let Some(found) = found {
                found.availability = availability;
            }
        }
    }
    *config != before
}

/// Returns the generation of the newest key of each workspace, given a new configuration and the
/// generations known before it.
pub(crate) fn newest_keys(
    known: [u64; WORKSPACE_COUNT],
    config: &Config,
) -> [u64; WORKSPACE_COUNT] {
    let mut newest = known;
    for (workspace, generation) in newest.iter_mut().enumerate() {
        let next = key_digest(workspace, *generation + 1);
        let found = config.workspaces.get(&workspace_id(workspace));
        if found.is_some_and(|found| found.keys.contains(&next)) {
            *generation += 1;
        }
    }
    newest
}

fn count_label(operation: &Operation) -> String {
    let text = format!("{operation:?}");
    let end = text.find([' ', '{']).unwrap_or(text.len());
    let kind = text[..end].to_owned();
    match operation {
        Operation::Publish { change, .. } => {
            let change = format!("{change:?}");
            let end = change.find([' ', '{']).unwrap_or(change.len());
            format!("{kind} {}", &change[..end])
        }
        Operation::Cut { both: false, .. } => format!("{kind} one-way"),
        Operation::Isolate { direction, .. }
        | Operation::Pocket { direction, .. }
        | Operation::Split { direction, .. } => format!("{kind} {direction:?}"),
        _ => kind,
    }
}
