//! Decides whether a member is left to probes because it fails, hangs or is slow, whatever its
//! entry says.
//!
//! A VM goes by its own statements. What other VMs have seen lowers the threshold for its own
//! evidence, or replaces it when most of them agree.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

/// Time after which an answer counts half.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Weight of recent bad answers from which a VM leaves a member by its own evidence: two within
/// some hundred milliseconds. One may be chance.
const MIN_OWN_WEIGHT: f64 = 1.6;

/// The lowest part of bad answers among the recent ones. A read that fails is repeated elsewhere,
/// so that a smaller part costs callers less than the loss of the member.
const MIN_OWN_SHARE: f64 = 0.2;

/// Weight of recent bad answers from which a VM tells others of them, without acting on its own.
const MIN_TOLD_WEIGHT: f64 = 0.9;

/// Weight of recent bad answers from which a VM leaves a member if others agree.
const MIN_AGREED_WEIGHT: f64 = 0.4;

/// The lowest part of bad answers if others agree.
const MIN_AGREED_SHARE: f64 = 0.1;

/// How many other VMs have to agree for the lower threshold. One alone may be cut off.
const MIN_AGREEING: usize = 2;

/// How many have to agree if this VM has no bad answers of its own; and at least half of those that
/// would tell it.
const MIN_AGREEING_ALONE: usize = 3;

/// Good answers since the first of the others' verdicts after which they do not replace own
/// evidence: the member is well for this VM.
const MAX_GOOD_AGAINST: f64 = 3.0;

/// Good answers to probes after which a member is used again.
const REQUIRED_GOOD_PROBES: u32 = 3;

/// How long a member gets no probe at first.
const INITIAL_HOLD: Duration = Duration::from_millis(500);

/// The maximum of that time, which doubles when the member is left again soon afterwards.
const MAX_HOLD: Duration = Duration::from_secs(8);

/// Time after which a member that went down, or was left to probes, starts afresh.
const RELAPSE_WINDOW: Duration = Duration::from_secs(10);

/// Time without a bad answer after which a member is used again although no probe was sent, because
/// no reads arrived.
const MAX_TIME_WITHOUT_EVIDENCE: Duration = Duration::from_secs(15);

/// Time between two probes of all VMs together.
const PROBE_SPACING: Duration = Duration::from_millis(50);
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two messages of this VM about a member.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a verdict of another VM counts: two lost refreshes.
pub(crate) const VERDICT_TIME_TO_LIVE: Duration = Duration::from_millis(2_500);

/// Why a member is left to probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaveCause {
    Own,
    Agreed,
    Others,
    Flapping,
}

impl LeaveCause {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Own => "bad answers",
            Self::Agreed => "bad answers, others agree",
            Self::Others => "bad answers to others",
            Self::Flapping => "down again",
        }
    }
}

/// A change that [`Health::review`] has made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    /// The member is left to probes from now on.
    Left { cause: LeaveCause, agreeing: usize },
    /// The member is used again, after this time.
    Readmitted { after: Duration },
}

#[derive(Clone, Copy, Debug)]
struct LeftOut {
    since: MonoTime,
    cause: LeaveCause,
    hold_until: MonoTime,
    next_probe_at: MonoTime,
    good_probes: u32,
    bad_at: MonoTime,
}

/// What a VM knows about how a member answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    good: f64,
    bad: f64,
    counted_at: MonoTime,
    /// The VMs that found the member bad, with the end of their verdicts.
    verdicts: BTreeMap<VmId, MonoTime>,
    good_since_verdicts: f64,
    left_out: Option<LeftOut>,
    hold: Duration,
    readmitted_at: Option<MonoTime>,
    /// When the member went down the last time, and the time before.
    went_down_at: [Option<MonoTime>; 2],
    is_flapping: bool,
    /// When this VM last told others that the member is bad, unless it has taken it back.
    told_at: Option<MonoTime>,
}

impl Health {
    /// Returns since when the member has been left to probes; `None` if it is used.
    pub(crate) fn left_out_since(&self) -> Option<MonoTime> {
        self.left_out.map(|left_out| left_out.since)
    }

    /// Returns whether there is anything to review while no answers arrive.
    pub(crate) fn is_active(&self) -> bool {
        self.left_out.is_some() || self.told_at.is_some() || !self.verdicts.is_empty()
    }

    /// Records a good answer to a statement that was sent at `sent_at`.
    pub(crate) fn note_good(&mut self, now: MonoTime, sent_at: MonoTime) {
        self.decay(now);
        self.good += 1.0;
        self.good_since_verdicts += 1.0;
        if let Some(left_out) = &mut self.left_out
            && sent_at >= left_out.hold_until
        {
            left_out.good_probes += 1;
        }
    }

    /// Records that a statement failed, was not answered in time, or was answered far too late.
    pub(crate) fn note_bad(&mut self, now: MonoTime) {
        self.decay(now);
        self.bad += 1.0;
        if let Some(left_out) = &mut self.left_out {
            left_out.good_probes = 0;
            left_out.bad_at = now;
            left_out.hold_until = left_out.hold_until.max(now + INITIAL_HOLD);
            if left_out.cause == LeaveCause::Others {
                left_out.cause = LeaveCause::Agreed;
            }
        }
    }

