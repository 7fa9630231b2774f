//! The command line of batch submission: `marbledeck job ...`, `marbledeck session ...` and what goes with them.
//!
//! Results go to standard output, as text or with `--json` as one object a line; everything else goes to standard
//! error. The exit status tells how it went: see [`Status`].
#![forbid(unsafe_code)]

mod args;
mod jobs;
mod print;
mod sessions;

pub use args::{Common, JobCommand, NodeCommand, SessionCommand};

use marbledeck_submission_client::{Client, Error, ErrorId, Settings};
use std::process::ExitCode;
use std::time::Duration;

/// How a command went, as its exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Status {
    /// What was asked for was done; where jobs were waited for, all of them are `DONE`.
    Ok = 0,
    /// A job has failed, or a job of several would not be changed.
    Failed = 1,
    /// The node says no, and would say so again.
    Denied = 3,
    /// No connection to the node.
    Unreachable = 4,
    /// The node refuses for now (`EX_TEMPFAIL`).
    TryLater = 75,
    /// A wait was over before its jobs were, as with `timeout(1)`.
    TimedOut = 124,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> Self {
        ExitCode::from(status as u8)
    }
}

impl Status {
    /// The status for an error.
    pub fn of(error: &Error) -> Self {
        match error {
            Error::Connection(_) => Status::Unreachable,
            Error::InvalidAnswer(_) => Status::Denied,
            e if e.is(ErrorId::TryLater) => Status::TryLater,
            e if e.is(ErrorId::Timeout) => Status::TimedOut,
            Error::Problem(_) => Status::Denied,
        }
    }
}

/// What a command is carried out with.
pub(crate) struct Cli {
    pub client: Client,
    pub json: bool,
    pub quiet: bool,
}

impl Cli {
    fn new(common: &Common) -> Self {
        Cli {
            client: Client::new(settings(common)),
            json: common.json,
            quiet: common.quiet,
        }
    }
}

pub(crate) fn settings(common: &Common) -> Settings {
    let secs = |s: f64| Duration::try_from_secs_f64(s).unwrap_or(Duration::MAX);
    Settings {
        retry_timeout: secs(common.patience),
        resubmit_timeout: secs(common.resubmit),
        ..Settings::new(common.node.clone())
    }
}

/// Carries out `marbledeck job ...`.
pub fn job(command: JobCommand) -> ExitCode {
    finish(jobs::carry_out(command))
}

/// Carries out `marbledeck session ...`.
pub fn session(command: SessionCommand) -> ExitCode {
    finish(sessions::carry_out(command))
}

/// Carries out `marbledeck queues`, `machines` and `capabilities`.
pub fn node(command: NodeCommand) -> ExitCode {
    finish(sessions::node(command))
}

fn finish(result: Result<Status, Failure>) -> ExitCode {
    match result {
        Ok(status) => status.into(),
        Err(Failure::Node(error)) => {
            eprintln!("marbledeck: {error}");
            let wait = error.problem().and_then(|p| p.retry_after_ms);
            if let Some(ms) = wait {
                eprintln!("marbledeck: come back in {:.1} s", ms as f64 / 1000.0);
            }
            Status::of(&error).into()
        }
        Err(Failure::Here(what)) => {
            eprintln!("marbledeck: {what}");
            ExitCode::from(2)
        }
    }
}

/// Why a command was not carried out.
pub(crate) enum Failure {
    /// What the node said, or that it said nothing.
    Node(Error),
    /// What was asked for makes no sense here.
    Here(String),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Failure::Node(error)
    }
}
