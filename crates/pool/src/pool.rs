//! The state of one VM's pool, and the dispatch of events to the modules that handle them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::rates::MAX_TOKEN_WAIT;
use lycheedoor_core::rates::Rates;
use lycheedoor_core::rates::RatesEvent;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;

use crate::config::PoolConfig;
use crate::event::PoolAction;
use crate::event::PoolEvent;
use crate::failover::Failover;
use crate::group::Group;
use crate::home::MemberHomes;
use crate::home::PeerHealth;
use crate::link::Link;
use crate::message::PoolMessage;
use crate::primary_position::ReceivedRequest;
use crate::relay::StoreRelay;
use crate::remote::RemoteCaller;
use crate::remote::RemoteSession;
use crate::roster::Roster;
use crate::session::Session;
use crate::stop::StopProgress;
use crate::store::ObjectKind;
use crate::store_era::RestoredStore;
use crate::store_revision::StoreRevision;
use crate::store_watcher::StoreWatcher;
use crate::successor_monitor::SuccessorMonitor;
use crate::usage_report::UsageReporter;
use crate::usage_report::UsageRules;
use crate::watch_check::WatchChecks;

/// Interval between checks of timeouts while callers have statements or transactions in progress,
/// or the VM is shutting down. A timeout is detected at most this much late.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks while a primary is being replaced or statements are queued, some of them
/// waiting for the delay before their next attempt.
const WAITING_TICK_INTERVAL: Duration = Duration::from_millis(15);

/// Interval between checks while nothing is in progress.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest gap between two events of a process that runs normally: even idle ticks are three times
/// as frequent. A longer gap means that the process was suspended or got no processor time.
const MAX_EVENT_GAP: Duration = Duration::from_millis(750);

/// How often all VMs may start in a short time before the tokens with which their buckets begin exceed
/// what is tolerated. They serve the callers that return at once after all VMs have lost power.
const STARTS_WITHIN_RATE_SLACK: u32 = 3;

/// The properties of the VM that a pool runs on.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// The name of the VM, unique in the fleet.
    pub vm: VmId,
    /// A number that differs for each start of the process.
    pub incarnation: Incarnation,
    /// The data centre of the VM; members in the same data centre are preferred.
    pub data_centre: DataCentreId,
    /// The address at which other VMs reach this one.
    pub peer_address: SocketAddr,
    /// Time from the request to stop until the process is killed.
    pub stop_grace: Duration,
    /// How long keys are accepted after the last answer of the store; `None` without a limit.
    pub key_ttl: Option<Duration>,
    /// How many operations of a workspace beyond its rate and burst are tolerated in a short time.
    pub rate_slack: u32,
    /// How usage is reported to the platform; `None` where it is not.
    pub usage: Option<UsageRules>,
}

/// The pool of one VM: a state machine that turns events into actions.
#[derive(Debug)]
pub struct Pool {
    pub(crate) settings: PoolSettings,
    pub(crate) config: Rc<PoolConfig>,
    /// The highest priority among the routes of each group.
    pub(crate) highest_priorities: BTreeMap<GroupId, u8>,
    pub(crate) store_watchers: BTreeMap<ObjectKind, StoreWatcher>,
    pub(crate) relay: StoreRelay,
    pub(crate) watch_checks: WatchChecks,
    pub(crate) evacuated: BTreeSet<DataCentreId>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) sessions: BTreeMap<CallerId, Session>,
    /// Callers with a statement in progress or an open transaction.
    pub(crate) active: BTreeSet<CallerId>,
    pub(crate) links: BTreeMap<ConnectionId, Link>,
    /// The sessions at other VMs for which this one runs a statement or a transaction.
    pub(crate) remote_callers: BTreeMap<CallerId, RemoteCaller>,
    /// The numbers of these sessions here.
    pub(crate) remote_sessions: BTreeMap<RemoteSession, CallerId>,
    pub(crate) last_remote_caller: u64,
    pub(crate) peer_health: BTreeMap<VmId, PeerHealth>,
    /// Computed on demand; cleared when the configuration or the roster changes.
    pub(crate) homes_by_group: BTreeMap<GroupId, MemberHomes>,
    /// Requests of other VMs for positions of primaries that wait for a sample.
    pub(crate) position_requests: Vec<ReceivedRequest>,
    last_link_number: u64,
    last_request_number: u64,
    /// Callers whose statement waits for a token of the rate limiter.
    pub(crate) awaiting_admission: BTreeMap<RequestId, CallerId>,
    pub(crate) rates: Rates,
    pub(crate) roster: Roster,
    pub(crate) restored: RestoredStore,
    pub(crate) record_revisions: BTreeMap<String, StoreRevision>,
    pub(crate) registration_due: Option<MonoTime>,
    pub(crate) claim_sequence: u64,
    pub(crate) store_lost_since: Option<MonoTime>,
    pub(crate) store_answered_at: MonoTime,
    pub(crate) is_ready: bool,
    /// When the startup phase ends, in which operations may wait longer for a token because the
    /// token buckets start empty.
    pub(crate) startup_ends_at: Option<MonoTime>,
    pub(crate) successor_monitor: SuccessorMonitor,
    pub(crate) stop: Option<StopProgress>,
    /// `None` where usage is not reported.
    pub(crate) usage: Option<UsageReporter>,
    next_tick: MonoTime,
    pub(crate) last_event_at: MonoTime,
}

