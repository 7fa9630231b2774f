//! The unanswered queries of a node to owners.

use crate::short_id;
use marbledeck_dispatcher::{Micros, WorkerId};
use std::collections::HashMap;

/// A query that has not been answered yet.
struct PendingQuery {
    worker: WorkerId,
    /// The time until which an answer is accepted.
    deadline: Micros,
}

/// The pending queries. Each queried worker is returned exactly once: when it is answered, displaced or overdue.
#[derive(Default)]
pub struct PendingQueries {
    /// Queries by short id of the worker.
    pending: HashMap<u32, PendingQuery>,
}

impl PendingQueries {
    /// Adds a query. An answer carries only the short id, so it cannot be for two workers with the same one: a pending
    /// query for another such worker is displaced, and that worker is returned.
    #[must_use]
    pub fn insert(&mut self, worker: WorkerId, deadline: Micros) -> Option<WorkerId> {
        let query = PendingQuery { worker, deadline };
        let displaced = self.pending.insert(short_id(worker), query);
        let displaced = displaced.map(|query| query.worker);
        displaced.filter(|displaced| *displaced != worker)
    }

    /// Removes the query that an answer for this short id belongs to, and returns its worker.
    pub fn take_answered(&mut self, short_id: u32) -> Option<WorkerId> {
        self.pending.remove(&short_id).map(|query| query.worker)
    }

    /// Removes a query whose deadline has passed, and returns its worker.
    pub fn take_overdue(&mut self, now: Micros) -> Option<WorkerId> {
        let mut pending = self.pending.values();
        let overdue = pending.find(|query| query.deadline <= now)?.worker;
        self.take_answered(short_id(overdue))
    }

    /// The earliest deadline of all queries.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.pending.values().map(|query| query.deadline).min()
    }
}
