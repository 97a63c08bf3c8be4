//! Numbers of open calls to the platform and of open commands to members.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::vm::MemberCommand;

/// The role that waits for an answer of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOwner {
    /// The configuration follower.
    Follower,
    /// The membership role, with its own number of the call.
    Membership(u64),
}

/// Open calls to the platform.
#[derive(Debug, Default)]
pub(super) struct PlatformCalls {
    next_call: u64,
    pending: BTreeMap<u64, CallOwner>,
}

impl PlatformCalls {
    /// Gives a number to a call of a role.
    pub(super) fn start(&mut self, owner: CallOwner) -> u64 {
        self.next_call += 1;
        self.pending.insert(self.next_call, owner);
        self.next_call
    }

    /// Forgets the open calls of a role, whose answers are not wanted any more.
    pub(super) fn discard(&mut self, owner: CallOwner) {
        self.pending.retain(|_, of| *of != owner);
    }

    /// Takes the owner of a call that was answered; a second answer has none.
    pub(super) fn finish(&mut self, call: u64) -> Option<CallOwner> {
        self.pending.remove(&call)
    }
}

/// When commands were sent to members, in the order in which a member answers them.
#[derive(Debug, Default)]
pub(super) struct MemberCommands {
    sent: BTreeMap<(GroupId, MemberId), VecDeque<(MemberCommand, MonoTime)>>,
}

impl MemberCommands {
    /// Returns whether the same command to a member is open.
    pub(super) fn is_pending(
        &self,
        group: &GroupId,
        member: &MemberId,
        command: MemberCommand,
    ) -> bool {
        let sent = self.sent.get(&(group.clone(), member.clone()));
        sent.is_some_and(|sent| sent.iter().any(|(pending, _)| *pending == command))
    }

    /// Records that a command was sent.
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

    /// Takes the time at which an answered command was sent.
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