    /// Records that the member went down. Once or twice is left to the retries of members that are
    /// down: a restart may fail and be repeated.
    pub(crate) fn note_down(&mut self, now: MonoTime) {
        let [last, before] = self.went_down_at;
        self.is_flapping = before.is_some_and(|at| now.since(at) < RELAPSE_WINDOW);
        self.went_down_at = [Some(now), last];
    }

    /// Records the verdict of another VM.
    pub(crate) fn note_verdict(
        &mut self,
        now: MonoTime,
        from: &VmId,
        is_bad: bool,
        time_to_live: Duration,
    ) {
        if !is_bad {
            self.verdicts.remove(from);
            return;
        }
        if self.verdicts.is_empty() {
            self.good_since_verdicts = 0.0;
        }
        let until = now + time_to_live.min(VERDICT_TIME_TO_LIVE);
        self.verdicts.insert(from.clone(), until);
    }

    /// Decides again. `tellers` is how many other VMs would tell this one of bad answers.
    pub(crate) fn review(&mut self, now: MonoTime, tellers: usize) -> Option<HealthChange> {
        self.decay(now);
        self.verdicts.retain(|_, until| *until > now);
        let agreeing = self.verdicts.len();
        let cause = self.cause_to_leave(agreeing, tellers);
        if let Some(left_out) = self.left_out {
            let rests_on_others = left_out.cause == LeaveCause::Others;
            let is_taken_back = rests_on_others && cause.is_none();
            let is_outdated = now.since(left_out.bad_at) >= MAX_TIME_WITHOUT_EVIDENCE;
            if left_out.good_probes < REQUIRED_GOOD_PROBES && !is_taken_back && !is_outdated {
                return None;
            }
            self.left_out = None;
            self.readmitted_at = Some(now);
            self.bad = 0.0;
            let after = now.since(left_out.since);
            return Some(HealthChange::Readmitted { after });
        }
        let cause = cause?;
        self.is_flapping = false;
        let is_relapse = |at: MonoTime| now.since(at) < RELAPSE_WINDOW;
        self.hold = match self.readmitted_at.is_some_and(is_relapse) {
            true => (self.hold * 2).min(MAX_HOLD),
            false => INITIAL_HOLD,
        };
        self.left_out = Some(LeftOut {
            since: now,
            cause,
            hold_until: now + self.hold,
            next_probe_at: now + self.hold,
            good_probes: 0,
            bad_at: now,
        });
        Some(HealthChange::Left { cause, agreeing })
    }

    fn cause_to_leave(&self, agreeing: usize, tellers: usize) -> Option<LeaveCause> {
        let share = self.bad / (self.bad + self.good).max(1.0);
        let needed_alone = MIN_AGREEING_ALONE.max(tellers.div_ceil(2));
        if self.is_flapping {
            Some(LeaveCause::Flapping)
        } else if self.bad >= MIN_OWN_WEIGHT && share >= MIN_OWN_SHARE {
            Some(LeaveCause::Own)
        } else if agreeing >= MIN_AGREEING
            && self.bad >= MIN_AGREED_WEIGHT
            && share >= MIN_AGREED_SHARE
        {
            Some(LeaveCause::Agreed)
        } else if agreeing >= needed_alone && self.good_since_verdicts < MAX_GOOD_AGAINST {
            Some(LeaveCause::Others)
        } else {
            None
        }
    }

    /// Returns what this VM has to tell others now: whether the member is bad by its own evidence;
    /// `None` if there is nothing new. Verdicts of others are not passed on.
    pub(crate) fn verdict_to_tell(&mut self, now: MonoTime) -> Option<bool> {
        let is_own = |left_out: LeftOut| left_out.cause != LeaveCause::Others;
        let share = self.bad / (self.bad + self.good).max(1.0);
        let min_weight = match self.told_at {
            None => MIN_TOLD_WEIGHT,
            Some(_) => MIN_AGREED_WEIGHT,
        };
        let is_bad = self.left_out.is_some_and(is_own)
            || self.bad >= min_weight && share >= MIN_AGREED_SHARE;
        match (is_bad, self.told_at) {
            (true, Some(at)) if now.since(at) < TELL_INTERVAL => None,
            (true, _) => {
                self.told_at = Some(now);
                Some(true)
            }
            (false, None) => None,
            (false, Some(_)) => {
                self.told_at = None;
                Some(false)
            }
        }
    }

    /// Returns whether a member that is left out may get a read to see how it answers now.
    pub(crate) fn is_probe_due(&self, now: MonoTime) -> bool {
        let left_out = self.left_out;
        left_out.is_some_and(|left_out| left_out.hold_until.max(left_out.next_probe_at) <= now)
    }

    /// Records that a statement is sent to the member. `homes` VMs share the probes.
    pub(crate) fn note_sent(&mut self, now: MonoTime, homes: u32) {
        if let Some(left_out) = &mut self.left_out {
            let interval = PROBE_SPACING * homes;
            left_out.next_probe_at = now + interval.clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        }
    }

    fn decay(&mut self, now: MonoTime) {
        let half_lives = now.since(self.counted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        self.good *= factor;
        self.bad *= factor;
        self.counted_at = now;
    }
}
