//! Which window a time belongs to, and which windows are due.

use std::time::Duration;

use lycheedoor_core::types::MonoTime;

use crate::usage_report::UsageReporter;
use crate::usage_report::micros;
use crate::usage_report::signed;

impl UsageReporter {
    /// Returns the window that contains a time, or `None` while the time of day is not known.
    pub(crate) fn window_at(&self, time: MonoTime) -> Option<u64> {
        let offset = self.fleet_offset_us.or(self.wall_offset_us)?;
        let time_us = signed(time.as_micros()) + offset;
        u64::try_from(time_us)
            .ok()
            .map(|time_us| time_us / self.window_us())
    }

    pub(crate) fn window_us(&self) -> u64 {
        micros(self.rules.window).max(1)
    }

    /// Returns the time since the end of a window; zero if it has not ended.
    pub(crate) fn age_of(&self, now: MonoTime, window: u64) -> Duration {
        let Some(offset) = self.fleet_offset_us.or(self.wall_offset_us) else {
            return Duration::ZERO;
        };
        let end = signed(window.saturating_add(1).saturating_mul(self.window_us()));
        let age = signed(now.as_micros()) + offset - end;
        Duration::from_micros(u64::try_from(age).unwrap_or(0))
    }

    pub(crate) fn has_ended(&self, now: MonoTime, window: u64) -> bool {
        self.window_at(now).is_some_and(|current| current > window)
    }

    /// Returns the first window that is not overdue.
    pub(crate) fn first_open_window(&self, now: MonoTime) -> u64 {
        let current = self.window_at(now).unwrap_or(0);
        let mut first = current.saturating_sub(self.due_windows());
        while first < current && self.age_of(now, first) >= self.rules.deadline {
            first += 1;
        }
        first
    }

    /// Returns how many windows can have ended and not be overdue, plus one.
    pub(crate) fn due_windows(&self) -> u64 {
        micros(self.rules.deadline) / self.window_us() + 2
    }
}
