//! The measured demand of a workspace on one VM.

use std::time::Duration;

use crate::types::MonoTime;

/// Completed intervals whose arrivals are kept, in addition to the current one.
const COUNTING_INTERVALS: usize = 5;
const COUNTING_INTERVAL: Duration = Duration::from_millis(100);

/// The rate over the last and the current interval replaces the rate over the whole window only if
/// at least this many arrivals are counted or expected in them, so that random variation is
/// not taken for a change.
const MIN_SIGNIFICANT_ARRIVALS: u64 = 10;

/// The arrivals of the last half second, with a faster reaction to sudden changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    counts: [u64; COUNTING_INTERVALS],
    current_count: u64,
    current_started: Option<MonoTime>,
}

impl Demand {
    pub(crate) fn record_arrival(&mut self, now: MonoTime) {
        self.advance(now);
        self.current_count += 1;
    }

    /// Returns whether any of the kept arrivals is counted, as of the latest update.
    pub(crate) fn has_recent_arrivals(&self) -> bool {
        self.current_count > 0 || self.counts.iter().any(|count| *count > 0)
    }

    /// Returns the rate of arrivals in millitokens a second, at one token an arrival.
    pub(crate) fn millitokens_per_second(&mut self, now: MonoTime) -> u64 {
        self.advance(now);
        let Some(current_started) = self.current_started else {
            return 0;
        };
        let into_interval = now.since(current_started);
        let long_rate = arrival_rate(
            self.current_count + self.counts.iter().sum::<u64>(),
            into_interval + COUNTING_INTERVAL * COUNTING_INTERVALS as u32,
        );
        let span = into_interval + COUNTING_INTERVAL;
        let count = self.current_count + self.counts[0];
        let short_rate = arrival_rate(count, span);
        let expected_count = long_rate * micros(span) / 1_000_000_000;
        let risen = count >= MIN_SIGNIFICANT_ARRIVALS && short_rate > long_rate;
        let fallen = expected_count >= MIN_SIGNIFICANT_ARRIVALS && count * 4 <= expected_count;
        if risen || fallen {
            short_rate
        } else {
            long_rate
        }
    }

    fn advance(&mut self, now: MonoTime) {
        let mut current_started = self.current_started.unwrap_or(now);
        if now.since(current_started) > COUNTING_INTERVAL * (2 * COUNTING_INTERVALS as u32) {
            (self.counts, self.current_count, current_started) = ([0; COUNTING_INTERVALS], 0, now);
        }
        while now.since(current_started) >= COUNTING_INTERVAL {
            self.counts.rotate_right(1);
            self.counts[0] = self.current_count;
            self.current_count = 0;
            current_started += COUNTING_INTERVAL;
        }
        self.current_started = Some(current_started);
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a rate in millitokens a second.
fn arrival_rate(count: u64, span: Duration) -> u64 {
    count * 1_000_000_000 / micros(span).max(1)
}
