//! The members: what they run and answer.

use std::time::Duration;

use bytes::Bytes;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_pool::ForwardedStatement;
use lycheedoor_pool::MemberAnswer;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberError;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::TransactionState;

use super::ANSWER_TIME;
use super::Fleet;
use super::PEER_DELAY;

/// A connection of a VM to a member.
pub(super) struct Link {
    pub(super) member: MemberId,
    pub(super) in_transaction: bool,
    pub(super) is_lost: bool,
    /// The attempt of a caller whose transaction is open.
    pub(super) transaction_of: Option<u64>,
    /// The writes that take effect with the commit.
    pub(super) uncommitted: Vec<String>,
    pub(super) answered_at: MonoTime,
}

/// Returns the signature with which members confirm that they have run a statement.
pub(super) fn signature(statement: &str) -> String {
    format!("signature of {statement}")
}

impl Fleet {
    /// Runs a statement at a member and checks it against the transaction of its connection.
    fn run_statement(&mut self, key: (usize, ConnectionId), id: &str, text: &str) {
        let link = self.links.get_mut(&key).unwrap();
        let mut parts = id.split('-');
        let attempt: u64 = parts.next().unwrap().parse().unwrap();
        let is_transaction = parts.next() == Some("t");
        let is_write = text.starts_with("WRITE");
        if is_transaction {
            let is_other = |owner: u64| owner != attempt;
            if !link.in_transaction || link.transaction_of.is_some_and(is_other) {
                let violation = format!("{id} ran outside of its transaction");
                self.violations.push(violation);
            }
            link.transaction_of = Some(attempt);
        } else if link.transaction_of.is_some() || is_write && link.in_transaction {
            let violation = format!("{id} ran inside a transaction");
            self.violations.push(violation);
        }
        match text {
            "COMMIT" => {
                link.in_transaction = false;
                link.transaction_of = None;
                for write in std::mem::take(&mut link.uncommitted) {
                    *self.effects.entry(write).or_default() += 1;
                }
            }
            _ if is_write && is_transaction => link.uncommitted.push(id.to_owned()),
            _ if is_write => *self.effects.entry(id.to_owned()).or_default() += 1,
            _ => {}
        }
    }

    /// Answers a command, or loses the connection.
    pub(super) fn answer(&mut self, vm: usize, id: ConnectionId, command: &MemberCommand) {
        let is_refused = self.is_chosen(self.faults.refusals_per_mille);
        let is_lost = self.is_chosen(self.faults.lost_links_per_mille);
        let runs_before_loss = self.below(2) == 0;
        let Some(link) = self.links.get_mut(&(vm, id)) else {
            return;
        };
        if link.is_lost {
            return;
        }
        link.is_lost = is_lost;
        let forwarded = match command {
            MemberCommand::Forward {
                id,
                statement: ForwardedStatement::AsSent(text),
                ..
            } => Some((id, text)),
            _ => None,
        };
        if is_lost {
            if let Some((statement, text)) = forwarded.filter(|_| runs_before_loss) {
                self.run_statement((vm, id), statement, text);
            }
            return self.schedule(ANSWER_TIME, vm, PoolEvent::LinkClosed { link: id });
        }
        let signed = forwarded.map(|(statement, _)| signature(statement));
        let mut result = Ok(signed.unwrap_or_default());
        let delay = match (command, forwarded) {
            (MemberCommand::Begin { .. }, _) => {
                link.in_transaction = true;
                PEER_DELAY
            }
            (MemberCommand::Rollback, _) => {
                link.in_transaction = false;
                link.transaction_of = None;
                link.uncommitted.clear();
                PEER_DELAY
            }
            (_, Some((_, text))) if is_refused && text != "COMMIT" => {
                let text = "refused".to_owned();
                let fault = MemberFault::Busy;
                result = Err(MemberError { fault, text });
                PEER_DELAY
            }
            (_, Some((statement, text))) => {
                self.run_statement((vm, id), statement, text);
                ANSWER_TIME
            }
            _ => ANSWER_TIME,
        };
        let link = self.links.get_mut(&(vm, id)).unwrap();
        let in_transaction = link.in_transaction;
        // Answers of a connection arrive in order.
        let delay = delay + Duration::from_millis(self.faults.answer_delay_ms.into());
        let due = (self.now + delay).max(link.answered_at);
        link.answered_at = due;
        let delay = due.since(self.now);
        let state = match in_transaction {
            true => TransactionState::Open,
            false => TransactionState::Idle,
        };
        let answer = MemberAnswer {
            rows: Bytes::from_static(b"ROW x\r\n"),
            result,
            state,
            position: Some(Position::new(Term(1), 1)),
            status: None,
        };
        self.schedule(delay, vm, PoolEvent::LinkAnswered { link: id, answer });
    }
}
