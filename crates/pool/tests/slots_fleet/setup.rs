//! The configuration, the members and the roster of the fleet.

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
use lycheedoor_pool::PoolMessage;
use lycheedoor_pool::PoolSettings;
use lycheedoor_pool::RateRule;
use lycheedoor_pool::RouteRule;

pub(crate) const GROUP: &str = "ledger";
pub(crate) const SLOTS: u32 = 6;
pub(super) const WORKSPACES: u32 = 24;

/// The latency target of both routes.
pub(crate) const TARGET_LATENCY: Duration = Duration::from_millis(400);

pub(super) fn vm_id(vm: usize) -> VmId {
    VmId::from(format!("vm-{vm}").as_str())
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap()))
}

pub(super) fn settings(vm: usize) -> PoolSettings {
    PoolSettings {
        vm: vm_id(vm),
        incarnation: Incarnation(7),
        data_centre: DataCentreId::from("north"),
        peer_address: address(7_000 + vm),
        stop_grace: Duration::from_secs(6),
        key_ttl: None,
        rate_slack: 1_000,
        usage: None,
    }
}

pub(super) fn config(is_adaptive: bool) -> (String, ObjectValue) {
    let route = |consistency| {
        Rc::new(RouteRule {
            group: GroupId::from(GROUP),
            consistency,
            max_staleness: Duration::from_millis(1_500),
            statement_timeout: Duration::from_secs(2),
            target_latency: TARGET_LATENCY,
            priority: 1,
            is_public: false,
        })
    };
    let routes = [
        ("primary-db".to_owned(), route(Consistency::Primary)),
        ("bounded-db".to_owned(), route(Consistency::Bounded)),
    ];
    let rule = GroupRule {
        max_connections: 82,
        sync_replicas: 0,
        cold_per_s: None,
        is_adaptive,
    };
    let rate = RateRule {
        per_s: 60,
        burst: 1_000,
    };
    let workspace = |number: u32| WorkspaceId::from(format!("workspace-{number}").as_str());
    let config = PoolConfig {
        version: 1,
        routes: routes.into(),
        groups: [(GroupId::from(GROUP), rule)].into(),
        rates: (0..WORKSPACES)
            .map(|number| (workspace(number), rate))
            .collect(),
        keys: (0..WORKSPACES)
            .map(|number| (format!("key-{number}"), workspace(number)))
            .collect(),
        transaction_idle_limit: None,
    };
    ("main".to_owned(), ObjectValue::Config(Rc::new(config)))
}

pub(super) fn entry(name: &str, started_unix_ms: u64) -> (String, ObjectValue) {
    let number: usize = name[1..].parse().unwrap();
    let entry = MemberEntry {
        id: MemberId::from(name),
        group: GroupId::from(GROUP),
        address: address(9_000 + number),
        data_centre: DataCentreId::from("north"),
        slots: SLOTS,
        is_draining: false,
        claims_primary: number == 1,
        cold_left: Duration::ZERO,
        started_unix_ms,
    };
    (name.to_owned(), ObjectValue::Member(entry))
}

pub(super) fn record(vm: usize) -> (String, ObjectValue) {
    let record = FleetRecord::Vm {
        incarnation: Incarnation(7),
        address: address(7_000 + vm),
        accepts_forwarded: true,
        message_version: 1,
        data_centre: Some(DataCentreId::from("north")),
    };
    (format!("vm.{}", vm_id(vm)), ObjectValue::Fleet(record))
}

/// Returns whether a message states how a member answers.
pub(super) fn is_verdict(message: &PoolMessage) -> bool {
    matches!(message, PoolMessage::MemberVerdict { .. })
}
