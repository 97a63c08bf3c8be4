//! A database session: its settings, its transaction and the execution of its statements.

use std::time::Duration;

use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::TransactionStatus;

use crate::member::control;
use crate::member::data::Operation;
use crate::member::data::ReplicatedData;
use crate::member::sql::SqlError;
use crate::member::sql::Statement;
use crate::member::state::Member;

/// The longest time that a call of `sleep_ms` sleeps.
const MAX_SLEEP_MS: u64 = 60_000;

/// The result of one statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) tag: String,
    pub(crate) columns: Vec<String>,
    pub(crate) rows: Vec<Vec<Option<String>>>,
}

impl Answer {
    fn tag(tag: &str) -> Self {
        Self {
            tag: tag.to_owned(),
            ..Self::default()
        }
    }

    pub(crate) fn rows(columns: &[&str], rows: Vec<Vec<Option<String>>>) -> Self {
        Self {
            tag: format!("SELECT {}", rows.len()),
            columns: columns.iter().map(|&name| name.to_owned()).collect(),
            rows,
        }
    }

    fn value(column: &str, value: Option<String>) -> Self {
        Self::rows(&[column], vec![vec![value]])
    }
}

/// The uncommitted writes of a transaction; reads fall back to the member's data for anything else.
#[derive(Debug)]
struct UncommittedWrites {
    term: Term,
    changes: ReplicatedData,
    operations: Vec<Operation>,
}

impl UncommittedWrites {
    fn perform(&mut self, operation: Operation) {
        self.changes.apply(&operation);
        self.operations.push(operation);
    }

    fn number(&self, member: &Member, sequence: &str) -> u64 {
        let changed = self.changes.number(sequence);
        changed
            .or_else(|| member.lock().data.number(sequence))
            .unwrap_or_default()
    }

    fn answer(&self, member: &Member, key: &str) -> Option<String> {
        let changed = self.changes.answer(key);
        changed.or_else(|| member.lock().data.answer(key))
    }
}

/// The state of one session.
#[derive(Debug)]
pub(crate) struct Session {
    connection_id: u64,
    allows_control: bool,
    workspace: String,
    idempotency_key: String,
    in_transaction: bool,
    failed: bool,
    writes: Option<UncommittedWrites>,
    committed_position: Option<Position>,
}

impl Session {
    pub(crate) fn new(connection_id: u64, allows_control: bool) -> Self {
        Self {
            connection_id,
            allows_control,
            workspace: String::new(),
            idempotency_key: String::new(),
            in_transaction: false,
            failed: false,
            writes: None,
            committed_position: None,
        }
    }

    pub(crate) fn status(&self) -> TransactionStatus {
        match (self.in_transaction, self.failed) {
            (false, _) => TransactionStatus::Idle,
            (true, false) => TransactionStatus::Open,
            (true, true) => TransactionStatus::Failed,
        }
    }

    /// Returns the position to report: that of the write committed since the last report, or else
    /// the one up to which reads see the log.
    pub(crate) fn take_position(&mut self, member: &Member) -> Position {
        self.committed_position
            .take()
            .unwrap_or_else(|| member.lock().applied_position())
    }

    /// Returns the names of the columns that the statement returns.
    pub(crate) fn columns(statement: &Statement) -> Vec<String> {
        match statement {
            Statement::Call { name, .. } => vec![name.clone()],
            Statement::Literal(_) => vec!["?column?".to_owned()],
            _ => Vec::new(),
        }
    }

    pub(crate) fn execute(
        &mut self,
        member: &Member,
        statement: &Statement,
    ) -> Result<Answer, SqlError> {
        let result = self.run(member, statement);
        if result.is_err() && self.in_transaction {
            self.failed = true;
        }
        result
    }

    /// Ends the session and rolls back an open transaction.
    pub(crate) fn close(&mut self, member: &Member) {
        self.roll_back(member);
    }

