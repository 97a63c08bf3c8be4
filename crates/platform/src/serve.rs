//! Server side of the object API, for stand-in platforms: decodes requests and encodes responses.

use std::time::Duration;

use lycheedoor_http::Method;
use lycheedoor_http::Request;
use lycheedoor_http::encode_response;
use serde::Serialize;

use crate::MAX_VALUE_BYTES;
use crate::call::JSON_CONTENT_TYPE;
use crate::call::from_json;
use crate::call::to_json;
use crate::error::PlatformError;
use crate::message::ValueBody;
use crate::name;

/// A decoded request, as the platform receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerCall {
    /// Reads or watches an object.
    Get {
        /// The object's name, without percent-encoding.
        object: String,
        /// The version that the client has already read; 0 if it has none.
        known_version: u64,
        /// How long to wait for another version; `None` for a read without waiting.
        wait: Option<Duration>,
    },
    /// Replaces the value of an object if its version is the expected one.
    Put {
        /// The object's name, without percent-encoding.
        object: String,
        /// The version that must be current for the write to be accepted; 0 creates the object.
        expected_version: u64,
        /// The value to store.
        value: Vec<u8>,
    },
    /// Lists the names and versions of objects.
    ListObjects {
        /// The prefix of the names to list.
        prefix: String,
    },
    /// Lists the VMs that the platform knows.
    ListVms,
}

/// Decodes a request; returns `None` if its path is not part of the object API.
///
/// # Errors
///
/// Returns an error if the request does not follow the object API, or if its value is too large.
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
                known_version: numeric_parameter(request, "known")?.unwrap_or(0),
                wait: numeric_parameter(request, "wait_ms")?.map(Duration::from_millis),
            }
        }
        (Method::Put, path) => {
            let Some(object) = path.strip_prefix("/objects/") else {
                return Ok(None);
            };
            ServerCall::Put {
                object: decode_name(object)?,
                expected_version: numeric_parameter(request, "expected")?
                    .ok_or(PlatformError::Malformed("query"))?,
                value: decode_value(&request.body)?,
            }
        }
        (Method::Post | Method::Delete, _) => return Ok(None),
    };
    Ok(Some(call))
}

/// Encodes a response with a JSON body and appends it to `out`.
pub fn encode_json(out: &mut Vec<u8>, status: u16, body: &impl Serialize) {
    encode_response(out, status, JSON_CONTENT_TYPE, &to_json(body));
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

fn numeric_parameter(request: &Request, parameter: &str) -> Result<Option<u64>, PlatformError> {
    request
        .query(parameter)
        .map(str::parse)
        .transpose()
        .map_err(|_| PlatformError::Malformed("query"))
}
