//! Compares the measures with their targets.

use lycheedoor_bench::measures;

/// Target of docs/design.md: a configuration is in force on all VMs within 3 s at p99.9 with 8 VMs,
/// 2% loss and one relay down.
const CONFIG_LIMIT_MS: u64 = 3_000;

/// Guards against a configuration that is delayed by a lost push or by a relay that has ended.
#[test]
fn configuration_is_in_force_everywhere_in_time() {
    // These runs are too few for p99.9, so all of them must be in time; the command does a
    // thousand.
    let delays = measures::config_delays_ms(4);
    let longest = delays.last().copied().unwrap();
    assert!(longest > 0 && longest <= CONFIG_LIMIT_MS, "{longest} ms");
}
