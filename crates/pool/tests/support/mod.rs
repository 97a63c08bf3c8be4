//! A test harness that runs a pool in virtual time; the test plays the callers, members, store and
//! peers.

#![allow(dead_code, reason = "each test file uses only some of the items")]
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy.toml allows it only inside test functions"
)]

pub(crate) mod dead_primary;
pub(crate) mod fake_group;
pub(crate) mod pair;

use std::collections::BTreeMap;
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
use lycheedoor_pool::MemberError;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::MemberStatus;
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
use lycheedoor_pool::RouteRule;
use lycheedoor_pool::Statement;
use lycheedoor_pool::StoreRevision;
use lycheedoor_pool::TransactionState;
use lycheedoor_pool::usage_report::UsageRules;

/// With this name `vm-1`, the VM of most tests, is the home of all workspaces in small fleets.
pub(crate) const GROUP: &str = "ledger-1";
pub(crate) const PRIMARY: &str = "m1";
pub(crate) const KEY: &str = "key-of-acme";

/// The incarnation of the first process of each VM, and that of the one after a restart.
pub(crate) const INCARNATION: Incarnation = Incarnation(7);
pub(crate) const RESTARTED: Incarnation = Incarnation(8);

/// A connection that the pool has opened to a member.
pub(crate) struct LinkState {
    pub(crate) member: String,
    pub(crate) workspace: String,
    /// Commands that are not answered yet, oldest first.
    pub(crate) sent: Vec<MemberCommand>,
    pub(crate) is_open: bool,
}

/// A pool under test, with everything that it has sent and opened.
pub(crate) struct PoolHarness {
    pub(crate) pool: Pool,
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) now: MonoTime,
    pub(crate) links: BTreeMap<ConnectionId, LinkState>,
    pub(crate) replies: Vec<(CallerId, CallerReply)>,
    /// All other actions of the pool, in order.
    pub(crate) other_actions: Vec<PoolAction>,
    /// The era of the store.
    pub(crate) era: u64,
    /// The latest revision of the store.
    pub(crate) revision: u64,
    /// The term that all members are in.
    pub(crate) term: Term,
    /// The members that have been paused, and the term that the pause names.
    pub(crate) paused: BTreeMap<String, Term>,
    next_caller: u64,
}

pub(crate) fn position(number: u64) -> Position {
    Position::new(Term(1), number)
}

pub(crate) fn route(consistency: Consistency) -> Rc<RouteRule> {
    Rc::new(RouteRule {
        group: GroupId::from(GROUP),
        consistency,
        max_staleness: Duration::from_millis(1_500),
        statement_timeout: Duration::from_millis(1_000),
        target_latency: Duration::from_millis(200),
        priority: 1,
        is_public: false,
    })
}

pub(crate) fn config(version: u64) -> PoolConfig {
    let routes = [
        ("primary-db", Consistency::Primary),
        ("bounded-db", Consistency::Bounded),
        ("session-db", Consistency::Session),
    ];
    let rate = RateRule {
        per_s: 1_000,
        burst: 1_000,
    };
    let workspaces = ["acme", "brix"].map(WorkspaceId::from);
    PoolConfig {
        version,
        routes: routes
            .map(|(name, kind)| (name.to_owned(), route(kind)))
            .into(),
        groups: [(GroupId::from(GROUP), group_rule())].into(),
        rates: workspaces.clone().map(|workspace| (workspace, rate)).into(),
        keys: workspaces
            .map(|workspace| (format!("key-of-{workspace}"), workspace))
            .into(),
        transaction_idle_limit: Some(Duration::from_secs(3)),
    }
}

pub(crate) fn group_rule() -> GroupRule {
    GroupRule {
        max_connections: 21,
        sync_replicas: 0,
        cold_per_s: None,
        is_adaptive: false,
    }
}

pub(crate) fn member(id: &str, is_primary: bool) -> MemberEntry {
    let number: u16 = id.trim_start_matches('m').parse().unwrap();
    MemberEntry {
        id: MemberId::from(id),
        group: GroupId::from(GROUP),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        data_centre: DataCentreId::from("north"),
        slots: 3,
        is_draining: false,
        claims_primary: is_primary,
        cold_left: Duration::ZERO,
        started_unix_ms: 1,
    }
}

impl PoolHarness {
    /// Creates a pool that is ready, is alone in the fleet and knows a primary and two replicas.
    pub(crate) fn new() -> Self {
        Self::with_peers(&[])
    }

