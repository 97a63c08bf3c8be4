//! This VM's share of what a member accepts from all VMs together: connections, and statements
//! while the member is still slow after its start ("cold").
//!
//! Each VM computes its share from the configuration and the roster, so that no messages between
//! VMs are needed before a connection is opened or a statement is sent.

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::rendezvous_weight;

use crate::cold::cold_share;
use crate::member::MemberEntry;
use crate::pool::Pool;

impl Pool {
    /// Returns this VM's share of the connections that a member of a group accepts.
    pub(crate) fn link_budget(&self, group: &GroupId, member: &MemberId) -> u32 {
        let homes = self.group_homes(group);
        homes.connection_share(member, &self.settings.vm)
    }

    /// Returns how many statements a second this VM may send to a cold member; `None` without a
    /// limit, 0 if the member is left to other VMs.
    pub(crate) fn cold_limit(&self, member: &MemberEntry) -> Option<f64> {
        let rule = self.config.groups.get(&member.group)?;
        let limit = rule.cold_per_s.filter(|_| !member.cold_left.is_zero())?;
        let (vms, rank) = self.vm_count_and_rank(&member.id);
        Some(cold_share(limit, vms, rank).unwrap_or_default())
    }

    /// Returns [`Pool::cold_limit`] for the member at the other end of a connection.
    pub(crate) fn cold_limit_of_link(&self, link: ConnectionId) -> Option<f64> {
        let link = self.links.get(&link)?;
        let group = self.groups.get(&link.group)?;
        self.cold_limit(&group.members.get(&link.member)?.entry)
    }

    /// Returns the number of VMs and the rank of this one for a member. The ranks are shifted by a
    /// hash of the member's name, so that the larger shares do not all go to the same VMs.
    fn vm_count_and_rank(&self, member: &MemberId) -> (u32, u32) {
        let vms = u32::try_from(self.roster.len()).unwrap_or(u32::MAX);
        let shift = rendezvous_weight(&[member.as_str().as_bytes()]) % u64::from(vms);
        let shift = u32::try_from(shift).unwrap_or_default();
        let rank = self.roster.index_of(&self.settings.vm);
        (vms, rank.saturating_add(shift))
    }
}
