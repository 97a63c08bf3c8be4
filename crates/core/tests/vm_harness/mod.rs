//! A test harness for one VM, in virtual time, whose platform and members answer at once.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    dead_code,
    reason = "clippy exempts test functions but not their helpers; not every test uses all of them"
)]

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_core::config::CONFIG_OBJECT;
use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::config::TenantKey;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberCommand;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::MemberState;
use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_core::vm::Vm;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_core::vm::VmSettings;

const CONFIG_JSON: &str = r#"{
    "version": 1,
    "workspaces": {"acme": {"keys": ["DIGEST"], "rate_per_s": 4000000, "burst": 4000000,
        "weight": 1}},
    "routes": {
        "issue": {"group": "g", "access": "write", "idempotent": false, "max_age_ms": 0,
            "open": false, "workspaces": [], "timeout_ms": 5000},
        "recent": {"group": "g", "access": "read", "idempotent": true, "max_age_ms": 0,
            "open": false, "workspaces": [], "timeout_ms": 5000}},
    "groups": {"g": {"slots": 8, "connections": 64, "members": {
        "a": {"address": "10.0.1.1:5432", "data_centre": "east"},
        "b": {"address": "10.0.1.2:5432", "data_centre": "east"},
        "c": {"address": "10.0.1.3:5432", "data_centre": "east"}}}},
    "data_centres": {"east": {}},
    "session_secrets": ["0101010101010101010101010101010101010101010101010101010101010101"]
}"#;

const ACME_KEY: &str = "key-of-acme";

fn acme_key_digest() -> KeyDigest {
    TenantKey::new(ACME_KEY).digest()
}

/// Returns settings of a VM in the only data centre of the configuration.
pub(crate) fn settings(vm: &str, wall_start_us: u64) -> VmSettings {
    let address = "10.0.0.1:7000".parse().unwrap();
    VmSettings {
        wall_start_us,
        ..VmSettings::new(vm.into(), Incarnation(1), "east".into(), address, 7)
    }
}

/// A VM with a simulated platform, simulated members and a virtual clock.
pub(crate) struct VmHarness {
    pub(crate) vm: Vm,
    pub(crate) now: MonoTime,
    /// The real time spent in the VM's decision logic.
    pub(crate) handle_time: Duration,
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    pending_watches: Vec<(u64, String, u64)>,
    term: Term,
    primary: Option<MemberId>,
    log_head: Position,
    /// A member that does not answer control commands.
    pub(crate) silent_member: Option<MemberId>,
    connections: BTreeMap<ConnectionId, MemberId>,
    events: VecDeque<VmEvent>,
    /// For each finished statement, whether it was answered, and the new session token.
    pub(crate) outcomes: Vec<(RequestId, bool, Option<String>)>,
    request_count: u64,
}

impl VmHarness {
    /// Starts a VM and advances the clock until it serves.
    pub(crate) fn start(settings: VmSettings) -> Self {
        let config = CONFIG_JSON.replace("DIGEST", &String::from(acme_key_digest()));
        let objects = [(CONFIG_OBJECT.to_owned(), (1, config.into_bytes()))];
        let mut harness = Self {
            vm: Vm::new(settings),
            now: MonoTime::ZERO + Duration::from_secs(1),
            handle_time: Duration::ZERO,
            objects: objects.into(),
            pending_watches: Vec::new(),
            term: Term(1),
            primary: Some("a".into()),
            log_head: Position::new(Term(1), 0),
            silent_member: None,
            connections: BTreeMap::new(),
            events: VecDeque::new(),
            outcomes: Vec::new(),
            request_count: 0,
        };
        harness.handle_event(VmEvent::DeadlineReached);
        harness.advance(Duration::from_secs(5));
        harness
    }

