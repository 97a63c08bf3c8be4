//! A fleet of pools in virtual time, with members that accept and answer after fixed delays. It
//! counts what each VM sends to its peers and what it opens at members.

#![allow(dead_code, reason = "each test file uses only some of the items")]
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy.toml allows it only inside test functions"
)]

mod members;
mod setup;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_pool::Access;
use lycheedoor_pool::CallerError;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::CallerRequest;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectCall;
use lycheedoor_pool::ObjectChange;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::Pool;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PoolMessage;
use lycheedoor_pool::Statement;
use lycheedoor_pool::StoreRevision;
use lycheedoor_pool::TransactionState;

use members::Link;
use members::signature;
use setup::FIRST_INCARNATION;
use setup::config;
use setup::member_entries;
use setup::record;
use setup::records;
use setup::settings;
use setup::vm_id;

/// Resolution of the virtual time.
const STEP: Duration = Duration::from_millis(1);

const PEER_DELAY: Duration = Duration::from_millis(1);
const OPEN_TIME: Duration = Duration::from_millis(12);
const ANSWER_TIME: Duration = Duration::from_millis(8);

/// The revision of the store when the first processes have read it.
const LOADED_REVISION: u64 = 10_000;

/// Time from the beginning of a planned stop until the load balancer sends no new callers.
const BALANCER_DELAY: Duration = Duration::from_secs(2);

/// How long a run goes on after the last operation was sent.
pub(crate) const PLAYED_AFTER: Duration = Duration::from_secs(2);

/// The size of a fleet under test.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) vms: u32,
    pub(crate) groups: u32,
    pub(crate) workspaces: u32,
    /// Operations a second that are played at each VM.
    pub(crate) operations_per_vm: u32,
    /// Connections that a member accepts.
    pub(crate) max_connections: u32,
    /// Whether a few workspaces send most of the operations.
    pub(crate) is_skewed: bool,
}

impl FleetSize {
    /// Returns the part of the load that a workspace has, in parts of [`FleetSize::total_weight`].
    pub(crate) fn weight(self, workspace: u32) -> u32 {
        if self.is_skewed {
            workspace_weight(workspace)
        } else {
            1
        }
    }

    pub(crate) fn total_weight(self) -> u32 {
        (0..self.workspaces)
            .map(|workspace| self.weight(workspace))
            .sum()
    }
}

/// Returns the part of a skewed load that a workspace has: that of the second one is half of that of
/// the first, and so on.
pub(crate) fn workspace_weight(workspace: u32) -> u32 {
    10_000 / (workspace + 1)
}

/// What a fleet did in a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetCounts {
    pub(crate) sent: u64,
    pub(crate) served: u64,
    /// The errors of the statements that were not served, with how often each occurred.
    pub(crate) refused: BTreeMap<String, u64>,
    pub(crate) opened_connections: u64,
    /// The most connections that were open at one member at the same time.
    pub(crate) peak_connections: u32,
    pub(crate) rate_messages: u64,
    pub(crate) rate_message_bytes: u64,
    pub(crate) store_calls: u64,
}

/// How often things go wrong.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Messages of one VM to another take up to this long, and can overtake each other.
    pub(crate) max_peer_delay_ms: u32,
    /// Messages that are lost with all others on their way to the same VM.
    pub(crate) lost_peers_per_mille: u32,
    /// Messages after which the receiver gets no others from the sender for a second.
    pub(crate) silent_peers_per_mille: u32,
    /// Commands to a member after which the connection is lost, before or after they have run.
    pub(crate) lost_links_per_mille: u32,
    /// Statements that a member refuses to run.
    pub(crate) refusals_per_mille: u32,
    /// Operations at whose VM the process is killed afterwards and starts again.
    pub(crate) kills_per_mille: u32,
    /// Operations at whose VM a planned stop begins, after which the process starts again.
    pub(crate) stops_per_mille: u32,
    /// Time by which the answers of members are late.
    pub(crate) answer_delay_ms: u32,
    /// Whether callers send one operation after the other without a pause until they are closed.
    pub(crate) is_steady: bool,
}

/// A caller: its VM, and the number of its session there. Each process numbers them from 1.
type CallerKey = (usize, CallerId);

/// What a caller does after it has opened its session.
struct Caller {
    /// Whether the VM has received a statement that it has not answered.
    awaits_answer: bool,
    attempt: u64,
    /// The statements that are still to send, last one first.
    remaining: Vec<(&'static str, Statement)>,
    next_statement: u32,
    is_transaction: bool,
    /// The identifiers of the writes that were sent.
    writes: Vec<String>,
}

impl Caller {
    /// Returns the identifier of the latest statement.
    fn last_id(&self) -> String {
        self.statement_id(self.next_statement.saturating_sub(1))
    }

