//! Measures the load of the process for the log.

use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_net::process_time;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::events;

/// What the process has done since the latest log line on its load.
#[derive(Debug, Default)]
pub(crate) struct Load {
    since: MonoTime,
    processor_time: Duration,
    /// The longest delay of a timer beyond its deadline. It grows when the process gets too little
    /// processor time.
    max_timer_lag: Duration,
    pub(crate) statements: u64,
    pub(crate) opened_connections: u64,
    pub(crate) peer_messages: u64,
    pub(crate) peer_bytes: u64,
    pub(crate) store_calls: u64,
}

impl Load {
    /// Records by how much a timer was late.
    pub(crate) fn record_timer_lag(&mut self, lag: Duration) {
        self.max_timer_lag = self.max_timer_lag.max(lag);
    }

    /// Writes the load since the previous call to the log and starts again from zero.
    pub(crate) fn write_log(&mut self, now: MonoTime) {
        let processor_time = process_time();
        let used = processor_time.saturating_sub(self.processor_time);
        let values = [
            millis(now.since(self.since)).into(),
            millis(used).into(),
            millis(self.max_timer_lag).into(),
            self.statements.into(),
            self.opened_connections.into(),
            self.peer_messages.into(),
            self.peer_bytes.into(),
            self.store_calls.into(),
        ];
        emit(&events::VM_LOAD, &values);
        *self = Self {
            since: now,
            processor_time,
            ..Self::default()
        };
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
