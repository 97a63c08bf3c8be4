//! Graceful shutdown, and members and data centres that get no new statements.

mod support;

use lycheedoor_core::types::CallerId;
use lycheedoor_pool::CallerError;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::TransactionState;
use support::PRIMARY;
use support::PoolHarness;
use support::member;

fn was_closed(harness: &PoolHarness, caller: CallerId) -> bool {
    harness
        .other_actions
        .contains(&PoolAction::CloseCaller { caller })
}

/// Guards against a graceful shutdown that cuts off a statement in progress.
#[test]
fn stop_waits_for_statement_in_progress() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    harness.event(PoolEvent::StopRequested);
    assert!(harness.other_actions.contains(&PoolAction::SetReady(false)));
    harness.advance(2_000);
    harness.query(caller, "WRITE x 1");
    harness.accept_links();
    let (link, _) = harness.take_command(PRIMARY).unwrap();
    harness.advance(600);
    assert!(!was_closed(&harness, caller));
    assert!(!harness.other_actions.contains(&PoolAction::Exit));
    harness.succeed(link, TransactionState::Idle, 1);
    assert!(matches!(
        harness.last_reply(caller),
        Some(CallerReply::Done { .. })
    ));
    harness.advance(200);
    assert!(was_closed(&harness, caller));
    assert!(harness.other_actions.contains(&PoolAction::Exit));
}

/// Guards against closing callers while the load balancer may still route them back to this VM.
#[test]
fn idle_sessions_are_closed_after_the_balancer_drain_delay() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    harness.event(PoolEvent::StopRequested);
    harness.advance(2_000);
    assert!(!was_closed(&harness, caller));
    harness.advance(500);
    assert!(was_closed(&harness, caller));
}

/// Guards against an open transaction that delays the shutdown until the process is killed.
#[test]
fn open_transaction_is_rolled_back_after_half_of_the_grace_period() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    harness.query(caller, "BEGIN");
    harness.query(caller, "WRITE x 1");
    harness.accept_links();
    while let Some((link, _)) = harness.take_command(PRIMARY) {
        harness.succeed(link, TransactionState::Open, 1);
    }
    harness.event(PoolEvent::StopRequested);
    harness.advance(2_800);
    assert_eq!(harness.take_command(PRIMARY), None);
    harness.advance(400);
    let command = harness.take_command(PRIMARY).map(|(_, command)| command);
    assert_eq!(command, Some(MemberCommand::Rollback));
    harness.query(caller, "COMMIT");
    let Some(CallerReply::Failed { error, .. }) = harness.last_reply(caller) else {
        panic!("COMMIT of a rolled back transaction did not fail");
    };
    assert_eq!(*error, CallerError::Aborted);
    harness.advance(3_000);
    assert!(harness.other_actions.contains(&PoolAction::Exit));
}

/// Guards against reads at a member that has announced its departure.
#[test]
fn draining_replica_gets_no_reads() {
    let mut harness = PoolHarness::new();
    harness.sample_primary_position(1);
    let mut leaving = member("m2", false);
    leaving.is_draining = true;
    harness.change_object(
        ObjectKind::Members,
        "m2",
        Some(ObjectValue::Member(leaving)),
    );
    for _ in 0..6 {
        let caller = harness.open_session("bounded-db");
        harness.query(caller, "READ x");
        harness.accept_links();
    }
    assert_eq!(harness.take_command("m2"), None);
    assert!(harness.take_command("m3").is_some());
}

/// Guards against statements to members, including the primary, of a data centre that operators
/// have taken out of service, and against a primary that is left there.
#[test]
fn evacuated_data_centre_gets_no_statements() {
    let mut harness = PoolHarness::new();
    harness.sample_primary_position(1);
    let mut member_in_south = member("m3", false);
    member_in_south.data_centre = "south".into();
    harness.change_object(
        ObjectKind::Members,
        "m3",
        Some(ObjectValue::Member(member_in_south)),
    );
    harness.change_object(
        ObjectKind::Evacuations,
        "north",
        Some(ObjectValue::Evacuation),
    );
    let reader = harness.open_session("bounded-db");
    harness.query(reader, "READ x");
    let writer = harness.open_session("primary-db");
    harness.query(writer, "WRITE x 1");
    harness.accept_links();
    let is_statement = |command: &MemberCommand| matches!(command, MemberCommand::Forward { .. });
    for name in [PRIMARY, "m2"] {
        let taken = harness.take_command(name).map(|(_, command)| command);
        assert!(
            !taken.as_ref().is_some_and(is_statement),
            "{name}: {taken:?}"
        );
    }
    assert!(harness.take_command("m3").is_some());
    let is_claim = |action: &PoolAction| matches!(action, PoolAction::WriteRecord { .. });
    harness.advance(300);
    assert!(
        harness.other_actions.iter().any(is_claim),
        "no claim to replace the primary of the evacuated data centre"
    );
}
