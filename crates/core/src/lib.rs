//! The decision logic of the proxy, without I/O: state machines that map typed events to typed
//! actions.
//!
//! Nothing in this crate does I/O, reads a clock, starts a thread, uses unseeded random numbers
//! or depends on the iteration order of a hash table. A driver (the actors of the `lycheedoor`
//! binary, a property test or a benchmark) passes the current time with each event and carries
//! out the actions, so every decision can be reproduced from a list of events.

pub mod config;
pub mod dispatch;
pub mod drain;
pub mod exchange;
pub mod failover;
pub mod membership;
pub mod rates;
pub mod session;
pub mod timeline;
pub mod types;
pub mod vm;
