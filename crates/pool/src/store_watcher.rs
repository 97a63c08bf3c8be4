//! Tracks one kind of object in the platform's store: lists all objects once, then watches for
//! changes, or takes them from another VM that does.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::MonoTime;

use crate::store::ObjectAnswer;
use crate::store::ObjectCall;
use crate::store::ObjectChange;
use crate::store::ObjectKind;
use crate::store::StoreUpdate;
use crate::store_revision::StoreRevision;

/// Delay before the first retry after a call that got no usable answer; it doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Upper limit of the retry delay: a new configuration has to be in force within seconds after the
/// store is available again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Changes of one kind that are read at once. Further ones are read together, since each call wakes
/// all VMs and counts against the rate of the store.
const MAX_SINGLE_CHANGES: u32 = 3;

/// Time after which one more change is read at once, and the longest delay of a change that is not.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of entries that one VM passes on to another in one update. A larger update is read
/// from the store, whose link is faster than that of a VM.
const MAX_RELAYED_ENTRIES: usize = 400;

/// Largest number of removed objects of a kind that are remembered for the updates of other VMs.
const MAX_REMOVED_OBJECTS: usize = 256;

#[derive(Clone, Debug)]
enum Phase {
    List {
        after: Option<String>,
        revision: Option<StoreRevision>,
        listed: Vec<ObjectChange>,
    },
    Watch(StoreRevision),
}

/// The latest change of an object.
#[derive(Clone, Debug)]
struct KnownObject {
    change: ObjectChange,
    /// The revision of the answer or update that contained the change.
    learned_at_revision: StoreRevision,
}

/// Tracks the objects of one kind by list and watch calls.
#[derive(Clone, Debug)]
pub struct StoreWatcher {
    kind: ObjectKind,
    phase: Phase,
    /// The latest era that the store is known to be in.
    era: u64,
    /// The era of the latest complete list.
    listed_era: u64,
    is_call_in_progress: bool,
    /// When the latest call was made.
    called_at: MonoTime,
    /// The era of the answers that the call in progress continues; `None` if it is a first page.
    continued_era: Option<u64>,
    retry_at: Option<MonoTime>,
    retry_delay: Duration,
    /// The objects by name, including some that were removed.
    known: BTreeMap<String, KnownObject>,
    /// The revision from which on each change is in `known`.
    history_from: StoreRevision,
    is_loaded: bool,
    /// Whether another VM passes the changes on, so that the store is not watched.
    is_relayed: bool,
    /// The revision up to which the store is watched nevertheless.
    required_revision: StoreRevision,
    /// The revision up to which a check has shown that there are no changes.
    unchanged_until: StoreRevision,
    /// Whether changes that were passed on have overtaken the call in progress.
    is_call_outdated: bool,
    /// How many more changes are read at once, as of `single_changes_at`.
    single_changes: u32,
    single_changes_at: MonoTime,
}

impl StoreWatcher {
    /// Creates a watcher whose first call lists the objects.
    pub fn new(kind: ObjectKind) -> Self {
        Self {
            kind,
            phase: initial_phase(),
            era: 0,
            listed_era: 0,
            is_call_in_progress: false,
            called_at: MonoTime::ZERO,
            continued_era: None,
            retry_at: None,
            retry_delay: INITIAL_RETRY_DELAY,
            known: BTreeMap::new(),
            history_from: StoreRevision::default(),
            is_loaded: false,
            is_relayed: false,
            required_revision: StoreRevision::default(),
            unchanged_until: StoreRevision::default(),
            is_call_outdated: false,
            single_changes: MAX_SINGLE_CHANGES,
            single_changes_at: MonoTime::ZERO,
        }
    }

    /// Returns whether all pages of a list have been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Notes that the store has come back from a copy. What is known stays in use until the objects
    /// have been listed again, or another VM has passed them on.
    pub(crate) fn enter_era(&mut self, era: u64) {
        self.era = era;
        if matches!(self.phase, Phase::List { .. }) {
            self.phase = initial_phase();
        }
    }

    /// Returns whether the objects have been listed in the latest known era.
    pub(crate) fn is_current(&self) -> bool {
        self.listed_era >= self.era
    }

    /// Returns whether the call in progress waits for changes of an era that has ended.
    pub(crate) fn waits_in_former_era(&self) -> bool {
        self.is_call_in_progress && self.continued_era.is_some_and(|era| era < self.era)
    }

    /// Returns the revision up to which the objects are known; `None` while they are listed.
    pub fn revision(&self) -> Option<StoreRevision> {
        match self.phase {
            Phase::Watch(revision) => Some(revision),
            Phase::List { .. } => None,
        }
    }

    /// Stops or resumes watching the store. While it is not watched, [`StoreWatcher::apply`] has to
    /// be called with the changes that other VMs pass on.
    pub fn set_relayed(&mut self, is_relayed: bool) {
        self.is_relayed = is_relayed;
    }

    /// Makes no call before the given time.
    pub(crate) fn delay_call(&mut self, until: MonoTime) {
        self.retry_at = Some(until);
    }

