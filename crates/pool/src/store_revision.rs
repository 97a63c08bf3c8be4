//! The position of a change in the history of the platform's store.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Bits of a fencing token that hold the revision. A store with 1,000 changes a second needs 34 years
/// to use them up; the rest leaves 8,192 eras below 2^53, up to which every JSON parser keeps whole
/// numbers exactly.
const TOKEN_REVISION_BITS: u32 = 40;

const TOKEN_REVISION_MASK: u64 = (1 << TOKEN_REVISION_BITS) - 1;

/// A revision of the store, together with the era that it belongs to.
///
/// A store that comes back from an older copy begins a new era and gives out revisions again, so that
/// a revision alone does not tell which of two states is the newer one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// How often the store has come back from a copy; 0 for a store that does not count this.
    pub era: u64,
    /// The number of the change within the era.
    pub revision: u64,
}

impl StoreRevision {
    /// Creates the revision of an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the revision as a number that is higher for later revisions, also of later eras, and
    /// that equals the revision in era 0.
    pub const fn token(self) -> u64 {
        (self.era << TOKEN_REVISION_BITS) | (self.revision & TOKEN_REVISION_MASK)
    }

    /// Returns the revision of a token.
    pub const fn from_token(token: u64) -> Self {
        Self {
            era: token >> TOKEN_REVISION_BITS,
            revision: token & TOKEN_REVISION_MASK,
        }
    }

    /// Returns the revision after this one.
    pub(crate) const fn next(self) -> Self {
        Self {
            revision: self.revision.saturating_add(1),
            ..self
        }
    }
}

impl From<u64> for StoreRevision {
    /// Returns the revision of a store that counts no eras.
    fn from(revision: u64) -> Self {
        Self::new(0, revision)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(formatter, "{}", self.revision),
            era => write!(formatter, "{era}.{}", self.revision),
        }
    }
}
