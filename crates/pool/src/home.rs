//! The home of each workspace in each group: the VM that its statements are forwarded to.
//!
//! A connection to a member belongs to one workspace. In a large fleet few statements would find an
//! open connection of their workspace at the VM that the balancer chose, and a member does not
//! accept a connection of each VM. So all VMs forward the statements of a workspace in a group to
//! the same few VMs, which also hold shares of the workspace's rate: writes to one beside the
//! primary, reads to one beside the replica in the data centre where they arrive. The choice follows
//! from the configuration, the roster and the members alone.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_core::types::rendezvous_weight;
use smallvec::SmallVec;

use crate::config::PoolConfig;
use crate::event::PoolAction;
use crate::group::Group;
use crate::member::Member;
use crate::pool::Pool;
use crate::report::Report;

/// The rate of a workspace, in operations a second, from which its rate is split over one more VM.
/// A small VM serves a few times as many.
pub(crate) const RATE_PER_HOME_PER_S: u32 = 20;

/// How many connections to a member a home needs in order to keep one for each workspace in use. With
/// more homes, each has fewer and opens one for most of its statements.
const CONNECTIONS_PER_HOME: u32 = 8;

/// The highest sum of the rates of the workspaces in one cell, whose homes are three VMs.
const MAX_RATE_PER_CELL_PER_S: u64 = 300;

/// A home that may have to use a member in place of its usual one gets the share of this part of its
/// rate.
const STAND_IN_RATE_DIVISOR: u64 = 4;

/// The most connections that are distributed. They are assigned one by one, and a member that accepts
/// any number must not keep a VM busy.
const MAX_DISTRIBUTED_CONNECTIONS: u32 = 10_000;

/// The most cells. With more of them, each would have only a few workspaces anyway.
const MAX_CELLS: u32 = 1_024;

/// Precision of the comparison of shares.
const QUOTIENT_SCALE: u64 = 1_000_000;

/// Time after which a VM that did not accept statements is tried again; it doubles with each
/// further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The maximum of that time. A VM that restarts is back after a few seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Returns into how many cells the workspaces are divided. Those of a cell have the same homes.
///
/// There are as many as the connections that members accept suffice for, but enough that the VMs of
/// a cell can serve its workspaces. The number follows from the configuration alone, and a power of
/// two keeps it from changing with each rate.
pub(crate) fn cell_count(config: &PoolConfig) -> u32 {
    let groups = config.groups.values();
    let connections = groups.map(|rule| rule.max_connections).min();
    let by_connections = connections.unwrap_or(u32::MAX) / CONNECTIONS_PER_HOME;
    let rates = config.rates.values().map(|rule| u64::from(rule.per_s));
    let by_rate = rates.sum::<u64>().div_ceil(MAX_RATE_PER_CELL_PER_S);
    let by_rate = u32::try_from(by_rate.next_power_of_two()).unwrap_or(u32::MAX);
    by_connections.max(by_rate).min(MAX_CELLS)
}

/// The VMs that are home of some workspace in a group, and their shares of the connections that a
/// member of the group accepts.
#[derive(Clone, Debug, Default)]
pub struct GroupHomes {
    /// Whether there are more homes than connections, so that not each of them can keep one.
    is_oversubscribed: bool,
    /// The VM whose workspaces have the highest rates comes first.
    homes: Vec<GroupHome>,
}

#[derive(Clone, Debug)]
struct GroupHome {
    vm: VmId,
    /// The sum of the rates of the workspaces that the VM is home of, in operations a second.
    rate_per_s: u64,
    connections: u32,
}

impl GroupHomes {
    /// Distributes the connections that a member accepts by the rates of the workspaces that each
    /// VM is home of. Each of these VMs gets at least one.
    ///
    /// As many connections as the largest share are kept in reserve: after a VM loses power, its
    /// connections stay open at the member for seconds, and its successor has to connect at once.
    pub fn new(rates_per_s: BTreeMap<VmId, u64>, max_connections: u32) -> Self {
        let max_connections = max_connections.min(MAX_DISTRIBUTED_CONNECTIONS);
        let homes = rates_per_s.into_iter().map(|(vm, rate_per_s)| GroupHome {
            vm,
            rate_per_s,
            connections: 1,
        });
        let mut homes: Vec<GroupHome> = homes.collect();
        homes.sort_by(|a, b| (b.rate_per_s, &a.vm).cmp(&(a.rate_per_s, &b.vm)));
        let mut used = u32::try_from(homes.len()).unwrap_or(u32::MAX);
        let mut largest = 1;
        // The highest averages method of D'Hondt.
        let quotient = |home: &GroupHome| {
            home.rate_per_s.max(1) * QUOTIENT_SCALE / u64::from(home.connections + 1)
        };
        let entries = homes.iter().enumerate();
        let entries = entries.map(|(index, home)| (quotient(home), Reverse(index)));
        let mut by_quotient: BinaryHeap<_> = entries.collect();
        while let Some((_, Reverse(index))) = by_quotient.pop() {
            let home = &mut homes[index];
            let new_largest = largest.max(home.connections + 1);
            if used.saturating_add(1 + new_largest) > max_connections {
                break;
            }
            home.connections += 1;
            used += 1;
            largest = new_largest;
            by_quotient.push((quotient(home), Reverse(index)));
        }
        let home_count = u32::try_from(homes.len()).unwrap_or(u32::MAX);
        Self {
            is_oversubscribed: home_count >= max_connections,
            homes,
        }
    }

