//! The request table: keeps each request until it is closed and all of its attempts have ended.

use super::licensing::LicenceNeeds;
use super::timers::TimerKey;
use super::Payload;
use marbledeck_dispatcher::{ClassId, Micros, RequestId, WorkerId};
use std::collections::HashMap;
use std::rc::Rc;

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent; its worker has not reported that it is running.
    InFlight,
    /// Running at its worker since this time.
    Running(Micros),
    /// Ended, and may have run.
    Ended,
    /// Ended or never sent, and known not to have run.
    NeverRan,
}

/// One attempt of a request.
pub struct Attempt {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// When it was passed to the worker connections.
    pub sent: Micros,
    /// Its progress.
    pub state: AttemptState,
    /// Whether its last byte was written.
    pub is_written: bool,
    /// The timer of its deadline; none if it is not in flight.
    pub timer: Option<TimerKey>,
}

impl Attempt {
    /// Whether it has not ended yet.
    pub fn is_in_flight(&self) -> bool {
        matches!(
            self.state,
            AttemptState::InFlight | AttemptState::Running(_)
        )
    }
}

/// A request that was accepted.
pub struct Request {
    /// The class that it belongs to.
    pub class: ClassId,
    /// The content that workers get.
    pub payload: Rc<Payload>,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// Whether it was answered or its client has disconnected.
    pub closed: bool,
    /// The timer of its deadline; none if it is closed.
    pub timer: Option<TimerKey>,
    /// Whether no other request with its id may run.
    pub has_unique_id: bool,
    /// The licences that each of its attempts needs.
    pub needs: LicenceNeeds,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Whether a worker is running one of its attempts.
    pub fn is_running(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| matches!(attempt.state, AttemptState::Running(_)))
    }

    /// Whether an attempt may have run: its last byte was written, and it did not end in a way that excludes this.
    pub fn may_have_run(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.is_written && attempt.state != AttemptState::NeverRan)
    }

    /// The start time of the last attempt that may have run.
    pub fn last_attempt_sent_at(&self) -> Option<Micros> {
        let may_have_run = self
            .attempts
            .iter()
            .filter(|attempt| attempt.state != AttemptState::NeverRan);
        may_have_run.map(|attempt| attempt.sent).max()
    }
}

/// All requests that are open or have an attempt in flight.
#[derive(Default)]
pub struct Table {
    requests: HashMap<RequestId, Request>,
    next_id: u64,
    unanswered: usize,
    /// The transaction ids of all requests in the table.
    transaction_ids: HashMap<String, RequestId>,
    /// The total size in bytes of the bodies of all requests in the table.
    body_bytes: usize,
    /// The total size in bytes of the payloads of all requests in the table that have a small body.
    small_payload_bytes: usize,
}

impl Table {
    /// Adds a request under an id that is never used again.
    pub fn insert(
        &mut self,
        class: ClassId,
        payload: Payload,
        deadline: Micros,
        needs: LicenceNeeds,
    ) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let transaction_id = payload.transaction_id.clone();
        self.transaction_ids.insert(transaction_id, id);
        self.body_bytes += payload.body.len();
        self.small_payload_bytes += payload.small_bytes();
        let request = Request {
            class,
            payload: Rc::new(payload),
            deadline,
            closed: false,
            timer: None,
            has_unique_id: false,
            needs,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        self.unanswered += 1;
        id
    }

    /// The request with this id, if it is in the table.
    pub fn get(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// The attempt with this number, if it is in flight.
    pub fn in_flight(&mut self, id: RequestId, attempt: u32) -> Option<&mut Attempt> {
        let attempts = &mut self.requests.get_mut(&id)?.attempts;
        let attempt = attempts.get_mut(attempt as usize);
        attempt.filter(|attempt| attempt.is_in_flight())
    }

    /// Marks a request as closed. Returns false if it is unknown or already closed: an answer is given only once.
    pub fn close(&mut self, id: RequestId) -> bool {
        let open = self.requests.get_mut(&id);
        let Some(request) = open.filter(|request| !request.closed) else {
            return false;
        };
        request.closed = true;
        self.unanswered -= 1;
        true
    }

    /// Whether a request is closed or no longer in the table.
    pub fn is_closed(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|request| request.closed)
    }

    /// Removes and returns a request that is closed and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: RequestId) -> Option<Request> {
        let is_done = |request: &Request| {
            request.closed && !request.attempts.iter().any(Attempt::is_in_flight)
        };
        if !self.requests.get(&id).is_some_and(is_done) {
            return None;
        }
        let request = self.requests.remove(&id)?;
        self.transaction_ids.remove(&request.payload.transaction_id);
        self.body_bytes -= request.payload.body.len();
        self.small_payload_bytes -= request.payload.small_bytes();
        Some(request)
    }

    /// Whether a request with this transaction id is in the table.
    pub fn has_transaction(&self, transaction_id: &str) -> bool {
        self.transaction_ids.contains_key(transaction_id)
    }

    /// The request with this transaction id, if it is in the table.
    pub fn find(&self, transaction_id: &str) -> Option<RequestId> {
        self.transaction_ids.get(transaction_id).copied()
    }

    /// The total size in bytes of the bodies of all requests in the table.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// The total size in bytes of the payloads of all requests in the table that have a small body.
    pub fn small_payload_bytes(&self) -> usize {
        self.small_payload_bytes
    }

    /// The open requests, in the order in which they arrived.
    pub fn open_requests(&self) -> Vec<RequestId> {
        let open = self.requests.iter().filter(|(_, request)| !request.closed);
        let mut open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        open.sort();
        open
    }

    /// How many requests are open.
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }
}
