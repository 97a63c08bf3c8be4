//! Lease safety: no VM acknowledges anything in a term that has ended.

mod support;

use support::Fault;
use support::Simulation;
use support::for_each_seed;
use support::ms;

const SEED_COUNT: u64 = 2_000;
const RUN_DURATION_MS: u64 = 3_000;

/// Guards against acknowledging answers of a replaced primary under clock drift of up to 1%,
/// pauses, message loss and duplicates, one-way link failures, platform outages, restarts and lost
/// answers.
#[test]
fn no_answer_in_an_ended_term() {
    let runs = for_each_seed(SEED_COUNT, run);
    let violations: Vec<_> = runs
        .iter()
        .enumerate()
        .flat_map(|(seed, (violations, _))| {
            violations.iter().map(move |v| format!("seed {seed}: {v}"))
        })
        .collect();
    let promotions: u64 = runs.iter().map(|(_, promotions)| promotions).sum();
    println!("{promotions} promotions in {SEED_COUNT} runs");
    assert!(
        violations.is_empty(),
        "{} violations: {:#?}",
        violations.len(),
        &violations[..violations.len().min(5)]
    );
    assert!(
        promotions > SEED_COUNT,
        "too few promotions for a meaningful result: {promotions}"
    );
}

fn run(seed: u64) -> (Vec<String>, u64) {
    let vms = [3, 4, 5][(seed % 3) as usize];
    let mut simulation = Simulation::new(seed, vms, 10_000);
    simulation.create_group();
    simulation.auto_promote = true;
    simulation.run_until(ms(900));
    simulation.links.loss_per_mille = simulation.random.between(0, 200);
    simulation.links.duplicates_per_mille = simulation.random.between(0, 100);
    simulation.platform.lost_answers_per_mille = simulation.random.between(0, 300);
    simulation.platform.slow_calls_per_mille = simulation.random.between(0, 300);
    simulation.platform.max_slow_us = ms(400);
    for _ in 0..simulation.random.between(2, 10) {
        add_fault(&mut simulation, vms);
    }
    let mut at = simulation.now;
    while at < ms(RUN_DURATION_MS) {
        at += ms(simulation.random.between(30, 500));
        let vm = simulation.random.index(vms);
        let fault = if simulation.random.chance(700) {
            Fault::OpenIntent { vm }
        } else {
            Fault::CancelIntent { vm }
        };
        simulation.schedule_fault(at, fault);
    }
    simulation.run_until(ms(RUN_DURATION_MS));
    (
        std::mem::take(&mut simulation.violations),
        simulation.promotions,
    )
}

fn add_fault(simulation: &mut Simulation, vms: usize) {
    let at = simulation.now + ms(simulation.random.between(0, 1_800));
    let end = at + ms(simulation.random.between(50, 1_500));
    let vm = simulation.random.index(vms);
    match simulation.random.between(0, 12) {
        0 | 1 => simulation.schedule_fault(
            at,
            Fault::PauseVm {
                vm,
                for_us: end - at,
            },
        ),
        2 => {
            let after_us = ms(simulation.random.between(1, 800));
            simulation.schedule_fault(at, Fault::RestartVm { vm, after_us });
        }
        3..=5 => isolate_from_promoter(simulation, vms, at, end),
        10..=12 => isolate_with_recent_lease(simulation, vms, at, end),
        6 => {
            simulation.schedule_fault(at, Fault::PlatformDown(true));
            simulation.schedule_fault(end, Fault::PlatformDown(false));
        }
        7 => {
            simulation.schedule_fault(at, Fault::PlatformCut { vm, on: true });
            simulation.schedule_fault(end, Fault::PlatformCut { vm, on: false });
        }
        _ => {
            for other in (0..vms).filter(|other| *other != vm) {
                let (from, to) = if simulation.random.chance(500) {
                    (vm, other)
                } else {
                    (other, vm)
                };
                simulation.schedule_fault(at, Fault::Cut { from, to, on: true });
                simulation.schedule_fault(
                    end,
                    Fault::Cut {
                        from,
                        to,
                        on: false,
                    },
                );
                if simulation.random.chance(500) {
                    simulation.schedule_fault(
                        at,
                        Fault::Cut {
                            from: to,
                            to: from,
                            on: true,
                        },
                    );
                    simulation.schedule_fault(
                        end,
                        Fault::Cut {
                            from: to,
                            to: from,
                            on: false,
                        },
                    );
                }
            }
        }
    }
}

/// Leaves only the promoter connected to the platform and cuts the links between the promoter and
/// one other VM, whose lease then depends on VMs that have acknowledged the intent.
fn isolate_from_promoter(simulation: &mut Simulation, vms: usize, at: u64, end: u64) {
    let promoter = simulation.random.index(vms);
    let disconnected = (promoter + 1 + simulation.random.index(vms - 1)) % vms;
    for vm in (0..vms).filter(|vm| *vm != promoter) {
        simulation.schedule_fault(at, Fault::PlatformCut { vm, on: true });
        simulation.schedule_fault(end, Fault::PlatformCut { vm, on: false });
    }
    for (from, to) in [(promoter, disconnected), (disconnected, promoter)] {
        simulation.schedule_fault(at, Fault::Cut { from, to, on: true });
        simulation.schedule_fault(
            end,
            Fault::Cut {
                from,
                to,
                on: false,
            },
        );
    }
    let opens_at = at + ms(simulation.random.between(0, 300));
    simulation.schedule_fault(opens_at, Fault::OpenIntent { vm: promoter });
}

/// Isolates a VM from the other VMs just before an intent is opened, with a lease as recent as
/// possible.
fn isolate_with_recent_lease(simulation: &mut Simulation, vms: usize, at: u64, end: u64) {
    let isolated = simulation.random.index(vms);
    for other in (0..vms).filter(|other| *other != isolated) {
        for (from, to) in [(isolated, other), (other, isolated)] {
            simulation.schedule_fault(at, Fault::Cut { from, to, on: true });
            simulation.schedule_fault(
                end,
                Fault::Cut {
                    from,
                    to,
                    on: false,
                },
            );
        }
    }
    let vm = isolated;
    let opens_at = at + ms(simulation.random.between(0, 100));
    simulation.schedule_fault(opens_at + ms(2), Fault::PlatformCut { vm, on: true });
    simulation.schedule_fault(end, Fault::PlatformCut { vm, on: false });
    simulation.schedule_fault(
        opens_at,
        Fault::OpenIntent {
            vm: (isolated + 1) % vms,
        },
    );
}
