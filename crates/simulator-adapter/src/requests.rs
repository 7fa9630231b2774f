//! The wire's names of requests and workers, and the ids that the decision module knows them by.

use marbledeck_dispatcher::{RequestId, WorkerId};
use marbledeck_platform_settings::worker_id;
use std::collections::HashMap;

/// The workers' names by their ids.
#[derive(Default)]
pub struct WorkerNames(HashMap<WorkerId, Box<str>>);

impl WorkerNames {
    /// The id of a worker, which is remembered.
    pub fn id(&mut self, name: &str) -> WorkerId {
        let id = worker_id(name);
        self.0.entry(id).or_insert_with(|| name.into());
        id
    }

    /// The name of a worker whose id was given out.
    pub fn name(&self, id: WorkerId) -> &str {
        &self.0[&id]
    }
}

/// A request, kept until it has ended and its attempts have ended.
struct OpenRequest {
    name: Box<str>,
    attempts_in_flight: u32,
    ended: bool,
}

/// The open requests by their ids and names.
#[derive(Default)]
pub struct OpenRequests {
    ids: HashMap<Box<str>, RequestId>,
    open: HashMap<RequestId, OpenRequest>,
    next_id: u64,
}

impl OpenRequests {
    /// Gives a new request an id that is never used again.
    pub fn insert(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.into(), id);
        let request = OpenRequest {
            name: name.into(),
            attempts_in_flight: 0,
            ended: false,
        };
        self.open.insert(id, request);
        id
    }

    /// The id of an open request.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// The name of an open request.
    pub fn name(&self, id: RequestId) -> Option<Box<str>> {
        self.open.get(&id).map(|request| request.name.clone())
    }

    /// Counts an attempt of an open request, and gives its name.
    pub fn begin_attempt(&mut self, id: RequestId) -> Option<Box<str>> {
        let request = self.open.get_mut(&id)?;
        request.attempts_in_flight += 1;
        Some(request.name.clone())
    }

    /// An attempt has ended, and the request with it where `closed`.
    pub fn end_attempt(&mut self, id: RequestId, closed: bool) {
        if let Some(request) = self.open.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.ended |= closed;
        }
        self.forget_if_over(id);
    }

    /// The request is over; attempts may still be in flight.
    pub fn end(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.ended = true;
        }
        self.forget_if_over(id);
    }

    fn forget_if_over(&mut self, id: RequestId) {
        let is_over = |request: &OpenRequest| request.ended && request.attempts_in_flight == 0;
        if self.open.get(&id).is_some_and(is_over) {
            if let Some(request) = self.open.remove(&id) {
                self.ids.remove(&request.name);
            }
        }
    }
}
