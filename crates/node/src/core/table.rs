//! The request table: each request is kept until it has its final answer and all of its attempts have ended.

use super::licensing::LicenceNeeds;
use super::Payload;
use marbledeck_dispatcher::{ClassId, Micros, RequestId, WorkerId};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent; its worker has not said that it runs.
    InFlight,
    /// Its worker runs it since this time.
    Running(Micros),
    /// It has ended, and may have run.
    Ended,
    /// It has ended, or was never sent, and is known not to have run.
    NeverRan,
}

/// One attempt of a request.
pub struct Attempt {
    /// Where it was sent.
    pub worker: WorkerId,
    /// When it was handed to the worker links.
    pub sent: Micros,
    /// How far it has come.
    pub state: AttemptState,
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
    /// What workers get.
    pub payload: Rc<Payload>,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// It has had its final answer, or its client has left.
    pub closed: bool,
    /// The licence seats that each of its attempts takes.
    pub needs: LicenceNeeds,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Whether a worker runs one of its attempts.
    pub fn is_running(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| matches!(attempt.state, AttemptState::Running(_)))
    }

    /// When the last attempt was sent that may have run.
    pub fn last_attempt_sent_at(&self) -> Option<Micros> {
        let may_have_run = self
            .attempts
            .iter()
            .filter(|attempt| attempt.state != AttemptState::NeverRan);
        may_have_run.map(|attempt| attempt.sent).max()
    }
}

/// All requests that are not done.
#[derive(Default)]
pub struct Table {
    requests: HashMap<RequestId, Request>,
    next_id: u64,
    unanswered: usize,
    /// The clients' transaction ids of all requests held.
    transaction_ids: HashSet<String>,
    /// Bytes of all bodies held.
    body_bytes: usize,
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
        self.transaction_ids.insert(payload.transaction_id.clone());
        self.body_bytes += payload.body.len();
        let request = Request {
            class,
            payload: Rc::new(payload),
            deadline,
            closed: false,
            needs,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        self.unanswered += 1;
        id
    }

    /// The request of this id, unless it is done.
    pub fn get(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// The attempt of this number, as long as it is in flight.
    pub fn in_flight(&mut self, id: RequestId, attempt: u32) -> Option<&mut Attempt> {
        let attempts = &mut self.requests.get_mut(&id)?.attempts;
        let attempt = attempts.get_mut(attempt as usize);
        attempt.filter(|attempt| attempt.is_in_flight())
    }

    /// Marks a request as closed. Returns false where it is unknown or was closed before: an answer is given once.
    pub fn close(&mut self, id: RequestId) -> bool {
        let open = self.requests.get_mut(&id);
        let Some(request) = open.filter(|request| !request.closed) else {
            return false;
        };
        request.closed = true;
        self.unanswered -= 1;
        true
    }

    /// Whether a request has had its answer, or needs none.
    pub fn is_closed(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|request| request.closed)
    }

    /// Removes a request that is closed and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: RequestId) {
        let is_done = |request: &Request| {
            request.closed && !request.attempts.iter().any(Attempt::is_in_flight)
        };
        if !self.requests.get(&id).is_some_and(is_done) {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.transaction_ids.remove(&request.payload.transaction_id);
            self.body_bytes -= request.payload.body.len();
        }
    }

    /// Whether a request of this transaction id is held.
    pub fn has_transaction(&self, transaction_id: &str) -> bool {
        self.transaction_ids.contains(transaction_id)
    }

    /// How many bytes the bodies of all requests held take.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// The requests without a final answer, in the order in which they came.
    pub fn open_requests(&self) -> Vec<RequestId> {
        let open = self.requests.iter().filter(|(_, request)| !request.closed);
        let mut open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        open.sort();
        open
    }

    /// How many requests have no final answer yet.
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }
}
