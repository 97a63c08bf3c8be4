//! No window may admit more than the rate times its length plus the burst, whatever happens.

mod fleet;
mod fleet_rates;

use fleet::MS;
use fleet::Network;
use fleet::SECOND;
use fleet_rates::CALM;
use fleet_rates::World;
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

const RUN: u64 = 7 * SECOND;
const ROUGH: Network = Network {
    min_delay: MS,
    max_delay: 40 * MS,
    loss_percent: 5,
    duplicate_percent: 5,
};

/// Rates and bursts: the last two are split over a subset of the slots.
const LIMITS: [(&str, u32, u32); 4] = [("a", 100, 40), ("b", 400, 64), ("c", 50, 5), ("d", 20, 1)];

/// Sends each workspace about three times its rate through a VM that changes now and then.
fn add_flood(world: &mut World, rng: &mut ChaCha8Rng) {
    for (name, rate, _) in LIMITS {
        let (mut at, mut node, mut spread) = (0, 0, false);
        while at < RUN {
            if rng.random_range(0..u64::from(rate) * 3) == 0 {
                (node, spread) = (rng.random_range(0..8), rng.random_range(0..3) == 0);
            }
            let entry = if spread { rng.random_range(0..8) } else { node };
            world.arrive(at, entry, name);
            at += rng.random_range(1..2 * SECOND / (3 * u64::from(rate)));
        }
    }
}

/// Pauses, kills, stops and replaces VMs at random, also while another one is out.
fn add_faults(world: &mut World, rng: &mut ChaCha8Rng) {
    let mut at = SECOND;
    while at < RUN {
        let name = rng.random_range(0..8);
        match rng.random_range(0..7) {
            0 => world.pause(at, name, at + rng.random_range(50 * MS..2 * SECOND)),
            1 => {
                // A VM that is replaced while it sleeps wakes up without a place in the roster.
                world.pause(at, name, at + 1_500 * MS);
                world.replace(at + 400 * MS, name);
            }
            2 => {
                world.kill(at, name);
                world.replace(at + rng.random_range(0..SECOND), name);
            }
            5 => world.shift(at, name, rng.random_range(0..8)),
            3 | 4 => {
                let until = at + rng.random_range(200 * MS..SECOND);
                world.cut(at, name, rng.random_range(0..8), until);
            }
            _ => {
                world.stop(at, name);
                world.replace(at + rng.random_range(100 * MS..2 * SECOND), name);
            }
        }
        at += rng.random_range(200 * MS..1_500 * MS);
    }
}

fn run(seed: u64, change_rates: bool) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(seed, ROUGH, LendingMode::default(), config(1, &LIMITS));
    add_flood(&mut world, &mut rng);
    add_faults(&mut world, &mut rng);
    if change_rates {
        let mut limits = LIMITS;
        (limits[0], limits[1]) = (("a", 300, 120), ("b", 40, 24));
        world.publish(SECOND, config(2, &limits));
        // Three seconds for the configuration, and one life of the loans given before.
        world.run_until(4_500 * MS);
        world.settle_config(4_500 * MS);
    }
    world.run_until(RUN);
    world
}

/// Guards against a loan that outlives its lender's slot: the slot's next holder starts while the
/// borrower, which has a valid lease, would still accrue on the loan.
#[test]
fn loan_ends_before_the_next_holder_of_the_slot_starts() {
    // The rate is high against the burst, and a pause fills all buckets before each fault, so that
    // a short overlap shows.
    let limits = [("b", 4_000, 16)];
    let run = 3 * SECOND;
    let pause = 40 * MS;
    let mut world = World::new(3, CALM, LendingMode::default(), config(1, &limits));
    for at in (0..run).step_by(200) {
        let after_fault = (at + pause).saturating_sub(SECOND) % (470 * MS);
        if at + pause < SECOND || after_fault >= pause {
            world.arrive(at, 3, "b");
        }
    }
    for (round, name) in (0..4).zip([0, 1, 2, 4]) {
        let at = SECOND + round * 470 * MS;
        match round % 2 {
            0 => world.pause(at, name, at + 2 * SECOND),
            _ => world.deafen(at, name, at + 2 * SECOND),
        }
        world.shift(at, name, 7);
    }
    world.run_until(run);
    assert_eq!(world.worst_overdraft(), 0);
}

/// One VM and the number of requests that it has admitted.
struct Lone {
    role: Rates,
    actions: Vec<RatesAction>,
    slot_wait_ms: u64,
}

impl Lone {
    /// Starts a VM that holds some of two slots, with a rate and a burst for workspace `w`.
    fn new(rate: u32, burst: u32, slots: &[u16]) -> Self {
        let mut lone = Self {
            role: Rates::default(),
            actions: Vec::new(),
            slot_wait_ms: 0,
        };
        let config = config(1, &[("w", rate, burst)]);
        lone.take(0, RatesEvent::Configured(config));
        lone.hold(0, 1, slots, &[1]);
        lone
    }

