//! The coordinator of one member, which lends permits by weighted max-min fairness.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::dispatch::COORDINATOR_PERMIT_TTL;
use crate::dispatch::message::LentPermit;
use crate::dispatch::message::MemberLending;
use crate::dispatch::message::MemberStatus;
use crate::dispatch::message::PermitId;
use crate::types::Incarnation;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::VmId;
use crate::types::WorkspaceId;

/// How long a permit may be used under contention before it is recalled for another workspace or
/// VM. A moved permit leaves its slot empty for two message delays, so a shorter quantum costs
/// capacity.
const PERMIT_QUANTUM: Duration = Duration::from_millis(250);

/// How far a workspace may fall behind another one, in microseconds of one slot at weight one,
/// before a permit is recalled for it regardless of the quantum.
const MAX_LAG_US: u64 = 60_000;

/// Units of virtual time in a microsecond; finer than microseconds to limit the rounding error of
/// the division by weights.
const VIRTUAL_UNITS_PER_US: u64 = 1_000;

/// Demand that a VM has not repeated for this time is ignored.
const DEMAND_TTL: Duration = Duration::from_millis(700);

/// From this age on, a permit is renewed with each status of its holder.
const MIN_RENEWAL_AGE: Duration = Duration::from_millis(300);

/// The interval between two rounds of recalls on one member, multiplied by the number of contended
/// members that this VM coordinates. Moving a permit takes about six messages, so this bounds the
/// control traffic of a coordinator; it also lets the requests of a light workspace accumulate.
const RECALL_INTERVAL: Duration = Duration::from_millis(80);

/// How often a coordinator schedules while requests wait.
const SCHEDULING_INTERVAL: Duration = Duration::from_millis(10);

/// One incarnation of a VM.
pub(crate) type Peer = (VmId, Incarnation);

#[derive(Clone, Debug)]
struct PermitRecord {
    holder: Peer,
    workspace: WorkspaceId,
    /// The sequence number of the first message that lists the permit.
    first_seq: u64,
    lent_at: MonoTime,
    expires: MonoTime,
    recalled: bool,
    /// Whether the permit covers a statement started on a permit of the former coordinator.
    adopted: bool,
}

/// The latest status of a VM, and what it was lent.
#[derive(Clone, Debug, Default)]
struct HolderStatus {
    seq: u64,
    received: MonoTime,
    /// The sequence number of the newest message that the VM has applied.
    applied_seq: u64,
    queued: BTreeMap<WorkspaceId, u32>,
    last_grant: BTreeMap<WorkspaceId, MonoTime>,
}

/// What a scheduling round needs from the rest of the dispatch role.
pub(crate) struct SchedulingContext<'a> {
    pub(crate) now: MonoTime,
    pub(crate) weight: &'a dyn Fn(&WorkspaceId) -> u64,
    pub(crate) next_permit: &'a mut u64,
    /// How many contended members this VM coordinates, counting the current one.
    pub(crate) contended_members: u32,
    /// Returns the sequence number of the next message to a VM.
    pub(crate) next_seq: &'a dyn Fn(&VmId) -> u64,
}

/// Lends the permits of one member.
#[derive(Clone, Debug)]
pub(crate) struct Coordinator {
    pub(crate) slots: u32,
    /// Until then, only statements in progress are taken over.
    lends_from: MonoTime,
    permits: BTreeMap<PermitId, PermitRecord>,
    holders: BTreeMap<Peer, HolderStatus>,
    virtual_time: BTreeMap<WorkspaceId, u64>,
    /// Workspaces that hold permits or wait for some.
    active: BTreeSet<WorkspaceId>,
    charged_until: MonoTime,
    contended: bool,
    next_recall: MonoTime,
    /// When the next round of scheduling is due.
    next_round: Option<MonoTime>,
    /// VMs that must be notified of a change.
    to_notify: BTreeSet<Peer>,
}

