//! The faults and requests that a test can schedule.

use lycheedoor_core::membership::Fence;
use lycheedoor_core::membership::FenceChange;
use lycheedoor_core::membership::IntentPhase;
use lycheedoor_core::membership::MembershipEvent;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberCommand;

use super::SimEvent;
use super::SimVm;
use super::Simulation;
use super::members::group_id;
use super::simulation::Step;
use super::vm::vm_id;

/// A fault that begins or ends, or a request to a VM. In a `Cut`, `from` and `to` number the VMs
/// first and the members after them.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    PauseVm { vm: usize, for_us: u64 },
    RestartVm { vm: usize, after_us: u64 },
    KillVm { vm: usize },
    PauseMember { member: usize, for_us: u64 },
    KillMember { member: usize },
    ReviveMember { member: usize },
    FenceMember { member: usize, term: u64 },
    Cut { from: usize, to: usize, on: bool },
    PlatformDown(bool),
    PlatformCut { vm: usize, on: bool },
    OpenIntent { vm: usize },
    CancelIntent { vm: usize },
    Leave { vm: usize },
    Unavailable(Vec<usize>),
}

impl Simulation {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::PauseVm { vm, for_us } => self.vms[vm].paused_until = self.now + for_us,
            Fault::KillVm { vm } => self.vms[vm].up = false,
            Fault::RestartVm { vm, after_us } => self.restart(vm, after_us),
            Fault::PauseMember { member, for_us } => {
                self.members[member].paused_until = self.now + for_us;
            }
            Fault::KillMember { member } => self.members[member].up = false,
            Fault::ReviveMember { member } => self.members[member].up = true,
            Fault::FenceMember { member, term } => {
                let command = MemberCommand::Fence(Term(term));
                self.members[member].command(self.now, command);
            }
            Fault::Cut { from, to, on: true } => drop(self.links.cuts.insert((from, to))),
            Fault::Cut {
                from,
                to,
                on: false,
            } => drop(self.links.cuts.remove(&(from, to))),
            Fault::PlatformDown(down) => self.platform.down = down,
            Fault::PlatformCut { vm, on: true } => drop(self.links.platform_cuts.insert(vm)),
            Fault::PlatformCut { vm, on: false } => drop(self.links.platform_cuts.remove(&vm)),
            // The configuration takes these members, and no others, out of service.
            Fault::Unavailable(members) => {
                self.unavailable = members.into_iter().collect();
                for vm in 0..self.vms.len() {
                    // The delay of each VM is fixed, so that versions arrive in order.
                    let at = self.now + (vm as u64 * 6_500) % 20_000;
                    self.send_unavailable_members(vm, at);
                }
            }
            Fault::Leave { vm } => {
                self.schedule_membership_event(vm, MembershipEvent::LeaveRequested)
            }
            Fault::OpenIntent { vm } => self.request_change(vm, |fence| {
                Some(FenceChange::OpenIntent {
                    group: group_id(),
                    from_term: fence.groups.get(&group_id())?.term,
                    promoter: vm_id(vm),
                    phase: IntentPhase::Suspected,
                })
            }),
            Fault::CancelIntent { vm } => self.request_change(vm, |fence| {
                let nonce = fence.intents.get(&group_id())?.nonce;
                Some(FenceChange::CancelIntent {
                    group: group_id(),
                    nonce,
                })
            }),
        }
    }

    fn request_change(&mut self, vm: usize, change: impl Fn(&Fence) -> Option<FenceChange>) {
        let held = self.vms[vm].membership.fence();
        if let Some(change) = held.and_then(|fence| change(fence)) {
            self.schedule_membership_event(vm, MembershipEvent::ChangeRequested { change });
        }
    }

    pub(crate) fn schedule_membership_event(&mut self, vm: usize, event: MembershipEvent) {
        self.schedule(self.now, Step::Deliver(vm, SimEvent::Membership(event)));
    }

    fn restart(&mut self, index: usize, after_us: u64) {
        let incarnation = self.vms[index].incarnation + 1;
        let settings = self.settings.clone();
        let drift = self.drift_ppm;
        self.vms[index] = SimVm::new(index, incarnation, drift, &settings, &mut self.random);
        self.vms[index].paused_until = self.now + after_us;
        self.schedule(self.now + after_us, Step::Start(index));
        if !self.members.is_empty() {
            self.send_groups(index);
        }
    }
}
