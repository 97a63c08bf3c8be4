//! Processor time of the decisions for one statement.

mod support;

use std::time::Instant;

use support::Rig;

/// Statements in one measurement.
const STATEMENTS: u32 = 20_000;

/// Prints the time of one statement through the pool; run it with `--release --nocapture`.
#[test]
#[ignore = "a measurement, not a check"]
fn time_of_a_statement() {
    let mut rig = Rig::with_peers(&["vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7"]);
    let callers: Vec<_> = (0..40).map(|_| rig.session("primary-db")).collect();
    let started = Instant::now();
    for number in 0..STATEMENTS {
        let caller = callers[number as usize % callers.len()];
        rig.query(caller, "READ x");
        rig.serve(u64::from(number));
        rig.replies.clear();
        rig.others.clear();
        rig.advance(5);
    }
    println!("{:?} a statement", started.elapsed() / STATEMENTS);
}
