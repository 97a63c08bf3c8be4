//! Graceful shutdown: the VM reports itself as not ready to the load balancer, finishes the
//! statements in progress and exits.
//!
//! A session is closed when it is idle, or with the answer that makes it idle: one in steady use is
//! never seen idle by a timer. In the second half of the grace period no statement begins except a
//! commit. What is still in progress at its end is answered before the process exits.

use std::time::Duration;

use lycheedoor_core::rates::RatesEvent;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::MonoTime;

use crate::event::CallerReply;
use crate::event::PoolAction;
use crate::pool::Pool;
use crate::remote::is_remote;
use crate::report::Report;
use crate::session::Operation;
use crate::session::Session;
use crate::session::Stage;
use crate::statement::Access;
use crate::statement::CallerError;

/// Delay until the load balancer sends no new callers: two failed readiness probes, one second
/// apart, and one further second in which it may still send callers.
const BALANCER_DRAIN_DELAY: Duration = Duration::from_millis(2_300);

/// Percentage of the grace period after which open transactions are rolled back and no statement
/// begins. The rest is for the statements in progress.
const NEW_STATEMENTS_PERCENT: u32 = 50;

/// Time before the end of the grace period at which the process exits, so that it is not killed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// The progress of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopProgress {
    since: MonoTime,
    has_returned_tokens: bool,
}

impl Pool {
    pub(crate) fn stop_requested(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if self.stop.is_some() {
            return;
        }
        self.stop = Some(StopProgress {
            since: now,
            has_returned_tokens: false,
        });
        let sessions = self.sessions.len();
        actions.push(PoolAction::Report(Report::StopStarted { sessions }));
        actions.push(PoolAction::SetReady(false));
        self.run_rates(now, RatesEvent::StopRequested, actions);
        self.dismiss_followers(actions);
        self.schedule_tick_now(now);
    }

    pub(crate) fn run_stop(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let Some(stop) = self.stop else {
            return;
        };
        let elapsed = now.since(stop.since);
        if self.accepts_no_statements(now) {
            let callers: Vec<CallerId> = self.active.iter().copied().collect();
            for caller in callers {
                let session = self.sessions.get(&caller);
                if session.is_some_and(|session| session.current.is_none()) {
                    self.abort_transaction(now, caller, actions);
                }
            }
        }
        if self.closes_idle_sessions(now) {
            self.close_idle_sessions(now, actions);
        }
        let is_over = elapsed >= self.settings.stop_grace.saturating_sub(EXIT_MARGIN);
        let is_unused = self
            .sessions
            .values()
            .all(|session| session.login.is_none());
        let is_done = is_unused && elapsed >= BALANCER_DRAIN_DELAY;
        if is_over || is_done {
            self.finish_stop(now, stop, actions);
        }
    }

    /// Returns whether the load balancer sends no new callers any more, so that callers whose
    /// connections are closed reach another VM.
    fn closes_idle_sessions(&self, now: MonoTime) -> bool {
        let delay = BALANCER_DRAIN_DELAY.min(self.settings.stop_grace / 2);
        self.stop.is_some_and(|stop| now.since(stop.since) >= delay)
    }

    /// Returns whether a graceful shutdown has gone so far that no statement begins.
    pub(crate) fn accepts_no_statements(&self, now: MonoTime) -> bool {
        let delay = self.settings.stop_grace * NEW_STATEMENTS_PERCENT / 100;
        self.stop.is_some_and(|stop| now.since(stop.since) >= delay)
    }

    /// Refuses a caller's current statement, which has not begun, and ends its transaction.
    pub(crate) fn refuse_because_of_stop(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let error = self.not_run_error(now, caller, actions);
        self.fail_current(now, caller, error, "VM is stopping", actions);
    }

