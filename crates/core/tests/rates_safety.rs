//! No window may admit more than the rate times its length plus the burst, under any faults.

mod fleet;
mod fleet_rates;

use fleet::MS;
use fleet::Network;
use fleet::SECOND;
use fleet_rates::RELIABLE_NETWORK;
use fleet_rates::Simulation;
use fleet_rates::config;
use lycheedoor_core::rates::Grant;
use lycheedoor_core::rates::LendingMode;
use lycheedoor_core::rates::LoanRequest;
use lycheedoor_core::rates::Rates;
use lycheedoor_core::rates::RatesAction;
use lycheedoor_core::rates::RatesEvent;
use lycheedoor_core::rates::RatesMessage;
use lycheedoor_core::types::HeldSlot;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::RosterPeer;
use lycheedoor_core::types::RosterView;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RUN_DURATION: u64 = 7 * SECOND;
const UNRELIABLE_NETWORK: Network = Network {
    min_delay: MS,
    max_delay: 40 * MS,
    loss_percent: 5,
    duplicate_percent: 5,
};

/// Rates and bursts. The bursts of the last two are split over a subset of the slots.
const LIMITS: [(&str, u32, u32); 4] = [("a", 100, 40), ("b", 400, 64), ("c", 50, 5), ("d", 20, 1)];

/// Sends each workspace about three times its rate, through one VM that changes at random or
/// through random VMs.
fn add_flood(simulation: &mut Simulation, rng: &mut ChaCha8Rng) {
    for (name, rate, _) in LIMITS {
        let (mut at, mut node, mut spread) = (0, 0, false);
        while at < RUN_DURATION {
            if rng.random_range(0..u64::from(rate) * 3) == 0 {
                (node, spread) = (rng.random_range(0..8), rng.random_range(0..3) == 0);
            }
            let entry = if spread { rng.random_range(0..8) } else { node };
            simulation.arrive(at, entry, name);
            at += rng.random_range(1..2 * SECOND / (3 * u64::from(rate)));
        }
    }
}

/// Pauses, kills, stops and replaces VMs, moves slots and drops messages at random. Faults of
/// several VMs may overlap.
fn add_faults(simulation: &mut Simulation, rng: &mut ChaCha8Rng) {
    let mut at = SECOND;
    while at < RUN_DURATION {
        let vm_number = rng.random_range(0..8);
        match rng.random_range(0..7) {
            0 => simulation.pause(at, vm_number, at + rng.random_range(50 * MS..2 * SECOND)),
            1 => {
                // A VM that is replaced during a pause is no longer in the roster when it resumes.
                simulation.pause(at, vm_number, at + 1_500 * MS);
                simulation.replace(at + 400 * MS, vm_number);
            }
            2 => {
                simulation.kill(at, vm_number);
                simulation.replace(at + rng.random_range(0..SECOND), vm_number);
            }
            5 => simulation.move_slot(at, vm_number, rng.random_range(0..8)),
            3 | 4 => {
                let until = at + rng.random_range(200 * MS..SECOND);
                simulation.cut(at, vm_number, rng.random_range(0..8), until);
            }
            _ => {
                simulation.stop(at, vm_number);
                simulation.replace(at + rng.random_range(100 * MS..2 * SECOND), vm_number);
            }
        }
        at += rng.random_range(200 * MS..1_500 * MS);
    }
}

fn run_with_faults(seed: u64, change_rates: bool) -> Simulation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = Simulation::new(
        seed,
        UNRELIABLE_NETWORK,
        LendingMode::default(),
        config(1, &LIMITS),
    );
    add_flood(&mut simulation, &mut rng);
    add_faults(&mut simulation, &mut rng);
    if change_rates {
        let mut limits = LIMITS;
        (limits[0], limits[1]) = (("a", 300, 120), ("b", 40, 24));
        simulation.publish(SECOND, config(2, &limits));
        // Three seconds until all VMs have the configuration, and one lifetime of the loans
        // granted before.
        simulation.run_until(4_500 * MS);
        simulation.end_config_change(4_500 * MS);
    }
    simulation.run_until(RUN_DURATION);
    simulation
}