    /// Creates the same pool in a fleet with other VMs.
    pub(crate) fn with_peers(peers: &[&str]) -> Self {
        Self::start(peers, config(1))
    }

    /// Creates the same pool with another configuration.
    pub(crate) fn start(peers: &[&str], config: PoolConfig) -> Self {
        Self::start_as("vm-1", peers, config)
    }

    /// Creates the same pool on the VM of the given name.
    pub(crate) fn start_as(vm: &str, peers: &[&str], config: PoolConfig) -> Self {
        Self::start_with_rate_slack(vm, peers, config, 0)
    }

    /// Creates the same pool where some operations beyond the rate of a workspace are tolerated.
    pub(crate) fn start_with_rate_slack(
        vm: &str,
        peers: &[&str],
        config: PoolConfig,
        rate_slack: u32,
    ) -> Self {
        let mut harness = Self::create(vm, INCARNATION, rate_slack);
        harness.load(vm, peers, config);
        harness
    }

    /// Creates the pool of the process that follows on the VM of the given name.
    pub(crate) fn restart_as(vm: &str, peers: &[&str], config: PoolConfig) -> Self {
        let mut harness = Self::create(vm, RESTARTED, 0);
        harness.load(vm, peers, config);
        harness
    }

    /// Creates a pool that has not read anything from the store.
    pub(crate) fn start_unloaded(vm: &str) -> Self {
        Self::create(vm, INCARNATION, 0)
    }

    /// Creates a pool that is alone in the fleet and reports usage.
    pub(crate) fn start_reporting_usage(rules: UsageRules) -> Self {
        let mut harness = Self::create_with("vm-1", INCARNATION, 0, Some(rules));
        harness.load("vm-1", &[], config(1));
        harness
    }

    fn create(vm: &str, incarnation: Incarnation, rate_slack: u32) -> Self {
        Self::create_with(vm, incarnation, rate_slack, None)
    }

    fn create_with(
        vm: &str,
        incarnation: Incarnation,
        rate_slack: u32,
        usage: Option<UsageRules>,
    ) -> Self {
        let settings = PoolSettings {
            vm: VmId::from(vm),
            incarnation,
            data_centre: DataCentreId::from("north"),
            peer_address: peer_address(),
            stop_grace: Duration::from_secs(6),
            key_ttl: None,
            rate_slack,
            usage,
        };
        let mut harness = Self {
            pool: Pool::new(settings),
            vm: VmId::from(vm),
            incarnation,
            now: MonoTime::from_millis(1_000),
            links: BTreeMap::new(),
            replies: Vec::new(),
            other_actions: Vec::new(),
            era: 0,
            revision: 10,
            term: Term(1),
            paused: BTreeMap::new(),
            next_caller: 0,
        };
        harness.event(PoolEvent::DeadlineReached);
        harness
    }

    fn load(&mut self, vm: &str, peers: &[&str], config: PoolConfig) {
        let value = ObjectValue::Config(Rc::new(config));
        self.load_objects(ObjectKind::Configuration, vec![("main".to_owned(), value)]);
        let members = [
            member(PRIMARY, true),
            member("m2", false),
            member("m3", false),
        ];
        let members = members.map(|entry| (entry.id.to_string(), ObjectValue::Member(entry)));
        self.load_objects(ObjectKind::Members, members.into());
        self.load_objects(ObjectKind::Evacuations, Vec::new());
        let own = self.incarnation;
        let names = std::iter::once(vm).chain(peers.iter().copied());
        let records = names.map(|name| {
            let is_own = *name == *vm;
            let record = FleetRecord::Vm {
                incarnation: if is_own { own } else { INCARNATION },
                address: peer_address(),
                accepts_forwarded: true,
                message_version: 1,
                data_centre: None,
            };
            (format!("vm.{name}"), ObjectValue::Fleet(record))
        });
        self.load_objects(ObjectKind::Fleet, records.collect());
        self.advance(500);
        assert!(self.other_actions.contains(&PoolAction::SetReady(true)));
        self.other_actions.clear();
    }

    /// Answers the list call for a kind of object with all objects in one page.
    pub(crate) fn load_objects(&mut self, kind: ObjectKind, objects: Vec<(String, ObjectValue)>) {
        let mut changes = Vec::new();
        for (name, value) in objects {
            self.revision += 1;
            changes.push(ObjectChange {
                name,
                revision: self.store_revision(),
                value: Some(value),
            });
        }
        let answer = ObjectAnswer::Page {
            objects: changes,
            next_after: None,
            revision: self.store_revision(),
        };
        self.event(PoolEvent::ObjectsRead { kind, answer });
    }