    /// Returns how many VMs have a higher rate in the group than the given one.
    pub fn rank_of(&self, vm: &VmId) -> usize {
        let position = self.homes.iter().position(|home| home.vm == *vm);
        position.unwrap_or(self.homes.len())
    }

    /// Returns the part of the rates of all homes that is of the workspaces of a VM. A VM that is
    /// not a home counts as one more with an average rate.
    fn rate_part(&self, vm: &VmId) -> f64 {
        let total: u64 = self.homes.iter().map(|home| home.rate_per_s.max(1)).sum();
        let own = self.homes.iter().find(|home| home.vm == *vm);
        let part = own.map(|home| home.rate_per_s.max(1) as f64 / total as f64);
        part.unwrap_or_else(|| 1.0 / (self.homes.len() + 1) as f64)
    }

    /// Returns whether a VM may keep connections that it does not use. A VM that is not a home, or
    /// one of more homes than there are connections, leaves them to others.
    pub fn may_keep_unused(&self, vm: &VmId) -> bool {
        !self.is_oversubscribed && self.homes.iter().any(|home| home.vm == *vm)
    }

    /// Returns how many connections a VM may open to a member of the group. A VM that is not a home
    /// may open one, to serve statements whose home is unavailable, and closes it afterwards.
    pub fn connection_share(&self, vm: &VmId) -> u32 {
        let home = self.homes.iter().find(|home| home.vm == *vm);
        home.map_or(1, |home| home.connections)
    }
}

/// Whether a peer accepts forwarded statements, as this VM has observed it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerHealth {
    /// When a message of the peer last arrived.
    pub(crate) heard_at: MonoTime,
    /// When the peer was last asked whether it is running.
    pub(crate) pinged_at: MonoTime,
    unavailable_until: MonoTime,
    retry_delay: Duration,
}

impl PeerHealth {
    /// Records a failure; returns whether the peer was available until now.
    fn failed(&mut self, now: MonoTime) -> bool {
        let was_available = self.retry_delay.is_zero();
        let delay = self.retry_delay.max(INITIAL_RETRY_DELAY);
        self.unavailable_until = now + delay;
        self.retry_delay = (delay * 2).min(MAX_RETRY_DELAY);
        was_available
    }

    /// Records that the peer has run a statement; returns whether it was unavailable until now.
    fn accepted(&mut self) -> bool {
        self.unavailable_until = MonoTime::ZERO;
        !std::mem::take(&mut self.retry_delay).is_zero()
    }
}

/// Which members of its group can run a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServedBy {
    /// Only the primary.
    Primary,
    /// A replica, if one is recent enough.
    Replica,
}

/// The homes of a group that use each of its members.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberHomes {
    by_member: BTreeMap<MemberId, GroupHomes>,
    /// The homes of statements that need the primary.
    primary: GroupHomes,
}

impl MemberHomes {
    /// Returns how many VMs have a higher rate of statements that need the primary.
    pub(crate) fn rank_of(&self, vm: &VmId) -> usize {
        self.primary.rank_of(vm)
    }

    /// Returns the homes that use a member and follow a VM in their order, at most `max`.
    pub(crate) fn next_homes(&self, member: &MemberId, vm: &VmId, max: usize) -> Vec<VmId> {
        let Some(homes) = self.by_member.get(member) else {
            return Vec::new();
        };
        let vms = homes.homes.iter().map(|home| &home.vm);
        let next = vms.cycle().skip(homes.rank_of(vm)).take(homes.homes.len());
        next.filter(|home| *home != vm).take(max).cloned().collect()
    }

    /// Returns how many VMs are homes that use a member, and how many of them have a higher rate
    /// than the given VM.
    pub(crate) fn count_and_rank(&self, member: &MemberId, vm: &VmId) -> (u32, u32) {
        let Some(homes) = self.by_member.get(member) else {
            return (1, 0);
        };
        let count = u32::try_from(homes.homes.len()).unwrap_or(u32::MAX);
        let rank = u32::try_from(homes.rank_of(vm)).unwrap_or(u32::MAX);
        (count, rank)
    }

