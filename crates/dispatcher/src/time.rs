//! Time as the dispatcher counts it: microseconds of the caller's clock, real or virtual.

use std::ops::{Add, Sub};

/// Microseconds: a moment of the caller's clock, or a span of it. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Micros {
    /// This span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span of so many seconds; negative and non-finite values give zero.
    pub fn from_secs_f64(seconds: f64) -> Self {
        Micros((seconds * 1e6) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, span: Micros) -> Micros {
        Micros(self.0.saturating_add(span.0))
    }
}

impl Sub for Micros {
    type Output = Micros;

    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}
