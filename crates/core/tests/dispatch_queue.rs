//! Queues, connections and transactions on one VM that is coordinator and permit holder at once.

#![allow(clippy::unwrap_used, reason = "a helper fails with its test")]

use std::sync::Arc;
use std::time::Duration;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::Group;
use lycheedoor_core::config::Member;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::dispatch::Dispatch;
use lycheedoor_core::dispatch::DispatchAction;
use lycheedoor_core::dispatch::DispatchEvent;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::HeldSlot;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::RosterView;

const LEASE_END: MonoTime = MonoTime::from_millis(100_000);

/// One VM that holds the only roster slot, and a member with two connections and two statement
/// slots.
struct DispatchHarness {
    role: Dispatch,
    now: MonoTime,
    requests: u64,
}

fn config(version: u64, availability: MemberAvailability) -> Arc<Config> {
    let member = Member {
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".into(),
        availability,
    };
    let group = Group {
        members: [("m".into(), member)].into(),
        slots: 2,
        connections: 2,
    };
    Arc::new(Config {
        version,
        groups: [("g".into(), group)].into(),
        ..Config::default()
    })
}

impl DispatchHarness {
    fn new() -> Self {
        let mut harness = Self {
            role: Dispatch::new("vm".into(), Incarnation(1)),
            now: MonoTime::from_millis(1),
            requests: 0,
        };
        let config = config(1, MemberAvailability::Active);
        harness.handle(DispatchEvent::Configured(config));
        harness.apply_roster(1);
        harness.advance(Duration::from_secs(1));
        harness
    }

    fn apply_roster(&mut self, version: u64) -> Vec<DispatchAction> {
        let usable_from = self.now;
        self.handle(DispatchEvent::Roster(RosterView {
            version,
            slot_count: 1,
            slots: vec![HeldSlot {
                slot: 0,
                usable_from,
            }],
            peers: Vec::new(),
            lease_until: LEASE_END,
        }))
    }

    fn handle(&mut self, event: DispatchEvent) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.role.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the time, handles all deadlines on the way, and returns their actions.
    fn advance(&mut self, span: Duration) -> Vec<DispatchAction> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some(next) = self.role.next_deadline().filter(|next| *next <= end) {
            self.now = next.max(self.now + Duration::from_micros(1));
            actions.extend(self.handle(DispatchEvent::DeadlineReached));
        }
        self.now = end;
        actions
    }

    fn enqueue(&mut self) -> Vec<DispatchAction> {
        self.requests += 1;
        let deadline = self.now + Duration::from_secs(5);
        self.handle(DispatchEvent::Enqueue {
            request: RequestId(self.requests),
            member: "m".into(),
            workspace: "w".into(),
            deadline,
        })
    }

    fn connection_opened(&mut self, number: u64) -> Vec<DispatchAction> {
        let connection = ConnectionId(number);
        self.handle(DispatchEvent::ConnectionOpened { connection })
    }

    fn finish(&mut self, request: u64, in_transaction: bool) -> Vec<DispatchAction> {
        let request = RequestId(request);
        self.handle(DispatchEvent::Finished {
            request,
            in_transaction,
        })
    }
}

fn dispatched(request: u64, connection: u64) -> DispatchAction {
    DispatchAction::Dispatch {
        request: RequestId(request),
        member: "m".into(),
        connection: ConnectionId(connection),
    }
}

