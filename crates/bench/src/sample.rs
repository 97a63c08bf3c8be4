//! Sample configurations and fences of a given size.

use std::net::SocketAddr;

use lycheedoor_core::config::Access;
use lycheedoor_core::config::Config;
use lycheedoor_core::config::DataCentre;
use lycheedoor_core::config::Group;
use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::config::Member;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::config::Route;
use lycheedoor_core::config::TenantKey;
use lycheedoor_core::config::Workspace;
use lycheedoor_core::membership::Fence;
use lycheedoor_core::membership::GroupState;
use lycheedoor_core::membership::RosterMember;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::RouteId;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;

const DATA_CENTRE_COUNT: usize = 3;
const MEMBERS_PER_GROUP: usize = 3;

/// The size of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The number of database groups, of three members each.
    pub groups: usize,
    /// The number of routes, which are distributed over the groups.
    pub routes: usize,
    /// The number of workspaces, with one key each.
    pub workspaces: usize,
    /// The rate limit of each workspace, in statements a second.
    pub rate_per_s: u32,
    /// The maximum number of statements in progress on each member.
    pub slots: u32,
}

impl Size {
    /// Returns a size with the rate and slots of a present site, one route for each group, and the
    /// given numbers of groups and workspaces.
    pub const fn new(groups: usize, workspaces: usize) -> Self {
        Self {
            groups,
            routes: groups,
            workspaces,
            rate_per_s: 80,
            slots: 64,
        }
    }
}

/// Returns the name of the group with this index.
pub fn group_id(index: usize) -> GroupId {
    GroupId::from(format!("group-{index:04}").as_str())
}

/// Returns the name of a member, by the indexes of its group and of the member within it.
pub fn member_id(group: usize, index: usize) -> MemberId {
    MemberId::from(format!("group-{group:04}-{index}").as_str())
}

/// Returns the name of the route with this index.
pub fn route_id(index: usize) -> RouteId {
    RouteId::from(format!("route-{index:04}").as_str())
}

/// Returns the name of the workspace with this index.
pub fn workspace_id(index: usize) -> WorkspaceId {
    WorkspaceId::from(format!("workspace-{index:04}").as_str())
}

/// Returns the name of the VM with this index.
pub fn vm_id(index: usize) -> VmId {
    VmId::from(format!("vm-{index:04}").as_str())
}

/// Returns the name of a data centre; three of them are used in turn.
pub fn data_centre_id(index: usize) -> DataCentreId {
    DataCentreId::from(format!("dc-{}", index % DATA_CENTRE_COUNT).as_str())
}

/// Returns a distinct address for the VM or member with this index.
pub fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).unwrap_or(u32::MAX).to_be_bytes();
    ([10, 0, high, low], 7_000).into()
}

/// Returns the digest of the key of the workspace with this index.
pub fn key(index: usize) -> KeyDigest {
    TenantKey::new(format!("key-{index:04}")).digest()
}

fn group(index: usize, size: &Size) -> Group {
    let member = |place: usize| Member {
        address: address(index * MEMBERS_PER_GROUP + place),
        data_centre: data_centre_id(place),
        availability: MemberAvailability::Active,
    };
    Group {
        members: (0..MEMBERS_PER_GROUP)
            .map(|place| (member_id(index, place), member(place)))
            .collect(),
        slots: size.slots,
        connections: 256,
    }
}

/// Returns a configuration of a version and size.
pub fn config(version: u64, size: &Size) -> Config {
    let workspace = |index| Workspace {
        keys: vec![key(index)],
        rate_per_s: size.rate_per_s,
        burst: size.rate_per_s.max(8),
        weight: 1,
    };
    let route = |index: usize| Route {
        group: group_id(index % size.groups.max(1)),
        access: Access::Read,
        idempotent: false,
        max_age_ms: 0,
        open: false,
        workspaces: Vec::new(),
        timeout_ms: 5_000,
    };
    Config {
        version,
        workspaces: (0..size.workspaces)
            .map(|index| (workspace_id(index), workspace(index)))
            .collect(),
        routes: (0..size.routes)
            .map(|index| (route_id(index), route(index)))
            .collect(),
        groups: (0..size.groups)
            .map(|index| (group_id(index), group(index, size)))
            .collect(),
        data_centres: (0..DATA_CENTRE_COUNT)
            .map(|index| (data_centre_id(index), DataCentre::default()))
            .collect(),
        session_secrets: vec!["0f".repeat(32)],
    }
}

/// Returns the roster entry of the VM with this index, without slots.
pub fn roster_member(index: usize) -> RosterMember {
    RosterMember {
        vm: vm_id(index),
        incarnation: Incarnation(1),
        address: address(index),
        data_centre: data_centre_id(index),
        slots: Vec::new(),
    }
}

/// Returns a fence whose roster lists these VMs, and whose groups are in term 1 with their first
/// member as primary.
pub fn fence(
    vms: impl Iterator<Item = usize>,
    slot_count: u16,
    groups: impl Iterator<Item = usize>,
) -> Fence {
    let mut fence = Fence {
        version: 1,
        ..Fence::default()
    };
    fence.roster.slot_count = slot_count;
    fence.roster.members = vms.map(roster_member).collect();
    let state = |group| GroupState {
        term: Term(1),
        primary: member_id(group, 0),
    };
    fence.groups = groups
        .map(|group| (group_id(group), state(group)))
        .collect();
    fence
}
