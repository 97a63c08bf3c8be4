//! The state of one statement.

use std::sync::Arc;

use crate::config::Access;
use crate::exchange::RequestPlan;
use crate::types::CallerId;
use crate::types::ConnectionId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Outcome;
use crate::types::Position;
use crate::types::Reason;
use crate::types::Term;

/// The processing stage of a statement.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// The key, route, data centre and rate limit are being checked.
    Admission,
    /// The statement waits until a primary may be used.
    WaitingPrimary { reason: Reason },
    /// The statement waits for a replica that is expected to become fresh enough soon.
    WaitingReplica { until: MonoTime },
    /// The statement is tried again after a delay.
    Backoff { until: MonoTime, reason: Reason },
    /// The statement is in the queue of a member.
    Queued { member: MemberId, on_primary: bool },
    /// The statement may have reached the target.
    Sent { connection: ConnectionId },
    /// The target has answered, and the answer is not delivered yet.
    Held(HeldAnswer),
}

/// An answer that waits until it is durable or until the lease is valid.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldAnswer {
    /// The term in which the answer must be delivered; `None` for an answer of a replica.
    pub(super) term: Option<Term>,
    /// The log position that the target reported with the answer.
    pub(super) position: Option<Position>,
    /// Whether replicas must have received the position.
    pub(super) needs_replica: bool,
    /// Whether the answer contains an error.
    pub(super) failed: bool,
}

#[derive(Debug)]
pub(super) struct Statement {
    pub(super) caller: CallerId,
    pub(super) plan: Arc<RequestPlan>,
    pub(super) idempotency_key: Option<Arc<str>>,
    pub(super) deadline: MonoTime,
    pub(super) timer_at: MonoTime,
    pub(super) attempt: u32,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run_before: bool,
    /// Whether the statement must run on the primary, because a replica's answer was too old.
    pub(super) primary_only: bool,
    /// When the statement started to wait for a replica.
    pub(super) waiting_since: Option<MonoTime>,
    pub(super) stage: Stage,
}

impl Statement {
    pub(super) fn is_safe_to_repeat(&self) -> bool {
        self.plan.idempotent || self.is_read() || self.idempotency_key.is_some()
    }

    pub(super) fn is_read(&self) -> bool {
        self.plan.access == Access::Read
    }

    /// Returns whether a byte of the statement may have reached a target.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run_before || matches!(self.stage, Stage::Sent { .. } | Stage::Held(_))
    }

    /// Returns when the current wait of the statement ends, at the latest at its deadline.
    pub(super) fn timer_due_at(&self) -> MonoTime {
        match self.stage {
            Stage::WaitingReplica { until } | Stage::Backoff { until, .. } => {
                until.min(self.deadline)
            }
            _ => self.deadline,
        }
    }

    /// Returns the outcome of a refusal, and a reason whose SQLSTATE is consistent with it.
    pub(super) fn refusal_outcome(&self, reason: Reason) -> (Outcome, Reason) {
        let says_unknown = reason.sqlstate().starts_with("LD1");
        match (self.may_have_run(), says_unknown) {
            (true, true) => (Outcome::Unknown, reason),
            (true, false) if reason == Reason::CallerGone => {
                (Outcome::Unknown, Reason::ConnectionLost)
            }
            (true, false) => (Outcome::Unknown, Reason::AnswerDeadline),
            (false, true) => (Outcome::NotRun, Reason::NoPrimary),
            (false, false) => (Outcome::NotRun, reason),
        }
    }
}
