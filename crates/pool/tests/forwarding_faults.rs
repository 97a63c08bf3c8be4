//! Transactions and single statements of callers on several VMs, under random delays and losses
//! between VMs and at members. What each member observes is compared with what callers sent.

mod fleet;

use fleet::Faults;
use fleet::Fleet;
use fleet::FleetSize;

const SEEDS: u64 = 60;

fn play(seed: u64, faults: Faults) -> Fleet {
    let mut fleet = Fleet::start(FleetSize {
        vms: 4,
        groups: 2,
        workspaces: 3,
        operations_per_vm: 30,
        max_connections: 30,
        is_skewed: false,
    });
    fleet.set_faults(seed, faults);
    fleet.play(std::time::Duration::from_secs(3));
    fleet
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
        };
        let fleet = play(seed, faults);
        let violations = fleet.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        assert!(fleet.counts.served > 0, "seed {seed}");
    }
}
