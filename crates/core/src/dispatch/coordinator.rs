//! The slot keeper of one member: lends permits by weighted max-min.

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

/// How long a permit may be used under contention before it moves on. Moving a permit leaves its
/// slot empty for two message delays, so a shorter time costs capacity.
const PERMIT_QUANTUM: Duration = Duration::from_millis(250);

/// How far a workspace may fall behind another one, in microseconds of one slot at weight one,
/// before a permit moves to it without regard to the quantum.
const MAX_LAG_US: u64 = 60_000;

/// Virtual time is kept in this part of a microsecond so that weights divide it finely.
const VIRTUAL_UNITS_PER_US: u64 = 1_000;

/// Demand that was not repeated for this time is forgotten.
const DEMAND_TTL: Duration = Duration::from_millis(700);

/// Permits of this age are renewed with each status of their holder.
const MIN_RENEWAL_AGE: Duration = Duration::from_millis(300);

/// The pause between two rounds of recalls on one member, for each member in contention that this
/// VM keeps. A move of a permit takes about six messages; this bounds the control traffic of a
/// keeper, and lets the requests of a light workspace gather in the meantime.
const RECALL_INTERVAL: Duration = Duration::from_millis(80);

/// How often a keeper looks again while requests wait.
const SCHEDULING_INTERVAL: Duration = Duration::from_millis(10);

/// One incarnation of a VM.
pub(crate) type Peer = (VmId, Incarnation);

#[derive(Clone, Debug)]
struct PermitRecord {
    holder: Peer,
    workspace: WorkspaceId,
    /// The first message that lists the permit.
    first_seq: u64,
    lent_at: MonoTime,
    expires: MonoTime,
    recalled: bool,
    adopted: bool,
}

/// The last status of a VM.
#[derive(Clone, Debug, Default)]
struct HolderStatus {
    seq: u64,
    received: MonoTime,
    applied_seq: u64,
    queued: BTreeMap<WorkspaceId, u32>,
    last_grant: BTreeMap<WorkspaceId, MonoTime>,
}

/// What a scheduling round needs to know from outside.
pub(crate) struct SchedulingContext<'a> {
    pub(crate) now: MonoTime,
    pub(crate) weight: &'a dyn Fn(&WorkspaceId) -> u64,
    pub(crate) next_permit: &'a mut u64,
    /// How many members in contention this VM keeps.
    pub(crate) contended_members: u32,
    /// The number that the next message to a VM will have.
    pub(crate) next_seq: &'a dyn Fn(&VmId) -> u64,
}

/// The permits of one member.
#[derive(Clone, Debug)]
pub(crate) struct Coordinator {
    pub(crate) slots: u32,
    lends_from: MonoTime,
    permits: BTreeMap<PermitId, PermitRecord>,
    holders: BTreeMap<Peer, HolderStatus>,
    virtual_time: BTreeMap<WorkspaceId, u64>,
    active: BTreeSet<WorkspaceId>,
    charged_until: MonoTime,
    contended: bool,
    next_recall: MonoTime,
    /// When the next round of scheduling is due.
    next_round: Option<MonoTime>,
    /// VMs that must be told of a change.
    to_notify: BTreeSet<Peer>,
}

impl Coordinator {
    /// Creates a keeper that lends nothing new before `opens`.
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

    /// Forgets the demand of VMs that have left; their permits expire.
    pub(crate) fn retain_holders(&mut self, is_in_roster: impl Fn(&Peer) -> bool) {
        self.holders.retain(|peer, _| is_in_roster(peer));
    }

