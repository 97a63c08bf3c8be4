//! Explains decisions by the recorded events that led to them.

use std::fmt;
use std::time::Duration;

use crate::timeline::Entry;
use crate::timeline::EventCode;
use crate::timeline::HybridTime;
use crate::timeline::Record;
use crate::timeline::WallTime;
use crate::types::GroupId;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::VmId;

/// How long before a decision an event still counts as evidence; the latest event of each kind
/// counts at any age. A failover takes less than 12 s in a deployment of the design size.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(30);

const FAILOVER_EVENTS: &[EventCode] = &[
    EventCode::PrimarySuspected,
    EventCode::IntentWritten,
    EventCode::IntentCancelled,
    EventCode::MemberFenced,
    EventCode::MemberPromoted,
    EventCode::PrimaryChanged,
    EventCode::FencingStarted,
    EventCode::PromotionRequested,
];

/// A decision and the events that explain it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The event that records the decision; `None` if there is none in the timeline.
    pub decision: Option<Entry>,
    /// The events that led to it, in causal order.
    pub evidence: Vec<Entry>,
    /// Gaps in the timeline whose missing events might be evidence.
    pub gaps: Vec<Entry>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.decision {
            Some(decision) => writeln!(f, "decision: {decision}")?,
            None => writeln!(f, "decision: no event found")?,
        }
        for entry in &self.evidence {
            writeln!(f, "evidence: {entry}")?;
        }
        for gap in &self.gaps {
            writeln!(f, "may be incomplete: {gap}")?;
        }
        Ok(())
    }
}

/// Explains why a request on a VM was refused, from a merged timeline.
pub fn explain_refusal(entries: &[Entry], vm: &VmId, request: RequestId) -> Explanation {
    explain_request(entries, vm, request, EventCode::RequestRefused)
}

/// Explains why a read on a VM was routed to its member, from a merged timeline.
pub fn explain_read(entries: &[Entry], vm: &VmId, request: RequestId) -> Explanation {
    explain_request(entries, vm, request, EventCode::ReadRouted)
}

/// Explains why a group's primary was replaced between two times, or why it was not, from a merged
/// timeline.
///
/// The decision is the last promotion in this time or, without one, the last event of the furthest
/// step that was reached: a requested promotion, a cancelled intent, the start of fencing, an
/// intent, or a suspicion.
pub fn explain_promotion(
    entries: &[Entry],
    group: &GroupId,
    from: WallTime,
    until: WallTime,
) -> Explanation {
    let within = |entry: &&Entry| {
        let time = entry.time().physical;
        time >= from && time <= until
    };
    let of_group = |entry: &&Entry| {
        entry.record().is_some_and(|record| {
            FAILOVER_EVENTS.contains(&record.code) && record.subject.group.as_ref() == Some(group)
        })
    };
    let group_events: Vec<&Entry> = entries.iter().filter(within).filter(of_group).collect();
    let last = |code| {
        let found = group_events.iter().rev();
        found.copied().find(|entry| has_code(entry, code))
    };
    let decision = last(EventCode::MemberPromoted)
        .or_else(|| last(EventCode::PromotionRequested))
        .or_else(|| last(EventCode::IntentCancelled))
        .or_else(|| last(EventCode::FencingStarted))
        .or_else(|| last(EventCode::IntentWritten))
        .or_else(|| last(EventCode::PrimarySuspected));
    let leases = entries.iter().filter(within).filter(|entry| {
        has_code(entry, EventCode::LeaseLost) || has_code(entry, EventCode::RosterChanged)
    });
    let evidence = group_events.iter().copied().chain(leases);
    let gaps = entries.iter().filter(within).filter(is_gap);
    let open_gaps = entries.iter().filter(|entry| is_open_gap(entry, until));
    build_explanation(decision, evidence, gaps.chain(open_gaps))
}

fn explain_request(
    entries: &[Entry],
    vm: &VmId,
    request: RequestId,
    code: EventCode,
) -> Explanation {
    let of_request = |entry: &&Entry| {
        entry.process().vm == *vm
            && entry
                .record()
                .is_some_and(|record| record.subject.request == Some(request))
    };
    let own: Vec<&Entry> = entries.iter().filter(of_request).collect();
    let found = own.iter().rev().copied();
    let decision = found.clone().find(|entry| has_code(entry, code));
    let record = decision.and_then(Entry::record);
    let causes = record.map_or_else(Vec::new, |record| causes(entries, vm, record));
    let evidence = own.iter().copied().chain(causes);
    let time = decision.map(Entry::time);
    let gaps = entries.iter().filter(is_gap).filter(|entry| {
        let own = entry.process().vm == *vm;
        own && time.is_none_or(|time| may_hide_evidence(entry, time))
    });
    build_explanation(decision, evidence, gaps)
}

