//! One workspace on one VM: its bucket, its loans and the requests that wait for a token.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::rates::MAX_WAIT;
use crate::rates::TOKEN;
use crate::rates::demand::Demand;
use crate::rates::home::Home;
use crate::rates::home::OwnNeed;
use crate::rates::loan::Source;
use crate::rates::split::Share;
use crate::rates::split::Split;
use crate::types::MonoTime;
use crate::types::RequestId;
use crate::types::VmId;

/// Demand is covered with this margin, in percent, because it is measured over half a second.
const DEMAND_MARGIN_PERCENT: u64 = 115;

/// A VM starts to borrow accrual when its demand reaches this part of its own, and stops below the
/// second one.
const START_BORROWING_PERCENT: u64 = 180;
const STOP_BORROWING_PERCENT: u64 = 130;

/// Tokens are kept and fetched for the demand of this time: the longest pause between two rounds
/// of asks while they bring something.
const LOOK_AHEAD_US: u64 = 20_000;

/// The shortest and the longest pause between two rounds of asks for tokens. The pause doubles
/// after a round that brought nothing, so that a flood does not become control traffic.
const MIN_ASK_PAUSE: Duration = Duration::from_millis(10);
const MAX_ASK_PAUSE: Duration = Duration::from_millis(320);

/// The pause from which on peers count as having no tokens: after four rounds that brought none.
const DRY_PAUSE: Duration = Duration::from_millis(160);

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: RequestId,
    pub(crate) since: MonoTime,
    pub(crate) until: MonoTime,
}

/// The state of one workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    pub(crate) split: Split,
    pub(crate) home: Home,
    pub(crate) sources: BTreeMap<VmId, Source>,
    pub(crate) demand: Demand,
    pub(crate) waiting: VecDeque<Waiting>,
    /// Not later than the end of the first wait that ends.
    pub(crate) next_timeout: Option<MonoTime>,
    pub(crate) max_waiting: usize,
    pub(crate) next_ask: MonoTime,
    ask_pause: Duration,
    tokens_arrived: bool,
}

impl Account {
    /// Accrues up to `now`; `last_seq` gives the newest ask sent to a peer.
    pub(crate) fn settle(&mut self, now: MonoTime, last_seq: impl Fn(&VmId) -> u64) {
        self.home.settle(now);
        for (peer, source) in &mut self.sources {
            source.settle(now, last_seq(peer));
        }
    }

    /// Returns the nanotokens at hand.
    pub(crate) fn available(&self) -> u64 {
        let loans = self.sources.values().filter_map(|source| source.loan);
        self.home.level() + loans.map(|loan| loan.accrued + loan.tokens).sum::<u64>()
    }

    /// Returns the accrual at hand in millitokens a second, which is nanotokens a microsecond.
    pub(crate) fn stream(&self) -> u64 {
        self.home.stream() + self.borrowed_stream()
    }

    /// Returns the accrual that is borrowed, in millitokens a second.
    pub(crate) fn borrowed_stream(&self) -> u64 {
        let loans = self.sources.values().filter_map(|source| source.loan);
        loans.map(|loan| loan.stream).sum()
    }

