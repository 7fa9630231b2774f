//! Rate limiting: token buckets for all jobs and for each tenant.

use crate::token_bucket::TokenBucket;
use crate::{Action, Dispatcher, Micros, RequestId, TenantId};

/// A bucket holds the tokens of this many seconds, or two standard deviations of the number of jobs
/// in `DEMAND_WINDOW_SECONDS` if that is more.
const BURST_SECONDS: f64 = 4.0;
/// Time constant of the running mean of a tenant's demand.
const DEMAND_WINDOW_SECONDS: f64 = 20.0;

impl TokenBucket {
    /// Refills the bucket and returns the seconds until it holds a whole token.
    pub(crate) fn refill(&mut self, now: Micros) -> f64 {
        let standard_deviation = (self.rate * DEMAND_WINDOW_SECONDS).sqrt();
        let burst = f64::max(self.rate * BURST_SECONDS, 2.0 * standard_deviation).max(1.0);
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.tokens = burst.min(self.tokens + elapsed * self.rate);
        self.demand *= (-elapsed / DEMAND_WINDOW_SECONDS).exp();
        self.refilled_at = now;
        (1.0 - self.tokens).max(0.0) / self.rate.max(f64::MIN_POSITIVE)
    }
}

impl Dispatcher {
    /// Takes a token from the global bucket and from the tenant's, or from neither if one is empty.
    /// Returns the longest wait for a token in seconds; zero if the job was charged.
    pub(super) fn charge(&mut self, now: Micros, tenant: TenantId) -> f64 {
        if self.buckets[0].even_rate == 0.0 {
            return 0.0; // No tenant has a quota, so nothing is charged.
        }
        self.adjust_rates(now);
        let (global, tenants) = self.buckets.split_at_mut(1);
        let mut charged = [global.first_mut(), tenants.get_mut(tenant.0 as usize)];
        let waits = charged.iter_mut().flatten().map(|b| b.refill(now));
        let wait = waits.fold(0.0, f64::max);
        for bucket in charged.into_iter().flatten() {
            bucket.demand += 1.0 / DEMAND_WINDOW_SECONDS;
            if wait == 0.0 {
                bucket.tokens -= 1.0;
            }
        }
        wait
    }

    /// Sets the rates of all buckets. If most tenants ask for more than an even share, this
    /// dispatcher receives more of the traffic than others, and the tenants are not at fault: all
    /// rates are raised by the median of demand over even share.
    fn adjust_rates(&mut self, now: Micros) {
        let relative_demand = |bucket: &mut TokenBucket| {
            bucket.refill(now);
            bucket.demand / bucket.even_rate.max(f64::MIN_POSITIVE)
        };
        let mut demands: Vec<f64> = self.buckets[1..].iter_mut().map(relative_demand).collect();
        demands.sort_by(f64::total_cmp);
        let median = demands.get(demands.len() / 2).map_or(1.0, |m| m.max(1.0));
        for bucket in &mut self.buckets {
            bucket.rate = bucket.even_rate * median;
        }
    }

    /// Rejects a request. The client is told to retry after `token_wait`, in seconds, rounded to the
    /// next whole second and limited to the longest wait that clients honour.
    pub(super) fn rejection(&self, request: RequestId, token_wait: f64) -> Action {
        let wait = Micros::from_secs_f64(token_wait.floor() + 1.0);
        let max = self.settings.limits.max_retry_after;
        let retry_after = max.map(|max| wait.min(max));
        Action::Reject {
            request,
            retry_after,
        }
    }
}
