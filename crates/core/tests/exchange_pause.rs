//! Tests of statements in a group that is paused for a planned switchover of its primary.

mod exchange_harness;

use exchange_harness::*;
use lycheedoor_core::config::Access;
use lycheedoor_core::exchange::ExchangeAction as Action;
use lycheedoor_core::exchange::ExchangeEvent as Event;
use lycheedoor_core::session::SessionVector;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::vm::TransactionStatus::Idle;
use lycheedoor_core::vm::TransactionStatus::Open;

fn pause(harness: &mut Harness, paused: bool) -> Vec<Action> {
    let group = group();
    harness.report(Event::PauseChanged { group, paused })
}

fn contains_send(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Send { .. }))
}

/// Guards against a write that is sent during the pause, and against one that is refused because of
/// it.
#[test]
fn write_waits_for_the_new_primary() {
    let mut harness = Harness::new(SessionVector::new());
    let queued = harness.admit(1, Access::Write, false);
    assert_eq!(queued_for(&queued), Some(("a", None)));
    let paused = pause(&mut harness, true);
    assert!(paused.iter().any(|a| matches!(a, Action::Withdraw { .. })));
    assert_eq!(queued_for(&paused), None);
    assert!(
        !contains_send(&harness.dispatch(1, 10, "a")),
        "dispatched after the pause started"
    );
    let moved = harness.change_term(2, Some("b"));
    assert_eq!(
        queued_for(&moved),
        None,
        "the new primary may not be used yet"
    );
    let resumed = pause(&mut harness, false);
    assert_eq!(queued_for(&resumed), Some(("b", None)));
    assert!(contains_send(&harness.dispatch(1, 11, "b")));
}

/// Guards against a pause that delays answers, and against reporting the primary as unused while a
/// statement is in progress.
#[test]
fn statement_in_progress_is_delivered_during_the_pause() {
    let mut harness = Harness::new(SessionVector::new());
    harness.admit(1, Access::Write, false);
    harness.dispatch(1, 10, "a");
    pause(&mut harness, true);
    assert!(harness.exchanges.uses_primary(&group()), "statement sent");
    harness.answer(1, 10, position_at(1, 5), Idle);
    assert!(harness.exchanges.uses_primary(&group()), "answer held");
    assert_eq!(delivered(&harness.confirm("b", position_at(1, 5))), [1]);
    assert!(!harness.exchanges.uses_primary(&group()));
}

/// Guards against a transaction that cannot complete because of the pause.
#[test]
fn open_transaction_continues_during_the_pause() {
    let mut harness = Harness::new(SessionVector::new());
    harness.admit(1, Access::Write, false);
    harness.dispatch(1, 10, "a");
    harness.answer(1, 10, position_at(1, 5), Open);
    harness.confirm("b", position_at(1, 5));
    pause(&mut harness, true);
    assert!(harness.exchanges.uses_primary(&group()), "open transaction");
    assert!(contains_send(&harness.admit(2, Access::Write, false)));
    harness.answer(2, 10, position_at(1, 6), Idle);
    assert_eq!(delivered(&harness.confirm("b", position_at(1, 6))), [2]);
    assert!(!harness.exchanges.uses_primary(&group()));
}

/// Guards against a statement that waits past its deadline when a pause does not end.
#[test]
fn deadline_holds_during_the_pause() {
    let mut harness = Harness::new(SessionVector::new());
    pause(&mut harness, true);
    harness.admit(1, Access::Write, false);
    let actions = harness.advance_time(60_000);
    assert_eq!(
        refusal(&actions),
        Some((Outcome::NotRun, Reason::NoPrimary))
    );
}
