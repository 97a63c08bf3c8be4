//! A fleet of pools in virtual time that read from a store and pass on what they read. VMs can be
//! cut off from the store and from each other, paused and killed.

#![allow(dead_code, reason = "each test file uses only some of the items")]
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy.toml allows it only inside test functions"
)]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_pool::MemberEntry;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectCall;
use lycheedoor_pool::ObjectChange;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::Pool;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolConfig;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PoolSettings;
use lycheedoor_pool::RateRule;
use lycheedoor_pool::Report;
use lycheedoor_pool::StoreRevision;
use lycheedoor_pool::WriteOutcome;

const DATA_CENTRES: u32 = 5;
const STORE_DELAY: Duration = Duration::from_millis(4);
const PEER_DELAY: Duration = Duration::from_millis(1);
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
const WATCH_WAIT: Duration = Duration::from_secs(28);

/// Time after which a VM gives up a watch whose response is lost.
const WATCH_TIMEOUT: Duration = Duration::from_secs(32);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// The price of a probe, in parts of a hundred of that of another call.
const PROBE_PRICE_PERCENT: u64 = 10;

struct Vm {
    pool: Pool,
    is_running: bool,
    is_paused: bool,
    is_cut_from_store: bool,
    /// Whether the store's responses to the VM are lost. The connection of a call whose response is lost
    /// returns nothing further, also after the silence.
    is_store_silent: bool,
    /// What arrived while the VM was paused.
    held: Vec<PoolEvent>,
    /// The number of the current call of each kind, which later answers to earlier calls lack.
    calls: BTreeMap<ObjectKind, u64>,
    version: u64,
    source: Option<VmId>,
    member_revisions: BTreeMap<MemberId, StoreRevision>,
}

/// A copy of the store.
#[derive(Clone)]
pub(crate) struct StoreCopy {
    revision: u64,
    objects: BTreeMap<(ObjectKind, String), ObjectChange>,
    log: Vec<(ObjectKind, ObjectChange)>,
}

pub(crate) struct StoreFleet {
    vms: Vec<Vm>,
    now: MonoTime,
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    due: BTreeMap<u64, (usize, Due)>,
    next_number: u64,
    revision: StoreRevision,
    objects: BTreeMap<(ObjectKind, String), ObjectChange>,
    log: Vec<(ObjectKind, ObjectChange)>,
    watches: Vec<(usize, ObjectKind, StoreRevision, u64)>,
    lost_peers_percent: u64,
    random: u64,
    /// Reads and writes of all VMs, in hundredths.
    calls_percent: u64,
    pub(crate) violations: Vec<String>,
}

enum Due {
    Event(PoolEvent),
    Answer(ObjectKind, u64, ObjectAnswer),
    WatchEnd(ObjectKind, u64),
}

fn vm_id(vm: usize) -> VmId {
    VmId::from(format!("vm-{vm:04}").as_str())
}

fn settings(vm: usize, incarnation: u64) -> PoolSettings {
    let number = u32::try_from(vm).unwrap();
    let data_centre = format!("dc-{}", number % DATA_CENTRES);
    PoolSettings {
        vm: vm_id(vm),
        incarnation: Incarnation(incarnation),
        data_centre: DataCentreId::from(data_centre.as_str()),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(vm).unwrap())),
        stop_grace: Duration::from_secs(6),
        key_ttl: None,
        rate_slack: 0,
        usage: None,
    }
}

impl StoreFleet {
    /// Starts all VMs within 300 ms, before a store with a configuration and `members` members.
    pub(crate) fn start(vms: usize, members: u32) -> Self {
        let mut fleet = Self {
            vms: Vec::new(),
            now: MonoTime::from_millis(1_000),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            next_number: 0,
            revision: StoreRevision::from(1),
            objects: BTreeMap::new(),
            log: Vec::new(),
            watches: Vec::new(),
            lost_peers_percent: 0,
            random: 0x9e37_79b9_7f4a_7c15,
            calls_percent: 0,
            violations: Vec::new(),
        };
        fleet.set_version(1);
        for vm in 0..vms {
            fleet.vms.push(Vm {
                pool: Pool::new(settings(vm, 1)),
                is_running: true,
                is_paused: false,
                is_cut_from_store: false,
                is_store_silent: false,
                held: Vec::new(),
                calls: BTreeMap::new(),
                version: 0,
                source: None,
                member_revisions: BTreeMap::new(),
            });
            let delay = Duration::from_millis(fleet.below(300));
            fleet.schedule(delay, vm, Due::Event(PoolEvent::DeadlineReached));
        }
        for member in 0..members {
            fleet.run(Duration::from_millis(60));
            fleet.set_member(member, false);
        }
        fleet
    }

