//! The messages, the record and the rules of usage reporting.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::store_revision::StoreRevision;

/// The operations that began in one window, by workspace.
pub type UsageCounts = BTreeMap<WorkspaceId, u64>;

/// The time limits of usage reporting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRules {
    /// The length of a window. Window k begins k lengths after the start of 1970.
    pub window: Duration,
    /// Time from the end of a window until its report is overdue.
    pub deadline: Duration,
    /// Time in which the duty must not return to a former holder.
    pub lease: Duration,
}

/// The record in the store that names the VM that reports, and holds the counts that it reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The VM that reports.
    pub holder: VmId,
    /// The incarnation of the holder when it claimed the duty.
    pub incarnation: Incarnation,
    /// The fencing token of the holder.
    pub token: u64,
    /// The number of the write among the holder's writes. It lets the holder recognise its own
    /// write after an answer was lost.
    pub sequence: u64,
    /// The first window whose counts are not fixed. Earlier windows are not reported with other
    /// counts than those in `unsent`.
    pub next_window: u64,
    /// Windows whose counts are fixed and that may not have been accepted.
    pub unsent: Vec<FixedWindow>,
}

/// A window whose counts do not change any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FixedWindow {
    /// The number of the window.
    pub number: u64,
    /// Its counts.
    pub counts: UsageCounts,
}

/// A message about usage between two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageMessage {
    /// Hands counts on to the holder, or asks which VM it is.
    Counts {
        /// The number of the message at the sender, which the answer repeats.
        number: u64,
        /// The sender's time of day in microseconds.
        time_us: u64,
        /// The highest fencing token that the sender knows.
        token: u64,
        /// The first window that is not fixed as far as the sender knows.
        next_window: u64,
        /// All that the sender has counted so far, for the workspaces whose counts have changed
        /// since a message that was answered.
        windows: Vec<(u64, UsageCounts)>,
    },
    /// The answer to `Counts`, and the announcement of a new holder.
    Answer {
        /// The number of the message that is answered; 0 for an announcement.
        number: u64,
        /// The holder that the sender knows.
        holder: Option<VmId>,
        /// The fencing token of the holder, or 0 without one.
        token: u64,
        /// The first window that is not fixed as far as the sender knows.
        next_window: u64,
        /// Time since the sender heard from the holder, in milliseconds; 0 if it is the holder.
        heard_ms: u64,
        /// The holder's estimate of the time of day in microseconds; `None` if the sender is not
        /// the holder and has not taken the counts.
        time_us: Option<u64>,
        /// Whether the sender has been the holder and will not report again.
        has_resigned: bool,
    },
}

/// The outcome of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageOutcome {
    /// The platform has accepted the report.
    Accepted,
    /// The platform has seen a higher fencing token.
    Refused,
    /// There was no usable answer; the report may still be accepted.
    Unknown,
}

/// What usage reporting asks its driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum UsageAction {
    /// Send a message to another VM.
    Send {
        /// The VM that gets the message.
        to: VmId,
        /// The message to send.
        message: UsageMessage,
    },
    /// Write the record if it still has the expected revision, or create it.
    Write {
        /// The content to write.
        record: UsageRecord,
        /// The revision that the record must have; `None` if it must not exist yet.
        expected: Option<StoreRevision>,
    },
    /// Report a window to the platform.
    Report {
        /// The fencing token.
        token: u64,
        /// The window and its counts.
        window: FixedWindow,
    },
    /// Record an occurrence in the log and the metrics.
    Note(UsageNote),
}

/// An occurrence of usage reporting for the log and the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageNote {
    /// This VM has become the holder.
    Claimed {
        /// The fencing token of the holder.
        token: u64,
    },
    /// This VM is no longer the holder.
    Ended {
        /// The fencing token of the holder.
        token: u64,
        /// Why it is no longer the holder.
        cause: &'static str,
    },
    /// The platform has accepted the report of a window.
    Reported {
        /// The number of the window.
        window: u64,
        /// The sum of its counts.
        operations: u64,
        /// Time since the end of the window.
        age: Duration,
    },
    /// Windows were not reported in time.
    Missed {
        /// The first of them.
        window: u64,
        /// How many they are.
        windows: u64,
    },
    /// Operations that this VM counted are not in any report.
    Lost {
        /// How many they are.
        operations: u64,
    },
    /// How long ago the oldest window ended that is due and not reported.
    OldestDue {
        /// The age; zero if none is due.
        age: Duration,
    },
}
