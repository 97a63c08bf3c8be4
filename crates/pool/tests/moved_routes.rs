//! Routes that move to another group while two VMs have different configurations.

mod support;

use std::rc::Rc;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Position;
use lycheedoor_pool::CallerError;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberEntry;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolConfig;
use lycheedoor_pool::Report;
use lycheedoor_pool::TransactionState;
use support::PRIMARY;
use support::PoolHarness;
use support::config;
use support::group_rule;
use support::member;
use support::pair::HOME;
use support::pair::Pair;
use support::position;

const NEW_GROUP: &str = "ledger-2";
const NEW_PRIMARY: &str = "m7";

/// Returns a configuration with both groups, in which the session route leads to the new one or not.
fn moved_config(version: u64, is_moved: bool) -> PoolConfig {
    let mut config = config(version);
    let group = GroupId::from(NEW_GROUP);
    config.groups.insert(group.clone(), group_rule());
    if is_moved && let Some(route) = config.routes.get_mut("session-db") {
        Rc::make_mut(route).group = group;
    }
    config
}

fn add_members(harness: &mut PoolHarness) {
    for (id, is_primary) in [(NEW_PRIMARY, true), ("m8", false)] {
        let entry = MemberEntry {
            group: GroupId::from(NEW_GROUP),
            ..member(id, is_primary)
        };
        let entry = Some(ObjectValue::Member(entry));
        harness.change_object(ObjectKind::Members, id, entry);
    }
}

fn configure(harness: &mut PoolHarness, config: PoolConfig) {
    let config = Some(ObjectValue::Config(Rc::new(config)));
    harness.change_object(ObjectKind::Configuration, "main", config);
}

/// Two VMs that know the members of both groups and have the configuration before the move.
fn pair() -> Pair {
    let mut pair = Pair::with_config(moved_config(1, false));
    add_members(&mut pair.entry);
    add_members(&mut pair.home);
    pair
}

fn required_positions(harness: &PoolHarness) -> Vec<Position> {
    let sent = harness.links.values().flat_map(|link| &link.sent);
    let required = sent.filter_map(|command| match command {
        MemberCommand::Forward {
            required_position, ..
        } => *required_position,
        _ => None,
    });
    required.collect()
}

fn used_members(harness: &PoolHarness) -> Vec<&str> {
    let used = harness.links.values();
    let used = used.filter(|link| !link.sent.is_empty());
    used.map(|link| link.member.as_str()).collect()
}

fn write(harness: &mut PoolHarness, caller: CallerId, number: u64) {
    harness.query(caller, "WRITE x 1");
    harness.answer_all_commands(number);
    let reply = harness.last_reply(caller);
    assert!(matches!(reply, Some(CallerReply::Done { .. })), "{reply:?}");
}

/// Runs a write that the home does not run on the VM of its caller.
fn write_without_home(pair: &mut Pair, number: u64) -> CallerId {
    let caller = pair.entry.open_session("session-db");
    pair.entry.query(caller, "WRITE x 1");
    pair.deliver();
    assert!(pair.home.links.is_empty() || used_members(&pair.home).is_empty());
    pair.entry.accept_links();
    assert_eq!(used_members(&pair.entry), [PRIMARY]);
    pair.entry.answer_all_commands(number);
    assert!(pair.is_done(caller));
    caller
}

/// Guards against a session whose write runs in the group of its home's configuration and is recorded
/// under the one of its own VM's: later reads in the new group do not require it.
#[test]
fn statement_runs_in_the_group_of_its_own_vms_configuration() {
    let mut pair = pair();
    configure(&mut pair.home, moved_config(2, true));
    // A sample of the position that later reads of other sessions require.
    write_without_home(&mut pair, 5);
    let caller = write_without_home(&mut pair, 9);
    pair.entry.query(caller, "READ x");
    pair.deliver();
    pair.entry.accept_links();
    assert_eq!(required_positions(&pair.entry), [position(9)]);
}

