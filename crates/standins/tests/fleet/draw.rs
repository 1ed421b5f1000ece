//! Numbers drawn from a history's seed.

use teaselgap_core::Span;

/// A generator of numbers (`SplitMix64`), so that a history is the same on each run.
#[derive(Clone, Debug)]
pub(crate) struct Draw(u64);

impl Draw {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A time of `from` to `to` milliseconds.
    pub(crate) fn span(&mut self, from: u64, to: u64) -> Span {
        Span(from + self.next() % (to + 1 - from))
    }

    /// Whether something happens that does so in this percentage of the cases.
    pub(crate) fn happens(&mut self, percent: u64) -> bool {
        self.next() % 100 < percent
    }
}
