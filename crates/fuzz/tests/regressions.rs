//! Regression tests for faults that fuzzing has found, with their smallest cases.

use lycheedoor_fuzz::Case;
use lycheedoor_fuzz::Change;
use lycheedoor_fuzz::Direction;
use lycheedoor_fuzz::Operation;
use lycheedoor_fuzz::Options;
use lycheedoor_fuzz::Simulation;
use lycheedoor_fuzz::Step;
use lycheedoor_fuzz::replay_seed;

fn away_during_withdrawal(seed: u64, outage: Operation) -> Result<(), String> {
    let publish = Operation::Publish {
        operator: 0,
        change: Change::Withdraw {
            workspace: 1,
            for_ms: 9_000,
        },
        think_ms: 1,
    };
    let steps = [(outage, 10), (publish, 5_500)];
    let steps = steps.map(|(operation, then_ms)| Step { operation, then_ms });
    let steps = steps.to_vec();
    Simulation::run(&Case { seed, steps }, Options::default()).map(|_| ())
}

/// Guards against a VM that was isolated while a key was withdrawn and that accepts the key after
/// it has regained its lease, until it compares configuration versions (found as seed 17, 60
/// steps).
#[test]
fn key_withdrawn_while_a_vm_was_cut_off_is_refused_when_its_lease_returns() {
    for seed in 0..4 {
        let node = seed as usize % 4;
        let outage = Operation::Isolate {
            node,
            direction: Direction::Both,
            for_ms: 5_200,
        };
        assert_eq!(away_during_withdrawal(seed, outage), Ok(()), "seed {seed}");
    }
}

/// Guards against the same fault in a VM that was paused while its clock advanced.
#[test]
fn key_withdrawn_while_a_vm_was_paused_is_refused_when_it_resumes() {
    for seed in 0..4 {
        let vm = seed as usize % 4;
        let outage = Operation::PauseVm { vm, for_ms: 5_200 };
        assert_eq!(away_during_withdrawal(seed, outage), Ok(()), "seed {seed}");
    }
}

/// Guards against reads that are sent to a member that the platform names as primary but that is
/// not promoted yet, and whose applied position is behind the session. The window is one message
/// long, so the test runs the whole case of the seed instead of a smaller one.
#[test]
fn reads_wait_until_the_named_primary_is_promoted() {
    let result = replay_seed(3053, 60, Options::default()).map(|_| ());
    assert_eq!(result, Ok(()));
}
