//! A hybrid logical clock: its timestamps order causes before effects, although the wall clocks of
//! machines differ.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The maximum by which the timestamp of a message may be ahead of the local wall clock. Clocks of
/// machines differ by seconds; an hour also tolerates a time zone change applied wrongly. Without
/// a limit, one machine with a wrong date would permanently advance the clocks of all others.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_secs(3_600);

/// A reading of a machine's wall clock, in microseconds since the Unix epoch. Readings may jump in
/// both directions and differ between machines; only [`HybridClock`] makes them comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

/// A timestamp that is greater than those of all events that may have caused the stamped event.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// The highest wall clock reading among those of the event and its possible causes.
    pub physical: WallTime,
    /// A counter that orders events with the same physical part.
    pub logical: u32,
}

impl HybridTime {
    fn next(self) -> Self {
        match self.logical.checked_add(1) {
            Some(logical) => Self { logical, ..self },
            None => Self {
                physical: WallTime(self.physical.0.saturating_add(1)),
                logical: 0,
            },
        }
    }
}

impl fmt::Display for HybridTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.physical.0;
        let (seconds, rest) = (micros / 1_000_000, micros % 1_000_000);
        write!(f, "{seconds}.{rest:06}+{}", self.logical)
    }
}

/// The hybrid logical clock of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Returns a timestamp that is not earlier than any event so far, without advancing the clock.
    pub fn read(&self, wall: WallTime) -> HybridTime {
        let physical = HybridTime {
            physical: wall,
            logical: 0,
        };
        physical.max(self.last)
    }

    /// Advances the clock and returns the timestamp of an event or an outgoing message.
    pub fn tick(&mut self, wall: WallTime) -> HybridTime {
        let physical = HybridTime {
            physical: wall,
            logical: 0,
        };
        self.last = physical.max(self.last.next());
        self.last
    }

    /// Advances the clock past the timestamp of a received message, so that later events are
    /// ordered after it. Ignores a timestamp that is more than [`MAX_CLOCK_LEAD`] ahead of the wall
    /// clock.
    pub fn merge(&mut self, wall: WallTime, remote: HybridTime) -> HybridTime {
        let lead = remote.physical.0.saturating_sub(wall.0);
        if Duration::from_micros(lead) <= MAX_CLOCK_LEAD {
            self.last = self.last.max(remote);
        }
        self.tick(wall)
    }
}
