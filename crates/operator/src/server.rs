//! Server side of the operator endpoints.

use lycheedoor_core::timeline::Export;
use lycheedoor_http::Method;
use lycheedoor_http::Request;
use lycheedoor_http::encode_response;
use serde::Serialize;

use crate::MAX_PAGE_RECORDS;
use crate::status::Phase;
use crate::status::Status;

const JSON_CONTENT_TYPE: &str = "application/json";
const TEXT_CONTENT_TYPE: &str = "text/plain";
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// The state of a VM that the endpoints expose.
pub trait OperatorView {
    /// Returns the current status of the VM.
    fn status(&self) -> Status;

    /// Returns at most `limit` timeline records from sequence number `since` on.
    fn timeline(&self, since: u64, limit: usize) -> Export;

    /// Returns all metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// Handles a request and appends the encoded response to `out`.
pub fn handle_request(request: &Request, view: &dyn OperatorView, out: &mut Vec<u8>) {
    if request.method != Method::Get {
        return encode_response(out, 400, TEXT_CONTENT_TYPE, b"only GET is served");
    }
    match request.path() {
        "/status" => encode_response(out, 200, JSON_CONTENT_TYPE, &to_json(&view.status())),
        "/metrics" => encode_response(out, 200, METRICS_CONTENT_TYPE, view.metrics().as_bytes()),
        "/health" => answer_health(view.status().phase, out),
        "/timeline" => answer_timeline(request, view, out),
        _ => encode_response(out, 404, TEXT_CONTENT_TYPE, b"no such path"),
    }
}

fn answer_health(phase: Phase, out: &mut Vec<u8>) {
    let status = match phase {
        Phase::Serving => 200,
        Phase::Starting | Phase::LeaseLost | Phase::Draining => 503,
    };
    encode_response(out, status, TEXT_CONTENT_TYPE, phase.as_str().as_bytes());
}

fn answer_timeline(request: &Request, view: &dyn OperatorView, out: &mut Vec<u8>) {
    let Ok(since) = request.query("since").unwrap_or("0").parse() else {
        return encode_response(out, 400, TEXT_CONTENT_TYPE, b"since is not a number");
    };
    let page = view.timeline(since, MAX_PAGE_RECORDS);
    encode_response(out, 200, JSON_CONTENT_TYPE, &to_json(&page));
}

/// Encodes a body as JSON. This cannot fail, because the bodies have only string keys and are
/// written to memory.
fn to_json(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}
