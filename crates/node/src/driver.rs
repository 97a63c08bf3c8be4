//! The actor that owns the pool and all sockets except the listeners.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lycheedoor_core::timeline::HybridClock;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_net::BootClock;
use lycheedoor_net::ClientLedger;
use lycheedoor_net::DeadlineTimer;
use lycheedoor_pool::ObjectCall;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::Pool;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::Report;
use lycheedoor_telemetry::LogBuffer;
use lycheedoor_telemetry::MetricsHandle;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::events;
use smallvec::SmallVec;
use stakker::CX;
use stakker::StopCause;
use stakker::after;
use stakker_mio::Ready;

use crate::callers::CallerConnection;
use crate::load::Load;
use crate::members::MemberConnection;
use crate::pages::PageConnection;
use crate::peers::IncomingPeer;
use crate::peers::OutgoingPeer;
use crate::peers::PendingResponse;
use crate::promotions::PendingPromotion;
use crate::reload::SettingsSource;
use crate::reports::write_report;
use crate::run::Addresses;
use crate::run::Codecs;
use crate::run::NodeSetup;
use crate::store::StoreChecker;
use crate::store::StoreProber;
use crate::store::StoreReader;
use crate::store::StoreWriter;
use crate::usage::PendingReport;

/// Added to each timer's delay. The event loop and the pool read different clocks; a timer that
/// fires slightly early by the pool's clock would be set again repeatedly until its deadline.
const TIMER_SLACK: Duration = Duration::from_millis(1);

/// Interval of the upkeep, which bounds the memory of histograms and checks for changed settings.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which the pool is told the time of day, which may be set back or forward.
const WALL_TIME_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the time limits of callers are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A connection with output that has not been flushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DirtySocket {
    Caller(u64),
    Member(u64),
}

/// The actor that owns the pool and all sockets except the listeners.
pub(crate) struct Driver {
    pub(crate) vm: VmId,
    pub(crate) pool: Pool,
    pub(crate) clock: BootClock,
    pub(crate) hybrid_clock: HybridClock,
    pub(crate) codecs: Codecs,
    pub(crate) addresses: Addresses,
    /// The latest era of the store that a response has told.
    pub(crate) store_era: u64,
    pub(crate) metrics: MetricsHandle,
    log: LogBuffer,
    pub(crate) load: Load,
    next_upkeep_at: MonoTime,
    next_wall_time_at: MonoTime,
    pub(crate) settings: Box<dyn SettingsSource>,
    pub(crate) settings_modified_at: Option<SystemTime>,
    pub(crate) last_socket_number: u64,
    pub(crate) callers: BTreeMap<u64, CallerConnection>,
    pub(crate) ledger: ClientLedger,
    next_sweep_at: MonoTime,
    pub(crate) members: BTreeMap<u64, MemberConnection>,
    pub(crate) readers: BTreeMap<ObjectKind, StoreReader>,
    pub(crate) prober: StoreProber,
    pub(crate) checker: StoreChecker,
    pub(crate) writer: StoreWriter,
    pub(crate) promotions: BTreeMap<u64, PendingPromotion>,
    pub(crate) usage_reports: BTreeMap<u64, PendingReport>,
    pub(crate) outgoing_peers: BTreeMap<VmId, OutgoingPeer>,
    pub(crate) incoming_peers: BTreeMap<u64, IncomingPeer>,
    pub(crate) pending_response: Option<PendingResponse>,
    pub(crate) page_connections: BTreeMap<u64, PageConnection>,
    pub(crate) is_ready: bool,
    pending_events: VecDeque<PoolEvent>,
    is_handling_events: bool,
    dirty: SmallVec<[DirtySocket; 8]>,
    timer: DeadlineTimer,
    /// The start of the current iteration of the event loop and the pool's time read in it. Cached
    /// because reading the clock costs a system call on some machines.
    iteration_time: Option<(Instant, MonoTime)>,
}

impl Driver {
    pub(crate) fn init(cx: CX![], setup: NodeSetup) -> Option<Self> {
        let mut driver = Self {
            vm: setup.vm,
            pool: Pool::new(setup.pool),
            clock: BootClock::start(),
            hybrid_clock: HybridClock::default(),
            codecs: setup.codecs,
            addresses: setup.addresses,
            store_era: 0,
            metrics: setup.metrics,
            log: setup.log,
            load: Load::default(),
            next_upkeep_at: MonoTime::ZERO,
            next_wall_time_at: MonoTime::ZERO,
            settings_modified_at: setup.settings.modified_at(),
            settings: setup.settings,
            last_socket_number: 0,
            callers: BTreeMap::new(),
            ledger: ClientLedger::new(setup.client_limits),
            next_sweep_at: MonoTime::ZERO,
            members: BTreeMap::new(),
            readers: BTreeMap::new(),
            prober: StoreProber::default(),
            checker: StoreChecker::default(),
            writer: StoreWriter::default(),
            promotions: BTreeMap::new(),
            usage_reports: BTreeMap::new(),
            outgoing_peers: BTreeMap::new(),
            incoming_peers: BTreeMap::new(),
            pending_response: None,
            page_connections: BTreeMap::new(),
            is_ready: false,
            pending_events: VecDeque::new(),
            is_handling_events: false,
            dirty: SmallVec::new(),
            timer: DeadlineTimer::default(),
            iteration_time: None,
        };
        driver.update_wall_time(cx.now());
        driver.handle_event(cx, PoolEvent::DeadlineReached);
        Some(driver)
    }

