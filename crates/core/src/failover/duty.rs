//! Whose turn it is: opening, cancelling and taking over of intents, and upkeep of members.

use std::time::Duration;

use crate::failover::CancelEvidence;
use crate::failover::Failover;
use crate::failover::FailoverAction;
use crate::failover::IntentCause;
use crate::failover::watch::GroupWatch;
use crate::membership::FenceChange;
use crate::membership::GroupState;
use crate::membership::IntentPhase;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Term;
use crate::vm::MemberCommand;
use crate::vm::MemberRole;
use crate::vm::MemberState;

impl Failover {
    /// Cancels an intent whose primary answered a question that was sent after the intent became
    /// known. Any VM that sees such an answer does so.
    pub(super) fn cancel(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(intent) = &group.intent else { return };
        let answer = group.own_answer().filter(|at| *at >= intent.seen_at);
        let (IntentPhase::Suspected, Some(at)) = (intent.phase, answer) else {
            return;
        };
        let nonce = intent.nonce;
        if self.may_request(now, group) {
            let change = FenceChange::CancelIntent {
                group: id.clone(),
                nonce,
            };
            actions.push(FailoverAction::RequestChange { change });
            actions.push(FailoverAction::IntentCancelled {
                group: id.clone(),
                evidence: CancelEvidence::PrimaryAnswered { age: now.since(at) },
            });
        }
    }

    pub(super) fn do_duty(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        actions: &mut Vec<FailoverAction>,
    ) {
        group.last_tick_at = Some(now);
        if group.intent.is_some() || group.observer_index(&self.me).is_none() {
            group.planned.attempt = None;
        }
        let Some(index) = group.observer_index(&self.me) else {
            return;
        };
        match &group.intent {
            Some(intent) if intent.phase == IntentPhase::Fencing => {
                let turn = intent.phase_seen_at + self.settings.takeover_delay;
                let taken_over = now >= turn + self.rank_delay(index);
                if taken_over || self.is_promoter(now, group) {
                    self.promote(now, id, group, actions);
                }
            }
            Some(_) => self.start_fencing(now, id, group, index, actions),
            None if group.primary.is_none() => self.adopt(now, id, group, index, actions),
            None => {
                self.open_intent(now, id, group, actions);
                self.renew_term(now, id, group, index, actions);
                self.plan_move(now, id, group, index, actions);
                self.repair_members(now, id, group, index, actions);
            }
        }
    }

    /// Returns whether it is for this VM to carry the open intent on: it opened the intent or
    /// took it over, or it is the first observer that is up after the promoter fell silent.
    pub(super) fn is_promoter(&self, now: MonoTime, group: &GroupWatch) -> bool {
        let Some(intent) = &group.intent else {
            return false;
        };
        if intent.promoter == self.me {
            return true;
        }
        // Observers report at short intervals as long as they suspect the primary.
        let waited = now.since(intent.seen_at) > self.settings.report_max_age;
        if !waited || !group.suspected || self.suspects(now, group, &intent.promoter) {
            return false;
        }
        let mut observers = group.observers.iter();
        let first = observers.find(|vm| **vm == self.me || self.suspects(now, group, vm));
        first == Some(&self.me)
    }

    pub(super) fn rank_delay(&self, index: usize) -> Duration {
        let times = u32::try_from(index).unwrap_or(u32::MAX);
        self.settings.rank_delay.saturating_mul(times)
    }

    /// Returns whether a change may be requested now, and records that it is.
    pub(super) fn may_request(&self, now: MonoTime, group: &mut GroupWatch) -> bool {
        let interval = self.settings.request_interval;
        let due = group
            .last_request_at
            .is_none_or(|at| now.since(at) >= interval);
        if due {
            group.last_request_at = Some(now);
        }
        due
    }

