//! The borders at which the encodings of callers, members and the platform are exchanged.

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_http::Response;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::CallerRequest;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::MemberAnswer;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberError;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectCall;
use lycheedoor_pool::PromotionOutcome;
use lycheedoor_pool::WriteOutcome;

/// A message that cannot be decoded; the connection is of no further use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidMessage {
    /// The message is over the size limit.
    #[error("message is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The message does not follow the protocol.
    #[error("message does not follow the protocol: {0}")]
    Malformed(String),
}

/// Encodes and decodes the connection of one caller.
pub trait CallerCodec {
    /// Adds bytes that have arrived.
    fn extend(&mut self, bytes: &[u8]);

    /// Takes the next whole message, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no message.
    fn next_request(&mut self) -> Result<Option<CallerRequest>, InvalidMessage>;

    /// Appends a reply.
    fn encode(&self, reply: &CallerReply, out: &mut Vec<u8>);
}

/// A message of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberMessage {
    /// The member has accepted the connection.
    Ready {
        /// The position of its log, if it reported one.
        position: Option<Position>,
    },
    /// The member has refused the connection.
    Refused(MemberError),
    /// The member has answered the oldest command.
    Answer(MemberAnswer),
}

/// Encodes and decodes one connection to a member.
pub trait MemberCodec {
    /// Appends the first message of the connection.
    fn encode_start(
        &self,
        group: &GroupId,
        workspace: &WorkspaceId,
        member: &MemberId,
        out: &mut Vec<u8>,
    );

    /// Appends a command.
    fn encode(&self, command: &MemberCommand, out: &mut Vec<u8>);

    /// Adds bytes that have arrived.
    fn extend(&mut self, bytes: &[u8]);

    /// Takes the next whole message, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no message.
    fn next_message(&mut self) -> Result<Option<MemberMessage>, InvalidMessage>;
}

/// The encodings of callers and members.
pub trait WireProtocol {
    /// Returns the codec for a new connection of a caller.
    fn caller_codec(&self) -> Box<dyn CallerCodec>;

    /// Returns the codec for a new connection to a member.
    fn member_codec(&self) -> Box<dyn MemberCodec>;
}

/// The encoding of the platform's store, over HTTP.
pub trait StoreCodec {
    /// Appends a read as a whole request.
    fn encode_read(&self, call: &ObjectCall, out: &mut Vec<u8>);

    /// Returns what the response to a read means.
    fn decode_read(&self, call: &ObjectCall, response: &Response) -> ObjectAnswer;

    /// Appends a conditional write as a whole request; `None` creates the record.
    fn encode_write(
        &self,
        name: &str,
        record: &FleetRecord,
        expected: Option<u64>,
        out: &mut Vec<u8>,
    );

    /// Appends the removal of a record as a whole request.
    fn encode_removal(&self, name: &str, expected: u64, out: &mut Vec<u8>);

    /// Returns what the response to a write or removal means.
    fn decode_write(&self, response: &Response) -> WriteOutcome;
}

/// The encoding of orders to promote a member, over HTTP.
pub trait PromotionCodec {
    /// Appends an order as a whole request.
    fn encode(&self, group: &GroupId, member: &MemberId, token: u64, out: &mut Vec<u8>);

    /// Returns what the response means.
    fn decode(&self, response: &Response) -> PromotionOutcome;
}
