//! Tests of individual rules of the exchanges, each with the shortest sequence of events that
//! exercises it.

#![allow(clippy::unwrap_used)]

mod exchange_harness;

use std::sync::Arc;
use std::time::Duration;

use exchange_harness::*;
use lycheedoor_core::config::Access;
use lycheedoor_core::exchange::ExchangeAction as Action;
use lycheedoor_core::exchange::ExchangeEvent as Event;
use lycheedoor_core::exchange::RequestPlan;
use lycheedoor_core::session::SelectorEvent;
use lycheedoor_core::session::SessionVector;
use lycheedoor_core::session::Trust;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_core::vm::TransactionStatus::Idle;
use lycheedoor_core::vm::TransactionStatus::Open;

/// An empty list of request numbers. Its type is given here because `serde_json` adds comparison
/// implementations that make the type of a literal `[]` ambiguous.
const NO_REQUESTS: [u64; 0] = [];

/// Guards against acknowledging a write that only the primary has received, or without a valid
/// lease.
#[test]
fn write_is_held_until_a_replica_has_it_and_the_lease_is_valid() {
    let mut harness = Harness::new(SessionVector::new());
    harness.admit(1, Access::Write, false);
    harness.dispatch(1, 10, "a");
    let actions = harness.answer(1, 10, position_at(1, 5), Idle);
    assert_eq!(delivered(&actions), NO_REQUESTS);
    let awaits = actions
        .iter()
        .filter(|a| matches!(a, Action::AwaitReceived { .. }));
    assert_eq!(awaits.count(), 2, "one request to each replica");
    assert_eq!(
        delivered(&harness.confirm("a", position_at(1, 9))),
        NO_REQUESTS,
        "the primary's copy does not count"
    );
    assert_eq!(
        delivered(&harness.confirm("b", position_at(1, 4))),
        NO_REQUESTS
    );
    let later_term = harness.confirm("c", position_at(2, 9));
    assert_eq!(
        delivered(&later_term),
        NO_REQUESTS,
        "the log of a later term may lack the write"
    );
    harness.gate.0.set(false);
    assert_eq!(
        delivered(&harness.confirm("b", position_at(1, 5))),
        NO_REQUESTS
    );
    harness.gate.0.set(true);
    assert_eq!(delivered(&harness.report(Event::GateChanged)), [1]);
    assert_eq!(
        harness
            .exchanges
            .session(CALLER)
            .unwrap()
            .mark(&group())
            .position,
        Some(position_at(1, 5))
    );
}

/// Guards against a separate confirmation request for each write instead of one for all of them.
#[test]
fn waits_for_received_positions_are_batched() {
    let mut harness = Harness::new(SessionVector::new());
    let mut actions_of_answers = Vec::new();
    for request in 1..=5 {
        harness.report(Event::CallerStarted {
            caller: CallerId(request),
            session: SessionVector::new(),
        });
        let plan = Arc::new(RequestPlan {
            workspace: WorkspaceId::from("w"),
            group: group(),
            access: Access::Write,
            idempotent: false,
            max_age: Duration::ZERO,
            timeout: Duration::from_secs(1),
        });
        let (caller, id) = (CallerId(request), RequestId(request));
        harness.report(Event::RequestReceived {
            caller,
            request: id,
            plan,
            idempotency_key: None,
        });
        harness.report(Event::AdmissionDecided {
            request: id,
            refused: None,
        });
        harness.dispatch(request, 10 + request, "a");
        actions_of_answers.extend(harness.answer(
            request,
            10 + request,
            position_at(1, request),
            Idle,
        ));
    }
    let member_b = |actions: &[Action]| -> Vec<Position> {
        let positions = actions.iter().filter_map(|action| match action {
            Action::AwaitReceived {
                member, position, ..
            } if member.as_str() == "b" => Some(*position),
            _ => None,
        });
        positions.collect()
    };
    assert_eq!(member_b(&actions_of_answers), [position_at(1, 1)]);
    let next = harness.confirm("b", position_at(1, 1));
    assert_eq!(
        (delivered(&next), member_b(&next)),
        (vec![1], vec![position_at(1, 5)])
    );
    assert_eq!(
        delivered(&harness.confirm("b", position_at(1, 5))),
        [2, 3, 4, 5]
    );
}

