//! Slow start: limits the work sent to a recently started worker while it warms up.

use crate::{Dispatcher, Job, Micros};

/// Fraction of a cold worker's budget that is used, since its slots and the run times of jobs are
/// estimates.
const BUDGET_SHARE: f64 = 0.5;
/// Multiplier of a multiplicative hash (Knuth), an odd number near 2^64 divided by the golden ratio.
/// The product depends on the input most in its upper bits.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// What all dispatchers together may send to a worker that is warming up, in one overload window.
struct SlowStartBudget {
    /// Work, in seconds of one slot.
    slot_seconds: f64,
    /// Number of mean jobs.
    jobs: f64,
}

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
        let Some(budget) = self.slow_start_budget(now, position) else {
            return true;
        };
        let (worker, window) = (&self.fleet[position], self.settings.rules.overload_window);
        let recent = worker
            .recent_work
            .iter()
            .filter(|work| now - work.at <= window);
        let sent_slot_seconds: f64 = recent.map(|work| work.slot_seconds).sum();
        if now - self.started_at < window {
            return false;
        }
        if !self.takes_turns(&budget) {
            let own_budget = budget.slot_seconds * BUDGET_SHARE / self.dispatchers;
            return sent_slot_seconds + job.slots * self.expected_seconds(job) <= own_budget;
        }
        // A window may overlap two rotation periods, in each of which this many dispatchers may
        // send. Twice min(N, N / 2 + sqrt N) stays within N + 2 sqrt N, the budget and the random
        // excess that the overload rule tolerates.
        let senders = budget
            .jobs
            .min(budget.jobs / 2.0 + budget.jobs.sqrt())
            .max(1.0);
        let rank = self.slow_start_rank(now, worker.entry.worker.0) as f64;
        let sender_limit = senders * f64::from(self.settings.dispatchers) / self.dispatchers;
        sent_slot_seconds == 0.0 && rank < sender_limit
    }

    /// The moment before which a send to this worker must have left; `None` if there is no limit.
    ///
    /// A send that the rotation allows must leave within its period. If its connection came up in
    /// the next one, a window could hold the sends of three periods. A dispatcher that has a budget
    /// of its own sends at most half of it in a window, so that late sends stay within the whole.
    pub(super) fn slow_start_deadline(&self, now: Micros, position: usize) -> Option<Micros> {
        let budget = self.slow_start_budget(now, position)?;
        let worker = self.fleet[position].entry.worker;
        self.takes_turns(&budget)
            .then(|| self.rotation_period_end(now, worker.0))
    }

    /// The budget of a worker that is warming up, over all dispatchers; `None` if the worker is warm.
    fn slow_start_budget(&self, now: Micros, position: usize) -> Option<SlowStartBudget> {
        let (worker, rules) = (&self.fleet[position], &self.settings.rules);
        let age = worker.entry.started_at.map(|at| now - at);
        let age = age.filter(|age| *age < rules.warm_up)?;
        let to_gain = 1.0 - rules.initial_capacity;
        let gained = to_gain * age.as_secs_f64() / rules.warm_up.as_secs_f64();
        let capacity_fraction = rules.initial_capacity + gained;
        let slots = self.fleet.kind_slots(position).max(1.0);
        let window_seconds = rules.overload_window.as_secs_f64();
        let slot_seconds = rules.overload_factor * capacity_fraction * slots * window_seconds;
        let jobs = (slot_seconds / self.service_times.overall).floor();
        Some(SlowStartBudget { slot_seconds, jobs })
    }

    /// Whether the dispatchers take turns, since a dispatcher's share of the budget is less than one
    /// job.
    fn takes_turns(&self, budget: &SlowStartBudget) -> bool {
        budget.jobs * BUDGET_SHARE < self.dispatchers
    }

    /// This dispatcher's rank, from 0, in the order in which dispatchers may send to a worker in the
    /// present window.
    fn slow_start_rank(&self, now: Micros, worker: u64) -> u64 {
        let (epoch, _) = self.rotation_period(now, worker);
        let hash = (worker ^ epoch).wrapping_mul(HASH_MULTIPLIER) >> 32;
        (hash + u64::from(self.settings.index)) % u64::from(self.settings.dispatchers)
    }

    /// When the present rotation period of a worker ends.
    fn rotation_period_end(&self, now: Micros, worker: u64) -> Micros {
        let (_, elapsed) = self.rotation_period(now, worker);
        let window = self.settings.rules.overload_window.0.max(1);
        now + Micros(window - elapsed)
    }

    /// The number of the present rotation period of a worker, and how long it has lasted in
    /// microseconds. The periods of two workers begin at different times.
    fn rotation_period(&self, now: Micros, worker: u64) -> (u64, u64) {
        let window = self.settings.rules.overload_window.0.max(1);
        let shifted = now.0 + worker % window;
        (shifted / window, shifted % window)
    }
}
