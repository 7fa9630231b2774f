//! Probing: asks workers for their load before a job is sent, if most of the fleet has not reported
//! recently.

use super::selection::MAX_SAMPLES;
use crate::request::Request;
use crate::worker::Worker;
use crate::{Action, Dispatcher, Job, Micros, RequestId, WorkerId, WorkerState};

/// Number of workers probed for a job in each round.
pub(super) const PROBE_FANOUT: usize = 4;
/// Maximum number of workers examined to find the next one to probe.
const MAX_PROBE_STEPS: usize = 4 * MAX_SAMPLES;
/// Fraction of its slack that a job waits for the answers of the first probes. It is also how long
/// a job stays queued at a worker before the dispatcher considers hedging it.
pub(super) const MIN_PROBE_WINDOW_FRACTION: f64 = 0.05;
/// Fraction of its slack after which a job no longer probes for a free slot. A later job would only
/// be queued at some worker and delay jobs that can still meet their latency objective.
const MAX_PROBE_WINDOW_FRACTION: f64 = 0.3;

impl Dispatcher {
    /// Whether jobs probe before they are sent, since most of the fleet has not reported recently.
    /// A worker whose load was counted by the dispatchers does not count as reporting: such a count
    /// ages quickly and is probed for again.
    pub(super) fn needs_probing(&self) -> bool {
        let has_reported = |position: &&usize| self.fleet[**position].counted_at.is_none();
        let active = self.fleet.recently_active.iter();
        let reported = active.filter(has_reported).count() as f64;
        self.settings.limits.probes && 2.0 * reported < self.fleet.ready_capacity(None).workers
    }

    /// How long a request waits for the answers of probes that are sent now, and how long these
    /// answers stay valid.
    pub(super) fn probe_window(&self, now: Micros, request: &Request) -> Micros {
        let min = self.fraction_of_slack(&request.job, MIN_PROBE_WINDOW_FRACTION);
        request
            .age(now)
            .clamp(min, self.max_probe_window(&request.job))
    }

    fn max_probe_window(&self, job: &Job) -> Micros {
        self.fraction_of_slack(job, MAX_PROBE_WINDOW_FRACTION)
    }

    /// Probes some workers for a job and sets a timer for their answers. The first round lasts a
    /// fraction of the job's slack and each further one as long as the job has waited so far, since
    /// probing is a load of its own while no worker has a free slot. Without probes the worker would
    /// be selected blindly, and the gate and the overload check would rely on the few workers that
    /// reported.
    pub(super) fn probe_for(&mut self, now: Micros, mut request: Request, out: &mut Vec<Action>) {
        let probed = (0..PROBE_FANOUT).filter_map(|_| self.probe_next(now, Some(&request), out));
        request.pending_probes = probed.collect();
        if request.pending_probes.is_empty() && !request.has_attempt_in_flight() {
            return self.send_or_give_up(now, request, out);
        }
        let id = request.job.id;
        let window_end = now + self.probe_window(now, &request);
        let at = window_end.min(request.deadline);
        out.push(Action::SetTimer {
            at,
            timer: id.into(),
        });
        self.probing.push(id);
        self.requests.insert(id, request);
    }

    /// Handles the timer of a request. An unsent job is sent if a worker has a free slot, probes
    /// again within its probe window, and is given up after that, at its deadline at the latest, so
    /// that it does not probe forever. A queued job that is due to be hedged probes for another
    /// worker.
    pub(crate) fn handle_timer(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let was_probing = self.probing.contains(&id);
        self.probing.retain(|probing| *probing != id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let unsent = !request.finished && !request.has_attempt_in_flight();
        let mut active = self.fleet.recently_active.iter();
        let any_has_free_slots =
            active.any(|&position| self.has_free_slots(now, &request, position));
        let may_probe = request.age(now) < self.max_probe_window(&request.job);
        let hedge_due = |d: &Self| d.hedge_at(&request).is_some_and(|at| now >= at);
        if unsent && any_has_free_slots {
            self.send_or_give_up(now, request, out);
        } else if unsent && now < request.deadline && may_probe {
            self.probe_for(now, request, out);
        } else if unsent {
            self.give_up(request, out);
        } else if !was_probing && hedge_due(self) {
            self.probe_for(now, request, out);
        } else {
            self.retain(request, false);
        }
    }

    /// Handles the end of a probe: sends the first waiting job that has the answers of all its own
    /// probes and can be sent now. It does not take the first answer with a free slot, since that is
    /// rarely the best one. The first job that had probed this worker may go to any worker with free
    /// slots, the others are sent only if this worker has some.
    pub(crate) fn handle_probe_ended(
        &mut self,
        now: Micros,
        position: usize,
        out: &mut Vec<Action>,
    ) {
        let first_prober = self.remove_pending_probe(self.fleet[position].entry.worker);
        let can_be_sent = |id: &RequestId| {
            let request = self.requests.get(id);
            let answered = request.filter(|r| r.pending_probes.is_empty() && r.is_waiting());
            let has_free_slots =
                |r: &Request, position: usize| self.has_free_slots(now, r, position);
            let mut active = self.fleet.recently_active.iter();
            answered.is_some_and(|r| {
                has_free_slots(r, position)
                    || Some(*id) == first_prober
                        && active.any(|&position| has_free_slots(r, position))
            })
        };
        let first = self.probing.iter().copied().find(can_be_sent);
        if let Some(request) = first.and_then(|id| self.requests.remove(&id)) {
            self.probing.retain(|id| *id != request.job.id);
            self.send_or_give_up(now, request, out);
        }
    }

    /// Removes a worker from the pending probes of all jobs and returns the first job that had
    /// probed it.
    fn remove_pending_probe(&mut self, worker: WorkerId) -> Option<RequestId> {
        let mut first = None;
        for id in &self.probing {
            if let Some(request) = self.requests.get_mut(id) {
                let before = request.pending_probes.len();
                request.pending_probes.retain(|pending| *pending != worker);
                let was_pending = before > request.pending_probes.len();
                first = first.or(Some(*id).filter(|_| was_pending));
            }
        }
        first
    }

    /// Probes the next worker in round-robin order, or the next one that is eligible for this
    /// request, and returns its id. Probes are sent only on behalf of jobs, so their cost grows with
    /// the jobs and not with the number of workers.
    pub(super) fn probe_next(
        &mut self,
        now: Micros,
        request: Option<&Request>,
        out: &mut Vec<Action>,
    ) -> Option<WorkerId> {
        let workers = self.fleet.workers.len();
        for _ in 0..MAX_PROBE_STEPS.min(workers) {
            self.probe_cursor = self.probe_cursor.wrapping_add(1) % workers;
            let eligible = request.is_none_or(|r| self.is_eligible(now, r, self.probe_cursor));
            let Worker {
                entry,
                probe_in_flight,
                ..
            } = &mut self.fleet[self.probe_cursor];
            let may_probe = eligible && self.settings.limits.probes && !*probe_in_flight;
            if may_probe && entry.state == WorkerState::Ready {
                *probe_in_flight = true;
                out.push(Action::Probe(entry.worker));
                return Some(entry.worker);
            }
        }
        None
    }
}