/// Guards against running a write twice that may have reached the target.
#[test]
fn lost_write_is_retried_only_if_it_was_certainly_not_sent() {
    let mut harness = Harness::new(SessionVector::new());
    harness.admit(1, Access::Write, false);
    harness.dispatch(1, 10, "a");
    assert_eq!(refusal(&harness.lose_connection(10, true)), None);
    assert_eq!(queued_for(&harness.advance_time(3)), Some(("a", None)));
    harness.dispatch(1, 11, "a");
    let actions = harness.lose_connection(11, false);
    assert_eq!(
        refusal(&actions),
        Some((Outcome::Unknown, Reason::ConnectionLost))
    );
    let mark = harness.exchanges.session(CALLER).unwrap().mark(&group());
    assert_eq!(mark.trust, Trust::PrimaryOnly);
}

/// Guards against retries that multiply the load on a failing target.
#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut harness = Harness::new(SessionVector::new());
    harness.admit(1, Access::Write, true);
    let mut attempts = 0;
    let refused = loop {
        attempts += 1;
        harness.dispatch(1, 10 + attempts, "a");
        let actions = harness.lose_connection(10 + attempts, false);
        if let Some(refused) = refusal(&actions) {
            break refused;
        }
        let until = harness.exchanges.next_deadline().unwrap();
        harness.now = until;
        harness.report(Event::DeadlineReached);
    };
    assert_eq!(
        (attempts, refused),
        (11, (Outcome::Unknown, Reason::ConnectionLost))
    );
}

/// Guards against refusing writes that could have run after a promotion.
#[test]
fn write_waits_for_a_primary_until_its_deadline() {
    let mut harness = Harness::new(SessionVector::new());
    harness.change_term(2, None);
    assert_eq!(harness.admit(1, Access::Write, false), []);
    harness.advance_time(900);
    assert_eq!(
        queued_for(&harness.change_term(2, Some("b"))),
        Some(("b", None))
    );
    harness.change_term(3, None);
    let refused = refusal(&harness.advance_time(100));
    assert_eq!(refused, Some((Outcome::NotRun, Reason::NoPrimary)));
}

/// Guards against acknowledging an answer of a replaced primary.
#[test]
fn held_write_of_a_replaced_primary_is_unknown() {
    let mut harness = Harness::new(SessionVector::new());
    harness.admit(1, Access::Write, false);
    harness.dispatch(1, 10, "a");
    harness.answer(1, 10, position_at(1, 5), Idle);
    let actions = harness.change_term(2, Some("b"));
    assert_eq!(
        refusal(&actions),
        Some((Outcome::Unknown, Reason::TermReplaced))
    );
    assert_eq!(
        delivered(&harness.confirm("c", position_at(1, 5))),
        NO_REQUESTS
    );
}

/// Guards against sending a statement whose dispatch was decided before a change of the primary.
#[test]
fn dispatch_to_a_replaced_primary_sends_nothing() {
    let mut harness = Harness::new(SessionVector::new());
    harness.admit(1, Access::Write, false);
    assert_eq!(
        queued_for(&harness.change_term(2, Some("b"))),
        Some(("b", None))
    );
    let connection = ConnectionId(10);
    assert_eq!(
        harness.dispatch(1, 10, "a"),
        [Action::ReleaseConnection { connection }]
    );
    harness.gate.0.set(false);
    assert_eq!(
        harness.dispatch(1, 11, "b").len(),
        1,
        "without a lease nothing is sent"
    );
}

