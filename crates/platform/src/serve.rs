//! The platform's side, for stand-ins: requests to calls, answers to bytes.

use std::time::Duration;

use lycheedoor_http::Method;
use lycheedoor_http::Request;
use lycheedoor_http::encode_response;
use serde::Serialize;

use crate::MAX_VALUE_BYTES;
use crate::call::JSON;
use crate::call::from_json;
use crate::call::to_json;
use crate::error::PlatformError;
use crate::message::ValueBody;
use crate::name;

/// A call as the platform receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerCall {
    /// Read an object.
    Get {
        /// The name of the object.
        object: String,
        /// The version that the client holds; 0 when it holds none.
        known_version: u64,
        /// How long to wait for another version; `None` for a plain read.
        wait: Option<Duration>,
    },
    /// Write an object.
    Put {
        /// The name of the object.
        object: String,
        /// The version that must be current.
        expected_version: u64,
        /// The new value.
        value: Vec<u8>,
    },
    /// List objects.
    ListObjects {
        /// The start of the names to list.
        prefix: String,
    },
    /// List VMs.
    ListVms,
}

/// Returns the call that a request makes, or `None` when its path is not of the object API.
///
/// # Errors
///
/// Returns an error when the request does not follow the object API, or when its value is too
/// large.
pub fn decode_server_call(request: &Request) -> Result<Option<ServerCall>, PlatformError> {
    let call = match (request.method, request.path()) {
        (Method::Get, "/vms") => ServerCall::ListVms,
        (Method::Get, "/objects") => ServerCall::ListObjects {
            prefix: decode_name(request.query("prefix").unwrap_or_default())?,
        },
        (Method::Get, path) => {
            let Some(object) = path.strip_prefix("/objects/") else {
                return Ok(None);
            };
            ServerCall::Get {
                object: decode_name(object)?,
                known_version: number(request, "known")?.unwrap_or(0),
                wait: number(request, "wait_ms")?.map(Duration::from_millis),
            }
        }
        (Method::Put, path) => {
            let Some(object) = path.strip_prefix("/objects/") else {
                return Ok(None);
            };
            ServerCall::Put {
                object: decode_name(object)?,
                expected_version: number(request, "expected")?
                    .ok_or(PlatformError::Malformed("query"))?,
                value: decode_value(&request.body)?,
            }
        }
        (Method::Post | Method::Delete, _) => return Ok(None),
    };
    Ok(Some(call))
}

/// Appends the bytes of a response with a JSON body to `out`.
pub fn encode_json(out: &mut Vec<u8>, status: u16, body: &impl Serialize) {
    encode_response(out, status, JSON, &to_json(body));
}

fn decode_value(body: &[u8]) -> Result<Vec<u8>, PlatformError> {
    let value = from_json::<ValueBody>(body)?.value.into_bytes()?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(PlatformError::TooLarge);
    }
    Ok(value)
}

fn decode_name(text: &str) -> Result<String, PlatformError> {
    name::decode(text).ok_or(PlatformError::Malformed("object name"))
}

fn number(request: &Request, parameter: &str) -> Result<Option<u64>, PlatformError> {
    request
        .query(parameter)
        .map(str::parse)
        .transpose()
        .map_err(|_| PlatformError::Malformed("query"))
}
