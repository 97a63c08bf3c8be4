//! Base64 with the URL alphabet and without padding (RFC 4648, section 5).
//!
//! No character of this alphabet needs escaping in a PostgreSQL parameter value.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

pub(super) fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..=chunk.len() {
            let sextet = group >> (18 - 6 * index) & 0x3f;
            text.push(char::from(ALPHABET[sextet as usize]));
        }
    }
    text
}

/// Decodes canonical text, or returns `None`. Non-zero trailing bits are rejected, so only one
/// text decodes to a given byte string.
pub(super) fn decode(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(text.len() * 3 / 4);
    for chunk in text.as_bytes().chunks(4) {
        let mut group = 0u32;
        for character in chunk {
            group = group << 6 | sextet(*character)?;
        }
        let group = group << (6 * (4 - chunk.len()));
        let count = chunk.len() * 6 / 8;
        let [_, data @ ..] = group.to_be_bytes();
        let (whole, rest) = data.split_at(count);
        if chunk.len() == 1 || rest.iter().any(|byte| *byte != 0) {
            return None;
        }
        bytes.extend_from_slice(whole);
    }
    Some(bytes)
}

fn sextet(character: u8) -> Option<u32> {
    let value = match character {
        b'A'..=b'Z' => character - b'A',
        b'a'..=b'z' => character - b'a' + 26,
        b'0'..=b'9' => character - b'0' + 52,
        b'-' => 62,
        b'_' => 63,
        _ => return None,
    };
    Some(u32::from(value))
}
