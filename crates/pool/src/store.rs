//! The objects of the platform's store, and the calls that read them.

use std::rc::Rc;

use serde::Deserialize;
use serde::Serialize;

use crate::config::PoolConfig;
use crate::member::MemberEntry;
use crate::roster::FleetRecord;
use crate::store_revision::StoreRevision;

/// The kinds of object that the pool watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// The name of the object, unique within its kind.
    pub name: String,
    /// The store revision of the object's latest change. The removal of an object that the first list
    /// of an era lacks has a revision of the former era, since the object may be written again.
    pub revision: StoreRevision,
    /// The content; `None` if the object was removed.
    pub value: Option<ObjectValue>,
}

impl ObjectChange {
    /// Returns the size of the object, as a number of entries.
    pub(crate) fn entry_count(&self) -> usize {
        match &self.value {
            Some(ObjectValue::Config(config)) => config.entry_count(),
            _ => 1,
        }
    }
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
        revision: StoreRevision,
    },
    /// Asks for the present revision of the store.
    Revision,
    /// Asks for the changes to objects of a kind after a revision, without waiting for one.
    Check {
        /// The kind of object to check.
        kind: ObjectKind,
        /// The last revision whose changes are already known.
        revision: StoreRevision,
    },
    /// Asks for any answer, to find out whether the store can be reached. The content may be old.
    Probe,
}

/// What one VM passes on to another so that the receiver knows a kind of object up to a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreUpdate {
    pub(crate) kind: ObjectKind,
    /// The receiver must know the objects at least up to this revision; `None` if the update
    /// contains all objects.
    pub(crate) since: Option<StoreRevision>,
    /// The revision up to which the objects are known after the update.
    pub(crate) revision: StoreRevision,
    /// The latest change of each object that has changed; `None` if these are too many, so that the
    /// receiver has to read them from the store.
    pub(crate) changes: Option<Vec<ObjectChange>>,
}

impl StoreUpdate {
    /// Returns the kind of object that the update is about.
    pub fn kind(&self) -> ObjectKind {
        self.kind
    }

    /// Replaces the records that builds before message version 2 cannot decode by unusable ones.
    pub(crate) fn hide_commit_holders(&mut self) {
        for change in self.changes.iter_mut().flatten() {
            if let Some(ObjectValue::Fleet(FleetRecord::CommitHolders(_))) = change.value {
                let reason = "record of another build".to_owned();
                change.value = Some(ObjectValue::Unusable(reason));
            }
        }
    }
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
        revision: StoreRevision,
    },
    /// The changes that a watch returned; empty if it ended without a change.
    Events {
        /// The changes, oldest first.
        changes: Vec<ObjectChange>,
        /// The revision from which the next watch continues.
        revision: StoreRevision,
    },
    /// The store has discarded changes that the watch needs; the objects have to be listed again.
    HistoryDiscarded,
    /// The store did not answer, or its answer could not be used.
    Unavailable,
}

impl ObjectAnswer {
    /// Returns the era of the answer; `None` if there was no usable one.
    pub(crate) fn era(&self) -> Option<u64> {
        match self {
            Self::Page { revision, .. } | Self::Events { revision, .. } => Some(revision.era),
            Self::HistoryDiscarded | Self::Unavailable => None,
        }
    }
}
