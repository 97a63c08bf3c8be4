//! A simulated fleet of VMs in virtual time: a lossy network, membership leases, a roster, and
//! pauses and crashes of VMs. Times are in microseconds.

#![allow(
    dead_code,
    reason = "each test file uses only a part of the simulation"
)]
#![allow(
    clippy::expect_used,
    reason = "test helpers fail the test by panicking"
)]

use std::collections::BTreeMap;

use lycheedoor_core::types::HeldSlot;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::RosterPeer;
use lycheedoor_core::types::RosterView;
use lycheedoor_core::types::VmId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub(crate) const MS: u64 = 1_000;
pub(crate) const SECOND: u64 = 1_000_000;
pub(crate) const SLOT_COUNT: u16 = 8;
const LEASE_DURATION_US: u64 = 300 * MS;
const RENEWAL_INTERVAL_US: u64 = 100 * MS;
const TAKEOVER_DELAY_US: u64 = 308 * MS;

/// An incarnation of a VM. Its clock has an offset that no other VM knows.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock_offset: u64,
    pub(crate) alive: bool,
    pub(crate) paused_until: u64,
    pub(crate) lease_until: u64,
    pub(crate) roster_version: u64,
    /// The time until which the VM cannot renew its lease.
    pub(crate) renewal_blocked_until: u64,
}

impl Node {
    pub(crate) fn local_time(&self, now: u64) -> MonoTime {
        MonoTime::from_micros(now + self.clock_offset)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Network {
    pub(crate) min_delay: u64,
    pub(crate) max_delay: u64,
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
}

/// The event queue of a simulation, ordered by time; events at the same time keep their order.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    next: u64,
    events: BTreeMap<(u64, u64), E>,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        let events = BTreeMap::new();
        Self { next: 0, events }
    }

    pub(crate) fn add(&mut self, at: u64, event: E) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    /// Removes and returns the first event, unless it is later than `end`.
    pub(crate) fn pop_until(&mut self, end: u64) -> Option<(u64, E)> {
        let first = self.events.first_entry()?;
        if first.key().0 > end {
            return None;
        }
        let ((at, _), event) = first.remove_entry();
        Some((at, event))
    }
}

/// The nodes, the roster and the network. The simulation of each role owns the roles themselves.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) rng: ChaCha8Rng,
    pub(crate) network: Network,
    pub(crate) nodes: Vec<Node>,
    version: u64,
    /// One-way link cuts: sender, receiver and end time.
    pub(crate) cuts: Vec<(VmId, VmId, u64)>,
    /// For each slot, its holder and the time from which the holder may use it. Without a holder, a
    /// time of 0 means that the next holder may use it at once.
    slots: Vec<(Option<usize>, u64)>,
}

