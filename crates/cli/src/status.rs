//! The exit status of a command.

use marbledeck_submission_client::{Error, ErrorId, JobInfo, JobState};
use std::process::ExitCode;

/// The exit status of a command. For several jobs, it is the greatest status of any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Status {
    /// The command has succeeded, and all jobs that it waited for are `DONE`.
    Ok = 0,
    /// A job has failed, or a control operation did not apply to some of the jobs.
    Failed = 1,
    /// The node has rejected the request permanently.
    Denied = 3,
    /// There is no connection to the node.
    Unreachable = 4,
    /// The node has rejected the request temporarily (`EX_TEMPFAIL` in `sysexits.h`).
    TryLater = 75,
    /// A wait has timed out (the status of `timeout(1)`).
    TimedOut = 124,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> Self {
        ExitCode::from(status as u8)
    }
}

impl Status {
    /// The status for a failed request.
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
