//! Callers' statements in the form in which they are forwarded to targets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::rc::Weak;

use bytes::Bytes;

/// Minimum number of new statements between two sweeps for entries that no caller uses any more.
const MIN_STATEMENTS_BETWEEN_SWEEPS: usize = 256;

#[derive(Debug)]
struct PreparedText {
    id: u64,
    body: Bytes,
}

/// A prepared statement's text and parameter types, shared by all callers that prepared the same
/// statement.
#[derive(Clone, Debug)]
pub struct PreparedStatement(Rc<PreparedText>);

impl PreparedStatement {
    /// Returns the number that identifies this statement on all connections to targets.
    pub fn id(&self) -> u64 {
        self.0.id
    }

    /// Returns the part of the Parse message's body that follows the statement's name.
    pub fn body(&self) -> &[u8] {
        &self.0.body
    }

    /// Returns the statement's name on connections to targets.
    pub fn target_name(&self) -> String {
        format!("ld{}", self.0.id)
    }
}

/// Assigns numbers to prepared statements: equal statements share a number, and no number is
/// reused.
#[derive(Debug, Default)]
pub struct StatementRegistry {
    by_body: BTreeMap<Bytes, Weak<PreparedText>>,
    last_id: u64,
    sweep_threshold: usize,
}

impl StatementRegistry {
    /// Returns the shared statement for `body`, the part of a Parse message's body after the name.
    pub fn intern(&mut self, body: &[u8]) -> PreparedStatement {
        if let Some(text) = self.by_body.get(body).and_then(Weak::upgrade) {
            return PreparedStatement(text);
        }
        self.sweep_unused();
        self.last_id += 1;
        let body = Bytes::copy_from_slice(body);
        let text = Rc::new(PreparedText {
            id: self.last_id,
            body: body.clone(),
        });
        self.by_body.insert(body, Rc::downgrade(&text));
        PreparedStatement(text)
    }

    fn sweep_unused(&mut self) {
        if self.by_body.len() >= self.sweep_threshold {
            self.by_body.retain(|_, text| text.strong_count() > 0);
            self.sweep_threshold = self.by_body.len() * 2 + MIN_STATEMENTS_BETWEEN_SWEEPS;
        }
    }
}

/// One frame of an exchange, as received or with the statement's name to be filled in.
#[derive(Clone, Debug)]
pub enum Part {
    /// A frame to forward unchanged.
    Raw(Bytes),
    /// A Parse or Close frame to forward unchanged, whose confirmation the caller expects.
    ExpectsConfirmation {
        /// The frame as received, or a Close frame that takes its place.
        frame: Bytes,
        /// The kind byte of the message that confirms the frame.
        confirmation: u8,
    },
    /// A Parse frame of the caller for a named statement.
    Prepare(PreparedStatement),
    /// A frame that refers to a named statement, such as Bind or Describe.
    Reference {
        /// The statement, whose name on targets replaces the caller's.
        prepared: PreparedStatement,
        /// The kind byte of the frame.
        kind: u8,
        /// The part of the body before the statement's name.
        before_name: Bytes,
        /// The part of the body after the statement's name and its NUL byte.
        after_name: Bytes,
    },
    /// The unnamed statement of an earlier exchange, to be parsed again. The caller does not get
    /// the confirmation.
    RestoreUnnamed(PreparedStatement),
}

/// All frames of a caller up to the Query or Sync after which it expects an answer.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// The frames in the order in which the caller sent them.
    pub parts: Vec<Part>,
}

impl Exchange {
    /// Returns the number of bytes that the exchange holds in memory, without shared statement
    /// texts.
    pub fn size(&self) -> usize {
        let part_size = |part: &Part| match part {
            Part::Raw(frame) | Part::ExpectsConfirmation { frame, .. } => frame.len(),
            Part::Prepare(_) | Part::RestoreUnnamed(_) => 0,
            Part::Reference {
                before_name,
                after_name,
                ..
            } => before_name.len() + after_name.len(),
        };
        self.parts.iter().map(part_size).sum()
    }
}
