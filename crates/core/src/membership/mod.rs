//! Membership lease: decides whether this VM may still act on the state that it holds.
//!
//! One object on the platform, the fence, holds the roster of the cell, the terms of its groups
//! and the open promotion intents. A VM's lease is evidence that it held the newest version of
//! the fence at a known time on its own clock. The evidence comes from the platform, directly or
//! relayed by other VMs, or, while the platform is unreachable, from a majority of the roster.
//!
//! A change is settled once no VM can act on an older version of the fence any more. Two rules
//! make it safe to wait for that:
//!
//! - the version of the fence that a VM holds never decreases, and a VM confirms only exactly the
//!   version that it holds, so each message that carries a version acknowledges all versions up
//!   to that one;
//! - a change is settled when every member has acknowledged it, or when a majority of the roster
//!   (and of the previous roster) has acknowledged it and `MembershipSettings::lease_wait` has
//!   passed since, so that the leases of the other members have expired.

mod change;
mod event;
mod fence;
mod lease;
mod message;
mod peer_messages;
mod peers;
mod platform;
mod rank;
mod renewal;
mod role;
mod roster_maintenance;
mod settings;
mod settlement;

pub use change::ChangeResult;
pub use change::FenceChange;
pub use event::FenceAnswer;
pub use event::LeaseSource;
pub use event::LossCause;
pub use event::MembershipAction;
pub use event::MembershipEvent;
pub use event::RemovalEvidence;
pub use event::Settlement;
pub use fence::Fence;
pub use fence::GroupState;
pub use fence::IntentPhase;
pub use fence::PromotionIntent;
pub use fence::Roster;
pub use fence::RosterMember;
pub use fence::RosterMemberKey;
pub use fence::SlotAssignment;
pub use message::MembershipMessage;
pub use rank::rendezvous_rank;
pub use role::Membership;
pub use settings::MembershipSettings;
