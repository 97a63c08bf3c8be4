//! The messages that the failover roles of two VMs exchange.

use serde::Deserialize;
use serde::Serialize;

use crate::types::GroupId;
use crate::types::Term;

/// A message between two VMs. Times are ages in microseconds, never clock readings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailoverMessage {
    /// What answers the sender got from a group's primary.
    PrimaryReport {
        /// The group of the primary.
        group: GroupId,
        /// The term of the primary; a report for another term than the receiver's is ignored.
        term: Term,
        /// Whether the sender itself gets no answer and suspects the primary.
        suspects: bool,
        /// The age of the newest answered request of the sender; answers that other VMs reported
        /// to it do not count. `None` if it has got no answer.
        newest_answer_us: Option<u64>,
        /// The age of the second probe that the primary has left unanswered; the first one may
        /// have been lost. `None` if there are fewer than two.
        unanswered_us: Option<u64>,
    },
    /// The sender prepares a planned move: send no new statement to the primary of this term.
    PauseRequested {
        /// The group to pause.
        group: GroupId,
        /// The term of the primary; a request for another term than the receiver's is ignored.
        term: Term,
        /// Distinguishes this attempt from other attempts of the sender.
        round: u64,
    },
    /// The sender has paused the group as requested.
    Paused {
        /// The paused group.
        group: GroupId,
        /// The `round` of the request that this message answers.
        round: u64,
        /// Whether the sender has no work in progress on the primary.
        quiet: bool,
    },
    /// The sender has abandoned its attempt, or completed the move.
    PauseEnded {
        /// The group to resume.
        group: GroupId,
        /// The `round` of the request that started the pause.
        round: u64,
        /// The delay before the next attempt in microseconds; 0 after a completed move.
        retry_us: u64,
    },
}
