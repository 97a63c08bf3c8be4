//! A test harness around one `Exchanges`, with a gate that tests open and close, and helpers that
//! report events.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use lycheedoor_core::config::Access;
use lycheedoor_core::exchange::AnswerGate;
use lycheedoor_core::exchange::ExchangeAction as Action;
use lycheedoor_core::exchange::ExchangeEvent as Event;
use lycheedoor_core::exchange::ExchangeLimits;
use lycheedoor_core::exchange::Exchanges;
use lycheedoor_core::exchange::RequestPlan;
use lycheedoor_core::session::MemberPlacement;
use lycheedoor_core::session::SelectorEvent;
use lycheedoor_core::session::SessionVector;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_core::vm::TransactionStatus;

pub(crate) const CALLER: CallerId = CallerId(1);

pub(crate) struct Gate(pub(crate) Cell<bool>);

impl AnswerGate for Gate {
    fn may_answer(&self, _: MonoTime, _: &GroupId, _: Term) -> bool {
        self.0.get()
    }

    fn expected_queue_time(
        &self,
        _: MonoTime,
        _: &GroupId,
        _: &MemberId,
        _: &WorkspaceId,
    ) -> Duration {
        Duration::ZERO
    }
}

pub(crate) struct Harness {
    pub(crate) exchanges: Exchanges,
    pub(crate) gate: Gate,
    pub(crate) now: MonoTime,
}

pub(crate) fn group() -> GroupId {
    GroupId::from("g")
}

pub(crate) fn position_at(term: u64, log_position: u64) -> Position {
    Position::new(Term(term), log_position)
}

impl Harness {
    pub(crate) fn new(session: SessionVector) -> Self {
        let exchanges = Exchanges::new(ExchangeLimits::default(), 7);
        let mut harness = Self {
            exchanges,
            gate: Gate(Cell::new(true)),
            now: MonoTime::ZERO,
        };
        for member in ["a", "b", "c"] {
            let (group, member, place) = (group(), member.into(), MemberPlacement::default());
            harness.report_member_event(SelectorEvent::MemberConfigured {
                group,
                member,
                place,
            });
        }
        harness.change_term(1, Some("a"));
        harness.report(Event::CallerStarted {
            caller: CALLER,
            session,
        });
        harness
    }

    pub(crate) fn report(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.exchanges
            .handle(self.now, event, &self.gate, &mut actions);
        actions
    }

    pub(crate) fn report_member_event(&mut self, event: SelectorEvent) -> Vec<Action> {
        self.report(Event::MemberStateChanged(event))
    }

    pub(crate) fn change_term(&mut self, term: u64, primary: Option<&str>) -> Vec<Action> {
        let (group, primary) = (group(), primary.map(MemberId::from));
        self.report_member_event(SelectorEvent::TermChanged {
            group,
            term: Term(term),
            primary,
        })
    }

    pub(crate) fn advance_time(&mut self, millis: u64) -> Vec<Action> {
        self.now += Duration::from_millis(millis);
        self.report(Event::DeadlineReached)
    }

    /// Receives and admits a statement, and returns the actions that follow the admission.
    pub(crate) fn admit(&mut self, request: u64, access: Access, idempotent: bool) -> Vec<Action> {
        self.admit_with_max_age(request, access, idempotent, Duration::ZERO)
    }

    /// Receives and admits a read on a route that accepts data up to `max_age` old.
    pub(crate) fn admit_read_with_max_age(
        &mut self,
        request: u64,
        max_age: Duration,
    ) -> Vec<Action> {
        self.admit_with_max_age(request, Access::Read, false, max_age)
    }

    fn admit_with_max_age(
        &mut self,
        request: u64,
        access: Access,
        idempotent: bool,
        max_age: Duration,
    ) -> Vec<Action> {
        let request = RequestId(request);
        let plan = Arc::new(RequestPlan {
            workspace: WorkspaceId::from("w"),
            group: group(),
            access,
            idempotent,
            max_age,
            timeout: Duration::from_secs(1),
        });
        self.report(Event::RequestReceived {
            caller: CALLER,
            request,
            plan,
            idempotency_key: None,
        });
        self.report(Event::AdmissionDecided {
            request,
            refused: None,
        })
    }

    pub(crate) fn dispatch(&mut self, request: u64, connection: u64, member: &str) -> Vec<Action> {
        self.report(Event::Dispatched {
            request: RequestId(request),
            connection: ConnectionId(connection),
            member: MemberId::from(member),
        })
    }

    pub(crate) fn answer(
        &mut self,
        request: u64,
        connection: u64,
        position: Position,
        status: TransactionStatus,
    ) -> Vec<Action> {
        self.report(Event::TargetAnswered {
            connection: ConnectionId(connection),
            request: RequestId(request),
            position: Some(position),
            status,
            failed: false,
        })
    }

    pub(crate) fn confirm(&mut self, member: &str, position: Position) -> Vec<Action> {
        self.report(Event::ReceivedConfirmed {
            group: group(),
            member: member.into(),
            position,
        })
    }

    pub(crate) fn lose_connection(
        &mut self,
        connection: u64,
        statement_unsent: bool,
    ) -> Vec<Action> {
        self.report(Event::ConnectionLost {
            connection: ConnectionId(connection),
            statement_unsent,
        })
    }
}

pub(crate) fn refusal(actions: &[Action]) -> Option<(Outcome, Reason)> {
    actions.iter().find_map(|action| match action {
        Action::Refuse {
            outcome, reason, ..
        } => Some((*outcome, *reason)),
        _ => None,
    })
}

pub(crate) fn delivered(actions: &[Action]) -> Vec<u64> {
    let requests = actions.iter().filter_map(|action| match action {
        Action::Deliver { request, .. } => Some(request.0),
        _ => None,
    });
    requests.collect()
}

pub(crate) fn queued_for(actions: &[Action]) -> Option<(&str, Option<Reason>)> {
    actions.iter().find_map(|action| match action {
        Action::Enqueue { member, reason, .. } => Some((member.as_str(), *reason)),
        _ => None,
    })
}

pub(crate) fn closes_caller(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::CloseCaller { .. }))
}

pub(crate) fn session_at(position: Position) -> SessionVector {
    let mut session = SessionVector::new();
    session.raise_on_primary(&group(), position);
    session
}
