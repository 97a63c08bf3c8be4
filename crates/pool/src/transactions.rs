//! Transactions of callers: how they begin, and how they are rolled back or aborted.

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MonoTime;

use crate::event::PoolAction;
use crate::link::Purpose;
use crate::pool::Pool;
use crate::session::Transaction;
use crate::statement::CallerError;
use crate::statement::MemberCommand;

impl Pool {
    /// Opens a caller's transaction. It is opened at a member only with its first statement.
    pub(crate) fn begin_transaction(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        read_only: bool,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        let Some(current) = session.current.take() else {
            return;
        };
        session.transaction = Some(Transaction::new(current.route, read_only, now));
        self.reply_done(caller, actions);
        self.next_request(now, caller, actions);
    }

    pub(crate) fn roll_back_transaction(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&caller) else {
            return;
        };
        match session.transaction.take() {
            Some(transaction) => {
                self.active.remove(&caller);
                self.end_transaction_at_home(caller, &transaction, actions);
                if let Some(link) = transaction.link {
                    self.roll_back_link(now, link, actions);
                }
                self.reply_done(caller, actions);
            }
            None => {
                let text = "no transaction is open";
                self.reply_error(caller, CallerError::Malformed, text, actions);
            }
        }
    }

    /// Rolls back a caller's transaction and marks it as failed; the caller still has to end it.
    pub(crate) fn abort_transaction(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let session = self.sessions.get_mut(&caller);
        let transaction = session.and_then(|session| session.transaction.as_mut());
        let Some(transaction) = transaction else {
            return;
        };
        transaction.has_failed = true;
        let ended = transaction.clone();
        transaction.link = None;
        transaction.home = None;
        self.end_transaction_at_home(caller, &ended, actions);
        if let Some(link) = ended.link {
            self.roll_back_link(now, link, actions);
        }
    }

    /// Tells the VM that runs a transaction, if it is another one, that it has to be rolled back.
    fn end_transaction_at_home(
        &self,
        caller: CallerId,
        transaction: &Transaction,
        actions: &mut Vec<PoolAction>,
    ) {
        if let Some(home) = &transaction.home {
            self.send_end_forwarded(home, caller, actions);
        }
    }

    /// Rolls back the open transaction of a connection, if any, and frees the connection.
    pub(crate) fn roll_back_link(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if link.in_transaction {
            link.push(MemberCommand::Rollback, Purpose::RollBack);
            link.send(now, actions);
        }
        self.release_link(now, id, actions);
    }
}
