//! Log events and metrics about the decision logic, derived from its timeline and state.
//!
//! The observer runs on a timer, outside the path of statements. What it reports may be a second
//! old; the timeline has the exact order and times.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use lycheedoor_core::config::Config;
use lycheedoor_core::timeline::EventCode;
use lycheedoor_core::timeline::Evidence;
use lycheedoor_core::timeline::Record;
use lycheedoor_core::timeline::Subject;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::VmId;
use lycheedoor_core::vm::Vm;
use lycheedoor_core::vm::VmPhase;
use lycheedoor_telemetry::FieldValue;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;

use crate::config_changes::emit_config_changes;
use crate::observed_metrics;

/// While a VM waits for the platform at its start, one log event is written per this many
/// observations.
const OBSERVATIONS_PER_START_REPORT: u64 = 10;

/// Remembers what has been reported, so that each change is reported once.
#[derive(Default)]
pub(crate) struct Observer {
    observations: u64,
    next_sequence: u64,
    config: Option<Arc<Config>>,
    roster: BTreeSet<VmId>,
    lease_lost_at: Option<WallTime>,
    lease_confirmed_by_peers: bool,
    drain_began_at: Option<WallTime>,
    /// The time of the last answer of each group's suspected primary, in microseconds of the wall
    /// clock.
    silent_since: BTreeMap<GroupId, u64>,
}

impl Observer {
    /// Reports what has changed since the last call.
    pub(crate) fn observe(&mut self, vm: &Vm, now: MonoTime) {
        for record in vm.timeline().records_from(self.next_sequence) {
            self.report(vm, record);
            observed_metrics::count_event(vm, record);
        }
        self.next_sequence = vm.timeline().next_sequence();
        self.report_waiting_start(vm, now);
        self.report_config(vm);
        self.report_roster(vm);
        self.report_peer_confirmation(vm, now);
        observed_metrics::update_state_metrics(vm, now);
        self.observations += 1;
    }

    fn report(&mut self, vm: &Vm, record: &Record) {
        match record.code.number() {
            100..300 => report_caller(record),
            300..400 => self.report_lease(record),
            400..500 => self.report_failover(vm, record),
            500..600 => self.report_drain(vm, record),
            _ => report_connection(record),
        }
    }

    fn report_lease(&mut self, record: &Record) {
        let at = record.time.physical;
        match record.code {
            EventCode::LeaseGained => {
                if let Some(lost_at) = self.lease_lost_at.take() {
                    emit(&events::LEASE_BACK, &[millis_between(lost_at, at).into()]);
                }
            }
            EventCode::LeaseLost => {
                self.lease_lost_at = Some(at);
                let loss = evidence(record).and_then(|evidence| evidence.loss);
                emit(&events::LEASE_LOST, &[text_or_dash(&loss).as_str().into()]);
            }
            _ => {}
        }
    }

    fn report_failover(&mut self, vm: &Vm, record: &Record) {
        let subject = &record.subject;
        let group = text_or_dash(&subject.group);
        let (member, term) = (text_or_dash(&subject.member), text_or_dash(&subject.term));
        let emit_fields = |event, values: &[&str]| {
            let values: Vec<FieldValue<'_>> = values.iter().copied().map(Into::into).collect();
            emit(event, &values);
        };
        match record.code {
            EventCode::PrimarySuspected => {
                let silent_us = evidence(record).and_then(|evidence| evidence.silent_us);
                let silent_us = silent_us.unwrap_or_default();
                let since = record.time.physical.0.saturating_sub(silent_us);
                if let Some(group) = &subject.group {
                    self.silent_since.insert(group.clone(), since);
                }
                let member =
                    text_or_dash(&subject.group.as_ref().and_then(|id| primary_of(vm, id)));
                let silent_ms = (silent_us / 1_000).to_string();
                emit_fields(&events::PRIMARY_SUSPECTED, &[&group, &member, &silent_ms]);
            }
            EventCode::IntentWritten => {
                let evidence = evidence(record);
                let agreeing = evidence.map_or(0, |evidence| evidence.agreeing.len());
                let observers = text_or_dash(&evidence.and_then(|evidence| evidence.observers));
                let agreeing = agreeing.to_string();
                emit_fields(&events::INTENT_WRITTEN, &[&group, &agreeing, &observers]);
            }
            EventCode::IntentCancelled => {
                emit_fields(
                    &events::INTENT_CANCELLED,
                    &[&group, &text_or_dash(&subject.reason)],
                );
            }
            EventCode::MemberFenced => {
                emit_fields(&events::MEMBER_FENCED, &[&group, &member, &term]);
            }
            EventCode::MemberPromoted => {
                let since = subject.group.as_ref();
                let since = since.and_then(|group| self.silent_since.remove(group));
                let gap_us = since.map(|since| record.time.physical.0.saturating_sub(since));
                if let Some(gap_us) = gap_us {
                    observed_metrics::record_failover_gap(&group, gap_us);
                }
                let gap_ms = text_or_dash(&gap_us.map(|gap_us| gap_us / 1_000));
                emit_fields(&events::PROMOTED, &[&group, &member, &term, &gap_ms]);
            }
            EventCode::PrimaryChanged => {
                emit_fields(&events::TERM_CHANGED, &[&group, &term, &member]);
            }
            _ => {}
        }
    }

