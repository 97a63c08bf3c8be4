//! Server side of the PostgreSQL v3 protocol for callers, without I/O.
//!
//! A [`CallerSession`] decodes the bytes of one caller into start-up parameters, statements and
//! requests that are answered without a target. The functions of [`reply`] encode the answers. The
//! tenant key in the password message is only kept as a digest.

pub mod reply;
mod session;
mod setting;
mod start_up;
mod statement;

pub use session::CallerError;
pub use session::CallerInput;
pub use session::CallerSession;
pub use session::StartUp;
pub use statement::LocalRequest;

/// Maximum size of a start-up packet or password message; PostgreSQL has the same limit.
pub const START_UP_LIMIT_BYTES: usize = 10_000;

/// Maximum size of an exchange: all frames up to and including Query or Sync.
pub const EXCHANGE_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of named prepared statements of one caller.
pub const NAMED_STATEMENT_LIMIT: usize = 256;

/// Name of the start-up option and the parameter status that carry the session token.
pub const SESSION_PARAMETER: &str = "lycheedoor.session";

/// Name of the start-up option and the setting that carry the idempotency key.
pub const IDEMPOTENCY_KEY_PARAMETER: &str = "lycheedoor.idempotency_key";
