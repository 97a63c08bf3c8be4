//! A simulation of the rate limiters of a fleet in virtual time, which checks every admission
//! against a single token bucket for each workspace.

#![allow(dead_code, reason = "each test binary uses a part")]
#![allow(clippy::expect_used, reason = "a harness fails with its test")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::Workspace;
use lycheedoor_core::rates::LendingMode;
use lycheedoor_core::rates::Rates;
use lycheedoor_core::rates::RatesAction;
use lycheedoor_core::rates::RatesEvent;
use lycheedoor_core::rates::RatesMessage;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;

use crate::fleet::EventQueue;
use crate::fleet::Fleet;
use crate::fleet::MS;
use crate::fleet::Network;

pub(crate) const RELIABLE_NETWORK: Network = Network {
    min_delay: MS,
    max_delay: 2 * MS,
    loss_percent: 0,
    duplicate_percent: 0,
};

/// How long a stopping VM still serves its callers before it returns its loans.
const DRAIN_DURATION_US: u64 = 1_000 * MS;

#[derive(Debug)]
enum Event {
    Arrive(usize, WorkspaceId),
    Deliver(VmId, VmId, Incarnation, RatesMessage),
    Renew(usize),
    Wake(usize),
    Kill(usize),
    Pause(usize, u64),
    Stop(usize),
    Replace(usize),
    Cut(usize, usize, u64),
    MoveSlot(usize, usize),
    BlockLeaseRenewal(usize, u64),
    Handle(usize, RatesEvent),
    Publish(Arc<Config>),
    Apply(usize, Arc<Config>),
}

/// A token bucket over the whole fleet, in simulation time. Its level is negative after an
/// admission if some window up to then has had more admissions than the rate and the burst allow.
#[derive(Debug, Default)]
struct ReferenceBucket {
    level: i128,
    updated: u64,
    rate_per_s: i128,
    burst: i128,
    /// The lowest level so far, or zero.
    pub(crate) lowest_level: i128,
}

const NANOTOKENS_PER_TOKEN: i128 = 1_000_000_000;

impl ReferenceBucket {
    fn accrue(&mut self, now: u64) {
        let gained = self.rate_per_s * 1_000 * i128::from(now - self.updated);
        self.level = (self.level + gained).min(self.burst * NANOTOKENS_PER_TOKEN);
        self.updated = now;
    }
}

#[derive(Debug, Default)]
pub(crate) struct RequestCounts {
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
}

impl RequestCounts {
    pub(crate) fn refused_share(&self) -> f64 {
        self.refused as f64 / (self.admitted + self.refused).max(1) as f64
    }
}

pub(crate) struct Simulation {
    pub(crate) fleet: Fleet,
    pub(crate) lending_mode: LendingMode,
    rates: Vec<Rates>,
    next_wakes: Vec<u64>,
    drained: Vec<bool>,
    event_queue: EventQueue<Event>,
    config: Arc<Config>,
    reference_buckets: BTreeMap<WorkspaceId, ReferenceBucket>,
    pub(crate) counts: BTreeMap<WorkspaceId, RequestCounts>,
    requests: BTreeMap<RequestId, WorkspaceId>,
    next_request: u64,
    pub(crate) messages: u64,
    pub(crate) handled_events: u64,
    pub(crate) bytes_by_node: Vec<u64>,
    pub(crate) admitted: Vec<(u64, WorkspaceId)>,
}

