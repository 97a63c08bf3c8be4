//! Relays: the VMs of each data centre that read the store for the others there.
//!
//! Each call to the store is made by each VM that reads it, so the calls grow with the fleet. In
//! each data centre [`RELAYS_PER_DATA_CENTRE`] VMs read the store and pass on the changes with their
//! revisions; the others follow one of them. All VMs compute the same relays from the roster. A
//! follower keeps the revisions that it knows, so it can change to another relay or to the store at
//! any time and never goes back to an older state. Requests and answers contain the era of the store
//! (see [`crate::store_era`]), so that a VM which learns of a new one tells the others.
//!
//! A relay that cannot reach the store notices it by calls that any answer satisfies, and tells its
//! followers. A relay that cannot be reached does not answer requests. In both cases the follower
//! asks the other relay, and reads the store itself if neither answers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::rendezvous_weight;
use smallvec::SmallVec;

use crate::commit_holders::COMMIT_HOLDERS_VERSION;
use crate::event::PoolAction;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::report::Report;
use crate::store::ObjectCall;
use crate::store::ObjectKind;
use crate::store::StoreUpdate;
use crate::store_era::STORE_ERA_VERSION;
use crate::store_revision::StoreRevision;
use crate::store_watcher::StoreWatcher;
use crate::watch_check::STORE_REVISION_VERSION;

/// One relay may fail without its followers having to read the store.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Time for which a relay is sought before this VM reads the store itself. Relays that start, or
/// whose store is back, are found meanwhile.
const SEARCH_TIME: Duration = Duration::from_millis(700);

/// Time between two requests of a follower, which also repeat changes that were lost.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Time for a relay to answer a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two requests while a relay is sought.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a relay that did not answer is asked again.
const FAILED_RELAY_DELAY: Duration = Duration::from_secs(2);

/// Time after the latest request of a follower during which changes are passed on to it.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between two calls that check whether the store can be reached.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two such calls while the store cannot be reached.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Unanswered probes in succession after which the store counts as lost. Single answers can be lost
/// without an outage.
const MAX_FAILED_PROBES: u32 = 2;

/// Age of the latest answer of the store up to which a relay passes on what it knows. It covers the
/// time between two probes and the timeouts of those that fail.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1_800);

/// The version of the messages between VMs that tell news of a relay from its answers.
const STORE_NEWS_VERSION: u32 = 2;

/// Where this VM reads the changes of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Source {
    /// Nothing but the first lists is read yet.
    #[default]
    Starting,
    /// A relay is sought.
    Searching { since: MonoTime },
    /// The store itself. `is_relay` tells whether this VM is a relay, or has found none.
    Store { is_relay: bool },
    /// A relay that passes on what it reads.
    Relay(VmId),
}

/// A VM that this one passes changes on to.
#[derive(Clone, Debug)]
struct Follower {
    revisions: BTreeMap<ObjectKind, StoreRevision>,
    until: MonoTime,
    /// Whether its latest request is answered once the store has answered.
    awaits_answer: bool,
}

/// The state of a VM as a relay and as a follower.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreRelay {
    source: Source,
    /// The relays of the own data centre, from the one that this VM prefers.
    relays: SmallVec<[VmId; RELAYS_PER_DATA_CENTRE]>,
    is_relay: bool,
    /// The relays of all data centres in the order of names; empty unless this VM is one of them.
    all_relays: Vec<VmId>,
    /// The request that has not been answered, and when it was sent.
    request: Option<(VmId, MonoTime)>,
    next_request_at: MonoTime,
    failed_until: BTreeMap<VmId, MonoTime>,
    followers: BTreeMap<VmId, Follower>,
    /// Whether a call of this VM itself got no answer, and none got one since. A follower reads
    /// nothing itself, and would not notice that it cannot write.
    pub(crate) is_own_path_lost: bool,
    is_probing: bool,
    next_probe_at: MonoTime,
    failed_probes: u32,
}

impl StoreRelay {
    /// Gives all requests to relays as much time as if they were sent now.
    pub(crate) fn restart_timeouts(&mut self, now: MonoTime) {
        if let Some((_, sent_at)) = &mut self.request {
            *sent_at = now;
        }
    }

