//! Lease safety: no VM acknowledges anything in a term that has ended.

mod support;

use support::Fault;
use support::World;
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
    let mut world = World::new(seed, vms, 10_000);
    world.found_group();
    world.auto_promote = true;
    world.run_until(ms(900));
    world.links.loss_per_mille = world.random.between(0, 200);
    world.links.duplicates_per_mille = world.random.between(0, 100);
    world.platform.lost_answers = world.random.between(0, 300);
    world.platform.slow_calls = world.random.between(0, 300);
    world.platform.slow_us = ms(400);
    for _ in 0..world.random.between(2, 10) {
        add_fault(&mut world, vms);
    }
    let mut at = world.now;
    while at < ms(RUN_DURATION_MS) {
        at += ms(world.random.between(30, 500));
        let vm = world.random.index(vms);
        let fault = if world.random.chance(700) {
            Fault::OpenIntent { vm }
        } else {
            Fault::CancelIntent { vm }
        };
        world.fault_at(at, fault);
    }
    world.run_until(ms(RUN_DURATION_MS));
    (std::mem::take(&mut world.violations), world.promotions)
}

fn add_fault(world: &mut World, vms: usize) {
    let at = world.now + ms(world.random.between(0, 1_800));
    let end = at + ms(world.random.between(50, 1_500));
    let vm = world.random.index(vms);
    match world.random.between(0, 12) {
        0 | 1 => world.fault_at(
            at,
            Fault::Pause {
                vm,
                for_us: end - at,
            },
        ),
        2 => {
            let after_us = ms(world.random.between(1, 800));
            world.fault_at(at, Fault::Restart { vm, after_us });
        }
        3..=5 => isolate_from_promoter(world, vms, at, end),
        10..=12 => isolate_with_recent_lease(world, vms, at, end),
        6 => {
            world.fault_at(at, Fault::PlatformDown(true));
            world.fault_at(end, Fault::PlatformDown(false));
        }
        7 => {
            world.fault_at(at, Fault::PlatformCut { vm, on: true });
            world.fault_at(end, Fault::PlatformCut { vm, on: false });
        }
        _ => {
            for other in (0..vms).filter(|other| *other != vm) {
                let (from, to) = if world.random.chance(500) {
                    (vm, other)
                } else {
                    (other, vm)
                };
                world.fault_at(at, Fault::Cut { from, to, on: true });
                world.fault_at(
                    end,
                    Fault::Cut {
                        from,
                        to,
                        on: false,
                    },
                );
                if world.random.chance(500) {
                    world.fault_at(
                        at,
                        Fault::Cut {
                            from: to,
                            to: from,
                            on: true,
                        },
                    );
                    world.fault_at(
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
fn isolate_from_promoter(world: &mut World, vms: usize, at: u64, end: u64) {
    let promoter = world.random.index(vms);
    let disconnected = (promoter + 1 + world.random.index(vms - 1)) % vms;
    for vm in (0..vms).filter(|vm| *vm != promoter) {
        world.fault_at(at, Fault::PlatformCut { vm, on: true });
        world.fault_at(end, Fault::PlatformCut { vm, on: false });
    }
    for (from, to) in [(promoter, disconnected), (disconnected, promoter)] {
        world.fault_at(at, Fault::Cut { from, to, on: true });
        world.fault_at(
            end,
            Fault::Cut {
                from,
                to,
                on: false,
            },
        );
    }
    let opens_at = at + ms(world.random.between(0, 300));
    world.fault_at(opens_at, Fault::OpenIntent { vm: promoter });
}

/// Isolates a VM from the other VMs just before an intent is opened, with a lease as recent as
/// possible.
fn isolate_with_recent_lease(world: &mut World, vms: usize, at: u64, end: u64) {
    let isolated = world.random.index(vms);
    for other in (0..vms).filter(|other| *other != isolated) {
        for (from, to) in [(isolated, other), (other, isolated)] {
            world.fault_at(at, Fault::Cut { from, to, on: true });
            world.fault_at(
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
    let opens_at = at + ms(world.random.between(0, 100));
    world.fault_at(opens_at + ms(2), Fault::PlatformCut { vm, on: true });
    world.fault_at(end, Fault::PlatformCut { vm, on: false });
    world.fault_at(
        opens_at,
        Fault::OpenIntent {
            vm: (isolated + 1) % vms,
        },
    );
}
