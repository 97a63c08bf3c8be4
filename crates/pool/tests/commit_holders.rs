//! Which members may hold confirmed commits, as far as a VM knows that has just started, and what that
//! means for the promotion of one of them.

mod support;

use std::rc::Rc;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MemberId;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::GroupRule;
use lycheedoor_pool::HolderSet;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberEntry;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::TransactionState;
use lycheedoor_pool::WriteOutcome;
use support::GROUP;
use support::INCARNATION;
use support::PRIMARY;
use support::PoolHarness;
use support::dead_primary::answer_contact_requests;
use support::dead_primary::claims;
use support::dead_primary::grant_claim;
use support::dead_primary::promoted;
use support::member;

const RECORD: &str = "holders.ledger-1";

fn holders(members: &[&str]) -> HolderSet {
    let members = members.iter().map(|name| (MemberId::from(*name), None));
    members.collect()
}

/// Starts a VM whose store has the entries of some members and perhaps a record of a former process.
/// Each commit is confirmed by one replica.
fn start(members: Vec<MemberEntry>, record: Option<HolderSet>) -> PoolHarness {
    let mut harness = PoolHarness::start_unloaded("vm-1");
    let mut rules = support::config(1);
    let rule = GroupRule {
        sync_replicas: 1,
        ..support::group_rule()
    };
    rules.groups.insert(GROUP.into(), rule);
    let rules = ObjectValue::Config(Rc::new(rules));
    harness.load_objects(ObjectKind::Configuration, vec![("main".to_owned(), rules)]);
    let entries = members.into_iter();
    let entries = entries.map(|entry| (entry.id.to_string(), ObjectValue::Member(entry)));
    harness.load_objects(ObjectKind::Members, entries.collect());
    harness.load_objects(ObjectKind::Evacuations, Vec::new());
    let own = FleetRecord::Vm {
        incarnation: INCARNATION,
        address: support::peer_address(),
        accepts_forwarded: true,
        message_version: 2,
        data_centre: None,
    };
    let record = record.map(FleetRecord::CommitHolders);
    let records = [("vm.vm-1", Some(own)), (RECORD, record)];
    let records = records
        .into_iter()
        .filter_map(|(name, record)| Some((name.to_owned(), ObjectValue::Fleet(record?))));
    harness.load_objects(ObjectKind::Fleet, records.collect());
    harness
}

