//! State of a token bucket. `policy/rate_limit.rs` refills it.

use crate::Micros;

/// A token bucket; a job costs one token.
#[derive(Default)]
pub(crate) struct TokenBucket {
    /// Tokens in the bucket.
    pub tokens: f64,
    /// Current refill rate, in tokens per second.
    pub rate: f64,
    /// Refill rate if traffic is spread evenly over all dispatchers, in tokens per second.
    pub even_rate: f64,
    /// Recent demand in jobs per second, whether admitted or not.
    pub demand: f64,
    /// Time of the last refill.
    pub refilled_at: Micros,
    /// When a job was last admitted without a token.
    pub last_uncharged_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket; the first refill limits its tokens to the burst size.
    pub fn new(now: Micros, even_rate: f64) -> Self {
        TokenBucket {
            tokens: f64::INFINITY,
            rate: even_rate,
            even_rate,
            refilled_at: now,
            ..TokenBucket::default()
        }
    }
}
