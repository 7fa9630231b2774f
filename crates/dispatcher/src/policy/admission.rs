//! Admission: decides whether a job is accepted, rejected at once or failed.

use super::probing::PROBE_FANOUT;
use crate::request::{Attempt, Request};
use crate::{Action, DeduplicationScope, Dispatcher, Idempotency, Job, Micros};

/// Maximum age of a report that the gate relies on, since the load of a worker changes within
/// seconds.
pub(crate) const MAX_GATE_REPORT_AGE_SECONDS: f64 = 1.0;
/// The gate requires free slots for one job of each dispatcher, but for no more than this fraction
/// of all slots.
const MAX_REQUIRED_SLOT_FRACTION: f64 = 0.25;

impl Dispatcher {
    /// Charges a new job to its token buckets, then probes for it, sends it, rejects it or fails it.
    pub(crate) fn handle_job(&mut self, now: Micros, mut job: Job, out: &mut Vec<Action>) {
        if job.class.0 as usize >= self.settings.classes.len() {
            return out.push(Action::Fail(job.id));
        }
        job.slots = job.slots.max(1.0);
        self.deactivate_stale_workers(now);
        let token_wait = self.charge(now, job.tenant);
        let request = Request::new(now, job, token_wait);
        if self.needs_probing() {
            return self.probe_for(now, request, out);
        }
        let rejected = request.token_wait > 0.0 && !self.passes_gate(now, &request);
        if rejected || self.is_overloaded(now, &request) {
            return out.push(self.rejection(request.job.id, request.token_wait));
        }
        self.probe_next(now, None, out);
        self.send_or_give_up(now, request, out);
    }

    /// Whether a job without a token may be admitted because fresh reports show enough free slots
    /// at eligible workers. All dispatchers may read the same reports, so there must be room for
    /// one job of each, and for more in proportion if the job runs longer than the mean. Workers
    /// that did not report are assumed to have as many free slots as those that did. Admitted jobs
    /// of one tenant are spaced out, so that old reports do not open the gate for many at once.
    fn passes_gate(&mut self, now: Micros, request: &Request) -> bool {
        let (mut reported, mut job_capacity, mut total_age) = (0.0, 0.0, 0.0);
        for &position in &self.fleet.recently_active {
            let observed = self.fleet[position].slots_left_by_others;
            let age = observed.map(|observed| (now - observed.at).as_secs_f64());
            let is_fresh = |age: &f64| *age < MAX_GATE_REPORT_AGE_SECONDS;
            let usable = |age: &f64| is_fresh(age) && self.is_eligible(now, request, position);
            if let Some(age) = age.filter(usable) {
                reported += 1.0;
                total_age += age;
                let jobs = self.free_slots(now, position) / request.job.slots;
                if jobs >= 1.0 {
                    job_capacity += jobs;
                }
            }
        }
        let job = &request.job;
        let relative_duration = self.service_times.of_class(job.class) / self.service_times.overall;
        let fitting = self.fleet.ready_capacity(self.class(job).kind);
        let required = self
            .dispatchers
            .min(fitting.slots * MAX_REQUIRED_SLOT_FRACTION)
            * relative_duration;
        reported = f64::max(reported, 1.0);
        job_capacity *= (fitting.workers / reported).max(1.0);
        let spacing = Micros::from_secs_f64(
            total_age / reported * self.dispatchers * relative_duration / job_capacity,
        );
        let mut open = job_capacity > 0.0 && job_capacity >= required;
        if let Some(bucket) = self.buckets.get_mut(job.tenant.0 as usize + 1) {
            open &= now >= bucket.last_uncharged_at + spacing;
            if open {
                bucket.last_uncharged_at = now;
            }
        }
        open
    }

    /// Whether a job would start too late at any worker: attempts of this dispatcher are queued for
    /// longer than the job's slack and no free slot is known. The token buckets alone do not detect
    /// this, since their rates stay the same when workers leave or slow down.
    fn is_overloaded(&self, now: Micros, request: &Request) -> bool {
        let ready = self.fleet.ready_capacity(self.class(&request.job).kind);
        let slack = self.slack(&request.job);
        let mut overloaded = 0.0;
        let eligible = |position: &&usize| self.is_eligible(now, request, **position);
        for &position in self.fleet.recently_active.iter().filter(eligible) {
            let worker = &self.fleet[position];
            let oldest = worker
                .queued_since
                .first()
                .map_or(Micros(0), |&at| now - at);
            let current = worker.queue_delay.is_current(now);
            if oldest > slack || worker.queue_delay.delay > slack && current {
                overloaded += 1.0;
            } else if current || self.free_slots(now, position) >= 1.0 {
                return false;
            }
        }
        overloaded >= ready.workers.min(PROBE_FANOUT as f64)
    }

    /// Ends a request that was not served: rejects it where a retry by the client is harmless, else
    /// fails it.
    pub(super) fn give_up(&mut self, request: Request, out: &mut Vec<Action>) {
        let is_harmless = matches!(
            self.class(&request.job).idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        if is_harmless || request.attempts.iter().all(Attempt::never_ran) {
            out.push(self.rejection(request.job.id, request.token_wait));
        } else {
            out.push(Action::Fail(request.job.id));
        }
        self.retain(request, true);
    }
}