    fn report_drain(&mut self, vm: &Vm, record: &Record) {
        let at = record.time.physical;
        match record.code {
            EventCode::DrainBegun => {
                self.drain_began_at = Some(at);
                let exchanges = vm.exchanges();
                let counts = [
                    exchanges.in_progress(),
                    exchanges.open_transactions(),
                    vm.caller_count(),
                ];
                emit(&events::DRAIN_STARTED, &counts.map(FieldValue::from));
            }
            EventCode::DrainEnded => {
                let began_at = self.drain_began_at.unwrap_or(at);
                let took_ms = millis_between(began_at, at);
                emit(&events::DRAIN_FINISHED, &[took_ms.into()]);
            }
            _ => {}
        }
    }

    fn report_waiting_start(&self, vm: &Vm, now: MonoTime) {
        let due = self
            .observations
            .is_multiple_of(OBSERVATIONS_PER_START_REPORT);
        if due && vm.phase(now) == VmPhase::Starting {
            let waited_ms = now.as_micros() / 1_000;
            emit(&events::WAITING_FOR_PLATFORM, &[waited_ms.into()]);
        }
    }

    fn report_config(&mut self, vm: &Vm) {
        let Some(config) = vm.config() else { return };
        let previous = self.config.as_deref();
        if previous.is_none_or(|previous| previous.version != config.version) {
            emit(&events::CONFIG_APPLIED, &[config.version.into()]);
            if let Some(previous) = previous {
                emit_config_changes(previous, config);
            }
            self.config = Some(Arc::clone(config));
        }
    }

    fn report_roster(&mut self, vm: &Vm) {
        let membership = vm.membership();
        let (Some(roster), Some(fence)) = (membership.roster(), membership.fence()) else {
            return;
        };
        let members = roster.members.iter();
        let members: BTreeSet<VmId> = members.map(|member| member.vm.clone()).collect();
        let this_vm = &vm.settings().vm;
        let version = fence.version;
        for removed in self.roster.difference(&members) {
            if removed == this_vm {
                emit(&events::ROSTER_LEFT, &[version.into()]);
            } else {
                let values = [removed.as_str().into(), version.into()];
                emit(&events::MEMBER_REMOVED, &values);
            }
        }
        if members.contains(this_vm) && !self.roster.contains(this_vm) {
            let slots = membership.slots().len();
            emit(&events::ROSTER_JOINED, &[version.into(), slots.into()]);
        }
        self.roster = members;
    }

    fn report_peer_confirmation(&mut self, vm: &Vm, now: MonoTime) {
        let membership = vm.membership();
        let confirmed_by_peers = membership.may_act(now) && !membership.platform_serves(now);
        if confirmed_by_peers && !self.lease_confirmed_by_peers {
            emit(&events::PEERS_VOUCH, &[self.roster.len().into()]);
        }
        self.lease_confirmed_by_peers = confirmed_by_peers;
    }
}

fn report_caller(record: &Record) {
    let subject = &record.subject;
    let (caller, reason) = (text_or_dash(&subject.caller), text_or_dash(&subject.reason));
    let workspace = text_or_dash(&subject.workspace);
    let request = text_or_dash(&subject.request);
    match record.code {
        EventCode::CallerRefused => {
            let values = [
                caller.as_str().into(),
                workspace.as_str().into(),
                reason.as_str().into(),
            ];
            emit_limited_by_cause(&events::CALLER_REFUSED, &reason, &values);
        }
        EventCode::CallerAccepted => {
            let values = [caller.as_str().into(), workspace.as_str().into()];
            emit(&events::CALLER_ACCEPTED, &values);
        }
        EventCode::RequestRefused if subject.outcome == Some(Outcome::Unknown) => {
            let group = text_or_dash(&subject.group);
            let values = [
                request.as_str().into(),
                group.as_str().into(),
                reason.as_str().into(),
            ];
            let cause = format!("{group} {reason}");
            emit_limited_by_cause(&events::OUTCOME_UNKNOWN, &cause, &values);
        }
        EventCode::RequestRefused => {
            let values = [
                caller.as_str().into(),
                request.as_str().into(),
                reason.as_str().into(),
                "not run".into(),
            ];
            emit(&events::STATEMENT_REFUSED, &values);
        }
        _ => {}
    }
}

fn report_connection(record: &Record) {
    let Subject {
        group,
        member,
        reason,
        ..
    } = &record.subject;
    let (group, member) = (text_or_dash(group), text_or_dash(member));
    match record.code {
        EventCode::ConnectionOpened => {
            let values = [group.as_str().into(), member.as_str().into()];
            emit(&events::TARGET_CONNECTED, &values);
        }
        EventCode::ConnectionClosed if *reason == Some(Reason::ConnectionLost) => {
            let reason = text_or_dash(reason);
            let values = [
                group.as_str().into(),
                member.as_str().into(),
                reason.as_str().into(),
            ];
            emit_limited_by_cause(&events::TARGET_LOST, &format!("{group} {member}"), &values);
        }
        _ => {}
    }
}

/// Returns the primary of a group according to the VM's fence.
pub(crate) fn primary_of(vm: &Vm, group: &GroupId) -> Option<lycheedoor_core::types::MemberId> {
    let fence = vm.membership().fence()?;
    fence.groups.get(group).map(|state| state.primary.clone())
}

fn evidence(record: &Record) -> Option<&Evidence> {
    record.subject.evidence.as_deref()
}

/// Returns a value as text, or a dash for `None`.
fn text_or_dash(value: &Option<impl ToString>) -> String {
    value
        .as_ref()
        .map_or_else(|| "-".into(), ToString::to_string)
}

fn millis_between(earlier: WallTime, later: WallTime) -> u64 {
    later.0.saturating_sub(earlier.0) / 1_000
}
