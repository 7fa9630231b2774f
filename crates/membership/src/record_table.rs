//! A source's records, with constant-time lookup by worker and iteration in the order of the ids.

use crate::source::SourceRecord;
use foldhash::fast::RandomState;
use marbledeck_dispatcher::WorkerId;
use marbledeck_platform_settings::worker_id;
use std::collections::{BTreeSet, HashMap};
use std::ops::Bound::{Excluded, Unbounded};

/// The records of one source.
#[derive(Debug, Default)]
pub(crate) struct RecordTable {
    by_worker: HashMap<WorkerId, SourceRecord, RandomState>,
    /// The ids of all workers in `by_worker`, in order.
    ids: BTreeSet<String>,
}

impl RecordTable {
    pub fn len(&self) -> usize {
        self.by_worker.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_worker.is_empty()
    }

    pub fn contains(&self, id: &str) -> bool {
        self.by_worker.contains_key(&worker_id(id))
    }

    pub fn get(&self, id: &str) -> Option<&SourceRecord> {
        self.by_worker.get(&worker_id(id))
    }

    pub fn get_mut(&mut self, id: &str) -> Option<&mut SourceRecord> {
        self.by_worker.get_mut(&worker_id(id))
    }

    pub fn get_worker(&self, worker: WorkerId) -> Option<&SourceRecord> {
        self.by_worker.get(&worker)
    }

    pub fn get_worker_mut(&mut self, worker: WorkerId) -> Option<&mut SourceRecord> {
        self.by_worker.get_mut(&worker)
    }

    /// Inserts the record of a worker that has none.
    pub fn insert(&mut self, record: SourceRecord) {
        let id = record.report.id.clone();
        self.by_worker.insert(worker_id(&id), record);
        self.ids.insert(id);
    }

    pub fn remove(&mut self, id: &str) -> Option<SourceRecord> {
        self.ids.remove(id);
        self.by_worker.remove(&worker_id(id))
    }

    /// All records, in any order.
    pub fn values(&self) -> impl Iterator<Item = &SourceRecord> {
        self.by_worker.values()
    }

    /// All records, in any order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut SourceRecord> {
        self.by_worker.values_mut()
    }

    /// The records of the workers after this id, in the order of the ids; all records if no id is given.
    pub fn iter_after(&self, id: Option<&str>) -> impl Iterator<Item = &SourceRecord> {
        let lower_bound = id.map_or(Unbounded, Excluded);
        let ids = self.ids.range::<str, _>((lower_bound, Unbounded));
        ids.filter_map(|id| self.get(id))
    }
}
