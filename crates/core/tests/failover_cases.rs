//! Failover in single scenarios, each with one kind of fault.

mod support;

use lycheedoor_core::failover::FailoverAction;
use lycheedoor_core::failover::IntentCause;
use lycheedoor_core::membership::RosterMember;
use support::Fault;
use support::Simulation;
use support::member_id;
use support::ms;

fn start_simulation(seed: u64, vms: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, vms, 10_000);
    simulation.create_roster();
    simulation.start_members(3);
    simulation.start_writes(ms(10));
    simulation.run_until(ms(600));
    assert!(
        !simulation.acknowledged.is_empty(),
        "no write was acknowledged before the fault"
    );
    simulation
}

fn current_term(simulation: &Simulation) -> u64 {
    simulation
        .platform
        .fence
        .groups
        .values()
        .next()
        .map_or(0, |state| state.term.0)
}

fn count_actions(simulation: &Simulation, matches: impl Fn(&FailoverAction) -> bool) -> usize {
    let actions = simulation.vms.iter().flat_map(|vm| &vm.failover_log);
    actions.filter(|(_, action)| matches(action)).count()
}

fn acknowledges_writes(simulation: &mut Simulation) -> bool {
    let before = simulation.acknowledged.len();
    simulation.run_until(simulation.now + ms(200));
    simulation.acknowledged.len() > before
}

/// Guards against a member that stays without replication because it was fenced for a later term
/// and no promotion followed.
#[test]
fn fenced_member_leads_to_a_new_term() {
    for member in 0..3 {
        let mut simulation = start_simulation(1, 5);
        simulation.schedule_fault(simulation.now, Fault::FenceMember { member, term: 2 });
        simulation.run_until(simulation.now + ms(2_000));
        assert_eq!(current_term(&simulation), 2);
        assert!(acknowledges_writes(&mut simulation), "member {member}");
        let opened_for_fenced_member = |action: &FailoverAction| {
            matches!(
                action,
                FailoverAction::IntentOpened {
                    cause: IntentCause::MemberFenced { .. },
                    ..
                }
            )
        };
        assert!(count_actions(&simulation, opened_for_fenced_member) > 0);
        let primary = &simulation
            .platform
            .fence
            .groups
            .values()
            .next()
            .unwrap()
            .primary;
        assert!(
            member == 0 || *primary == member_id(0),
            "a healthy primary was replaced"
        );
        assert!(simulation.members.iter().all(|member| member.term.0 == 2));
        assert_eq!(simulation.violations, Vec::<String>::new());
    }
}

/// Guards against fencing that cannot be completed. While a majority of the members is down, the
/// intent must stay open without fencing, and a primary that comes back must cancel it.
#[test]
fn primary_that_returns_before_a_member_majority_keeps_its_term() {
    let mut simulation = start_simulation(2, 5);
    for member in 0..2 {
        simulation.schedule_fault(simulation.now, Fault::KillMember { member });
    }
    simulation.run_until(simulation.now + ms(3_000));
    assert!(!simulation.platform.fence.intents.is_empty());
    simulation.schedule_fault(simulation.now, Fault::ReviveMember { member: 0 });
    simulation.schedule_fault(simulation.now + ms(300), Fault::ReviveMember { member: 1 });
    simulation.run_until(simulation.now + ms(600));
    assert_eq!(
        (
            current_term(&simulation),
            simulation.platform.fence.intents.len()
        ),
        (1, 0)
    );
    assert!(acknowledges_writes(&mut simulation));
    let fencing = |action: &FailoverAction| matches!(action, FailoverAction::FencingStarted { .. });
    assert_eq!(count_actions(&simulation, fencing), 0);
}