impl Coordinator {
    /// Creates a coordinator that lends nothing new before `lends_from`.
    pub(crate) fn new(slots: u32, lends_from: MonoTime) -> Self {
        Self {
            slots,
            lends_from,
            permits: BTreeMap::new(),
            holders: BTreeMap::new(),
            virtual_time: BTreeMap::new(),
            active: BTreeSet::new(),
            charged_until: MonoTime::ZERO,
            contended: false,
            next_recall: MonoTime::ZERO,
            next_round: Some(lends_from),
            to_notify: BTreeSet::new(),
        }
    }

    /// Drops the demand of VMs that have left the roster; their permits expire.
    pub(crate) fn retain_holders(&mut self, is_in_roster: impl Fn(&Peer) -> bool) {
        self.holders.retain(|peer, _| is_in_roster(peer));
    }

    /// Applies the status of a VM unless it is older than the latest one.
    pub(crate) fn apply(
        &mut self,
        context: &mut SchedulingContext<'_>,
        peer: &Peer,
        seq: u64,
        status: &MemberStatus,
    ) {
        let holder = self.holders.entry(peer.clone()).or_default();
        if seq <= holder.seq {
            return;
        }
        self.next_round = Some(context.now);
        holder.seq = seq;
        holder.received = context.now;
        holder.applied_seq = status.seen;
        holder.queued = status.queued.iter().cloned().collect();
        self.charge(context);
        let holding = |id: &PermitId| status.holding.contains(id);
        self.permits
            .retain(|id, lent| lent.holder != *peer || lent.first_seq > status.seen || holding(id));
        for id in &status.holding {
            if let Some(lent) = self.permits.get_mut(id).filter(|l| l.holder == *peer) {
                lent.expires = context.now + COORDINATOR_PERMIT_TTL;
            }
        }
        self.adopt(context, peer, status);
        // Younger permits are far from expiry, and under contention few become older.
        let old = |lent: &PermitRecord| context.now.since(lent.lent_at) >= MIN_RENEWAL_AGE;
        let mut held = status.holding.iter().map(|id| self.permits.get(id));
        if held.any(|lent| lent.is_none_or(old)) {
            self.to_notify.insert(peer.clone());
        }
    }

    /// Takes over statements in progress on permits of the former coordinator.
    fn adopt(&mut self, context: &mut SchedulingContext<'_>, peer: &Peer, status: &MemberStatus) {
        let in_flight = self.permits.values();
        let in_flight = in_flight
            .filter(|l| l.holder == *peer && l.adopted && l.first_seq > status.seen)
            .count();
        for workspace in status.orphans.iter().skip(in_flight) {
            let may_lend = context.now >= self.lends_from;
            if may_lend && self.permits.len() >= self.slots as usize {
                break;
            }
            self.lend(context, peer, workspace, true);
        }
    }

    fn lend(
        &mut self,
        context: &mut SchedulingContext<'_>,
        peer: &Peer,
        workspace: &WorkspaceId,
        adopted: bool,
    ) {
        let Some(holder) = self.holders.get_mut(peer) else {
            return;
        };
        *context.next_permit += 1;
        let lent = PermitRecord {
            holder: peer.clone(),
            workspace: workspace.clone(),
            first_seq: (context.next_seq)(&peer.0),
            lent_at: context.now,
            // Later than at the holder, where the time counts from the sending of the status.
            expires: holder.received + COORDINATOR_PERMIT_TTL,
            recalled: false,
            adopted,
        };
        holder.last_grant.insert(workspace.clone(), context.now);
        self.permits.insert(PermitId(*context.next_permit), lent);
        self.to_notify.insert(peer.clone());
    }

