//! The size of the simulated system, the names of its parts, and its initial configuration.

use std::collections::BTreeMap;
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
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::RouteId;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;

pub(crate) const VM_COUNT: usize = 4;
pub(crate) const GROUP_COUNT: usize = 2;
pub(crate) const MEMBERS_PER_GROUP: usize = 3;
pub(crate) const MEMBER_COUNT: usize = GROUP_COUNT * MEMBERS_PER_GROUP;
pub(crate) const PLATFORM_NODE: usize = VM_COUNT + MEMBER_COUNT;
pub(crate) const NODE_COUNT: usize = PLATFORM_NODE + 1;
pub(crate) const DATA_CENTRE_COUNT: usize = 3;
pub(crate) const WORKSPACE_COUNT: usize = 3;
/// The maximum number of statements in progress on a member across all VMs.
pub(crate) const SLOTS_PER_MEMBER: usize = 3;
/// The maximum number of connections to a member across all VMs.
pub(crate) const CONNECTIONS_PER_MEMBER: usize = 24;
/// The timeout of a statement on every route.
pub(crate) const STATEMENT_TIMEOUT_MS: u64 = 2_000;
/// The rate, in statements a second, and the burst of each workspace.
pub(crate) const RATE_LIMITS: [(u32, u32); WORKSPACE_COUNT] = [(60, 20), (200, 60), (30, 12)];
/// The clocks of VMs run faster or slower than virtual time by up to this; leases tolerate 1%.
pub(crate) const MAX_CLOCK_DRIFT_PPM: u64 = 4_000;

/// The kind of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RouteKind {
    /// Writes that are not idempotent and must not run twice.
    Write,
    /// Idempotent writes, which may run twice.
    Upsert,
    /// Reads that must see the acknowledged writes of their session.
    Read,
    /// Reads without session consistency that accept data up to a maximum age.
    Aged,
    /// Reads by callers that present no key.
    Open,
}

pub(crate) const ROUTE_KINDS: [RouteKind; 5] = [
    RouteKind::Write,
    RouteKind::Upsert,
    RouteKind::Read,
    RouteKind::Aged,
    RouteKind::Open,
];

impl RouteKind {
    pub(crate) fn is_write(self) -> bool {
        matches!(self, Self::Write | Self::Upsert)
    }
}

pub(crate) fn vm_id(vm: usize) -> VmId {
    VmId::from(format!("vm-{vm}").as_str())
}

pub(crate) fn group_id(group: usize) -> GroupId {
    GroupId::from(format!("g{group}").as_str())
}

/// Returns the name of a member, which is numbered across all groups.
pub(crate) fn member_id(member: usize) -> MemberId {
    MemberId::from(format!("m{member}").as_str())
}

/// Returns the index in a name that `vm_id`, `group_id` or `member_id` has created.
pub(crate) fn index_from_name(name: &str) -> usize {
    let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
    digits.parse().unwrap_or(usize::MAX)
}

pub(crate) fn group_of(member: usize) -> usize {
    member / MEMBERS_PER_GROUP
}

pub(crate) fn members_of(group: usize) -> std::ops::Range<usize> {
    group * MEMBERS_PER_GROUP..(group + 1) * MEMBERS_PER_GROUP
}

pub(crate) fn member_node(member: usize) -> usize {
    VM_COUNT + member
}

pub(crate) fn data_centre_of(index: usize) -> usize {
    index % MEMBERS_PER_GROUP % DATA_CENTRE_COUNT
}

pub(crate) fn data_centre_id(data_centre: usize) -> DataCentreId {
    DataCentreId::from(format!("dc{data_centre}").as_str())
}

pub(crate) fn workspace_id(workspace: usize) -> WorkspaceId {
    WorkspaceId::from(format!("ws{workspace}").as_str())
}

/// Returns the workspace that callers of open routes name; the configuration does not declare it.
pub(crate) fn public_workspace() -> WorkspaceId {
    WorkspaceId::from("public")
}

pub(crate) fn route_id(group: usize, kind: RouteKind) -> RouteId {
    RouteId::from(format!("{kind:?}-{group}").as_str())
}

/// Returns the digest of a workspace's key of a generation; each new key counts one up.
pub(crate) fn key_digest(workspace: usize, generation: u64) -> KeyDigest {
    TenantKey::new(format!("secret key {generation} of ws{workspace}")).digest()
}

pub(crate) fn vm_address(vm: usize) -> SocketAddr {
    (
        [127, 0, 0, 1],
        7_000 + u16::try_from(vm).unwrap_or_default(),
    )
        .into()
}

fn group(number: usize) -> Group {
    let member = |member: usize| Member {
        address: ([127, 0, 0, 1], 5_432).into(),
        data_centre: data_centre_id(data_centre_of(member)),
        availability: MemberAvailability::Active,
    };
    Group {
        members: members_of(number)
            .map(|index| (member_id(index), member(index)))
            .collect(),
        slots: SLOTS_PER_MEMBER as u32,
        connections: CONNECTIONS_PER_MEMBER as u32,
    }
}

fn route(group: usize, kind: RouteKind) -> Route {
    Route {
        group: group_id(group),
        access: if kind.is_write() {
            Access::Write
        } else {
            Access::Read
        },
        idempotent: kind == RouteKind::Upsert,
        max_age_ms: if kind == RouteKind::Aged { 500 } else { 0 },
        open: kind == RouteKind::Open,
        workspaces: Vec::new(),
        timeout_ms: STATEMENT_TIMEOUT_MS as u32,
    }
}

pub(crate) fn initial_config() -> Config {
    let workspace = |index: usize| {
        let (rate_per_s, burst) = RATE_LIMITS[index];
        let keys = vec![key_digest(index, 0)];
        Workspace {
            keys,
            rate_per_s,
            burst,
            weight: 1,
        }
    };
    let kinds = (0..GROUP_COUNT).flat_map(|group| ROUTE_KINDS.map(|kind| (group, kind)));
    Config {
        version: 1,
        workspaces: (0..WORKSPACE_COUNT)
            .map(|index| (workspace_id(index), workspace(index)))
            .collect(),
        routes: kinds
            .map(|(group, kind)| (route_id(group, kind), route(group, kind)))
            .collect(),
        groups: (0..GROUP_COUNT)
            .map(|index| (group_id(index), group(index)))
            .collect(),
        data_centres: (0..DATA_CENTRE_COUNT)
            .map(|index| (data_centre_id(index), DataCentre::default()))
            .collect::<BTreeMap<_, _>>(),
        session_secrets: vec!["000102030405060708090a0b0c0d0e0f".to_owned()],
    }
}
