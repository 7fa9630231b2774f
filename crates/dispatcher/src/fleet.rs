//! All workers that a dispatcher knows. Nothing is decided here.

use crate::worker::{KindStatistics, Worker};
use crate::{KindId, WorkerEntry, WorkerId, WorkerListKind, WorkerState};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// The ready workers of one kind, or of all.
#[derive(Clone, Copy, Default)]
pub(crate) struct ReadyCapacity {
    pub workers: f64,
    pub slots: f64,
}

/// The workers, by position.
#[derive(Default)]
pub(crate) struct Fleet {
    /// In order of id, so that nothing depends on a hash.
    pub workers: Vec<Worker>,
    pub kinds: BTreeMap<KindId, KindStatistics>,
    /// Positions of the workers that lately reported or were sent to: as many as the jobs brought,
    /// not the fleet.
    pub recently_reporting: Vec<usize>,
}

impl Fleet {
    /// The position of a worker.
    pub fn position(&self, worker: WorkerId) -> Option<usize> {
        let id = |w: &Worker| w.entry.worker;
        self.workers.binary_search_by_key(&worker, id).ok()
    }

    /// The worker of this id, new where it is not known.
    fn get_or_insert(&mut self, id: WorkerId) -> &mut Worker {
        let position = self.workers.partition_point(|w| w.entry.worker < id);
        let known = self.workers.get(position);
        if known.is_none_or(|w| w.entry.worker != id) {
            self.workers.insert(position, Worker::default());
        }
        &mut self.workers[position]
    }

    /// Takes a complete list, or the entries that have changed.
    pub fn apply_list(&mut self, kind: WorkerListKind, entries: Vec<WorkerEntry>) {
        if kind != WorkerListKind::Delta {
            // What a complete list omits is removed.
            for worker in &mut self.workers {
                worker.entry.state = WorkerState::Removed;
            }
        }
        for entry in entries {
            let worker = self.get_or_insert(entry.worker);
            if worker.entry.started_at != entry.started_at {
                worker.reset_after_restart();
            }
            worker.entry = entry;
        }
        self.rebuild();
    }

    /// Drops the workers that are removed and have nothing in flight, and counts the others.
    fn rebuild(&mut self) {
        self.workers
            .retain(|w| w.entry.state != WorkerState::Removed || w.slots_in_flight > 0.0);
        for kind in self.kinds.values_mut() {
            kind.ready = 0.0;
        }
        self.recently_reporting.clear();
        for (w, worker) in self.workers.iter().enumerate() {
            let kind = self.kinds.entry(worker.entry.kind).or_default();
            if worker.entry.state == WorkerState::Ready {
                kind.ready += 1.0;
            }
            if worker.recently_reporting {
                self.recently_reporting.push(w);
            }
        }
    }

    /// The ready workers of this kind, or of any, and their slots.
    pub fn ready_capacity(&self, only: Option<KindId>) -> ReadyCapacity {
        let mut capacity = ReadyCapacity::default();
        for (kind, statistics) in &self.kinds {
            if only.is_none_or(|only| only == *kind) {
                capacity.workers += statistics.ready;
                capacity.slots += statistics.ready * statistics.slots;
            }
        }
        capacity
    }

    /// The most slots of any kind, and at least one.
    pub fn max_slots(&self) -> f64 {
        self.kinds.values().map(|k| k.slots).fold(1.0, f64::max)
    }

    /// The slots of workers of this one's kind, as far as reports have shown; 0 where none has.
    pub fn kind_slots(&self, w: usize) -> f64 {
        self.kinds[&self[w].entry.kind].slots
    }

    pub fn mark_reporting(&mut self, w: usize) {
        if !std::mem::replace(&mut self[w].recently_reporting, true) {
            self.recently_reporting.push(w);
        }
    }

    /// Takes the stale ones off the list of those that reported lately.
    pub fn forget_reports(&mut self, is_stale: impl Fn(&Worker) -> bool) {
        let workers = &mut self.workers;
        self.recently_reporting.retain(|&w| {
            workers[w].recently_reporting = !is_stale(&workers[w]);
            workers[w].recently_reporting
        });
    }
}

impl Index<usize> for Fleet {
    type Output = Worker;

    fn index(&self, w: usize) -> &Worker {
        &self.workers[w]
    }
}

impl IndexMut<usize> for Fleet {
    fn index_mut(&mut self, w: usize) -> &mut Worker {
        &mut self.workers[w]
    }
}
