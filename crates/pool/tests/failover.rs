//! Replacement of a primary: which VM starts it, on what evidence, and which member the VM takes
//! for the primary in the meantime.

mod support;

use std::rc::Rc;
use std::time::Duration;

use lycheedoor_core::types::GroupId;
use lycheedoor_pool::GroupRule;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PromotionOutcome;
use lycheedoor_pool::Report;
use lycheedoor_pool::TransactionState;
use lycheedoor_pool::WriteOutcome;
use support::GROUP;
use support::PRIMARY;
use support::PoolHarness;
use support::dead_primary::PEERS;
use support::dead_primary::advance_with_dead;
use support::dead_primary::advance_with_dead_primary;
use support::dead_primary::answer_contact_requests;
use support::dead_primary::claims;
use support::dead_primary::grant_claim;
use support::dead_primary::grant_writes;
use support::dead_primary::kill_primary;
use support::dead_primary::latest_claim;
use support::dead_primary::promoted;
use support::dead_primary::run_to_claim;
use support::member;

/// Guards against losing commits that only one of the replicas has received.
#[test]
fn dead_primary_is_replaced_by_the_replica_that_received_most() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    kill_primary(&mut harness);
    assert!(run_to_claim(&mut harness, 2_000, None));
    grant_claim(&mut harness, 900);
    advance_with_dead_primary(&mut harness, 400);
    assert_eq!(promoted(&harness), Some(("m3".to_owned(), 900)));
}

/// Returns a harness for a group in which one replica has to confirm each commit.
fn harness_with_confirming_replica() -> PoolHarness {
    let mut rules = support::config(1);
    let rule = GroupRule {
        sync_replicas: 1,
        ..support::group_rule()
    };
    rules.groups.insert(GROUP.into(), rule);
    PoolHarness::start(&PEERS, rules)
}

/// Guards against the promotion of a replica that lacks confirmed commits because it is the only
/// one that answers: the other replica, which may have confirmed them, is down as well.
#[test]
fn replica_that_may_lack_confirmed_commits_is_not_promoted() {
    let mut harness = harness_with_confirming_replica();
    kill_primary(&mut harness);
    let dead = [PRIMARY, "m3"];
    // A read detects that the other replica is down.
    harness.sample_primary_position(1);
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    assert!(run_to_claim(&mut harness, 2_000, None));
    grant_writes(&mut harness);
    advance_with_dead(&mut harness, 1_000, &dead);
    harness.change_object(ObjectKind::Members, "m3", None);
    advance_with_dead(&mut harness, 4_000, &dead);
    assert_eq!(promoted(&harness), None);

    harness.change_object(
        ObjectKind::Members,
        "m3",
        Some(ObjectValue::Member(member("m3", false))),
    );
    harness.revision = 900;
    for _ in 0..400 {
        advance_with_dead_primary(&mut harness, 5);
        answer_contact_requests(&mut harness, None);
        grant_writes(&mut harness);
    }
    // The claim, then the record of the promotion.
    assert_eq!(promoted(&harness), Some(("m3".to_owned(), 902)));
}

/// Guards against a group with confirming replicas whose primary is not replaced although all
/// replicas answer.
#[test]
fn primary_with_confirming_replicas_is_replaced() {
    let mut harness = harness_with_confirming_replica();
    kill_primary(&mut harness);
    assert!(run_to_claim(&mut harness, 2_000, None));
    harness.revision = 899;
    grant_writes(&mut harness);
    advance_with_dead_primary(&mut harness, 400);
    assert_eq!(promoted(&harness), None);
    grant_writes(&mut harness);
    assert_eq!(promoted(&harness), Some(("m3".to_owned(), 901)));
}

/// Guards against a promotion by a VM that is the only one cut off from a healthy primary.
#[test]
fn primary_that_another_vm_reaches_is_not_replaced() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    kill_primary(&mut harness);
    assert!(!run_to_claim(&mut harness, 4_000, Some(0)));
}

/// Guards against a promotion by a VM that reaches neither the primary nor the other VMs.
#[test]
fn vm_without_a_majority_does_not_claim() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    kill_primary(&mut harness);
    advance_with_dead_primary(&mut harness, 4_000);
    assert_eq!(claims(&harness), 0);
}

/// Guards against an attempt whose claim cannot be written and which keeps the VMs ranked after
/// this one waiting.
#[test]
fn vm_without_the_store_does_not_claim() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    harness.event(PoolEvent::ObjectsRead {
        kind: ObjectKind::Fleet,
        answer: ObjectAnswer::Unavailable,
    });
    kill_primary(&mut harness);
    assert!(!run_to_claim(&mut harness, 2_000, None));
}

