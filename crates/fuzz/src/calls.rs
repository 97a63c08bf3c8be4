//! Calls to the platform and commands to members.

use lycheedoor_core::config::CONFIG_OBJECT;
use lycheedoor_core::config::Config;
use lycheedoor_core::membership::Fence;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Reason;
use lycheedoor_core::vm::FENCE_OBJECT;
use lycheedoor_core::vm::MemberCommand;
use lycheedoor_core::vm::MemberState;
use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_core::vm::VmEvent;

use crate::simulation::Event;
use crate::simulation::Simulation;
use crate::topology::*;
use crate::vms::Start;

/// Timeouts that the driver of a VM applies to platform calls and member commands.
const PLATFORM_CALL_TIMEOUT_US: u64 = 1_000_000;
const WATCH_CALL_TIMEOUT_US: u64 = 6_000_000;
const WATCH_WAIT_US: u64 = 5_000_000;
const COMMAND_TIMEOUT_US: u64 = 200_000;
const AWAIT_RECEIVED_TIMEOUT_US: u64 = 5_000_000;
/// The interval at which a stream retransmits a command while its link is cut.
const RESEND_INTERVAL_US: u64 = 50_000;

/// A command that a VM has sent to a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Command {
    pub(crate) start: Start,
    pub(crate) member: usize,
    pub(crate) command: MemberCommand,
    pub(crate) sent_at: u64,
    completed: bool,
}

impl Simulation {
    pub(crate) fn call_platform(&mut self, start: Start, call: u64, request: PlatformRequest) {
        self.counts.add("platform calls", 1);
        self.vms[start.vm].open_calls.insert(call);
        let is_watch = matches!(request, PlatformRequest::Watch { .. });
        let timeout = if is_watch {
            WATCH_CALL_TIMEOUT_US
        } else {
            PLATFORM_CALL_TIMEOUT_US
        };
        self.after(timeout, Event::PlatformTimeout { start, call });
        if self.links.passes(self.now, start.vm, PLATFORM_NODE) {
            let delay = self.delay() + self.platform.latency(self.now);
            self.after(
                delay,
                Event::PlatformServes {
                    start,
                    call,
                    request,
                },
            );
        }
    }

    pub(crate) fn platform_serves(&mut self, start: Start, call: u64, request: PlatformRequest) {
        if self.platform.is_down(self.now) {
            if self.chance(50) {
                self.answer_call(start, call, PlatformAnswer::Unreachable);
            }
            return;
        }
        if let PlatformRequest::Put {
            object,
            expected_version,
            value,
        } = request
        {
            let answer = match self.store(&object, expected_version, value) {
                Some(version) => PlatformAnswer::Updated { version },
                None => PlatformAnswer::Conflict {
                    version: self.platform.version(&object),
                },
            };
            if self.platform.answers_to_lose > 0 {
                self.platform.answers_to_lose -= 1;
                self.counts.add("platform answers lost", 1);
                return;
            }
            return self.answer_call(start, call, answer);
        }
        match self.platform.serve(start, call, request) {
            Some(answer) => self.answer_call(start, call, answer),
            None => self.after(WATCH_WAIT_US, Event::WatchExpires { start, call }),
        }
    }

    fn answer_call(&mut self, start: Start, call: u64, answer: PlatformAnswer) {
        if self.links.passes(self.now, PLATFORM_NODE, start.vm)
            && self.is_alive(start)
            && self.vms[start.vm].open_calls.remove(&call)
        {
            let delay = self.delay();
            self.after(
                delay,
                Event::ToVm(start, VmEvent::PlatformAnswered { call, answer }),
            );
        }
    }

    pub(crate) fn platform_timeout(&mut self, start: Start, call: u64) {
        if self.is_alive(start) && self.vms[start.vm].open_calls.remove(&call) {
            let answer = PlatformAnswer::Unreachable;
            self.handle_vm_event(start, VmEvent::PlatformAnswered { call, answer });
        }
    }

    pub(crate) fn watch_expires(&mut self, start: Start, call: u64) {
        let answer = self.platform.expire(start, call);
        if let Some(answer) = answer.filter(|_| !self.platform.is_down(self.now)) {
            self.answer_call(start, call, answer);
        }
    }

    /// Updates an object if its version is `expected`, reports the new value to the oracle and
    /// answers the watches of the object.
    pub(crate) fn store(&mut self, object: &str, expected: u64, value: Vec<u8>) -> Option<u64> {
        let version = self.platform.put(object, expected, value)?;
        match object {
            FENCE_OBJECT => self.fence_stored(),
            CONFIG_OBJECT => self.config_stored(),
            _ => {}
        }
        for (watch, answer) in self.platform.take_watches_of(object) {
            self.answer_call(watch.start, watch.call, answer);
        }
        Some(version)
    }

