//! Collection of a caller's frames into exchanges, and the caller's prepared statements.

use std::collections::BTreeMap;

use lycheedoor_frame::Exchange;
use lycheedoor_frame::Frame;
use lycheedoor_frame::Part;
use lycheedoor_frame::PreparedStatement;
use lycheedoor_frame::StatementRegistry;
use lycheedoor_frame::take_cstring;

use crate::EXCHANGE_LIMIT_BYTES;
use crate::NAMED_STATEMENT_LIMIT;
use crate::session::CallerError;
use crate::session::CallerInput;
use crate::setting::idempotency_key_setting;
use crate::setting::is_show_session;
use crate::setting::names_reserved_setting;

const PARSE_COMPLETE: u8 = b'1';
const CLOSE_COMPLETE: u8 = b'3';

/// Maximum size of a prepared statement that is kept, which bounds the memory that one caller can
/// occupy.
const PREPARED_STATEMENT_LIMIT_BYTES: usize = 64 * 1024;

/// A Close frame for a portal that never exists. It has no effect, but the target confirms it in
/// order.
const CLOSE_MISSING_PORTAL: &[u8] = b"C\x00\x00\x00\x15Plycheedoor-none\0";

/// A request that lycheedoor answers itself, in order with the caller's statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalRequest {
    /// A Sync alone or after Close frames for statements.
    Sync {
        /// The number of Close frames, each of which needs a CloseComplete.
        close_count: usize,
    },
    /// Sets the idempotency key for the statements that follow, or resets it with `None`.
    SetIdempotencyKey(Option<String>),
    /// Shows the session token, for drivers that do not expose parameter statuses.
    ShowSession,
    /// An exchange that is rejected because of its content.
    Unsupported {
        /// The SQLSTATE of the error.
        sqlstate: &'static str,
        /// The text of the error.
        message: &'static str,
    },
}

/// Collects frames into exchanges and resolves the names of the caller's prepared statements.
#[derive(Debug, Default)]
pub(crate) struct StatementCollector {
    named_statements: BTreeMap<String, PreparedStatement>,
    unnamed_statement: Option<PreparedStatement>,
    parts: Vec<Part>,
    exchange_bytes: usize,
    close_count: usize,
    unnamed_is_parsed: bool,
    rejection: Option<(&'static str, &'static str)>,
}

impl StatementCollector {
    /// Adds a frame and returns the request that it completes, if any.
    pub(crate) fn handle_frame(
        &mut self,
        frame: &Frame,
        registry: &mut StatementRegistry,
    ) -> Result<Option<CallerInput>, CallerError> {
        self.exchange_bytes += frame.bytes().len();
        if self.exchange_bytes > EXCHANGE_LIMIT_BYTES {
            return Err(CallerError::ExchangeTooLarge);
        }
        let malformed = CallerError::Malformed(char::from(frame.kind()));
        match frame.kind() {
            b'Q' => return self.handle_query(frame).ok_or(malformed).map(Some),
            b'S' => return Ok(Some(self.handle_sync(frame))),
            b'F' => {
                self.reject("0A000", "function calls are not supported");
                return Ok(Some(self.finish_exchange()));
            }
            b'P' => self.handle_parse(frame, registry).ok_or(malformed)?,
            b'B' => self.handle_bind(frame).ok_or(malformed)?,
            b'D' | b'C' => self.handle_describe_or_close(frame).ok_or(malformed)?,
            b'E' => self.push(Part::Raw(frame.bytes().clone())),
            b'H' => self.reject("0A000", "Flush is not supported; use Sync"),
            // CopyData, CopyDone and CopyFail: the protocol requires ignoring them outside a copy.
            b'd' | b'c' | b'f' => {}
            _ => return Err(malformed),
        }
        Ok(None)
    }

    fn handle_query(&mut self, frame: &Frame) -> Option<CallerInput> {
        let mut body = frame.body();
        let text = take_cstring(&mut body)?;
        if !body.is_empty() {
            return None;
        }
        if let Some(key) = idempotency_key_setting(text) {
            self.finish_exchange();
            return Some(CallerInput::Local(LocalRequest::SetIdempotencyKey(key)));
        }
        if is_show_session(text) {
            self.finish_exchange();
            return Some(CallerInput::Local(LocalRequest::ShowSession));
        }
        self.reject_reserved_settings(text);
        self.push(Part::Raw(frame.bytes().clone()));
        Some(self.finish_exchange())
    }

    fn handle_sync(&mut self, frame: &Frame) -> CallerInput {
        let local = self.parts.len() == self.close_count && self.rejection.is_none();
        if local {
            let close_count = self.close_count;
            self.finish_exchange();
            return CallerInput::Local(LocalRequest::Sync { close_count });
        }
        self.push(Part::Raw(frame.bytes().clone()));
        self.finish_exchange()
    }

