//! Encoding of whole HTTP messages.

use crate::message::Method;

/// The status of a response that has no content, not even an empty one.
const NO_CONTENT: u16 = 204;

/// Appends a request to `out`. Without a content type the request does not state one.
pub fn encode_request(
    out: &mut Vec<u8>,
    method: Method,
    target: &str,
    content_type: &str,
    body: &[u8],
) {
    encode_request_with_headers(out, method, target, content_type, &[], body);
}

/// Appends a request with additional header fields to `out`.
///
/// Names and values are not checked and must not contain line breaks.
pub fn encode_request_with_headers(
    out: &mut Vec<u8>,
    method: Method,
    target: &str,
    content_type: &str,
    header_fields: &[(&str, &str)],
    body: &[u8],
) {
    let head = format!("{method} {target} HTTP/1.1\r\nhost: -\r\n");
    out.extend_from_slice(head.as_bytes());
    if !body.is_empty() || matches!(method, Method::Post | Method::Put) {
        push_content_fields(out, content_type, body);
    }
    for (name, value) in header_fields {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Appends a response to `out`. Without a content type the response does not state one.
pub fn encode_response(out: &mut Vec<u8>, status: u16, content_type: &str, body: &[u8]) {
    let phrase = reason_phrase(status);
    out.extend_from_slice(format!("HTTP/1.1 {status} {phrase}\r\n").as_bytes());
    if status != NO_CONTENT {
        push_content_fields(out, content_type, body);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

fn push_content_fields(out: &mut Vec<u8>, content_type: &str, body: &[u8]) {
    if !content_type.is_empty() {
        out.extend_from_slice(format!("content-type: {content_type}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
