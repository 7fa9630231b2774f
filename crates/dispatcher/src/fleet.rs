//! The workers that a dispatcher knows. Holds state only; the policy is in `policy/`.

use crate::worker::{KindStatistics, Worker};
use crate::{KindId, WorkerEntry, WorkerId, WorkerListKind, WorkerState};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// Number and slots of the ready workers of one kind or of all kinds.
#[derive(Clone, Copy, Default)]
pub(crate) struct ReadyCapacity {
    pub workers: f64,
    pub slots: f64,
}

/// All known workers. Other parts of the crate refer to a worker by its position.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Sorted by id, so that decisions do not depend on the iteration order of a hash table.
    #[expect(
        clippy::vec_box,
        reason = "inserting a worker shifts thousands of entries: pointers are cheaper to move than workers"
    )]
    pub workers: Vec<Box<Worker>>,
    /// The ids of the workers in the same order, stored contiguously for fast binary search.
    ids: Vec<WorkerId>,
    /// Number of workers in the state `Removed`.
    removed: usize,
    pub kinds: BTreeMap<KindId, KindStatistics>,
    /// Positions of the workers that recently reported or were sent an attempt. Their number depends
    /// on the jobs and not on the size of the fleet.
    pub recently_active: Vec<usize>,
}

impl Fleet {
    /// The position of a worker.
    pub fn position(&self, worker: WorkerId) -> Option<usize> {
        self.search(worker).ok()
    }

    /// The position of a worker, or the position at which to insert it.
    fn search(&self, id: WorkerId) -> Result<usize, usize> {
        self.ids.binary_search(&id)
    }

    /// Applies a complete list or changed entries. The cost of changes grows with their number, not
    /// with the fleet.
    pub fn apply_list(&mut self, kind: WorkerListKind, mut entries: Vec<WorkerEntry>) {
        let active = self.active_ids();
        if kind != WorkerListKind::Delta {
            // Workers that a complete list omits are removed.
            for position in 0..self.workers.len() {
                let entry = self.workers[position].entry.clone();
                let state = WorkerState::Removed;
                self.set_entry(position, WorkerEntry { state, ..entry });
            }
        }
        // Inserting in order of id shifts few workers. The sort is stable: if there are several
        // entries for one worker, the last one counts.
        entries.sort_by_key(|entry| entry.worker);
        for entry in entries {
            self.apply_entry(entry);
        }
        self.drop_idle_removed();
        self.restore_active(&active);
    }

    fn apply_entry(&mut self, entry: WorkerEntry) {
        match self.search(entry.worker) {
            Ok(position) => {
                if self.workers[position].entry.started_at != entry.started_at {
                    self.workers[position].reset_after_restart();
                }
                self.set_entry(position, entry);
            }
            Err(_) if entry.state == WorkerState::Removed => {}
            Err(position) => {
                self.count_ready(&entry, 1.0);
                let worker = Worker {
                    entry,
                    ..Worker::default()
                };
                self.ids.insert(position, worker.entry.worker);
                self.workers.insert(position, Box::new(worker));
            }
        }
    }

    /// Replaces a worker's list entry and updates the counters.
    fn set_entry(&mut self, position: usize, entry: WorkerEntry) {
        let is_removed = |entry: &WorkerEntry| usize::from(entry.state == WorkerState::Removed);
        self.removed += is_removed(&entry);
        self.count_ready(&entry, 1.0);
        let old = std::mem::replace(&mut self.workers[position].entry, entry);
        self.removed -= is_removed(&old);
        self.count_ready(&old, -1.0);
    }

    /// Changes the number of ready workers of the kind by `change` if this worker is ready.
    fn count_ready(&mut self, entry: &WorkerEntry, change: f64) {
        let kind = self.kinds.entry(entry.kind).or_default();
        if entry.state == WorkerState::Ready {
            kind.ready += change;
        }
    }

    /// Drops removed workers that have no attempt in flight.
    fn drop_idle_removed(&mut self) {
        if self.removed == 0 {
            return;
        }
        let must_stay = |worker: &Worker| {
            worker.entry.state != WorkerState::Removed || worker.slots_in_flight > 0.0
        };
        let before = self.workers.len();
        self.workers.retain(|worker| must_stay(worker));
        self.removed -= before - self.workers.len();
        let ids = self.workers.iter().map(|worker| worker.entry.worker);
        self.ids = ids.collect();
    }

    /// The ids of the workers that recently reported or were sent an attempt.
    fn active_ids(&self) -> Vec<WorkerId> {
        let active = self.recently_active.iter();
        active
            .map(|&position| self[position].entry.worker)
            .collect()
    }

    /// Sets the recently active workers from their ids after positions have changed, in order of
    /// position. Workers that no longer exist are left out.
    fn restore_active(&mut self, active: &[WorkerId]) {
        let found = active.iter().filter_map(|id| self.position(*id));
        let mut found: Vec<usize> = found.collect();
        found.sort_unstable();
        self.recently_active = found;
    }

    /// Number and slots of the ready workers of this kind, or of all kinds if none is given.
    pub fn ready_capacity(&self, only_kind: Option<KindId>) -> ReadyCapacity {
        let mut capacity = ReadyCapacity::default();
        for (kind, statistics) in &self.kinds {
            if only_kind.is_none_or(|only_kind| only_kind == *kind) {
                capacity.workers += statistics.ready;
                capacity.slots += statistics.ready * statistics.slots;
            }
        }
        capacity
    }

    /// The greatest number of slots of any kind, at least one.
    pub fn max_slots(&self) -> f64 {
        self.kinds.values().map(|k| k.slots).fold(1.0, f64::max)
    }

    /// The slots of workers of this worker's kind, as known from reports; 0 if there was none.
    pub fn kind_slots(&self, position: usize) -> f64 {
        self.kinds[&self[position].entry.kind].slots
    }

    pub fn mark_active(&mut self, position: usize) {
        if !std::mem::replace(&mut self[position].recently_active, true) {
            self.recently_active.push(position);
        }
    }

    /// Removes stale workers from the recently active ones.
    pub fn deactivate_workers(&mut self, is_stale: impl Fn(&Worker) -> bool) {
        let workers = &mut self.workers;
        self.recently_active.retain(|&position| {
            let worker = &mut workers[position];
            worker.recently_active = !is_stale(worker);
            worker.recently_active
        });
    }
}

impl Index<usize> for Fleet {
    type Output = Worker;

    fn index(&self, position: usize) -> &Worker {
        &self.workers[position]
    }
}

impl IndexMut<usize> for Fleet {
    fn index_mut(&mut self, position: usize) -> &mut Worker {
        &mut self.workers[position]
    }
}
