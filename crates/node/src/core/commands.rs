//! What the core hands to the fronts and the worker links.

use marbledeck_dispatcher::{Micros, RequestId, WorkerId};
use std::fmt;
use std::rc::Rc;

/// What a worker gets of a request, unchanged by the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    /// The client's id of this request.
    pub transaction_id: String,
    /// The idempotency key, by which workers drop repeats.
    pub key: Option<String>,
    /// The method of the request; opaque to the core.
    pub method: String,
    /// The target of the request; opaque to the core.
    pub target: String,
    /// The body of the request; opaque to the core.
    pub body: Vec<u8>,
}

/// The final answer of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The result that a worker made.
    Served(Vec<u8>),
    /// A retry is harmless, perhaps after this time.
    Rejected(Option<Micros>),
    /// No result, and no promise that a retry is harmless.
    Failed,
}

impl fmt::Display for FinalAnswer {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FinalAnswer::Served(_) => f.write_str("served"),
            FinalAnswer::Rejected(None) => f.write_str("rejected"),
            FinalAnswer::Rejected(Some(wait)) => write!(f, "rejected for {} ms", wait.0 / 1000),
            FinalAnswer::Failed => f.write_str("failed"),
        }
    }
}

/// An attempt that the worker links are to make.
#[derive(Clone, Debug)]
pub struct AttemptCommand {
    /// The request that it belongs to.
    pub request: RequestId,
    /// The number of the attempt; the first is 0.
    pub attempt: u32,
    /// Where it goes.
    pub worker: WorkerId,
    /// What the worker gets.
    pub payload: Rc<Payload>,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// Its last byte has to leave before this time, if it is to leave at all.
    pub send_before: Option<Micros>,
}

/// What the fronts and the worker links are to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Make an attempt; [`Core::handle_attempt_ended`](super::Core::handle_attempt_ended) is called once for it.
    StartAttempt(AttemptCommand),
    /// Stop waiting for an attempt. Nothing more is to be reported of it.
    CancelAttempt {
        /// The request that it belongs to.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Ask a worker for its load; [`Core::handle_probe_result`](super::Core::handle_probe_result) is called once for
    /// it.
    ProbeWorker(WorkerId),
    /// An attempt at this worker has ended, in whatever way.
    AttemptEnded(WorkerId),
    /// Watch discovery for changes.
    WatchWorkers,
    /// Give the final answer; once for each request.
    Answer {
        /// The request.
        request: RequestId,
        /// Its answer.
        answer: FinalAnswer,
        /// When the last attempt was sent that may have run.
        last_attempt_sent_at: Option<Micros>,
    },
    /// This worker has begun to run the request.
    RequestRunning(RequestId, WorkerId),
    /// The request ran and has no final answer, and no worker runs it now.
    RequestRequeued(RequestId),
}
