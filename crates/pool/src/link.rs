//! A connection to a member: its owner, its queued and unanswered commands, and the state of its
//! session at the member.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::WorkspaceId;

use crate::event::PoolAction;
use crate::statement::Access;
use crate::statement::MemberCommand;

/// The purpose of a command, which determines how its answer is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Brings the session state of the connection in line with the caller's session.
    SetUp,
    /// Opens a transaction; later commands are held back until it is answered.
    BeginTransaction {
        /// Whether the member must be the primary.
        requires_primary: bool,
    },
    /// Runs a caller's statement.
    Statement,
    /// Rolls back a transaction that has nothing to commit.
    RollBack,
    /// Asks for the member's status during the replacement of a primary.
    MemberQuery,
}

/// A command that has not been sent yet.
#[derive(Clone, Debug)]
pub(crate) struct QueuedCommand {
    pub(crate) command: MemberCommand,
    pub(crate) purpose: Purpose,
}

/// Who uses a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    Unowned,
    /// A caller, for a statement or a transaction.
    Caller(CallerId),
    /// The pool itself, to sample the primary's position or to query a member's status.
    Pool,
}

/// A connection to a member, with the session state that this VM has set up there.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub(crate) id: ConnectionId,
    pub(crate) group: GroupId,
    pub(crate) member: MemberId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) owner: Owner,
    pub(crate) is_open: bool,
    pub(crate) opened_at: MonoTime,
    /// Start of the wait for the next answer: when the oldest unanswered command was sent, or when
    /// the command before it was answered.
    pub(crate) waiting_since: MonoTime,
    pub(crate) in_transaction: bool,
    /// Whether a statement of the open transaction has begun, so that later ones belong to an
    /// operation that has been counted.
    has_begun_operation: bool,
    values: Vec<(String, String)>,
    prepared: BTreeMap<(Access, String), String>,
    prepared_count: u64,
    unsent: VecDeque<QueuedCommand>,
    in_flight: VecDeque<(Purpose, MonoTime)>,
    /// The value of `waiting_since` for which the answer was found overdue.
    overdue_since: Option<MonoTime>,
    pub(crate) used_at: MonoTime,
}

impl Link {
    pub(crate) fn new(
        id: ConnectionId,
        group: GroupId,
        member: MemberId,
        workspace: WorkspaceId,
        now: MonoTime,
    ) -> Self {
        Self {
            id,
            group,
            member,
            workspace,
            owner: Owner::Unowned,
            is_open: false,
            opened_at: now,
            waiting_since: now,
            in_transaction: false,
            has_begun_operation: false,
            values: Vec::new(),
            prepared: BTreeMap::new(),
            prepared_count: 0,
            unsent: VecDeque::new(),
            in_flight: VecDeque::new(),
            overdue_since: None,
            used_at: now,
        }
    }

    /// Returns whether the connection is open, has no owner and has no pending commands.
    pub(crate) fn is_free(&self) -> bool {
        self.is_open && self.owner == Owner::Unowned && self.has_no_pending_commands()
    }

    /// Returns whether an open transaction holds the connection while no command is pending.
    pub(crate) fn is_idle_in_transaction(&self) -> bool {
        self.in_transaction && self.has_no_pending_commands()
    }

    /// Returns whether the connection is likely to occupy a slot of the member. One whose answer is
    /// overdue would keep others waiting until its statement times out.
    pub(crate) fn occupies_member(&self) -> bool {
        self.owner != Owner::Unowned && !self.is_idle_in_transaction() && !self.is_overdue()
    }

    /// Returns whether no command is pending, neither queued nor unanswered.
    pub(crate) fn has_no_pending_commands(&self) -> bool {
        self.unsent.is_empty() && self.in_flight.is_empty()
    }

