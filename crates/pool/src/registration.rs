//! Records this VM in the store, and decides when it is ready to accept callers.

use std::time::Duration;

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::commit_holders::HOLDERS_RECORD_PREFIX;
use crate::event::PoolAction;
use crate::event::WriteOutcome;
use crate::pool::Pool;
use crate::roster::FleetRecord;
use crate::roster::MESSAGE_VERSION;
use crate::store::ObjectChange;
use crate::store::ObjectKind;
use crate::store::ObjectValue;
use crate::store_revision::StoreRevision;
use crate::store_watcher::StoreWatcher;
use crate::usage_duty::USAGE_RECORD;

pub(crate) const VM_RECORD_PREFIX: &str = "vm.";

pub(crate) const GROUP_RECORD_PREFIX: &str = "group.";

/// Delay between attempts to record this VM in the store.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after the first record of a VM at which it reads those of the others. At the start of the
/// whole fleet they register meanwhile, so that one read suffices.
const FIRST_ROSTER_READ_DELAY: Duration = Duration::from_secs(1);

/// The longest time that this read waits for the outcome of the write.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an operation waits for a rate token shortly after the start of the VM. The VM's buckets
/// begin empty, and after a restart of all VMs no VM has tokens to lend; most tokens arrive within
/// this time.
const STARTUP_TOKEN_TIMEOUT: Duration = Duration::from_millis(600);

/// How long after its start a VM applies `STARTUP_TOKEN_TIMEOUT`.
const STARTUP_INTERVAL: Duration = Duration::from_secs(3);

impl Pool {
    /// Records this VM in the store.
    pub(crate) fn register(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let name = format!("{VM_RECORD_PREFIX}{}", self.settings.vm);
        let expected = self.record_revision(&name);
        self.registration_due = Some(now + REGISTRATION_RETRY_DELAY);
        if self.record_revisions.is_empty() {
            self.delay_roster_read(now + FIRST_WRITE_TIMEOUT);
        }
        let record = self.own_record();
        actions.push(PoolAction::WriteRecord {
            name,
            record,
            expected,
        });
    }

    /// Delays the first read of the records of the fleet, if it has not been made.
    fn delay_roster_read(&mut self, until: MonoTime) {
        let fleet = self.store_watchers.get_mut(&ObjectKind::Fleet);
        if let Some(fleet) = fleet.filter(|fleet| !fleet.is_loaded()) {
            fleet.delay_call(until);
        }
    }

    fn own_record(&self) -> FleetRecord {
        FleetRecord::Vm {
            incarnation: self.settings.incarnation,
            address: self.settings.peer_address,
            accepts_forwarded: true,
            data_centre: Some(self.settings.data_centre.clone()),
            message_version: MESSAGE_VERSION,
        }
    }

    fn apply_own_record(
        &mut self,
        now: MonoTime,
        name: &str,
        revision: StoreRevision,
        actions: &mut Vec<PoolAction>,
    ) {
        let change = ObjectChange {
            name: name.to_owned(),
            revision,
            value: Some(ObjectValue::Fleet(self.own_record())),
        };
        self.record_is_written(name);
        if self.apply_record(now, change, actions) {
            self.update_rates_roster(now, actions);
        }
    }

    pub(crate) fn record_written(
        &mut self,
        now: MonoTime,
        name: &str,
        outcome: WriteOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let outcome = self.check_outcome_era(now, outcome, actions);
        if name == USAGE_RECORD {
            return self.usage_record_written(now, outcome, actions);
        }
        if let WriteOutcome::Conflict { revision, record } = &outcome {
            match record {
                Some(_) => self.record_revisions.insert(name.to_owned(), *revision),
                None => self.record_revisions.remove(name),
            };
        }
        match &outcome {
            WriteOutcome::Conflict {
                record: Some(record),
                ..
            } => self.note_requested_promotion(name, record, false),
            WriteOutcome::Written(revision) if name.starts_with(GROUP_RECORD_PREFIX) => {
                let known = self.record_revisions.entry(name.to_owned());
                let known = known.or_insert(*revision);
                *known = (*known).max(*revision);
            }
            _ => {}
        }
        self.relay.is_own_path_lost = outcome == WriteOutcome::Unknown;
        if let Some(group) = name.strip_prefix(GROUP_RECORD_PREFIX) {
            let group = GroupId::from(group);
            return self.claim_answered(now, &group, outcome, actions);
        }
        if let Some(group) = name.strip_prefix(HOLDERS_RECORD_PREFIX) {
            let group = GroupId::from(group);
            return self.holders_written(now, &group, &outcome, actions);
        }
        let is_own = name.strip_prefix(VM_RECORD_PREFIX) == Some(self.settings.vm.as_str());
        let revision_is_known = self.record_revisions.contains_key(name);
        match outcome {
            WriteOutcome::Written(revision) if is_own => {
                self.delay_roster_read(now + FIRST_ROSTER_READ_DELAY);
                // The watch may report the change later, together with others.
                self.apply_own_record(now, name, revision, actions);
            }
            WriteOutcome::Conflict { .. } if is_own && revision_is_known => {
                // The VM has restarted, and the others are registered. The next attempt uses the
                // revision that the conflict reported.
                self.delay_roster_read(now);
                self.register(now, actions);
            }
            _ if is_own => self.delay_roster_read(now),
            _ => {}
        }
        self.update_readiness(now, actions);
    }

    /// Returns the name of a group's record and its last known revision.
    pub(crate) fn group_record(&self, group: &GroupId) -> (String, Option<StoreRevision>) {
        let name = format!("{GROUP_RECORD_PREFIX}{group}");
        let revision = self.record_revision(&name);
        (name, revision)
    }

    /// Returns the name of a VM's record and its last known revision.
    pub(crate) fn vm_record(&self, vm: &VmId) -> (String, Option<StoreRevision>) {
        let name = format!("{VM_RECORD_PREFIX}{vm}");
        let revision = self.record_revision(&name);
        (name, revision)
    }

    /// Returns the last known revision of a record in the present era of the store.
    pub(crate) fn record_revision(&self, name: &str) -> Option<StoreRevision> {
        let revision = self.record_revisions.get(name).copied();
        revision.filter(|revision| revision.era == self.store_era())
    }

    pub(crate) fn update_readiness(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let fleet_loaded = self
            .store_watchers
            .get(&ObjectKind::Fleet)
            .is_some_and(|fleet| fleet.is_loaded() && fleet.is_current());
        let own = self.roster.get(&self.settings.vm);
        let is_registered = own.is_some_and(|vm| vm.incarnation == self.settings.incarnation)
            && !self.lacks_own_record();
        if is_registered {
            self.registration_due = None;
        } else if fleet_loaded && self.registration_due.is_none() && self.stop.is_none() {
            self.register(now, actions);
        }
        let is_loaded = self.store_watchers.values().all(StoreWatcher::is_loaded);
        let is_ready = is_loaded && is_registered && self.config.version > 0;
        if is_ready && !self.is_ready && self.stop.is_none() {
            self.is_ready = true;
            self.rates.set_max_wait(STARTUP_TOKEN_TIMEOUT);
            self.startup_ends_at = Some(now + STARTUP_INTERVAL);
            actions.push(PoolAction::SetReady(true));
        }
    }
}
