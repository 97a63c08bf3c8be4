//! Members that have just started and take few statements a second from all VMs together.

mod support;

use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_pool::GroupRule;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::TransactionState;
use lycheedoor_pool::cold_part;
use support::GROUP;
use support::Rig;
use support::catalogue;
use support::group_rule;
use support::member;

/// What a cold member may get in a second beyond its limit: half as much again, and five.
fn bound(limit_per_s: f64) -> f64 {
    limit_per_s * 1.5 + 5.0
}

/// Guards against parts that together exceed the limit when all VMs send at once, also where there
/// are more VMs than the member takes statements.
#[test]
fn parts_of_all_vms_keep_the_limit_in_any_second() {
    for limit in [0.5, 1.0, 2.0, 3.5, 10.0, 20.0, 37.5, 200.0] {
        for vms in 1..120 {
            let parts: Vec<f64> = (0..vms)
                .filter_map(|place| cold_part(limit, vms, place))
                .collect();
            assert!(!parts.is_empty(), "{limit} for {vms}");
            // One that was saved up, and what accrues within the second.
            let most: f64 = parts.iter().map(|part| 1.0 + part).sum();
            assert!(most <= bound(limit), "{limit} for {vms}: {most}");
        }
    }
}

/// Guards against a second that straddles two of a count by the clock, and against a cold member
/// that gets nothing at all.
#[test]
fn cold_replicas_get_their_limit_in_any_second() {
    const LIMIT: f64 = 12.0;
    let mut rules = catalogue(1);
    let rule = GroupRule {
        cold_per_s: Some(LIMIT),
        ..group_rule()
    };
    rules.groups.insert(GROUP.into(), rule);
    let mut rig = Rig::start(&[], rules);
    for id in ["m2", "m3"] {
        let mut entry = member(id, false);
        entry.cold_left = Duration::from_secs(10);
        rig.change(ObjectKind::Members, id, Some(ObjectValue::Member(entry)));
    }
    let mut sent: Vec<MonoTime> = Vec::new();
    for number in 0..400 {
        if number % 20 == 0 {
            rig.sample(1);
        }
        let caller = rig.session("bounded-db");
        rig.query(caller, "READ x");
        rig.accept_links();
        for name in ["m1", "m2", "m3"] {
            while let Some((link, command)) = rig.take_command(name) {
                if name == "m2" && matches!(command, MemberCommand::Forward { .. }) {
                    sent.push(rig.now);
                }
                let is_begin = matches!(command, MemberCommand::Begin { .. });
                let state = match is_begin {
                    true => TransactionState::Open,
                    false => TransactionState::Idle,
                };
                rig.succeed(link, state, 1);
            }
        }
        rig.advance(10);
    }
    assert!(sent.len() >= 10, "{} statements", sent.len());
    for (index, from) in sent.iter().enumerate() {
        let second = Duration::from_secs(1);
        let within = sent[index..]
            .iter()
            .take_while(|at| at.since(*from) < second);
        let count = within.count();
        assert!(count as f64 <= LIMIT, "{count} in a second");
    }
}
