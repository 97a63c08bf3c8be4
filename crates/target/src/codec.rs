//! Protocol state of one connection to a target.

use bytes::Bytes;
use bytes::BytesMut;
use lycheedoor_core::types::Position;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_frame::Exchange;
use lycheedoor_frame::Frame;
use lycheedoor_frame::FrameDecoder;
use lycheedoor_frame::FrameError;
use lycheedoor_frame::HEADER_BYTES;
use lycheedoor_frame::Part;
use lycheedoor_frame::error_field;
use lycheedoor_frame::put_error;
use lycheedoor_frame::put_frame;
use lycheedoor_frame::put_message;
use lycheedoor_frame::quote_literal;
use lycheedoor_frame::take_cstring;
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::startup::Startup;

use crate::ANSWER_LIMIT_BYTES;
use crate::CONTROL_PARAMETER;
use crate::POSITION_PARAMETER;
use crate::TARGET_USER;
use crate::prepared::PreparedStatementCache;

const QUERY: u8 = b'Q';
const COPY_FAIL: u8 = b'f';
const SYNC: u8 = b'S';
/// Length and request code (80877102) of a cancel request.
const CANCEL_REQUEST_HEADER: [u8; 8] = [0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e];

/// Body of an AuthenticationOk message.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];

/// The purpose of a connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRole {
    /// Statements of callers.
    Statements,
    /// Control commands.
    Control,
}

/// An unusable message from a target, after which the connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// A frame's length is invalid or over the limit.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A message of this kind is malformed.
    #[error("message of kind {0:?} from the target is malformed or out of place")]
    Malformed(char),
    /// The target requests an authentication method; only AuthenticationOk is supported.
    #[error("target asks for an authentication method that is not supported")]
    Authentication,
    /// The target refused the start-up or the session settings, with this SQLSTATE.
    #[error("target refused the session with SQLSTATE {0}")]
    Refused(String),
}

/// A whole answer to a statement or command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetAnswer {
    /// The frames to forward to the caller. The last one is ReadyForQuery.
    pub frames: Bytes,
    /// The log position that the member reported with the answer, or `None` if it reported none.
    pub position: Option<Position>,
    /// The transaction status after the answer, from ReadyForQuery.
    pub status: TransactionStatus,
    /// Whether the answer contains an error or was larger than [`ANSWER_LIMIT_BYTES`].
    pub failed: bool,
}

/// An event in the stream of messages from a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetOutput {
    /// The start-up is complete; statements and commands can be sent.
    Opened,
    /// The answer to the statement or command in progress is complete.
    Answered(TargetAnswer),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    StartUp,
    Idle,
    Settings,
    Answer,
}

/// Encodes requests to one target and decodes its answers.
#[derive(Debug)]
pub struct TargetCodec {
    decoder: FrameDecoder,
    phase: Phase,
    backend_key: Option<[u8; 8]>,
    prepared: PreparedStatementCache,
    settings_error: Option<String>,
    answer: BytesMut,
    answer_too_large: bool,
    position: Option<Position>,
    failed: bool,
    is_extended_query: bool,
}

impl TargetCodec {
    /// Creates the codec of a new connection and appends the start-up packet to `out`.
    pub fn open(out: &mut BytesMut, role: TargetRole, database: &str) -> Self {
        let mut start_up = Startup::default();
        let mut set_parameter = |name: &str, value: &str| {
            start_up
                .parameters
                .insert(name.to_owned(), value.to_owned());
        };
        set_parameter("user", TARGET_USER);
        set_parameter("database", database);
        if role == TargetRole::Control {
            set_parameter(CONTROL_PARAMETER, "on");
        }
        put_message(out, &start_up);
        Self {
            decoder: FrameDecoder::new(ANSWER_LIMIT_BYTES),
            phase: Phase::StartUp,
            backend_key: None,
            prepared: PreparedStatementCache::default(),
            settings_error: None,
            answer: BytesMut::new(),
            answer_too_large: false,
            position: None,
            failed: false,
            is_extended_query: false,
        }
    }

