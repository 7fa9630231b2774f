//! A connection to a worker: its current use and the progress of its request.

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
    /// Asks whether a suspected worker is still up.
    HealthCheck,
    /// The attempt or probe has ended, but the rest of the response has not been read yet.
    Remainder,
    /// No request; kept open for the next one.
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

/// An attempt whose request was encoded into a connection's buffer.
pub struct EncodedAttempt {
    /// The attempt.
    pub command: AttemptCommand,
    /// When it was encoded; the remaining time in its bytes is relative to this.
    pub encoded_at: Micros,
}

/// A connection to a worker.
pub struct WorkerConnection {
    /// The worker at the other end.
    pub worker: WorkerId,
    /// Its current use.
    pub purpose: Purpose,
    /// The worker's state when the attempt or probe was decided.
    pub target: Option<AttemptTarget>,
    /// Its attempt is withdrawn unless the last byte is written before this time.
    pub send_before: Option<Micros>,
    /// The response being read; none while the connection is idle.
    pub exchange: Option<Exchange>,
    /// When its request was put into the buffer.
    pub sent: Micros,
    /// Whether it was reused for this request and has received nothing since.
    pub reused_without_response: bool,
    /// Whether the last byte of its attempt was written to the socket.
    pub written: bool,
    /// The size of its request in bytes.
    pub request_bytes: usize,
    /// The attempt that it carries, until it is written; none for other requests.
    pub encoded_attempt: Option<EncodedAttempt>,
    /// Whether the worker has reported that its attempt is running.
    pub running: bool,
    /// When its connect, its wait for a response or its idle time runs out.
    pub deadline: Option<Micros>,
}

impl WorkerConnection {
    /// Creates the state of a connection for a new request.
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

    /// The request of its attempt, until the attempt's last byte is written.
    pub fn unwritten_attempt(&self) -> Option<AttemptId> {
        match self.purpose {
            Purpose::Attempt(attempt) if !self.written => Some(attempt),
            _ => None,
        }
    }

    /// Whether no byte of its request was written to the socket.
    pub fn is_unsent(&self, conn: &Connection) -> bool {
        conn.is_connecting() || conn.output.len() >= self.request_bytes
    }

    /// Counts an attempt once its last byte is written. One that was cancelled before, or whose connection was never
    /// established, is not counted, since no worker has received it.
    pub fn record_written(&mut self, conn: &Connection, core: &mut Core) {
        if let Some(AttemptId { request, number }) = self.unwritten_attempt() {
            if !conn.is_connecting() && conn.output.is_empty() {
                self.written = true;
                self.encoded_attempt = None;
                log::trace!(target: super::LOG_TARGET, "{}: written", self.purpose);
                core.handle_attempt_written(request, number);
            }
        }
    }

    /// Reads the received part of the response.
    pub fn read(&mut self, conn: &mut Connection) -> ReadProgress {
        let exchange = self.exchange.as_mut();
        exchange.map_or_else(ReadProgress::default, |exchange| exchange.read(conn))
    }

    /// The deadline of a connected connection after a read brought `progress`. A running attempt of a worker that
    /// reports progress is lost after `progress_timeout` without a report; one that is not running yet has no deadline.
    pub fn response_deadline(
        &mut self,
        now: Micros,
        progress: &ReadProgress,
        progress_timeout: Option<Micros>,
    ) -> Option<Micros> {
        match self.purpose {
            Purpose::Attempt(_) => {
                self.running |= progress.started;
                progress_timeout
                    .filter(|_| self.running)
                    .map(|progress_timeout| now + progress_timeout)
            }
            Purpose::LoadProbe | Purpose::HealthCheck => Some(self.sent + super::PROBE_TIMEOUT),
            Purpose::Remainder | Purpose::Idle => self.deadline,
        }
    }
}

/// The outcome of a request whose connection has failed; none if the connection is working. A request that was not
/// written completely was not accepted; one that was may have run.
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
