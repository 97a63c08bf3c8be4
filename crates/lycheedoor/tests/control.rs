//! Tests of the control traffic of the actors: messages between VMs, platform calls and control
//! commands have to be answered or reported as failed in time, and none may block another.
//!
//! All cases share one test, because a process can run only one event loop.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy exempts test functions but not their helpers"
)]

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lycheedoor::DecisionLogic;
use lycheedoor::Identity;
use lycheedoor::Listeners;
use lycheedoor::PlatformCodec;
use lycheedoor::PlatformEndpoint;
use lycheedoor::Setup;
use lycheedoor_core::config::ConfigMessage;
use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::VmId;
use lycheedoor_core::vm::MemberCommand;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::PeerMessage;
use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_http::Method;
use lycheedoor_http::Request;
use lycheedoor_http::Response;
use lycheedoor_http::encode_request;
use lycheedoor_http::encode_response;
use lycheedoor_peer::Envelope;
use lycheedoor_peer::EnvelopeView;
use lycheedoor_peer::PeerServerCodec;
use lycheedoor_peer::encode_confirmation;
use lycheedoor_peer::encode_message;

const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Decision logic that requests the given actions at the start and passes every event to the test.
struct ScriptedLogic {
    actions: Vec<VmAction>,
    events: Sender<(VmEvent, Instant)>,
    members: Vec<(MemberId, SocketAddr)>,
}

impl DecisionLogic for ScriptedLogic {
    fn handle(&mut self, _now: MonoTime, event: VmEvent, actions: &mut Vec<VmAction>) {
        actions.append(&mut self.actions);
        let _ = self.events.send((event, Instant::now()));
    }

    fn next_deadline(&self) -> Option<MonoTime> {
        (!self.actions.is_empty()).then_some(MonoTime::ZERO)
    }

    fn member_address(&self, _group: &GroupId, member: &MemberId) -> Option<SocketAddr> {
        let (_, address) = self.members.iter().find(|(name, _)| name == member)?;
        Some(*address)
    }

    fn answer_operator(&self, _now: MonoTime, _request: &Request, _out: &mut Vec<u8>) {}
}

struct TestCodec;

impl PlatformCodec for TestCodec {
    fn encode(&self, _request: &PlatformRequest, out: &mut Vec<u8>) {
        encode_request(out, Method::Get, "/object", "text/plain", b"");
    }

    fn decode(&self, _request: &PlatformRequest, response: &Response) -> PlatformAnswer {
        let version = u64::from(response.status);
        PlatformAnswer::Unchanged { version }
    }
}

fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts a server that accepts connections and never answers.
fn start_silent_server() -> SocketAddr {
    let (listener, address) = bind_listener();
    thread::spawn(move || listener.incoming().collect::<Vec<_>>());
    address
}

/// Starts a platform that answers one request on its first connection and nothing on later ones.
fn start_platform() -> SocketAddr {
    let (listener, address) = bind_listener();
    thread::spawn(move || {
        let mut kept = Vec::new();
        for (index, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            if index == 0 {
                let _ = stream.read(&mut [0; 1024]).unwrap();
                let mut out = Vec::new();
                encode_response(&mut out, 200, "text/plain", b"");
                stream.write_all(&out).unwrap();
            }
            kept.push(stream);
        }
    });
    address
}

/// Starts a peer that confirms messages and passes them to the test.
fn start_other_vm() -> (SocketAddr, Receiver<Envelope>) {
    let (listener, address) = bind_listener();
    let (sender, received) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut codec = PeerServerCodec::default();
        let mut buffer = [0; 4096];
        loop {
            let count = stream.read(&mut buffer).unwrap();
            codec.extend(&buffer[..count]);
            let mut out = Vec::new();
            while let Some(envelope) = codec.next_message(&mut out).unwrap() {
                encode_confirmation(&mut out);
                sender.send(envelope).unwrap();
            }
            stream.write_all(&out).unwrap();
        }
    });
    (address, received)
}

fn send_peer(to: &str, address: SocketAddr, version: u64) -> VmAction {
    VmAction::SendPeer {
        to: VmId::from(to),
        address,
        message: PeerMessage::Config(ConfigMessage::Pull { version }),
    }
}

fn command(member: &str, command: MemberCommand) -> VmAction {
    VmAction::CommandMember {
        group: GroupId::from("g"),
        member: MemberId::from(member),
        command,
    }
}

fn call_platform(call: u64) -> VmAction {
    let (object, known_version) = ("roster".to_owned(), 0);
    VmAction::CallPlatform {
        call,
        request: PlatformRequest::Get {
            object,
            known_version,
        },
    }
}

