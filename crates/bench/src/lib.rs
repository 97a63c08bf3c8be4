//! Benchmarks of the decision logic in virtual time, and the capacity slopes of docs/CAPACITY.md.

pub mod alloc;
pub mod fit;
pub mod fleet;
pub mod measures;
pub mod sample;
pub mod slopes;
