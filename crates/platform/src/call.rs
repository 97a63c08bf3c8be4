//! Client side of the object API: encodes requests and decodes responses.

use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_http::Method;
use lycheedoor_http::Response;
use lycheedoor_http::encode_request;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::WATCH_WAIT_MS;
use crate::error::PlatformError;
use crate::message::ObjectBody;
use crate::message::ObjectListing;
use crate::message::ValueBody;
use crate::message::VersionBody;
use crate::message::VmListing;
use crate::name::push_percent_encoded;
use crate::value::Value;

pub(crate) const JSON_CONTENT_TYPE: &str = "application/json";

/// Encodes a read, watch or write and appends it to `out`.
pub fn encode_call(request: &PlatformRequest, out: &mut Vec<u8>) {
    match request {
        PlatformRequest::Get {
            object,
            known_version,
        } => {
            let target = object_target(object, &format!("known={known_version}"));
            encode_request(out, Method::Get, &target, JSON_CONTENT_TYPE, b"");
        }
        PlatformRequest::Watch {
            object,
            known_version,
        } => {
            let query = format!("known={known_version}&wait_ms={WATCH_WAIT_MS}");
            encode_request(
                out,
                Method::Get,
                &object_target(object, &query),
                JSON_CONTENT_TYPE,
                b"",
            );
        }
        PlatformRequest::Put {
            object,
            expected_version,
            value,
        } => {
            let target = object_target(object, &format!("expected={expected_version}"));
            let body = to_json(&ValueBody {
                value: Value::from_bytes(value),
            });
            encode_request(out, Method::Put, &target, JSON_CONTENT_TYPE, &body);
        }
    }
}

/// Encodes a request for the names and versions of the objects whose name starts with `prefix`, and
/// appends it to `out`.
pub fn encode_list_objects(prefix: &str, out: &mut Vec<u8>) {
    let mut target = String::from("/objects?prefix=");
    push_percent_encoded(&mut target, prefix);
    encode_request(out, Method::Get, &target, JSON_CONTENT_TYPE, b"");
}

/// Encodes a request for the list of VMs and appends it to `out`.
pub fn encode_list_vms(out: &mut Vec<u8>) {
    encode_request(out, Method::Get, "/vms", JSON_CONTENT_TYPE, b"");
}

/// Decodes the response to `request`.
///
/// # Errors
///
/// Returns an error if the response does not follow the object API, or if the value of a write is
/// too large.
pub fn decode_answer(
    request: &PlatformRequest,
    response: &Response,
) -> Result<PlatformAnswer, PlatformError> {
    if response.status == 503 {
        return Ok(PlatformAnswer::Unreachable);
    }
    match request {
        PlatformRequest::Get { known_version, .. }
        | PlatformRequest::Watch { known_version, .. } => decode_read(*known_version, response),
        PlatformRequest::Put { .. } => decode_write(response),
    }
}

fn decode_read(known_version: u64, response: &Response) -> Result<PlatformAnswer, PlatformError> {
    match response.status {
        200 => {
            let body: ObjectBody = from_json(&response.body)?;
            Ok(PlatformAnswer::Object {
                version: body.version,
                value: body.value.into_bytes()?,
            })
        }
        304 => Ok(PlatformAnswer::Unchanged {
            version: known_version,
        }),
        status => Err(PlatformError::Status(status)),
    }
}

fn decode_write(response: &Response) -> Result<PlatformAnswer, PlatformError> {
    match response.status {
        200 => from_json(&response.body)
            .map(|VersionBody { version }| PlatformAnswer::Updated { version }),
        409 => from_json(&response.body)
            .map(|VersionBody { version }| PlatformAnswer::Conflict { version }),
        413 => Err(PlatformError::TooLarge),
        status => Err(PlatformError::Status(status)),
    }
}

/// Decodes the response to a request for a list of objects.
///
/// # Errors
///
/// Returns an error if the response does not follow the object API.
pub fn decode_objects(response: &Response) -> Result<Vec<ObjectListing>, PlatformError> {
    decode_list(response)
}

/// Decodes the response to a request for the list of VMs.
///
/// # Errors
///
/// Returns an error if the response does not follow the object API.
pub fn decode_vms(response: &Response) -> Result<Vec<VmListing>, PlatformError> {
    decode_list(response)
}

fn decode_list<T: DeserializeOwned>(response: &Response) -> Result<T, PlatformError> {
    match response.status {
        200 => from_json(&response.body),
        status => Err(PlatformError::Status(status)),
    }
}

fn object_target(object: &str, query: &str) -> String {
    let mut target = String::from("/objects/");
    push_percent_encoded(&mut target, object);
    target.push('?');
    target.push_str(query);
    target
}

/// Decodes JSON. Drops the cause of a failure, because `serde_json` quotes the input in it, and the
/// input may contain secrets.
pub(crate) fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::Malformed("body"))
}

/// Encodes JSON. The bodies of this package have only string keys, so this cannot fail.
pub(crate) fn to_json(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}
