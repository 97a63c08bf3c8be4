//! The holder: how windows are fixed and reported.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::store_revision::StoreRevision;
use crate::usage_report::Collected;
use crate::usage_report::IDLE_INTERVAL;
use crate::usage_report::KnownHolder;
use crate::usage_report::UsageReporter;
use crate::usage_report::claim::Purpose;
use crate::usage_report::median;
use crate::usage_report::message::FixedWindow;
use crate::usage_report::message::UsageAction;
use crate::usage_report::message::UsageCounts;
use crate::usage_report::message::UsageNote;
use crate::usage_report::message::UsageOutcome;
use crate::usage_report::message::UsageRecord;
use crate::usage_report::micros;

/// Delay before a call is repeated that got no usable answer.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time between a claim and the first window that is fixed, in which the other VMs hand on again what
/// the former holder knew.
const COLLECT_DELAY: Duration = Duration::from_secs(1);

/// Added to the time in which all VMs hand on their counts, for operations that take long.
const SETTLE_MARGIN: Duration = Duration::from_secs(1);

/// Time before the deadline at which a report is not begun any more.
const DEADLINE_MARGIN: Duration = Duration::from_millis(200);

/// Time between two estimates of the time of day.
const CLOCK_INTERVAL: Duration = Duration::from_secs(1);

/// What the holder knows and does.
#[derive(Debug)]
pub(crate) struct Duty {
    /// The record as of the last write that succeeded.
    record: UsageRecord,
    revision: StoreRevision,
    /// When the record was last known to name this VM; `None` if that is in doubt.
    confirmed_at: Option<MonoTime>,
    claimed_in_window: u64,
    /// The first window that no former holder has fixed.
    first_own_window: u64,
    /// The first window that may be fixed.
    first_window: u64,
    collects_until: MonoTime,
    collected: Collected,
    /// The time of day of other VMs minus the steady clock of this one, and when it was stated.
    clocks: BTreeMap<VmId, (i64, MonoTime)>,
    next_clock_at: MonoTime,
    /// The windows that need no further report, since they were accepted or are overdue.
    settled: BTreeSet<u64>,
    /// The window whose report is in progress.
    reporting: Option<u64>,
    next_report_at: MonoTime,
    ran_at: MonoTime,
}

impl Duty {
    pub(crate) fn token(&self) -> u64 {
        self.record.token
    }

    /// Takes over the record that this VM has written.
    pub(crate) fn confirm(&mut self, now: MonoTime, record: UsageRecord, revision: StoreRevision) {
        self.collected = self.collected.split_off(&record.next_window);
        // The settled windows that the record no longer names need not be remembered.
        let is_named = |number: &u64| record.unsent.iter().any(|window| window.number == *number);
        self.settled.retain(is_named);
        self.record = record;
        self.revision = revision;
        self.confirmed_at = Some(now);
    }

    /// Takes over the counts of another VM. They are totals, so that a repeat changes nothing.
    pub(crate) fn counts_received(
        &mut self,
        now: MonoTime,
        from: &VmId,
        incarnation: Incarnation,
        clock_offset_us: i64,
        windows: Vec<(u64, UsageCounts)>,
    ) {
        self.clocks.insert(from.clone(), (clock_offset_us, now));
        self.take_counts(from, incarnation, windows);
    }

    fn take_counts(
        &mut self,
        from: &VmId,
        incarnation: Incarnation,
        windows: Vec<(u64, UsageCounts)>,
    ) {
        let process = (from.clone(), incarnation);
        for (window, counts) in windows {
            if window < self.record.next_window {
                continue;
            }
            let processes = self.collected.entry(window).or_default();
            let known = processes.entry(process.clone()).or_default();
            for (workspace, total) in counts {
                let count = known.entry(workspace).or_default();
                *count = total.max(*count);
            }
        }
    }

    /// Handles what another VM has heard. If it knows more than the record says, the record is older
    /// than what a former holder has written, so that windows may have been reported that the record
    /// does not mention. These ended before the claim.
    pub(crate) fn check_peer(&mut self, token: u64, next_window: u64) {
        if token > self.record.token {
            self.confirmed_at = None;
        }
        if next_window > self.record.next_window {
            self.first_window = self.first_window.max(self.claimed_in_window);
        }
    }
}