    fn fence_stored(&mut self) {
        let Ok(fence) = serde_json::from_slice::<Fence>(self.platform.value(FENCE_OBJECT)) else {
            return;
        };
        for (group, state) in &fence.groups {
            if self
                .oracle
                .record_term(index_from_name(group.as_str()), state.term)
            {
                self.counts.add("promotions", 1);
                self.record_trace(|| format!("PROMOTION {group} {state:?}"));
            }
        }
    }

    fn config_stored(&mut self) {
        let value = self.platform.value(CONFIG_OBJECT);
        let Ok(config) = serde_json::from_slice::<Config>(value) else {
            return;
        };
        self.counts.add("configurations", 1);
        self.generations = crate::faults::newest_keys(self.generations, &config);
        self.oracle
            .record_config(self.now, &config, self.generations);
    }

    pub(crate) fn command_member(
        &mut self,
        start: Start,
        member: &MemberId,
        command: MemberCommand,
    ) {
        let id = self.commands.len() as u64;
        let member = index_from_name(member.as_str());
        self.commands.push(Command {
            start,
            member,
            command,
            sent_at: self.now,
            completed: false,
        });
        let timeout = match command {
            MemberCommand::AwaitReceived(_) => AWAIT_RECEIVED_TIMEOUT_US,
            _ => COMMAND_TIMEOUT_US,
        };
        self.after(timeout, Event::CommandTimeout(id));
        let delay = self.delay();
        self.after(delay, Event::CommandArrives(id));
    }

    pub(crate) fn command_arrives(&mut self, id: u64) {
        let Command {
            start,
            member,
            command,
            sent_at,
            ..
        } = self.commands[id as usize];
        if !self.links.passes(self.now, start.vm, member_node(member)) {
            // The stream retransmits for up to 2 s, so the command may still arrive after the cut.
            let resends = self.now < sent_at + 2_000_000 && self.chance(80);
            if resends {
                self.after(RESEND_INTERVAL_US, Event::CommandArrives(id));
            }
            return;
        }
        let target = &self.members[member];
        if target.is_down(self.now) {
            return;
        }
        if target.paused_until > self.now {
            return self.at(target.paused_until, Event::CommandArrives(id));
        }
        if let MemberCommand::AwaitReceived(_) = command {
            self.pending_waits.push(id);
            return self.answer_completed_waits();
        }
        let was_primary = target.is_primary();
        let taken = self.members[member].change_term(command);
        if was_primary && !self.members[member].is_primary() {
            self.abort_transactions(member);
        }
        if let (true, MemberCommand::Promote(term)) = (taken, command) {
            self.counts.add("promote commands", 1);
            // A late command of a superseded promotion is no violation: its term is not the newest.
            let newest = self.oracle.term(group_of(member)) == term;
            let missing = self.oracle.missing_writes(&self.members, member);
            if let Some(operation) = missing.filter(|_| newest) {
                let text = format!("member {member} leads term {term} without {operation}");
                self.oracle.record_violation(self.now, 2, text);
            }
        }
        let state = taken.then(|| self.members[member].state());
        self.answer_command(id, state);
    }

    /// Answers `AwaitReceived` commands whose position the member has received, or can no longer
    /// receive because its term is newer.
    pub(crate) fn answer_completed_waits(&mut self) {
        for id in std::mem::take(&mut self.pending_waits) {
            let Command {
                member, command, ..
            } = self.commands[id as usize];
            let MemberCommand::AwaitReceived(position) = command else {
                continue;
            };
            let state = self.members[member].state();
            if state.term > position.term {
                self.answer_command(id, None);
            } else if state.received >= position {
                self.answer_command(id, Some(state));
            } else if !self.commands[id as usize].completed {
                self.pending_waits.push(id);
            }
        }
    }

    fn answer_command(&mut self, id: u64, state: Option<MemberState>) {
        let Command { start, member, .. } = self.commands[id as usize];
        if self.links.passes(self.now, member_node(member), start.vm) {
            let delay = self.delay();
            self.after(delay, Event::CommandAnswered(id, state));
        }
    }

    pub(crate) fn command_answered(&mut self, id: u64, state: Option<MemberState>) {
        let command = &mut self.commands[id as usize];
        if std::mem::replace(&mut command.completed, true) {
            return;
        }
        let Command {
            start,
            member,
            command,
            ..
        } = *command;
        let (group, member) = (group_id(group_of(member)), member_id(member));
        let event = match state {
            Some(state) => VmEvent::MemberAnswered {
                group,
                member,
                state,
                command,
            },
            None => VmEvent::MemberFailed {
                group,
                member,
                command,
                reason: Reason::ConnectionLost,
            },
        };
        self.handle_vm_event(start, event);
    }
}