/// Guards against a loan that outlives its lender's slot: the slot's next holder starts while the
/// borrower, which has a valid lease, would still accrue on the loan.
#[test]
fn loan_ends_before_the_next_holder_of_the_slot_starts() {
    // The rate is high compared to the burst, and a pause in the traffic fills all buckets before
    // each fault, so that a short overlap exceeds the limit.
    let limits = [("b", 4_000, 16)];
    let run_duration = 3 * SECOND;
    let pause = 40 * MS;
    let mut simulation = Simulation::new(
        3,
        RELIABLE_NETWORK,
        LendingMode::default(),
        config(1, &limits),
    );
    for at in (0..run_duration).step_by(200) {
        let after_fault = (at + pause).saturating_sub(SECOND) % (470 * MS);
        if at + pause < SECOND || after_fault >= pause {
            simulation.arrive(at, 3, "b");
        }
    }
    for (round, vm_number) in (0..4).zip([0, 1, 2, 4]) {
        let at = SECOND + round * 470 * MS;
        match round % 2 {
            0 => simulation.pause(at, vm_number, at + 2 * SECOND),
            _ => simulation.block_lease_renewal(at, vm_number, at + 2 * SECOND),
        }
        simulation.move_slot(at, vm_number, 7);
    }
    simulation.run_until(run_duration);
    assert_eq!(simulation.worst_overdraft(), 0);
}

/// The rate limiters of one VM, with the actions that they have returned.
struct SingleVm {
    rates: Rates,
    actions: Vec<RatesAction>,
    slot_delay_ms: u64,
}

impl SingleVm {
    /// Starts a VM that holds `slots` of two slots, with a rate and a burst for workspace `w`.
    fn new(rate: u32, burst: u32, slots: &[u16]) -> Self {
        let mut single_vm = Self {
            rates: Rates::default(),
            actions: Vec::new(),
            slot_delay_ms: 0,
        };
        let config = config(1, &[("w", rate, burst)]);
        single_vm.handle(0, RatesEvent::Configured(config));
        single_vm.apply_roster(0, 1, slots, &[1]);
        single_vm
    }

    fn handle(&mut self, at_ms: u64, event: RatesEvent) {
        let now = MonoTime::from_millis(at_ms);
        self.rates.handle(now, event, &mut self.actions);
    }

    fn apply_roster(&mut self, at_ms: u64, version: u64, slots: &[u16], peer_slots: &[u16]) {
        let held = slots.iter().map(|slot| HeldSlot {
            slot: *slot,
            usable_from: MonoTime::from_millis(at_ms + self.slot_delay_ms),
        });
        let peer = RosterPeer {
            vm: "peer".into(),
            incarnation: Incarnation(1),
            slots: peer_slots.to_vec(),
        };
        let view = RosterView {
            version,
            slot_count: 2,
            slots: held.collect(),
            peers: vec![peer],
            lease_until: MonoTime::from_millis(100_000),
        };
        self.handle(at_ms, RatesEvent::Roster(view));
    }

    fn request_loan(&mut self, at_ms: u64, seq: u64, returned: u64, want_refill_rate: u64) {
        let loan_request = LoanRequest {
            workspace: "w".into(),
            accepted: Some(0),
            unspent: 0,
            returned,
            want_refill_rate,
            want_tokens: 0,
        };
        let message = RatesMessage::Ask {
            seq,
            asks: vec![loan_request],
        };
        let event = RatesEvent::Received {
            from: "peer".into(),
            incarnation: Incarnation(1),
            message,
        };
        self.handle(at_ms, event);
    }

    /// Answers the newest loan request of the VM with five tokens.
    fn grant_tokens(&mut self, at_ms: u64, roster_version: u64) {
        self.grant_loan(at_ms, roster_version, 5_000, 0);
    }

    /// Answers the newest loan request of the VM with millitokens and a refill rate.
    fn grant_loan(&mut self, at_ms: u64, roster_version: u64, tokens: u64, refill_rate: u64) {
        let ask_seq = |action: &RatesAction| match action {
            RatesAction::Send {
                message: RatesMessage::Ask { seq, .. },
                ..
            } => Some(*seq),
            _ => None,
        };
        let grant = Grant {
            workspace: "w".into(),
            refill_rate,
            refill_capacity: refill_rate / 10,
            fill: 0,
            tokens,
            spare: 0,
        };
        let message = RatesMessage::Answer {
            seq: self.actions.iter().rev().find_map(ask_seq).unwrap_or(0),
            roster_version,
            grants: vec![grant],
        };
        let event = RatesEvent::Received {
            from: "peer".into(),
            incarnation: Incarnation(1),
            message,
        };
        self.handle(at_ms, event);
    }

