//! Exponential backoff between retries.

use rand::Rng;
use std::time::Duration;

/// Maximum number of doublings, so that the shift in [`Backoff::bound`] cannot overflow.
const MAX_DOUBLINGS: u32 = 20;
/// Maximum random addition to a delay that the node asked for, as a fraction of that delay.
const MAX_RETRY_AFTER_JITTER: f64 = 0.5;

/// Exponential backoff with full jitter: each pause is uniformly distributed between zero and a bound that doubles
/// with each attempt.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial_bound: Duration,
    max_bound: Duration,
    attempts: u32,
}

impl Backoff {
    /// A backoff whose bound starts at `initial_bound` and doubles up to `max_bound`.
    pub fn new(initial_bound: Duration, max_bound: Duration) -> Self {
        Backoff {
            initial_bound,
            max_bound,
            attempts: 0,
        }
    }

    /// Upper bound of the next pause, unless the node asks for a delay.
    pub fn bound(&self) -> Duration {
        let doublings = self.attempts.min(MAX_DOUBLINGS);
        let doubled = self.initial_bound.saturating_mul(1 << doublings);
        doubled.min(self.max_bound)
    }

    /// Returns the next pause. With `retry_after`, the delay that the node asked for, the pause is that delay plus up
    /// to half of it, so that clients rejected at the same time do not retry at the same time.
    pub fn next_pause(&mut self, retry_after: Option<Duration>) -> Duration {
        let bound = self.bound();
        self.attempts += 1;
        let mut rng = rand::rng();
        match retry_after {
            Some(delay) => delay + delay.mul_f64(rng.random_range(0.0..MAX_RETRY_AFTER_JITTER)),
            None => bound.mul_f64(rng.random_range(0.0..=1.0)),
        }
    }

    /// Restarts at the initial bound, after an attempt that succeeded.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
