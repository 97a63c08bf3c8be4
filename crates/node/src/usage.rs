//! Reports of usage to the platform. There is one in a window, so each has its own connection.

use std::time::Duration;

use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::usage_report::FixedWindow;
use lycheedoor_pool::usage_report::UsageOutcome;
use lycheedoor_telemetry::metrics::PLATFORM_CALLS;
use metrics::counter;
use stakker::CX;
use stakker::after;
use stakker::fwd_to;
use stakker_mio::Ready;

use crate::driver::Driver;
use crate::store::HttpConnection;
use crate::store::HttpProgress;
use crate::store::warn_unreachable;

/// Time for the response to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A report without a response.
pub(crate) struct PendingReport {
    connection: HttpConnection,
    token: u64,
    window: u64,
}

impl Driver {
    pub(crate) fn report_usage(&mut self, cx: CX![], token: u64, window: &FixedWindow) {
        let number = self.new_socket_number();
        let ready = fwd_to!([cx], usage_ready(number) as (Ready));
        let mut bytes = Vec::new();
        self.codecs.usage.encode(window, token, &mut bytes);
        let window = window.number;
        // The platform's interface for promotions takes the reports as well.
        let mut connection = match HttpConnection::open(cx, self.addresses.promotion, ready) {
            Ok(connection) => connection,
            Err(error) => {
                warn_unreachable("usage", &error.to_string());
                return self.usage_finished(cx, token, window, UsageOutcome::Unknown);
            }
        };
        connection.send(&bytes);
        let pending = PendingReport {
            connection,
            token,
            window,
        };
        self.usage_reports.insert(number, pending);
        after!(REPORT_TIMEOUT, [cx], usage_timed_out(number));
    }

    fn usage_ready(&mut self, cx: CX![], number: u64, ready: Ready) {
        let Some(pending) = self.usage_reports.get_mut(&number) else {
            return;
        };
        let outcome = match pending.connection.progress(&ready) {
            HttpProgress::Waiting => return,
            HttpProgress::Disconnected => UsageOutcome::Unknown,
            HttpProgress::Answered(response) => self.codecs.usage.decode(&response),
        };
        self.remove_usage_report(cx, number, outcome);
    }

    fn usage_timed_out(&mut self, cx: CX![], number: u64) {
        self.remove_usage_report(cx, number, UsageOutcome::Unknown);
    }

    fn remove_usage_report(&mut self, cx: CX![], number: u64, outcome: UsageOutcome) {
        if let Some(pending) = self.usage_reports.remove(&number) {
            self.usage_finished(cx, pending.token, pending.window, outcome);
        }
    }

    fn usage_finished(&mut self, cx: CX![], token: u64, window: u64, outcome: UsageOutcome) {
        let result = match outcome {
            UsageOutcome::Accepted => "updated",
            UsageOutcome::Refused => "conflict",
            UsageOutcome::Unknown => "unreachable",
        };
        counter!(PLATFORM_CALLS.name, "call" => "usage", "result" => result).increment(1);
        let event = PoolEvent::UsageAnswered {
            token,
            window,
            outcome,
        };
        self.handle_event(cx, event);
    }
}