    fn statement_id(&self, number: u32) -> String {
        let kind = if self.is_transaction { 't' } else { 's' };
        format!("{}-{kind}-{number}", self.attempt)
    }
}

pub(crate) struct Fleet {
    size: FleetSize,
    pools: Vec<Pool>,
    now: MonoTime,
    queue: BinaryHeap<Reverse<(MonoTime, u64, usize)>>,
    /// Events of the future. Those of a process end with it.
    events: BTreeMap<u64, (Incarnation, PoolEvent)>,
    next_event: u64,
    incarnations: Vec<Incarnation>,
    next_callers: Vec<u64>,
    /// Whether the next statement is sent without a pause.
    sends_at_once: bool,
    /// When the planned stop of each VM began, if it is stopping.
    stopping_since: Vec<Option<MonoTime>>,
    /// The revision of the store.
    revision: u64,
    next_attempt: u64,
    links: BTreeMap<(usize, ConnectionId), Link>,
    callers: BTreeMap<CallerKey, Caller>,
    faults: Faults,
    /// Messages on their way, by receiver and sender.
    in_flight: BTreeMap<(usize, usize), Vec<u64>>,
    silent_until: BTreeMap<(usize, usize), MonoTime>,
    /// How often each write took effect.
    effects: BTreeMap<String, u32>,
    /// Writes that callers were told to have no effect.
    denied: Vec<String>,
    violations: Vec<String>,
    connections: BTreeMap<MemberId, u32>,
    random: u64,
    pub(crate) counts: FleetCounts,
}

impl Fleet {
    /// Starts a fleet whose VMs have read the configuration, the members and the roster.
    pub(crate) fn start(size: FleetSize) -> Self {
        let pools = (0..size.vms).map(|vm| Pool::new(settings(vm, FIRST_INCARNATION)));
        let vms = size.vms as usize;
        let mut fleet = Self {
            size,
            pools: pools.collect(),
            now: MonoTime::from_millis(1_000),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            incarnations: vec![FIRST_INCARNATION; vms],
            next_callers: vec![0; vms],
            sends_at_once: false,
            stopping_since: vec![None; vms],
            revision: LOADED_REVISION,
            next_attempt: 0,
            links: BTreeMap::new(),
            callers: BTreeMap::new(),
            faults: Faults::default(),
            in_flight: BTreeMap::new(),
            silent_until: BTreeMap::new(),
            effects: BTreeMap::new(),
            denied: Vec::new(),
            violations: Vec::new(),
            connections: BTreeMap::new(),
            random: 0x9e37_79b9_7f4a_7c15,
            counts: FleetCounts::default(),
        };
        for vm in 0..fleet.pools.len() {
            fleet.load_all(vm);
        }
        fleet.run(Duration::from_secs(1));
        fleet.counts = FleetCounts::default();
        fleet
    }

    /// Lets the process of a VM read everything from the store.
    fn load_all(&mut self, vm: usize) {
        let size = self.size;
        self.handle(vm, PoolEvent::DeadlineReached);
        let value = ObjectValue::Config(Rc::new(config(size)));
        self.load(vm, ObjectKind::Configuration, vec![("main".into(), value)]);
        self.load(vm, ObjectKind::Members, member_entries(size));
        self.load(vm, ObjectKind::Evacuations, Vec::new());
        self.load(vm, ObjectKind::Fleet, records(size));
        for other in 0..self.pools.len() {
            if self.incarnations[other] != FIRST_INCARNATION {
                self.announce(vm, other);
            }
        }
    }

    /// Reports the present record of `about` to a VM.
    fn announce(&mut self, vm: usize, about: usize) {
        self.revision += 1;
        let (name, value) = record(u32::try_from(about).unwrap(), self.incarnations[about]);
        let change = ObjectChange {
            name,
            revision: self.revision.into(),
            value: Some(value),
        };
        let answer = ObjectAnswer::Events {
            changes: vec![change],
            revision: self.revision.into(),
        };
        let kind = ObjectKind::Fleet;
        self.schedule(PEER_DELAY, vm, PoolEvent::ObjectsRead { kind, answer });
    }

