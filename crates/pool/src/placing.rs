//! Over which connection a statement reaches a member.

use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::WorkspaceId;
use smallvec::SmallVec;

use crate::catalogue::Consistency;
use crate::event::PoolAction;
use crate::group::Group;
use crate::link::Link;
use crate::link::Owner;
use crate::link::Purpose;
use crate::member::Member;
use crate::pool::Pool;
use crate::session::Current;
use crate::session::Session;
use crate::session::Stage;
use crate::session::Work;
use crate::statement::Access;
use crate::statement::ForwardedStatement;
use crate::statement::MemberCommand;

/// How much the time to open a connection counts: the statement waits for it, and it takes a slot
/// from others.
const OPEN_WEIGHT: u32 = 2;

/// What another data centre costs: a round trip, and traffic that is paid for.
const DISTANCE_COST: Duration = Duration::from_millis(8);

/// What a read costs more at the primary, which alone can run writes: more than opening a
/// connection to a replica.
const PRIMARY_COST: Duration = Duration::from_millis(60);

/// Part of a staleness bound that is left for the way to the member and for clock granularity.
const STALENESS_MARGIN: Duration = Duration::from_millis(100);

/// Time after which a statement does not wait for a connection of its workspace any more. A member
/// that is overloaded spends its slots on statements until then, not on new connections.
const AWAIT_LIMIT: Duration = Duration::from_millis(250);

/// What a statement needs of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Need {
    /// The primary, which checks its lead itself.
    Lead,
    /// A member whose log has this position.
    Has(Position),
}

/// How a statement gets to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// A connection that is free.
    Use(ConnectionId),
    /// A new connection, in place of a free one of another workspace if the part is used up.
    Open {
        member: MemberId,
        replaces: Option<ConnectionId>,
    },
    /// A connection of the workspace that is soon free.
    Await,
}

