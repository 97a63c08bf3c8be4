//! Transactions and single statements of callers on several VMs, under random delays and losses
//! between VMs and at members. What each member observes is compared with what callers sent.

mod fleet;

use fleet::Faults;
use fleet::Fleet;
use fleet::FleetSize;

const SEEDS: u64 = 60;

/// The seeds of the runs with planned stops, which take longer.
const SEEDS_OF_STOPS: u64 = 15;

fn start(operations_per_vm: u32) -> Fleet {
    Fleet::start(FleetSize {
        vms: 4,
        groups: 2,
        workspaces: 3,
        operations_per_vm,
        max_connections: 30,
        is_skewed: false,
    })
}

fn play(seed: u64, faults: Faults) -> Fleet {
    let mut fleet = start(30);
    fleet.set_faults(seed, faults);
    fleet.play(std::time::Duration::from_secs(3));
    fleet
}

fn expect_no_violations(fleet: &Fleet, seed: u64) {
    let violations = fleet.violations();
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    assert!(fleet.counts.served > 0, "seed {seed}");
}

/// Guards against statements outside of their transaction or inside another one, and against writes
/// that are repeated or committed although the caller was told otherwise.
#[test]
fn forwarded_statements_keep_their_transaction_under_faults() {
    for seed in 0..SEEDS {
        let faults = Faults {
            max_peer_delay_ms: 40,
            lost_peers_per_mille: 5,
            silent_peers_per_mille: 3,
            lost_links_per_mille: 10,
            refusals_per_mille: 30,
            ..Faults::default()
        };
        let fleet = play(seed, faults);
        expect_no_violations(&fleet, seed);
    }
}

/// Guards against results and refusals of statements of a process that its VM's next one takes for
/// those of its own, and against statements of the two that are taken for one another.
#[test]
fn processes_of_a_vm_are_told_apart_when_they_are_killed() {
    for seed in 0..SEEDS {
        let faults = Faults {
            max_peer_delay_ms: 40,
            lost_links_per_mille: 5,
            refusals_per_mille: 30,
            kills_per_mille: 20,
            ..Faults::default()
        };
        let fleet = play(seed, faults);
        expect_no_violations(&fleet, seed);
    }
}

/// Guards against statements without an answer when VMs are stopped while their callers never pause,
/// and against answers that are wrong.
#[test]
fn statements_are_answered_when_vms_are_stopped_under_load() {
    for seed in 0..SEEDS_OF_STOPS {
        let faults = Faults {
            max_peer_delay_ms: 40,
            stops_per_mille: 100,
            answer_delay_ms: 60,
            is_steady: true,
            ..Faults::default()
        };
        let mut fleet = start(2);
        fleet.set_faults(seed, faults);
        fleet.play(std::time::Duration::from_secs(8));
        expect_no_violations(&fleet, seed);
    }
}
