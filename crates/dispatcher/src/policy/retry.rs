//! Attempts: sends, retries, hedged requests, and ejection of workers that fail.

use super::probing::MIN_PROBE_WINDOW;
use crate::request::{Attempt, Request};
use crate::worker::SentWork;
use crate::{Action, AttemptEnded, Dispatcher, Idempotency, Micros, Outcome, WorkerEntry};

/// A failing worker is first ejected for as long as a slow connect takes, twice as long each time.
const INITIAL_EJECTION: Micros = Micros(500_000);

impl Dispatcher {
    /// Until when the idempotency allows this request an attempt at this worker, where it may have
    /// run before.
    pub(super) fn repeat_deadline(&self, request: &Request, entry: &WorkerEntry) -> Option<Micros> {
        let first = request.attempts.iter().find(|a| !a.never_ran())?;
        match self.class(&request.job).idempotency {
            Idempotency::Idempotent => None,
            Idempotency::Keyed { scope, window }
                if first.worker.shares_deduplication(scope, entry) =>
            {
                Some(first.sent_at + window)
            }
            Idempotency::Keyed { .. } | Idempotency::NotIdempotent => Some(Micros(0)),
        }
    }

    /// When a request whose attempts are all queued looks for another worker, if it may be hedged:
    /// only where its worker has failed others meanwhile. A hedge does not take back the first,
    /// which still runs one day: where all dispatchers hedge what is queued, the copies queue the
    /// next jobs, until little else runs.
    pub(super) fn hedge_at(&self, request: &Request) -> Option<Micros> {
        let (limits, last) = (&self.settings.limits, request.attempts.last()?);
        let repeatable = self.class(&request.job).idempotency != Idempotency::NotIdempotent;
        let permitted = limits.hedging && repeatable && limits.cancellation;
        let failed = |w: usize| self.fleet[w].ejected_until > last.sent_at;
        let failed = self.fleet.position(last.worker.worker).is_some_and(failed);
        let queued = self.settings.reports_starts && last.is_queued() && request.is_waiting();
        let hedged = permitted && queued && failed;
        hedged.then(|| last.sent_at + self.part_of_slack(&request.job, MIN_PROBE_WINDOW))
    }

    /// Sends the request to a selected worker, or ends it where none can take it.
    pub(super) fn send_or_give_up(
        &mut self,
        now: Micros,
        mut request: Request,
        out: &mut Vec<Action>,
    ) {
        let Some(w) = self.select_worker(now, &request) else {
            return self.give_up(request, out);
        };
        self.record_send(now, w, &request);
        let (id, entry) = (request.job.id, self.fleet[w].entry.clone());
        out.push(Action::Send {
            request: id,
            worker: entry.worker,
            send_before: self.repeat_deadline(&request, &entry),
        });
        for (number, earlier) in request.attempts.iter().enumerate() {
            if earlier.is_queued() {
                let attempt = number as u32;
                out.push(Action::Cancel {
                    request: id,
                    attempt,
                });
            }
        }
        request.attempts.push(Attempt::new(entry, now));
        if self.settings.limits.hedging {
            let at = now + self.part_of_slack(&request.job, MIN_PROBE_WINDOW);
            out.push(Action::SetTimer {
                at,
                timer: id.into(),
            });
        }
        self.requests.insert(id, request);
    }

    fn record_send(&mut self, now: Micros, w: usize, request: &Request) {
        self.fleet.mark_reporting(w);
        let slot_seconds = request.job.slots * self.expected_seconds(&request.job);
        let work = SentWork {
            at: now,
            slot_seconds,
        };
        let window = self.settings.rules.overload_window;
        let reports_starts = self.settings.reports_starts;
        self.fleet[w].record_send(request.job.slots, work, window, reports_starts);
    }

    /// An attempt has ended: the request is over, waits for another attempt, or is retried.
    pub(crate) fn handle_attempt_ended(
        &mut self,
        now: Micros,
        ended: AttemptEnded,
        out: &mut Vec<Action>,
    ) {
        if ended.outcome == Outcome::Served {
            self.record_start(now, ended.request, ended.attempt);
        }
        let Some(mut request) = self.requests.remove(&ended.request) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(ended.attempt as usize) else {
            return self.retain(request, ended.request_closed);
        };
        let first_end = attempt.outcome.replace(ended.outcome).is_none();
        if let Some(w) = self.fleet.position(ended.worker).filter(|_| first_end) {
            self.fleet[w].record_end(request.job.slots, attempt);
            self.learn(now, w, ended.outcome, ended.report);
        }
        if ended.outcome == Outcome::Served {
            let started_at = attempt.started_at.filter(|at| *at < now);
            let ran = now - started_at.unwrap_or(attempt.sent_at);
            self.service_times
                .record(request.job.class, ran.as_secs_f64());
        }
        let over = ended.request_closed || request.finished;
        if over || request.has_attempt_in_flight() {
            return self.retain(request, ended.request_closed);
        }
        if self.needs_probing() {
            self.probe_for(now, request, out);
        } else {
            self.send_or_give_up(now, request, out);
        }
    }

    /// Leaves a worker that fails alone, longer each time.
    pub(crate) fn eject(&mut self, now: Micros, w: usize) {
        let max = INITIAL_EJECTION.max(self.settings.rules.warm_up);
        let worker = &mut self.fleet[w];
        worker.ejection = (worker.ejection + worker.ejection).clamp(INITIAL_EJECTION, max);
        worker.ejected_until = now + worker.ejection;
    }
}
