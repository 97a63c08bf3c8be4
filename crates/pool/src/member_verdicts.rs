//! Leaves members to probes by the evidence of this VM and of others, for groups with
//! [`is_adaptive`](crate::GroupRule::is_adaptive).
//!
//! Only reads that other members can serve leave a member. Statements that need the primary go there
//! in any case.

use std::time::Duration;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::VmId;
use smallvec::SmallVec;

use crate::adaptive::usual_answer_time;
use crate::event::PoolAction;
use crate::group::Group;
use crate::link::Owner;
use crate::member::Member;
use crate::member_health::HealthChange;
use crate::member_health::VERDICT_TIME_TO_LIVE;
use crate::message::PoolMessage;
use crate::placement::Requirement;
use crate::placement::requirement_of;
use crate::pool::Pool;
use crate::report::Report;
use crate::session::Operation;
use crate::statement::Access;
use crate::statement::MemberFault;

/// The version of messages from which VMs understand [`PoolMessage::MemberVerdict`].
const VERDICT_MESSAGE_VERSION: u32 = 1;

/// How many other VMs are told of a member's bad answers. Each is told by as many.
const MAX_TOLD_VMS: usize = 16;

/// How many times the member's own average a statement takes before its answer is overdue. An
/// overloaded member answers all statements late, and is not left for it.
const OVERDUE_FACTOR: u32 = 8;

/// How many times the group's usual answer time a bad answer takes.
const SLOW_FACTOR: u32 = 8;

/// The lowest time after which an answer is bad or overdue: half of the tightest latency targets.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(250);

/// How often a read is moved to another member because its answer is overdue.
const MAX_OVERDUE_MOVES: u32 = 1;

impl Pool {
    /// Returns whether a member may get a read that requires the position `required`: it is not
    /// left to probes, a probe is due, or no other member could serve it.
    pub(crate) fn may_get_reads(
        &self,
        now: MonoTime,
        group: &Group,
        id: &MemberId,
        required: Position,
        may_probe: bool,
    ) -> bool {
        let known = group.members.get(id).map(|member| &member.health);
        let left_out = known.filter(|health| health.left_out_since().is_some());
        // The statements that only the primary can run show how it answers.
        let may_probe = may_probe && group.primary.as_ref() != Some(id);
        if left_out.is_none_or(|health| may_probe && health.is_probe_due(now)) {
            return true;
        }
        let left_out = left_out_members(group);
        let can_serve = |(other, state): (&MemberId, &Member)| {
            !left_out.contains(&other)
                && self.can_serve_reads(now, state)
                && state.may_have_position(now, required)
        };
        !left_out.contains(&id) || !group.members.iter().any(can_serve)
    }

    /// Records a result of a statement that the member of a connection has answered.
    pub(crate) fn record_health(
        &mut self,
        now: MonoTime,
        link: ConnectionId,
        sent_at: MonoTime,
        fault: Option<MemberFault>,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get(&link) else {
            return;
        };
        let (group_id, id) = (link.group.clone(), link.member.clone());
        if !self.is_adaptive(&group_id) {
            return;
        }
        let Some(group) = self.groups.get_mut(&group_id) else {
            return;
        };
        let usual = usual_answer_time(group, &id);
        let Some(member) = group.members.get_mut(&id) else {
            return;
        };
        let too_slow = (usual * SLOW_FACTOR).max(MIN_OVERDUE_TIME);
        match fault {
            None if now.since(sent_at) <= too_slow => {
                member.health.note_good(now, sent_at);
                if !member.health.is_active() {
                    return;
                }
            }
            None | Some(MemberFault::Failed | MemberFault::TimedOut) => {
                member.health.note_bad(now);
            }
            Some(_) => return,
        }
        self.review_member(now, &group_id, &id, actions);
    }

    /// Counts statements whose answers are overdue against their members, and moves reads among them
    /// to other connections. Their first answers are ignored, since the connections are closed.
    pub(crate) fn check_overdue_answers(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let mut overdue: SmallVec<[ConnectionId; 8]> = SmallVec::new();
        for (id, link) in &self.links {
            let waits = link.is_open && link.has_sent_statement() && !link.is_overdue();
            if !waits || now.since(link.waiting_since) <= MIN_OVERDUE_TIME {
                continue;
            }
            let Some(group) = self.groups.get(&link.group) else {
                continue;
            };
            let Some(member) = group.members.get(&link.member) else {
                continue;
            };
            let limit = member.average_answer_time() * OVERDUE_FACTOR;
            // The silence of a primary shows by its unanswered statements that it has failed.
            let is_silent_primary = group.primary.as_ref() == Some(&link.member)
                && member
                    .last_answer_at
                    .is_none_or(|at| at <= link.waiting_since);
            if now.since(link.waiting_since) > limit
                && !is_silent_primary
                && self.is_adaptive(&link.group)
            {
                overdue.push(*id);
            }
        }
        for id in overdue {
            let Some(link) = self.links.get_mut(&id) else {
                continue;
            };
            link.set_overdue();
            let (group, member, owner) = (link.group.clone(), link.member.clone(), link.owner);
            if let Some(member) = self.member_of(id) {
                member.health.note_bad(now);
            }
            self.review_member(now, &group, &member, actions);
            if self.is_movable_read(now, &group, &member, owner) {
                actions.push(PoolAction::Report(Report::ReadMoved { group, member }));
                self.abort_link(now, id, actions);
            }
        }
    }