    /// Returns whether a statement or command can be sent now.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Appends the session settings and the frames of a statement to `out`.
    ///
    /// The connection must be idle. The settings are sent with each statement, because a statement
    /// that ran with the settings of another workspace would break the isolation of workspaces.
    pub fn send_statement(
        &mut self,
        out: &mut BytesMut,
        workspace: &str,
        idempotency_key: Option<&str>,
        exchange: &Exchange,
    ) {
        let settings = format!(
            "SET lycheedoor.workspace = {}; SET lycheedoor.idempotency_key = {}",
            quote_literal(workspace),
            quote_literal(idempotency_key.unwrap_or_default()),
        );
        put_frame(out, QUERY, &[settings.as_bytes(), b"\0"]);
        self.is_extended_query = match exchange.parts.last() {
            Some(Part::Raw(frame)) => frame.first() == Some(&SYNC),
            _ => false,
        };
        if self.is_extended_query {
            self.prepared.put_evictions(out);
        }
        self.prepared.put_exchange(out, exchange);
        self.begin_request(Phase::Settings);
    }

    /// Appends a simple query without session settings to `out`.
    ///
    /// The connection must be idle.
    pub fn send_command(&mut self, out: &mut BytesMut, text: &str) {
        put_frame(out, QUERY, &[text.as_bytes(), b"\0"]);
        self.is_extended_query = false;
        self.begin_request(Phase::Answer);
    }