/// Guards against delivering a replica's answer that is older than the session.
#[test]
fn stale_replica_answer_is_discarded_for_the_primarys() {
    let mut harness = Harness::new(session_at(position_at(1, 5)));
    harness.report_member_event(SelectorEvent::Observed {
        group: group(),
        member: MemberId::from("b"),
        term: Some(Term(1)),
        applied: Some(position_at(1, 5)),
        received: None,
        sent_at: harness.now,
    });
    assert_eq!(
        queued_for(&harness.admit(1, Access::Read, false)),
        Some(("b", None))
    );
    harness.dispatch(1, 10, "b");
    let actions = harness.answer(1, 10, position_at(1, 4), Idle);
    assert_eq!(delivered(&actions), NO_REQUESTS);
    assert_eq!(
        queued_for(&actions),
        Some(("a", Some(Reason::ReplicaBehind)))
    );
    harness.dispatch(1, 11, "a");
    assert_eq!(
        delivered(&harness.answer(1, 11, position_at(1, 5), Idle)),
        [1]
    );
}

/// Guards against a caller that continues outside the transaction that it assumes to be open.
#[test]
fn lost_transaction_disconnects_the_caller() {
    for in_statement in [false, true] {
        let mut harness = Harness::new(SessionVector::new());
        harness.admit(1, Access::Write, false);
        harness.dispatch(1, 10, "a");
        harness.answer(1, 10, position_at(1, 5), Open);
        assert_eq!(delivered(&harness.confirm("b", position_at(1, 5))), [1]);
        let mut expected = None;
        if in_statement {
            let actions = harness.admit(2, Access::Write, false);
            assert!(matches!(
                actions[..],
                [Action::Send {
                    connection: ConnectionId(10),
                    ..
                }]
            ));
            expected = Some((Outcome::Unknown, Reason::ConnectionLost));
        }
        let actions = harness.lose_connection(10, false);
        assert_eq!(refusal(&actions), expected);
        assert!(closes_caller(&actions));
        assert_eq!(harness.exchanges.open_transactions(), 0);
    }
}

/// Guards against pooling a connection that may still carry an earlier answer.
#[test]
fn connection_is_closed_after_timeout_and_cancel() {
    for cancel in [false, true] {
        let mut harness = Harness::new(SessionVector::new());
        harness.admit(1, Access::Write, false);
        harness.dispatch(1, 10, "a");
        let actions = match cancel {
            true => harness.report(Event::Cancelled { caller: CALLER }),
            false => harness.advance_time(1_000),
        };
        assert!(matches!(refusal(&actions), Some((Outcome::Unknown, _))));
        let closed = |action: &Action| matches!(action, Action::CloseConnection { .. });
        assert!(actions.iter().any(closed));
        assert_eq!(
            harness.answer(1, 10, position_at(1, 5), Idle),
            [],
            "a late answer has no effect"
        );
    }
}

/// Guards against a statement without an outcome when its caller pipelines statements or
/// disconnects.
#[test]
fn pipelined_statements_run_in_order_and_are_dropped_with_the_caller() {
    let mut harness = Harness::new(SessionVector::new());
    harness.admit(1, Access::Write, false);
    assert_eq!(
        harness.admit(2, Access::Write, false),
        [],
        "the second waits for the first"
    );
    harness.dispatch(1, 10, "a");
    let actions = harness.report(Event::CallerClosed { caller: CALLER });
    let ends = [(1, Outcome::Unknown), (2, Outcome::NotRun)];
    for (request, outcome) in ends {
        let request = RequestId(request);
        assert!(actions.contains(&Action::Abandon { request, outcome }));
    }
    assert_eq!(
        (
            harness.exchanges.in_progress(),
            harness.exchanges.next_deadline()
        ),
        (0, None)
    );
}

