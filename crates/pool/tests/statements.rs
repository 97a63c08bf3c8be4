//! Statements of callers: which member runs them, and what callers get when a member refuses a
//! statement or its connection is lost.

mod support;

use std::time::Duration;

use lycheedoor_pool::CallerError;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::TransactionState;
use support::PRIMARY;
use support::PoolHarness;
use support::position;

fn is_begin(command: &MemberCommand) -> bool {
    matches!(command, MemberCommand::Begin { read_only: false })
}

fn error_of(reply: Option<&CallerReply>) -> Option<CallerError> {
    match reply {
        Some(CallerReply::Failed { error, .. }) => Some(*error),
        _ => None,
    }
}

fn is_done(reply: Option<&CallerReply>) -> bool {
    matches!(reply, Some(CallerReply::Done { .. }))
}

/// Guards against stale reads from a member that has lost leadership: it still answers plain reads,
/// so a read on a primary route must not be sent before the member has proved its leadership.
#[test]
fn read_on_a_primary_route_waits_for_proof_of_leadership() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    harness.query(caller, "READ x");
    harness.accept_links();
    let (link, begin) = harness.take_command(PRIMARY).unwrap();
    assert!(is_begin(&begin));
    assert_eq!(harness.take_command(PRIMARY), None);
    harness.refuse(link, MemberFault::ReadOnly, TransactionState::Idle);
    assert_eq!(
        harness.take_command(PRIMARY),
        None,
        "read was sent to a member that had lost leadership"
    );
    assert_eq!(
        harness.last_reply(caller),
        None,
        "the read failed before its timeout"
    );
}

/// Guards against a read that runs outside of the transaction in which leadership was proved, and
/// against a transaction that stays open after it.
#[test]
fn read_on_a_primary_route_runs_in_its_own_transaction() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    harness.query(caller, "READ x");
    harness.accept_links();
    let (link, _) = harness.take_command(PRIMARY).unwrap();
    harness.succeed(link, TransactionState::Open, 5);
    let (_, read) = harness.take_command(PRIMARY).unwrap();
    assert!(matches!(
        read,
        MemberCommand::Forward {
            required_position: None,
            ..
        }
    ));
    let (_, end) = harness.take_command(PRIMARY).unwrap();
    assert_eq!(end, MemberCommand::Rollback);
    harness.succeed(link, TransactionState::Open, 5);
    assert!(is_done(harness.last_reply(caller)));
}

/// Guards against stale reads: a replica must check that its log includes a recent position of the
/// primary.
#[test]
fn bounded_read_requires_a_recent_position_of_the_primary() {
    let mut harness = PoolHarness::new();
    harness.sample_primary_position(41);
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    harness.accept_links();
    let command = ["m2", "m3"]
        .iter()
        .find_map(|member| harness.take_command(member));
    let Some((
        _,
        MemberCommand::Forward {
            required_position, ..
        },
    )) = command
    else {
        panic!("read was not sent to a replica: {command:?}");
    };
    assert_eq!(required_position, Some(position(41)));
}

/// Guards against stale reads that rely on a position older than the staleness bound of the route.
#[test]
fn bounded_read_without_a_recent_position_goes_to_the_primary() {
    let mut harness = PoolHarness::new();
    harness.sample_primary_position(41);
    harness.advance(1_450);
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    harness.accept_links();
    assert!(is_begin(&harness.take_command(PRIMARY).unwrap().1));
}

/// Guards against a session that does not see its own writes.
#[test]
fn session_read_requires_the_commits_of_its_session() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("session-db");
    harness.query(caller, "WRITE x 1");
    harness.answer_all_commands(77);
    assert!(is_done(harness.last_reply(caller)));
    harness.query(caller, "READ x");
    harness.accept_links();
    let command = ["m2", "m3", PRIMARY]
        .iter()
        .find_map(|member| harness.take_command(member));
    let Some((
        _,
        MemberCommand::Forward {
            required_position, ..
        },
    )) = command
    else {
        panic!("read was not sent: {command:?}");
    };
    assert_eq!(required_position, Some(position(77)));
}

/// Guards against a write that takes effect twice: once it was sent, only its answer shows whether
/// it took effect.
#[test]
fn write_whose_connection_is_lost_has_an_unknown_outcome_and_is_not_retried() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    harness.query(caller, "WRITE x 1");
    harness.accept_links();
    let (link, _) = harness.take_command(PRIMARY).unwrap();
    harness.event(PoolEvent::LinkClosed { link });
    assert_eq!(
        error_of(harness.last_reply(caller)),
        Some(CallerError::InDoubt)
    );
    harness.advance(300);
    harness.accept_links();
    assert_eq!(harness.take_command(PRIMARY), None);
}

/// Guards against failing a write that was never sent, because its connection could not be opened.
#[test]
fn write_that_was_not_sent_is_retried() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    harness.query(caller, "WRITE x 1");
    let link = *harness.links.keys().next().unwrap();
    harness.event(PoolEvent::LinkClosed { link });
    harness.advance(200);
    harness.answer_all_commands(3);
    assert!(is_done(harness.last_reply(caller)));
}

