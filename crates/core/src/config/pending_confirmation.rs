//! Confirmation of the configuration version after a time without a lease.
//!
//! A VM that was paused or disconnected regains its lease with the first evidence about the
//! fence. That proves nothing about the configuration: without a confirmation, a key that was
//! withdrawn in the meantime would be accepted until the next comparison of versions.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::types::MonoTime;
use crate::types::VmId;

/// The maximum age of the last confirmation at which the version still counts as confirmed when
/// the lease is gained. A version that was published later is pushed, or found by the next
/// comparisons, within seconds.
const MAX_CONFIRMATION_AGE_AT_LEASE_GAIN: Duration = Duration::from_millis(2_000);
/// The interval between requests for confirmation to all peers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// The state between the gain of a lease and the confirmation of the configuration version.
#[derive(Debug)]
pub(super) struct PendingConfirmation {
    /// When the lease was gained.
    since: MonoTime,
    next_request_at: MonoTime,
    /// The peers that have reported that they hold no newer version.
    agreeing: BTreeSet<VmId>,
}

impl PendingConfirmation {
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            since: now,
            next_request_at: now,
            agreeing: BTreeSet::new(),
        }
    }

    pub(super) fn next_request_at(&self) -> MonoTime {
        self.next_request_at
    }

    /// Returns whether a confirmation at `confirmed_at` is recent enough for a lease that was
    /// gained at `gained_at`.
    pub(super) fn is_recent_enough(gained_at: MonoTime, confirmed_at: MonoTime) -> bool {
        confirmed_at + MAX_CONFIRMATION_AGE_AT_LEASE_GAIN >= gained_at
    }

    pub(super) fn is_fulfilled_by(&self, confirmed_at: MonoTime) -> bool {
        Self::is_recent_enough(self.since, confirmed_at)
    }

    /// Returns whether a request to the peers is due, and if so schedules the next one.
    pub(super) fn take_due_request(&mut self, now: MonoTime) -> bool {
        let due = now >= self.next_request_at;
        if due {
            self.next_request_at = now + REQUEST_INTERVAL;
        }
        due
    }

    pub(super) fn record_agreement(&mut self, peer: VmId) {
        self.agreeing.insert(peer);
    }

    /// Returns whether a majority of this VM and its peers holds no newer version.
    pub(super) fn has_majority(&self, peer_count: usize) -> bool {
        (self.agreeing.len() + 1) * 2 > peer_count + 1
    }
}
