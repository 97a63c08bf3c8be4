//! Joining, leaving, removal of failed members, and slot assignment.

mod support;

use lycheedoor_core::membership::Fence;
use lycheedoor_core::membership::FenceAnswer;
use lycheedoor_core::membership::Membership;
use lycheedoor_core::membership::MembershipAction;
use lycheedoor_core::membership::MembershipEvent;
use lycheedoor_core::types::MonoTime;
use support::Fault;
use support::Simulation;
use support::for_each_seed;
use support::ms;

fn members(simulation: &Simulation) -> usize {
    simulation.platform.fence.roster.members.len()
}

fn slots_held(simulation: &Simulation) -> Vec<usize> {
    let members = &simulation.platform.fence.roster.members;
    members.iter().map(|member| member.slots.len()).collect()
}

/// Guards against VMs that never join after a conflicting update, and against slots that stay free.
#[test]
fn eight_vms_join_and_share_all_slots() {
    let mut simulation = Simulation::new(1, 8, 10_000);
    simulation.check_slots = true;
    simulation.run_until(ms(1_500));
    assert_eq!((members(&simulation), simulation.acting_vm_count()), (8, 8));
    assert_eq!(slots_held(&simulation), vec![1; 8]);
    assert!(simulation.platform.fence.roster.previous.is_none());
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against a VM that continues to use a slot because the answer to its update was lost and
/// it does not know that the update moved the slot to another member.
#[test]
fn slots_are_transferred_safely_when_answers_are_lost() {
    let runs = for_each_seed(100, |seed| {
        let mut simulation = Simulation::new(seed, 5, 10_000);
        simulation.check_slots = true;
        simulation.platform.lost_answers_per_mille = 300;
        simulation.run_until(ms(3_000));
        simulation.heal();
        simulation.run_until(ms(4_000));
        (
            std::mem::take(&mut simulation.violations),
            simulation.acting_vm_count(),
        )
    });
    for (seed, run) in runs.iter().enumerate() {
        assert_eq!(*run, (Vec::new(), 5), "seed {seed}");
    }
}

/// Guards against a planned stop that has to wait for a lease to expire, and against two VMs using
/// a slot at the same time.
#[test]
fn rolling_replacement_transfers_slots() {
    let mut simulation = Simulation::new(2, 4, 10_000);
    simulation.check_slots = true;
    simulation.run_until(ms(1_000));
    for vm in 0..4 {
        simulation.schedule_fault(simulation.now, Fault::Leave { vm });
        simulation.run_until(simulation.now + ms(300));
        let left = |(_, action): &(u64, MembershipAction)| *action == MembershipAction::Left;
        assert!(
            simulation.vms[vm].membership_log.iter().any(left),
            "vm {vm} has not left the roster"
        );
        assert_eq!(members(&simulation), 3);
        assert_eq!(slots_held(&simulation).iter().sum::<usize>(), 8);
        simulation.schedule_fault(
            simulation.now,
            Fault::RestartVm {
                vm,
                after_us: ms(10),
            },
        );
        simulation.run_until(simulation.now + ms(500));
        assert_eq!((members(&simulation), simulation.acting_vm_count()), (4, 4));
    }
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against the permanent loss of a failed member's slots, and against reassigning them while
/// that member's lease could still be valid.
#[test]
fn failed_member_is_removed_by_a_majority() {
    let mut simulation = Simulation::new(3, 5, 10_000);
    simulation.check_slots = true;
    simulation.run_until(ms(1_000));
    simulation.schedule_fault(simulation.now, Fault::KillVm { vm: 3 });
    simulation.run_until(simulation.now + ms(4_000));
    assert_eq!((members(&simulation), simulation.acting_vm_count()), (4, 4));
    assert_eq!(slots_held(&simulation).iter().sum::<usize>(), 8);
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against removing a member that only one VM gets no answer from.
#[test]
fn member_reachable_by_a_majority_stays() {
    let mut simulation = Simulation::new(4, 5, 10_000);
    simulation.run_until(ms(1_000));
    for from in 1..5 {
        simulation.schedule_fault(
            simulation.now,
            Fault::Cut {
                from,
                to: 0,
                on: true,
            },
        );
    }
    simulation.run_until(simulation.now + ms(5_000));
    assert!((1..5).all(|vm| simulation.may_act(vm)));
    let kept = simulation.platform.fence.roster.members.iter();
    assert!(kept.filter(|member| member.vm.as_str() != "vm-0").count() == 4);
}

/// Guards against two VMs using a slot when the removed member is paused, or disconnected from its
/// peers but not from the platform, and the platform fails in the middle of the removal.
#[test]
fn removal_is_safe_when_the_platform_fails_in_the_middle() {
    let runs = for_each_seed(100, |seed| {
        let mut simulation = Simulation::new(seed, 5, 10_000);
        simulation.check_slots = true;
        simulation.run_until(ms(1_000));
        simulation.links.loss_per_mille = simulation.random.between(0, 100);
        let vm = simulation.random.index(5);
        if simulation.random.chance(500) {
            let for_us = ms(simulation.random.between(1_500, 3_000));
            simulation.schedule_fault(ms(1_000), Fault::PauseVm { vm, for_us });
        }
        for other in 0..5 {
            for (from, to) in [(vm, other), (other, vm)] {
                simulation.schedule_fault(ms(1_000), Fault::Cut { from, to, on: true });
                simulation.schedule_fault(
                    ms(3_700),
                    Fault::Cut {
                        from,
                        to,
                        on: false,
                    },
                );
            }
        }
        let outage_start = ms(simulation.random.between(2_400, 3_500));
        simulation.schedule_fault(outage_start, Fault::PlatformDown(true));
        simulation.schedule_fault(outage_start + ms(700), Fault::PlatformDown(false));
        simulation.run_until(ms(4_400));
        simulation.heal();
        simulation.run_until(ms(9_000));
        let state = (
            simulation.acting_vm_count(),
            slots_held(&simulation).iter().sum::<usize>(),
        );
        (std::mem::take(&mut simulation.violations), state)
    });
    for (seed, (violations, state)) in runs.iter().enumerate() {
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        assert_eq!(*state, (5, 8), "seed {seed}");
    }
}

/// Guards against a cell that does not recover after all its VMs have restarted at once.
#[test]
fn cell_recovers_after_all_vms_have_restarted() {
    let mut simulation = Simulation::new(5, 5, 10_000);
    simulation.run_until(ms(1_000));
    for vm in 0..5 {
        let after_us = ms(10 + 7 * vm as u64);
        simulation.schedule_fault(simulation.now, Fault::RestartVm { vm, after_us });
    }
    simulation.run_until(simulation.now + ms(4_000));
    assert_eq!((members(&simulation), simulation.acting_vm_count()), (5, 5));
    assert!(simulation.platform.fence.roster.previous.is_none());
}

/// Guards against going back to an older fence when a delayed answer of the platform arrives after
/// a newer one.
#[test]
fn delayed_answer_with_an_older_fence_is_ignored() {
    let mut simulation = Simulation::new(6, 3, 0);
    simulation.run_until(ms(1_000));
    let older = simulation.platform.fence.clone();
    simulation.schedule_fault(simulation.now, Fault::Leave { vm: 2 });
    simulation.run_until(simulation.now + ms(500));
    let vm = &mut simulation.vms[0].membership;
    let version = vm.fence().unwrap().version;
    assert!(version > older.version);
    let lease_until = vm.lease_until();
    let mut actions = Vec::new();
    let now = lease_until.unwrap() - std::time::Duration::from_millis(50);
    for call in 0..100 {
        let answer = FenceAnswer::Object(older.clone());
        vm.handle(
            now,
            MembershipEvent::PlatformAnswered { call, answer },
            &mut actions,
        );
    }
    assert_eq!(vm.fence().unwrap().version, version);
    assert_eq!(vm.lease_until(), lease_until);
}

/// Guards against a second join after the answer to the first join was lost.
#[test]
fn own_write_is_recognised_after_a_lost_answer() {
    let template = Simulation::new(7, 1, 0);
    let me = lycheedoor_core::membership::RosterMember {
        vm: "vm-0".into(),
        incarnation: lycheedoor_core::types::Incarnation(1),
        address: ([10, 0, 0, 0], 7_000).into(),
        data_centre: "dc-a".into(),
        slots: Vec::new(),
    };
    let mut vm = Membership::new(me, template.settings.clone(), 7);
    let mut actions = Vec::new();
    let at = MonoTime::from_millis;
    vm.handle(at(1_000), MembershipEvent::DeadlineReached, &mut actions);
    let empty = FenceAnswer::Object(Fence::default().into());
    vm.handle(at(1_001), answer_to(&actions, empty), &mut actions);
    let Some(MembershipAction::PutFence { fence, call, .. }) = actions.last().cloned() else {
        panic!("no update that joins the roster: {actions:?}");
    };
    let lost = MembershipEvent::PlatformAnswered {
        call,
        answer: FenceAnswer::Unreachable,
    };
    vm.handle(at(1_010), lost, &mut actions);
    vm.handle(at(1_040), MembershipEvent::DeadlineReached, &mut actions);
    assert_eq!(
        puts(&actions),
        1,
        "an update was sent before the outcome of the first was known"
    );
    let written = Fence {
        version: 9,
        ..Fence::clone(&fence)
    };
    vm.handle(
        at(1_041),
        answer_to(&actions, FenceAnswer::Object(written.into())),
        &mut actions,
    );
    assert!(vm.may_act(at(1_041)));
    assert!(actions.iter().all(|action| match action {
        MembershipAction::PutFence { fence, .. } => fence.roster.previous.is_none(),
        _ => true,
    }));
}

fn puts(actions: &[MembershipAction]) -> usize {
    let is_put = |action: &&MembershipAction| matches!(action, MembershipAction::PutFence { .. });
    actions.iter().filter(is_put).count()
}

fn answer_to(actions: &[MembershipAction], answer: FenceAnswer) -> MembershipEvent {
    let call = actions.iter().rev().find_map(|action| match action {
        MembershipAction::ReadFence { call, .. } => Some(*call),
        _ => None,
    });
    MembershipEvent::PlatformAnswered {
        call: call.unwrap_or_default(),
        answer,
    }
}
