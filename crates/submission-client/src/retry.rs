//! How long to wait before another try.

use rand::Rng;
use std::time::Duration;

/// Exponential backoff with full jitter: each wait is drawn evenly from zero to a bound that doubles.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    tries: u32,
}

impl Backoff {
    /// Bounds that begin with `first` and end with `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Backoff {
            first,
            longest,
            tries: 0,
        }
    }

    /// The bound of the next wait.
    pub fn bound(&self) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.tries.min(20));
        doubled.min(self.longest)
    }

    /// The next wait. One that the node has asked for is kept to, and up to half as much is added, so that all who
    /// were refused together do not come back together.
    pub fn next(&mut self, asked: Option<Duration>) -> Duration {
        let bound = self.bound();
        self.tries += 1;
        let mut rng = rand::rng();
        match asked {
            Some(asked) => asked + asked.mul_f64(rng.random_range(0.0..0.5)),
            None => bound.mul_f64(rng.random_range(0.0..=1.0)),
        }
    }

    /// Something has worked: the next wait is short again.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bounds() {
        let ms = Duration::from_millis;
        let mut backoff = Backoff::new(ms(10), ms(65));
        let bounds: Vec<Duration> = (0..5)
            .map(|_| {
                let bound = backoff.bound();
                assert!(backoff.next(None) <= bound);
                bound
            })
            .collect();
        assert_eq!(bounds, [10, 20, 40, 65, 65].map(ms));
        for _ in 0..100 {
            let wait = backoff.next(Some(ms(100)));
            assert!((ms(100)..=ms(150)).contains(&wait));
        }
        backoff.reset();
        assert_eq!(backoff.bound(), ms(10));
    }
}
