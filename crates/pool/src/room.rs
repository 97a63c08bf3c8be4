//! Which statements of lower priority may start at a member while a higher one lacks room there.
//!
//! A member serves what it gets in the order of arrival. So priority has to be kept before
//! statements are sent, by all VMs that send to the member. A home whose statements of a priority
//! take too large a part of their latency target wants room: for a moment, it and the other homes of
//! the member start lower priorities only at their share of the slots, less one that is left free.
//! Shares follow from the configuration and the roster, so a home that gets no message or dies keeps
//! no room from others. Without such a want, lower priorities use all that is free.

use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use smallvec::SmallVec;

use crate::config::RouteRule;
use crate::event::PoolAction;
use crate::group::Group;
use crate::link::Owner;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::report::Report;

/// The version of the messages between VMs that introduced [`PoolMessage::RoomWanted`].
const ROOM_MESSAGE_VERSION: u32 = 1;

/// Part of the latency target, in percent, from which a statement's time shows that its priority
/// lacks room. An operation may consist of several statements.
const PRESSED_PERCENT: u32 = 25;

/// How long a want holds lower priorities back. It is longer than the queue of a full member takes,
/// and short enough that free room is used again within a few hundred milliseconds.
const WANT_TIME_TO_LIVE: Duration = Duration::from_millis(500);

/// Time before the end of a want from which it is renewed, with a message to the other homes.
const WANT_RENEWAL_LEAD: Duration = Duration::from_millis(350);

/// Time before the end of a want from which lower priorities start faster. If they all returned at
/// once, the member's queue would be full before a higher priority notices it.
const EASING_TIME: Duration = Duration::from_millis(300);

/// How many times faster lower priorities start at the end of a want than at its beginning.
const EASED_SPEED: f64 = 4.0;

/// Part of its statement timeout, in percent, after which a waiting statement of a lower priority
/// counts as starved.
const STARVED_WAIT_PERCENT: u32 = 25;

/// Part of a VM's share of a member's slots, in percent, that starved statements get whatever higher
/// priorities want.
const FLOOR_PERCENT: u32 = 10;

/// Slots of a member that lower priorities leave free while a higher one wants room.
const RESERVED_SLOTS: u32 = 1;

/// A VM's share of the slots of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomShare {
    /// How many statements the member runs at once.
    pub slots: u32,
    /// The part of them that is this VM's; at most 1.
    pub part: f64,
}

/// What a VM knows about the room at one member.
#[derive(Clone, Debug, Default)]
pub struct MemberRoom {
    /// The priorities that want room, each with the end of the want.
    wants: SmallVec<[(u8, MonoTime); 2]>,
    /// When the latest statement of a priority that is held back has started.
    held_start: MonoTime,
    /// When the latest starved statement has started.
    starved_start: MonoTime,
}

impl MemberRoom {
    /// Records that a priority wants room; returns whether this has to be passed on, because the
    /// want was not known or is about to end.
    pub fn want(&mut self, now: MonoTime, priority: u8) -> bool {
        self.wants.retain(|(_, end)| *end > now);
        let covered = self
            .wants
            .iter()
            .any(|(wanted, end)| *wanted <= priority && end.since(now) > WANT_RENEWAL_LEAD);
        if !covered {
            self.wants.retain(|(wanted, _)| *wanted != priority);
            self.wants.push((priority, now + WANT_TIME_TO_LIVE));
        }
        !covered
    }

    /// Returns the end of the latest want of a priority higher than the given one.
    fn held_until(&self, now: MonoTime, priority: u8) -> Option<MonoTime> {
        let higher = self.wants.iter().filter(|(wanted, _)| *wanted < priority);
        let ends = higher.map(|(_, end)| *end).filter(|end| *end > now);
        ends.max()
    }

    /// Returns the time between two starts of statements of a priority that is held back; `None` if
    /// it is not.
    ///
    /// As many statements as the lower priorities have slots are then in progress over all VMs,
    /// since the answer time is that of the member as it is now.
    pub fn start_interval(
        &self,
        now: MonoTime,
        priority: u8,
        share: RoomShare,
        answer_time: Duration,
    ) -> Option<Duration> {
        let left = self.held_until(now, priority)?.since(now);
        let eased = 1.0 - left.as_secs_f64() / EASING_TIME.as_secs_f64();
        let speed = 1.0 + (EASED_SPEED - 1.0) * eased.max(0.0);
        let slots = share.slots.saturating_sub(RESERVED_SLOTS).max(1);
        Some(interval(answer_time, slots, share.part).div_f64(speed))
    }

