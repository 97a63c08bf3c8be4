//! The messages that VMs send to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::config::ConfigMessage;
use crate::dispatch::DispatchMessage;
use crate::failover::FailoverMessage;
use crate::membership::MembershipMessage;
use crate::rates::RatesMessage;

/// A message from one VM to another. Each role has one variant and defines its own messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Distribution of the published configuration.
    Config(ConfigMessage),
    /// Confirmation and distribution of the fence, on which the membership lease depends.
    Membership(MembershipMessage),
    /// Failure detection of primaries, and pauses for planned moves.
    Failover(FailoverMessage),
    /// Lending of rate limiter tokens.
    Rates(RatesMessage),
    /// Lending of permits for the connections and statement slots of members.
    Dispatch(DispatchMessage),
}
