//! Target side of the protocol: session settings, prepared statements on pooled connections, size
//! limits and malformed input.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy exempts test functions but not their helpers"
)]

use bytes::BufMut;
use bytes::BytesMut;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_frame::Exchange;
use lycheedoor_frame::Part;
use lycheedoor_frame::StatementRegistry;
use lycheedoor_frame::put_error;
use lycheedoor_frame::put_frame;
use lycheedoor_target::ANSWER_LIMIT_BYTES;
use lycheedoor_target::TargetAnswer;
use lycheedoor_target::TargetCodec;
use lycheedoor_target::TargetError;
use lycheedoor_target::TargetOutput;
use lycheedoor_target::TargetRole;
use lycheedoor_target::parse_member_state;
use proptest::prelude::*;

fn open_codec() -> TargetCodec {
    let mut out = BytesMut::new();
    let mut codec = TargetCodec::open(&mut out, TargetRole::Statements, "g");
    let mut frames = BytesMut::new();
    put_frame(&mut frames, b'R', &[&[0; 4]]);
    put_frame(&mut frames, b'Z', &[b"I"]);
    codec.extend(&frames);
    assert_eq!(codec.next_output(&mut out), Ok(Some(TargetOutput::Opened)));
    codec
}

fn query(text: &[u8]) -> Exchange {
    let mut frame = BytesMut::new();
    put_frame(&mut frame, b'Q', &[text, b"\0"]);
    Exchange {
        parts: vec![Part::Raw(frame.freeze())],
    }
}

fn sync() -> Part {
    let mut frame = BytesMut::new();
    put_frame(&mut frame, b'S', &[]);
    Part::Raw(frame.freeze())
}

/// Passes frames to the codec and returns the answer, if it is complete.
fn receive(
    codec: &mut TargetCodec,
    frames: &[(u8, &[u8])],
) -> Result<Option<TargetAnswer>, TargetError> {
    let mut bytes = BytesMut::new();
    for (kind, body) in frames {
        put_frame(&mut bytes, *kind, &[body]);
    }
    codec.extend(&bytes);
    match codec.next_output(&mut BytesMut::new())? {
        Some(TargetOutput::Answered(answer)) => Ok(Some(answer)),
        other => {
            assert_eq!(other, None);
            Ok(None)
        }
    }
}

fn kinds(mut bytes: &[u8]) -> String {
    let mut kinds = String::new();
    while let Some(kind) = bytes.first() {
        kinds.push(char::from(*kind));
        let length = u32::from_be_bytes(bytes[1..5].try_into().unwrap());
        bytes = &bytes[1 + usize::try_from(length).unwrap()..];
    }
    kinds
}

/// Guards against SQL injection through the workspace's name, and against callers that receive the
/// answer to the session settings.
#[test]
fn settings_are_quoted_and_their_answer_is_not_forwarded() {
    let mut codec = open_codec();
    let mut out = BytesMut::new();
    codec.send_statement(&mut out, "it's", Some("k"), &query(b"SELECT 1"));
    let text = String::from_utf8_lossy(&out).into_owned();
    assert!(text.contains("SET lycheedoor.workspace = 'it''s'; "));
    let position: &[u8] = b"lycheedoor.position\x003:7\0";
    let answer = receive(
        &mut codec,
        &[
            (b'C', b"SET\0"),
            (b'S', b"lycheedoor.position\x009:9\0"),
            (b'Z', b"I"),
            (b'C', b"SELECT 1\0"),
            (b'S', position),
            (b'Z', b"T"),
        ],
    );
    let answer = answer.unwrap().unwrap();
    assert_eq!(kinds(&answer.frames), "CZ");
    assert_eq!(answer.position, Some(Position::new(Term(3), 7)));
    assert_eq!(answer.status, TransactionStatus::Open);
    assert!(!answer.failed);
}

/// Guards against answers from a session with the settings of another workspace.
#[test]
fn refused_settings_end_the_connection_before_an_answer_can_be_delivered() {
    let mut error = BytesMut::new();
    put_error(&mut error, "ERROR", "42704", "no such setting", None);
    let error = &error[5..];
    let mut codec = open_codec();
    codec.send_statement(&mut BytesMut::new(), "w", None, &query(b"SELECT 1"));
    let refused = receive(&mut codec, &[(b'E', error), (b'Z', b"I")]);
    assert_eq!(refused, Err(TargetError::Refused("42704".to_owned())));
    // A failed transaction rejects SET, but ROLLBACK must still reach the target.
    let mut codec = open_codec();
    codec.send_statement(&mut BytesMut::new(), "w", None, &query(b"ROLLBACK"));
    let frames: [(u8, &[u8]); 4] = [
        (b'E', error),
        (b'Z', b"E"),
        (b'C', b"ROLLBACK\0"),
        (b'Z', b"I"),
    ];
    let answer = receive(&mut codec, &frames).unwrap().unwrap();
    assert_eq!(answer.status, TransactionStatus::Idle);
}

