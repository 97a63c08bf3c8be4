//! The state of one member on this VM: its queues, its connections and the permits that are held.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::dispatch::CONNECTION_IDLE_TIMEOUT;
use crate::dispatch::DEMAND_REPORT_DELAY;
use crate::dispatch::DispatchAction;
use crate::dispatch::HOLDING_STATUS_INTERVAL;
use crate::dispatch::MIN_PERMIT_TIME_LEFT;
use crate::dispatch::ORPHAN_TIMEOUT;
use crate::dispatch::WAITING_STATUS_INTERVAL;
use crate::dispatch::coordinator::Peer;
use crate::dispatch::message::LentPermit;
use crate::dispatch::message::MemberLending;
use crate::dispatch::message::MemberStatus;
use crate::dispatch::message::PermitId;
use crate::dispatch::queue::RequestQueues;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::WorkspaceId;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// The connection is being opened.
    Opening,
    /// The connection has been idle since this time.
    Idle(MonoTime),
    /// A statement is in progress.
    Running(RequestId),
    /// A transaction is open, and no statement is in progress.
    Pinned,
    /// The connection is being closed; it counts against the limit until the driver reports that
    /// it is closed.
    Closing,
}

#[derive(Clone, Debug)]
struct Permit {
    workspace: WorkspaceId,
    expires: MonoTime,
    recalled: bool,
    used_by: Option<ConnectionId>,
    idle_since: MonoTime,
}

/// A member's queues, connections and permits on this VM.
#[derive(Clone, Debug)]
pub(crate) struct LocalMember {
    pub(crate) group: GroupId,
    /// The most connections that this VM may have to the member.
    pub(crate) connection_limit: usize,
    /// The statement slots of the member over the whole fleet.
    pub(crate) slots: usize,
    /// Why the member takes no new requests, or `None` if it takes them.
    pub(crate) refusal_reason: Option<Reason>,
    pub(crate) coordinator: Option<Peer>,
    pub(crate) connections: BTreeMap<ConnectionId, ConnectionState>,
    pub(crate) queues: RequestQueues,
    permits: BTreeMap<PermitId, Permit>,
    /// Returned permits that the coordinator may still list.
    returned: BTreeSet<PermitId>,
    /// Connections in use on permits of a former coordinator.
    orphans: BTreeMap<ConnectionId, WorkspaceId>,
    orphans_until: MonoTime,
    /// The sequence number of the newest message of the coordinator that was applied.
    applied_seq: u64,
    contended: bool,
    /// The demand that has been reported to the coordinator, by workspace.
    reported_demand: BTreeMap<WorkspaceId, u32>,
    /// When connections may be opened again after one was lost.
    pub(crate) reopen_at: MonoTime,
    /// Whether a status must be sent at once.
    pub(crate) status_due: bool,
    /// Whether requests wait that have not been reported to the coordinator.
    demand_due: bool,
    pub(crate) last_status: MonoTime,
}

impl LocalMember {
    pub(crate) fn new(group: GroupId) -> Self {
        Self {
            group,
            connection_limit: 0,
            slots: 0,
            refusal_reason: None,
            coordinator: None,
            connections: BTreeMap::new(),
            queues: RequestQueues::default(),
            permits: BTreeMap::new(),
            returned: BTreeSet::new(),
            orphans: BTreeMap::new(),
            orphans_until: MonoTime::ZERO,
            applied_seq: 0,
            contended: false,
            reported_demand: BTreeMap::new(),
            reopen_at: MonoTime::ZERO,
            status_due: false,
            demand_due: false,
            last_status: MonoTime::ZERO,
        }
    }

    /// Queues a request, or returns why it is refused.
    pub(crate) fn enqueue(
        &mut self,
        now: MonoTime,
        request: RequestId,
        workspace: WorkspaceId,
        deadline: MonoTime,
    ) -> Result<(), Reason> {
        if let Some(reason) = self.refusal_reason {
            return Err(reason);
        }
        self.queues.push(now, request, workspace, deadline)
    }

