//! A fleet of pools in virtual time, with members that accept and answer after fixed delays. It
//! counts what each VM sends to its peers and what it opens at members.

#![allow(dead_code, reason = "each test file uses only some of the items")]
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy.toml allows it only inside test functions"
)]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_pool::Access;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::CallerRequest;
use lycheedoor_pool::Consistency;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::GroupRule;
use lycheedoor_pool::MemberAnswer;
use lycheedoor_pool::MemberCommand;
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
use lycheedoor_pool::PoolMessage;
use lycheedoor_pool::PoolSettings;
use lycheedoor_pool::RateRule;
use lycheedoor_pool::RouteRule;
use lycheedoor_pool::Statement;
use lycheedoor_pool::TransactionState;

/// Resolution of the virtual time.
const STEP: Duration = Duration::from_millis(1);

const PEER_DELAY: Duration = Duration::from_millis(1);
const OPEN_TIME: Duration = Duration::from_millis(12);
const ANSWER_TIME: Duration = Duration::from_millis(8);

/// How long a run goes on after the last operation was sent.
pub(crate) const PLAYED_AFTER: Duration = Duration::from_secs(2);

/// The rate limit of each workspace, in percent of its mean load.
const RATE_PERCENT: u32 = 160;

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

struct Link {
    member: MemberId,
    in_transaction: bool,
    answers: VecDeque<()>,
}

pub(crate) struct Fleet {
    size: FleetSize,
    pools: Vec<Pool>,
    now: MonoTime,
    queue: BinaryHeap<Reverse<(MonoTime, u64, usize)>>,
    events: BTreeMap<u64, PoolEvent>,
    next_event: u64,
    next_caller: u64,
    links: BTreeMap<(usize, ConnectionId), Link>,
    connections: BTreeMap<MemberId, u32>,
    random: u64,
    pub(crate) counts: FleetCounts,
}

impl Fleet {
    /// Starts a fleet whose VMs have read the configuration, the members and the roster.
    pub(crate) fn start(size: FleetSize) -> Self {
        let pools = (0..size.vms).map(|vm| Pool::new(settings(vm))).collect();
        let mut fleet = Self {
            size,
            pools,
            now: MonoTime::from_millis(1_000),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_caller: 0,
            links: BTreeMap::new(),
            connections: BTreeMap::new(),
            random: 0x9e37_79b9_7f4a_7c15,
            counts: FleetCounts::default(),
        };
        let config = Rc::new(config(size));
        for vm in 0..fleet.pools.len() {
            fleet.handle(vm, PoolEvent::DeadlineReached);
            let value = ObjectValue::Config(Rc::clone(&config));
            fleet.load(vm, ObjectKind::Configuration, vec![("main".into(), value)]);
            fleet.load(vm, ObjectKind::Members, members(size));
            fleet.load(vm, ObjectKind::Evacuations, Vec::new());
            fleet.load(vm, ObjectKind::Fleet, records(size));
        }
        fleet.run(Duration::from_secs(1));
        fleet.counts = FleetCounts::default();
        fleet
    }

    fn load(&mut self, vm: usize, kind: ObjectKind, objects: Vec<(String, ObjectValue)>) {
        let objects = objects.into_iter().zip(1..);
        let objects = objects.map(|((name, value), revision)| ObjectChange {
            name,
            revision,
            value: Some(value),
        });
        let answer = ObjectAnswer::Page {
            objects: objects.collect(),
            next_after: None,
            revision: 10_000,
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
            let event = self.events.remove(&number).unwrap();
            self.handle(vm, event);
        }
        for vm in 0..self.pools.len() {
            if self.pools[vm].next_deadline() <= self.now {
                self.handle(vm, PoolEvent::DeadlineReached);
            }
        }
    }

