//! Sends requests, and repeats them on a new connection when the connection is lost.

use super::Client;
use crate::connection::{has_more, Connection};
use crate::{Backoff, Error};
use marbledeck_submission::message::Operation;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Initial bound of the backoff between connection attempts.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);
/// Maximum bound of the backoff between connection attempts.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Time limit for an answer.
#[derive(Clone, Copy)]
pub(super) enum AnswerDeadline {
    /// [`Settings::answer_timeout`](crate::Settings::answer_timeout).
    FromSettings,
    /// For a wait that ends at this time: the answer timeout starts then, since the node reports the timeout itself.
    WaitUntil(Instant),
    /// None; only the loss of the connection ends the request.
    Unlimited,
}

/// Backoff between attempts of a request whose connection was lost, with a time limit.
pub(super) struct ReconnectBackoff {
    timeout: Duration,
    /// Start of the current series of failed attempts.
    failing_since: Instant,
    backoff: Backoff,
}

impl ReconnectBackoff {
    pub(super) fn new(timeout: Duration) -> Self {
        ReconnectBackoff {
            timeout,
            failing_since: Instant::now(),
            backoff: Backoff::new(INITIAL_PAUSE, MAX_PAUSE),
        }
    }

    /// Returns the pause before the next attempt, or `None` if it would exceed the timeout.
    pub(super) fn next_pause(&mut self, attempt_started: Instant) -> Option<Duration> {
        // An attempt that lasted longer than the timeout is assumed to have been connected, so a new series starts.
        if attempt_started.elapsed() > self.timeout {
            self.failing_since = Instant::now();
            self.backoff.reset();
        }
        let pause = self.backoff.next_pause(None);
        (self.failing_since.elapsed() + pause <= self.timeout).then_some(pause)
    }
}

impl Client {
    /// Sends a request and returns the node's answer.
    ///
    /// # Errors
    /// The node's problem, the loss of the connection, or an invalid answer.
    pub fn request(&self, operation: Operation) -> Result<Value, Error> {
        self.call(operation)
    }

    /// Sends a request and decodes its answer of one line. The request is repeated on a new connection if the
    /// connection is lost, so it must be idempotent.
    pub(super) fn call<T: DeserializeOwned>(&self, operation: Operation) -> Result<T, Error> {
        let mut lines = self.call_lines(operation)?;
        match lines.pop() {
            Some(line) if lines.is_empty() => decode(line),
            _ => Err(Error::InvalidAnswer(
                "expected one line, received several".to_owned(),
            )),
        }
    }

    /// Like [`Client::call`], for an answer of one or more lines, which are not decoded.
    pub(super) fn call_lines(&self, operation: Operation) -> Result<Vec<Value>, Error> {
        let mut reconnect_backoff = ReconnectBackoff::new(self.settings.retry_timeout);
        loop {
            let attempt_started = Instant::now();
            let attempt = self.try_call_lines(operation.clone(), AnswerDeadline::FromSettings);
            let failure = match attempt {
                Err(Error::Connection(failure)) => failure,
                answer => return answer,
            };
            if self.is_closed() {
                return Err(Error::Connection(failure));
            }
            let Some(pause) = reconnect_backoff.next_pause(attempt_started) else {
                return Err(Error::Connection(failure));
            };
            std::thread::sleep(pause);
        }
    }

    /// Sends a request once, without a retry.
    pub(super) fn try_call_lines(
        &self,
        operation: Operation,
        deadline: AnswerDeadline,
    ) -> Result<Vec<Value>, Error> {
        let connection = self.connection().map_err(Error::Connection)?;
        let answer = connection.send(operation).map_err(Error::Connection)?;
        let mut lines = Vec::new();
        loop {
            let line = self.receive_line(&connection, &answer, deadline)?;
            let has_more = has_more(&line);
            lines.push(line);
            if !has_more {
                return Ok(lines);
            }
        }
    }

    /// Sends a request once on this connection and decodes its answer of one line.
    pub(super) fn call_on<T: DeserializeOwned>(
        &self,
        connection: &Connection,
        operation: Operation,
    ) -> Result<T, Error> {
        let answer = connection.send(operation).map_err(Error::Connection)?;
        let line = self.receive_line(connection, &answer, AnswerDeadline::FromSettings)?;
        decode(line)
    }

    fn receive_line(
        &self,
        connection: &Connection,
        answer: &Receiver<Value>,
        deadline: AnswerDeadline,
    ) -> Result<Value, Error> {
        let answer_timeout = self.settings.answer_timeout;
        let received = match deadline {
            AnswerDeadline::FromSettings => answer.recv_timeout(answer_timeout),
            AnswerDeadline::WaitUntil(time) => {
                // The node reports the timeout; allow the usual time for its answer.
                let remaining = time.saturating_duration_since(Instant::now());
                answer.recv_timeout(remaining + answer_timeout)
            }
            AnswerDeadline::Unlimited => answer.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(line) => Ok(line),
            Err(RecvTimeoutError::Disconnected) => Err(Error::connection_reset()),
            Err(RecvTimeoutError::Timeout) => {
                // The connection is considered lost if the node does not answer in time.
                connection.close();
                Err(Error::Connection(io::ErrorKind::TimedOut.into()))
            }
        }
    }
}

/// Decodes a line of an answer; a problem becomes an error.
pub(super) fn decode<T: DeserializeOwned>(line: Value) -> Result<T, Error> {
    // The problem of a failed job is nested in `jobInfo`; a problem at the top level means that the request failed.
    if line.get("error").is_some() {
        return match serde_json::from_value(line) {
            Ok(problem) => Err(Error::Problem(problem)),
            Err(error) => Err(Error::InvalidAnswer(error.to_string())),
        };
    }
    serde_json::from_value(line).map_err(|error| Error::InvalidAnswer(error.to_string()))
}
