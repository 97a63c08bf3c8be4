//! The actor that owns the decision logic and the state of callers and requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lycheedoor_caller::StartUp;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::RouteId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_frame::Exchange;
use lycheedoor_frame::StatementRegistry;
use lycheedoor_target::TargetAnswer;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use metrics::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use stakker::Actor;
use stakker::ActorOwn;
use stakker::ActorOwnSlab;
use stakker::CX;
use stakker::FixedTimerKey;
use stakker::actor;
use stakker::after;
use stakker::call;
use stakker::ret_some_to;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::caller_link::CallerLink;
use crate::cancel_link::CancelLink;
use crate::control::ControlLinks;
use crate::decision_logic::DecisionLogic;
use crate::member_link::MemberLink;
use crate::operator_server::OperatorServer;
use crate::peer_server::PeerServer;
use crate::target_link::TargetLink;
use lycheedoor_net::BootClock;
use lycheedoor_net::Listener;

/// The shortest delay of the deadline timer, so that a deadline in the past cannot occupy the event
/// loop.
const MIN_TIMER_DELAY: Duration = Duration::from_micros(500);

/// The time between two calls of [`DecisionLogic::observe`].
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);

/// The delay of a timer above which the process logs that it was paused. A lease lasts 300 ms, so
/// it expires during a longer pause.
const PAUSE_REPORT_THRESHOLD: Duration = Duration::from_millis(300);

/// The state of one caller's connection.
pub(crate) struct Caller {
    pub(crate) link: ActorOwn<CallerLink>,
    /// The secret key that a cancel request for this caller has to contain.
    pub(crate) secret: i32,
    /// Whether the decision logic has been notified of the caller.
    pub(crate) started: bool,
    /// The route that the caller named at start-up; not verified until the caller is accepted.
    pub(crate) route: Option<RouteId>,
    /// Records the durations of the caller's statements; `None` until the caller is accepted.
    pub(crate) statement_seconds: Option<Histogram>,
    pub(crate) closing: bool,
    pub(crate) request: Option<RequestId>,
    pub(crate) status: TransactionStatus,
    /// The target connection that holds the caller's open transaction.
    pub(crate) transaction_connection: Option<ConnectionId>,
}

/// A target's answer, held until the decision logic delivers it.
pub(crate) struct HeldAnswer {
    pub(crate) frames: Bytes,
    pub(crate) status: TransactionStatus,
    pub(crate) connection: ConnectionId,
}

/// A statement whose answer or refusal has not been sent to the caller.
pub(crate) struct Request {
    pub(crate) exchange: Rc<Exchange>,
    pub(crate) arrived_at: Instant,
    pub(crate) answer: Option<HeldAnswer>,
}

/// Identifies a control connection. AWAIT uses a separate connection to the member, because it
/// would block the commands behind it until replication catches up.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MemberLinkKey {
    pub(crate) group: GroupId,
    pub(crate) member: MemberId,
    pub(crate) for_await: bool,
}

/// The actor that owns the decision logic and, except for the listeners of peers and operators,
/// all other actors.
pub(crate) struct VmActor {
    pub(crate) decision_logic: Box<dyn DecisionLogic>,
    pub(crate) clock: BootClock,
    pub(crate) caller_listener: Option<ActorOwn<Listener>>,
    pub(crate) callers: BTreeMap<CallerId, Caller>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) connections: BTreeMap<ConnectionId, ActorOwn<TargetLink>>,
    pub(crate) member_links: BTreeMap<MemberLinkKey, (SocketAddr, ActorOwn<MemberLink>)>,
    pub(crate) exiting: bool,
    pub(crate) control: ControlLinks,
    pub(crate) peer_servers: ActorOwnSlab<PeerServer>,
    pub(crate) operator_servers: ActorOwnSlab<OperatorServer>,
    pub(crate) cancel_links: ActorOwnSlab<CancelLink>,
    registry: Rc<RefCell<StatementRegistry>>,
    rng: ChaCha12Rng,
    last_caller_id: u64,
    last_request_id: u64,
    actions: Vec<VmAction>,
    timer: FixedTimerKey,
    timer_at: Option<MonoTime>,
}