    /// Returns whether a VM may keep connections to a member that it does not use.
    pub(crate) fn may_keep_unused(&self, member: &MemberId, vm: &VmId) -> bool {
        let homes = self.by_member.get(member);
        homes.is_some_and(|homes| homes.may_keep_unused(vm))
    }

    /// Returns the part of the statements at a member that is expected from a VM.
    pub(crate) fn rate_part(&self, member: &MemberId, vm: &VmId) -> f64 {
        let homes = self.by_member.get(member);
        homes.map_or(1.0, |homes| homes.rate_part(vm))
    }

    /// Returns the VMs that regularly use a member.
    pub(crate) fn homes_of(&self, member: &MemberId) -> Vec<VmId> {
        let homes = self.by_member.get(member);
        let homes = homes.map(|homes| homes.homes.as_slice());
        let homes = homes.unwrap_or_default().iter();
        homes.map(|home| home.vm.clone()).collect()
    }

    /// Returns how many connections a VM may open to a member.
    pub(crate) fn connection_share(&self, member: &MemberId, vm: &VmId) -> u32 {
        let homes = self.by_member.get(member);
        homes.map_or(1, |homes| homes.connection_share(vm))
    }
}

impl Pool {
    /// Returns the VM that a statement is forwarded to; `None` if it runs on this one, which may be
    /// the home itself or stand in for homes that do not accept statements.
    pub(crate) fn forwarding_target(
        &self,
        now: MonoTime,
        workspace: &WorkspaceId,
        group: &GroupId,
        served_by: ServedBy,
    ) -> Option<VmId> {
        let is_usable = |vm: &VmId| *vm == self.settings.vm || self.is_peer_available(now, vm);
        let from = &self.settings.data_centre;
        let slots = self.rates.share_slots(workspace);
        let homes = self.homes(slots, group, served_by, from);
        let home = homes.into_iter().find(is_usable)?;
        (home != self.settings.vm).then_some(home)
    }

    /// Returns another VM that statements of a workspace which need the primary are forwarded to.
    pub(crate) fn primary_home(
        &self,
        now: MonoTime,
        workspace: &WorkspaceId,
        group: &GroupId,
    ) -> Option<VmId> {
        self.forwarding_target(now, workspace, group, ServedBy::Primary)
    }

    pub(crate) fn is_peer_available(&self, now: MonoTime, vm: &VmId) -> bool {
        let health = self.peer_health.get(vm);
        health.is_none_or(|health| health.unavailable_until <= now)
    }

    /// Returns the VMs that may be home of a workspace in a group, the preferred one first, for
    /// statements that arrive in the data centre `from`. They are those of the slots that hold a share
    /// of the workspace's rate. Their order is the same for all workspaces, so that a group has fewer homes,
    /// which share the connections that its members accept.
    ///
    /// Statements and results are the bulk of what VMs send. So reads stay in the data centre where
    /// they arrive if it has a replica, and other statements go to the data centre of the primary.
    fn homes(
        &self,
        slots: &[u16],
        group: &GroupId,
        served_by: ServedBy,
        from: &DataCentreId,
    ) -> SmallVec<[VmId; 4]> {
        let vms = slots
            .iter()
            .filter_map(|slot| self.roster.vm_at(usize::from(*slot)));
        let accepts_forwarded = |vm: &&VmId| {
            let entry = self.roster.get(vm);
            entry.is_some_and(|entry| entry.accepts_forwarded)
        };
        let mut homes: SmallVec<[VmId; 4]> = vms.filter(accepts_forwarded).cloned().collect();
        let weight =
            |vm: &VmId| rendezvous_weight(&[group.as_str().as_bytes(), vm.as_str().as_bytes()]);
        let group = self.groups.get(group);
        let primary = group.and_then(Group::primary_data_centre);
        let has_replica = |data_centre: &DataCentreId| {
            let is_usable = !self.evacuated.contains(data_centre);
            is_usable && group.is_some_and(|group| group.has_replica_in(data_centre))
        };
        homes.sort_by_cached_key(|vm| {
            let entry = self.roster.get(vm);
            let data_centre = entry.and_then(|entry| entry.data_centre.as_ref());
            let preference = match (served_by, data_centre) {
                (_, None) => 0,
                (ServedBy::Primary, Some(_)) => u8::from(data_centre == primary),
                (ServedBy::Replica, Some(data_centre)) if !has_replica(data_centre) => 0,
                (ServedBy::Replica, Some(data_centre)) => 1 + u8::from(data_centre == from),
            };
            Reverse((preference, weight(vm)))
        });
        homes
    }

