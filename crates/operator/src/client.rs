//! Client side of the operator endpoints.

use lycheedoor_core::timeline::Export;
use lycheedoor_http::Method;
use lycheedoor_http::Response;
use lycheedoor_http::encode_request;
use serde::de::DeserializeOwned;

use crate::status::Status;

/// An unusable response of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorError {
    /// The VM answered with this HTTP status instead of 200.
    #[error("VM answered with status {0}")]
    Status(u16),
    /// The body is not the JSON document that was requested.
    #[error("VM's answer is malformed")]
    Malformed,
}

/// Appends an encoded request for the VM's status to `out`.
pub fn encode_status_request(out: &mut Vec<u8>) {
    encode_request(out, Method::Get, "/status", "application/json", b"");
}

/// Appends an encoded request for the timeline records from sequence number `since` on to `out`.
pub fn encode_timeline_request(since: u64, out: &mut Vec<u8>) {
    let target = format!("/timeline?since={since}");
    encode_request(out, Method::Get, &target, "application/json", b"");
}

/// Decodes the response to a status request.
///
/// # Errors
///
/// Returns an error when the HTTP status is not 200 or the body is not a status.
pub fn decode_status(response: &Response) -> Result<Status, OperatorError> {
    parse_json(success_body(response)?)
}

/// Decodes the response to a timeline request, which holds one page of records.
///
/// # Errors
///
/// Returns an error when the HTTP status is not 200 or the body is not a timeline export.
pub fn decode_timeline(response: &Response) -> Result<Export, OperatorError> {
    parse_json(success_body(response)?)
}

fn success_body(response: &Response) -> Result<&[u8], OperatorError> {
    match response.status {
        200 => Ok(&response.body),
        status => Err(OperatorError::Status(status)),
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, OperatorError> {
    serde_json::from_slice(body).map_err(|_| OperatorError::Malformed)
}