    fn send_operation(&mut self, vm: usize) {
        self.counts.sent += 1;
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        let group = self.below(self.size.groups);
        let workspace = self.below(self.size.workspaces);
        let is_write = self.below(4) == 0;
        self.handle(vm, PoolEvent::CallerConnected { caller });
        let request = CallerRequest::Start {
            database: format!("db-{group}"),
            key: format!("key-{workspace}"),
        };
        self.handle(vm, PoolEvent::CallerSent { caller, request });
        let access = if is_write {
            Access::Write
        } else {
            Access::Read
        };
        let request = CallerRequest::Query {
            id: format!("{:016x}", caller.0),
            text: if is_write { "WRITE 1a4 x" } else { "READ 1a4" }.to_owned(),
            statement: Some(Statement::Run(access)),
        };
        self.handle(vm, PoolEvent::CallerSent { caller, request });
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
            PoolAction::Reply { caller, reply } => self.reply(vm, caller, reply),
            PoolAction::OpenLink { link, member, .. } => {
                self.counts.opened_connections += 1;
                let open = self.connections.entry(member.clone()).or_default();
                *open += 1;
                self.counts.peak_connections = self.counts.peak_connections.max(*open);
                let state = Link {
                    member,
                    in_transaction: false,
                    answers: VecDeque::new(),
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
            PoolAction::SendPeer { to, message, .. } => {
                if let PoolMessage::Rates(message) = &message {
                    self.counts.rate_messages += 1;
                    let bytes = rmp_serde::to_vec(message).unwrap().len();
                    self.counts.rate_message_bytes += bytes as u64;
                }
                let event = PoolEvent::PeerSent {
                    from: vm_id(u32::try_from(vm).unwrap()),
                    incarnation: Incarnation(7),
                    message,
                };
                let to: usize = to.as_str()[3..].parse().unwrap();
                self.schedule(PEER_DELAY, to, event);
            }
            PoolAction::ReadObjects(ObjectCall::List { .. } | ObjectCall::Watch { .. })
            | PoolAction::WriteRecord { .. } => self.counts.store_calls += 1,
            _ => {}
        }
    }

    fn answer(&mut self, vm: usize, id: ConnectionId, command: &MemberCommand) {
        let Some(link) = self.links.get_mut(&(vm, id)) else {
            return;
        };
        let (delay, in_transaction) = match command {
            MemberCommand::Begin { .. } => (PEER_DELAY, true),
            MemberCommand::Rollback => (PEER_DELAY, false),
            _ => (ANSWER_TIME, link.in_transaction),
        };
        link.in_transaction = in_transaction;
        let state = match in_transaction {
            true => TransactionState::Open,
            false => TransactionState::Idle,
        };
        let answer = MemberAnswer {
            rows: Bytes::from_static(b"ROW x\r\n"),
            result: Ok("signature".to_owned()),
            state,
            position: Some(Position::new(Term(1), 1)),
            status: None,
        };
        self.schedule(delay, vm, PoolEvent::LinkAnswered { link: id, answer });
    }

    fn reply(&mut self, vm: usize, caller: CallerId, reply: CallerReply) {
        match reply {
            CallerReply::Started => return,
            CallerReply::Done { .. } => self.counts.served += 1,
            CallerReply::Failed { error, text, .. } | CallerReply::Rejected { error, text } => {
                let error = format!("{}: {text}", error.as_str());
                *self.counts.refused.entry(error).or_default() += 1;
            }
        }
        self.schedule(Duration::ZERO, vm, PoolEvent::CallerClosed { caller });
    }

    fn schedule(&mut self, delay: Duration, vm: usize, event: PoolEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
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

fn vm_id(vm: u32) -> VmId {
    VmId::from(format!("vm-{vm}").as_str())
}

fn address(vm: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(vm).unwrap()))
}

fn data_centre(number: u32) -> DataCentreId {
    DataCentreId::from(format!("dc-{}", number % 3).as_str())
}

fn settings(vm: u32) -> PoolSettings {
    PoolSettings {
        vm: vm_id(vm),
        incarnation: Incarnation(7),
        data_centre: data_centre(vm),
        peer_address: address(vm),
        stop_grace: Duration::from_secs(6),
        key_ttl: None,
    }
}

fn config(size: FleetSize) -> PoolConfig {
    let group_id = |group: u32| GroupId::from(format!("group-{group}").as_str());
    let workspace_id =
        |workspace: u32| WorkspaceId::from(format!("workspace-{workspace}").as_str());
    let routes = (0..size.groups).map(|group| {
        let route = RouteRule {
            group: group_id(group),
            consistency: Consistency::Session,
            max_staleness: Duration::from_millis(2_500),
            statement_timeout: Duration::from_secs(3),
            target_latency: Duration::from_millis(400),
            priority: 1,
            is_public: false,
        };
        (format!("db-{group}"), Rc::new(route))
    });
    let group_rule = GroupRule {
        max_connections: size.max_connections,
        sync_replicas: 0,
        cold_per_s: None,
    };
    let offered = size.operations_per_vm * size.vms / size.workspaces;
    let rate = RateRule {
        per_s: offered * RATE_PERCENT / 100,
        burst: offered * RATE_PERCENT / 100,
    };
    PoolConfig {
        version: 1,
        routes: routes.collect(),
        groups: (0..size.groups)
            .map(|group| (group_id(group), group_rule.clone()))
            .collect(),
        rates: (0..size.workspaces)
            .map(|workspace| (workspace_id(workspace), rate))
            .collect(),
        keys: (0..size.workspaces)
            .map(|workspace| (format!("key-{workspace}"), workspace_id(workspace)))
            .collect(),
        transaction_idle_limit: None,
    }
}

fn members(size: FleetSize) -> Vec<(String, ObjectValue)> {
    let numbers = (0..size.groups).flat_map(|group| (0..3).map(move |member| (group, member)));
    let entries = numbers.map(|(group, member)| {
        let id = format!("m-{group}-{member}");
        let port = 9_000 + u16::try_from(group * 3 + member).unwrap();
        let entry = MemberEntry {
            id: MemberId::from(id.as_str()),
            group: GroupId::from(format!("group-{group}").as_str()),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: data_centre(member),
            slots: 5,
            is_draining: false,
            claims_primary: member == 0,
            cold_left: Duration::ZERO,
            started_unix_ms: 1,
        };
        (id, ObjectValue::Member(entry))
    });
    entries.collect()
}

fn records(size: FleetSize) -> Vec<(String, ObjectValue)> {
    let records = (0..size.vms).map(|vm| {
        let record = FleetRecord::Vm {
            incarnation: Incarnation(7),
            address: address(vm),
        };
        (format!("vm.{}", vm_id(vm)), ObjectValue::Fleet(record))
    });
    records.collect()
}
