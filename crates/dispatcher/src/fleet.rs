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
    #[expect(
        clippy::vec_box,
        reason = "a new worker is put before thousands of others: pointers move, not workers"
    )]
    pub workers: Vec<Box<Worker>>,
    /// Their ids, side by side: a search reads these.
    ids: Vec<WorkerId>,
    /// How many of them are removed.
    removed: usize,
    pub kinds: BTreeMap<KindId, KindStatistics>,
    /// Positions of the workers that lately reported or were sent to: as many as the jobs brought,
    /// not the fleet.
    pub recently_reporting: Vec<usize>,
}

impl Fleet {
    /// The position of a worker.
    pub fn position(&self, worker: WorkerId) -> Option<usize> {
        self.search(worker).ok()
    }

    /// The position of a worker, or where it would be put in.
    fn search(&self, id: WorkerId) -> Result<usize, usize> {
        self.ids.binary_search(&id)
    }

    /// Takes a complete list, or the entries that have changed: work in proportion to these.
    pub fn apply_list(&mut self, kind: WorkerListKind, mut entries: Vec<WorkerEntry>) {
        let reporting = self.reporting_ids();
        if kind != WorkerListKind::Delta {
            // What a complete list omits is removed.
            for w in 0..self.workers.len() {
                let entry = self.workers[w].entry.clone();
                let state = WorkerState::Removed;
                self.set_entry(w, WorkerEntry { state, ..entry });
            }
        }
        // In the order of the workers, new ones are seldom put before many others; of several entries for one worker
        // the last counts.
        entries.sort_by_key(|entry| entry.worker);
        for entry in entries {
            self.apply_entry(entry);
        }
        self.drop_idle_removed();
        self.find_reporting(&reporting);
    }

    fn apply_entry(&mut self, entry: WorkerEntry) {
        match self.search(entry.worker) {
            Ok(w) => {
                if self.workers[w].entry.started_at != entry.started_at {
                    self.workers[w].reset_after_restart();
                }
                self.set_entry(w, entry);
            }
            Err(_) if entry.state == WorkerState::Removed => {}
            Err(w) => {
                self.count_ready(&entry, 1.0);
                let worker = Worker {
                    entry,
                    ..Worker::default()
                };
                self.ids.insert(w, worker.entry.worker);
                self.workers.insert(w, Box::new(worker));
            }
        }
    }

    /// Sets what the list says of a worker.
    fn set_entry(&mut self, w: usize, entry: WorkerEntry) {
        let is_removed = |entry: &WorkerEntry| usize::from(entry.state == WorkerState::Removed);
        self.removed += is_removed(&entry);
        self.count_ready(&entry, 1.0);
        let old = std::mem::replace(&mut self.workers[w].entry, entry);
        self.removed -= is_removed(&old);
        self.count_ready(&old, -1.0);
    }

    /// Counts a worker among the ready ones of its kind, if it is, or no longer.
    fn count_ready(&mut self, entry: &WorkerEntry, change: f64) {
        let kind = self.kinds.entry(entry.kind).or_default();
        if entry.state == WorkerState::Ready {
            kind.ready += change;
        }
    }

    /// Drops the workers that are removed and have nothing in flight.
    fn drop_idle_removed(&mut self) {
        if self.removed == 0 {
            return;
        }
        let is_kept = |worker: &Worker| {
            worker.entry.state != WorkerState::Removed || worker.slots_in_flight > 0.0
        };
        let before = self.workers.len();
        self.workers.retain(|worker| is_kept(worker));
        self.removed -= before - self.workers.len();
        let ids = self.workers.iter().map(|worker| worker.entry.worker);
        self.ids = ids.collect();
    }

    /// The workers that lately reported or were sent to.
    fn reporting_ids(&self) -> Vec<WorkerId> {
        let reporting = self.recently_reporting.iter();
        reporting.map(|&w| self[w].entry.worker).collect()
    }

    /// Finds these workers anew, as far as they are still there, in the order of their positions.
    fn find_reporting(&mut self, reporting: &[WorkerId]) {
        let found = reporting.iter().filter_map(|id| self.position(*id));
        let mut found: Vec<usize> = found.collect();
        found.sort_unstable();
        self.recently_reporting = found;
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
            let worker = &mut workers[w];
            worker.recently_reporting = !is_stale(worker);
            worker.recently_reporting
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
