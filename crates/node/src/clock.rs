//! The node's clock: monotonic time since the Unix epoch.

use marbledeck_dispatcher::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const MICROS_PER_MILLI: u64 = 1000;

/// A monotonic clock that starts at the current Unix time, so that a step of the system clock does not move deadlines.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_at_start: Micros,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            started: Instant::now(),
            unix_at_start: Micros(unix.map_or(0, |elapsed| elapsed.as_micros() as u64)),
        }
    }

    /// The time since the Unix epoch by this clock.
    pub fn now(&self) -> Micros {
        self.unix_at_start + Micros(self.started.elapsed().as_micros() as u64)
    }

    /// Converts Unix milliseconds; `None` for 0, which means an unknown time long ago.
    pub fn from_unix_ms(ms: u64) -> Option<Micros> {
        (ms > 0).then(|| Micros(ms.saturating_mul(MICROS_PER_MILLI)))
    }
}

/// A duration in milliseconds.
pub const fn millis(ms: u64) -> Micros {
    Micros(ms * MICROS_PER_MILLI)
}