    /// Lends free permits, recalls some if others are entitled to them, and returns the VMs that
    /// must be notified.
    pub(crate) fn schedule(&mut self, context: &mut SchedulingContext<'_>) -> BTreeSet<Peer> {
        self.charge(context);
        self.permits.retain(|_, lent| lent.expires > context.now);
        if context.now >= self.lends_from {
            let mut unmet_demand = self.unmet_demand(context.now);
            self.activate(&unmet_demand);
            while self.permits.len() < self.slots as usize
                && let Some((peer, workspace)) = self.least_served(&unmet_demand)
            {
                self.lend(context, &peer, &workspace, false);
                decrement(&mut unmet_demand, &peer, &workspace);
            }
            // A VM that waits only for permits it holds itself, for the same workspace, does not
            // cause contention.
            let others = self.permits.values().any(|lent| {
                let mut waiting = unmet_demand.keys();
                waiting
                    .any(|(peer, workspace)| (peer, workspace) != (&lent.holder, &lent.workspace))
            });
            self.set_contended(others);
            if context.now >= self.next_recall && self.recall(context.now, &unmet_demand) {
                self.next_recall = context.now + RECALL_INTERVAL * context.contended_members.max(1);
            }
        }
        self.plan_next_round(context.now);
        std::mem::take(&mut self.to_notify)
    }

    /// Returns the number of requests without a permit by VM and workspace, less the permits that
    /// are in flight to them.
    fn unmet_demand(&self, now: MonoTime) -> BTreeMap<(Peer, WorkspaceId), u32> {
        let mut unmet_demand = BTreeMap::new();
        for (peer, holder) in &self.holders {
            if now.since(holder.received) > DEMAND_TTL {
                continue;
            }
            for (workspace, queued) in &holder.queued {
                let in_flight = self.permits.values().filter(|lent| {
                    lent.holder == *peer
                        && lent.workspace == *workspace
                        && lent.first_seq > holder.applied_seq
                });
                let count = queued.saturating_sub(in_flight.count() as u32);
                if count > 0 {
                    unmet_demand.insert((peer.clone(), workspace.clone()), count);
                }
            }
        }
        unmet_demand
    }

    /// Starts newly active workspaces at most the maximum lag behind the others, so that idle time
    /// earns no credit.
    fn activate(&mut self, unmet_demand: &BTreeMap<(Peer, WorkspaceId), u32>) {
        let wanted = unmet_demand.keys().map(|key| &key.1);
        let lent_to = self.permits.values().map(|lent| &lent.workspace);
        let active: BTreeSet<WorkspaceId> = wanted.chain(lent_to).cloned().collect();
        let staying = active.intersection(&self.active);
        let floor = staying.map(|w| self.virtual_time.get(w).copied().unwrap_or(0));
        let floor = floor.min().unwrap_or(0);
        let floor = floor.saturating_sub(MAX_LAG_US * VIRTUAL_UNITS_PER_US);
        for workspace in active.difference(&self.active) {
            let time = self.virtual_time.entry(workspace.clone()).or_default();
            *time = (*time).max(floor);
        }
        self.active = active;
    }

    fn virtual_time(&self, workspace: &WorkspaceId) -> u64 {
        self.virtual_time.get(workspace).copied().unwrap_or(0)
    }

    /// Returns the workspace with the least virtual time, and the VM that has waited longest for a
    /// permit for it.
    fn least_served(
        &self,
        unmet_demand: &BTreeMap<(Peer, WorkspaceId), u32>,
    ) -> Option<(Peer, WorkspaceId)> {
        let least = unmet_demand.keys().min_by_key(|(peer, workspace)| {
            let holder = self.holders.get(peer);
            let last = holder.and_then(|h| h.last_grant.get(workspace)).copied();
            (self.virtual_time(workspace), workspace, last)
        });
        least.cloned()
    }

    /// Recalls permits of workspaces that are ahead, and permits that have been used for a quantum.
    ///
    /// Returns whether any permit was recalled.
    fn recall(&mut self, now: MonoTime, unmet_demand: &BTreeMap<(Peer, WorkspaceId), u32>) -> bool {
        let mut remaining = unmet_demand.clone();
        let outstanding = self.permits.values().filter(|lent| lent.recalled);
        for _ in 0..outstanding.count() {
            if let Some((peer, workspace)) = self.least_served(&remaining) {
                decrement(&mut remaining, &peer, &workspace);
            }
        }
        let mut recalled = Vec::new();
        while let Some((peer, workspace)) = self.least_served(&remaining)
            && let Some(id) = self.permit_to_recall(now, &peer, &workspace)
        {
            self.mark_recalled(id);
            recalled.push(id);
            decrement(&mut remaining, &peer, &workspace);
        }
        let excess = self.permits.len().saturating_sub(self.slots as usize);
        let others = self.permits.iter().filter(|(_, lent)| !lent.recalled);
        let others: Vec<PermitId> = others.map(|(id, _)| *id).take(excess).collect();
        for id in others {
            self.mark_recalled(id);
            recalled.push(id);
        }
        !recalled.is_empty()
    }