pub(crate) fn config(version: u64, workspaces: &[(&str, u32, u32)]) -> Arc<Config> {
    let workspaces = workspaces.iter().map(|(name, rate_per_s, burst)| {
        let workspace = Workspace {
            keys: Vec::new(),
            rate_per_s: *rate_per_s,
            burst: *burst,
            weight: 1,
        };
        (WorkspaceId::from(*name), workspace)
    });
    Arc::new(Config {
        version,
        workspaces: workspaces.collect(),
        ..Config::default()
    })
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        network: Network,
        lending_mode: LendingMode,
        config: Arc<Config>,
    ) -> Self {
        let mut simulation = Self {
            fleet: Fleet::new(seed, network),
            lending_mode,
            rates: Vec::new(),
            next_wakes: Vec::new(),
            drained: Vec::new(),
            event_queue: EventQueue::new(),
            config: Arc::default(),
            reference_buckets: BTreeMap::new(),
            counts: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            messages: 0,
            handled_events: 0,
            bytes_by_node: Vec::new(),
            admitted: Vec::new(),
        };
        simulation.config = config.clone();
        simulation.set_limits(0, &config);
        for vm_index in 0..8 {
            simulation.start(0, vm_index);
        }
        simulation
    }

    fn start(&mut self, now: u64, vm_index: usize) -> usize {
        let node = self.fleet.start(now, vm_index);
        self.rates.push(Rates::new(self.lending_mode));
        self.next_wakes.push(u64::MAX);
        self.drained.push(false);
        self.bytes_by_node.push(0);
        self.event_queue
            .add(now, Event::Apply(node, self.config.clone()));
        self.event_queue.add(now, Event::Renew(node));
        node
    }

    /// Sets the rates and bursts that are allowed from now on.
    fn set_limits(&mut self, now: u64, config: &Config) {
        for (id, workspace) in &config.workspaces {
            let reference = self.reference_buckets.entry(id.clone()).or_default();
            reference.accrue(now);
            reference.rate_per_s = workspace.rate_per_s.into();
            reference.burst = workspace.burst.into();
            if now == 0 {
                reference.level = reference.burst * NANOTOKENS_PER_TOKEN;
            }
        }
    }

    pub(crate) fn arrive(&mut self, at: u64, node: usize, workspace: &str) {
        self.event_queue
            .add(at, Event::Arrive(node, WorkspaceId::from(workspace)));
    }

    pub(crate) fn kill(&mut self, at: u64, vm_index: usize) {
        self.event_queue.add(at, Event::Kill(vm_index));
    }

    pub(crate) fn pause(&mut self, at: u64, vm_index: usize, until: u64) {
        self.event_queue.add(at, Event::Pause(vm_index, until));
    }

    pub(crate) fn stop(&mut self, at: u64, vm_index: usize) {
        self.event_queue.add(at, Event::Stop(vm_index));
    }

    /// Keeps a VM from renewing its lease while it still exchanges messages with its peers.
    pub(crate) fn block_lease_renewal(&mut self, at: u64, vm_index: usize, until: u64) {
        self.event_queue
            .add(at, Event::BlockLeaseRenewal(vm_index, until));
    }

    /// Moves a roster slot from one VM to another.
    pub(crate) fn move_slot(&mut self, at: u64, from: usize, to: usize) {
        self.event_queue.add(at, Event::MoveSlot(from, to));
    }

    /// Drops all messages from one VM to another.
    pub(crate) fn cut(&mut self, at: u64, from: usize, to: usize, until: u64) {
        self.event_queue.add(at, Event::Cut(from, to, until));
    }

    /// Removes a VM from the roster and starts a new incarnation of it.
    pub(crate) fn replace(&mut self, at: u64, vm_index: usize) {
        self.event_queue.add(at, Event::Replace(vm_index));
    }

    /// Publishes a configuration; each VM applies it within three seconds.
    pub(crate) fn publish(&mut self, at: u64, config: Arc<Config>) {
        self.event_queue.add(at, Event::Publish(config));
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some((now, event)) = self.event_queue.pop_until(end) {
            self.step(now, event);
        }
    }

    /// Returns the lowest level of all reference buckets in nanotokens: zero if no window of any
    /// workspace had too many admissions, or else negative.
    pub(crate) fn worst_overdraft(&self) -> i128 {
        self.reference_buckets
            .values()
            .map(|l| l.lowest_level)
            .min()
            .unwrap_or(0)
    }

    fn step(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive(node, workspace) => {
                // A load balancer sends no requests to a stopped VM but to its new incarnation.
                let vm = self.fleet.nodes[node].vm.clone();
                let Some(node) = self.fleet.node_of(&vm) else {
                    return;
                };
                self.next_request += 1;
                let request = RequestId(self.next_request);
                self.requests.insert(request, workspace.clone());
                let deadline = self.fleet.nodes[node].local_time(now) + Duration::from_secs(5);
                let event = RatesEvent::Admit {
                    workspace,
                    request,
                    deadline,
                    priority: 0,
                };
                self.handle(now, node, event);
            }
            Event::Deliver(to, from, incarnation, message) => {
                let event = RatesEvent::Received {
                    from,
                    incarnation,
                    message,
                };
                if let Some(node) = self.fleet.node_of(&to) {
                    self.handle(now, node, event);
                }
            }
            Event::Renew(node) if self.fleet.nodes[node].alive => {
                if self.fleet.is_running(node, now) {
                    match self.fleet.renew_lease(now, node) {
                        Some((Some(view), _)) => self.handle(now, node, RatesEvent::Roster(view)),
                        Some((None, until)) => {
                            self.handle(now, node, RatesEvent::LeaseExtended { until });
                        }
                        None => {}
                    }
                }
                self.event_queue
                    .add(Fleet::next_renewal(now), Event::Renew(node));
            }
            Event::BlockLeaseRenewal(vm_index, until) => {
                let node = self.fleet.newest_node(vm_index);
                self.fleet.nodes[node].renewal_blocked_until = until;
            }
            Event::MoveSlot(from, to) => {
                let (from, to) = (self.fleet.newest_node(from), self.fleet.newest_node(to));
                self.fleet.move_slot(now, from, to);
            }
            Event::Cut(from, to, until) => {
                let vm = |index| VmId::from(format!("vm-{index}").as_str());
                self.fleet.cuts.push((vm(from), vm(to), until));
            }
            Event::Handle(node, event) => self.handle(now, node, event),
            Event::Wake(node) if self.next_wakes[node] <= now => {
                self.next_wakes[node] = u64::MAX;
                self.handle(now, node, RatesEvent::DeadlineReached);
            }
            Event::Kill(vm_index) => {
                let node = self.fleet.newest_node(vm_index);
                self.fleet.nodes[node].alive = false;
            }
            Event::Pause(vm_index, until) => {
                let node = self.fleet.newest_node(vm_index);
                self.fleet.nodes[node].paused_until = until;
            }
            Event::Stop(vm_index) => {
                let node = self.fleet.newest_node(vm_index);
                self.handle(now, node, RatesEvent::StopRequested);
                let left = Event::Handle(node, RatesEvent::StopFinished);
                self.event_queue.add(now + DRAIN_DURATION_US, left);
            }
            Event::Replace(vm_index) => {
                let node = self.fleet.newest_node(vm_index);
                let drained = self.drained[node];
                self.fleet.remove(node, drained);
                self.fleet.nodes[node].alive &= self.fleet.nodes[node].paused_until > now;
                self.start(now, vm_index);
            }
            Event::Publish(config) => self.publish_config(now, config),
            Event::Apply(node, config) => self.handle(now, node, RatesEvent::Configured(config)),
            Event::Renew(_) | Event::Wake(_) => {}
        }
    }

    fn publish_config(&mut self, now: u64, config: Arc<Config>) {
        let mut larger_limits = (*config).clone();
        for (id, workspace) in &mut larger_limits.workspaces {
            let old = &self.config.workspaces[id];
            workspace.rate_per_s = workspace.rate_per_s.max(old.rate_per_s);
            workspace.burst = workspace.burst.max(old.burst);
        }
        self.set_limits(now, &larger_limits);
        for node in 0..self.rates.len() {
            let at = now + rand::RngExt::random_range(&mut self.fleet.rng, 0..3_000 * MS);
            self.event_queue.add(at, Event::Apply(node, config.clone()));
        }
        self.config = config;
    }

    /// Ends the period in which the larger limits of two configurations are allowed.
    pub(crate) fn end_config_change(&mut self, now: u64) {
        let config = self.config.clone();
        self.set_limits(now, &config);
    }

    fn handle(&mut self, now: u64, node: usize, event: RatesEvent) {
        let state = &self.fleet.nodes[node];
        if !state.alive {
            return;
        }
        if state.paused_until > now {
            // A paused VM handles what has arrived when it resumes.
            let at = state.paused_until;
            return self.event_queue.add(at, Event::Handle(node, event));
        }
        self.handled_events += 1;
        let mut actions = Vec::new();
        self.rates[node].handle(state.local_time(now), event, &mut actions);
        for action in actions {
            self.execute(now, node, action);
        }
        if let Some(deadline) = self.rates[node].next_deadline() {
            let offset = self.fleet.nodes[node].clock_offset;
            let at = deadline.as_micros().saturating_sub(offset).max(now + 1);
            if at < self.next_wakes[node] {
                self.next_wakes[node] = at;
                self.event_queue.add(at, Event::Wake(node));
            }
        }
    }

    fn execute(&mut self, now: u64, node: usize, action: RatesAction) {
        match action {
            RatesAction::Admitted { request } => {
                let workspace = self
                    .requests
                    .remove(&request)
                    .expect("admitted a request that was not waiting");
                let reference = self
                    .reference_buckets
                    .get_mut(&workspace)
                    .expect("admitted a request of an unknown workspace");
                reference.accrue(now);
                reference.level -= NANOTOKENS_PER_TOKEN;
                reference.lowest_level = reference.lowest_level.min(reference.level);
                self.counts.entry(workspace.clone()).or_default().admitted += 1;
                self.admitted.push((now, workspace));
            }
            RatesAction::Refused { request, .. } => {
                let workspace = self
                    .requests
                    .remove(&request)
                    .expect("refused a request that was not waiting");
                self.counts.entry(workspace).or_default().refused += 1;
            }
            RatesAction::Send { to, message } => {
                self.messages += 1;
                let size = rmp_serde::to_vec(&message)
                    .expect("failed to encode a message")
                    .len();
                self.bytes_by_node[node] += size as u64;
                let state = self.fleet.nodes[node].clone();
                for at in self.fleet.arrival_times(now, &state.vm, &to) {
                    let (from, incarnation) = (state.vm.clone(), state.incarnation);
                    let event = Event::Deliver(to.clone(), from, incarnation, message.clone());
                    self.event_queue.add(at, event);
                }
            }
            RatesAction::LoansReturned => self.drained[node] = true,
        }
    }
}
