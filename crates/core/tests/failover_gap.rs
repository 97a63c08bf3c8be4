//! The failover gap: the time from the death of a primary to the promotion of a replica.

mod support;

use support::Fault;
use support::Simulation;
use support::for_each_seed;
use support::ms;

/// A fault in addition to the death of the primary.
#[derive(Clone, Copy, Debug)]
enum ExtraFault {
    None,
    Loss,
    DeadVm,
    PausedVm,
    CutVm,
    LostAnswers,
    DeadPromoter,
}

fn start_simulation(seed: u64, vms: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, vms, 10_000);
    simulation.create_roster();
    simulation.create_group();
    simulation.start_members(3);
    simulation.start_writes(ms(5));
    let warm_up = ms(400) + simulation.random.between(0, ms(100));
    simulation.run_until(warm_up);
    simulation
}

/// Returns the gap in microseconds, if there was a promotion, and the violations of the run.
fn simulate(seed: u64, vms: usize, extra_fault: ExtraFault) -> (Option<u64>, Vec<String>) {
    let mut simulation = start_simulation(seed, vms);
    let vm = simulation.random.index(vms);
    let killed_at = simulation.now;
    simulation.schedule_fault(killed_at, Fault::KillMember { member: 0 });
    match extra_fault {
        ExtraFault::None => {}
        ExtraFault::Loss => simulation.links.loss_per_mille = 20,
        ExtraFault::DeadVm => simulation.schedule_fault(killed_at, Fault::KillVm { vm }),
        ExtraFault::PausedVm => simulation.schedule_fault(
            killed_at,
            Fault::PauseVm {
                vm,
                for_us: ms(1_000),
            },
        ),
        ExtraFault::CutVm => {
            for other in (0..vms).filter(|other| *other != vm) {
                simulation.schedule_fault(
                    killed_at,
                    Fault::Cut {
                        from: vm,
                        to: other,
                        on: true,
                    },
                );
            }
        }
        ExtraFault::LostAnswers => simulation.platform.lost_answers_per_mille = 50,
        ExtraFault::DeadPromoter => {
            let at = killed_at + simulation.random.between(ms(200), ms(640));
            simulation.run_until(at);
            let promoter = simulation
                .platform
                .fence
                .intents
                .values()
                .next()
                .map(|i| i.promoter.clone());
            let promoter =
                (0..vms).find(|vm| Some(&simulation.vms[*vm].me.vm) == promoter.as_ref());
            simulation.schedule_fault(
                at,
                Fault::KillVm {
                    vm: promoter.unwrap_or(vm),
                },
            );
        }
    }
    let promoted_at = |simulation: &Simulation| {
        simulation
            .members
            .iter()
            .filter_map(|m| m.promoted_at)
            .min()
    };
    while promoted_at(&simulation).is_none() && simulation.now < killed_at + ms(4_000) {
        simulation.run_until(simulation.now + ms(20));
    }
    let gap = promoted_at(&simulation).map(|at| at - killed_at);
    let acknowledged = simulation.acknowledged.len();
    simulation.run_until(simulation.now + ms(100));
    let mut violations = std::mem::take(&mut simulation.violations);
    if acknowledged == simulation.acknowledged.len() {
        violations.push("no write was acknowledged after the promotion".into());
    }
    (gap, violations)
}

fn measure_gaps(seeds: u64, vms: usize, extra_fault: ExtraFault) -> (u64, u64, u64) {
    let runs = for_each_seed(seeds, |seed| simulate(seed, vms, extra_fault));
    let mut gaps = Vec::new();
    for (seed, (gap, violations)) in runs.iter().enumerate() {
        assert!(
            violations.is_empty(),
            "{extra_fault:?} seed {seed}: {violations:?}"
        );
        assert!(gap.is_some(), "{extra_fault:?} seed {seed}: no promotion");
        gaps.extend(gap);
    }
    gaps.sort_unstable();
    let at = |per_mille: usize| gaps[(gaps.len() * per_mille / 1_000).min(gaps.len() - 1)];
    let percentiles = (at(500), at(990), gaps[gaps.len() - 1]);
    println!(
        "{extra_fault:?}, {vms} VMs, {seeds} seeds: p50 {} us, p99 {} us, max {} us",
        percentiles.0, percentiles.1, percentiles.2
    );
    percentiles
}

/// Guards against a gap that exceeds its target, the detection time plus 150 ms, while a majority
/// of the VMs and members can be reached.
#[test]
fn p99_gap_is_at_most_the_detection_time_plus_150_ms() {
    let extra_fault = [
        ExtraFault::None,
        ExtraFault::Loss,
        ExtraFault::DeadVm,
        ExtraFault::PausedVm,
        ExtraFault::CutVm,
    ];
    for extra_fault in extra_fault {
        for vms in [3, 8] {
            let (_, p99, max) = measure_gaps(200, vms, extra_fault);
            assert!(p99 <= ms(750), "{extra_fault:?}: p99 {p99} us");
            assert!(max < ms(2_000), "{extra_fault:?}: max {max} us");
        }
    }
}

/// Guards against a gap that exceeds its target of two seconds when the promoter dies during the
/// promotion, or answers of the platform are lost.
#[test]
fn p99_gap_is_under_two_seconds_when_the_promotion_is_disturbed() {
    for extra_fault in [ExtraFault::LostAnswers, ExtraFault::DeadPromoter] {
        let (_, p99, _) = measure_gaps(400, 5, extra_fault);
        assert!(p99 < ms(2_000), "{extra_fault:?}: p99 {p99} us");
    }
}
