//! Finds replicas that stay paused although nobody replaces their primary.
//!
//! An attempt pauses the replicas before it compares their positions, and only a promotion ends the
//! pause. An attempt may end without one: its VM is killed or overtaken, no answer of the platform
//! arrives, or the primary is back. A pause may also arrive late, after the attempt. Commits of the
//! primary are then confirmed by too few replicas or by none, so one of the replicas is promoted.
//!
//! The command that resumes a replica is not used. It names no term, so one that arrives late would
//! end the pause of a later attempt, after that attempt has read the position of the replica.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;

use crate::event::PoolAction;
use crate::failover::Phase;
use crate::group::Group;
use crate::pool::Pool;
use crate::session::Operation;
use crate::session::Stage;
use crate::statement::Access;
use crate::statement::MemberCommand;
use crate::statement::MemberStatus;

/// Time between two questions whether replicas are paused.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two such questions while a replica is known to be paused, and between two checks for
/// stalled writes.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a replica has to be paused before one is promoted. An attempt of another VM is usually
/// over by then.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Age at which a report of a pause no longer counts.
const REPORT_TIME_TO_LIVE: Duration = Duration::from_secs(1);

/// How many VMs ask the members of a group without a cause.
const CHECKING_VMS: u32 = 2;

/// Time without an answer to a write after which a VM of any rank asks.
const WRITE_STALL: Duration = Duration::from_millis(500);

/// When a member was first and last reported to be paused.
#[derive(Clone, Copy, Debug)]
struct PauseReport {
    first_at: MonoTime,
    last_at: MonoTime,
}

/// The replicas of a group that have reported that they are paused.
#[derive(Clone, Debug, Default)]
pub(crate) struct PausedReplicas {
    reports: BTreeMap<MemberId, PauseReport>,
    next_check_at: MonoTime,
}

impl PausedReplicas {
    /// Records whether a member has reported that it is paused.
    pub(crate) fn note_status(&mut self, now: MonoTime, member: &MemberId, status: MemberStatus) {
        if !status.is_paused() {
            self.reports.remove(member);
            return;
        }
        let report = self.reports.entry(member.clone()).or_insert(PauseReport {
            first_at: now,
            last_at: now,
        });
        report.last_at = now;
    }

    /// Forgets all reports: a promotion ends the pauses, and one that was requested by a suspended
    /// process may have taken effect meanwhile.
    pub(crate) fn forget(&mut self) {
        self.reports.clear();
    }

    /// Returns a replica that has been paused for longer than an attempt takes.
    pub(crate) fn abandoned(&self, now: MonoTime) -> Option<&MemberId> {
        let is_abandoned = |report: &PauseReport| {
            report.last_at.since(report.first_at) >= MIN_PAUSE
                && now.since(report.last_at) < REPORT_TIME_TO_LIVE
        };
        let mut reports = self.reports.iter();
        let abandoned = reports.find(|(_, report)| is_abandoned(report));
        abandoned.map(|(member, _)| member)
    }
}

impl Group {
    /// Returns whether the presumed primary is up and has not reported that it is a replica.
    pub(crate) fn has_answering_primary(&self) -> bool {
        let primary = self.primary.as_ref().and_then(|id| self.members.get(id));
        primary.is_some_and(|primary| {
            primary.down_since.is_none() && primary.not_primary_since.is_none()
        })
    }
}

impl Pool {
    /// Asks the members of a group with confirming replicas from time to time whether one of them is
    /// paused, since a process that has just started knows of no attempt.
    pub(crate) fn check_pauses(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get(id) else {
            return;
        };
        let is_due = self.confirming_replicas(id) > 0
            && self.stop.is_none()
            && now >= group.pauses.next_check_at
            && matches!(group.failover.phase, Phase::Idle)
            && group.has_answering_primary();
        if !is_due {
            return;
        }
        let is_any_paused = !group.pauses.reports.is_empty();
        let must_ask =
            is_any_paused || self.own_rank(id) < CHECKING_VMS || self.has_stalled_write(now, id);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let interval = if must_ask && !is_any_paused {
            CHECK_INTERVAL
        } else {
            RECHECK_INTERVAL
        };
        group.pauses.next_check_at = now + interval;
        if !must_ask {
            return;
        }
        let reachable = group.members.iter();
        let reachable = reachable.filter(|(_, member)| member.down_since.is_none());
        let members: Vec<MemberId> = reachable.map(|(member, _)| member.clone()).collect();
        for member in members {
            self.query_member(now, id, &member, MemberCommand::Status, actions);
        }
    }

    /// Returns whether a member has not answered a write or commit of a caller for `WRITE_STALL`.
    fn has_stalled_write(&self, now: MonoTime, id: &GroupId) -> bool {
        let current = self.active.iter().filter_map(|caller| {
            let session = self.sessions.get(caller)?;
            session.current.as_ref()
        });
        let mut of_group = current.filter(|current| current.route.group == *id);
        of_group.any(|current| {
            let is_write = matches!(current.operation, Operation::Commit)
                || current.operation.access() == Access::Write;
            is_write
                && matches!(current.stage, Stage::OnLink(_))
                && now.since(current.placed_at) >= WRITE_STALL
        })
    }

    /// Returns how many replicas confirm each commit of a group.
    pub(crate) fn confirming_replicas(&self, id: &GroupId) -> usize {
        let rule = self.config.groups.get(id);
        let confirming = rule.map_or(0, |rule| rule.sync_replicas);
        usize::try_from(confirming).unwrap_or(usize::MAX)
    }
}
