//! The failover state machine of one VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Group;
use crate::failover::FailoverAction;
use crate::failover::FailoverEvent;
use crate::failover::FailoverSettings;
use crate::failover::observed::ObservedGroup;
use crate::failover::observed::ObservedIntent;
use crate::failover::observers;
use crate::membership::Fence;
use crate::membership::Settlement;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Nonce;
use crate::types::Term;
use crate::types::VmId;

/// Observes the members of all groups, and replaces a primary that is silent or accepts no new
/// work.
///
/// It does no I/O: events and the current time come in, actions for the caller go out.
#[derive(Debug)]
pub struct Failover {
    pub(super) me: VmId,
    pub(super) settings: FailoverSettings,
    pub(super) groups: BTreeMap<GroupId, ObservedGroup>,
    pub(super) fence: Option<Arc<Fence>>,
    /// The newest settled intent of each group, by its nonce.
    pub(super) settlements: BTreeMap<GroupId, (Nonce, Settlement)>,
    /// Whether the platform answers; without it, no planned move can be recorded.
    pub(super) platform_serves: bool,
    /// The newest result of `next_deadline`. An event long after it shows that the VM was paused.
    reported_deadline: Option<MonoTime>,
}

impl Failover {
    /// Creates the state machine of the VM `me`, which has no groups and no fence yet.
    pub fn new(me: VmId, settings: FailoverSettings) -> Self {
        Self {
            me,
            settings,
            groups: BTreeMap::new(),
            fence: None,
            settlements: BTreeMap::new(),
            platform_serves: false,
            reported_deadline: None,
        }
    }

    /// Handles an event, and appends the actions to be carried out to `actions`.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: FailoverEvent,
        actions: &mut Vec<FailoverAction>,
    ) {
        self.detect_own_pause(now);
        match event {
            FailoverEvent::DeadlineReached => {}
            FailoverEvent::GroupsChanged { groups } => self.update_groups(now, &groups),
            FailoverEvent::FenceChanged { fence } => self.update_fence(now, fence, actions),
            FailoverEvent::IntentSettled {
                group,
                nonce,
                settlement,
            } => {
                self.settlements.insert(group, (nonce, settlement));
            }
            FailoverEvent::StatementAnswered {
                group,
                member,
                sent_at,
            } => self.record_answer(&group, &member, sent_at, None),
            FailoverEvent::CommandAnswered {
                group,
                member,
                sent_at,
                command: _,
                state,
            } => self.record_answer(&group, &member, sent_at, Some(state)),
            // Silence is measured by missing answers alone: a refused connection proves nothing.
            FailoverEvent::CommandFailed { .. } => {}
            FailoverEvent::AvailabilityChanged { mut unavailable } => {
                for (id, group) in &mut self.groups {
                    group.planned_move.unavailable = unavailable.remove(id).unwrap_or_default();
                }
            }
            FailoverEvent::PlatformChanged { serves } => self.platform_serves = serves,
            FailoverEvent::GroupQuiesced { group } => self.record_quiesced(&group, actions),
            FailoverEvent::PeerReceived { from, message } => {
                self.handle_message(now, &from.vm, message, actions);
            }
        }
        self.advance(now, actions);
        self.reported_deadline = self.next_deadline();
    }

    /// Returns when `DeadlineReached` has to be reported next, or `None` if no timer is needed.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let groups = self.groups.values();
        let deadlines = groups.flat_map(|group| {
            let pause = group.planned_move.pause.as_ref().map(|pause| pause.until);
            [self.next_group_deadline(group), pause]
        });
        deadlines.flatten().min()
    }

    fn advance(&mut self, now: MonoTime, actions: &mut Vec<FailoverAction>) {
        let mut groups = std::mem::take(&mut self.groups);
        for (id, group) in &mut groups {
            self.send_probes(now, id, group, actions);
            self.update_suspicion(now, id, group, actions);
            self.cancel_intent(now, id, group, actions);
            self.end_pause(now, id, group, actions);
            self.act_as_observer(now, id, group, actions);
        }
        self.groups = groups;
    }

    /// Restarts all observations if this VM was paused: missing answers are then its own fault.
    fn detect_own_pause(&mut self, now: MonoTime) {
        let late = self.reported_deadline.map(|at| now.since(at));
        if late.is_some_and(|late| late > self.settings.pause_threshold) {
            for group in self.groups.values_mut() {
                group.restart_observation(now);
            }
        }
    }

    fn update_groups(&mut self, now: MonoTime, groups: &BTreeMap<GroupId, Group>) {
        self.groups.retain(|id, _| groups.contains_key(id));
        for (id, group) in groups {
            let observed = self
                .groups
                .entry(id.clone())
                .or_insert_with(|| ObservedGroup {
                    observed_since: now,
                    ..ObservedGroup::default()
                });
            observed
                .members
                .retain(|member, _| group.members.contains_key(member));
            for member in group.members.keys() {
                observed.members.entry(member.clone()).or_default();
            }
        }
        if let Some(fence) = self.fence.clone() {
            self.update_fence(now, fence, &mut Vec::new());
        }
    }

    fn update_fence(
        &mut self,
        now: MonoTime,
        fence: Arc<Fence>,
        actions: &mut Vec<FailoverAction>,
    ) {
        if self
            .fence
            .as_ref()
            .is_some_and(|held| held.version > fence.version)
        {
            return;
        }
        for (id, group) in &mut self.groups {
            group.observers = observers(id, &fence.roster, self.settings.observer_count);
            let timeout = self.settings.moves.promotion_timeout;
            update_primary(now, id, group, (&fence, timeout), actions);
            update_intent(now, id, group, &fence);
        }
        self.fence = Some(fence);
    }
}

fn update_primary(
    now: MonoTime,
    id: &GroupId,
    group: &mut ObservedGroup,
    (fence, promotion_timeout): (&Fence, Duration),
    actions: &mut Vec<FailoverAction>,
) {
    let state = fence.groups.get(id);
    let primary = state.map(|state| (state.term, state.primary.clone()));
    if primary == group.primary {
        return;
    }
    let member = |primary: &Option<(Term, MemberId)>| primary.as_ref().map(|(_, m)| m.clone());
    let same_member = member(&group.primary) == member(&primary);
    group
        .planned_move
        .handle_term_change(now, same_member, promotion_timeout);
    group.restart_observation(now);
    group
        .members
        .values_mut()
        .for_each(|member| member.last_command_at = None);
    let former = std::mem::replace(&mut group.primary, primary);
    if let Some(state) = state {
        actions.push(FailoverAction::PrimaryChanged {
            group: id.clone(),
            term: state.term,
            member: state.primary.clone(),
            former: former.map(|(_, member)| member),
        });
    }
}

fn update_intent(now: MonoTime, id: &GroupId, group: &mut ObservedGroup, fence: &Fence) {
    let Some(intent) = fence.intents.get(id) else {
        group.intent = None;
        return;
    };
    let held = group
        .intent
        .take()
        .filter(|held| held.nonce == intent.nonce);
    let mut held = held.unwrap_or_else(|| ObservedIntent {
        nonce: intent.nonce,
        from_term: intent.from_term,
        promoter: intent.promoter.clone(),
        phase: intent.phase,
        seen_at: now,
        phase_seen_at: now,
    });
    if held.phase != intent.phase {
        held.phase = intent.phase;
        held.promoter = intent.promoter.clone();
        held.phase_seen_at = now;
        group.last_request_at = None;
        group
            .members
            .values_mut()
            .for_each(|member| member.last_command_at = None);
    }
    group.intent = Some(held);
}
