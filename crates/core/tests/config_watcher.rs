//! Distribution of the configuration: every VM must apply an accepted version within 3 s and must
//! never revert to an older one.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::ConfigMessage;
use lycheedoor_core::config::ConfigWatcher;
use lycheedoor_core::config::ConfigWatcherAction;
use lycheedoor_core::config::ConfigWatcherEvent;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const VM_COUNT: usize = 8;
const LINK_DELAY: Duration = Duration::from_micros(1_500);
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

enum Delivery {
    Tick,
    Answer { call: u64, answer: PlatformAnswer },
    Message { from: usize, message: ConfigMessage },
}

/// Simulates the watchers of all VMs, the platform and lossy links in virtual time.
struct Fleet {
    now: MonoTime,
    rng: ChaCha8Rng,
    watchers: Vec<ConfigWatcher>,
    is_up: [bool; VM_COUNT],
    is_platform_up: bool,
    version: u64,
    watches: Vec<(usize, u64)>,
    last_call: [u64; VM_COUNT],
    queue: BTreeMap<(MonoTime, u64), (usize, Delivery)>,
    sequence: u64,
    applied_at: Vec<BTreeMap<u64, MonoTime>>,
    loss_probability: f64,
}

impl Fleet {
    fn new(seed: u64, relays: &[usize]) -> Self {
        let watchers = (0..VM_COUNT)
            .map(|index| ConfigWatcher::new(ChaCha8Rng::seed_from_u64(seed * 100 + index as u64)))
            .collect();
        let mut fleet = Self {
            now: MonoTime::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            watchers,
            is_up: [true; VM_COUNT],
            is_platform_up: true,
            version: 1,
            watches: Vec::new(),
            last_call: [0; VM_COUNT],
            queue: BTreeMap::new(),
            sequence: 0,
            applied_at: vec![BTreeMap::new(); VM_COUNT],
            loss_probability: 0.02,
        };
        for index in 0..VM_COUNT {
            let peers = (0..VM_COUNT)
                .filter(|peer| *peer != index)
                .map(vm_id)
                .collect();
            fleet.handle_event(index, ConfigWatcherEvent::PeersChanged { peers });
            if relays.contains(&index) {
                fleet.handle_event(index, ConfigWatcherEvent::RelayChanged { is_relay: true });
            }
        }
        fleet
    }

    fn schedule(&mut self, at: MonoTime, to: usize, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (to, delivery));
    }

    fn handle_event(&mut self, index: usize, event: ConfigWatcherEvent) {
        let mut actions = Vec::new();
        let before = self.watchers[index].version();
        self.watchers[index].handle(self.now, event, &mut actions);
        assert!(
            self.watchers[index].version() >= before,
            "configuration reverted to an older version"
        );
        for action in actions {
            self.apply_action(index, action);
        }
        if let Some(deadline) = self.watchers[index].next_deadline() {
            self.schedule(deadline.max(self.now), index, Delivery::Tick);
        }
    }

    fn apply_action(&mut self, index: usize, action: ConfigWatcherAction) {
        match action {
            ConfigWatcherAction::CallPlatform(request) => self.call_platform(index, request),
            ConfigWatcherAction::SendPeer { to, message } => {
                if !self.rng.random_bool(self.loss_probability) {
                    let to = (0..VM_COUNT).find(|peer| vm_id(*peer) == to).unwrap();
                    let delivery = Delivery::Message {
                        from: index,
                        message,
                    };
                    self.schedule(self.now + LINK_DELAY, to, delivery);
                }
            }
            ConfigWatcherAction::Apply(config) => {
                self.applied_at[index].insert(config.version, self.now);
            }
            ConfigWatcherAction::RejectValue { .. } => {
                panic!("the simulated platform holds only valid configurations")
            }
        }
    }

    fn call_platform(&mut self, index: usize, request: PlatformRequest) {
        self.last_call[index] += 1;
        let call = self.last_call[index];
        let (delay, answer) = match request {
            PlatformRequest::Watch { known_version, .. }
                if self.is_platform_up && known_version == self.version =>
            {
                self.watches.push((index, call));
                (
                    WATCH_TIMEOUT,
                    PlatformAnswer::Unchanged {
                        version: known_version,
                    },
                )
            }
            _ => (2 * LINK_DELAY, self.read_platform()),
        };
        self.schedule(self.now + delay, index, Delivery::Answer { call, answer });
    }

    fn read_platform(&self) -> PlatformAnswer {
        if !self.is_platform_up {
            return PlatformAnswer::Unreachable;
        }
        let config = Config {
            version: self.version,
            ..Config::default()
        };
        PlatformAnswer::Object {
            version: self.version,
            value: serde_json::to_vec(&config).unwrap(),
        }
    }

    fn publish(&mut self) {
        self.version += 1;
        for (index, call) in std::mem::take(&mut self.watches) {
            let answer = self.read_platform();
            self.schedule(
                self.now + LINK_DELAY,
                index,
                Delivery::Answer { call, answer },
            );
        }
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(((at, sequence), _)) = self.queue.first_key_value() {
            let (at, sequence) = (*at, *sequence);
            if at > end {
                break;
            }
            let Some((index, delivery)) = self.queue.remove(&(at, sequence)) else {
                break;
            };
            self.now = at;
            if !self.is_up[index] {
                continue;
            }
            match delivery {
                Delivery::Tick => {
                    if self.watchers[index]
                        .next_deadline()
                        .is_some_and(|due| due <= at)
                    {
                        self.handle_event(index, ConfigWatcherEvent::Tick);
                    }
                }
                Delivery::Answer { call, answer } => {
                    if self.last_call[index] == call {
                        self.handle_event(index, ConfigWatcherEvent::PlatformAnswered { answer });
                    }
                }
                Delivery::Message { from, message } => {
                    let event = ConfigWatcherEvent::PeerReceived {
                        from: vm_id(from),
                        message,
                    };
                    self.handle_event(index, event);
                }
            }
        }
        self.now = end;
    }
}

