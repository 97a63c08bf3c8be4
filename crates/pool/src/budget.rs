//! How many connections of a member each VM may hold.
//!
//! Members refuse connections beyond a number for all VMs together. Each VM works out its part
//! from the roster alone, so that no message between VMs is needed before a connection is opened.

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::rendezvous_weight;

use crate::pool::Pool;

/// Returns the part of a VM in the connections that a member takes from `vms` VMs.
///
/// As many as one VM's part stay free: the connections of a VM without power stay open at the
/// member for seconds, and its successor has to connect at once. What does not divide evenly goes
/// to the VMs whose `place` comes first. A VM always may hold one.
pub fn connection_part(limit: u32, vms: u32, place: u32) -> u32 {
    let vms = vms.max(1);
    let free = limit.div_ceil(vms.saturating_add(1));
    let used = limit.saturating_sub(free);
    let is_first = place % vms < used % vms;
    (used / vms + u32::from(is_first)).max(1)
}

impl Pool {
    /// Returns this VM's part of the connections that a member of a group takes.
    pub(crate) fn link_budget(&self, group: &GroupId, member: &MemberId) -> u32 {
        let rule = self.catalogue.groups.get(group);
        let limit = rule.map_or(1, |rule| rule.max_connections);
        let vms = u32::try_from(self.roster.len()).unwrap_or(u32::MAX);
        // Each member counts from another VM, so that the larger parts are not all of the same.
        let shift = rendezvous_weight(&[member.as_str().as_bytes()]) % u64::from(vms);
        let shift = u32::try_from(shift).unwrap_or_default();
        let place = self.roster.place(&self.settings.vm);
        connection_part(limit, vms, place.saturating_add(shift))
    }
}
