//! Maps between the simulator's names of requests and workers and the ids of the dispatcher.

use marbledeck_dispatcher::{RequestId, WorkerId};
use marbledeck_platform_settings::worker_id;
use std::collections::HashMap;

/// The names of all workers seen, by id.
#[derive(Default)]
pub struct WorkerNames(HashMap<WorkerId, Box<str>>);

impl WorkerNames {
    /// Returns the id of a worker, and records its name.
    pub fn id(&mut self, name: &str) -> WorkerId {
        let id = worker_id(name);
        self.0.entry(id).or_insert_with(|| name.into());
        id
    }

    /// Returns the name of a worker.
    ///
    /// # Panics
    /// If the id was not returned by [`WorkerNames::id`].
    pub fn name(&self, id: WorkerId) -> &str {
        &self.0[&id]
    }
}

/// A request that is kept until it and all its attempts have ended.
struct OpenRequest {
    name: Box<str>,
    attempts_in_flight: u32,
    ended: bool,
}

/// The open requests, by id and by name.
#[derive(Default)]
pub struct OpenRequests {
    ids: HashMap<Box<str>, RequestId>,
    open: HashMap<RequestId, OpenRequest>,
    next_id: u64,
}

impl OpenRequests {
    /// Adds a request and returns its id, which is unique within the instance.
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

    /// Returns the id of an open request.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of an open request.
    pub fn name(&self, id: RequestId) -> Option<Box<str>> {
        self.open.get(&id).map(|request| request.name.clone())
    }

    /// Counts an attempt of an open request, and returns the name of the request.
    pub fn begin_attempt(&mut self, id: RequestId) -> Option<Box<str>> {
        let request = self.open.get_mut(&id)?;
        request.attempts_in_flight += 1;
        Some(request.name.clone())
    }

    /// Records the end of an attempt, and the end of its request if `closed` is set.
    pub fn end_attempt(&mut self, id: RequestId, closed: bool) {
        if let Some(request) = self.open.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.ended |= closed;
        }
        self.remove_if_ended(id);
    }

    /// Records the end of a request, whose attempts may still be in flight.
    pub fn end(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.ended = true;
        }
        self.remove_if_ended(id);
    }

    fn remove_if_ended(&mut self, id: RequestId) {
        let has_ended = |request: &OpenRequest| request.ended && request.attempts_in_flight == 0;
        if self.open.get(&id).is_some_and(has_ended) {
            if let Some(request) = self.open.remove(&id) {
                self.ids.remove(&request.name);
            }
        }
    }
}
