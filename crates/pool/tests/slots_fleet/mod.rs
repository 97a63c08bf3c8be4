//! A fleet of pools in virtual time in front of one group, whose members have slots and a bounded
//! queue, and can fail, hang, crash or be out of reach of single VMs. It counts what callers get.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some of the items"
)]
#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it only inside test functions"
)]

mod model;
mod setup;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_pool::Access;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::CallerRequest;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectChange;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::Pool;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PoolMessage;
use lycheedoor_pool::Report;
use lycheedoor_pool::Statement;

pub(crate) use model::Behaviour;
use model::MemberModel;
pub(crate) use setup::GROUP;
pub(crate) use setup::SLOTS;
pub(crate) use setup::TARGET_LATENCY;
use setup::WORKSPACES;
use setup::config;
use setup::entry;
use setup::record;
use setup::settings;
use setup::vm_id;

/// Resolution of the virtual time.
const STEP: Duration = Duration::from_millis(1);

const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// What callers got for the operations of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) sent: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) failed: u32,
}

struct Caller {
    sent_at: MonoTime,
    text: &'static str,
}

pub(crate) struct SlotsFleet {
    pools: Vec<Pool>,
    pub(crate) now: MonoTime,
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: BTreeMap<u64, (usize, PoolEvent)>,
    next_event: u64,
    pub(crate) members: BTreeMap<&'static str, MemberModel>,
    /// The member of each connection.
    links: BTreeMap<(usize, ConnectionId), &'static str>,
    callers: BTreeMap<(usize, CallerId), Caller>,
    next_caller: u64,
    revision: u64,
    random: u64,
    /// VMs that cannot reach a member, with the member.
    pub(crate) cut: BTreeSet<(usize, &'static str)>,
    /// Whether messages on how members answer are lost.
    pub(crate) loses_verdicts: bool,
    pub(crate) outcomes: Outcomes,
    pub(crate) reports: Vec<(MonoTime, usize, Report)>,
    pub(crate) verdicts_sent: u32,
}

impl SlotsFleet {
    /// Starts a fleet whose VMs have known the members for long.
    pub(crate) fn start(vms: usize, is_adaptive: bool) -> Self {
        let pools = (0..vms).map(|vm| Pool::new(settings(vm)));
        let mut fleet = Self {
            pools: pools.collect(),
            now: MonoTime::from_millis(1_000),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            members: ["m1", "m2", "m3"]
                .into_iter()
                .map(|name| (name, MemberModel::default()))
                .collect(),
            links: BTreeMap::new(),
            callers: BTreeMap::new(),
            next_caller: 0,
            revision: 100,
            random: 0x9e37_79b9_7f4a_7c15,
            cut: BTreeSet::new(),
            loses_verdicts: false,
            outcomes: Outcomes::default(),
            reports: Vec::new(),
            verdicts_sent: 0,
        };
        for vm in 0..vms {
            fleet.handle(vm, PoolEvent::DeadlineReached);
            fleet.load(vm, ObjectKind::Configuration, vec![config(is_adaptive)]);
            let entries = ["m1", "m2", "m3"].map(|name| entry(name, 1));
            fleet.load(vm, ObjectKind::Members, entries.to_vec());
            fleet.load(vm, ObjectKind::Evacuations, Vec::new());
            fleet.load(vm, ObjectKind::Fleet, (0..vms).map(record).collect());
        }
        fleet.play(Duration::from_secs(4), 100, 25);
        fleet.reset_counts();
        fleet
    }

    pub(crate) fn reset_counts(&mut self) {
        self.outcomes = Outcomes::default();
        self.reports.clear();
        self.verdicts_sent = 0;
        for member in self.members.values_mut() {
            member.peak = 0;
            member.served = 0;
        }
    }

