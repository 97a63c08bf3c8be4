//! The queries that the exchanges make to other roles while handling an event.

use std::time::Duration;

use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Term;
use crate::types::WorkspaceId;

/// Gives access to the current state of the lease and of the dispatch queues.
///
/// It is queried at the time of each decision, so that no decision relies on an outdated state.
pub trait AnswerGate {
    /// Returns whether this VM may send statements to the primary of a group in a term, and deliver
    /// its answers.
    fn may_answer(&self, now: MonoTime, group: &GroupId, term: Term) -> bool;

    /// Returns the expected queueing time of a new statement of a workspace for a member.
    fn expected_queue_time(
        &self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        workspace: &WorkspaceId,
    ) -> Duration;
}