    /// Ends the process of a VM and starts the next one. Messages on their way to the VM reach the
    /// new process; its connections and its callers are gone.
    fn replace_process(&mut self, vm: usize) {
        let number = u32::try_from(vm).unwrap();
        self.incarnations[vm] = Incarnation(self.incarnations[vm].0 + 1);
        self.pools[vm] = Pool::new(settings(number, self.incarnations[vm]));
        self.next_callers[vm] = 0;
        self.stopping_since[vm] = None;
        self.callers.retain(|(of, _), _| *of != vm);
        let ended = self.links.extract_if(.., |(of, _), _| *of == vm);
        for (_, link) in ended {
            *self.connections.get_mut(&link.member).unwrap() -= 1;
        }
        self.load_all(vm);
        for other in (0..self.pools.len()).filter(|other| *other != vm) {
            let unsent = Vec::new();
            let lost = vm_id(number);
            self.schedule(PEER_DELAY, other, PoolEvent::PeerLost { vm: lost, unsent });
            self.announce(other, vm);
        }
    }

    fn load(&mut self, vm: usize, kind: ObjectKind, objects: Vec<(String, ObjectValue)>) {
        let objects = objects.into_iter().zip(1..);
        let objects = objects.map(|((name, value), revision)| ObjectChange {
            name,
            revision: StoreRevision::from(revision),
            value: Some(value),
        });
        let answer = ObjectAnswer::Page {
            objects: objects.collect(),
            next_after: None,
            revision: LOADED_REVISION.into(),
        };
        self.handle(vm, PoolEvent::ObjectsRead { kind, answer });
    }

    /// Plays operations at all VMs, evenly spaced, of workspaces and routes chosen at random.
    pub(crate) fn play(&mut self, duration: Duration) {
        let interval = Duration::from_secs(1) / (self.size.operations_per_vm * self.size.vms);
        let end = self.now + duration;
        let mut next_at = self.now;
        while self.now < end {
            while next_at <= self.now {
                let vm = self.below(self.size.vms) as usize;
                self.send_operation(vm);
                next_at += interval;
            }
            self.step();
        }
        self.run(PLAYED_AFTER);
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(Reverse((at, number, vm))) = self.queue.peek().copied()
            && at <= self.now
        {
            self.queue.pop();
            if let Some((incarnation, event)) = self.events.remove(&number) {
                let is_message = matches!(event, PoolEvent::PeerSent { .. });
                if !is_message && incarnation != self.incarnations[vm] {
                    continue;
                }
                if let PoolEvent::CallerSent { caller, .. } = &event
                    && let Some(state) = self.callers.get_mut(&(vm, *caller))
                {
                    state.awaits_answer = true;
                }
                self.handle(vm, event);
            }
        }
        for vm in 0..self.pools.len() {
            if self.pools[vm].next_deadline() <= self.now {
                self.handle(vm, PoolEvent::DeadlineReached);
            }
        }
    }

    fn send_operation(&mut self, vm: usize) {
        let is_drained = |since: MonoTime| self.now.since(since) >= BALANCER_DELAY;
        if self.stopping_since[vm].is_some_and(is_drained) {
            return;
        }
        self.counts.sent += 1;
        self.next_callers[vm] += 1;
        let caller = CallerId(self.next_callers[vm]);
        let group = self.below(self.size.groups);
        let mut rest = self.below(self.size.total_weight());
        let mut workspace = 0;
        while rest >= self.size.weight(workspace) {
            rest -= self.size.weight(workspace);
            workspace += 1;
        }
        let state = self.new_operation();
        self.callers.insert((vm, caller), state);
        self.handle(vm, PoolEvent::CallerConnected { caller });
        let request = CallerRequest::Start {
            database: format!("db-{group}"),
            key: format!("key-{workspace}"),
        };
        self.handle(vm, PoolEvent::CallerSent { caller, request });
        self.sends_at_once = false;
        self.send_next((vm, caller));
        if self.is_chosen(self.faults.kills_per_mille) {
            self.replace_process(vm);
        }
        if self.stopping_since[vm].is_none() && self.is_chosen(self.faults.stops_per_mille) {
            self.stopping_since[vm] = Some(self.now);
            self.handle(vm, PoolEvent::StopRequested);
        }
    }