    fn load(&mut self, vm: usize, kind: ObjectKind, objects: Vec<(String, ObjectValue)>) {
        let objects = objects
            .into_iter()
            .zip(1..)
            .map(|((name, value), revision)| ObjectChange {
                name,
                revision: revision.into(),
                value: Some(value),
            });
        let answer = ObjectAnswer::Page {
            objects: objects.collect(),
            next_after: None,
            revision: self.revision.into(),
        };
        self.handle(vm, PoolEvent::ObjectsRead { kind, answer });
    }

    /// Plays single statements at random VMs, evenly spaced; `writes_percent` of them are writes.
    pub(crate) fn play(&mut self, duration: Duration, per_s: u32, writes_percent: u32) {
        let end = self.now + duration;
        let mut next_at = self.now;
        while self.now < end {
            while per_s > 0 && next_at <= self.now {
                self.send_operation(writes_percent);
                next_at += Duration::from_secs(1) / per_s;
            }
            self.step();
        }
    }

    fn send_operation(&mut self, writes_percent: u32) {
        let vm = self.below(self.pools.len() as u32) as usize;
        let workspace = self.below(WORKSPACES);
        let is_write = self.below(100) < writes_percent;
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        let (database, text, access) = match is_write {
            true => ("primary-db", "WRITE 1a4 x", Access::Write),
            false => ("bounded-db", "READ 1a4", Access::Read),
        };
        self.outcomes.sent += 1;
        let state = Caller {
            sent_at: self.now,
            text,
        };
        self.callers.insert((vm, caller), state);
        self.handle(vm, PoolEvent::CallerConnected { caller });
        let request = CallerRequest::Start {
            database: database.to_owned(),
            key: format!("key-{workspace}"),
        };
        self.handle(vm, PoolEvent::CallerSent { caller, request });
        let request = CallerRequest::Query {
            id: format!("{vm}-{}", caller.0),
            text: text.to_owned(),
            statement: Some(Statement::Run(access)),
        };
        self.handle(vm, PoolEvent::CallerSent { caller, request });
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(Reverse((at, number))) = self.queue.peek().copied()
            && at <= self.now
        {
            self.queue.pop();
            let (vm, event) = self.events.remove(&number).unwrap();
            self.handle(vm, event);
        }
        let names: Vec<&'static str> = self.members.keys().copied().collect();
        for name in names {
            let mut draws = [0_u32; 64];
            for draw in &mut draws {
                *draw = self.random_next();
            }
            let now = self.now;
            let events = self.members.get_mut(name).unwrap().step(now, &draws);
            for ((vm, link), event) in events {
                if self.links.contains_key(&(vm, link)) && !self.cut.contains(&(vm, name)) {
                    self.schedule(NETWORK_DELAY, vm, event);
                }
            }
        }
        for vm in 0..self.pools.len() {
            if self.pools[vm].next_deadline() <= self.now {
                self.handle(vm, PoolEvent::DeadlineReached);
            }
        }
    }

    /// Ends all connections of a member, which accepts none until [`SlotsFleet::recover`].
    pub(crate) fn crash(&mut self, name: &'static str) {
        let model = self.members.get_mut(name).unwrap();
        model.crash();
        let links = self.links.extract_if(.., |_, member| *member == name);
        let links: Vec<_> = links.map(|(key, _)| key).collect();
        for (vm, link) in links {
            self.schedule(NETWORK_DELAY, vm, PoolEvent::LinkClosed { link });
        }
    }

    /// Lets a member run again after a crash, and register with its new start.
    pub(crate) fn recover(&mut self, name: &'static str, started_unix_ms: u64) {
        self.members.get_mut(name).unwrap().is_down = false;
        self.revision += 1;
        let (object, value) = entry(name, started_unix_ms);
        for vm in 0..self.pools.len() {
            let change = ObjectChange {
                name: object.clone(),
                revision: self.revision.into(),
                value: Some(value.clone()),
            };
            let answer = ObjectAnswer::Events {
                changes: vec![change],
                revision: self.revision.into(),
            };
            let kind = ObjectKind::Members;
            self.handle(vm, PoolEvent::ObjectsRead { kind, answer });
        }
    }

