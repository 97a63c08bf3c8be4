//! Property test of the exchanges with arbitrary events in arbitrary order, including events that a
//! correct driver would not report.

mod exchange_harness;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use exchange_harness::*;
use lycheedoor_core::config::Access;
use lycheedoor_core::exchange::ExchangeAction as Action;
use lycheedoor_core::exchange::ExchangeEvent as Event;
use lycheedoor_core::exchange::RequestPlan;
use lycheedoor_core::session::SelectorEvent;
use lycheedoor_core::session::SessionVector;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_core::vm::TransactionStatus;
use proptest::prelude::*;

const CALLERS: u64 = 4;

/// The state of the simulated driver: how many statements it has reported, and which actions the
/// role has requested. Most generated events refer to these statements and actions.
#[derive(Default)]
struct DriverState {
    received: u64,
    admitting: Vec<RequestId>,
    queued: Vec<(RequestId, MemberId)>,
    sent: Vec<(RequestId, ConnectionId)>,
}

impl DriverState {
    fn record(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Admit { request, .. } => self.admitting.push(*request),
                Action::Enqueue {
                    request, member, ..
                } => {
                    self.queued.push((*request, member.clone()));
                }
                Action::Send {
                    request,
                    connection,
                    ..
                } => {
                    self.sent.push((*request, *connection));
                }
                _ => {}
            }
        }
    }
}

/// Returns one of the newest elements.
fn choose_recent<T: Clone>(list: &[T], choice: u8) -> Option<T> {
    let back = usize::from(choice % 4).min(list.len().saturating_sub(1));
    list.iter().rev().nth(back).cloned()
}

/// Generates an event from four random bytes. Most events refer to requested actions; some refer to
/// arbitrary statements, members and connections.
fn generate_event(bytes: [u8; 4], driver: &mut DriverState) -> Event {
    let [kind, a, b, c] = bytes;
    let caller = CallerId(u64::from(a) % CALLERS);
    let any_request = RequestId(driver.received.saturating_sub(u64::from(b % 6)));
    let any_member = MemberId::from(["a", "b", "c"][usize::from(a % 3)]);
    let matches_request = a < 230;
    let admitting = choose_recent(&driver.admitting, b).filter(|_| matches_request);
    let (queued, member) = choose_recent(&driver.queued, b)
        .filter(|_| matches_request)
        .unwrap_or((any_request, any_member.clone()));
    let (request, connection) = choose_recent(&driver.sent, b)
        .filter(|_| matches_request)
        .unwrap_or((any_request, ConnectionId(u64::from(c % 8))));
    let position = position_at(1 + u64::from(b == 0), u64::from(c % 16));
    let flag = c.is_multiple_of(2);
    match kind % 20 {
        0..3 => {
            driver.received += 1;
            let plan = Arc::new(RequestPlan {
                workspace: WorkspaceId::from("w"),
                group: group(),
                access: if b.is_multiple_of(2) {
                    Access::Read
                } else {
                    Access::Write
                },
                idempotent: flag,
                max_age: Duration::from_millis(u64::from(c % 4)),
                timeout: Duration::from_millis(u64::from(c) + 1),
            });
            let (request, idempotency_key) = (RequestId(driver.received), None);
            Event::RequestReceived {
                caller,
                request,
                plan,
                idempotency_key,
            }
        }
        3..6 => {
            let refused = (c == 0).then_some(Reason::OverRate);
            Event::AdmissionDecided {
                request: admitting.unwrap_or(any_request),
                refused,
            }
        }
        6..10 => {
            let fresh = ConnectionId(100 + driver.sent.len() as u64);
            let connection = if c < 230 { fresh } else { connection };
            Event::Dispatched {
                request: queued,
                connection,
                member,
            }
        }
        10 if c < 128 => Event::ConnectionLost {
            connection,
            statement_unsent: flag,
        },
        10..14 => Event::TargetAnswered {
            connection,
            request,
            position: (c > 9).then_some(position),
            status: [TransactionStatus::Idle, TransactionStatus::Open][usize::from(b % 5 == 0)],
            failed: flag,
        },
        14 | 15 => Event::ReceivedConfirmed {
            group: group(),
            member: any_member,
            position,
        },
        16 if b < 16 => Event::MemberStateChanged(SelectorEvent::TermChanged {
            group: group(),
            term: Term(u64::from(b)),
            primary: (c < 200).then_some(any_member),
        }),
        16 | 17 => Event::MemberStateChanged(SelectorEvent::Observed {
            group: group(),
            member: any_member,
            term: flag.then_some(Term(u64::from(b % 3))),
            applied: Some(position),
            received: Some(position),
            sent_at: Default::default(),
        }),
        18 if c < 64 => Event::Cancelled { caller },
        18 if c < 96 => Event::DispatchRefused {
            request: queued,
            reason: Reason::QueueFull,
        },
        18 => Event::GateChanged,
        _ if a < 40 => Event::CallerClosed { caller },
        _ if a < 80 => Event::ReceivedNotConfirmed {
            group: group(),
            member: any_member,
        },
        _ => Event::CallerStarted {
            caller,
            session: SessionVector::new(),
        },
    }
}

fn record_outcomes(actions: &[Action], outcomes: &mut BTreeMap<u64, Outcome>) {
    for action in actions {
        let (request, outcome) = match action {
            Action::Deliver { request, .. } => (request, Outcome::Answered),
            Action::Refuse {
                request,
                outcome,
                reason,
                ..
            } => {
                let says_unknown = reason.sqlstate().starts_with("LD1");
                assert_eq!(says_unknown, *outcome == Outcome::Unknown);
                (request, *outcome)
            }
            Action::Abandon { request, outcome } => (request, *outcome),
            _ => continue,
        };
        let before = outcomes.insert(request.0, outcome);
        assert_eq!(before, None, "{request} has two outcomes");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against panics, duplicate and missing outcomes, and timers that outlive their
    /// statements, whatever the driver reports.
    #[test]
    fn each_request_has_one_outcome_under_arbitrary_events(
        events in prop::collection::vec(any::<[u8; 4]>(), 0..400),
    ) {
        let mut harness = Harness::new(SessionVector::new());
        let mut outcomes = BTreeMap::new();
        let mut driver = DriverState::default();
        for caller in 0..CALLERS {
            let (caller, session) = (CallerId(caller), SessionVector::new());
            harness.report(Event::CallerStarted { caller, session });
        }
        for bytes in events {
            harness.gate.0.set(bytes[2] < 230);
            harness.now += Duration::from_millis(u64::from(bytes[3] % 4));
            let event = generate_event(bytes, &mut driver);
            let actions = harness.report(event);
            driver.record(&actions);
            record_outcomes(&actions, &mut outcomes);
        }
        for caller in 0..CALLERS {
            record_outcomes(&harness.report(Event::CallerClosed { caller: CallerId(caller) }), &mut outcomes);
        }
        prop_assert_eq!(outcomes.len() as u64, driver.received);
        prop_assert_eq!(harness.exchanges.in_progress(), 0);
        prop_assert_eq!(harness.exchanges.open_transactions(), 0);
    }
}
