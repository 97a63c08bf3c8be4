//! The pool of one VM: its state, and how events reach the parts that decide.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::rates::MAX_WAIT;
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

use crate::catalogue::Catalogue;
use crate::event::PoolAction;
use crate::event::PoolEvent;
use crate::failover::Failover;
use crate::group::Group;
use crate::link::Link;
use crate::message::PoolMessage;
use crate::neighbour::Neighbour;
use crate::roster::Roster;
use crate::session::Session;
use crate::stop::Stop;
use crate::store::ObjectKind;
use crate::store::StoreFollower;

/// Time between looks at time limits while statements or replacements are in progress; a limit is
/// noticed at most this much late.
const BUSY_TICK: Duration = Duration::from_millis(50);

/// Time between looks while statements wait, some of them for a pause before the next attempt.
const WAITING_TICK: Duration = Duration::from_millis(15);

/// Time between looks while nothing is in progress.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// A gap between two events that only a suspended or starved process has: idle ticks come three
/// times as often.
const PAUSE_GAP: Duration = Duration::from_millis(750);

/// What a pool has to know of its VM.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// The name of the VM.
    pub vm: VmId,
    /// A number that differs for each start.
    pub incarnation: Incarnation,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
    /// Where other VMs reach this one.
    pub peer_address: SocketAddr,
    /// Time from the request to stop until the process is killed.
    pub stop_grace: Duration,
    /// How long keys count without contact to the store; `None` without a limit.
    pub key_life: Option<Duration>,
}

/// The pool of one VM.
#[derive(Debug)]
pub struct Pool {
    pub(crate) settings: PoolSettings,
    pub(crate) catalogue: Rc<Catalogue>,
    pub(crate) followers: BTreeMap<ObjectKind, StoreFollower>,
    pub(crate) evacuated: BTreeSet<DataCentreId>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) sessions: BTreeMap<CallerId, Session>,
    /// Callers with a statement in progress or an open transaction.
    pub(crate) active: BTreeSet<CallerId>,
    pub(crate) links: BTreeMap<ConnectionId, Link>,
    next_link: u64,
    next_request: u64,
    pub(crate) admitting: BTreeMap<RequestId, CallerId>,
    pub(crate) rates: Rates,
    pub(crate) roster: Roster,
    pub(crate) record_revisions: BTreeMap<String, u64>,
    pub(crate) registration_due: Option<MonoTime>,
    pub(crate) claim_sequence: u64,
    pub(crate) store_lost_since: Option<MonoTime>,
    pub(crate) store_heard_at: MonoTime,
    pub(crate) is_ready: bool,
    /// When the time after the start ends in which buckets are empty.
    pub(crate) start_ends: Option<MonoTime>,
    pub(crate) neighbour: Neighbour,
    pub(crate) stop: Option<Stop>,
    next_tick: MonoTime,
    pub(crate) last_event_at: MonoTime,
}

