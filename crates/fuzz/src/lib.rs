//! Stateful fuzz of several whole VMs in virtual time.
//!
//! A [`World`] drives real `lycheedoor_core::vm::Vm`s over fakes of the platform, the database
//! groups, the links and the callers. Everything follows from the seed and the list of operations
//! of a [`Case`], so a failing case replays and shrinks. The [`Oracle`] checks the invariants of
//! the design page on what callers, targets and the platform observe.

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