fn vm_id(index: usize) -> VmId {
    VmId::from(format!("vm{index}").as_str())
}

fn max_propagation_time(fleet: &Fleet, version: u64, published_at: MonoTime) -> Duration {
    let live = (0..VM_COUNT).filter(|index| fleet.is_up[*index]);
    live.map(|index| {
        let applied = fleet.applied_at[index].get(&version);
        applied.map_or(Duration::MAX, |at| at.since(published_at))
    })
    .max()
    .unwrap()
}

/// Guards against a configuration that reaches some VM late. With 8 VMs, 2% of messages lost and
/// one of two relays down, each of 500 published versions must be in force everywhere in 3 s.
#[test]
fn version_is_in_force_everywhere_within_three_seconds() {
    let mut propagation_times = Vec::new();
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, &[0, 1]);
        fleet.run_for(Duration::from_secs(2));
        fleet.is_up[1] = false;
        for _ in 0..50 {
            let published_at = fleet.now;
            fleet.publish();
            fleet.run_for(Duration::from_secs(4));
            propagation_times.push(max_propagation_time(&fleet, fleet.version, published_at));
        }
    }
    propagation_times.sort();
    let (median, worst) = (
        propagation_times[propagation_times.len() / 2],
        propagation_times[propagation_times.len() - 1],
    );
    println!(
        "in force everywhere: median {median:?}, worst of {} {worst:?}",
        propagation_times.len()
    );
    assert!(
        worst <= Duration::from_secs(3),
        "worst propagation time {worst:?}"
    );
}

/// Guards against VMs that depend on relays: without any relay, each VM reads the platform itself.
#[test]
fn version_spreads_without_any_relay() {
    let mut fleet = Fleet::new(7, &[]);
    fleet.run_for(Duration::from_secs(2));
    let published_at = fleet.now;
    fleet.publish();
    fleet.run_for(Duration::from_secs(4));
    let propagation_time = max_propagation_time(&fleet, 2, published_at);
    assert!(
        propagation_time <= Duration::from_secs(3),
        "propagation time {propagation_time:?}"
    );
}

