//! Runs statements against a simulated database group, under random event orders, faults and
//! promotions.

#![allow(clippy::unwrap_used)]

mod exchange_simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use exchange_simulation::Simulation;
use lycheedoor_core::types::Outcome;

/// Guards against duplicate writes, statements that run although they were reported as not run,
/// lost answers, answers of other statements, acknowledgements by replaced primaries, mixed-up
/// transactions, reuse of closed connections and reads that miss the caller's own writes.
#[test]
fn statements_keep_their_guarantees_under_random_faults() {
    let mut outcomes: BTreeMap<Outcome, u32> = BTreeMap::new();
    let mut reasons = BTreeMap::new();
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed);
        simulation.run(Duration::from_millis(1_200));
        for outcome in simulation.outcomes.values() {
            *outcomes.entry(*outcome).or_default() += 1;
        }
        for (reason, count) in &simulation.reasons {
            *reasons.entry(*reason).or_insert(0) += count;
        }
    }
    println!("{outcomes:?} {reasons:?}");
    let total: u32 = outcomes.values().sum();
    assert!(
        outcomes[&Outcome::Answered] * 10 > total * 7,
        "{outcomes:?}"
    );
}
