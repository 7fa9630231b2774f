//! The list of workers as a dispatcher receives it.

use crate::{CellId, DeduplicationScope, KindId, Micros, WorkerId, ZoneId};

/// What the list says of a worker's readiness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes jobs.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer part of the fleet.
    Removed,
}

/// A worker on the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: WorkerState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell, if it has one.
    pub cell: Option<CellId>,
    /// When its process last started; none if long ago.
    pub started_at: Option<Micros>,
}

impl WorkerEntry {
    /// Whether each of the two workers discards repeats of what the other has seen.
    pub fn shares_deduplication(&self, scope: DeduplicationScope, other: &WorkerEntry) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell.is_some() && self.cell == other.cell,
        }
    }
}

/// How much of the list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerListKind {
    /// The complete list as this dispatcher last had it; may be old.
    Cached,
    /// The complete list.
    Full,
    /// Changed entries.
    Delta,
    /// A call failed or a watch broke; nothing has changed.
    Failed,
}
