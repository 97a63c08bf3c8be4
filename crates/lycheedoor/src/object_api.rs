//! The codec for the platform's object API.

use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_http::Response;
use lycheedoor_platform::decode_answer;
use lycheedoor_platform::encode_call;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;

use crate::platform_link::PlatformCodec;
use crate::platform_link::call_name;

/// The [`PlatformCodec`] that production uses, for the object API of `lycheedoor_platform`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObjectApiCodec;

impl PlatformCodec for ObjectApiCodec {
    fn encode(&self, request: &PlatformRequest, out: &mut Vec<u8>) {
        encode_call(request, out);
    }

    /// Decodes a response; a malformed one is logged and treated like a missing answer, because
    /// nothing may be concluded from it.
    fn decode(&self, request: &PlatformRequest, response: &Response) -> PlatformAnswer {
        decode_answer(request, response).unwrap_or_else(|error| {
            let cause = error.to_string();
            let values = [call_name(request).into(), cause.as_str().into()];
            emit_limited_by_cause(&events::PLATFORM_ANSWER_MALFORMED, &cause, &values);
            PlatformAnswer::Unreachable
        })
    }
}
