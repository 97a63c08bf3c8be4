//! Measures the processor time of the decisions for one statement: `cargo bench -p
//! lycheedoor-pool`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use support::Rig;

/// Statements in one measurement.
const STATEMENTS: u32 = 20_000;

/// Sessions that take turns.
const SESSIONS: usize = 40;

fn main() {
    let mut rig = Rig::with_peers(&["vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7"]);
    let callers: Vec<_> = (0..SESSIONS).map(|_| rig.session("primary-db")).collect();
    let started = Instant::now();
    for (number, caller) in (0..STATEMENTS).zip(callers.iter().cycle()) {
        rig.query(*caller, "READ x");
        rig.serve(u64::from(number));
        rig.replies.clear();
        rig.others.clear();
        rig.advance(5);
    }
    println!("{:?} a statement", started.elapsed() / STATEMENTS);
}