    /// Returns whether a command is unanswered.
    pub(crate) fn awaits_answer(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Returns whether a caller's statement has been sent and is unanswered.
    pub(crate) fn has_sent_statement(&self) -> bool {
        self.in_flight
            .iter()
            .any(|(purpose, _)| *purpose == Purpose::Statement)
    }

    /// Records an answer, after `in_transaction` was updated; returns whether an operation has begun
    /// with it, which is a single statement or the first one of a transaction.
    pub(crate) fn note_statement(&mut self, has_begun: bool) -> bool {
        let is_first = has_begun && !self.has_begun_operation;
        self.has_begun_operation = self.in_transaction && (self.has_begun_operation || has_begun);
        is_first
    }

    /// Returns when the unanswered statement was sent with which an operation began, if there is one.
    pub(crate) fn operation_sent_at(&self) -> Option<MonoTime> {
        if self.has_begun_operation {
            return None;
        }
        let mut in_flight = self.in_flight.iter();
        let statement = in_flight.find(|(purpose, _)| *purpose == Purpose::Statement);
        statement.map(|(_, sent_at)| *sent_at)
    }

    /// Returns whether the next answer was found overdue.
    pub(crate) fn is_overdue(&self) -> bool {
        self.overdue_since == Some(self.waiting_since)
    }

    /// Records that the next answer is overdue.
    pub(crate) fn set_overdue(&mut self) {
        self.overdue_since = Some(self.waiting_since);
    }

    /// Queues the commands that change the session values to `wanted`.
    pub(crate) fn apply_session_values(&mut self, wanted: &[(String, String)]) {
        if self.values == wanted {
            return;
        }
        let is_wanted = |(name, _): &(String, String)| wanted.iter().any(|value| value.0 == *name);
        if !self.values.iter().all(is_wanted) {
            self.values.clear();
            self.prepared.clear();
            self.push(MemberCommand::Reset, Purpose::SetUp);
        }
        for (name, value) in wanted {
            if !self.values.contains(&(name.clone(), value.clone())) {
                let command = MemberCommand::SetValue {
                    name: name.clone(),
                    value: value.clone(),
                };
                self.push(command, Purpose::SetUp);
            }
        }
        self.values = wanted.to_vec();
    }

    /// Returns the connection's name for a prepared statement, and queues the command that prepares
    /// it if this was not done yet.
    pub(crate) fn prepare(&mut self, access: Access, statement_text: &str) -> String {
        let key = (access, statement_text.to_owned());
        if let Some(name) = self.prepared.get(&key) {
            return name.clone();
        }
        self.prepared_count += 1;
        let name = format!("p{}", self.prepared_count);
        self.prepared.insert(key, name.clone());
        let command = MemberCommand::Prepare {
            name: name.clone(),
            access,
            statement_text: statement_text.to_owned(),
        };
        self.push(command, Purpose::SetUp);
        name
    }

    /// Forgets all prepared statements, after the member did not know one of them.
    pub(crate) fn forget_prepared(&mut self) {
        self.prepared.clear();
    }

    /// Queues a command.
    pub(crate) fn push(&mut self, command: MemberCommand, purpose: Purpose) {
        self.unsent.push_back(QueuedCommand { command, purpose });
    }

    /// Drops the queued commands.
    pub(crate) fn drop_unsent(&mut self) {
        self.unsent.clear();
    }

    /// Sends queued commands up to the next one that opens a transaction. None are sent while such
    /// a command is unanswered.
    pub(crate) fn send(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let is_begin = |(purpose, _): &(Purpose, MonoTime)| {
            matches!(purpose, Purpose::BeginTransaction { .. })
        };
        if !self.is_open || self.in_flight.iter().any(is_begin) {
            return;
        }
        while let Some(queued) = self.unsent.pop_front() {
            if self.in_flight.is_empty() {
                self.waiting_since = now;
            }
            self.in_flight.push_back((queued.purpose, now));
            actions.push(PoolAction::Send {
                link: self.id,
                command: queued.command,
            });
            if matches!(queued.purpose, Purpose::BeginTransaction { .. }) {
                return;
            }
        }
    }

    /// Removes the oldest unanswered command; returns its purpose and when it was sent.
    pub(crate) fn take_oldest_in_flight(&mut self, now: MonoTime) -> Option<(Purpose, MonoTime)> {
        self.waiting_since = now;
        self.in_flight.pop_front()
    }
}
