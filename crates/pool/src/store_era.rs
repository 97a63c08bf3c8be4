//! What a VM does when the platform's store comes back from an older copy.
//!
//! The store counts its eras. What it acknowledged after the copy was made is gone, and it gives out
//! the same revisions again, so revisions are compared together with their era. A VM learns of a new
//! era from any answer of the store, from its relay, from a follower or from the news of a promotion.
//! It then drops its claims and lists everything again. What the copy lacks stays in use for as long
//! as its writer may need to write it again: members and operators write their objects themselves, and
//! the record of a VM is written by that VM, or by the one that monitors it.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::event::PoolAction;
use crate::event::WriteOutcome;
use crate::pool::Pool;
use crate::registration::VM_RECORD_PREFIX;
use crate::report::Report;
use crate::roster::FleetRecord;
use crate::store::ObjectAnswer;
use crate::store::ObjectChange;
use crate::store::ObjectKind;
use crate::store_revision::StoreRevision;
use crate::store_watcher::StoreWatcher;

/// The version of the messages between VMs that contain the era of the store.
pub(crate) const STORE_ERA_VERSION: u32 = 1;

/// Time for members to write their entries again. They do so within about two seconds.
const MEMBER_REWRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for operators to write again that a data centre is taken out of service. Statements that are
/// sent there too early break a promise to the operators; those that are sent elsewhere for too long
/// only find less room.
const EVACUATION_REWRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for a VM to write its own record again, before the VM that monitors it does.
const RECORD_REWRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The era of the store, and the objects that are in use although its copy lacks them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RestoredStore {
    /// The latest known era; `None` before the first answer.
    era: Option<u64>,
    /// The objects that are missing in the copy, and how long they may be.
    missing: BTreeMap<(ObjectKind, String), MonoTime>,
}

fn rewrite_timeout(kind: ObjectKind) -> Duration {
    match kind {
        ObjectKind::Members => MEMBER_REWRITE_TIMEOUT,
        ObjectKind::Evacuations | ObjectKind::Configuration => EVACUATION_REWRITE_TIMEOUT,
        ObjectKind::Fleet => RECORD_REWRITE_TIMEOUT,
    }
}

impl Pool {
    /// Returns the latest known era of the store.
    pub(crate) fn store_era(&self) -> u64 {
        self.restored.era.unwrap_or_default()
    }

    /// Begins an era that was not known: drops the claims of the former one and reads everything
    /// again.
    pub(crate) fn note_store_era(
        &mut self,
        now: MonoTime,
        era: u64,
        actions: &mut Vec<PoolAction>,
    ) {
        if self.restored.era.is_some_and(|known| known >= era) {
            return;
        }
        let former = self.restored.era.replace(era);
        for watcher in self.store_watchers.values_mut() {
            watcher.enter_era(era);
        }
        if former.is_none() {
            return;
        }
        actions.push(PoolAction::Report(Report::StoreRestored { era }));
        for (group, state) in &mut self.groups {
            state.failover.drop_claim(now, group, actions);
        }
        self.end_usage_of_era(actions);
        for ((kind, _), until) in &mut self.restored.missing {
            *until = now + rewrite_timeout(*kind);
        }
        // The store may keep a call of the former era waiting for a revision that it gives out again.
        let mut watchers = self.store_watchers.values();
        if watchers.any(StoreWatcher::waits_in_former_era) {
            actions.push(PoolAction::ReconnectStore);
        }
    }

    /// Returns an answer of the store, or none if it is of a former era.
    pub(crate) fn check_answer_era(
        &mut self,
        now: MonoTime,
        answer: ObjectAnswer,
        actions: &mut Vec<PoolAction>,
    ) -> ObjectAnswer {
        let Some(era) = answer.era() else {
            return answer;
        };
        self.note_store_era(now, era, actions);
        if era < self.store_era() {
            return ObjectAnswer::Unavailable;
        }
        answer
    }

    /// Returns the outcome of a write, which is unknown if its answer is of a former era: what was
    /// written may be lost again.
    pub(crate) fn check_outcome_era(
        &mut self,
        now: MonoTime,
        outcome: WriteOutcome,
        actions: &mut Vec<PoolAction>,
    ) -> WriteOutcome {
        let (WriteOutcome::Written(revision) | WriteOutcome::Conflict { revision, .. }) = &outcome
        else {
            return outcome;
        };
        let era = revision.era;
        self.note_store_era(now, era, actions);
        if era < self.store_era() {
            return WriteOutcome::Unknown;
        }
        outcome
    }