    /// Returns the preferred relay that is worth asking.
    fn next_relay(&self, now: MonoTime) -> Option<VmId> {
        let has_failed = |vm: &&VmId| self.failed_until.get(*vm).is_some_and(|until| *until > now);
        self.relays.iter().find(|vm| !has_failed(vm)).cloned()
    }
}

/// Returns the relays of a data centre, which are the same for all its VMs.
fn choose_relays<'a>(
    data_centre: &DataCentreId,
    vms: impl Iterator<Item = &'a VmId>,
) -> SmallVec<[VmId; RELAYS_PER_DATA_CENTRE]> {
    let weight =
        |vm: &VmId| rendezvous_weight(&[data_centre.as_str().as_bytes(), vm.as_str().as_bytes()]);
    let mut by_weight: Vec<(u64, &VmId)> = vms.map(|vm| (weight(vm), vm)).collect();
    by_weight.sort_by_key(|entry| Reverse(*entry));
    let relays = by_weight.into_iter().take(RELAYS_PER_DATA_CENTRE);
    relays.map(|(_, vm)| vm.clone()).collect()
}

impl Pool {
    /// Computes the relays of the own data centre after a change of the roster.
    pub(crate) fn update_relays(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let own = &self.settings.vm;
        let mut relays = choose_relays(
            &self.settings.data_centre,
            self.roster.names_in(&self.settings.data_centre),
        );
        let was_relay = self.relay.is_relay;
        self.relay.is_relay = relays.contains(own);
        self.relay.all_relays = match self.relay.is_relay {
            true => self.choose_all_relays(),
            false => Vec::new(),
        };
        // Other builds pass on what they read in another form.
        relays.retain(|vm| {
            let entry = self.roster.get(vm);
            entry.is_some_and(|entry| entry.accepts_forwarded)
                && self.roster.understands(vm, STORE_ERA_VERSION)
        });
        // Followers are distributed over the relays.
        let preference =
            |vm: &VmId| rendezvous_weight(&[own.as_str().as_bytes(), vm.as_str().as_bytes()]);
        relays.sort_by_key(|vm| Reverse(preference(vm)));
        self.relay.relays = relays;
        if was_relay && !self.relay.is_relay {
            self.dismiss_followers(actions);
        }
        let is_settled = !matches!(self.relay.source, Source::Starting);
        let has_changed = match &self.relay.source {
            Source::Relay(vm) => !self.relay.relays.contains(vm),
            Source::Store { is_relay } => *is_relay != self.relay.is_relay,
            Source::Starting | Source::Searching { .. } => false,
        };
        if is_settled && (has_changed || self.relay.is_relay) {
            self.choose_source(now, actions);
        }
    }

    fn choose_all_relays(&self) -> Vec<VmId> {
        let data_centres = self.roster.data_centres();
        let relays = data_centres
            .iter()
            .flat_map(|data_centre| choose_relays(data_centre, self.roster.names_in(data_centre)));
        let understands = |vm: &VmId| self.roster.understands(vm, STORE_REVISION_VERSION);
        let mut relays: Vec<VmId> = relays.filter(understands).collect();
        relays.sort();
        relays
    }

    /// Returns the relays of all data centres except this VM, if it is one.
    pub(crate) fn other_relays(&self) -> Vec<VmId> {
        let relays = self.relay.all_relays.iter();
        relays
            .filter(|vm| **vm != self.settings.vm)
            .cloned()
            .collect()
    }