    /// Chooses the statements of the next operation of a caller.
    fn new_operation(&mut self) -> Caller {
        let is_write = self.below(4) == 0;
        let is_transaction = self.faults.max_peer_delay_ms > 0 && self.below(2) == 0;
        let statement = match is_write {
            true => ("WRITE 1a4 x", Statement::Run(Access::Write)),
            false => ("READ 1a4", Statement::Run(Access::Read)),
        };
        let remaining = match is_transaction {
            false => vec![statement],
            true => {
                let read_only = !is_write && self.below(2) == 0;
                let end = match self.below(3) {
                    0 => ("ROLLBACK", Statement::Rollback),
                    _ => ("COMMIT", Statement::Commit),
                };
                let mut remaining = vec![end];
                remaining.extend((0..=self.below(3)).map(|_| statement.clone()));
                remaining.push(("BEGIN", Statement::Begin { read_only }));
                remaining
            }
        };
        self.next_attempt += 1;
        Caller {
            awaits_answer: false,
            attempt: self.next_attempt,
            remaining,
            next_statement: 0,
            is_transaction,
            writes: Vec::new(),
        }
    }

    /// Sends the next statement of a caller; returns false if there is none.
    fn send_next(&mut self, (vm, caller): CallerKey) -> bool {
        let Some(state) = self.callers.get_mut(&(vm, caller)) else {
            return false;
        };
        let Some((text, statement)) = state.remaining.pop() else {
            return false;
        };
        let id = state.statement_id(state.next_statement);
        state.next_statement += 1;
        if statement == Statement::Run(Access::Write) {
            state.writes.push(id.clone());
        }
        let request = CallerRequest::Query {
            id,
            text: text.to_owned(),
            statement: Some(statement),
        };
        let pause = match self.sends_at_once {
            true => Duration::ZERO,
            false => STEP,
        };
        self.schedule(pause, vm, PoolEvent::CallerSent { caller, request });
        true
    }

    pub(crate) fn set_faults(&mut self, seed: u64, faults: Faults) {
        self.random ^= seed.wrapping_mul(0x2545_f491_4f6c_dd1d);
        self.faults = faults;
    }

    /// Returns the rules that were broken.
    pub(crate) fn violations(&self) -> Vec<String> {
        let twice = self.effects.iter().filter(|(_, count)| **count > 1);
        let twice = twice.map(|(id, _)| format!("{id} took effect twice"));
        let denied = self.denied.iter();
        let denied = denied.filter(|id| self.effects.contains_key(*id));
        let denied = denied.map(|id| format!("{id} took effect but was denied"));
        self.violations
            .iter()
            .cloned()
            .chain(twice)
            .chain(denied)
            .collect()
    }

    fn is_chosen(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.below(1_000) < per_mille
    }

    fn handle(&mut self, vm: usize, event: PoolEvent) {
        let mut actions = Vec::new();
        self.pools[vm].handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(vm, action);
        }
    }