impl VmActor {
    pub(crate) fn init(
        cx: CX![],
        decision_logic: Box<dyn DecisionLogic>,
        control: ControlLinks,
        clock: BootClock,
    ) -> Option<Self> {
        call!([cx], arm_timer());
        after!(
            OBSERVATION_INTERVAL,
            [cx],
            observe(Instant::now() + OBSERVATION_INTERVAL)
        );
        Some(Self {
            decision_logic,
            clock,
            caller_listener: None,
            callers: BTreeMap::new(),
            requests: BTreeMap::new(),
            connections: BTreeMap::new(),
            member_links: BTreeMap::new(),
            exiting: false,
            control,
            peer_servers: ActorOwnSlab::new(),
            operator_servers: ActorOwnSlab::new(),
            cancel_links: ActorOwnSlab::new(),
            registry: Rc::default(),
            // The keys of the standard library's hasher are the only randomness of the system that
            // is available without unsafe code or another dependency.
            rng: ChaCha12Rng::seed_from_u64(RandomState::new().hash_one(clock.now())),
            last_caller_id: 0,
            last_request_id: 0,
            actions: Vec::new(),
            timer: FixedTimerKey::default(),
            timer_at: None,
        })
    }

    pub(crate) fn set_caller_listener(&mut self, _cx: CX![], caller_listener: ActorOwn<Listener>) {
        self.caller_listener = Some(caller_listener);
    }

    /// Passes an event to the decision logic and carries out its actions.
    pub(crate) fn handle_event(&mut self, cx: CX![], event: VmEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.decision_logic.handle(self.now(), event, &mut actions);
        self.perform_actions(cx, &mut actions);
        actions.clear();
        self.actions = actions;
        self.arm_timer(cx);
    }

    pub(crate) fn caller_accepted(&mut self, cx: CX![], stream: TcpStream) {
        self.last_caller_id += 1;
        let id = CallerId(self.last_caller_id);
        let secret = self.rng.random::<i32>();
        let registry = Rc::clone(&self.registry);
        let vm = cx.this().clone();
        let ended = ret_some_to!([cx], |this, cx, _cause: stakker::StopCause| {
            this.caller_ended(cx, id);
        });
        let link = actor!(
            cx,
            CallerLink::init(stream, id, secret, vm, registry),
            ended
        );
        let caller = Caller {
            link,
            secret,
            started: false,
            route: None,
            statement_seconds: None,
            closing: false,
            request: None,
            status: TransactionStatus::Idle,
            transaction_connection: None,
        };
        self.callers.insert(id, caller);
    }

