//! The platform's object store, reduced to the fence object.

use std::sync::Arc;

use lycheedoor_core::membership::Fence;
use lycheedoor_core::membership::FenceAnswer;

use super::Random;

#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) fence: Arc<Fence>,
    pub(crate) down: bool,
    /// How many answers in a thousand are lost, although the call took effect.
    pub(crate) lost_answers_per_mille: u64,
    /// How many request or answer messages in a thousand are delayed by up to `max_slow_us`.
    pub(crate) slow_calls_per_mille: u64,
    pub(crate) max_slow_us: u64,
    pub(crate) reads: u64,
    /// The number of reads that VMs sent, including those that did not reach the platform.
    pub(crate) read_attempts: u64,
    pub(crate) updates: u64,
}

impl Platform {
    pub(crate) fn read(&mut self, known_version: u64) -> FenceAnswer {
        self.reads += 1;
        if self.fence.version == known_version && known_version != 0 {
            FenceAnswer::Unchanged {
                version: known_version,
            }
        } else {
            FenceAnswer::Object(Arc::clone(&self.fence))
        }
    }

    pub(crate) fn put(&mut self, expected: u64, fence: &Fence, random: &mut Random) -> FenceAnswer {
        if self.fence.version != expected {
            return FenceAnswer::Conflict {
                version: self.fence.version,
            };
        }
        let mut fence = fence.clone();
        // Versions are not consecutive, so that nothing can rely on the next number.
        fence.version = expected + random.between(1, 3);
        self.fence = Arc::new(fence);
        self.updates += 1;
        FenceAnswer::Updated {
            version: self.fence.version,
        }
    }

    pub(crate) fn delay_us(&self, random: &mut Random) -> u64 {
        let slow = random.chance(self.slow_calls_per_mille);
        let extra = if slow {
            random.between(0, self.max_slow_us)
        } else {
            0
        };
        random.between(1_000, 3_000) + extra
    }
}
