//! Messages between the membership roles of two VMs.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::membership::Fence;
use crate::membership::RosterMemberKey;

/// A message between two VMs. Times are ages in microseconds, never clock readings.
///
/// Each `version` is the version of the fence that the sender holds, and a promise of that
/// incarnation of the VM to confirm no older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Requests evidence that the version is the newest.
    Ask {
        /// The number of the request, which the answer repeats.
        question: u64,
        /// The version that the sender holds.
        version: u64,
    },
    /// Answers `Ask`.
    Answer {
        /// The number of the request that is answered.
        question: u64,
        /// The version that the sender holds.
        version: u64,
        /// How long ago the platform confirmed that no newer version existed, including the time
        /// that the evidence spent at VMs that relayed it; `None` if it never did.
        confirmed_age_us: Option<u64>,
        /// Whether the sender, which itself gets no answer from the platform, confirms that it is
        /// a member, is not leaving and holds the same version as the requester.
        vouches: bool,
        /// The fence, if the requester held an older one.
        fence: Option<Arc<Fence>>,
    },
    /// Sends a fence that was written recently, to be acknowledged with `Held`.
    Push {
        /// The fence that the sender holds.
        fence: Arc<Fence>,
    },
    /// Acknowledges a version of the fence.
    Held {
        /// The version that the sender holds.
        version: u64,
    },
    /// Asks whether the receiver gets answers from a member that does not answer the sender.
    AskSilence {
        /// The unresponsive member.
        member: RosterMemberKey,
    },
    /// Answers `AskSilence`.
    Silence {
        /// The member in question.
        member: RosterMemberKey,
        /// How long the member has not answered the sender's messages; zero if it answers.
        unanswered_us: u64,
    },
}
