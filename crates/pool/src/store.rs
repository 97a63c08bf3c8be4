//! Follows one kind of object in the platform's store: a full list, then watches.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::types::MonoTime;

use crate::catalogue::Catalogue;
use crate::member::MemberEntry;
use crate::roster::FleetRecord;

/// The first wait after a call without an answer.
const FIRST_RETRY: Duration = Duration::from_millis(200);

/// The longest wait between calls; a configuration has to be in force seconds after the store is
/// back.
const LONGEST_RETRY: Duration = Duration::from_millis(800);

/// The kinds of object that the pool follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// The operators' configuration.
    Configuration,
    /// The members' own entries.
    Members,
    /// Data centres that operators have taken out.
    Evacuations,
    /// The records of the fleet itself.
    Fleet,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Configuration,
        Self::Members,
        Self::Evacuations,
        Self::Fleet,
    ];

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Members => "members",
            Self::Evacuations => "evacuations",
            Self::Fleet => "fleet",
        }
    }
}

/// The content of an object.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectValue {
    /// A version of the configuration.
    Catalogue(Rc<Catalogue>),
    /// A member's entry.
    Member(MemberEntry),
    /// A data centre that is taken out; its name is the name of the object.
    Evacuation,
    /// A record of the fleet.
    Fleet(FleetRecord),
    /// An object that cannot be used, with the reason.
    Unusable(String),
}

/// The state of one object.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectChange {
    /// The name of the object.
    pub name: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The content; `None` when the object was removed.
    pub value: Option<ObjectValue>,
}

/// A call that reads from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectCall {
    /// Lists all objects of a kind.
    List {
        /// The kind.
        kind: ObjectKind,
        /// The name after which the page starts.
        after: Option<String>,
    },
    /// Waits for changes of a kind after a revision.
    Watch {
        /// The kind.
        kind: ObjectKind,
        /// The revision that is known.
        revision: u64,
    },
}

/// The answer to an [`ObjectCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectAnswer {
    /// A page of a list.
    Page {
        /// The objects of the page.
        objects: Vec<ObjectChange>,
        /// The name after which the next page starts, if there is one.
        next_after: Option<String>,
        /// The revision of the store.
        revision: u64,
    },
    /// What has changed; empty when the wait ended without a change.
    Events {
        /// The changes, oldest first.
        changes: Vec<ObjectChange>,
        /// The revision from which the next watch goes on.
        revision: u64,
    },
    /// The store has dropped the history that the watch needs.
    HistoryGone,
    /// There was no usable answer.
    Unavailable,
}

#[derive(Clone, Debug)]
enum Phase {
    List {
        after: Option<String>,
        revision: Option<u64>,
        seen: BTreeSet<String>,
    },
    Watch(u64),
}

/// Follows the objects of one kind.
#[derive(Clone, Debug)]
pub struct StoreFollower {
    kind: ObjectKind,
    phase: Phase,
    in_progress: bool,
    retry_at: Option<MonoTime>,
    retry: Duration,
    known: BTreeSet<String>,
    is_loaded: bool,
}

impl StoreFollower {
    /// Creates a follower that starts with a list.
    pub fn new(kind: ObjectKind) -> Self {
        Self {
            kind,
            phase: first_phase(),
            in_progress: false,
            retry_at: None,
            retry: FIRST_RETRY,
            known: BTreeSet::new(),
            is_loaded: false,
        }
    }

    /// Returns whether a whole list has been read since the start.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns when the next call is due, if the follower waits for that.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.retry_at
    }

    /// Returns the call that is due now, if any.
    pub fn next_call(&mut self, now: MonoTime) -> Option<ObjectCall> {
        if self.in_progress || self.retry_at.is_some_and(|at| at > now) {
            return None;
        }
        self.in_progress = true;
        self.retry_at = None;
        let kind = self.kind;
        Some(match &self.phase {
            Phase::List { after, .. } => ObjectCall::List {
                kind,
                after: after.clone(),
            },
            Phase::Watch(revision) => ObjectCall::Watch {
                kind,
                revision: *revision,
            },
        })
    }

    /// Takes the answer to the call and returns the changes that follow from it.
    pub fn answered(&mut self, now: MonoTime, answer: ObjectAnswer) -> Vec<ObjectChange> {
        self.in_progress = false;
        match answer {
            ObjectAnswer::Page {
                objects,
                next_after,
                revision,
            } => {
                self.retry = FIRST_RETRY;
                self.take_page(objects, next_after, revision)
            }
            ObjectAnswer::Events { changes, revision } => {
                self.retry = FIRST_RETRY;
                self.phase = Phase::Watch(revision);
                for change in &changes {
                    match change.value {
                        Some(_) => self.known.insert(change.name.clone()),
                        None => self.known.remove(&change.name),
                    };
                }
                changes
            }
            ObjectAnswer::HistoryGone => {
                self.phase = first_phase();
                Vec::new()
            }
            ObjectAnswer::Unavailable => {
                self.retry_at = Some(now + self.retry);
                self.retry = (self.retry * 2).min(LONGEST_RETRY);
                Vec::new()
            }
        }
    }

    fn take_page(
        &mut self,
        objects: Vec<ObjectChange>,
        next_after: Option<String>,
        page_revision: u64,
    ) -> Vec<ObjectChange> {
        let Phase::List {
            after,
            revision,
            seen,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        // Changes after the first page may be missing in it; the watch repeats them.
        let first_revision = *revision.get_or_insert(page_revision);
        seen.extend(objects.iter().map(|object| object.name.clone()));
        if next_after.is_some() {
            *after = next_after;
            return objects;
        }
        let seen = std::mem::take(seen);
        let gone = self.known.difference(&seen).map(|name| ObjectChange {
            name: name.clone(),
            revision: first_revision,
            value: None,
        });
        let mut changes: Vec<ObjectChange> = gone.collect();
        changes.extend(objects);
        self.known = seen;
        self.phase = Phase::Watch(first_revision);
        self.is_loaded = true;
        changes
    }
}

fn first_phase() -> Phase {
    Phase::List {
        after: None,
        revision: None,
        seen: BTreeSet::new(),
    }
}
