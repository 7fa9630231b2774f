//! Waits for the start or the end of jobs.

use super::request::{decode, AnswerDeadline, Reconnects};
use super::Client;
use crate::Error;
use marbledeck_submission::message::{
    ErrorId, JobInfo, JobInfoAnswer, Operation, Problem, Targets,
};
use std::io;
use std::time::{Duration, Instant};

/// What a wait is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitGoal {
    /// A job runs or has ended.
    Started,
    /// A job has ended.
    Terminated,
}

impl Client {
    /// Waits until a job has ended.
    ///
    /// # Errors
    /// [`ErrorId::Timeout`] if that takes longer; the job goes on.
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

    /// Waits until a job runs or has ended.
    ///
    /// # Errors
    /// [`ErrorId::Timeout`] if that takes longer; the job goes on.
    pub fn wait_started(&self, job_id: &str, timeout: Option<Duration>) -> Result<JobInfo, Error> {
        self.wait(timeout, |timeout_ms| Operation::WaitStarted {
            job_id: job_id.to_owned(),
            timeout_ms,
        })
    }

    /// Waits until any of these jobs meets the goal.
    ///
    /// # Errors
    /// [`ErrorId::Timeout`] if that takes longer; the jobs go on.
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

    /// Waits on as many connections as it takes; `operation` makes the request for the time that is left.
    fn wait(
        &self,
        timeout: Option<Duration>,
        operation: impl Fn(Option<u64>) -> Operation,
    ) -> Result<JobInfo, Error> {
        let wait_end = timeout.map(|timeout| Instant::now() + timeout);
        let deadline = wait_end.map_or(AnswerDeadline::Unlimited, AnswerDeadline::WaitUntil);
        let mut reconnects = Reconnects::new(self.settings.retry_timeout);
        loop {
            let attempt_started = Instant::now();
            let time_left = wait_end.map(|end| end.saturating_duration_since(attempt_started));
            let timeout_ms = time_left.map(|left| left.as_millis() as u64);
            let failure = match self.try_wait(operation(timeout_ms), deadline) {
                Err(Error::Connection(failure)) => failure,
                // There are too many waits: retried.
                Err(error) if error.is(ErrorId::TryLater) => io::ErrorKind::WouldBlock.into(),
                answer => return answer,
            };
            if self.is_closed() {
                return Err(Error::Connection(failure));
            }
            let pause = reconnects.next_pause(attempt_started);
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
