//! The rate limiter of one workspace on one VM: its token bucket, its loans and the requests that
//! wait for a token.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::rates::MAX_TOKEN_WAIT;
use crate::rates::NANOTOKENS_PER_TOKEN;
use crate::rates::bucket::Bucket;
use crate::rates::bucket::OwnReserve;
use crate::rates::demand::Demand;
use crate::rates::loan::Lender;
use crate::rates::split::Share;
use crate::rates::split::Split;
use crate::types::MonoTime;
use crate::types::RequestId;
use crate::types::VmId;

/// The percentage of the measured demand to cover. The margin is for the error of a measurement
/// over half a second.
const COVERED_DEMAND_PERCENT: u64 = 115;

/// A VM starts to borrow refill rate when its demand reaches the first percentage of its own refill
/// rate, and stops when it falls below the second one.
const START_BORROWING_DEMAND_PERCENT: u64 = 180;
const STOP_BORROWING_DEMAND_PERCENT: u64 = 130;

/// Tokens are reserved and fetched for the demand of this period, in microseconds: the longest
/// interval between two rounds of token requests while they bring tokens.
const LOOKAHEAD_US: u64 = 20_000;

/// The shortest and the longest interval between two rounds of token requests. The interval doubles
/// after a round that brought no tokens, so that a flood of requests does not cause a flood of
/// control messages.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(10);
const MAX_FETCH_INTERVAL: Duration = Duration::from_millis(320);

/// The share of refused requests, in thousandths, above which the workspace counts as overloaded:
/// requests that wait would take the tokens of later ones, so that all are served late.
const OVERLOAD_REFUSALS_PER_MILLE: u32 = 300;

/// Each request contributes one part in this many to the moving average of refusals.
const REFUSAL_WEIGHT_DIVISOR: u32 = 16;

/// The fetch interval at which peers are assumed to have no tokens, reached after four rounds that
/// brought none.
const EXHAUSTED_FETCH_INTERVAL: Duration = Duration::from_millis(160);

/// How long the arrival of a request shows that more of its priority are to be expected.
const PRIORITY_MEMORY: Duration = Duration::from_secs(1);

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: RequestId,
    pub(crate) priority: u8,
    pub(crate) since: MonoTime,
    pub(crate) until: MonoTime,
}

/// The rate limiter of one workspace on this VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limiter {
    pub(crate) split: Split,
    pub(crate) bucket: Bucket,
    pub(crate) lenders: BTreeMap<VmId, Lender>,
    /// The peers that hold a share of the workspace's rate.
    pub(crate) share_holders: BTreeMap<VmId, Share>,
    pub(crate) demand: Demand,
    pub(crate) waiting: VecDeque<WaitingRequest>,
    /// A time not later than the earliest `until` in `waiting`.
    pub(crate) next_timeout: Option<MonoTime>,
    pub(crate) max_waiting: usize,
    pub(crate) next_fetch: MonoTime,
    fetch_interval: Duration,
    tokens_arrived: bool,
    /// The moving average of refused requests, in thousandths.
    refusals_per_mille: u32,
    /// When requests of each priority last arrived.
    priorities: BTreeMap<u8, MonoTime>,
}

impl Limiter {
    /// Refills the bucket and the loans up to `now`. `last_seq` returns the sequence number of the
    /// newest loan request sent to a peer.
    pub(crate) fn advance(&mut self, now: MonoTime, last_seq: impl Fn(&VmId) -> u64) {
        self.bucket.advance(now);
        for (peer, lender) in &mut self.lenders {
            lender.advance(now, last_seq(peer));
        }
    }

    /// Returns whether loans may have to be renewed or requested: there are some, or requests have
    /// arrived recently.
    pub(crate) fn may_need_loans(&self) -> bool {
        self.demand.has_recent_arrivals() || self.lenders.values().any(Lender::needs_report)
    }

    /// Returns the available nanotokens, own and borrowed.
    pub(crate) fn available(&self) -> u64 {
        let loans = self.lenders.values().filter_map(|lender| lender.loan);
        self.bucket.level() + loans.map(|loan| loan.accrued + loan.tokens).sum::<u64>()
    }

    /// Returns the refill rate, own and borrowed, in millitokens a second, which is the same as
    /// nanotokens a microsecond.
    pub(crate) fn refill_rate(&self) -> u64 {
        self.bucket.refill_rate() + self.borrowed_refill_rate()
    }