impl UsageReporter {
    pub(crate) fn begin_duty(
        &mut self,
        now: MonoTime,
        record: UsageRecord,
        revision: StoreRevision,
        out: &mut Vec<UsageAction>,
    ) {
        let claimed_in_window = self.window_at(now).unwrap_or(u64::MAX);
        // A process cannot have heard which windows were fixed before it started.
        let mut first_window = self.window_at(self.started_at).unwrap_or(u64::MAX);
        if self.heard_next_window > record.next_window {
            first_window = first_window.max(claimed_in_window);
        }
        let first_own_window = record.next_window;
        let token = record.token;
        self.heard_token = self.heard_token.max(token);
        self.heard_next_window = self.heard_next_window.max(record.next_window);
        self.known = Some(KnownHolder {
            vm: self.vm.clone(),
            token,
        });
        self.unanswered_since = None;
        self.handed_on = None;
        let mut duty = Duty {
            record,
            revision,
            confirmed_at: Some(now),
            claimed_in_window,
            first_own_window,
            first_window,
            collects_until: now + COLLECT_DELAY,
            collected: Collected::new(),
            clocks: BTreeMap::new(),
            next_clock_at: now,
            settled: BTreeSet::new(),
            reporting: None,
            next_report_at: now,
            ran_at: now,
        };
        if let Some(deposit) = self.deposit.take() {
            // Totals, like those that the former holder may hand on itself.
            duty.take_counts(&deposit.vm, deposit.incarnation, deposit.windows);
        }
        self.duty = Some(duty);
        out.push(UsageAction::Note(UsageNote::Claimed { token }));
        let message = self.answer(now, 0, false);
        self.announce(&message, out);
    }

    pub(crate) fn end_duty(&mut self, cause: &'static str, out: &mut Vec<UsageAction>) {
        let Some(duty) = self.duty.take() else {
            return;
        };
        let token = duty.token();
        out.push(UsageAction::Note(UsageNote::Ended { token, cause }));
        // Counts as silent until it is known which VM follows.
        self.known = Some(KnownHolder {
            vm: self.vm.clone(),
            token,
        });
        self.holder_answered_at = None;
        self.counter.reset_acknowledged();
    }

    /// Makes the holder check its record before the next report.
    pub(crate) fn distrust_duty(&mut self) {
        if let Some(duty) = &mut self.duty {
            duty.confirmed_at = None;
        }
    }

    /// Fixes the windows that are complete, and reports those that are fixed.
    pub(crate) fn run_duty(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        self.update_clock(now);
        self.note_overdue(now, out);
        let max_gap = self.rules.lease / 2;
        let Some(duty) = &mut self.duty else {
            return;
        };
        if now.since(duty.ran_at) > max_gap {
            // The process was suspended; another VM may have claimed the duty meanwhile.
            duty.confirmed_at = None;
        }
        duty.ran_at = now;
        let next_window = duty.record.next_window;
        if self.write.is_some() {
            return;
        }
        if duty.confirmed_at.is_none() {
            return self.write_record(now, Vec::new(), next_window, out);
        }
        let first_open = self.first_open_window(now);
        let Some(duty) = &self.duty else {
            return;
        };
        let first = next_window.max(duty.first_window).max(first_open);
        let settle = self.hand_on_interval() * 2 + SETTLE_MARGIN;
        let mut last = first;
        while self.has_ended(now, last) && self.age_of(now, last) >= settle {
            last += 1;
        }
        let oldest_due = match self.has_ended(now, first) {
            true => self.age_of(now, first),
            false => Duration::ZERO,
        };
        if now >= duty.collects_until && last > first {
            let fixed = (first..last).map(|number| self.fixed_window(number));
            let fixed: Vec<FixedWindow> = fixed.collect();
            // A record that was just created names no window before the first.
            if next_window > 0 && first > next_window {
                out.push(UsageAction::Note(UsageNote::Missed {
                    window: next_window,
                    windows: first - next_window,
                }));
            }
            return self.write_record(now, fixed, last, out);
        }
        self.report_next(now, oldest_due, out);
    }

    fn fixed_window(&self, number: u64) -> FixedWindow {
        let mut counts = self.counter.totals(number);
        let collected = self
            .duty
            .iter()
            .flat_map(|duty| duty.collected.get(&number));
        for (workspace, total) in collected.flat_map(|processes| processes.values().flatten()) {
            *counts.entry(workspace.clone()).or_default() += total;
        }
        FixedWindow { number, counts }
    }

