//! Members that fail, hang or are slow although their entries are good.

mod slots_fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_pool::PoolMessage;
use lycheedoor_pool::Report;
use slots_fleet::Behaviour;
use slots_fleet::GROUP;
use slots_fleet::Outcomes;
use slots_fleet::SlotsFleet;

const VMS: usize = 30;

/// How many of the VMs are homes of workspaces, and send statements to members.
const HOMES: usize = 7;

/// What two of three members serve in time.
const LOAD_PER_S: u32 = 400;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn behaviour(fails_per_mille: u32, hangs_per_mille: u32, slower_percent: u64) -> Behaviour {
    Behaviour {
        fails_per_mille,
        hangs_per_mille,
        slower_percent,
    }
}

/// Plays load while a member behaves badly for 2.5 s; returns what callers got meanwhile, and the
/// fleet.
fn play_with(name: &'static str, how: Behaviour, is_adaptive: bool) -> (Outcomes, SlotsFleet) {
    let mut fleet = SlotsFleet::start(VMS, is_adaptive);
    fleet.behave(name, how);
    fleet.play(ms(2_500), LOAD_PER_S, 10);
    let outcomes = fleet.outcomes;
    fleet.behave(name, Behaviour::default());
    (outcomes, fleet)
}

/// Checks that callers hardly notice a replica that behaves badly, that the homes find it within
/// some hundred milliseconds, and that it is used again after it has recovered.
fn check_bad_replica(how: Behaviour) {
    let (outcomes, mut fleet) = play_with("m2", how, true);
    assert_eq!((outcomes.refused, outcomes.failed), (0, 0), "{outcomes:?}");
    assert!(outcomes.late <= outcomes.sent / 100, "{outcomes:?}");
    let end = MonoTime::from_millis(5_000) + ms(600);
    let left = fleet.reports.iter().filter(|(at, _, report)| {
        let is_m2 = |member: &MemberId| member.as_str() == "m2";
        *at <= end && matches!(report, Report::MemberLeftOut { member, .. } if is_m2(member))
    });
    let vms: BTreeSet<usize> = left.map(|(_, vm, _)| *vm).collect();
    assert!(vms.len() >= HOMES, "only {vms:?} have left the member");
    fleet.play(ms(4_000), LOAD_PER_S, 10);
    fleet.reset_counts();
    fleet.play(ms(1_000), LOAD_PER_S, 10);
    let served = |name| fleet.members[name].served;
    assert!(served("m2") * 2 >= served("m3"), "{}", served("m2"));
}

/// Guards against callers that wait for a replica which answers nothing (54 of 1,000 late before).
#[test]
fn hanging_replica_delays_hardly_any_callers() {
    check_bad_replica(behaviour(0, 1_000, 0));
}

/// Guards against callers that wait for the part of the answers that a replica never sends, while
/// it answers others (33 of 1,000 late before).
#[test]
fn replica_that_hangs_at_times_delays_hardly_any_callers() {
    check_bad_replica(behaviour(0, 400, 0));
}

/// Guards against reads that every VM sends in vain to a replica that fails them.
#[test]
fn replica_that_fails_statements_is_left_to_probes() {
    check_bad_replica(behaviour(300, 0, 0));
}

/// Guards against callers that wait for a replica that is 16 times slower than the others (17 of
/// 1,000 late before).
#[test]
fn slow_replica_delays_hardly_any_callers() {
    check_bad_replica(behaviour(0, 0, 1_500));
}

/// Guards against verdicts that end the use of a primary: it keeps what only it can run, so callers
/// get as much as without them, in and after the time in which it hangs.
#[test]
fn hanging_primary_keeps_what_only_it_can_run() {
    for hangs_per_mille in [400, 1_000] {
        let [before, after] = [false, true].map(|is_adaptive| {
            let how = behaviour(0, hangs_per_mille, 0);
            let (_, mut fleet) = play_with("m1", how, is_adaptive);
            fleet.play(ms(4_000), LOAD_PER_S, 10);
            fleet.outcomes
        });
        let not_served = |outcomes: Outcomes| outcomes.refused + outcomes.failed;
        assert!(
            not_served(after) <= not_served(before),
            "{before:?} {after:?}"
        );
        assert!(
            after.in_time + after.late >= before.in_time + before.late,
            "{before:?} {after:?}"
        );
    }
}

