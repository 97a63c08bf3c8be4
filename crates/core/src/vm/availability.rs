//! Planned moves of primaries: what the failover role is told, and when a pause has taken effect.

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

/// Returns the members that take no new work.
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
    /// Tells the failover role whether a change of the fence can be recorded.
    pub(super) fn push_platform_change(&mut self, now: MonoTime) {
        let serves = self.membership.platform_serves(now);
        if self.reported_platform_serves != Some(serves) {
            self.reported_platform_serves = Some(serves);
            self.push(RoleEvent::Failover(FailoverEvent::PlatformChanged {
                serves,
            }));
        }
    }

    /// Tells the failover role of paused groups on whose primary nothing is in progress any more.
    pub(super) fn push_settled_pauses(&mut self) {
        let settled: Vec<GroupId> = self
            .failover
            .unsettled_pauses()
            .filter(|group| !self.exchanges.uses_primary(group))
            .cloned()
            .collect();
        for group in settled {
            self.push(RoleEvent::Failover(FailoverEvent::PauseSettled { group }));
        }
    }
}
