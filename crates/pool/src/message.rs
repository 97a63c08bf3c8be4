//! What the pools of two VMs tell each other.

use lycheedoor_core::rates::RatesMessage;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use serde::Deserialize;
use serde::Serialize;

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolMessage {
    /// A message between the rates roles.
    Rates(RatesMessage),
    /// Asks whether the receiver runs.
    Ping,
    /// Answers `Ping`.
    Pong,
    /// Asks when the receiver last heard a member that the sender cannot reach.
    AskContact {
        /// The group of the member.
        group: GroupId,
        /// The member.
        member: MemberId,
    },
    /// Answers `AskContact`.
    Contact {
        /// The group of the member.
        group: GroupId,
        /// The member.
        member: MemberId,
        /// Time since the member last answered the sender, in milliseconds.
        heard_ms: Option<u64>,
    },
    /// A promotion was accepted by the platform.
    Promoted {
        /// The group.
        group: GroupId,
        /// The new primary.
        member: MemberId,
        /// The fencing token of the promotion.
        token: u64,
    },
}
