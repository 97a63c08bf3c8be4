//! A discrete-event simulation, in virtual time, of the membership and failover roles of several
//! VMs. It injects clock drift, message loss, delay and duplicates, one-way link cuts, outages and
//! lost answers of the platform, and pauses, restarts and crashes of VMs and members. Each run is
//! determined by its seed. Times are in microseconds.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only a part of the simulation"
)]
#![allow(
    clippy::unwrap_used,
    reason = "test helpers fail the test by panicking"
)]

mod faults;
mod group;
mod members;
mod platform;
mod random;
mod route;
mod simulation;
mod vm;

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

pub(crate) use faults::Fault;
pub(crate) use members::FakeMember;
pub(crate) use members::member_id;
pub(crate) use members::member_index;
pub(crate) use platform::Platform;
pub(crate) use random::Random;
pub(crate) use simulation::Links;
pub(crate) use simulation::Simulation;
pub(crate) use simulation::ms;
pub(crate) use vm::SimEvent;
pub(crate) use vm::SimVm;

/// Calls `run` for each seed below `seeds`, on half of the processors, and returns the results in
/// the order of the seeds.
pub(crate) fn for_each_seed<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    let next = AtomicU64::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds {
                        break;
                    }
                    let result = run(seed);
                    results.lock().unwrap().push((seed, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap();
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}
