//! Finds watches whose response is lost.
//!
//! A connection on which the store has lost a response returns nothing further, so a watch on it waits
//! in vain although the store answers other calls. Short waits would find this at the cost of a call for
//! each kind of object, wait and VM. Instead one relay at a time asks for the revision of the store and
//! tells the other relays. Each change has a revision of its own, so a VM to which changes with all
//! revisions up to this one have been returned has missed none. Otherwise it reads the changes of each
//! kind once without waiting. Changes among them show that the response to the watch is lost.

use std::collections::BTreeSet;
use std::time::Duration;

use lycheedoor_core::types::MonoTime;

use crate::event::PoolAction;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::report::Report;
use crate::store::ObjectAnswer;
use crate::store::ObjectCall;
use crate::store::ObjectChange;
use crate::store::ObjectKind;
use crate::store_revision::StoreRevision;
use crate::store_watcher::StoreWatcher;

/// The version of the messages between VMs that tell the revision of the store.
pub(crate) const STORE_REVISION_VERSION: u32 = 2;

/// Time from one answer with the revision of the store to the next question. Together with the time
/// for the watches it stays below the time in which a configuration has to take effect.
const QUESTION_INTERVAL: Duration = Duration::from_millis(1_800);

/// Delay between the questions of relays of successive ranks, in which the answer of the first one
/// reaches the others.
const DELAY_PER_RANK: Duration = Duration::from_millis(40);

/// The rank from which on relays ask at the same time.
const MAX_RANK: u32 = 8;

/// Time for watches to return the changes up to a revision that the store is known to have reached.
const WATCH_TIMEOUT: Duration = Duration::from_millis(200);

/// The same while the next watch of a kind is delayed.
const DELAYED_WATCH_TIMEOUT: Duration = Duration::from_millis(700);

/// Time from the first watch after a while without one to the first question.
const FIRST_QUESTION_DELAY: Duration = Duration::from_millis(500);

/// Time for a probe, before a call that got no answer is made again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Largest number of revisions that are remembered while those before them are unknown.
const MAX_RETURNED_REVISIONS: usize = 4_096;

/// The progress of the checks of one VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct WatchChecks {
    next_question_at: MonoTime,
    /// Whether a call of a check has not been answered.
    is_call_in_progress: bool,
    /// A revision that the store has reached, and when this VM learned of it.
    reached: Option<(StoreRevision, MonoTime)>,
    /// The kind that is being checked, and the revision from which its watch continues.
    checked: Option<(ObjectKind, StoreRevision)>,
    /// The revision up to which all changes are known.
    complete_until: StoreRevision,
    /// The revisions after `complete_until` of changes that are known.
    returned: BTreeSet<u64>,
}

impl WatchChecks {
    /// Records the revisions of changes that the store or a relay has returned.
    pub(crate) fn note_returned(&mut self, changes: &[ObjectChange]) {
        for revision in changes.iter().map(|change| change.revision) {
            if revision.era != self.complete_until.era {
                continue;
            }
            if revision > self.complete_until {
                self.returned.insert(revision.revision);
            }
            if self.returned.len() > MAX_RETURNED_REVISIONS {
                self.returned.pop_first();
            }
        }
    }

    /// Returns whether all changes up to a revision are known, given that each kind of object is known
    /// up to `known_of_all`.
    fn is_complete(&mut self, known_of_all: StoreRevision, reached: StoreRevision) -> bool {
        if known_of_all.era != self.complete_until.era {
            self.returned.clear();
        }
        self.complete_until = self.complete_until.max(known_of_all);
        while self.returned.contains(&self.complete_until.next().revision) {
            self.complete_until = self.complete_until.next();
        }
        self.returned = self
            .returned
            .split_off(&self.complete_until.next().revision);
        self.complete_until >= reached
    }
}

impl Pool {
    fn needs_watch_checks(&self) -> bool {
        !self.waits_for_probe()
            && self
                .store_watchers
                .values()
                .any(StoreWatcher::awaits_changes)
    }

    /// Returns when the kinds of object have to be checked after the store has reached a revision.
    fn check_due_at(&self, learned_at: MonoTime) -> MonoTime {
        let mut watchers = self.store_watchers.values();
        if watchers.any(StoreWatcher::is_delayed) {
            return learned_at + DELAYED_WATCH_TIMEOUT;
        }
        let called = self.store_watchers.values().map(StoreWatcher::called_at);
        called.fold(learned_at, MonoTime::max) + WATCH_TIMEOUT
    }

