//! The home of each workspace in each group: the VM that its statements are forwarded to.
//!
//! A connection to a member belongs to one workspace. In a large fleet few statements would find an
//! open connection of their workspace at the VM that the balancer chose, and a member does not
//! accept a connection of each VM. So all VMs forward the statements of a workspace in a group to
//! the same VM, which also holds a share of the workspace's rate. The choice follows from the
//! configuration and the roster alone.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_core::types::rendezvous_weight;
use smallvec::SmallVec;

use crate::event::PoolAction;
use crate::pool::Pool;
use crate::report::Report;

/// The rate of a workspace, in operations a second, from which its rate is split over one more VM.
/// A small VM serves a few times as many.
pub(crate) const RATE_PER_HOME_PER_S: u32 = 20;

/// Precision of the comparison of shares.
const QUOTIENT_SCALE: u64 = 1_000_000;

/// Time after which a VM that did not accept statements is tried again; it doubles with each
/// further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The maximum of that time. A VM that restarts is back after a few seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

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

impl Pool {
    /// Returns the VM that a statement is forwarded to; `None` if it runs on this one, which may be
    /// the home itself or stand in for homes that do not accept statements.
    pub(crate) fn forwarding_target(
        &self,
        now: MonoTime,
        workspace: &WorkspaceId,
        group: &GroupId,
    ) -> Option<VmId> {
        let is_usable = |vm: &VmId| *vm == self.settings.vm || self.is_peer_available(now, vm);
        let home = self.homes(workspace, group).into_iter().find(is_usable)?;
        (home != self.settings.vm).then_some(home)
    }

    pub(crate) fn is_peer_available(&self, now: MonoTime, vm: &VmId) -> bool {
        let health = self.peer_health.get(vm);
        health.is_none_or(|health| health.unavailable_until <= now)
    }

    /// Returns the VMs that may be home of a workspace in a group, the preferred one first. They are
    /// those that hold a share of the workspace's rate. Their order is the same for all workspaces,
    /// so that a group has fewer homes, which share the connections that its members accept.
    fn homes(&self, workspace: &WorkspaceId, group: &GroupId) -> SmallVec<[VmId; 4]> {
        let slots = self.rates.share_slots(workspace);
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
        let primary = self.primary_data_centre(group);
        let is_near_primary = |vm: &VmId| {
            let entry = self.roster.get(vm);
            primary.is_some() && entry.and_then(|entry| entry.data_centre.as_ref()) == primary
        };
        homes.sort_by_cached_key(|vm| Reverse((is_near_primary(vm), weight(vm))));
        homes
    }

    fn primary_data_centre(&self, group: &GroupId) -> Option<&DataCentreId> {
        let group = self.groups.get(group)?;
        let primary = group.members.get(group.primary.as_ref()?)?;
        Some(&primary.entry.data_centre)
    }

    /// Computes the homes of a group unless they are known.
    pub(crate) fn update_group_homes(&mut self, group: &GroupId) {
        if !self.homes_by_group.contains_key(group) {
            let homes = self.compute_group_homes(group);
            self.homes_by_group.insert(group.clone(), homes);
        }
    }

    /// Returns the homes of a group.
    pub(crate) fn group_homes(&self, group: &GroupId) -> Cow<'_, GroupHomes> {
        let known = self.homes_by_group.get(group);
        known.map_or_else(
            || Cow::Owned(self.compute_group_homes(group)),
            Cow::Borrowed,
        )
    }

    fn compute_group_homes(&self, group: &GroupId) -> GroupHomes {
        let limit = self.config.groups.get(group);
        let limit = limit.map_or(1, |rule| rule.max_connections);
        let mut rates: BTreeMap<VmId, u64> = BTreeMap::new();
        for (workspace, rule) in &self.config.rates {
            if let Some(home) = self.homes(workspace, group).into_iter().next() {
                *rates.entry(home).or_default() += u64::from(rule.per_s);
            }
        }
        GroupHomes::new(rates, limit)
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
