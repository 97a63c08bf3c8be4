//! The token bucket for the slots that this VM holds, and the record of what it has lent.

use std::collections::BTreeMap;

use crate::rates::LENDER_LOAN_LIFETIME;
use crate::rates::NANOTOKENS_PER_MILLITOKEN;
use crate::rates::NANOTOKENS_PER_TOKEN;
use crate::rates::message::Grant;
use crate::rates::message::LoanRequest;
use crate::rates::split::Share;
use crate::types::Incarnation;
use crate::types::MonoTime;
use crate::types::VmId;

/// How much a borrower may accrue at a lent refill rate, in microseconds of the share's whole
/// refill rate: longer than a borrower whose traffic has moved away takes to notice and to return
/// the rate.
const LENT_REFILL_CAPACITY_US: u64 = 300_000;

/// A share below this capacity is likely to be the only one of its workspace.
const SMALL_SHARE_CAPACITY: u64 = 4 * NANOTOKENS_PER_TOKEN;

/// A grant that may be in force at the borrower.
#[derive(Clone, Copy, Debug)]
struct GrantRecord {
    seq: u64,
    refill_rate: u64,
    capacity: u64,
    tokens: u64,
}

/// Everything that one borrower may hold.
#[derive(Clone, Debug)]
struct BorrowerRecord {
    last_seq: u64,
    expires: MonoTime,
    unspent: u64,
    grants: Vec<GrantRecord>,
}

impl BorrowerRecord {
    fn refill_rate(&self) -> u64 {
        self.grants
            .iter()
            .map(|grant| grant.refill_rate)
            .max()
            .unwrap_or(0)
    }

    fn refill_capacity(&self) -> u64 {
        self.grants
            .iter()
            .map(|grant| grant.capacity)
            .max()
            .unwrap_or(0)
    }

    fn capacity(&self) -> u64 {
        let in_flight: u64 = self.grants.iter().map(|grant| grant.tokens).sum();
        self.refill_capacity() + self.unspent + in_flight
    }

    /// Applies the borrower's report: grants before the accepted one are void, and what is left of
    /// the tokens of the accepted one is part of `unspent`.
    fn report(&mut self, request: &LoanRequest) {
        let accepted = request.accepted.unwrap_or(u64::MAX);
        self.grants.retain(|grant| grant.seq >= accepted);
        for grant in &mut self.grants {
            if grant.seq == accepted {
                grant.tokens = 0;
                grant.refill_rate = grant.refill_rate.min(request.want_refill_rate);
                if request.want_refill_rate == 0 {
                    grant.capacity = 0;
                }
            }
        }
        self.unspent = request.unspent * NANOTOKENS_PER_MILLITOKEN;
    }
}

/// What this VM reserves of its own bucket for its own requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnReserve {
    /// Millitokens a second.
    pub(crate) refill_rate: u64,
    /// Nanotokens.
    pub(crate) tokens: u64,
}

/// A token bucket in nanotokens.
///
/// Invariants: `level` plus the capacity of all loans is at most the share's capacity, and the
/// bucket accrues only the part of the refill rate that no borrower may hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bucket {
    share: Share,
    level: u64,
    updated: MonoTime,
    borrowers: BTreeMap<(VmId, Incarnation), BorrowerRecord>,
}

impl Bucket {
    pub(crate) fn level(&self) -> u64 {
        self.level
    }

    /// Returns the refill rate that is not lent.
    pub(crate) fn refill_rate(&self) -> u64 {
        let lent: u64 = self
            .borrowers
            .values()
            .map(BorrowerRecord::refill_rate)
            .sum();
        self.share.refill_rate.saturating_sub(lent)
    }

    /// Returns the highest level that outstanding loans leave room for.
    pub(crate) fn capacity(&self) -> u64 {
        let lent: u64 = self.borrowers.values().map(BorrowerRecord::capacity).sum();
        self.share.capacity.saturating_sub(lent)
    }

    pub(crate) fn updated(&self) -> MonoTime {
        self.updated
    }

    /// Returns whether any borrower may hold something.
    pub(crate) fn has_loans(&self) -> bool {
        self.borrowers
            .values()
            .any(|record| record.refill_rate() + record.capacity() > 0)
    }

    /// Returns when the first loan expires.
    pub(crate) fn next_expiry(&self) -> Option<MonoTime> {
        let active = self
            .borrowers
            .values()
            .filter(|record| !record.grants.is_empty());
        active.map(|record| record.expires).min()
    }

    /// Forgets the sequence numbers of VMs that have left the roster, whose messages are no longer
    /// accepted.
    pub(crate) fn forget_borrowers(&mut self, in_roster: impl Fn(&VmId, Incarnation) -> bool) {
        self.borrowers.retain(|(vm, incarnation), record| {
            !record.grants.is_empty() || in_roster(vm, *incarnation)
        });
    }

    pub(crate) fn spend(&mut self, amount: u64) {
        self.level = self.level.saturating_sub(amount);
    }

    /// Adds tokens, as far as they fit.
    pub(crate) fn add(&mut self, amount: u64) {
        self.level = self.level.saturating_add(amount).min(self.capacity());
    }

    /// Drops all tokens; what is lent stays reserved.
    pub(crate) fn clear(&mut self) {
        self.level = 0;
    }

