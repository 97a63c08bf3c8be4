//! A minimal decision logic for tests: accepts every caller and sends every statement to one
//! primary.
//!
//! It allows tests of the actors and the wire protocols without the decision logic of production.
//! A statement uses an idle connection or waits for a new one; a transaction keeps its connection
//! until it ends.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_http::Request;
use lycheedoor_http::encode_response;

use crate::decision_logic::DecisionLogic;

/// The largest number of connections to the primary; statements wait when all of them are in use.
const MAX_CONNECTIONS: usize = 8;

#[derive(Debug)]
struct Caller {
    workspace: WorkspaceId,
    pinned: Option<ConnectionId>,
}

#[derive(Clone, Debug)]
struct Statement {
    caller: CallerId,
    request: RequestId,
    idempotency_key: Option<String>,
}

#[derive(Debug, Default)]
struct Connection {
    ready: bool,
    statement: Option<Statement>,
    pinned_by: Option<CallerId>,
}

/// Decision logic that sends every statement to one member, without routing or admission control.
#[derive(Debug)]
pub struct SinglePrimary {
    group: GroupId,
    member: MemberId,
    address: SocketAddr,
    callers: BTreeMap<CallerId, Caller>,
    connections: BTreeMap<ConnectionId, Connection>,
    queue: VecDeque<Statement>,
    last_connection: u64,
    stopping: bool,
}

impl SinglePrimary {
    /// Creates the logic for the primary `member` of `group`, which listens at `address`.
    pub fn new(group: GroupId, member: MemberId, address: SocketAddr) -> Self {
        Self {
            group,
            member,
            address,
            callers: BTreeMap::new(),
            connections: BTreeMap::new(),
            queue: VecDeque::new(),
            last_connection: 0,
            stopping: false,
        }
    }

    fn dispatch(&mut self, actions: &mut Vec<VmAction>) {
        let mut still_queued = VecDeque::new();
        while let Some(statement) = self.queue.pop_front() {
            let Some(caller) = self.callers.get(&statement.caller) else {
                continue;
            };
            let usable = |connection: &Connection| {
                connection.ready && connection.statement.is_none() && connection.pinned_by.is_none()
            };
            let chosen = caller.pinned.or_else(|| {
                let idle = self.connections.iter().find(|(_, entry)| usable(entry));
                idle.map(|(id, _)| *id)
            });
            let Some((id, connection)) =
                chosen.and_then(|id| Some((id, self.connections.get_mut(&id)?)))
            else {
                still_queued.push_back(statement);
                continue;
            };
            actions.push(VmAction::SendStatement {
                connection: id,
                request: statement.request,
                workspace: caller.workspace.clone(),
                idempotency_key: statement.idempotency_key.clone(),
            });
            connection.statement = Some(statement);
        }
        self.queue = still_queued;
        let opening = self.connections.values().filter(|c| !c.ready).count();
        if self.queue.len() > opening && self.connections.len() < MAX_CONNECTIONS {
            self.open_connection(actions);
        }
    }

    fn open_connection(&mut self, actions: &mut Vec<VmAction>) {
        self.last_connection += 1;
        let connection = ConnectionId(self.last_connection);
        self.connections.insert(connection, Connection::default());
        actions.push(VmAction::OpenConnection {
            connection,
            group: self.group.clone(),
            member: self.member.clone(),
        });
    }

    fn answered(
        &mut self,
        connection: ConnectionId,
        position: Option<Position>,
        status: TransactionStatus,
        actions: &mut Vec<VmAction>,
    ) {
        let Some(entry) = self.connections.get_mut(&connection) else {
            return;
        };
        let Some(statement) = entry.statement.take() else {
            return;
        };
        let in_transaction = status != TransactionStatus::Idle;
        entry.pinned_by = in_transaction.then_some(statement.caller);
        match self.callers.get_mut(&statement.caller) {
            Some(caller) => caller.pinned = in_transaction.then_some(connection),
            None if in_transaction => {
                self.close_connection(connection, Reason::CallerGone, actions)
            }
            None => {}
        }
        actions.push(VmAction::DeliverAnswer {
            caller: statement.caller,
            request: statement.request,
            session_token: position.map(|position| position.to_string()),
        });
    }

