//! A simulation of the dispatch roles of a fleet in virtual time, with members that count their
//! connections and statements. Times are in microseconds.

#![allow(dead_code, reason = "each test binary uses a part")]
#![allow(clippy::expect_used, reason = "a harness fails with its test")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::Group;
use lycheedoor_core::config::Member;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::config::Workspace;
use lycheedoor_core::dispatch::Dispatch;
use lycheedoor_core::dispatch::DispatchAction;
use lycheedoor_core::dispatch::DispatchEvent;
use lycheedoor_core::dispatch::DispatchMessage;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use rand::RngExt;

use crate::fleet::EventQueue;
use crate::fleet::Fleet;
use crate::fleet::MS;
use crate::fleet::Network;

pub(crate) const STABLE_NETWORK: Network = Network {
    min_delay: 1_500,
    max_delay: 1_500,
    loss_percent: 0,
    duplicate_percent: 0,
};
const CONNECTION_OPENING_US: (u64, u64) = (10 * MS, 30 * MS);
const STATEMENT_DURATION_US: (u64, u64) = (2 * MS, 10 * MS);
/// The mean duration of a statement.
pub(crate) const MEAN_STATEMENT_US: u64 = 6 * MS;

#[derive(Debug)]
enum Event {
    EnqueueRequest(usize, MemberId, WorkspaceId),
    DeliverMessage(VmId, VmId, Incarnation, DispatchMessage),
    RenewLease(usize),
    Wake(usize),
    FinishOpening(usize, ConnectionId),
    FinishStatement(usize, ConnectionId, RequestId),
    EndTransaction(usize, ConnectionId),
    Kill(usize),
    Pause(usize, u64),
    Replace(usize),
    CutLink(usize, usize, u64),
    MoveSlot(usize, usize),
    BlockLeaseRenewal(usize, u64),
    RunDispatch(usize, DispatchEvent),
}

/// The connections and statements of the whole fleet on one member.
#[derive(Debug, Default)]
struct Target {
    slots: usize,
    connections: usize,
    /// The open connections, and whether each has a statement or transaction in progress.
    open: BTreeMap<(usize, ConnectionId), bool>,
    /// The total time of statements and transactions up to `counted_until`.
    busy_us: u64,
    counted_until: u64,
}

#[derive(Debug, Default)]
pub(crate) struct RequestCounts {
    pub(crate) finished: u64,
    pub(crate) refused: BTreeMap<Reason, u64>,
    pub(crate) waited_us: u64,
}

pub(crate) struct DispatchSimulation {
    pub(crate) fleet: Fleet,
    roles: Vec<Dispatch>,
    next_wakes: Vec<u64>,
    event_queue: EventQueue<Event>,
    config: Arc<Config>,
    targets: BTreeMap<MemberId, Target>,
    connection_members: BTreeMap<(usize, ConnectionId), MemberId>,
    requests: BTreeMap<RequestId, (WorkspaceId, u64)>,
    next_request: u64,
    /// How many of 1,000 statements open a transaction.
    pub(crate) transactions_per_mille: u32,
    pub(crate) counts: BTreeMap<(MemberId, WorkspaceId), RequestCounts>,
    pub(crate) closed_connections: BTreeMap<Reason, u64>,
    pub(crate) violations: Vec<String>,
    pub(crate) bytes_by_node: Vec<u64>,
    pub(crate) messages: u64,
}

/// Returns a configuration with one group per member, given as name, slots and connections, and
/// with workspaces, given as name and weight.
pub(crate) fn config(members: &[(&str, u32, u32)], weights: &[(&str, u32)]) -> Arc<Config> {
    let mut config = Config {
        version: 1,
        ..Config::default()
    };
    for (name, slots, connections) in members {
        let member = Member {
            address: "127.0.0.1:1".parse().expect("address"),
            data_centre: "dc".into(),
            availability: MemberAvailability::Active,
        };
        let group = Group {
            members: [(MemberId::from(*name), member)].into(),
            slots: *slots,
            connections: *connections,
        };
        config.groups.insert(GroupId::from(*name), group);
    }
    for (name, weight) in weights {
        let workspace = Workspace {
            keys: Vec::new(),
            rate_per_s: 0,
            burst: 0,
            weight: *weight,
        };
        config
            .workspaces
            .insert(WorkspaceId::from(*name), workspace);
    }
    Arc::new(config)
}