    /// Computes the homes of a group unless they are known.
    pub(crate) fn update_group_homes(&mut self, group: &GroupId) {
        if !self.homes_by_group.contains_key(group) {
            let homes = self.compute_group_homes(group);
            self.homes_by_group.insert(group.clone(), homes);
        }
    }

    /// Returns the homes of a group.
    pub(crate) fn group_homes(&self, group: &GroupId) -> Cow<'_, MemberHomes> {
        let known = self.homes_by_group.get(group);
        known.map_or_else(
            || Cow::Owned(self.compute_group_homes(group)),
            Cow::Borrowed,
        )
    }

    /// Returns the sum of the rates of the workspaces whose shares are held by the same slots.
    fn rates_by_slots(&self) -> BTreeMap<&[u16], u64> {
        let mut rates = BTreeMap::new();
        for (workspace, rule) in &self.config.rates {
            let sum = rates.entry(self.rates.share_slots(workspace));
            *sum.or_default() += u64::from(rule.per_s);
        }
        rates
    }

    /// Returns the VMs that the statements of all workspaces are forwarded to from one data centre,
    /// with the sums of the rates.
    fn rates_by_home(
        &self,
        rates_by_slots: &BTreeMap<&[u16], u64>,
        group: &GroupId,
        served_by: ServedBy,
        from: &DataCentreId,
    ) -> BTreeMap<VmId, u64> {
        let mut rates: BTreeMap<VmId, u64> = BTreeMap::new();
        for (slots, rate_per_s) in rates_by_slots {
            let homes = self.homes(slots, group, served_by, from);
            if let Some(home) = homes.into_iter().next() {
                *rates.entry(home).or_default() += rate_per_s;
            }
        }
        rates
    }

    fn compute_group_homes(&self, id: &GroupId) -> MemberHomes {
        let limit = self.config.groups.get(id);
        let limit = limit.map_or(1, |rule| rule.max_connections);
        let own = &self.settings.data_centre;
        let rates = self.rates_by_slots();
        let of_primary = self.rates_by_home(&rates, id, ServedBy::Primary, own);
        let primary = GroupHomes::new(of_primary.clone(), limit);
        let Some(group) = self.groups.get(id) else {
            let by_member = BTreeMap::new();
            return MemberHomes { by_member, primary };
        };
        let mut of_replicas: BTreeMap<VmId, u64> = BTreeMap::new();
        for data_centre in self.roster.data_centres() {
            for (vm, rate) in self.rates_by_home(&rates, id, ServedBy::Replica, &data_centre) {
                *of_replicas.entry(vm).or_default() += rate;
            }
        }
        let is_near = |vm: &VmId, member: &Member| {
            let entry = self.roster.get(vm);
            let data_centre = entry.and_then(|entry| entry.data_centre.as_ref());
            data_centre == Some(&member.entry.data_centre)
        };
        let by_member = group.members.iter().map(|(name, member)| {
            let mut regular = match group.primary.as_ref() == Some(name) {
                true => of_primary.clone(),
                false => {
                    let near = of_replicas.iter().filter(|(vm, _)| is_near(vm, member));
                    near.map(|(vm, rate)| (vm.clone(), *rate)).collect()
                }
            };
            // Other homes use the member while theirs fails or lacks recent commits.
            let others = of_replicas.iter().chain(&of_primary);
            let others = others.filter(|(vm, _)| !regular.contains_key(*vm));
            let others = others.map(|(vm, rate)| (vm.clone(), rate / STAND_IN_RATE_DIVISOR));
            let others: BTreeMap<VmId, u64> = others.collect();
            let home_count = u32::try_from(regular.len() + others.len()).unwrap_or(u32::MAX);
            if home_count <= limit / 2 {
                regular.extend(others);
            }
            (name.clone(), GroupHomes::new(regular, limit))
        });
        let by_member = by_member.collect();
        MemberHomes { by_member, primary }
    }

    /// Records that a VM did not accept a statement, or cannot be reached.
    pub(crate) fn note_peer_unavailable(
        &mut self,
        now: MonoTime,
        vm: &VmId,
        cause: &'static str,
        actions: &mut Vec<PoolAction>,
    ) {
        if self.peer_health.entry(vm.clone()).or_default().failed(now) {
            let vm = vm.clone();
            actions.push(PoolAction::Report(Report::PeerUnavailable { vm, cause }));
        }
    }

    /// Records that a VM has run a statement.
    pub(crate) fn note_peer_available(&mut self, vm: &VmId, actions: &mut Vec<PoolAction>) {
        if self.peer_health.entry(vm.clone()).or_default().accepted() {
            let vm = vm.clone();
            actions.push(PoolAction::Report(Report::PeerAvailable { vm }));
        }
    }
}
