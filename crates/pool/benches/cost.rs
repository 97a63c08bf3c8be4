//! Measures the time that the pool's decisions for one statement take. Run with `cargo bench -p
//! lycheedoor-pool`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use support::PoolHarness;

/// Number of statements in the measurement.
const STATEMENT_COUNT: u32 = 20_000;

/// Number of sessions, which send statements in turn.
const SESSION_COUNT: usize = 40;

fn main() {
    let mut harness = PoolHarness::with_peers(&["vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7"]);
    let callers: Vec<_> = (0..SESSION_COUNT)
        .map(|_| harness.open_session("primary-db"))
        .collect();
    let started = Instant::now();
    for (number, caller) in (0..STATEMENT_COUNT).zip(callers.iter().cycle()) {
        harness.query(*caller, "READ x");
        harness.answer_all_commands(u64::from(number));
        harness.replies.clear();
        harness.other_actions.clear();
        harness.advance(5);
    }
    println!("{:?} a statement", started.elapsed() / STATEMENT_COUNT);
}