/// Guards against reads of a session that do not require its write in the new group, after its VM has
/// learned of the move.
#[test]
fn write_after_the_move_is_required_by_reads_in_the_new_group() {
    let mut pair = pair();
    configure(&mut pair.home, moved_config(2, true));
    let caller = pair.entry.open_session("session-db");
    pair.entry.query(caller, "WRITE x 1");
    pair.deliver();
    pair.entry.answer_all_commands(100);
    configure(&mut pair.entry, moved_config(2, true));
    pair.entry.advance(2_500);
    pair.home.advance(2_500);
    let other = pair.entry.open_session("session-db");
    pair.run(other, "WRITE x 1", 5);
    pair.run(caller, "WRITE x 2", 9);
    assert!(pair.is_done(caller));
    pair.entry.query(caller, "READ x");
    pair.deliver();
    pair.home.accept_links();
    assert_eq!(required_positions(&pair.home), [position(9)]);
}

/// Guards against a home that is not used for other routes any more because of one that has moved.
#[test]
fn home_with_a_newer_configuration_runs_statements_of_other_routes() {
    let mut pair = pair();
    configure(&mut pair.home, moved_config(2, true));
    let moved = pair.entry.open_session("session-db");
    pair.entry.query(moved, "WRITE x 1");
    pair.deliver();
    let is_failure = |action: &PoolAction| {
        let PoolAction::Report(report) = action else {
            return false;
        };
        matches!(report, Report::PeerUnavailable { .. })
    };
    assert!(!pair.entry.other_actions.iter().any(is_failure));
    let other = pair.entry.open_session("primary-db");
    pair.entry.query(other, "WRITE y 1");
    pair.deliver();
    pair.home.accept_links();
    assert_eq!(used_members(&pair.home), [PRIMARY]);
}

/// Guards against a transaction that changes its group, or whose commit is recorded under another one,
/// when the route moves at its home.
#[test]
fn transaction_stays_in_its_group_when_the_route_moves_at_the_home() {
    let mut pair = pair();
    let caller = pair.entry.open_session("session-db");
    pair.run(caller, "BEGIN", 1);
    configure(&mut pair.home, moved_config(2, true));
    pair.entry.query(caller, "WRITE x 1");
    pair.deliver();
    pair.home.accept_links();
    assert_eq!(used_members(&pair.home), [PRIMARY]);
    while let Some((link, _)) = pair.home.take_command(PRIMARY) {
        pair.home.succeed(link, TransactionState::Open, 1);
    }
    pair.deliver();
    pair.run(caller, "COMMIT", 9);
    assert!(pair.is_done(caller));
    write_without_home(&mut pair, 5);
    pair.entry.query(caller, "READ x");
    pair.deliver();
    pair.entry.accept_links();
    assert_eq!(required_positions(&pair.entry), [position(9)]);
}

/// Guards against a transaction whose `BEGIN` the home accepts for a group that the statements of its
/// own VM do not use.
#[test]
fn transaction_begins_in_the_group_of_its_own_vms_configuration() {
    let mut pair = pair();
    configure(&mut pair.home, moved_config(2, true));
    let caller = pair.entry.open_session("session-db");
    pair.entry.query(caller, "BEGIN");
    pair.deliver();
    pair.entry.query(caller, "WRITE x 1");
    pair.deliver();
    assert!(pair.home.links.is_empty());
    pair.entry.accept_links();
    assert_eq!(used_members(&pair.entry), [PRIMARY]);
}

/// Guards against positions of two groups that are compared: that of the former group would keep the
/// session's reads from all replicas of the new one.
#[test]
fn commit_in_the_former_group_is_not_required_in_the_new_one() {
    let mut harness = PoolHarness::start_as(HOME, &[], moved_config(1, false));
    harness.advance(1_000);
    add_members(&mut harness);
    let caller = harness.open_session("session-db");
    write(&mut harness, caller, 5_000);
    configure(&mut harness, moved_config(2, true));
    write(&mut harness, caller, 9);
    harness.query(caller, "READ x");
    harness.accept_links();
    assert_eq!(required_positions(&harness), [position(9)]);
}

/// Guards against a key that a newer configuration has withdrawn and that is served by an older one:
/// the home knows that it has been.
#[test]
fn workspace_that_the_home_knows_to_be_removed_is_refused() {
    let mut pair = pair();
    let mut newer = moved_config(2, false);
    newer.rates.clear();
    newer.keys.clear();
    configure(&mut pair.home, newer);
    let caller = pair.entry.open_session("session-db");
    pair.entry.query(caller, "WRITE x 1");
    pair.deliver();
    assert!(pair.home.links.is_empty() && pair.entry.links.is_empty());
    assert_eq!(pair.error(caller), Some(CallerError::UnknownKey));
}