    /// Returns the calls to the store so far, by price.
    pub(crate) fn calls(&self) -> u64 {
        self.calls_percent / 100
    }

    pub(crate) fn copy_store(&self) -> StoreCopy {
        StoreCopy {
            revision: self.revision.revision,
            objects: self.objects.clone(),
            log: self.log.clone(),
        }
    }

    /// Returns a copy of the store from before the VMs were recorded in it.
    pub(crate) fn copy_store_without_records(&self) -> StoreCopy {
        let mut copy = self.copy_store();
        copy.objects
            .retain(|(kind, _), _| *kind != ObjectKind::Fleet);
        copy.log.retain(|(kind, _)| *kind != ObjectKind::Fleet);
        copy
    }

    /// Replaces the store by a copy, which begins the next era and cuts off all watches.
    pub(crate) fn restore_store(&mut self, copy: &StoreCopy) {
        let era = self.revision.era + 1;
        let in_era = |change: &ObjectChange| ObjectChange {
            revision: StoreRevision::new(era, change.revision.revision),
            ..change.clone()
        };
        self.revision = StoreRevision::new(era, copy.revision);
        let objects = copy.objects.iter();
        self.objects = objects
            .map(|(key, change)| (key.clone(), in_era(change)))
            .collect();
        let log = copy.log.iter();
        self.log = log.map(|(kind, change)| (*kind, in_era(change))).collect();
        for (vm, kind, _, number) in std::mem::take(&mut self.watches) {
            let answer = ObjectAnswer::Unavailable;
            self.schedule(STORE_DELAY, vm, Due::Answer(kind, number, answer));
        }
    }

    /// Returns the VMs without a record in the store.
    pub(crate) fn without_record(&self) -> Vec<usize> {
        let has_record = |vm: &usize| {
            let name = format!("vm.{}", vm_id(*vm));
            self.objects.contains_key(&(ObjectKind::Fleet, name))
        };
        (0..self.vms.len()).filter(|vm| !has_record(vm)).collect()
    }

    /// Returns the version of the configuration that a VM uses.
    pub(crate) fn version(&self, vm: usize) -> u64 {
        self.vms[vm].version
    }

    pub(crate) fn lose_peer_messages(&mut self, percent: u64) {
        self.lost_peers_percent = percent;
    }

    pub(crate) fn set_version(&mut self, version: u64) {
        let config = PoolConfig {
            version,
            ..PoolConfig::default()
        };
        let value = ObjectValue::Config(Rc::new(config));
        self.write(ObjectKind::Configuration, "main", Some(value));
    }

    /// Sets a configuration that one VM does not pass on to another.
    pub(crate) fn set_large_version(&mut self, version: u64) {
        let workspaces = (0..1_000).map(|number| WorkspaceId::from(format!("w-{number}").as_str()));
        let rate = RateRule {
            per_s: 10,
            burst: 10,
        };
        let config = PoolConfig {
            version,
            rates: workspaces.map(|workspace| (workspace, rate)).collect(),
            ..PoolConfig::default()
        };
        let value = ObjectValue::Config(Rc::new(config));
        self.write(ObjectKind::Configuration, "main", Some(value));
    }

    pub(crate) fn set_member(&mut self, member: u32, is_draining: bool) {
        let id = format!("m-{member}");
        let entry = MemberEntry {
            id: MemberId::from(id.as_str()),
            group: GroupId::from(format!("group-{}", member / 3).as_str()),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
            data_centre: DataCentreId::from("dc-0"),
            slots: 4,
            is_draining,
            claims_primary: member.is_multiple_of(3),
            cold_left: Duration::ZERO,
            started_unix_ms: 1,
        };
        self.write(ObjectKind::Members, &id, Some(ObjectValue::Member(entry)));
    }

    /// Returns the VMs that read the store for others.
    pub(crate) fn relays(&self) -> Vec<usize> {
        let sources: BTreeSet<VmId> = self.vms.iter().filter_map(|vm| vm.source.clone()).collect();
        let is_source = |vm: &usize| sources.contains(&vm_id(*vm));
        (0..self.vms.len()).filter(is_source).collect()
    }

