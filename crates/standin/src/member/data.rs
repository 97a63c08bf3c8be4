//! The replicated log and data of a member.

use std::collections::BTreeMap;

use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use serde::Deserialize;
use serde::Serialize;

/// One change to the replicated data.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Operation {
    /// Sets the last issued number of a sequence.
    Issue { sequence: String, number: u64 },
    /// Sets the value of a key.
    Put { key: String, value: String },
    /// Stores the answer to a write with an idempotency key.
    Remember { key: String, answer: String },
}

/// One log entry; its operations become visible to reads at the same time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) term: Term,
    pub(crate) operations: Vec<Operation>,
}

/// The result of applying the log up to some entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicatedData {
    sequences: BTreeMap<String, u64>,
    values: BTreeMap<String, String>,
    answers: BTreeMap<String, String>,
}

impl ReplicatedData {
    pub(crate) fn apply(&mut self, operation: &Operation) {
        match operation {
            Operation::Issue { sequence, number } => {
                self.sequences.insert(sequence.clone(), *number);
            }
            Operation::Put { key, value } => {
                self.values.insert(key.clone(), value.clone());
            }
            Operation::Remember { key, answer } => {
                self.answers.insert(key.clone(), answer.clone());
            }
        }
    }

    pub(crate) fn number(&self, sequence: &str) -> Option<u64> {
        self.sequences.get(sequence).copied()
    }

    pub(crate) fn value(&self, key: &str) -> Option<String> {
        self.values.get(key).cloned()
    }

    pub(crate) fn answer(&self, key: &str) -> Option<String> {
        self.answers.get(key).cloned()
    }
}

/// Returns the position after the first `length` entries of a log.
pub(crate) fn position_of(log: &[Entry], length: usize) -> Position {
    length
        .checked_sub(1)
        .and_then(|last| log.get(last))
        .map(|entry| Position::new(entry.term, u64::try_from(length).unwrap_or(u64::MAX)))
        .unwrap_or_default()
}
