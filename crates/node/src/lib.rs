//! The event loop of a VM: sockets, timers and signals around the decisions of the pool.
//!
//! The loop moves bytes and carries out actions; all decisions are in `lycheedoor_pool`. The
//! encodings of callers, members and the platform come through the traits of [`Dialect`],
//! [`StoreCodec`] and [`PromotionCodec`].

mod borders;
mod callers;
mod driver;
mod members;
mod orders;
mod peers;
mod probes;
mod reload;
mod reports;
mod run;
mod store;

pub use borders::CallerCodec;
pub use borders::Dialect;
pub use borders::InvalidMessage;
pub use borders::MemberCodec;
pub use borders::MemberMessage;
pub use borders::PromotionCodec;
pub use borders::StoreCodec;
pub use reload::ChangedSettings;
pub use reload::LiveSettings;
pub use reload::SettingsSource;
pub use run::Addresses;
pub use run::Borders;
pub use run::RunError;
pub use run::Setup;
pub use run::run;