/// Guards against the promotion of a replica that lags behind another one, and against a replaced
/// primary that comes back and accepts writes.
#[test]
fn most_advanced_member_is_promoted_and_the_old_primary_stays_fenced() {
    let mut simulation = start_simulation(3, 5);
    simulation.schedule_fault(
        simulation.now,
        Fault::Cut {
            from: 5,
            to: 7,
            on: true,
        },
    );
    simulation.run_until(simulation.now + ms(500));
    simulation.schedule_fault(simulation.now, Fault::KillMember { member: 0 });
    simulation.run_until(simulation.now + ms(1_500));
    let primary = &simulation
        .platform
        .fence
        .groups
        .values()
        .next()
        .unwrap()
        .primary;
    assert_eq!((current_term(&simulation), primary), (2, &member_id(1)));
    simulation.schedule_fault(simulation.now, Fault::ReviveMember { member: 0 });
    simulation.run_until(simulation.now + ms(500));
    assert_eq!(simulation.members[0].term.0, 2);
    assert!(!simulation.members[0].write(lycheedoor_core::types::Term(1), 999_999));
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against a promotion that is not recorded: while the platform is down, it must wait.
#[test]
fn no_promotion_while_the_platform_is_down() {
    let mut simulation = start_simulation(4, 5);
    simulation.platform.down = true;
    simulation.schedule_fault(simulation.now, Fault::KillMember { member: 0 });
    simulation.run_until(simulation.now + ms(3_000));
    assert!(
        simulation
            .members
            .iter()
            .all(|member| member.promoted_at.is_none())
    );
    assert!(simulation.members.iter().all(|member| member.term.0 == 1));
    simulation.platform.down = false;
    simulation.run_until(simulation.now + ms(1_500));
    assert_eq!(current_term(&simulation), 2);
    assert!(acknowledges_writes(&mut simulation));
}

/// Guards against a group without a primary for as long as a partition lasts. The primary is cut
/// off from its replicas and from all VMs but two, which still get answers. These two cancel
/// intents on the platform if they are cut off as well, or else report the answers to the others.
#[test]
fn primary_that_only_a_minority_reaches_is_replaced() {
    for (seed, vms_cut) in (0..20).flat_map(|seed| [(seed, true), (seed, false)]) {
        let mut simulation = start_simulation(seed, 5);
        let is_on_primary_side = |node: usize| node < 2 || node == 5;
        let cut = |from: usize, to: usize| {
            is_on_primary_side(from) != is_on_primary_side(to) && (vms_cut || from >= 5 || to >= 5)
        };
        for from in 0..8 {
            for to in (0..8).filter(|to| cut(from, *to)) {
                simulation.schedule_fault(simulation.now, Fault::Cut { from, to, on: true });
            }
        }
        simulation.run_until(simulation.now + ms(2_000));
        assert_eq!(
            current_term(&simulation),
            2,
            "seed {seed}, VMs cut off: {vms_cut}"
        );
        assert!(
            acknowledges_writes(&mut simulation),
            "seed {seed}, VMs cut off: {vms_cut}"
        );
        assert_eq!(simulation.violations, Vec::<String>::new());
    }
}

/// Guards against an intent, which stops acknowledgements, when only a minority of the observers
/// suspects the primary.
#[test]
fn minority_of_observers_opens_no_intent() {
    let mut simulation = start_simulation(5, 5);
    for vm in 0..2 {
        simulation.schedule_fault(
            simulation.now,
            Fault::Cut {
                from: 5,
                to: vm,
                on: true,
            },
        );
    }
    simulation.run_until(simulation.now + ms(3_000));
    let suspected = |action: &FailoverAction| matches!(action, FailoverAction::Suspected { .. });
    let opened = |action: &FailoverAction| matches!(action, FailoverAction::IntentOpened { .. });
    assert!(count_actions(&simulation, suspected) >= 2);
    assert_eq!(count_actions(&simulation, opened), 0);
}

/// Guards against an observer that mistakes its own pause for a silent primary.
#[test]
fn paused_observer_restarts_its_observation() {
    let mut simulation = start_simulation(6, 3);
    for vm in 0..3 {
        simulation.schedule_fault(
            simulation.now,
            Fault::PauseVm {
                vm,
                for_us: ms(900),
            },
        );
    }
    simulation.run_until(simulation.now + ms(1_500));
    let suspected = |action: &FailoverAction| matches!(action, FailoverAction::Suspected { .. });
    assert_eq!(count_actions(&simulation, suspected), 0);
    assert!(acknowledges_writes(&mut simulation));
}

/// Guards against observers that are all in one data centre and are lost with it.
#[test]
fn observers_are_spread_over_data_centres() {
    let simulation = Simulation::new(7, 9, 0);
    let mut members: Vec<RosterMember> = simulation.vms.iter().map(|vm| vm.me.clone()).collect();
    for (index, member) in members.iter_mut().enumerate() {
        member.data_centre = if index < 7 {
            "dc-a".into()
        } else {
            "dc-b".into()
        };
    }
    let roster = lycheedoor_core::membership::Roster {
        members,
        ..Default::default()
    };
    for group in ["a", "b", "c", "d"] {
        let observers = lycheedoor_core::failover::observers(&group.into(), &roster, 5);
        let in_second_data_centre = observers
            .iter()
            .filter(|vm| ["vm-7", "vm-8"].contains(&vm.as_str()));
        assert_eq!((observers.len(), in_second_data_centre.count()), (5, 2));
    }
}