impl Pool {
    /// Creates a pool that has no configuration and knows no members yet.
    pub fn new(settings: PoolSettings) -> Self {
        let watcher = |kind| {
            let mut watcher = StoreWatcher::new(kind);
            watcher.set_relayed(true);
            (kind, watcher)
        };
        let mut rates = Rates::default();
        rates.set_shortens_waits(true);
        rates.set_start_tokens(settings.rate_slack / STARTS_WITHIN_RATE_SLACK);
        let usage = settings.usage.map(|rules| {
            let (vm, incarnation) = (settings.vm.clone(), settings.incarnation);
            UsageReporter::new(vm, incarnation, rules, MonoTime::ZERO)
        });
        Self {
            settings,
            config: Rc::default(),
            highest_priorities: BTreeMap::new(),
            store_watchers: ObjectKind::ALL.into_iter().map(watcher).collect(),
            relay: StoreRelay::default(),
            watch_checks: WatchChecks::default(),
            evacuated: BTreeSet::new(),
            groups: BTreeMap::new(),
            sessions: BTreeMap::new(),
            active: BTreeSet::new(),
            links: BTreeMap::new(),
            remote_callers: BTreeMap::new(),
            remote_sessions: BTreeMap::new(),
            last_remote_caller: 0,
            peer_health: BTreeMap::new(),
            homes_by_group: BTreeMap::new(),
            position_requests: Vec::new(),
            last_link_number: 0,
            last_request_number: 0,
            awaiting_admission: BTreeMap::new(),
            rates,
            roster: Roster::default(),
            restored: RestoredStore::default(),
            record_revisions: BTreeMap::new(),
            registration_due: Some(MonoTime::ZERO),
            claim_sequence: 0,
            store_lost_since: None,
            store_answered_at: MonoTime::ZERO,
            is_ready: false,
            startup_ends_at: None,
            successor_monitor: SuccessorMonitor::default(),
            stop: None,
            usage,
            next_tick: MonoTime::ZERO,
            last_event_at: MonoTime::ZERO,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: MonoTime, event: PoolEvent, actions: &mut Vec<PoolAction>) {
        if now.since(self.last_event_at) > MAX_EVENT_GAP {
            self.reset_timeouts_after_suspension(now);
        }
        self.last_event_at = now;
        let first_action = actions.len();
        match event {
            PoolEvent::CallerConnected { caller } => self.caller_connected(caller),
            PoolEvent::CallerSent { caller, request } => {
                self.caller_sent(now, caller, request, actions);
            }
            PoolEvent::CallerSentInvalid {
                caller,
                is_too_large,
            } => self.caller_sent_invalid(now, caller, is_too_large, actions),
            PoolEvent::CallerClosed { caller } => self.caller_closed(now, caller, actions),
            PoolEvent::LinkReady { link, position } => {
                self.link_ready(now, link, position, actions);
            }
            PoolEvent::LinkRefused { link, error } => {
                self.link_refused(now, link, &error, actions);
            }
            PoolEvent::LinkAnswered { link, answer } => {
                self.link_answered(now, link, answer, actions);
            }
            PoolEvent::LinkClosed { link } => self.link_closed(now, link, actions),
            PoolEvent::ObjectsRead { kind, answer } => {
                self.objects_read(now, kind, answer, actions);
            }
            PoolEvent::StoreEraSeen { era } => self.note_store_era(now, era, actions),
            PoolEvent::StoreRevisionRead { revision } => {
                self.store_revision_read(now, revision, actions);
            }
            PoolEvent::ObjectsChecked { kind, answer } => {
                self.objects_checked(now, kind, answer, actions);
            }
            PoolEvent::StoreProbed { is_answered } => {
                self.store_probed(now, is_answered, actions);
            }
            PoolEvent::RecordWritten { name, outcome } => {
                self.record_written(now, &name, outcome, actions);
            }
            PoolEvent::PromotionAnswered {
                group,
                token,
                outcome,
            } => self.promotion_answered(now, &group, token, outcome, actions),
            PoolEvent::UsageAnswered {
                token,
                window,
                outcome,
            } => self.usage_answered(now, token, window, outcome, actions),
            PoolEvent::PeerSent {
                from,
                incarnation,
                message,
            } => self.peer_sent(now, &from, incarnation, message, actions),
            PoolEvent::PeerLost { vm, unsent } => {
                self.relay_connection_lost(now, &vm, actions);
                self.peer_lost(now, &vm, &unsent, actions);
            }
            PoolEvent::StopRequested => self.stop_requested(now, actions),
            PoolEvent::DeadlineReached => {}
        }
        self.run_due_timers(now, actions);
        if !self.position_requests.is_empty() {
            self.answer_position_requests(now, actions);
        }
        self.close_answered_sessions(now, first_action, actions);
        self.redirect_remote_replies(now, first_action, actions);
    }

    /// Replaces the time limits that were given in [`PoolSettings`].
    pub fn set_reloadable_settings(&mut self, stop_grace: Duration, key_ttl: Option<Duration>) {
        self.settings.stop_grace = stop_grace;
        self.settings.key_ttl = key_ttl;
    }

    /// Returns the latest time at which [`Pool::handle`] has to be called again.
    pub fn next_deadline(&self) -> MonoTime {
        let watchers = self.store_watchers.values();
        let waits_for_probe = self.waits_for_probe();
        let retries = watchers.filter_map(StoreWatcher::next_deadline);
        let retries = retries.filter(|_| !waits_for_probe);
        let rates = self.rates.next_deadline();
        let relay = self.next_relay_deadline();
        let check = self.next_watch_check();
        retries
            .chain(rates)
            .chain(relay)
            .chain(check)
            .fold(self.next_tick, MonoTime::min)
    }

    /// Runs all timers that are due.
    fn run_due_timers(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if self.rates.next_deadline().is_some_and(|at| at <= now) {
            self.run_rates(now, RatesEvent::DeadlineReached, actions);
        }
        if self.next_tick <= now {
            self.tick(now, actions);
            self.next_tick = now + self.tick_interval();
        } else {
            self.next_tick = self.next_tick.min(now + self.tick_interval());
        }
        self.run_relay(now, actions);
        if self.waits_for_probe() {
            return;
        }
        for watcher in self.store_watchers.values_mut() {
            actions.extend(watcher.next_call(now).map(PoolAction::ReadObjects));
        }
        self.run_watch_checks(now, actions);
    }

    fn tick_interval(&self) -> Duration {
        let mut groups = self.groups.values();
        let is_replacing = self.groups.values().any(|group| group.failover.is_active());
        if groups.any(|group| !group.waiting.is_empty()) || is_replacing {
            WAITING_TICK_INTERVAL
        } else if !self.active.is_empty() || self.stop.is_some() {
            BUSY_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        }
    }

    fn tick(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if self.registration_due.is_some_and(|due| due <= now) {
            self.register(now, actions);
        }
        if self.startup_ends_at.is_some_and(|end| end <= now) {
            self.startup_ends_at = None;
            self.rates.set_max_wait(MAX_TOKEN_WAIT);
        }
        self.check_isolation(now);
        self.monitor_successor(now, actions);
        self.check_missing_objects(now, actions);
        self.check_time_limits(now, actions);
        self.check_links(now, actions);
        self.review_members(now, actions);
        self.close_surplus_links(now, actions);
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in &groups {
            let state = self.groups.get(group);
            if state.is_some_and(Group::needs_refresh) {
                self.refresh_group(now, group, actions);
            }
            self.run_failover(now, group, actions);
            self.update_commit_holders(now, group, actions);
            self.dispatch_group(now, group, actions);
        }
        self.run_usage(now, actions);
        self.run_stop(now, actions);
    }

    /// Restarts all timeouts after the process was suspended: answers of members and peers may have
    /// arrived and not been read, so their absence does not show that a member or peer is down.
    fn reset_timeouts_after_suspension(&mut self, now: MonoTime) {
        for link in self.links.values_mut() {
            link.opened_at = now;
            link.waiting_since = now;
        }
        for group in self.groups.values_mut() {
            group.failover = Failover::default();
            group.pauses.forget();
            group.holders.forget_positions();
        }
        for health in self.peer_health.values_mut() {
            health.heard_at = now;
        }
        self.relay.restart_timeouts(now);
        self.restart_successor_monitor(now);
    }

    /// Makes all timeouts be checked at the next call.
    pub(crate) fn schedule_tick_now(&mut self, now: MonoTime) {
        self.next_tick = now;
    }

    /// Returns whether the latest call to the store got no usable answer.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.store_lost_since.is_some() || self.relay.is_own_path_lost
    }

