//! The VMs of the fleet, as recorded in the platform's store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use lycheedoor_core::rates::SlotOwner;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::HeldSlot;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::RosterPeer;
use lycheedoor_core::types::RosterView;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::commit_holders::HolderSet;
use crate::store_revision::StoreRevision;
use crate::usage_report::UsageRecord;

/// Time for the other VMs to learn of a changed roster before the new shares are used. A watch
/// reports the change within milliseconds; the rest allows for a slow store.
const ROSTER_PROPAGATION_DELAY: Duration = Duration::from_millis(300);

/// Shares do not expire: a VM that is cut off goes on with its own share, which stays reserved for
/// it as long as its record exists.
const SHARE_TIME_TO_LIVE: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

/// The version of the messages between VMs that this build understands. A VM sends a message only to
/// VMs whose record states at least the version that introduced it, since a build that does not know
/// a message closes the connection.
pub(crate) const MESSAGE_VERSION: u32 = 2;

/// A promotion that the platform may carry out although it has not answered, also after the VM that
/// requested it has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestedPromotion {
    /// The member that becomes the primary.
    pub member: MemberId,
    /// The term that the promotion ends. It changes nothing in a later one, in which the member is
    /// the primary or a request with a later token has been carried out.
    pub ended_term: Term,
    /// The position that the member had received.
    pub received: Position,
}

/// A record of the fleet in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetRecord {
    /// A VM and the address at which its peers reach it.
    Vm {
        /// The incarnation of the VM, which a restart changes.
        incarnation: Incarnation,
        /// The address to which peers send their messages.
        address: SocketAddr,
        /// Whether the VM runs statements that others forward. Records of builds that cannot do so,
        /// or that encode these messages differently, lack the field.
        #[serde(default, rename = "accepts_forwarded_v2")]
        accepts_forwarded: bool,
        /// The data centre of the VM. Records of builds that do not pass on what they read from the
        /// store lack the field.
        #[serde(default)]
        data_centre: Option<DataCentreId>,
        /// Which messages the VM understands; see [`MESSAGE_VERSION`]. Records of builds before
        /// version 1 lack the field.
        #[serde(default)]
        message_version: u32,
    },
    /// The latest claim to replace the primary of a group. The revision of this record is the
    /// fencing token of the claim, so no two claims share a token.
    Promotion {
        /// The VM that made the claim.
        holder: VmId,
        /// The incarnation of the holder when it made the claim.
        incarnation: Incarnation,
        /// The number of the claim among the holder's claims. It lets the holder recognise its own
        /// write after an answer was lost.
        sequence: u64,
        /// The primary that is to be replaced; `None` when none was known.
        replaces: Option<MemberId>,
        /// The promotion that has been requested by this claim or an earlier one, and may still take
        /// effect. Records of builds that do not keep it lack the field.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        requested: Option<RequestedPromotion>,
    },
    /// The members of a group that may hold confirmed commits.
    CommitHolders(HolderSet),
    /// Which VM reports usage, and what it reports. This record has a kind of its own, which the
    /// VMs do not watch, since it changes with each window.
    Usage(Box<UsageRecord>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RosterVm {
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
    pub(crate) accepts_forwarded: bool,
    pub(crate) data_centre: Option<DataCentreId>,
    pub(crate) message_version: u32,
}

impl From<RosterVm> for FleetRecord {
    /// Returns the record that contains an entry.
    fn from(entry: RosterVm) -> Self {
        let RosterVm {
            incarnation,
            address,
            accepts_forwarded,
            data_centre,
            message_version,
        } = entry;
        Self::Vm {
            incarnation,
            address,
            accepts_forwarded,
            data_centre,
            message_version,
        }
    }
}

/// The VMs of the fleet by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Roster {
    vms: BTreeMap<VmId, RosterVm>,
    /// The names in order.
    names: Vec<VmId>,
    version: StoreRevision,
    /// Whether homes may differ since [`Roster::take_placement_change`] was called.
    has_placement_changed: bool,
    /// The time from which this VM may use its shares; `None` while it is not in the roster.
    usable_from: Option<MonoTime>,
}

