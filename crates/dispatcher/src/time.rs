//! Time in microseconds of the caller's clock, which may be real or virtual.

use std::ops::{Add, Sub};

/// A time of the caller's clock or a duration, in microseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Micros {
    /// This duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The duration of this many seconds. Negative values and NaN give zero; values out of range give
    /// the greatest duration.
    pub fn from_secs_f64(seconds: f64) -> Self {
        Micros((seconds * 1e6) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, duration: Micros) -> Micros {
        Micros(self.0.saturating_add(duration.0))
    }
}

impl Sub for Micros {
    type Output = Micros;

    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}
