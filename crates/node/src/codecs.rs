//! Traits for the encodings of callers, members and the platform, which the embedder supplies.

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
use lycheedoor_pool::StoreRevision;
use lycheedoor_pool::WriteOutcome;
use lycheedoor_pool::usage_report::FixedWindow;
use lycheedoor_pool::usage_report::UsageOutcome;

/// A message that cannot be decoded; the connection cannot be used any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidMessage {
    /// The message is over the size limit.
    #[error("message is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The largest size that is accepted, in bytes.
        limit_bytes: usize,
    },
    /// The message does not follow the protocol.
    #[error("message does not follow the protocol: {0}")]
    Malformed(String),
}

/// Encodes and decodes the connection of one caller.
pub trait CallerCodec {
    /// Appends received bytes to the input buffer.
    fn extend(&mut self, bytes: &[u8]);

    /// Returns the number of received bytes that have not been decoded.
    fn buffered_bytes(&self) -> usize;

    /// Returns the memory that the input buffer occupies, in bytes.
    fn allocated_bytes(&self) -> usize;

    /// Removes and returns the next complete message, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error when the buffered bytes are not a valid message.
    fn next_request(&mut self) -> Result<Option<CallerRequest>, InvalidMessage>;

    /// Appends the encoded reply to `out`.
    fn encode(&self, reply: &CallerReply, out: &mut Vec<u8>);
}

/// A message from a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberMessage {
    /// The member has accepted the connection.
    Ready {
        /// The position of the member's log, or `None` if it reported none.
        position: Option<Position>,
    },
    /// The member has refused the connection.
    Refused(MemberError),
    /// The member has answered the oldest command that has no answer yet.
    Answer(MemberAnswer),
}

/// Encodes and decodes one connection to a member.
pub trait MemberCodec {
    /// Appends the message that opens the connection for a workspace and a member.
    fn encode_start(
        &self,
        group: &GroupId,
        workspace: &WorkspaceId,
        member: &MemberId,
        out: &mut Vec<u8>,
    );

    /// Appends the encoded command to `out`.
    fn encode(&self, command: &MemberCommand, out: &mut Vec<u8>);

    /// Appends received bytes to the input buffer.
    fn extend(&mut self, bytes: &[u8]);

    /// Removes and returns the next complete message, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error when the buffered bytes are not a valid message.
    fn next_message(&mut self) -> Result<Option<MemberMessage>, InvalidMessage>;
}

/// Creates the codecs for connections of callers and to members.
pub trait WireProtocol {
    /// Creates the codec for a new connection of a caller.
    fn caller_codec(&self) -> Box<dyn CallerCodec>;

    /// Creates the codec for a new connection to a member.
    fn member_codec(&self) -> Box<dyn MemberCodec>;
}

/// The encoding of the platform's store, over HTTP.
pub trait StoreCodec {
    /// Appends a complete HTTP request that lists or watches objects.
    fn encode_read(&self, call: &ObjectCall, out: &mut Vec<u8>);

    /// Returns the result of a read from its response.
    fn decode_read(&self, call: &ObjectCall, response: &Response) -> ObjectAnswer;

    /// Appends a complete HTTP request that replaces the record if its revision is `expected`, or
    /// that creates it if `expected` is `None`.
    fn encode_write(
        &self,
        name: &str,
        record: &FleetRecord,
        expected: Option<StoreRevision>,
        out: &mut Vec<u8>,
    );

    /// Appends a complete HTTP request that removes the record if its revision is `expected`.
    fn encode_removal(&self, name: &str, expected: StoreRevision, out: &mut Vec<u8>);

    /// Returns how often the store has come back from a copy, by any of its responses; `None` if the
    /// response does not tell.
    fn decode_era(&self, response: &Response) -> Option<u64>;

    /// Returns the outcome of a write or removal from its response.
    fn decode_write(&self, response: &Response) -> WriteOutcome;
}

/// The encoding of requests to promote a member, over HTTP.
pub trait PromotionCodec {
    /// Appends a complete HTTP request that promotes `member` under the fencing token `token`.
    fn encode(&self, group: &GroupId, member: &MemberId, token: u64, out: &mut Vec<u8>);

    /// Returns the outcome of a promotion from its response.
    fn decode(&self, response: &Response) -> PromotionOutcome;
}

/// The encoding of reports of usage, over HTTP.
pub trait UsageCodec {
    /// Appends a complete HTTP request that reports a window under the fencing token `token`.
    fn encode(&self, window: &FixedWindow, token: u64, out: &mut Vec<u8>);

    /// Returns the outcome of a report from its response.
    fn decode(&self, response: &Response) -> UsageOutcome;
}
