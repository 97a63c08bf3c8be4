//! The pool of one VM: its state, and how events reach the parts that decide.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
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
use crate::event::Report;
use crate::event::WriteOutcome;
use crate::failover::Failover;
use crate::group::Group;
use crate::group::Member;
use crate::group::MemberEntry;
use crate::link::Link;
use crate::message::PoolMessage;
use crate::neighbour::Neighbour;
use crate::roster::FleetRecord;
use crate::roster::Roster;
use crate::roster::RosterVm;
use crate::session::Session;
use crate::stop::Stop;
use crate::store::ObjectAnswer;
use crate::store::ObjectChange;
use crate::store::ObjectKind;
use crate::store::ObjectValue;
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

/// Time between attempts to record this VM in the store.
const REGISTRATION_RETRY: Duration = Duration::from_millis(500);

/// How long an operation waits for a token after the start of the VM. Its buckets begin empty, and
/// after a restart of all VMs nobody can lend; most tokens come within this time.
const START_WAIT: Duration = Duration::from_millis(600);

/// How long after its start a VM lets operations wait so.
const START_TIME: Duration = Duration::from_secs(3);

const VM_RECORD_PREFIX: &str = "vm.";
const GROUP_RECORD_PREFIX: &str = "group.";

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
    followers: BTreeMap<ObjectKind, StoreFollower>,
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
    record_revisions: BTreeMap<String, u64>,
    registration_due: Option<MonoTime>,
    pub(crate) claim_sequence: u64,
    store_lost_since: Option<MonoTime>,
    pub(crate) store_heard_at: MonoTime,
    is_ready: bool,
    /// When the time after the start ends in which buckets are empty.
    start_ends: Option<MonoTime>,
    pub(crate) neighbour: Neighbour,
    pub(crate) stop: Option<Stop>,
    next_tick: MonoTime,
    last_event_at: MonoTime,
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

    fn objects_read(
        &mut self,
        now: MonoTime,
        kind: ObjectKind,
        answer: ObjectAnswer,
        actions: &mut Vec<PoolAction>,
    ) {
        let is_lost = answer == ObjectAnswer::Unavailable;
        if is_lost {
            self.store_lost_since.get_or_insert(now);
        } else {
            self.store_heard_at = now;
            if let Some(since) = self.store_lost_since.take() {
                let outage = now.since(since);
                actions.push(PoolAction::Report(Report::StoreBack { outage }));
            }
        }
        let Some(follower) = self.followers.get_mut(&kind) else {
            return;
        };
        let changes = follower.answered(now, answer);
        let mut roster_changed = false;
        for change in changes {
            match kind {
                ObjectKind::Configuration => self.apply_configuration(now, change, actions),
                ObjectKind::Members => self.apply_member(now, change, actions),
                ObjectKind::Evacuations => {
                    let data_centre = DataCentreId::from(change.name.as_str());
                    match change.value {
                        Some(_) => self.evacuated.insert(data_centre),
                        None => self.evacuated.remove(&data_centre),
                    };
                }
                ObjectKind::Fleet => roster_changed |= self.apply_record(change, actions),
            }
        }
        if roster_changed {
            self.roster_changed(now, actions);
        }
        self.settle_readiness(now, actions);
    }

    fn apply_configuration(
        &mut self,
        now: MonoTime,
        change: ObjectChange,
        actions: &mut Vec<PoolAction>,
    ) {
        match change.value {
            Some(ObjectValue::Catalogue(catalogue))
                if catalogue.version > self.catalogue.version =>
            {
                let version = catalogue.version;
                self.catalogue = catalogue;
                let config = Arc::new(self.catalogue.rates_config());
                self.run_rates(now, RatesEvent::Configured(config), actions);
                actions.push(PoolAction::Report(Report::ConfigurationApplied { version }));
            }
            Some(ObjectValue::Unusable(error)) => {
                report_unusable(ObjectKind::Configuration, change.name, error, actions);
            }
            _ => {}
        }
    }

    fn apply_member(&mut self, now: MonoTime, change: ObjectChange, actions: &mut Vec<PoolAction>) {
        let revision = change.revision;
        let entry = match change.value {
            Some(ObjectValue::Member(entry)) => entry,
            Some(ObjectValue::Unusable(error)) => {
                report_unusable(ObjectKind::Members, change.name.clone(), error, actions);
                return self.member_missing(now, &change.name, revision, actions);
            }
            _ => return self.member_missing(now, &change.name, revision, actions),
        };
        let group = self.groups.entry(entry.group.clone()).or_default();
        let state = if entry.is_draining {
            "draining"
        } else {
            "present"
        };
        report_member(&entry, state, revision, actions);
        let id = entry.id.clone();
        match group.members.get_mut(&id) {
            Some(member) if member.entry.address == entry.address => {
                member.update(entry.clone(), revision, now);
            }
            known => {
                let moved = known.is_some();
                let member = Member::new(entry.clone(), revision, now);
                group.members.insert(id.clone(), member);
                if moved {
                    self.close_links_of(now, &entry.group, &id, actions);
                }
            }
        }
        self.refresh_group(now, &entry.group, actions);
        self.dispatch_group(now, &entry.group, actions);
    }

    fn member_missing(
        &mut self,
        now: MonoTime,
        name: &str,
        revision: u64,
        actions: &mut Vec<PoolAction>,
    ) {
        let groups = self.groups.values_mut();
        let member = groups
            .filter_map(|group| group.members.get_mut(name))
            .next();
        let Some(member) = member else {
            return;
        };
        member.missing_since.get_or_insert(now);
        let entry = member.entry.clone();
        report_member(&entry, "gone", revision, actions);
        self.refresh_group(now, &entry.group, actions);
    }

    /// Drops members that are gone and works out the primary again.
    pub(crate) fn refresh_group(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let gone = group
            .members
            .iter()
            .filter(|(_, member)| member.is_gone(now));
        let gone: Vec<_> = gone.map(|(member, _)| member.clone()).collect();
        for member in &gone {
            group.members.remove(member);
        }
        if let Some(evidence) = group.settle_primary(now) {
            actions.push(PoolAction::Report(Report::PrimaryChanged {
                group: id.clone(),
                member: group.primary.clone(),
                evidence,
            }));
        }
        for member in &gone {
            self.close_links_of(now, id, member, actions);
        }
    }

    fn apply_record(&mut self, change: ObjectChange, actions: &mut Vec<PoolAction>) -> bool {
        let known = self
            .record_revisions
            .get(&change.name)
            .copied()
            .unwrap_or(0);
        if change.revision < known {
            return false;
        }
        match &change.value {
            Some(_) => self
                .record_revisions
                .insert(change.name.clone(), change.revision),
            None => self.record_revisions.remove(&change.name),
        };
        let vm = change.name.strip_prefix(VM_RECORD_PREFIX).map(VmId::from);
        match (vm, change.value) {
            (
                Some(vm),
                Some(ObjectValue::Fleet(FleetRecord::Vm {
                    incarnation,
                    address,
                })),
            ) => {
                let entry = RosterVm {
                    incarnation,
                    address,
                };
                self.roster.set(vm, entry, change.revision)
            }
            (Some(vm), None) => self.roster.remove(&vm, change.revision),
            (_, Some(ObjectValue::Unusable(error))) => {
                report_unusable(ObjectKind::Fleet, change.name, error, actions);
                false
            }
            (None, Some(ObjectValue::Fleet(record))) => {
                self.claim_seen(&change.name, &record, change.revision);
                false
            }
            _ => false,
        }
    }

    fn claim_seen(&mut self, name: &str, record: &FleetRecord, revision: u64) {
        let FleetRecord::Promotion { holder, .. } = record else {
            return;
        };
        let Some(group) = name.strip_prefix(GROUP_RECORD_PREFIX) else {
            return;
        };
        let is_own = *holder == self.settings.vm;
        let now = self.last_event_at;
        if let Some(group) = self.groups.get_mut(group) {
            group.failover.claim_seen(now, revision, is_own);
        }
    }

    fn roster_changed(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let view = self.roster.view(&self.settings.vm, now);
        self.run_rates(now, RatesEvent::Roster(view), actions);
    }

    /// Records this VM in the store.
    fn register(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let name = format!("{VM_RECORD_PREFIX}{}", self.settings.vm);
        let expected = self.record_revisions.get(&name).copied();
        self.registration_due = Some(now + REGISTRATION_RETRY);
        let record = FleetRecord::Vm {
            incarnation: self.settings.incarnation,
            address: self.settings.peer_address,
        };
        actions.push(PoolAction::WriteRecord {
            name,
            record,
            expected,
        });
    }

    fn record_written(
        &mut self,
        now: MonoTime,
        name: &str,
        outcome: WriteOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        if let WriteOutcome::Conflict { revision, record } = &outcome {
            match record {
                Some(_) => self.record_revisions.insert(name.to_owned(), *revision),
                None => self.record_revisions.remove(name),
            };
        }
        if let Some(group) = name.strip_prefix(GROUP_RECORD_PREFIX) {
            let group = GroupId::from(group);
            return self.claim_answered(now, &group, outcome, actions);
        }
        let is_own = name.strip_prefix(VM_RECORD_PREFIX) == Some(self.settings.vm.as_str());
        if is_own && matches!(outcome, WriteOutcome::Conflict { .. }) {
            // The next attempt uses the revision just learned.
            self.registration_due = Some(now);
        }
        self.settle_readiness(now, actions);
    }

    /// Returns the name of a VM's record and the revision it is known to have.
    pub(crate) fn vm_record(&self, vm: &VmId) -> (String, Option<u64>) {
        let name = format!("{VM_RECORD_PREFIX}{vm}");
        let revision = self.record_revisions.get(&name).copied();
        (name, revision)
    }

    /// Returns since when the store has not answered.
    pub(crate) fn store_lost_since(&self) -> Option<MonoTime> {
        self.store_lost_since
    }

    /// Returns the name of a group's record and the revision it is known to have.
    pub(crate) fn group_record(&self, group: &GroupId) -> (String, Option<u64>) {
        let name = format!("{GROUP_RECORD_PREFIX}{group}");
        let revision = self.record_revisions.get(&name).copied();
        (name, revision)
    }

    fn settle_readiness(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let fleet_loaded = self
            .followers
            .get(&ObjectKind::Fleet)
            .is_some_and(StoreFollower::is_loaded);
        let own = self.roster.get(&self.settings.vm);
        let is_registered = own.is_some_and(|vm| vm.incarnation == self.settings.incarnation);
        if is_registered {
            self.registration_due = None;
        } else if fleet_loaded && self.registration_due.is_none() && self.stop.is_none() {
            self.register(now, actions);
        }
        let is_loaded = self.followers.values().all(StoreFollower::is_loaded);
        let is_ready = is_loaded && is_registered && self.catalogue.version > 0;
        if is_ready && !self.is_ready && self.stop.is_none() {
            self.is_ready = true;
            self.rates.set_max_wait(START_WAIT);
            self.start_ends = Some(now + START_TIME);
            actions.push(PoolAction::SetReady(true));
        }
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

fn report_unusable(kind: ObjectKind, name: String, error: String, actions: &mut Vec<PoolAction>) {
    let report = Report::ObjectUnusable { kind, name, error };
    actions.push(PoolAction::Report(report));
}

fn report_member(
    entry: &MemberEntry,
    state: &'static str,
    revision: u64,
    actions: &mut Vec<PoolAction>,
) {
    actions.push(PoolAction::Report(Report::MemberChanged {
        group: entry.group.clone(),
        member: entry.id.clone(),
        state,
        claims_primary: entry.claims_primary,
        revision,
    }));
}
