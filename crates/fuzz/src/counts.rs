//! Counters of what a run has exercised.

use std::collections::BTreeMap;
use std::fmt;

/// Counters by name. Operations are counted by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts(BTreeMap<String, u64>);

impl Counts {
    /// Adds `number` to the counter `name`, which starts at 0.
    pub fn add(&mut self, name: &str, number: u64) {
        *self.0.entry(name.to_owned()).or_default() += number;
    }

    /// Returns the value of the counter `name`, or 0 if nothing was added to it.
    pub fn get(&self, name: &str) -> u64 {
        self.0.get(name).copied().unwrap_or_default()
    }

    /// Adds the counters of another run to these.
    pub fn merge(&mut self, other: &Self) {
        for (name, number) in &other.0 {
            self.add(name, *number);
        }
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|(name, number)| writeln!(f, "{number:>9}  {name}"))
    }
}
