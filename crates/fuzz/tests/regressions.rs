//! Faults that the fuzz has found, by their smallest cases.

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

/// Guards against a VM that was cut off while a key was withdrawn and that accepts the key from
/// the return of its lease until it compares configuration versions (found as seed 17, 60 steps).
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

/// Guards against the same in a VM that was paused, whose clock has gone on.
#[test]
fn key_withdrawn_while_a_vm_was_paused_is_refused_when_it_wakes() {
    for seed in 0..4 {
        let vm = seed as usize % 4;
        let outage = Operation::PauseVm { vm, for_ms: 5_200 };
        assert_eq!(away_during_withdrawal(seed, outage), Ok(()), "seed {seed}");
    }
}

/// Guards against reads that go to a member which the platform has named as primary, which is not
/// promoted yet, and whose applied position lags behind the session. The window is one message
/// long, so the case is that of the seed, not a smaller one.
#[test]
fn reads_wait_until_the_named_primary_leads() {
    let result = replay_seed(3053, 60, Options::default()).map(|_| ());
    assert_eq!(result, Ok(()));
}