    /// Returns the time of the iteration of the event loop that began at `iteration`.
    pub(crate) fn now(&mut self, iteration: Instant) -> MonoTime {
        if let Some((known, now)) = self.iteration_time
            && known == iteration
        {
            return now;
        }
        let now = self.clock.now();
        self.iteration_time = Some((iteration, now));
        now
    }

    pub(crate) fn new_socket_number(&mut self) -> u64 {
        self.last_socket_number += 1;
        self.last_socket_number
    }

    /// Passes an event to the pool and executes the resulting actions. Events that an action causes
    /// are queued and handled after it.
    pub(crate) fn handle_event(&mut self, cx: CX![], event: PoolEvent) {
        self.pending_events.push_back(event);
        if self.is_handling_events {
            return;
        }
        self.is_handling_events = true;
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            let now = self.now(cx.now());
            self.pool.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(cx, action);
            }
            if self.pending_events.is_empty() {
                self.flush_dirty(cx);
            }
        }
        self.is_handling_events = false;
        self.set_timer(cx);
    }

    fn execute(&mut self, cx: CX![], action: PoolAction) {
        match action {
            PoolAction::Reply { caller, reply } => self.reply(caller, &reply),
            PoolAction::CloseCaller { caller } => self.close_caller(cx, caller),
            PoolAction::OpenLink {
                link,
                address,
                group,
                workspace,
                member,
            } => {
                self.load.opened_connections += 1;
                self.open_member(cx, link, address, &group, &workspace, &member);
            }
            PoolAction::Send { link, command } => self.send_member(link, &command),
            PoolAction::CloseLink { link } => {
                self.members.remove(&link.0);
            }
            PoolAction::ReadObjects(call) => {
                self.load.store_calls += u64::from(call != ObjectCall::Probe);
                self.read_store(cx, call);
            }
            PoolAction::AbandonRead { kind } => self.abandon_read(cx, kind),
            PoolAction::ReconnectStore => self.abort_reads(cx),
            PoolAction::WriteRecord {
                name,
                record,
                expected,
            } => self.write_store(cx, &name, &record, expected),
            PoolAction::RemoveRecord { name, expected } => self.remove_record(cx, &name, expected),
            PoolAction::Promote {
                group,
                member,
                token,
            } => self.request_promotion(cx, &group, &member, token),
            PoolAction::ReportUsage { token, window } => self.report_usage(cx, token, &window),
            PoolAction::SendPeer {
                to,
                address,
                message,
            } => self.send_peer(cx, to, address, &message),
            PoolAction::AnswerPeer { to, message } => self.answer_peer(&to, &message),
            PoolAction::SetReady(is_ready) => self.is_ready = is_ready,
            PoolAction::Report(report) => {
                let is_done = matches!(report, Report::StatementDone { .. });
                self.load.statements += u64::from(is_done);
                write_report(&report);
            }
            PoolAction::Exit => {
                self.log.flush();
                cx.shutdown(StopCause::Stopped);
            }
        }
    }

    pub(crate) fn mark_dirty(&mut self, dirty: DirtySocket) {
        if !self.dirty.contains(&dirty) {
            self.dirty.push(dirty);
        }
    }

    fn flush_dirty(&mut self, cx: CX![]) {
        for dirty in std::mem::take(&mut self.dirty) {
            match dirty {
                DirtySocket::Caller(number) => self.flush_caller(cx, number),
                DirtySocket::Member(number) => self.flush_member(cx, number),
            }
        }
    }

    fn set_timer(&mut self, cx: CX![]) {
        let due = self.pool.next_deadline();
        if self.timer.is_set_to(due) {
            return;
        }
        let wait = due.since(self.now(cx.now())) + TIMER_SLACK;
        let timer = after!(wait, [cx], deadline_reached());
        self.timer.replace(cx, due, timer);
    }

    fn deadline_reached(&mut self, cx: CX![]) {
        self.timer.clear(cx);
        let now = self.now(cx.now());
        let lag = now.since(self.pool.next_deadline());
        self.load.record_timer_lag(lag);
        self.update_wall_time(cx.now());
        self.handle_event(cx, PoolEvent::DeadlineReached);
        self.close_overdue_peers(cx);
        self.write_log();
        let now = self.now(cx.now());
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + SWEEP_INTERVAL;
            self.close_overdue_callers(cx, now);
        }
        if now >= self.next_upkeep_at {
            self.next_upkeep_at = now + UPKEEP_INTERVAL;
            self.metrics.run_upkeep();
            self.load.write_log(now);
            self.reload_if_modified(cx);
        }
    }

    /// Writes as much of the log as its reader accepts, and logs how many lines were dropped while
    /// it did not read.
    pub(crate) fn write_log(&self) {
        self.log.flush();
        let dropped = self.log.take_dropped_count();
        if dropped > 0 {
            emit(
                &events::LINES_LEFT_OUT,
                &["unread log".into(), dropped.into()],
            );
        }
    }

    pub(crate) fn stop_signal_received(&mut self, cx: CX![], _: Ready) {
        self.handle_event(cx, PoolEvent::StopRequested);
    }

    /// Tells the pool the time of day, which may be set back or forward at any time.
    fn update_wall_time(&mut self, iteration: Instant) {
        let now = self.now(iteration);
        if self.pool.uses_wall_time() && now >= self.next_wall_time_at {
            self.next_wall_time_at = now + WALL_TIME_INTERVAL;
            // Not the time of the iteration, which may have begun some time ago.
            self.iteration_time = None;
            let now = self.now(iteration);
            self.pool.set_wall_time(now, Self::wall_time().0);
        }
    }

    /// Returns the wall clock for the timestamps of messages.
    pub(crate) fn wall_time() -> WallTime {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let micros = since.map_or(0, |since| {
            u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
        });
        WallTime(micros)
    }
}
