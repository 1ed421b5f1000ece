//! A generator of numbers that a seed decides.

/// A small generator (splitmix64), so that a seed gives the same play everywhere.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x2545_f491_4f6c_dd1d).wrapping_add(0x9e37_79b9))
    }

    pub(super) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }

    /// As `between`, with small numbers as likely as great ones.
    pub(super) fn spread(&mut self, low: u64, high: u64) -> u64 {
        let top = self.between(low, high);
        self.between(low, top)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.between(1, 100) <= percent
    }
}
