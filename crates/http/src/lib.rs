//! Incremental HTTP/1.1 framing without I/O.
//!
//! The decoders take bytes as they arrive and return whole messages. Size limits for the head and
//! the body bound the memory that a peer can make the process use. Bodies are framed by
//! `Content-Length` only, as no process of this project sends chunked bodies.

mod decode;
mod encode;
mod message;

pub use decode::DecodeError;
pub use decode::Limits;
pub use decode::RequestDecoder;
pub use decode::ResponseDecoder;
pub use encode::encode_request;
pub use encode::encode_request_with_headers;
pub use encode::encode_response;
pub use message::Method;
pub use message::Request;
pub use message::Response;