    fn handle_parse(&mut self, frame: &Frame, registry: &mut StatementRegistry) -> Option<()> {
        let mut body = frame.body();
        let name = take_cstring(&mut body)?;
        let prepared_body = body;
        let text = take_cstring(&mut body)?;
        if idempotency_key_setting(text).is_some() {
            self.reject(
                "0A000",
                "the idempotency key can only be set by a simple query",
            );
        }
        self.reject_reserved_settings(text);
        if self.rejection.is_some() {
            return Some(());
        }
        let fits = prepared_body.len() <= PREPARED_STATEMENT_LIMIT_BYTES;
        if name.is_empty() {
            self.unnamed_statement = fits.then(|| registry.intern(prepared_body));
            self.unnamed_is_parsed = true;
            self.push(Part::ExpectsConfirmation {
                frame: frame.bytes().clone(),
                confirmation: PARSE_COMPLETE,
            });
        } else if !fits || self.named_statements.len() >= NAMED_STATEMENT_LIMIT {
            self.reject("53400", "too many or too large prepared statements");
        } else {
            let prepared = registry.intern(prepared_body);
            self.named_statements
                .insert(name.to_owned(), prepared.clone());
            self.push(Part::Prepare(prepared));
        }
        Some(())
    }

    fn handle_bind(&mut self, frame: &Frame) -> Option<()> {
        let mut body = frame.body();
        take_cstring(&mut body)?;
        let name_offset = frame.body().len() - body.len();
        self.add_reference(frame, name_offset)
    }

    fn handle_describe_or_close(&mut self, frame: &Frame) -> Option<()> {
        let (object_kind, mut name) = frame.body().split_first()?;
        match (frame.kind(), *object_kind) {
            (b'D', b'S') => self.add_reference(frame, 1),
            (b'C', b'S') => {
                self.close_statement(take_cstring(&mut name)?);
                Some(())
            }
            (b'C', b'P') => {
                self.push(Part::ExpectsConfirmation {
                    frame: frame.bytes().clone(),
                    confirmation: CLOSE_COMPLETE,
                });
                Some(())
            }
            (b'D', b'P') => {
                self.push(Part::Raw(frame.bytes().clone()));
                Some(())
            }
            _ => None,
        }
    }

    /// Removes a statement of the caller. On target connections it is closed later, when too many
    /// are prepared there.
    fn close_statement(&mut self, name: &str) {
        if name.is_empty() {
            self.unnamed_statement = None;
        } else {
            self.named_statements.remove(name);
        }
        self.close_count += 1;
        self.push(Part::ExpectsConfirmation {
            frame: CLOSE_MISSING_PORTAL.into(),
            confirmation: CLOSE_COMPLETE,
        });
    }

    /// Adds a frame whose body has a statement's name at `name_offset`.
    fn add_reference(&mut self, frame: &Frame, name_offset: usize) -> Option<()> {
        let body = frame.bytes().slice(lycheedoor_frame::HEADER_BYTES..);
        let mut rest = body.get(name_offset..)?;
        let name = take_cstring(&mut rest)?;
        let after_name = body.slice(body.len() - rest.len()..);
        if !name.is_empty() {
            let Some(prepared) = self.named_statements.get(name) else {
                self.reject("26000", "prepared statement does not exist");
                return Some(());
            };
            let prepared = prepared.clone();
            self.push(Part::Reference {
                prepared,
                kind: frame.kind(),
                before_name: body.slice(..name_offset),
                after_name,
            });
            return Some(());
        }
        if !self.unnamed_is_parsed {
            let Some(prepared) = self.unnamed_statement.clone() else {
                self.reject("26000", "unnamed prepared statement does not exist");
                return Some(());
            };
            self.unnamed_is_parsed = true;
            self.push(Part::RestoreUnnamed(prepared));
        }
        self.push(Part::Raw(frame.bytes().clone()));
        Some(())
    }

    fn reject_reserved_settings(&mut self, text: &str) {
        if names_reserved_setting(text) {
            self.reject("42501", "the statement names a setting that is reserved");
        }
    }

    fn reject(&mut self, sqlstate: &'static str, message: &'static str) {
        self.rejection.get_or_insert((sqlstate, message));
    }

    fn push(&mut self, part: Part) {
        self.parts.push(part);
    }

    fn finish_exchange(&mut self) -> CallerInput {
        let parts = std::mem::take(&mut self.parts);
        self.exchange_bytes = 0;
        self.close_count = 0;
        self.unnamed_is_parsed = false;
        match self.rejection.take() {
            Some((sqlstate, message)) => {
                CallerInput::Local(LocalRequest::Unsupported { sqlstate, message })
            }
            None => CallerInput::Statement(Exchange { parts }),
        }
    }
}
