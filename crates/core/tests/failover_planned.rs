//! Planned moves of the primary after the configuration takes its member out of service.

mod support;

use lycheedoor_core::failover::FailoverAction;
use lycheedoor_core::failover::IntentCause;
use lycheedoor_core::failover::observers;
use support::Fault;
use support::Simulation;
use support::for_each_seed;
use support::member_id;
use support::ms;

const SEED_COUNT: u64 = 400;

#[derive(Debug, Default)]
struct Run {
    gap_us: u64,
    unknown: u64,
    moved: bool,
    promotions: u64,
    pauses: usize,
    violations: Vec<String>,
}

fn start_simulation(seed: u64, vms: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, vms, 10_000);
    simulation.create_roster();
    simulation.create_group();
    simulation.start_members(3);
    simulation.start_writes(ms(2));
    let warm_up = ms(400) + simulation.random.between(0, ms(100));
    simulation.run_until(warm_up);
    simulation
}

fn take_out_of_service(simulation: &mut Simulation, members: &[usize]) {
    let members = members.to_vec();
    simulation.schedule_fault(simulation.now, Fault::Unavailable(members));
}

fn primary_in_service(simulation: &Simulation) -> bool {
    let state = simulation.platform.fence.groups.values().next();
    let mut out = simulation.unavailable.iter();
    state.is_some_and(|state| out.all(|member| state.primary != member_id(*member)))
}

/// Lets the writes in flight finish, and returns the results of a run, with gaps from `since` on.
fn finish_run(mut simulation: Simulation, since: u64) -> Run {
    simulation.writes_every_us = None;
    let end = simulation.now;
    simulation.run_until(end + ms(100));
    let mut times = vec![since];
    times.extend(simulation.acknowledged_at.iter().filter(|at| **at > since));
    times.push(end);
    let gaps = times.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    let actions = simulation.vms.iter().flat_map(|vm| &vm.failover_log);
    let pause = |action: &FailoverAction| {
        matches!(action, FailoverAction::PauseChanged { paused: true, .. })
    };
    Run {
        gap_us: gaps.max().unwrap_or(0),
        unknown: simulation.last_write - simulation.acknowledged.len() as u64,
        moved: primary_in_service(&simulation),
        promotions: simulation.promotions,
        pauses: actions.filter(|(_, action)| pause(action)).count(),
        violations: simulation.violations,
    }
}

/// Takes the primary out of service, applies `disturb`, and runs for `for_us` microseconds.
fn run(seed: u64, vms: usize, for_us: u64, disturb: impl Fn(&mut Simulation)) -> Run {
    let mut simulation = start_simulation(seed, vms);
    let since = simulation.now;
    take_out_of_service(&mut simulation, &[0]);
    disturb(&mut simulation);
    simulation.run_until(since + for_us);
    finish_run(simulation, since)
}

