//! Safety of promotions under random faults of VMs, members, links and the platform at once.

mod support;

use support::Fault;
use support::Simulation;
use support::for_each_seed;
use support::ms;

const SEED_COUNT: u64 = 1_000;
const MEMBER_COUNT: usize = 3;

/// Guards against answers in an ended term, lost acknowledged writes and primaries that the fence
/// does not name, and against a group that stays without a primary after the faults.
#[test]
fn promotions_under_random_faults_are_safe_and_the_group_recovers() {
    let runs = for_each_seed(SEED_COUNT, simulate);
    let promotions: u64 = runs.iter().map(|simulate| simulate.0).sum();
    let violating: Vec<_> = runs
        .iter()
        .enumerate()
        .filter(|(_, simulate)| !simulate.1.is_empty())
        .collect();
    println!("{promotions} promotions in {SEED_COUNT} runs");
    assert!(
        violating.is_empty(),
        "{} bad runs: {:#?}",
        violating.len(),
        &violating[..violating.len().min(3)]
    );
    assert!(
        promotions > SEED_COUNT / 2,
        "too few promotions to test anything: {promotions}"
    );
}

fn simulate(seed: u64) -> (u64, Vec<String>) {
    let vms = [3, 4, 5][(seed % 3) as usize];
    let mut simulation = Simulation::new(seed, vms, 10_000);
    simulation.create_roster();
    simulation.create_group();
    simulation.start_members(MEMBER_COUNT);
    simulation.start_writes(ms(7));
    simulation.run_until(ms(300));
    simulation.links.loss_per_mille = simulation.random.between(0, 100);
    simulation.links.duplicates_per_mille = simulation.random.between(0, 50);
    simulation.platform.lost_answers_per_mille = simulation.random.between(0, 100);
    simulation.platform.slow_calls_per_mille = simulation.random.between(0, 200);
    simulation.platform.max_slow_us = ms(200);
    for _ in 0..simulation.random.between(2, 6) {
        add_vm_fault(&mut simulation, vms);
    }
    for _ in 0..simulation.random.between(1, 3) {
        add_member_fault(&mut simulation, vms);
    }
    simulation.run_until(ms(3_500));
    simulation.heal();
    for member in 0..MEMBER_COUNT {
        simulation.schedule_fault(simulation.now, Fault::ReviveMember { member });
    }
    simulation.run_until(ms(5_500));
    let before = simulation.acknowledged.len();
    simulation.run_until(ms(5_800));
    let mut violations = std::mem::take(&mut simulation.violations);
    if simulation.acknowledged.len() == before {
        let state = (
            &simulation.platform.fence.groups,
            &simulation.platform.fence.intents,
            simulation.acting_vm_count(),
        );
        violations.push(format!(
            "no write is acknowledged after the faults: {state:?}"
        ));
    }
    (simulation.promotions, violations)
}

fn add_member_fault(simulation: &mut Simulation, vms: usize) {
    let at = simulation.now + ms(simulation.random.between(0, 1_500));
    let end = at + ms(simulation.random.between(500, 2_500));
    let member = if simulation.random.chance(600) {
        0
    } else {
        simulation.random.index(MEMBER_COUNT)
    };
    match simulation.random.between(0, 3) {
        0 => {
            simulation.schedule_fault(at, Fault::KillMember { member });
            simulation.schedule_fault(end, Fault::ReviveMember { member });
        }
        1 => simulation.schedule_fault(
            at,
            Fault::PauseMember {
                member,
                for_us: end - at,
            },
        ),
        // Cuts the member off from some VMs and members, in one direction or both.
        _ => {
            let node = vms + member;
            for other in (0..vms + MEMBER_COUNT).filter(|other| *other != node) {
                for (from, to) in [(node, other), (other, node)] {
                    if simulation.random.chance(700) {
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
            }
        }
    }
}

fn add_vm_fault(simulation: &mut Simulation, vms: usize) {
    let at = simulation.now + ms(simulation.random.between(0, 2_500));
    let end = at + ms(simulation.random.between(50, 1_200));
    let vm = simulation.random.index(vms);
    match simulation.random.between(0, 4) {
        0 => simulation.schedule_fault(
            at,
            Fault::PauseVm {
                vm,
                for_us: end - at,
            },
        ),
        1 => {
            let after_us = ms(simulation.random.between(1, 800));
            simulation.schedule_fault(at, Fault::RestartVm { vm, after_us });
        }
        2 => {
            simulation.schedule_fault(at, Fault::PlatformDown(true));
            simulation.schedule_fault(end, Fault::PlatformDown(false));
        }
        3 => {
            simulation.schedule_fault(at, Fault::PlatformCut { vm, on: true });
            simulation.schedule_fault(end, Fault::PlatformCut { vm, on: false });
        }
        _ => {
            for other in (0..vms).filter(|other| *other != vm) {
                for (from, to) in [(vm, other), (other, vm)] {
                    if simulation.random.chance(700) {
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
            }
        }
    }
}
