//! The pace at which a VM loads a member: how many statements and new connections it keeps in
//! progress there.
//!
//! A member that has started, restarted, recovered or been promoted begins with about as many
//! statements as it has slots, over all VMs together. From then on each VM finds its own part of
//! the pace by how the member answers. VMs exchange no messages about it: the homes of a member,
//! their order and its slots are known to all of them.

use std::time::Duration;

use lycheedoor_core::types::MonoTime;

/// The maximum of the limit on statements and new connections in progress, far more than one VM's
/// share of the connections.
const MAX_IN_PROGRESS_LIMIT: f64 = 64.0;

/// How much the limit grows once as many answers have arrived as the limit allows in progress.
const LIMIT_INCREMENT: f64 = 0.5;

/// Minimum time between two reductions of the limit. It is about as long as the queue of an
/// overloaded member takes, so that refusals already in progress at one reduction do not cause
/// another.
const MIN_LIMIT_CUT_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which twice as many VMs may use a member that begins. It is about as long as a new
/// connection and the first statement on it take.
const WAVE_INTERVAL: Duration = Duration::from_millis(40);

/// Answers that take this many times as long as usual show that a member has more work than it can
/// do. Statements at the 99th percentile take about three times as long as the average.
const SLOW_ANSWER_FACTOR: u32 = 4;

/// Each answer contributes one part in this many to the average that is compared with the usual
/// answer time. It is smaller than that of the long-term average, since a member that begins has to
/// be judged by its first few answers.
const AVERAGE_WEIGHT_DIVISOR: u32 = 4;

/// A VM's part of the load with which a member begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BeginShare {
    /// How many statements the VM may have in progress at first.
    pub(crate) first: u32,
    /// How long it leaves the member to other VMs before.
    pub(crate) delay: Duration,
}

impl BeginShare {
    /// Returns the share of the VM with the given rank among the homes of a member.
    ///
    /// At first only as many VMs as the member has slots use it; their number then doubles with
    /// each [`WAVE_INTERVAL`], as each of them doubles its part.
    pub(crate) fn new(slots: u32, homes: u32, rank: u32) -> Self {
        let slots = slots.max(1);
        let mut users = slots;
        let mut delay = Duration::ZERO;
        while rank >= users {
            users = users.saturating_mul(2);
            delay += WAVE_INTERVAL;
        }
        Self {
            first: (slots / homes.max(1)).max(1),
            delay,
        }
    }
}

/// The load of a member between its beginning and the pace that the VM's connections allow.
#[derive(Clone, Copy, Debug)]
struct Ramp {
    began_at: MonoTime,
    /// What the VM may keep in progress beyond its first share.
    grown: f64,
    /// Whether the load doubles with each round of answers; it grows by one after the member was
    /// once too slow.
    is_doubling: bool,
    /// The average answer time since the beginning; `None` before the first answer.
    answer_time: Option<Duration>,
    cuts: u32,
}

/// A ramp that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReachedPace {
    pub(crate) taken: Duration,
    /// How often the load was reduced in between.
    pub(crate) cuts: u32,
}

/// The limit on what a VM keeps in progress at a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    limit: f64,
    cut_at: MonoTime,
    ramp: Option<Ramp>,
}

impl Pace {
    /// Creates the pace of a member that begins at `now`.
    pub(crate) fn beginning(now: MonoTime) -> Self {
        let mut pace = Self {
            limit: MAX_IN_PROGRESS_LIMIT,
            cut_at: MonoTime::ZERO,
            ramp: None,
        };
        pace.begin(now);
        pace
    }

    /// Begins again after the member has started or recovered.
    pub(crate) fn begin(&mut self, now: MonoTime) {
        self.ramp = Some(Ramp {
            began_at: now,
            grown: 0.0,
            is_doubling: true,
            answer_time: None,
            cuts: 0,
        });
    }

    /// Returns the limit without regard to how long the member has been up.
    pub(crate) fn settled_limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether the member has not reached its pace yet.
    pub(crate) fn is_ramping(&self) -> bool {
        self.ramp.is_some()
    }

    /// Returns whether one more statement or new connection may be in progress besides `running`.
    ///
    /// `share` is `None` for members that take their full load at once. A member that is needed
    /// because no other can serve is used without a delay.
    pub(crate) fn has_room(
        &self,
        now: MonoTime,
        running: u32,
        share: Option<BeginShare>,
        is_needed: bool,
    ) -> bool {
        let limit = self.limit.floor().max(1.0);
        let limit = match (self.ramp, share) {
            (Some(ramp), Some(share)) => {
                if !is_needed && now.since(ramp.began_at) < share.delay {
                    return false;
                }
                limit.min(ramp.limit(share.first).floor())
            }
            _ => limit,
        };
        f64::from(running) < limit
    }

    /// Halves the limit for a member that refuses, at most once per round of answers. `budget` is
    /// this VM's share of the connections.
    pub(crate) fn overloaded(&mut self, now: MonoTime, budget: u32) {
        if now.since(self.cut_at) >= MIN_LIMIT_CUT_INTERVAL {
            self.cut_at = now;
            self.limit = (self.limit.min(f64::from(budget)) / 2.0).max(1.0);
            if let Some(ramp) = &mut self.ramp {
                ramp.cut();
            }
        }
    }

    /// Records an answer.
    pub(crate) fn answered(&mut self) {
        self.limit = (self.limit + LIMIT_INCREMENT / self.limit).min(MAX_IN_PROGRESS_LIMIT);
    }

    /// Records how long an answer took while the member has not reached its pace yet. `usual` is
    /// the answer time that is usual in the group. Returns whether it has reached its pace now.
    pub(crate) fn ramp_answered(
        &mut self,
        now: MonoTime,
        taken: Duration,
        usual: Duration,
        share: BeginShare,
        budget: u32,
    ) -> Option<ReachedPace> {
        let ramp = self.ramp.as_mut()?;
        let average = ramp.answer_time.unwrap_or(usual);
        let average = (average * (AVERAGE_WEIGHT_DIVISOR - 1) + taken) / AVERAGE_WEIGHT_DIVISOR;
        ramp.answer_time = Some(average);
        if average > usual * SLOW_ANSWER_FACTOR {
            if now.since(self.cut_at) >= MIN_LIMIT_CUT_INTERVAL {
                self.cut_at = now;
                ramp.cut();
            }
            return None;
        }
        ramp.grown += match ramp.is_doubling {
            true => 1.0,
            false => 1.0 / ramp.limit(share.first),
        };
        if ramp.limit(share.first) < f64::from(budget) {
            return None;
        }
        let reached = ReachedPace {
            taken: now.since(ramp.began_at),
            cuts: ramp.cuts,
        };
        self.ramp = None;
        Some(reached)
    }
}

impl Ramp {
    fn limit(&self, first: u32) -> f64 {
        f64::from(first) + self.grown
    }

    fn cut(&mut self) {
        self.grown /= 2.0;
        self.is_doubling = false;
        self.cuts += 1;
    }
}
