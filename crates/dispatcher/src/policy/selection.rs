//! Selection: chooses the worker of an attempt by a random draw weighted with free slots.

use crate::request::Request;
use crate::{Dispatcher, Micros, WorkerState};

/// Workers that a sampled draw tries before the whole fleet is searched.
pub(super) const MAX_SAMPLES: usize = 32;
/// Weight of a free slot in this dispatcher's zone, relative to one in another zone: traffic between
/// zones costs more.
const SAME_ZONE_WEIGHT: f64 = 2.0;

impl Dispatcher {
    /// Whether the request may be sent to this worker now: the worker is ready, the job fits it, and
    /// deadline, attempt limit, idempotency and slow start allow the attempt.
    pub(super) fn is_eligible(&self, now: Micros, request: &Request, position: usize) -> bool {
        let (job, worker, slots) = (
            &request.job,
            &self.fleet[position],
            self.fleet.kind_slots(position),
        );
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
            && self.has_slow_start_budget(now, position, job)
    }

    /// Whether the worker is known to have free slots for the request. A load that the dispatchers
    /// counted together is used only within the probe window and then probed for again: its estimate
    /// decays towards the mean, so every dispatcher that remembers a full worker would soon take it
    /// for a free one.
    pub(super) fn has_free_slots(&self, now: Micros, request: &Request, position: usize) -> bool {
        let is_outdated = |at| now - at > self.probe_window(at, request);
        if self.fleet[position].counted_at.is_some_and(is_outdated) {
            return false;
        }
        // A job without a token leaves one slot free for charged jobs.
        let reserved_slots = f64::from(u8::from(request.token_wait > 0.0 && self.needs_probing()));
        let fits = self.free_slots(now, position) >= request.job.slots + reserved_slots;
        fits && !self.is_outlier(now, position) && self.is_eligible(now, request, position)
    }

    /// Whether the worker is ejected now.
    fn is_outlier(&self, now: Micros, position: usize) -> bool {
        now < self.fleet[position].ejected_until
    }

    /// Selects a worker for the request; none if no worker is eligible.
    pub(super) fn select_worker(&mut self, now: Micros, request: &Request) -> Option<usize> {
        let active = self.fleet.recently_active.iter().copied();
        let mut with_free_slots: Vec<usize> = active
            .filter(|&position| self.has_free_slots(now, request, position))
            .collect();
        if !with_free_slots.is_empty() {
            self.keep_least_loaded(now, &mut with_free_slots);
            return self.draw_weighted(now, with_free_slots);
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
            return None; // Avoids a search of thousands of workers that are all draining.
        }
        let all = 0..self.fleet.workers.len();
        let eligible = all.filter(|&position| self.is_eligible(now, request, position));
        let (outliers, healthy): (Vec<_>, Vec<_>) =
            eligible.partition(|&position| self.is_outlier(now, position));
        self.draw_weighted(
            now,
            if healthy.is_empty() {
                outliers
            } else {
                healthy
            },
        )
    }

    /// Draws a worker with a probability in proportion to its free slots by rejection sampling,
    /// which avoids a search of the whole fleet.
    fn draw_sampled(&mut self, now: Micros, request: &Request) -> Option<usize> {
        let max_slots = self.fleet.max_slots();
        let workers = self.fleet.workers.len();
        for _ in 0..MAX_SAMPLES.min(workers) {
            let position = self.random.rand_range(0..workers as u64) as usize;
            let accepted = self.random.rand_float() * max_slots < self.free_slots(now, position);
            if accepted
                && !self.is_outlier(now, position)
                && self.is_eligible(now, request, position)
            {
                return Some(position);
            }
        }
        None
    }

    /// If the dispatchers counted the attempts at some of the workers, keeps only the least loaded
    /// of those. Few dispatchers probe in the same milliseconds and see the same count, so they do
    /// not all choose the same worker, and sending to the least loaded of a few random workers keeps
    /// the longest queue short (Azar et al. 1994).
    fn keep_least_loaded(&self, now: Micros, with_free_slots: &mut Vec<usize>) {
        let is_counted = |position: usize| self.fleet[position].counted_at.is_some();
        let counted = with_free_slots
            .iter()
            .filter(|&&position| is_counted(position));
        if let Some(max) = counted
            .map(|&position| self.weight(now, position))
            .reduce(f64::max)
        {
            // Slots are whole numbers, and within a probe window an estimate decays by less than half
            // a slot.
            with_free_slots
                .retain(|&position| is_counted(position) && self.weight(now, position) > max - 0.5);
        }
    }

    /// The weight of a worker in a draw: its free slots, which count more in this dispatcher's zone.
    fn weight(&self, now: Micros, position: usize) -> f64 {
        if self.fleet[position].entry.zone == self.settings.zone {
            SAME_ZONE_WEIGHT * self.free_slots(now, position)
        } else {
            self.free_slots(now, position)
        }
    }

    /// Draws one of these workers with a probability in proportion to its weight. Always choosing
    /// the greatest weight would overload that worker, since all dispatchers that read the same
    /// report would choose it. Using only this dispatcher's zone while it has free slots would crowd
    /// the busier zone while workers of another zone are idle.
    fn draw_weighted(&mut self, now: Micros, mut workers: Vec<usize>) -> Option<usize> {
        let mut weights: Vec<f64> = workers
            .iter()
            .map(|&position| self.weight(now, position))
            .collect();
        if weights.iter().sum::<f64>() <= 0.0 {
            // No free slot anywhere: draws evenly among the workers with the fewest queued attempts
            // of this dispatcher.
            let queued = |position: usize| self.fleet[position].queued_since.len();
            let fewest = workers.iter().map(|&position| queued(position)).min();
            workers.retain(|&position| Some(queued(position)) == fewest);
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
