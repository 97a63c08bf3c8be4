//! A connection to a member: who uses it, and what its session holds.

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

/// What a command is for, which decides what its answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Brings the connection's session to that of the caller.
    SetUp,
    /// Opens a transaction; what follows waits for the answer.
    Open {
        /// Whether the member has to be the primary.
        needs_lead: bool,
    },
    /// Runs a caller's statement.
    Statement,
    /// Ends a transaction that has nothing to keep.
    RollBack,
    /// Asks for the member's state during a replacement of the primary.
    Survey,
}

/// A command with its purpose.
#[derive(Clone, Debug)]
pub(crate) struct QueuedCommand {
    pub(crate) command: MemberCommand,
    pub(crate) purpose: Purpose,
}

/// Who uses a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    /// Nobody.
    Nobody,
    /// A caller's statement or transaction.
    Caller(CallerId),
    /// This VM itself: a sample of the primary's position or a question to a member.
    Pool,
}

/// A connection to a member.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub(crate) id: ConnectionId,
    pub(crate) group: GroupId,
    pub(crate) member: MemberId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) owner: Owner,
    pub(crate) is_open: bool,
    pub(crate) opened_at: MonoTime,
    /// When the oldest unanswered command was sent, or the previous one was answered.
    pub(crate) waits_since: MonoTime,
    pub(crate) in_transaction: bool,
    values: Vec<(String, String)>,
    prepared: BTreeMap<(Access, String), String>,
    prepared_count: u64,
    unsent: VecDeque<QueuedCommand>,
    in_flight: VecDeque<(Purpose, MonoTime)>,
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
            owner: Owner::Nobody,
            is_open: false,
            opened_at: now,
            waits_since: now,
            in_transaction: false,
            values: Vec::new(),
            prepared: BTreeMap::new(),
            prepared_count: 0,
            unsent: VecDeque::new(),
            in_flight: VecDeque::new(),
            used_at: now,
        }
    }

    /// Returns whether the connection is open and nobody uses it.
    pub(crate) fn is_free(&self) -> bool {
        self.is_open && self.owner == Owner::Nobody && self.is_quiet()
    }

    /// Returns whether the connection is held by a transaction whose caller pauses.
    pub(crate) fn is_idle_in_transaction(&self) -> bool {
        self.in_transaction && self.is_quiet()
    }

    /// Returns whether nothing is sent or waits to be sent.
    pub(crate) fn is_quiet(&self) -> bool {
        self.unsent.is_empty() && self.in_flight.is_empty()
    }

    /// Returns whether an answer is outstanding.
    pub(crate) fn awaits_answer(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Returns whether a caller's statement has been sent and not been answered.
    pub(crate) fn has_sent_statement(&self) -> bool {
        self.in_flight
            .iter()
            .any(|(purpose, _)| *purpose == Purpose::Statement)
    }

    /// Adds the commands that bring the session values to `wanted`.
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

    /// Returns the connection's name of a prepared statement, after preparing it if necessary.
    pub(crate) fn prepare(&mut self, access: Access, shape: &str) -> String {
        let key = (access, shape.to_owned());
        if let Some(name) = self.prepared.get(&key) {
            return name.clone();
        }
        self.prepared_count += 1;
        let name = format!("p{}", self.prepared_count);
        self.prepared.insert(key, name.clone());
        let command = MemberCommand::Prepare {
            name: name.clone(),
            access,
            shape: shape.to_owned(),
        };
        self.push(command, Purpose::SetUp);
        name
    }

    /// Forgets the prepared statements, which the member does not know.
    pub(crate) fn forget_prepared(&mut self) {
        self.prepared.clear();
    }

    /// Adds a command.
    pub(crate) fn push(&mut self, command: MemberCommand, purpose: Purpose) {
        self.unsent.push_back(QueuedCommand { command, purpose });
    }

    /// Drops what is not sent yet.
    pub(crate) fn drop_unsent(&mut self) {
        self.unsent.clear();
    }

    /// Sends what may be sent: all up to an unanswered start of a transaction.
    pub(crate) fn send(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let is_open = |(purpose, _): &(Purpose, MonoTime)| matches!(purpose, Purpose::Open { .. });
        if !self.is_open || self.in_flight.iter().any(is_open) {
            return;
        }
        while let Some(queued) = self.unsent.pop_front() {
            if self.in_flight.is_empty() {
                self.waits_since = now;
            }
            self.in_flight.push_back((queued.purpose, now));
            actions.push(PoolAction::Send {
                link: self.id,
                command: queued.command,
            });
            if matches!(queued.purpose, Purpose::Open { .. }) {
                return;
            }
        }
    }

    /// Takes the purpose of the oldest unanswered command, and when it was sent.
    pub(crate) fn take_oldest_in_flight(&mut self, now: MonoTime) -> Option<(Purpose, MonoTime)> {
        self.waits_since = now;
        self.in_flight.pop_front()
    }
}
