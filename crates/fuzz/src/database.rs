//! A simulated database member: its replication log, its role, and the execution of statements.

use std::collections::BTreeMap;

use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberCommand;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::MemberState;
use lycheedoor_core::vm::TransactionStatus;

/// A log entry: the effect of one write, which assigns the next number of the group's sequence to
/// `operation`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogEntry {
    pub(crate) term: Term,
    pub(crate) operation: u64,
}

/// The kind of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementKind {
    Read,
    Write,
    Begin,
    TransactionWrite,
    Commit,
}

/// A member's answer to a statement.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) position: Position,
    pub(crate) status: TransactionStatus,
    pub(crate) failed: bool,
    /// The term of the member when the statement ran; `role` is its role at that time.
    pub(crate) term: Term,
    pub(crate) role: MemberRole,
    /// The sequence number that was assigned to a write.
    pub(crate) number: Option<u64>,
    /// Writes that the session requires and that were not visible on the member.
    pub(crate) missing: Vec<u64>,
}

/// The open transaction of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    pub(crate) id: u64,
    pub(crate) aborted: bool,
    pub(crate) buffered: Vec<u64>,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) role: MemberRole,
    pub(crate) term: Term,
    pub(crate) log: Vec<LogEntry>,
    /// The index of each operation in the log.
    index: BTreeMap<u64, usize>,
    pub(crate) applied: usize,
    /// The term of the primary that last wrote the log.
    pub(crate) log_term: Term,
    pub(crate) paused_until: u64,
    pub(crate) down_until: u64,
    pub(crate) receive_stalled_until: u64,
    pub(crate) apply_stalled_until: u64,
}

pub(crate) fn position_of(log: &[LogEntry], length: usize) -> Position {
    let last = length.checked_sub(1).and_then(|last| log.get(last));
    last.map(|entry| Position::new(entry.term, length as u64))
        .unwrap_or_default()
}

impl Member {
    pub(crate) fn new(role: MemberRole) -> Self {
        Self {
            role,
            term: Term(1),
            log: Vec::new(),
            index: BTreeMap::new(),
            applied: 0,
            log_term: Term(1),
            paused_until: 0,
            down_until: 0,
            receive_stalled_until: 0,
            apply_stalled_until: 0,
        }
    }

    pub(crate) fn is_primary(&self) -> bool {
        self.role == MemberRole::Primary
    }

    pub(crate) fn is_down(&self, now: u64) -> bool {
        now < self.down_until
    }

    pub(crate) fn has_outage(&self, now: u64) -> bool {
        self.is_down(now) || now < self.paused_until
    }

    pub(crate) fn has_fault(&self, now: u64) -> bool {
        self.has_outage(now) || now < self.receive_stalled_until || now < self.apply_stalled_until
    }

    pub(crate) fn heal(&mut self, now: u64) {
        self.paused_until = self.paused_until.min(now);
        self.down_until = self.down_until.min(now);
        self.receive_stalled_until = 0;
        self.apply_stalled_until = 0;
    }

    pub(crate) fn state(&self) -> MemberState {
        MemberState {
            role: self.role,
            term: self.term,
            received: position_of(&self.log, self.log.len()),
            applied: position_of(&self.log, self.applied),
        }
    }

    pub(crate) fn apply(&mut self, now: u64) {
        if self.is_primary() || now >= self.apply_stalled_until {
            self.applied = self.log.len();
        }
    }

    /// Applies a `Fence` or `Promote` command. Returns whether the member accepted it.
    pub(crate) fn change_term(&mut self, command: MemberCommand) -> bool {
        match command {
            MemberCommand::Fence(term) => {
                let leads = self.is_primary() && self.term == term;
                if term < self.term || leads {
                    return false;
                }
                self.term = term;
                self.role = MemberRole::Replica;
            }
            MemberCommand::Promote(term) => {
                if term < self.term {
                    return false;
                }
                self.term = term;
                self.role = MemberRole::Primary;
                self.log_term = term;
                self.applied = self.log.len();
            }
            MemberCommand::Status | MemberCommand::AwaitReceived(_) => {}
        }
        true
    }

    /// Replaces the log by that of a primary unless the latter's term is too old. Returns whether
    /// this member was primary and has been demoted.
    pub(crate) fn receive(&mut self, term: Term, log: &[LogEntry]) -> bool {
        if term < self.term || (term == self.term && self.is_primary()) {
            return false;
        }
        let was_primary = self.is_primary();
        self.term = term;
        self.role = MemberRole::Replica;
        if term > self.log_term || log.len() > self.log.len() {
            self.log_term = term;
            self.log = log.to_vec();
            let entries = self.log.iter().enumerate();
            self.index = entries.map(|(at, entry)| (entry.operation, at)).collect();
            self.applied = self.applied.min(self.log.len());
        }
        was_primary
    }

    /// Returns the operations of `wanted` that are not visible to reads on this member.
    pub(crate) fn missing(&self, wanted: &[u64]) -> Vec<u64> {
        let shown = |operation: &u64| {
            let at = self.index.get(operation);
            at.is_some_and(|at| *at < self.applied)
        };
        wanted.iter().filter(|op| !shown(op)).copied().collect()
    }

    /// Appends a write and returns its sequence number. A repeated write with an idempotency key
    /// returns the number of the first one.
    pub(crate) fn write(&mut self, operation: u64, keyed: bool) -> u64 {
        if let Some(at) = self.index.get(&operation).filter(|_| keyed) {
            return *at as u64 + 1;
        }
        self.index.insert(operation, self.log.len());
        self.log.push(LogEntry {
            term: self.term,
            operation,
        });
        self.applied = self.log.len();
        self.log.len() as u64
    }

    /// Runs a statement on a connection whose open transaction, if any, is `transaction`.
    pub(crate) fn run(
        &mut self,
        kind: StatementKind,
        operation: u64,
        keyed: bool,
        transaction: &mut Option<Transaction>,
    ) -> Answer {
        let mut answer = self.answer();
        let aborted = transaction.as_ref().is_some_and(|open| open.aborted);
        let refused = kind != StatementKind::Read && (!self.is_primary() || aborted);
        match kind {
            StatementKind::Read => {}
            _ if refused => {
                answer.failed = true;
                *transaction = None;
            }
            StatementKind::Write => answer.number = Some(self.write(operation, keyed)),
            StatementKind::Begin => {
                *transaction = Some(Transaction {
                    id: operation,
                    aborted: false,
                    buffered: Vec::new(),
                });
            }
            StatementKind::TransactionWrite => match transaction {
                Some(open) => open.buffered.push(operation),
                None => drop(self.write(operation, keyed)),
            },
            StatementKind::Commit => {
                let open = transaction.take();
                for operation in open.into_iter().flat_map(|open| open.buffered) {
                    self.write(operation, false);
                }
            }
        }
        answer.position = match self.is_primary() {
            true => position_of(&self.log, self.log.len()),
            false => position_of(&self.log, self.applied),
        };
        if transaction.is_some() {
            answer.status = TransactionStatus::Open;
        }
        answer
    }

    fn answer(&self) -> Answer {
        Answer {
            position: Position::default(),
            status: TransactionStatus::Idle,
            failed: false,
            term: self.term,
            role: self.role,
            number: None,
            missing: Vec::new(),
        }
    }
}
