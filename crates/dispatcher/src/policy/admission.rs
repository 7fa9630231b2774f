//! Admission: whether a job is taken, rejected at once, or fails.

use super::probing::PROBE_FANOUT;
use crate::request::{Attempt, Request};
use crate::{Action, DeduplicationScope, Dispatcher, Idempotency, Job, Micros};

/// The gate opens on reports no older than this: a load moves in seconds.
pub(crate) const MAX_GATE_REPORT_SECONDS: f64 = 1.0;
/// The part of all slots kept for charged jobs where a job of each dispatcher would be more.
const RESERVED_SLOTS: f64 = 0.25;

impl Dispatcher {
    /// Takes a job in: it is charged, then probed for, sent, rejected or failed.
    pub(crate) fn handle_job(&mut self, now: Micros, mut job: Job, out: &mut Vec<Action>) {
        if job.class.0 as usize >= self.settings.classes.len() {
            return out.push(Action::Fail(job.id));
        }
        job.slots = job.slots.max(1.0);
        self.forget_stale_reports(now);
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

    /// Whether fresh reports show ready fitting workers with room: for a job of each dispatcher,
    /// since all may be reading the same reports, and more for one that stays longer than the mean.
    /// The workers that did not report have as much as the others.
    fn passes_gate(&mut self, now: Micros, request: &Request) -> bool {
        let (mut reported, mut room, mut total_age) = (0.0, 0.0, 0.0);
        for &w in &self.fleet.recently_reporting {
            let seen = self.fleet[w].left_by_others;
            let age = seen.map(|seen| (now - seen.at).as_secs_f64());
            let is_fresh = |age: &f64| *age < MAX_GATE_REPORT_SECONDS;
            let usable = |age: &f64| is_fresh(age) && self.is_eligible(now, request, w);
            if let Some(age) = age.filter(usable) {
                reported += 1.0;
                total_age += age;
                let jobs = self.free_slots(now, w) / request.job.slots;
                if jobs >= 1.0 {
                    room += jobs;
                }
            }
        }
        let job = &request.job;
        let size = self.service_times.of_class(job.class) / self.service_times.overall;
        let fitting = self.fleet.ready_capacity(self.class(job).kind);
        let needed = self.dispatchers.min(fitting.slots * RESERVED_SLOTS) * size;
        reported = f64::max(reported, 1.0);
        room *= (fitting.workers / reported).max(1.0);
        let turn = Micros::from_secs_f64(total_age / reported * self.dispatchers * size / room);
        let mut open = room > 0.0 && room >= needed;
        if let Some(bucket) = self.buckets.get_mut(job.tenant.0 as usize + 1) {
            open &= now >= bucket.passed_uncharged_at + turn;
            if open {
                bucket.passed_uncharged_at = now;
            }
        }
        open
    }

    /// Whether a job would come too late wherever it goes: own attempts are queued for longer than
    /// its slack, and no room is seen. Guards against rates that stay when workers leave or slow
    /// down.
    fn is_overloaded(&self, now: Micros, request: &Request) -> bool {
        let ready = self.fleet.ready_capacity(self.class(&request.job).kind);
        let slack = self.slack(&request.job);
        let mut late = 0.0;
        let eligible = |w: &&usize| self.is_eligible(now, request, **w);
        for &w in self.fleet.recently_reporting.iter().filter(eligible) {
            let worker = &self.fleet[w];
            let oldest = worker
                .queued_since
                .first()
                .map_or(Micros(0), |&at| now - at);
            let current = worker.queue_delay.is_current(now);
            if oldest > slack || worker.queue_delay.delay > slack && current {
                late += 1.0;
            } else if current || self.free_slots(now, w) >= 1.0 {
                return false;
            }
        }
        late >= ready.workers.min(PROBE_FANOUT as f64)
    }

    /// Ends a request without an answer: rejected where a repeat is harmless, else failed.
    pub(super) fn give_up(&mut self, request: Request, out: &mut Vec<Action>) {
        let harmless = matches!(
            self.class(&request.job).idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        if harmless || request.attempts.iter().all(Attempt::never_ran) {
            out.push(self.rejection(request.job.id, request.token_wait));
        } else {
            out.push(Action::Fail(request.job.id));
        }
        self.retain(request, true);
    }
}