    /// Returns how many of 200 simultaneous requests are admitted at once.
    fn admit(&mut self, at_ms: u64) -> usize {
        self.actions.clear();
        for request in 0..200 {
            let event = RatesEvent::Admit {
                workspace: "w".into(),
                request: RequestId(request),
                deadline: MonoTime::from_millis(at_ms + 1),
                priority: 0,
            };
            self.handle(at_ms, event);
        }
        let admitted = |action: &&RatesAction| matches!(action, RatesAction::Admitted { .. });
        self.actions.iter().filter(admitted).count()
    }
}

/// Guards against returned tokens that are added to the bucket once for each copy of the message,
/// also after the lender's record of the loan has expired.
#[test]
fn duplicate_loan_request_returns_tokens_only_once() {
    let mut lender = SingleVm::new(0, 40, &[0]);
    for at_ms in [20, 30, 2_000] {
        lender.request_loan(at_ms, 1, 3_000, 0);
    }
    assert_eq!(lender.admit(2_001), 3);
}

/// Guards against refill at the lender while a borrower that has not received the latest answer
/// still refills at the lent rate.
#[test]
fn lender_reserves_an_unacknowledged_grant_until_it_expires() {
    let mut lender = SingleVm::new(100, 100, &[0, 1]);
    lender.request_loan(10, 1, 0, 100_000);
    lender.request_loan(20, 2, 0, 0);
    assert_eq!(lender.admit(300), 1);
    // 409 ms after the second loan request both grants have expired, and the lender refills again.
    assert_eq!(lender.admit(529), 10);
}

/// Guards against a bucket that keeps the tokens of a slot that its VM has lost.
#[test]
fn tokens_of_a_lost_slot_are_dropped() {
    let vm_with_full_bucket = || {
        let mut vm = SingleVm::new(100, 100, &[0, 1]);
        vm.handle(2_000, RatesEvent::DeadlineReached);
        vm
    };
    let mut vm = vm_with_full_bucket();
    vm.apply_roster(2_000, 2, &[0], &[1]);
    assert_eq!(vm.admit(2_000), 50);
    // A slot that replaces another one starts with an empty bucket.
    let mut vm = vm_with_full_bucket();
    vm.apply_roster(2_000, 2, &[0], &[1]);
    vm.apply_roster(2_000, 3, &[1], &[0]);
    assert_eq!(vm.admit(2_000), 0);
}

/// Guards against use of a slot while its former holder may still use it.
#[test]
fn new_slot_is_not_used_before_it_is_usable() {
    let mut vm = SingleVm::new(100, 100, &[]);
    vm.slot_delay_ms = 308;
    vm.apply_roster(692, 2, &[0, 1], &[]);
    assert_eq!(vm.admit(990), 0);
    vm.handle(1_000, RatesEvent::DeadlineReached);
    assert_eq!(vm.admit(1_100), 10);
}

/// Guards against a loan that outlives its lender's slot, or comes from a lender that does not
/// know yet that it has lost the slot. The slot's next holder uses the whole share.
#[test]
fn loan_ends_when_its_lender_loses_the_slot() {
    let borrow = || {
        let mut vm = SingleVm::new(0, 100, &[0]);
        assert_eq!(vm.admit(10), 0);
        vm
    };
    let mut vm = borrow();
    vm.grant_tokens(20, 1);
    assert_eq!(vm.admit(30), 5);
    let mut vm = borrow();
    vm.grant_tokens(20, 1);
    vm.apply_roster(25, 2, &[0], &[]);
    assert_eq!(vm.admit(30), 0);
    let mut vm = borrow();
    vm.apply_roster(15, 2, &[0], &[]);
    assert_eq!(vm.admit(16), 0);
    vm.grant_tokens(20, 1);
    assert_eq!(vm.admit(30), 0);
}

