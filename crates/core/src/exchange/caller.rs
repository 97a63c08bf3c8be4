//! The state of callers and of the connections that their statements use.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::exchange::RequestPlan;
use crate::session::SessionVector;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::RequestId;
use crate::types::Term;

/// A statement that waits until the caller's previous statements have an outcome.
#[derive(Debug)]
pub(super) struct PipelinedStatement {
    pub(super) request: RequestId,
    pub(super) plan: Arc<RequestPlan>,
    pub(super) idempotency_key: Option<Arc<str>>,
    pub(super) deadline: MonoTime,
}

#[derive(Debug, Default)]
pub(super) struct Caller {
    pub(super) session: SessionVector,
    pub(super) current_request: Option<RequestId>,
    pub(super) pipelined: VecDeque<PipelinedStatement>,
    /// The connection to which the caller's open transaction is pinned.
    pub(super) pinned_connection: Option<ConnectionId>,
    /// When the open transaction is ended if no statement arrives; `None` while there is no open
    /// transaction or a statement is in progress.
    pub(super) idle_deadline: Option<MonoTime>,
}

/// A connection in use, from its dispatch to its release.
#[derive(Clone, Debug)]
pub(super) struct ConnectionUse {
    pub(super) caller: CallerId,
    /// The statement in progress; `None` between the statements of a transaction.
    pub(super) request: Option<RequestId>,
    pub(super) group: GroupId,
    pub(super) member: MemberId,
    /// The term in which the member is used as the primary; `None` for a replica.
    pub(super) term: Option<Term>,
    pub(super) sent_at: MonoTime,
}
