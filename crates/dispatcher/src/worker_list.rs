//! The worker list as a dispatcher receives it.

use crate::{CellId, DeduplicationScope, KindId, Micros, WorkerId, ZoneId};

/// State of a worker according to the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// It accepts jobs.
    #[default]
    Ready,
    /// It finishes its jobs and accepts no new ones.
    Draining,
    /// It has left the fleet.
    Removed,
}

/// An entry of the worker list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerEntry {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: WorkerState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell, if it has one.
    pub cell: Option<CellId>,
    /// When its process last started; none if that was long ago.
    pub started_at: Option<Micros>,
}

impl WorkerEntry {
    /// Whether each of the two workers discards repeats of jobs that the other one has seen.
    pub fn shares_deduplication(&self, scope: DeduplicationScope, other: &WorkerEntry) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell.is_some() && self.cell == other.cell,
        }
    }
}

/// Which part of the worker list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerListKind {
    /// The complete list that this dispatcher last stored; it may be outdated.
    Cached,
    /// The complete list.
    Full,
    /// Only the changed entries.
    Delta,
    /// No entries: a call to discovery failed or a watch ended.
    Failed,
}
