//! Several VMs before one member with few slots, in virtual time. Counts what the callers of each
//! route and workspace get: in time, late, refused.

#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it only inside test functions"
)]

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::Incarnation;
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
use lycheedoor_pool::ForwardedStatement;
use lycheedoor_pool::GroupRule;
use lycheedoor_pool::MemberAnswer;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberEntry;
use lycheedoor_pool::MemberError;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::ObjectAnswer;
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

const VMS: u32 = 12;
pub(crate) const WORKSPACES: u32 = 24;
const SLOTS: u32 = 4;
const MAX_QUEUED: usize = 32;
const OPEN_MS: u64 = 12;
const PEER_DELAY: Duration = Duration::from_millis(1);
const STEP: Duration = Duration::from_millis(1);

/// The routes, in the order of their priority: work, latency target and timeout in milliseconds.
pub(crate) const ROUTES: [(&str, u64, u64, u64); 3] = [
    ("reserve", 6, 200, 800),
    ("update", 18, 400, 800),
    ("lookup", 30, 1_000, 2_000),
];

/// What the callers of a route or a workspace got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) sent: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

impl Counts {
    pub(crate) fn percent_in_time(self) -> u32 {
        self.in_time * 100 / self.sent.max(1)
    }
}

/// The load of a span of time: statements a second by route, and the part of them, in percent, that
/// the first workspace sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) per_s: [u32; 3],
    pub(crate) first_workspace_percent: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Job {
    Open,
    Statement(usize),
}

type LinkKey = (usize, ConnectionId);

#[derive(Debug, Default)]
struct Server {
    running: Vec<(MonoTime, LinkKey, Job)>,
    queue: VecDeque<(LinkKey, Job)>,
    links: BTreeMap<LinkKey, TransactionState>,
}

struct Call {
    route: usize,
    workspace: u32,
    sent_at: MonoTime,
}

pub(crate) struct Room {
    pools: Vec<Pool>,
    pub(crate) now: MonoTime,
    events: BTreeMap<(MonoTime, u64), (usize, PoolEvent)>,
    next_number: u64,
    max_connections: usize,
    server: Server,
    calls: BTreeMap<(usize, CallerId), Call>,
    due_us: [u64; 3],
    random: u64,
    /// Whether messages about room between VMs arrive.
    pub(crate) vms_talk: bool,
    /// VMs that lost power: they do nothing, and their connections stay open.
    pub(crate) dark: Vec<usize>,
    pub(crate) room_messages: u32,
    pub(crate) refused_connections: u32,
    pub(crate) by_route: [Counts; 3],
    pub(crate) by_workspace: BTreeMap<u32, Counts>,
}

fn vm_id(vm: usize) -> VmId {
    VmId::from(format!("vm-{vm:02}").as_str())
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap()))
}

fn config(max_connections: usize, is_adaptive: bool) -> PoolConfig {
    let routes = ROUTES.iter().zip(0..);
    let routes = routes.map(|((name, _, target_ms, timeout_ms), priority)| {
        let rule = RouteRule {
            group: "orders".into(),
            consistency: Consistency::Primary,
            max_staleness: Duration::ZERO,
            statement_timeout: Duration::from_millis(*timeout_ms),
            target_latency: Duration::from_millis(*target_ms),
            priority,
            is_public: false,
        };
        ((*name).to_owned(), Rc::new(rule))
    });
    let group = GroupRule {
        max_connections: u32::try_from(max_connections).unwrap(),
        sync_replicas: 0,
        cold_per_s: None,
        is_adaptive,
    };
    let rate = RateRule {
        per_s: 2_000,
        burst: 2_000,
    };
    let workspaces = (0..WORKSPACES).map(|number| format!("w{number}"));
    PoolConfig {
        version: 1,
        routes: routes.collect(),
        groups: [("orders".into(), group)].into(),
        rates: workspaces
            .clone()
            .map(|name| (WorkspaceId::from(name.as_str()), rate))
            .collect(),
        keys: workspaces
            .map(|name| (format!("key-{name}"), WorkspaceId::from(name.as_str())))
            .collect(),
        transaction_idle_limit: None,
    }
}

