//! Probes of members, and what VMs tell each other of a silent primary.

use std::time::Duration;

use crate::failover::Failover;
use crate::failover::FailoverAction;
use crate::failover::FailoverMessage;
use crate::failover::SilenceEvidence;
use crate::failover::watch::GroupWatch;
use crate::failover::watch::MemberWatch;
use crate::failover::watch::PeerReport;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::VmId;
use crate::vm::MemberCommand;
use crate::vm::MemberState;

impl Failover {
    pub(super) fn answered(
        &mut self,
        group: &GroupId,
        member: &MemberId,
        asked_at: MonoTime,
        state: Option<MemberState>,
    ) {
        let group = self.groups.get_mut(group);
        if let Some(member) = group.and_then(|group| group.members.get_mut(member)) {
            member.answered(asked_at, state);
        }
    }

    pub(super) fn probe(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        actions: &mut Vec<FailoverAction>,
    ) {
        group.assists_until = group.assists_until.filter(|until| now < *until);
        if !self.observes(group) {
            return;
        }
        let observer = group.observer_index(&self.me).is_some();
        let primary = group.primary.as_ref().map(|(_, primary)| primary);
        for (member, watch) in &mut group.members {
            if !observer && primary != Some(member) {
                continue;
            }
            if self.next_probe(watch, primary == Some(member)) <= now {
                watch.probed(now);
                actions.push(FailoverAction::Command {
                    group: id.clone(),
                    member: member.clone(),
                    command: MemberCommand::Status,
                });
            }
        }
    }

    fn observes(&self, group: &GroupWatch) -> bool {
        group.assists_until.is_some() || group.observer_index(&self.me).is_some()
    }

    /// Helps to observe a primary that another VM suspects, so that a majority of all VMs can
    /// tell whether it answers.
    fn assist(&self, now: MonoTime, group: &mut GroupWatch) {
        if !self.observes(group) {
            group.reset_window(now);
        }
        if group.observer_index(&self.me).is_none() {
            group.assists_until = Some(now + self.settings.assist_duration);
        }
    }

    fn next_probe(&self, watch: &MemberWatch, primary: bool) -> MonoTime {
        let regular = if primary {
            self.settings.primary_probe_interval
        } else {
            self.settings.probe_interval
        };
        let newest = watch.last_probe_at.max(watch.answered_at);
        let next = newest.map_or(MonoTime::ZERO, |at| at + regular);
        match watch.last_probe_at {
            Some(at) if primary && !watch.unanswered.is_empty() => {
                next.min(at + self.settings.reprobe_interval)
            }
            _ => next,
        }
    }

    /// Follows the silence of the primary and tells the other VMs of a suspicion.
    pub(super) fn suspect(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        actions: &mut Vec<FailoverAction>,
    ) {
        if !self.observes(group) || group.primary.is_none() {
            group.suspected = false;
            return;
        }
        let silent = group.own_silence(now);
        let suspects = silent >= self.settings.suspicion_timeout;
        if suspects && !group.suspected {
            group.last_report_at = None;
            actions.push(FailoverAction::Suspected {
                group: id.clone(),
                silent,
            });
        }
        let answers_again = group.suspected && !suspects;
        group.suspected = suspects;
        if answers_again {
            self.report_to_all(now, id, group, actions);
        }
        let interval = self.settings.report_interval;
        if suspects
            && group
                .last_report_at
                .is_none_or(|at| now.since(at) >= interval)
        {
            group.last_report_at = Some(now);
            self.report_to_all(now, id, group, actions);
        }
    }

    fn report_to_all(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &GroupWatch,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(fence) = &self.fence else { return };
        for member in &fence.roster.members {
            if member.vm != self.me {
                actions.push(FailoverAction::Send {
                    to: member.vm.clone(),
                    address: member.address,
                    message: report(now, id, group),
                });
            }
        }
    }

    pub(super) fn peer_received(
        &mut self,
        now: MonoTime,
        from: &VmId,
        message: FailoverMessage,
        actions: &mut Vec<FailoverAction>,
    ) {
        let (id, term, suspects, newest_answer_us, unanswered_us) = match message {
            FailoverMessage::PrimaryReport {
                group,
                term,
                suspects,
                newest_answer_us,
                unanswered_us,
            } => (group, term, suspects, newest_answer_us, unanswered_us),
            FailoverMessage::PauseRequested { group, term, round } => {
                return self.pause_requested(now, &group, from, (term, round), actions);
            }
            FailoverMessage::Paused {
                group,
                round,
                quiet,
            } => {
                if let Some(group) = self.groups.get_mut(&group) {
                    group.planned.replied(from, round, quiet);
                }
                return;
            }
            FailoverMessage::PauseEnded {
                group,
                round,
                retry_us,
            } => return self.pause_ended(now, &group, from, (round, retry_us), actions),
        };
        let since = |age_us: Option<u64>| {
            let age = age_us.map(Duration::from_micros);
            let age = age.filter(|age| *age <= now.since(MonoTime::ZERO));
            age.map(|age| now - age)
        };
        let received = PeerReport {
            received_at: now,
            suspects,
            newest_answer: since(newest_answer_us),
            unanswered_since: since(unanswered_us),
        };
        let mut groups = std::mem::take(&mut self.groups);
        if let Some(group) = groups.get_mut(&id) {
            let current = group
                .primary
                .as_ref()
                .is_some_and(|(held, _)| *held == term);
            if current {
                if suspects {
                    self.assist(now, group);
                }
                group.reports.insert(from.clone(), received);
                self.contradict(now, &id, group, from, suspects, actions);
            }
        }
        self.groups = groups;
    }

