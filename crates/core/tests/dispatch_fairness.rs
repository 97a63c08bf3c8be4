//! Shares of the statement slots, their utilisation under full load, and the control traffic.

mod fleet;
mod fleet_dispatch;

use std::collections::VecDeque;

use fleet::MS;
use fleet::SECOND;
use fleet_dispatch::DispatchSimulation;
use fleet_dispatch::MEAN_STATEMENT_US;
use fleet_dispatch::STABLE_NETWORK;
use fleet_dispatch::config;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::WorkspaceId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The name, statement slots and connections of each member.
const MEMBERS: [(&str, u32, u32); 2] = [("two", 2, 30), ("three", 3, 20)];
const LOAD_START_US: u64 = SECOND;
const WARM_UP_END_US: u64 = 3 * SECOND;
const RUN_END_US: u64 = 9 * SECOND;
const CONTROL_BYTES_PER_S: u64 = 4_096;

/// Returns how many statements a second a member's slots can run.
fn capacity(slots: u32) -> f64 {
    f64::from(slots) * 1e6 / MEAN_STATEMENT_US as f64
}

/// Adds Poisson arrivals up to the end of the run, `per_s` in total over the given VMs, and returns
/// their times.
fn add_load(
    simulation: &mut DispatchSimulation,
    member: &str,
    workspace: &str,
    per_s: f64,
    vms: &[usize],
) -> Vec<u64> {
    add_load_until(RUN_END_US, simulation, member, workspace, per_s, vms)
}

fn add_load_until(
    end: u64,
    simulation: &mut DispatchSimulation,
    member: &str,
    workspace: &str,
    per_s: f64,
    vms: &[usize],
) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(per_s as u64);
    let (mut at, mut times) = (LOAD_START_US as f64, Vec::new());
    while at < end as f64 {
        let vm = vms[rng.random_range(0..vms.len())];
        simulation.add_request(at as u64, vm, member, workspace);
        times.push(at as u64);
        at += -(1.0 - rng.random::<f64>()).ln() * 1e6 / per_s;
    }
    times
}

fn finished(simulation: &DispatchSimulation, member: &str, workspace: &str) -> f64 {
    let key = (MemberId::from(member), WorkspaceId::from(workspace));
    simulation
        .counts
        .get(&key)
        .map_or(0, |count| count.finished) as f64
}

/// Returns how many of the victim's statements an ideal first-come first-served queue would finish
/// after the warm-up, without message delays and with the same total queue limit.
fn first_come_first_served(slots: u32, victim: &[u64], flood: &[u64]) -> f64 {
    let mut arrivals: Vec<(u64, bool)> = victim.iter().map(|at| (*at, true)).collect();
    arrivals.extend(flood.iter().map(|at| (*at, false)));
    arrivals.sort_unstable();
    let mut free = vec![0; slots as usize];
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let mut served = 0;
    for (at, is_victim) in arrivals {
        while waiting.front().is_some_and(|start| *start <= at) {
            waiting.pop_front();
        }
        if waiting.len() >= 2 * 512 {
            continue;
        }
        free.sort_unstable();
        let start = free[0].max(at);
        free[0] = start + MEAN_STATEMENT_US;
        waiting.push_back(start);
        served += u64::from(is_victim && (WARM_UP_END_US..RUN_END_US).contains(&free[0]));
    }
    served as f64
}

/// Prints the control traffic of a time span, and checks it against the budget.
fn check_control_traffic(simulation: &DispatchSimulation, what: &str, span: u64) {
    let bytes = simulation.bytes_by_node.iter().max().copied().unwrap_or(0) * SECOND / span;
    println!(
        "{what}: {} messages, at most {bytes} B/s per VM",
        simulation.messages
    );
    assert!(
        bytes <= CONTROL_BYTES_PER_S,
        "{what}: {bytes} B/s of control traffic"
    );
}

/// Checks the share of a workspace on one VM beside a noisy neighbour that sends ten times its rate
/// through the other VMs.
fn check_flood(victim_load: f64) {
    let mut simulation = DispatchSimulation::new(
        5,
        STABLE_NETWORK,
        config(&MEMBERS, &[("victim", 1), ("flood", 1)]),
    );
    let mut times = Vec::new();
    for (member, slots, _) in MEMBERS {
        let per_s = capacity(slots) * victim_load;
        let victim = add_load(&mut simulation, member, "victim", per_s, &[0]);
        let flood = add_load(
            &mut simulation,
            member,
            "flood",
            per_s * 10.0,
            &[1, 2, 3, 4, 5, 6, 7],
        );
        times.push((victim, flood));
    }
    simulation.run_until(WARM_UP_END_US);
    simulation.reset_measurements(WARM_UP_END_US);
    simulation.run_until(RUN_END_US);
    assert_eq!(simulation.violations, Vec::<String>::new());
    for ((member, slots, _), (victim, flood)) in MEMBERS.into_iter().zip(times) {
        let span = (RUN_END_US - WARM_UP_END_US) as f64 / 1e6;
        let offered = victim
            .iter()
            .filter(|at| (WARM_UP_END_US..RUN_END_US).contains(at))
            .count() as f64;
        let share = offered.min(capacity(slots) * span / 2.0);
        let got = finished(&simulation, member, "victim") / share;
        let used = simulation.utilisation(member, WARM_UP_END_US, RUN_END_US);
        let baseline = first_come_first_served(slots, &victim, &flood) / share;
        println!(
            "{member}, victim load {victim_load}: {got:.3} of its share (first-come first-served {baseline:.3}), slots used {used:.3}"
        );
        assert!(got >= 0.95, "{member}: victim got {got} of its share");
        assert!(used >= 0.9, "{member}: slots used {used}");
    }
    check_control_traffic(&simulation, "flood", RUN_END_US - WARM_UP_END_US);
}

