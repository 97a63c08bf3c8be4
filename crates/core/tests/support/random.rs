//! A seeded random number generator (SplitMix64).

pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a random number in `low..=high`.
    pub(crate) fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }

    /// Returns a random index below `count`.
    pub(crate) fn index(&mut self, count: usize) -> usize {
        usize::try_from(self.next() % count as u64).unwrap()
    }

    pub(crate) fn chance(&mut self, per_mille: u64) -> bool {
        self.next() % 1_000 < per_mille
    }
}
