//! Which VMs observe a group, and how many of its members must be fenced for a promotion.

use std::collections::BTreeMap;

use crate::membership::Roster;
use crate::membership::RosterMember;
use crate::membership::rendezvous_rank;
use crate::types::DataCentreId;
use crate::types::GroupId;
use crate::types::VmId;

/// Returns the observers of a group, lowest rank first, spread over data centres.
///
/// The result depends on the arguments alone, so that all VMs with the same roster agree on it.
pub fn observers(group: &GroupId, roster: &Roster, count: usize) -> Vec<VmId> {
    let rank_key = format!("failover:{group}");
    let rank = |member: &RosterMember| rendezvous_rank(&rank_key, &member.vm);
    let mut ranked: Vec<_> = roster.members.iter().collect();
    ranked.sort_by_key(|member| rank(member));
    let mut seen: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
    let mut spread: Vec<_> = ranked
        .into_iter()
        .map(|member| {
            let place = seen.entry(&member.data_centre).or_default();
            *place += 1;
            (*place, rank(member), member)
        })
        .collect();
    spread.sort_by_key(|(place, rank, _)| (*place, *rank));
    spread.truncate(count);
    spread.sort_by_key(|(_, rank, _)| *rank);
    spread
        .into_iter()
        .map(|(_, _, member)| member.vm.clone())
        .collect()
}

/// Returns how many of a group's members must be fenced before one is promoted.
///
/// A write is acknowledged once the primary and one replica hold it, so all members but one must be
/// fenced to include one that holds it. In groups of three or more this is also a majority.
pub fn fence_quorum(members: usize) -> usize {
    (members / 2 + 1).max(members.saturating_sub(1))
}
