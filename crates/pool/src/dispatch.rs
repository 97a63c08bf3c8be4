//! Scheduling of statements: the queue of each group, and the order in which waiting statements
//! get connections.
//!
//! Each VM decides on its own: it balances its statements by the answer times that it measures, and
//! stays within its share of the connections that a member accepts. This needs no messages between
//! VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::WorkspaceId;
use smallvec::SmallVec;

use crate::event::PoolAction;
use crate::group::Group;
use crate::link::Link;
use crate::member::Member;
use crate::placement::Placement;
use crate::placement::Requirement;
use crate::placement::requirement_of;
use crate::pool::Pool;
use crate::session::CurrentStatement;
use crate::statement::CallerError;

/// Waiting time after which a statement whose workspace has no connection in the group takes the
/// next free one of any workspace. It is as long as a few statements, and far below the latency
/// targets.
const STARVATION_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest expected wait in the queue, in percent of the statement timeout. After a longer wait,
/// too little time would remain to run the statement and to return its result.
const MAX_QUEUE_WAIT_PERCENT: u32 = 60;

/// Number of usual answer times that a statement is expected to take from now on: one to run, and
/// one for a new connection or a member that is busier than usual.
const EXPECTED_ANSWER_TIMES: u32 = 2;

/// Precision of the order in which workspaces take turns.
const TURN_SCALE: u64 = 1_000_000;

/// How many waiting statements of a workspace keep the order of arrival. In a short backlog, turns
/// would only make more statements late.
const STATEMENTS_IN_ORDER: u64 = 8;

/// A pass over the waiting statements of a group when capacity may be available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatchPass {
    /// Serves statements that have waited for long, so that no workspace starves.
    Starved,
    /// Serves statements that can reuse a free connection of their workspace.
    ReuseOnly,
    /// Serves all other statements.
    Remaining,
}

impl DispatchPass {
    const ALL: [Self; 3] = [Self::Starved, Self::ReuseOnly, Self::Remaining];
}

impl Pool {
    /// Queues the statement of a caller in its group and dispatches the statements that can run. A
    /// statement of a transaction that already has a connection goes there directly.
    pub(crate) fn enqueue(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get(&caller) else {
            return;
        };
        let link = session
            .transaction
            .as_ref()
            .and_then(|transaction| transaction.link);
        if let Some(link) = link {
            return self.place_statement(now, caller, link, None, actions);
        }
        let Some(current) = &session.current else {
            return;
        };
        let group = current.route.group.clone();
        self.obtain_position(now, caller, actions);
        let Some(current) = self
            .sessions
            .get(&caller)
            .and_then(|session| session.current.as_ref())
        else {
            return;
        };
        let rank = |current: &CurrentStatement| (current.route.priority, current.started_at);
        let own_rank = rank(current);
        let sessions = &self.sessions;
        let before = |other: &CallerId| {
            let current = sessions
                .get(other)
                .and_then(|session| session.current.as_ref());
            current.is_some_and(|current| rank(current) <= own_rank)
        };
        let waiting = &mut self.groups.entry(group.clone()).or_default().waiting;
        let at = waiting.partition_point(before);
        waiting.insert(at, caller);
        if self.is_queue_too_long(now, caller, &group) {
            return self.refuse_waiting(now, caller, actions);
        }
        self.dispatch_group(now, &group, actions);
    }

    /// Starts to obtain a recent position of the primary if a statement could run on a replica with it.
    fn obtain_position(&mut self, now: MonoTime, caller: CallerId, actions: &mut Vec<PoolAction>) {
        let Some(session) = self.sessions.get(&caller) else {
            return;
        };
        let Some(current) = session
            .current
            .as_ref()
            .filter(|current| !current.needs_primary)
        else {
            return;
        };
        let id = current.route.group.clone();
        let requirement = |group| requirement_of(now, session, current, group);
        let requirement = self.groups.get(&id).map(requirement);
        if requirement == Some(Requirement::PrimaryOnly) && !self.sample_primary(now, &id, actions)
        {
            self.request_position(now, caller, &id, actions);
        }
    }

    /// Fails a waiting statement that has not run, and aborts its transaction if it has one.
    fn refuse_waiting(&mut self, now: MonoTime, caller: CallerId, actions: &mut Vec<PoolAction>) {
        let session = self.sessions.get(&caller);
        let in_transaction = session.is_some_and(|session| session.transaction.is_some());
        let error = if in_transaction {
            self.abort_transaction(now, caller, actions);
            CallerError::Aborted
        } else {
            CallerError::Busy
        };
        self.fail_current(now, caller, error, "queue is too long", actions);
    }

    pub(crate) fn leave_queue(&mut self, caller: CallerId, group: &GroupId) {
        if let Some(group) = self.groups.get_mut(group) {
            group.waiting.retain(|waiting| *waiting != caller);
        }
    }

