//! Messages between VMs: HTTP with `rmp-serde`, without sockets.
//!
//! A message travels as `POST /peer`. The response confirms it with 204, or with 200 and a message
//! for the sender in its body: most messages ask something, and an answer of its own would cost one
//! more exchange.

mod codec;
mod envelope;

pub use codec::Confirmation;
pub use codec::PeerClientCodec;
pub use codec::PeerError;
pub use codec::PeerServerCodec;
pub use codec::encode_answer;
pub use codec::encode_confirmation;
pub use codec::encode_message;
pub use envelope::Envelope;
pub use envelope::EnvelopeView;

/// The largest encoded message: a configuration of a megabyte with room for its envelope.
pub const MESSAGE_LIMIT_BYTES: usize = 2 * 1024 * 1024;