/// Guards against a VM that loses its configuration or reverts to an older one during a platform
/// outage.
#[test]
fn configuration_stays_in_force_during_an_outage_and_is_updated_after_it() {
    let mut fleet = Fleet::new(11, &[0, 1]);
    fleet.run_for(Duration::from_secs(2));
    fleet.is_platform_up = false;
    fleet.publish();
    fleet.run_for(Duration::from_secs(600));
    assert!(fleet.watchers.iter().all(|watcher| watcher.version() == 1));
    fleet.is_platform_up = true;
    fleet.run_for(Duration::from_secs(8));
    assert!(fleet.watchers.iter().all(|watcher| watcher.version() == 2));
}

/// Guards against applying a delayed answer of the platform that arrives after a newer version.
#[test]
fn stale_answer_does_not_replace_a_newer_version() {
    let mut watcher = ConfigWatcher::new(ChaCha8Rng::seed_from_u64(1));
    let mut actions = Vec::new();
    let now = MonoTime::from_millis(5);
    watcher.handle(now, ConfigWatcherEvent::Tick, &mut actions);
    let newer = Config {
        version: 9,
        ..Config::default()
    };
    let push = ConfigMessage::Push {
        config: newer.into(),
    };
    let event = ConfigWatcherEvent::PeerReceived {
        from: vm_id(1),
        message: push,
    };
    watcher.handle(now, event, &mut actions);
    let older = Config {
        version: 8,
        ..Config::default()
    };
    let answer = PlatformAnswer::Object {
        version: 8,
        value: serde_json::to_vec(&older).unwrap(),
    };
    watcher.handle(
        now,
        ConfigWatcherEvent::PlatformAnswered { answer },
        &mut actions,
    );
    assert_eq!(watcher.version(), 9);
}

/// Returns a watcher that holds version 1, and a time long after the last confirmation of that
/// version.
fn watcher_after_a_lost_lease() -> (ConfigWatcher, MonoTime) {
    let mut watcher = ConfigWatcher::new(ChaCha8Rng::seed_from_u64(1));
    let mut actions = Vec::new();
    let start = MonoTime::from_millis(5);
    let peers = (1..4).map(vm_id).collect();
    let config = Config {
        version: 1,
        ..Config::default()
    };
    let value = serde_json::to_vec(&config).unwrap();
    let answer = PlatformAnswer::Object { version: 1, value };
    for event in [
        ConfigWatcherEvent::PeersChanged { peers },
        ConfigWatcherEvent::PlatformAnswered { answer },
    ] {
        watcher.handle(start, event, &mut actions);
    }
    assert!(watcher.is_confirmed(true));
    (watcher, start + Duration::from_secs(6))
}

/// Guards against a VM that accepts withdrawn keys between regaining its lease and the next
/// comparison of versions.
#[test]
fn version_is_not_used_after_a_lost_lease_until_the_platform_confirms_it() {
    let (mut watcher, now) = watcher_after_a_lost_lease();
    let mut actions = Vec::new();
    watcher.handle(now, ConfigWatcherEvent::LeaseGained, &mut actions);
    assert!(!watcher.is_confirmed(true));
    let is_platform_call =
        |action: &ConfigWatcherAction| matches!(action, ConfigWatcherAction::CallPlatform(_));
    assert!(actions.iter().any(is_platform_call), "{actions:?}");
    let answer = PlatformAnswer::Unchanged { version: 1 };
    let event = ConfigWatcherEvent::PlatformAnswered { answer };
    watcher.handle(now, event, &mut actions);
    assert!(watcher.is_confirmed(true));
}

/// Guards against a VM that cannot serve again as long as the platform is down, and against one
/// that relies on a minority of the VMs.
#[test]
fn majority_confirms_the_version_while_the_platform_does_not_answer() {
    let (mut watcher, now) = watcher_after_a_lost_lease();
    let mut actions = Vec::new();
    watcher.handle(now, ConfigWatcherEvent::LeaseGained, &mut actions);
    for (peer, confirmed) in [(1, false), (2, true)] {
        let message = ConfigMessage::Version {
            version: 1,
            confirmed_age_ms: Some(60_000),
        };
        let from = vm_id(peer);
        let event = ConfigWatcherEvent::PeerReceived { from, message };
        watcher.handle(now, event, &mut actions);
        assert_eq!(watcher.is_confirmed(false), confirmed);
        assert!(!watcher.is_confirmed(true));
    }
}
