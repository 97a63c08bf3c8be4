//! A timer for an actor's next deadline.

use lycheedoor_core::types::MonoTime;
use stakker::Core;
use stakker::FixedTimerKey;

/// Tracks the timer for the next deadline, of which at most one is pending. The timer is replaced
/// when the deadline changes.
#[derive(Debug, Default)]
pub struct DeadlineTimer {
    pending: Option<(MonoTime, FixedTimerKey)>,
}

impl DeadlineTimer {
    /// Returns whether a timer for this deadline is pending.
    pub fn is_set_to(&self, deadline: MonoTime) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|(pending, _)| *pending == deadline)
    }

    /// Deletes the pending timer and tracks `timer`, which expires at `deadline`.
    pub fn replace(&mut self, core: &mut Core, deadline: MonoTime, timer: FixedTimerKey) {
        self.clear(core);
        self.pending = Some((deadline, timer));
    }

    /// Deletes the pending timer.
    ///
    /// The call that handles the deadline has to do this as well. When a timer expires, another
    /// event of the same event loop iteration may be handled before the timer's call and set a new
    /// timer, which is then pending in addition to the call.
    pub fn clear(&mut self, core: &mut Core) {
        if let Some((_, timer)) = self.pending.take() {
            core.timer_del(timer);
        }
    }
}
