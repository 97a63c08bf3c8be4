//! Probes of members, and the reports that VMs exchange about a silent primary.

use std::time::Duration;

use crate::failover::Failover;
use crate::failover::FailoverAction;
use crate::failover::FailoverMessage;
use crate::failover::SilenceEvidence;
use crate::failover::observed::ObservedGroup;
use crate::failover::observed::ObservedMember;
use crate::failover::observed::PeerReport;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::VmId;
use crate::vm::MemberCommand;
use crate::vm::MemberState;

impl Failover {
    pub(super) fn record_answer(
        &mut self,
        group: &GroupId,
        member: &MemberId,
        sent_at: MonoTime,
        state: Option<MemberState>,
    ) {
        let group = self.groups.get_mut(group);
        if let Some(member) = group.and_then(|group| group.members.get_mut(member)) {
            member.record_answer(sent_at, state);
        }
    }

    pub(super) fn send_probes(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        actions: &mut Vec<FailoverAction>,
    ) {
        group.assists_until = group.assists_until.filter(|until| now < *until);
        if !self.observes(group) {
            return;
        }
        let observer = group.observer_index(&self.me).is_some();
        let primary = group.primary.as_ref().map(|(_, primary)| primary);
        for (member, observed) in &mut group.members {
            if !observer && primary != Some(member) {
                continue;
            }
            if self.next_probe(observed, primary == Some(member)) <= now {
                observed.record_probe(now);
                actions.push(FailoverAction::Command {
                    group: id.clone(),
                    member: member.clone(),
                    command: MemberCommand::Status,
                });
            }
        }
    }

    fn observes(&self, group: &ObservedGroup) -> bool {
        group.assists_until.is_some() || group.observer_index(&self.me).is_some()
    }

    /// Starts probing a primary that another VM suspects, so that a majority of all VMs can
    /// determine whether it answers.
    fn start_assisting(&self, now: MonoTime, group: &mut ObservedGroup) {
        if !self.observes(group) {
            group.restart_observation(now);
        }
        if group.observer_index(&self.me).is_none() {
            group.assists_until = Some(now + self.settings.assist_duration);
        }
    }

    fn next_probe(&self, observed: &ObservedMember, primary: bool) -> MonoTime {
        let regular = if primary {
            self.settings.primary_probe_interval
        } else {
            self.settings.probe_interval
        };
        let newest = observed.last_probe_at.max(observed.answered_request_at);
        let next = newest.map_or(MonoTime::ZERO, |at| at + regular);
        match observed.last_probe_at {
            Some(at) if primary && !observed.unanswered_probes.is_empty() => {
                next.min(at + self.settings.reprobe_interval)
            }
            _ => next,
        }
    }