    /// Closes the sessions that are idle after one of the actions from `first` on, which answers
    /// their latest statement.
    pub(crate) fn close_answered_sessions(
        &mut self,
        now: MonoTime,
        first: usize,
        actions: &mut Vec<PoolAction>,
    ) {
        if !self.closes_idle_sessions(now) {
            return;
        }
        let answered = actions[first..].iter().filter_map(|action| match action {
            PoolAction::Reply {
                caller,
                reply: CallerReply::Done { .. } | CallerReply::Failed { .. },
            } => Some(*caller),
            _ => None,
        });
        let is_idle = |caller: &CallerId| {
            let session = self.sessions.get(caller);
            !is_remote(*caller) && session.is_some_and(Session::is_idle)
        };
        let idle: Vec<CallerId> = answered.filter(is_idle).collect();
        for caller in idle {
            // A session that sent statements ahead can have several answers.
            if self.sessions.contains_key(&caller) {
                self.end_session(now, caller, actions);
            }
        }
    }

    fn close_idle_sessions(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        // Callers that have not sent anything yet get an answer to what they send first.
        let is_idle = |session: &&Session| session.login.is_some() && session.is_idle();
        let idle = self.sessions.values().filter(is_idle);
        let callers: Vec<CallerId> = idle.map(|session: &Session| session.caller).collect();
        for caller in callers {
            self.end_session(now, caller, actions);
        }
    }

    fn finish_stop(&mut self, now: MonoTime, stop: StopProgress, actions: &mut Vec<PoolAction>) {
        if !stop.has_returned_tokens {
            self.answer_remaining_statements(now, actions);
            self.run_rates(now, RatesEvent::StopFinished, actions);
            self.flush_usage(now, actions);
            self.stop = Some(StopProgress {
                has_returned_tokens: true,
                ..stop
            });
            // The messages that return the tokens have to be sent before the process exits.
            return self.schedule_tick_now(now);
        }
        let sessions = self.sessions.len();
        actions.push(PoolAction::Report(Report::StopFinished { sessions }));
        actions.push(PoolAction::Exit);
    }

    /// Answers all statements in progress, and closes their sessions.
    fn answer_remaining_statements(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let callers: Vec<CallerId> = self.active.iter().copied().collect();
        for caller in callers {
            self.answer_unfinished_statement(now, caller, actions);
            self.end_session(now, caller, actions);
        }
    }

    /// Fails a caller's current statement. Only a commit or a single write that was sent may have
    /// taken effect, and a home finishes it; a transaction that is not committed is rolled back.
    fn answer_unfinished_statement(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) {
        let session = self.sessions.get(&caller);
        let Some((session, current)) =
            session.and_then(|session| Some((session, session.current.as_ref()?)))
        else {
            return;
        };
        let link = match current.stage {
            Stage::OnLink(link) => Some(link),
            Stage::Admission | Stage::Waiting | Stage::Forwarded => None,
        };
        let was_sent = match link {
            Some(link) => {
                let link = self.links.get(&link);
                link.is_some_and(|link| link.has_sent_statement())
            }
            None => current.stage == Stage::Forwarded,
        };
        let is_commit = matches!(current.operation, Operation::Commit);
        let is_read = current.operation.access() == Access::Read;
        let in_transaction = session.transaction.is_some();
        let error = match (was_sent, in_transaction, is_commit) {
            (true, true, true) => CallerError::InDoubt,
            (true, false, _) if is_read => CallerError::Failed,
            (true, false, _) => CallerError::InDoubt,
            _ => self.not_run_error(now, caller, actions),
        };
        if error == CallerError::InDoubt
            && let Some(session) = self.sessions.get_mut(&caller)
        {
            session.transaction = None;
        }
        self.fail_current(now, caller, error, "VM exits", actions);
        if let Some(link) = link {
            self.abandon_link(now, link, actions);
        }
    }

    /// Returns the error for a statement without any effect, and rolls back the transaction that it
    /// belongs to.
    fn not_run_error(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        actions: &mut Vec<PoolAction>,
    ) -> CallerError {
        let session = self.sessions.get(&caller);
        if session.is_none_or(|session| session.transaction.is_none()) {
            return CallerError::Busy;
        }
        self.abort_transaction(now, caller, actions);
        CallerError::Aborted
    }
}