impl Room {
    /// Starts VMs that know the configuration, the member and each other.
    pub(crate) fn start(max_connections: usize, is_adaptive: bool) -> Self {
        let settings = |vm: usize| PoolSettings {
            vm: vm_id(vm),
            incarnation: Incarnation(7),
            data_centre: DataCentreId::from("dc"),
            peer_address: address(7_000 + vm),
            stop_grace: Duration::from_secs(6),
            key_ttl: None,
            rate_slack: 0,
            usage: None,
        };
        let vms = VMS as usize;
        let mut room = Self {
            pools: (0..vms).map(|vm| Pool::new(settings(vm))).collect(),
            now: MonoTime::from_millis(1_000),
            events: BTreeMap::new(),
            next_number: 0,
            max_connections,
            server: Server::default(),
            calls: BTreeMap::new(),
            due_us: [0; 3],
            random: 0x9e37_79b9_7f4a_7c15,
            vms_talk: true,
            dark: Vec::new(),
            room_messages: 0,
            refused_connections: 0,
            by_route: [Counts::default(); 3],
            by_workspace: BTreeMap::new(),
        };
        let entry = MemberEntry {
            id: "m-0".into(),
            group: "orders".into(),
            address: address(9_000),
            data_centre: DataCentreId::from("dc"),
            slots: SLOTS,
            is_draining: false,
            claims_primary: true,
            cold_left: Duration::ZERO,
            started_unix_ms: 1,
        };
        let record = |vm: usize| {
            let record = FleetRecord::Vm {
                incarnation: Incarnation(7),
                address: address(7_000 + vm),
                accepts_forwarded: true,
                message_version: 1,
                data_centre: Some(DataCentreId::from("dc")),
            };
            (format!("vm.{}", vm_id(vm)), ObjectValue::Fleet(record))
        };
        let rules = ObjectValue::Config(Rc::new(config(max_connections, is_adaptive)));
        let objects = [
            (ObjectKind::Configuration, vec![("main".to_owned(), rules)]),
            (
                ObjectKind::Members,
                vec![("m-0".to_owned(), ObjectValue::Member(entry))],
            ),
            (ObjectKind::Evacuations, Vec::new()),
            (ObjectKind::Fleet, (0..vms).map(record).collect()),
        ];
        for vm in 0..vms {
            room.handle(vm, PoolEvent::DeadlineReached);
            for (kind, objects) in objects.clone() {
                let objects = objects.into_iter().zip(1..);
                let objects = objects.map(|((name, value), revision)| ObjectChange {
                    name,
                    revision: revision.into(),
                    value: Some(value),
                });
                let answer = ObjectAnswer::Page {
                    objects: objects.collect(),
                    next_after: None,
                    revision: 100.into(),
                };
                room.handle(vm, PoolEvent::ObjectsRead { kind, answer });
            }
        }
        let calm = Load {
            per_s: [0; 3],
            first_workspace_percent: 0,
        };
        room.play(Duration::from_secs(1), calm);
        room
    }

