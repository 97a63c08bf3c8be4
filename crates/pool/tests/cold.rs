//! Members that have just started and take few statements a second from all VMs together.

mod support;

use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_pool::GroupRule;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::TransactionState;
use lycheedoor_pool::cold_share;
use support::GROUP;
use support::PoolHarness;
use support::config;
use support::group_rule;
use support::member;

/// Returns how many statements a cold member may get within a second: half as many again as its
/// limit, and five.
fn max_in_a_second(limit_per_s: f64) -> f64 {
    limit_per_s * 1.5 + 5.0
}

/// Guards against shares that together exceed the limit when all VMs send at once, also when there
/// are more VMs than statements in the limit.
#[test]
fn shares_of_all_vms_stay_within_the_limit_in_any_second() {
    for limit in [0.5, 1.0, 2.0, 3.5, 10.0, 20.0, 37.5, 200.0] {
        for vms in 1..120 {
            let shares: Vec<f64> = (0..vms)
                .filter_map(|rank| cold_share(limit, vms, rank))
                .collect();
            assert!(
                !shares.is_empty(),
                "no VM may send: limit {limit}, {vms} VMs"
            );
            // The statement that was saved up, and those that accrue within the second.
            let total: f64 = shares.iter().map(|share| 1.0 + share).sum();
            assert!(
                total <= max_in_a_second(limit),
                "{total} statements a second: limit {limit}, {vms} VMs"
            );
        }
    }
}

/// Guards against limits counted per clock second, which allow twice the limit across the boundary
/// of two seconds, and against a cold member that gets no statement at all.
#[test]
fn cold_replicas_stay_within_their_limit_in_any_second() {
    const LIMIT: f64 = 12.0;
    let mut rules = config(1);
    let rule = GroupRule {
        cold_per_s: Some(LIMIT),
        ..group_rule()
    };
    rules.groups.insert(GROUP.into(), rule);
    let mut harness = PoolHarness::start(&[], rules);
    for id in ["m2", "m3"] {
        let mut entry = member(id, false);
        entry.cold_left = Duration::from_secs(10);
        harness.change_object(ObjectKind::Members, id, Some(ObjectValue::Member(entry)));
    }
    let mut sent: Vec<MonoTime> = Vec::new();
    for number in 0..400 {
        if number % 20 == 0 {
            harness.sample_primary_position(1);
        }
        let caller = harness.open_session("bounded-db");
        harness.query(caller, "READ x");
        harness.accept_links();
        for name in ["m1", "m2", "m3"] {
            while let Some((link, command)) = harness.take_command(name) {
                if name == "m2" && matches!(command, MemberCommand::Forward { .. }) {
                    sent.push(harness.now);
                }
                let is_begin = matches!(command, MemberCommand::Begin { .. });
                let state = match is_begin {
                    true => TransactionState::Open,
                    false => TransactionState::Idle,
                };
                harness.succeed(link, state, 1);
            }
        }
        harness.advance(10);
    }
    assert!(sent.len() >= 10, "only {} statements were sent", sent.len());
    for (index, from) in sent.iter().enumerate() {
        let second = Duration::from_secs(1);
        let within = sent[index..]
            .iter()
            .take_while(|at| at.since(*from) < second);
        let count = within.count();
        assert!(count as f64 <= LIMIT, "{count} statements in a second");
    }
}
