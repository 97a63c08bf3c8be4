//! The state of one member as this VM knows it.

use std::time::Duration;

use crate::types::MonoTime;
use crate::types::Position;
use crate::types::Term;

/// The weight of the newest sample in the moving average of the apply rate.
const SAMPLE_WEIGHT_PERCENT: u64 = 30;

/// The distance of a member and whether it takes new statements, according to the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberPlacement {
    /// The distance from this VM's data centre, in microseconds; equal for all members of one
    /// data centre.
    pub distance_us: u32,
    /// Whether operators have taken the member's data centre out of service.
    pub data_centre_out: bool,
    /// Whether the member is leaving, so that it takes no new statements.
    pub leaving: bool,
}

/// The last reported applied position of a member.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppliedPosition {
    pub(super) position: Position,
    /// When the report arrived. A report that was requested later is certainly newer.
    pub(super) arrived_at: MonoTime,
}

#[derive(Clone, Debug)]
pub(super) struct MemberView {
    pub(super) place: MemberPlacement,
    pub(super) reachable: bool,
    pub(super) outstanding: u32,
    /// The number of the last statement started on the member, counted over the group. The lowest
    /// is chosen among otherwise equal members, so that reads are spread over them.
    pub(super) last_started: u64,
    pub(super) term: Term,
    pub(super) applied: Option<AppliedPosition>,
    pub(super) received: Option<Position>,
    pub(super) apply_rate_per_s: u64,
}

impl MemberView {
    pub(super) fn new(place: MemberPlacement) -> Self {
        Self {
            place,
            reachable: true,
            outstanding: 0,
            last_started: 0,
            term: Term::default(),
            applied: None,
            received: None,
            apply_rate_per_s: 0,
        }
    }

    pub(super) fn usable(&self) -> bool {
        self.reachable && !self.place.leaving && !self.place.data_centre_out
    }

    /// Discards the known positions. A member that has reported nothing in the current term may
    /// have truncated the end of its log.
    pub(super) fn discard_positions(&mut self) {
        self.applied = None;
        self.received = None;
        self.apply_rate_per_s = 0;
    }

    pub(super) fn observe_applied(&mut self, now: MonoTime, sent_at: MonoTime, new: Position) {
        let report = AppliedPosition {
            position: new,
            arrived_at: now,
        };
        match self.applied {
            Some(old) if new < old.position && sent_at < old.arrived_at => {}
            Some(old) if new < old.position => {
                self.discard_positions();
                self.applied = Some(report);
            }
            Some(old) => {
                self.update_apply_rate(old, report);
                self.applied = Some(report);
            }
            None => self.applied = Some(report),
        }
    }

    fn update_apply_rate(&mut self, old: AppliedPosition, new: AppliedPosition) {
        let elapsed_us = new.arrived_at.since(old.arrived_at).as_micros() as u64;
        if elapsed_us == 0 || new.position.term != old.position.term {
            return;
        }
        let entries = new.position.log_position - old.position.log_position;
        let sample = entries.saturating_mul(1_000_000) / elapsed_us;
        self.apply_rate_per_s = match self.apply_rate_per_s {
            0 => sample,
            rate => (rate * (100 - SAMPLE_WEIGHT_PERCENT) + sample * SAMPLE_WEIGHT_PERCENT) / 100,
        };
    }

    /// Returns the expected time until the member has applied `wanted`, or `None` if it cannot be
    /// estimated.
    pub(super) fn expected_wait(&self, now: MonoTime, wanted: Position) -> Option<Duration> {
        let applied = self.applied?;
        if applied.position.term != wanted.term || self.apply_rate_per_s == 0 {
            return None;
        }
        let missing = wanted
            .log_position
            .saturating_sub(applied.position.log_position);
        let total = missing.saturating_mul(1_000_000) / self.apply_rate_per_s;
        Some(Duration::from_micros(total).saturating_sub(now.since(applied.arrived_at)))
    }
}