    /// Plays a load, which ends with `duration`; its last statements are answered later.
    pub(crate) fn play(&mut self, duration: Duration, load: Load) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
            for route in 0..ROUTES.len() {
                self.due_us[route] += u64::from(load.per_s[route]) * 1_000;
                while self.due_us[route] >= 1_000_000 {
                    self.due_us[route] -= 1_000_000;
                    self.call(route, load.first_workspace_percent);
                }
            }
        }
    }

    /// Forgets what callers got until now.
    pub(crate) fn reset_counts(&mut self) {
        self.by_route = [Counts::default(); 3];
        self.by_workspace.clear();
        self.room_messages = 0;
        self.refused_connections = 0;
        self.calls.clear();
    }

    fn call(&mut self, route: usize, first_workspace_percent: u32) {
        let workspace = match self.below(100) < first_workspace_percent {
            true => 0,
            false => self.below(WORKSPACES),
        };
        let vm = self.below(VMS) as usize;
        self.by_route[route].sent += 1;
        self.by_workspace.entry(workspace).or_default().sent += 1;
        if self.dark.contains(&vm) {
            // The balancer sends the caller elsewhere; it is not counted.
            self.by_route[route].sent -= 1;
            self.by_workspace.entry(workspace).or_default().sent -= 1;
            return;
        }
        self.next_number += 1;
        let caller = CallerId(self.next_number);
        let call = Call {
            route,
            workspace,
            sent_at: self.now,
        };
        self.calls.insert((vm, caller), call);
        self.handle(vm, PoolEvent::CallerConnected { caller });
        let request = CallerRequest::Start {
            database: ROUTES[route].0.to_owned(),
            key: format!("key-w{workspace}"),
        };
        self.handle(vm, PoolEvent::CallerSent { caller, request });
        let request = CallerRequest::Query {
            id: format!("{route}-{}", caller.0),
            text: "WRITE 1a4 x".to_owned(),
            statement: Some(Statement::Run(Access::Write)),
        };
        self.handle(vm, PoolEvent::CallerSent { caller, request });
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now
        {
            let (vm, event) = entry.remove();
            self.handle(vm, event);
        }
        self.run_server();
        for vm in 0..self.pools.len() {
            if self.pools[vm].next_deadline() <= self.now {
                self.handle(vm, PoolEvent::DeadlineReached);
            }
        }
    }

    fn run_server(&mut self) {
        let now = self.now;
        let done = self.server.running.extract_if(.., |job| job.0 <= now);
        let done: Vec<(MonoTime, LinkKey, Job)> = done.collect();
        for (_, (vm, link), job) in done {
            match job {
                _ if !self.server.links.contains_key(&(vm, link)) => {}
                Job::Open => {
                    let position = Some(Position::new(Term(1), 1));
                    self.handle(vm, PoolEvent::LinkReady { link, position });
                }
                Job::Statement(_) => self.answer((vm, link), Ok("signed".to_owned())),
            }
        }
        while self.server.running.len() < SLOTS as usize
            && let Some((link, job)) = self.server.queue.pop_front()
        {
            let work_ms = match job {
                Job::Open => OPEN_MS,
                Job::Statement(route) => ROUTES[route].1,
            };
            let end = now + Duration::from_millis(work_ms);
            self.server.running.push((end, link, job));
        }
    }

    fn answer(&mut self, (vm, link): LinkKey, result: Result<String, MemberError>) {
        let Some(state) = self.server.links.get(&(vm, link)) else {
            return;
        };
        let answer = MemberAnswer {
            rows: Bytes::new(),
            result,
            state: *state,
            position: Some(Position::new(Term(1), 1)),
            status: None,
        };
        self.handle(vm, PoolEvent::LinkAnswered { link, answer });
    }

    fn handle(&mut self, vm: usize, event: PoolEvent) {
        if self.dark.contains(&vm) {
            return;
        }
        let mut actions = Vec::new();
        self.pools[vm].handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(vm, action);
        }
    }

    fn execute(&mut self, vm: usize, action: PoolAction) {
        match action {
            PoolAction::Reply { caller, reply } => self.reply(vm, caller, reply),
            PoolAction::OpenLink { link, .. } => {
                if self.server.links.len() < self.max_connections {
                    self.server.links.insert((vm, link), TransactionState::Idle);
                    self.server.queue.push_back(((vm, link), Job::Open));
                } else {
                    self.refused_connections += 1;
                    let fault = MemberFault::TooManyConnections;
                    let text = String::new();
                    let error = MemberError { fault, text };
                    self.schedule(vm, PoolEvent::LinkRefused { link, error });
                }
            }
            PoolAction::CloseLink { link } => {
                self.server.links.remove(&(vm, link));
            }
            PoolAction::Send { link, command } => self.run_command((vm, link), command),
            PoolAction::SendPeer { to, message, .. } | PoolAction::AnswerPeer { to, message } => {
                let is_about_room = matches!(message, PoolMessage::RoomWanted { .. });
                self.room_messages += u32::from(is_about_room);
                if is_about_room && !self.vms_talk {
                    return;
                }
                let from = vm_id(vm);
                let to: usize = to.as_str()[3..].parse().unwrap();
                if self.dark.contains(&to) {
                    return;
                }
                let incarnation = Incarnation(7);
                let event = PoolEvent::PeerSent {
                    from,
                    incarnation,
                    message,
                };
                self.schedule(to, event);
            }
            _ => {}
        }
    }

    fn run_command(&mut self, key: LinkKey, command: MemberCommand) {
        let MemberCommand::Forward { id, statement, .. } = command else {
            if let Some(state) = self.server.links.get_mut(&key) {
                *state = match command {
                    MemberCommand::Begin { .. } => TransactionState::Open,
                    _ => TransactionState::Idle,
                };
            }
            return self.answer(key, Ok(String::new()));
        };
        assert!(matches!(statement, ForwardedStatement::AsSent(_)));
        if self.server.queue.len() >= MAX_QUEUED {
            let fault = MemberFault::Busy;
            let text = String::new();
            return self.answer(key, Err(MemberError { fault, text }));
        }
        let route = id[..1].parse().unwrap();
        self.server.queue.push_back((key, Job::Statement(route)));
    }

    fn reply(&mut self, vm: usize, caller: CallerId, reply: CallerReply) {
        if reply == CallerReply::Started {
            return;
        }
        let Some(call) = self.calls.remove(&(vm, caller)) else {
            return;
        };
        let taken = self.now.since(call.sent_at);
        let target = Duration::from_millis(ROUTES[call.route].2);
        let is_served = matches!(reply, CallerReply::Done { .. });
        let of_workspace = self.by_workspace.entry(call.workspace).or_default();
        for counts in [&mut self.by_route[call.route], of_workspace] {
            match is_served {
                true if taken <= target => counts.in_time += 1,
                true => counts.late += 1,
                false => counts.refused += 1,
            }
        }
        self.schedule(vm, PoolEvent::CallerClosed { caller });
    }

    fn schedule(&mut self, vm: usize, event: PoolEvent) {
        self.next_number += 1;
        let due = self.now + PEER_DELAY;
        self.events.insert((due, self.next_number), (vm, event));
    }

    fn below(&mut self, limit: u32) -> u32 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        u32::try_from((self.random >> 32) % u64::from(limit)).unwrap()
    }
}
