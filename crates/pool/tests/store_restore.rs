//! A fleet whose store comes back from an older copy: everything that is written afterwards reaches all
//! VMs in time, and no VM goes back.

mod store_fleet;

use std::time::Duration;

use store_fleet::StoreCopy;
use store_fleet::StoreFleet;

/// The shortest time in which a configuration has to be in force, on the smallest deployment.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// Time for the records of VMs to be written again, also of those that cannot write themselves.
const RECORD_BOUND: Duration = Duration::from_secs(8);

const VMS: usize = 30;

/// Starts a fleet whose VMs know version 2, and returns a copy of the store with version 1. So much is
/// written after the copy that a restored store stays behind it for the rest of the test.
fn fleet_and_older_copy() -> (StoreFleet, StoreCopy) {
    let mut fleet = StoreFleet::start(VMS, 12);
    fleet.run(Duration::from_secs(5));
    let copy = fleet.copy_store();
    for _ in 0..60 {
        fleet.set_member(5, false);
    }
    fleet.set_version(2);
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.behind(2), [0; 0]);
    (fleet, copy)
}

fn expect_next_configuration(fleet: &mut StoreFleet, version: u64) {
    fleet.set_version(version);
    fleet.set_member(2, true);
    fleet.run(CONFIGURATION_BOUND);
    assert_eq!(fleet.behind(version), [0; 0], "configuration {version}");
    assert_eq!(fleet.behind_on_member(2), [0; 0], "configuration {version}");
    assert_eq!(fleet.violations, [""; 0]);
}

/// Plays the restore that was measured with real processes. Guards against VMs that wait for a revision which the store has
/// lost, and keep a withdrawn key in use meanwhile.
#[test]
fn next_configuration_is_in_force_after_a_restore() {
    let (mut fleet, copy) = fleet_and_older_copy();
    fleet.restore_store(&copy);
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.behind(2), [0; 0], "a VM went back to the copy");
    fleet.set_version(2);
    expect_next_configuration(&mut fleet, 3);
}

/// Guards against a new era that is mistaken for the one before, and against lists of both that are
/// mixed.
#[test]
fn next_configuration_is_in_force_after_two_restores_within_five_seconds() {
    let (mut fleet, copy) = fleet_and_older_copy();
    for pause_ms in [3, 40, 900, 4_000] {
        fleet.restore_store(&copy);
        fleet.run(Duration::from_millis(pause_ms));
    }
    expect_next_configuration(&mut fleet, 3);
}

/// Guards against a relay without the store whose news of the former era hold its followers back, and
/// which itself stays behind when it is back.
#[test]
fn relay_that_learns_of_the_restore_late_delays_no_change() {
    let (mut fleet, copy) = fleet_and_older_copy();
    for relay in fleet.relays() {
        fleet.cut_from_store(relay, true);
        fleet.restore_store(&copy);
        fleet.run(Duration::from_millis(300));
        fleet.cut_from_store(relay, false);
        fleet.run(Duration::from_secs(10));
    }
    expect_next_configuration(&mut fleet, 3);
}

/// Guards against changes of the new era that are lost on the way with the news of the era itself, and
/// against old news that overtake them.
#[test]
fn lost_messages_between_vms_delay_no_change_after_a_restore() {
    let (mut fleet, copy) = fleet_and_older_copy();
    fleet.lose_peer_messages(20);
    for version in 3..9 {
        fleet.restore_store(&copy);
        expect_next_configuration(&mut fleet, version);
    }
}

/// Guards against a VM that cannot reach the store and stays in the former era, and against its record,
/// with its share of the rates, that nobody writes again.
#[test]
fn vm_that_is_cut_off_from_the_store_learns_of_the_restore_from_its_relay() {
    let (mut fleet, _) = fleet_and_older_copy();
    let copy = fleet.copy_store_without_records();
    let relays = fleet.relays();
    let cut = (0..VMS).find(|vm| !relays.contains(vm)).unwrap();
    fleet.cut_from_store(cut, true);
    fleet.restore_store(&copy);
    fleet.run(Duration::from_millis(500));
    fleet.set_version(3);
    fleet.run(CONFIGURATION_BOUND);
    assert_eq!(fleet.version(cut), 3);
    fleet.run(RECORD_BOUND);
    assert_eq!(fleet.without_record(), [0; 0]);
    assert_eq!(fleet.violations, [""; 0]);
}

/// Guards against rates that are shared by the few VMs whose records the copy has.
#[test]
fn records_that_the_copy_lacks_are_written_again() {
    let (mut fleet, _) = fleet_and_older_copy();
    let copy = fleet.copy_store_without_records();
    fleet.restore_store(&copy);
    assert_eq!(fleet.without_record().len(), VMS);
    fleet.run(CONFIGURATION_BOUND);
    assert_eq!(fleet.without_record(), [0; 0]);
}

/// Guards against a restore after which each VM reads everything from the store by itself, beyond the
/// calls that the store accepts.
#[test]
fn restore_costs_fewer_calls_than_one_list_of_each_kind_by_each_vm() {
    for vms in [95, 300] {
        let mut fleet = StoreFleet::start(vms, 12);
        fleet.run(Duration::from_secs(5));
        let copy = fleet.copy_store();
        fleet.set_version(2);
        fleet.run(Duration::from_secs(3));
        let before = fleet.calls();
        fleet.restore_store(&copy);
        fleet.run(Duration::from_secs(3));
        let calls = fleet.calls() - before;
        println!("{calls} calls with {vms} VMs");
        assert!(calls < vms as u64 * 4, "{calls} calls with {vms} VMs");
    }
}
