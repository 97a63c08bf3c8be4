//! Carries out the actions of VMs: calls to the platform and messages to VMs and members.

use lycheedoor_core::failover::FailoverAction;
use lycheedoor_core::failover::FailoverEvent;
use lycheedoor_core::membership::FenceAnswer;
use lycheedoor_core::membership::FenceChange;
use lycheedoor_core::membership::MembershipAction;
use lycheedoor_core::membership::MembershipEvent;
use lycheedoor_core::types::VmId;

use super::SimEvent;
use super::Simulation;
use super::members::member_id;
use super::members::member_index;
use super::ms;
use super::simulation::Step;
use super::vm::vm_id;

const PLATFORM_CALL_TIMEOUT_US: u64 = 200_000;

impl Simulation {
    pub(super) fn run_membership_action(&mut self, from: usize, action: MembershipAction) {
        match action {
            MembershipAction::ReadFence {
                call,
                known_version,
            } => {
                let step = Step::Read {
                    vm: from,
                    call,
                    known: known_version,
                };
                self.platform.read_attempts += 1;
                self.call_platform(from, call, step);
            }
            MembershipAction::PutFence {
                call,
                expected_version,
                fence,
            } => {
                let step = Step::Put {
                    vm: from,
                    call,
                    expected: expected_version,
                    fence,
                };
                self.call_platform(from, call, step);
            }
            MembershipAction::Send { to, message, .. } => {
                let event = MembershipEvent::PeerReceived {
                    from: self.vms[from].membership.key().clone(),
                    address: self.vms[from].me.address,
                    message,
                };
                self.send_to_vm(from, &to, SimEvent::Membership(event));
            }
            MembershipAction::IntentSettled { group, nonce, .. } if self.auto_promote => {
                let member = member_id(from);
                let promoter = vm_id(from);
                let fencing = FenceChange::StartFencing {
                    group: group.clone(),
                    nonce,
                    promoter,
                };
                let promotion = FenceChange::CompletePromotion {
                    group,
                    nonce,
                    member,
                };
                for change in [fencing, promotion] {
                    self.schedule_membership_event(
                        from,
                        MembershipEvent::ChangeRequested { change },
                    );
                }
            }
            action => self.vms[from].membership_log.push((self.now, action)),
        }
    }

    pub(super) fn run_failover_action(&mut self, from: usize, action: FailoverAction) {
        match action {
            FailoverAction::Command {
                member, command, ..
            } => {
                let member = member_index(&member);
                let sent_at = self.vms[from].clock(self.now);
                let step = Step::Command {
                    vm: from,
                    member,
                    command,
                    sent_at,
                };
                self.send(from, self.vms.len() + member, step);
            }
            FailoverAction::Send { to, message, .. } => {
                let event = FailoverEvent::PeerReceived {
                    from: self.vms[from].membership.key().clone(),
                    message,
                };
                self.send_to_vm(from, &to, SimEvent::Failover(event));
            }
            FailoverAction::RequestChange { .. } => {}
            action => self.vms[from].failover_log.push((self.now, action)),
        }
    }

    fn call_platform(&mut self, vm: usize, call: u64, step: Step) {
        let answer = FenceAnswer::Unreachable;
        let event = SimEvent::Membership(MembershipEvent::PlatformAnswered { call, answer });
        self.schedule(
            self.now + PLATFORM_CALL_TIMEOUT_US,
            Step::Deliver(vm, event),
        );
        if self.platform_reachable(vm) {
            let at = self.now + self.platform.delay_us(&mut self.random);
            self.schedule(at, step);
        }
    }

    pub(super) fn answer_from_platform(
        &mut self,
        vm: usize,
        incarnation: u64,
        call: u64,
        answer: FenceAnswer,
    ) {
        if self.random.chance(self.platform.lost_answers_per_mille) || !self.platform_reachable(vm)
        {
            return;
        }
        let at = self.now + self.platform.delay_us(&mut self.random);
        let event = SimEvent::Membership(MembershipEvent::PlatformAnswered { call, answer });
        self.schedule_for(at, incarnation, Step::Deliver(vm, event));
    }

    fn platform_reachable(&self, vm: usize) -> bool {
        !self.platform.down && !self.links.platform_cuts.contains(&vm)
    }

    fn send_to_vm(&mut self, from: usize, to: &VmId, event: SimEvent) {
        let to = self.vms.iter().position(|vm| vm.me.vm == *to).unwrap();
        let (loss, duplicates) = (self.links.loss_per_mille, self.links.duplicates_per_mille);
        if self.links.cuts.contains(&(from, to)) || self.random.chance(loss) {
            return;
        }
        let at = self.now + self.link_delay();
        if self.random.chance(duplicates) {
            let late = at + self.random.between(0, ms(500));
            self.schedule(late, Step::Deliver(to, event.clone()));
        }
        self.schedule(at, Step::Deliver(to, event));
    }

    /// Schedules a step after the delay of the link between two nodes, unless the message is lost.
    pub(super) fn send(&mut self, from: usize, to: usize, step: Step) {
        if self.link_passes(from, to) {
            let at = self.now + self.link_delay();
            self.schedule(at, step);
        }
    }

    pub(super) fn link_passes(&mut self, from: usize, to: usize) -> bool {
        let lost = self.random.chance(self.links.loss_per_mille);
        !lost && !self.links.cuts.contains(&(from, to))
    }

    pub(super) fn link_delay(&mut self) -> u64 {
        let (low, high) = self.links.delay_us;
        self.random.between(low, high)
    }
}