/// Guards against a borrower that spends a loan, or refills at its rate, after it has expired. The
/// lender uses the tokens from then on, and cannot notify the borrower when messages are lost.
#[test]
fn borrower_holds_nothing_after_a_loan_expires() {
    // The loan request is sent at 10 ms, and the loan expires 400 ms later.
    for (tokens, refill_rate) in [(5_000, 0), (0, 100_000), (5_000, 100_000)] {
        let borrow = || {
            let mut vm = SingleVm::new(200, 100, &[]);
            assert_eq!(vm.admit(10), 0);
            vm.grant_loan(20, 1, tokens, refill_rate);
            vm
        };
        assert!(borrow().admit(400) >= 5, "{tokens} and {refill_rate}");
        let mut vm = borrow();
        for at_ms in [411, 600, 2_000] {
            assert_eq!(
                vm.admit(at_ms),
                0,
                "{tokens} and {refill_rate} at {at_ms} ms"
            );
        }
    }
}

/// Guards against a loan that expires at the lender while the borrower can still spend it.
#[test]
fn loan_expires_at_the_borrower_first() {
    let limits = [("b", 400, 16)];
    let mut simulation = Simulation::new(
        4,
        RELIABLE_NETWORK,
        LendingMode::default(),
        config(1, &limits),
    );
    for at in (0..RUN_DURATION).step_by(1_000) {
        simulation.arrive(at, 3, "b");
        simulation.arrive(at, (at / SECOND) as usize % 3, "b");
    }
    for at in (SECOND..RUN_DURATION).step_by(700 * MS as usize) {
        for lender in [0, 1, 2, 4, 5, 6, 7] {
            simulation.cut(at + lender as u64 * 13 * MS, 3, lender, at + 600 * MS);
        }
    }
    simulation.run_until(RUN_DURATION);
    assert_eq!(simulation.worst_overdraft(), 0);
}

/// Sends a little more than the rate through VMs that change often, while slots move and messages
/// arrive twice and out of order. The burst is small compared to the rate, so that tokens lost
/// earlier cannot hide many duplicated ones.
fn run_with_small_burst(seed: u64) -> Simulation {
    let network = Network {
        loss_percent: 0,
        duplicate_percent: 40,
        ..UNRELIABLE_NETWORK
    };
    let run_duration = 3 * SECOND;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limits = [("t", 2_000, 16)];
    let mut simulation = Simulation::new(seed, network, LendingMode::default(), config(1, &limits));
    let (mut at, mut node) = (0, 0);
    while at < run_duration {
        if rng.random_range(0..150) == 0 {
            (at, node) = (at + rng.random_range(0..30 * MS), rng.random_range(0..8));
        }
        simulation.arrive(at, node, "t");
        at += rng.random_range(1..700);
    }
    let mut at = 500 * MS;
    while at < run_duration {
        let from = rng.random_range(0..8);
        if rng.random_range(0..2) == 0 {
            simulation.block_lease_renewal(at, from, at + 600 * MS);
        }
        simulation.move_slot(at, from, rng.random_range(0..8));
        at += rng.random_range(50 * MS..350 * MS);
    }
    simulation.run_until(run_duration);
    simulation
}

/// Guards against short overlaps: a slot that two VMs use at once, and loans that count twice.
#[test]
fn moving_slots_duplicate_no_tokens() {
    for seed in 0..3 {
        assert_eq!(
            run_with_small_burst(seed).worst_overdraft(),
            0,
            "seed {seed}"
        );
    }
}

fn check_seeds(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let simulation = run_with_faults(seed, seed % 2 == 0);
        assert_eq!(simulation.worst_overdraft(), 0, "seed {seed}");
        let admitted = simulation.counts.values().map(|count| count.admitted);
        assert!(admitted.sum::<u64>() > 500, "seed {seed}");
    }
}

macro_rules! seed_tests {
    ($($name:ident: $seeds:expr,)*) => {
        $(
            /// Guards against duplicated tokens after lost, late and duplicate messages, at a VM
            /// that resumes without its slot, and after a change of rates, bursts or slots.
            #[test]
            fn $name() {
                check_seeds($seeds);
            }
        )*
    };
}

seed_tests! {
    no_window_exceeds_rate_and_burst_0: 0..2,
    no_window_exceeds_rate_and_burst_1: 2..4,
    no_window_exceeds_rate_and_burst_2: 4..6,
    no_window_exceeds_rate_and_burst_3: 6..8,
    no_window_exceeds_rate_and_burst_4: 8..10,
    no_window_exceeds_rate_and_burst_5: 10..12,
}
