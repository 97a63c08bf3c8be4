//! Causal order of events from processes whose wall clocks differ, and gaps for lost events.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use lycheedoor_core::timeline::Entry;
use lycheedoor_core::timeline::EventCode;
use lycheedoor_core::timeline::Export;
use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::timeline::Process;
use lycheedoor_core::timeline::Subject;
use lycheedoor_core::timeline::Timeline;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::timeline::merge;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const VMS: usize = 5;
const MAX_SKEW_US: i64 = 30_000_000;
const START_TIME_US: i64 = 1_000_000_000;

/// For each VM, how many of its events causally precede a point in the run. The reference for the
/// order by hybrid timestamps.
type VectorClock = [u64; VMS];

struct Vm {
    timeline: Timeline,
    skew_us: i64,
    vector_clock: VectorClock,
}

struct Message {
    to: usize,
    arrival_us: i64,
    stamp: HybridTime,
    vector_clock: VectorClock,
}

struct Simulation {
    rng: ChaCha8Rng,
    now_us: i64,
    vms: Vec<Vm>,
    messages: Vec<Message>,
    /// The causal past of each event, by VM and sequence number; includes the event itself.
    causal_pasts: BTreeMap<(usize, u64), VectorClock>,
    killed: Option<Export>,
}

fn process(vm: usize) -> Process {
    Process {
        vm: VmId::from(format!("vm-{vm}").as_str()),
        incarnation: Incarnation(1),
        data_centre: DataCentreId::from("dc"),
    }
}

fn vm_index(process: &Process) -> usize {
    process.vm.as_str()[3..].parse().unwrap()
}

impl Simulation {
    fn new(seed: u64, capacity: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = (0..VMS).map(|vm| Vm {
            timeline: Timeline::new(process(vm), capacity),
            skew_us: rng.random_range(-MAX_SKEW_US..=MAX_SKEW_US),
            vector_clock: [0; VMS],
        });
        let vms = vms.collect();
        Self {
            rng,
            now_us: START_TIME_US,
            vms,
            messages: Vec::new(),
            causal_pasts: BTreeMap::new(),
            killed: None,
        }
    }

    fn wall(&self, vm: usize) -> WallTime {
        WallTime((self.now_us + self.vms[vm].skew_us) as u64)
    }

    fn is_alive(&self, vm: usize) -> bool {
        vm != 0 || self.killed.is_none()
    }

    fn record(&mut self, vm: usize) {
        let wall = self.wall(vm);
        let state = &mut self.vms[vm];
        let sequence = state.vector_clock[vm];
        state.vector_clock[vm] += 1;
        self.causal_pasts.insert((vm, sequence), state.vector_clock);
        let request = Some(RequestId(sequence));
        let subject = Subject {
            request,
            ..Subject::default()
        };
        state.timeline.record(wall, EventCode::ReadRouted, subject);
    }

    fn step(&mut self) {
        self.now_us += self.rng.random_range(0..300);
        let now = self.now_us;
        let due: Vec<Message> = self
            .messages
            .extract_if(.., |m| m.arrival_us <= now)
            .collect();
        for message in due {
            if !self.is_alive(message.to) {
                continue;
            }
            let wall = self.wall(message.to);
            let state = &mut self.vms[message.to];
            state.timeline.observe(wall, message.stamp);
            for (own, theirs) in state.vector_clock.iter_mut().zip(message.vector_clock) {
                *own = theirs.max(*own);
            }
            self.record(message.to);
        }
        let vm = self.rng.random_range(0..VMS);
        if !self.is_alive(vm) {
            return;
        }
        match self.rng.random_range(0..10) {
            // The wall clock is adjusted, forwards or backwards.
            0 => self.vms[vm].skew_us = self.rng.random_range(-MAX_SKEW_US..=MAX_SKEW_US),
            1..5 => self.record(vm),
            _ => {
                let wall = self.wall(vm);
                let message = Message {
                    to: self.rng.random_range(0..VMS),
                    arrival_us: now + self.rng.random_range(0..5_000),
                    stamp: self.vms[vm].timeline.stamp(wall),
                    vector_clock: self.vms[vm].vector_clock,
                };
                self.messages.push(message);
            }
        }
    }