    /// Returns the latest revision of the store with its era.
    pub(crate) fn store_revision(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.revision)
    }

    /// Lets the store come back from a copy: its revision goes back, and watches get no history.
    pub(crate) fn restore_store(&mut self, revision: u64) {
        self.era += 1;
        self.revision = revision;
        self.event(PoolEvent::StoreEraSeen { era: self.era });
        for kind in ObjectKind::ALL {
            let answer = ObjectAnswer::HistoryDiscarded;
            self.event(PoolEvent::ObjectsRead { kind, answer });
        }
    }

    /// Changes an object of the store; `None` removes it.
    pub(crate) fn change_object(
        &mut self,
        kind: ObjectKind,
        name: &str,
        value: Option<ObjectValue>,
    ) {
        self.revision += 1;
        let change = ObjectChange {
            name: name.to_owned(),
            revision: self.store_revision(),
            value,
        };
        let answer = ObjectAnswer::Events {
            changes: vec![change],
            revision: self.store_revision(),
        };
        self.event(PoolEvent::ObjectsRead { kind, answer });
    }

    /// Passes an event to the pool and keeps the resulting actions.
    pub(crate) fn event(&mut self, event: PoolEvent) {
        let mut actions = Vec::new();
        self.pool.handle(self.now, event, &mut actions);
        for action in actions {
            self.keep_action(action);
        }
    }

    fn keep_action(&mut self, action: PoolAction) {
        match action {
            PoolAction::OpenLink {
                link,
                member,
                workspace,
                ..
            } => {
                let state = LinkState {
                    member: member.to_string(),
                    workspace: workspace.to_string(),
                    sent: Vec::new(),
                    is_open: false,
                };
                self.links.insert(link, state);
            }
            PoolAction::Send { link, command } => {
                self.links.get_mut(&link).unwrap().sent.push(command);
            }
            PoolAction::CloseLink { link } => {
                self.links.remove(&link);
            }
            PoolAction::Reply { caller, reply } => self.replies.push((caller, reply)),
            other => self.other_actions.push(other),
        }
    }

    /// Advances the time in steps of 5 ms and runs the pool's timers.
    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += Duration::from_millis(5);
            if self.pool.next_deadline() <= self.now {
                self.event(PoolEvent::DeadlineReached);
            }
        }
    }

    /// Lets time pass in which the process of the pool does not run.
    pub(crate) fn suspend(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    /// Opens a session with the key of the first workspace.
    pub(crate) fn open_session(&mut self, database: &str) -> CallerId {
        self.open_session_with_key(database, KEY)
    }

    pub(crate) fn open_session_with_key(&mut self, database: &str, key: &str) -> CallerId {
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        self.event(PoolEvent::CallerConnected { caller });
        let request = CallerRequest::Start {
            database: database.to_owned(),
            key: key.to_owned(),
        };
        self.event(PoolEvent::CallerSent { caller, request });
        assert_eq!(self.replies.pop(), Some((caller, CallerReply::Started)));
        caller
    }

    /// Sends a statement, written as its kind and its arguments.
    pub(crate) fn query(&mut self, caller: CallerId, text: &str) {
        let words: Vec<&str> = text.split(' ').collect();
        let statement = match *words.first().unwrap() {
            "BEGIN" => Statement::Begin {
                read_only: words.len() > 1,
            },
            "COMMIT" => Statement::Commit,
            "ROLLBACK" => Statement::Rollback,
            "READ" => Statement::Run(Access::Read),
            "WRITE" => Statement::Run(Access::Write),
            "SET" => Statement::SetValue {
                name: words[1].to_owned(),
                value: words[2].to_owned(),
            },
            "PREPARE" => Statement::Prepare {
                name: words[1].to_owned(),
                access: Access::Read,
                statement_text: words[2].to_owned(),
            },
            "EXEC" => Statement::Execute {
                name: words[1].to_owned(),
                arguments: words[2].to_owned(),
            },
            word => panic!("unknown statement {word}"),
        };
        let request = CallerRequest::Query {
            id: format!("id-{text}"),
            text: text.to_owned(),
            statement: Some(statement),
        };
        self.event(PoolEvent::CallerSent { caller, request });
    }

    /// Accepts all connections that are being opened.
    pub(crate) fn accept_links(&mut self) {
        let opening: Vec<_> = self
            .links
            .iter()
            .filter(|(_, link)| !link.is_open)
            .collect();
        let opening: Vec<ConnectionId> = opening.into_iter().map(|(id, _)| *id).collect();
        for link in opening {
            self.links.get_mut(&link).unwrap().is_open = true;
            let position = Some(position(0));
            self.event(PoolEvent::LinkReady { link, position });
        }
    }

    /// Removes and returns the oldest unanswered command of the first connection to a member that
    /// has one. A command that pauses the member takes effect.
    pub(crate) fn take_command(&mut self, member: &str) -> Option<(ConnectionId, MemberCommand)> {
        let mut links = self
            .links
            .iter_mut()
            .filter(|(_, link)| link.member == member);
        let (id, link) = links.find(|(_, link)| !link.sent.is_empty())?;
        let command = link.sent.remove(0);
        match command {
            MemberCommand::Pause(term) if term > self.term => {
                self.paused.insert(member.to_owned(), term);
            }
            _ => {}
        }
        Some((*id, command))
    }

    /// Answers a command with success; `number` is the member's log position.
    pub(crate) fn succeed(&mut self, link: ConnectionId, state: TransactionState, number: u64) {
        self.answer(link, Ok("signature".to_owned()), state, number);
    }

    /// Answers a command with an error.
    pub(crate) fn refuse(
        &mut self,
        link: ConnectionId,
        fault: MemberFault,
        state: TransactionState,
    ) {
        let text = "refused".to_owned();
        self.answer(link, Err(MemberError { fault, text }), state, 0);
    }

    /// Answers a command that asks for the member's status.
    pub(crate) fn report_status(&mut self, link: ConnectionId, is_primary: bool, received: u64) {
        let member = self.links.get(&link).map(|link| &link.member);
        let paused_term = member.and_then(|member| self.paused.get(member).copied());
        let status = MemberStatus {
            is_primary,
            term: self.term,
            received: position(received),
            paused_term: paused_term.filter(|_| !is_primary),
        };
        let answer = MemberAnswer {
            rows: Bytes::new(),
            result: Ok("-".to_owned()),
            state: TransactionState::Idle,
            position: Some(position(received)),
            status: Some(status),
        };
        self.event(PoolEvent::LinkAnswered { link, answer });
    }

    fn answer(
        &mut self,
        link: ConnectionId,
        result: Result<String, MemberError>,
        state: TransactionState,
        number: u64,
    ) {
        let answer = MemberAnswer {
            rows: Bytes::from_static(b"ROW x\r\n"),
            result,
            state,
            position: Some(position(number)),
            status: None,
        };
        self.event(PoolEvent::LinkAnswered { link, answer });
    }

    /// Accepts all connections and answers all commands with success until none is left.
    pub(crate) fn answer_all_commands(&mut self, number: u64) {
        for _ in 0..100 {
            self.accept_links();
            let next = self.links.iter().find(|(_, link)| !link.sent.is_empty());
            let Some(link) = next.map(|(id, _)| *id) else {
                return;
            };
            let command = self.links.get_mut(&link).unwrap().sent.remove(0);
            let state = match command {
                MemberCommand::Begin { .. } => TransactionState::Open,
                _ => TransactionState::Idle,
            };
            self.succeed(link, state, number);
        }
        panic!("members still have unanswered commands after 100 answers");
    }

    /// Runs a read at the primary, which gives the pool a recent sample of its log position.
    pub(crate) fn sample_primary_position(&mut self, number: u64) {
        let caller = self.open_session("primary-db");
        self.query(caller, "READ x");
        self.answer_all_commands(number);
        self.replies.clear();
        self.event(PoolEvent::CallerClosed { caller });
    }

    /// Returns the latest reply to a caller.
    pub(crate) fn last_reply(&self, caller: CallerId) -> Option<&CallerReply> {
        let own = self
            .replies
            .iter()
            .rev()
            .find(|(receiver, _)| *receiver == caller);
        own.map(|(_, reply)| reply)
    }

    /// Returns how many list and watch calls for a kind of object the pool has made.
    pub(crate) fn store_read_count(&self, kind: ObjectKind) -> usize {
        let is_of_kind = |action: &&PoolAction| {
            matches!(action, PoolAction::ReadObjects(
                ObjectCall::List { kind: requested, .. } | ObjectCall::Watch { kind: requested, .. }
            ) if *requested == kind)
        };
        self.other_actions.iter().filter(is_of_kind).count()
    }
}

pub(crate) fn peer_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_560))
}
