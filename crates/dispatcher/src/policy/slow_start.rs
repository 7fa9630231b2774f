//! Slow start: a worker that has just started is sent no more than it bears while it warms up.

use crate::{Dispatcher, Job, Micros};

/// The part of a cold worker's budget that is used: its slots and the jobs' lengths are estimates.
const BUDGET_SHARE: f64 = 0.5;
/// An odd number that spreads whatever it is multiplied with over the upper bits.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

impl Dispatcher {
    /// Whether a cold worker can take the job within this dispatcher's part of what it bears in a
    /// window, whatever it reports. Guards the fourth rule. Where a part would be less than a job,
    /// some dispatchers have a whole one of any length, others at each worker and in each window:
    /// were they always the same, a worker would be left to what a few of them happen to bring. A
    /// dispatcher that has just started does not know what it sent before.
    pub(super) fn has_slow_start_budget(&self, now: Micros, w: usize, job: &Job) -> bool {
        let (worker, rules) = (&self.fleet[w], &self.settings.rules);
        let age = worker.entry.started_at.map(|at| now - at);
        let Some(age) = age.filter(|age| *age < rules.warm_up) else {
            return true;
        };
        let missing = 1.0 - rules.initial_capacity;
        let gained = missing * age.as_secs_f64() / rules.warm_up.as_secs_f64();
        let warm = rules.initial_capacity + gained;
        let (slots, window) = (self.fleet.kind_slots(w).max(1.0), rules.overload_window);
        let bears = rules.overload_factor * warm * slots * window.as_secs_f64();
        let jobs = (bears / self.service_times.overall).floor();
        let recent = worker
            .recent_work
            .iter()
            .filter(|work| now - work.at <= window);
        let sent: f64 = recent.map(|work| work.slot_seconds).sum();
        if now - self.started_at < window {
            return false;
        }
        if jobs * BUDGET_SHARE >= self.dispatchers {
            let part = bears * BUDGET_SHARE / self.dispatchers;
            return sent + job.slots * self.expected_seconds(job) <= part;
        }
        // A window may lie over two turns. So many rights twice are still budget and chance: N + 2
        // sqrt N.
        let rights = jobs.min(jobs / 2.0 + jobs.sqrt()).max(1.0);
        let turn = self.slow_start_turn(now, worker.entry.worker.0) as f64;
        let rights_held = rights * f64::from(self.settings.dispatchers) / self.dispatchers;
        sent == 0.0 && turn < rights_held
    }

    /// This dispatcher's place among all in the present window of a worker, from 0.
    fn slow_start_turn(&self, now: Micros, worker: u64) -> u64 {
        let window = self.settings.rules.overload_window.0.max(1);
        let epoch = (now.0 + worker % window) / window;
        let hash = (worker ^ epoch).wrapping_mul(HASH_MULTIPLIER) >> 32;
        (hash + u64::from(self.settings.index)) % u64::from(self.settings.dispatchers)
    }
}
