//! Applies changes read from the store: to the configuration, the members, the evacuated data
//! centres and the records of the fleet.

use std::sync::Arc;

use lycheedoor_core::rates::RateDistribution;
use lycheedoor_core::rates::RatesEvent;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::commit_holders::HOLDERS_RECORD_PREFIX;
use crate::event::PoolAction;
use crate::event::WriteOutcome;
use crate::home::RATE_PER_HOME_PER_S;
use crate::home::cell_count;
use crate::member::Member;
use crate::member::MemberEntry;
use crate::pool::Pool;
use crate::registration::GROUP_RECORD_PREFIX;
use crate::registration::VM_RECORD_PREFIX;
use crate::report::Report;
use crate::roster::FleetRecord;
use crate::roster::RosterVm;
use crate::store::ObjectAnswer;
use crate::store::ObjectChange;
use crate::store::ObjectKind;
use crate::store::ObjectValue;
use crate::store_revision::StoreRevision;

impl Pool {
    pub(crate) fn objects_read(
        &mut self,
        now: MonoTime,
        kind: ObjectKind,
        answer: ObjectAnswer,
        actions: &mut Vec<PoolAction>,
    ) {
        let answer = self.check_answer_era(now, answer, actions);
        if answer == ObjectAnswer::Unavailable {
            self.note_store_failure(now);
        } else {
            self.own_call_answered(now, actions);
        }
        let Some(watcher) = self.store_watchers.get_mut(&kind) else {
            return;
        };
        let changes = watcher.answered(now, answer);
        self.apply_changes(now, kind, changes, actions);
        self.update_followers(now, actions);
    }

    /// Records that a read from the store got no usable answer.
    pub(crate) fn note_store_failure(&mut self, now: MonoTime) {
        self.store_lost_since.get_or_insert(now);
        self.schedule_probe(now);
    }

    /// Records that the store has answered this VM or its relay at a time.
    pub(crate) fn note_store_answer(
        &mut self,
        now: MonoTime,
        answered_at: MonoTime,
        actions: &mut Vec<PoolAction>,
    ) {
        self.store_answered_at = answered_at;
        self.successor_monitor.store_answered();
        if let Some(since) = self.store_lost_since.take() {
            let outage = now.since(since);
            actions.push(PoolAction::Report(Report::StoreBack { outage }));
        }
    }

    /// Applies changes that were read from the store or passed on by another VM.
    pub(crate) fn apply_changes(
        &mut self,
        now: MonoTime,
        kind: ObjectKind,
        changes: Vec<ObjectChange>,
        actions: &mut Vec<PoolAction>,
    ) {
        self.watch_checks.note_returned(&changes);
        let mut roster_changed = false;
        for change in changes {
            if self.is_missing_in_copy(now, kind, &change, actions) {
                continue;
            }
            match kind {
                ObjectKind::Configuration => self.apply_configuration(now, change, actions),
                ObjectKind::Members => self.apply_member(now, change, actions),
                ObjectKind::Evacuations => {
                    let data_centre = DataCentreId::from(change.name.as_str());
                    match change.value {
                        Some(_) => self.evacuated.insert(data_centre),
                        None => self.evacuated.remove(&data_centre),
                    };
                    self.homes_by_group.clear();
                }
                ObjectKind::Fleet => roster_changed |= self.apply_record(now, change, actions),
            }
        }
        if roster_changed {
            self.update_rates_roster(now, actions);
        }
        self.update_readiness(now, actions);
    }

    fn apply_configuration(
        &mut self,
        now: MonoTime,
        change: ObjectChange,
        actions: &mut Vec<PoolAction>,
    ) {
        match change.value {
            Some(ObjectValue::Config(new_config)) if new_config.version > self.config.version => {
                let version = new_config.version;
                self.config = new_config;
                self.highest_priorities = self.config.highest_priorities();
                let rates_config = Arc::new(self.config.rates_config());
                self.rates.set_distribution(RateDistribution::Concentrated {
                    rate_per_slot: RATE_PER_HOME_PER_S,
                    cells: cell_count(&self.config),
                });
                self.run_rates(now, RatesEvent::Configured(rates_config), actions);
                self.homes_by_group.clear();
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
                return self.member_entry_missing(now, &change.name, revision, actions);
            }
            _ => return self.member_entry_missing(now, &change.name, revision, actions),
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
            Some(member)
                if member.entry.address == entry.address
                    || member.has_started_after(&entry, revision) =>
            {
                member.update(entry.clone(), revision, now);
            }
            known => {
                let address_changed = known.is_some();
                let member = Member::new(entry.clone(), revision, now);
                group.members.insert(id.clone(), member);
                if address_changed {
                    self.close_links_of(now, &entry.group, &id, actions);
                }
            }
        }
        self.homes_by_group.remove(&entry.group);
        self.refresh_group(now, &entry.group, actions);
        self.dispatch_group(now, &entry.group, actions);
    }

