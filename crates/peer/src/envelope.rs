//! What travels around each message.

use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::VmId;
use lycheedoor_core::vm::PeerMessage;
use serde::Deserialize;
use serde::Serialize;

/// A received message with its sender.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Envelope<M = PeerMessage> {
    /// The sender.
    pub from: VmId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's hybrid logical clock, which orders events of several processes.
    pub clock: HybridTime,
    /// The message.
    pub message: M,
}

/// A message to send; has the same encoding as [`Envelope`].
#[derive(Clone, Copy, Debug, Serialize)]
pub struct EnvelopeView<'a, M = PeerMessage> {
    /// The sender.
    pub from: &'a VmId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's hybrid logical clock.
    pub clock: HybridTime,
    /// The message.
    pub message: &'a M,
}
