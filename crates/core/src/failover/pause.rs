//! The part that every VM has in a planned move: it pauses the group and reports when it has no
//! work in progress on the primary.

use std::time::Duration;

use crate::failover::Failover;
use crate::failover::FailoverAction;
use crate::failover::FailoverMessage;
use crate::failover::observed::ObservedGroup;
use crate::failover::planned::GroupPause;
use crate::types::GroupId;
use crate::types::MonoTime;
use crate::types::Term;
use crate::types::VmId;

impl Failover {
    pub(super) fn handle_pause_request(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        from: &VmId,
        (term, round): (Term, u64),
        actions: &mut Vec<FailoverAction>,
    ) {
        let mut groups = std::mem::take(&mut self.groups);
        if let Some(group) = groups.get_mut(id) {
            let current_term = group.primary.as_ref().map(|(term, _)| *term);
            if current_term == Some(term) && group.intent.is_none() {
                self.defer_to(now, group, from);
                self.pause_group(now, id, group, from, round, actions);
            }
        }
        self.groups = groups;
    }

    /// Leaves the move to the requesting observer, unless this VM has an attempt of its own and a
    /// lower rank.
    fn defer_to(&self, now: MonoTime, group: &mut ObservedGroup, from: &VmId) {
        let index = group.observer_index(&self.me);
        let other = group.observer_index(from);
        let (Some(index), Some(other)) = (index, other) else {
            return;
        };
        if other < index || group.planned_move.attempt.is_none() {
            group.planned_move.attempt = None;
            let delay = self.settings.moves.pause_timeout + self.rank_delay(index);
            group.planned_move.set_next_attempt_at(now + delay);
        }
    }

    /// Pauses a group and replies to the request. A repeated request gets a reply too, because the
    /// promoter waits longer for VMs that have replied.
    pub(super) fn pause_group(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        requested_by: &VmId,
        round: u64,
        actions: &mut Vec<FailoverAction>,
    ) {
        let held = group.planned_move.pause.as_ref();
        if !held.is_some_and(|held| held.matches(requested_by, round)) {
            let until = now + self.settings.moves.pause_timeout;
            group.planned_move.pause = Some(GroupPause::new(requested_by.clone(), round, until));
            actions.push(FailoverAction::PauseChanged {
                group: id.clone(),
                paused: true,
            });
        }
        self.reply_to_pause(id, group, actions);
    }

    /// Reports to the VM that requested the pause whether this VM has work in progress.
    fn reply_to_pause(
        &self,
        id: &GroupId,
        group: &mut ObservedGroup,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(pause) = group.planned_move.pause.clone() else {
            return;
        };
        if *pause.requested_by() == self.me {
            group
                .planned_move
                .record_reply(&self.me, pause.round(), pause.quiet);
            return;
        }
        let message = FailoverMessage::Paused {
            group: id.clone(),
            round: pause.round(),
            quiet: pause.quiet,
        };
        self.send_to(pause.requested_by(), message, actions);
    }

    pub(super) fn record_quiesced(&mut self, id: &GroupId, actions: &mut Vec<FailoverAction>) {
        let mut groups = std::mem::take(&mut self.groups);
        if let Some(group) = groups.get_mut(id) {
            if let Some(pause) = &mut group.planned_move.pause {
                pause.quiet = true;
            }
            self.reply_to_pause(id, group, actions);
        }
        self.groups = groups;
    }

    /// Ends a pause that timed out, or whose move is complete. In the second case the VM that
    /// requested the promotion notifies the others.
    pub(super) fn end_pause(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(pause) = &group.planned_move.pause else {
            return;
        };
        let promoted = group.primary.as_ref().filter(|(term, primary)| {
            let member = group.members.get(primary);
            pause.awaits_promotion && member.is_some_and(|member| member.is_primary_of(*term))
        });
        if let Some((term, _)) = promoted
            && group.requested_term == Some(*term)
        {
            let message = FailoverMessage::PauseEnded {
                group: id.clone(),
                round: pause.round(),
                retry_us: 0,
            };
            self.broadcast(&message, actions);
        }
        if promoted.is_some() || pause.until <= now {
            group.planned_move.end_pause(id, actions);
        }
    }

    pub(super) fn handle_pause_end(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        from: &VmId,
        (round, retry_us): (u64, u64),
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(group) = self.groups.get(id) else {
            return;
        };
        let index = group.observer_index(&self.me);
        let delay = index.map(|index| self.rank_delay(index));
        let longest = self.settings.moves.retry_delay_range.1;
        let retry_delay = Duration::from_micros(retry_us).min(longest);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let planned_move = &mut group.planned_move;
        let current_pause = planned_move.pause.as_ref();
        if current_pause.is_some_and(|pause| pause.matches(from, round)) {
            planned_move.end_pause(id, actions);
            if let Some(delay) = delay.filter(|_| !retry_delay.is_zero()) {
                planned_move.set_next_attempt_at(now + retry_delay + delay);
                planned_move.retry_delay = Some((retry_delay * 2).min(longest));
            }
        }
    }
}
