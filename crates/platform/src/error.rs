//! Errors of calls to the platform.

use std::io;

use lycheedoor_http::DecodeError;

/// A request to the platform has failed.
///
/// No variant contains any part of a body, because values can hold session secrets.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The platform responded with a status that the object API does not define for the request.
    #[error("platform answered with unexpected status {0}")]
    Status(u16),
    /// The value is larger than the platform accepts.
    #[error("value is larger than the platform accepts")]
    TooLarge,
    /// The body or target of a message does not follow the object API.
    #[error("{0} does not follow the object API")]
    Malformed(&'static str),
    /// The response is malformed HTTP or exceeds the size limits.
    #[error("platform sent a malformed or oversized HTTP message")]
    Http(#[from] DecodeError),
    /// The connection failed; if the request was a write, it may have taken effect.
    #[error("platform cannot be reached")]
    Unreachable(#[from] io::Error),
}
