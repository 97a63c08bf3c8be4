//! Evidence that this VM held the newest fence, and the requests to other VMs that collect it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::membership::LeaseSource;
use crate::membership::RosterMemberKey;
use crate::types::MonoTime;

/// Older requests are dropped: a lease based on their evidence would have expired.
const MAX_PENDING_REQUESTS: usize = 16;

/// A request for evidence that was sent to other VMs.
#[derive(Clone, Debug)]
pub(crate) struct EvidenceRequest {
    pub(crate) sent_at: MonoTime,
    pub(crate) version: u64,
    pub(crate) confirmed_by: Vec<RosterMemberKey>,
}

/// The latest times, on this VM's clock, at which no newer fence existed than the one it holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseEvidence {
    platform_at: Option<MonoTime>,
    peers_at: Option<MonoTime>,
    requests: BTreeMap<u64, EvidenceRequest>,
    last_request: u64,
}

impl LeaseEvidence {
    /// Records that the platform confirmed the fence at `at` or later.
    pub(crate) fn confirm_platform(&mut self, at: MonoTime) {
        self.platform_at = self.platform_at.max(Some(at));
    }

    /// Records that a majority of the roster confirmed the fence at `at` or later.
    pub(crate) fn confirm_peers(&mut self, at: MonoTime) {
        self.peers_at = self.peers_at.max(Some(at));
    }

    /// Returns the time and source of the newest evidence.
    pub(crate) fn newest(&self) -> Option<(MonoTime, LeaseSource)> {
        let platform = self.platform_at.map(|at| (at, LeaseSource::Platform));
        let peers = self.peers_at.map(|at| (at, LeaseSource::Peers));
        match (platform, peers) {
            (Some(platform), Some(peers)) if peers.0 > platform.0 => Some(peers),
            (Some(platform), _) => Some(platform),
            (None, peers) => peers,
        }
    }

    /// Returns when the platform last confirmed the fence.
    pub(crate) fn platform_at(&self) -> Option<MonoTime> {
        self.platform_at
    }

    /// Returns how long ago the platform last confirmed the fence.
    pub(crate) fn platform_age(&self, now: MonoTime) -> Option<Duration> {
        self.platform_at.map(|at| now.since(at))
    }

    /// Returns whether the platform has not confirmed the fence for at least `after`.
    pub(crate) fn platform_silent(&self, now: MonoTime, after: Duration) -> bool {
        self.platform_age(now).is_none_or(|age| age >= after)
    }

    /// Registers a request for evidence and returns its number.
    pub(crate) fn start_request(&mut self, now: MonoTime, version: u64) -> u64 {
        self.last_request += 1;
        let request = EvidenceRequest {
            sent_at: now,
            version,
            confirmed_by: Vec::new(),
        };
        self.requests.insert(self.last_request, request);
        while self.requests.len() > MAX_PENDING_REQUESTS {
            self.requests.pop_first();
        }
        self.last_request
    }

    /// Returns the request with this number unless it has been dropped.
    pub(crate) fn request(&mut self, number: u64) -> Option<&mut EvidenceRequest> {
        self.requests.get_mut(&number)
    }
}
