//! Prepared statements on a pooled connection to a target.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use bytes::BytesMut;
use lycheedoor_frame::Exchange;
use lycheedoor_frame::Part;
use lycheedoor_frame::PreparedStatement;
use lycheedoor_frame::put_frame;

/// Maximum number of statements that stay prepared on a connection. Above it, the ones with the
/// lowest numbers are closed.
const MAX_PREPARED_STATEMENTS: usize = 256;

const PARSE: u8 = b'P';
const CLOSE: u8 = b'C';
const PARSE_COMPLETE: u8 = b'1';
const CLOSE_COMPLETE: u8 = b'3';

/// A confirmation of a Parse or Close frame that has not arrived yet.
#[derive(Debug)]
struct PendingConfirmation {
    confirmation_kind: u8,
    forward: bool,
    prepared_id: Option<u64>,
}

/// The statements that are prepared on a connection, and the confirmations that are pending.
#[derive(Debug, Default)]
pub(crate) struct PreparedStatementCache {
    prepared_ids: BTreeSet<u64>,
    pending: VecDeque<PendingConfirmation>,
}

impl PreparedStatementCache {
    /// Appends the frames of an exchange, with a Parse frame in front of each reference to a
    /// statement that is not prepared on this connection.
    pub(crate) fn put_exchange(&mut self, out: &mut BytesMut, exchange: &Exchange) {
        let mut sent_ids = BTreeSet::new();
        for part in &exchange.parts {
            match part {
                Part::Raw(frame) => out.extend_from_slice(frame),
                Part::ExpectsConfirmation {
                    frame,
                    confirmation,
                } => {
                    out.extend_from_slice(frame);
                    self.expect_confirmation(*confirmation, true, None);
                }
                Part::Prepare(prepared) => {
                    self.put_parse(out, prepared, true);
                    sent_ids.insert(prepared.id());
                }
                Part::Reference {
                    prepared,
                    kind,
                    before_name,
                    after_name,
                } => {
                    if !self.prepared_ids.contains(&prepared.id()) && sent_ids.insert(prepared.id())
                    {
                        self.put_parse(out, prepared, false);
                    }
                    let name = prepared.target_name();
                    put_frame(
                        out,
                        *kind,
                        &[before_name, name.as_bytes(), b"\0", after_name],
                    );
                }
                Part::RestoreUnnamed(prepared) => {
                    put_frame(out, PARSE, &[b"\0", prepared.body()]);
                    self.expect_confirmation(PARSE_COMPLETE, false, None);
                }
            }
        }
    }

    /// Appends Close frames for the oldest statements above [`MAX_PREPARED_STATEMENTS`].
    pub(crate) fn put_evictions(&mut self, out: &mut BytesMut) {
        while self.prepared_ids.len() > MAX_PREPARED_STATEMENTS
            && let Some(id) = self.prepared_ids.pop_first()
        {
            put_frame(out, CLOSE, &[b"S", format!("ld{id}").as_bytes(), b"\0"]);
            self.expect_confirmation(CLOSE_COMPLETE, false, None);
        }
    }

    /// Records a confirmation from the target and returns whether to forward it to the caller.
    pub(crate) fn confirm(&mut self, confirmation_kind: u8) -> bool {
        let Some(pending) = self.pending.pop_front() else {
            return true;
        };
        if pending.confirmation_kind == confirmation_kind {
            self.prepared_ids.extend(pending.prepared_id);
        }
        pending.forward
    }

    /// Drops all pending confirmations, because after an error the target skips all frames up to
    /// Sync.
    pub(crate) fn skip_to_sync(&mut self) {
        self.pending.clear();
    }

    /// Appends a Close frame and a Parse frame.
    ///
    /// Parse fails if the name is in use, and after an error in an exchange a name can be in use
    /// that is not in `prepared_ids`.
    fn put_parse(&mut self, out: &mut BytesMut, prepared: &PreparedStatement, forward: bool) {
        let name = prepared.target_name();
        put_frame(out, CLOSE, &[b"S", name.as_bytes(), b"\0"]);
        self.expect_confirmation(CLOSE_COMPLETE, false, None);
        put_frame(out, PARSE, &[name.as_bytes(), b"\0", prepared.body()]);
        self.expect_confirmation(PARSE_COMPLETE, forward, Some(prepared.id()));
        self.prepared_ids.remove(&prepared.id());
    }

    fn expect_confirmation(
        &mut self,
        confirmation_kind: u8,
        forward: bool,
        prepared_id: Option<u64>,
    ) {
        self.pending.push_back(PendingConfirmation {
            confirmation_kind,
            forward,
            prepared_id,
        });
    }
}
