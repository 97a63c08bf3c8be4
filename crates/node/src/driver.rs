//! The actor that owns all sockets and the pool.

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
use lycheedoor_net::DeadlineTimer;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::Pool;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
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
use crate::members::MemberConnection;
use crate::orders::Order;
use crate::peers::Answering;
use crate::peers::PeerIn;
use crate::peers::PeerOut;
use crate::probes::ProbeConnection;
use crate::reload::SettingsSource;
use crate::reports::write_report;
use crate::run::Addresses;
use crate::run::Borders;
use crate::run::Setup;
use crate::store::StoreReader;
use crate::store::StoreWriter;

/// Time by which timers are set late. The event loop and the pool read different clocks; a timer
/// that fires a little early by the pool's would be set again and again until the time has come.
const TIMER_SLACK: Duration = Duration::from_millis(1);

/// Time between two calls that bound the memory of histograms and look for changed settings.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// A socket whose output has to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Dirty {
    Caller(u64),
    Member(u64),
}

/// The actor that owns all sockets and the pool.
pub(crate) struct Driver {
    pub(crate) vm: VmId,
    pub(crate) pool: Pool,
    pub(crate) clock: BootClock,
    pub(crate) hybrid: HybridClock,
    pub(crate) borders: Borders,
    pub(crate) addresses: Addresses,
    pub(crate) metrics: MetricsHandle,
    log: LogBuffer,
    upkeep_due: MonoTime,
    pub(crate) settings: Box<dyn SettingsSource>,
    pub(crate) settings_modified: Option<SystemTime>,
    pub(crate) next_socket: u64,
    pub(crate) callers: BTreeMap<u64, CallerConnection>,
    pub(crate) members: BTreeMap<u64, MemberConnection>,
    pub(crate) readers: BTreeMap<ObjectKind, StoreReader>,
    pub(crate) writer: StoreWriter,
    pub(crate) orders: BTreeMap<u64, Order>,
    pub(crate) peers_out: BTreeMap<VmId, PeerOut>,
    pub(crate) peers_in: BTreeMap<u64, PeerIn>,
    pub(crate) answering: Option<Answering>,
    pub(crate) probes: BTreeMap<u64, ProbeConnection>,
    pub(crate) is_ready: bool,
    pending: VecDeque<PoolEvent>,
    is_handling: bool,
    dirty: SmallVec<[Dirty; 8]>,
    timer: DeadlineTimer,
    /// The time of the current turn of the event loop: reading the clock costs a system call on
    /// some machines.
    turn: Option<(Instant, MonoTime)>,
}

impl Driver {
    pub(crate) fn init(cx: CX![], setup: Setup) -> Option<Self> {
        let mut driver = Self {
            vm: setup.vm,
            pool: Pool::new(setup.pool),
            clock: BootClock::start(),
            hybrid: HybridClock::default(),
            borders: setup.borders,
            addresses: setup.addresses,
            metrics: setup.metrics,
            log: setup.log,
            upkeep_due: MonoTime::ZERO,
            settings_modified: setup.settings.modified(),
            settings: setup.settings,
            next_socket: 0,
            callers: BTreeMap::new(),
            members: BTreeMap::new(),
            readers: BTreeMap::new(),
            writer: StoreWriter::default(),
            orders: BTreeMap::new(),
            peers_out: BTreeMap::new(),
            peers_in: BTreeMap::new(),
            answering: None,
            probes: BTreeMap::new(),
            is_ready: false,
            pending: VecDeque::new(),
            is_handling: false,
            dirty: SmallVec::new(),
            timer: DeadlineTimer::default(),
            turn: None,
        };
        driver.report(cx, PoolEvent::DeadlineReached);
        Some(driver)
    }

    /// Returns the time of the turn of the event loop that began at `turn`.
    pub(crate) fn now(&mut self, turn: Instant) -> MonoTime {
        if let Some((known, now)) = self.turn
            && known == turn
        {
            return now;
        }
        let now = self.clock.now();
        self.turn = Some((turn, now));
        now
    }

    pub(crate) fn new_socket_number(&mut self) -> u64 {
        self.next_socket += 1;
        self.next_socket
    }

    /// Passes an event to the pool and carries out what follows from it. Events that carrying out
    /// an action brings about are handled after it.
    pub(crate) fn report(&mut self, cx: CX![], event: PoolEvent) {
        self.pending.push_back(event);
        if self.is_handling {
            return;
        }
        self.is_handling = true;
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            let now = self.now(cx.now());
            self.pool.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(cx, action);
            }
            if self.pending.is_empty() {
                self.flush_dirty(cx);
            }
        }
        self.is_handling = false;
        self.set_timer(cx);
    }

    fn carry_out(&mut self, cx: CX![], action: PoolAction) {
        match action {
            PoolAction::Reply { caller, reply } => self.reply(caller, &reply),
            PoolAction::CloseCaller { caller } => self.close_caller(cx, caller),
            PoolAction::OpenLink {
                link,
                address,
                group,
                workspace,
                member,
            } => self.open_member(cx, link, address, &group, &workspace, &member),
            PoolAction::Send { link, command } => self.send_member(link, &command),
            PoolAction::CloseLink { link } => {
                self.members.remove(&link.0);
            }
            PoolAction::ReadObjects(call) => self.read_store(cx, call),
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
            } => self.order_promotion(cx, &group, &member, token),
            PoolAction::SendPeer {
                to,
                address,
                message,
            } => self.send_peer(cx, to, address, &message),
            PoolAction::SetReady(is_ready) => self.is_ready = is_ready,
            PoolAction::Report(report) => write_report(&report),
            PoolAction::Exit => {
                self.log.flush();
                cx.shutdown(StopCause::Stopped);
            }
        }
    }

    pub(crate) fn mark_dirty(&mut self, dirty: Dirty) {
        if !self.dirty.contains(&dirty) {
            self.dirty.push(dirty);
        }
    }

    fn flush_dirty(&mut self, cx: CX![]) {
        for dirty in std::mem::take(&mut self.dirty) {
            match dirty {
                Dirty::Caller(number) => self.flush_caller(cx, number),
                Dirty::Member(number) => self.flush_member(cx, number),
            }
        }
    }

    fn set_timer(&mut self, cx: CX![]) {
        let due = self.pool.next_deadline();
        if self.timer.is_set_to(due) {
            return;
        }
        let wait = due.since(self.now(cx.now())) + TIMER_SLACK;
        let timer = after!(wait, [cx], deadline());
        self.timer.replace(cx, due, timer);
    }

    fn deadline(&mut self, cx: CX![]) {
        self.timer.clear(cx);
        self.report(cx, PoolEvent::DeadlineReached);
        self.write_log();
        let now = self.now(cx.now());
        if now >= self.upkeep_due {
            self.upkeep_due = now + UPKEEP_INTERVAL;
            self.metrics.run_upkeep();
            self.reload_if_modified(cx);
        }
    }

    /// Writes the log as far as it is read, and says what was lost while it was not.
    fn write_log(&self) {
        self.log.flush();
        let dropped = self.log.take_dropped();
        if dropped > 0 {
            emit(
                &events::LINES_LEFT_OUT,
                &["unread log".into(), dropped.into()],
            );
        }
    }

    pub(crate) fn stop_signal(&mut self, cx: CX![], _: Ready) {
        self.report(cx, PoolEvent::StopRequested);
    }

    /// Returns the wall clock for the stamps of messages.
    pub(crate) fn wall_time() -> WallTime {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let micros = since.map_or(0, |since| {
            u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
        });
        WallTime(micros)
    }
}
