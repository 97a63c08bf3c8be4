//! A healthy primary that a majority of VMs can reach must never be replaced.

mod support;

use lycheedoor_core::failover::FailoverAction;
use support::Fault;
use support::Simulation;
use support::for_each_seed;
use support::ms;

const SEED_COUNT: u64 = 10_000;

/// Guards against the promotion of a replica because of pauses that are shorter than the detection
/// time, message loss or one-way cuts.
#[test]
fn healthy_primary_is_never_replaced() {
    let runs = for_each_seed(SEED_COUNT, simulate);
    let promoted: Vec<_> = (0..)
        .zip(&runs)
        .filter(|(_, simulate)| simulate.promotions > 0)
        .map(|(seed, _): (u64, _)| seed)
        .collect();
    let intents: u64 = runs.iter().map(|simulate| simulate.intents).sum();
    println!("{intents} intents opened in {SEED_COUNT} runs");
    assert!(
        promoted.is_empty(),
        "{} promotions, seeds {promoted:?}",
        promoted.len()
    );
    let violating: Vec<_> = runs
        .iter()
        .enumerate()
        .filter(|(_, simulate)| !simulate.violations.is_empty())
        .collect();
    assert!(violating.is_empty(), "{violating:?}");
    // If the faults caused no intents, the runs would not test anything.
    assert!(intents > SEED_COUNT / 50, "{intents} intents");
}

#[derive(Debug)]
struct Run {
    promotions: u64,
    intents: u64,
    violations: Vec<String>,
}

fn simulate(seed: u64) -> Run {
    let vms = [3, 3, 5][(seed % 3) as usize];
    let mut simulation = Simulation::new(seed, vms, 10_000);
    simulation.create_roster();
    simulation.create_group();
    simulation.start_members(3);
    simulation.run_until(ms(200));
    simulation.links.loss_per_mille = simulation.random.between(0, 50);
    let start = simulation.now + ms(simulation.random.between(0, 100));
    if simulation.random.chance(600) {
        let for_us = ms(simulation.random.between(200, 590));
        simulation.schedule_fault(start, Fault::PauseMember { member: 0, for_us });
    }
    if simulation.random.chance(500) {
        let for_us = ms(simulation.random.between(50, 590));
        let vm = simulation.random.index(vms);
        let at = start + ms(simulation.random.between(0, 200));
        simulation.schedule_fault(at, Fault::PauseVm { vm, for_us });
    }
    // One-way cuts between the primary and fewer than half of the VMs, and between two VMs.
    for vm in 0..(vms - 1) / 2 {
        let primary = vms;
        let (from, to) = if simulation.random.chance(500) {
            (vm, primary)
        } else {
            (primary, vm)
        };
        simulation.schedule_fault(start, Fault::Cut { from, to, on: true });
    }
    if simulation.random.chance(500) {
        let (from, to) = (simulation.random.index(vms), simulation.random.index(vms));
        simulation.schedule_fault(start, Fault::Cut { from, to, on: true });
    }
    simulation.run_until(ms(1_200));
    let is_intent_opened = |(_, action): &&(u64, FailoverAction)| {
        matches!(action, FailoverAction::IntentOpened { .. })
    };
    Run {
        promotions: simulation.promotions,
        intents: simulation
            .vms
            .iter()
            .flat_map(|vm| &vm.failover_log)
            .filter(is_intent_opened)
            .count() as u64,
        violations: std::mem::take(&mut simulation.violations),
    }
}