    /// Returns whether a statement of a priority may start now.
    pub fn may_start(
        &self,
        now: MonoTime,
        priority: u8,
        is_starved: bool,
        share: RoomShare,
        answer_time: Duration,
    ) -> bool {
        let held = self.start_interval(now, priority, share, answer_time);
        let is_due = held.is_none_or(|interval| now.since(self.held_start) >= interval);
        is_due || is_starved && self.is_floor_due(now, share, answer_time)
    }

    /// Returns whether the next statement may be a starved one, before those of higher priorities.
    pub fn is_floor_due(&self, now: MonoTime, share: RoomShare, answer_time: Duration) -> bool {
        let all = interval(answer_time, share.slots, share.part);
        now.since(self.starved_start) >= all * 100 / FLOOR_PERCENT
    }

    /// Records the start of a statement.
    pub fn started(&mut self, now: MonoTime, priority: u8, is_starved: bool) {
        if is_starved {
            self.starved_start = now;
        }
        if self.held_until(now, priority).is_some() {
            self.held_start = now;
        }
    }
}

/// Returns the time between two starts that keeps a part of some slots in use.
fn interval(answer_time: Duration, slots: u32, part: f64) -> Duration {
    let used_slots = f64::from(slots.max(1)) * part;
    Duration::try_from_secs_f64(answer_time.as_secs_f64() / used_slots).unwrap_or(WANT_TIME_TO_LIVE)
}

impl Pool {
    /// Returns whether the load on the members of a group follows the priority of its statements.
    pub(crate) fn shares_room(&self, group: &GroupId) -> bool {
        let rule = self.config.groups.get(group);
        rule.is_some_and(|rule| rule.is_adaptive)
    }

    /// Returns whether no route of its group has a higher priority than a route.
    pub(crate) fn is_highest_priority(&self, route: &RouteRule) -> bool {
        let highest = self.highest_priorities.get(&route.group);
        highest.is_none_or(|highest| route.priority <= *highest)
    }

    /// Returns whether a statement has waited so long that it may go before higher priorities.
    pub(crate) fn is_short_of_room(&self, route: &RouteRule, waited: Duration) -> bool {
        waited >= route.statement_timeout * STARVED_WAIT_PERCENT / 100
            && !self.is_highest_priority(route)
    }

    fn room_share(&self, group: &GroupId, member: &MemberId, slots: u32) -> RoomShare {
        let homes = self.group_homes(group);
        let part = homes.rate_part(member, &self.settings.vm);
        RoomShare { slots, part }
    }

    /// Returns whether a statement of a route that has waited for some time may start at a member.
    pub(crate) fn may_start_at(
        &self,
        now: MonoTime,
        group: &Group,
        id: &MemberId,
        route: &RouteRule,
        waited: Duration,
    ) -> bool {
        let (Some(room), Some(member)) = (group.rooms.get(id), group.members.get(id)) else {
            return true;
        };
        let share = self.room_share(&route.group, id, member.entry.slots);
        let is_starved = self.is_short_of_room(route, waited);
        let answer_time = member.average_answer_time();
        room.may_start(now, route.priority, is_starved, share, answer_time)
    }

    /// Returns the time between two starts of statements of a route at the members that could run
    /// them, if its priority is held back at all of them.
    pub(crate) fn held_interval(
        &self,
        now: MonoTime,
        group: &Group,
        route: &RouteRule,
        members: &[&MemberId],
    ) -> Option<Duration> {
        let intervals = members.iter().map(|id| {
            let (room, member) = (group.rooms.get(*id)?, group.members.get(*id)?);
            let share = self.room_share(&route.group, id, member.entry.slots);
            room.start_interval(now, route.priority, share, member.average_answer_time())
        });
        intervals
            .min_by_key(|interval| interval.unwrap_or_default())
            .flatten()
    }

