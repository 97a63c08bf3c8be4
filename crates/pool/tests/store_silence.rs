//! Changes of the store reach all VMs in time after a silence in which the responses to waiting calls
//! were lost.

mod store_fleet;

use std::time::Duration;

use store_fleet::StoreFleet;

/// The shortest time in which a configuration has to be in force, on the smallest deployment.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// The shortest time without disruption after which bounds hold again.
const CONTACT_TIME: Duration = Duration::from_secs(4);

const SILENCE: Duration = Duration::from_millis(800);

fn started_fleet(vms: usize) -> StoreFleet {
    let mut fleet = StoreFleet::start(vms, 12);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.behind(1), [0; 0]);
    fleet
}

/// Lets the store be silent towards some VMs.
fn be_silent(fleet: &mut StoreFleet, vms: &[usize]) {
    fleet.set_store_silent(vms.iter().copied(), true);
    fleet.run(SILENCE);
    fleet.set_store_silent(vms.iter().copied(), false);
}

fn expect_changes_in_time(fleet: &mut StoreFleet, version: u64) {
    fleet.set_version(version);
    fleet.set_member(2, true);
    fleet.run(CONFIGURATION_BOUND);
    assert_eq!(fleet.behind(version), [0; 0], "configuration {version}");
    assert_eq!(fleet.behind_on_member(2), [0; 0]);
    assert_eq!(fleet.violations, [""; 0]);
}

/// Guards against a watch that is sent during the silence and never answered: changes in quick succession
/// delay the next watch until then.
#[test]
fn watch_that_is_sent_during_a_silence_hides_no_change() {
    for (vms, delay_step_ms) in [(1, 50), (2, 100), (30, 250)] {
        for delay_ms in (0..500).step_by(delay_step_ms) {
            for changes_members in [false, true] {
                let mut fleet = started_fleet(vms);
                let all: Vec<usize> = (0..fleet.len()).collect();
                for number in 0..10 {
                    fleet.run(Duration::from_millis(250));
                    match changes_members {
                        true => fleet.set_member(5, number % 2 == 0),
                        false => fleet.set_version(2 + number),
                    }
                }
                fleet.run(Duration::from_millis(delay_ms));
                be_silent(&mut fleet, &all);
                fleet.run(CONTACT_TIME);
                expect_changes_in_time(&mut fleet, 20);
            }
        }
    }
}

/// Guards against a change whose response is lost, so that it is not known until the watch is given up.
#[test]
fn change_during_a_silence_is_read_after_it() {
    for vms in [1, 2, 30] {
        let mut fleet = started_fleet(vms);
        let all: Vec<usize> = (0..fleet.len()).collect();
        fleet.set_store_silent(all.iter().copied(), true);
        fleet.set_version(2);
        fleet.set_member(2, true);
        fleet.run(SILENCE);
        fleet.set_store_silent(all, false);
        fleet.run(CONTACT_TIME);
        assert_eq!(fleet.behind(2), [0; 0], "{vms} VMs");
        assert_eq!(fleet.behind_on_member(2), [0; 0], "{vms} VMs");
    }
}

/// Guards against a VM that follows a relay, reads a change by itself because it is too large to be
/// passed on, and waits for the response that is lost.
#[test]
fn large_change_whose_response_is_lost_is_read_again() {
    let mut fleet = started_fleet(30);
    let relays = fleet.relays();
    let followers: Vec<usize> = (0..fleet.len()).filter(|vm| !relays.contains(vm)).collect();
    fleet.set_store_silent(followers.iter().copied(), true);
    fleet.set_large_version(2);
    fleet.run(SILENCE);
    fleet.set_store_silent(followers, false);
    fleet.run(CONTACT_TIME);
    assert_eq!(fleet.behind(2), [0; 0]);
}

/// Guards against a silence towards the relays alone, whose followers would share what they miss.
#[test]
fn change_that_relays_miss_reaches_their_followers() {
    let mut fleet = started_fleet(30);
    let relays = fleet.relays();
    fleet.set_store_silent(relays.iter().copied(), true);
    fleet.set_version(2);
    fleet.run(Duration::from_millis(300));
    fleet.set_store_silent(relays, false);
    fleet.run(CONTACT_TIME);
    assert_eq!(fleet.behind(2), [0; 0]);
}
