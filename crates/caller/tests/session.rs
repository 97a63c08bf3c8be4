//! Caller side of the protocol: start-up, limits, prepared statements and malformed input.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy exempts test functions but not their helpers"
)]

use bytes::BufMut;
use bytes::BytesMut;
use lycheedoor_caller::CallerError;
use lycheedoor_caller::CallerInput;
use lycheedoor_caller::CallerSession;
use lycheedoor_caller::EXCHANGE_LIMIT_BYTES;
use lycheedoor_caller::LocalRequest;
use lycheedoor_core::config::TenantKey;
use lycheedoor_frame::Part;
use lycheedoor_frame::StatementRegistry;
use lycheedoor_frame::put_frame;
use proptest::prelude::*;

fn start_up_packet(parameters: &[(&str, &str)]) -> BytesMut {
    let mut body = BytesMut::new();
    body.put_u32(196_608);
    for (name, value) in parameters {
        body.put_slice(format!("{name}\0{value}\0").as_bytes());
    }
    body.put_u8(0);
    let mut packet = BytesMut::new();
    packet.put_u32(u32::try_from(body.len() + 4).unwrap());
    packet.put_slice(&body);
    packet
}

fn login_bytes() -> BytesMut {
    let mut bytes = start_up_packet(&[("user", "shop"), ("database", "invoices")]);
    put_frame(&mut bytes, b'p', &[b"secret\0"]);
    bytes
}

fn decode_inputs(bytes: &[u8]) -> (Vec<CallerInput>, Option<CallerError>) {
    let mut session = CallerSession::default();
    let mut registry = StatementRegistry::default();
    session.extend(bytes);
    let mut found = Vec::new();
    loop {
        match session.next_input(&mut registry, &mut BytesMut::new()) {
            Ok(Some(input)) => found.push(input),
            Ok(None) => return (found, None),
            Err(error) => return (found, Some(error)),
        }
    }
}

/// Returns the inputs that follow the login.
fn inputs_after_login(frames: &BytesMut) -> (Vec<CallerInput>, Option<CallerError>) {
    let mut bytes = login_bytes();
    bytes.put_slice(frames);
    let (mut found, error) = decode_inputs(&bytes);
    assert!(matches!(found.remove(0), CallerInput::Started(_)));
    (found, error)
}

fn parts(input: &CallerInput) -> &[Part] {
    match input {
        CallerInput::Statement(exchange) => &exchange.parts,
        other => panic!("not a statement: {other:?}"),
    }
}

/// Guards against a start-up that loses settings or keeps the tenant key in plain text.
#[test]
fn start_up_yields_the_digest_and_settings_from_options() {
    let options = "-c lycheedoor.session=t1 --lycheedoor.idempotency_key=k1";
    let mut bytes = BytesMut::from(&[0, 0, 0, 8, 4, 210, 22, 47][..]);
    bytes.put_slice(&start_up_packet(&[("user", "shop"), ("options", options)]));
    put_frame(&mut bytes, b'p', &[b"secret\0"]);
    let (found, error) = decode_inputs(&bytes);
    assert_eq!(error, None);
    let [CallerInput::Started(started)] = &found[..] else {
        panic!("unexpected inputs: {found:?}");
    };
    assert_eq!(started.key, Some(TenantKey::new("secret").digest()));
    assert_eq!(started.session_token.as_deref(), Some("t1"));
    assert_eq!(started.idempotency_key.as_deref(), Some("k1"));
    assert_eq!(started.route, "shop");
    assert!(!format!("{found:?}").contains("secret"));
}

/// Guards against callers that set a reserved setting on a target connection.
#[test]
fn idempotency_key_is_set_locally_and_reserved_settings_are_rejected_in_other_text() {
    let mut frames = BytesMut::new();
    for text in [
        "SET lycheedoor.idempotency_key = 'it''s';",
        "set session LYCHEEDOOR.idempotency_key to default",
        "SET lycheedoor.workspace = 'other'",
        "SELECT 1; SET lycheedoor.idempotency_key = 'x'",
    ] {
        put_frame(&mut frames, b'Q', &[text.as_bytes(), b"\0"]);
    }
    let (found, _) = inputs_after_login(&frames);
    let local: Vec<_> = found
        .into_iter()
        .map(|input| match input {
            CallerInput::Local(request) => request,
            other => panic!("not local: {other:?}"),
        })
        .collect();
    assert_eq!(
        local[0],
        LocalRequest::SetIdempotencyKey(Some("it's".to_owned()))
    );
    assert_eq!(local[1], LocalRequest::SetIdempotencyKey(None));
    for rejected in &local[2..] {
        assert!(
            matches!(rejected, LocalRequest::Unsupported { sqlstate, .. } if *sqlstate == "42501")
        );
    }
}

