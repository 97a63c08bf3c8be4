//! Envelope of the messages between VMs.

use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::VmId;
use lycheedoor_core::vm::PeerMessage;
use serde::Deserialize;
use serde::Serialize;

/// A received message, with information about its sender.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Envelope<M = PeerMessage> {
    /// Name of the VM that sent the message.
    pub from: VmId,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The sender's hybrid logical clock, which orders the events of several processes.
    pub clock: HybridTime,
    /// The content of the message.
    pub message: M,
}

/// A message to send, borrowed from the sender. It has the same encoding as [`Envelope`].
#[derive(Clone, Copy, Debug, Serialize)]
pub struct EnvelopeView<'a, M = PeerMessage> {
    /// Name of the sending VM.
    pub from: &'a VmId,
    /// The incarnation of the sending process.
    pub incarnation: Incarnation,
    /// The sender's hybrid logical clock, which orders the events of several processes.
    pub clock: HybridTime,
    /// The content of the message.
    pub message: &'a M,
}