impl DispatchSimulation {
    pub(crate) fn new(seed: u64, network: Network, config: Arc<Config>) -> Self {
        let target = |(id, group): (&GroupId, &Group)| {
            let target = Target {
                slots: group.slots as usize,
                connections: group.connections as usize,
                ..Target::default()
            };
            (MemberId::from(id.as_str()), target)
        };
        let mut simulation = Self {
            fleet: Fleet::new(seed, network),
            roles: Vec::new(),
            next_wakes: Vec::new(),
            event_queue: EventQueue::new(),
            targets: config.groups.iter().map(target).collect(),
            config,
            connection_members: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            transactions_per_mille: 0,
            counts: BTreeMap::new(),
            closed_connections: BTreeMap::new(),
            violations: Vec::new(),
            bytes_by_node: Vec::new(),
            messages: 0,
        };
        for vm_index in 0..8 {
            simulation.start_vm(0, vm_index);
        }
        simulation
    }

    fn start_vm(&mut self, now: u64, vm_index: usize) {
        let node = self.fleet.start(now, vm_index);
        let state = &self.fleet.nodes[node];
        let role = Dispatch::new(state.vm.clone(), state.incarnation);
        self.roles.push(role);
        self.next_wakes.push(u64::MAX);
        self.bytes_by_node.push(0);
        let configured = DispatchEvent::Configured(self.config.clone());
        self.event_queue
            .add(now, Event::RunDispatch(node, configured));
        self.event_queue.add(now, Event::RenewLease(node));
    }

    pub(crate) fn add_request(&mut self, at: u64, vm_index: usize, member: &str, workspace: &str) {
        let event = Event::EnqueueRequest(vm_index, member.into(), workspace.into());
        self.event_queue.add(at, event);
    }

    pub(crate) fn kill(&mut self, at: u64, vm_index: usize) {
        self.event_queue.add(at, Event::Kill(vm_index));
    }

    pub(crate) fn pause(&mut self, at: u64, vm_index: usize, until: u64) {
        self.event_queue.add(at, Event::Pause(vm_index, until));
    }

    pub(crate) fn replace(&mut self, at: u64, vm_index: usize) {
        self.event_queue.add(at, Event::Replace(vm_index));
    }

    /// Stops the lease renewals of a VM that still exchanges messages with its peers.
    pub(crate) fn block_lease_renewal(&mut self, at: u64, vm_index: usize, until: u64) {
        self.event_queue
            .add(at, Event::BlockLeaseRenewal(vm_index, until));
    }

    /// Moves a roster slot from one VM to another.
    pub(crate) fn move_slot(&mut self, at: u64, from: usize, to: usize) {
        self.event_queue.add(at, Event::MoveSlot(from, to));
    }

    /// Drops all messages from one VM to another until a given time.
    pub(crate) fn cut_link(&mut self, at: u64, from: usize, to: usize, until: u64) {
        self.event_queue.add(at, Event::CutLink(from, to, until));
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some((now, event)) = self.event_queue.pop_until(end) {
            self.step(now, event);
        }
    }

    /// Returns the fraction of the capacity of a member's slots that was used in a time span.
    pub(crate) fn utilisation(&self, member: &str, since: u64, until: u64) -> f64 {
        let target = &self.targets[&MemberId::from(member)];
        target.busy_us as f64 / (target.slots as u64 * (until - since)) as f64
    }

    /// Restarts the measurement of utilisation, requests and messages.
    pub(crate) fn reset_measurements(&mut self, now: u64) {
        for target in self.targets.values_mut() {
            (target.busy_us, target.counted_until) = (0, now);
        }
        self.counts.clear();
        self.bytes_by_node.fill(0);
        self.messages = 0;
    }