    /// Returns how many connections are open, being opened or being closed.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns how many connections are idle or being opened.
    pub(crate) fn ready_count(&self) -> usize {
        let ready = |state: &&ConnectionState| {
            matches!(state, ConnectionState::Idle(_) | ConnectionState::Opening)
        };
        self.connections.values().filter(ready).count()
    }

    /// Dispatches as many queued requests as permits and idle connections allow.
    pub(crate) fn dispatch(
        &mut self,
        now: MonoTime,
        member: &MemberId,
        actions: &mut Vec<DispatchAction>,
    ) {
        while let Some(connection) = self.idle_connection()
            && let Some((permit, workspace)) = self.usable_permit(now)
        {
            let Some(request) = self.queues.pop(&workspace) else {
                break;
            };
            self.connections
                .insert(connection, ConnectionState::Running(request));
            if let Some(permit) = self.permits.get_mut(&permit) {
                permit.used_by = Some(connection);
            }
            actions.push(DispatchAction::Dispatch {
                request,
                member: member.clone(),
                connection,
            });
        }
        self.return_unused_permits(now);
    }

    fn idle_connection(&self) -> Option<ConnectionId> {
        let idle = |(_, state): &(&ConnectionId, &ConnectionState)| {
            matches!(state, ConnectionState::Idle(_))
        };
        self.connections.iter().find(idle).map(|(id, _)| *id)
    }