    pub(crate) fn cut_from_store(&mut self, vm: usize, is_cut: bool) {
        self.vms[vm].is_cut_from_store = is_cut;
    }

    /// Begins or ends a silence of the store towards some VMs.
    pub(crate) fn set_store_silent(
        &mut self,
        vms: impl IntoIterator<Item = usize>,
        is_silent: bool,
    ) {
        for vm in vms {
            self.vms[vm].is_store_silent = is_silent;
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.vms.len()
    }

    pub(crate) fn pause(&mut self, vm: usize) {
        self.vms[vm].is_paused = true;
    }

    pub(crate) fn wake(&mut self, vm: usize) {
        self.vms[vm].is_paused = false;
        for event in std::mem::take(&mut self.vms[vm].held) {
            self.handle(vm, event);
        }
    }

    pub(crate) fn kill(&mut self, vm: usize) {
        self.vms[vm].is_running = false;
        self.watches.retain(|watch| watch.0 != vm);
    }

    pub(crate) fn restart(&mut self, vm: usize) {
        self.kill(vm);
        let state = &mut self.vms[vm];
        state.pool = Pool::new(settings(vm, 2));
        state.is_running = true;
        state.calls.clear();
        state.member_revisions.clear();
        state.version = 0;
        self.handle(vm, PoolEvent::DeadlineReached);
    }

    /// Returns the VMs whose configuration is older than the given version.
    pub(crate) fn behind(&self, version: u64) -> Vec<usize> {
        let is_behind = |vm: &usize| {
            let vm = &self.vms[*vm];
            vm.is_running && !vm.is_paused && !vm.is_cut_from_store && vm.version < version
        };
        (0..self.vms.len()).filter(is_behind).collect()
    }

    /// Returns the VMs that do not know the latest change of a member.
    pub(crate) fn behind_on_member(&self, member: u32) -> Vec<usize> {
        let name = format!("m-{member}");
        let latest = self.objects[&(ObjectKind::Members, name.clone())].revision;
        let is_behind = |vm: &usize| {
            let vm = &self.vms[*vm];
            let known = vm.member_revisions.get(name.as_str()).copied();
            vm.is_running
                && !vm.is_paused
                && !vm.is_cut_from_store
                && known.is_none_or(|known| known < latest)
        };
        (0..self.vms.len()).filter(is_behind).collect()
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(1);
            while let Some(Reverse((at, number))) = self.queue.peek().copied()
                && at <= self.now
            {
                self.queue.pop();
                if let Some((vm, due)) = self.due.remove(&number) {
                    self.deliver(vm, due);
                }
            }
            for vm in 0..self.vms.len() {
                let state = &self.vms[vm];
                let has_started = state.pool.next_deadline() > MonoTime::ZERO;
                if has_started && state.pool.next_deadline() <= self.now {
                    self.handle(vm, PoolEvent::DeadlineReached);
                }
            }
        }
    }

    fn deliver(&mut self, vm: usize, due: Due) {
        let event = match due {
            Due::Event(event) => event,
            Due::Answer(kind, number, answer) => {
                if self.vms[vm].calls.get(&kind) != Some(&number) {
                    return;
                }
                self.vms[vm].calls.remove(&kind);
                PoolEvent::ObjectsRead { kind, answer }
            }
            Due::WatchEnd(_, number) if self.vms[vm].is_store_silent => {
                return self.lose_watch(vm, number);
            }
            Due::WatchEnd(kind, number) => {
                self.watches.retain(|watch| watch.3 != number);
                let answer = match self.vms[vm].is_cut_from_store {
                    true => ObjectAnswer::Unavailable,
                    false => ObjectAnswer::Events {
                        changes: Vec::new(),
                        revision: self.revision,
                    },
                };
                return self.deliver(vm, Due::Answer(kind, number, answer));
            }
        };
        self.handle(vm, event);
    }

    /// Loses the response to a watch, which the VM gives up in the end.
    fn lose_watch(&mut self, vm: usize, number: u64) {
        let lost = self.watches.iter().position(|watch| watch.3 == number);
        let Some((_, kind, ..)) = lost.map(|index| self.watches.remove(index)) else {
            return;
        };
        let answer = Due::Answer(kind, number, ObjectAnswer::Unavailable);
        self.schedule(WATCH_TIMEOUT, vm, answer);
    }

