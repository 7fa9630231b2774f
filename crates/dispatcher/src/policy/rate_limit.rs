//! Rate limiting: token buckets for all jobs and for each tenant.

use crate::token_bucket::TokenBucket;
use crate::{Action, Dispatcher, Micros, RequestId, TenantId};

/// A bucket holds the mean of so many seconds, or two standard deviations of the demand below if
/// more.
const BURST_SECONDS: f64 = 4.0;
/// How far back a tenant's demand is looked at.
const DEMAND_SECONDS: f64 = 20.0;

impl TokenBucket {
    /// Refills, and tells how many seconds are missing to a whole token.
    pub(crate) fn refill(&mut self, now: Micros) -> f64 {
        let deviation = (self.rate * DEMAND_SECONDS).sqrt();
        let burst = f64::max(self.rate * BURST_SECONDS, 2.0 * deviation).max(1.0);
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.tokens = burst.min(self.tokens + elapsed * self.rate);
        self.demand *= (-elapsed / DEMAND_SECONDS).exp();
        self.refilled_at = now;
        (1.0 - self.tokens).max(0.0) / self.rate.max(f64::MIN_POSITIVE)
    }
}

impl Dispatcher {
    /// Takes a token from every bucket, or from none; tells the longest wait in seconds.
    pub(super) fn charge(&mut self, now: Micros, tenant: TenantId) -> f64 {
        if self.buckets[0].even_rate == 0.0 {
            return 0.0; // Without quotas there is nothing to charge.
        }
        self.adjust_rates(now);
        let (global, tenants) = self.buckets.split_at_mut(1);
        let mut chain = [global.first_mut(), tenants.get_mut(tenant.0 as usize)];
        let waits = chain.iter_mut().flatten().map(|b| b.refill(now));
        let wait = waits.fold(0.0, f64::max);
        for bucket in chain.into_iter().flatten() {
            bucket.demand += 1.0 / DEMAND_SECONDS;
            if wait == 0.0 {
                bucket.tokens -= 1.0;
            }
        }
        wait
    }

    /// Sets the rates. Where most tenants ask for more than an even part, it is this dispatcher's
    /// place that brings it, not their excess: the median raises all rates.
    fn adjust_rates(&mut self, now: Micros) {
        let excess = |bucket: &mut TokenBucket| {
            bucket.refill(now);
            bucket.demand / bucket.even_rate.max(f64::MIN_POSITIVE)
        };
        let mut all: Vec<f64> = self.buckets[1..].iter_mut().map(excess).collect();
        all.sort_by(f64::total_cmp);
        let median = all.get(all.len() / 2).map_or(1.0, |m| m.max(1.0));
        for bucket in &mut self.buckets {
            bucket.rate = bucket.even_rate * median;
        }
    }

    /// Rejects a request whose buckets have a token in so many seconds.
    pub(super) fn rejection(&self, request: RequestId, token_wait: f64) -> Action {
        let whole = Micros::from_secs_f64(token_wait.floor() + 1.0);
        let max = self.settings.limits.max_retry_after;
        let retry_after = max.map(|max| whole.min(max));
        Action::Reject {
            request,
            retry_after,
        }
    }
}