fn start_vm(script: ScriptedLogic, platform: SocketAddr) -> SocketAddr {
    let ((callers, _), (peers, address)) = (bind_listener(), bind_listener());
    let (operators, _) = bind_listener();
    thread::spawn(move || {
        let setup = Setup {
            listeners: Listeners {
                callers,
                peers,
                operators,
            },
            identity: Identity {
                vm: VmId::from("vm-1"),
                incarnation: Incarnation(7),
            },
            platform: Some(PlatformEndpoint {
                address: platform,
                codec: Rc::new(TestCodec),
            }),
        };
        lycheedoor::run(setup, Box::new(script)).unwrap();
    });
    address
}

#[test]
fn control_traffic_is_answered_or_reported_in_time() {
    let member = common::start_primary();
    let (other, received) = start_other_vm();
    let (_, closed) = bind_listener();
    let unreached_position = Position::new(Term(1), 1);
    let (events, reports) = channel();
    let script = ScriptedLogic {
        actions: vec![
            send_peer("other", other, 1),
            send_peer("other", other, 2),
            send_peer("closed", closed, 1),
            send_peer("silent", start_silent_server(), 1),
            call_platform(1),
            call_platform(2),
            command("a", MemberCommand::AwaitReceived(unreached_position)),
            command("a", MemberCommand::Status),
            command("a", MemberCommand::Fence(Term(1))),
            command("mute", MemberCommand::Status),
            command("unknown", MemberCommand::Status),
        ],
        events,
        members: vec![
            (MemberId::from("a"), member.address()),
            (MemberId::from("mute"), start_silent_server()),
        ],
    };
    let started = Instant::now();
    let address = start_vm(script, start_platform());
    for version in [1, 2] {
        let envelope = received.recv_timeout(RECEIVE_TIMEOUT).unwrap();
        assert_eq!(envelope.from, VmId::from("vm-1"));
        assert_eq!(
            envelope.message,
            PeerMessage::Config(ConfigMessage::Pull { version })
        );
    }
    let mut stream = TcpStream::connect(address).unwrap();
    let message = encode_message(&EnvelopeView {
        from: &VmId::from("other"),
        incarnation: Incarnation(3),
        clock: HybridTime::default(),
        message: &PeerMessage::Config(ConfigMessage::Pull { version: 9 }),
    });
    stream.write_all(&message.unwrap()).unwrap();

    let mut seen: Vec<(String, Duration)> = Vec::new();
    while seen.len() < 9 {
        let (event, at) = reports.recv_timeout(RECEIVE_TIMEOUT).unwrap();
        if let Some(name) = describe(&event) {
            seen.push((name, at - started));
        }
    }
    let at = |name: &str| {
        let found = seen.iter().find(|(seen, _)| seen == name);
        found
            .unwrap_or_else(|| panic!("event {name} is missing from {seen:?}"))
            .1
    };
    // The design page limits an answer to STATUS to this time.
    let answer_limit = Duration::from_millis(200);
    assert!(at("peer other") < answer_limit);
    assert!(at("unreachable closed") < answer_limit);
    assert!(at("platform 1 Unchanged { version: 200 }") < answer_limit);
    assert!(
        at("status of a") < answer_limit,
        "a pending AWAIT delayed STATUS"
    );
    assert!(at("Fence(Term(1)) of a failed: TermReplaced") < answer_limit);
    assert!(at("Status of unknown failed: ConnectionLost") < answer_limit);
    let detected = at("Status of mute failed: AnswerDeadline");
    assert!((200..400).contains(&detected.as_millis()), "{detected:?}");
    for name in ["unreachable silent", "platform 2 Unreachable"] {
        assert!((1_000..1_400).contains(&at(name).as_millis()), "{name}");
    }
}

/// Returns a short text for an event that the test checks, or `None` for other events.
fn describe(event: &VmEvent) -> Option<String> {
    Some(match event {
        VmEvent::PeerReceived { from, message, .. } => {
            assert_eq!(
                *message,
                PeerMessage::Config(ConfigMessage::Pull { version: 9 })
            );
            format!("peer {from}")
        }
        VmEvent::PeerUnreachable { vm } => format!("unreachable {vm}"),
        VmEvent::PlatformAnswered { call, answer } => format!("platform {call} {answer:?}"),
        VmEvent::MemberAnswered { member, state, .. } => {
            assert_eq!((state.role, state.term), (MemberRole::Primary, Term(1)));
            format!("status of {member}")
        }
        VmEvent::MemberFailed {
            member,
            command,
            reason,
            ..
        } if *reason != Reason::Idle => format!("{command:?} of {member} failed: {reason:?}"),
        _ => return None,
    })
}
