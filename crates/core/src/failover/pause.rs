//! The part of all VMs in a planned move: to pause the group and to tell when it is quiet.

use std::time::Duration;

use crate::failover::Failover;
use crate::failover::FailoverAction;
use crate::failover::FailoverMessage;
use crate::failover::planned::Pause;
use crate::failover::watch::GroupWatch;
use crate::types::GroupId;
use crate::types::MonoTime;
use crate::types::Term;
use crate::types::VmId;

impl Failover {
    pub(super) fn pause_requested(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        from: &VmId,
        (term, round): (Term, u64),
        actions: &mut Vec<FailoverAction>,
    ) {
        let mut groups = std::mem::take(&mut self.groups);
        if let Some(group) = groups.get_mut(id) {
            let current = group.primary.as_ref().map(|(term, _)| *term);
            if current == Some(term) && group.intent.is_none() {
                self.yield_to(now, group, from);
                self.pause(now, id, group, from, round, actions);
            }
        }
        self.groups = groups;
    }

    /// Leaves the move to the observer of the lowest rank that has started one.
    fn yield_to(&self, now: MonoTime, group: &mut GroupWatch, from: &VmId) {
        let index = group.observer_index(&self.me);
        let other = group.observer_index(from);
        let (Some(index), Some(other)) = (index, other) else {
            return;
        };
        if other < index || group.planned.attempt.is_none() {
            group.planned.attempt = None;
            let delay = self.settings.moves.pause_timeout + self.rank_delay(index);
            group.planned.try_after(now + delay);
        }
    }

    /// Pauses a group, and answers each request: a VM that answers is waited for.
    pub(super) fn pause(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        by: &VmId,
        round: u64,
        actions: &mut Vec<FailoverAction>,
    ) {
        let held = group.planned.pause.as_ref();
        if !held.is_some_and(|held| held.is(by, round)) {
            let until = now + self.settings.moves.pause_timeout;
            group.planned.pause = Some(Pause::new(by.clone(), round, until));
            actions.push(FailoverAction::PauseChanged {
                group: id.clone(),
                paused: true,
            });
        }
        self.tell_paused(id, group, actions);
    }

    /// Tells the promoter whether something of this VM is in progress.
    fn tell_paused(&self, id: &GroupId, group: &mut GroupWatch, actions: &mut Vec<FailoverAction>) {
        let Some(pause) = group.planned.pause.clone() else {
            return;
        };
        if *pause.by() == self.me {
            group.planned.replied(&self.me, pause.round(), pause.quiet);
            return;
        }
        let message = FailoverMessage::Paused {
            group: id.clone(),
            round: pause.round(),
            quiet: pause.quiet,
        };
        self.send_to(pause.by(), message, actions);
    }

    pub(super) fn pause_quiet(&mut self, id: &GroupId, actions: &mut Vec<FailoverAction>) {
        let mut groups = std::mem::take(&mut self.groups);
        if let Some(group) = groups.get_mut(id) {
            if let Some(pause) = &mut group.planned.pause {
                pause.quiet = true;
            }
            self.tell_paused(id, group, actions);
        }
        self.groups = groups;
    }

    /// Ends a pause whose time is over, or whose move is done: the promoter tells the others.
    pub(super) fn end_pause(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(pause) = &group.planned.pause else {
            return;
        };
        let promoted = group.primary.as_ref().filter(|(term, primary)| {
            let member = group.members.get(primary);
            pause.for_promotion && member.is_some_and(|member| member.leads(*term))
        });
        if let Some((term, _)) = promoted
            && group.completed_term == Some(*term)
        {
            let message = FailoverMessage::PauseEnded {
                group: id.clone(),
                round: pause.round(),
                retry_us: 0,
            };
            self.send_to_all(&message, actions);
        }
        if promoted.is_some() || pause.until <= now {
            group.planned.end_pause(id, actions);
        }
    }

    pub(super) fn pause_ended(
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
        let retry = Duration::from_micros(retry_us).min(longest);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let planned = &mut group.planned;
        let ends = planned.pause.as_ref();
        if ends.is_some_and(|pause| pause.is(from, round)) {
            planned.end_pause(id, actions);
            if let Some(delay) = delay.filter(|_| !retry.is_zero()) {
                planned.try_after(now + retry + delay);
                planned.retry = Some((retry * 2).min(longest));
            }
        }
    }
}
