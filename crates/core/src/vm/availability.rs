//! Inputs of the failover role for planned moves: members that take no new work, the availability
//! of the platform, and paused groups whose primary has no more work in progress.

use std::collections::BTreeMap;

use crate::config::Config;
use crate::config::DataCentreState;
use crate::config::MemberAvailability;
use crate::failover::FailoverEvent;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::vm::Vm;
use crate::vm::roles::RoleEvent;

/// Returns the members that take no new work, with the reason for each.
pub(super) fn unavailable_members(
    config: &Config,
) -> BTreeMap<GroupId, BTreeMap<MemberId, Reason>> {
    let mut unavailable: BTreeMap<GroupId, BTreeMap<MemberId, Reason>> = BTreeMap::new();
    for (group_id, group) in &config.groups {
        for (member_id, member) in &group.members {
            let state = config.data_centres.get(&member.data_centre);
            let reason = if state.is_none_or(|found| found.state == DataCentreState::Out) {
                Reason::DataCentreOut
            } else if member.availability == MemberAvailability::Leaving {
                Reason::TargetLeaving
            } else {
                continue;
            };
            let members = unavailable.entry(group_id.clone()).or_default();
            members.insert(member_id.clone(), reason);
        }
    }
    unavailable
}

impl Vm {
    /// Notifies the failover role when the platform becomes available or unavailable: without it,
    /// no change of the fence can be recorded.
    pub(super) fn push_platform_change(&mut self, now: MonoTime) {
        let serves = self.membership.platform_serves(now);
        if self.reported_platform_serves != Some(serves) {
            self.reported_platform_serves = Some(serves);
            self.push(RoleEvent::Failover(FailoverEvent::PlatformChanged {
                serves,
            }));
        }
    }

    /// Notifies the failover role of paused groups whose primary has no more work in progress.
    pub(super) fn push_quiesced_groups(&mut self) {
        let quiesced: Vec<GroupId> = self
            .failover
            .unquiesced_groups()
            .filter(|group| !self.exchanges.uses_primary(group))
            .cloned()
            .collect();
        for group in quiesced {
            self.push(RoleEvent::Failover(FailoverEvent::GroupQuiesced { group }));
        }
    }
}
