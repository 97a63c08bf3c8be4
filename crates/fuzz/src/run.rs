//! Runs the case of a seed, and shrinks it if it fails.

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

/// The maximum number of runs that shrink a failing case.
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

/// Generates the case of a seed, with about `steps` operations at most.
///
/// # Errors
///
/// Returns the error of the strategy if it generates no case.
pub fn case_of_seed(seed: u64, steps: usize) -> Result<Case, String> {
    let tree = case_strategy(steps).new_tree(&mut runner(seed));
    tree.map(|tree| tree.current())
        .map_err(|reason| reason.message().to_owned())
}

/// Runs the case of a seed, and shrinks it if it fails. The counts of all its runs are added up.
///
/// # Errors
///
/// Returns the violation and the smallest failing case that was found.
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

/// Runs the case of a seed without shrinking it.
///
/// # Errors
///
/// Returns the first violation of an invariant, or the error of the strategy.
pub fn replay_seed(seed: u64, steps: usize, options: Options) -> Result<Counts, String> {
    Simulation::run(&case_of_seed(seed, steps)?, options)
}
