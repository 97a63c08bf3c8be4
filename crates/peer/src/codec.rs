//! Encoding and decoding of messages and their confirmations.

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
/// Not stated: all bodies have the same type, and a message is hardly longer than the field.
const CONTENT_TYPE: &str = "";
const OK: u16 = 200;
const NO_CONTENT: u16 = 204;
const BAD_REQUEST: u16 = 400;
const HEAD_LIMIT_BYTES: usize = 1024;

const MESSAGE_LIMITS: Limits = Limits {
    head_bytes: HEAD_LIMIT_BYTES,
    body_bytes: MESSAGE_LIMIT_BYTES,
};

/// A message or confirmation that cannot be encoded or decoded, or was refused. After an error on
/// received bytes the connection must be closed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The HTTP message is malformed or over a size limit.
    #[error(transparent)]
    Http(#[from] DecodeError),
    /// The request is not `POST /peer`.
    #[error("request is not POST {PATH}")]
    Request,
    /// The body is not an encoded [`Envelope`].
    #[error("body is not a message: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message cannot be encoded.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The encoded message is larger than [`MESSAGE_LIMIT_BYTES`].
    #[error("message is larger than {MESSAGE_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The receiver refused the message with this HTTP status.
    #[error("message was refused with HTTP status {0}")]
    Refused(u16),
}

/// Encodes a message as a whole HTTP request.
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

/// Appends the confirmation of an accepted message to `out`.
pub fn encode_confirmation(out: &mut Vec<u8>) {
    encode_response(out, NO_CONTENT, CONTENT_TYPE, b"");
}

/// Appends the confirmation of an accepted message, with an answer to its sender, to `out`.
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

/// The receiver's response to a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Confirmation<M> {
    /// The receiver has accepted the message.
    Accepted,
    /// The receiver has accepted the message and answers with one of its own.
    Answered(Envelope<M>),
}

/// Decodes the messages of a connection on the receiving side.
#[derive(Debug)]
pub struct PeerServerCodec {
    decoder: RequestDecoder,
}

impl Default for PeerServerCodec {
    fn default() -> Self {
        Self {
            decoder: RequestDecoder::new(MESSAGE_LIMITS),
        }
    }
}

impl PeerServerCodec {
    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.decoder.extend(bytes);
    }

    /// Takes the next message, or `None` when more bytes are needed. Messages must be confirmed or
    /// answered in the order in which they arrived.
    ///
    /// # Errors
    ///
    /// Returns an error when the message is invalid and the connection must be closed. The error
    /// response to send before that has been appended to `out`.
    pub fn next_message<M: DeserializeOwned>(
        &mut self,
        out: &mut Vec<u8>,
    ) -> Result<Option<Envelope<M>>, PeerError> {
        let result = self.decode_message();
        if result.is_err() {
            encode_response(out, BAD_REQUEST, CONTENT_TYPE, b"");
        }
        result
    }

    fn decode_message<M: DeserializeOwned>(&mut self) -> Result<Option<Envelope<M>>, PeerError> {
        let Some(request) = self.decoder.next_request()? else {
            return Ok(None);
        };
        if request.method != Method::Post || request.path() != PATH {
            return Err(PeerError::Request);
        }
        Ok(Some(rmp_serde::from_slice(&request.body)?))
    }
}

/// Decodes the confirmations of a connection on the sending side.
#[derive(Debug)]
pub struct PeerClientCodec {
    decoder: ResponseDecoder,
}

impl Default for PeerClientCodec {
    fn default() -> Self {
        Self {
            decoder: ResponseDecoder::new(MESSAGE_LIMITS),
        }
    }
}

impl PeerClientCodec {
    /// Adds received bytes.
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
            Some(response) if response.status == NO_CONTENT => Ok(Some(Confirmation::Accepted)),
            Some(response) if response.status == OK => {
                let envelope = rmp_serde::from_slice(&response.body)?;
                Ok(Some(Confirmation::Answered(envelope)))
            }
            Some(response) => Err(PeerError::Refused(response.status)),
        }
    }
}
