//! The event loop of a VM: sockets, timers and signals around the pool's decision logic.
//!
//! The event loop does I/O and executes actions; all decisions are made in `lycheedoor_pool`. The
//! encodings of callers, members and the platform are supplied through the traits
//! [`WireProtocol`], [`StoreCodec`], [`PromotionCodec`] and [`UsageCodec`].

mod caller_limits;
mod callers;
mod codecs;
mod driver;
mod load;
mod members;
mod pages;
mod peers;
mod promotions;
mod reload;
mod reports;
mod run;
mod store;
mod usage;

pub use codecs::CallerCodec;
pub use codecs::InvalidMessage;
pub use codecs::MemberCodec;
pub use codecs::MemberMessage;
pub use codecs::PromotionCodec;
pub use codecs::StoreCodec;
pub use codecs::UsageCodec;
pub use codecs::WireProtocol;
pub use reload::ReloadableSettings;
pub use reload::ReloadedSettings;
pub use reload::SettingsSource;
pub use run::Addresses;
pub use run::Codecs;
pub use run::NodeSetup;
pub use run::RunError;
pub use run::run;