/// Returns the events that explain the reason for a decision.
fn causes<'a>(entries: &'a [Entry], vm: &VmId, decision: &Record) -> Vec<&'a Entry> {
    let Some(reason) = decision.subject.reason else {
        return Vec::new();
    };
    let codes = codes_explaining(reason);
    let relevant = |entry: &&Entry| {
        entry.record().is_some_and(|record| {
            codes.contains(&record.code)
                && record.time < decision.time
                && may_be_cause(entry, record, vm, decision)
        })
    };
    let earliest = earliest_evidence_time(decision.time);
    let mut latest: Vec<EventCode> = Vec::new();
    let mut chosen: Vec<&Entry> = Vec::new();
    for entry in entries.iter().filter(relevant).rev() {
        let Some(record) = entry.record() else {
            continue;
        };
        // The latest event of each kind counts at any age: a data centre may be out of service for
        // days.
        let is_latest = !latest.contains(&record.code);
        if is_latest || record.time.physical >= earliest {
            latest.push(record.code);
            chosen.push(entry);
        }
    }
    chosen
}

fn codes_explaining(reason: Reason) -> &'static [EventCode] {
    match reason {
        Reason::BadKey => &[EventCode::KeyWithdrawn, EventCode::ConfigurationApplied],
        Reason::NoRoute => &[EventCode::ConfigurationApplied],
        Reason::Draining => &[EventCode::DrainBegun],
        Reason::LeaseLost => &[EventCode::LeaseLost, EventCode::RosterChanged],
        Reason::NoPrimary | Reason::TermReplaced | Reason::NotConfirmedDurable => FAILOVER_EVENTS,
        Reason::DataCentreOut => &[EventCode::DataCentreOut],
        Reason::TargetLeaving => &[EventCode::MemberLeaving],
        Reason::ConnectionLost | Reason::AnswerDeadline => &[EventCode::ConnectionClosed],
        Reason::NoSessionEvidence => &[EventCode::TokenRejected, EventCode::CallerAccepted],
        Reason::ReplicaBehind => &[EventCode::PrimaryChanged, EventCode::WriteDelivered],
        _ => &[],
    }
}

/// Returns whether an event may be a cause of a decision: it must not concern another group,
/// workspace, session, caller, data centre or member. Events other than those of a failover concern
/// a VM's own state and must come from the VM that decided.
fn may_be_cause(entry: &Entry, record: &Record, vm: &VmId, decision: &Record) -> bool {
    fn is_compatible<T: PartialEq>(one: &Option<T>, other: &Option<T>) -> bool {
        one.is_none() || other.is_none() || one == other
    }
    let (about, decided) = (&record.subject, &decision.subject);
    let is_vm_state = !FAILOVER_EVENTS.contains(&record.code);
    (!is_vm_state || entry.process().vm == *vm)
        && is_compatible(&about.group, &decided.group)
        && is_compatible(&about.workspace, &decided.workspace)
        && is_compatible(&about.session, &decided.session)
        && (about.caller.is_none() || about.caller == decided.caller)
        && is_compatible(&about.data_centre, &decided.data_centre)
        && (FAILOVER_EVENTS.contains(&record.code) || is_compatible(&about.member, &decided.member))
}

fn earliest_evidence_time(time: HybridTime) -> WallTime {
    let max_age = u64::try_from(MAX_EVIDENCE_AGE.as_micros()).unwrap_or(u64::MAX);
    WallTime(time.physical.0.saturating_sub(max_age))
}

fn has_code(entry: &Entry, code: EventCode) -> bool {
    entry.record().is_some_and(|record| record.code == code)
}

fn is_gap(entry: &&Entry) -> bool {
    matches!(entry, Entry::Gap(_))
}

fn is_open_gap(entry: &Entry, until: WallTime) -> bool {
    match entry {
        Entry::Gap(gap) if gap.until.is_none() => {
            gap.since.is_none_or(|since| since.physical <= until)
        }
        _ => false,
    }
}

fn may_hide_evidence(entry: &Entry, time: HybridTime) -> bool {
    match entry {
        Entry::Gap(gap) => {
            let recent = gap
                .until
                .is_none_or(|u| u.physical >= earliest_evidence_time(time));
            recent && gap.since.is_none_or(|since| since <= time)
        }
        Entry::Event { .. } => false,
    }
}

fn build_explanation<'a>(
    decision: Option<&Entry>,
    evidence: impl Iterator<Item = &'a Entry>,
    gaps: impl Iterator<Item = &'a Entry>,
) -> Explanation {
    let sorted = |entries: Vec<&Entry>| {
        let mut entries: Vec<Entry> = entries.into_iter().cloned().collect();
        entries.sort_by(|a, b| (a.time(), a.process()).cmp(&(b.time(), b.process())));
        entries.dedup();
        entries
    };
    let mut evidence = sorted(evidence.collect());
    evidence.retain(|entry| Some(entry) != decision);
    Explanation {
        decision: decision.cloned(),
        evidence,
        gaps: sorted(gaps.collect()),
    }
}