impl Pool {
    /// Creates the pool without configuration and members.
    pub fn new(settings: PoolSettings) -> Self {
        let follower = |kind| (kind, StoreFollower::new(kind));
        Self {
            settings,
            catalogue: Rc::default(),
            followers: ObjectKind::ALL.into_iter().map(follower).collect(),
            evacuated: BTreeSet::new(),
            groups: BTreeMap::new(),
            sessions: BTreeMap::new(),
            active: BTreeSet::new(),
            links: BTreeMap::new(),
            next_link: 0,
            next_request: 0,
            admitting: BTreeMap::new(),
            rates: Rates::default(),
            roster: Roster::default(),
            record_revisions: BTreeMap::new(),
            registration_due: None,
            claim_sequence: 0,
            store_lost_since: None,
            store_heard_at: MonoTime::ZERO,
            is_ready: false,
            start_ends: None,
            neighbour: Neighbour::default(),
            stop: None,
            next_tick: MonoTime::ZERO,
            last_event_at: MonoTime::ZERO,
        }
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: MonoTime, event: PoolEvent, actions: &mut Vec<PoolAction>) {
        if now.since(self.last_event_at) > PAUSE_GAP {
            self.resume_after_pause(now);
        }
        self.last_event_at = now;
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
            PoolEvent::RecordWritten { name, outcome } => {
                self.record_written(now, &name, outcome, actions);
            }
            PoolEvent::PromotionAnswered {
                group,
                token,
                outcome,
            } => self.promotion_answered(now, &group, token, outcome, actions),
            PoolEvent::PeerSent {
                from,
                incarnation,
                message,
            } => self.peer_sent(now, &from, incarnation, message, actions),
            PoolEvent::StopRequested => self.stop_requested(now, actions),
            PoolEvent::DeadlineReached => {}
        }
        self.run_due(now, actions);
    }

    /// Changes time limits that came with the settings.
    pub fn set_limits(&mut self, stop_grace: Duration, key_life: Option<Duration>) {
        self.settings.stop_grace = stop_grace;
        self.settings.key_life = key_life;
    }

    /// Returns when the pool wants to be called again.
    pub fn next_deadline(&self) -> MonoTime {
        let followers = self.followers.values();
        let retries = followers.filter_map(StoreFollower::next_deadline);
        let rates = self.rates.next_deadline();
        retries.chain(rates).fold(self.next_tick, MonoTime::min)
    }

    /// Does what is due at this time.
    fn run_due(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if self.rates.next_deadline().is_some_and(|at| at <= now) {
            self.run_rates(now, RatesEvent::DeadlineReached, actions);
        }
        if self.next_tick <= now {
            self.tick(now, actions);
            self.next_tick = now + self.tick_interval();
        } else {
            self.next_tick = self.next_tick.min(now + self.tick_interval());
        }
        for follower in self.followers.values_mut() {
            actions.extend(follower.next_call(now).map(PoolAction::ReadObjects));
        }
    }

    fn tick_interval(&self) -> Duration {
        let mut groups = self.groups.values();
        let is_replacing = self.groups.values().any(|group| group.failover.is_active());
        if groups.any(|group| !group.waiting.is_empty()) || is_replacing {
            WAITING_TICK
        } else if !self.active.is_empty() || self.stop.is_some() {
            BUSY_TICK
        } else {
            IDLE_TICK
        }
    }

    fn tick(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if self.registration_due.is_some_and(|due| due <= now) {
            self.register(now, actions);
        }
        if self.start_ends.is_some_and(|end| end <= now) {
            self.start_ends = None;
            self.rates.set_max_wait(MAX_WAIT);
        }
        self.watch_neighbour(now, actions);
        self.check_time_limits(now, actions);
        self.check_links(now, actions);
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in &groups {
            self.refresh_group(now, group, actions);
            self.run_failover(now, group, actions);
            self.dispatch_group(now, group, actions);
        }
        self.run_stop(now, actions);
    }

    /// Starts all waits anew after this process did not run: nothing can be said about members
    /// and peers from answers that nobody read.
    fn resume_after_pause(&mut self, now: MonoTime) {
        for link in self.links.values_mut() {
            link.opened_at = now;
            link.waits_since = now;
        }
        for group in self.groups.values_mut() {
            group.failover = Failover::default();
        }
        self.neighbour = Neighbour::default();
        self.neighbour.heard_at = now;
    }

    /// Looks at all time limits at the next call.
    pub(crate) fn wake_now(&mut self, now: MonoTime) {
        self.next_tick = now;
    }

    /// Returns whether the latest call to the store had no answer.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.store_lost_since.is_some()
    }

    /// Returns the time of the latest event.
    pub(crate) fn last_event(&self) -> MonoTime {
        self.last_event_at
    }

    pub(crate) fn new_link_id(&mut self) -> ConnectionId {
        self.next_link += 1;
        ConnectionId(self.next_link)
    }

    pub(crate) fn new_request_id(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }

    /// Returns since when the store has not answered.
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
        self.neighbour.heard_at = now;
        match message {
            PoolMessage::Ping => self.send_peer(from, PoolMessage::Pong, actions),
            PoolMessage::Pong => self.neighbour.answered(now, from),
            PoolMessage::Rates(message) => {
                let event = RatesEvent::Received {
                    from: from.clone(),
                    incarnation,
                    message,
                };
                self.run_rates(now, event, actions);
            }
            PoolMessage::AskContact { group, member } => {
                self.contact_asked(now, from, group, member, actions);
            }
            PoolMessage::Contact {
                group,
                member,
                heard_ms,
            } => {
                let heard = heard_ms.map(Duration::from_millis);
                self.contact_answered(now, from, &group, &member, heard);
            }
            PoolMessage::Promoted {
                group,
                member,
                token,
            } => {
                if let Some(known) = self.groups.get_mut(&group) {
                    known.announce(member, token);
                }
                self.refresh_group(now, &group, actions);
                self.dispatch_group(now, &group, actions);
            }
        }
    }

    pub(crate) fn send_peer(&self, to: &VmId, message: PoolMessage, actions: &mut Vec<PoolAction>) {
        if let Some(peer) = self.roster.get(to) {
            actions.push(PoolAction::SendPeer {
                to: to.clone(),
                address: peer.address,
                message,
            });
        }
    }

    pub(crate) fn send_all_peers(&self, message: &PoolMessage, actions: &mut Vec<PoolAction>) {
        let own = &self.settings.vm;
        for vm in self.roster.names().filter(|vm| *vm != own) {
            self.send_peer(vm, message.clone(), actions);
        }
    }
}