    /// Returns whether a starved statement of a group may go before higher priorities now.
    pub(crate) fn is_group_floor_due(&self, now: MonoTime, id: &GroupId, group: &Group) -> bool {
        group.members.iter().any(|(name, member)| {
            let share = self.room_share(id, name, member.entry.slots);
            let room = group.rooms.get(name);
            room.is_none_or(|room| room.is_floor_due(now, share, member.average_answer_time()))
        })
    }

    /// Records the start of a caller's statement over a connection.
    pub(crate) fn note_start(&mut self, now: MonoTime, caller: CallerId, link: ConnectionId) {
        let session = self.sessions.get(&caller);
        let Some(current) = session.and_then(|session| session.current.as_ref()) else {
            return;
        };
        let (route, waited) = (current.route.clone(), now.since(current.started_at));
        if !self.shares_room(&route.group) {
            return;
        }
        let Some(member) = self.links.get(&link).map(|link| link.member.clone()) else {
            return;
        };
        let is_starved = self.is_short_of_room(&route, waited);
        if let Some(group) = self.groups.get_mut(&route.group) {
            let room = group.rooms.entry(member).or_default();
            room.started(now, route.priority, is_starved);
        }
    }

    /// Considers how long a statement took until its member answered, and asks for room if that is
    /// too large a part of its latency target.
    pub(crate) fn note_statement_time(
        &mut self,
        now: MonoTime,
        route: &RouteRule,
        member: &MemberId,
        elapsed: Duration,
        actions: &mut Vec<PoolAction>,
    ) {
        if elapsed > route.target_latency * PRESSED_PERCENT / 100 {
            self.want_room(now, &route.group, member, route.priority, actions);
        }
    }

    /// Asks for room for the highest priority of a group at a member that is full.
    pub(crate) fn note_full_member(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        actions: &mut Vec<PoolAction>,
    ) {
        let routes = self.config.routes.values();
        let of_group = routes.filter(|route| route.group == *group);
        if let Some(highest) = of_group.map(|route| route.priority).min() {
            self.want_room(now, group, member, highest, actions);
        }
    }

    /// Holds lower priorities back at a member for a moment, here and at its other homes.
    fn want_room(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        member: &MemberId,
        priority: u8,
        actions: &mut Vec<PoolAction>,
    ) {
        let mut routes = self.config.routes.values();
        let has_lower = routes.any(|route| route.group == *id && route.priority > priority);
        if !has_lower || !self.shares_room(id) {
            return;
        }
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let room = group.rooms.entry(member.clone()).or_default();
        if !room.want(now, priority) {
            return;
        }
        actions.push(PoolAction::Report(Report::RoomWanted {
            group: id.clone(),
            member: member.clone(),
            priority,
        }));
        let message = PoolMessage::RoomWanted {
            group: id.clone(),
            member: member.clone(),
            priority,
        };
        let homes = self.group_homes(id).homes_of(member);
        let own = &self.settings.vm;
        let receivers = homes.into_iter().filter(|vm| {
            vm != own
                && self.is_peer_available(now, vm)
                && self.roster.understands(vm, ROOM_MESSAGE_VERSION)
        });
        let receivers: Vec<VmId> = receivers.collect();
        for vm in receivers {
            self.send_peer(&vm, message.clone(), actions);
        }
    }

    /// Handles the want of another home of a member.
    pub(crate) fn room_wanted(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        member: MemberId,
        priority: u8,
    ) {
        let is_adaptive = self.shares_room(id);
        let group = self.groups.get_mut(id).filter(|_| is_adaptive);
        // A want for a member that this VM does not know would never be dropped.
        if let Some(group) = group.filter(|group| group.members.contains_key(&member)) {
            group.rooms.entry(member).or_default().want(now, priority);
        }
    }

    /// Returns whether what a connection runs counts against the limit on statements in progress for
    /// a statement of the given priority: lower priorities make room for it.
    pub(crate) fn counts_as_running(&self, owner: Owner, group: &GroupId, priority: u8) -> bool {
        let Owner::Caller(caller) = owner else {
            return true;
        };
        let session = self.sessions.get(&caller);
        let current = session.and_then(|session| session.current.as_ref());
        !self.shares_room(group) || current.is_none_or(|current| current.route.priority <= priority)
    }
}