    pub(crate) fn behave(&mut self, name: &'static str, behaviour: Behaviour) {
        self.members.get_mut(name).unwrap().behaviour = behaviour;
    }

    /// Delivers a message to a VM as if another one had sent it.
    pub(crate) fn deliver(&mut self, from: usize, to: usize, message: PoolMessage) {
        let event = PoolEvent::PeerSent {
            from: vm_id(from),
            incarnation: settings(from).incarnation,
            message,
        };
        self.schedule(NETWORK_DELAY, to, event);
    }

    fn handle(&mut self, vm: usize, event: PoolEvent) {
        if let PoolEvent::LinkClosed { link } | PoolEvent::LinkRefused { link, .. } = &event {
            self.links.remove(&(vm, *link));
        }
        let mut actions = Vec::new();
        self.pools[vm].handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(vm, action);
        }
    }

    fn execute(&mut self, vm: usize, action: PoolAction) {
        match action {
            PoolAction::Reply { caller, reply } => self.count_reply((vm, caller), &reply),
            PoolAction::OpenLink { link, member, .. } => {
                let names = self.members.keys().copied();
                let name = names.into_iter().find(|name| *name == member.as_str());
                let name = name.unwrap();
                self.links.insert((vm, link), name);
                let model = self.members.get_mut(name).unwrap();
                if model.is_down {
                    self.schedule(NETWORK_DELAY, vm, PoolEvent::LinkClosed { link });
                } else if !self.cut.contains(&(vm, name)) {
                    model.open((vm, link));
                }
            }
            PoolAction::CloseLink { link } => {
                if let Some(name) = self.links.remove(&(vm, link)) {
                    self.members.get_mut(name).unwrap().close((vm, link));
                }
            }
            PoolAction::Send { link, command } => {
                let Some(name) = self.links.get(&(vm, link)).copied() else {
                    return;
                };
                if !self.cut.contains(&(vm, name)) {
                    let model = self.members.get_mut(name).unwrap();
                    model.accept((vm, link), command);
                }
            }
            PoolAction::SendPeer { to, message, .. } | PoolAction::AnswerPeer { to, message } => {
                let is_verdict = setup::is_verdict(&message);
                self.verdicts_sent += u32::from(is_verdict);
                let to: usize = to.as_str()[3..].parse().unwrap();
                if !(is_verdict && self.loses_verdicts) {
                    self.deliver(vm, to, message);
                }
            }
            PoolAction::Report(report) => self.reports.push((self.now, vm, report)),
            _ => {}
        }
    }

    fn count_reply(&mut self, key: (usize, CallerId), reply: &CallerReply) {
        let counts = &mut self.outcomes;
        match reply {
            CallerReply::Started => return,
            CallerReply::Done { .. } => {
                let Some(caller) = self.callers.get(&key) else {
                    return;
                };
                match self.now.since(caller.sent_at) <= TARGET_LATENCY {
                    true => counts.in_time += 1,
                    false => counts.late += 1,
                }
            }
            CallerReply::Failed { error, .. } | CallerReply::Rejected { error, .. } => {
                match error.as_str() {
                    "busy" => counts.refused += 1,
                    _ => counts.failed += 1,
                }
            }
        }
        if self.callers.remove(&key).is_some() {
            let (vm, caller) = key;
            self.schedule(STEP, vm, PoolEvent::CallerClosed { caller });
        }
    }

    fn schedule(&mut self, delay: Duration, vm: usize, event: PoolEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, (vm, event));
        self.queue
            .push(Reverse((self.now + delay, self.next_event)));
    }

    fn random_next(&mut self) -> u32 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 33) as u32
    }

    fn below(&mut self, limit: u32) -> u32 {
        self.random_next() % limit
    }
}
