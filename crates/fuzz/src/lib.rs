//! Stateful fuzzing of several complete VMs in virtual time.
//!
//! A [`Simulation`] runs the decision logic of `lycheedoor_core::vm::Vm` against simulated versions
//! of the platform, the database groups, the network links and the callers. A run is determined by
//! the seed and the operations of a [`Case`], so a failing case can be replayed and shrunk. The
//! [`Oracle`] checks the invariants of the design page against what callers, targets and the
//! platform observe.

mod callers;
mod calls;
mod case;
mod counts;
mod database;
mod faults;
mod links;
mod oracle;
mod platform;
mod recovery;
mod run;
mod simulation;
mod statements;
mod targets;
mod topology;
mod traffic;
mod vms;

pub use case::Case;
pub use case::Change;
pub use case::Direction;
pub use case::Operation;
pub use case::Step;
pub use case::case_strategy;
pub use counts::Counts;
pub use oracle::Oracle;
pub use run::case_of_seed;
pub use run::fuzz_seed;
pub use run::replay_seed;
pub use simulation::Options;
pub use simulation::Simulation;
