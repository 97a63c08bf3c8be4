//! Operator endpoints: the client must decode what a VM sends, and neither side may panic on
//! malformed input.

#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it only inside test functions"
)]

use insta::assert_snapshot;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::timeline::EventCode;
use lycheedoor_core::timeline::Export;
use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::timeline::Process;
use lycheedoor_core::timeline::Record;
use lycheedoor_core::timeline::Subject;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_http::Method;
use lycheedoor_http::Request;
use lycheedoor_http::RequestDecoder;
use lycheedoor_http::Response;
use lycheedoor_http::ResponseDecoder;
use lycheedoor_operator::*;
use proptest::prelude::*;

/// A view with fixed contents, except for the phase.
struct FixedView(Phase);

impl OperatorView for FixedView {
    fn status(&self) -> Status {
        Status {
            vm: "vm-1".into(),
            incarnation: Incarnation(3),
            data_centre: "east".into(),
            phase: self.0,
            config_version: 12,
            roster_version: 4,
            slots: vec![0, 5],
            lease_remaining_ms: 210,
            platform_serves: true,
            callers: 17,
            groups: vec![GroupStatus {
                group: "invoices".into(),
                term: Term(2),
                primary: Some("invoices-1".into()),
                promotion_in_progress: false,
                members: vec![MemberStatus {
                    member: "invoices-1".into(),
                    data_centre: "east".into(),
                    availability: MemberAvailability::Active,
                    answers: true,
                    lag_ms: None,
                    connections: 2,
                }],
            }],
            data_centres: vec![DataCentreStatus {
                data_centre: "east".into(),
                state: DataCentreState::In,
            }],
            workspaces: vec![WorkspaceStatus {
                workspace: "acme".into(),
                admitted: 100,
                refused: 1,
                unknown: 0,
                queued: 0,
            }],
        }
    }

    fn timeline(&self, since: u64, limit: usize) -> Export {
        let time = HybridTime {
            physical: WallTime(1_700_000_000_000_000),
            logical: 1,
        };
        let record = Record {
            sequence: since + 2,
            time,
            code: EventCode::RequestRefused,
            subject: Subject {
                workspace: Some("acme".into()),
                request: Some(RequestId(9)),
                reason: Some(Reason::OverRate),
                outcome: Some(Outcome::NotRun),
                ..Subject::default()
            },
        };
        Export {
            process: Process {
                vm: "vm-1".into(),
                incarnation: Incarnation(3),
                data_centre: "east".into(),
            },
            from_sequence: since,
            next_sequence: since + 3,
            taken_at: time,
            reached: true,
            records: vec![record; limit.min(1)],
        }
    }

    fn metrics(&self) -> String {
        "lycheedoor_config_version 12\n".into()
    }
}

fn send_request(view: &FixedView, method: Method, target: &str) -> Response {
    let request = Request {
        method,
        target: target.into(),
        body: Vec::new(),
    };
    let mut out = Vec::new();
    handle_request(&request, view, &mut out);
    let mut decoder = ResponseDecoder::default();
    decoder.extend(&out);
    decoder.next_response().unwrap().unwrap()
}

fn encoded_target(encode: impl FnOnce(&mut Vec<u8>)) -> String {
    let mut bytes = Vec::new();
    encode(&mut bytes);
    let mut decoder = RequestDecoder::default();
    decoder.extend(&bytes);
    decoder.next_request().unwrap().unwrap().target
}

/// Guards against a status that the two sides encode and decode differently, and against changes of
/// its JSON format.
#[test]
fn client_reads_the_status_that_the_vm_sends() {
    let view = FixedView(Phase::Serving);
    let response = send_request(&view, Method::Get, &encoded_target(encode_status_request));
    assert_eq!(decode_status(&response), Ok(view.status()));
    assert_snapshot!(String::from_utf8(response.body).unwrap());
}

/// Guards against a timeline that the two sides encode and decode differently, and against changes
/// of its JSON format.
#[test]
fn client_reads_the_timeline_that_the_vm_sends() {
    let view = FixedView(Phase::Serving);
    let target = encoded_target(|out| encode_timeline_request(40, out));
    let response = send_request(&view, Method::Get, &target);
    assert_eq!(decode_timeline(&response), Ok(view.timeline(40, 1)));
    assert_snapshot!(String::from_utf8(response.body).unwrap());
}

/// Guards against a health check that passes while the VM refuses new work.
#[test]
fn health_is_ok_only_while_the_vm_accepts_new_work() {
    for (phase, status) in [
        (Phase::Serving, 200),
        (Phase::Starting, 503),
        (Phase::LeaseLost, 503),
        (Phase::Draining, 503),
    ] {
        let response = send_request(&FixedView(phase), Method::Get, "/health");
        assert_eq!(
            (response.status, response.body),
            (status, phase.as_str().into())
        );
    }
}

/// Guards against a wrong status for requests that are not served.
#[test]
fn unknown_requests_are_rejected() {
    let view = FixedView(Phase::Serving);
    assert_eq!(
        send_request(&view, Method::Get, "/metrics").body,
        view.metrics().as_bytes()
    );
    assert_eq!(send_request(&view, Method::Get, "/").status, 404);
    assert_eq!(send_request(&view, Method::Post, "/status").status, 400);
    assert_eq!(
        send_request(&view, Method::Get, "/timeline?since=x").status,
        400
    );
    assert_eq!(
        decode_status(&send_request(&view, Method::Get, "/")),
        Err(OperatorError::Status(404))
    );
}

proptest! {
    /// Guards against panics in the client on malformed bodies.
    #[test]
    fn mutated_responses_never_panic(index in 0usize..2_000, byte: u8) {
        for target in ["/status", "/timeline?since=1"] {
            let mut response = send_request(&FixedView(Phase::Serving), Method::Get, target);
            let index = index % response.body.len();
            response.body[index] = byte;
            let _ = decode_status(&response);
            let _ = decode_timeline(&response);
        }
    }
}
