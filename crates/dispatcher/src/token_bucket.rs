//! The state of a token bucket. How it refills is decided in `policy/rate_limit.rs`.

use crate::Micros;

/// A token bucket: one token pays for one job.
#[derive(Default)]
pub(crate) struct TokenBucket {
    /// The tokens that it holds.
    pub tokens: f64,
    /// Tokens a second, as it refills now.
    pub rate: f64,
    /// Tokens a second where traffic reaches all dispatchers evenly.
    pub even_rate: f64,
    /// Jobs a second asked for lately, whether admitted or not.
    pub demand: f64,
    /// When it was last refilled.
    pub refilled_at: Micros,
    /// When a job last passed without paying.
    pub passed_uncharged_at: Micros,
}

impl TokenBucket {
    /// A full bucket: the first refill cuts it to the burst.
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