    /// Returns the time of the latest event, which is the pool's current time.
    pub(crate) fn last_event(&self) -> MonoTime {
        self.last_event_at
    }

    pub(crate) fn new_link_id(&mut self) -> ConnectionId {
        self.last_link_number += 1;
        ConnectionId(self.last_link_number)
    }

    pub(crate) fn new_request_id(&mut self) -> RequestId {
        self.last_request_number += 1;
        RequestId(self.last_request_number)
    }

    /// Returns the number of the latest statement.
    pub(crate) fn latest_request(&self) -> RequestId {
        RequestId(self.last_request_number)
    }

    /// Returns the time of the first failed read since the store last answered.
    pub(crate) fn store_lost_since(&self) -> Option<MonoTime> {
        self.store_lost_since
    }

    fn peer_sent(
        &mut self,
        now: MonoTime,
        from: &VmId,
        incarnation: Incarnation,
        message: PoolMessage,
        actions: &mut Vec<PoolAction>,
    ) {
        self.successor_monitor.last_message_at = now;
        if let Some(health) = self.peer_health.get_mut(from) {
            health.heard_at = now;
        }
        match message {
            PoolMessage::Ping => self.send_peer(from, PoolMessage::Pong, actions),
            PoolMessage::Pong => self.successor_monitor.answered(now, from),
            PoolMessage::Rates(message) => {
                let event = RatesEvent::Received {
                    from: from.clone(),
                    incarnation,
                    message,
                };
                self.run_rates(now, event, actions);
            }
            PoolMessage::AskContact { group, member } => {
                self.contact_requested(now, from, group, member, actions);
            }
            PoolMessage::Contact {
                group,
                member,
                heard_ms,
            } => {
                let since_contact = heard_ms.map(Duration::from_millis);
                self.contact_answered(now, from, &group, &member, since_contact);
            }
            PoolMessage::AskPosition {
                group,
                incarnation,
                number,
            } => self.position_requested(now, from, group, incarnation, number, actions),
            PoolMessage::Position {
                group,
                incarnation,
                number,
                position,
                age_ms,
            } => {
                self.position_received(now, &group, incarnation, number, position, age_ms, actions);
            }
            PoolMessage::Promoted {
                group,
                member,
                token,
            } => self.promotion_announced(now, from, &group, member, token, actions),
            PoolMessage::Forward(request) => {
                self.forwarded_request_received(now, from, incarnation, *request, actions);
            }
            PoolMessage::ForwardReply(reply) => {
                self.forwarded_reply_received(now, from, *reply, actions);
            }
            PoolMessage::EndForwarded { session, latest } => {
                self.forwarded_session_ended(now, from, incarnation, session, latest, actions);
            }
            PoolMessage::FollowStore { .. } => {
                self.send_peer(from, PoolMessage::StoreNotRead, actions);
            }
            PoolMessage::SubscribeStore { era, revisions } => {
                self.follower_asked(now, from, era, revisions, actions);
            }
            PoolMessage::StoreUpdates {
                era,
                updates,
                answered_ms,
            } => {
                if self.relayed_read_received(now, from, era, updates, answered_ms, actions) {
                    self.subscription_answered(from, actions);
                }
            }
            PoolMessage::StoreNews {
                era,
                updates,
                answered_ms,
            } => {
                self.relayed_read_received(now, from, era, updates, answered_ms, actions);
            }
            PoolMessage::StoreNotRead => self.relay_refused(now, from, actions),
            PoolMessage::StoreReached { revision } => self.store_reached(now, revision, actions),
            PoolMessage::Usage(message) => {
                self.usage_message_received(now, from, incarnation, *message, actions);
            }
            PoolMessage::MemberVerdict {
                group,
                member,
                is_bad,
            } => self.verdict_received(now, from, &group, &member, is_bad, actions),
            PoolMessage::RoomWanted {
                group,
                member,
                priority,
            } => self.room_wanted(now, &group, member, priority),
        }
    }

    pub(crate) fn send_peer(&self, to: &VmId, message: PoolMessage, actions: &mut Vec<PoolAction>) {
        let to = to.clone();
        actions.push(match self.roster.get(&to) {
            Some(peer) => PoolAction::SendPeer {
                to,
                address: peer.address,
                message,
            },
            None => PoolAction::AnswerPeer { to, message },
        });
    }

    pub(crate) fn send_all_peers(&self, message: &PoolMessage, actions: &mut Vec<PoolAction>) {
        let own = &self.settings.vm;
        for vm in self.roster.names().filter(|vm| *vm != own) {
            self.send_peer(vm, message.clone(), actions);
        }
    }
}
