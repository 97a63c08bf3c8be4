//! Planned stops, and members and data centres that get no new work.

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
use support::Rig;
use support::member;

fn was_closed(rig: &Rig, caller: CallerId) -> bool {
    rig.others.contains(&PoolAction::CloseCaller { caller })
}

/// Guards against a stop that cuts a statement which was accepted.
#[test]
fn stop_finishes_what_runs() {
    let mut rig = Rig::new();
    let caller = rig.session("primary-db");
    rig.event(PoolEvent::StopRequested);
    assert!(rig.others.contains(&PoolAction::SetReady(false)));
    rig.advance(2_000);
    rig.query(caller, "WRITE x 1");
    rig.accept_links();
    let (link, _) = rig.take_command(PRIMARY).unwrap();
    rig.advance(600);
    assert!(!was_closed(&rig, caller));
    assert!(!rig.others.contains(&PoolAction::Exit));
    rig.succeed(link, TransactionState::Idle, 1);
    assert!(matches!(
        rig.last_reply(caller),
        Some(CallerReply::Done { .. })
    ));
    rig.advance(200);
    assert!(was_closed(&rig, caller));
    assert!(rig.others.contains(&PoolAction::Exit));
}

/// Guards against callers that are closed while the balancer still sends them back here.
#[test]
fn idle_sessions_end_after_the_balancer_has_noticed() {
    let mut rig = Rig::new();
    let caller = rig.session("primary-db");
    rig.event(PoolEvent::StopRequested);
    rig.advance(2_000);
    assert!(!was_closed(&rig, caller));
    rig.advance(500);
    assert!(was_closed(&rig, caller));
}

/// Guards against an open transaction that keeps the process until it is killed.
#[test]
fn open_transaction_has_half_of_the_grace_period() {
    let mut rig = Rig::new();
    let caller = rig.session("primary-db");
    rig.query(caller, "BEGIN");
    rig.query(caller, "WRITE x 1");
    rig.accept_links();
    while let Some((link, _)) = rig.take_command(PRIMARY) {
        rig.succeed(link, TransactionState::Open, 1);
    }
    rig.event(PoolEvent::StopRequested);
    rig.advance(2_800);
    assert_eq!(rig.take_command(PRIMARY), None);
    rig.advance(400);
    let command = rig.take_command(PRIMARY).map(|(_, command)| command);
    assert_eq!(command, Some(MemberCommand::Rollback));
    rig.query(caller, "COMMIT");
    let Some(CallerReply::Failed { error, .. }) = rig.last_reply(caller) else {
        panic!("commit of a rolled back transaction succeeded");
    };
    assert_eq!(*error, CallerError::Aborted);
    rig.advance(3_000);
    assert!(rig.others.contains(&PoolAction::Exit));
}

/// Guards against reads at a member that has announced that it leaves.
#[test]
fn draining_replica_gets_no_reads() {
    let mut rig = Rig::new();
    rig.sample(1);
    let mut leaving = member("m2", false);
    leaving.is_draining = true;
    rig.change(
        ObjectKind::Members,
        "m2",
        Some(ObjectValue::Member(leaving)),
    );
    for _ in 0..6 {
        let caller = rig.session("bounded-db");
        rig.query(caller, "READ x");
        rig.accept_links();
    }
    assert_eq!(rig.take_command("m2"), None);
    assert!(rig.take_command("m3").is_some());
}

/// Guards against work for a data centre that operators have taken out, also for its primary.
#[test]
fn data_centre_that_is_out_gets_no_work() {
    let mut rig = Rig::new();
    rig.sample(1);
    let mut elsewhere = member("m3", false);
    elsewhere.data_centre = "south".into();
    rig.change(
        ObjectKind::Members,
        "m3",
        Some(ObjectValue::Member(elsewhere)),
    );
    rig.change(
        ObjectKind::Evacuations,
        "north",
        Some(ObjectValue::Evacuation),
    );
    let reader = rig.session("bounded-db");
    rig.query(reader, "READ x");
    let writer = rig.session("primary-db");
    rig.query(writer, "WRITE x 1");
    rig.accept_links();
    let is_statement = |command: &MemberCommand| matches!(command, MemberCommand::Forward { .. });
    for name in [PRIMARY, "m2"] {
        let taken = rig.take_command(name).map(|(_, command)| command);
        assert!(
            !taken.as_ref().is_some_and(is_statement),
            "{name}: {taken:?}"
        );
    }
    assert!(rig.take_command("m3").is_some());
    let claims = |action: &PoolAction| matches!(action, PoolAction::WriteRecord { .. });
    rig.advance(300);
    assert!(
        rig.others.iter().any(claims),
        "primary of the data centre is not replaced"
    );
}