/// A member that answers: its name, whether it is the primary, and the position it has received.
type Running = (&'static str, bool, u64);

/// Lets time pass in which some members run and all others refuse connections. All claims are granted;
/// returns what was written to the record.
fn run(harness: &mut PoolHarness, millis: u64, running: &[Running]) -> Vec<HolderSet> {
    let mut written = Vec::new();
    for _ in 0..millis / 5 {
        harness.advance(5);
        let is_running = |name: &str| running.iter().any(|(member, ..)| *member == name);
        let dead = harness.links.iter();
        let dead = dead.filter(|(_, link)| !is_running(&link.member));
        let dead: Vec<ConnectionId> = dead.map(|(id, _)| *id).collect();
        for link in dead {
            harness.links.remove(&link);
            harness.event(PoolEvent::LinkClosed { link });
        }
        harness.accept_links();
        for (name, is_primary, received) in running {
            while let Some((link, command)) = harness.take_command(name) {
                match command {
                    MemberCommand::Status | MemberCommand::Pause(_) => {
                        harness.report_status(link, *is_primary, *received);
                    }
                    _ => harness.succeed(link, TransactionState::Idle, *received),
                }
            }
        }
        answer_contact_requests(harness, None);
        if claims(harness) > 0 {
            harness.other_actions.retain(|action| {
                !matches!(action, PoolAction::WriteRecord { name, .. } if name.starts_with("group."))
            });
            harness.revision += 1;
            let claim = harness.store_revision();
            grant_claim(harness, claim);
        }
        for action in std::mem::take(&mut harness.other_actions) {
            match action {
                PoolAction::WriteRecord {
                    record: FleetRecord::CommitHolders(members),
                    name,
                    ..
                } => {
                    written.push(members);
                    harness.revision += 1;
                    let outcome = WriteOutcome::Written(harness.store_revision());
                    harness.event(PoolEvent::RecordWritten { name, outcome });
                }
                other => harness.other_actions.push(other),
            }
        }
    }
    written
}

fn promoted_member(harness: &PoolHarness) -> Option<String> {
    promoted(harness).map(|(member, _)| member)
}

fn remove_entry(harness: &mut PoolHarness, name: &str) {
    harness.change_object(ObjectKind::Members, name, None);
}

/// Guards against a process that has started while the primary and the confirming replica were down for
/// longer than their entries last, and promotes the remaining member without their commits.
#[test]
fn restarted_vm_does_not_promote_a_member_that_may_lack_confirmed_commits() {
    let all = holders(&["m1", "m2", "m3"]);
    let mut harness = start(vec![member("m3", false)], Some(all));
    run(&mut harness, 10_000, &[("m3", false, 9)]);
    assert_eq!(promoted(&harness), None);

    let entry = Some(ObjectValue::Member(member("m2", false)));
    harness.change_object(ObjectKind::Members, "m2", entry);
    run(&mut harness, 5_000, &[("m3", false, 9), ("m2", false, 12)]);
    assert_eq!(promoted_member(&harness), Some("m2".to_owned()));
}

/// Guards against a replica that confirms no commit after the primary is back, since it was paused by an
/// attempt that could not succeed.
#[test]
fn replica_is_not_paused_while_too_few_members_run() {
    let all = holders(&["m1", "m2", "m3"]);
    let mut harness = start(vec![member("m3", false)], Some(all));
    let mut attempts = 0;
    for _ in 0..1_000 {
        harness.advance(5);
        harness.accept_links();
        while let Some((link, command)) = harness.take_command("m3") {
            assert!(!matches!(command, MemberCommand::Pause(_)));
            harness.report_status(link, false, 9);
        }
        if claims(&harness) > 0 {
            attempts += 1;
            harness.other_actions.clear();
            harness.revision += 1;
            let claim = harness.store_revision();
            grant_claim(&mut harness, claim);
        }
    }
    assert!(attempts > 0);
}

/// Guards against a process that takes one of two replicas for enough since it has never seen the
/// primary.
#[test]
fn unseen_primary_counts_where_nothing_is_recorded() {
    let replicas = || vec![member("m2", false), member("m3", false)];
    let mut harness = start(replicas(), None);
    run(&mut harness, 10_000, &[("m3", false, 9)]);
    assert_eq!(promoted(&harness), None);

    let mut harness = start(replicas(), None);
    run(&mut harness, 10_000, &[("m3", false, 9), ("m2", false, 12)]);
    assert_eq!(promoted_member(&harness), Some("m2".to_owned()));
}

/// Guards against members that are not recorded before they are needed, and against repeated writes.
#[test]
fn registered_members_are_recorded_once() {
    let all = vec![
        member(PRIMARY, true),
        member("m2", false),
        member("m3", false),
    ];
    let mut harness = start(all, None);
    let running = [("m1", true, 9), ("m2", false, 9), ("m3", false, 9)];
    let written = run(&mut harness, 1_000, &running);
    assert_eq!(written, [holders(&["m1", "m2", "m3"])]);
    let mut leaving = member("m3", false);
    leaving.is_draining = true;
    let address = leaving.address;
    harness.change_object(
        ObjectKind::Members,
        "m3",
        Some(ObjectValue::Member(leaving)),
    );
    let entry = Some(ObjectValue::Member(member("m4", false)));
    harness.change_object(ObjectKind::Members, "m4", entry);
    let mut expected = holders(&["m1", "m2", "m3", "m4"]);
    expected.insert(MemberId::from("m3"), Some(address));
    assert_eq!(run(&mut harness, 10_000, &running), [expected]);
}

/// Guards against a service without a primary because a member that is lost for good counts for ever.
#[test]
fn lost_member_does_not_prevent_a_promotion_once_the_others_hold_its_commits() {
    let all = holders(&["m1", "m2", "m3"]);
    let mut harness = start(vec![member(PRIMARY, true), member("m2", false)], Some(all));
    let written = run(&mut harness, 5_000, &[("m1", true, 20), ("m2", false, 20)]);
    assert_eq!(written, [holders(&["m1", "m2"])]);
    harness.sample_primary_position(20);
    let caller = harness.open_session("primary-db");
    harness.query(caller, "WRITE x 1");
    run(&mut harness, 5_000, &[("m2", false, 20)]);
    assert_eq!(promoted_member(&harness), Some("m2".to_owned()));
}

/// Guards against dropping a member by positions from before a suspension, in which it may have been back
/// and have confirmed commits.
#[test]
fn positions_from_before_a_suspension_do_not_count() {
    let all = holders(&["m1", "m2", "m3"]);
    let mut harness = start(vec![member(PRIMARY, true), member("m2", false)], Some(all));
    // The replica follows too late for its position to count before the suspension.
    assert!(run(&mut harness, 4_000, &[("m1", true, 20), ("m2", false, 10)]).is_empty());
    harness.suspend(10_000);
    assert!(run(&mut harness, 2_000, &[("m1", true, 30), ("m2", false, 25)]).is_empty());
    let written = run(&mut harness, 4_000, &[("m1", true, 30), ("m2", false, 30)]);
    assert_eq!(written, [holders(&["m1", "m2"])]);
}

/// Guards against dropping a member that has confirmed commits which the other replica lacks.
#[test]
fn lost_member_counts_while_the_others_may_lack_its_commits() {
    let all = holders(&["m1", "m2", "m3"]);
    let mut harness = start(vec![member(PRIMARY, true), member("m2", false)], Some(all));
    let written = run(&mut harness, 10_000, &[("m1", true, 20), ("m2", false, 10)]);
    assert_eq!(written, [] as [HolderSet; 0]);
    remove_entry(&mut harness, PRIMARY);
    run(&mut harness, 10_000, &[("m2", false, 10)]);
    assert_eq!(promoted(&harness), None);
}

/// Guards against a service without a primary although the log of a member that has left is with the
/// next one at its address, and against taking any new member for such a one.
#[test]
fn member_at_the_address_of_one_that_has_left_stands_for_it() {
    let successor = || MemberEntry {
        address: member("m3", false).address,
        ..member("m4", false)
    };
    for has_left in [true, false] {
        let mut recorded = holders(&["m1", "m2", "m3"]);
        if has_left {
            recorded.insert(MemberId::from("m3"), Some(successor().address));
        }
        let mut harness = start(vec![member("m2", false), successor()], Some(recorded));
        run(&mut harness, 10_000, &[("m2", false, 9), ("m4", false, 12)]);
        let expected = has_left.then(|| "m4".to_owned());
        assert_eq!(promoted_member(&harness), expected);
    }
}

/// Guards against forgetting the recorded members when the store comes back from a copy without the
/// record, or with an older one.
#[test]
fn recorded_members_outlast_a_restore_of_the_store() {
    for copied in [None, Some(holders(&["m3"]))] {
        let all = holders(&["m1", "m2", "m3"]);
        let mut harness = start(vec![member("m3", false)], Some(all.clone()));
        harness.restore_store(5);
        let entry = ObjectValue::Member(member("m3", false));
        harness.load_objects(ObjectKind::Members, vec![("m3".to_owned(), entry)]);
        let copied = copied.map(FleetRecord::CommitHolders);
        let records = copied.map(|record| (RECORD.to_owned(), ObjectValue::Fleet(record)));
        harness.load_objects(ObjectKind::Fleet, records.into_iter().collect());
        let written = run(&mut harness, 10_000, &[("m3", false, 9)]);
        assert_eq!(written, [all]);
        assert_eq!(promoted(&harness), None);
    }
}