fn check_runs(name: &str, runs: &[Run], max_gap_us: u64) {
    let mut gaps: Vec<_> = runs.iter().map(|run| run.gap_us).collect();
    gaps.sort_unstable();
    let unknown: u64 = runs.iter().map(|run| run.unknown).sum();
    let (p50, max) = (gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
    let runs_count = runs.len();
    println!("{name}, {runs_count} runs: gap p50 {p50} us, max {max} us, {unknown} unknown");
    for (seed, run) in runs.iter().enumerate() {
        let passed = run.moved && run.violations.is_empty() && run.gap_us <= max_gap_us;
        assert!(passed, "{name}, seed {seed}: {run:?}");
    }
}

/// Guards the targets for a fleet without faults: a gap of at most 150 ms, and no write with an
/// unknown outcome.
#[test]
fn healthy_primary_moves_without_unknown_outcomes() {
    for vms in [3, 8] {
        let runs = for_each_seed(SEED_COUNT, |seed| run(seed, vms, ms(1_000), |_| {}));
        check_runs(&format!("healthy, {vms} VMs"), &runs, ms(150));
        let clean = |run: &Run| run.unknown == 0 && run.promotions == 1;
        assert!(runs.iter().all(clean), "{runs:?}");
    }
}

/// Guards against the promotion of a replica that has not received everything, and against an
/// intent that stops writers while such a replica is the only candidate.
#[test]
fn lagging_candidate_is_not_promoted_before_it_has_caught_up() {
    let runs = for_each_seed(SEED_COUNT / 4, |seed| {
        let mut simulation = start_simulation(seed, 3);
        let (from, to) = (3, 3 + 1);
        simulation.schedule_fault(simulation.now, Fault::Cut { from, to, on: true });
        simulation.run_until(simulation.now + ms(50));
        let since = simulation.now;
        take_out_of_service(&mut simulation, &[0, 2]);
        simulation.run_until(since + ms(4_000));
        assert_eq!(simulation.promotions, 0, "seed {seed}");
        assert!(simulation.platform.fence.intents.is_empty(), "seed {seed}");
        let pauses = simulation.vms[0].failover_log.iter();
        let pauses =
            pauses.filter(|(_, a)| matches!(a, FailoverAction::PauseChanged { paused: true, .. }));
        let pauses = pauses.count();
        assert!((2..=4).contains(&pauses), "seed {seed}: {pauses} pauses");
        simulation.heal();
        simulation.replicate(0, None);
        simulation.run_until(since + ms(14_000));
        finish_run(simulation, since)
    });
    check_runs("lagging candidate", &runs, ms(14_000));
}

/// Guards against a move that waits forever for a VM that cannot answer.
#[test]
fn silent_vm_does_not_stop_the_move() {
    for cut in [false, true] {
        let runs = for_each_seed(SEED_COUNT, |seed| {
            run(seed, 5, ms(4_000), |simulation| {
                let vm = simulation.random.index(5);
                let at = simulation.now + simulation.random.between(0, ms(60));
                simulation.schedule_fault(
                    at,
                    Fault::PauseVm {
                        vm,
                        for_us: if cut { 0 } else { ms(800) },
                    },
                );
                for other in (0..8).filter(|other| cut && *other != vm) {
                    for (from, to) in [(vm, other), (other, vm)] {
                        simulation.schedule_fault(at, Fault::Cut { from, to, on: true });
                    }
                }
            })
        });
        check_runs(if cut { "cut VM" } else { "paused VM" }, &runs, ms(3_500));
    }
}

/// Guards against a move that is never completed because its promoter dies, at whichever step.
#[test]
fn another_vm_takes_over_from_a_dead_promoter() {
    let runs = for_each_seed(SEED_COUNT, |seed| {
        run(seed, 5, ms(6_000), |simulation| {
            let roster = &simulation.platform.fence.roster;
            let group = simulation.platform.fence.groups.keys().next().unwrap();
            let first = observers(group, roster, 5)[0].clone();
            let vm = simulation
                .vms
                .iter()
                .position(|vm| vm.me.vm == first)
                .unwrap();
            let at = simulation.now + simulation.random.between(0, ms(80));
            simulation.schedule_fault(at, Fault::KillVm { vm });
        })
    });
    check_runs("dead promoter", &runs, ms(5_000));
}

/// Guards against lost writes, or a group without a primary, when the primary dies during its move.
#[test]
fn ordinary_failover_replaces_a_primary_that_dies_during_its_move() {
    let runs = for_each_seed(SEED_COUNT, |seed| {
        run(seed, 5, ms(6_000), |simulation| {
            let at = simulation.now + simulation.random.between(0, ms(80));
            simulation.schedule_fault(at, Fault::KillMember { member: 0 });
        })
    });
    check_runs("dead primary", &runs, ms(5_000));
}

/// Guards against a primary that moves back, and against a pause that continues after its data
/// centre is in service again.
#[test]
fn primary_does_not_move_back_when_its_data_centre_returns() {
    let runs = for_each_seed(SEED_COUNT, |seed| {
        run(seed, 5, ms(3_000), |simulation| {
            let at = simulation.now + simulation.random.between(0, ms(80));
            simulation.schedule_fault(at, Fault::Unavailable(vec![]));
        })
    });
    check_runs("out and in", &runs, ms(300));
    let clean = |run: &Run| run.unknown == 0 && run.promotions <= 1;
    assert!(runs.iter().all(clean), "{runs:?}");
}

/// Guards against a move to a member that is out of service too.
#[test]
fn primary_moves_to_the_member_that_stays_in_service() {
    let runs = for_each_seed(SEED_COUNT / 4, |seed| {
        let mut simulation = start_simulation(seed, 3);
        let since = simulation.now;
        take_out_of_service(&mut simulation, &[0, 1]);
        simulation.run_until(since + ms(1_000));
        finish_run(simulation, since)
    });
    check_runs("two leaving", &runs, ms(150));
}

/// Guards against pauses and promotions while no move can succeed.
#[test]
fn no_move_is_started_without_a_candidate_or_the_platform() {
    for platform_down in [false, true] {
        let runs = for_each_seed(SEED_COUNT / 4, |seed| {
            let mut simulation = start_simulation(seed, 3);
            simulation.schedule_fault(simulation.now, Fault::PlatformDown(platform_down));
            simulation.run_until(simulation.now + ms(500));
            let since = simulation.now;
            take_out_of_service(
                &mut simulation,
                if platform_down { &[0] } else { &[0, 1, 2] },
            );
            simulation.run_until(since + ms(1_000));
            finish_run(simulation, since)
        });
        let idle = |run: &Run| run.promotions == 0 && run.pauses == 0 && run.unknown == 0;
        let other: Vec<_> = runs.iter().filter(|run| !idle(run)).collect();
        assert!(other.is_empty(), "{other:?}");
    }
}

/// Guards against an intent of a planned move that is reported with another cause.
#[test]
fn intent_of_a_planned_move_has_that_cause() {
    let mut simulation = start_simulation(1, 3);
    take_out_of_service(&mut simulation, &[0]);
    simulation.run_until(simulation.now + ms(500));
    let mut actions = simulation.vms.iter().flat_map(|vm| &vm.failover_log);
    let planned = actions.any(|(_, action)| {
        matches!(
            action,
            FailoverAction::IntentOpened {
                cause: IntentCause::PlannedMove { .. },
                ..
            }
        )
    });
    assert!(planned);
}

/// Guards against a promoter that keeps trying although it is cut off from the platform. It still
/// receives the fence from the other VMs, and these leave the move to it.
#[test]
fn another_vm_moves_the_primary_if_the_promoter_cannot_reach_the_platform() {
    let runs = for_each_seed(SEED_COUNT / 4, |seed| {
        run(seed, 5, ms(6_000), |simulation| {
            let roster = &simulation.platform.fence.roster;
            let group = simulation.platform.fence.groups.keys().next().unwrap();
            let first = observers(group, roster, 5)[0].clone();
            let vm = simulation
                .vms
                .iter()
                .position(|vm| vm.me.vm == first)
                .unwrap();
            simulation.schedule_fault(simulation.now, Fault::PlatformCut { vm, on: true });
            // The other VMs must know the configuration before the promoter requests the pause.
            let for_us = ms(30);
            simulation.schedule_fault(simulation.now, Fault::PauseVm { vm, for_us });
        })
    });
    check_runs("promoter without the platform", &runs, ms(3_000));
}

/// Guards the safety of moves during other faults: no acknowledged write may be lost, nothing may
/// be acknowledged in an ended term, and the group must serve once the faults are over.
#[test]
fn planned_moves_under_random_faults_lose_no_acknowledged_write() {
    let runs = for_each_seed(SEED_COUNT, |seed| {
        let vms = [3, 5][(seed % 2) as usize];
        let mut simulation = start_simulation(seed, vms);
        simulation.links.loss_per_mille = simulation.random.between(0, 50);
        for _ in 0..12 {
            let vm = simulation.random.index(vms);
            let member = simulation.random.index(3);
            let for_us = ms(simulation.random.between(20, 900));
            let fault = match simulation.random.index(5) {
                0 => Fault::PauseVm { vm, for_us },
                1 => Fault::PauseMember { member, for_us },
                2 => Fault::PlatformCut { vm, on: true },
                _ => Fault::Unavailable(vec![member]),
            };
            simulation.schedule_fault(simulation.now, fault);
            let until = simulation.now + ms(simulation.random.between(5, 1_500));
            simulation.run_until(until);
        }
        simulation.heal();
        simulation.run_until(simulation.now + ms(1_000));
        take_out_of_service(&mut simulation, &[]);
        simulation.run_until(simulation.now + ms(3_000));
        let since = simulation.now;
        simulation.run_until(since + ms(500));
        finish_run(simulation, since)
    });
    let moves: u64 = runs.iter().map(|run| run.promotions).sum();
    assert!(
        moves > SEED_COUNT,
        "only {moves} promotions: too few to test anything"
    );
    check_runs("random faults", &runs, ms(250));
}
