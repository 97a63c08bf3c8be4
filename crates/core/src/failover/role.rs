//! The failover role of one VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Group;
use crate::failover::FailoverAction;
use crate::failover::FailoverEvent;
use crate::failover::FailoverSettings;
use crate::failover::observers;
use crate::failover::watch::GroupWatch;
use crate::failover::watch::IntentWatch;
use crate::membership::Fence;
use crate::membership::Settlement;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Nonce;
use crate::types::Term;
use crate::types::VmId;

/// Observes the members of all groups and promotes a replica when a primary is gone.
#[derive(Debug)]
pub struct Failover {
    pub(super) me: VmId,
    pub(super) settings: FailoverSettings,
    pub(super) groups: BTreeMap<GroupId, GroupWatch>,
    pub(super) fence: Option<Arc<Fence>>,
    /// The newest settled intent of each group.
    pub(super) settlements: BTreeMap<GroupId, (Nonce, Settlement)>,
    /// Whether the platform answers; without it no move can be recorded.
    pub(super) platform_serves: bool,
    /// The deadline that was reported last; a later event shows that the VM was paused.
    expected_at: Option<MonoTime>,
}

impl Failover {
    /// Creates the role of a VM that knows no groups and no fence yet.
    pub fn new(me: VmId, settings: FailoverSettings) -> Self {
        Self {
            me,
            settings,
            groups: BTreeMap::new(),
            fence: None,
            settlements: BTreeMap::new(),
            platform_serves: false,
            expected_at: None,
        }
    }

    /// Handles an event.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: FailoverEvent,
        actions: &mut Vec<FailoverAction>,
    ) {
        self.notice_pause(now);
        match event {
            FailoverEvent::DeadlineReached => {}
            FailoverEvent::GroupsChanged { groups } => self.follow_groups(now, &groups),
            FailoverEvent::FenceChanged { fence } => self.follow_fence(now, fence, actions),
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
                asked_at,
            } => self.answered(&group, &member, asked_at, None),
            FailoverEvent::CommandAnswered {
                group,
                member,
                asked_at,
                command: _,
                state,
            } => self.answered(&group, &member, asked_at, Some(state)),
            // Silence is measured by answers alone: a refused connection proves nothing.
            FailoverEvent::CommandFailed { .. } => {}
            FailoverEvent::AvailabilityChanged { mut unavailable } => {
                for (id, group) in &mut self.groups {
                    group.planned.unavailable = unavailable.remove(id).unwrap_or_default();
                }
            }
            FailoverEvent::PlatformChanged { serves } => self.platform_serves = serves,
            FailoverEvent::PauseSettled { group } => self.pause_quiet(&group, actions),
            FailoverEvent::PeerReceived { from, message } => {
                self.peer_received(now, &from.vm, message, actions);
            }
        }
        self.advance(now, actions);
        self.expected_at = self.next_deadline();
    }

    /// Returns when `DeadlineReached` has to be reported.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let groups = self.groups.values();
        let deadlines = groups.flat_map(|group| {
            let pause = group.planned.pause.as_ref().map(|pause| pause.until);
            [self.group_deadline(group), pause]
        });
        deadlines.flatten().min()
    }

    fn advance(&mut self, now: MonoTime, actions: &mut Vec<FailoverAction>) {
        let mut groups = std::mem::take(&mut self.groups);
        for (id, group) in &mut groups {
            self.probe(now, id, group, actions);
            self.suspect(now, id, group, actions);
            self.cancel(now, id, group, actions);
            self.end_pause(now, id, group, actions);
            self.do_duty(now, id, group, actions);
        }
        self.groups = groups;
    }

    /// A VM that was paused has seen no answers because of itself.
    fn notice_pause(&mut self, now: MonoTime) {
        let late = self.expected_at.map(|at| now.since(at));
        if late.is_some_and(|late| late > self.settings.pause_threshold) {
            for group in self.groups.values_mut() {
                group.reset_window(now);
            }
        }
    }

    fn follow_groups(&mut self, now: MonoTime, groups: &BTreeMap<GroupId, Group>) {
        self.groups.retain(|id, _| groups.contains_key(id));
        for (id, group) in groups {
            let watch = self.groups.entry(id.clone()).or_insert_with(|| GroupWatch {
                observed_since: now,
                ..GroupWatch::default()
            });
            watch
                .members
                .retain(|member, _| group.members.contains_key(member));
            for member in group.members.keys() {
                watch.members.entry(member.clone()).or_default();
            }
        }
        if let Some(fence) = self.fence.clone() {
            self.follow_fence(now, fence, &mut Vec::new());
        }
    }

    fn follow_fence(
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
            let wait = self.settings.moves.promotion_timeout;
            follow_primary(now, id, group, (&fence, wait), actions);
            follow_intent(now, id, group, &fence);
        }
        self.fence = Some(fence);
    }
}

fn follow_primary(
    now: MonoTime,
    id: &GroupId,
    group: &mut GroupWatch,
    (fence, promotion_wait): (&Fence, Duration),
    actions: &mut Vec<FailoverAction>,
) {
    let state = fence.groups.get(id);
    let primary = state.map(|state| (state.term, state.primary.clone()));
    if primary == group.primary {
        return;
    }
    let member = |primary: &Option<(Term, MemberId)>| primary.as_ref().map(|(_, m)| m.clone());
    let same_member = member(&group.primary) == member(&primary);
    group.planned.term_changed(now, same_member, promotion_wait);
    group.reset_window(now);
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

fn follow_intent(now: MonoTime, id: &GroupId, group: &mut GroupWatch, fence: &Fence) {
    let Some(intent) = fence.intents.get(id) else {
        group.intent = None;
        return;
    };
    let held = group
        .intent
        .take()
        .filter(|held| held.nonce == intent.nonce);
    let mut held = held.unwrap_or_else(|| IntentWatch {
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
