//! The queries that a node has open with owners.

use crate::short_id;
use marbledeck_dispatcher::{Micros, WorkerId};
use std::collections::HashMap;

/// A query that has no answer yet.
struct PendingQuery {
    worker: WorkerId,
    /// Until when an answer is of use.
    deadline: Micros,
}

/// Each worker that is queried comes out again exactly once: answered, displaced or overdue.
#[derive(Default)]
pub struct PendingQueries {
    /// By the workers' short ids.
    pending: HashMap<u32, PendingQuery>,
}

impl PendingQueries {
    /// Adds a query. One answer cannot be for two workers of the same short id: where another such one is queried, it is
    /// displaced, and comes back from here.
    #[must_use]
    pub fn insert(&mut self, worker: WorkerId, deadline: Micros) -> Option<WorkerId> {
        let query = PendingQuery { worker, deadline };
        let displaced = self.pending.insert(short_id(worker), query);
        let displaced = displaced.map(|query| query.worker);
        displaced.filter(|displaced| *displaced != worker)
    }

    /// The worker that an answer about this short id is for.
    pub fn take_answered(&mut self, short_id: u32) -> Option<WorkerId> {
        self.pending.remove(&short_id).map(|query| query.worker)
    }

    /// A worker whose answer comes too late now.
    pub fn take_overdue(&mut self, now: Micros) -> Option<WorkerId> {
        let mut pending = self.pending.values();
        let overdue = pending.find(|query| query.deadline <= now)?.worker;
        self.take_answered(short_id(overdue))
    }

    /// When the next query is overdue.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.pending.values().map(|query| query.deadline).min()
    }
}
