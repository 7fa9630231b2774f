//! Commands from the core to the front ends and the worker connections.

use marbledeck_dispatcher::{Micros, RequestId, WorkerId};
use std::fmt;
use std::rc::Rc;

/// The maximum size in bytes of a small body. Few bodies are larger, and those are limited separately so that they do not
/// keep the others from being accepted.
pub const MAX_SMALL_BODY: usize = 4 * 1024;

/// The parts of a request that are forwarded to a worker unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    /// The client's id for this request.
    pub transaction_id: String,
    /// The idempotency key, which workers use to drop duplicates.
    pub key: Option<String>,
    /// The method of the request; opaque to the core.
    pub method: String,
    /// The target of the request; opaque to the core.
    pub target: String,
    /// The body of the request; opaque to the core.
    pub body: Vec<u8>,
}

impl Payload {
    /// The size of the payload in bytes if its body is at most [`MAX_SMALL_BODY`], and 0 if it is larger: those are limited
    /// by the size of their bodies.
    pub fn small_bytes(&self) -> usize {
        if self.body.len() > MAX_SMALL_BODY {
            return 0;
        }
        let key = self.key.as_ref().map_or(0, String::len);
        self.transaction_id.len() + key + self.target.len() + self.body.len()
    }
}

/// The final answer of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The result from a worker.
    Served(Vec<u8>),
    /// The request did not run, so a retry is safe; the client should wait this long first, if given.
    Rejected(Option<Micros>),
    /// No result, and no guarantee that the request did not run: a retry may run it twice.
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

/// An attempt to be made over a worker connection.
#[derive(Clone, Debug)]
pub struct AttemptCommand {
    /// The request that it belongs to.
    pub request: RequestId,
    /// The number of the attempt; the first is 0.
    pub attempt: u32,
    /// The worker to send it to.
    pub worker: WorkerId,
    /// The request's content for the worker.
    pub payload: Rc<Payload>,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// The attempt is withdrawn unless its last byte is written before this time.
    pub send_before: Option<Micros>,
}

/// A command for the front ends, the worker connections or discovery.
#[derive(Clone, Debug)]
pub enum Command {
    /// Make an attempt, and call [`Core::handle_attempt_ended`](super::Core::handle_attempt_ended) once when it ends.
    StartAttempt(AttemptCommand),
    /// Abandon an attempt, and report nothing more about it.
    CancelAttempt {
        /// The request that it belongs to.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Ask a worker for its load, and call [`Core::handle_probe_result`](super::Core::handle_probe_result) once with
    /// the result.
    ProbeWorker(WorkerId),
    /// An attempt at this worker has ended, whatever its outcome.
    AttemptEnded(WorkerId),
    /// Watch discovery for changes.
    WatchWorkers,
    /// Give the final answer. Issued at most once for each request.
    Answer {
        /// The request.
        request: RequestId,
        /// Its answer.
        answer: FinalAnswer,
        /// The start time of the last attempt that may have run.
        last_attempt_sent_at: Option<Micros>,
    },
    /// This worker has started to run the request.
    RequestRunning(RequestId, WorkerId),
    /// An attempt that was running has ended without a final answer, and no worker runs the request now.
    RequestRequeued(RequestId),
}
