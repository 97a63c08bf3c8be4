//! The part of the roster that the roles with budgets shared by all VMs (rates, dispatch) use.

use crate::types::Incarnation;
use crate::types::MonoTime;
use crate::types::VmId;

/// A roster slot that this VM holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSlot {
    /// The number of the slot in the roster.
    pub slot: u16,
    /// The time from which this VM may use the slot, because the former holder no longer can.
    pub usable_from: MonoTime,
}

/// Another VM that is a member of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterPeer {
    /// The name of the VM.
    pub vm: VmId,
    /// The incarnation of the VM that is a member.
    pub incarnation: Incarnation,
    /// The numbers of the slots that the VM holds.
    pub slots: Vec<u16>,
}

/// The roster as seen by one VM with a valid lease.
///
/// The roles rely on this contract of the membership lease: a slot that moves to another VM
/// becomes usable only when no VM has a valid lease under a roster in which the former holder
/// had it, unless the former holder has reported that everything that it lent was returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterView {
    /// The version of the fence that contains the roster; a higher one is newer.
    pub version: u64,
    /// The number of slots in the roster, whether a VM holds them or not.
    pub slot_count: u16,
    /// The slots that this VM holds.
    pub slots: Vec<HeldSlot>,
    /// The other members of the roster.
    pub peers: Vec<RosterPeer>,
    /// When this VM's lease expires, unless it is renewed.
    pub lease_until: MonoTime,
}
