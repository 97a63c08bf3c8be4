//! The configuration that operators publish, and how every VM keeps up with it.

mod access;
mod key;
mod model;
mod pending_confirmation;
mod protocol;
mod watcher;

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
pub use protocol::ConfigWatcherAction;
pub use protocol::ConfigWatcherEvent;
pub use watcher::CONFIG_OBJECT;
pub use watcher::ConfigWatcher;
