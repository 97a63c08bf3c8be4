//! Terms and log positions of database groups.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// The number of a primary's term in one group; each promotion increments it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term that the next promotion starts.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in a group's log, ordered by term and then by the number of the log entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the entry was written.
    pub term: Term,
    /// The number of the entry in the log.
    pub log_position: u64,
}

impl Position {
    /// Creates a position from a term and the number of a log entry.
    pub fn new(term: Term, log_position: u64) -> Self {
        Self { term, log_position }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.log_position)
    }
}

/// The text is not of the form `term:log_position`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("position {text:?} is not of the form term:log_position")]
pub struct ParsePositionError {
    text: String,
}

impl FromStr for Position {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParsePositionError {
            text: text.chars().take(64).collect(),
        };
        let (term, log_position) = text.split_once(':').ok_or_else(invalid)?;
        Ok(Self {
            term: Term(term.parse().map_err(|_| invalid())?),
            log_position: log_position.parse().map_err(|_| invalid())?,
        })
    }
}
