//! Durations and counts of the membership lease.

use std::time::Duration;

/// Settings of `Membership`; all VMs of a cell must use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The duration of a lease, counted from the time of its evidence.
    pub lease_duration: Duration,
    /// The age of the newest evidence at which a VM requests newer evidence, and the interval
    /// between regular reads of the platform.
    pub renewal_interval: Duration,
    /// The minimum interval between two attempts to renew the lease.
    pub retry_interval: Duration,
    /// The maximum drift between the clock of a lease holder and that of a VM waiting for the
    /// lease to expire, in thousandths.
    pub max_drift_per_mille: u32,
    /// Added to the wait for leases to expire; covers drift of both clocks and timer resolution.
    pub lease_wait_margin: Duration,
    /// The age of the newest evidence from the platform from which the platform counts as
    /// unresponsive.
    pub platform_silent_after: Duration,
    /// The timeout of an update of the fence, after which its outcome counts as unknown.
    pub platform_timeout: Duration,
    /// The minimum interval between reads of a VM that is not a relay while the platform is
    /// unresponsive.
    pub min_silent_read_interval: Duration,
    /// The maximum interval to which these reads back off, so that a recovering platform does not
    /// receive reads from the whole fleet at once.
    pub max_silent_read_interval: Duration,
    /// The time after which a change that another role requested, and did not request again, is
    /// dropped because its evidence is too old.
    pub request_lifetime: Duration,
    /// The number of VMs that read the platform on behalf of the others.
    pub relay_count: usize,
    /// The time without an answer after which a VM counts as down and is skipped as a relay.
    pub peer_down_after: Duration,
    /// The time without an answer after which a member may be removed from the roster.
    pub member_removed_after: Duration,
    /// The number of slots of a new roster.
    pub slot_count: u16,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_millis(300),
            renewal_interval: Duration::from_millis(100),
            retry_interval: Duration::from_millis(25),
            max_drift_per_mille: 10,
            lease_wait_margin: Duration::from_millis(5),
            platform_silent_after: Duration::from_millis(150),
            platform_timeout: Duration::from_millis(250),
            min_silent_read_interval: Duration::from_millis(250),
            max_silent_read_interval: Duration::from_millis(2_000),
            request_lifetime: Duration::from_millis(100),
            relay_count: 2,
            peer_down_after: Duration::from_millis(200),
            member_removed_after: Duration::from_millis(1_500),
            slot_count: 8,
        }
    }
}

impl MembershipSettings {
    /// Returns how long to wait until every lease that was valid at the start of the wait has
    /// expired.
    pub fn lease_wait(&self) -> Duration {
        self.lease_duration
            + self.lease_duration * self.max_drift_per_mille / 1_000
            + self.lease_wait_margin
    }
}
