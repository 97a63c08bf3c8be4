//! Statements that run on connections to targets, and how long they take.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::ConnectionId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::RequestId;

/// How often an answer of a member is passed on as a heartbeat; a report per statement would cost
/// more than the statement.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(25);

/// The weight of the newest statement in the mean time, as a divisor.
const MEAN_WEIGHT_DIVISOR: u32 = 8;

#[derive(Debug)]
struct RunningStatement {
    request: RequestId,
    sent_at: Option<MonoTime>,
}

/// The statement in progress on each connection, and the mean time of statements by member.
#[derive(Debug, Default)]
pub(super) struct RunningStatements {
    statements: BTreeMap<ConnectionId, RunningStatement>,
    mean_durations: BTreeMap<MemberId, Duration>,
    last_heartbeats: BTreeMap<MemberId, MonoTime>,
}

impl RunningStatements {
    /// Records that dispatch has given a connection to a statement.
    pub(super) fn record_dispatched(&mut self, connection: ConnectionId, request: RequestId) {
        self.statements.insert(
            connection,
            RunningStatement {
                request,
                sent_at: None,
            },
        );
    }

    /// Records that a statement was sent; the first one of a connection was dispatched before.
    pub(super) fn record_sent(&mut self, now: MonoTime, connection: ConnectionId) {
        if let Some(statement) = self.statements.get_mut(&connection) {
            statement.sent_at = Some(now);
        }
    }

    /// Takes the time at which the answered statement was sent, if the answer is to be passed on
    /// as a heartbeat of the member.
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

    /// Takes the statement to which dispatch has given a connection.
    pub(super) fn end(&mut self, connection: ConnectionId) -> Option<RequestId> {
        self.statements
            .remove(&connection)
            .map(|statement| statement.request)
    }

    /// Returns the mean time of statements on a member.
    pub(super) fn mean_duration(&self, member: &MemberId) -> Duration {
        self.mean_durations.get(member).copied().unwrap_or_default()
    }
}
