//! Selection: which worker an attempt goes to, by a random draw weighted with free slots.

use crate::request::Request;
use crate::{Dispatcher, Micros, WorkerState};

/// Tries of a sampled draw before the whole fleet is looked through.
pub(super) const MAX_SAMPLES: usize = 32;
/// How much more a free slot of the own zone weighs than one of another: crossing zones has its
/// price.
const SAME_ZONE_WEIGHT: f64 = 2.0;

impl Dispatcher {
    /// Whether the request may go to this worker now: it is ready and fits, and no rule stands
    /// against it.
    pub(super) fn is_eligible(&self, now: Micros, request: &Request, w: usize) -> bool {
        let (job, worker, slots) = (&request.job, &self.fleet[w], self.fleet.kind_slots(w));
        let (entry, kind) = (&worker.entry, self.class(job).kind);
        let repeat_deadline = self.repeat_deadline(request, entry);
        entry.state == WorkerState::Ready
            && request.deadline > now
            && request.attempts.len() < self.settings.limits.max_attempts as usize
            && kind.is_none_or(|k| k == entry.kind)
            && (slots == 0.0 || job.slots <= slots)
            && (worker.max_memory == 0.0 || job.memory <= worker.max_memory)
            && !request.was_sent_to(entry.worker)
            && repeat_deadline.is_none_or(|deadline| now < deadline)
            && self.has_slow_start_budget(now, w, job)
    }

    /// Whether it shows room for the request. What dispatchers counted together is probed for anew:
    /// what it fades to would be room at full workers, too, for all that remember them.
    pub(super) fn has_room(&self, now: Micros, request: &Request, w: usize) -> bool {
        let is_old = |at| now - at > self.probe_window(at, request);
        if self.fleet[w].counted_at.is_some_and(is_old) {
            return false;
        }
        // What was not charged leaves a slot to what is.
        let reserved = f64::from(u8::from(request.token_wait > 0.0 && self.needs_probing()));
        let room = self.free_slots(now, w) >= request.job.slots + reserved;
        room && !self.is_outlier(now, w) && self.is_eligible(now, request, w)
    }

    /// Whether the worker is ejected now.
    fn is_outlier(&self, now: Micros, w: usize) -> bool {
        now < self.fleet[w].ejected_until
    }

    /// A worker for the request, if there is one that may take it.
    pub(super) fn select_worker(&mut self, now: Micros, request: &Request) -> Option<usize> {
        let reporting = self.fleet.recently_reporting.iter().copied();
        let mut with_room: Vec<usize> = reporting
            .filter(|&w| self.has_room(now, request, w))
            .collect();
        if !with_room.is_empty() {
            self.keep_least_loaded(now, &mut with_room);
            return self.draw_weighted(now, with_room);
        }
        let sampled = self.draw_sampled(now, request);
        if sampled.is_some() {
            return sampled;
        }
        if self
            .fleet
            .ready_capacity(self.class(&request.job).kind)
            .workers
            == 0.0
        {
            return None; // No walk over thousands of workers that all drain.
        }
        let all = 0..self.fleet.workers.len();
        let eligible = all.filter(|&w| self.is_eligible(now, request, w));
        let (outliers, healthy): (Vec<_>, Vec<_>) =
            eligible.partition(|&w| self.is_outlier(now, w));
        self.draw_weighted(
            now,
            if healthy.is_empty() {
                outliers
            } else {
                healthy
            },
        )
    }

    /// A random worker, taken in proportion to its free slots: the same draw without a walk over
    /// the fleet.
    fn draw_sampled(&mut self, now: Micros, request: &Request) -> Option<usize> {
        let max_slots = self.fleet.max_slots();
        let workers = self.fleet.workers.len();
        for _ in 0..MAX_SAMPLES.min(workers) {
            let w = self.random.rand_range(0..workers as u64) as usize;
            let taken = self.random.rand_float() * max_slots < self.free_slots(now, w);
            if taken && !self.is_outlier(now, w) && self.is_eligible(now, request, w) {
                return Some(w);
            }
        }
        None
    }

    /// Where attempts were counted, keeps the least loaded of those workers: only the few that
    /// probe in the same milliseconds see that count, and the longest queue of all stays shortest
    /// so (Azar et al. 1994).
    fn keep_least_loaded(&self, now: Micros, with_room: &mut Vec<usize>) {
        let is_counted = |w: usize| self.fleet[w].counted_at.is_some();
        let counted = with_room.iter().filter(|&&w| is_counted(w));
        if let Some(max) = counted.map(|&w| self.weight(now, w)).reduce(f64::max) {
            // Slots are whole; what fades meanwhile is less than half of one.
            with_room.retain(|&w| is_counted(w) && self.weight(now, w) > max - 0.5);
        }
    }

    /// What a worker weighs in a draw: its free slots, those of the own zone more.
    fn weight(&self, now: Micros, w: usize) -> f64 {
        if self.fleet[w].entry.zone == self.settings.zone {
            SAME_ZONE_WEIGHT * self.free_slots(now, w)
        } else {
            self.free_slots(now, w)
        }
    }

    /// A random one of these, the likelier the more free slots it has, and in the own zone. No
    /// sharper than that: all dispatchers that probe while a report stands read the same one, and
    /// if they were drawn to the most room rather than in proportion to it, they would fill it many
    /// times over. Nor the own zone alone while it shows any room: those of the busier zone would
    /// crowd there, beside idle workers.
    fn draw_weighted(&mut self, now: Micros, mut workers: Vec<usize>) -> Option<usize> {
        let mut weights: Vec<f64> = workers.iter().map(|&w| self.weight(now, w)).collect();
        if weights.iter().sum::<f64>() <= 0.0 {
            // No room anywhere: an even draw, among the workers where the fewest own attempts are
            // queued.
            let queued = |w: usize| self.fleet[w].queued_since.len();
            let fewest = workers.iter().map(|&w| queued(w)).min();
            workers.retain(|&w| Some(queued(w)) == fewest);
            weights = vec![1.0; workers.len()];
        }
        let mut remaining = self.random.rand_float() * weights.iter().sum::<f64>();
        let is_drawn = |weight: &f64| {
            remaining -= weight;
            remaining < 0.0
        };
        let drawn = weights.iter().position(is_drawn).unwrap_or(0);
        workers.get(drawn).copied()
    }
}
