//! Sending requests, with retries on new connections.

use super::Client;
use crate::connection::{has_more, Connection};
use crate::{Backoff, Error};
use marbledeck_submission::message::Operation;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// The bounds of the pause before a new connection.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// How long an answer is awaited.
#[derive(Clone, Copy)]
pub(super) enum AnswerDeadline {
    /// As long as the settings say.
    FromSettings,
    /// Until the node reports the timeout of a wait at this time.
    WaitUntil(Instant),
    /// As long as the connection lasts.
    Unlimited,
}

/// Decides how long a request is retried whose connections are lost.
pub(super) struct Reconnects {
    timeout: Duration,
    /// Since when no connection has lasted.
    failing_since: Instant,
    backoff: Backoff,
}

impl Reconnects {
    pub(super) fn new(timeout: Duration) -> Self {
        Reconnects {
            timeout,
            failing_since: Instant::now(),
            backoff: Backoff::new(INITIAL_PAUSE, MAX_PAUSE),
        }
    }

    /// The pause before the next attempt; `None` if the timeout would be exceeded.
    pub(super) fn next_pause(&mut self, attempt_started: Instant) -> Option<Duration> {
        // A connection that has lasted for a while starts the timeout anew.
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
    /// The node's problem, or that no answer came.
    pub fn request(&self, operation: Operation) -> Result<Value, Error> {
        self.call(operation)
    }

    /// Sends a request on as many connections as it takes until there is an answer. Repeating the request must be
    /// harmless.
    pub(super) fn call<T: DeserializeOwned>(&self, operation: Operation) -> Result<T, Error> {
        let mut lines = self.call_lines(operation)?;
        match lines.pop() {
            Some(line) if lines.is_empty() => decode(line),
            _ => Err(Error::InvalidAnswer("more than one line".to_owned())),
        }
    }

    /// Like [`Client::call`], for an answer of several lines.
    pub(super) fn call_lines(&self, operation: Operation) -> Result<Vec<Value>, Error> {
        let mut reconnects = Reconnects::new(self.settings.retry_timeout);
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
            let Some(pause) = reconnects.next_pause(attempt_started) else {
                return Err(Error::Connection(failure));
            };
            std::thread::sleep(pause);
        }
    }

    /// Sends a request once.
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

    /// Sends a request once, on this connection, and returns its answer of one line.
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
                // The node reports the timeout; its answer may take a little longer.
                let left = time.saturating_duration_since(Instant::now());
                answer.recv_timeout(left + answer_timeout)
            }
            AnswerDeadline::Unlimited => answer.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(line) => Ok(line),
            Err(RecvTimeoutError::Disconnected) => Err(Error::connection_reset()),
            Err(RecvTimeoutError::Timeout) => {
                // A node that does not answer for so long is treated as lost.
                connection.close();
                Err(Error::Connection(io::ErrorKind::TimedOut.into()))
            }
        }
    }
}

/// Decodes an answer, or the problem in its place.
pub(super) fn decode<T: DeserializeOwned>(line: Value) -> Result<T, Error> {
    // A job's own problem is within its jobInfo; at the top level it is the answer's.
    if line.get("error").is_some() {
        return match serde_json::from_value(line) {
            Ok(problem) => Err(Error::Problem(problem)),
            Err(error) => Err(Error::InvalidAnswer(error.to_string())),
        };
    }
    serde_json::from_value(line).map_err(|error| Error::InvalidAnswer(error.to_string()))
}