    /// Advances the clock and reports each deadline of the VM on the way.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(deadline) = self.vm.next_deadline().filter(|at| *at <= end) {
            // A deadline may be in the past, but the clock has to advance in each iteration.
            self.now = deadline.max(self.now + Duration::from_micros(100));
            self.handle_event(VmEvent::DeadlineReached);
        }
        self.now = self.now.max(end);
    }

    /// Connects a caller of the workspace `acme`.
    pub(crate) fn log_in(&mut self, caller: u64, route: &str, session_token: Option<String>) {
        self.handle_event(VmEvent::CallerStarted {
            caller: CallerId(caller),
            workspace: "acme".into(),
            key: Some(acme_key_digest()),
            route: route.into(),
            session_token,
        });
    }

    /// Sends a statement and returns its number.
    pub(crate) fn request(&mut self, caller: u64) -> RequestId {
        self.request_count += 1;
        let request = RequestId(self.request_count);
        self.handle_event(VmEvent::RequestReceived {
            caller: CallerId(caller),
            request,
            idempotency_key: None,
        });
        request
    }

    /// Passes an event to the VM, followed by the answers to the actions that it returns.
    pub(crate) fn handle_event(&mut self, event: VmEvent) {
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let started_at = Instant::now();
            self.vm.handle(self.now, event, &mut actions);
            self.handle_time += started_at.elapsed();
            for action in actions.drain(..) {
                self.answer_action(action);
            }
        }
    }

    fn answer_action(&mut self, action: VmAction) {
        match action {
            VmAction::OpenConnection {
                connection, member, ..
            } => {
                self.connections.insert(connection, member);
                let event = VmEvent::ConnectionOpened { connection };
                self.events.push_back(event);
            }
            VmAction::SendStatement {
                connection,
                request,
                ..
            } => {
                if self.connections.get(&connection) == self.primary.as_ref() {
                    self.log_head.log_position += 1;
                }
                self.events.push_back(VmEvent::TargetAnswered {
                    connection,
                    request,
                    position: Some(self.log_head),
                    status: TransactionStatus::Idle,
                    failed: false,
                });
            }
            VmAction::CommandMember {
                group,
                member,
                command,
            } if self.silent_member.as_ref() == Some(&member) => {
                let reason = Reason::AnswerDeadline;
                self.events.push_back(VmEvent::MemberFailed {
                    group,
                    member,
                    command,
                    reason,
                });
            }
            VmAction::CommandMember {
                group,
                member,
                command,
            } => {
                let state = self.execute_command(&member, command);
                self.events.push_back(VmEvent::MemberAnswered {
                    group,
                    member,
                    state,
                    command,
                });
            }
            VmAction::CallPlatform { call, request } => self.call_platform(call, request),
            VmAction::DeliverAnswer {
                request,
                session_token,
                ..
            } => self.outcomes.push((request, true, session_token)),
            VmAction::RefuseRequest {
                request,
                session_token,
                ..
            } => self.outcomes.push((request, false, session_token)),
            VmAction::AcceptCaller { .. }
            | VmAction::CloseCaller { .. }
            | VmAction::CloseConnection { .. }
            | VmAction::SendPeer { .. }
            | VmAction::Exit => {}
        }
    }

    fn execute_command(&mut self, member: &MemberId, command: MemberCommand) -> MemberState {
        match command {
            MemberCommand::Promote(term) => {
                self.term = term;
                self.primary = Some(member.clone());
                self.log_head = Position::new(term, self.log_head.log_position);
            }
            MemberCommand::Fence(term) => self.term = self.term.max(term),
            MemberCommand::Status | MemberCommand::AwaitReceived(_) => {}
        }
        let is_primary = self.primary.as_ref() == Some(member);
        MemberState {
            role: if is_primary {
                MemberRole::Primary
            } else {
                MemberRole::Replica
            },
            term: self.term,
            received: self.log_head,
            applied: self.log_head,
        }
    }

    fn call_platform(&mut self, call: u64, request: PlatformRequest) {
        let answer = match request {
            PlatformRequest::Get {
                object,
                known_version,
            } => self.read_object(&object, known_version),
            PlatformRequest::Watch {
                object,
                known_version,
            } => match self.read_object(&object, known_version) {
                PlatformAnswer::Unchanged { .. } => {
                    return self.pending_watches.push((call, object, known_version));
                }
                answer => answer,
            },
            PlatformRequest::Put {
                object,
                expected_version,
                value,
            } => {
                let version = self.objects.get(&object).map_or(0, |held| held.0);
                if version == expected_version {
                    self.objects.insert(object, (version + 1, value));
                    PlatformAnswer::Updated {
                        version: version + 1,
                    }
                } else {
                    PlatformAnswer::Conflict { version }
                }
            }
        };
        let event = VmEvent::PlatformAnswered { call, answer };
        self.events.push_back(event);
    }

    fn read_object(&self, object: &str, known_version: u64) -> PlatformAnswer {
        match self.objects.get(object) {
            Some((version, _)) if *version == known_version => {
                PlatformAnswer::Unchanged { version: *version }
            }
            Some((version, value)) => PlatformAnswer::Object {
                version: *version,
                value: value.clone(),
            },
            None => PlatformAnswer::Object {
                version: 0,
                value: Vec::new(),
            },
        }
    }
}