/// Guards against falling back to the failed primary while the promoted member is not yet the
/// primary.
#[test]
fn promoted_member_stays_the_known_primary_while_it_refuses_writes() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    kill_primary(&mut harness);
    assert!(run_to_claim(&mut harness, 2_000, None));
    grant_claim(&mut harness, 900);
    advance_with_dead_primary(&mut harness, 400);
    harness.event(PoolEvent::PromotionAnswered {
        group: GroupId::from(GROUP),
        token: 900,
        outcome: PromotionOutcome::Accepted,
    });
    let caller = harness.open_session("primary-db");
    harness.query(caller, "WRITE x 2");
    harness.accept_links();
    let mut refused = 0;
    for _ in 0..60 {
        harness.advance(5);
        harness.accept_links();
        assert_eq!(
            harness.take_command(PRIMARY),
            None,
            "statement for the dead primary"
        );
        while let Some((link, _)) = harness.take_command("m3") {
            refused += 1;
            harness.refuse(link, MemberFault::ReadOnly, TransactionState::Idle);
        }
    }
    assert!(refused > 0, "nothing was tried at the promoted member");
    let names_dead_primary = |action: &PoolAction| {
        matches!(action, PoolAction::Report(Report::PrimaryChanged { member, .. })
            if member.as_ref().is_none_or(|member| member.as_str() == PRIMARY))
    };
    assert!(!harness.other_actions.iter().any(names_dead_primary));
}

/// Guards against losing the last commits of a draining primary: it steps down first, and only a
/// replica that has received them is promoted.
#[test]
fn draining_primary_steps_down_before_promotion() {
    let mut harness = PoolHarness::new();
    harness.sample_primary_position(20);
    let mut leaving = member(PRIMARY, true);
    leaving.is_draining = true;
    harness.change_object(
        ObjectKind::Members,
        PRIMARY,
        Some(ObjectValue::Member(leaving)),
    );
    harness.advance(300);
    assert_eq!(claims(&harness), 1);
    grant_claim(&mut harness, 900);
    let mut has_stepped_down = false;
    for step in 0..60 {
        harness.advance(5);
        harness.accept_links();
        // The replicas receive the last commit late.
        let received = if step < 20 { 19 } else { 20 };
        for name in [PRIMARY, "m2", "m3"] {
            while let Some((link, command)) = harness.take_command(name) {
                match command {
                    MemberCommand::StepDown(_) => {
                        has_stepped_down = true;
                        harness.report_status(link, false, 20);
                    }
                    MemberCommand::Status | MemberCommand::Pause(_) => {
                        harness.report_status(link, false, received);
                    }
                    _ => harness.succeed(link, TransactionState::Idle, received),
                }
            }
        }
        assert!(
            step >= 20 || promoted(&harness).is_none(),
            "promoted without the last commit"
        );
    }
    assert!(has_stepped_down);
    assert!(promoted(&harness).is_some());
}

/// Guards against a replacement by a VM that was suspended and finds all answers overdue when it
/// resumes.
#[test]
fn vm_that_was_suspended_suspects_no_member() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    let caller = harness.open_session("primary-db");
    harness.query(caller, "READ x");
    harness.accept_links();
    harness.now += Duration::from_secs(5);
    harness.event(PoolEvent::DeadlineReached);
    harness.other_actions.clear();
    harness.advance(100);
    assert!(!answer_contact_requests(&mut harness, None));
    assert_eq!(claims(&harness), 0);
}

/// Guards against a VM that has not read the records of the fleet and takes itself for the majority, or
/// for the only one that may claim the group.
#[test]
fn vm_that_does_not_know_the_fleet_does_not_claim() {
    let mut harness = PoolHarness::start_unloaded("vm-1");
    let config = ObjectValue::Config(Rc::new(support::config(1)));
    harness.load_objects(ObjectKind::Configuration, vec![("main".to_owned(), config)]);
    let replicas = ["m2", "m3"].map(|name| (name.to_owned(), member(name, false)));
    let replicas = replicas.map(|(name, entry)| (name, ObjectValue::Member(entry)));
    harness.load_objects(ObjectKind::Members, replicas.into());
    advance_with_dead_primary(&mut harness, 5_000);
    assert_eq!(claims(&harness), 0);
}

