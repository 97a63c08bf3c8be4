//! Encoding of whole HTTP messages.

use crate::message::Method;

/// Appends a request to `out`.
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
    let length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nhost: -\r\ncontent-type: {content_type}\r\n\
         content-length: {length}\r\n"
    );
    out.extend_from_slice(head.as_bytes());
    for (name, value) in header_fields {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Appends a response to `out`.
pub fn encode_response(out: &mut Vec<u8>, status: u16, content_type: &str, body: &[u8]) {
    let length = body.len();
    let phrase = reason_phrase(status);
    let head = format!(
        "HTTP/1.1 {status} {phrase}\r\ncontent-type: {content_type}\r\n\
         content-length: {length}\r\n\r\n"
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
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