/// Guards against a workspace with few statements that is delayed by a flood through other VMs.
#[test]
fn light_workspace_gets_its_share_beside_a_flood() {
    check_flood(0.3);
}

/// Guards against unequal shares of two workspaces that both have more demand than their share.
#[test]
fn heavy_workspace_gets_its_share_beside_a_flood() {
    check_flood(1.0);
}

/// Guards against slots that stay unused while permits move between VMs.
#[test]
fn slots_are_used_under_full_load() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let weights = names.map(|name| (name, 1));
    let mut simulation = DispatchSimulation::new(6, STABLE_NETWORK, config(&MEMBERS, &weights));
    for (member, slots, _) in MEMBERS {
        for name in names {
            let per_s = capacity(slots) * 0.3;
            add_load(
                &mut simulation,
                member,
                name,
                per_s,
                &[0, 1, 2, 3, 4, 5, 6, 7],
            );
        }
    }
    simulation.run_until(WARM_UP_END_US);
    simulation.reset_measurements(WARM_UP_END_US);
    simulation.run_until(RUN_END_US);
    assert_eq!(simulation.violations, Vec::<String>::new());
    for (member, slots, _) in MEMBERS {
        let used = simulation.utilisation(member, WARM_UP_END_US, RUN_END_US);
        let share = capacity(slots) * (RUN_END_US - WARM_UP_END_US) as f64 / 1e6 / 8.0;
        let worst = names.map(|name| finished(&simulation, member, name) / share);
        let worst = worst.into_iter().fold(f64::MAX, f64::min);
        println!("{member}: slots used {used:.3}, worst workspace {worst:.3} of an eighth");
        assert!(used >= 0.9, "{member}: slots used {used}");
    }
    check_control_traffic(&simulation, "full load", RUN_END_US - WARM_UP_END_US);
}

/// Guards against shares that ignore the weights of the workspaces.
#[test]
fn weights_divide_the_slots() {
    let mut simulation = DispatchSimulation::new(
        9,
        STABLE_NETWORK,
        config(&MEMBERS, &[("light", 1), ("heavy", 3)]),
    );
    for (member, slots, _) in MEMBERS {
        add_load(
            &mut simulation,
            member,
            "light",
            capacity(slots) * 1.5,
            &[0, 1, 2],
        );
        add_load(
            &mut simulation,
            member,
            "heavy",
            capacity(slots) * 1.5,
            &[2, 3, 4, 5],
        );
    }
    simulation.run_until(WARM_UP_END_US);
    simulation.reset_measurements(WARM_UP_END_US);
    simulation.run_until(RUN_END_US);
    for (member, _, _) in MEMBERS {
        let (light, heavy) = (
            finished(&simulation, member, "light"),
            finished(&simulation, member, "heavy"),
        );
        let part = light / (light + heavy);
        println!("{member}: weight 1 of 4 got {part:.3}");
        assert!(
            (part - 0.25).abs() <= 0.25 * 0.05,
            "{member}: weight 1 of 4 got {part}"
        );
    }
}

/// Guards against a message for each statement when no other VM or workspace waits.
#[test]
fn uncontended_member_needs_no_message_for_each_statement() {
    let mut simulation = DispatchSimulation::new(7, STABLE_NETWORK, config(&MEMBERS, &[("a", 1)]));
    let sent = add_load(&mut simulation, "two", "a", 100.0, &[2]).len() as u64;
    simulation.run_until(RUN_END_US);
    let waited: u64 = simulation
        .counts
        .values()
        .map(|count| count.waited_us)
        .sum();
    println!(
        "uncontended: {} messages for {sent} statements, mean wait {} us",
        simulation.messages,
        waited / sent
    );
    assert!(
        simulation.messages * 4 < sent,
        "{} messages",
        simulation.messages
    );
    assert!(waited / sent < 2 * MS, "mean wait {} us", waited / sent);
}

/// Guards against control traffic that grows with the number of members under full load.
#[test]
fn control_traffic_of_nine_members_fits_the_budget() {
    let names = ["a0", "a1", "a2", "b0", "b1", "b2", "c0", "c1", "c2"];
    let members = names.map(|name| (name, 2, 30));
    let mut simulation = DispatchSimulation::new(
        8,
        STABLE_NETWORK,
        config(&members, &[("victim", 1), ("flood", 1)]),
    );
    let (warm, end) = (LOAD_START_US + SECOND, LOAD_START_US + 4 * SECOND);
    for name in names {
        let (victim, flood) = (capacity(2) * 0.3, capacity(2) * 1.2);
        add_load_until(end, &mut simulation, name, "victim", victim, &[0, 1]);
        add_load_until(
            end,
            &mut simulation,
            name,
            "flood",
            flood,
            &[2, 3, 4, 5, 6, 7],
        );
    }
    simulation.run_until(warm);
    simulation.reset_measurements(warm);
    simulation.run_until(end);
    check_control_traffic(&simulation, "nine members", 3 * SECOND);
}
