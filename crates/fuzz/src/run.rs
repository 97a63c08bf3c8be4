//! Runs by seed, with shrinking of failures.

use std::cell::RefCell;

use proptest::strategy::Strategy;
use proptest::strategy::ValueTree;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;

use crate::Case;
use crate::Counts;
use crate::Options;
use crate::Simulation;
use crate::case_strategy;

/// Runs of a failing case while it is shrunk.
const MAX_SHRINK_ITERATIONS: u32 = 400;

fn runner(seed: u64) -> TestRunner {
    TestRunner::new(Config {
        cases: 1,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERATIONS,
        ..Config::default()
    })
}

/// Returns the case of a seed.
///
/// # Errors
///
/// Returns the strategy's complaint if it yields no case.
pub fn case_of_seed(seed: u64, steps: usize) -> Result<Case, String> {
    let tree = case_strategy(steps).new_tree(&mut runner(seed));
    tree.map(|tree| tree.current())
        .map_err(|reason| reason.message().to_owned())
}

/// Runs the case of a seed, and shrinks it if it fails.
///
/// # Errors
///
/// Returns the violation and the smallest case that was found for it.
pub fn fuzz_seed(seed: u64, steps: usize) -> Result<Counts, String> {
    let counts = RefCell::new(Counts::default());
    let mut runner = runner(seed);
    let tree = case_strategy(steps).new_tree(&mut runner);
    let tree = tree.map_err(|reason| reason.message().to_owned())?;
    let result = runner.run_one(tree, |case| {
        let run = Simulation::run(&case, Options::default()).map_err(TestCaseError::fail)?;
        counts.borrow_mut().merge(&run);
        Ok(())
    });
    match result {
        Ok(_) => Ok(counts.into_inner()),
        Err(TestError::Fail(reason, case)) => Err(format!("{}\n{case:?}", reason.message())),
        Err(TestError::Abort(reason)) => Err(reason.message().to_owned()),
    }
}

/// Runs the case of a seed as it is.
///
/// # Errors
///
/// Returns the violation.
pub fn replay_seed(seed: u64, steps: usize, options: Options) -> Result<Counts, String> {
    Simulation::run(&case_of_seed(seed, steps)?, options)
}