    fn execute(&mut self, vm: usize, action: PoolAction) {
        match action {
            PoolAction::Reply { caller, reply } => self.reply((vm, caller), reply),
            PoolAction::CloseCaller { caller } => self.caller_closed((vm, caller)),
            PoolAction::Exit => {
                let left = self.callers.range((vm, CallerId(0))..(vm + 1, CallerId(0)));
                let left: Vec<CallerKey> = left.map(|(key, _)| *key).collect();
                left.into_iter().for_each(|key| self.caller_closed(key));
                self.replace_process(vm);
            }
            PoolAction::OpenLink { link, member, .. } => {
                self.counts.opened_connections += 1;
                let open = self.connections.entry(member.clone()).or_default();
                *open += 1;
                self.counts.peak_connections = self.counts.peak_connections.max(*open);
                let state = Link {
                    member,
                    in_transaction: false,
                    is_lost: false,
                    transaction_of: None,
                    uncommitted: Vec::new(),
                    answered_at: self.now,
                };
                self.links.insert((vm, link), state);
                let position = Some(Position::new(Term(1), 0));
                self.schedule(OPEN_TIME, vm, PoolEvent::LinkReady { link, position });
            }
            PoolAction::CloseLink { link } => {
                if let Some(state) = self.links.remove(&(vm, link)) {
                    *self.connections.get_mut(&state.member).unwrap() -= 1;
                }
            }
            PoolAction::Send { link, command } => self.answer(vm, link, &command),
            PoolAction::SendPeer { to, message, .. } | PoolAction::AnswerPeer { to, message } => {
                if let PoolMessage::Rates(message) = &message {
                    self.counts.rate_messages += 1;
                    let bytes = rmp_serde::to_vec(message).unwrap().len();
                    self.counts.rate_message_bytes += bytes as u64;
                }
                let to: usize = to.as_str()[3..].parse().unwrap();
                self.send_message(vm, to, message);
            }
            PoolAction::ReadObjects(ObjectCall::List { .. } | ObjectCall::Watch { .. })
            | PoolAction::WriteRecord { .. } => self.counts.store_calls += 1,
            _ => {}
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: PoolMessage) {
        let is_silent = |until: &MonoTime| *until > self.now;
        if self.silent_until.get(&(to, from)).is_some_and(is_silent) {
            return;
        }
        if self.is_chosen(self.faults.lost_peers_per_mille) {
            for number in self.in_flight.remove(&(to, from)).unwrap_or_default() {
                self.events.remove(&number);
            }
            let vm = vm_id(u32::try_from(to).unwrap());
            // Some connections are lost before they are established.
            let is_unsent = self.below(2) == 0;
            let unsent = message.forwarded_statement().filter(|_| is_unsent);
            let unsent = Vec::from_iter(unsent);
            return self.schedule(PEER_DELAY, from, PoolEvent::PeerLost { vm, unsent });
        }
        if self.is_chosen(self.faults.silent_peers_per_mille) {
            let until = self.now + Duration::from_secs(1);
            self.silent_until.insert((to, from), until);
        }
        let extra = self.below(self.faults.max_peer_delay_ms + 1);
        let event = PoolEvent::PeerSent {
            from: vm_id(u32::try_from(from).unwrap()),
            incarnation: self.incarnations[from],
            message,
        };
        let delay = PEER_DELAY + Duration::from_millis(extra.into());
        self.schedule(delay, to, event);
        let in_flight = self.in_flight.entry((to, from)).or_default();
        in_flight.push(self.next_event);
    }

    /// Handles the end of a caller's connection by its VM.
    fn caller_closed(&mut self, caller: CallerKey) {
        if let Some(state) = self.callers.remove(&caller)
            && state.awaits_answer
        {
            let violation = format!("attempt {} got no answer", state.attempt);
            self.violations.push(violation);
        }
    }

    fn reply(&mut self, caller: CallerKey, reply: CallerReply) {
        let Some(state) = self.callers.get_mut(&caller) else {
            return;
        };
        if reply != CallerReply::Started {
            state.awaits_answer = false;
        }
        let last_id = state.last_id();
        // Callers that are refused would be refused again at the same time.
        let is_served = matches!(
            reply,
            CallerReply::Done {
                signature: Some(_),
                ..
            }
        );
        self.sends_at_once = self.faults.is_steady && is_served;
        let state = match reply {
            CallerReply::Started => return,
            CallerReply::Done {
                state,
                signature: signed,
                ..
            } => {
                if signed.is_some_and(|signed| signed != signature(&last_id)) {
                    let violation = format!("{last_id} got the success of another statement");
                    self.violations.push(violation);
                }
                if self.send_next(caller) {
                    return;
                }
                self.counts.served += 1;
                state
            }
            CallerReply::Failed {
                error, text, state, ..
            } => {
                self.record_error(caller, error, &text);
                state
            }
            CallerReply::Rejected { error, text } => {
                self.record_error(caller, error, &text);
                TransactionState::Idle
            }
        };
        let goes_on = self.faults.max_peer_delay_ms > 0 && self.below(4) > 0;
        if goes_on || self.faults.is_steady {
            let mut next = self.new_operation();
            if state != TransactionState::Idle {
                next.remaining.push(("ROLLBACK", Statement::Rollback));
            }
            self.counts.sent += 1;
            self.callers.insert(caller, next);
            self.send_next(caller);
            return;
        }
        self.callers.remove(&caller);
        let (vm, caller) = caller;
        self.schedule(Duration::ZERO, vm, PoolEvent::CallerClosed { caller });
    }

    fn record_error(&mut self, caller: CallerKey, error: CallerError, text: &str) {
        let state = self.callers.get(&caller).unwrap();
        let denies = matches!(
            error,
            CallerError::Busy | CallerError::Aborted | CallerError::Lagging
        );
        if denies {
            self.denied.extend(state.writes.iter().cloned());
        }
        if error == CallerError::Malformed {
            self.violations
                .push(format!("attempt {}: {text}", state.attempt));
        }
        let error = format!("{}: {text}", error.as_str());
        *self.counts.refused.entry(error).or_default() += 1;
    }

    fn schedule(&mut self, delay: Duration, vm: usize, event: PoolEvent) {
        self.next_event += 1;
        let incarnation = self.incarnations[vm];
        self.events.insert(self.next_event, (incarnation, event));
        let due = self.now + delay;
        self.queue.push(Reverse((due, self.next_event, vm)));
    }

    fn below(&mut self, limit: u32) -> u32 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        u32::try_from((self.random >> 32) % u64::from(limit)).unwrap()
    }
}
