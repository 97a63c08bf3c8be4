//! The log positions that a session has seen.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::GroupId;
use crate::types::Position;

/// What the position of a session in one group proves; ordered from most to least.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Trust {
    /// The position covers everything that the session has done in the group.
    Proven,
    /// The caller presented no token: it has executed no statements before unless it lost its
    /// token.
    #[default]
    Unproven,
    /// The session may have written beyond the position; only the primary may serve it.
    PrimaryOnly,
}

/// The position of a session in one group, and what it proves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionMark {
    /// The highest position that the session has seen, if any.
    pub position: Option<Position>,
    /// How far the position can be relied on.
    pub trust: Trust,
}

/// The marks of a session in all groups. Vectors are merged by taking the maximum of each
/// component.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionVector {
    groups: BTreeMap<GroupId, SessionMark>,
    others: Trust,
}

impl SessionVector {
    /// Creates the vector of a caller that presented no token.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the vector of a caller whose token was not usable.
    pub fn without_evidence() -> Self {
        Self::with_unlisted_trust(Trust::PrimaryOnly)
    }

    pub(super) fn with_unlisted_trust(others: Trust) -> Self {
        Self {
            groups: BTreeMap::new(),
            others,
        }
    }

    /// Returns the trust of the groups that the vector does not list.
    pub fn unlisted_trust(&self) -> Trust {
        self.others
    }

    /// Returns the mark of a group; an unlisted group has no position.
    pub fn mark(&self, group: &GroupId) -> SessionMark {
        self.groups.get(group).copied().unwrap_or(SessionMark {
            position: None,
            trust: self.others,
        })
    }

    /// Iterates over the listed groups in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&GroupId, &SessionMark)> {
        self.groups.iter()
    }

    /// Raises the position and keeps the trust; returns whether the vector changed.
    pub fn raise(&mut self, group: &GroupId, position: Position) -> bool {
        let mark = self.mark(group);
        self.set(
            group,
            SessionMark {
                position: mark.position.max(Some(position)),
                ..mark
            },
        )
    }

    /// Raises the position after an answer of the primary; returns whether the vector changed.
    ///
    /// The position of the primary covers all earlier statements of the session in the group, so
    /// the trust becomes [`Trust::Proven`].
    pub fn raise_on_primary(&mut self, group: &GroupId, position: Position) -> bool {
        let mark = self.mark(group);
        self.set(
            group,
            SessionMark {
                position: mark.position.max(Some(position)),
                trust: Trust::Proven,
            },
        )
    }

    /// Restricts reads of the group to the primary; returns whether the vector changed.
    pub fn mark_primary_only(&mut self, group: &GroupId) -> bool {
        let mark = self.mark(group);
        self.set(
            group,
            SessionMark {
                trust: Trust::PrimaryOnly,
                ..mark
            },
        )
    }

    /// Merges another vector of the same session by taking the maximum of each component.
    pub fn merge(&mut self, other: &Self) {
        let names: Vec<GroupId> = self
            .groups
            .keys()
            .chain(other.groups.keys())
            .cloned()
            .collect();
        for group in names {
            let (own, theirs) = (self.mark(&group), other.mark(&group));
            self.groups.insert(
                group,
                SessionMark {
                    position: own.position.max(theirs.position),
                    trust: own.trust.max(theirs.trust),
                },
            );
        }
        self.others = self.others.max(other.others);
    }

    pub(super) fn set(&mut self, group: &GroupId, mark: SessionMark) -> bool {
        if self.groups.get(group) == Some(&mark) {
            return false;
        }
        self.groups.insert(group.clone(), mark);
        true
    }
}
