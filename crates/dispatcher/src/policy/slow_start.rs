//! Slow start: limits the work sent to a recently started worker while it warms up.

use crate::{Dispatcher, Job, Micros};

/// Fraction of a cold worker's budget that is used, since its slots and the run times of jobs are
/// estimates.
const BUDGET_SHARE: f64 = 0.5;
/// Multiplier of a multiplicative hash (Knuth), an odd number near 2^64 divided by the golden ratio.
/// The product depends on the input most in its upper bits.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

impl Dispatcher {
    /// Whether a worker can take the job within this dispatcher's share of the slow-start budget,
    /// whatever free slots it reports. A cold worker fails if it is sent more than
    /// `overload_factor` times its capacity within the overload window.
    ///
    /// If a dispatcher's share is less than one job, some dispatchers may send a whole job of any
    /// length and the others none. Which dispatchers these are changes with the worker and the
    /// window: if they were always the same few, the worker would get only the jobs that these happen
    /// to receive. A dispatcher that has itself just started does not know what it sent before its
    /// restart, and sends nothing to a cold worker for one window.
    pub(super) fn has_slow_start_budget(&self, now: Micros, position: usize, job: &Job) -> bool {
        let (worker, rules) = (&self.fleet[position], &self.settings.rules);
        let age = worker.entry.started_at.map(|at| now - at);
        let Some(age) = age.filter(|age| *age < rules.warm_up) else {
            return true;
        };
        let to_gain = 1.0 - rules.initial_capacity;
        let gained = to_gain * age.as_secs_f64() / rules.warm_up.as_secs_f64();
        let capacity_fraction = rules.initial_capacity + gained;
        let (slots, window) = (
            self.fleet.kind_slots(position).max(1.0),
            rules.overload_window,
        );
        let budget = rules.overload_factor * capacity_fraction * slots * window.as_secs_f64();
        let budget_jobs = (budget / self.service_times.overall).floor();
        let recent = worker
            .recent_work
            .iter()
            .filter(|work| now - work.at <= window);
        let sent_slot_seconds: f64 = recent.map(|work| work.slot_seconds).sum();
        if now - self.started_at < window {
            return false;
        }
        if budget_jobs * BUDGET_SHARE >= self.dispatchers {
            let own_budget = budget * BUDGET_SHARE / self.dispatchers;
            return sent_slot_seconds + job.slots * self.expected_seconds(job) <= own_budget;
        }
        // A window may overlap two rotation periods, in each of which this many dispatchers may
        // send. Twice min(N, N / 2 + sqrt N) stays within N + 2 sqrt N, the budget and the random
        // excess that the overload rule tolerates.
        let senders = budget_jobs
            .min(budget_jobs / 2.0 + budget_jobs.sqrt())
            .max(1.0);
        let rank = self.slow_start_rank(now, worker.entry.worker.0) as f64;
        let sender_limit = senders * f64::from(self.settings.dispatchers) / self.dispatchers;
        sent_slot_seconds == 0.0 && rank < sender_limit
    }

    /// This dispatcher's rank, from 0, in the order in which dispatchers may send to a worker in the
    /// present window.
    fn slow_start_rank(&self, now: Micros, worker: u64) -> u64 {
        let window = self.settings.rules.overload_window.0.max(1);
        let epoch = (now.0 + worker % window) / window;
        let hash = (worker ^ epoch).wrapping_mul(HASH_MULTIPLIER) >> 32;
        (hash + u64::from(self.settings.index)) % u64::from(self.settings.dispatchers)
    }
}
