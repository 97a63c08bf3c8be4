//! What one VM costs its peers and the members, in fleets of several sizes with the same load on
//! each VM.

mod fleet;

use std::sync::OnceLock;
use std::time::Duration;

use fleet::Fleet;
use fleet::FleetCounts;
use fleet::FleetSize;

/// Numbers of VMs, from the smallest deployment to one beyond today's largest.
const FLEET_SIZES: [u32; 4] = [8, 30, 100, 300];

const DURATION: Duration = Duration::from_secs(2);

/// What a VM may send for control, as stated for the design size.
const MAX_CONTROL_BYTES_PER_VM_PER_S: u64 = 4_000;

/// What a member of today's largest deployment accepts.
const MAX_CONNECTIONS: u32 = 79;

/// Returns what fleets of the different sizes do.
fn runs() -> &'static [(u32, FleetCounts)] {
    static RUNS: OnceLock<Vec<(u32, FleetCounts)>> = OnceLock::new();
    RUNS.get_or_init(|| FLEET_SIZES.map(|vms| (vms, play(vms))).into())
}

fn play(vms: u32) -> FleetCounts {
    let mut fleet = Fleet::start(FleetSize {
        vms,
        groups: (vms / 11).max(3),
        workspaces: vms.min(87),
        operations_per_vm: 13,
        max_connections: MAX_CONNECTIONS,
        is_skewed: false,
    });
    fleet.play(DURATION);
    fleet.counts
}

/// Guards against loan requests to all peers, whose number grows with the square of the fleet.
#[test]
fn loans_of_a_large_fleet_do_not_use_up_the_control_budget() {
    for (vms, counts) in runs() {
        let seconds = fleet::PLAYED_AFTER.as_secs() + DURATION.as_secs();
        let bytes = counts.rate_message_bytes / u64::from(*vms) / seconds;
        assert!(
            bytes <= MAX_CONTROL_BYTES_PER_VM_PER_S,
            "{vms} VMs: {bytes} bytes a VM and second"
        );
    }
}

/// Guards against shares of at least one connection that add up to more than a member accepts.
#[test]
fn connections_of_a_large_fleet_stay_within_what_a_member_accepts() {
    for (vms, counts) in runs() {
        assert!(
            counts.peak_connections <= MAX_CONNECTIONS,
            "{vms} VMs: {} connections",
            counts.peak_connections
        );
    }
}

/// Guards against operations within the rate of their workspace that a large fleet does not serve.
#[test]
fn operations_within_the_rate_are_served_by_a_large_fleet() {
    for (vms, counts) in runs() {
        let refused: u64 = counts.refused.values().sum();
        assert!(
            refused * 1_000 <= counts.sent && counts.served + refused == counts.sent,
            "{vms} VMs: {counts:?}"
        );
    }
}
