//! The `Rates` roles of a fleet in virtual time, and a strict check of what they admit.

#![allow(dead_code, reason = "each test binary uses a part")]
#![allow(clippy::expect_used, reason = "a harness fails with its test")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::Workspace;
use lycheedoor_core::rates::Lending;
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

pub(crate) const CALM: Network = Network {
    min_delay: MS,
    max_delay: 2 * MS,
    loss_percent: 0,
    duplicate_percent: 0,
};

/// How long a stopping VM still serves its callers.
const REQUESTS_FINISH: u64 = 1_000 * MS;

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
    Shift(usize, usize),
    Deafen(usize, u64),
    Take(usize, RatesEvent),
    Publish(Arc<Config>),
    Apply(usize, Arc<Config>),
}

/// A token bucket in true time; it never goes below zero if no window has too many admissions.
#[derive(Debug, Default)]
struct Ledger {
    level: i128,
    updated: u64,
    rate_per_s: i128,
    burst: i128,
    pub(crate) worst: i128,
}

const TOKEN: i128 = 1_000_000_000;

impl Ledger {
    fn accrue(&mut self, now: u64) {
        let gained = self.rate_per_s * 1_000 * i128::from(now - self.updated);
        self.level = (self.level + gained).min(self.burst * TOKEN);
        self.updated = now;
    }
}

#[derive(Debug, Default)]
pub(crate) struct Count {
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
}

impl Count {
    pub(crate) fn refused_share(&self) -> f64 {
        self.refused as f64 / (self.admitted + self.refused).max(1) as f64
    }
}

pub(crate) struct World {
    pub(crate) fleet: Fleet,
    pub(crate) lending: Lending,
    roles: Vec<Rates>,
    wakes: Vec<u64>,
    drained: Vec<bool>,
    agenda: EventQueue<Event>,
    config: Arc<Config>,
    ledgers: BTreeMap<WorkspaceId, Ledger>,
    pub(crate) counts: BTreeMap<WorkspaceId, Count>,
    requests: BTreeMap<RequestId, WorkspaceId>,
    next_request: u64,
    pub(crate) messages: u64,
    pub(crate) handled: u64,
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

impl World {
    pub(crate) fn new(seed: u64, network: Network, lending: Lending, config: Arc<Config>) -> Self {
        let mut world = Self {
            fleet: Fleet::new(seed, network),
            lending,
            roles: Vec::new(),
            wakes: Vec::new(),
            drained: Vec::new(),
            agenda: EventQueue::new(),
            config: Arc::default(),
            ledgers: BTreeMap::new(),
            counts: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            messages: 0,
            handled: 0,
            bytes_by_node: Vec::new(),
            admitted: Vec::new(),
        };
        world.config = config.clone();
        world.allow(0, &config);
        for name in 0..8 {
            world.start(0, name);
        }
        world
    }

    fn start(&mut self, now: u64, name: usize) -> usize {
        let node = self.fleet.start(now, name);
        self.roles.push(Rates::new(self.lending));
        self.wakes.push(u64::MAX);
        self.drained.push(false);
        self.bytes_by_node.push(0);
        self.agenda
            .add(now, Event::Apply(node, self.config.clone()));
        self.agenda.add(now, Event::Renew(node));
        node
    }

    /// Sets what the ledgers allow from now on.
    fn allow(&mut self, now: u64, config: &Config) {
        for (id, workspace) in &config.workspaces {
            let ledger = self.ledgers.entry(id.clone()).or_default();
            ledger.accrue(now);
            ledger.rate_per_s = workspace.rate_per_s.into();
            ledger.burst = workspace.burst.into();
            if now == 0 {
                ledger.level = ledger.burst * TOKEN;
            }
        }
    }

    pub(crate) fn arrive(&mut self, at: u64, node: usize, workspace: &str) {
        self.agenda
            .add(at, Event::Arrive(node, WorkspaceId::from(workspace)));
    }

    pub(crate) fn kill(&mut self, at: u64, name: usize) {
        self.agenda.add(at, Event::Kill(name));
    }

    pub(crate) fn pause(&mut self, at: u64, name: usize, until: u64) {
        self.agenda.add(at, Event::Pause(name, until));
    }

    pub(crate) fn stop(&mut self, at: u64, name: usize) {
        self.agenda.add(at, Event::Stop(name));
    }

    /// Keeps the evidence for its lease from a VM that still reaches its peers.
    pub(crate) fn deafen(&mut self, at: u64, name: usize, until: u64) {
        self.agenda.add(at, Event::Deafen(name, until));
    }

    /// Moves a roster slot from one VM to another.
    pub(crate) fn shift(&mut self, at: u64, from: usize, to: usize) {
        self.agenda.add(at, Event::Shift(from, to));
    }

    /// Loses all messages from one VM to another.
    pub(crate) fn cut(&mut self, at: u64, from: usize, to: usize, until: u64) {
        self.agenda.add(at, Event::Cut(from, to, until));
    }

    /// Takes a VM out of the roster and starts a new incarnation under the name.
    pub(crate) fn replace(&mut self, at: u64, name: usize) {
        self.agenda.add(at, Event::Replace(name));
    }

    /// Publishes a configuration; each VM applies it within three seconds.
    pub(crate) fn publish(&mut self, at: u64, config: Arc<Config>) {
        self.agenda.add(at, Event::Publish(config));
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some((now, event)) = self.agenda.pop_until(end) {
            self.step(now, event);
        }
    }

