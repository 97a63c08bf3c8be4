//! Measures for the targets of docs/design.md, with fixed seeds in virtual time.

use crate::fleet::Fleet;
use crate::fleet::Shape;
use crate::sample;
use crate::sample::Size;

/// The number of VMs of a site.
const VM_COUNT: usize = 8;
const LOSS_PER_MILLE: u64 = 20;
const WARM_UP_MS: u64 = 3_000;
/// The interval at which the VMs are checked, which is the resolution of the measure.
const RESOLUTION_MS: u64 = 10;
const TIMEOUT_MS: u64 = 10_000;

/// Returns the delays, in milliseconds and in ascending order, after which a new configuration was
/// in force on all VMs that were up. One VM is killed when the configuration is published, each in
/// turn, so relays are killed too. Messages between VMs are lost at random.
pub fn config_delays_ms(seeds: u64) -> Vec<u64> {
    let runs = (0..seeds).flat_map(|seed| (0..VM_COUNT).map(move |killed| (seed, killed)));
    let mut delays: Vec<u64> = runs
        .map(|(seed, killed)| config_delay_ms(seed, killed))
        .collect();
    delays.sort_unstable();
    delays
}

fn config_delay_ms(seed: u64, killed: usize) -> u64 {
    let size = Size::new(3, 8);
    let mut fleet = Fleet::new(Shape {
        cells: 1,
        vms_in_cell: VM_COUNT,
        size,
    });
    fleet.set_message_loss(seed, LOSS_PER_MILLE);
    fleet.run_ms(WARM_UP_MS + seed * 37 % 1_000);
    fleet.kill(killed);
    fleet.publish(&sample::config(2, &size));
    let mut elapsed = 0;
    while fleet.serving(2) < VM_COUNT - 1 && elapsed < TIMEOUT_MS {
        fleet.run_ms(RESOLUTION_MS);
        elapsed += RESOLUTION_MS;
    }
    elapsed
}

/// Returns a quantile of sorted values: the smallest value that at least `per_mille` thousandths of
/// them do not exceed. Returns `None` if there are no values.
pub fn quantile(sorted: &[u64], per_mille: usize) -> Option<u64> {
    let rank = (sorted.len() * per_mille).div_ceil(1_000).max(1);
    sorted.get(rank - 1).copied()
}