    fn member_entry_missing(
        &mut self,
        now: MonoTime,
        name: &str,
        revision: StoreRevision,
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

    /// Removes the members whose entry is missing and that no longer answer, then determines the
    /// primary again.
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
            group.remove_member(now, member);
            self.homes_by_group.remove(id);
        }
        if let Some(evidence) = group.update_primary(now) {
            self.homes_by_group.remove(id);
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

    pub(crate) fn apply_record(
        &mut self,
        now: MonoTime,
        change: ObjectChange,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let known = self
            .record_revisions
            .get(&change.name)
            .copied()
            .unwrap_or_default();
        if change.revision < known {
            return false;
        }
        let may_be_older = change.revision.era > known.era;
        match &change.value {
            Some(_) => self
                .record_revisions
                .insert(change.name.clone(), change.revision),
            None => self.record_revisions.remove(&change.name),
        };
        if let Some(group) = change.name.strip_prefix(HOLDERS_RECORD_PREFIX) {
            self.apply_holders_record(group, change.value.as_ref(), may_be_older);
        }
        let vm = change.name.strip_prefix(VM_RECORD_PREFIX).map(VmId::from);
        match (vm, change.value) {
            (
                Some(vm),
                Some(ObjectValue::Fleet(FleetRecord::Vm {
                    incarnation,
                    address,
                    accepts_forwarded,
                    data_centre,
                    message_version,
                })),
            ) => {
                let entry = RosterVm {
                    incarnation,
                    address,
                    accepts_forwarded,
                    data_centre,
                    message_version,
                };
                let former = self.roster.get(&vm).map(|former| former.incarnation);
                if may_be_older && former.is_some_and(|former| former > incarnation) {
                    self.expect_record(now, change.name);
                    return false;
                }
                if let Some(former) = former.filter(|former| *former != incarnation) {
                    self.drop_transactions_of(now, &vm, former, actions);
                }
                self.roster.set(vm, entry, change.revision)
            }
            (Some(vm), None) => self.roster.remove(&vm, change.revision),
            (_, Some(ObjectValue::Unusable(error))) => {
                report_unusable(ObjectKind::Fleet, change.name, error, actions);
                false
            }
            (None, Some(ObjectValue::Fleet(record))) => {
                self.note_requested_promotion(&change.name, &record, may_be_older);
                self.apply_promotion_record(&change.name, &record, change.revision, actions);
                false
            }
            _ => false,
        }
    }

    fn apply_holders_record(
        &mut self,
        group: &str,
        value: Option<&ObjectValue>,
        may_be_older: bool,
    ) {
        let record = match value {
            Some(ObjectValue::Fleet(FleetRecord::CommitHolders(record))) => Some(record),
            None => None,
            Some(_) => return,
        };
        // The record is needed although no member may be registered at present.
        let group = self.groups.entry(GroupId::from(group)).or_default();
        group.holders.record_read(record, may_be_older);
    }

    /// Takes over which promotion may still take effect. A record that may be older than what is known,
    /// since the store has come back from a copy, ends none.
    pub(crate) fn note_requested_promotion(
        &mut self,
        name: &str,
        record: &FleetRecord,
        may_be_older: bool,
    ) {
        let FleetRecord::Promotion { requested, .. } = record else {
            return;
        };
        let Some(group) = name.strip_prefix(GROUP_RECORD_PREFIX) else {
            return;
        };
        match (self.groups.get_mut(group), requested) {
            (Some(_), None) if may_be_older => {}
            (Some(state), requested) => state.requested_promotion.clone_from(requested),
            // The record is needed although no member may be known yet.
            (None, Some(requested)) => {
                let state = self.groups.entry(GroupId::from(group)).or_default();
                state.requested_promotion = Some(requested.clone());
            }
            (None, None) => {}
        }
    }

    fn apply_promotion_record(
        &mut self,
        name: &str,
        record: &FleetRecord,
        revision: StoreRevision,
        actions: &mut Vec<PoolAction>,
    ) {
        let FleetRecord::Promotion {
            holder,
            incarnation,
            sequence,
            ..
        } = record
        else {
            return;
        };
        let Some(group) = name.strip_prefix(GROUP_RECORD_PREFIX) else {
            return;
        };
        let is_own = *holder == self.settings.vm;
        let is_of_this_process = is_own && *incarnation == self.settings.incarnation;
        let now = self.last_event_at;
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        if is_of_this_process && state.failover.awaits_claim(*sequence) {
            // The answer to the write may be lost.
            let outcome = WriteOutcome::Written(revision);
            return self.claim_answered(now, &GroupId::from(group), outcome, actions);
        }
        state.failover.claim_seen(now, revision, is_own);
    }

    pub(crate) fn update_rates_roster(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let view = self.roster.view(&self.settings.vm, now);
        self.rates.set_slot_owners(self.roster.slot_owners());
        self.run_rates(now, RatesEvent::Roster(view), actions);
        self.update_usage_peers();
        if self.roster.take_placement_change() {
            self.homes_by_group.clear();
        }
        self.update_relays(now, actions);
    }
}

fn report_unusable(kind: ObjectKind, name: String, error: String, actions: &mut Vec<PoolAction>) {
    let report = Report::ObjectUnusable { kind, name, error };
    actions.push(PoolAction::Report(report));
}

fn report_member(
    entry: &MemberEntry,
    state: &'static str,
    revision: StoreRevision,
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
