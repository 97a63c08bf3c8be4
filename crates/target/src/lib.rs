//! Client side of the PostgreSQL v3 protocol for targets, without I/O.
//!
//! A [`TargetCodec`] encodes statements and decodes whole answers. The workspace and the
//! idempotency key are sent as session settings in front of each statement. A caller's tenant key
//! is never passed to this crate.

mod codec;
mod control;
mod prepared;

pub use codec::TargetAnswer;
pub use codec::TargetCodec;
pub use codec::TargetError;
pub use codec::TargetOutput;
pub use codec::TargetRole;
pub use control::command_text;
pub use control::parse_member_state;

/// User name in the start-up packets that are sent to targets.
pub const TARGET_USER: &str = "lycheedoor";

/// Maximum size of an answer that is buffered for a caller. A larger answer is replaced by an
/// error.
pub const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Name of the parameter status in which a member reports its log position.
pub const POSITION_PARAMETER: &str = "lycheedoor.position";

/// Name of the start-up option that marks a connection for control commands.
///
/// Members refuse control commands on connections without it, so that the text of a caller's
/// statement can never act as a control command.
pub const CONTROL_PARAMETER: &str = "lycheedoor.control";
