//! Fair sharing of connections and statement slots.
//!
//! Each member has a budget of connections and a budget of statement slots (statements in
//! progress), each shared by the whole fleet.
//!
//! Connections: each roster slot owns an equal share. A VM opens connections when requests wait,
//! keeps them while they are used, and closes them at once when it loses the roster slot or the
//! lease.
//!
//! Statement slots: each member has a coordinator, the VM with the highest rendezvous weight,
//! which lends permits to VMs. Without contention, a VM keeps its permits and uses them for any
//! workspace, with no message per statement. Under contention, the coordinator lends each permit
//! for one workspace, in the order of the workspaces' virtual times, and recalls it after a
//! quantum, or at once in favour of a workspace that has fallen behind.
//!
//! A permit expires at its holder before it expires at the coordinator. A new coordinator lends
//! nothing until every VM must know of it and the statements in progress have ended or have been
//! taken over. While a coordinator is unreachable, its members run no statements once their
//! permits have expired, until the roster changes: with two or three slots per member, a slot
//! cannot be divided so that each VM has a share of its own. Requests wait in their queues up to
//! their deadlines meanwhile. A statement or transaction that is in progress when its permit
//! expires loses its connection.

mod connections;
mod coordinator;
mod event;
mod local_member;
mod message;
mod peers;
mod queue;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub use event::DispatchAction;
pub use event::DispatchEvent;
pub use message::DispatchMessage;
pub use message::LentPermit;
pub use message::MemberLending;
pub use message::MemberStatus;
pub use message::PermitId;

use crate::config::Config;
use crate::dispatch::connections::close_idle_connections;
use crate::dispatch::connections::find_refusal_reason;
use crate::dispatch::connections::open_connections;
use crate::dispatch::coordinator::Coordinator;
use crate::dispatch::local_member::ConnectionState;
use crate::dispatch::local_member::LocalMember;
use crate::dispatch::peers::OutgoingSequences;
use crate::types::ConnectionId;
use crate::types::Incarnation;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::RosterView;
use crate::types::VmId;
use crate::types::WorkspaceId;

/// Requests that may wait on this VM for one member in one workspace.
const MAX_QUEUED_REQUESTS: usize = 512;

/// How long a permit is valid at its holder, from the sending of the status that the coordinator
/// echoes.
const HOLDER_PERMIT_TTL: Duration = Duration::from_millis(1_000);

/// How long a permit counts at the coordinator, from the arrival of the same status.
const COORDINATOR_PERMIT_TTL: Duration = Duration::from_millis(1_200);

/// No statement starts on a permit that expires sooner than this.
const MIN_PERMIT_TIME_LEFT: Duration = Duration::from_millis(20);

/// How long a statement on a permit of the former coordinator may run until the new coordinator
/// takes it over.
const ORPHAN_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a new coordinator lends nothing: twice the wait for the leases of other VMs.
///
/// After the first wait, all VMs know of the new roster; during the second, statements on permits
/// of the former coordinator end. Two waits also ensure that a VM which was coordinator before and
/// after this one, and learned of both changes at once, can rely on this VM having lent nothing.
const COORDINATOR_START_DELAY: Duration = Duration::from_millis(2 * 308 + 4);

/// How often a VM repeats its status while requests wait.
const WAITING_STATUS_INTERVAL: Duration = Duration::from_millis(350);

/// How often a VM repeats its status while it only holds permits.
const HOLDING_STATUS_INTERVAL: Duration = Duration::from_millis(400);

/// How long after its last status a VM reports newly queued requests under contention.
const DEMAND_REPORT_DELAY: Duration = Duration::from_millis(120);

/// How long an idle permit is kept.
const PERMIT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an idle connection is kept.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long no connection to a member is opened after one was lost.
const REOPEN_DELAY: Duration = Duration::from_millis(50);

