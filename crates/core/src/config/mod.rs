//! The configuration that operators publish, and how every VM keeps up with it.

mod access;
mod follower;
mod key;
mod model;
mod pending_confirmation;
mod protocol;

pub use follower::CONFIG_OBJECT;
pub use follower::ConfigFollower;
pub use key::KeyDigest;
pub use key::TenantKey;
pub use model::Access;
pub use model::Config;
pub use model::DataCentre;
pub use model::DataCentreState;
pub use model::Group;
pub use model::Member;
pub use model::MemberAvailability;
pub use model::Route;
pub use model::Workspace;
pub use protocol::ConfigMessage;
pub use protocol::FollowerAction;
pub use protocol::FollowerEvent;
