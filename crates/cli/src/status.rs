//! The result of a command, as its exit status.

use marbledeck_submission_client::{Error, ErrorId, JobInfo, JobState};
use std::process::ExitCode;

/// The result of a command, as its exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Status {
    /// The command has succeeded; all jobs that it waited for are `DONE`.
    Ok = 0,
    /// A job has failed, or one of several jobs was not changed.
    Failed = 1,
    /// The node has rejected the request for good.
    Denied = 3,
    /// There is no connection to the node.
    Unreachable = 4,
    /// The node has rejected the request for now (`EX_TEMPFAIL`).
    TryLater = 75,
    /// A wait has timed out, as with `timeout(1)`.
    TimedOut = 124,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> Self {
        ExitCode::from(status as u8)
    }
}

impl Status {
    /// The status for an error of a request.
    pub fn of_error(error: &Error) -> Self {
        match error {
            Error::Connection(_) => Status::Unreachable,
            Error::InvalidAnswer(_) => Status::Denied,
            error if error.is(ErrorId::TryLater) => Status::TryLater,
            error if error.is(ErrorId::Timeout) => Status::TimedOut,
            Error::Problem(_) => Status::Denied,
        }
    }

    /// The status for a job that has ended.
    pub(crate) fn of_ended_job(info: &JobInfo) -> Self {
        match (info.job_state, &info.problem) {
            (JobState::Done, _) => Status::Ok,
            (_, Some(problem)) if problem.error == ErrorId::TryLater => Status::TryLater,
            _ => Status::Failed,
        }
    }

    /// The status for a job that may still run.
    pub(crate) fn of_job(info: &JobInfo) -> Self {
        if info.job_state.is_final() {
            Status::of_ended_job(info)
        } else {
            Status::Ok
        }
    }
}
