//! Commands, writes and replication at the members of the group.

use std::sync::Arc;

use lycheedoor_core::failover::FailoverEvent;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberCommand;

use super::SimEvent;
use super::Simulation;
use super::members::group_id;
use super::members::member_id;
use super::members::member_index;
use super::simulation::Step;

impl Simulation {
    pub(super) fn run_member_step(&mut self, incarnation: u64, step: Step) {
        let receiver = match &step {
            Step::Command { member, .. } | Step::Write { member, .. } => *member,
            Step::Replicate { to, .. } => *to,
            _ => return,
        };
        let member = &self.members[receiver];
        if !member.up {
            return;
        }
        if member.paused_until > self.now {
            let at = member.paused_until;
            self.schedule_for(at, incarnation, step);
            return;
        }
        let node = self.vms.len() + receiver;
        match step {
            Step::Command {
                vm,
                member,
                command,
                sent_at,
            } => {
                let state = self.members[member].command(self.now, command);
                self.check_promotion(member, command);
                let event = match state {
                    Some(state) => FailoverEvent::CommandAnswered {
                        group: group_id(),
                        member: member_id(member),
                        sent_at,
                        command,
                        state,
                    },
                    None => FailoverEvent::CommandFailed {
                        group: group_id(),
                        member: member_id(member),
                        command,
                    },
                };
                self.answer_to_vm(node, vm, incarnation, SimEvent::Failover(event));
            }
            Step::Write {
                vm,
                member,
                term,
                write,
                sent_at,
            } => {
                if !self.members[member].write(term, write) {
                    return;
                }
                self.replicate(member, Some((vm, write)));
                let event = FailoverEvent::StatementAnswered {
                    group: group_id(),
                    member: member_id(member),
                    sent_at,
                };
                self.answer_to_vm(node, vm, incarnation, SimEvent::Failover(event));
            }
            Step::Replicate {
                to,
                term,
                log,
                write,
                ..
            } => {
                if let (true, Some((vm, write))) = (self.members[to].replicate(term, &log), write) {
                    let incarnation = self.vms[vm].incarnation;
                    let event = SimEvent::WriteConfirmed { term, write };
                    self.answer_to_vm(node, vm, incarnation, event);
                }
            }
            _ => {}
        }
    }

    fn answer_to_vm(&mut self, node: usize, vm: usize, incarnation: u64, event: SimEvent) {
        if self.link_passes(node, vm) {
            let at = self.now + self.link_delay();
            self.schedule_for(at, incarnation, Step::Deliver(vm, event));
        }
    }

    pub(crate) fn replicate(&mut self, from: usize, write: Option<(usize, u64)>) {
        let log = Arc::new(self.members[from].log.clone());
        let term = self.members[from].term;
        let vms = self.vms.len();
        for to in (0..self.members.len()).filter(|to| *to != from) {
            let log = Arc::clone(&log);
            self.send(
                vms + from,
                vms + to,
                Step::Replicate {
                    from,
                    to,
                    term,
                    log,
                    write,
                },
            );
        }
    }

    /// Lets a random VM send a write to the primary that it knows, if the VM may answer callers.
    pub(super) fn send_random_write(&mut self) {
        if let Some(every) = self.writes_every_us {
            self.schedule(self.now + every, Step::SendWrite);
        }
        let vm = self.random.index(self.vms.len());
        let fence = self.vms[vm].membership.fence().cloned();
        let state = fence.and_then(|fence| fence.groups.get(&group_id()).cloned());
        let Some(state) = state.filter(|state| self.may_answer(vm, state.term.0)) else {
            return;
        };
        let sim_vm = &mut self.vms[vm];
        if sim_vm.group_paused || sim_vm.unavailable.contains(&state.primary) {
            return;
        }
        sim_vm.outstanding.insert(self.last_write + 1);
        let member = member_index(&state.primary);
        self.last_write += 1;
        let step = Step::Write {
            vm,
            member,
            term: state.term,
            write: self.last_write,
            sent_at: self.vms[vm].clock(self.now),
        };
        self.send(vm, self.vms.len() + member, step);
    }

    /// Acknowledges a write to its caller, if the VM still may answer in the term.
    pub(super) fn acknowledge_write(&mut self, vm: usize, term: Term, write: u64) {
        self.vms[vm].outstanding.remove(&write);
        if self.may_answer(vm, term.0) && self.acknowledged.insert(write) {
            self.acknowledged_at.push(self.now);
        }
    }

    /// Checks a promotion: the new primary must have all acknowledged writes, and the fence must
    /// name it as the primary of the term.
    fn check_promotion(&mut self, member: usize, command: MemberCommand) {
        let MemberCommand::Promote(term) = command else {
            return;
        };
        let promoted = &self.members[member];
        if promoted.promoted_at != Some(self.now) {
            return;
        }
        let named = self.platform.fence.groups.get(&group_id());
        if named.is_some_and(|named| named.term > term) {
            // A delayed command: members that know the newer term reject this primary.
            return;
        }
        if let Some(write) = promoted.missing_write(&self.acknowledged) {
            let text = format!(
                "{} us: acknowledged write {write} lost in term {term}",
                self.now
            );
            self.violations.push(text);
        }
        if named.is_none_or(|named| named.term < term || named.primary != member_id(member)) {
            let text = format!(
                "{} us: member {member} promoted in term {term}, which the fence does not name",
                self.now
            );
            self.violations.push(text);
        }
        self.replicate(member, None);
    }
}