    fn take(&mut self, at_ms: u64, event: RatesEvent) {
        let now = MonoTime::from_millis(at_ms);
        self.role.handle(now, event, &mut self.actions);
    }

    fn hold(&mut self, at_ms: u64, version: u64, slots: &[u16], peer_slots: &[u16]) {
        let held = slots.iter().map(|slot| HeldSlot {
            slot: *slot,
            usable_from: MonoTime::from_millis(at_ms + self.slot_wait_ms),
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
        self.take(at_ms, RatesEvent::Roster(view));
    }

    fn ask(&mut self, at_ms: u64, seq: u64, returned: u64, want_stream: u64) {
        let ask = LoanRequest {
            workspace: "w".into(),
            accepted: Some(0),
            unspent: 0,
            returned,
            want_refill_rate: want_stream,
            want_tokens: 0,
        };
        let message = RatesMessage::Ask {
            seq,
            asks: vec![ask],
        };
        let event = RatesEvent::Received {
            from: "peer".into(),
            incarnation: Incarnation(1),
            message,
        };
        self.take(at_ms, event);
    }

    /// Answers the newest ask of the VM with a loan of five tokens.
    fn lend(&mut self, at_ms: u64, roster_version: u64) {
        self.lend_stream(at_ms, roster_version, 5_000, 0);
    }

    /// Answers the newest ask of the VM with a loan of millitokens and of accrual.
    fn lend_stream(&mut self, at_ms: u64, roster_version: u64, tokens: u64, stream: u64) {
        let asked = |action: &RatesAction| match action {
            RatesAction::Send {
                message: RatesMessage::Ask { seq, .. },
                ..
            } => Some(*seq),
            _ => None,
        };
        let grant = Grant {
            workspace: "w".into(),
            refill_rate: stream,
            refill_capacity: stream / 10,
            fill: 0,
            tokens,
            spare: 0,
        };
        let message = RatesMessage::Answer {
            seq: self.actions.iter().rev().find_map(asked).unwrap_or(0),
            roster_version,
            grants: vec![grant],
        };
        let event = RatesEvent::Received {
            from: "peer".into(),
            incarnation: Incarnation(1),
            message,
        };
        self.take(at_ms, event);
    }

    /// Counts how many of many requests are admitted at once.
    fn admit(&mut self, at_ms: u64) -> usize {
        self.actions.clear();
        for request in 0..200 {
            let event = RatesEvent::Admit {
                workspace: "w".into(),
                request: RequestId(request),
                deadline: MonoTime::from_millis(at_ms + 1),
            };
            self.take(at_ms, event);
        }
        let admitted = |action: &&RatesAction| matches!(action, RatesAction::Admitted { .. });
        self.actions.iter().filter(admitted).count()
    }
}

/// Guards against tokens given back once and counted for each copy of the message, also when the
/// lender's record has expired.
#[test]
fn late_copy_of_an_ask_returns_nothing_twice() {
    let mut lender = Lone::new(0, 40, &[0]);
    for at_ms in [20, 30, 2_000] {
        lender.ask(at_ms, 1, 3_000, 0);
    }
    assert_eq!(lender.admit(2_001), 3);
}

/// Guards against accrual at the lender and at a borrower that has not heard of the change.
#[test]
fn lender_keeps_counting_an_answer_that_was_not_acknowledged() {
    let mut lender = Lone::new(100, 100, &[0, 1]);
    lender.ask(10, 1, 0, 100_000);
    lender.ask(20, 2, 0, 0);
    assert_eq!(lender.admit(300), 1);
    // 409 ms after the second ask both loans have expired, and the lender accrues again.
    assert_eq!(lender.admit(529), 10);
}

/// Guards against a bucket that keeps the tokens of a slot that was lost.
#[test]
fn lost_slot_takes_its_tokens_with_it() {
    let full = || {
        let mut vm = Lone::new(100, 100, &[0, 1]);
        vm.take(2_000, RatesEvent::DeadlineReached);
        vm
    };
    let mut vm = full();
    vm.hold(2_000, 2, &[0], &[1]);
    assert_eq!(vm.admit(2_000), 50);
    // A slot that takes the place of another starts empty.
    let mut vm = full();
    vm.hold(2_000, 2, &[0], &[1]);
    vm.hold(2_000, 3, &[1], &[0]);
    assert_eq!(vm.admit(2_000), 0);
}

/// Guards against use of a slot while its former holder may still use it.
#[test]
fn new_slot_waits_for_its_former_holder() {
    let mut vm = Lone::new(100, 100, &[]);
    vm.slot_wait_ms = 308;
    vm.hold(692, 2, &[0, 1], &[]);
    assert_eq!(vm.admit(990), 0);
    vm.take(1_000, RatesEvent::DeadlineReached);
    assert_eq!(vm.admit(1_100), 10);
}

/// Guards against a loan that outlives its lender's slot, or comes from a lender that does not
/// know yet that it has lost it: the slot's next holder counts on it.
#[test]
fn loan_ends_with_the_slot_of_its_lender() {
    let borrow = || {
        let mut vm = Lone::new(0, 100, &[0]);
        assert_eq!(vm.admit(10), 0);
        vm
    };
    let mut vm = borrow();
    vm.lend(20, 1);
    assert_eq!(vm.admit(30), 5);
    let mut vm = borrow();
    vm.lend(20, 1);
    vm.hold(25, 2, &[0], &[]);
    assert_eq!(vm.admit(30), 0);
    let mut vm = borrow();
    vm.hold(15, 2, &[0], &[]);
    assert_eq!(vm.admit(16), 0);
    vm.lend(20, 1);
    assert_eq!(vm.admit(30), 0);
}

/// Guards against a borrower that spends a loan, or goes on accruing on it, after its end: the
/// lender counts on the tokens from then on, and cannot tell the borrower when messages are lost.
#[test]
fn borrower_has_nothing_left_after_the_end_of_a_loan() {
    // The ask is sent at 10 ms, and a loan lives for 400 ms from then on.
    for (tokens, stream) in [(5_000, 0), (0, 100_000), (5_000, 100_000)] {
        let borrow = || {
            let mut vm = Lone::new(200, 100, &[]);
            assert_eq!(vm.admit(10), 0);
            vm.lend_stream(20, 1, tokens, stream);
            vm
        };
        assert!(borrow().admit(400) >= 5, "{tokens} and {stream}");
        let mut vm = borrow();
        for at_ms in [411, 600, 2_000] {
            assert_eq!(vm.admit(at_ms), 0, "{tokens} and {stream} at {at_ms} ms");
        }
    }
}

/// Guards against a lender that forgets a loan before the borrower does.
#[test]
fn loan_ends_at_the_borrower_first() {
    let limits = [("b", 400, 16)];
    let mut world = World::new(4, CALM, LendingMode::default(), config(1, &limits));
    for at in (0..RUN).step_by(1_000) {
        world.arrive(at, 3, "b");
        world.arrive(at, (at / SECOND) as usize % 3, "b");
    }
    for at in (SECOND..RUN).step_by(700 * MS as usize) {
        for lender in [0, 1, 2, 4, 5, 6, 7] {
            world.cut(at + lender as u64 * 13 * MS, 3, lender, at + 600 * MS);
        }
    }
    world.run_until(RUN);
    assert_eq!(world.worst_overdraft(), 0);
}

/// Sends a little more than the rate through VMs that change all the time, while slots move and
/// messages arrive twice and out of order. The burst is small against the rate, so that little
/// that was lost before can hide what exists twice.
fn run_tight(seed: u64) -> World {
    let network = Network {
        loss_percent: 0,
        duplicate_percent: 40,
        ..ROUGH
    };
    let run = 3 * SECOND;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limits = [("t", 2_000, 16)];
    let mut world = World::new(seed, network, LendingMode::default(), config(1, &limits));
    let (mut at, mut node) = (0, 0);
    while at < run {
        if rng.random_range(0..150) == 0 {
            (at, node) = (at + rng.random_range(0..30 * MS), rng.random_range(0..8));
        }
        world.arrive(at, node, "t");
        at += rng.random_range(1..700);
    }
    let mut at = 500 * MS;
    while at < run {
        let from = rng.random_range(0..8);
        if rng.random_range(0..2) == 0 {
            world.deafen(at, from, at + 600 * MS);
        }
        world.shift(at, from, rng.random_range(0..8));
        at += rng.random_range(50 * MS..350 * MS);
    }
    world.run_until(run);
    world
}

/// Guards against small overlaps: a slot used by two VMs at once, loans that count twice.
#[test]
fn slots_on_the_move_give_no_token_twice() {
    for seed in 0..3 {
        assert_eq!(run_tight(seed).worst_overdraft(), 0, "seed {seed}");
    }
}

fn check(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let world = run(seed, seed % 2 == 0);
        assert_eq!(world.worst_overdraft(), 0, "seed {seed}");
        let admitted = world.counts.values().map(|count| count.admitted);
        assert!(admitted.sum::<u64>() > 500, "seed {seed}");
    }
}

macro_rules! check_in_parallel {
    ($($name:ident: $seeds:expr,)*) => {
        $(
            /// Guards against tokens that exist twice: after lost, late and doubled messages, at
            /// a VM that wakes without its slot, and after a change of rates, bursts or slots.
            #[test]
            fn $name() {
                check($seeds);
            }
        )*
    };
}

check_in_parallel! {
    no_window_gets_more_than_rate_and_burst_0: 0..2,
    no_window_gets_more_than_rate_and_burst_1: 2..4,
    no_window_gets_more_than_rate_and_burst_2: 4..6,
    no_window_gets_more_than_rate_and_burst_3: 6..8,
    no_window_gets_more_than_rate_and_burst_4: 8..10,
    no_window_gets_more_than_rate_and_burst_5: 10..12,
}
