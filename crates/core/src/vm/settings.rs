//! Settings of the decision logic of one VM.

use std::net::SocketAddr;

use crate::drain::DrainSettings;
use crate::exchange::ExchangeLimits;
use crate::failover::FailoverSettings;
use crate::membership::MembershipSettings;
use crate::types::DataCentreId;
use crate::types::Incarnation;
use crate::types::VmId;

/// The identity of a VM, and the settings of its roles.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// The name under which the VM is listed in the roster.
    pub vm: VmId,
    /// The incarnation of the VM, which distinguishes this start from earlier ones.
    pub incarnation: Incarnation,
    /// The data centre in which the VM runs.
    pub data_centre: DataCentreId,
    /// The address on which the VM listens for other VMs.
    pub peer_address: SocketAddr,
    /// The seed of all random numbers, so that a simulation can be repeated.
    pub seed: u64,
    /// Settings of the membership lease.
    pub membership: MembershipSettings,
    /// Settings of failure detection and promotion.
    pub failover: FailoverSettings,
    /// Limits for the execution of statements.
    pub exchange: ExchangeLimits,
    /// Settings of planned stops.
    pub drain: DrainSettings,
    /// The maximum number of timeline records that are kept; 0 disables recording.
    pub timeline_records: usize,
    /// The wall clock time at zero of the monotonic clock, in microseconds since the Unix epoch.
    pub wall_start_us: u64,
}

impl VmSettings {
    /// Creates settings with the defaults of all roles.
    pub fn new(
        vm: VmId,
        incarnation: Incarnation,
        data_centre: DataCentreId,
        peer_address: SocketAddr,
        seed: u64,
    ) -> Self {
        Self {
            vm,
            incarnation,
            data_centre,
            peer_address,
            seed,
            membership: MembershipSettings::default(),
            failover: FailoverSettings::default(),
            exchange: ExchangeLimits::default(),
            drain: DrainSettings::default(),
            timeline_records: 4_096,
            wall_start_us: 0,
        }
    }
}
