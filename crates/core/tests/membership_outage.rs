//! Leases during platform outages and network partitions.

mod support;

use support::Fault;
use support::Simulation;
use support::ms;

/// Guards against an outage of the platform stopping service although a majority is up: with 2%
/// message loss, no VM may be without a lease at any sample in ten minutes.
#[test]
fn leases_stay_valid_for_ten_minutes_without_the_platform() {
    let mut simulation = Simulation::new(11, 5, 10_000);
    simulation.create_group();
    simulation.run_until(ms(1_000));
    assert_eq!(simulation.acting_vm_count(), 5);
    simulation.links.loss_per_mille = 20;
    simulation.platform.down = true;
    let reads = simulation.platform.read_attempts;
    let mut lapses = 0;
    while simulation.now < ms(601_000) {
        simulation.run_until(simulation.now + ms(5));
        lapses += (0..5).filter(|vm| !simulation.may_answer(*vm, 1)).count();
    }
    assert_eq!(lapses, 0);
    // Two relays read ten times a second and three others every two seconds. If the others read
    // faster, a recovering platform would receive reads from all VMs at once.
    let reads_per_second = (simulation.platform.read_attempts - reads) as f64 / 600.0;
    println!("{reads_per_second:.1} reads a second while the platform is down");
    assert!(reads_per_second < 22.0, "{reads_per_second} reads a second");
    simulation.platform.down = false;
    simulation.run_until(simulation.now + ms(1_000));
    assert_eq!(simulation.acting_vm_count(), 5);
}

/// Guards against an isolated VM that continues to act: its lease must expire within the lease
/// duration.
#[test]
fn isolated_vm_stops_within_the_lease_duration() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 5, 10_000);
        simulation.run_until(ms(1_000));
        for other in 1..5 {
            simulation.schedule_fault(
                simulation.now,
                Fault::Cut {
                    from: 0,
                    to: other,
                    on: true,
                },
            );
            simulation.schedule_fault(
                simulation.now,
                Fault::Cut {
                    from: other,
                    to: 0,
                    on: true,
                },
            );
        }
        simulation.platform.down = true;
        // Allows 1% for the drift of the VM's clock.
        simulation.run_until(simulation.now + ms(304));
        assert!(
            !simulation.may_act(0),
            "seed {seed}: the isolated VM still acts"
        );
        assert!(
            (1..5).all(|vm| simulation.may_act(vm)),
            "seed {seed}: a VM of the majority stopped acting"
        );
    }
}

/// Guards against a minority that renews its leases without the platform.
#[test]
fn minority_without_the_platform_stops() {
    let mut simulation = Simulation::new(12, 5, 10_000);
    simulation.run_until(ms(1_000));
    for a in 0..2 {
        for b in 2..5 {
            simulation.schedule_fault(
                simulation.now,
                Fault::Cut {
                    from: a,
                    to: b,
                    on: true,
                },
            );
            simulation.schedule_fault(
                simulation.now,
                Fault::Cut {
                    from: b,
                    to: a,
                    on: true,
                },
            );
        }
    }
    simulation.platform.down = true;
    simulation.run_until(simulation.now + ms(400));
    let acting: Vec<_> = (0..5).filter(|vm| simulation.may_act(*vm)).collect();
    assert_eq!(acting, vec![2, 3, 4]);
}

/// Guards against leases that expire although all VMs are up, when messages are lost and the
/// platform is slow.
#[test]
fn leases_do_not_lapse_under_loss_and_a_slow_platform() {
    let mut lapses = 0;
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 8, 10_000);
        simulation.run_until(ms(1_500));
        simulation.links.loss_per_mille = 20;
        simulation.platform.slow_calls_per_mille = 100;
        simulation.platform.max_slow_us = ms(150);
        while simulation.now < ms(5_000) {
            simulation.run_until(simulation.now + ms(5));
            lapses += 8 - simulation.acting_vm_count();
        }
    }
    assert_eq!(lapses, 0);
}

/// Guards against platform reads that grow with the number of VMs: two relays read ten times a
/// second each, and the others hardly ever.
#[test]
fn only_relays_read_the_platform() {
    let mut simulation = Simulation::new(13, 8, 10_000);
    simulation.run_until(ms(2_000));
    let (reads, updates) = (simulation.platform.reads, simulation.platform.updates);
    simulation.run_until(ms(12_000));
    let reads = simulation.platform.reads - reads;
    println!("{reads} reads in 10 s with 8 VMs");
    assert!(reads <= 250, "{reads} reads in 10 s");
    assert_eq!(simulation.platform.updates, updates);
}
