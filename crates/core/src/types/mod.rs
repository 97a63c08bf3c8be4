//! Identifiers, times, log positions and reasons that the modules of this crate share.

mod ids;
mod position;
mod reason;
mod rendezvous;
mod roster_view;
mod time;

pub use ids::CallerId;
pub use ids::ConnectionId;
pub use ids::DataCentreId;
pub use ids::GroupId;
pub use ids::Incarnation;
pub use ids::MemberId;
pub use ids::Nonce;
pub use ids::RequestId;
pub use ids::RouteId;
pub use ids::VmId;
pub use ids::WorkspaceId;
pub use position::Position;
pub use position::Term;
pub use reason::Outcome;
pub use reason::Reason;
pub use rendezvous::rendezvous_weight;
pub use roster_view::HeldSlot;
pub use roster_view::RosterPeer;
pub use roster_view::RosterView;
pub use time::MonoTime;
