//! Bounds-checked reading of fields in frames and answers.

use crate::HEADER_BYTES;

/// Takes a NUL-terminated UTF-8 string from the front of `body`.
pub fn take_cstring<'a>(body: &mut &'a [u8]) -> Option<&'a str> {
    let end = body.iter().position(|byte| *byte == 0)?;
    let text = std::str::from_utf8(body.get(..end)?).ok()?;
    *body = body.get(end + 1..)?;
    Some(text)
}

/// Returns a field of an `ErrorResponse` body, for example `b'C'` for the SQLSTATE.
pub fn error_field(mut body: &[u8], field: u8) -> Option<&str> {
    while let Some((kind, rest)) = body.split_first() {
        if *kind == 0 {
            return None;
        }
        body = rest;
        let text = take_cstring(&mut body)?;
        if *kind == field {
            return Some(text);
        }
    }
    None
}

/// Returns the columns of the data rows in an answer, up to the first malformed row.
///
/// A column is `None` when it is NULL.
pub fn rows(mut answer: &[u8]) -> Vec<Vec<Option<String>>> {
    let mut rows = Vec::new();
    while let Some((kind, body, rest)) = split_frame(answer) {
        answer = rest;
        if kind == b'D' {
            let Some(row) = parse_columns(body) else {
                break;
            };
            rows.push(row);
        }
    }
    rows
}

/// Returns the columns of the first data row in an answer, or `None` when there is no such row or
/// it is malformed.
pub fn first_row(answer: &[u8]) -> Option<Vec<Option<String>>> {
    rows(answer).into_iter().next()
}

fn split_frame(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let kind = *bytes.first()?;
    let length = usize::try_from(read_u32(bytes.get(1..)?)?).ok()?;
    let body = bytes.get(HEADER_BYTES..1 + length)?;
    Some((kind, body, bytes.get(1 + length..)?))
}

fn parse_columns(body: &[u8]) -> Option<Vec<Option<String>>> {
    let count = u16::from_be_bytes(body.get(..2)?.try_into().ok()?);
    let mut body = body.get(2..)?;
    let mut columns = Vec::new();
    for _ in 0..count {
        let length = read_u32(body)?;
        body = body.get(4..)?;
        if length == u32::MAX {
            columns.push(None);
            continue;
        }
        let length = usize::try_from(length).ok()?;
        let text = body.get(..length)?;
        columns.push(Some(String::from_utf8_lossy(text).into_owned()));
        body = body.get(length..)?;
    }
    Some(columns)
}

fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}