impl Roster {
    /// Adds or replaces a VM; returns whether the roster has changed. The highest revision of a
    /// record is the version of the roster, so that VMs can compare their versions.
    pub(crate) fn set(&mut self, vm: VmId, entry: RosterVm, revision: StoreRevision) -> bool {
        self.version = self.version.max(revision);
        let known = self.vms.insert(vm.clone(), entry.clone());
        if known.is_none() {
            let index = self.names.partition_point(|name| *name < vm);
            self.names.insert(index, vm);
        }
        let placement = |entry: &RosterVm| (entry.accepts_forwarded, entry.data_centre.clone());
        self.has_placement_changed |= known.as_ref().map(placement) != Some(placement(&entry));
        known != Some(entry)
    }

    /// Removes a VM; returns whether the roster has changed.
    pub(crate) fn remove(&mut self, vm: &VmId, revision: StoreRevision) -> bool {
        self.version = self.version.max(revision);
        self.names.retain(|name| name != vm);
        let is_known = self.vms.remove(vm).is_some();
        self.has_placement_changed |= is_known;
        is_known
    }

    /// Returns whether VMs have come, gone or changed in what makes them homes since the last call.
    pub(crate) fn take_placement_change(&mut self) -> bool {
        std::mem::take(&mut self.has_placement_changed)
    }

    pub(crate) fn get(&self, vm: &VmId) -> Option<&RosterVm> {
        self.vms.get(vm)
    }

    pub(crate) fn len(&self) -> usize {
        self.vms.len().max(1)
    }

    /// Returns the index of a VM in the order of names, or 0 if it is not in the roster.
    pub(crate) fn index_of(&self, vm: &VmId) -> u32 {
        let index = self.names.binary_search(vm);
        index.map_or(0, |index| u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// Returns the VM with an index in the order of names.
    pub(crate) fn vm_at(&self, index: usize) -> Option<&VmId> {
        self.names.get(index)
    }

    /// Returns the next other VM in the order of names; after the last one comes the first.
    pub(crate) fn next_after(&self, vm: &VmId) -> Option<VmId> {
        let others = || self.vms.keys().filter(|other| *other != vm);
        let next = others()
            .find(|other| *other > vm)
            .or_else(|| others().next());
        next.cloned()
    }

    /// Returns whether a VM understands the messages of a version.
    pub(crate) fn understands(&self, vm: &VmId, message_version: u32) -> bool {
        self.get(vm)
            .is_some_and(|entry| entry.message_version >= message_version)
    }

    /// Returns the VMs of a data centre.
    pub(crate) fn names_in(&self, data_centre: &DataCentreId) -> impl Iterator<Item = &VmId> {
        let vms = self.vms.iter();
        let vms = vms.filter(move |(_, entry)| entry.data_centre.as_ref() == Some(data_centre));
        vms.map(|(vm, _)| vm)
    }

    /// Returns the data centres of the VMs.
    pub(crate) fn data_centres(&self) -> BTreeSet<DataCentreId> {
        let vms = self.vms.values();
        vms.filter_map(|entry| entry.data_centre.clone()).collect()
    }

    /// Returns the VMs by slot number.
    pub(crate) fn slot_owners(&self) -> Vec<SlotOwner> {
        let owner = |(vm, entry): (&VmId, &RosterVm)| SlotOwner {
            vm: vm.clone(),
            data_centre: entry.data_centre.clone(),
        };
        self.vms.iter().map(owner).collect()
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &VmId> {
        self.vms.keys()
    }

    /// Returns the roster in the form that the rates role uses, in which the slot of a VM is its
    /// index in the order of names.
    ///
    /// A VM that joins or restarts uses its shares only after `ROSTER_PROPAGATION_DELAY`, when the
    /// other VMs have learned of it.
    pub(crate) fn view(&mut self, own: &VmId, now: MonoTime) -> RosterView {
        let own_slot = self.vms.keys().position(|vm| vm == own);
        let own_slot = own_slot.and_then(|index| u16::try_from(index).ok());
        let slots = own_slot.map(|slot| HeldSlot {
            slot,
            usable_from: self.usable_from.unwrap_or(now + ROSTER_PROPAGATION_DELAY),
        });
        let peers = (0..).zip(&self.vms).filter(|(_, (vm, _))| *vm != own);
        let peers = peers.map(|(slot, (vm, entry))| RosterPeer {
            vm: vm.clone(),
            incarnation: entry.incarnation,
            slots: vec![slot],
        });
        self.usable_from = slots.map(|held| held.usable_from);
        RosterView {
            version: self.version.token(),
            slot_count: u16::try_from(self.vms.len()).unwrap_or(u16::MAX),
            slots: slots.into_iter().collect(),
            peers: peers.collect(),
            lease_until: now + SHARE_TIME_TO_LIVE,
        }
    }
}