    /// Returns whether a statement that joins the queue of a group now would probably wait too long
    /// to finish before its timeout. The latency target does not count here, because a late result
    /// is worth more to callers than none.
    ///
    /// The estimate assumes the usual answer time for each statement ahead, over as many
    /// connections as this VM may use. Without a usable member there is no estimate, and the result
    /// is `false`.
    fn is_queue_too_long(&self, now: MonoTime, caller: CallerId, id: &GroupId) -> bool {
        let session = self.sessions.get(&caller);
        let (Some(session), Some(group)) = (session, self.groups.get(id)) else {
            return false;
        };
        let Some(current) = &session.current else {
            return false;
        };
        let requirement = requirement_of(now, session, current, group);
        let is_primary = |id: &MemberId| group.primary.as_ref() == Some(id);
        let usable = group
            .members
            .iter()
            .filter(|(id, member)| match requirement {
                Requirement::PrimaryOnly => {
                    is_primary(id) && self.can_serve_as_primary(now, group, member)
                }
                Requirement::AtLeast(position) => {
                    self.can_serve_reads(now, member) && member.may_have_position(now, position)
                }
            });
        let mut names: SmallVec<[&MemberId; 4]> = SmallVec::new();
        let usable = usable.fold(
            (0, 0, Duration::ZERO),
            |(count, capacity, sum), (name, member)| {
                names.push(name);
                (
                    count + 1,
                    capacity + member.limit(self.link_budget(id, name)),
                    sum + member.average_answer_time(),
                )
            },
        );
        let (members, capacity, answers) = usable;
        if members == 0 {
            return false;
        }
        let max_wait = current.route.statement_timeout * MAX_QUEUE_WAIT_PERCENT / 100;
        if self.is_next_starved(now, caller, id, group, max_wait) {
            return false;
        }
        let mut order = group.waiting.clone();
        self.sort_by_turn(id, group, &mut order);
        let ahead = order.iter().take_while(|waiting| **waiting != caller);
        let ahead = ahead.filter(|waiting| {
            let session = self.sessions.get(waiting);
            let other = session.and_then(|session| session.current.as_ref());
            !current.needs_primary || other.is_some_and(|other| other.needs_primary)
        });
        let ahead = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
        let answer = answers / members;
        let by_connections = answer.saturating_mul(ahead) / capacity.max(1);
        let held = self.held_interval(now, group, &current.route, &names);
        let by_room = held.unwrap_or_default().saturating_mul(ahead);
        let expected = by_connections.max(by_room);
        expected > max_wait
    }

    /// Returns whether a statement is the only one of its priority that waits, which is not the
    /// highest, and would get the floor of starved statements in time.
    fn is_next_starved(
        &self,
        now: MonoTime,
        caller: CallerId,
        id: &GroupId,
        group: &Group,
        max_wait: Duration,
    ) -> bool {
        let route = |caller: &CallerId| {
            let session = self.sessions.get(caller);
            let current = session.and_then(|session| session.current.as_ref());
            current.map(|current| &current.route)
        };
        let priority = |caller: &CallerId| route(caller).map(|route| route.priority);
        let own = priority(&caller);
        let mut same = group.waiting.iter();
        self.shares_room(id)
            && route(&caller).is_some_and(|route| !self.is_highest_priority(route))
            && same.all(|waiting| *waiting == caller || priority(waiting) != own)
            && self.is_group_floor_due(now + max_wait, id, group)
    }

    /// Sorts statements by priority and, within a priority, so that the workspaces take turns in
    /// proportion to their rates. The first statements of each workspace, and groups that do not
    /// share room, keep the order of arrival.
    fn sort_by_turn(&self, id: &GroupId, group: &Group, order: &mut [CallerId]) {
        if !self.shares_room(id) {
            return;
        }
        let mut counts: BTreeMap<&WorkspaceId, u64> = BTreeMap::new();
        let mut turns: BTreeMap<CallerId, (u8, u64)> = BTreeMap::new();
        for caller in &group.waiting {
            let session = self.sessions.get(caller);
            let login = session.and_then(|session| session.login.as_ref());
            let current = session.and_then(|session| session.current.as_ref());
            if let (Some(login), Some(current)) = (login, current) {
                let rate = self.config.rates.get(&login.workspace);
                let rate = rate.map_or(1, |rate| u64::from(rate.per_s.max(1)));
                let count = counts.entry(&login.workspace).or_default();
                *count += 1;
                let turn = count.saturating_sub(STATEMENTS_IN_ORDER) * TURN_SCALE / rate;
                turns.insert(*caller, (current.route.priority, turn));
            }
        }
        order.sort_by_key(|caller| turns.get(caller).copied());
    }