    /// Returns whether the owner of a connection to a member waits for a single read that may run
    /// again, and that another member can serve. The same member would only get more work.
    fn is_movable_read(
        &self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        owner: Owner,
    ) -> bool {
        let (Owner::Caller(caller), Some(group)) = (owner, self.groups.get(group)) else {
            return false;
        };
        let session = self.sessions.get(&caller);
        let session = session.filter(|session| session.transaction.is_none());
        let current = session.and_then(|session| Some((session, session.current.as_ref()?)));
        current.is_some_and(|(session, current)| {
            let Requirement::AtLeast(required) = requirement_of(now, session, current, group)
            else {
                return false;
            };
            let can_serve = |(other, state): (&MemberId, &Member)| {
                other != member
                    && !current.excluded.contains(other)
                    && self.can_serve_reads(now, state)
                    && state.may_have_position(now, required)
                    && self.may_get_reads(now, group, other, required, false)
            };
            current.operation.access() == Access::Read
                && !matches!(current.operation, Operation::Commit)
                && current.attempts <= MAX_OVERDUE_MOVES
                && group.members.iter().any(can_serve)
        })
    }

    /// Handles what another VM has seen of a member.
    pub(crate) fn verdict_received(
        &mut self,
        now: MonoTime,
        from: &VmId,
        group: &GroupId,
        member: &MemberId,
        is_bad: bool,
        actions: &mut Vec<PoolAction>,
    ) {
        if !self.is_adaptive(group) || self.roster.get(from).is_none() {
            return;
        }
        let known = self.groups.get_mut(group);
        let Some(state) = known.and_then(|group| group.members.get_mut(member)) else {
            return;
        };
        let time_to_live = VERDICT_TIME_TO_LIVE;
        state.health.note_verdict(now, from, is_bad, time_to_live);
        self.review_member(now, group, member, actions);
    }

    /// Reviews all members with something to review, also while none of them answers.
    pub(crate) fn review_members(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let mut due = Vec::new();
        for (group, state) in &self.groups {
            let active = state.members.iter();
            let active = active.filter(|(_, member)| member.health.is_active());
            due.extend(active.map(|(member, _)| (group.clone(), member.clone())));
        }
        for (group, member) in due {
            self.review_member(now, &group, &member, actions);
        }
    }

    /// Records that a member was found down, which may be one time of several.
    pub(crate) fn record_down(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        actions: &mut Vec<PoolAction>,
    ) {
        if !self.is_adaptive(group) {
            return;
        }
        let known = self.groups.get_mut(group);
        if let Some(state) = known.and_then(|group| group.members.get_mut(member)) {
            state.health.note_down(now);
        }
        self.review_member(now, group, member, actions);
    }

    fn review_member(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        actions: &mut Vec<PoolAction>,
    ) {
        self.update_group_homes(group);
        let homes = self.group_homes(group);
        let told = homes.next_homes(member, &self.settings.vm, MAX_TOLD_VMS);
        let Some(known) = self.groups.get_mut(group) else {
            return;
        };
        let is_primary = known.primary.as_ref() == Some(member);
        let Some(state) = known.members.get_mut(member) else {
            return;
        };
        let change = state.health.review(now, told.len());
        let verdict = state.health.verdict_to_tell(now);
        match change {
            Some(HealthChange::Left { cause, agreeing }) => {
                actions.push(PoolAction::Report(Report::MemberLeftOut {
                    group: group.clone(),
                    member: member.clone(),
                    cause: cause.as_str(),
                    agreeing,
                }));
            }
            Some(HealthChange::Readmitted { after }) => {
                // The primary has kept the statements that only it can run.
                if !is_primary {
                    state.pace.begin(now);
                }
                actions.push(PoolAction::Report(Report::MemberReadmitted {
                    group: group.clone(),
                    member: member.clone(),
                    after,
                }));
            }
            None => {}
        }
        let Some(is_bad) = verdict else {
            return;
        };
        for vm in told {
            if self.roster.understands(&vm, VERDICT_MESSAGE_VERSION) {
                let message = PoolMessage::MemberVerdict {
                    group: group.clone(),
                    member: member.clone(),
                    is_bad,
                };
                self.send_peer(&vm, message, actions);
            }
        }
    }
}

/// Returns the members of a group that get only probes: at most half of them, those first that were
/// left out first.
fn left_out_members(group: &Group) -> SmallVec<[&MemberId; 4]> {
    let members = group.members.iter();
    let left_out = members.filter_map(|(id, member)| Some((member.health.left_out_since()?, id)));
    let mut left_out: SmallVec<[(MonoTime, &MemberId); 4]> = left_out.collect();
    left_out.sort();
    left_out.truncate(group.members.len() / 2);
    left_out.into_iter().map(|(_, id)| id).collect()
}