    /// Returns when the next call is due; `None` if the watcher is not waiting for a retry.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.retry_at.filter(|_| !self.leaves_watch_to_others())
    }

    fn leaves_watch_to_others(&self) -> bool {
        let is_current = |revision| revision >= self.required_revision;
        self.is_relayed && self.revision().is_some_and(is_current)
    }

    /// Returns whether this VM waits for the response to a watch.
    pub(crate) fn awaits_changes(&self) -> bool {
        self.is_call_in_progress && self.revision().is_some() && !self.leaves_watch_to_others()
    }

    /// Returns whether changes in quick succession, or a call without an answer, delay the next call.
    pub(crate) fn is_delayed(&self) -> bool {
        !self.is_call_in_progress && self.next_deadline().is_some()
    }

    /// Returns when the latest call was made.
    pub(crate) fn called_at(&self) -> MonoTime {
        self.called_at
    }

    /// Returns the revision up to which the objects are known; the lowest one while they are listed.
    pub(crate) fn known_until(&self) -> StoreRevision {
        let known = |revision: StoreRevision| revision.max(self.unchanged_until);
        self.revision().map(known).unwrap_or_default()
    }

    /// Returns the revision from which the watch in progress continues if it has not returned what
    /// happened up to `reached`, a revision of the store.
    pub(crate) fn unreturned_since(&self, reached: StoreRevision) -> Option<StoreRevision> {
        let revision = self.revision().filter(|_| self.awaits_changes())?;
        let is_known = self.known_until() >= reached;
        (revision.era == reached.era && !is_known).then_some(revision)
    }

    /// Records that there are no changes up to a revision that the watch in progress has not returned.
    pub(crate) fn confirm_unchanged(&mut self, revision: StoreRevision) {
        self.unchanged_until = self.unchanged_until.max(revision);
    }

    /// Gives up the call in progress; its answer must not be passed on any more.
    pub(crate) fn abandon_call(&mut self) {
        self.is_call_in_progress = false;
        self.is_call_outdated = false;
    }

    /// Returns the call to make now, if one is due; it counts as in progress until `answered`.
    pub fn next_call(&mut self, now: MonoTime) -> Option<ObjectCall> {
        let is_waiting = self.retry_at.is_some_and(|at| at > now);
        if self.is_call_in_progress || is_waiting || self.leaves_watch_to_others() {
            return None;
        }
        if matches!(self.phase, Phase::Watch(revision) if revision.era < self.era) {
            self.phase = initial_phase();
        }
        self.is_call_in_progress = true;
        self.called_at = now;
        self.retry_at = None;
        self.continued_era = match &self.phase {
            Phase::List { revision, .. } => revision.map(|revision| revision.era),
            Phase::Watch(revision) => Some(revision.era),
        };
        let kind = self.kind;
        Some(match &self.phase {
            Phase::List { after, .. } => ObjectCall::List {
                kind,
                after: after.clone(),
            },
            Phase::Watch(revision) => ObjectCall::Watch {
                kind,
                revision: *revision,
            },
        })
    }

    /// Handles the answer to the call in progress and returns the resulting changes.
    pub fn answered(&mut self, now: MonoTime, answer: ObjectAnswer) -> Vec<ObjectChange> {
        self.is_call_in_progress = false;
        if std::mem::take(&mut self.is_call_outdated) {
            return Vec::new();
        }
        match self.check_era(answer) {
            ObjectAnswer::Page {
                objects,
                next_after,
                revision,
            } => {
                self.retry_delay = INITIAL_RETRY_DELAY;
                self.apply_page(objects, next_after, revision)
            }
            ObjectAnswer::Events { changes, revision } => {
                self.retry_delay = INITIAL_RETRY_DELAY;
                self.phase = Phase::Watch(revision);
                if !changes.is_empty() {
                    self.pace_calls(now, changes.len());
                }
                self.remember(&changes, revision);
                changes
            }
            ObjectAnswer::HistoryDiscarded => {
                self.phase = initial_phase();
                Vec::new()
            }
            ObjectAnswer::Unavailable => {
                self.retry_at = Some(now + self.retry_delay);
                self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
                Vec::new()
            }
        }
    }

    /// Rejects an answer of a former era, and one that does not continue the era of its call.
    fn check_era(&mut self, answer: ObjectAnswer) -> ObjectAnswer {
        let continued_era = self.continued_era.take();
        let Some(era) = answer.era() else {
            return answer;
        };
        if era < self.era {
            return ObjectAnswer::Unavailable;
        }
        if era > self.era {
            self.enter_era(era);
        }
        if continued_era.is_some_and(|continued| continued != era) {
            return ObjectAnswer::HistoryDiscarded;
        }
        answer
    }

    /// Returns what another VM has to be told that knows the objects up to a revision; `None` if
    /// this VM knows nothing newer.
    pub fn update_since(&self, known_revision: StoreRevision) -> Option<StoreUpdate> {
        let is_newer = |own: &StoreRevision| own.era == self.era && *own > known_revision;
        let revision = self.revision().filter(is_newer)?;
        let since = (known_revision >= self.history_from).then_some(known_revision);
        let is_needed = |object: &&KnownObject| match since {
            Some(since) => object.learned_at_revision > since,
            None => object.change.value.is_some(),
        };
        let needed = self.known.values().filter(is_needed);
        let needed = needed.map(|object| &object.change);
        let entries: usize = needed.clone().map(ObjectChange::entry_count).sum();
        Some(StoreUpdate {
            kind: self.kind,
            since,
            revision,
            changes: (entries <= MAX_RELAYED_ENTRIES).then(|| needed.cloned().collect()),
        })
    }

    /// Takes over what another VM has passed on and returns the resulting changes. An update that
    /// is older than what this VM knows, or that does not follow on it, changes nothing.
    pub fn apply(&mut self, update: StoreUpdate) -> Vec<ObjectChange> {
        let follows_on = |revision: StoreRevision| {
            update
                .since
                .is_none_or(|since| since.era == revision.era && since <= revision)
        };
        let is_next = self
            .revision()
            .is_some_and(|revision| update.revision > revision && follows_on(revision));
        if !is_next || update.revision.era < self.era {
            return Vec::new();
        }
        self.era = update.revision.era;
        let Some(mut changes) = update.changes else {
            self.required_revision = update.revision;
            return Vec::new();
        };
        if update.since.is_none() {
            changes = self.complete(changes, update.revision);
        } else {
            self.remember(&changes, update.revision);
        }
        self.phase = Phase::Watch(update.revision);
        self.is_call_outdated = self.is_call_in_progress;
        changes
    }

    fn remember(&mut self, changes: &[ObjectChange], revision: StoreRevision) {
        for change in changes {
            let object = KnownObject {
                change: change.clone(),
                learned_at_revision: revision,
            };
            self.known.insert(change.name.clone(), object);
        }
        let is_present = |object: &KnownObject| object.change.value.is_some();
        let removed = self.known.values().filter(|object| !is_present(object));
        if removed.count() > MAX_REMOVED_OBJECTS {
            self.known.retain(|_, object| is_present(object));
            self.history_from = revision;
        }
    }

    /// Replaces all known objects by those of a complete list, and returns the changes, which
    /// include the removal of the objects that are not in the list. In the first list of an era these
    /// removals have revisions of the former era, since only the copy explains them.
    fn complete(
        &mut self,
        listed: Vec<ObjectChange>,
        revision: StoreRevision,
    ) -> Vec<ObjectChange> {
        let known = std::mem::take(&mut self.known);
        self.remember(&listed, revision);
        self.history_from = revision;
        self.listed_era = revision.era;
        let is_gone = |object: &KnownObject| {
            object.change.value.is_some() && !self.known.contains_key(&object.change.name)
        };
        let gone = known.into_values().filter(is_gone);
        let gone = gone.map(|KnownObject { change, .. }| ObjectChange {
            revision: match change.revision.era < revision.era {
                true => change.revision,
                false => revision,
            },
            value: None,
            ..change
        });
        gone.chain(listed).collect()
    }

    /// Delays the next call if changes arrive in quick succession. Changes that were returned together
    /// count as well, since further ones are likely to follow.
    fn pace_calls(&mut self, now: MonoTime, changes: usize) {
        let elapsed = now.since(self.single_changes_at).as_millis();
        let gained = elapsed / CHANGE_INTERVAL.as_millis();
        if gained > 0 {
            let gained = u32::try_from(gained).unwrap_or(u32::MAX);
            self.single_changes = self
                .single_changes
                .saturating_add(gained)
                .min(MAX_SINGLE_CHANGES);
            self.single_changes_at = now;
        }
        let changes = u32::try_from(changes).unwrap_or(u32::MAX);
        match self.single_changes.checked_sub(changes) {
            Some(rest) => self.single_changes = rest,
            None => {
                self.single_changes = 0;
                self.retry_at = Some(now + CHANGE_INTERVAL);
                self.single_changes_at = now + CHANGE_INTERVAL;
            }
        }
    }

    fn apply_page(
        &mut self,
        objects: Vec<ObjectChange>,
        next_after: Option<String>,
        page_revision: StoreRevision,
    ) -> Vec<ObjectChange> {
        let Phase::List {
            after,
            revision,
            listed,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        // Changes made after the first page was read may be missing from that page. The watch
        // starts from the revision of the first page, so it delivers them.
        let first_revision = *revision.get_or_insert(page_revision);
        listed.extend(objects);
        if next_after.is_some() {
            *after = next_after;
            return Vec::new();
        }
        let listed = std::mem::take(listed);
        let changes = self.complete(listed, first_revision);
        self.phase = Phase::Watch(first_revision);
        self.is_loaded = true;
        changes
    }
}

fn initial_phase() -> Phase {
    Phase::List {
        after: None,
        revision: None,
        listed: Vec::new(),
    }
}
