//! The pause before a retry.

use rand::Rng;
use std::time::Duration;

/// How often the bound is doubled at most.
const MAX_DOUBLINGS: u32 = 20;
/// How much is added at random to a pause that the node has asked for, as a fraction of it.
const MAX_RETRY_AFTER_JITTER: f64 = 0.5;

/// Exponential backoff with full jitter: each pause is drawn evenly from zero to a bound that doubles.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial_bound: Duration,
    max_bound: Duration,
    attempts: u32,
}

impl Backoff {
    /// A backoff whose bound starts with `initial_bound` and doubles up to `max_bound`.
    pub fn new(initial_bound: Duration, max_bound: Duration) -> Self {
        Backoff {
            initial_bound,
            max_bound,
            attempts: 0,
        }
    }

    /// The bound of the next pause.
    pub fn bound(&self) -> Duration {
        let doublings = self.attempts.min(MAX_DOUBLINGS);
        let doubled = self.initial_bound.saturating_mul(1 << doublings);
        doubled.min(self.max_bound)
    }

    /// The next pause. If the node has asked for a pause, it is kept and up to half of it is added, so that clients
    /// that were rejected together do not come back together.
    pub fn next_pause(&mut self, retry_after: Option<Duration>) -> Duration {
        let bound = self.bound();
        self.attempts += 1;
        let mut rng = rand::rng();
        match retry_after {
            Some(pause) => pause + pause.mul_f64(rng.random_range(0.0..MAX_RETRY_AFTER_JITTER)),
            None => bound.mul_f64(rng.random_range(0.0..=1.0)),
        }
    }

    /// An attempt has succeeded: the next pause is short again.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
