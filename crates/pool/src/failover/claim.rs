//! The question to the other VMs, and the claim of a group.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::event::PoolAction;
use crate::event::WriteOutcome;
use crate::failover::Phase;
use crate::failover::RETRY_PAUSE;
use crate::failover::YIELD_TIME;
use crate::failover::report;
use crate::pool::Pool;
use crate::roster::FleetRecord;

/// Wait after another VM has reached the primary.
const REACHED_PAUSE: Duration = Duration::from_millis(500);

/// Time for members to tell their positions.
const SURVEY_TIME: Duration = Duration::from_millis(250);

impl Pool {
    /// Takes note of when another VM last heard a member.
    pub(crate) fn contact_answered(
        &mut self,
        now: MonoTime,
        from: &VmId,
        group: &GroupId,
        member: &MemberId,
        heard: Option<Duration>,
    ) {
        let Some(group) = self.groups.get_mut(group) else {
            return;
        };
        let Phase::Asking { heard: answers, .. } = &mut group.failover.phase else {
            return;
        };
        if group.primary.as_ref() == Some(member) {
            let down = group
                .members
                .get(member)
                .and_then(|member| member.down_since);
            let outage = down.map_or(Duration::ZERO, |since| now.since(since));
            answers.insert(from.clone(), heard.filter(|heard| *heard < outage));
        }
    }

    /// Decides by what the other VMs said: one that reaches the primary, or too few answers to
    /// tell a lost primary from a cut of this VM, end the attempt.
    pub(crate) fn judge(&mut self, now: MonoTime, id: &GroupId, actions: &mut Vec<PoolAction>) {
        let vms = self.roster.len();
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let Phase::Asking { heard, .. } = &group.failover.phase else {
            return;
        };
        let is_missing = group
            .primary
            .as_ref()
            .and_then(|primary| group.members.get(primary))
            .is_none_or(|primary| primary.missing_since.is_some());
        let is_reached = heard.values().any(Option::is_some);
        let has_majority = (heard.len() + 1) * 2 > vms;
        let primary = group.primary.clone();
        if is_reached {
            report(id, "another VM reaches the primary", primary, 0, actions);
            return group.failover.pause(now, REACHED_PAUSE);
        }
        if !has_majority && !is_missing {
            report(id, "too few VMs answer", primary, 0, actions);
            return group.failover.pause(now, REACHED_PAUSE);
        }
        self.claim(now, id, actions);
    }

    pub(crate) fn claim(&mut self, now: MonoTime, id: &GroupId, actions: &mut Vec<PoolAction>) {
        let (name, expected) = self.group_record(id);
        self.claim_sequence += 1;
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        group.failover.phase = Phase::Claiming;
        group.failover.not_before = now;
        group.failover.claimed = group.primary.clone();
        let record = FleetRecord::Promotion {
            holder: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.claim_sequence,
            replaces: group.primary.clone(),
        };
        report(id, "claiming", group.primary.clone(), 0, actions);
        actions.push(PoolAction::WriteRecord {
            name,
            record,
            expected,
        });
    }

    pub(crate) fn claim_answered(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        outcome: WriteOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let own = FleetRecord::Promotion {
            holder: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.claim_sequence,
            replaces: self
                .groups
                .get(id)
                .and_then(|group| group.failover.claimed.clone()),
        };
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        if !matches!(group.failover.phase, Phase::Claiming) {
            return;
        }
        let token = match outcome {
            WriteOutcome::Written(token) => token,
            // An earlier write without an answer took effect.
            WriteOutcome::Conflict {
                revision,
                record: Some(record),
            } if record == own => revision,
            WriteOutcome::Conflict { revision, record } => {
                let member = group.primary.clone();
                report(id, "another VM has claimed", member, revision, actions);
                let pause = if record.is_some() {
                    YIELD_TIME
                } else {
                    RETRY_PAUSE
                };
                return group.failover.pause(now, pause);
            }
            WriteOutcome::Unknown => {
                report(id, "claim has no answer", group.primary.clone(), 0, actions);
                return group.failover.pause(now, RETRY_PAUSE);
            }
        };
        if group.failover.trouble.is_none() {
            return group.failover.pause(now, Duration::ZERO);
        }
        report(id, "claimed", group.primary.clone(), token, actions);
        group.failover.phase = Phase::Surveying {
            token,
            until: now + SURVEY_TIME,
            repeat_at: now,
            received: BTreeMap::new(),
            handed_over: None,
        };
        self.run_failover(now, id, actions);
    }
}