    /// Tells a suspecting VM at once that the primary answers this VM.
    fn contradict(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &GroupWatch,
        to: &VmId,
        suspects: bool,
        actions: &mut Vec<FailoverAction>,
    ) {
        let answers = group
            .own_answer()
            .is_some_and(|at| now.since(at) < self.settings.suspicion_timeout);
        let address = self.fence.as_ref().and_then(|fence| {
            let mut members = fence.roster.members.iter();
            members
                .find(|member| member.vm == *to)
                .map(|member| member.address)
        });
        if let (true, true, Some(address)) = (suspects, answers, address) {
            actions.push(FailoverAction::Send {
                to: to.clone(),
                address,
                message: report(now, id, group),
            });
        }
    }

    /// Returns the evidence that the primary is silent, if a majority of the observers agrees and
    /// no VM has had an answer for the suspicion time, or only a minority gets answers for too long.
    pub(super) fn silence_evidence(
        &self,
        now: MonoTime,
        group: &GroupWatch,
    ) -> Option<SilenceEvidence> {
        let silent = group.silence(now);
        let answers_minority = silent < self.settings.suspicion_timeout;
        if !group.suspected || (answers_minority && !self.majority_gave_up(now, group)) {
            return None;
        }
        let agrees = |vm: &&VmId| **vm == self.me || self.suspects(now, group, vm);
        let agreeing: Vec<_> = group.observers.iter().filter(agrees).cloned().collect();
        let observers = group.observers.len();
        (agreeing.len() * 2 > observers).then_some(SilenceEvidence {
            silent,
            agreeing,
            observers,
            answers_minority,
        })
    }

    /// Returns whether another VM has told lately that it suspects the primary.
    pub(super) fn suspects(&self, now: MonoTime, group: &GroupWatch, vm: &VmId) -> bool {
        group.reports.get(vm).is_some_and(|report| {
            report.suspects && now.since(report.received_at) <= self.settings.report_max_age
        })
    }

    /// Returns when a majority of the observers had left two probes each unanswered.
    ///
    /// The detection time counts from here, not from the last answer: a primary that paused for
    /// less than the detection time, right after an answer, must not be replaced. A majority
    /// includes an observer that can reach the primary if a majority of VMs can.
    pub(super) fn unanswered_since(
        &self,
        group: &GroupWatch,
        evidence: &SilenceEvidence,
    ) -> Option<MonoTime> {
        let agreeing = evidence.agreeing.iter();
        let probes = agreeing.filter_map(|vm| self.unanswered_probe(group, vm));
        nth_earliest(probes, evidence.observers / 2)
    }

    /// Returns whether a majority of all VMs has got no answer for the patience time.
    ///
    /// Without this, a primary that is cut off together with a minority of VMs, which still
    /// reach the platform and cancel each intent, would never be replaced.
    fn majority_gave_up(&self, now: MonoTime, group: &GroupWatch) -> bool {
        let Some(fence) = &self.fence else {
            return false;
        };
        let vms = fence.roster.members.iter().map(|member| &member.vm);
        let suspecting = vms.filter(|vm| **vm == self.me || self.suspects(now, group, vm));
        let probes = suspecting.filter_map(|vm| self.unanswered_probe(group, vm));
        let since = nth_earliest(probes, fence.roster.members.len() / 2);
        since.is_some_and(|at| now >= at + self.settings.minority_override_timeout)
    }

    fn unanswered_probe(&self, group: &GroupWatch, vm: &VmId) -> Option<MonoTime> {
        if *vm == self.me {
            group.own_unanswered()
        } else {
            group.reports.get(vm)?.unanswered_since
        }
    }

    pub(super) fn group_deadline(&self, group: &GroupWatch) -> Option<MonoTime> {
        if !self.observes(group) {
            return None;
        }
        let observer = group.observer_index(&self.me).is_some();
        let primary = group.primary.as_ref().map(|(_, primary)| primary);
        let members = group.members.iter();
        let members = members.filter(|(id, _)| observer || primary == Some(*id));
        let probes = members.map(|(id, watch)| self.next_probe(watch, primary == Some(id)));
        let newest = group.own_answer().max(Some(group.observed_since));
        let suspicion = newest.filter(|_| !group.suspected && group.primary.is_some());
        let suspicion = suspicion.map(|at| at + self.settings.suspicion_timeout);
        let moves = group.planned.attempt.is_some();
        let busy = group.suspected || group.intent.is_some() || moves;
        let tick = group.last_tick_at.filter(|_| busy);
        let interval = if group.intent.is_some() || moves {
            self.settings.command_interval
        } else {
            self.settings.report_interval
        };
        let tick = tick.map(|at| at + interval);
        probes.chain(suspicion).chain(tick).min()
    }
}

fn nth_earliest(times: impl Iterator<Item = MonoTime>, index: usize) -> Option<MonoTime> {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    times.get(index).copied()
}

fn report(now: MonoTime, id: &GroupId, group: &GroupWatch) -> FailoverMessage {
    // Only own answers: a delay would be added each time that a report is passed on.
    let age_us = |at: MonoTime| u64::try_from(now.since(at).as_micros()).ok();
    FailoverMessage::PrimaryReport {
        group: id.clone(),
        term: group
            .primary
            .as_ref()
            .map_or_else(Default::default, |(term, _)| *term),
        suspects: group.suspected,
        newest_answer_us: group.own_answer().and_then(age_us),
        unanswered_us: group.own_unanswered().and_then(age_us),
    }
}
