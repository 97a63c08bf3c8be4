//! Fuzzes complete VMs under arbitrary faults. A violation of an invariant of the design page fails
//! the run.

use std::io::Write;

use lycheedoor_fuzz::Counts;
use lycheedoor_fuzz::Options;
use lycheedoor_fuzz::fuzz_seed;
use lycheedoor_fuzz::replay_seed;

/// The seeds that CI runs; longer runs use the binary.
const SEEDS: std::ops::Range<u64> = 0..20;
const STEPS: usize = 60;

#[test]
fn invariants_hold_under_arbitrary_faults() {
    let mut counts = Counts::default();
    for seed in SEEDS {
        match fuzz_seed(seed, STEPS) {
            Ok(run) => counts.merge(&run),
            Err(text) => panic!("seed {seed}: {text}"),
        }
    }
    // Written to standard error directly, which is not captured, so that each run shows what it
    // exercised.
    let _ = write!(std::io::stderr(), "seeds {SEEDS:?}\n{counts}");
    for name in [
        "promotions",
        "unknowns",
        "refusals",
        "planned stops completed",
    ] {
        assert!(counts.get(name) > 0, "no {name}");
    }
}

/// Guards against nondeterminism, such as hash order, in the decision logic or in the simulation.
#[test]
fn a_seed_always_gives_the_same_run() {
    let run = || replay_seed(3, 30, Options::default());
    assert_eq!(run(), run());
}
