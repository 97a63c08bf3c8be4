//! Tracks one kind of object in the platform's store: lists all objects once, then watches for
//! changes.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::types::MonoTime;

use crate::config::PoolConfig;
use crate::member::MemberEntry;
use crate::roster::FleetRecord;

/// Delay before the first retry after a call that got no usable answer; it doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Upper limit of the retry delay: a new configuration has to be in force within seconds after the
/// store is available again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Changes of one kind that are read at once, each by a call of its own. Further ones are read
/// together, since each call wakes all VMs and counts against the rate of the store.
const MAX_SINGLE_CHANGES: u32 = 3;

/// Time after which one more change is read at once, and the longest delay of a change that is not.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// The kinds of object that the pool watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// The configuration set by operators.
    Configuration,
    /// The entries that members register for themselves.
    Members,
    /// Data centres that operators have taken out of service.
    Evacuations,
    /// Records that the VMs of the fleet write: VMs, and promotion claims of groups.
    Fleet,
}

impl ObjectKind {
    /// All kinds, in the order of their declaration.
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
    Config(Rc<PoolConfig>),
    /// A member's entry.
    Member(MemberEntry),
    /// A data centre that is taken out of service; the object has the name of the data centre.
    Evacuation,
    /// A record written by a VM of the fleet.
    Fleet(FleetRecord),
    /// An object that cannot be decoded or used, with the reason.
    Unusable(String),
}

/// The state of one object after a change.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectChange {
    /// The name of the object, unique within its kind.
    pub name: String,
    /// The store revision of the object's latest change.
    pub revision: u64,
    /// The content; `None` if the object was removed.
    pub value: Option<ObjectValue>,
}

/// A call that reads from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectCall {
    /// Lists all objects of a kind, page by page.
    List {
        /// The kind of object to list.
        kind: ObjectKind,
        /// The name after which the page starts; `None` for the first page.
        after: Option<String>,
    },
    /// Waits for changes to objects of a kind after a revision.
    Watch {
        /// The kind of object to watch.
        kind: ObjectKind,
        /// The last revision whose changes are already known.
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
        /// The name after which the next page starts; `None` for the last page.
        next_after: Option<String>,
        /// The revision of the store at which the page was read.
        revision: u64,
    },
    /// The changes that a watch returned; empty if it ended without a change.
    Events {
        /// The changes, oldest first.
        changes: Vec<ObjectChange>,
        /// The revision from which the next watch continues.
        revision: u64,
    },
    /// The store has discarded changes that the watch needs; the objects have to be listed again.
    HistoryDiscarded,
    /// The store did not answer, or its answer could not be used.
    Unavailable,
}

#[derive(Clone, Debug)]
enum Phase {
    List {
        after: Option<String>,
        revision: Option<u64>,
        seen_names: BTreeSet<String>,
    },
    Watch(u64),
}

/// Tracks the objects of one kind by list and watch calls.
#[derive(Clone, Debug)]
pub struct StoreWatcher {
    kind: ObjectKind,
    phase: Phase,
    is_call_in_progress: bool,
    retry_at: Option<MonoTime>,
    retry_delay: Duration,
    known_names: BTreeSet<String>,
    is_loaded: bool,
    /// How many more changes are read at once, as of `single_changes_at`.
    single_changes: u32,
    single_changes_at: MonoTime,
}

impl StoreWatcher {
    /// Creates a watcher whose first call lists the objects.
    pub fn new(kind: ObjectKind) -> Self {
        Self {
            kind,
            phase: initial_phase(),
            is_call_in_progress: false,
            retry_at: None,
            retry_delay: INITIAL_RETRY_DELAY,
            known_names: BTreeSet::new(),
            is_loaded: false,
            single_changes: MAX_SINGLE_CHANGES,
            single_changes_at: MonoTime::ZERO,
        }
    }

    /// Returns whether all pages of a list have been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns when the next call is due; `None` if the watcher is not waiting for a retry.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.retry_at
    }

    /// Returns the call to make now, if one is due; it counts as in progress until `answered`.
    pub fn next_call(&mut self, now: MonoTime) -> Option<ObjectCall> {
        if self.is_call_in_progress || self.retry_at.is_some_and(|at| at > now) {
            return None;
        }
        self.is_call_in_progress = true;
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

    /// Handles the answer to the call in progress and returns the resulting changes.
    pub fn answered(&mut self, now: MonoTime, answer: ObjectAnswer) -> Vec<ObjectChange> {
        self.is_call_in_progress = false;
        match answer {
            ObjectAnswer::Page {
                objects,
                next_after,
                revision,
            } => {
                self.retry_delay = INITIAL_RETRY_DELAY;
                self.apply_page(objects, next_after, revision)
            }
            ObjectAnswer::Events { changes, revision } => {
                self.retry_delay = INITIAL_RETRY_DELAY;
                self.phase = Phase::Watch(revision);
                if !changes.is_empty() {
                    self.pace_calls(now);
                }
                for change in &changes {
                    match change.value {
                        Some(_) => self.known_names.insert(change.name.clone()),
                        None => self.known_names.remove(&change.name),
                    };
                }
                changes
            }
            ObjectAnswer::HistoryDiscarded => {
                self.phase = initial_phase();
                Vec::new()
            }
            ObjectAnswer::Unavailable => {
                self.retry_at = Some(now + self.retry_delay);
                self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
                Vec::new()
            }
        }
    }

    /// Delays the next call if changes arrive in quick succession.
    fn pace_calls(&mut self, now: MonoTime) {
        let elapsed = now.since(self.single_changes_at).as_millis();
        let gained = elapsed / CHANGE_INTERVAL.as_millis();
        if gained > 0 {
            let gained = u32::try_from(gained).unwrap_or(u32::MAX);
            self.single_changes = self
                .single_changes
                .saturating_add(gained)
                .min(MAX_SINGLE_CHANGES);
            self.single_changes_at = now;
        }
        match self.single_changes.checked_sub(1) {
            Some(rest) => self.single_changes = rest,
            None => {
                self.retry_at = Some(now + CHANGE_INTERVAL);
                self.single_changes_at = now + CHANGE_INTERVAL;
            }
        }
    }

    fn apply_page(
        &mut self,
        objects: Vec<ObjectChange>,
        next_after: Option<String>,
        page_revision: u64,
    ) -> Vec<ObjectChange> {
        let Phase::List {
            after,
            revision,
            seen_names,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        // Changes made after the first page was read may be missing from that page. The watch
        // starts from the revision of the first page, so it delivers them.
        let first_revision = *revision.get_or_insert(page_revision);
        seen_names.extend(objects.iter().map(|object| object.name.clone()));
        if next_after.is_some() {
            *after = next_after;
            return objects;
        }
        let seen_names = std::mem::take(seen_names);
        let gone = self
            .known_names
            .difference(&seen_names)
            .map(|name| ObjectChange {
                name: name.clone(),
                revision: first_revision,
                value: None,
            });
        let mut changes: Vec<ObjectChange> = gone.collect();
        changes.extend(objects);
        self.known_names = seen_names;
        self.phase = Phase::Watch(first_revision);
        self.is_loaded = true;
        changes
    }
}

fn initial_phase() -> Phase {
    Phase::List {
        after: None,
        revision: None,
        seen_names: BTreeSet::new(),
    }
}
