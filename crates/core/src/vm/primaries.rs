//! Primaries that the platform names, until they report that they lead.
//!
//! A promotion is recorded on the platform before the member carries it out. A VM that learns of it
//! in between would send writes to a member that refuses them, and reads to one whose applied
//! position lags behind what the session has seen.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::membership::GroupState;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::vm::MemberRole;
use crate::vm::MemberState;

/// The time between two questions to a member that does not lead yet; adds to the failover gap.
const PRIMARY_PROBE_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct RecordedPrimary {
    state: GroupState,
    /// When the member is asked again; none once it leads.
    next_probe_at: Option<MonoTime>,
}

/// The primaries that the fence names, by group.
#[derive(Debug, Default)]
pub(super) struct Primaries {
    recorded: BTreeMap<GroupId, RecordedPrimary>,
}

impl Primaries {
    /// Follows the fence; returns whether the group has a primary that has not reported yet.
    pub(super) fn update(&mut self, now: MonoTime, group: &GroupId, state: &GroupState) -> bool {
        let known = self.recorded.get(group);
        if known.is_some_and(|recorded| recorded.state == *state) {
            return false;
        }
        let recorded = RecordedPrimary {
            state: state.clone(),
            next_probe_at: Some(now),
        };
        self.recorded.insert(group.clone(), recorded);
        true
    }

    /// Returns whether a report shows for the first time that the named primary leads its term.
    pub(super) fn confirm(
        &mut self,
        group: &GroupId,
        member: &MemberId,
        report: &MemberState,
    ) -> bool {
        let Some(recorded) = self.recorded.get_mut(group) else {
            return false;
        };
        let is_primary = recorded.state.primary == *member
            && report.role == MemberRole::Primary
            && report.term == recorded.state.term;
        is_primary && recorded.next_probe_at.take().is_some()
    }

    /// Returns the members that are to be asked now.
    pub(super) fn take_due_probes(&mut self, now: MonoTime) -> Vec<(GroupId, MemberId)> {
        let mut due = Vec::new();
        for (group, recorded) in &mut self.recorded {
            if recorded.next_probe_at.is_some_and(|at| at <= now) {
                recorded.next_probe_at = Some(now + PRIMARY_PROBE_INTERVAL);
                due.push((group.clone(), recorded.state.primary.clone()));
            }
        }
        due
    }

    /// Returns when a member is to be asked next.
    pub(super) fn next_deadline(&self) -> Option<MonoTime> {
        let recorded = self.recorded.values();
        recorded.filter_map(|recorded| recorded.next_probe_at).min()
    }
}