impl Pool {
    pub(crate) fn choose(&self, now: MonoTime, caller: CallerId) -> Option<(Need, Choice)> {
        let session = self.sessions.get(&caller)?;
        let current = session
            .current
            .as_ref()
            .filter(|current| current.not_before <= now)?;
        let group = self.groups.get(&current.route.group)?;
        let workspace = &session.opened.as_ref()?.workspace;
        let need = need_of(now, session, current, group);
        let candidates = group.members.iter().filter(|(id, member)| match need {
            Need::Lead => group.primary.as_ref() == Some(*id) && self.may_lead(now, group, member),
            Need::Has(position) => {
                !current.excluded.contains(*id)
                    && self.may_read(now, member)
                    && member.may_have(now, position)
            }
        });
        let candidates = candidates.filter(|(_, member)| self.takes_while_cold(now, member));
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
            } else if link.owner != Owner::Nobody && !link.is_paused() {
                running.push(&link.member);
                if link.workspace == *workspace {
                    own_busy.push(&link.member);
                }
            }
        }
        let may_await = now.since(current.started_at) < AWAIT_LIMIT;
        let choices = candidates.flat_map(|(id, member)| {
            let awaits = may_await && own_busy.contains(&id);
            let awaited = awaits.then(|| (member.expected_answer() * 2, Choice::Await));
            let count = running.iter().filter(|running| **running == id).count();
            let has_room = member.has_room(count);
            let connected = has_room.then(|| self.connect(now, id, member, workspace, &free));
            let connected = connected.flatten();
            let connected = connected.map(|choice| (self.cost(group, id, member, &choice), choice));
            connected.into_iter().chain(awaited)
        });
        let best = choices.min_by_key(|(cost, _)| *cost)?;
        Some((need, best.1))
    }

    pub(crate) fn may_lead(&self, now: MonoTime, group: &Group, member: &Member) -> bool {
        group.is_primary_usable(now)
            && !member.is_paused(now)
            && !member.has_denied(now)
            && !self.evacuated.contains(&member.entry.data_centre)
    }

    pub(crate) fn may_read(&self, now: MonoTime, member: &Member) -> bool {
        member.draining_since.is_none()
            && member.missing_since.is_none()
            && member.down_since.is_none()
            && !member.is_paused(now)
            && !self.evacuated.contains(&member.entry.data_centre)
    }

    /// Returns whether a member may get a statement although it is cold.
    fn takes_while_cold(&self, now: MonoTime, member: &Member) -> bool {
        let limit = self.cold_limit(&member.entry);
        limit.is_none_or(|per_s| member.cold.has_room(now, per_s))
    }

    /// Returns how a workspace can get a connection to a member now.
    fn connect(
        &self,
        now: MonoTime,
        id: &MemberId,
        member: &Member,
        workspace: &WorkspaceId,
        free: &[&Link],
    ) -> Option<Choice> {
        let free = free.iter().filter(|link| link.member == *id);
        let own = free.clone().filter(|link| link.workspace == *workspace);
        if let Some(link) = own.max_by_key(|link| link.used_at) {
            return Some(Choice::Use(link.id));
        }
        if !member.may_open(now) {
            return None;
        }
        let group = &member.entry.group;
        let budget = self.link_budget(group, id);
        let replaces = match least_needed(now, member, free) {
            Some(link) if member.links >= budget => Some(link.id),
            None if member.links >= budget + self.borrowed(now, group, id, member) => return None,
            _ => None,
        };
        let member = id.clone();
        Some(Choice::Open { member, replaces })
    }

    /// Returns how many connections beyond its part this VM may open to a member: one for each
    /// that a paused transaction holds, unless the member has lately had none left.
    fn borrowed(&self, now: MonoTime, group: &GroupId, id: &MemberId, member: &Member) -> u32 {
        if !member.may_lend(now) {
            return 0;
        }
        let is_paused =
            |link: &&Link| link.member == *id && link.group == *group && link.is_paused();
        let paused = self.links.values().filter(is_paused).count();
        u32::try_from(paused)
            .unwrap_or(u32::MAX)
            .min(self.link_budget(group, id))
    }

    fn cost(&self, group: &Group, id: &MemberId, member: &Member, choice: &Choice) -> Duration {
        let is_primary = group.primary.as_ref() == Some(id);
        let is_distant = member.entry.data_centre != self.settings.data_centre;
        let opens = matches!(choice, Choice::Open { .. });
        let open_cost = member.opening() * OPEN_WEIGHT;
        let part = |applies: bool, cost| if applies { cost } else { Duration::ZERO };
        member.expected_answer()
            + part(opens, open_cost)
            + part(is_distant, DISTANCE_COST)
            + part(is_primary, PRIMARY_COST)
    }

    /// Opens a connection to a member.
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

    /// Gives a statement to a connection; it is sent as soon as the connection allows.
    pub(crate) fn place(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        id: ConnectionId,
        after: Option<Position>,
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
        link.match_values(&session.values);
        let statement = match &current.work {
            Work::Execute {
                prepared,
                arguments,
            } => ForwardedStatement::Execute {
                name: link.prepare(prepared.access, &prepared.shape),
                arguments: arguments.clone(),
            },
            _ => ForwardedStatement::AsSent(current.text.clone()),
        };
        let is_read = current.work.access() == Access::Read;
        let is_single = session.transaction.is_none();
        let checks_lead = after.is_none();
        let opens = match &session.transaction {
            Some(transaction) => transaction.link.is_none(),
            None => is_read && checks_lead,
        };
        if opens {
            let read_only = !checks_lead;
            let purpose = Purpose::Open {
                needs_lead: checks_lead,
            };
            link.push(MemberCommand::Begin { read_only }, purpose);
        }
        let after = after.filter(|_| is_read);
        let command = MemberCommand::Forward {
            id: current.id.clone(),
            statement,
            after,
        };
        link.push(command, Purpose::Statement);
        if opens && is_single {
            link.push(MemberCommand::Rollback, Purpose::RollBack);
        }
        if let Some(transaction) = &mut session.transaction {
            transaction.link = Some(id);
        }
        let cold_limit = self.cold_limit_over(id);
        if let Some(member) = self.member_of(id) {
            member.busy += u32::from(is_new_owner);
            if let Some(per_s) = cold_limit {
                member.cold.take(now, per_s);
            }
            if is_new_owner {
                member.usage.count(now, &workspace);
            }
        }
        if let Some(link) = self.links.get_mut(&id) {
            link.send(now, actions);
        }
    }

    /// Returns the member of a connection.
    pub(crate) fn member_of(&mut self, id: ConnectionId) -> Option<&mut Member> {
        let link = self.links.get(&id)?;
        self.groups
            .get_mut(&link.group)?
            .members
            .get_mut(&link.member)
    }
}

/// Returns the free connection of a member whose workspace is least likely to need it soon: a
/// workspace with several needs each of them less.
fn least_needed<'a>(
    now: MonoTime,
    member: &Member,
    free: impl Iterator<Item = &'a &'a Link> + Clone,
) -> Option<&'a Link> {
    let need = |link: &Link| {
        let own = free
            .clone()
            .filter(|other| other.workspace == link.workspace);
        let count = u32::try_from(own.count()).unwrap_or(u32::MAX);
        member.usage.recent(now, &link.workspace) / f64::from(count)
    };
    let by_need =
        |a: &&&Link, b: &&&Link| need(a).total_cmp(&need(b)).then(a.used_at.cmp(&b.used_at));
    free.clone().min_by(by_need).copied()
}

/// Returns what a statement needs: with a position that proves freshness, any member whose log
/// has it; without one, the primary.
pub(crate) fn need_of(now: MonoTime, session: &Session, current: &Current, group: &Group) -> Need {
    if current.needs_primary {
        return Need::Lead;
    }
    let age = current.route.max_staleness.saturating_sub(STALENESS_MARGIN);
    let Some(recent) = group.position_since(now - age) else {
        return Need::Lead;
    };
    let floor = match current.route.consistency {
        Consistency::Session => session.floors.get(&current.route.group),
        Consistency::Primary | Consistency::Bounded => None,
    };
    Need::Has(floor.map_or(recent, |floor| recent.max(*floor)))
}
