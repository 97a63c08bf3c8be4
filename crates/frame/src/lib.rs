//! PostgreSQL v3 message framing without I/O, shared by the caller side and the target side.
//!
//! The message decoders of `pgwire` panic on truncated bodies and read past the end of a frame.
//! This crate therefore splits bytes from the network into whole frames and reads their fields
//! with bounds checks. `pgwire` only encodes messages and decodes bodies that were checked before.

mod decode;
mod encode;
mod exchange;
mod fields;

pub use decode::Frame;
pub use decode::FrameDecoder;
pub use decode::FrameError;
pub use encode::put_error;
pub use encode::put_frame;
pub use encode::put_message;
pub use encode::quote_literal;
pub use exchange::Exchange;
pub use exchange::Part;
pub use exchange::PreparedStatement;
pub use exchange::StatementRegistry;
pub use fields::error_field;
pub use fields::first_row;
pub use fields::rows;
pub use fields::take_cstring;

/// Bytes in front of a frame's body: the kind byte and the length field.
pub const HEADER_BYTES: usize = 5;