    /// Writes the record with newly fixed windows, which also shows that this VM is still the holder.
    fn write_record(
        &mut self,
        now: MonoTime,
        fixed: Vec<FixedWindow>,
        next_window: u64,
        out: &mut Vec<UsageAction>,
    ) {
        let Some(duty) = &self.duty else {
            return;
        };
        let is_needed = |window: &&FixedWindow| !duty.settled.contains(&window.number);
        let unsent = duty.record.unsent.iter().filter(is_needed).cloned();
        self.last_sequence += 1;
        let record = UsageRecord {
            sequence: self.last_sequence,
            next_window,
            unsent: unsent.chain(fixed).collect(),
            ..duty.record.clone()
        };
        let expected = Some(duty.revision);
        self.begin_write(now, Purpose::Fix, record, expected, out);
    }

    /// Gives up the fixed windows that cannot be reported in time any more.
    fn note_overdue(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        let limit = self.rules.deadline.saturating_sub(DEADLINE_MARGIN);
        let Some(duty) = &self.duty else {
            return;
        };
        let unsent = duty.record.unsent.iter().map(|window| window.number);
        let overdue = unsent.filter(|number| {
            !duty.settled.contains(number)
                && duty.reporting != Some(*number)
                && self.age_of(now, *number) >= limit
        });
        let overdue: Vec<u64> = overdue.collect();
        let Some(duty) = &mut self.duty else {
            return;
        };
        for window in overdue {
            duty.settled.insert(window);
            // A former holder may have reported those that it fixed.
            if window >= duty.first_own_window {
                out.push(UsageAction::Note(UsageNote::Missed { window, windows: 1 }));
            }
        }
    }

    fn report_next(&mut self, now: MonoTime, oldest_due: Duration, out: &mut Vec<UsageAction>) {
        let Some(duty) = &self.duty else {
            return;
        };
        if duty.reporting.is_some() || now < duty.next_report_at {
            return;
        }
        let mut unsent = duty.record.unsent.iter();
        let due = unsent.find(|window| !duty.settled.contains(&window.number));
        let due = due.cloned();
        let is_confirmed = duty
            .confirmed_at
            .is_some_and(|at| now.since(at) <= self.rules.lease / 2);
        let next_window = duty.record.next_window;
        let age = match &due {
            Some(window) => self.age_of(now, window.number),
            None => oldest_due,
        };
        let Some(duty) = &mut self.duty else {
            return;
        };
        duty.next_report_at = now + RETRY_DELAY;
        out.push(UsageAction::Note(UsageNote::OldestDue { age }));
        let Some(window) = due else {
            return;
        };
        if !is_confirmed {
            return self.write_record(now, Vec::new(), next_window, out);
        }
        duty.reporting = Some(window.number);
        self.reported_at = now;
        let token = duty.token();
        out.push(UsageAction::Report { token, window });
    }

    /// Handles the outcome of a report.
    pub fn report_answered(
        &mut self,
        now: MonoTime,
        token: u64,
        window: u64,
        outcome: UsageOutcome,
        out: &mut Vec<UsageAction>,
    ) {
        let age = self.age_of(now, window);
        let Some(duty) = self.duty.as_mut().filter(|duty| duty.token() == token) else {
            return;
        };
        duty.reporting = None;
        match outcome {
            UsageOutcome::Accepted => {
                let windows = duty.record.unsent.iter();
                let fixed = windows.filter(|fixed| fixed.number == window);
                let operations = fixed.flat_map(|fixed| fixed.counts.values()).sum();
                duty.settled.insert(window);
                duty.next_report_at = now;
                out.push(UsageAction::Note(UsageNote::Reported {
                    window,
                    operations,
                    age,
                }));
                self.run_duty(now, out);
            }
            UsageOutcome::Refused => {
                self.end_duty("a higher fencing token was used", out);
                self.write = None;
            }
            UsageOutcome::Unknown => duty.next_report_at = now + RETRY_DELAY,
        }
    }

    /// Takes the median of what the VMs state for the time of day, so that a minority of clocks that
    /// have been set back or forward does not matter.
    fn update_clock(&mut self, now: MonoTime) {
        let own = self.wall_offset_us;
        let Some(duty) = &mut self.duty else {
            return;
        };
        if now < duty.next_clock_at {
            return;
        }
        duty.next_clock_at = now + CLOCK_INTERVAL;
        let oldest = micros(IDLE_INTERVAL) * 2 + micros(CLOCK_INTERVAL);
        duty.clocks
            .retain(|_, (_, stated_at)| micros(now.since(*stated_at)) <= oldest);
        let offsets = duty.clocks.values().map(|(offset, _)| *offset);
        let offsets: Vec<i64> = offsets.chain(own).collect();
        let estimate = median(offsets).or(self.fleet_offset_us).or(own);
        self.fleet_offset_us = estimate;
    }
}
