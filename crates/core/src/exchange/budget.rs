//! Limits the number of retries of each workspace and computes retry delays.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::types::MonoTime;

/// Retries allowed per 100 successes, so that retries add little load to a failing target.
const RETRIES_PER_100_SUCCESSES: u64 = 10;
/// Retries that are allowed regardless of successes, for workspaces with little traffic.
const MIN_ALLOWED_RETRIES: u64 = 10;
/// The length of a counting window. Successes and retries count in the current window and the one
/// after it.
const BUDGET_WINDOW_LENGTH: Duration = Duration::from_secs(5);

/// The bounds of the random delays before the first retry and before any retry.
const FIRST_RETRY_MAX_DELAY: Duration = Duration::from_millis(2);
const RETRY_MAX_DELAY: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    successes: u64,
    retries: u64,
}

/// The retry budget of one workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RetryBudget {
    window_start: MonoTime,
    current: Counts,
    previous: Counts,
}

impl RetryBudget {
    pub(super) fn record_success(&mut self, now: MonoTime) {
        self.rotate_windows(now);
        self.current.successes += 1;
    }

    pub(super) fn try_spend(&mut self, now: MonoTime) -> bool {
        self.rotate_windows(now);
        let successes = self.current.successes + self.previous.successes;
        let allowed = MIN_ALLOWED_RETRIES.max(successes * RETRIES_PER_100_SUCCESSES / 100);
        let available = self.current.retries + self.previous.retries < allowed;
        self.current.retries += u64::from(available);
        available
    }

    fn rotate_windows(&mut self, now: MonoTime) {
        let age = now.since(self.window_start);
        if age < BUDGET_WINDOW_LENGTH {
            return;
        }
        let recent = age < BUDGET_WINDOW_LENGTH * 2;
        self.previous = if recent {
            self.current
        } else {
            Counts::default()
        };
        self.current = Counts::default();
        self.window_start = now;
    }
}

/// Returns a random delay of at most an exponentially growing bound.
pub(super) fn retry_delay(rng: &mut ChaCha8Rng, attempt: u32) -> Duration {
    let bound = FIRST_RETRY_MAX_DELAY * 2u32.saturating_pow(attempt.min(10));
    let bound = bound.min(RETRY_MAX_DELAY).as_micros() as u64;
    Duration::from_micros(rng.random_range(0..=bound))
}
