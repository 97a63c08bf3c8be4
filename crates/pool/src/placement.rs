//! Placement of statements: chooses the member and the connection for a statement, and queues it
//! there.

use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::WorkspaceId;
use smallvec::SmallVec;

use crate::config::Consistency;
use crate::event::PoolAction;
use crate::group::Group;
use crate::link::Link;
use crate::link::Owner;
use crate::link::Purpose;
use crate::member::Member;
use crate::pool::Pool;
use crate::session::CurrentStatement;
use crate::session::Operation;
use crate::session::Session;
use crate::session::Stage;
use crate::statement::Access;
use crate::statement::ForwardedStatement;
use crate::statement::MemberCommand;

/// Weight of the usual connect time in the cost of a new connection: the statement waits for the
/// connection, and opening it occupies a slot that other statements need.
const CONNECT_COST_FACTOR: u32 = 2;

/// Cost of a member in another data centre: a network round trip, and traffic that is billed.
const REMOTE_DATA_CENTRE_COST: Duration = Duration::from_millis(8);

/// Extra cost of a read on the primary, which alone can run writes. It is higher than the cost of
/// opening a connection to a replica.
const PRIMARY_COST: Duration = Duration::from_millis(60);

/// Margin that is subtracted from a staleness bound for network latency and clock granularity.
const STALENESS_MARGIN: Duration = Duration::from_millis(100);

/// Age up to which a statement waits for a busy connection of its workspace. Until then, an
/// overloaded member spends its slots on statements instead of new connections.
const MAX_BUSY_CONNECTION_WAIT: Duration = Duration::from_millis(250);

/// What a statement requires of the member that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requirement {
    /// The member must be the primary; it verifies its leadership itself.
    PrimaryOnly,
    /// The log of the member must include this position.
    AtLeast(Position),
}

/// How a statement reaches a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// Over a free connection of its workspace.
    Reuse(ConnectionId),
    /// Over a new connection. `replaces` is a free connection of another workspace, which is closed
    /// first if this VM has used up its share.
    Connect {
        member: MemberId,
        replaces: Option<ConnectionId>,
    },
    /// Over a connection of its workspace that is still busy.
    WaitForBusy,
}

impl Pool {
    /// Returns the cheapest placement of a caller's statement, with what the statement requires;
    /// `None` if no placement is possible now.
    pub(crate) fn choose_placement(
        &self,
        now: MonoTime,
        caller: CallerId,
    ) -> Option<(Requirement, Placement)> {
        let session = self.sessions.get(&caller)?;
        let current = session
            .current
            .as_ref()
            .filter(|current| current.not_before <= now)?;
        let group = self.groups.get(&current.route.group)?;
        let workspace = &session.login.as_ref()?.workspace;
        let requirement = requirement_of(now, session, current, group);
        let needs_position = requirement == Requirement::PrimaryOnly && !current.needs_primary;
        if needs_position && self.awaits_position(now, &current.route.group) {
            return None;
        }
        let may_probe = session.transaction.is_none();
        let candidates = group
            .members
            .iter()
            .filter(|(id, member)| match requirement {
                Requirement::PrimaryOnly => {
                    group.primary.as_ref() == Some(*id)
                        && self.can_serve_as_primary(now, group, member)
                }
                Requirement::AtLeast(position) => {
                    !current.excluded.contains(*id)
                        && self.can_serve_reads(now, member)
                        && member.may_have_position(now, position)
                        && self.may_get_reads(now, group, id, position, may_probe)
                }
            });
        let candidates = candidates.filter(|(_, member)| self.has_cold_capacity(now, member));
        let is_needed =
            requirement == Requirement::PrimaryOnly || candidates.clone().nth(1).is_none();
        let (route, waited) = (&*current.route, now.since(current.started_at));
        let candidates =
            candidates.filter(|(id, _)| self.may_start_at(now, group, id, route, waited));
        let mut free: SmallVec<[&Link; 16]> = SmallVec::new();
        let mut own_busy: SmallVec<[&MemberId; 4]> = SmallVec::new();
        let mut running: SmallVec<[&MemberId; 16]> = SmallVec::new();
        for link in self
            .links
            .values()
            .filter(|link| link.group == current.route.group)
        {
            if link.is_free() {
                free.push(link);
            } else if link.occupies_member() {
                if self.counts_as_running(link.owner, &route.group, route.priority) {
                    running.push(&link.member);
                }
                if link.workspace == *workspace {
                    own_busy.push(&link.member);
                }
            }
        }
        let may_wait = now.since(current.started_at) < MAX_BUSY_CONNECTION_WAIT;
        let placements = candidates.flat_map(|(id, member)| {
            let can_wait = may_wait && own_busy.contains(&id);
            let wait =
                can_wait.then(|| (member.expected_answer_time() * 2, Placement::WaitForBusy));
            let count = running.iter().filter(|running| **running == id).count();
            let has_room = self.has_room(now, id, member, count, is_needed);
            let connection =
                has_room.then(|| self.find_connection(now, id, member, workspace, &free));
            let connection = connection.flatten();
            let connection = connection.map(|placement| match member.health.is_probe_due(now) {
                true => (Duration::ZERO, placement),
                false => (self.cost(group, id, member, &placement), placement),
            });
            connection.into_iter().chain(wait)
        });
        let best = placements.min_by_key(|(cost, _)| *cost)?;
        Some((requirement, best.1))
    }