    /// Dispatches the waiting statements of a group as far as connections allow.
    ///
    /// A connection belongs to one workspace, and opening one occupies a slot of the member for as
    /// long as one or two statements take. A free connection therefore goes to the next statement
    /// of its workspace instead of the first in the queue, until [`STARVATION_TIMEOUT`].
    pub(crate) fn dispatch_group(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        let is_waiting = |group: &Group| !group.waiting.is_empty();
        if !self.groups.get(id).is_some_and(is_waiting) {
            return;
        }
        self.update_group_homes(id);
        for pass in DispatchPass::ALL {
            let Some(group) = self.groups.get(id) else {
                return;
            };
            if group.waiting.is_empty() {
                return;
            }
            for caller in self.serving_order(now, id, group) {
                if pass == DispatchPass::Starved && !self.is_starved(now, caller, id) {
                    continue;
                }
                match self.choose_placement(now, caller) {
                    None | Some((_, Placement::WaitForBusy)) => {}
                    Some((_, Placement::Connect { .. })) if pass == DispatchPass::ReuseOnly => {}
                    Some((requirement, placement)) => {
                        self.apply_placement(now, id, caller, requirement, placement, actions)
                    }
                }
            }
        }
    }

    /// Returns the waiting statements in the order in which they are served: by priority, and
    /// within a priority those first that can still meet their latency target. Under overload, the
    /// order of arrival alone would make all of them late.
    fn serving_order(&self, now: MonoTime, id: &GroupId, group: &Group) -> Vec<CallerId> {
        let answers = group.members.values().map(Member::average_answer_time);
        let answer = answers.min().unwrap_or_default();
        let rank = |caller: &CallerId| {
            let session = self.sessions.get(caller);
            let current = session.and_then(|session| session.current.as_ref());
            current.map(|current| {
                let expected = now.since(current.started_at) + answer * EXPECTED_ANSWER_TIMES;
                let is_late = expected > current.route.target_latency;
                (current.route.priority, is_late)
            })
        };
        let mut order = group.waiting.clone();
        self.sort_by_turn(id, group, &mut order);
        order.sort_by_key(rank);
        self.put_starved_first(now, id, group, &mut order);
        order
    }

    /// Moves the statement of a lower priority that has waited longest to the front, if it counts as
    /// starved and the next start is left to such statements.
    fn put_starved_first(
        &self,
        now: MonoTime,
        id: &GroupId,
        group: &Group,
        order: &mut [CallerId],
    ) {
        if !self.shares_room(id) || !self.is_group_floor_due(now, id, group) {
            return;
        }
        let starved_since = |caller: &CallerId| {
            let session = self.sessions.get(caller)?;
            let current = session.current.as_ref()?;
            let waited = now.since(current.started_at);
            self.is_short_of_room(&current.route, waited)
                .then_some(current.started_at)
        };
        let starved = order.iter().enumerate();
        let starved = starved.filter_map(|(at, caller)| Some((starved_since(caller)?, at)));
        if let Some((_, at)) = starved.min() {
            order[..=at].rotate_right(1);
        }
    }

    /// Returns whether a statement has waited for long, and its workspace has no connection in the
    /// group that could become free for it.
    fn is_starved(&self, now: MonoTime, caller: CallerId, group: &GroupId) -> bool {
        let session = self.sessions.get(&caller);
        let login = session.and_then(|session| session.login.as_ref());
        self.waiting_time(now, caller) >= STARVATION_TIMEOUT
            && login.is_some_and(|login| {
                let is_own = |link: &Link| {
                    link.group == *group
                        && link.workspace == login.workspace
                        && !link.is_idle_in_transaction()
                };
                !self.links.values().any(is_own)
            })
    }

    fn waiting_time(&self, now: MonoTime, caller: CallerId) -> Duration {
        let session = self.sessions.get(&caller);
        let current = session.and_then(|session| session.current.as_ref());
        current.map_or(Duration::ZERO, |current| now.since(current.started_at))
    }

    fn apply_placement(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        caller: CallerId,
        requirement: Requirement,
        placement: Placement,
        actions: &mut Vec<PoolAction>,
    ) {
        let link = match placement {
            Placement::WaitForBusy => return,
            Placement::Reuse(link) => link,
            Placement::Connect { member, replaces } => {
                if let Some(replaced) = replaces {
                    self.close_link(replaced, actions);
                }
                let workspace = self.workspace_of(caller);
                self.open_link(now, group, &member, workspace, actions)
            }
        };
        self.leave_queue(caller, group);
        let required_position = match requirement {
            Requirement::PrimaryOnly => None,
            Requirement::AtLeast(position) => Some(position),
        };
        self.place_statement(now, caller, link, required_position, actions);
    }

    fn workspace_of(&self, caller: CallerId) -> WorkspaceId {
        let login = self
            .sessions
            .get(&caller)
            .and_then(|session| session.login.as_ref());
        login.map_or_else(|| WorkspaceId::from(""), |login| login.workspace.clone())
    }
}