    /// Returns when [`Pool::run_watch_checks`] has to be called next.
    pub(crate) fn next_watch_check(&self) -> Option<MonoTime> {
        let checks = &self.watch_checks;
        let is_idle = !checks.is_call_in_progress && self.needs_watch_checks();
        is_idle.then(|| match checks.reached {
            Some((_, learned_at)) => self.check_due_at(learned_at),
            None => checks.next_question_at,
        })
    }

    /// Asks for the revision of the store, or for the changes of a kind whose watch may be lost.
    pub(crate) fn run_watch_checks(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if self.watch_checks.is_call_in_progress {
            return;
        }
        if !self.needs_watch_checks() {
            self.watch_checks.reached = None;
            self.watch_checks.next_question_at = now + FIRST_QUESTION_DELAY;
            return;
        }
        let check = match self.watch_checks.reached {
            Some((_, learned_at)) if now < self.check_due_at(learned_at) => return,
            Some((reached, _)) => self.next_kind_check(reached),
            None => None,
        };
        let call = match check {
            Some(check) => check,
            None => {
                self.watch_checks.reached = None;
                if now < self.watch_checks.next_question_at {
                    return;
                }
                ObjectCall::Revision
            }
        };
        self.watch_checks.is_call_in_progress = true;
        actions.push(PoolAction::ReadObjects(call));
    }

    /// Returns the call that checks the next kind of object which may have changed up to a revision.
    fn next_kind_check(&mut self, reached: StoreRevision) -> Option<ObjectCall> {
        let known = self.store_watchers.values().map(StoreWatcher::known_until);
        let known_of_all = known.min().unwrap_or_default();
        if self.watch_checks.is_complete(known_of_all, reached) {
            return None;
        }
        let mut watchers = self.store_watchers.iter();
        let (kind, revision) = watchers
            .find_map(|(kind, watcher)| Some((*kind, watcher.unreturned_since(reached)?)))?;
        self.watch_checks.checked = Some((kind, revision));
        Some(ObjectCall::Check { kind, revision })
    }

    /// Handles the answer to the question for the revision of the store; `None` if there was none.
    pub(crate) fn store_revision_read(
        &mut self,
        now: MonoTime,
        revision: Option<StoreRevision>,
        actions: &mut Vec<PoolAction>,
    ) {
        self.watch_checks.is_call_in_progress = false;
        let Some(revision) = revision else {
            return self.watch_check_failed(now, actions);
        };
        self.own_call_answered(now, actions);
        self.store_reached(now, revision, actions);
        for relay in self.other_relays() {
            let message = PoolMessage::StoreReached { revision };
            self.send_peer(&relay, message, actions);
        }
        self.update_followers(now, actions);
    }

    /// Notes that the store has reached a revision, which this VM or another one has read.
    pub(crate) fn store_reached(
        &mut self,
        now: MonoTime,
        revision: StoreRevision,
        actions: &mut Vec<PoolAction>,
    ) {
        self.note_store_era(now, revision.era, actions);
        if revision.era < self.store_era() {
            return;
        }
        let rank = self.relay_rank().min(MAX_RANK);
        self.watch_checks.next_question_at = now + QUESTION_INTERVAL + DELAY_PER_RANK * rank;
        self.watch_checks.reached = Some((revision, now));
    }

    /// Handles the changes of a kind that were read without waiting. If there are any, the watch has
    /// not returned them, so they are applied and the watch is sent again over a new connection.
    pub(crate) fn objects_checked(
        &mut self,
        now: MonoTime,
        kind: ObjectKind,
        answer: ObjectAnswer,
        actions: &mut Vec<PoolAction>,
    ) {
        self.watch_checks.is_call_in_progress = false;
        let Some((_, since)) = self.watch_checks.checked.take() else {
            return;
        };
        let answer = self.check_answer_era(now, answer, actions);
        if answer == ObjectAnswer::Unavailable {
            return self.watch_check_failed(now, actions);
        }
        self.own_call_answered(now, actions);
        let Some(watcher) = self.store_watchers.get_mut(&kind) else {
            return;
        };
        // The watch may have been answered in the meantime.
        if watcher.revision() != Some(since) || !watcher.awaits_changes() {
            return;
        }
        match answer {
            ObjectAnswer::Events { changes, revision }
                if changes.is_empty() && revision.era == since.era =>
            {
                watcher.confirm_unchanged(revision);
            }
            answer => {
                watcher.abandon_call();
                actions.push(PoolAction::AbandonRead { kind });
                let report = Report::WatchLost { kind, since };
                actions.push(PoolAction::Report(report));
                self.objects_read(now, kind, answer, actions);
            }
        }
    }

    /// Lets a probe find out whether the store can be reached, before the question is asked again.
    fn watch_check_failed(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        self.watch_checks.reached = None;
        self.watch_checks.next_question_at = now + RETRY_DELAY;
        self.probe_failed(now, actions);
    }
}
