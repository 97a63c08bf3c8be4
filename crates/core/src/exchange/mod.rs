//! The lifecycle of a statement, from admission to its outcome.
//!
//! [`Exchanges`] tracks every statement of one VM until exactly one outcome has been reported for
//! it. Other roles decide on admission, connections, terms and the lease, and report their results
//! as events. An answer is returned to the caller only once it is durable, and only while the lease
//! is valid.

mod action;
mod answer;
mod budget;
mod caller;
mod durability;
mod event;
mod failure;
mod gate;
mod outcome;
mod pause;
mod placement;
mod role;
mod send;
mod statement;
mod term;
mod timers;

pub use action::ExchangeAction;
pub use event::ExchangeEvent;
pub use event::RequestPlan;
pub use gate::AnswerGate;
pub use role::ExchangeLimits;
pub use role::Exchanges;
