//! Framing: malformed input must not cause a panic or grow the buffer beyond the limit.

use bytes::BytesMut;
use lycheedoor_frame::FrameDecoder;
use lycheedoor_frame::FrameError;
use lycheedoor_frame::error_field;
use lycheedoor_frame::put_error;
use lycheedoor_frame::put_frame;
use lycheedoor_frame::quote_literal;
use lycheedoor_frame::rows;
use proptest::prelude::*;

const LIMIT_BYTES: usize = 64;

/// Guards against buffering a frame of any announced length.
#[test]
fn oversized_frame_is_rejected_before_its_body_arrives() {
    let mut decoder = FrameDecoder::new(LIMIT_BYTES);
    decoder.extend(&[b'Q', 0x7f, 0xff, 0xff, 0xff]);
    assert_eq!(decoder.next_frame(), Err(FrameError::TooLarge(LIMIT_BYTES)));
}

/// Guards against frames that end before their own length field does.
#[test]
fn length_below_its_own_size_is_rejected() {
    let mut decoder = FrameDecoder::new(LIMIT_BYTES);
    decoder.extend(&[b'Q', 0, 0, 0, 3]);
    assert_eq!(decoder.next_frame(), Err(FrameError::TooShort));
}

/// Guards against SQL injection through quoted text.
#[test]
fn quotes_and_backslashes_do_not_end_a_literal() {
    assert_eq!(quote_literal("a'; DROP"), "'a''; DROP'");
    assert_eq!(quote_literal("a\\'b\0"), "E'a\\\\''b'");
}

proptest! {
    /// Guards against frames that are lost or changed when the stream is cut at any place.
    #[test]
    fn frames_decode_from_any_split(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 1..8),
        chunk_bytes in 1usize..20,
    ) {
        let mut bytes = BytesMut::new();
        for body in &bodies {
            put_frame(&mut bytes, b'D', &[body]);
        }
        let mut decoder = FrameDecoder::new(LIMIT_BYTES);
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_bytes) {
            decoder.extend(chunk);
            while let Some(frame) = decoder.next_frame().unwrap() {
                decoded.push(frame.body().to_vec());
            }
            prop_assert!(decoder.pending_bytes() <= LIMIT_BYTES);
        }
        prop_assert_eq!(decoded, bodies);
    }

    #[test]
    fn arbitrary_bytes_never_panic_and_stay_within_the_limit(
        bytes in prop::collection::vec(any::<u8>(), 0..500),
    ) {
        let mut decoder = FrameDecoder::new(LIMIT_BYTES);
        'stream: for chunk in bytes.chunks(16) {
            decoder.extend(chunk);
            loop {
                match decoder.next_frame() {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => break 'stream,
                }
            }
            prop_assert!(decoder.pending_bytes() <= LIMIT_BYTES);
        }
    }

    #[test]
    fn field_readers_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = rows(&bytes);
        let mut body = bytes;
        let _ = error_field(&body, b'C');
        let mut error = BytesMut::new();
        put_error(&mut error, "ERROR", "42601", "text", None);
        body.splice(0..0, error[5..].iter().copied());
        let _ = error_field(&body, b'C');
    }
}
