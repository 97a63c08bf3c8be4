//! The content of the fence, the object on the platform that leases confirm.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::types::DataCentreId;
use crate::types::GroupId;
use crate::types::Incarnation;
use crate::types::MemberId;
use crate::types::Nonce;
use crate::types::Term;
use crate::types::VmId;

/// A VM and its incarnation, which together identify one process of that VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RosterMemberKey {
    /// The name of the VM, the same across restarts.
    pub vm: VmId,
    /// The incarnation, which differs for each start of the VM.
    pub incarnation: Incarnation,
}

/// The assignment of a slot of the roster to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAssignment {
    /// The number of the slot, less than `Roster::slot_count`.
    pub slot: u16,
    /// The version of the fence that the assignment replaced; differs for each assignment.
    pub assigned_after: u64,
}

/// A VM that may hold leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterMember {
    /// The name of the VM, the same across restarts.
    pub vm: VmId,
    /// The incarnation, which differs for each start of the VM.
    pub incarnation: Incarnation,
    /// The address on which the VM listens for other VMs.
    pub address: SocketAddr,
    /// The data centre in which the VM runs.
    pub data_centre: DataCentreId,
    /// The slots that are assigned to the VM.
    pub slots: Vec<SlotAssignment>,
}

impl RosterMember {
    /// Returns the name and incarnation of the VM.
    pub fn key(&self) -> RosterMemberKey {
        RosterMemberKey {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns whether `key` names this VM with the same incarnation.
    pub fn matches_key(&self, key: &RosterMemberKey) -> bool {
        self.incarnation == key.incarnation && self.vm == key.vm
    }
}

/// The VMs of a cell and the slots that they share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The number of slots, assigned or free.
    pub slot_count: u16,
    /// The VMs that may hold leases.
    pub members: Vec<RosterMember>,
    /// The members before the last change, until that change is settled. While present, a
    /// majority must also be a majority of these members, as in joint consensus.
    pub previous: Option<Vec<RosterMember>>,
    /// The version of the fence that the last change of the members replaced; identifies that
    /// change.
    pub changed_after: u64,
    /// Members and former members that are known to act and confirm versions no longer: they left
    /// by their own update, or were reported, for instance by a later incarnation of the same VM.
    /// They count as having acknowledged every version.
    pub ended: Vec<RosterMemberKey>,
}

impl Roster {
    /// Returns the current member with this key.
    pub fn member(&self, key: &RosterMemberKey) -> Option<&RosterMember> {
        self.members.iter().find(|member| member.matches_key(key))
    }

    /// Returns the current or former member with this key.
    pub fn current_or_former_member(&self, key: &RosterMemberKey) -> Option<&RosterMember> {
        self.current_and_former_members()
            .find(|member| member.matches_key(key))
    }

    /// Returns the current members and, until the last change is settled, the former members.
    pub fn current_and_former_members(&self) -> impl Iterator<Item = &RosterMember> {
        let former = self.previous.iter().flatten();
        let former =
            former.filter(|old| !self.members.iter().any(|new| new.matches_key(&old.key())));
        self.members.iter().chain(former)
    }

    /// Returns whether `agrees` holds for a majority of the members and, until the last change is
    /// settled, also for a majority of the previous members.
    pub fn has_majority(&self, mut agrees: impl FnMut(&RosterMember) -> bool) -> bool {
        let mut majority = |members: &[RosterMember]| {
            let agreeing = members.iter().filter(|member| agrees(member)).count();
            members.is_empty() || agreeing * 2 > members.len()
        };
        majority(&self.members) && self.previous.as_deref().is_none_or(majority)
    }

    /// Returns the slots that are assigned to no member.
    pub fn free_slots(&self) -> Vec<u16> {
        let held = |slot: &u16| {
            let mut slots = self.members.iter().flat_map(|member| &member.slots);
            slots.any(|assignment| assignment.slot == *slot)
        };
        (0..self.slot_count).filter(|slot| !held(slot)).collect()
    }
}

/// The current term of a group and its primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupState {
    /// The current term, which increases with each promotion.
    pub term: Term,
    /// The member that is primary in this term.
    pub primary: MemberId,
}

/// The phase of a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum IntentPhase {
    /// The primary is suspected; the intent may still be cancelled.
    Suspected,
    /// Members may have been fenced; the promotion can only be completed, not cancelled.
    Fencing,
}

/// An open promotion of a group. A VM that holds it acknowledges nothing in the term `from_term`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionIntent {
    /// The term that the promotion ends.
    pub from_term: Term,
    /// Identifies this intent among all intents of the group.
    pub nonce: Nonce,
    /// The VM that opened the intent, or that moved it to fencing.
    pub promoter: VmId,
    /// Whether the promotion may still be cancelled.
    pub phase: IntentPhase,
}

/// The state that leases confirm: the roster, the terms of the groups and the open intents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The version that the platform assigned; 0 before the object exists.
    pub version: u64,
    /// The VMs of the cell and their slots.
    pub roster: Roster,
    /// The open promotions, at most one for each group.
    pub intents: BTreeMap<GroupId, PromotionIntent>,
    /// The current term and primary of each group.
    pub groups: BTreeMap<GroupId, GroupState>,
    /// Identifies the update that wrote this version.
    pub nonce: Nonce,
}

impl Fence {
    /// Returns whether answers of the group's primary in this term may be acknowledged: the term
    /// is current and no promotion is open.
    pub fn may_acknowledge(&self, group: &GroupId, term: Term) -> bool {
        let current = self.groups.get(group);
        current.is_some_and(|state| state.term == term) && !self.intents.contains_key(group)
    }
}
