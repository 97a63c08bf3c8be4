//! The clock that VMs use to track leases.

use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use rustix::time::ClockId;
use rustix::time::Timespec;
use rustix::time::clock_gettime;

/// A monotonic clock that advances while the machine is suspended.
///
/// On Linux, `std::time::Instant` does not advance during a suspension, so a resumed VM would go on
/// using a lease that all other VMs consider expired.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + time_since_boot().saturating_sub(self.start)
    }
}

/// Returns the processor time that this process has used.
pub fn process_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

fn time_since_boot() -> Duration {
    read_clock(ClockId::Boottime)
}

fn read_clock(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    let nanos = u32::try_from(tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(tv_sec).unwrap_or_default(), nanos)
}
