//! The timer for the next deadline of an actor.

use lycheedoor_core::types::MonoTime;
use stakker::Core;
use stakker::FixedTimerKey;

/// A timer that is set anew whenever the deadline changes; at most one is pending.
#[derive(Debug, Default)]
pub struct DeadlineTimer {
    pending: Option<(MonoTime, FixedTimerKey)>,
}

impl DeadlineTimer {
    /// Returns whether the timer is set to this deadline.
    pub fn is_set_to(&self, deadline: MonoTime) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|(pending, _)| *pending == deadline)
    }

    /// Replaces the pending timer by one that was set to `deadline`.
    pub fn replace(&mut self, core: &mut Core, deadline: MonoTime, timer: FixedTimerKey) {
        self.clear(core);
        self.pending = Some((deadline, timer));
    }

    /// Deletes the pending timer.
    ///
    /// The deadline's own call does this as well: in a turn of the event loop in which a timer
    /// expires, an event may be handled before the timer's call and replace it, and the pending
    /// timer is then another one.
    pub fn clear(&mut self, core: &mut Core) {
        if let Some((_, timer)) = self.pending.take() {
            core.timer_del(timer);
        }
    }
}
