//! Confirmation that the members recorded as primaries have taken over.
//!
//! A promotion is recorded in the fence before the member carries it out. A VM that used the new
//! primary in between would send writes to a member that refuses them, and reads to a member whose
//! applied position is behind what the session has already seen.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::membership::GroupState;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::vm::MemberRole;
use crate::vm::MemberState;

/// The interval between status commands to a member that is not primary yet. It adds to the time
/// during which a group has no usable primary in a failover.
const PRIMARY_PROBE_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct RecordedPrimary {
    state: GroupState,
    /// When the next status command is due; `None` once the member has reported that it is primary.
    next_probe_at: Option<MonoTime>,
}

/// The primary that the fence records for each group.
#[derive(Debug, Default)]
pub(super) struct Primaries {
    recorded: BTreeMap<GroupId, RecordedPrimary>,
}

impl Primaries {
    /// Stores the state of a group from the fence. Returns whether it has changed, so that its
    /// primary has to be confirmed.
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

    /// Returns whether a report confirms for the first time that the recorded primary is primary in
    /// the recorded term.
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

    /// Returns the members to which a status command is due, and schedules the next ones.
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

    /// Returns when the next status command is due.
    pub(super) fn next_deadline(&self) -> Option<MonoTime> {
        let recorded = self.recorded.values();
        recorded.filter_map(|recorded| recorded.next_probe_at).min()
    }
}
