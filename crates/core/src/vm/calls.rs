//! Calls to the platform and commands to members that are waiting for an answer.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::vm::MemberCommand;

/// The role that waits for the answer to a platform call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOwner {
    ConfigWatcher,
    /// The membership role, with the number that it gave to the call.
    Membership(u64),
}

/// Platform calls that are waiting for an answer, by number.
#[derive(Debug, Default)]
pub(super) struct PlatformCalls {
    next_call: u64,
    pending: BTreeMap<u64, CallOwner>,
}

impl PlatformCalls {
    /// Registers a call of a role and returns its number.
    pub(super) fn start(&mut self, owner: CallOwner) -> u64 {
        self.next_call += 1;
        self.pending.insert(self.next_call, owner);
        self.next_call
    }

    /// Discards the pending calls of a role; their answers will be ignored.
    pub(super) fn discard(&mut self, owner: CallOwner) {
        self.pending.retain(|_, of| *of != owner);
    }

    /// Removes an answered call and returns its owner, or `None` if the call is not pending.
    pub(super) fn finish(&mut self, call: u64) -> Option<CallOwner> {
        self.pending.remove(&call)
    }
}

/// Commands that are waiting for an answer, with the times at which they were sent. Each member
/// answers its commands in this order.
#[derive(Debug, Default)]
pub(super) struct MemberCommands {
    sent: BTreeMap<(GroupId, MemberId), VecDeque<(MemberCommand, MonoTime)>>,
}

impl MemberCommands {
    /// Returns whether the same command to the member is waiting for an answer.
    pub(super) fn is_pending(
        &self,
        group: &GroupId,
        member: &MemberId,
        command: MemberCommand,
    ) -> bool {
        let sent = self.sent.get(&(group.clone(), member.clone()));
        sent.is_some_and(|sent| sent.iter().any(|(pending, _)| *pending == command))
    }

    pub(super) fn start(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        command: MemberCommand,
    ) {
        let key = (group.clone(), member.clone());
        self.sent.entry(key).or_default().push_back((command, now));
    }

    /// Removes an answered or failed command and returns the time at which it was sent.
    pub(super) fn finish(
        &mut self,
        group: &GroupId,
        member: &MemberId,
        command: MemberCommand,
    ) -> Option<MonoTime> {
        let sent = self.sent.get_mut(&(group.clone(), member.clone()))?;
        let index = sent.iter().position(|(pending, _)| *pending == command)?;
        sent.remove(index).map(|(_, at)| at)
    }
}
