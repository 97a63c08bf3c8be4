//! Pending timers, ordered by time.

use std::collections::BTreeSet;

use crate::types::CallerId;
use crate::types::GroupId;
use crate::types::MonoTime;
use crate::types::RequestId;

/// The purpose of a timer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKey {
    /// The deadline of a statement, or the end of its current wait.
    Statement(RequestId),
    /// The idle timeout of an open transaction.
    IdleTransaction(CallerId),
    /// The next attempt to ask the replicas of a group to confirm positions.
    ConfirmationRetry(GroupId),
}

#[derive(Debug, Default)]
pub(super) struct Timers(BTreeSet<(MonoTime, TimerKey)>);

impl Timers {
    pub(super) fn set(&mut self, at: MonoTime, key: TimerKey) {
        self.0.insert((at, key));
    }

    pub(super) fn remove(&mut self, at: MonoTime, key: TimerKey) {
        self.0.remove(&(at, key));
    }

    pub(super) fn next(&self) -> Option<MonoTime> {
        self.0.first().map(|(at, _)| *at)
    }

    pub(super) fn pop_due(&mut self, now: MonoTime) -> Option<TimerKey> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, key)| key)
    }
}
