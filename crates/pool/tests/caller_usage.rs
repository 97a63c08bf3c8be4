//! What sessions hold in memory for callers that do not behave.

mod support;

use lycheedoor_core::types::CallerId;
use lycheedoor_pool::CallerError;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::CallerRequest;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::Statement;
use support::PoolHarness;

const VALUE_BYTES: usize = 1024 * 1024;

fn set_value(harness: &mut PoolHarness, caller: CallerId, name: &str, value_bytes: usize) {
    let statement = Statement::SetValue {
        name: name.to_owned(),
        value: "x".repeat(value_bytes),
    };
    let request = CallerRequest::Query {
        id: "1".to_owned(),
        text: "SET".to_owned(),
        statement: Some(statement),
    };
    harness.event(PoolEvent::CallerSent { caller, request });
}

fn is_busy(reply: Option<&CallerReply>) -> bool {
    matches!(
        reply,
        Some(CallerReply::Failed {
            error: CallerError::Busy,
            ..
        })
    )
}

/// Guards against a session that keeps any number of values, and against one that is closed or
/// unusable after a refusal.
#[test]
fn values_of_a_session_are_limited() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    for name in ["a", "b", "c"] {
        set_value(&mut harness, caller, name, VALUE_BYTES);
        assert!(!is_busy(harness.last_reply(caller)), "{name}");
    }
    set_value(&mut harness, caller, "d", VALUE_BYTES);
    assert!(is_busy(harness.last_reply(caller)));
    set_value(&mut harness, caller, "e", 10);
    assert!(!is_busy(harness.last_reply(caller)));
    let state_bytes = harness.pool.caller_usage(caller).state_bytes;
    assert!((3 * VALUE_BYTES..4 * VALUE_BYTES).contains(&state_bytes));
    // A value that is replaced no longer counts.
    set_value(&mut harness, caller, "a", 10);
    set_value(&mut harness, caller, "d", VALUE_BYTES);
    assert!(!is_busy(harness.last_reply(caller)));
}

/// Guards against statements that wait and are not accounted, and against ones that stay accounted.
#[test]
fn statements_count_until_they_are_answered() {
    let mut harness = PoolHarness::new();
    let caller = harness.open_session("primary-db");
    let idle = harness.pool.caller_usage(caller);
    assert!(idle.has_session && !idle.is_busy && idle.statement_bytes == 0);
    harness.query(caller, "WRITE x one");
    harness.query(caller, "WRITE x two");
    let usage = harness.pool.caller_usage(caller);
    assert!(usage.is_busy);
    assert_eq!((usage.requests_ahead, usage.statement_bytes), (1, 22));
    harness.event(PoolEvent::CallerClosed { caller });
    assert_eq!(harness.pool.caller_usage(caller), Default::default());
}
