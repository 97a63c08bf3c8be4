//! Encoding of frames.

use bytes::BufMut;
use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::response::ErrorResponse;

const LENGTH_BYTES: usize = 4;

/// Appends a message to `out`, or nothing if the message is over the protocol's size limit.
pub fn put_message(out: &mut BytesMut, message: &impl Message) {
    let start = out.len();
    if message.encode(out).is_err() {
        out.truncate(start);
    }
}

/// Appends a frame whose body is the concatenation of `pieces`.
pub fn put_frame(out: &mut BytesMut, kind: u8, pieces: &[&[u8]]) {
    let body_bytes: usize = pieces.iter().map(|piece| piece.len()).sum();
    out.reserve(1 + LENGTH_BYTES + body_bytes);
    out.put_u8(kind);
    out.put_u32(u32::try_from(LENGTH_BYTES + body_bytes).unwrap_or(u32::MAX));
    for piece in pieces {
        out.put_slice(piece);
    }
}

/// Appends an `ErrorResponse` message.
pub fn put_error(
    out: &mut BytesMut,
    severity: &str,
    sqlstate: &str,
    message: &str,
    detail: Option<&str>,
) {
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message.to_owned()),
    ];
    fields.extend(detail.map(|detail| (b'D', detail.to_owned())));
    put_message(out, &ErrorResponse::new(fields));
}

/// Quotes text as an SQL literal. NUL bytes are dropped, because no literal can hold them.
pub fn quote_literal(text: &str) -> String {
    let doubled = text.replace('\0', "").replace('\'', "''");
    if doubled.contains('\\') {
        format!("E'{}'", doubled.replace('\\', "\\\\"))
    } else {
        format!("'{doubled}'")
    }
}