/// The dispatch role of one VM: its queues, connections and permits of all members, and the
/// members that it coordinates.
#[derive(Clone, Debug)]
pub struct Dispatch {
    me: (VmId, Incarnation),
    config: Arc<Config>,
    roster: RosterView,
    lease_until: Option<MonoTime>,
    members: BTreeMap<MemberId, LocalMember>,
    coordinators: BTreeMap<MemberId, Coordinator>,
    /// When this VM last stopped being a member's coordinator.
    coordinated_until: BTreeMap<MemberId, MonoTime>,
    running_requests: BTreeMap<RequestId, (MemberId, ConnectionId)>,
    connection_members: BTreeMap<ConnectionId, MemberId>,
    outgoing_sequences: BTreeMap<VmId, OutgoingSequences>,
    next_connection: u64,
    next_permit: u64,
    has_left: bool,
    /// Whether the lease has been lost since the last roster or lease extension.
    lease_lapsed: bool,
    last_handled: MonoTime,
}

impl Dispatch {
    /// Creates the role without a roster, a lease or a configuration.
    pub fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            me: (vm, incarnation),
            config: Arc::default(),
            roster: RosterView::default(),
            lease_until: None,
            members: BTreeMap::new(),
            coordinators: BTreeMap::new(),
            coordinated_until: BTreeMap::new(),
            running_requests: BTreeMap::new(),
            connection_members: BTreeMap::new(),
            outgoing_sequences: BTreeMap::new(),
            next_connection: 0,
            next_permit: 0,
            has_left: false,
            lease_lapsed: false,
            last_handled: MonoTime::ZERO,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: DispatchEvent,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.last_handled = now;
        self.check_lease(now, actions);
        // Events on the request path concern one member only.
        let only_member = match &event {
            DispatchEvent::Enqueue { member, .. } => Some(member.clone()),
            DispatchEvent::Finished { request, .. } => {
                self.running_requests.get(request).map(|r| r.0.clone())
            }
            _ => None,
        };
        match event {
            DispatchEvent::Roster(view) => self.apply_roster(now, view),
            DispatchEvent::LeaseExtended { until } => {
                self.lease_until = Some(until);
                self.lease_lapsed = false;
            }
            DispatchEvent::LeaseLost => self.lose_lease(now, actions),
            DispatchEvent::Configured(config) => self.apply_config(now, config, actions),
            DispatchEvent::Enqueue {
                request,
                member,
                workspace,
                deadline,
            } => {
                if let Err(reason) = self.enqueue(now, request, &member, workspace, deadline) {
                    actions.push(DispatchAction::Refuse { request, reason });
                }
            }
            DispatchEvent::Finished {
                request,
                in_transaction,
            } => self.finish(now, request, in_transaction),
            DispatchEvent::TransactionEnded { connection } => self.release(now, connection),
            DispatchEvent::Cancelled { request } => self.cancel(now, request, actions),
            DispatchEvent::ConnectionOpened { connection } => {
                self.connection_opened(now, connection)
            }
            DispatchEvent::ConnectionClosed { connection } => {
                self.connection_closed(now, connection)
            }
            DispatchEvent::Received {
                from,
                incarnation,
                message,
            } => self.receive(now, &(from, incarnation), message),
            DispatchEvent::StopFinished => self.leave(now, actions),
            DispatchEvent::DeadlineReached => {}
        }
        self.check_lease(now, actions);
        self.process_members(now, only_member.as_ref(), actions);
        self.exchange_messages(now, actions);
    }

    /// Returns when the role needs the next `DeadlineReached`, or `None` if nothing is pending.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let now = self.last_handled;
        let mut deadlines: Vec<MonoTime> = self.lease_until.into_iter().collect();
        let slots = self.roster.slots.iter().map(|slot| slot.usable_from);
        deadlines.extend(slots.filter(|from| *from > now));
        for local in self.members.values() {
            deadlines.extend(local.next_deadline());
            if self.lease_until.is_none() {
                continue;
            }
            deadlines.extend(local.next_status().filter(|_| local.coordinator.is_some()));
            deadlines.extend(Some(local.reopen_at).filter(|at| *at > now));
        }
        if self.lease_until.is_some() {
            deadlines.extend(
                self.coordinators
                    .values()
                    .filter_map(Coordinator::next_deadline),
            );
        }
        deadlines.into_iter().min()
    }

    /// Returns how many requests are queued on this VM for a member.
    pub fn queued_for_member(&self, member: &MemberId) -> usize {
        self.members
            .get(member)
            .map_or(0, |local| local.queues.len())
    }

    /// Returns how many requests of a workspace are queued on this VM, over all members.
    pub fn queued_for_workspace(&self, workspace: &WorkspaceId) -> usize {
        let waiting = self
            .members
            .values()
            .flat_map(|local| local.queues.waiting_counts());
        waiting
            .filter(|(of, _)| *of == workspace)
            .map(|(_, count)| count)
            .sum()
    }

    fn check_lease(&mut self, now: MonoTime, actions: &mut Vec<DispatchAction>) {
        if self.lease_until.is_some_and(|until| until <= now) {
            self.lose_lease(now, actions);
        }
    }

    /// Refuses all queued requests, and closes all connections.
    ///
    /// Coordinators keep their records; the permits in them expire.
    fn lose_lease(&mut self, now: MonoTime, actions: &mut Vec<DispatchAction>) {
        self.lease_until = None;
        self.lease_lapsed = true;
        for local in self.members.values_mut() {
            local.queues.refuse_all(Reason::LeaseLost, actions);
            let connections: Vec<ConnectionId> = local.connections.keys().copied().collect();
            for connection in connections {
                local.close(now, connection, Reason::LeaseLost, actions);
            }
            local.return_all_permits();
        }
    }

    fn apply_roster(&mut self, now: MonoTime, view: RosterView) {
        if view.version < self.roster.version {
            return;
        }
        self.lease_until = Some(view.lease_until);
        let missed_change = self.lease_lapsed && view.version > self.roster.version;
        self.lease_lapsed = false;
        self.roster = view;
        self.assign_coordinators(now, missed_change);
    }

    fn apply_config(
        &mut self,
        now: MonoTime,
        config: Arc<Config>,
        actions: &mut Vec<DispatchAction>,
    ) {
        if config.version < self.config.version {
            return;
        }
        self.config = config;
        let config = self.config.clone();
        for (group_id, group) in &config.groups {
            for (id, member) in &group.members {
                let new = || LocalMember::new(group_id.clone());
                let local = self.members.entry(id.clone()).or_insert_with(new);
                local.refusal_reason = find_refusal_reason(&config, member);
                local.slots = group.slots as usize;
                if let Some(coordinator) = self.coordinators.get_mut(id) {
                    coordinator.slots = group.slots;
                }
            }
        }
        for (id, local) in &mut self.members {
            if config.groups.values().all(|g| !g.members.contains_key(id)) {
                local.refusal_reason = Some(Reason::NoRoute);
            }
            if let Some(reason) = local.refusal_reason {
                local.queues.refuse_all(reason, actions);
            }
        }
        self.assign_coordinators(now, false);
    }

    fn enqueue(
        &mut self,
        now: MonoTime,
        request: RequestId,
        member: &MemberId,
        workspace: WorkspaceId,
        deadline: MonoTime,
    ) -> Result<(), Reason> {
        if self.lease_until.is_none() {
            return Err(Reason::LeaseLost);
        }
        if self.has_left {
            return Err(Reason::Draining);
        }
        let local = self.members.get_mut(member).ok_or(Reason::NoRoute)?;
        local.enqueue(now, request, workspace, deadline)
    }

    fn finish(&mut self, now: MonoTime, request: RequestId, in_transaction: bool) {
        let Some((member, connection)) = self.running_requests.remove(&request) else {
            return;
        };
        let Some(local) = self.members.get_mut(&member) else {
            return;
        };
        let state = local.connections.get_mut(&connection);
        match state {
            Some(state) if in_transaction && *state == ConnectionState::Running(request) => {
                *state = ConnectionState::Pinned;
            }
            _ => local.release(now, connection),
        }
    }

    fn release(&mut self, now: MonoTime, connection: ConnectionId) {
        let member = self.connection_members.get(&connection);
        if let Some(local) = member.and_then(|member| self.members.get_mut(member)) {
            local.release(now, connection);
        }
    }

    fn cancel(&mut self, now: MonoTime, request: RequestId, actions: &mut Vec<DispatchAction>) {
        if let Some((member, connection)) = self.running_requests.remove(&request) {
            if let Some(local) = self.members.get_mut(&member) {
                local.close(now, connection, Reason::CallerGone, actions);
            }
            return;
        }
        for local in self.members.values_mut() {
            if local.queues.remove(request) {
                break;
            }
        }
    }

    fn connection_opened(&mut self, now: MonoTime, connection: ConnectionId) {
        let member = self.connection_members.get(&connection);
        let local = member.and_then(|member| self.members.get_mut(member));
        let state = local.and_then(|local| local.connections.get_mut(&connection));
        if let Some(state) = state.filter(|state| **state == ConnectionState::Opening) {
            *state = ConnectionState::Idle(now);
        }
    }

    fn connection_closed(&mut self, now: MonoTime, connection: ConnectionId) {
        let Some(member) = self.connection_members.remove(&connection) else {
            return;
        };
        self.running_requests
            .retain(|_, (_, used)| *used != connection);
        if let Some(local) = self.members.get_mut(&member) {
            local.release(now, connection);
            let state = local.connections.remove(&connection);
            if state != Some(ConnectionState::Closing) {
                local.reopen_at = now + REOPEN_DELAY;
            }
        }
    }

    /// Closes all connections and returns all permits at the end of a planned stop.
    fn leave(&mut self, now: MonoTime, actions: &mut Vec<DispatchAction>) {
        self.has_left = true;
        for local in self.members.values_mut() {
            local.queues.refuse_all(Reason::Draining, actions);
            let connections: Vec<ConnectionId> = local.connections.keys().copied().collect();
            for connection in connections {
                local.close(now, connection, Reason::Draining, actions);
            }
            local.return_all_permits();
            local.status_due = true;
        }
    }

    /// Enforces deadlines and limits, dispatches requests, and opens and closes connections, for
    /// one member or for all.
    fn process_members(
        &mut self,
        now: MonoTime,
        only_member: Option<&MemberId>,
        actions: &mut Vec<DispatchAction>,
    ) {
        let slots = self.roster.slots.iter();
        let usable = slots.filter(|slot| slot.usable_from <= now).count();
        let members = self.members.iter_mut();
        for (id, local) in
            members.filter(|(id, _)| only_member.is_none_or(|only_member| *id == only_member))
        {
            let group = self.config.groups.get(&local.group);
            let limit = group.map_or(0, |group| {
                group.connections as usize / usize::from(self.roster.slot_count.max(1)) * usable
            });
            local.connection_limit = limit;
            local.queues.refuse_expired(now, actions);
            local.enforce_limits(now, actions);
            if self.lease_until.is_none() || self.has_left {
                continue;
            }
            local.return_idle_permits(now - PERMIT_IDLE_TIMEOUT);
            let first = actions.len();
            local.dispatch(now, id, actions);
            local.note_demand();
            for action in &actions[first..] {
                if let DispatchAction::Dispatch {
                    request,
                    connection,
                    ..
                } = action
                {
                    self.running_requests
                        .insert(*request, (id.clone(), *connection));
                }
            }
            close_idle_connections(now, local, actions);
            open_connections(
                now,
                id,
                local,
                &mut self.next_connection,
                &mut self.connection_members,
                actions,
            );
        }
    }
}
