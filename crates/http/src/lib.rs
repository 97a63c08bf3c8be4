//! Incremental HTTP/1.1 framing without sockets.
//!
//! A decoder takes bytes as they arrive and yields whole messages. Head and body have size
//! limits, so that a peer cannot make the process hold unbounded memory. Bodies are framed by
//! `Content-Length` only; no process of this project sends chunked bodies.

mod decode;
mod encode;
mod message;

pub use decode::DecodeError;
pub use decode::Limits;
pub use decode::RequestDecoder;
pub use decode::ResponseDecoder;
pub use encode::encode_request;
pub use encode::encode_request_with;
pub use encode::encode_response;
pub use message::Method;
pub use message::Request;
pub use message::Response;
