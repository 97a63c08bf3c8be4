//! Decision logic of a session pooler in front of replicated database groups.
//!
//! One [`Pool`] runs on each VM. It multiplexes many caller sessions over few connections to the
//! members of each group, chooses members by the consistency that a read requires, enforces rate
//! limits across the fleet, and replaces failed or departing primaries. Members need no extension
//! for this: a member itself checks inside a transaction whether it is the primary, and the
//! platform checks the fencing token of a promotion.
//!
//! The crate does no I/O and reads no clock: a driver passes in events with the current time and
//! carries out the resulting actions.

mod adaptive;
mod admission;
mod budget;
mod cold;
mod commit_holders;
mod config;
mod dispatch;
mod event;
mod failover;
mod forward;
mod group;
mod home;
mod link;
mod lost_links;
mod member;
mod member_answers;
mod member_health;
mod member_verdicts;
mod message;
mod pace;
mod placement;
mod pool;
mod primary_position;
mod probe;
mod registration;
mod relay;
mod remote;
mod replies;
mod report;
mod requests;
mod room;
mod roster;
mod session;
mod statement;
mod stop;
mod store;
mod store_changes;
mod store_era;
mod store_revision;
mod store_watcher;
mod successor_monitor;
mod timeouts;
mod transactions;
mod unreachable_primary;
mod usage;
mod usage_duty;
pub mod usage_report;
mod watch_check;

pub use cold::cold_share;
pub use commit_holders::HolderSet;
pub use config::Consistency;
pub use config::GroupRule;
pub use config::PoolConfig;
pub use config::RateRule;
pub use config::RouteRule;
pub use event::CallerReply;
pub use event::PoolAction;
pub use event::PoolEvent;
pub use event::PromotionOutcome;
pub use event::WriteOutcome;
pub use forward::ForwardedReply;
pub use forward::ForwardedRequest;
pub use home::GroupHomes;
pub use member::MemberEntry;
pub use message::PoolMessage;
pub use pool::Pool;
pub use pool::PoolSettings;
pub use report::Report;
pub use room::MemberRoom;
pub use room::RoomShare;
pub use roster::FleetRecord;
pub use roster::RequestedPromotion;
pub use session::CallerUsage;
pub use statement::Access;
pub use statement::CallerError;
pub use statement::CallerRequest;
pub use statement::ForwardedStatement;
pub use statement::MemberAnswer;
pub use statement::MemberCommand;
pub use statement::MemberError;
pub use statement::MemberFault;
pub use statement::MemberStatus;
pub use statement::Statement;
pub use statement::TransactionState;
pub use store::ObjectAnswer;
pub use store::ObjectCall;
pub use store::ObjectChange;
pub use store::ObjectKind;
pub use store::ObjectValue;
pub use store::StoreUpdate;
pub use store_revision::StoreRevision;
pub use store_watcher::StoreWatcher;