    /// Updates whether this VM suspects the primary, and reports a suspicion to the other VMs.
    pub(super) fn update_suspicion(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
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
            self.broadcast_report(now, id, group, actions);
        }
        let interval = self.settings.report_interval;
        if suspects
            && group
                .last_report_at
                .is_none_or(|at| now.since(at) >= interval)
        {
            group.last_report_at = Some(now);
            self.broadcast_report(now, id, group, actions);
        }
    }

    fn broadcast_report(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &ObservedGroup,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(fence) = &self.fence else { return };
        for member in &fence.roster.members {
            if member.vm != self.me {
                actions.push(FailoverAction::Send {
                    to: member.vm.clone(),
                    address: member.address,
                    message: primary_report(now, id, group),
                });
            }
        }
    }

    pub(super) fn handle_message(
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
                return self.handle_pause_request(now, &group, from, (term, round), actions);
            }
            FailoverMessage::Paused {
                group,
                round,
                quiet,
            } => {
                if let Some(group) = self.groups.get_mut(&group) {
                    group.planned_move.record_reply(from, round, quiet);
                }
                return;
            }
            FailoverMessage::PauseEnded {
                group,
                round,
                retry_us,
            } => return self.handle_pause_end(now, &group, from, (round, retry_us), actions),
        };
        let time_of = |age_us: Option<u64>| {
            let age = age_us.map(Duration::from_micros);
            let age = age.filter(|age| *age <= now.since(MonoTime::ZERO));
            age.map(|age| now - age)
        };
        let received = PeerReport {
            received_at: now,
            suspects,
            newest_answer: time_of(newest_answer_us),
            unanswered_since: time_of(unanswered_us),
        };
        let mut groups = std::mem::take(&mut self.groups);
        if let Some(group) = groups.get_mut(&id) {
            let same_term = group
                .primary
                .as_ref()
                .is_some_and(|(held, _)| *held == term);
            if same_term {
                if suspects {
                    self.start_assisting(now, group);
                }
                group.reports.insert(from.clone(), received);
                self.refute_suspicion(now, &id, group, from, suspects, actions);
            }
        }
        self.groups = groups;
    }

    /// Reports at once to a VM that suspects the primary that it answers this VM.
    fn refute_suspicion(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &ObservedGroup,
        to: &VmId,
        suspects: bool,
        actions: &mut Vec<FailoverAction>,
    ) {
        let answers = group
            .own_newest_answer()
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
                message: primary_report(now, id, group),
            });
        }
    }

    /// Returns the evidence that the primary is silent, if a majority of the observers agrees and
    /// either no VM has had an answer for the suspicion timeout, or a majority of all VMs has had
    /// none for the minority override timeout.
    pub(super) fn silence_evidence(
        &self,
        now: MonoTime,
        group: &ObservedGroup,
    ) -> Option<SilenceEvidence> {
        let silent = group.overall_silence(now);
        let answers_minority = silent < self.settings.suspicion_timeout;
        if !group.suspected || (answers_minority && !self.majority_timed_out(now, group)) {
            return None;
        }
        let agrees = |vm: &&VmId| **vm == self.me || self.peer_suspects(now, group, vm);
        let agreeing: Vec<_> = group.observers.iter().filter(agrees).cloned().collect();
        let observers = group.observers.len();
        (agreeing.len() * 2 > observers).then_some(SilenceEvidence {
            silent,
            agreeing,
            observers,
            answers_minority,
        })
    }

    /// Returns whether another VM has recently reported that it suspects the primary.
    pub(super) fn peer_suspects(&self, now: MonoTime, group: &ObservedGroup, vm: &VmId) -> bool {
        group.reports.get(vm).is_some_and(|report| {
            report.suspects && now.since(report.received_at) <= self.settings.report_max_age
        })
    }

    /// Returns since when the primary has left two probes of each of a majority of the observers
    /// unanswered.
    ///
    /// The detection time counts from here, not from the last answer: a primary that paused right
    /// after an answer, for less than the detection time, must not be replaced. A majority of the
    /// observers includes one that can reach the primary if a majority of VMs can.
    pub(super) fn majority_unanswered_since(
        &self,
        group: &ObservedGroup,
        evidence: &SilenceEvidence,
    ) -> Option<MonoTime> {
        let agreeing = evidence.agreeing.iter();
        let probes = agreeing.filter_map(|vm| self.unanswered_probe(group, vm));
        nth_earliest(probes, evidence.observers / 2)
    }

    /// Returns whether a majority of all VMs has had no answer for the minority override timeout.
    ///
    /// Without this rule, a primary that is cut off together with a minority of VMs would never be
    /// replaced: those VMs may still reach the platform and cancel each intent.
    fn majority_timed_out(&self, now: MonoTime, group: &ObservedGroup) -> bool {
        let Some(fence) = &self.fence else {
            return false;
        };
        let vms = fence.roster.members.iter().map(|member| &member.vm);
        let suspecting = vms.filter(|vm| **vm == self.me || self.peer_suspects(now, group, vm));
        let probes = suspecting.filter_map(|vm| self.unanswered_probe(group, vm));
        let since = nth_earliest(probes, fence.roster.members.len() / 2);
        since.is_some_and(|at| now >= at + self.settings.minority_override_timeout)
    }

    fn unanswered_probe(&self, group: &ObservedGroup, vm: &VmId) -> Option<MonoTime> {
        if *vm == self.me {
            group.own_unanswered_since()
        } else {
            group.reports.get(vm)?.unanswered_since
        }
    }

    pub(super) fn next_group_deadline(&self, group: &ObservedGroup) -> Option<MonoTime> {
        if !self.observes(group) {
            return None;
        }
        let observer = group.observer_index(&self.me).is_some();
        let primary = group.primary.as_ref().map(|(_, primary)| primary);
        let members = group.members.iter();
        let members = members.filter(|(id, _)| observer || primary == Some(*id));
        let probes = members.map(|(id, observed)| self.next_probe(observed, primary == Some(id)));
        let newest = group.own_newest_answer().max(Some(group.observed_since));
        let suspicion = newest.filter(|_| !group.suspected && group.primary.is_some());
        let suspicion = suspicion.map(|at| at + self.settings.suspicion_timeout);
        let move_pending = group.planned_move.attempt.is_some();
        let busy = group.suspected || group.intent.is_some() || move_pending;
        let tick = group.last_tick_at.filter(|_| busy);
        let interval = if group.intent.is_some() || move_pending {
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

fn primary_report(now: MonoTime, id: &GroupId, group: &ObservedGroup) -> FailoverMessage {
    // Only answers to this VM: passing a reported one on would add the delay of another message.
    let age_us = |at: MonoTime| u64::try_from(now.since(at).as_micros()).ok();
    FailoverMessage::PrimaryReport {
        group: id.clone(),
        term: group
            .primary
            .as_ref()
            .map_or_else(Default::default, |(term, _)| *term),
        suspects: group.suspected,
        newest_answer_us: group.own_newest_answer().and_then(age_us),
        unanswered_us: group.own_unanswered_since().and_then(age_us),
    }
}