    pub(crate) fn caller_started(&mut self, cx: CX![], id: CallerId, start_up: StartUp) {
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.started = true;
            let route = RouteId::from(start_up.route.as_str());
            caller.route = Some(route.clone());
            self.handle_event(
                cx,
                VmEvent::CallerStarted {
                    caller: id,
                    workspace: WorkspaceId::from(start_up.workspace.as_str()),
                    key: start_up.key,
                    route,
                    session_token: start_up.session_token,
                },
            );
        }
    }

    pub(crate) fn request_received(
        &mut self,
        cx: CX![],
        id: CallerId,
        idempotency_key: Option<String>,
        exchange: Exchange,
    ) {
        let Some(caller) = self.callers.get_mut(&id).filter(|caller| !caller.closing) else {
            return;
        };
        self.last_request_id += 1;
        let request = RequestId(self.last_request_id);
        caller.request = Some(request);
        self.requests.insert(
            request,
            Request {
                exchange: Rc::new(exchange),
                arrived_at: Instant::now(),
                answer: None,
            },
        );
        self.handle_event(
            cx,
            VmEvent::RequestReceived {
                caller: id,
                request,
                idempotency_key,
            },
        );
    }

    /// Handles a cancel request; the PostgreSQL protocol requires that a wrong secret is ignored.
    pub(crate) fn cancel(&mut self, cx: CX![], process_id: i32, secret: i32) {
        let Ok(number) = u64::try_from(process_id) else {
            return;
        };
        let caller = CallerId(number);
        let known = self
            .callers
            .get(&caller)
            .is_some_and(|entry| entry.secret == secret && entry.request.is_some());
        if known {
            self.handle_event(cx, VmEvent::RequestCancelled { caller });
        }
    }

    fn caller_ended(&mut self, cx: CX![], id: CallerId) {
        let Some(caller) = self.callers.remove(&id) else {
            return;
        };
        if let Some(request) = caller.request {
            self.requests.remove(&request);
        }
        if caller.started && !caller.closing {
            self.handle_event(cx, VmEvent::CallerClosed { caller: id });
        }
        self.exit_when_idle(cx);
    }

    pub(crate) fn connection_opened(&mut self, cx: CX![], connection: ConnectionId) {
        if self.connections.contains_key(&connection) {
            self.handle_event(cx, VmEvent::ConnectionOpened { connection });
        }
    }

    pub(crate) fn connection_ended(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        statement_unsent: bool,
    ) {
        if self.connections.remove(&connection).is_some() {
            self.end_transactions_on(connection);
            self.handle_event(
                cx,
                VmEvent::ConnectionClosed {
                    connection,
                    statement_unsent,
                },
            );
        }
    }

    pub(crate) fn target_answered(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        request: RequestId,
        answer: TargetAnswer,
    ) {
        if !self.connections.contains_key(&connection) {
            return;
        }
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.answer = Some(HeldAnswer {
                frames: answer.frames,
                status: answer.status,
                connection,
            });
        } else {
            let cause = connection.to_string();
            let values = [connection.0.into(), request.0.into()];
            emit_limited_by_cause(&events::LATE_ANSWER_DROPPED, &cause, &values);
        }
        self.handle_event(
            cx,
            VmEvent::TargetAnswered {
                connection,
                request,
                position: answer.position,
                status: answer.status,
                failed: answer.failed,
            },
        );
    }

    /// Handles a termination signal: stops accepting callers and begins the drain.
    pub(crate) fn stop_signal(&mut self, cx: CX![], _: Ready) {
        if let Some(caller_listener) = &self.caller_listener {
            call!([caller_listener], close());
        }
        // Queued behind the close of the listener, which first accepts the connections in the
        // backlog, so that these callers are still served.
        call!([cx], handle_event(VmEvent::StopRequested));
    }

    /// Lets the decision logic report to logs and metrics, and logs a pause of the process if this
    /// timer fired late.
    fn observe(&mut self, cx: CX![], due: Instant) {
        let late = Instant::now().saturating_duration_since(due);
        if late > PAUSE_REPORT_THRESHOLD {
            let pause_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
            emit(&events::PAUSED, &[pause_ms.into()]);
        }
        self.decision_logic.observe(self.now());
        let next = Instant::now() + OBSERVATION_INTERVAL;
        after!(OBSERVATION_INTERVAL, [cx], observe(next));
    }

    /// Resets the transaction state of callers whose transaction was open on a closed connection.
    pub(crate) fn end_transactions_on(&mut self, connection: ConnectionId) {
        for caller in self.callers.values_mut() {
            if caller.transaction_connection == Some(connection) {
                caller.transaction_connection = None;
                caller.status = TransactionStatus::Idle;
            }
        }
    }

    /// Ends the event loop once the process is exiting and all caller connections are closed.
    pub(crate) fn exit_when_idle(&mut self, cx: CX![]) {
        if self.exiting && self.callers.is_empty() {
            cx.shutdown(stakker::StopCause::Stopped);
        }
    }

    pub(crate) fn actor(cx: CX![]) -> Actor<Self> {
        cx.this().clone()
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Sets the timer for the next deadline.
    ///
    /// When the deadline moves to a later time, the timer stays as it is: most events postpone
    /// deadlines, and setting a timer costs more than one that fires too early.
    fn arm_timer(&mut self, cx: CX![]) {
        let Some(deadline) = self.decision_logic.next_deadline() else {
            return;
        };
        if self.timer_at.is_some_and(|at| at <= deadline) {
            return;
        }
        cx.timer_del(self.timer);
        let wait = deadline.since(self.now()).max(MIN_TIMER_DELAY);
        self.timer_at = Some(deadline);
        let at = Instant::now() + wait;
        self.timer = stakker::at!(at, [cx], timer_fired());
    }

    fn timer_fired(&mut self, cx: CX![]) {
        self.timer_at = None;
        let due = |deadline: MonoTime| deadline <= self.now();
        if self.decision_logic.next_deadline().is_some_and(due) {
            self.handle_event(cx, VmEvent::DeadlineReached);
        } else {
            self.arm_timer(cx);
        }
    }
}
