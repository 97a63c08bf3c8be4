//! A member never has more statements in progress than slots, or more connections than its budget.

mod fleet;
mod fleet_dispatch;

use std::ops::Range;

use fleet::MS;
use fleet::Network;
use fleet::SECOND;
use fleet_dispatch::DispatchSimulation;
use fleet_dispatch::STABLE_NETWORK;
use fleet_dispatch::config;
use lycheedoor_core::types::Reason;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RUN_END_US: u64 = 10 * SECOND;
/// The name, statement slots and connections of each member.
const MEMBERS: [(&str, u32, u32); 3] = [("one", 1, 8), ("two", 2, 16), ("three", 3, 24)];
const LOSSY_NETWORK: Network = Network {
    min_delay: MS,
    max_delay: 30 * MS,
    loss_percent: 5,
    duplicate_percent: 5,
};

fn add_load(simulation: &mut DispatchSimulation, rng: &mut ChaCha8Rng) {
    for (member, slots, _) in MEMBERS {
        let mut at = 0;
        while at < RUN_END_US {
            let workspace = ["a", "b", "c"][rng.random_range(0..3)];
            simulation.add_request(at, rng.random_range(0..8), member, workspace);
            at += rng.random_range(1..8 * MS / u64::from(slots));
        }
    }
}

/// Pauses, kills, cuts off and replaces VMs, and moves their slots; faults may overlap.
fn add_faults(simulation: &mut DispatchSimulation, rng: &mut ChaCha8Rng) {
    let mut at = 2 * SECOND;
    while at < RUN_END_US {
        let vm_index = rng.random_range(0..8);
        let other = rng.random_range(0..8);
        match rng.random_range(0..7) {
            0 => simulation.pause(at, vm_index, at + rng.random_range(50 * MS..2 * SECOND)),
            1 => {
                simulation.pause(at, vm_index, at + 2_500 * MS);
                simulation.replace(at + rng.random_range(0..400 * MS), vm_index);
            }
            2 => {
                simulation.kill(at, vm_index);
                simulation.replace(at + rng.random_range(0..SECOND), vm_index);
            }
            3 => simulation.cut_link(
                at,
                vm_index,
                other,
                at + rng.random_range(200 * MS..2 * SECOND),
            ),
            4 => simulation.replace(at, vm_index),
            5 => simulation.move_slot(at, vm_index, other),
            _ => {
                simulation.block_lease_renewal(at, vm_index, at + 900 * MS);
                simulation.move_slot(at + MS, vm_index, other);
                simulation.move_slot(at + 50 * MS, other, rng.random_range(0..8));
            }
        }
        at += rng.random_range(100 * MS..2_500 * MS);
    }
}

/// Guards against transactions interrupted by a change of the coordinator, and against requests
/// refused while the new coordinator waits.
#[test]
fn transactions_survive_new_coordinators() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut simulation = DispatchSimulation::new(1, STABLE_NETWORK, config(&MEMBERS, &[("a", 1)]));
    simulation.transactions_per_mille = 400;
    for at in (SECOND..RUN_END_US).step_by(250 * MS as usize) {
        let member = MEMBERS[rng.random_range(0..3)].0;
        simulation.add_request(at, rng.random_range(0..8), member, "a");
    }
    for (round, vm_index) in (0..8).zip(0..8) {
        simulation.replace(2 * SECOND + round * 900 * MS, vm_index);
    }
    simulation.run_until(RUN_END_US);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(
        simulation.closed_connections.get(&Reason::PermitExpired),
        None
    );
    let refused = simulation.counts.values().flat_map(|count| &count.refused);
    assert_eq!(refused.collect::<Vec<_>>(), Vec::new());
}

fn check_budgets(seeds: Range<u64>) {
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let weights = [("a", 1), ("b", 2), ("c", 1)];
        let mut simulation =
            DispatchSimulation::new(seed, LOSSY_NETWORK, config(&MEMBERS, &weights));
        simulation.transactions_per_mille = 30;
        add_load(&mut simulation, &mut rng);
        add_faults(&mut simulation, &mut rng);
        simulation.run_until(RUN_END_US);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
        let finished: u64 = simulation.counts.values().map(|count| count.finished).sum();
        assert!(finished > 1_000, "seed {seed}: {finished}");
    }
}

macro_rules! check_in_parallel {
    ($($name:ident: $seeds:expr,)*) => {
        $(
            /// Guards against permits and connections that exist twice: lent by an old and a new
            /// coordinator, kept by a VM that resumes without its lease, or after lost and late
            /// messages.
            #[test]
            fn $name() {
                check_budgets($seeds);
            }
        )*
    };
}

check_in_parallel! {
    budgets_hold_under_faults_0: 0..2,
    budgets_hold_under_faults_1: 2..4,
    budgets_hold_under_faults_2: 4..6,
    budgets_hold_under_faults_3: 6..8,
    budgets_hold_under_faults_4: 8..10,
    budgets_hold_under_faults_5: 10..12,
}
