//! Applies the limits on what callers may hold; the ledger decides whose connection is closed.

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_net::ClientUsage;
use lycheedoor_net::ExceededLimit;
use lycheedoor_pool::CallerError;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::PoolEvent;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::emit_limited_by_kind;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::metrics::CALLER_CONNECTIONS;
use lycheedoor_telemetry::metrics::CALLER_HELD_BYTES;
use lycheedoor_telemetry::metrics::CALLERS_CLOSED;
use metrics::counter;
use metrics::gauge;
use stakker::CX;

use crate::driver::Driver;

/// Copies of a statement's text while it is passed on: the text itself and its encoded form for a
/// member or another VM.
const STATEMENT_COPIES: usize = 2;

/// Descriptors of the event loop, the listeners, the signals and the calls to the platform.
const SYSTEM_SOCKETS: usize = 24;

impl Driver {
    /// Closes the connection that is needed least if there is no room for another caller; returns
    /// false if there is none that may be closed.
    pub(crate) fn make_room_for_caller(&mut self, cx: CX![]) -> bool {
        let other_sockets = self.members.len()
            + self.outgoing_peers.len()
            + self.incoming_peers.len()
            + self.page_connections.len()
            + self
                .callers
                .len()
                .saturating_sub(self.ledger.client_count())
            + SYSTEM_SOCKETS;
        if self.ledger.has_room(other_sockets) {
            return true;
        }
        let now = self.now(cx.now());
        let Some(number) = self.ledger.least_needed(now) else {
            let values = ["callers".into(), self.callers.len().into()];
            emit_limited_by_cause(&events::CONNECTION_REFUSED, "callers", &values);
            return false;
        };
        self.close_by_limit(cx, number, ExceededLimit::Connections);
        true
    }

    /// Returns whether no further request of a caller is decoded until others are answered.
    pub(crate) fn must_pause(&self, number: u64) -> bool {
        let Some(connection) = self.callers.get(&number) else {
            return false;
        };
        let usage = self.pool.caller_usage(CallerId(number));
        let limits = self.ledger.limits();
        usage.requests_ahead >= limits.max_statements_ahead
            || usage.statement_bytes > limits.max_unanswered_bytes
            || connection.socket.pending_output.len() > limits.max_unanswered_bytes
    }

    /// Continues with what a caller sent ahead. The event loop does not report the same readiness
    /// twice, so the socket is read until it is empty.
    pub(crate) fn resume_caller(&mut self, cx: CX![], number: u64) {
        let is_paused = |driver: &Self| driver.callers.get(&number).is_some_and(|c| c.is_paused);
        if !is_paused(self) || self.must_pause(number) {
            return;
        }
        self.process_requests(cx, number);
        self.account_caller(cx, number);
        if !is_paused(self) {
            self.read_caller(cx, number, true);
        }
    }

    /// Records what a caller holds, and closes connections while all callers hold too much.
    pub(crate) fn account_caller(&mut self, cx: CX![], number: u64) {
        let Some(connection) = self.callers.get(&number) else {
            return;
        };
        let session = self.pool.caller_usage(CallerId(number));
        let pending_bytes = connection.socket.pending_output.len();
        let usage = ClientUsage {
            has_session: session.has_session,
            is_busy: session.is_busy || pending_bytes > 0,
            has_partial_message: !connection.is_paused && connection.codec.buffered_bytes() > 0,
            has_unsent_output: pending_bytes > 0,
            held_bytes: connection.codec.allocated_bytes()
                + STATEMENT_COPIES * session.statement_bytes
                + session.state_bytes
                + pending_bytes,
        };
        let now = self.now(cx.now());
        self.ledger.update(number, usage, now);
        while let Some(largest) = self.ledger.over_budget() {
            self.close_by_limit(cx, largest, ExceededLimit::HeldBytes);
        }
    }

    /// Closes the connections of callers that have exceeded a time limit.
    pub(crate) fn close_overdue_callers(&mut self, cx: CX![], now: MonoTime) {
        for (number, limit) in self.ledger.overdue(now) {
            self.close_by_limit(cx, number, limit);
        }
        // Both are far below the largest integer that a floating point gauge holds exactly.
        gauge!(CALLER_HELD_BYTES.name).set(self.ledger.held_bytes() as f64);
        gauge!(CALLER_CONNECTIONS.name).set(self.callers.len() as f64);
    }

    /// Closes a connection. A caller whose message has begun, and that has nothing else in progress,
    /// is told that nothing has run.
    fn close_by_limit(&mut self, cx: CX![], number: u64, limit: ExceededLimit) {
        let caller = CallerId(number);
        let session = self.pool.caller_usage(caller);
        let values = [
            number.into(),
            limit.as_str().into(),
            self.ledger.held_bytes_of(number).into(),
            self.ledger.held_bytes().into(),
            self.callers.len().into(),
        ];
        emit_limited_by_kind(&events::CALLER_CLOSED_BY_LIMIT, &values);
        counter!(CALLERS_CLOSED.name, "limit" => limit.as_str()).increment(1);
        let Some(connection) = self.callers.get(&number) else {
            return self.ledger.remove(number);
        };
        let can_be_told = !session.is_busy
            && !connection.is_closing
            && connection.socket.pending_output.is_empty()
            && connection.codec.buffered_bytes() > 0;
        if !can_be_told {
            return self.disconnect_caller(cx, number);
        }
        self.ledger.remove(number);
        let reply = CallerReply::Rejected {
            error: CallerError::Busy,
            text: "connection holds too much or is too slow".into(),
        };
        self.reply(caller, &reply);
        self.close_caller(cx, caller);
        self.handle_event(cx, PoolEvent::CallerClosed { caller });
    }

    /// Returns the connection that is closed to make room for another one of the same purpose, of
    /// which there may be `max_count` and `max_silent` that have sent no message. `connections` are
    /// the numbers, oldest first, and whether a message has arrived.
    pub(crate) fn replaced_connection(
        purpose: &'static str,
        connections: impl Iterator<Item = (u64, bool)>,
        max_count: usize,
        max_silent: usize,
    ) -> Option<u64> {
        let (mut oldest, mut oldest_silent) = (None, None);
        let (mut count, mut silent_count) = (0, 0);
        for (number, has_sent) in connections {
            count += 1;
            oldest = oldest.or(Some(number));
            if !has_sent {
                silent_count += 1;
                oldest_silent = oldest_silent.or(Some(number));
            }
        }
        if count < max_count && silent_count < max_silent {
            return None;
        }
        let values = [purpose.into(), count.into()];
        emit_limited_by_cause(&events::CONNECTION_REPLACED, purpose, &values);
        oldest_silent.or(oldest)
    }
}