    /// Refills the bucket up to `now` and ends the loans that have expired by then.
    pub(crate) fn advance(&mut self, now: MonoTime) {
        while let Some(expiry) = self.next_expiry().filter(|expiry| *expiry <= now) {
            self.accrue(expiry);
            // The last sequence number is kept: a late duplicate of that request must not be
            // applied again.
            for record in self
                .borrowers
                .values_mut()
                .filter(|record| record.expires <= expiry)
            {
                record.grants.clear();
                record.unspent = 0;
            }
        }
        self.accrue(now);
    }

    fn accrue(&mut self, until: MonoTime) {
        let elapsed = until.as_micros().saturating_sub(self.updated.as_micros());
        let gained = self.refill_rate().saturating_mul(elapsed);
        self.level = self.level.saturating_add(gained).min(self.capacity());
        self.updated = self.updated.max(until);
    }

    /// Changes the share; the bucket keeps the tokens that fit into `kept`.
    pub(crate) fn set_share(&mut self, now: MonoTime, kept: Share, share: Share) {
        self.advance(now);
        self.share = kept;
        self.level = self.level.min(self.capacity());
        self.share = share;
    }

    /// Answers a loan request, or returns `None` if the same or a newer one has been answered.
    pub(crate) fn answer(
        &mut self,
        now: MonoTime,
        borrower: (VmId, Incarnation),
        seq: u64,
        request: &LoanRequest,
        own: OwnReserve,
    ) -> Option<Grant> {
        self.advance(now);
        let mut record = self.borrowers.remove(&borrower).unwrap_or(BorrowerRecord {
            last_seq: 0,
            expires: now,
            unspent: 0,
            grants: Vec::new(),
        });
        if seq <= record.last_seq {
            self.borrowers.insert(borrower, record);
            return None;
        }
        record.report(request);
        let room = self.capacity().saturating_sub(record.capacity());
        let returned = request.returned * NANOTOKENS_PER_MILLITOKEN;
        self.level = (self.level + returned).min(room);

        let (refill_rate, capacity, fill) =
            self.lend_refill_rate(&record, request.want_refill_rate, own.refill_rate);
        let spare = self.level.saturating_sub(own.tokens) / NANOTOKENS_PER_MILLITOKEN;
        let tokens = self.whole_tokens(spare.min(request.want_tokens), request.want_tokens);
        self.level -= tokens * NANOTOKENS_PER_MILLITOKEN;
        record.grants.push(GrantRecord {
            seq,
            refill_rate,
            capacity,
            tokens: tokens * NANOTOKENS_PER_MILLITOKEN,
        });
        record.last_seq = seq;
        record.expires = now + LENDER_LOAN_LIFETIME;
        self.borrowers.insert(borrower, record);
        Some(Grant {
            workspace: request.workspace.clone(),
            refill_rate,
            refill_capacity: capacity / NANOTOKENS_PER_MILLITOKEN,
            fill,
            tokens,
            spare: spare - tokens,
        })
    }

    /// Rounds a partial grant down to whole tokens if the bucket is small. Fractions lent to
    /// several borrowers would leave none of them with a whole token.
    fn whole_tokens(&self, part: u64, requested: u64) -> u64 {
        let token = NANOTOKENS_PER_TOKEN / NANOTOKENS_PER_MILLITOKEN;
        if part < requested && self.share.capacity < SMALL_SHARE_CAPACITY {
            part / token * token
        } else {
            part
        }
    }

    /// Decides how much of the refill rate to lend, and makes room for what the borrower accrues.
    ///
    /// Returns the lent refill rate, its capacity in nanotokens, and the millitokens that no longer
    /// fit into the bucket and go to the borrower as already accrued. `record` is the borrower's
    /// record, which must not be in `borrowers` during the call.
    fn lend_refill_rate(
        &mut self,
        record: &BorrowerRecord,
        want: u64,
        own: u64,
    ) -> (u64, u64, u64) {
        let refill_rate = self.refill_rate().saturating_sub(own).min(want);
        // A borrower that may accrue less than a token gains nothing from a refill rate.
        if refill_rate == 0 || self.share.capacity < 2 * NANOTOKENS_PER_TOKEN {
            return (0, 0, 0);
        }
        let room = self.capacity().saturating_sub(record.capacity());
        let lent_tokens = record.capacity() - record.refill_capacity();
        let limit = self.capacity().saturating_sub(lent_tokens) / 2;
        let wanted = (self.share.refill_rate * LENT_REFILL_CAPACITY_US).max(NANOTOKENS_PER_TOKEN);
        let capacity = wanted.min(limit) / NANOTOKENS_PER_MILLITOKEN * NANOTOKENS_PER_MILLITOKEN;
        let added_capacity = capacity.saturating_sub(record.refill_capacity());
        let displaced = self
            .level
            .saturating_sub(room.saturating_sub(added_capacity));
        self.level -= displaced;
        // Only a borrower that can have accrued nothing is sure to have room for these tokens.
        let fill = match record.refill_capacity() {
            0 => displaced.min(capacity) / NANOTOKENS_PER_MILLITOKEN,
            _ => 0,
        };
        (refill_rate, capacity, fill)
    }
}