/// Guards against a Parse per execution, and against a Bind to a statement whose Parse the target
/// skipped after an error.
#[test]
fn statement_is_prepared_once_per_connection_and_again_after_an_error() {
    let mut registry = StatementRegistry::default();
    let prepared = registry.intern(b"SELECT 1\0\0\0");
    let exchange = Exchange {
        parts: vec![
            Part::Reference {
                prepared,
                kind: b'B',
                before_name: b"\0"[..].into(),
                after_name: b"\0\0\0\0\0\0"[..].into(),
            },
            sync(),
        ],
    };
    let settings: [(u8, &[u8]); 2] = [(b'C', b"SET\0"), (b'Z', b"I")];
    let send = |codec: &mut TargetCodec| {
        let mut out = BytesMut::new();
        codec.send_statement(&mut out, "w", None, &exchange);
        receive(codec, &settings).unwrap();
        kinds(&out)
    };
    let mut codec = open_codec();
    assert_eq!(send(&mut codec), "QCPBS");
    let failed = receive(&mut codec, &[(b'3', b""), (b'E', b"\0"), (b'Z', b"I")]);
    assert_eq!(kinds(&failed.unwrap().unwrap().frames), "EZ");
    assert_eq!(send(&mut codec), "QCPBS");
    let answer = receive(
        &mut codec,
        &[(b'3', b""), (b'1', b""), (b'2', b""), (b'Z', b"I")],
    );
    assert_eq!(kinds(&answer.unwrap().unwrap().frames), "2Z");
    assert_eq!(send(&mut codec), "QBS");
}

/// Guards against unbounded answer buffers and against closing the connection after a large answer.
#[test]
fn answer_over_the_limit_becomes_an_error_and_the_connection_stays_usable() {
    let mut codec = open_codec();
    codec.send_command(&mut BytesMut::new(), "SELECT 1");
    let row = vec![0; ANSWER_LIMIT_BYTES / 3];
    let frames = [(b'D', &row[..]), (b'D', &row), (b'D', &row), (b'D', &row)];
    assert_eq!(receive(&mut codec, &frames), Ok(None));
    let answer = receive(&mut codec, &[(b'Z', b"I")]).unwrap().unwrap();
    assert_eq!(kinds(&answer.frames), "EZ");
    assert!(answer.failed && codec.is_idle());
    assert!(String::from_utf8_lossy(&answer.frames).contains("unknown"));
}

/// Guards against a connection that waits for copy data that never arrives.
#[test]
fn copy_from_stdin_is_ended_at_once() {
    let mut codec = open_codec();
    codec.send_command(&mut BytesMut::new(), "COPY t FROM STDIN");
    let mut bytes = BytesMut::new();
    put_frame(&mut bytes, b'G', &[b"\0\0\0"]);
    codec.extend(&bytes);
    let mut out = BytesMut::new();
    assert_eq!(codec.next_output(&mut out), Ok(None));
    assert_eq!(kinds(&out), "f");
}

/// Guards against a wrong order of the columns and against truncated rows that are accepted.
#[test]
fn member_state_is_parsed_from_the_row() {
    let mut body = BytesMut::new();
    body.put_u16(4);
    for column in ["replica", "3", "2:9", "2:8"] {
        body.put_u32(u32::try_from(column.len()).unwrap());
        body.put_slice(column.as_bytes());
    }
    let mut frames = BytesMut::new();
    put_frame(&mut frames, b'D', &[&body]);
    let state = parse_member_state(&frames).unwrap();
    assert_eq!(state.role, MemberRole::Replica);
    assert_eq!(state.term, Term(3));
    assert_eq!(state.received, Position::new(Term(2), 9));
    assert_eq!(parse_member_state(&frames[..frames.len() - 1]), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    /// Guards against panics on malformed messages from a target.
    #[test]
    fn mutated_answers_never_panic(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        chunk_bytes in 1usize..64,
    ) {
        let mut bytes = BytesMut::new();
        put_frame(&mut bytes, b'R', &[&[0; 4]]);
        put_frame(&mut bytes, b'Z', &[b"I"]);
        put_frame(&mut bytes, b'C', &[b"SET\0"]);
        put_frame(&mut bytes, b'Z', &[b"I"]);
        put_frame(&mut bytes, b'D', &[b"\0\x01\0\0\0\x017"]);
        put_frame(&mut bytes, b'1', &[]);
        put_frame(&mut bytes, b'S', &[b"lycheedoor.position\x003:7\0"]);
        put_error(&mut bytes, "ERROR", "42601", "text", None);
        put_frame(&mut bytes, b'Z', &[b"I"]);
        for (index, byte) in changes {
            let at = index.index(bytes.len());
            bytes[at] = byte;
        }
        let mut out = BytesMut::new();
        let mut codec = TargetCodec::open(&mut out, TargetRole::Statements, "g");
        'stream: for chunk in bytes.chunks(chunk_bytes) {
            codec.extend(chunk);
            loop {
                match codec.next_output(&mut out) {
                    Ok(Some(TargetOutput::Opened)) => {
                        codec.send_statement(&mut out, "w", None, &query(b"SELECT 1"));
                    }
                    Ok(Some(TargetOutput::Answered(answer))) => {
                        let _ = parse_member_state(&answer.frames);
                    }
                    Ok(None) => break,
                    Err(_) => break 'stream,
                }
            }
        }
    }
}
