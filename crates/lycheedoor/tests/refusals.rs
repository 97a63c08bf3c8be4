//! Tests of the errors that callers receive when the decision logic refuses a statement. Callers
//! act on the SQLSTATE, the outcome and the transaction state, so these have to be the ones of the
//! decision.
//!
//! All cases share one test, because a process can run only one event loop.

mod common;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use common::raw::RawCaller;
use common::raw::first_error;
use common::raw::frame_kinds;
use lycheedoor::DecisionLogic;
use lycheedoor::Identity;
use lycheedoor::Listeners;
use lycheedoor::Setup;
use lycheedoor::single_primary::SinglePrimary;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::VmId;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_http::Request;

/// Decision logic that refuses statements as scripted and sends the others to a single primary.
struct ScriptedRefusals {
    fallback: SinglePrimary,
    script: VecDeque<Option<(Reason, Outcome)>>,
}

impl DecisionLogic for ScriptedRefusals {
    fn handle(&mut self, now: MonoTime, event: VmEvent, actions: &mut Vec<VmAction>) {
        match event {
            VmEvent::CallerStarted {
                caller, ref route, ..
            } if route.as_str() != "invoices" => {
                let reason = Reason::BadKey;
                actions.push(VmAction::CloseCaller { caller, reason });
            }
            VmEvent::RequestReceived {
                caller, request, ..
            } => match self.script.pop_front().flatten() {
                Some((reason, outcome)) => actions.push(VmAction::RefuseRequest {
                    caller,
                    request,
                    reason,
                    outcome,
                    session_token: None,
                }),
                None => self.fallback.handle(now, event, actions),
            },
            event => self.fallback.handle(now, event, actions),
        }
    }

    fn next_deadline(&self) -> Option<MonoTime> {
        None
    }

    fn member_address(&self, group: &GroupId, member: &MemberId) -> Option<SocketAddr> {
        self.fallback.member_address(group, member)
    }

    fn answer_operator(&self, _now: MonoTime, _request: &Request, _out: &mut Vec<u8>) {}
}

#[test]
fn refusals_carry_sqlstate_outcome_and_transaction_state() {
    let member = common::start_primary();
    let (group, name) = (GroupId::from("g"), MemberId::from("a"));
    let decision_logic = ScriptedRefusals {
        fallback: SinglePrimary::new(group, name, member.address()),
        script: VecDeque::from([
            Some((Reason::OverRate, Outcome::NotRun)),
            None,
            Some((Reason::QueueFull, Outcome::NotRun)),
            None,
            Some((Reason::TermReplaced, Outcome::Unknown)),
        ]),
    };
    let callers = TcpListener::bind("127.0.0.1:0").unwrap();
    let peers = TcpListener::bind("127.0.0.1:0").unwrap();
    let operators = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = callers.local_addr().unwrap();
    thread::spawn(move || {
        let setup = Setup {
            listeners: Listeners {
                callers,
                peers,
                operators,
            },
            identity: Identity {
                vm: VmId::from("vm"),
                incarnation: Incarnation(1),
            },
            platform: None,
        };
        lycheedoor::run(setup, Box::new(decision_logic)).unwrap();
    });

    let (mut caller, _) = RawCaller::log_in(address);
    let mut run = |text: &[u8]| {
        caller.send(&[(b'Q', text)]);
        let answer = caller.answer();
        let status = char::from(*answer.last().unwrap().body().first().unwrap());
        (first_error(&answer), status)
    };
    let refused = |state: &str, detail: &str| Some((state.to_owned(), detail.to_owned()));
    assert_eq!(run(b"SELECT 1\0"), (refused("LD003", "not run"), 'I'));
    assert_eq!(run(b"BEGIN\0"), (None, 'T'));
    // The transaction is still open on its connection.
    assert_eq!(run(b"SELECT 1\0"), (refused("LD004", "not run"), 'T'));
    assert_eq!(run(b"COMMIT\0"), (None, 'I'));
    assert_eq!(run(b"SELECT 1\0"), (refused("LD103", "unknown"), 'I'));

    let mut other = RawCaller::connect(address);
    other.write(b"\0\0\0\x13\0\x03\0\0user\0shop\0\0");
    other.send(&[(b'p', b"wrong\0")]);
    let frames = other.answer();
    assert_eq!(first_error(&frames), refused("LD001", "not run"));
    assert_eq!(
        frame_kinds(&frames),
        "RE",
        "the connection must be closed without a login"
    );
}