/// Guards against a retry budget that does not depend on the number of successes.
#[test]
fn retry_budget_grows_with_successes() {
    let mut harness = Harness::new(session_at(position_at(1, 1)));
    for request in 1..=300 {
        harness.admit(request, Access::Read, false);
        harness.dispatch(request, 1_000 + request, "a");
        assert_eq!(
            delivered(&harness.answer(request, 1_000 + request, position_at(1, 1), Idle)),
            [request]
        );
    }
    let mut retries = 0;
    while retries < 100 {
        let request = 301 + retries;
        harness.admit(request, Access::Write, false);
        harness.dispatch(request, 1_000 + request, "a");
        if refusal(&harness.lose_connection(1_000 + request, true)).is_some() {
            break;
        }
        harness.report(Event::Cancelled { caller: CALLER });
        retries += 1;
    }
    assert_eq!(retries, 30);
}

/// Guards against using the position of a primary that may have been replaced as a bound for the
/// age of replicas.
#[test]
fn primary_position_bounds_replica_age_only_while_the_lease_is_valid() {
    for lease_valid in [false, true] {
        let mut harness = Harness::new(SessionVector::new());
        harness.gate.0.set(lease_valid);
        for member in ["a", "b"] {
            harness.report_member_event(SelectorEvent::Observed {
                group: group(),
                member: MemberId::from(member),
                term: Some(Term(1)),
                applied: Some(position_at(1, 5)),
                received: None,
                sent_at: harness.now,
            });
        }
        harness.gate.0.set(true);
        let expected = if lease_valid { "b" } else { "a" };
        let actions = harness.admit_read_with_max_age(1, Duration::from_millis(10));
        assert_eq!(
            queued_for(&actions).map(|(member, _)| member),
            Some(expected)
        );
    }
}

/// Guards against acknowledging a write whose durability cannot be checked.
#[test]
fn write_without_a_position_is_unknown_and_makes_the_session_primary_only() {
    let mut harness = Harness::new(session_at(position_at(1, 1)));
    harness.admit(1, Access::Write, false);
    harness.dispatch(1, 10, "a");
    let actions = harness.report(Event::TargetAnswered {
        connection: ConnectionId(10),
        request: RequestId(1),
        position: None,
        status: Idle,
        failed: false,
    });
    let unknown = Some((Outcome::Unknown, Reason::NotConfirmedDurable));
    assert_eq!(refusal(&actions), unknown);
    let mark = harness.exchanges.session(CALLER).unwrap().mark(&group());
    assert_eq!(mark.trust, Trust::PrimaryOnly);
}

/// Guards against a read transaction that is spread over several members, or whose connection is
/// never released.
#[test]
fn transaction_of_a_read_route_stays_on_its_replica() {
    let mut harness = Harness::new(session_at(position_at(1, 1)));
    harness.report_member_event(SelectorEvent::Observed {
        group: group(),
        member: MemberId::from("b"),
        term: Some(Term(1)),
        applied: Some(position_at(1, 1)),
        received: None,
        sent_at: harness.now,
    });
    harness.admit(1, Access::Read, false);
    harness.dispatch(1, 10, "b");
    assert_eq!(
        delivered(&harness.answer(1, 10, position_at(1, 1), Open)),
        [1]
    );
    let sent = harness.admit(2, Access::Read, false);
    assert!(matches!(
        sent[..],
        [Action::Send {
            connection: ConnectionId(10),
            ..
        }]
    ));
    let actions = harness.answer(2, 10, position_at(1, 1), Idle);
    let connection = ConnectionId(10);
    assert_eq!(actions[0], Action::ReleaseConnection { connection });
    assert_eq!(delivered(&actions), [2]);
}

/// Guards against withdrawing a statement that dispatch has just removed from its queue, when its
/// deadline passes at the same time.
#[test]
fn deadline_at_dispatch_refuses_without_withdrawing() {
    let mut harness = Harness::new(SessionVector::new());
    harness.admit(1, Access::Write, false);
    harness.now += Duration::from_secs(1);
    let actions = harness.dispatch(1, 10, "a");
    let connection = ConnectionId(10);
    assert_eq!(actions[0], Action::ReleaseConnection { connection });
    assert_eq!(
        refusal(&actions),
        Some((Outcome::NotRun, Reason::DeadlineInQueue))
    );
    assert_eq!(actions.len(), 2);
}
