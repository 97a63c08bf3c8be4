//! The configuration, the members and the roster of a fleet under test.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_pool::Consistency;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::GroupRule;
use lycheedoor_pool::MemberEntry;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolConfig;
use lycheedoor_pool::PoolSettings;
use lycheedoor_pool::RateRule;
use lycheedoor_pool::RouteRule;

use super::FleetSize;

/// The rate limit of each workspace, in percent of its mean load.
const RATE_PERCENT: u32 = 160;

/// A rate limit below which random gaps between operations matter.
const MIN_RATE_PER_S: u32 = 4;

/// The incarnation of the first process of each VM.
pub(super) const FIRST_INCARNATION: Incarnation = Incarnation(7);

pub(super) fn vm_id(vm: u32) -> VmId {
    VmId::from(format!("vm-{vm}").as_str())
}

fn address(vm: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(vm).unwrap()))
}

fn data_centre(number: u32) -> DataCentreId {
    DataCentreId::from(format!("dc-{}", number % 3).as_str())
}

pub(super) fn settings(vm: u32, incarnation: Incarnation) -> PoolSettings {
    PoolSettings {
        vm: vm_id(vm),
        incarnation,
        data_centre: data_centre(vm),
        peer_address: address(vm),
        stop_grace: Duration::from_secs(6),
        key_ttl: None,
        rate_slack: 0,
        usage: None,
    }
}

pub(super) fn config(size: FleetSize) -> PoolConfig {
    let group_id = |group: u32| GroupId::from(format!("group-{group}").as_str());
    let workspace_id =
        |workspace: u32| WorkspaceId::from(format!("workspace-{workspace}").as_str());
    let routes = (0..size.groups).map(|group| {
        let route = RouteRule {
            group: group_id(group),
            consistency: Consistency::Session,
            max_staleness: Duration::from_millis(2_500),
            statement_timeout: Duration::from_secs(3),
            target_latency: Duration::from_millis(400),
            priority: 1,
            is_public: false,
        };
        (format!("db-{group}"), Rc::new(route))
    });
    let group_rule = GroupRule {
        max_connections: size.max_connections,
        sync_replicas: 0,
        cold_per_s: None,
        is_adaptive: false,
    };
    let rate = |workspace: u32| {
        let load = size.operations_per_vm * size.vms * RATE_PERCENT / 100;
        let part = load * size.weight(workspace) / size.total_weight();
        RateRule {
            per_s: part.max(MIN_RATE_PER_S),
            burst: part.max(MIN_RATE_PER_S),
        }
    };
    PoolConfig {
        version: 1,
        routes: routes.collect(),
        groups: (0..size.groups)
            .map(|group| (group_id(group), group_rule.clone()))
            .collect(),
        rates: (0..size.workspaces)
            .map(|workspace| (workspace_id(workspace), rate(workspace)))
            .collect(),
        keys: (0..size.workspaces)
            .map(|workspace| (format!("key-{workspace}"), workspace_id(workspace)))
            .collect(),
        transaction_idle_limit: None,
    }
}

pub(super) fn member_entries(size: FleetSize) -> Vec<(String, ObjectValue)> {
    let numbers = (0..size.groups).flat_map(|group| (0..3).map(move |member| (group, member)));
    let entries = numbers.map(|(group, member)| {
        let id = format!("m-{group}-{member}");
        let port = 9_000 + u16::try_from(group * 3 + member).unwrap();
        let entry = MemberEntry {
            id: MemberId::from(id.as_str()),
            group: GroupId::from(format!("group-{group}").as_str()),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: data_centre(member),
            slots: 5,
            is_draining: false,
            claims_primary: member == 0,
            cold_left: Duration::ZERO,
            started_unix_ms: 1,
        };
        (id, ObjectValue::Member(entry))
    });
    entries.collect()
}

pub(super) fn records(size: FleetSize) -> Vec<(String, ObjectValue)> {
    (0..size.vms)
        .map(|vm| record(vm, FIRST_INCARNATION))
        .collect()
}

/// Returns the name and the record of a VM.
pub(super) fn record(vm: u32, incarnation: Incarnation) -> (String, ObjectValue) {
    let record = FleetRecord::Vm {
        incarnation,
        address: address(vm),
        accepts_forwarded: true,
        message_version: 1,
        data_centre: Some(data_centre(vm)),
    };
    (format!("vm.{}", vm_id(vm)), ObjectValue::Fleet(record))
}