    /// Returns whether the records of the fleet have been read in the present era.
    pub(crate) fn knows_records_of_era(&self) -> bool {
        let fleet = self.store_watchers.get(&ObjectKind::Fleet);
        fleet.is_some_and(|fleet| fleet.is_loaded() && fleet.is_current())
    }

    /// Returns whether a change is the removal of an object that the copy lacks and that stays in use.
    pub(crate) fn is_missing_in_copy(
        &mut self,
        now: MonoTime,
        kind: ObjectKind,
        change: &ObjectChange,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let is_missing = change.value.is_none() && change.revision.era < self.store_era();
        let is_claim = kind == ObjectKind::Fleet && !change.name.starts_with(VM_RECORD_PREFIX);
        let key = (kind, change.name.clone());
        if !is_missing || is_claim {
            self.restored.missing.remove(&key);
            return false;
        }
        let (kind, name) = key.clone();
        let report = Report::RestoredObjectMissing { kind, name };
        actions.push(PoolAction::Report(report));
        let until = now + rewrite_timeout(kind);
        self.restored.missing.insert(key, until);
        true
    }

    /// Notes that the copy has an older record of a VM, which will be replaced.
    pub(crate) fn expect_record(&mut self, now: MonoTime, name: String) {
        let until = now + RECORD_REWRITE_TIMEOUT;
        let key = (ObjectKind::Fleet, name);
        self.restored.missing.insert(key, until);
    }

    /// Notes that a record has been written in the present era.
    pub(crate) fn record_is_written(&mut self, name: &str) {
        let key = (ObjectKind::Fleet, name.to_owned());
        self.restored.missing.remove(&key);
    }

    /// Returns whether the record of this VM has to be written again.
    pub(crate) fn lacks_own_record(&self) -> bool {
        let name = format!("{VM_RECORD_PREFIX}{}", self.settings.vm);
        let key = (ObjectKind::Fleet, name);
        self.restored.missing.contains_key(&key)
    }

    /// Gives up the objects that were not written again in time, and writes the record of the VM that
    /// this one monitors.
    pub(crate) fn check_missing_objects(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let due = self.restored.missing.iter();
        let due = due.filter(|(_, until)| **until <= now);
        for key in due.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            match key.0 {
                ObjectKind::Fleet => self.rewrite_record(now, key, actions),
                _ => self.drop_missing(now, key, actions),
            }
        }
    }

    fn drop_missing(
        &mut self,
        now: MonoTime,
        key: (ObjectKind, String),
        actions: &mut Vec<PoolAction>,
    ) {
        self.restored.missing.remove(&key);
        let (kind, name) = key;
        let report = Report::RestoredObjectDropped {
            kind,
            name: name.clone(),
        };
        actions.push(PoolAction::Report(report));
        let change = ObjectChange {
            name,
            revision: StoreRevision::new(self.store_era(), 0),
            value: None,
        };
        self.apply_changes(now, kind, vec![change], actions);
    }

    fn rewrite_record(
        &mut self,
        now: MonoTime,
        key: (ObjectKind, String),
        actions: &mut Vec<PoolAction>,
    ) {
        let vm = key.1.strip_prefix(VM_RECORD_PREFIX).map(VmId::from);
        let Some((vm, entry)) = vm.and_then(|vm| Some((vm.clone(), self.roster.get(&vm)?.clone())))
        else {
            self.restored.missing.remove(&key);
            return;
        };
        let is_monitored = self.roster.next_after(&self.settings.vm).as_ref() == Some(&vm);
        if is_monitored
            && self.stop.is_none()
            && !self.is_store_lost()
            && self.knows_records_of_era()
        {
            let (name, expected) = self.vm_record(&vm);
            actions.push(PoolAction::WriteRecord {
                name,
                record: FleetRecord::from(entry),
                expected,
            });
        }
        self.restored
            .missing
            .insert(key, now + RECORD_REWRITE_TIMEOUT);
    }
}
