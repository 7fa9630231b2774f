//! Attempts: sends, retries, hedged requests, and ejection of failing workers.

use super::probing::MIN_PROBE_WINDOW_FRACTION;
use crate::request::{Attempt, Request};
use crate::worker::SentWork;
use crate::{Action, AttemptEnded, Dispatcher, Idempotency, Micros, Outcome, WorkerEntry};

/// Duration of the first ejection of a failing worker: as long as a slow connect takes. Each further
/// ejection lasts twice as long as the one before.
const INITIAL_EJECTION: Micros = Micros(500_000);

impl Dispatcher {
    /// The moment from which the request's idempotency forbids an attempt at this worker; zero if it
    /// always does. `None` if there is no limit, because no earlier attempt can have run or repeats
    /// are harmless.
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

    /// When a request whose attempts are all queued may be hedged at another worker. This requires
    /// that its worker has failed other attempts since the send. A hedge does not undo the first
    /// attempt, which may still run: if all dispatchers hedged every queued job, the copies would
    /// delay the next jobs, which would be hedged in turn, until the workers ran little but copies.
    pub(super) fn hedge_at(&self, request: &Request) -> Option<Micros> {
        let (limits, last) = (&self.settings.limits, request.attempts.last()?);
        let is_repeatable = self.class(&request.job).idempotency != Idempotency::NotIdempotent;
        let is_permitted = limits.hedging && is_repeatable && limits.cancellation;
        let failed = |position: usize| self.fleet[position].ejected_until > last.sent_at;
        let failed = self.fleet.position(last.worker.worker).is_some_and(failed);
        let is_queued_now =
            self.settings.reports_starts && last.is_queued() && request.is_waiting();
        let may_hedge = is_permitted && is_queued_now && failed;
        may_hedge
            .then(|| last.sent_at + self.fraction_of_slack(&request.job, MIN_PROBE_WINDOW_FRACTION))
    }

    /// Sends the request to a selected worker and cancels its queued attempts; gives it up if no
    /// worker is eligible.
    pub(super) fn send_or_give_up(
        &mut self,
        now: Micros,
        mut request: Request,
        out: &mut Vec<Action>,
    ) {
        let Some(position) = self.select_worker(now, &request) else {
            return self.give_up(request, out);
        };
        let slow_start_deadline = self.slow_start_deadline(now, position);
        self.record_send(now, position, &request);
        let (id, entry) = (request.job.id, self.fleet[position].entry.clone());
        out.push(Action::Send {
            request: id,
            worker: entry.worker,
            send_before: [self.repeat_deadline(&request, &entry), slow_start_deadline]
                .into_iter()
                .flatten()
                .min(),
        });
        for (index, earlier) in request.attempts.iter().enumerate() {
            if earlier.is_queued() {
                let attempt = index as u32;
                out.push(Action::Cancel {
                    request: id,
                    attempt,
                });
            }
        }
        request.attempts.push(Attempt::new(entry, now));
        if self.settings.limits.hedging {
            let at = now + self.fraction_of_slack(&request.job, MIN_PROBE_WINDOW_FRACTION);
            out.push(Action::SetTimer {
                at,
                timer: id.into(),
            });
        }
        self.requests.insert(id, request);
    }

    fn record_send(&mut self, now: Micros, position: usize, request: &Request) {
        self.fleet.mark_active(position);
        let slot_seconds = request.job.slots * self.expected_seconds(&request.job);
        let work = SentWork {
            at: now,
            slot_seconds,
        };
        let window = self.settings.rules.overload_window;
        let reports_starts = self.settings.reports_starts;
        self.fleet[position].record_send(request.job.slots, work, window, reports_starts);
    }

    /// Handles the end of an attempt: the request is closed, waits for another attempt, or is
    /// retried.
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
        let is_first_end = attempt.outcome.replace(ended.outcome).is_none();
        if let Some(position) = self.fleet.position(ended.worker).filter(|_| is_first_end) {
            self.fleet[position].record_end(request.job.slots, attempt);
            self.record_outcome(now, position, ended.outcome, ended.report);
        }
        if ended.outcome == Outcome::Served {
            let started_at = attempt.started_at.filter(|at| *at < now);
            let run_time = now - started_at.unwrap_or(attempt.sent_at);
            self.service_times
                .record(request.job.class, run_time.as_secs_f64());
        }
        let is_closed = ended.request_closed || request.finished;
        if is_closed || request.has_attempt_in_flight() {
            return self.retain(request, ended.request_closed);
        }
        if self.needs_probing() {
            self.probe_for(now, request, out);
        } else {
            self.send_or_give_up(now, request, out);
        }
    }

    /// Ejects a failing worker from selection. Each ejection lasts twice as long as the one before,
    /// up to the warm-up time; a served attempt resets it.
    pub(crate) fn eject(&mut self, now: Micros, position: usize) {
        let max = INITIAL_EJECTION.max(self.settings.rules.warm_up);
        let worker = &mut self.fleet[position];
        worker.ejection = (worker.ejection + worker.ejection).clamp(INITIAL_EJECTION, max);
        worker.ejected_until = now + worker.ejection;
    }
}
