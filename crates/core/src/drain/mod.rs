//! Planned stops.
//!
//! A planned stop interrupts no request: the VM stops accepting callers, finishes the statements
//! and transactions in progress, and closes each caller's connection between two statements. Idle
//! connections are closed at a bounded rate, because all of them reconnect to the remaining VMs. A
//! caller in steady use is idle only right after an answer, so what the rate allows is left for it.
//! Only then does the VM release its membership, so that other VMs can use its roster slots at
//! once.

use std::time::Duration;

use crate::types::MonoTime;

/// Timeouts of a planned stop, and the rate at which it closes idle connections.
#[derive(Clone, Copy, Debug)]
pub struct DrainSettings {
    /// How long requests and transactions in progress may take before all callers are closed.
    pub drain_timeout: Duration,
    /// How long the VM waits for the membership to be released before it exits anyway.
    pub release_timeout: Duration,
    /// The interval in which at most `close_batch_size` idle connections are closed.
    pub close_interval: Duration,
    /// The most idle connections that are closed in one interval.
    pub close_batch_size: usize,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            drain_timeout: Duration::from_secs(30),
            release_timeout: Duration::from_secs(3),
            close_interval: Duration::from_millis(50),
            close_batch_size: 50,
        }
    }
}

/// The callers of a VM that a planned stop waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RemainingCallers {
    /// The number of callers with a statement or a transaction in progress.
    pub busy_callers: usize,
    /// The number of callers that could be closed now.
    pub idle_callers: usize,
}

/// An input of the drain role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// A planned stop has been requested.
    StopRequested,
    /// The callers that remain now; sent after each event of the VM while it drains.
    Progress(RemainingCallers),
    /// The membership has been released.
    Released,
}

/// An output of the drain role, carried out by the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Accept no further callers and notify the other VMs.
    StopAccepting,
    /// Close one batch of idle callers.
    CloseIdleCallers {
        /// The most callers to close now.
        limit: usize,
    },
    /// Close the remaining callers, because the time for requests in progress has passed.
    CloseAllCallers,
    /// Release the membership with its roster slots, token grants, permits and roles in the fleet.
    ReleaseMembership,
    /// Exit the process.
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    Draining {
        until: MonoTime,
        /// The end of the current interval.
        interval_end: MonoTime,
        /// How many more callers may be closed in it.
        closable: usize,
        /// Whether idle callers are left for the next interval.
        has_idle: bool,
    },
    Releasing {
        until: MonoTime,
    },
    Done,
}

/// The drain role of one VM, which controls a planned stop.
#[derive(Debug)]
pub struct Drain {
    settings: DrainSettings,
    phase: Phase,
}

impl Drain {
    /// Creates the role for a VM that serves callers.
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            phase: Phase::Serving,
        }
    }

    /// Returns whether a planned stop has been requested, also after it has completed.
    pub fn is_draining(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Returns when the role needs the next `Progress`, or `None` if it waits for no time.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        match self.phase {
            Phase::Serving | Phase::Done => None,
            Phase::Draining {
                until,
                interval_end,
                has_idle: true,
                ..
            } => Some(until.min(interval_end)),
            Phase::Draining { until, .. } => Some(until),
            Phase::Releasing { until } => Some(until),
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: MonoTime, event: DrainEvent, actions: &mut Vec<DrainAction>) {
        match event {
            DrainEvent::StopRequested => self.start(now, actions),
            DrainEvent::Progress(remaining) => self.advance(now, remaining, actions),
            DrainEvent::Released => self.finish(actions),
        }
    }

    fn start(&mut self, now: MonoTime, actions: &mut Vec<DrainAction>) {
        if self.phase == Phase::Serving {
            self.phase = Phase::Draining {
                until: now + self.settings.drain_timeout,
                interval_end: now,
                closable: 0,
                // The first progress, which tells whether any is idle, follows at once.
                has_idle: true,
            };
            actions.push(DrainAction::StopAccepting);
        }
    }

    fn advance(
        &mut self,
        now: MonoTime,
        remaining: RemainingCallers,
        actions: &mut Vec<DrainAction>,
    ) {
        match self.phase {
            Phase::Serving | Phase::Done => {}
            Phase::Draining { until, .. } => {
                if remaining == RemainingCallers::default() {
                    self.release(now, actions);
                } else if now >= until {
                    actions.push(DrainAction::CloseAllCallers);
                    self.release(now, actions);
                } else {
                    self.close_idle(now, remaining, actions);
                }
            }
            Phase::Releasing { until } => {
                if now >= until {
                    self.finish(actions);
                }
            }
        }
    }

    fn close_idle(
        &mut self,
        now: MonoTime,
        remaining: RemainingCallers,
        actions: &mut Vec<DrainAction>,
    ) {
        let Phase::Draining {
            interval_end,
            closable,
            has_idle,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if now >= *interval_end {
            *interval_end = now + self.settings.close_interval;
            *closable = self.settings.close_batch_size;
        }
        let limit = remaining.idle_callers.min(*closable);
        *closable -= limit;
        *has_idle = remaining.idle_callers > limit;
        if limit > 0 {
            actions.push(DrainAction::CloseIdleCallers { limit });
        }
    }

    fn release(&mut self, now: MonoTime, actions: &mut Vec<DrainAction>) {
        self.phase = Phase::Releasing {
            until: now + self.settings.release_timeout,
        };
        actions.push(DrainAction::ReleaseMembership);
    }

    fn finish(&mut self, actions: &mut Vec<DrainAction>) {
        if matches!(self.phase, Phase::Releasing { .. }) {
            self.phase = Phase::Done;
            actions.push(DrainAction::Exit);
        }
    }
}