    /// Applies the status of a VM.
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
        self.permits.retain(|id, record| {
            record.holder != *peer || record.first_seq > status.seen || holding(id)
        });
        for id in &status.holding {
            if let Some(record) = self.permits.get_mut(id).filter(|l| l.holder == *peer) {
                record.expires = context.now + COORDINATOR_PERMIT_TTL;
            }
        }
        self.adopt(context, peer, status);
        // Younger permits have most of their life left; under contention few grow older.
        let old = |record: &PermitRecord| context.now.since(record.lent_at) >= MIN_RENEWAL_AGE;
        let mut held = status.holding.iter().map(|id| self.permits.get(id));
        if held.any(|record| record.is_none_or(old)) {
            self.to_notify.insert(peer.clone());
        }
    }

    /// Takes over statements in progress by permits of the former keeper.
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
        let record = PermitRecord {
            holder: peer.clone(),
            workspace: workspace.clone(),
            first_seq: (context.next_seq)(&peer.0),
            lent_at: context.now,
            // The holder's life counts from the sending of the status, which came before.
            expires: holder.received + COORDINATOR_PERMIT_TTL,
            recalled: false,
            adopted,
        };
        holder.last_grant.insert(workspace.clone(), context.now);
        self.permits.insert(PermitId(*context.next_permit), record);
        self.to_notify.insert(peer.clone());
    }

    /// Lends free permits, recalls some if others are entitled to them, and returns the VMs to
    /// which a message must go.
    pub(crate) fn schedule(&mut self, context: &mut SchedulingContext<'_>) -> BTreeSet<Peer> {
        self.charge(context);
        self.permits
            .retain(|_, record| record.expires > context.now);
        if context.now >= self.lends_from {
            let mut unmet_demand = self.unmet_demand(context.now);
            self.activate(&unmet_demand);
            while self.permits.len() < self.slots as usize
                && let Some((peer, workspace)) = self.least_served(&unmet_demand)
            {
                self.lend(context, &peer, &workspace, false);
                decrement(&mut unmet_demand, &peer, &workspace);
            }
            // A VM that waits only for its own permits of the same workspace is not contention.
            let others = self.permits.values().any(|record| {
                let mut waiting = unmet_demand.keys();
                waiting.any(|(peer, workspace)| {
                    (peer, workspace) != (&record.holder, &record.workspace)
                })
            });
            self.set_contended(others);
            if context.now >= self.next_recall && self.recall(context.now, &unmet_demand) {
                self.next_recall = context.now + RECALL_INTERVAL * context.contended_members.max(1);
            }
        }
        self.plan_next_round(context.now);
        std::mem::take(&mut self.to_notify)
    }

    /// Returns the requests without permit by VM and workspace, without those for which a permit
    /// is on its way.
    fn unmet_demand(&self, now: MonoTime) -> BTreeMap<(Peer, WorkspaceId), u32> {
        let mut unmet_demand = BTreeMap::new();
        for (peer, holder) in &self.holders {
            if now.since(holder.received) > DEMAND_TTL {
                continue;
            }
            for (workspace, queued) in &holder.queued {
                let in_flight = self.permits.values().filter(|record| {
                    record.holder == *peer
                        && record.workspace == *workspace
                        && record.first_seq > holder.applied_seq
                });
                let count = queued.saturating_sub(in_flight.count() as u32);
                if count > 0 {
                    unmet_demand.insert((peer.clone(), workspace.clone()), count);
                }
            }
        }
        unmet_demand
    }

    /// Lets workspaces that have just become active start at most the lag behind the others, so
    /// that idle time is no credit.
    fn activate(&mut self, unmet_demand: &BTreeMap<(Peer, WorkspaceId), u32>) {
        let wanted = unmet_demand.keys().map(|key| &key.1);
        let lent_to = self.permits.values().map(|record| &record.workspace);
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

    /// Returns the workspace with the least virtual time, and its VM that has waited longest.
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

    /// Marks permits of workspaces that are ahead, or that have been used for a quantum.
    ///
    /// Returns whether any was marked.
    fn recall(&mut self, now: MonoTime, unmet_demand: &BTreeMap<(Peer, WorkspaceId), u32>) -> bool {
        let mut remaining = unmet_demand.clone();
        let outstanding = self.permits.values().filter(|record| record.recalled);
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
        let others = self.permits.iter().filter(|(_, record)| !record.recalled);
        let others: Vec<PermitId> = others.map(|(id, _)| *id).take(excess).collect();
        for id in others {
            self.mark_recalled(id);
            recalled.push(id);
        }
        !recalled.is_empty()
    }

    fn mark_recalled(&mut self, id: PermitId) {
        if let Some(record) = self.permits.get_mut(&id) {
            record.recalled = true;
            self.to_notify.insert(record.holder.clone());
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
        let candidates = self.permits.iter().filter(|(_, record)| {
            let time = self.virtual_time(&record.workspace);
            let ahead = time > claimant_time + MAX_LAG_US * VIRTUAL_UNITS_PER_US;
            let other = (&record.holder, &record.workspace) != (peer, workspace);
            let used_up = now.since(record.lent_at) >= PERMIT_QUANTUM && time >= claimant_time;
            !record.recalled && (ahead || other && used_up)
        });
        let most = candidates.max_by_key(|(id, record)| {
            let time = self.virtual_time(&record.workspace);
            (time, std::cmp::Reverse((record.lent_at, **id)))
        });
        most.map(|(id, _)| *id)
    }

    fn set_contended(&mut self, contended: bool) {
        if contended != self.contended {
            self.contended = contended;
            let holders = self.permits.values().map(|record| record.holder.clone());
            self.to_notify.extend(holders);
        }
    }

    /// Charges workspaces for the permits that they hold while others wait.
    fn charge(&mut self, context: &SchedulingContext<'_>) {
        let elapsed = context.now.since(self.charged_until).as_micros();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        self.charged_until = context.now;
        if !self.contended {
            return;
        }
        for record in self.permits.values() {
            let weight = (context.weight)(&record.workspace).max(1);
            let time = self
                .virtual_time
                .entry(record.workspace.clone())
                .or_default();
            *time += elapsed.saturating_mul(VIRTUAL_UNITS_PER_US) / weight;
        }
    }

    /// Returns all that a VM is lent.
    pub(crate) fn lending(&self, member: &MemberId, peer: &Peer) -> MemberLending {
        let permits = self
            .permits
            .iter()
            .filter(|(_, record)| record.holder == *peer);
        MemberLending {
            member: member.clone(),
            echo: self.holders.get(peer).map_or(0, |holder| holder.seq),
            contended: self.contended,
            permits: permits
                .map(|(id, record)| LentPermit {
                    permit: *id,
                    workspace: record.workspace.clone(),
                    recalled: record.recalled,
                })
                .collect(),
        }
    }

    /// Returns when the keeper wants to look again.
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
