//! Probing: workers are asked for their load before a job is sent where most of the fleet did not
//! report lately.

use super::selection::MAX_SAMPLES;
use crate::request::Request;
use crate::worker::Worker;
use crate::{Action, Dispatcher, Job, Micros, RequestId, WorkerId, WorkerState};

/// Workers probed for a job before it is sent.
pub(super) const PROBE_FANOUT: usize = 4;
/// Steps of the walk to the next worker to probe.
const MAX_PROBE_STEPS: usize = 4 * MAX_SAMPLES;
/// The part of its slack that a job waits for answers, or at a worker before it probes others.
pub(super) const MIN_PROBE_WINDOW: f64 = 0.05;
/// The part of its slack until which a job probes for room. Later it would only be queued at some
/// worker, in the way of jobs that can still be in time.
const MAX_PROBE_WINDOW: f64 = 0.3;

impl Dispatcher {
    /// Whether jobs probe before they go, since most of the fleet did not report lately. A worker
    /// whose load dispatchers counted did not: that is probed for anew.
    pub(super) fn needs_probing(&self) -> bool {
        let reported = |w: &&usize| self.fleet[**w].counted_at.is_none();
        let reporting = self.fleet.recently_reporting.iter();
        let reported = reporting.filter(reported).count() as f64;
        self.settings.limits.probes && 2.0 * reported < self.fleet.ready_capacity(None).workers
    }

    /// How long a request waits for the answers of probes that begin now, and for how long they
    /// count.
    pub(super) fn probe_window(&self, now: Micros, request: &Request) -> Micros {
        let min = self.part_of_slack(&request.job, MIN_PROBE_WINDOW);
        request
            .age(now)
            .clamp(min, self.max_probe_window(&request.job))
    }

    fn max_probe_window(&self, job: &Job) -> Micros {
        self.part_of_slack(job, MAX_PROBE_WINDOW)
    }

    /// Probes some workers on behalf of a job, which waits for a part of its slack, then as long as
    /// it has waited: where none has room, probing is a load of its own. Guards against a blind
    /// draw, and against a gate or an overload check that rests on the few workers that reported.
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

    /// The time to probe, or to probe no longer: a job that no worker has goes where there is room,
    /// probes others within its window, and is given up then. Never later than its deadline: it
    /// would probe without end.
    pub(crate) fn handle_timer(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let was_probing = self.probing.contains(&id);
        self.probing.retain(|probing| *probing != id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let unsent = !request.finished && !request.has_attempt_in_flight();
        let mut reporting = self.fleet.recently_reporting.iter();
        let room = reporting.any(|&w| self.has_room(now, &request, w));
        let may_probe = request.age(now) < self.max_probe_window(&request.job);
        let hedge_due = |d: &Self| d.hedge_at(&request).is_some_and(|at| now >= at);
        if unsent && room {
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

    /// A worker has reported its free slots: the first of the probing jobs goes that has answers
    /// from all that it probed, or probed others, and can go somewhere now. The first answer with
    /// room is seldom the best.
    pub(crate) fn handle_probe_ended(&mut self, now: Micros, w: usize, out: &mut Vec<Action>) {
        let prober = self.first_prober(self.fleet[w].entry.worker);
        let can_go = |id: &RequestId| {
            let request = self.requests.get(id);
            let answered = request.filter(|r| r.pending_probes.is_empty() && r.is_waiting());
            let has_room = |r: &Request, w: usize| self.has_room(now, r, w);
            let mut reporting = self.fleet.recently_reporting.iter();
            answered.is_some_and(|r| {
                has_room(r, w) || Some(*id) == prober && reporting.any(|&w| has_room(r, w))
            })
        };
        let first = self.probing.iter().copied().find(can_go);
        if let Some(request) = first.and_then(|id| self.requests.remove(&id)) {
            self.probing.retain(|id| *id != request.job.id);
            self.send_or_give_up(now, request, out);
        }
    }

    /// Takes a worker off the pending probes of all jobs; the first job that had probed it.
    fn first_prober(&mut self, worker: WorkerId) -> Option<RequestId> {
        let mut first = None;
        for id in &self.probing {
            if let Some(request) = self.requests.get_mut(id) {
                let before = request.pending_probes.len();
                request.pending_probes.retain(|pending| *pending != worker);
                let probed_it = before > request.pending_probes.len();
                first = first.or(Some(*id).filter(|_| probed_it));
            }
        }
        first
    }

    /// Probes the next worker of the walk, or the next that may take this request, and tells which.
    /// Each job brings its probes, so that their price and work stay bounded however many workers
    /// there are.
    pub(super) fn probe_next(
        &mut self,
        now: Micros,
        request: Option<&Request>,
        out: &mut Vec<Action>,
    ) -> Option<WorkerId> {
        let workers = self.fleet.workers.len();
        for _ in 0..MAX_PROBE_STEPS.min(workers) {
            self.probe_cursor = self.probe_cursor.wrapping_add(1) % workers;
            let fits = request.is_none_or(|r| self.is_eligible(now, r, self.probe_cursor));
            let Worker {
                entry,
                probe_in_flight,
                ..
            } = &mut self.fleet[self.probe_cursor];
            let may_probe = fits && self.settings.limits.probes && !*probe_in_flight;
            if may_probe && entry.state == WorkerState::Ready {
                *probe_in_flight = true;
                out.push(Action::Probe(entry.worker));
                return Some(entry.worker);
            }
        }
        None
    }
}
