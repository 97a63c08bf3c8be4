//! A simulated database group of three members with logs, replication, transactions and promotions.
//! It runs statements independently of the state that the proxy assumes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::TransactionStatus;

pub(crate) const MEMBERS: usize = 3;

pub(crate) fn member_id(index: usize) -> MemberId {
    MemberId::from(["a", "b", "c"][index])
}

pub(crate) fn member_index(id: &MemberId) -> usize {
    (0..MEMBERS).find(|index| member_id(*index) == *id).unwrap()
}

/// The kind of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementKind {
    Read,
    Write,
    KeyedWrite,
    IdempotentWrite,
    Begin,
    TransactionWrite,
    Commit,
}

/// The answer of the database to a statement.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) position: Position,
    pub(crate) status: TransactionStatus,
    pub(crate) failed: bool,
    /// The writes that were visible to a read; empty for other statements.
    pub(crate) visible: BTreeSet<RequestId>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Member {
    pub(crate) log: Vec<(Position, RequestId)>,
    pub(crate) applied: usize,
    pub(crate) term: Term,
    pub(crate) is_primary: bool,
}

impl Member {
    pub(crate) fn received(&self) -> Position {
        self.log
            .last()
            .map_or_else(Position::default, |(at, _)| *at)
    }

    pub(crate) fn applied(&self) -> Position {
        let last = self.applied.checked_sub(1);
        last.map_or_else(Position::default, |index| self.log[index].0)
    }

    fn append(&mut self, request: RequestId) {
        let position = Position::new(self.term, self.log.len() as u64 + 1);
        self.log.push((position, request));
        self.applied = self.log.len();
    }
}

#[derive(Debug)]
pub(crate) struct Database {
    pub(crate) members: Vec<Member>,
    pub(crate) term: Term,
    pub(crate) primary: usize,
    /// Whether the primary is partitioned from its replicas while clients can still reach it.
    pub(crate) partitioned: bool,
    /// The writes of each open transaction by connection, and whether the transaction has failed.
    pub(crate) transactions: BTreeMap<ConnectionId, (Vec<RequestId>, bool)>,
    /// How often each statement has been run, on any member.
    pub(crate) runs: BTreeMap<RequestId, u32>,
}

impl Database {
    pub(crate) fn new() -> Self {
        let mut members = vec![
            Member {
                term: Term(1),
                ..Member::default()
            };
            MEMBERS
        ];
        members[0].is_primary = true;
        Self {
            members,
            term: Term(1),
            primary: 0,
            partitioned: false,
            transactions: BTreeMap::new(),
            runs: BTreeMap::new(),
        }
    }

    pub(crate) fn replicate(&mut self, replica: usize, entries: usize, apply: usize) {
        if self.partitioned || replica == self.primary || self.members[replica].is_primary {
            return;
        }
        let source = &self.members[self.primary].log;
        let start = self.members[replica].log.len();
        let end = source.len().min(start + entries);
        let new = source[start..end].to_vec();
        let member = &mut self.members[replica];
        member.term = self.term;
        member.log.extend(new);
        member.applied = member.log.len().min(member.applied + apply);
    }

    /// Promotes the more advanced replica and returns the old primary. The old primary no longer
    /// replicates, and acts as primary of its own log until `follow_primary` demotes it.
    pub(crate) fn promote(&mut self) -> usize {
        let old = self.primary;
        self.partitioned = false;
        let next = (0..MEMBERS).filter(|index| *index != old);
        self.primary = next
            .max_by_key(|index| self.members[*index].received())
            .unwrap();
        self.term = self.term.next();
        let promoted = &mut self.members[self.primary];
        promoted.is_primary = true;
        promoted.term = self.term;
        promoted.applied = promoted.log.len();
        let third = MEMBERS - old - self.primary;
        self.follow_primary(third);
        old
    }

    /// Lets a member follow the current primary and drop the log entries that the primary does not
    /// have.
    pub(crate) fn follow_primary(&mut self, index: usize) {
        if index == self.primary {
            return;
        }
        let log = self.members[self.primary].log.clone();
        let member = &mut self.members[index];
        let common = member.log.iter().zip(&log).take_while(|(a, b)| a == b);
        let kept = common.count();
        member.log.truncate(kept);
        member.applied = member.applied.min(kept);
        member.is_primary = false;
        member.term = self.term;
    }

    pub(crate) fn run(
        &mut self,
        index: usize,
        connection: ConnectionId,
        request: RequestId,
        kind: StatementKind,
        failed: bool,
    ) -> Answer {
        *self.runs.entry(request).or_default() += 1;
        let member = &mut self.members[index];
        let failed = failed || (kind != StatementKind::Read && !member.is_primary);
        let in_transaction = matches!(
            kind,
            StatementKind::TransactionWrite | StatementKind::Commit
        );
        let open = self.transactions.remove(&connection);
        assert_eq!(
            open.is_some(),
            in_transaction,
            "{request} runs in the transaction of another statement"
        );
        let (mut writes, broken) = open.unwrap_or_default();
        let broken = broken || (failed && in_transaction);
        match kind {
            StatementKind::Write | StatementKind::IdempotentWrite if !failed => {
                member.append(request)
            }
            // The key is stored with the write, so a repeated key finds it.
            StatementKind::KeyedWrite
                if !failed && !member.log.iter().any(|(_, key)| *key == request) =>
            {
                member.append(request);
            }
            StatementKind::TransactionWrite if !failed => writes.push(request),
            StatementKind::Commit if !broken => {
                writes.drain(..).for_each(|write| member.append(write))
            }
            _ => {}
        }
        let stays_open =
            kind == StatementKind::TransactionWrite || (kind == StatementKind::Begin && !failed);
        if stays_open {
            self.transactions.insert(connection, (writes, broken));
        }
        Answer {
            position: self.members[index].applied(),
            status: match (stays_open, broken) {
                (false, _) => TransactionStatus::Idle,
                (true, false) => TransactionStatus::Open,
                (true, true) => TransactionStatus::Failed,
            },
            failed: failed || (kind == StatementKind::Commit && broken),
            visible: match kind {
                StatementKind::Read => self.visible(index),
                _ => BTreeSet::new(),
            },
        }
    }

    pub(crate) fn visible(&self, index: usize) -> BTreeSet<RequestId> {
        let member = &self.members[index];
        let log = &member.log[..member.applied];
        log.iter().map(|(_, request)| *request).collect()
    }
}
