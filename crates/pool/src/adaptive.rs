//! The parts of the pool that adapt the load on a group's members to how they answer. They are on
//! for groups with [`is_adaptive`](crate::GroupRule::is_adaptive).

use std::time::Duration;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;

use crate::event::PoolAction;
use crate::group::Group;
use crate::member::Member;
use crate::pace::BeginShare;
use crate::pool::Pool;
use crate::report::Report;

/// The lowest answer time that counts as usual. Shorter ones differ by the kind of statement more
/// than by the load of the member.
const MIN_USUAL_ANSWER_TIME: Duration = Duration::from_millis(20);

impl Pool {
    pub(crate) fn is_adaptive(&self, group: &GroupId) -> bool {
        let rule = self.config.groups.get(group);
        rule.is_some_and(|rule| rule.is_adaptive)
    }

    /// Returns this VM's part of the load with which a member begins; `None` if members of the
    /// group take their full load at once.
    fn begin_share(&self, id: &MemberId, member: &Member) -> Option<BeginShare> {
        let group = &member.entry.group;
        if !self.is_adaptive(group) {
            return None;
        }
        let homes = self.group_homes(group);
        let (count, rank) = homes.count_and_rank(id, &self.settings.vm);
        Some(BeginShare::new(member.entry.slots, count, rank))
    }

    /// Returns whether one more statement or new connection may be in progress at a member besides
    /// `running`. `is_needed` says that no other member can serve the statement.
    pub(crate) fn has_room(
        &self,
        now: MonoTime,
        id: &MemberId,
        member: &Member,
        running: usize,
        is_needed: bool,
    ) -> bool {
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        // All members are new to a VM that starts, though most of them have been up for long.
        let is_starting = self.startup_ends_at.is_some();
        let is_ramping = member.pace.is_ramping() && !is_starting;
        let share = is_ramping.then(|| self.begin_share(id, member)).flatten();
        member.pace.has_room(now, running, share, is_needed)
    }

    /// Records that a statement is sent to the member of a connection.
    pub(crate) fn note_sent(&mut self, now: MonoTime, link: ConnectionId) {
        let Some(link) = self.links.get(&link) else {
            return;
        };
        let known = self.groups.get(&link.group);
        let member = known.and_then(|group| group.members.get(&link.member));
        if member.is_none_or(|member| member.health.left_out_since().is_none()) {
            return;
        }
        let (group, id) = (link.group.clone(), link.member.clone());
        let homes = self.group_homes(&group);
        let (count, _) = homes.count_and_rank(&id, &self.settings.vm);
        let known = self.groups.get_mut(&group);
        if let Some(member) = known.and_then(|group| group.members.get_mut(&id)) {
            member.health.note_sent(now, count);
        }
    }

    /// Records how long the member of a connection took to answer a statement, for its pace.
    pub(crate) fn record_pace(
        &mut self,
        now: MonoTime,
        link: ConnectionId,
        taken: Duration,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get(&link) else {
            return;
        };
        let (group_id, id) = (link.group.clone(), link.member.clone());
        let group = self.groups.get(&group_id);
        let Some((group, member)) = group.and_then(|group| Some((group, group.members.get(&id)?)))
        else {
            return;
        };
        if !member.pace.is_ramping() {
            return;
        }
        let Some(share) = self.begin_share(&id, member) else {
            return;
        };
        let usual = usual_answer_time(group, &id);
        let budget = self.link_budget(&group_id, &id);
        let group = self.groups.get_mut(&group_id);
        let Some(member) = group.and_then(|group| group.members.get_mut(&id)) else {
            return;
        };
        let reached = member.pace.ramp_answered(now, taken, usual, share, budget);
        if let Some(reached) = reached {
            actions.push(PoolAction::Report(Report::MemberAtPace {
                group: group_id,
                member: id,
                taken: reached.taken,
                cuts: reached.cuts,
            }));
        }
    }
}

/// Returns the answer time that is usual in a group: the mean of what the other members take on
/// average, or without others the member's own average.
pub(crate) fn usual_answer_time(group: &Group, id: &MemberId) -> Duration {
    let others = group.members.iter();
    let others = others.filter(|(other, member)| *other != id && member.down_since.is_none());
    let (count, sum) = others.fold((0, Duration::ZERO), |(count, sum), (_, member)| {
        (count + 1, sum + member.average_answer_time())
    });
    let own = group.members.get(id).map(Member::average_answer_time);
    let usual = match count {
        0 => own.unwrap_or_default(),
        count => sum / count,
    };
    usual.max(MIN_USUAL_ANSWER_TIME)
}