fn refusals(actions: &[DispatchAction]) -> Vec<(u64, Reason)> {
    let refusal = |action: &DispatchAction| match action {
        DispatchAction::Refuse { request, reason } => Some((request.0, *reason)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn closed_connections(actions: &[DispatchAction]) -> Vec<(u64, Reason)> {
    let closing = |action: &DispatchAction| match action {
        DispatchAction::CloseConnection { connection, reason } => Some((connection.0, *reason)),
        _ => None,
    };
    actions.iter().filter_map(closing).collect()
}

/// Returns a harness whose VM has two open connections, each with a statement in progress.
fn busy_harness() -> DispatchHarness {
    let mut harness = DispatchHarness::new();
    harness.enqueue();
    harness.enqueue();
    assert_eq!(harness.connection_opened(1), [dispatched(1, 1)]);
    assert_eq!(harness.connection_opened(2), [dispatched(2, 2)]);
    harness
}

/// Guards against other statements on a connection with an open transaction.
#[test]
fn transaction_keeps_its_connection_and_permit_until_it_ends() {
    let mut harness = busy_harness();
    harness.enqueue();
    assert_eq!(harness.finish(1, true), []);
    assert_eq!(harness.advance(Duration::from_secs(2)), []);
    let connection = ConnectionId(1);
    let ended = harness.handle(DispatchEvent::TransactionEnded { connection });
    assert_eq!(ended, [dispatched(3, 1)]);
}

/// Guards against queues that grow without bound, and against requests that stay queued after their
/// deadline.
#[test]
fn queue_is_bounded_and_refuses_at_the_deadline() {
    let mut harness = busy_harness();
    for _ in 0..512 {
        assert_eq!(harness.enqueue(), []);
    }
    assert_eq!(refusals(&harness.enqueue()), [(515, Reason::QueueFull)]);
    let late = refusals(&harness.advance(Duration::from_secs(5)));
    assert_eq!(late.len(), 512);
    assert!(
        late.iter()
            .all(|(_, reason)| *reason == Reason::DeadlineInQueue)
    );
}

/// Guards against a refusal, which means "not run", of a statement that was sent to a member.
#[test]
fn lost_lease_refuses_queued_and_closes_running_statements() {
    let mut harness = busy_harness();
    harness.enqueue();
    let actions = harness.handle(DispatchEvent::LeaseLost);
    assert_eq!(refusals(&actions), [(3, Reason::LeaseLost)]);
    let closed = [(1, Reason::LeaseLost), (2, Reason::LeaseLost)];
    assert_eq!(closed_connections(&actions), closed);
    assert_eq!(refusals(&harness.enqueue()), [(4, Reason::LeaseLost)]);
}

/// Guards against reuse of a connection on which the answer to a cancelled statement may arrive.
#[test]
fn cancelled_statement_closes_its_connection() {
    let mut harness = busy_harness();
    harness.enqueue();
    let request = RequestId(2);
    let actions = harness.handle(DispatchEvent::Cancelled { request });
    assert_eq!(closed_connections(&actions), [(2, Reason::CallerGone)]);
    let request = RequestId(3);
    assert_eq!(harness.handle(DispatchEvent::Cancelled { request }), []);
    assert_eq!(harness.finish(1, false), []);
}

/// Guards against new statements on a leaving member, and against interrupting those in progress.
#[test]
fn leaving_member_finishes_its_statements_and_gets_no_more() {
    let mut harness = busy_harness();
    harness.enqueue();
    harness.finish(2, true);
    let leaving = config(2, MemberAvailability::Leaving);
    let actions = harness.handle(DispatchEvent::Configured(leaving));
    assert_eq!(refusals(&actions), [(3, Reason::TargetLeaving)]);
    assert_eq!(closed_connections(&actions), []);
    assert_eq!(refusals(&harness.enqueue()), [(4, Reason::TargetLeaving)]);
    let done = harness.finish(1, false);
    assert_eq!(closed_connections(&done), [(1, Reason::TargetLeaving)]);
    let connection = ConnectionId(2);
    let ended = harness.handle(DispatchEvent::TransactionEnded { connection });
    assert_eq!(closed_connections(&ended), [(2, Reason::TargetLeaving)]);
}

/// Guards against unused connections that stay open.
#[test]
fn idle_connections_are_closed() {
    let mut harness = busy_harness();
    harness.finish(1, false);
    harness.finish(2, false);
    let closed = closed_connections(&harness.advance(Duration::from_secs(40)));
    assert_eq!(closed, [(1, Reason::Idle), (2, Reason::Idle)]);
}

/// Guards against a coordinator that regains its lease and lends permits that another coordinator
/// may have lent meanwhile, or that it lent itself before.
#[test]
fn coordinator_waits_for_all_permits_after_a_gap_in_its_lease() {
    let mut harness = DispatchHarness::new();
    harness.handle(DispatchEvent::LeaseLost);
    harness.apply_roster(3);
    harness.enqueue();
    assert_eq!(harness.connection_opened(1), []);
    assert_eq!(harness.advance(Duration::from_millis(1_190)), []);
    assert_eq!(
        harness.advance(Duration::from_millis(20)),
        [dispatched(1, 1)]
    );
}

/// Guards against an unnecessary wait for all permits: the roster is the same, so no other VM can
/// have been coordinator meanwhile.
#[test]
fn coordinator_continues_after_a_gap_with_the_same_roster() {
    let mut harness = DispatchHarness::new();
    harness.handle(DispatchEvent::LeaseLost);
    harness.handle(DispatchEvent::LeaseExtended { until: LEASE_END });
    harness.enqueue();
    assert_eq!(harness.connection_opened(1), [dispatched(1, 1)]);
}