    fn mark_recalled(&mut self, id: PermitId) {
        if let Some(lent) = self.permits.get_mut(&id) {
            lent.recalled = true;
            self.to_notify.insert(lent.holder.clone());
        }
    }

    /// Returns whether others wait for permits that are lent.
    pub(crate) fn is_contended(&self) -> bool {
        self.contended
    }

    fn permit_to_recall(
        &self,
        now: MonoTime,
        peer: &Peer,
        workspace: &WorkspaceId,
    ) -> Option<PermitId> {
        let claimant_time = self.virtual_time(workspace);
        let candidates = self.permits.iter().filter(|(_, lent)| {
            let time = self.virtual_time(&lent.workspace);
            let ahead = time > claimant_time + MAX_LAG_US * VIRTUAL_UNITS_PER_US;
            let other = (&lent.holder, &lent.workspace) != (peer, workspace);
            let used_up = now.since(lent.lent_at) >= PERMIT_QUANTUM && time >= claimant_time;
            !lent.recalled && (ahead || other && used_up)
        });
        let most = candidates.max_by_key(|(id, lent)| {
            let time = self.virtual_time(&lent.workspace);
            (time, std::cmp::Reverse((lent.lent_at, **id)))
        });
        most.map(|(id, _)| *id)
    }

    fn set_contended(&mut self, contended: bool) {
        if contended != self.contended {
            self.contended = contended;
            let holders = self.permits.values().map(|lent| lent.holder.clone());
            self.to_notify.extend(holders);
        }
    }

    /// Advances the virtual time of workspaces for the permits that they hold under contention.
    fn charge(&mut self, context: &SchedulingContext<'_>) {
        let elapsed = context.now.since(self.charged_until).as_micros();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        self.charged_until = context.now;
        if !self.contended {
            return;
        }
        for lent in self.permits.values() {
            let weight = (context.weight)(&lent.workspace).max(1);
            let time = self.virtual_time.entry(lent.workspace.clone()).or_default();
            *time += elapsed.saturating_mul(VIRTUAL_UNITS_PER_US) / weight;
        }
    }

    /// Returns the message entry with all permits that a VM is lent.
    pub(crate) fn lending(&self, member: &MemberId, peer: &Peer) -> MemberLending {
        let permits = self.permits.iter().filter(|(_, lent)| lent.holder == *peer);
        MemberLending {
            member: member.clone(),
            echo: self.holders.get(peer).map_or(0, |holder| holder.seq),
            contended: self.contended,
            permits: permits
                .map(|(id, lent)| LentPermit {
                    permit: *id,
                    workspace: lent.workspace.clone(),
                    recalled: lent.recalled,
                })
                .collect(),
        }
    }

    /// Returns when the next round of scheduling is due, or `None` if no requests wait.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.next_round
    }

    /// Returns whether a round of scheduling is due.
    pub(crate) fn is_due(&self, now: MonoTime) -> bool {
        self.next_round.is_some_and(|round| round <= now)
    }

    fn plan_next_round(&mut self, now: MonoTime) {
        let waiting = self
            .holders
            .values()
            .any(|holder| !holder.queued.is_empty() && now.since(holder.received) <= DEMAND_TTL);
        let next = if now < self.lends_from {
            self.lends_from
        } else {
            now + SCHEDULING_INTERVAL
        };
        self.next_round = Some(next).filter(|_| waiting);
    }
}

fn decrement(
    unmet_demand: &mut BTreeMap<(Peer, WorkspaceId), u32>,
    peer: &Peer,
    workspace: &WorkspaceId,
) {
    let key = (peer.clone(), workspace.clone());
    if let Some(count) = unmet_demand.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            unmet_demand.remove(&key);
        }
    }
}
