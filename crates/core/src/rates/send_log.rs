//! The sequence numbers and send times of loan requests to one peer.

use std::collections::VecDeque;

use crate::rates::BORROWER_LOAN_LIFETIME;
use crate::types::MonoTime;

/// The `Ask` messages sent to one peer within the lifetime of a loan.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendLog {
    /// The sequence number of the newest message sent.
    pub(crate) seq: u64,
    sent: VecDeque<(u64, MonoTime)>,
}

impl SendLog {
    /// Assigns the next sequence number to a message sent now.
    pub(crate) fn record_send(&mut self, now: MonoTime) -> u64 {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        while let Some((_, sent)) = self.sent.front()
            && now.since(*sent) > BORROWER_LOAN_LIFETIME
        {
            self.sent.pop_front();
        }
        self.seq
    }

    /// Returns when a message was sent, or `None` if it is unknown or older than a loan can be.
    pub(crate) fn sent_at(&self, seq: u64) -> Option<MonoTime> {
        let entry = self.sent.iter().find(|entry| entry.0 == seq);
        entry.map(|entry| entry.1)
    }
}
