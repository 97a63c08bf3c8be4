//! Sessions in the timeline: one session number, and one order of records over all VMs that a
//! caller connects to.

#![allow(clippy::unwrap_used)]

mod vm_harness;

use std::time::Duration;

use lycheedoor_core::timeline::Entry;
use lycheedoor_core::timeline::Filter;
use lycheedoor_core::timeline::SessionId;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::timeline::merge;
use vm_harness::VmHarness;
use vm_harness::settings;

const WALL_US: u64 = 1_700_000_000_000_000;

/// Writes on a VM whose wall clock is ahead, then on another VM with the token from the first.
/// Returns the entries of the merged timeline that have the second VM's session number, and whether
/// both VMs recorded the same number.
fn write_on_two_vms(lead: Duration) -> (Vec<Entry>, bool) {
    let lead_us = u64::try_from(lead.as_micros()).unwrap();
    let mut first = VmHarness::start(settings("vm-1", WALL_US + lead_us));
    let mut second = VmHarness::start(settings("vm-2", WALL_US));
    first.log_in(1, "issue", None);
    first.request(1);
    first.advance(Duration::from_millis(500));
    let (_, answered, token) = first.outcomes.pop().unwrap();
    assert!(answered && token.is_some());
    second.log_in(1, "issue", token);
    second.request(1);
    second.advance(Duration::from_millis(500));
    assert!(second.outcomes.pop().unwrap().1);
    let export = |harness: &VmHarness| harness.vm.export_timeline(harness.now, 0, usize::MAX);
    let entries = merge(&[export(&first), export(&second)]);
    let session = |vm: &str| -> Option<SessionId> {
        let mut records = entries
            .iter()
            .filter(|entry| entry.process().vm == vm.into());
        records.find_map(|entry| entry.record()?.subject.session)
    };
    let session_ids = (session("vm-1").unwrap(), session("vm-2").unwrap());
    let filter = Filter {
        session: Some(session_ids.1),
        ..Filter::default()
    };
    let found = filter.apply(&entries).cloned().collect();
    (found, session_ids.0 == session_ids.1)
}

/// Guards against a timeline that shows the session on the second VM before the first because the
/// clock of the first is ahead.
#[test]
fn session_filter_follows_a_caller_to_a_vm_whose_clock_is_30_s_behind() {
    let (found, same_number) = write_on_two_vms(Duration::from_secs(30));
    assert!(same_number);
    let vms: Vec<_> = found
        .iter()
        .map(|entry| entry.process().vm.as_str())
        .collect();
    let first_on_second = vms.iter().position(|vm| *vm == "vm-2").unwrap();
    assert!(
        first_on_second >= 2 && vms.len() - first_on_second >= 2,
        "{vms:?}"
    );
    assert!(
        vms[first_on_second..].iter().all(|vm| *vm == "vm-2"),
        "{vms:?}"
    );
}

/// Guards against one machine with a wrong date that advances the hybrid clocks of the others.
#[test]
fn token_from_a_clock_two_hours_ahead_does_not_move_the_clock() {
    let (found, same_number) = write_on_two_vms(Duration::from_secs(7_200));
    assert!(same_number);
    let on_second = found
        .iter()
        .filter(|entry| entry.process().vm == "vm-2".into());
    let latest = on_second.map(|entry| entry.time().physical).max().unwrap();
    assert!(latest < WallTime(WALL_US + 60_000_000), "{latest:?}");
}
