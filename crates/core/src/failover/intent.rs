//! Opening, cancelling and taking over intents, and bringing members in line with the fence.
//!
//! Observers act in the order of their rank, so that usually only one of them requests a change.

use std::time::Duration;

use crate::failover::CancelEvidence;
use crate::failover::Failover;
use crate::failover::FailoverAction;
use crate::failover::IntentCause;
use crate::failover::observed::ObservedGroup;
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
    /// Requests the cancellation of an intent if the primary answered a request that this VM sent
    /// after it learned of the intent. Any VM may do so, not only an observer.
    pub(super) fn cancel_intent(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(intent) = &group.intent else { return };
        let answer = group.own_newest_answer().filter(|at| *at >= intent.seen_at);
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

    /// Does the work of an observer in the current state of the group: completes, advances or opens
    /// an intent, or brings the members in line with the fence.
    pub(super) fn act_as_observer(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        actions: &mut Vec<FailoverAction>,
    ) {
        group.last_tick_at = Some(now);
        if group.intent.is_some() || group.observer_index(&self.me).is_none() {
            group.planned_move.attempt = None;
        }
        let Some(index) = group.observer_index(&self.me) else {
            return;
        };
        match &group.intent {
            Some(intent) if intent.phase == IntentPhase::Fencing => {
                let due_at = intent.phase_seen_at + self.settings.takeover_delay;
                let takeover_due = now >= due_at + self.rank_delay(index);
                if takeover_due || self.acts_as_promoter(now, group) {
                    self.promote(now, id, group, actions);
                }
            }
            Some(_) => self.start_fencing(now, id, group, index, actions),
            None if group.primary.is_none() => self.adopt_primary(now, id, group, index, actions),
            None => {
                self.open_intent(now, id, group, actions);
                self.renew_term(now, id, group, index, actions);
                self.advance_planned_move(now, id, group, index, actions);
                self.reconcile_members(now, id, group, index, actions);
            }
        }
    }

    /// Returns whether this VM should carry the open intent on: it opened the intent or took it
    /// over, or the promoter sends no reports and this VM is the first observer that still does.
    pub(super) fn acts_as_promoter(&self, now: MonoTime, group: &ObservedGroup) -> bool {
        let Some(intent) = &group.intent else {
            return false;
        };
        if intent.promoter == self.me {
            return true;
        }
        // Observers report often while they suspect the primary, so a promoter without a recent
        // report is probably down.
        let waited = now.since(intent.seen_at) > self.settings.report_max_age;
        if !waited || !group.suspected || self.peer_suspects(now, group, &intent.promoter) {
            return false;
        }
        let mut observers = group.observers.iter();
        let first = observers.find(|vm| **vm == self.me || self.peer_suspects(now, group, vm));
        first == Some(&self.me)
    }

    pub(super) fn rank_delay(&self, index: usize) -> Duration {
        let times = u32::try_from(index).unwrap_or(u32::MAX);
        self.settings.rank_delay.saturating_mul(times)
    }

    /// Returns whether a change of the fence may be requested now. If so, records the request, so
    /// that the next one has to wait for the request interval.
    pub(super) fn may_request(&self, now: MonoTime, group: &mut ObservedGroup) -> bool {
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
        group: &mut ObservedGroup,
        actions: &mut Vec<FailoverAction>,
    ) {
        let evidence = self.silence_evidence(now, group);
        let (Some(evidence), Some((term, _))) = (evidence, group.primary.clone()) else {
            group.majority_since = None;
            return;
        };
        let since = *group.majority_since.get_or_insert(now);
        let rank = evidence.agreeing.iter().position(|vm| *vm == self.me);
        let due_at = since + self.rank_delay(rank.unwrap_or(usize::MAX));
        // A minority that still gets answers would cancel the intent at once, so it is opened in
        // the fencing phase, in which it cannot be cancelled.
        let phase = if evidence.answers_minority {
            IntentPhase::Fencing
        } else {
            IntentPhase::Suspected
        };
        let possible = phase == IntentPhase::Suspected || self.members_reachable(now, group);
        if now < due_at || !possible || !self.may_request(now, group) {
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

    /// Opens an intent for a group with a member that refuses the current term. Otherwise no
    /// promotion would follow, and the member would stay without replication.
    fn renew_term(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        index: usize,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some((term, _)) = group.primary.clone() else {
            return;
        };
        let mut members = group.members.iter();
        let fenced_member = members.find_map(|(member, observed)| {
            observed
                .fenced_for(term.next())
                .map(|state| (member.clone(), state.term))
        });
        let Some((member, fenced_term)) = fenced_member else {
            group.member_ahead_since = None;
            return;
        };
        let since = *group.member_ahead_since.get_or_insert(now);
        let due_at = since + self.settings.takeover_delay + self.rank_delay(index);
        if now >= due_at && self.may_request(now, group) {
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

    /// Requests that a group is entered in the fence, if a majority of its members has reported a
    /// state and exactly one of them is the primary of the newest term.
    fn adopt_primary(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        index: usize,
        actions: &mut Vec<FailoverAction>,
    ) {
        let due_at = group.observed_since + self.rank_delay(index);
        if self.fence.is_none() || now < due_at {
            return;
        }
        if let Some(state) = reported_primary(group).filter(|_| self.may_request(now, group)) {
            let group = id.clone();
            let change = FenceChange::AddGroup { group, state };
            actions.push(FailoverAction::RequestChange { change });
        }
    }

    /// Promotes the primary that the fence names if it does not report itself as primary, and
    /// fences members that know only an older term, such as a replaced primary that has come back.
    fn reconcile_members(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &mut ObservedGroup,
        index: usize,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some((term, primary)) = group.primary.clone() else {
            return;
        };
        let due_at = group.observed_since + self.rank_delay(index);
        if now < due_at && group.requested_term != Some(term) {
            return;
        }
        for (member, observed) in &mut group.members {
            let Some((_, state)) = &observed.state else {
                continue;
            };
            let command = match *member == primary {
                true if !observed.is_primary_of(term) && state.term <= term => {
                    MemberCommand::Promote(term)
                }
                false if state.term < term => MemberCommand::Fence(term),
                _ => continue,
            };
            let interval = self.settings.command_interval;
            if observed
                .last_command_at
                .is_none_or(|at| now.since(at) >= interval)
            {
                observed.last_command_at = Some(now);
                actions.push(FailoverAction::Command {
                    group: id.clone(),
                    member: member.clone(),
                    command,
                });
            }
        }
    }
}

fn reported_primary(group: &ObservedGroup) -> Option<GroupState> {
    let states = group
        .members
        .iter()
        .filter_map(|(member, observed)| observed.state.as_ref().map(|(_, state)| (member, state)));
    let states: Vec<_> = states.collect();
    let newest = states.iter().map(|(_, state)| state.term).max()?;
    let is_newest_primary =
        |state: &MemberState| state.role == MemberRole::Primary && state.term == newest;
    let primaries: Vec<_> = states
        .iter()
        .filter(|(_, state)| is_newest_primary(state))
        .collect();
    let majority = states.len() * 2 > group.members.len();
    match primaries.as_slice() {
        [(member, _)] if majority => Some(GroupState {
            term: newest,
            primary: MemberId::clone(member),
        }),
        _ => None,
    }
}
