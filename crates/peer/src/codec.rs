//! Encoding and decoding of both directions.

use lycheedoor_http::DecodeError;
use lycheedoor_http::Limits;
use lycheedoor_http::Method;
use lycheedoor_http::RequestDecoder;
use lycheedoor_http::ResponseDecoder;
use lycheedoor_http::encode_request;
use lycheedoor_http::encode_response;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Envelope;
use crate::EnvelopeView;
use crate::MESSAGE_LIMIT_BYTES;

const PATH: &str = "/peer";
const CONTENT_TYPE: &str = "application/msgpack";
const OK: u16 = 200;
const NO_CONTENT: u16 = 204;
const BAD_REQUEST: u16 = 400;
const HEAD_LIMIT_BYTES: usize = 1024;

const LIMITS: Limits = Limits {
    head_bytes: HEAD_LIMIT_BYTES,
    body_bytes: MESSAGE_LIMIT_BYTES,
};

/// Another VM has sent something that is no message; its connection ends.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The HTTP framing is broken or over a limit.
    #[error(transparent)]
    Http(#[from] DecodeError),
    /// The request is not `POST /peer`.
    #[error("request is not POST {PATH}")]
    Request,
    /// The body is no envelope.
    #[error("body is not a message: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message cannot be encoded.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The message is over the limit.
    #[error("message is larger than {MESSAGE_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The receiver refused the message.
    #[error("message was refused with HTTP status {0}")]
    Refused(u16),
}

/// Returns the bytes of a message as a whole HTTP request.
///
/// # Errors
///
/// Returns an error when the message cannot be encoded or is over the limit.
pub fn encode_message(envelope: &EnvelopeView<'_, impl Serialize>) -> Result<Vec<u8>, PeerError> {
    let body = encode_body(envelope)?;
    let mut out = Vec::with_capacity(body.len() + HEAD_LIMIT_BYTES / 4);
    encode_request(&mut out, Method::Post, PATH, CONTENT_TYPE, &body);
    Ok(out)
}

/// Appends the confirmation of a message that has been taken.
pub fn encode_confirmation(out: &mut Vec<u8>) {
    encode_response(out, NO_CONTENT, CONTENT_TYPE, b"");
}

/// Appends the confirmation of a message together with a message for its sender.
///
/// # Errors
///
/// Returns an error when the message cannot be encoded or is over the limit; nothing is appended
/// then.
pub fn encode_answer(
    out: &mut Vec<u8>,
    envelope: &EnvelopeView<'_, impl Serialize>,
) -> Result<(), PeerError> {
    encode_response(out, OK, CONTENT_TYPE, &encode_body(envelope)?);
    Ok(())
}

fn encode_body(envelope: &EnvelopeView<'_, impl Serialize>) -> Result<Vec<u8>, PeerError> {
    let body = rmp_serde::to_vec(envelope)?;
    if body.len() > MESSAGE_LIMIT_BYTES {
        return Err(PeerError::TooLarge);
    }
    Ok(body)
}

/// What a message was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Confirmation<M> {
    /// The receiver has taken the message.
    Taken,
    /// The receiver has taken the message and sends one of its own.
    Answered(Envelope<M>),
}

/// The receiving side of a connection.
#[derive(Debug)]
pub struct PeerServerCodec {
    decoder: RequestDecoder,
}

impl Default for PeerServerCodec {
    fn default() -> Self {
        Self {
            decoder: RequestDecoder::new(LIMITS),
        }
    }
}

impl PeerServerCodec {
    /// Adds bytes that have arrived.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.decoder.extend(bytes);
    }

    /// Takes the next message, or `None` when more bytes are needed. Each message has to be
    /// confirmed or answered in the order of arrival.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection must be closed; `out` then holds the response that
    /// says so.
    pub fn next_message<M: DeserializeOwned>(
        &mut self,
        out: &mut Vec<u8>,
    ) -> Result<Option<Envelope<M>>, PeerError> {
        let result = self.decode();
        if result.is_err() {
            encode_response(out, BAD_REQUEST, CONTENT_TYPE, b"");
        }
        result
    }

    fn decode<M: DeserializeOwned>(&mut self) -> Result<Option<Envelope<M>>, PeerError> {
        let Some(request) = self.decoder.next_request()? else {
            return Ok(None);
        };
        if request.method != Method::Post || request.path() != PATH {
            return Err(PeerError::Request);
        }
        Ok(Some(rmp_serde::from_slice(&request.body)?))
    }
}

/// The sending side of a connection.
#[derive(Debug)]
pub struct PeerClientCodec {
    decoder: ResponseDecoder,
}

impl Default for PeerClientCodec {
    fn default() -> Self {
        Self {
            decoder: ResponseDecoder::new(LIMITS),
        }
    }
}

impl PeerClientCodec {
    /// Adds bytes that have arrived.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.decoder.extend(bytes);
    }

    /// Takes the next confirmation, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error when the receiver refused a message or its response is malformed; the
    /// connection must be closed.
    pub fn next_confirmation<M: DeserializeOwned>(
        &mut self,
    ) -> Result<Option<Confirmation<M>>, PeerError> {
        match self.decoder.next_response()? {
            None => Ok(None),
            Some(response) if response.status == NO_CONTENT => Ok(Some(Confirmation::Taken)),
            Some(response) if response.status == OK => {
                let envelope = rmp_serde::from_slice(&response.body)?;
                Ok(Some(Confirmation::Answered(envelope)))
            }
            Some(response) => Err(PeerError::Refused(response.status)),
        }
    }
}
