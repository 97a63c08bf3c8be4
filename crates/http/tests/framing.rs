//! HTTP framing: messages must decode from any split of the bytes, and invalid input must cause an
//! error instead of a panic or unbounded memory use.

use lycheedoor_http::DecodeError;
use lycheedoor_http::Limits;
use lycheedoor_http::Method;
use lycheedoor_http::RequestDecoder;
use lycheedoor_http::ResponseDecoder;
use lycheedoor_http::encode_request;
use lycheedoor_http::encode_response;
use proptest::prelude::*;

/// Guards against requests that are lost or joined when the bytes arrive in pieces.
#[test]
fn requests_decode_when_bytes_arrive_one_by_one() {
    let mut bytes = Vec::new();
    encode_request(
        &mut bytes,
        Method::Put,
        "/objects/a?version=3",
        "text/plain",
        b"first",
    );
    encode_request(&mut bytes, Method::Get, "/objects/b", "text/plain", b"");
    let mut decoder = RequestDecoder::default();
    let mut decoded = Vec::new();
    for byte in bytes {
        decoder.extend(&[byte]);
        decoded.extend(decoder.next_request().unwrap());
    }
    assert_eq!(decoded.len(), 2);
    assert_eq!(decoded[0].query("version"), Some("3"));
    assert_eq!(decoded[0].path(), "/objects/a");
    assert_eq!(decoded[0].body, b"first");
    assert_eq!(decoded[1].method, Method::Get);
}

/// Guards against buffering a body of any announced length.
#[test]
fn body_over_the_limit_is_rejected_before_it_arrives() {
    let mut decoder = ResponseDecoder::new(Limits {
        head_bytes: 100,
        body_bytes: 10,
    });
    decoder.extend(b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n");
    assert_eq!(decoder.next_response(), Err(DecodeError::BodyTooLarge(10)));
}

/// Guards against buffering a head without an end.
#[test]
fn head_over_the_limit_is_rejected() {
    let mut decoder = RequestDecoder::new(Limits {
        head_bytes: 100,
        body_bytes: 10,
    });
    decoder.extend(format!("GET /{}", "a".repeat(200)).as_bytes());
    assert_eq!(decoder.next_request(), Err(DecodeError::HeadTooLarge(100)));
}

/// Guards against request smuggling through a message whose end is ambiguous.
#[test]
fn repeated_content_length_is_rejected() {
    let mut decoder = RequestDecoder::default();
    decoder.extend(b"GET / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab");
    assert_eq!(decoder.next_request(), Err(DecodeError::ContentLength));
}

proptest! {
    /// Guards against panics on malformed responses.
    #[test]
    fn mutated_bytes_never_panic(position in 0usize..80, byte: u8) {
        let mut bytes = Vec::new();
        encode_response(&mut bytes, 200, "text/plain", b"body");
        let index = position % bytes.len();
        bytes[index] = byte;
        let mut decoder = ResponseDecoder::default();
        decoder.extend(&bytes);
        let _ = decoder.next_response();
    }
}