/// Guards against preparing the same text more than once per target connection.
#[test]
fn named_statements_with_equal_text_share_one_number() {
    let mut frames = BytesMut::new();
    put_frame(&mut frames, b'P', &[b"a\0SELECT 1\0\0\0"]);
    put_frame(&mut frames, b'P', &[b"b\0SELECT 1\0\0\0"]);
    put_frame(&mut frames, b'P', &[b"c\0SELECT 2\0\0\0"]);
    put_frame(&mut frames, b'S', &[]);
    let (found, _) = inputs_after_login(&frames);
    let ids: Vec<_> = parts(&found[0])
        .iter()
        .filter_map(|part| match part {
            Part::Prepare(prepared) => Some(prepared.id()),
            _ => None,
        })
        .collect();
    assert_eq!(ids[0], ids[1]);
    assert_ne!(ids[0], ids[2]);
}

/// Guards against a Bind that runs another caller's unnamed statement on a shared connection.
#[test]
fn unnamed_statement_of_an_earlier_exchange_is_restored() {
    let mut frames = BytesMut::new();
    put_frame(&mut frames, b'P', &[b"\0SELECT 1\0\0\0"]);
    put_frame(&mut frames, b'S', &[]);
    put_frame(&mut frames, b'B', &[b"\0\0\0\0\0\0\0\0"]);
    put_frame(&mut frames, b'S', &[]);
    let (found, _) = inputs_after_login(&frames);
    assert!(matches!(
        parts(&found[0])[0],
        Part::ExpectsConfirmation { .. }
    ));
    assert!(matches!(parts(&found[1])[0], Part::RestoreUnnamed(_)));
}

/// Guards against target round trips for exchanges that can be answered without one.
#[test]
fn closed_statements_and_unknown_names_are_answered_without_a_target() {
    let mut frames = BytesMut::new();
    put_frame(&mut frames, b'C', &[b"Sa\0"]);
    put_frame(&mut frames, b'S', &[]);
    put_frame(&mut frames, b'B', &[b"\0missing\0\0\0\0\0\0\0"]);
    put_frame(&mut frames, b'S', &[]);
    put_frame(&mut frames, b'H', &[]);
    put_frame(&mut frames, b'S', &[]);
    let (found, _) = inputs_after_login(&frames);
    let closed = LocalRequest::Sync { close_count: 1 };
    assert!(matches!(&found[0], CallerInput::Local(request) if *request == closed));
    for (input, expected) in found[1..].iter().zip(["26000", "0A000"]) {
        assert!(matches!(
            input,
            CallerInput::Local(LocalRequest::Unsupported { sqlstate, .. }) if *sqlstate == expected
        ));
    }
}

/// Guards against exchanges of unbounded size and messages that the protocol phase does not allow.
#[test]
fn exchange_over_the_limit_and_unexpected_messages_end_the_session() {
    let mut frames = BytesMut::new();
    let body = vec![b'x'; EXCHANGE_LIMIT_BYTES / 2];
    for name in [b"a\0", b"b\0"] {
        put_frame(&mut frames, b'P', &[name, &body, b"\0\0\0"]);
    }
    let (_, error) = inputs_after_login(&frames);
    assert_eq!(error, Some(CallerError::ExchangeTooLarge));
    let mut frames = BytesMut::new();
    put_frame(&mut frames, b'p', &[b"again\0"]);
    assert_eq!(
        inputs_after_login(&frames).1,
        Some(CallerError::Malformed('p'))
    );
    assert_eq!(
        decode_inputs(&[0, 0, 0, 8, 0, 9, 0, 0]).1,
        Some(CallerError::StartUp)
    );
}

fn session_bytes() -> BytesMut {
    let mut bytes = login_bytes();
    put_frame(&mut bytes, b'Q', &[b"SELECT issue('s')\0"]);
    put_frame(&mut bytes, b'P', &[b"a\0SELECT $1\0\0\x01\0\0\0\x19"]);
    put_frame(&mut bytes, b'D', &[b"Sa\0"]);
    put_frame(&mut bytes, b'S', &[]);
    put_frame(&mut bytes, b'B', &[b"\0a\0\0\0\0\x01\0\0\0\x01x\0\0"]);
    put_frame(&mut bytes, b'E', &[b"\0\0\0\0\0"]);
    put_frame(&mut bytes, b'C', &[b"Sa\0"]);
    put_frame(&mut bytes, b'S', &[]);
    put_frame(&mut bytes, b'X', &[]);
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    /// Guards against panics and unbounded buffers on malformed input.
    #[test]
    fn mutated_bytes_never_panic_and_stay_within_limits(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        chunk_bytes in 1usize..64,
    ) {
        let mut bytes = session_bytes();
        for (index, byte) in changes {
            let at = index.index(bytes.len());
            bytes[at] = byte;
        }
        let mut session = CallerSession::default();
        let mut registry = StatementRegistry::default();
        let mut out = BytesMut::new();
        'stream: for chunk in bytes.chunks(chunk_bytes) {
            session.extend(chunk);
            loop {
                match session.next_input(&mut registry, &mut out) {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => break 'stream,
                }
            }
            prop_assert!(session.pending_bytes() <= EXCHANGE_LIMIT_BYTES);
        }
        prop_assert!(out.len() < 1_000);
    }
}
