//! A planned stop: the VM leaves the balancer, finishes what it has begun and ends.

use std::time::Duration;

use lycheedoor_core::rates::RatesEvent;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::MonoTime;

use crate::event::PoolAction;
use crate::pool::Pool;
use crate::report::Report;
use crate::session::Session;

/// Time until the balancer sends no further callers: two probes a second apart, and the second in
/// which it sends the last ones.
const BALANCER_TIME: Duration = Duration::from_millis(2_300);

/// Part of the grace period that open transactions have to end, in percent.
const TRANSACTION_PERCENT: u32 = 50;

/// Time at the end of the grace period in which the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// A planned stop in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    since: MonoTime,
    has_returned_tokens: bool,
}

impl Pool {
    pub(crate) fn stop_requested(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if self.stop.is_some() {
            return;
        }
        self.stop = Some(Stop {
            since: now,
            has_returned_tokens: false,
        });
        let sessions = self.sessions.len();
        actions.push(PoolAction::Report(Report::StopStarted { sessions }));
        actions.push(PoolAction::SetReady(false));
        self.run_rates(now, RatesEvent::StopRequested, actions);
        self.wake_now(now);
    }

    pub(crate) fn run_stop(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let Some(stop) = self.stop else {
            return;
        };
        let elapsed = now.since(stop.since);
        if elapsed >= self.settings.stop_grace * TRANSACTION_PERCENT / 100 {
            let callers: Vec<CallerId> = self.active.iter().copied().collect();
            for caller in callers {
                let session = self.sessions.get(&caller);
                if session.is_some_and(|session| session.current.is_none()) {
                    self.abort_transaction(now, caller, actions);
                }
            }
        }
        if elapsed >= BALANCER_TIME.min(self.settings.stop_grace / 2) {
            self.close_idle_sessions(now, actions);
        }
        let is_over = elapsed >= self.settings.stop_grace.saturating_sub(EXIT_MARGIN);
        let is_done = self.sessions.is_empty() && elapsed >= BALANCER_TIME;
        if is_over || is_done {
            self.finish_stop(now, stop, actions);
        }
    }

    fn close_idle_sessions(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let idle = self.sessions.values().filter(|session| session.is_idle());
        let callers: Vec<CallerId> = idle.map(|session: &Session| session.caller).collect();
        for caller in callers {
            self.end_session(now, caller, actions);
        }
    }

    fn finish_stop(&mut self, now: MonoTime, stop: Stop, actions: &mut Vec<PoolAction>) {
        if !stop.has_returned_tokens {
            self.run_rates(now, RatesEvent::Leave, actions);
            self.stop = Some(Stop {
                has_returned_tokens: true,
                ..stop
            });
            // One more turn, so that the tokens leave before the process does.
            return self.wake_now(now);
        }
        let sessions = self.sessions.len();
        actions.push(PoolAction::Report(Report::StopFinished { sessions }));
        actions.push(PoolAction::Exit);
    }
}