    fn step(&mut self, now: u64, event: Event) {
        match event {
            Event::EnqueueRequest(vm_index, member, workspace) => {
                self.enqueue(now, vm_index, member, workspace)
            }
            Event::DeliverMessage(to, from, incarnation, message) => {
                let event = DispatchEvent::Received {
                    from,
                    incarnation,
                    message,
                };
                if let Some(node) = self.fleet.node_of(&to) {
                    self.handle(now, node, event);
                }
            }
            Event::RenewLease(node) if self.fleet.nodes[node].alive => self.renew_lease(now, node),
            Event::Wake(node) if self.next_wakes[node] <= now => {
                self.next_wakes[node] = u64::MAX;
                self.handle(now, node, DispatchEvent::DeadlineReached);
            }
            Event::FinishOpening(node, connection) => {
                self.handle(now, node, DispatchEvent::ConnectionOpened { connection });
            }
            Event::FinishStatement(node, connection, request) => {
                self.finish_statement(now, node, connection, request)
            }
            Event::EndTransaction(node, connection) => {
                self.set_busy(now, node, connection, false);
                self.handle(now, node, DispatchEvent::TransactionEnded { connection });
            }
            Event::Kill(vm_index) => {
                let node = self.fleet.newest_node(vm_index);
                self.fleet.nodes[node].alive = false;
                self.drop_connections(now, node);
            }
            Event::Pause(vm_index, until) => {
                let node = self.fleet.newest_node(vm_index);
                self.fleet.nodes[node].paused_until = until;
                self.event_queue.add(until, Event::Wake(node));
                self.next_wakes[node] = until;
            }
            Event::Replace(vm_index) => {
                let node = self.fleet.newest_node(vm_index);
                self.fleet.remove(node, false);
                self.fleet.nodes[node].alive &= self.fleet.nodes[node].paused_until > now;
                if !self.fleet.nodes[node].alive {
                    self.drop_connections(now, node);
                }
                self.start_vm(now, vm_index);
            }
            Event::BlockLeaseRenewal(vm_index, until) => {
                let node = self.fleet.newest_node(vm_index);
                self.fleet.nodes[node].renewal_blocked_until = until;
            }
            Event::MoveSlot(from, to) => {
                let (from, to) = (self.fleet.newest_node(from), self.fleet.newest_node(to));
                self.fleet.move_slot(now, from, to);
            }
            Event::CutLink(from, to, until) => {
                let name = |index| VmId::from(format!("vm-{index}").as_str());
                self.fleet.cuts.push((name(from), name(to), until));
            }
            Event::RunDispatch(node, event) => self.handle(now, node, event),
            Event::RenewLease(_) | Event::Wake(_) => {}
        }
    }

    fn renew_lease(&mut self, now: u64, node: usize) {
        if self.fleet.is_running(node, now) {
            match self.fleet.renew_lease(now, node) {
                Some((Some(view), _)) => self.handle(now, node, DispatchEvent::Roster(view)),
                Some((None, until)) => {
                    self.handle(now, node, DispatchEvent::LeaseExtended { until });
                }
                None => {}
            }
        }
        self.event_queue
            .add(Fleet::next_renewal(now), Event::RenewLease(node));
    }

    fn enqueue(&mut self, now: u64, vm_index: usize, member: MemberId, workspace: WorkspaceId) {
        let node = self.fleet.newest_node(vm_index);
        if !self.fleet.nodes[node].alive {
            return;
        }
        self.next_request += 1;
        let request = RequestId(self.next_request);
        self.requests.insert(request, (workspace.clone(), now));
        let deadline = self.fleet.nodes[node].local_time(now) + Duration::from_secs(5);
        let event = DispatchEvent::Enqueue {
            request,
            member,
            workspace,
            deadline,
        };
        self.handle(now, node, event);
    }

    /// Finishes a statement on its member; the VM is notified once it is not paused.
    fn finish_statement(
        &mut self,
        now: u64,
        node: usize,
        connection: ConnectionId,
        request: RequestId,
    ) {
        let open = self.connection_members.get(&(node, connection)).cloned();
        let Some(member) = open else {
            return;
        };
        let in_transaction = self.fleet.chance_per_mille(self.transactions_per_mille);
        self.set_busy(now, node, connection, in_transaction);
        if let Some((workspace, _)) = self.requests.remove(&request) {
            let count = self.counts.entry((member, workspace)).or_default();
            count.finished += 1;
        }
        if in_transaction {
            let at = now + self.fleet.rng.random_range(MS..2_000 * MS);
            self.event_queue
                .add(at, Event::EndTransaction(node, connection));
        }
        let event = DispatchEvent::Finished {
            request,
            in_transaction,
        };
        self.handle(now, node, event);
    }

    fn set_busy(&mut self, now: u64, node: usize, connection: ConnectionId, busy: bool) {
        let Some(member) = self.connection_members.get(&(node, connection)) else {
            return;
        };
        let target = self.targets.get_mut(member).expect("known member");
        target.count_busy_time(now);
        if let Some(state) = target.open.get_mut(&(node, connection)) {
            *state = busy;
        }
        self.check_budgets(now);
    }

    fn drop_connections(&mut self, now: u64, node: usize) {
        for target in self.targets.values_mut() {
            target.count_busy_time(now);
            target.open.retain(|key, _| key.0 != node);
        }
        self.connection_members.retain(|key, _| key.0 != node);
    }