    fn handle(&mut self, vm: usize, event: PoolEvent) {
        let state = &mut self.vms[vm];
        if !state.is_running {
            return;
        }
        if state.is_paused {
            if !matches!(event, PoolEvent::DeadlineReached) {
                state.held.push(event);
            }
            return;
        }
        let mut actions = Vec::new();
        state.pool.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(vm, action);
        }
    }

    fn execute(&mut self, vm: usize, action: PoolAction) {
        match action {
            PoolAction::ReadObjects(call) => self.call(vm, call),
            PoolAction::AbandonRead { kind } => {
                let number = self.vms[vm].calls.remove(&kind);
                self.watches.retain(|watch| Some(watch.3) != number);
            }
            PoolAction::ReconnectStore => {
                for (kind, number) in self.vms[vm].calls.clone() {
                    let answer = ObjectAnswer::Unavailable;
                    self.schedule(Duration::ZERO, vm, Due::Answer(kind, number, answer));
                    self.watches.retain(|watch| watch.3 != number);
                }
            }
            PoolAction::WriteRecord {
                name,
                record,
                expected,
            } => {
                self.calls_percent += 100;
                if self.vms[vm].is_cut_from_store {
                    return;
                }
                if self.vms[vm].is_store_silent {
                    let outcome = WriteOutcome::Unknown;
                    let event = PoolEvent::RecordWritten { name, outcome };
                    return self.schedule(LIST_TIMEOUT, vm, Due::Event(event));
                }
                let known = self.objects.get(&(ObjectKind::Fleet, name.clone()));
                if let Some(known) = known.filter(|known| Some(known.revision) != expected) {
                    let Some(ObjectValue::Fleet(record)) = known.value.clone() else {
                        panic!("{known:?}");
                    };
                    let outcome = WriteOutcome::Conflict {
                        revision: known.revision,
                        record: Some(record),
                    };
                    let event = PoolEvent::RecordWritten { name, outcome };
                    return self.schedule(STORE_DELAY, vm, Due::Event(event));
                }
                self.write(ObjectKind::Fleet, &name, Some(ObjectValue::Fleet(record)));
                let outcome = WriteOutcome::Written(self.revision);
                let event = PoolEvent::RecordWritten { name, outcome };
                self.schedule(STORE_DELAY, vm, Due::Event(event));
            }
            PoolAction::SendPeer { to, message, .. } | PoolAction::AnswerPeer { to, message } => {
                let to: usize = to.as_str()[3..].parse().unwrap();
                if self.below(100) < self.lost_peers_percent || !self.vms[to].is_running {
                    return;
                }
                let event = PoolEvent::PeerSent {
                    from: vm_id(vm),
                    incarnation: Incarnation(1),
                    message,
                };
                // Messages can overtake each other.
                let delay = PEER_DELAY + Duration::from_millis(self.below(30));
                self.schedule(delay, to, Due::Event(event));
            }
            PoolAction::Report(Report::ConfigurationApplied { version }) => {
                if version <= self.vms[vm].version {
                    let violation = format!("vm {vm} went back to version {version}");
                    self.violations.push(violation);
                }
                self.vms[vm].version = version;
            }
            PoolAction::Report(Report::MemberChanged {
                member, revision, ..
            }) => {
                let known = self.vms[vm].member_revisions.insert(member, revision);
                if known.is_some_and(|known| known > revision) {
                    let violation = format!("vm {vm} went back to revision {revision}");
                    self.violations.push(violation);
                }
            }
            PoolAction::Report(Report::StoreSource { relay }) => self.vms[vm].source = relay,
            _ => {}
        }
    }

    fn call(&mut self, vm: usize, call: ObjectCall) {
        let is_cut = self.vms[vm].is_cut_from_store || self.vms[vm].is_store_silent;
        self.next_number += 1;
        let number = self.next_number;
        match call {
            ObjectCall::Probe => {
                self.calls_percent += PROBE_PRICE_PERCENT;
                let is_answered = !is_cut;
                let delay = if is_cut { PROBE_TIMEOUT } else { STORE_DELAY };
                if is_answered {
                    let era = self.revision.era;
                    let event = PoolEvent::StoreEraSeen { era };
                    self.schedule(delay, vm, Due::Event(event));
                }
                let event = PoolEvent::StoreProbed { is_answered };
                self.schedule(delay, vm, Due::Event(event));
            }
            ObjectCall::Revision => {
                self.calls_percent += 100;
                let (delay, revision) = match is_cut {
                    true => (LIST_TIMEOUT, None),
                    false => (STORE_DELAY, Some(self.revision)),
                };
                let event = PoolEvent::StoreRevisionRead { revision };
                self.schedule(delay, vm, Due::Event(event));
            }
            ObjectCall::Check { kind, revision } => {
                self.calls_percent += 100;
                let (delay, answer) = match is_cut {
                    true => (LIST_TIMEOUT, ObjectAnswer::Unavailable),
                    false => (STORE_DELAY, self.events_since(kind, revision)),
                };
                let event = PoolEvent::ObjectsChecked { kind, answer };
                self.schedule(delay, vm, Due::Event(event));
            }
            ObjectCall::List { kind, .. } => {
                self.calls_percent += 100;
                self.vms[vm].calls.insert(kind, number);
                if is_cut {
                    let answer = Due::Answer(kind, number, ObjectAnswer::Unavailable);
                    return self.schedule(LIST_TIMEOUT, vm, answer);
                }
                let objects = self.objects.iter();
                let objects = objects.filter(|((of, _), _)| *of == kind);
                let page = ObjectAnswer::Page {
                    objects: objects.map(|(_, object)| object.clone()).collect(),
                    next_after: None,
                    revision: self.revision,
                };
                self.schedule(STORE_DELAY, vm, Due::Answer(kind, number, page));
            }
            ObjectCall::Watch { kind, revision } => {
                self.calls_percent += 100;
                self.vms[vm].calls.insert(kind, number);
                if revision.revision > self.revision.revision && !is_cut {
                    let answer = Due::Answer(kind, number, ObjectAnswer::HistoryDiscarded);
                    return self.schedule(STORE_DELAY, vm, answer);
                }
                self.watches.push((vm, kind, revision, number));
                if self.vms[vm].is_store_silent {
                    return self.lose_watch(vm, number);
                }
                self.schedule(WATCH_WAIT, vm, Due::WatchEnd(kind, number));
                self.answer_watches();
            }
        }
    }

    fn write(&mut self, kind: ObjectKind, name: &str, value: Option<ObjectValue>) {
        self.revision.revision += 1;
        let change = ObjectChange {
            name: name.to_owned(),
            revision: self.revision,
            value,
        };
        self.objects.insert((kind, name.to_owned()), change.clone());
        self.log.push((kind, change));
        self.answer_watches();
    }

    fn answer_watches(&mut self) {
        let (log, vms) = (&self.log, &self.vms);
        let has_news = |watch: &(usize, ObjectKind, StoreRevision, u64)| {
            let mut newest = log.iter().rev().filter(|(kind, _)| *kind == watch.1);
            let is_newer = newest
                .next()
                .is_some_and(|(_, change)| change.revision.revision > watch.2.revision);
            is_newer && !vms[watch.0].is_cut_from_store
        };
        let (answered, waiting) = self.watches.drain(..).partition(has_news);
        self.watches = waiting;
        let answered: Vec<(usize, ObjectKind, StoreRevision, u64)> = answered;
        for (vm, kind, revision, number) in answered {
            if self.vms[vm].is_store_silent {
                self.watches.push((vm, kind, revision, number));
                self.lose_watch(vm, number);
                continue;
            }
            let answer = self.events_since(kind, revision);
            self.schedule(STORE_DELAY, vm, Due::Answer(kind, number, answer));
        }
    }

    fn events_since(&self, kind: ObjectKind, revision: StoreRevision) -> ObjectAnswer {
        let newer = self
            .log
            .iter()
            .filter(|(of, change)| *of == kind && change.revision.revision > revision.revision);
        ObjectAnswer::Events {
            changes: newer.map(|(_, change)| change.clone()).collect(),
            revision: self.revision,
        }
    }

    fn schedule(&mut self, delay: Duration, vm: usize, due: Due) {
        self.next_number += 1;
        self.due.insert(self.next_number, (vm, due));
        let at = self.now + delay;
        self.queue.push(Reverse((at, self.next_number)));
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 32) % limit
    }
}