    /// Returns the borrowed refill rate in millitokens a second.
    pub(crate) fn borrowed_refill_rate(&self) -> u64 {
        let loans = self.lenders.values().filter_map(|lender| lender.loan);
        loans.map(|loan| loan.refill_rate).sum()
    }

    /// Records the arrival of a request of a priority.
    pub(crate) fn record_priority(&mut self, now: MonoTime, priority: u8) {
        self.priorities.insert(priority, now);
    }

    /// Returns whether requests of lower priorities than the given one have arrived lately, which
    /// wait in its place.
    pub(crate) fn precedes_others(&self, now: MonoTime, priority: u8) -> bool {
        let mut arrivals = self.priorities.iter();
        arrivals.any(|(other, at)| *other > priority && now.since(*at) < PRIORITY_MEMORY)
    }

    /// Spends one token and returns whether there was one.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.available() < NANOTOKENS_PER_TOKEN {
            return false;
        }
        let mut remaining = NANOTOKENS_PER_TOKEN;
        // Borrowed tokens are spent first because they are lost when the loan ends.
        for lender in self.lenders.values_mut() {
            if let Some(loan) = &mut lender.loan {
                let part = remaining.min(loan.tokens);
                loan.tokens -= part;
                remaining -= part;
                lender.has_unreported_spending |= part > 0;
            }
        }
        while remaining > 0 && self.spend_from_fullest(&mut remaining) {}
        true
    }

    /// Spends from the bucket or loan that is closest to its capacity, where refill would be lost
    /// first. Reduces `remaining` and returns whether anything was spent.
    fn spend_from_fullest(&mut self, remaining: &mut u64) -> bool {
        let own_bucket = (
            fill_per_mille(self.bucket.level(), self.bucket.capacity()),
            self.bucket.level(),
        );
        let loan = self
            .lenders
            .values_mut()
            .filter_map(|lender| lender.loan.as_mut())
            .filter(|loan| loan.accrued > 0)
            .max_by_key(|loan| (fill_per_mille(loan.accrued, loan.capacity), loan.accrued));
        match loan {
            Some(loan)
                if (fill_per_mille(loan.accrued, loan.capacity), loan.accrued) > own_bucket =>
            {
                let part = (*remaining).min(loan.accrued);
                loan.accrued -= part;
                *remaining -= part;
                part > 0
            }
            _ => {
                let part = (*remaining).min(self.bucket.level());
                self.bucket.spend(part);
                *remaining -= part;
                part > 0
            }
        }
    }

    /// Returns what this VM reserves for its own requests when it lends.
    pub(crate) fn own_reserve(&mut self, now: MonoTime) -> OwnReserve {
        let refill_rate = self.needed_refill_rate(now);
        let waiting = self.waiting.len() as u64 * NANOTOKENS_PER_TOKEN;
        OwnReserve {
            refill_rate,
            tokens: waiting + refill_rate * LOOKAHEAD_US,
        }
    }

    /// Returns the refill rate that covers the measured demand, in millitokens a second.
    pub(crate) fn needed_refill_rate(&mut self, now: MonoTime) -> u64 {
        self.demand.millitokens_per_second(now) * COVERED_DEMAND_PERCENT / 100
    }

    /// Returns the refill rate to borrow, in millitokens a second.
    ///
    /// Demand slightly above the VM's own rate is served by tokens that are fetched when needed:
    /// the measured demand is noisy, and a loan that follows the noise costs more messages and
    /// loses accrued tokens at each change.
    pub(crate) fn refill_rate_to_borrow(&mut self, now: MonoTime) -> u64 {
        let demand = self.demand.millitokens_per_second(now);
        let own = self.bucket.refill_rate();
        let percent = match self.borrowed_refill_rate() {
            0 => START_BORROWING_DEMAND_PERCENT,
            _ => STOP_BORROWING_DEMAND_PERCENT,
        };
        if demand * 100 < own * percent {
            return 0;
        }
        self.needed_refill_rate(now).saturating_sub(own)
    }

    /// Returns the nanotokens that are missing for the requests that wait or are expected soon.
    pub(crate) fn shortfall(&mut self, now: MonoTime) -> u64 {
        let waiting = self.waiting.len() as u64 * NANOTOKENS_PER_TOKEN;
        let needed = waiting + self.needed_refill_rate(now) * LOOKAHEAD_US;
        let covered = self.available() + self.refill_rate() * LOOKAHEAD_US;
        let missing = needed.saturating_sub(covered);
        if self.waiting.is_empty() {
            missing
        } else {
            missing.max(NANOTOKENS_PER_TOKEN.saturating_sub(self.available()))
        }
    }

    /// Returns the nanotokens beyond twice the reserve for requests that wait or are expected soon.
    pub(crate) fn surplus(&mut self, now: MonoTime) -> u64 {
        let kept = 2 * self.own_reserve(now).tokens;
        self.available().saturating_sub(kept)
    }

    /// Returns whether the latest rounds of token requests have brought none.
    pub(crate) fn peers_are_exhausted(&self) -> bool {
        self.fetch_interval >= EXHAUSTED_FETCH_INTERVAL && !self.tokens_arrived
    }

    /// Records whether a request was refused for want of a token.
    pub(crate) fn record_outcome(&mut self, is_refused: bool) {
        let outcome = if is_refused { 1_000 } else { 0 };
        self.refusals_per_mille = (self.refusals_per_mille * (REFUSAL_WEIGHT_DIVISOR - 1)
            + outcome)
            / REFUSAL_WEIGHT_DIVISOR;
    }

    /// Returns whether a large part of the latest requests was refused.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.refusals_per_mille > OVERLOAD_REFUSALS_PER_MILLE
    }

    /// Returns how long one more request of a priority would wait for its token without further
    /// loans.
    pub(crate) fn expected_wait(&self, now: MonoTime, priority: u8) -> Duration {
        let ahead = self
            .waiting
            .iter()
            .filter(|ahead| match self.admits_newest_first(now) {
                true => ahead.priority < priority,
                false => ahead.priority <= priority,
            });
        let ahead = ahead.count() as u64;
        let needed = (ahead + 1) * NANOTOKENS_PER_TOKEN;
        let missing = needed.saturating_sub(self.available());
        match self.refill_rate() {
            _ if missing == 0 => Duration::ZERO,
            0 => Duration::MAX,
            refill_rate => Duration::from_micros(missing.div_ceil(refill_rate)),
        }
    }

    /// Returns the index of the waiting request that gets the next token: one of the highest
    /// priority.
    pub(crate) fn next_to_admit(&self, now: MonoTime) -> Option<usize> {
        let highest = self.waiting.iter().map(|waiting| waiting.priority).min()?;
        let is_highest = |waiting: &WaitingRequest| waiting.priority == highest;
        if self.admits_newest_first(now) {
            self.waiting.iter().rposition(is_highest)
        } else {
            self.waiting.iter().position(is_highest)
        }
    }

    /// Returns whether the newest request gets the next token instead of the oldest. A request that
    /// has waited longer than [`MAX_TOKEN_WAIT`] shows that tokens are short for a while, and
    /// admission in order of arrival would then make every request late.
    fn admits_newest_first(&self, now: MonoTime) -> bool {
        let oldest = self.waiting.front();
        oldest.is_some_and(|oldest| now.since(oldest.since) > MAX_TOKEN_WAIT)
    }

    /// Schedules the next round of token requests.
    pub(crate) fn schedule_next_fetch(&mut self, now: MonoTime) {
        let interval = self.fetch_interval.max(MIN_FETCH_INTERVAL);
        self.next_fetch = now + interval;
        self.fetch_interval = match std::mem::take(&mut self.tokens_arrived) {
            true => (interval / 2).max(MIN_FETCH_INTERVAL),
            false => (interval * 2).min(MAX_FETCH_INTERVAL),
        };
    }

    /// Records that a peer has lent tokens, which shortens the fetch interval.
    pub(crate) fn record_token_arrival(&mut self) {
        self.tokens_arrived = true;
    }

    /// Returns when the next request can be admitted without a message from a peer.
    pub(crate) fn next_token(&self, now: MonoTime) -> Option<MonoTime> {
        let refill_rate = self.refill_rate();
        if self.waiting.is_empty() || refill_rate == 0 {
            return None;
        }
        let missing = NANOTOKENS_PER_TOKEN.saturating_sub(self.available());
        Some(now + Duration::from_micros(missing.div_ceil(refill_rate).max(1)))
    }

    /// Changes the share of this VM; it may keep the tokens that fit into `kept`.
    pub(crate) fn set_share(&mut self, now: MonoTime, kept: Share, share: Share) {
        self.bucket.set_share(now, kept, share);
    }
}

/// Returns the level of a bucket in thousandths of its capacity.
fn fill_per_mille(level: u64, capacity: u64) -> u64 {
    level.saturating_mul(1_000) / capacity.max(1)
}
