//! The node's one clock: it never goes backwards, and Unix times are converted here.

use marbledeck_dispatcher::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const MICROS_PER_MILLI: u64 = 1000;

/// Counts from the Unix time at the start, and from then on as the monotonic clock does. A step of the system's clock
/// so moves no deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_at_start: Micros,
}

impl Clock {
    /// Starts counting now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            started: Instant::now(),
            unix_at_start: Micros(unix.map_or(0, |span| span.as_micros() as u64)),
        }
    }

    /// The time since the Unix epoch, as this clock has it.
    pub fn now(&self) -> Micros {
        self.unix_at_start + Micros(self.started.elapsed().as_micros() as u64)
    }

    /// A moment given in Unix milliseconds; none for 0, which stands for long ago.
    pub fn from_unix_ms(ms: u64) -> Option<Micros> {
        (ms > 0).then(|| Micros(ms.saturating_mul(MICROS_PER_MILLI)))
    }
}

/// A span of so many milliseconds.
pub const fn millis(ms: u64) -> Micros {
    Micros(ms * MICROS_PER_MILLI)
}