    fn connection_lost(
        &mut self,
        connection: ConnectionId,
        unsent: bool,
        actions: &mut Vec<VmAction>,
    ) {
        let Some(entry) = self.connections.remove(&connection) else {
            return;
        };
        if let Some(caller) = entry.pinned_by.and_then(|id| self.callers.get_mut(&id)) {
            caller.pinned = None;
        }
        if let Some(statement) = entry.statement {
            let outcome = if unsent {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            };
            refuse(&statement, Reason::ConnectionLost, outcome, actions);
        } else if !entry.ready {
            for statement in std::mem::take(&mut self.queue) {
                refuse(&statement, Reason::NoPrimary, Outcome::NotRun, actions);
            }
        }
    }

    fn cancel(&mut self, caller: CallerId, actions: &mut Vec<VmAction>) {
        let busy = self
            .connections
            .iter()
            .find(|(_, entry)| entry.statement.as_ref().is_some_and(|s| s.caller == caller))
            .map(|(id, _)| *id);
        if let Some(connection) = busy {
            self.close_connection(connection, Reason::CallerGone, actions);
            self.connection_lost(connection, false, actions);
        }
        let (cancelled, kept) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|statement| statement.caller == caller);
        self.queue = kept;
        for statement in cancelled {
            refuse(&statement, Reason::CallerGone, Outcome::NotRun, actions);
        }
    }

    fn caller_closed(&mut self, caller: CallerId, actions: &mut Vec<VmAction>) {
        self.cancel(caller, actions);
        if let Some(connection) = self.callers.remove(&caller).and_then(|entry| entry.pinned) {
            self.close_connection(connection, Reason::CallerGone, actions);
            self.connections.remove(&connection);
        }
    }

    fn close_connection(
        &self,
        connection: ConnectionId,
        reason: Reason,
        actions: &mut Vec<VmAction>,
    ) {
        actions.push(VmAction::CloseConnection { connection, reason });
    }

    /// Exits after a stop request, once all statements and transactions have finished, and tells
    /// the remaining callers to reconnect.
    fn stop_when_idle(&mut self, actions: &mut Vec<VmAction>) {
        let busy = |entry: &Connection| entry.statement.is_some() || entry.pinned_by.is_some();
        if self.stopping && self.queue.is_empty() && !self.connections.values().any(busy) {
            for caller in std::mem::take(&mut self.callers).into_keys() {
                let reason = Reason::Draining;
                actions.push(VmAction::CloseCaller { caller, reason });
            }
            actions.push(VmAction::Exit);
        }
    }
}

impl DecisionLogic for SinglePrimary {
    fn handle(&mut self, _now: MonoTime, event: VmEvent, actions: &mut Vec<VmAction>) {
        match event {
            VmEvent::CallerStarted {
                caller, workspace, ..
            } => {
                let pinned = None;
                self.callers.insert(caller, Caller { workspace, pinned });
                actions.push(VmAction::AcceptCaller { caller });
            }
            VmEvent::RequestReceived {
                caller,
                request,
                idempotency_key,
            } => self.queue.push_back(Statement {
                caller,
                request,
                idempotency_key,
            }),
            VmEvent::RequestCancelled { caller } => self.cancel(caller, actions),
            VmEvent::CallerClosed { caller } => self.caller_closed(caller, actions),
            VmEvent::ConnectionOpened { connection } => {
                if let Some(entry) = self.connections.get_mut(&connection) {
                    entry.ready = true;
                }
            }
            VmEvent::ConnectionClosed {
                connection,
                statement_unsent,
            } => self.connection_lost(connection, statement_unsent, actions),
            VmEvent::TargetAnswered {
                connection,
                position,
                status,
                ..
            } => self.answered(connection, position, status, actions),
            VmEvent::StopRequested => self.stopping = true,
            _ => {}
        }
        self.dispatch(actions);
        self.stop_when_idle(actions);
    }

    fn next_deadline(&self) -> Option<MonoTime> {
        None
    }

    fn member_address(&self, _group: &GroupId, _member: &MemberId) -> Option<SocketAddr> {
        Some(self.address)
    }

    fn answer_operator(&self, _now: MonoTime, _request: &Request, out: &mut Vec<u8>) {
        encode_response(out, 404, "text/plain", b"no such path");
    }
}

fn refuse(statement: &Statement, reason: Reason, outcome: Outcome, actions: &mut Vec<VmAction>) {
    actions.push(VmAction::RefuseRequest {
        caller: statement.caller,
        request: statement.request,
        reason,
        outcome,
        session_token: None,
    });
}