/// Guards against an error for a read that another member can still run.
#[test]
fn read_whose_connection_is_lost_is_retried_at_another_member() {
    let mut harness = PoolHarness::new();
    harness.sample_primary_position(1);
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    harness.accept_links();
    let (link, _) = ["m2", "m3"]
        .iter()
        .find_map(|member| harness.take_command(member))
        .unwrap();
    let first = harness.links.get(&link).unwrap().member.clone();
    harness.event(PoolEvent::LinkClosed { link });
    harness.accept_links();
    let mut others = ["m2", "m3", PRIMARY]
        .into_iter()
        .filter(|member| *member != first);
    assert!(others.any(|member| harness.take_command(member).is_some()));
}

/// Guards against aborting a transaction because its first statement was refused without running:
/// the caller has no result of it yet, so another member can run it.
#[test]
fn first_statement_of_a_transaction_is_retried_at_another_member() {
    let mut harness = PoolHarness::new();
    harness.sample_primary_position(1);
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "BEGIN READ");
    harness.query(caller, "READ x");
    harness.accept_links();
    let (link, begin) = ["m2", "m3"]
        .iter()
        .find_map(|member| harness.take_command(member))
        .unwrap();
    assert_eq!(begin, MemberCommand::Begin { read_only: true });
    harness.succeed(link, TransactionState::Open, 0);
    harness.links.get_mut(&link).unwrap().sent.remove(0);
    harness.refuse(link, MemberFault::Lagging, TransactionState::Failed);
    harness.answer_all_commands(1);
    assert!(
        is_done(harness.last_reply(caller)),
        "{:?}",
        harness.last_reply(caller)
    );
}

/// Guards against session values and prepared statements that leak from one session to another.
#[test]
fn connection_is_reset_before_another_session_uses_it() {
    let mut harness = PoolHarness::new();
    let first = harness.open_session("primary-db");
    harness.query(first, "SET zone north");
    harness.query(first, "WRITE x 1");
    harness.answer_all_commands(1);
    let second = harness.open_session("primary-db");
    harness.query(second, "WRITE x 2");
    let (_, command) = harness.take_command(PRIMARY).unwrap();
    assert_eq!(command, MemberCommand::Reset);
}

/// Guards against reporting a certain outcome although it is unknown: the commit was sent, and its
/// answer is missing.
#[test]
fn commit_whose_connection_is_lost_has_an_unknown_outcome() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    harness.query(caller, "BEGIN");
    harness.query(caller, "WRITE x 1");
    harness.accept_links();
    let (link, _) = harness.take_command(PRIMARY).unwrap();
    harness.succeed(link, TransactionState::Open, 1);
    let _ = harness.take_command(PRIMARY).unwrap();
    harness.succeed(link, TransactionState::Open, 1);
    harness.query(caller, "COMMIT");
    let _ = harness.take_command(PRIMARY).unwrap();
    harness.event(PoolEvent::LinkClosed { link });
    assert_eq!(
        error_of(harness.last_reply(caller)),
        Some(CallerError::InDoubt)
    );
}

/// Guards against a transaction that continues on a second connection after the first one was lost.
#[test]
fn transaction_whose_connection_is_lost_is_aborted() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    harness.query(caller, "BEGIN");
    harness.query(caller, "WRITE x 1");
    harness.accept_links();
    let (link, _) = harness.take_command(PRIMARY).unwrap();
    harness.succeed(link, TransactionState::Open, 1);
    let _ = harness.take_command(PRIMARY).unwrap();
    harness.succeed(link, TransactionState::Open, 1);
    harness.event(PoolEvent::LinkClosed { link });
    harness.query(caller, "COMMIT");
    assert_eq!(
        error_of(harness.last_reply(caller)),
        Some(CallerError::Aborted)
    );
}

/// Guards against a session read that misses the own commit, where the group's samples are older, as
/// after a commit that ran at another VM.
#[test]
fn session_read_demands_the_own_commit_that_is_newer_than_every_sample() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("session-db");
    harness.query(caller, "WRITE x 1");
    harness.answer_all_commands(77);
    // A new primary has not received the commits of the old one beyond this position.
    harness.sample_primary_position(50);
    harness.advance(600);
    harness.sample_primary_position(51);
    harness.query(caller, "READ x");
    harness.accept_links();
    let mut sent = harness.links.values().flat_map(|link| &link.sent);
    let required = sent.find_map(|command| match command {
        MemberCommand::Forward {
            required_position, ..
        } => Some(*required_position),
        _ => None,
    });
    assert_eq!(required, Some(Some(position(77))));
}

/// Guards against a transaction that is ended as idle right after a long statement: only the time
/// since the answer counts.
#[test]
fn idle_time_of_a_transaction_counts_from_the_latest_answer() {
    let mut config = support::config(1);
    config.transaction_idle_limit = Some(Duration::from_millis(500));
    let mut harness = PoolHarness::start(&[], config);
    let caller = harness.open_session("primary-db");
    harness.query(caller, "BEGIN");
    harness.query(caller, "WRITE x 1");
    harness.accept_links();
    let (begin, _) = harness.take_command(PRIMARY).unwrap();
    harness.succeed(begin, TransactionState::Open, 1);
    harness.advance(400);
    let (link, _) = harness.take_command(PRIMARY).unwrap();
    harness.succeed(link, TransactionState::Open, 1);
    assert!(is_done(harness.last_reply(caller)));
    harness.advance(400);
    harness.query(caller, "COMMIT");
    assert!(harness.take_command(PRIMARY).is_some());
    harness.succeed(link, TransactionState::Idle, 2);
    assert!(is_done(harness.last_reply(caller)));
}
