//! Object API messages: values and names must survive encoding and decoding unchanged, and input
//! that does not follow the API must give an error that quotes none of it.
#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it only inside test functions"
)]

use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_http::RequestDecoder;
use lycheedoor_http::Response;
use lycheedoor_platform::MAX_VALUE_BYTES;
use lycheedoor_platform::PlatformError;
use lycheedoor_platform::ServerCall;
use lycheedoor_platform::WIRE_LIMITS;
use lycheedoor_platform::decode_answer;
use lycheedoor_platform::decode_server_call;
use lycheedoor_platform::decode_vms;
use lycheedoor_platform::encode_call;
use proptest::prelude::*;

fn put(object: &str, value: Vec<u8>) -> PlatformRequest {
    PlatformRequest::Put {
        object: object.into(),
        expected_version: 7,
        value,
    }
}

fn decode_call(request: &PlatformRequest) -> Result<Option<ServerCall>, PlatformError> {
    let mut bytes = Vec::new();
    encode_call(request, &mut bytes);
    let mut decoder = RequestDecoder::new(WIRE_LIMITS);
    decoder.extend(&bytes);
    decode_server_call(&decoder.next_request().unwrap().unwrap())
}

#[test]
fn largest_value_of_any_bytes_fits_the_wire_limits() {
    for byte in [0u8, b'"', b'\n', 0x7f, 0xff] {
        let value = vec![byte; MAX_VALUE_BYTES];
        let received = decode_call(&put("config", value.clone())).unwrap();
        assert!(matches!(received, Some(ServerCall::Put { value: got, .. }) if got == value));
    }
    let larger = decode_call(&put("config", vec![b'a'; MAX_VALUE_BYTES + 1]));
    assert!(matches!(larger, Err(PlatformError::TooLarge)));
}

#[test]
fn unchanged_response_takes_its_version_from_the_request() {
    let request = PlatformRequest::Watch {
        object: "fence".into(),
        known_version: 9,
    };
    let response = Response {
        status: 304,
        body: Vec::new(),
        ..Response::default()
    };
    let answer = decode_answer(&request, &response).unwrap();
    assert_eq!(answer, PlatformAnswer::Unchanged { version: 9 });
}

#[test]
fn errors_do_not_quote_the_body() {
    let response = Response {
        status: 200,
        body: br#"{"version":"sample-secret","value":"sample-secret"}"#.to_vec(),
        ..Response::default()
    };
    let error = decode_answer(&put("config", Vec::new()), &response).unwrap_err();
    assert!(!format!("{error} {error:?}").contains("sample-secret"));
}

proptest! {
    #[test]
    fn names_and_values_survive_encoding_and_decoding(object in ".{1,20}", value: Vec<u8>) {
        let received = decode_call(&put(&object, value.clone())).unwrap();
        prop_assert_eq!(received, Some(ServerCall::Put { object, expected_version: 7, value }));
    }

    #[test]
    fn decoding_mutated_bodies_never_panics(index in 0usize..200, byte: u8, status in 200u16..510) {
        let mut body = br#"[{"vm":"a","data_centre":"d","peer_address":"127.0.0.1:1","operator_address":"127.0.0.1:2","state":"live"}]"#.to_vec();
        let index = index % body.len();
        body[index] = byte;
        let _ = decode_vms(&Response { status, body, ..Response::default() });
        let mut body = br#"{"version":3,"value":{"hex":"00ff"}}"#.to_vec();
        let index = index % body.len();
        body[index] = byte;
        let get = PlatformRequest::Get { object: "config".into(), known_version: 0 };
        let _ = decode_answer(&get, &Response { status, body: body.clone(), ..Response::default() });
        let _ = decode_answer(&put("config", Vec::new()), &Response { status, body, ..Response::default() });
    }

    #[test]
    fn decoding_mutated_requests_never_panics(index in 0usize..200, byte: u8) {
        let mut bytes = Vec::new();
        encode_call(&put("status/a b", b"value".to_vec()), &mut bytes);
        let index = index % bytes.len();
        bytes[index] = byte;
        let mut decoder = RequestDecoder::new(WIRE_LIMITS);
        decoder.extend(&bytes);
        if let Ok(Some(request)) = decoder.next_request() {
            let _ = decode_server_call(&request);
        }
    }
}
