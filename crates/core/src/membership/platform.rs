//! Calls to the platform that read or update the fence.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::membership::Fence;
use crate::membership::MembershipAction;
use crate::types::MonoTime;
use crate::types::Nonce;

/// When more reads are pending, the oldest are dropped: their answers would be out of date.
const MAX_PENDING_READS: usize = 8;

/// An update that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingPut {
    pub(crate) call: u64,
    pub(crate) sent_at: MonoTime,
    pub(crate) fence: Arc<Fence>,
}

/// The calls in progress. There is at most one update at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct FenceCalls {
    last_call: u64,
    reads: BTreeMap<u64, MonoTime>,
    last_read_at: Option<MonoTime>,
    put: Option<PendingPut>,
    /// The nonce of the last update whose outcome is unknown.
    uncertain_nonce: Option<Nonce>,
    read_required: bool,
}

impl FenceCalls {
    /// Starts a read.
    pub(crate) fn read(&mut self, now: MonoTime, known_version: u64) -> MembershipAction {
        let call = self.next_call();
        self.reads.insert(call, now);
        while self.reads.len() > MAX_PENDING_READS {
            self.reads.pop_first();
        }
        self.last_read_at = Some(now);
        MembershipAction::ReadFence {
            call,
            known_version,
        }
    }

    /// Starts an update that is conditional on the fence still having `base_version`.
    pub(crate) fn put(
        &mut self,
        now: MonoTime,
        base_version: u64,
        fence: Arc<Fence>,
    ) -> MembershipAction {
        let call = self.next_call();
        self.put = Some(PendingPut {
            call,
            sent_at: now,
            fence: Arc::clone(&fence),
        });
        MembershipAction::PutFence {
            call,
            expected_version: base_version,
            fence,
        }
    }

    /// Returns whether an update may be started.
    pub(crate) fn may_put(&self) -> bool {
        self.put.is_none() && !self.read_required
    }

    /// Removes the pending read `call` and returns when it was sent.
    pub(crate) fn take_read(&mut self, call: u64) -> Option<MonoTime> {
        self.reads.remove(&call)
    }

    /// Removes and returns the pending update `call`.
    pub(crate) fn take_put(&mut self, call: u64) -> Option<PendingPut> {
        self.put.take_if(|put| put.call == call)
    }

    /// Requires a read before the next update.
    pub(crate) fn require_read(&mut self) {
        self.read_required = true;
    }

    /// Records that a read was answered.
    pub(crate) fn read_answered(&mut self) {
        self.read_required = false;
    }

    /// Records that the outcome of an update is unknown, and requires a read.
    pub(crate) fn record_unknown_outcome(&mut self, nonce: Nonce) {
        self.uncertain_nonce = Some(nonce);
        self.read_required = true;
    }

    /// Returns whether `fence` was written by this VM's update whose outcome was unknown, and
    /// clears that update if so.
    pub(crate) fn recognise_own_update(&mut self, fence: &Fence) -> bool {
        self.uncertain_nonce
            .take_if(|nonce| *nonce == fence.nonce)
            .is_some()
    }

    /// Treats the outcome of the pending update as unknown once `timeout` has passed.
    pub(crate) fn expire_put(&mut self, now: MonoTime, timeout: Duration) {
        if let Some(put) = self.put.take_if(|put| now.since(put.sent_at) >= timeout) {
            self.record_unknown_outcome(put.fence.nonce);
        }
    }

    /// Returns when the pending update times out.
    pub(crate) fn put_deadline(&self, timeout: Duration) -> Option<MonoTime> {
        self.put.as_ref().map(|put| put.sent_at + timeout)
    }

    /// Returns whether a read is needed before the next update.
    pub(crate) fn read_required(&self) -> bool {
        self.read_required
    }

    /// Returns when the last read was sent.
    pub(crate) fn last_read_at(&self) -> Option<MonoTime> {
        self.last_read_at
    }

    fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }
}