    /// Returns the usable permit that has been idle longest, and the workspace to use it for.
    fn usable_permit(&self, now: MonoTime) -> Option<(PermitId, WorkspaceId)> {
        let idle = self.permits.iter().filter(|(_, permit)| {
            permit.used_by.is_none()
                && !permit.recalled
                && permit.expires > now + MIN_PERMIT_TIME_LEFT
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort_by_key(|(id, permit)| (permit.idle_since, **id));
        let usable = |(id, permit): (&PermitId, &Permit)| {
            if self.queues.has_waiting(&permit.workspace) {
                return Some((*id, permit.workspace.clone()));
            }
            if self.contended {
                return None;
            }
            self.queues
                .oldest_workspace()
                .map(|workspace| (*id, workspace.clone()))
        };
        idle.into_iter().find_map(usable)
    }

    /// Returns idle permits that are recalled or expired, or not needed here under contention.
    fn return_unused_permits(&mut self, now: MonoTime) {
        let contended = self.contended;
        let queues = &self.queues;
        let in_use: Vec<WorkspaceId> = self
            .permits
            .values()
            .filter(|permit| permit.used_by.is_some())
            .map(|permit| permit.workspace.clone())
            .collect();
        let unused = self.permits.iter().filter(|(_, permit)| {
            // If another permit of the workspace is in use, this one is idle because no connection
            // is free.
            let wanted =
                queues.has_waiting(&permit.workspace) && !in_use.contains(&permit.workspace);
            let over = permit.recalled || permit.expires <= now || contended && !wanted;
            permit.used_by.is_none() && over
        });
        let unused: Vec<PermitId> = unused.map(|(id, _)| *id).collect();
        for id in unused {
            self.permits.remove(&id);
            self.returned.insert(id);
            self.status_due = true;
        }
    }

    /// Frees the permit of a connection after a statement or transaction, and marks the connection
    /// as idle unless it is closing.
    pub(crate) fn release(&mut self, now: MonoTime, connection: ConnectionId) {
        self.orphans.remove(&connection);
        for permit in self.permits.values_mut() {
            if permit.used_by == Some(connection) {
                permit.used_by = None;
                permit.idle_since = now;
            }
        }
        if let Some(state) = self.connections.get_mut(&connection)
            && *state != ConnectionState::Closing
        {
            *state = ConnectionState::Idle(now);
        }
    }

    /// Closes a connection and frees its permit.
    pub(crate) fn close(
        &mut self,
        now: MonoTime,
        connection: ConnectionId,
        reason: Reason,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.release(now, connection);
        if let Some(state) = self.connections.get_mut(&connection)
            && *state != ConnectionState::Closing
        {
            *state = ConnectionState::Closing;
            actions.push(DispatchAction::CloseConnection { connection, reason });
        }
    }

    /// Closes connections whose permit has expired, connections over the limit (idle ones first),
    /// and idle connections of a member that takes no requests.
    pub(crate) fn enforce_limits(&mut self, now: MonoTime, actions: &mut Vec<DispatchAction>) {
        let expired = self.permits.values().filter(|permit| permit.expires <= now);
        let mut over: Vec<ConnectionId> = expired.filter_map(|permit| permit.used_by).collect();
        if self.orphans_until <= now {
            over.extend(self.orphans.keys().copied());
        }
        for connection in over {
            self.close(now, connection, Reason::PermitExpired, actions);
        }
        let open = |state: &ConnectionState| *state != ConnectionState::Closing;
        let mut states: Vec<(ConnectionState, ConnectionId)> =
            self.connections.iter().map(|c| (*c.1, *c.0)).collect();
        states.retain(|(state, _)| open(state));
        states.sort_by_key(|(state, id)| {
            (
                !matches!(state, ConnectionState::Idle(_) | ConnectionState::Opening),
                *id,
            )
        });
        let excess = states.len().saturating_sub(self.connection_limit);
        for (_, connection) in states.iter().take(excess) {
            let reason = self.refusal_reason.unwrap_or(Reason::LeaseLost);
            self.close(now, *connection, reason, actions);
        }
        if let Some(reason) = self.refusal_reason {
            for (state, connection) in states {
                if matches!(state, ConnectionState::Idle(_) | ConnectionState::Opening) {
                    self.close(now, connection, reason, actions);
                }
            }
        }
    }

    /// Returns all permits, as after the loss of the lease.
    pub(crate) fn return_all_permits(&mut self) {
        self.returned
            .extend(std::mem::take(&mut self.permits).into_keys());
        self.orphans.clear();
    }

    /// Switches to a new coordinator, which voids unused permits. Statements in progress become
    /// orphans until the new coordinator takes them over.
    pub(crate) fn set_coordinator(&mut self, now: MonoTime, coordinator: Option<Peer>) {
        if self.coordinator == coordinator {
            return;
        }
        if !self.permits.is_empty() {
            self.orphans_until = now + ORPHAN_TIMEOUT;
        }
        for permit in std::mem::take(&mut self.permits).into_values() {
            if let Some(connection) = permit.used_by {
                self.orphans.insert(connection, permit.workspace);
            }
        }
        self.coordinator = coordinator;
        self.returned.clear();
        self.applied_seq = 0;
        self.contended = false;
        self.status_due = true;
    }

    /// Applies a message of the coordinator, whose permits are valid until `expires`.
    pub(crate) fn apply(
        &mut self,
        now: MonoTime,
        seq: u64,
        expires: MonoTime,
        lending: &MemberLending,
    ) {
        if seq <= self.applied_seq {
            return;
        }
        self.applied_seq = seq;
        self.contended = lending.contended;
        for lent in &lending.permits {
            match self.permits.get_mut(&lent.permit) {
                Some(permit) => {
                    permit.expires = permit.expires.max(expires);
                    permit.recalled = lent.recalled;
                }
                None if !self.returned.contains(&lent.permit) && expires > now => {
                    self.add_permit(now, expires, lent);
                }
                None => {}
            }
        }
        let listed = |id: &PermitId| lending.permits.iter().any(|lent| lent.permit == *id);
        self.returned.retain(listed);
        // A permit in use that the coordinator does not list is not renewed; it expires as before.
        self.permits
            .retain(|id, permit| listed(id) || permit.used_by.is_some());
    }

    fn add_permit(&mut self, now: MonoTime, expires: MonoTime, lent: &LentPermit) {
        let orphan = self
            .orphans
            .iter()
            .find(|(_, workspace)| **workspace == lent.workspace);
        let used_by = orphan.map(|(connection, _)| *connection);
        if let Some(connection) = used_by {
            self.orphans.remove(&connection);
        }
        let permit = Permit {
            workspace: lent.workspace.clone(),
            expires,
            recalled: lent.recalled,
            used_by,
            idle_since: now,
        };
        self.permits.insert(lent.permit, permit);
    }

    /// Returns whether statuses must be sent regularly.
    fn is_active(&self) -> bool {
        !(self.queues.is_empty() && self.permits.is_empty() && self.orphans.is_empty())
    }

    /// Updates whether there is demand that has not been reported to the coordinator.
    pub(crate) fn note_demand(&mut self) {
        let wanted = self.permit_demand();
        self.reported_demand.retain(|workspace, count| {
            *count = (*count).min(wanted.get(workspace).copied().unwrap_or(0));
            *count > 0
        });
        let known = |workspace| self.reported_demand.get(workspace).copied().unwrap_or(0);
        let has_unreported = wanted.iter().any(|(w, count)| *count > known(w));
        // A VM that holds a permit for every slot cannot get more.
        self.demand_due = has_unreported && self.permits.len() < self.slots;
    }

    /// Returns when the next status is due, or `None` if there is nothing to report.
    ///
    /// Under contention, new demand is reported after a delay. A permit takes a while to arrive
    /// anyway, and without the delay a workspace with few requests would cause a message for nearly
    /// every request.
    pub(crate) fn next_status(&self) -> Option<MonoTime> {
        if self.status_due || self.demand_due && !self.contended {
            Some(self.last_status)
        } else if self.demand_due {
            Some(self.last_status + DEMAND_REPORT_DELAY)
        } else if !self.queues.is_empty() {
            Some(self.last_status + WAITING_STATUS_INTERVAL)
        } else if self.is_active() {
            Some(self.last_status + HOLDING_STATUS_INTERVAL)
        } else {
            None
        }
    }

    /// Returns how many more permits this VM could use, by workspace; zero counts are left out.
    fn permit_demand(&self) -> BTreeMap<WorkspaceId, u32> {
        let count = |workspace: &WorkspaceId, waiting: usize| {
            let held = self.permits.values().filter(|p| p.workspace == *workspace);
            let idle = held.clone().filter(|p| p.used_by.is_none()).count();
            let room = self.connection_limit.saturating_sub(held.count());
            waiting.saturating_sub(idle).min(room)
        };
        let waiting = self.queues.waiting_counts();
        let wanted = waiting.map(|(w, n)| (w.clone(), count(w, n) as u32));
        wanted.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns the status to send, and records its demand as reported.
    pub(crate) fn status(&mut self, member: &MemberId) -> MemberStatus {
        self.reported_demand = self.permit_demand();
        (self.status_due, self.demand_due) = (false, false);
        MemberStatus {
            member: member.clone(),
            seen: self.applied_seq,
            queued: self.reported_demand.clone().into_iter().collect(),
            holding: self.permits.keys().copied().collect(),
            orphans: self.orphans.values().cloned().collect(),
        }
    }

    /// Returns the next time at which a request, permit, orphan or idle connection expires.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let first = self.queues.next_deadline();
        let permits = self.permits.values().map(|permit| permit.expires);
        let orphans = self.orphans.keys().map(|_| self.orphans_until);
        let idle = self.connections.values().filter_map(|state| match state {
            ConnectionState::Idle(since) => Some(*since + CONNECTION_IDLE_TIMEOUT),
            _ => None,
        });
        let ends = first.into_iter().chain(permits).chain(orphans);
        ends.chain(idle).min()
    }

    /// Returns permits that have been idle since before the given time to the coordinator.
    pub(crate) fn return_idle_permits(&mut self, before: MonoTime) {
        let idle = self
            .permits
            .iter()
            .filter(|(_, p)| p.used_by.is_none() && p.idle_since < before);
        let idle: Vec<PermitId> = idle.map(|(id, _)| *id).collect();
        for id in idle {
            self.permits.remove(&id);
            self.returned.insert(id);
            self.status_due = true;
        }
    }
}
