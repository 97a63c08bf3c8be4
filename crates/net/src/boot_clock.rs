//! The clock by which a VM counts its leases.

use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use rustix::time::ClockId;
use rustix::time::Timespec;
use rustix::time::clock_gettime;

/// A monotonic clock that goes on while the machine is suspended.
///
/// `std::time::Instant` stands still during a suspension on Linux, and a VM would wake with a
/// lease that has run out for everybody else.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Starts counting now.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let nanos = u32::try_from(tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(tv_sec).unwrap_or_default(), nanos)
}