/// Guards against repeated claims in the store while no member could be promoted.
#[test]
fn primary_without_a_successor_is_not_claimed() {
    let mut harness = PoolHarness::new();
    for name in ["m2", "m3"] {
        harness.change_object(ObjectKind::Members, name, None);
    }
    let mut leaving = member(PRIMARY, true);
    leaving.is_draining = true;
    harness.change_object(
        ObjectKind::Members,
        PRIMARY,
        Some(ObjectValue::Member(leaving)),
    );
    harness.advance(3_000);
    assert_eq!(claims(&harness), 0);
}

fn forwards(harness: &PoolHarness) -> usize {
    let is_forward = |action: &&PoolAction| match action {
        PoolAction::SendPeer { message, .. } => message.forwarded_statement().is_some(),
        _ => false,
    };
    harness.other_actions.iter().filter(is_forward).count()
}

/// Plays a partition between the primary and this VM. Guards against statements that wait until their
/// timeout although another VM reaches the primary, which is therefore not replaced.
#[test]
fn write_runs_at_a_vm_that_reaches_the_primary_when_this_one_does_not() {
    let mut harness = PoolHarness::with_peers(&["vm-2"]);
    kill_primary(&mut harness);
    for _ in 0..150 {
        advance_with_dead_primary(&mut harness, 5);
        if answer_contact_requests(&mut harness, Some(5)) {
            harness.advance(150);
            break;
        }
    }
    assert_eq!(forwards(&harness), 1);
    let caller = harness.open_session("primary-db");
    harness.query(caller, "BEGIN");
    assert_eq!(forwards(&harness), 2);
    assert_eq!(claims(&harness), 0);
}

/// Guards against a VM that takes its own claim for that of another one and waits for seconds,
/// because the answer to the claim was lost.
#[test]
fn claim_whose_answer_is_lost_is_continued_when_the_store_shows_it() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    kill_primary(&mut harness);
    assert!(run_to_claim(&mut harness, 2_000, None));
    let written = latest_claim(&harness);
    let name = format!("group.{GROUP}");
    harness.event(PoolEvent::RecordWritten {
        name: name.clone(),
        outcome: WriteOutcome::Unknown,
    });
    let is_answered = true;
    harness.event(PoolEvent::StoreProbed { is_answered });
    harness.other_actions.clear();
    assert!(run_to_claim(&mut harness, 1_000, None));
    harness.event(PoolEvent::RecordWritten {
        name,
        outcome: WriteOutcome::Conflict {
            revision: 900.into(),
            record: written,
        },
    });
    advance_with_dead_primary(&mut harness, 400);
    assert_eq!(promoted(&harness), Some(("m3".to_owned(), 900)));
}

/// Plays a failover while answers of the store are lost. Guards against a VM that waits for the answer to
/// its claim until the call times out, although it has read the claim from the store.
#[test]
fn claim_is_continued_when_it_is_read_before_its_answer_arrives() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    kill_primary(&mut harness);
    assert!(run_to_claim(&mut harness, 2_000, None));
    let written = latest_claim(&harness).map(ObjectValue::Fleet);
    harness.change_object(ObjectKind::Fleet, &format!("group.{GROUP}"), written);
    let token = harness.revision;
    advance_with_dead_primary(&mut harness, 400);
    assert_eq!(promoted(&harness), Some(("m3".to_owned(), token)));
    // The answer arrives later after all.
    grant_claim(&mut harness, token);
    let is_promotion = |action: &&PoolAction| matches!(action, PoolAction::Promote { .. });
    let promotions = harness.other_actions.iter().filter(is_promotion);
    assert_eq!(promotions.count(), 1);
}

/// Guards against an order that is given with a token under which another one may be outstanding.
#[test]
fn claim_that_was_answered_is_not_used_again() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    kill_primary(&mut harness);
    assert!(run_to_claim(&mut harness, 2_000, None));
    let written = latest_claim(&harness);
    grant_claim(&mut harness, 900);
    advance_with_dead_primary(&mut harness, 400);
    assert_eq!(promoted(&harness), Some(("m3".to_owned(), 900)));
    harness.event(PoolEvent::PromotionAnswered {
        group: GroupId::from(GROUP),
        token: 900,
        outcome: PromotionOutcome::Unknown,
    });
    harness.other_actions.clear();
    if run_to_claim(&mut harness, 3_000, None) {
        harness.event(PoolEvent::RecordWritten {
            name: format!("group.{GROUP}"),
            outcome: WriteOutcome::Conflict {
                revision: 900.into(),
                record: written,
            },
        });
        advance_with_dead_primary(&mut harness, 400);
    }
    assert!(promoted(&harness).is_none_or(|(_, token)| token > 900));
}
