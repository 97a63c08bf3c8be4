//! The proxy process on a VM: actors on one thread that connect the decision logic with the
//! network.
//!
//! The actors do the I/O and read the clock. `VmActor` passes events to a [`DecisionLogic`] and
//! carries out the actions that it returns; each of the other actors owns one connection or
//! listening socket.

pub mod decision_logic;
pub mod single_primary;

mod actions;
mod caller_link;
mod cancel_link;
mod config_changes;
mod control;
mod member_link;
mod object_api;
mod observed_metrics;
mod observer;
mod operator_server;
mod operator_view;
mod peer_link;
mod peer_server;
mod platform_link;
mod run;
mod target_link;
mod vm;
mod vm_decision_logic;

pub use control::Identity;
pub use control::PlatformEndpoint;
pub use decision_logic::DecisionLogic;
pub use object_api::ObjectApiCodec;
pub use platform_link::PlatformCodec;
pub use run::Listeners;
pub use run::RunError;
pub use run::Setup;
pub use run::run;
pub use vm_decision_logic::VmDecisionLogic;
