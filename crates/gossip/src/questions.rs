//! The questions that a node has open with keepers.

use crate::short;
use marbledeck_dispatcher::{Micros, WorkerId};
use std::collections::HashMap;

/// Each worker that is asked about comes out again exactly once: answered, displaced or overdue.
#[derive(Default)]
pub struct Questions {
    /// By short name, with until when an answer is of use.
    open: HashMap<u32, (WorkerId, Micros)>,
}

impl Questions {
    /// Opens a question. One answer cannot be for two workers of the same short name: where another such one is
    /// asked about, it is displaced, and comes back from here.
    #[must_use]
    pub fn open(&mut self, worker: WorkerId, until: Micros) -> Option<WorkerId> {
        let old = self.open.insert(short(worker), (worker, until));
        old.map(|(old, _)| old).filter(|old| *old != worker)
    }

    /// The worker that an answer about this short name is for.
    pub fn answered(&mut self, short: u32) -> Option<WorkerId> {
        self.open.remove(&short).map(|(worker, _)| worker)
    }

    /// A worker whose answer comes too late now.
    pub fn overdue(&mut self, now: Micros) -> Option<WorkerId> {
        let mut open = self.open.values();
        let (worker, _) = *open.find(|(_, until)| *until <= now)?;
        self.answered(short(worker))
    }

    /// When the next question is overdue.
    pub fn next(&self) -> Option<Micros> {
        self.open.values().map(|(_, until)| *until).min()
    }
}
