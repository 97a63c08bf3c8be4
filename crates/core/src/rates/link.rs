//! The messages to one peer.

use std::collections::VecDeque;

use crate::rates::BORROWER_LIFE;
use crate::types::MonoTime;

/// The numbers of the messages to one peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    /// The newest ask sent.
    pub(crate) seq: u64,
    sent: VecDeque<(u64, MonoTime)>,
}

impl Link {
    pub(crate) fn record(&mut self, now: MonoTime) -> u64 {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        while let Some((_, sent)) = self.sent.front()
            && now.since(*sent) > BORROWER_LIFE
        {
            self.sent.pop_front();
        }
        self.seq
    }

    pub(crate) fn sent_at(&self, seq: u64) -> Option<MonoTime> {
        let entry = self.sent.iter().find(|entry| entry.0 == seq);
        entry.map(|entry| entry.1)
    }
}
