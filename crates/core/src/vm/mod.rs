//! Composition of the roles of one VM, and the interface to its driver.
//!
//! The decision logic does no I/O and reads no clock. A driver passes events and the current time
//! to `Vm::handle` and carries out the actions that it returns, so tests can run the same logic in
//! virtual time.

mod action;
mod availability;
mod callers;
mod calls;
mod codec;
mod counters;
mod event;
mod message;
mod placement;
mod primaries;
mod receive;
mod receive_callers;
mod roles;
mod run_budgets;
mod run_control;
mod run_drain;
mod run_exchanges;
mod running;
mod settings;
mod trace;
mod trace_failover;
mod view;

pub use action::PlatformRequest;
pub use action::VmAction;
pub use codec::FENCE_OBJECT;
pub use counters::OutcomeCounts;
pub use event::MemberCommand;
pub use event::MemberRole;
pub use event::MemberState;
pub use event::PlatformAnswer;
pub use event::TransactionStatus;
pub use event::VmEvent;
pub use message::PeerMessage;
pub use roles::Vm;
pub use settings::VmSettings;
pub use view::VmPhase;
