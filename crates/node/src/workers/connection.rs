//! A connection to a worker: what it is used for now, and how far that has come.

use super::exchange::{Exchange, ReadProgress};
use crate::core::{AttemptCommand, Core};
use crate::fleet::AttemptTarget;
use crate::net::conn::Connection;
use marbledeck_dispatcher::{Micros, Outcome, RequestId, WorkerId};
use std::fmt;

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub number: u32,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Carries an attempt.
    Attempt(AttemptId),
    /// Asks the worker for its load.
    LoadProbe,
    /// Asks whether a suspected worker is there.
    HealthCheck,
    /// The end is known; the rest of the response is still to be read.
    Remainder,
    /// Nothing: kept for the next request.
    Idle,
}

impl fmt::Display for Purpose {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Purpose::Attempt(attempt) => {
                write!(f, "call {}.{}", attempt.request.0, attempt.number)
            }
            Purpose::LoadProbe => f.write_str("load probe"),
            Purpose::HealthCheck => f.write_str("health check"),
            Purpose::Remainder => f.write_str("remainder"),
            Purpose::Idle => f.write_str("idle"),
        }
    }
}

/// An attempt as it was written to a connection's buffer.
pub struct EncodedAttempt {
    /// The attempt.
    pub command: AttemptCommand,
    /// The time by which its bytes say how long the client still waits.
    pub encoded_at: Micros,
}

/// A connection to a worker.
pub struct WorkerConnection {
    /// The worker at the other end.
    pub worker: WorkerId,
    /// What it is used for now.
    pub purpose: Purpose,
    /// The worker as it was when the attempt or probe was decided.
    pub target: Option<AttemptTarget>,
    /// The last byte of its attempt has to leave before this time.
    pub send_before: Option<Micros>,
    /// The response that it waits for; none while it is idle.
    pub exchange: Option<Exchange>,
    /// When its request was handed over.
    pub sent: Micros,
    /// It had carried an earlier request, and nothing has come since this one.
    pub reused_without_response: bool,
    /// The last byte of its attempt has left.
    pub written: bool,
    /// Bytes of its request.
    pub request_bytes: usize,
    /// The attempt that it carries, and when its bytes were made; none for other requests.
    pub encoded_attempt: Option<EncodedAttempt>,
    /// The worker runs its attempt.
    pub running: bool,
    /// When it has been connecting, waiting or idle for too long.
    pub deadline: Option<Micros>,
}

impl WorkerConnection {
    /// A connection that is to carry a new request.
    pub fn new(worker: WorkerId, purpose: Purpose, exchange: Exchange, sent: Micros) -> Self {
        WorkerConnection {
            worker,
            purpose,
            target: None,
            send_before: None,
            exchange: Some(exchange),
            sent,
            reused_without_response: false,
            written: false,
            request_bytes: 0,
            encoded_attempt: None,
            running: false,
            deadline: None,
        }
    }

    /// The attempt that it carries, until its last byte has left.
    pub fn unwritten_attempt(&self) -> Option<RequestId> {
        match self.purpose {
            Purpose::Attempt(attempt) if !self.written => Some(attempt.request),
            _ => None,
        }
    }

    /// Whether no byte of its request has left.
    pub fn is_unsent(&self, conn: &Connection) -> bool {
        conn.is_connecting() || conn.output.len() >= self.request_bytes
    }

    /// Counts an attempt once its last byte has left. One that was cancelled, or whose connection never came up, is
    /// not counted: no worker has it.
    pub fn record_written(&mut self, conn: &Connection, core: &mut Core) {
        if let Some(request) = self.unwritten_attempt() {
            if !conn.is_connecting() && conn.output.is_empty() {
                self.written = true;
                self.encoded_attempt = None;
                log::trace!(target: super::LOG_TARGET, "{}: written", self.purpose);
                core.handle_attempt_written(request);
            }
        }
    }

    /// Reads what has come of the response.
    pub fn read(&mut self, conn: &mut Connection) -> ReadProgress {
        let exchange = self.exchange.as_mut();
        exchange.map_or_else(ReadProgress::default, |exchange| exchange.read(conn))
    }

    /// When it has waited too long for the response, once it is connected and `progress` has come. A worker that
    /// reports progress is lost where it reports none for `silence`; an attempt that has not begun waits without end.
    pub fn response_deadline(
        &mut self,
        now: Micros,
        progress: &ReadProgress,
        silence: Option<Micros>,
    ) -> Option<Micros> {
        match self.purpose {
            Purpose::Attempt(_) => {
                self.running |= progress.started;
                silence
                    .filter(|_| self.running)
                    .map(|silence| now + silence)
            }
            Purpose::LoadProbe | Purpose::HealthCheck => Some(self.sent + super::PROBE_TIMEOUT),
            Purpose::Remainder | Purpose::Idle => self.deadline,
        }
    }
}

/// How a request ends whose connection has failed; none while it has not. A request that has not left completely has
/// not been accepted; one that has may have run.
pub fn failure(conn: &Connection) -> Option<Outcome> {
    let failed = conn.broken || conn.eof;
    failed.then(|| {
        if conn.output.is_empty() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    })
}
