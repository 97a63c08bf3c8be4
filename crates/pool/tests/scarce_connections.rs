//! Connections that a fleet opens when members accept few of them for its VMs and workspaces.

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use fleet::FleetCounts;
use fleet::FleetSize;

const WORKSPACES: u32 = 90;

/// Numbers of VMs, with the operations a second at each VM, and the connections that a member accepts.
const FLEETS: [(u32, u32, u32); 4] = [(30, 20, 30), (30, 20, 88), (100, 8, 30), (300, 4, 30)];

/// The same where members accept fewer connections than a group has homes.
const FEWEST_CONNECTIONS: [(u32, u32, u32); 2] = [(30, 20, 8), (100, 8, 8)];

/// The most connections that a fleet may open beyond those that no distribution avoids, in percent of
/// the operations.
const MAX_AVOIDABLE_PERCENT: u64 = 5;

/// Plays a calm time, in which a few workspaces send most of the operations.
fn play(vms: u32, operations_per_vm: u32, max_connections: u32) -> FleetCounts {
    let mut fleet = Fleet::start(FleetSize {
        vms,
        groups: 4,
        workspaces: WORKSPACES,
        operations_per_vm,
        max_connections,
        is_skewed: true,
    });
    // The connections that are kept are opened first.
    fleet.play(Duration::from_secs(2));
    fleet.counts = FleetCounts::default();
    fleet.play(Duration::from_secs(2));
    fleet.counts
}

/// Returns the part of the operations, in percent, that are of workspaces which cannot all keep a
/// connection: those beyond the largest ones for which two thirds of the connections suffice.
fn percent_without_connection(max_connections: u32) -> u64 {
    let kept = (max_connections * 2 / 3).min(WORKSPACES);
    let weight = |workspace| u64::from(fleet::workspace_weight(workspace));
    let total: u64 = (0..WORKSPACES).map(weight).sum();
    let rest: u64 = (kept..WORKSPACES).map(weight).sum();
    rest * 100 / total
}

/// Guards against more homes in a group than its members accept connections: homes of 300 VMs opened
/// 60 at members that accept 30.
#[test]
fn connections_of_a_groups_homes_stay_within_what_members_accept() {
    for (vms, operations_per_vm, max_connections) in FLEETS {
        let peak = play(vms, operations_per_vm, max_connections).peak_connections;
        assert!(
            peak <= max_connections,
            "{vms} VMs: {peak} of {max_connections}"
        );
    }
}

/// Guards against the same with the fewest connections.
#[test]
#[ignore = "KNOWN-RED: more homes than connections where members accept few"]
fn connections_stay_within_eight_that_members_accept() {
    for (vms, operations_per_vm, max_connections) in FEWEST_CONNECTIONS {
        let peak = play(vms, operations_per_vm, max_connections).peak_connections;
        assert!(
            peak <= max_connections,
            "{vms} VMs: {peak} of {max_connections}"
        );
    }
}

/// Guards against homes that have fewer connections than workspaces in use, and open one for each
/// statement: a site with 95 VMs opened 14,917 connections for 17,083 operations where members accept
/// 30.
#[test]
#[ignore = "KNOWN-RED: more homes than connections where members accept few"]
fn few_connections_are_opened_for_workspaces_that_can_keep_one() {
    for (vms, operations_per_vm, max_connections) in FLEETS {
        let counts = play(vms, operations_per_vm, max_connections);
        let percent = counts.opened_connections * 100 / counts.sent;
        let limit = percent_without_connection(max_connections) + MAX_AVOIDABLE_PERCENT;
        assert!(
            percent <= limit,
            "{vms} VMs, {max_connections} connections: {percent}% of {limit}% opened, {counts:?}"
        );
    }
}
