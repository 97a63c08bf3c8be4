//! Statements in progress on connections to targets, and their mean duration by member.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::ConnectionId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::RequestId;

/// The minimum interval between answers of a member that count as a heartbeat. A heartbeat for
/// each statement would cost more than the statement.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(25);

/// The divisor of the newest statement's weight in the mean duration, which is an exponentially
/// weighted moving average.
const MEAN_WEIGHT_DIVISOR: u32 = 8;

#[derive(Debug)]
struct RunningStatement {
    request: RequestId,
    sent_at: Option<MonoTime>,
}

/// The statement in progress on each connection, and the mean duration of statements by member.
#[derive(Debug, Default)]
pub(super) struct RunningStatements {
    statements: BTreeMap<ConnectionId, RunningStatement>,
    mean_durations: BTreeMap<MemberId, Duration>,
    last_heartbeats: BTreeMap<MemberId, MonoTime>,
}

impl RunningStatements {
    /// Records that dispatch has assigned a connection to a statement.
    pub(super) fn record_dispatched(&mut self, connection: ConnectionId, request: RequestId) {
        self.statements.insert(
            connection,
            RunningStatement {
                request,
                sent_at: None,
            },
        );
    }

    /// Records when the statement that was dispatched to a connection is sent. Later statements of
    /// a transaction are not dispatched, so they are ignored.
    pub(super) fn record_sent(&mut self, now: MonoTime, connection: ConnectionId) {
        if let Some(statement) = self.statements.get_mut(&connection) {
            statement.sent_at = Some(now);
        }
    }

    /// Records the answer to the statement on a connection. Returns the time at which the statement
    /// was sent if the answer is to be reported as a heartbeat of the member.
    pub(super) fn record_answered(
        &mut self,
        now: MonoTime,
        connection: ConnectionId,
        member: &MemberId,
    ) -> Option<MonoTime> {
        let sent_at = self.statements.get_mut(&connection)?.sent_at.take()?;
        let duration = now.since(sent_at);
        match self.mean_durations.get_mut(member) {
            Some(mean) => {
                *mean = (*mean * (MEAN_WEIGHT_DIVISOR - 1) + duration) / MEAN_WEIGHT_DIVISOR
            }
            None => drop(self.mean_durations.insert(member.clone(), duration)),
        }
        self.is_heartbeat_due(now, member).then_some(sent_at)
    }

    fn is_heartbeat_due(&mut self, now: MonoTime, member: &MemberId) -> bool {
        match self.last_heartbeats.get_mut(member) {
            Some(at) if now.since(*at) < MIN_HEARTBEAT_INTERVAL => false,
            Some(at) => {
                *at = now;
                true
            }
            None => {
                self.last_heartbeats.insert(member.clone(), now);
                true
            }
        }
    }

    /// Removes and returns the statement to which dispatch has assigned a connection.
    pub(super) fn end(&mut self, connection: ConnectionId) -> Option<RequestId> {
        self.statements
            .remove(&connection)
            .map(|statement| statement.request)
    }

    /// Returns the mean duration of statements on a member, or zero if none has been answered.
    pub(super) fn mean_duration(&self, member: &MemberId) -> Duration {
        self.mean_durations.get(member).copied().unwrap_or_default()
    }
}