    /// Records a violation if a member has more connections or statements than its budget.
    ///
    /// A VM that is paused beyond the end of its lease cannot close its connections, and its
    /// statements end without it, so its connections do not count until it resumes.
    fn check_budgets(&mut self, now: u64) {
        let nodes = &self.fleet.nodes;
        let counts = |node: usize| {
            let state: &crate::fleet::Node = &nodes[node];
            state.paused_until <= now || state.lease_until > now
        };
        for (id, target) in &self.targets {
            let open = target.open.iter().filter(|(key, _)| counts(key.0));
            let busy = open.clone().filter(|(_, busy)| **busy).count();
            if open.count() > target.connections {
                self.violations
                    .push(format!("{now} us: too many connections to {id}"));
            }
            if busy > target.slots {
                self.violations.push(format!(
                    "{now} us: {busy} statements on {id}, more than its slots"
                ));
            }
        }
    }

    fn handle(&mut self, now: u64, node: usize, event: DispatchEvent) {
        let state = &self.fleet.nodes[node];
        if !state.alive {
            return;
        }
        if state.paused_until > now {
            let at = state.paused_until;
            return self.event_queue.add(at, Event::RunDispatch(node, event));
        }
        let mut actions = Vec::new();
        self.roles[node].handle(state.local_time(now), event, &mut actions);
        for action in actions {
            self.carry_out(now, node, action);
        }
        if let Some(deadline) = self.roles[node].next_deadline() {
            let offset = self.fleet.nodes[node].clock_offset;
            let at = deadline.as_micros().saturating_sub(offset).max(now + 1);
            if at < self.next_wakes[node] {
                self.next_wakes[node] = at;
                self.event_queue.add(at, Event::Wake(node));
            }
        }
    }

    fn carry_out(&mut self, now: u64, node: usize, action: DispatchAction) {
        match action {
            DispatchAction::Dispatch {
                request,
                member,
                connection,
            } => {
                self.set_busy(now, node, connection, true);
                let (workspace, arrived) = self.requests[&request].clone();
                let count = self.counts.entry((member, workspace)).or_default();
                count.waited_us += now - arrived;
                let at = now
                    + self
                        .fleet
                        .rng
                        .random_range(STATEMENT_DURATION_US.0..=STATEMENT_DURATION_US.1);
                self.event_queue
                    .add(at, Event::FinishStatement(node, connection, request));
            }
            DispatchAction::Refuse { request, reason } => {
                let (workspace, _) = self
                    .requests
                    .remove(&request)
                    .expect("request is refused at most once");
                let count = self.counts.entry(("".into(), workspace)).or_default();
                *count.refused.entry(reason).or_default() += 1;
            }
            DispatchAction::OpenConnection {
                connection, member, ..
            } => {
                self.connection_members
                    .insert((node, connection), member.clone());
                let target = self.targets.get_mut(&member).expect("known member");
                target.open.insert((node, connection), false);
                self.check_budgets(now);
                let at = now
                    + self
                        .fleet
                        .rng
                        .random_range(CONNECTION_OPENING_US.0..=CONNECTION_OPENING_US.1);
                self.event_queue
                    .add(at, Event::FinishOpening(node, connection));
            }
            DispatchAction::CloseConnection { connection, reason } => {
                *self.closed_connections.entry(reason).or_default() += 1;
                if let Some(member) = self.connection_members.remove(&(node, connection)) {
                    let target = self.targets.get_mut(&member).expect("known member");
                    target.count_busy_time(now);
                    target.open.remove(&(node, connection));
                }
                let closed = DispatchEvent::ConnectionClosed { connection };
                self.event_queue
                    .add(now + MS, Event::RunDispatch(node, closed));
            }
            DispatchAction::Send { to, message } => self.send(now, node, &to, &message),
        }
    }

    fn send(&mut self, now: u64, node: usize, to: &VmId, message: &DispatchMessage) {
        self.messages += 1;
        let size = rmp_serde::to_vec(message).expect("encodable").len();
        self.bytes_by_node[node] += size as u64;
        let state = self.fleet.nodes[node].clone();
        for at in self.fleet.arrival_times(now, &state.vm, to) {
            let (from, incarnation) = (state.vm.clone(), state.incarnation);
            let event = Event::DeliverMessage(to.clone(), from, incarnation, message.clone());
            self.event_queue.add(at, event);
        }
    }
}

impl Target {
    fn count_busy_time(&mut self, now: u64) {
        let busy = self.open.values().filter(|busy| **busy).count() as u64;
        self.busy_us += busy * now.saturating_sub(self.counted_until);
        self.counted_until = now;
    }
}
