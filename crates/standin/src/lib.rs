//! Simulated external systems for tests: the platform and database members.
//!
//! They speak the real protocols over sockets, but are not part of a deployment. All state is in
//! memory.

pub mod member;
pub mod platform;
pub mod ports;