/// Guards against callers that pay for each turn of a replica that goes down and up.
#[test]
fn flapping_replica_is_left_to_probes() {
    let [before, after] = [false, true].map(|is_adaptive| {
        let mut fleet = SlotsFleet::start(VMS, is_adaptive);
        for turn in 0..6 {
            fleet.crash("m2");
            fleet.play(ms(300), LOAD_PER_S, 10);
            fleet.recover("m2", 2 + turn);
            fleet.play(ms(400), LOAD_PER_S, 10);
        }
        (fleet.members["m2"].served, fleet.outcomes)
    });
    assert!(after.0 < before.0, "{before:?} {after:?}");
    assert_eq!((after.1.refused, after.1.failed), (0, 0), "{after:?}");
    assert!(after.1.late <= before.1.late, "{before:?} {after:?}");
}

/// Guards against a member that stays left to probes, and is told of each second, because no reads
/// arrive that could be probes.
#[test]
fn member_without_reads_to_probe_with_is_used_again() {
    let (_, mut fleet) = play_with("m2", behaviour(0, 1_000, 0), true);
    fleet.play(ms(20_000), 0, 0);
    fleet.reset_counts();
    fleet.play(ms(2_000), 0, 0);
    assert_eq!(fleet.verdicts_sent, 0);
}

/// Guards against VMs that depend on verdicts of others: their own evidence has to suffice.
#[test]
fn hanging_replica_is_found_without_messages() {
    let mut fleet = SlotsFleet::start(VMS, true);
    fleet.loses_verdicts = true;
    fleet.behave("m2", behaviour(0, 1_000, 0));
    fleet.play(ms(2_500), LOAD_PER_S, 10);
    let outcomes = fleet.outcomes;
    assert_eq!((outcomes.refused, outcomes.failed), (0, 0), "{outcomes:?}");
    assert!(outcomes.late <= outcomes.sent / 100, "{outcomes:?}");
}

/// Guards against a member that is left although no other works. Which reads fail is random, so the
/// runs may differ by a few of 1,000.
#[test]
fn last_member_that_works_is_used() {
    let [before, after] = [false, true].map(|is_adaptive| {
        let mut fleet = SlotsFleet::start(VMS, is_adaptive);
        fleet.crash("m2");
        fleet.crash("m3");
        fleet.behave("m1", behaviour(400, 0, 0));
        fleet.play(ms(500), 100, 10);
        fleet.reset_counts();
        fleet.play(ms(10_000), 100, 10);
        fleet.outcomes
    });
    let served = |outcomes: Outcomes| outcomes.in_time + outcomes.late;
    assert!(
        served(after) * 100 >= served(before) * 98,
        "{before:?} {after:?}"
    );
}

/// Guards against a member that loses all load because one VM cannot reach it.
#[test]
fn member_out_of_reach_of_one_vm_is_used_by_the_others() {
    let mut fleet = SlotsFleet::start(VMS, true);
    fleet.cut.insert((3, "m2"));
    fleet.play(ms(3_000), LOAD_PER_S, 10);
    let others = fleet
        .reports
        .iter()
        .filter(|(_, vm, report)| *vm != 3 && matches!(report, Report::MemberLeftOut { .. }));
    assert_eq!(others.count(), 0);
    assert!(fleet.members["m2"].served * 10 >= fleet.members["m3"].served * 8);
    assert_eq!(fleet.outcomes.failed, 0, "{:?}", fleet.outcomes);
}

/// Guards against false verdicts of all other VMs about all members: each VM has to keep members to
/// work with, and to use all again when the verdicts lapse.
#[test]
fn false_verdicts_of_all_vms_leave_members_in_use() {
    let mut fleet = SlotsFleet::start(VMS, true);
    for _ in 0..20 {
        for to in 0..VMS {
            for from in (0..VMS).filter(|from| *from != to) {
                for member in ["m1", "m2", "m3"] {
                    let message = PoolMessage::MemberVerdict {
                        group: GroupId::from(GROUP),
                        member: MemberId::from(member),
                        is_bad: true,
                    };
                    fleet.deliver(from, to, message);
                }
            }
        }
        fleet.play(ms(100), LOAD_PER_S, 10);
    }
    let outcomes = fleet.outcomes;
    assert_eq!((outcomes.refused, outcomes.failed), (0, 0), "{outcomes:?}");
    assert!(outcomes.late <= outcomes.sent / 20, "{outcomes:?}");
    fleet.play(ms(4_000), LOAD_PER_S, 10);
    fleet.reset_counts();
    fleet.play(ms(1_000), LOAD_PER_S, 10);
    let served = |name| fleet.members[name].served;
    assert!(served("m2") > 0 && served("m3") > 0);
    let outcomes = fleet.outcomes;
    assert!(outcomes.late <= outcomes.sent / 100, "{outcomes:?}");
}
