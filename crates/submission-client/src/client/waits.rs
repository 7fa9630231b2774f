//! Waits until jobs start or terminate.

use super::request::{decode, AnswerDeadline, ReconnectBackoff};
use super::Client;
use crate::Error;
use marbledeck_submission::message::{
    ErrorId, JobInfo, JobInfoAnswer, Operation, Problem, Targets,
};
use std::io;
use std::time::{Duration, Instant};

/// The state that a job must reach for a wait to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitGoal {
    /// The job runs or has terminated.
    Started,
    /// The job has terminated.
    Terminated,
}

impl Client {
    /// Waits until a job has terminated.
    ///
    /// # Errors
    /// [`ErrorId::Timeout`] if that takes longer than `timeout`; the job continues.
    pub fn wait_terminated(
        &self,
        job_id: &str,
        timeout: Option<Duration>,
    ) -> Result<JobInfo, Error> {
        self.wait(timeout, |timeout_ms| Operation::WaitTerminated {
            job_id: job_id.to_owned(),
            timeout_ms,
        })
    }

    /// Waits until a job runs or has terminated.
    ///
    /// # Errors
    /// [`ErrorId::Timeout`] if that takes longer than `timeout`; the job continues.
    pub fn wait_started(&self, job_id: &str, timeout: Option<Duration>) -> Result<JobInfo, Error> {
        self.wait(timeout, |timeout_ms| Operation::WaitStarted {
            job_id: job_id.to_owned(),
            timeout_ms,
        })
    }

    /// Waits until any of these jobs reaches the goal.
    ///
    /// # Errors
    /// [`ErrorId::Timeout`] if that takes longer than `timeout`; the jobs continue.
    pub fn wait_any(
        &self,
        targets: &Targets,
        goal: WaitGoal,
        timeout: Option<Duration>,
    ) -> Result<JobInfo, Error> {
        self.wait(timeout, |timeout_ms| {
            let targets = targets.clone();
            match goal {
                WaitGoal::Started => Operation::WaitAnyStarted {
                    targets,
                    timeout_ms,
                },
                WaitGoal::Terminated => Operation::WaitAnyTerminated {
                    targets,
                    timeout_ms,
                },
            }
        })
    }

    /// Waits, and repeats the wait if the connection is lost. `operation` creates the request for the remaining time in
    /// milliseconds.
    fn wait(
        &self,
        timeout: Option<Duration>,
        operation: impl Fn(Option<u64>) -> Operation,
    ) -> Result<JobInfo, Error> {
        let wait_end = timeout.map(|timeout| Instant::now() + timeout);
        let deadline = wait_end.map_or(AnswerDeadline::Unlimited, AnswerDeadline::WaitUntil);
        let mut reconnect_backoff = ReconnectBackoff::new(self.settings.retry_timeout);
        loop {
            let attempt_started = Instant::now();
            let remaining = wait_end.map(|end| end.saturating_duration_since(attempt_started));
            let timeout_ms = remaining.map(|remaining| remaining.as_millis() as u64);
            let failure = match self.try_wait(operation(timeout_ms), deadline) {
                Err(Error::Connection(failure)) => failure,
                // The node has too many pending waits; retried like a lost connection.
                Err(error) if error.is(ErrorId::TryLater) => io::ErrorKind::WouldBlock.into(),
                answer => return answer,
            };
            if self.is_closed() {
                return Err(Error::Connection(failure));
            }
            let pause = reconnect_backoff.next_pause(attempt_started);
            if wait_end.is_some_and(|end| Instant::now() >= end) {
                let problem = Problem::new(ErrorId::Timeout, "the job goes on");
                return Err(Error::Problem(problem));
            }
            let Some(pause) = pause else {
                return Err(Error::Connection(failure));
            };
            std::thread::sleep(pause);
        }
    }

    fn try_wait(&self, operation: Operation, deadline: AnswerDeadline) -> Result<JobInfo, Error> {
        let mut lines = self.try_call_lines(operation, deadline)?;
        let answer: JobInfoAnswer = decode(lines.pop().unwrap_or_default())?;
        Ok(answer.job_info)
    }
}