    pub(crate) fn can_serve_as_primary(
        &self,
        now: MonoTime,
        group: &Group,
        member: &Member,
    ) -> bool {
        group.is_primary_usable(now)
            && !member.is_paused(now)
            && !member.is_known_not_primary(now)
            && !self.evacuated.contains(&member.entry.data_centre)
    }

    pub(crate) fn can_serve_reads(&self, now: MonoTime, member: &Member) -> bool {
        member.draining_since.is_none()
            && member.missing_since.is_none()
            && member.down_since.is_none()
            && !member.is_paused(now)
            && !self.evacuated.contains(&member.entry.data_centre)
    }

    /// Returns whether a member that is still slow after its start may get another statement;
    /// always true for other members.
    fn has_cold_capacity(&self, now: MonoTime, member: &Member) -> bool {
        let limit = self.cold_limit(&member.entry);
        limit.is_none_or(|per_s| member.cold.has_room(now, per_s))
    }

    /// Returns how a workspace can get a connection to a member now; `None` if it cannot.
    fn find_connection(
        &self,
        now: MonoTime,
        id: &MemberId,
        member: &Member,
        workspace: &WorkspaceId,
        free: &[&Link],
    ) -> Option<Placement> {
        let free = free.iter().filter(|link| link.member == *id);
        let own = free.clone().filter(|link| link.workspace == *workspace);
        if let Some(link) = own.max_by_key(|link| link.used_at) {
            return Some(Placement::Reuse(link.id));
        }
        if !member.may_open(now) {
            return None;
        }
        let group = &member.entry.group;
        let budget = self.link_budget(group, id);
        let replaces = match eviction_candidate(now, member, free) {
            Some(link) if member.links >= budget => Some(link.id),
            None if member.links >= budget + self.extra_link_allowance(now, group, id, member) => {
                return None;
            }
            _ => None,
        };
        let member = id.clone();
        Some(Placement::Connect { member, replaces })
    }

    /// Returns how many connections beyond its share this VM may open to a member: one for each
    /// that an idle transaction holds, but none if the member has recently refused a connection.
    fn extra_link_allowance(
        &self,
        now: MonoTime,
        group: &GroupId,
        id: &MemberId,
        member: &Member,
    ) -> u32 {
        if !member.may_lend(now) {
            return 0;
        }
        let is_idle = |link: &&Link| {
            link.member == *id && link.group == *group && link.is_idle_in_transaction()
        };
        let idle = self.links.values().filter(is_idle).count();
        u32::try_from(idle)
            .unwrap_or(u32::MAX)
            .min(self.link_budget(group, id))
    }

    fn cost(
        &self,
        group: &Group,
        id: &MemberId,
        member: &Member,
        placement: &Placement,
    ) -> Duration {
        let is_primary = group.primary.as_ref() == Some(id);
        let is_remote = member.entry.data_centre != self.settings.data_centre;
        let opens_connection = matches!(placement, Placement::Connect { .. });
        let connect_cost = member.average_open_time() * CONNECT_COST_FACTOR;
        let cost_if = |applies: bool, cost| if applies { cost } else { Duration::ZERO };
        member.expected_answer_time()
            + cost_if(opens_connection, connect_cost)
            + cost_if(is_remote, REMOTE_DATA_CENTRE_COST)
            + cost_if(is_primary, PRIMARY_COST)
    }

    /// Registers a new connection to a member and requests that it be opened; returns its number.
    pub(crate) fn open_link(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        workspace: WorkspaceId,
        actions: &mut Vec<PoolAction>,
    ) -> ConnectionId {
        let id = self.new_link_id();
        let link = Link::new(id, group.clone(), member.clone(), workspace.clone(), now);
        self.links.insert(id, link);
        let state = self
            .groups
            .get_mut(group)
            .and_then(|group| group.members.get_mut(member));
        if let Some(state) = state {
            state.links += 1;
            actions.push(PoolAction::OpenLink {
                link: id,
                address: state.entry.address,
                group: group.clone(),
                workspace,
                member: member.clone(),
            });
        }
        id
    }

