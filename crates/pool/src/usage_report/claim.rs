//! How a VM claims the duty, and the writes to the record.

use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::store_revision::StoreRevision;
use crate::usage_report::DELAY_PER_RANK;
use crate::usage_report::KnownHolder;
use crate::usage_report::UsageReporter;
use crate::usage_report::holder::RETRY_DELAY;
use crate::usage_report::message::UsageAction;
use crate::usage_report::message::UsageRecord;
use crate::usage_report::signed;

/// What a write to the record is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Creates the record, or finds out who the holder is.
    Create,
    Claim,
    Fix,
}

/// A write to the record whose outcome is not known.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    purpose: Purpose,
    record: UsageRecord,
    expected: Option<StoreRevision>,
    begun_at: MonoTime,
    /// The token of the holder that was silent when the write began.
    silent_token: u64,
    /// When it is repeated; `None` while a call is in progress.
    retry_at: Option<MonoTime>,
}

impl UsageReporter {
    /// Claims the duty once nobody has heard from its holder for long enough.
    pub(crate) fn claim_if_due(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        let Some(since) = self.unanswered_since else {
            return;
        };
        let rank = u32::try_from(self.own_rank()).unwrap_or(u32::MAX);
        let due = since + self.takeover_timeout() + DELAY_PER_RANK.saturating_mul(rank);
        // The duty must not return to this VM soon after another one has had it for a moment.
        let due = due.max(self.reported_at + self.takeover_timeout());
        // A VM that no other VM answers is likely to be cut off itself.
        let recent = self.hand_on_interval() * 2;
        let is_connected = self.peers.is_empty()
            || self
                .answered_at
                .is_some_and(|answered_at| now.since(answered_at) <= recent);
        let is_connected = is_connected && self.is_store_reachable;
        if self.write.is_some() || now < due || !is_connected || self.window_at(now).is_none() {
            return;
        }
        let record = UsageRecord {
            unsent: Vec::new(),
            next_window: 0,
            ..self.claim_record(now, 0)
        };
        self.begin_write(now, Purpose::Create, record, None, out);
    }

    fn own_rank(&self) -> usize {
        let holder = self.known.as_ref().map(|known| &known.vm);
        let is_before = |vm: &VmId, incarnation: Incarnation| {
            Some(vm) != holder
                && (incarnation > self.incarnation
                    || incarnation == self.incarnation && *vm < self.vm)
        };
        let peers = self.peers.iter();
        peers
            .filter(|(vm, incarnation)| is_before(vm, *incarnation))
            .count()
    }

    /// Returns a record that names this VM, without windows. The token is the time in milliseconds
    /// unless a higher one is known: tokens then differ also if the store has lost a claim.
    fn claim_record(&mut self, now: MonoTime, known_token: u64) -> UsageRecord {
        self.last_sequence += 1;
        let offset = self.fleet_offset_us.or(self.wall_offset_us).unwrap_or(0);
        let time_ms = (signed(now.as_micros()) + offset) / 1_000;
        let known = known_token.max(self.heard_token);
        UsageRecord {
            holder: self.vm.clone(),
            incarnation: self.incarnation,
            token: (known + 1).max(u64::try_from(time_ms).unwrap_or(0)),
            sequence: self.last_sequence,
            next_window: 0,
            unsent: Vec::new(),
        }
    }

    pub(crate) fn begin_write(
        &mut self,
        now: MonoTime,
        purpose: Purpose,
        record: UsageRecord,
        expected: Option<StoreRevision>,
        out: &mut Vec<UsageAction>,
    ) {
        let silent_token = self.known.as_ref().map_or(0, |known| known.token);
        out.push(UsageAction::Write {
            record: record.clone(),
            expected,
        });
        self.write = Some(PendingWrite {
            purpose,
            record,
            expected,
            begun_at: now,
            silent_token,
            retry_at: None,
        });
    }

    /// Repeats a write unchanged. An earlier attempt may still take effect, and the condition lets
    /// only one of them do so.
    pub(crate) fn retry_write(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        let Some(write) = &mut self.write else {
            return;
        };
        if write.retry_at.take_if(|at| *at <= now).is_some() {
            out.push(UsageAction::Write {
                record: write.record.clone(),
                expected: write.expected,
            });
        }
    }

    /// Handles the outcome of a write that took effect, with the revision of the record.
    pub fn record_written(
        &mut self,
        now: MonoTime,
        revision: StoreRevision,
        out: &mut Vec<UsageAction>,
    ) {
        let Some(write) = self.write.take() else {
            return;
        };
        match (write.purpose, &mut self.duty) {
            (Purpose::Fix, Some(duty)) => {
                let next_window = write.record.next_window;
                duty.confirm(now, write.record, revision);
                self.heard_next_window = self.heard_next_window.max(next_window);
                self.run_duty(now, out);
            }
            (Purpose::Fix, None) => {}
            (Purpose::Create | Purpose::Claim, _) => {
                self.begin_duty(now, write.record, revision, out);
            }
        }
    }

    /// Ends the duty and the write in progress, since the store has come back from an older copy. The
    /// revisions that they rest on are given out again.
    pub(crate) fn store_restored(&mut self, out: &mut Vec<UsageAction>) {
        self.write = None;
        self.end_duty("the store has come back from an older copy", out);
    }

    /// Handles a write that had no effect because the record has another revision.
    pub fn record_differs(
        &mut self,
        now: MonoTime,
        revision: StoreRevision,
        record: Option<UsageRecord>,
        out: &mut Vec<UsageAction>,
    ) {
        let Some(write) = self.write.take() else {
            return;
        };
        if record.as_ref() == Some(&write.record) {
            // An earlier attempt got no answer and took effect.
            self.write = Some(write);
            return self.record_written(now, revision, out);
        }
        if write.purpose == Purpose::Fix {
            return self.end_duty("another VM has claimed the duty", out);
        }
        let Some(record) = record else {
            // The record is missing or cannot be read; the next attempt creates it.
            self.unanswered_since = Some(now);
            return;
        };
        if record.token > write.silent_token && record.holder != self.vm {
            // Another VM has become the holder meanwhile, or this VM did not know it.
            if self
                .known
                .as_ref()
                .is_some_and(|known| known.token >= record.token)
            {
                return;
            }
            self.heard_token = self.heard_token.max(record.token);
            self.heard_next_window = self.heard_next_window.max(record.next_window);
            self.known = Some(KnownHolder {
                vm: record.holder,
                token: record.token,
            });
            self.counter.reset_acknowledged();
            self.handed_on = None;
            self.unanswered_since = None;
            self.holder_answered_at = None;
            self.next_hand_on_at = now;
            return;
        }
        let claim = self.claim_record(now, record.token);
        let claim = UsageRecord {
            next_window: record.next_window,
            unsent: record.unsent,
            ..claim
        };
        self.begin_write(now, Purpose::Claim, claim, Some(revision), out);
    }

    /// Handles a write without a usable answer, which may still take effect.
    pub fn write_unanswered(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        let limit = self.takeover_timeout();
        let Some(write) = &mut self.write else {
            return;
        };
        if write.purpose == Purpose::Fix && now.since(write.begun_at) >= limit {
            // Another VM may reach the store. The next holder finds what this write may have fixed.
            return self.resign(now, "no answer of the store", out);
        }
        write.retry_at = Some(now + RETRY_DELAY);
    }
}