    fn open_intent(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        actions: &mut Vec<FailoverAction>,
    ) {
        let evidence = self.silence_evidence(now, group);
        let (Some(evidence), Some((term, _))) = (evidence, group.primary.clone()) else {
            group.agreed_since = None;
            return;
        };
        let since = *group.agreed_since.get_or_insert(now);
        let place = evidence.agreeing.iter().position(|vm| *vm == self.me);
        let turn = since + self.rank_delay(place.unwrap_or(usize::MAX));
        // An intent that a minority would cancel at once goes to fencing without that phase.
        let phase = if evidence.answers_minority {
            IntentPhase::Fencing
        } else {
            IntentPhase::Suspected
        };
        let possible = phase == IntentPhase::Suspected || self.members_reachable(now, group);
        if now < turn || !possible || !self.may_request(now, group) {
            return;
        }
        self.request_intent(id, term, phase, actions);
        actions.push(FailoverAction::IntentOpened {
            group: id.clone(),
            cause: IntentCause::PrimarySilent(evidence),
        });
    }

    pub(super) fn request_intent(
        &self,
        id: &GroupId,
        from_term: Term,
        phase: IntentPhase,
        actions: &mut Vec<FailoverAction>,
    ) {
        let change = FenceChange::OpenIntent {
            group: id.clone(),
            from_term,
            promoter: self.me.clone(),
            phase,
        };
        actions.push(FailoverAction::RequestChange { change });
    }

    /// Renews the term of a group that has a member which refuses the current one: no promotion
    /// would follow otherwise, and the member would stay without replication.
    fn renew_term(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        index: usize,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some((term, _)) = group.primary.clone() else {
            return;
        };
        let mut members = group.members.iter();
        let ahead = members.find_map(|(member, watch)| {
            watch
                .fenced_for(term.next())
                .map(|state| (member.clone(), state.term))
        });
        let Some((member, fenced_term)) = ahead else {
            group.ahead_since = None;
            return;
        };
        let since = *group.ahead_since.get_or_insert(now);
        let turn = since + self.settings.takeover_delay + self.rank_delay(index);
        if now >= turn && self.may_request(now, group) {
            self.request_intent(id, term, IntentPhase::Fencing, actions);
            actions.push(FailoverAction::IntentOpened {
                group: id.clone(),
                cause: IntentCause::MemberFenced {
                    member,
                    term: fenced_term,
                },
            });
        }
    }

    /// Enters a group in the fence when its members agree on a primary.
    fn adopt(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        index: usize,
        actions: &mut Vec<FailoverAction>,
    ) {
        let turn = group.observed_since + self.rank_delay(index);
        if self.fence.is_none() || now < turn {
            return;
        }
        if let Some(state) = reported_primary(group).filter(|_| self.may_request(now, group)) {
            let group = id.clone();
            let change = FenceChange::AdoptPrimary { group, state };
            actions.push(FailoverAction::RequestChange { change });
        }
    }

    /// Promotes the primary of the fence if it does not lead, and fences members that still know
    /// only an older term, such as a replaced primary that came back.
    fn repair_members(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut GroupWatch,
        index: usize,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some((term, primary)) = group.primary.clone() else {
            return;
        };
        let turn = group.observed_since + self.rank_delay(index);
        if now < turn && group.completed_term != Some(term) {
            return;
        }
        for (member, watch) in &mut group.members {
            let Some((_, state)) = &watch.state else {
                continue;
            };
            let command = match *member == primary {
                true if !watch.leads(term) && state.term <= term => MemberCommand::Promote(term),
                false if state.term < term => MemberCommand::Fence(term),
                _ => continue,
            };
            let interval = self.settings.command_interval;
            if watch
                .last_command_at
                .is_none_or(|at| now.since(at) >= interval)
            {
                watch.last_command_at = Some(now);
                actions.push(FailoverAction::Command {
                    group: id.clone(),
                    member: member.clone(),
                    command,
                });
            }
        }
    }
}

fn reported_primary(group: &GroupWatch) -> Option<GroupState> {
    let states = group
        .members
        .iter()
        .filter_map(|(member, watch)| watch.state.as_ref().map(|(_, state)| (member, state)));
    let states: Vec<_> = states.collect();
    let newest = states.iter().map(|(_, state)| state.term).max()?;
    let leads = |state: &MemberState| state.role == MemberRole::Primary && state.term == newest;
    let leaders: Vec<_> = states.iter().filter(|(_, state)| leads(state)).collect();
    let majority = states.len() * 2 > group.members.len();
    match leaders.as_slice() {
        [(member, _)] if majority => Some(GroupState {
            term: newest,
            primary: MemberId::clone(member),
        }),
        _ => None,
    }
}
