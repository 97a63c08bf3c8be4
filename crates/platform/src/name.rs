//! Percent-encoding of object names.

use std::fmt::Write;

use crate::value::hex_byte;

/// Appends `name` to `out`; every byte that has to be escaped in a path or query is
/// percent-encoded.
pub(crate) fn push_percent_encoded(out: &mut String, name: &str) {
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                out.push(char::from(byte));
            }
            _ => {
                // Writing to a `String` cannot fail.
                let _ = write!(out, "%{byte:02X}");
            }
        }
    }
}

/// Returns the decoded name, or `None` if an escape is malformed or the name is not UTF-8.
pub(crate) fn decode(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        if first == b'%' {
            decoded.push(hex_byte(tail.get(..2)?)?);
            rest = &tail[2..];
        } else {
            decoded.push(first);
            rest = tail;
        }
    }
    String::from_utf8(decoded).ok()
}