    fn run(&mut self, member: &Member, statement: &Statement) -> Result<Answer, SqlError> {
        let ends_transaction = matches!(statement, Statement::Commit | Statement::Rollback);
        if self.failed && !ends_transaction {
            return Err(SqlError::new(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        match statement {
            Statement::Empty => Ok(Answer::default()),
            Statement::Begin => {
                self.in_transaction = true;
                Ok(Answer::tag("BEGIN"))
            }
            Statement::Commit if !self.failed => self.commit(member),
            Statement::Commit | Statement::Rollback => {
                self.roll_back(member);
                Ok(Answer::tag("ROLLBACK"))
            }
            Statement::Set { name, value } => {
                self.set(name, value);
                Ok(Answer::tag("SET"))
            }
            Statement::Literal(value) => Ok(Answer::value("?column?", Some(value.clone()))),
            Statement::Call { name, arguments } => self.call(member, name, arguments),
            Statement::Control(words) if self.allows_control => control::run(member, words),
            Statement::Control(_) => Err(SqlError::new(
                "42501",
                "control commands need a control connection",
            )),
        }
    }

    fn set(&mut self, name: &str, value: &str) {
        match name {
            "lycheedoor.workspace" => self.workspace = value.to_owned(),
            "lycheedoor.idempotency_key" => self.idempotency_key = value.to_owned(),
            _ => {}
        }
    }

    fn call(
        &mut self,
        member: &Member,
        name: &str,
        arguments: &[String],
    ) -> Result<Answer, SqlError> {
        let value = match (name, arguments) {
            ("issue", [sequence]) => Some(self.issue(member, sequence)?),
            ("put", [key, value]) => Some(self.put(member, key, value)?),
            ("last", [sequence]) => {
                let sequence = self.with_workspace_prefix(sequence);
                let number = self.read(member, |data| data.number(&sequence));
                Some(number.unwrap_or_default().to_string())
            }
            ("get", [key]) => {
                let key = self.with_workspace_prefix(key);
                self.read(member, |data| data.value(&key))
            }
            ("workspace", []) => Some(self.workspace.clone()),
            ("member", []) => Some(member.options.name.clone()),
            ("repeat", [text, count]) => Some(text.repeat(count.parse().unwrap_or(0))),
            ("sleep_ms", [time]) => {
                let time_ms = time.parse::<u64>().unwrap_or(0).min(MAX_SLEEP_MS);
                member.sleep(self.connection_id, Duration::from_millis(time_ms))?;
                Some(time_ms.to_string())
            }
            _ => {
                let message = format!("function {name} with these arguments does not exist");
                return Err(SqlError::new("42883", message));
            }
        };
        Ok(Answer::value(name, value))
    }

    fn issue(&mut self, member: &Member, sequence: &str) -> Result<String, SqlError> {
        let sequence = self.with_workspace_prefix(sequence);
        let call = format!("issue {sequence}");
        self.write(member, &call, |writes| {
            let number = writes.number(member, &sequence) + 1;
            writes.perform(Operation::Issue { sequence, number });
            number.to_string()
        })
    }

    fn put(&mut self, member: &Member, key: &str, value: &str) -> Result<String, SqlError> {
        let key = self.with_workspace_prefix(key);
        let value = value.to_owned();
        let call = format!("put {key} {value}");
        self.write(member, &call, |writes| {
            let answer = value.clone();
            writes.perform(Operation::Put { key, value });
            answer
        })
    }

    /// Reads from the transaction's own changes first, then from the member's data.
    fn read<T>(&self, member: &Member, get: impl Fn(&ReplicatedData) -> Option<T>) -> Option<T> {
        let own = self.writes.as_ref().and_then(|writes| get(&writes.changes));
        own.or_else(|| get(&member.lock().data))
    }

    /// Performs a write, or returns the stored answer if the idempotency key was used for the same
    /// call. Commits at once unless a transaction is open.
    fn write(
        &mut self,
        member: &Member,
        call: &str,
        change: impl FnOnce(&mut UncommittedWrites) -> String,
    ) -> Result<String, SqlError> {
        if self.writes.is_none() {
            self.writes = Some(UncommittedWrites {
                term: member.begin_write(self.connection_id)?,
                changes: ReplicatedData::default(),
                operations: Vec::new(),
            });
        }
        let Some(writes) = &mut self.writes else {
            return Err(SqlError::new("XX000", "write lock was lost"));
        };
        let key = format!("{}\n{}\n{call}", self.workspace, self.idempotency_key);
        let has_idempotency_key = !self.idempotency_key.is_empty();
        let answer = match writes.answer(member, &key).filter(|_| has_idempotency_key) {
            Some(answer) => answer,
            None => {
                let answer = change(writes);
                if has_idempotency_key {
                    let answer = answer.clone();
                    writes.perform(Operation::Remember { key, answer });
                }
                answer
            }
        };
        if !self.in_transaction {
            self.commit_writes(member)?;
        }
        Ok(answer)
    }

    fn commit(&mut self, member: &Member) -> Result<Answer, SqlError> {
        self.in_transaction = false;
        self.commit_writes(member)?;
        Ok(Answer::tag("COMMIT"))
    }

    fn commit_writes(&mut self, member: &Member) -> Result<(), SqlError> {
        if let Some(writes) = self.writes.take() {
            let position =
                member.commit_write(self.connection_id, writes.term, writes.operations)?;
            self.committed_position = Some(position);
        }
        Ok(())
    }

    fn roll_back(&mut self, member: &Member) {
        self.in_transaction = false;
        self.failed = false;
        if self.writes.take().is_some() {
            member.abort_write(self.connection_id);
        }
    }

    fn with_workspace_prefix(&self, name: &str) -> String {
        format!("{}/{name}", self.workspace)
    }
}
