//! Incremental decoding of HTTP messages.

use bytes::Bytes;
use bytes::BytesMut;

use crate::message::Method;
use crate::message::Request;
use crate::message::Response;

pub(crate) const MAX_HEADER_FIELDS: usize = 32;

/// Size limits of one message.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of the start line and the header fields together, in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 8 * 1024,
            body_bytes: 2 * 1024 * 1024,
        }
    }
}

/// An HTTP message that is malformed, unsupported or over a size limit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The start line or a header field is malformed.
    #[error("HTTP message is malformed: {0}")]
    Malformed(#[from] httparse::Error),
    /// The request method is not one of [`Method`].
    #[error("HTTP method {0:?} is not supported")]
    Method(String),
    /// The value of Content-Length is not a number, or the field is repeated.
    #[error("HTTP content length is not valid")]
    ContentLength,
    /// The message has a Transfer-Encoding field, which is not supported.
    #[error("HTTP transfer encodings are not supported")]
    TransferEncoding,
    /// The head is larger than the limit, given in bytes.
    #[error("HTTP head is larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The body is larger than the limit, given in bytes.
    #[error("HTTP body is larger than {0} bytes")]
    BodyTooLarge(usize),
}

struct Head<S> {
    start_line: S,
    head_bytes: usize,
    body_bytes: usize,
}

/// Decodes a stream of bytes into requests.
#[derive(Debug, Default)]
pub struct RequestDecoder {
    buffer: BytesMut,
    limits: Limits,
}

impl RequestDecoder {
    /// Creates a decoder with the given limits.
    pub fn new(limits: Limits) -> Self {
        Self {
            buffer: BytesMut::new(),
            limits,
        }
    }

    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole request, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are not an acceptable request. The stream cannot be decoded
    /// any further then.
    pub fn next_request(&mut self) -> Result<Option<Request>, DecodeError> {
        let Some(head) = parse_request_head(&self.buffer, &self.limits)? else {
            return check_head_size(&self.buffer, &self.limits);
        };
        let (method, target) = head.start_line;
        let message = take_message(
            &mut self.buffer,
            head.head_bytes,
            head.body_bytes,
            &self.limits,
        )?;
        Ok(message.map(|(_, body)| Request {
            method,
            target,
            body,
        }))
    }
}

/// Decodes a stream of bytes into responses.
#[derive(Debug, Default)]
pub struct ResponseDecoder {
    buffer: BytesMut,
    limits: Limits,
}

impl ResponseDecoder {
    /// Creates a decoder with the given limits.
    pub fn new(limits: Limits) -> Self {
        Self {
            buffer: BytesMut::new(),
            limits,
        }
    }

    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole response, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are not an acceptable response. The stream cannot be decoded
    /// any further then.
    pub fn next_response(&mut self) -> Result<Option<Response>, DecodeError> {
        let Some(head) = parse_response_head(&self.buffer, &self.limits)? else {
            return check_head_size(&self.buffer, &self.limits);
        };
        let status = head.start_line;
        let message = take_message(
            &mut self.buffer,
            head.head_bytes,
            head.body_bytes,
            &self.limits,
        )?;
        Ok(message.map(|(head, body)| Response { status, head, body }))
    }
}

fn parse_request_head(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<Head<(Method, String)>>, DecodeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_bytes) = parsed.parse(bytes)? else {
        return Ok(None);
    };
    check_size(head_bytes, limits.head_bytes, DecodeError::HeadTooLarge)?;
    let name = parsed.method.unwrap_or_default();
    let method = Method::parse(name).ok_or_else(|| DecodeError::Method(name.into()))?;
    let target = parsed.path.unwrap_or_default().to_owned();
    let body_bytes = content_length(parsed.headers)?;
    Ok(Some(Head {
        start_line: (method, target),
        head_bytes,
        body_bytes,
    }))
}

fn parse_response_head(bytes: &[u8], limits: &Limits) -> Result<Option<Head<u16>>, DecodeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head_bytes) = parsed.parse(bytes)? else {
        return Ok(None);
    };
    check_size(head_bytes, limits.head_bytes, DecodeError::HeadTooLarge)?;
    let status = parsed.code.unwrap_or_default();
    let body_bytes = content_length(parsed.headers)?;
    Ok(Some(Head {
        start_line: status,
        head_bytes,
        body_bytes,
    }))
}

fn check_head_size<T>(bytes: &[u8], limits: &Limits) -> Result<Option<T>, DecodeError> {
    check_size(bytes.len(), limits.head_bytes, DecodeError::HeadTooLarge)?;
    Ok(None)
}

fn check_size(
    size: usize,
    limit: usize,
    error: impl FnOnce(usize) -> DecodeError,
) -> Result<(), DecodeError> {
    if size > limit {
        Err(error(limit))
    } else {
        Ok(())
    }
}

/// Returns the body length.
///
/// Repeated lengths and transfer encodings are rejected, because two parties could disagree on
/// where such a message ends.
fn content_length(headers: &[httparse::Header<'_>]) -> Result<usize, DecodeError> {
    let mut length = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(DecodeError::TransferEncoding);
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| DecodeError::ContentLength)?;
            let value = text
                .trim()
                .parse()
                .map_err(|_| DecodeError::ContentLength)?;
            if length.replace(value).is_some() {
                return Err(DecodeError::ContentLength);
            }
        }
    }
    Ok(length.unwrap_or(0))
}

/// Removes a complete message from the buffer; returns its head and its body.
fn take_message(
    buffer: &mut BytesMut,
    head_bytes: usize,
    body_bytes: usize,
    limits: &Limits,
) -> Result<Option<(Bytes, Vec<u8>)>, DecodeError> {
    check_size(body_bytes, limits.body_bytes, DecodeError::BodyTooLarge)?;
    if buffer.len() - head_bytes < body_bytes {
        return Ok(None);
    }
    let head = buffer.split_to(head_bytes).freeze();
    Ok(Some((head, buffer.split_to(body_bytes).to_vec())))
}