    /// Returns how many relays are before this VM in the order of names.
    pub(crate) fn relay_rank(&self) -> u32 {
        let own = &self.settings.vm;
        let rank = self.relay.all_relays.partition_point(|vm| vm < own);
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Reads the store itself if this VM is a relay, and seeks a relay otherwise.
    fn choose_source(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        self.relay.request = None;
        self.relay.next_request_at = now;
        let source = match self.relay.is_relay {
            true => Source::Store { is_relay: true },
            false => Source::Searching { since: now },
        };
        self.set_source(source, actions);
    }

    fn set_source(&mut self, source: Source, actions: &mut Vec<PoolAction>) {
        if self.relay.source == source {
            return;
        }
        let reads_store = matches!(source, Source::Store { .. });
        for watcher in self.store_watchers.values_mut() {
            watcher.set_relayed(!reads_store);
        }
        match &source {
            Source::Relay(vm) => {
                let relay = Some(vm.clone());
                actions.push(PoolAction::Report(Report::StoreSource { relay }));
            }
            Source::Store { .. } => {
                actions.push(PoolAction::Report(Report::StoreSource { relay: None }));
            }
            Source::Starting | Source::Searching { .. } => {}
        }
        self.relay.source = source;
    }

    /// Returns when [`Pool::run_relay`] has to be called next.
    pub(crate) fn next_relay_deadline(&self) -> Option<MonoTime> {
        let relay = &self.relay;
        let probe = (self.needs_probes() && !relay.is_probing).then_some(relay.next_probe_at);
        let own = match &relay.source {
            Source::Starting => return None,
            Source::Store { is_relay: true } => None,
            _ => match &relay.request {
                Some((_, sent_at)) => Some(*sent_at + REQUEST_TIMEOUT),
                None => Some(relay.next_request_at),
            },
        };
        probe.into_iter().chain(own).min()
    }

    /// Starts following a relay or reading the store, and sends the requests that are due.
    pub(crate) fn run_relay(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if self.relay.source == Source::Starting {
            if !self.store_watchers.values().all(StoreWatcher::is_loaded) {
                return;
            }
            self.choose_source(now, actions);
        }
        self.run_requests(now, actions);
        if self.needs_probes() && !self.relay.is_probing && now >= self.relay.next_probe_at {
            self.relay.is_probing = true;
            actions.push(PoolAction::ReadObjects(ObjectCall::Probe));
        }
    }

    fn run_requests(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if matches!(
            self.relay.source,
            Source::Starting | Source::Store { is_relay: true }
        ) {
            return;
        }
        if let Some((vm, sent_at)) = self.relay.request.clone()
            && now >= sent_at + REQUEST_TIMEOUT
        {
            self.relay_failed(now, &vm, "no answer", actions);
        }
        if self.relay.request.is_some() || now < self.relay.next_request_at {
            return;
        }
        let relay = match &self.relay.source {
            Source::Relay(vm) => Some(vm.clone()),
            _ => self.relay.next_relay(now),
        };
        let Some(relay) = relay else {
            let has_searched = match self.relay.source {
                Source::Searching { since } => {
                    self.relay.relays.is_empty() || now >= since + SEARCH_TIME
                }
                _ => false,
            };
            if has_searched && self.store_lost_since().is_none() {
                self.set_source(Source::Store { is_relay: false }, actions);
            }
            self.relay.next_request_at = match self.relay.source {
                Source::Searching { .. } => now + SEARCH_INTERVAL,
                _ => now + REQUEST_INTERVAL,
            };
            return;
        };
        let revisions = self.store_watchers.iter();
        let revisions = revisions.filter_map(|(kind, watcher)| Some((*kind, watcher.revision()?)));
        let message = PoolMessage::SubscribeStore {
            era: self.store_era(),
            revisions: revisions.collect(),
        };
        self.relay.request = Some((relay.clone(), now));
        self.relay.next_request_at = now + REQUEST_INTERVAL;
        self.send_peer(&relay, message, actions);
    }

    /// Turns to another relay, or to the store, after one did not answer or does not read the store.
    fn relay_failed(
        &mut self,
        now: MonoTime,
        vm: &VmId,
        cause: &'static str,
        actions: &mut Vec<PoolAction>,
    ) {
        let was_asked = self.relay.request.as_ref().is_some_and(|(to, _)| to == vm);
        let was_followed = matches!(&self.relay.source, Source::Relay(relay) if relay == vm);
        if !was_asked && !was_followed {
            return;
        }
        let until = now + FAILED_RELAY_DELAY;
        self.relay.failed_until.insert(vm.clone(), until);
        self.relay.failed_until.retain(|_, until| *until > now);
        self.relay.request = None;
        self.relay.next_request_at = now;
        if was_followed {
            let vm = vm.clone();
            actions.push(PoolAction::Report(Report::RelayLost { vm, cause }));
            self.set_source(Source::Searching { since: now }, actions);
            self.store_lost_since.get_or_insert(now);
            self.relay.next_probe_at = now;
        }
    }

    /// Handles the loss of the connection to another VM.
    pub(crate) fn relay_connection_lost(
        &mut self,
        now: MonoTime,
        vm: &VmId,
        actions: &mut Vec<PoolAction>,
    ) {
        self.relay_failed(now, vm, "connection lost", actions);
        self.relay.followers.remove(vm);
    }

    /// Handles the answer of a VM that is not a relay or does not reach the store.
    pub(crate) fn relay_refused(
        &mut self,
        now: MonoTime,
        from: &VmId,
        actions: &mut Vec<PoolAction>,
    ) {
        self.relay_failed(now, from, "does not read the store", actions);
        // It answers at once, and may be starting.
        if let Source::Searching { since } = self.relay.source
            && let Some(until) = self.relay.failed_until.get_mut(from)
            && now < since + SEARCH_TIME
        {
            *until = now + SEARCH_INTERVAL;
        }
    }

    /// Follows the relay that has answered the request of this VM.
    pub(crate) fn subscription_answered(&mut self, from: &VmId, actions: &mut Vec<PoolAction>) {
        let request = self.relay.request.take_if(|(to, _)| to == from);
        if request.is_some() {
            self.set_source(Source::Relay(from.clone()), actions);
        }
    }

    /// Applies what a relay has read from the store; returns whether it was usable. A relay that does
    /// not know yet that the store has come back from a copy counts as one that has not answered.
    pub(crate) fn relayed_read_received(
        &mut self,
        now: MonoTime,
        from: &VmId,
        era: u64,
        updates: Vec<StoreUpdate>,
        answered_ms: u64,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let is_own_relay = self.relay.relays.contains(from) && !self.relay.is_relay;
        if !is_own_relay || self.relay.source == Source::Starting || era < self.store_era() {
            return false;
        }
        self.note_store_era(now, era, actions);
        let age = Duration::from_millis(answered_ms);
        if age > MAX_ANSWER_AGE {
            self.relay_refused(now, from, actions);
            return false;
        }
        self.relay.failed_until.remove(from);
        let answered_at = (now - age).max(self.store_answered_at);
        self.note_store_answer(now, answered_at, actions);
        for update in updates {
            let kind = update.kind();
            let Some(watcher) = self.store_watchers.get_mut(&kind) else {
                continue;
            };
            let changes = watcher.apply(update);
            self.apply_changes(now, kind, changes, actions);
        }
        true
    }

    /// Returns whether this VM may tell others what it knows.
    fn can_relay(&self, now: MonoTime) -> bool {
        self.is_reading_relay() && now.since(self.store_answered_at) <= MAX_ANSWER_AGE
    }

    fn is_reading_relay(&self) -> bool {
        self.relay.source == Source::Store { is_relay: true }
            && self.stop.is_none()
            && self.relay.failed_probes < MAX_FAILED_PROBES
    }

    /// Registers a follower and tells it what is new for it.
    pub(crate) fn follower_asked(
        &mut self,
        now: MonoTime,
        from: &VmId,
        era: u64,
        revisions: Vec<(ObjectKind, StoreRevision)>,
        actions: &mut Vec<PoolAction>,
    ) {
        self.note_store_era(now, era, actions);
        if !self.is_reading_relay() {
            return self.send_peer(from, PoolMessage::StoreNotRead, actions);
        }
        let can_relay = self.can_relay(now);
        let follower = Follower {
            revisions: revisions.into_iter().collect(),
            until: now + FOLLOWER_TIMEOUT,
            awaits_answer: !can_relay,
        };
        self.relay.followers.insert(from.clone(), follower);
        if can_relay {
            return self.update_follower(now, from, true, actions);
        }
        self.relay.next_probe_at = now;
    }

    /// Tells a follower what is new for it; tells it also that nothing is, if it has asked.
    fn update_follower(
        &mut self,
        now: MonoTime,
        vm: &VmId,
        has_asked: bool,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(follower) = self.relay.followers.get_mut(vm) else {
            return;
        };
        follower.awaits_answer = false;
        let news = follower.revisions.iter();
        let news = news.filter_map(|(kind, known)| {
            let watcher = self.store_watchers.get(kind)?;
            watcher.update_since(*known)
        });
        let mut updates: Vec<StoreUpdate> = news.collect();
        if !self.roster.understands(vm, COMMIT_HOLDERS_VERSION) {
            updates
                .iter_mut()
                .for_each(StoreUpdate::hide_commit_holders);
        }
        if updates.is_empty() && !has_asked {
            return;
        }
        for update in &updates {
            follower.revisions.insert(update.kind(), update.revision);
        }
        let age = now.since(self.store_answered_at).as_millis();
        let era = self.store_era();
        let answered_ms = u64::try_from(age).unwrap_or(u64::MAX);
        let is_answer = has_asked || !self.roster.understands(vm, STORE_NEWS_VERSION);
        let message = match is_answer {
            true => PoolMessage::StoreUpdates {
                era,
                updates,
                answered_ms,
            },
            false => PoolMessage::StoreNews {
                era,
                updates,
                answered_ms,
            },
        };
        self.send_peer(vm, message, actions);
    }

    /// Passes on what was read from the store.
    pub(crate) fn update_followers(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        self.relay
            .followers
            .retain(|_, follower| follower.until > now);
        if !self.can_relay(now) {
            return;
        }
        let followers = self.relay.followers.iter();
        let followers = followers.map(|(vm, follower)| (vm.clone(), follower.awaits_answer));
        for (vm, awaits_answer) in followers.collect::<Vec<_>>() {
            self.update_follower(now, &vm, awaits_answer, actions);
        }
    }

    /// Tells all followers to read the store elsewhere.
    pub(crate) fn dismiss_followers(&mut self, actions: &mut Vec<PoolAction>) {
        for vm in std::mem::take(&mut self.relay.followers).into_keys() {
            self.send_peer(&vm, PoolMessage::StoreNotRead, actions);
        }
    }

    /// Returns whether this VM has to find out by itself whether the store can be reached: for its
    /// followers, because a call got no answer, or because a watch is not answered before something
    /// changes.
    fn needs_probes(&self) -> bool {
        self.relay.source != Source::Starting
            && (!self.relay.followers.is_empty()
                || self.is_store_lost()
                || self.relay.failed_probes > 0)
    }

    /// Makes the next probe at once, after a call got no answer.
    pub(crate) fn schedule_probe(&mut self, now: MonoTime) {
        if self.relay.failed_probes < MAX_FAILED_PROBES {
            self.relay.next_probe_at = now;
        }
    }

    /// Records that the store has answered a call of this VM itself.
    pub(crate) fn own_call_answered(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        self.relay.failed_probes = 0;
        self.relay.is_own_path_lost = false;
        self.relay.next_probe_at = now + PROBE_INTERVAL;
        self.note_store_answer(now, now, actions);
    }

    /// Handles the end of a probe.
    pub(crate) fn store_probed(
        &mut self,
        now: MonoTime,
        is_answered: bool,
        actions: &mut Vec<PoolAction>,
    ) {
        self.relay.is_probing = false;
        if !is_answered {
            return self.probe_failed(now, actions);
        }
        if let Source::Searching { since } = &mut self.relay.source
            && self.store_lost_since.is_some()
        {
            // The relays may have found the store at the same time.
            *since = now;
            self.relay.failed_until.clear();
        }
        self.own_call_answered(now, actions);
        self.update_followers(now, actions);
    }

    /// Handles the end of a probe, or of a check that serves as one, without an answer.
    pub(crate) fn probe_failed(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        self.relay.failed_probes += 1;
        let is_lost = self.relay.failed_probes >= MAX_FAILED_PROBES;
        self.relay.next_probe_at = match is_lost {
            true => now + LOST_PROBE_INTERVAL,
            false => now,
        };
        if is_lost {
            self.dismiss_followers(actions);
        }
        if is_lost && self.store_lost_since.is_none() {
            // The connections of the watches may be unresponsive as well.
            self.note_store_failure(now);
            actions.push(PoolAction::ReconnectStore);
        }
    }

    /// Returns whether reads wait until a probe is answered: one cheap call finds out when the store
    /// is back, instead of one for each kind of object.
    pub(crate) fn waits_for_probe(&self) -> bool {
        self.relay.source != Source::Starting && self.store_lost_since.is_some()
    }
}
