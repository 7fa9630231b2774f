//! Random numbers of a seeded test.

use std::ops::Range;
use std::time::Duration;

/// SplitMix64 random number generator: the same seed yields the same steps.
pub struct Random(u64);

impl Random {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// Returns a number below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit as u64) as usize
    }

    /// Returns a duration of this many milliseconds.
    pub fn millis(&mut self, range: Range<usize>) -> Duration {
        let length = range.len();
        Duration::from_millis((range.start + self.below(length)) as u64)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let x = (self.0 ^ self.0 >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let x = (x ^ x >> 27).wrapping_mul(0x94D0_49BB_1331_11EB);
        x ^ x >> 31
    }
}