    /// Kills the first VM. Only the events that were exported before remain; the last 20 are lost.
    fn kill(&mut self) {
        let wall = self.wall(0);
        let mut export = self.vms[0].timeline.export(wall, 0, usize::MAX);
        export.reached = false;
        for _ in 0..20 {
            self.record(0);
        }
        self.killed = Some(export);
    }

    fn collect(&mut self) -> Vec<Entry> {
        let mut exports: Vec<Export> = self.killed.iter().cloned().collect();
        for vm in (0..VMS).filter(|vm| self.is_alive(*vm)).collect::<Vec<_>>() {
            let wall = self.wall(vm);
            exports.push(self.vms[vm].timeline.export(wall, 0, usize::MAX));
        }
        let merged = merge(&exports);
        exports.reverse();
        assert_eq!(
            merged,
            merge(&exports),
            "merged order depends on the order of the exports"
        );
        merged
    }

    /// Counts the events that come after an event that depends on them.
    fn inversions(&self, merged: &[Entry]) -> usize {
        let events: Vec<(usize, u64)> = merged
            .iter()
            .filter_map(|entry| Some((vm_index(entry.process()), entry.record()?.sequence)))
            .collect();
        let mut highest: VectorClock = [0; VMS];
        let mut inversions = 0;
        for (vm, sequence) in events {
            let is_late = highest[vm] > sequence;
            inversions += usize::from(is_late);
            for (high, past) in highest.iter_mut().zip(self.causal_pasts[&(vm, sequence)]) {
                *high = past.max(*high);
            }
        }
        inversions
    }
}

/// Guards against effects ordered before their causes when wall clocks differ by up to 60 s, when
/// they jump, or when a VM is killed.
#[test]
fn merged_events_are_in_causal_order() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 10_000);
        (0..1_500).for_each(|_| simulation.step());
        simulation.kill();
        (0..1_500).for_each(|_| simulation.step());
        let merged = simulation.collect();
        assert!(merged.len() > 1_000);
        assert_eq!(simulation.inversions(&merged), 0, "seed {seed}");
        let gaps: Vec<&Entry> = merged
            .iter()
            .filter(|entry| entry.record().is_none())
            .collect();
        let [Entry::Gap(gap)] = gaps[..] else {
            panic!("seed {seed}: {gaps:?}");
        };
        assert_eq!(
            (vm_index(&gap.process), gap.missing, gap.until),
            (0, None, None)
        );
    }
}

/// Guards against events that are lost without a gap in the merged timeline.
#[test]
fn dropped_events_show_as_gaps_with_their_number() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 100);
        let mut exports = Vec::new();
        for round in 0..6 {
            (0..400).for_each(|_| simulation.step());
            let wall = simulation.wall(1);
            let from = exports
                .last()
                .map_or(0, |export: &Export| export.next_sequence);
            exports.push(simulation.vms[1].timeline.export(wall, from, 40 + round));
        }
        let recorded = simulation.vms[1].vector_clock[1];
        let wall = simulation.wall(1);
        let last = exports.last().unwrap().next_sequence;
        exports.push(simulation.vms[1].timeline.export(wall, last, usize::MAX));
        let merged = merge(&exports);
        let kept = merged
            .iter()
            .filter(|entry| entry.record().is_some())
            .count() as u64;
        let lost: u64 = merged
            .iter()
            .filter_map(|entry| match entry {
                Entry::Gap(gap) => gap.missing,
                Entry::Event { .. } => None,
            })
            .sum();
        assert_eq!(kept + lost, recorded, "seed {seed}");
        assert!(lost > 0 && simulation.vms[1].timeline.dropped() > 0);
        let times: Vec<HybridTime> = merged.iter().map(Entry::time).collect();
        assert!(times.is_sorted());
    }
}