    pub(crate) fn worst_overdraft(&self) -> i128 {
        self.ledgers.values().map(|l| l.worst).min().unwrap_or(0)
    }

    fn step(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive(node, workspace) => {
                // A balancer sends no work to a dead VM: its successor takes the name.
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
                if self.fleet.runs(node, now) {
                    match self.fleet.renew(now, node) {
                        Some((Some(view), _)) => self.handle(now, node, RatesEvent::Roster(view)),
                        Some((None, until)) => {
                            self.handle(now, node, RatesEvent::LeaseExtended { until });
                        }
                        None => {}
                    }
                }
                self.agenda
                    .add(Fleet::next_renewal(now), Event::Renew(node));
            }
            Event::Deafen(name, until) => {
                let node = self.fleet.newest(name);
                self.fleet.nodes[node].renewal_blocked_until = until;
            }
            Event::Shift(from, to) => {
                let (from, to) = (self.fleet.newest(from), self.fleet.newest(to));
                self.fleet.move_slot(now, from, to);
            }
            Event::Cut(from, to, until) => {
                let name = |index| VmId::from(format!("vm-{index}").as_str());
                self.fleet.cuts.push((name(from), name(to), until));
            }
            Event::Take(node, event) => self.handle(now, node, event),
            Event::Wake(node) if self.wakes[node] <= now => {
                self.wakes[node] = u64::MAX;
                self.handle(now, node, RatesEvent::DeadlineReached);
            }
            Event::Kill(name) => {
                let node = self.fleet.newest(name);
                self.fleet.nodes[node].alive = false;
            }
            Event::Pause(name, until) => {
                let node = self.fleet.newest(name);
                self.fleet.nodes[node].paused_until = until;
            }
            Event::Stop(name) => {
                let node = self.fleet.newest(name);
                self.handle(now, node, RatesEvent::StopRequested);
                let left = Event::Take(node, RatesEvent::Leave);
                self.agenda.add(now + REQUESTS_FINISH, left);
            }
            Event::Replace(name) => {
                let node = self.fleet.newest(name);
                let drained = self.drained[node];
                self.fleet.remove(node, drained);
                self.fleet.nodes[node].alive &= self.fleet.nodes[node].paused_until > now;
                self.start(now, name);
            }
            Event::Publish(config) => self.spread(now, config),
            Event::Apply(node, config) => self.handle(now, node, RatesEvent::Configured(config)),
            Event::Renew(_) | Event::Wake(_) => {}
        }
    }

    fn spread(&mut self, now: u64, config: Arc<Config>) {
        let mut both = (*config).clone();
        for (id, workspace) in &mut both.workspaces {
            let old = &self.config.workspaces[id];
            workspace.rate_per_s = workspace.rate_per_s.max(old.rate_per_s);
            workspace.burst = workspace.burst.max(old.burst);
        }
        self.allow(now, &both);
        for node in 0..self.roles.len() {
            let at = now + rand::RngExt::random_range(&mut self.fleet.rng, 0..3_000 * MS);
            self.agenda.add(at, Event::Apply(node, config.clone()));
        }
        self.config = config;
    }

    /// Ends the time in which the larger of two configurations is allowed.
    pub(crate) fn settle_config(&mut self, now: u64) {
        let config = self.config.clone();
        self.allow(now, &config);
    }

    fn handle(&mut self, now: u64, node: usize, event: RatesEvent) {
        let state = &self.fleet.nodes[node];
        if !state.alive {
            return;
        }
        if state.paused_until > now {
            // A paused VM takes what has reached it when it wakes.
            let at = state.paused_until;
            return self.agenda.add(at, Event::Take(node, event));
        }
        self.handled += 1;
        let mut actions = Vec::new();
        self.roles[node].handle(state.local_time(now), event, &mut actions);
        for action in actions {
            self.carry_out(now, node, action);
        }
        if let Some(deadline) = self.roles[node].next_deadline() {
            let offset = self.fleet.nodes[node].clock_offset;
            let at = deadline.as_micros().saturating_sub(offset).max(now + 1);
            if at < self.wakes[node] {
                self.wakes[node] = at;
                self.agenda.add(at, Event::Wake(node));
            }
        }
    }

    fn carry_out(&mut self, now: u64, node: usize, action: RatesAction) {
        match action {
            RatesAction::Admitted { request } => {
                let workspace = self.requests.remove(&request).expect("admitted once");
                let ledger = self.ledgers.get_mut(&workspace).expect("known workspace");
                ledger.accrue(now);
                ledger.level -= TOKEN;
                ledger.worst = ledger.worst.min(ledger.level);
                self.counts.entry(workspace.clone()).or_default().admitted += 1;
                self.admitted.push((now, workspace));
            }
            RatesAction::Refused { request, .. } => {
                let workspace = self.requests.remove(&request).expect("refused once");
                self.counts.entry(workspace).or_default().refused += 1;
            }
            RatesAction::Send { to, message } => {
                self.messages += 1;
                let size = rmp_serde::to_vec(&message).expect("encodable").len();
                self.bytes_by_node[node] += size as u64;
                let state = self.fleet.nodes[node].clone();
                for at in self.fleet.deliveries(now, &state.vm, &to) {
                    let (from, incarnation) = (state.vm.clone(), state.incarnation);
                    let event = Event::Deliver(to.clone(), from, incarnation, message.clone());
                    self.agenda.add(at, event);
                }
            }
            RatesAction::Drained => self.drained[node] = true,
        }
    }
}