impl Fleet {
    pub(crate) fn new(seed: u64, network: Network) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            network,
            nodes: Vec::new(),
            version: 0,
            cuts: Vec::new(),
            slots: vec![(None, 0); usize::from(SLOT_COUNT)],
        }
    }

    /// Starts an incarnation of a VM and assigns it a free slot, if there is one.
    pub(crate) fn start(&mut self, now: u64, vm_index: usize) -> usize {
        let index = self.nodes.len();
        self.nodes.push(Node {
            vm: VmId::from(format!("vm-{vm_index}").as_str()),
            incarnation: Incarnation(index as u64 + 1),
            clock_offset: self.rng.random_range(1..1_000 * SECOND),
            alive: true,
            paused_until: 0,
            lease_until: 0,
            roster_version: 0,
            renewal_blocked_until: 0,
        });
        self.reassign(now, index);
        index
    }

    /// Assigns the first free slot to a VM, which may use it once the former holder's lease has
    /// expired.
    pub(crate) fn reassign(&mut self, now: u64, to: usize) {
        self.version += 1;
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.0.is_none()) {
            *slot = (
                Some(to),
                if slot.1 == 0 {
                    now
                } else {
                    now + TAKEOVER_DELAY_US
                },
            );
        }
    }

    /// Removes a VM from the roster. `released` means that nothing it lent is outstanding, so that
    /// its slots can be used at once.
    pub(crate) fn remove(&mut self, node: usize, released: bool) {
        self.version += 1;
        for slot in self.slots.iter_mut().filter(|slot| slot.0 == Some(node)) {
            *slot = (None, if released { 0 } else { slot.1.max(1) });
        }
    }

    /// Moves the last slot of one VM to another, which may leave the former holder without a slot.
    pub(crate) fn move_slot(&mut self, now: u64, from: usize, to: usize) {
        let last = self.slots.iter_mut().rfind(|slot| slot.0 == Some(from));
        if let Some(slot) = last.filter(|_| from != to) {
            *slot = (Some(to), now + TAKEOVER_DELAY_US);
            self.version += 1;
        }
    }

    pub(crate) fn holds_slot(&self, node: usize) -> bool {
        self.slots.iter().any(|slot| slot.0 == Some(node))
    }

    pub(crate) fn slots_of(&self, node: usize) -> Vec<u16> {
        let all = self.slots.iter().zip(0u16..);
        all.filter(|(slot, _)| slot.0 == Some(node))
            .map(|(_, number)| number)
            .collect()
    }

    pub(crate) fn is_running(&self, node: usize, now: u64) -> bool {
        self.nodes[node].alive && self.nodes[node].paused_until <= now
    }

    /// Renews the lease of a VM. Returns the end of the lease on the VM's clock, with the roster
    /// view if the VM does not have its version yet, or `None` if the lease cannot be renewed.
    pub(crate) fn renew_lease(
        &mut self,
        now: u64,
        node: usize,
    ) -> Option<(Option<RosterView>, MonoTime)> {
        if !self.holds_slot(node) || self.nodes[node].renewal_blocked_until > now {
            return None;
        }
        let version = self.version;
        let state = &mut self.nodes[node];
        state.lease_until = now + LEASE_DURATION_US;
        let until = state.local_time(now + LEASE_DURATION_US);
        if state.roster_version == version {
            return Some((None, until));
        }
        state.roster_version = version;
        Some((Some(self.view(node, until)), until))
    }

    pub(crate) fn next_renewal(now: u64) -> u64 {
        now + RENEWAL_INTERVAL_US
    }

    fn view(&self, node: usize, lease_until: MonoTime) -> RosterView {
        let state = &self.nodes[node];
        let slots = self.slots_of(node).into_iter().map(|slot| HeldSlot {
            slot,
            usable_from: state.local_time(self.slots[usize::from(slot)].1),
        });
        let others =
            (0..self.nodes.len()).filter(|other| *other != node && self.holds_slot(*other));
        let peers = others.map(|other| RosterPeer {
            vm: self.nodes[other].vm.clone(),
            incarnation: self.nodes[other].incarnation,
            slots: self.slots_of(other),
        });
        RosterView {
            version: self.version,
            slot_count: SLOT_COUNT,
            slots: slots.collect(),
            peers: peers.collect(),
            lease_until,
        }
    }

    /// Returns the newest node of a VM that has not crashed, if there is one.
    pub(crate) fn node_of(&self, vm: &VmId) -> Option<usize> {
        let alive = |node: &&usize| self.nodes[**node].alive && self.nodes[**node].vm == *vm;
        (0..self.nodes.len())
            .collect::<Vec<_>>()
            .iter()
            .rev()
            .find(alive)
            .copied()
    }

    /// Returns the node of the newest incarnation of a VM.
    pub(crate) fn newest_node(&self, vm_index: usize) -> usize {
        let vm = format!("vm-{vm_index}");
        let found = self.nodes.iter().rposition(|node| node.vm.as_str() == vm);
        found.expect("the VM has been started")
    }

    /// Returns the arrival times of a message: none if it is lost, two if it is duplicated.
    pub(crate) fn arrival_times(&mut self, now: u64, from: &VmId, to: &VmId) -> Vec<u64> {
        self.cuts.retain(|cut| cut.2 > now);
        if self.cuts.iter().any(|cut| (&cut.0, &cut.1) == (from, to)) {
            return Vec::new();
        }
        let network = self.network.clone();
        let mut times = Vec::new();
        if !self.chance(network.loss_percent) {
            times.push(now + self.rng.random_range(network.min_delay..=network.max_delay));
        }
        if self.chance(network.duplicate_percent) {
            times.push(
                now + self
                    .rng
                    .random_range(network.min_delay..=4 * network.max_delay),
            );
        }
        times
    }

    pub(crate) fn chance_per_mille(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }
}
