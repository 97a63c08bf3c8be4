//! What this VM has borrowed from one peer for one workspace.

use crate::rates::NANOTOKENS_PER_MILLITOKEN;
use crate::rates::message::Grant;
use crate::types::MonoTime;

/// A loan from a peer that has not expired.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loan {
    /// The lent refill rate in millitokens a second.
    pub(crate) refill_rate: u64,
    /// The limit of `accrued`, in nanotokens.
    pub(crate) capacity: u64,
    /// Nanotokens accrued at the lent refill rate.
    pub(crate) accrued: u64,
    /// Lent nanotokens that are not spent.
    pub(crate) tokens: u64,
    /// When the loan ends, which is earlier than in the lender's record.
    pub(crate) expires: MonoTime,
    updated: MonoTime,
}

/// The state of borrowing from one peer for one workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lender {
    pub(crate) loan: Option<Loan>,
    /// The sequence number up to which answers are ignored: the newest one accepted or dropped.
    pub(crate) accepted_seq: u64,
    /// Whether the next request must report to the lender that the loan has been dropped.
    pub(crate) must_report_release: bool,
    /// Whether lent tokens have been spent since the last report to the lender.
    pub(crate) has_unreported_spending: bool,
    /// Millitokens that the peer could lend when it last answered.
    pub(crate) spare: Option<u64>,
    /// When the first loan request after the last accepted answer was queued.
    pub(crate) unanswered_since: Option<MonoTime>,
}

impl Lender {
    /// Refills the loan up to `now` and drops it if it has expired. `last_seq` is the sequence
    /// number of the newest loan request sent.
    pub(crate) fn advance(&mut self, now: MonoTime, last_seq: u64) {
        let Some(loan) = &mut self.loan else {
            return;
        };
        let until = now.min(loan.expires);
        let elapsed = until.as_micros().saturating_sub(loan.updated.as_micros());
        let gained = loan.refill_rate.saturating_mul(elapsed);
        loan.accrued = (loan.accrued + gained).min(loan.capacity);
        loan.updated = loan.updated.max(until);
        if loan.expires <= now {
            self.drop_loan(last_seq);
        }
    }

    /// Drops the loan and ignores answers to all loan requests up to `last_seq`.
    pub(crate) fn drop_loan(&mut self, last_seq: u64) {
        self.must_report_release |= self.loan.take().is_some();
        self.accepted_seq = self.accepted_seq.max(last_seq);
    }

    /// Applies a grant that is newer than the one in force and has not expired.
    ///
    /// Returns whether the grant was applied.
    pub(crate) fn accept(
        &mut self,
        now: MonoTime,
        seq: u64,
        expires: MonoTime,
        grant: &Grant,
    ) -> bool {
        if seq <= self.accepted_seq || expires <= now {
            return false;
        }
        let (accrued, tokens) = self.loan.map_or((0, 0), |loan| (loan.accrued, loan.tokens));
        let capacity = grant.refill_capacity * NANOTOKENS_PER_MILLITOKEN;
        // The lender reserves the former capacity until the next report, which includes the excess
        // in the unspent tokens.
        let excess = accrued.saturating_sub(capacity);
        self.loan = Some(Loan {
            refill_rate: grant.refill_rate,
            capacity,
            accrued: (accrued + grant.fill * NANOTOKENS_PER_MILLITOKEN).min(capacity),
            tokens: tokens + excess + grant.tokens * NANOTOKENS_PER_MILLITOKEN,
            expires,
            updated: now,
        });
        self.accepted_seq = seq;
        self.spare = Some(grant.spare);
        self.unanswered_since = None;
        true
    }

    /// Lowers the lent refill rate to at most `refill_rate`; at zero, what has accrued becomes
    /// plain tokens.
    pub(crate) fn lower_refill_rate(&mut self, refill_rate: u64) {
        let Some(loan) = &mut self.loan else {
            return;
        };
        loan.refill_rate = loan.refill_rate.min(refill_rate);
        if refill_rate == 0 {
            loan.tokens += std::mem::take(&mut loan.accrued);
            loan.capacity = 0;
        }
    }

    /// Returns whether the lender has to be told of changes, or the loan is worth renewing.
    pub(crate) fn needs_report(&self) -> bool {
        self.worth_renewing() || self.must_report_release || self.has_unreported_spending
    }

    /// Returns whether the loan is worth renewing; less than a millitoken is not.
    fn worth_renewing(&self) -> bool {
        self.loan.is_some_and(|loan| {
            loan.refill_rate + loan.capacity > 0 || loan.tokens >= NANOTOKENS_PER_MILLITOKEN
        })
    }
}