    /// Returns the packet that cancels the statement in progress when it is sent on another
    /// connection. Returns `None` when no statement is in progress or the target has sent no
    /// BackendKeyData.
    pub fn cancel_request(&self) -> Option<[u8; 16]> {
        if matches!(self.phase, Phase::StartUp | Phase::Idle) {
            return None;
        }
        let mut packet = [0; 16];
        let (head, key) = packet.split_at_mut(CANCEL_REQUEST_HEADER.len());
        head.copy_from_slice(&CANCEL_REQUEST_HEADER);
        key.copy_from_slice(&self.backend_key?);
        Some(packet)
    }

    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.decoder.extend(bytes);
    }

    /// Handles received frames up to the next output, or returns `None` when more bytes are needed.
    /// Protocol replies to the target are appended to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection must be closed.
    pub fn next_output(&mut self, out: &mut BytesMut) -> Result<Option<TargetOutput>, TargetError> {
        while let Some(frame) = self.decoder.next_frame()? {
            let output = match self.phase {
                Phase::StartUp => self.handle_start_up_frame(&frame)?,
                Phase::Idle => None,
                Phase::Settings => self.handle_settings_frame(&frame)?,
                Phase::Answer => self.handle_answer_frame(out, &frame)?,
            };
            if output.is_some() {
                return Ok(output);
            }
        }
        Ok(None)
    }

    fn begin_request(&mut self, phase: Phase) {
        self.phase = phase;
        self.answer = BytesMut::new();
        self.answer_too_large = false;
        self.position = None;
        self.failed = false;
        self.settings_error = None;
    }

    fn handle_start_up_frame(
        &mut self,
        frame: &Frame,
    ) -> Result<Option<TargetOutput>, TargetError> {
        match frame.kind() {
            b'R' if frame.body() == AUTHENTICATION_OK => Ok(None),
            b'R' => Err(TargetError::Authentication),
            b'E' => Err(refused_error(frame)),
            b'K' => {
                self.backend_key = frame.body().try_into().ok();
                Ok(None)
            }
            b'Z' => {
                self.phase = Phase::Idle;
                Ok(Some(TargetOutput::Opened))
            }
            _ => Ok(None),
        }
    }

    fn handle_settings_frame(
        &mut self,
        frame: &Frame,
    ) -> Result<Option<TargetOutput>, TargetError> {
        match frame.kind() {
            b'E' => self.settings_error = error_sqlstate(frame),
            b'Z' => {
                let status = transaction_status(frame)?;
                // A failed transaction rejects SET, but must still accept ROLLBACK. Any other
                // statement in it fails anyway.
                if let Some(sqlstate) = self.settings_error.take()
                    && status != TransactionStatus::Failed
                {
                    return Err(TargetError::Refused(sqlstate));
                }
                self.phase = Phase::Answer;
            }
            _ => {}
        }
        Ok(None)
    }

    fn handle_answer_frame(
        &mut self,
        out: &mut BytesMut,
        frame: &Frame,
    ) -> Result<Option<TargetOutput>, TargetError> {
        match frame.kind() {
            b'S' if self.take_position(frame)? => return Ok(None),
            b'1' | b'3' if !self.prepared.confirm(frame.kind()) => return Ok(None),
            b'G' | b'W' => {
                self.refuse_copy(out);
                return Ok(None);
            }
            b'E' => {
                self.failed = true;
                self.prepared.skip_to_sync();
            }
            b'Z' => return self.finish_answer(frame).map(Some),
            _ => {}
        }
        self.append_to_answer(frame);
        Ok(None)
    }

    fn append_to_answer(&mut self, frame: &Frame) {
        if self.answer.len() + frame.bytes().len() > ANSWER_LIMIT_BYTES {
            self.answer_too_large = true;
            self.answer = BytesMut::new();
        }
        if !self.answer_too_large {
            self.answer.extend_from_slice(frame.bytes());
        }
    }

    fn finish_answer(&mut self, ready: &Frame) -> Result<TargetOutput, TargetError> {
        let status = transaction_status(ready)?;
        let mut answer = std::mem::take(&mut self.answer);
        if self.answer_too_large {
            put_error(
                &mut answer,
                "ERROR",
                "54000",
                "answer is larger than the limit of 16 MiB",
                Some("unknown"),
            );
        }
        answer.extend_from_slice(ready.bytes());
        self.phase = Phase::Idle;
        Ok(TargetOutput::Answered(TargetAnswer {
            frames: answer.freeze(),
            position: self.position.take(),
            status,
            failed: self.failed || self.answer_too_large,
        }))
    }

    /// Stores the member's position if the parameter status reports it, and returns whether it
    /// does. All other parameter statuses are forwarded to the caller.
    fn take_position(&mut self, frame: &Frame) -> Result<bool, TargetError> {
        let malformed = || TargetError::Malformed('S');
        let mut body = frame.body();
        let name = take_cstring(&mut body).ok_or_else(malformed)?;
        if name != POSITION_PARAMETER {
            return Ok(false);
        }
        let value = take_cstring(&mut body).ok_or_else(malformed)?;
        self.position = Some(value.parse().map_err(|_| malformed())?);
        Ok(true)
    }

    /// Ends a COPY FROM STDIN, which is not possible because exchanges are forwarded as a whole.
    ///
    /// The target ignores a Sync that arrives during a copy, so an extended-query exchange needs
    /// another one.
    fn refuse_copy(&mut self, out: &mut BytesMut) {
        put_frame(out, COPY_FAIL, &[b"COPY FROM STDIN is not supported\0"]);
        if self.is_extended_query {
            put_message(out, &Sync::new());
        }
    }
}

fn error_sqlstate(frame: &Frame) -> Option<String> {
    Some(
        error_field(frame.body(), b'C')
            .unwrap_or("XX000")
            .to_owned(),
    )
}

fn refused_error(frame: &Frame) -> TargetError {
    TargetError::Refused(error_sqlstate(frame).unwrap_or_default())
}

fn transaction_status(frame: &Frame) -> Result<TransactionStatus, TargetError> {
    match frame.bytes().get(HEADER_BYTES..) {
        Some(b"I") => Ok(TransactionStatus::Idle),
        Some(b"T") => Ok(TransactionStatus::Open),
        Some(b"E") => Ok(TransactionStatus::Failed),
        _ => Err(TargetError::Malformed('Z')),
    }
}
