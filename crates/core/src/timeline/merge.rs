//! Merges the events of several processes into one causal order.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::timeline::Export;
use crate::timeline::HybridTime;
use crate::timeline::Process;
use crate::timeline::Record;

/// Events of a process that are not available.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The process whose events are missing.
    pub process: Process,
    /// The time by which the missing events were recorded; `None` if it is unknown how long the
    /// process went on recording.
    pub until: Option<HybridTime>,
    /// The time of the last known event before the gap, or of the last export if the process was
    /// not reached; `None` if there is none.
    pub since: Option<HybridTime>,
    /// How many events are missing; `None` if it is unknown because the process was not reached.
    pub missing: Option<u64>,
}

/// An entry of a merged timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// An event that was collected.
    Event {
        /// The process that recorded it.
        process: Process,
        /// The event as it was recorded.
        record: Record,
    },
    /// Events that are missing.
    Gap(Gap),
}

impl Entry {
    /// Returns the process that recorded the event or whose events are missing.
    pub fn process(&self) -> &Process {
        match self {
            Self::Event { process, .. } => process,
            Self::Gap(gap) => &gap.process,
        }
    }

    /// Returns the event, or `None` for a gap.
    pub fn record(&self) -> Option<&Record> {
        match self {
            Self::Event { record, .. } => Some(record),
            Self::Gap(_) => None,
        }
    }

    /// Returns the time by which the entry is sorted.
    pub fn time(&self) -> HybridTime {
        match self {
            Self::Event { record, .. } => record.time,
            Self::Gap(gap) => gap.until.or(gap.since).unwrap_or_default(),
        }
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Event { process, record } => write!(f, "{process} {record}"),
            Self::Gap(gap) => gap.fmt(f),
        }
    }
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} GAP ", self.process)?;
        match self.missing {
            Some(missing) => write!(f, "{missing} events lost")?,
            None => f.write_str("process not reached, its later events are missing")?,
        }
        if let Some(since) = self.since {
            write!(f, " after {since}")?;
        }
        match self.until {
            Some(until) => write!(f, " before {until}"),
            None => Ok(()),
        }
    }
}

/// All exports of one process taken together.
#[derive(Default)]
struct ProcessHistory<'a> {
    records: BTreeMap<u64, &'a Record>,
    first_requested: u64,
    next_sequence: u64,
    taken_at: HybridTime,
    reached: bool,
}

/// Merges exports into one causal order. A gap is placed where the events are missing: before the
/// next event of the same process, or after its last one.
///
/// Several exports of one process may overlap. Entries with equal times are ordered by process, so
/// that all collectors show the same order.
pub fn merge<'a>(exports: impl IntoIterator<Item = &'a Export>) -> Vec<Entry> {
    let mut processes: BTreeMap<&Process, ProcessHistory<'a>> = BTreeMap::new();
    for export in exports {
        let history = processes.entry(&export.process).or_insert(ProcessHistory {
            first_requested: u64::MAX,
            ..ProcessHistory::default()
        });
        history.first_requested = history.first_requested.min(export.from_sequence);
        history.next_sequence = history.next_sequence.max(export.next_sequence);
        history.taken_at = history.taken_at.max(export.taken_at);
        history.reached |= export.reached;
        let records = export.records.iter();
        history
            .records
            .extend(records.map(|record| (record.sequence, record)));
    }
    let mut entries = Vec::new();
    for (process, history) in &processes {
        history.append_entries(process, &mut entries);
    }
    // The sort is stable, and the entries of each process, including gaps, are already in order.
    entries.sort_by_key(Entry::time);
    entries
}

impl ProcessHistory<'_> {
    fn append_entries(&self, process: &Process, entries: &mut Vec<Entry>) {
        let gap = |since, until, missing| {
            Entry::Gap(Gap {
                process: process.clone(),
                until,
                since,
                missing,
            })
        };
        let (mut expected, mut since) = (self.first_requested, None);
        for (sequence, record) in &self.records {
            if *sequence > expected {
                entries.push(gap(since, Some(record.time), Some(sequence - expected)));
            }
            entries.push(Entry::Event {
                process: process.clone(),
                record: (*record).clone(),
            });
            (expected, since) = (sequence + 1, Some(record.time));
        }
        if self.next_sequence > expected {
            let missing = self.next_sequence - expected;
            entries.push(gap(since, Some(self.taken_at), Some(missing)));
        }
        if !self.reached {
            // For a process that never responded, no time is known from which events are missing.
            let since = Some(self.taken_at).filter(|time| *time != HybridTime::default());
            entries.push(gap(since, None, None));
        }
    }
}