    /// Spends one token if there is one.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.available() < TOKEN {
            return false;
        }
        let mut due = TOKEN;
        // Lent tokens go first because they would be lost when the loan ends.
        for source in self.sources.values_mut() {
            if let Some(loan) = &mut source.loan {
                let part = due.min(loan.tokens);
                loan.tokens -= part;
                due -= part;
                source.unreported |= part > 0;
            }
        }
        while due > 0 && self.spend_fullest(&mut due) {}
        true
    }

    /// Takes from the bucket that is nearest to its limit, where accrual would be lost first.
    fn spend_fullest(&mut self, due: &mut u64) -> bool {
        let home = (
            fill(self.home.level(), self.home.capacity()),
            self.home.level(),
        );
        let loan = self
            .sources
            .values_mut()
            .filter_map(|source| source.loan.as_mut())
            .filter(|loan| loan.accrued > 0)
            .max_by_key(|loan| (fill(loan.accrued, loan.capacity), loan.accrued));
        match loan {
            Some(loan) if (fill(loan.accrued, loan.capacity), loan.accrued) > home => {
                let part = (*due).min(loan.accrued);
                loan.accrued -= part;
                *due -= part;
                part > 0
            }
            _ => {
                let part = (*due).min(self.home.level());
                self.home.spend(part);
                *due -= part;
                part > 0
            }
        }
    }

    /// Returns what a lender keeps for the requests of its own VM.
    pub(crate) fn own_need(&mut self, now: MonoTime) -> OwnNeed {
        let stream = self.needed_stream(now);
        let waiting = self.waiting.len() as u64 * TOKEN;
        OwnNeed {
            stream,
            tokens: waiting + stream * LOOK_AHEAD_US,
        }
    }

    /// Returns the accrual that the measured demand needs, in millitokens a second.
    pub(crate) fn needed_stream(&mut self, now: MonoTime) -> u64 {
        self.demand.per_second(now) * DEMAND_MARGIN_PERCENT / 100
    }

    /// Returns the accrual to borrow, in millitokens a second.
    ///
    /// Demand slightly above the own part is left to tokens on demand: its measure is noisy, and
    /// a loan that follows noise costs more messages and loses accrual at each change.
    pub(crate) fn missing_stream(&mut self, now: MonoTime) -> u64 {
        let demand = self.demand.per_second(now);
        let own = self.home.stream();
        let percent = match self.borrowed_stream() {
            0 => START_BORROWING_PERCENT,
            _ => STOP_BORROWING_PERCENT,
        };
        if demand * 100 < own * percent {
            return 0;
        }
        self.needed_stream(now).saturating_sub(own)
    }

    /// Returns the nanotokens that are missing for the requests that wait or will come soon.
    pub(crate) fn shortfall(&mut self, now: MonoTime) -> u64 {
        let waiting = self.waiting.len() as u64 * TOKEN;
        let needed = waiting + self.needed_stream(now) * LOOK_AHEAD_US;
        let covered = self.available() + self.stream() * LOOK_AHEAD_US;
        let missing = needed.saturating_sub(covered);
        if self.waiting.is_empty() {
            missing
        } else {
            missing.max(TOKEN.saturating_sub(self.available()))
        }
    }

    /// Returns the nanotokens beyond twice what is kept for requests that will come soon.
    pub(crate) fn surplus(&mut self, now: MonoTime) -> u64 {
        let kept = 2 * self.own_need(now).tokens;
        self.available().saturating_sub(kept)
    }

    /// Returns whether the latest rounds of asks have brought nothing.
    pub(crate) fn is_dry(&self) -> bool {
        self.ask_pause >= DRY_PAUSE && !self.tokens_arrived
    }

    /// Returns how long one more request would wait for its token without help of a peer.
    pub(crate) fn expected_wait(&self, now: MonoTime) -> Duration {
        let ahead = match self.serves_latest_first(now) {
            true => 0,
            false => self.waiting.len() as u64,
        };
        let needed = (ahead + 1) * TOKEN;
        let missing = needed.saturating_sub(self.available());
        match self.stream() {
            _ if missing == 0 => Duration::ZERO,
            0 => Duration::MAX,
            stream => Duration::from_micros(missing.div_ceil(stream)),
        }
    }

    /// Takes the request that gets the next token.
    pub(crate) fn next_to_admit(&mut self, now: MonoTime) -> Option<Waiting> {
        if self.serves_latest_first(now) {
            self.waiting.pop_back()
        } else {
            self.waiting.pop_front()
        }
    }

    /// Returns whether the latest request gets the next token, not the oldest. A request that has
    /// waited longer than [`MAX_WAIT`] means that tokens are short for a while, and the order of
    /// arrival would then make all of them late.
    fn serves_latest_first(&self, now: MonoTime) -> bool {
        let oldest = self.waiting.front();
        oldest.is_some_and(|oldest| now.since(oldest.since) > MAX_WAIT)
    }

    /// Starts the pause before the next round of asks for tokens.
    pub(crate) fn pause_asks(&mut self, now: MonoTime) {
        let pause = self.ask_pause.max(MIN_ASK_PAUSE);
        self.next_ask = now + pause;
        self.ask_pause = match std::mem::take(&mut self.tokens_arrived) {
            true => (pause / 2).max(MIN_ASK_PAUSE),
            false => (pause * 2).min(MAX_ASK_PAUSE),
        };
    }

    /// Shortens the pause after tokens have arrived.
    pub(crate) fn tokens_arrived(&mut self) {
        self.tokens_arrived = true;
    }

    /// Returns when the next request can be admitted without a message from a peer.
    pub(crate) fn next_token(&self, now: MonoTime) -> Option<MonoTime> {
        let stream = self.stream();
        if self.waiting.is_empty() || stream == 0 {
            return None;
        }
        let missing = TOKEN.saturating_sub(self.available());
        Some(now + Duration::from_micros(missing.div_ceil(stream).max(1)))
    }

    /// Changes the share of this VM; `kept` is the part for which it may keep tokens.
    pub(crate) fn resize(&mut self, now: MonoTime, kept: Share, share: Share) {
        self.home.resize(now, kept, share);
    }
}

/// Returns how full a bucket is, in thousandths.
fn fill(level: u64, capacity: u64) -> u64 {
    level.saturating_mul(1_000) / capacity.max(1)
}