    /// Queues a statement on a connection, which sends it as soon as its earlier commands allow.
    ///
    /// `required_position` is the position that the member's log must include for a read.
    pub(crate) fn place_statement(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        id: ConnectionId,
        required_position: Option<Position>,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let (Some(current), Some(link)) = (&mut session.current, self.links.get_mut(&id)) else {
            return;
        };
        current.stage = Stage::OnLink(id);
        current.placed_at = now;
        current.last_member = Some(link.member.clone());
        let workspace = link.workspace.clone();
        let is_new_owner = link.owner != Owner::Caller(caller);
        link.owner = Owner::Caller(caller);
        link.apply_session_values(&session.values);
        let statement = match &current.operation {
            Operation::Execute {
                prepared,
                arguments,
            } => ForwardedStatement::Execute {
                name: link.prepare(prepared.access, &prepared.statement_text),
                arguments: arguments.clone(),
            },
            _ => ForwardedStatement::AsSent(current.text.clone()),
        };
        let is_read = current.operation.access() == Access::Read;
        let is_autocommit = session.transaction.is_none();
        let runs_on_primary = required_position.is_none();
        let begins_transaction = match &session.transaction {
            Some(transaction) => transaction.link.is_none(),
            None => is_read && runs_on_primary,
        };
        if begins_transaction {
            let read_only = !runs_on_primary;
            let purpose = Purpose::BeginTransaction {
                requires_primary: runs_on_primary,
            };
            link.push(MemberCommand::Begin { read_only }, purpose);
        }
        let required_position = required_position.filter(|_| is_read);
        let command = MemberCommand::Forward {
            id: current.id.clone(),
            statement,
            required_position,
        };
        link.push(command, Purpose::Statement);
        if begins_transaction && is_autocommit {
            link.push(MemberCommand::Rollback, Purpose::RollBack);
        }
        if let Some(transaction) = &mut session.transaction {
            transaction.link = Some(id);
        }
        let cold_limit = self.cold_limit_of_link(id);
        self.note_sent(now, id);
        if let Some(member) = self.member_of(id) {
            member.busy += u32::from(is_new_owner);
            if let Some(per_s) = cold_limit {
                member.cold.take(now, per_s);
            }
            if is_new_owner {
                member.usage.record_use(now, &workspace);
            }
        }
        if is_new_owner {
            self.note_start(now, caller, id);
        }
        if let Some(link) = self.links.get_mut(&id) {
            link.send(now, actions);
        }
    }

    /// Returns the member at the other end of a connection.
    pub(crate) fn member_of(&mut self, id: ConnectionId) -> Option<&mut Member> {
        let link = self.links.get(&id)?;
        self.groups
            .get_mut(&link.group)?
            .members
            .get_mut(&link.member)
    }
}

/// Returns the free connection to a member that its workspace is least likely to need soon. The
/// recent uses by a workspace are divided by its number of free connections, because a workspace
/// with several needs each of them less.
fn eviction_candidate<'a>(
    now: MonoTime,
    member: &Member,
    free: impl Iterator<Item = &'a &'a Link> + Clone,
) -> Option<&'a Link> {
    let demand = |link: &Link| {
        let own = free
            .clone()
            .filter(|other| other.workspace == link.workspace);
        let link_count = u32::try_from(own.count()).unwrap_or(u32::MAX);
        member.usage.decayed_count(now, &link.workspace) / f64::from(link_count)
    };
    let by_demand = |a: &&&Link, b: &&&Link| {
        demand(a)
            .total_cmp(&demand(b))
            .then(a.used_at.cmp(&b.used_at))
    };
    free.clone().min_by(by_demand).copied()
}

/// Returns what a statement requires: a member whose log includes a position that proves
/// freshness, or the primary if no such position is known.
pub(crate) fn requirement_of(
    now: MonoTime,
    session: &Session,
    current: &CurrentStatement,
    group: &Group,
) -> Requirement {
    if current.needs_primary {
        return Requirement::PrimaryOnly;
    }
    let age = current.route.max_staleness.saturating_sub(STALENESS_MARGIN);
    let Some(recent) = group.position_since(now - age) else {
        return Requirement::PrimaryOnly;
    };
    let own_commit = match current.route.consistency {
        Consistency::Session => session.last_commits.get(&current.route.group),
        Consistency::Primary | Consistency::Bounded => None,
    };
    Requirement::AtLeast(own_commit.map_or(recent, |own_commit| recent.max(*own_commit)))
}
