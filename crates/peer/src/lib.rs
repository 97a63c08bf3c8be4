//! Messages between VMs, as MessagePack over HTTP, without I/O.
//!
//! A message is sent as `POST /peer`. The response confirms it with 204, or with 200 and a message
//! for the sender in the body. Most messages are queries, and an answer in a separate request would
//! cost another round trip.

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

/// Maximum size of an encoded message: enough for a configuration of a megabyte and its envelope.
pub const MESSAGE_LIMIT_BYTES: usize = 2 * 1024 * 1024;
