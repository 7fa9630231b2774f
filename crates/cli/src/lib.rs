//! Commands for batch submission: `marbledeck job ...`, `marbledeck session ...`, `marbledeck queues`, `machines` and
//! `capabilities`.
//!
//! Results go to standard output, as text or with `--json` as one object per line; everything else goes to standard
//! error. The exit status is a [`Status`].
#![forbid(unsafe_code)]

mod args;
mod context;
mod error;
mod jobs;
mod monitoring;
mod output;
mod parse;
mod sessions;
mod status;

pub use args::{Common, JobCommand, JobSelection, NodeCommand, SessionCommand, TemplateArgs};
pub use status::Status;

use error::CommandError;
use std::process::ExitCode;

/// Runs `marbledeck job ...`.
pub fn run_job_command(command: JobCommand) -> ExitCode {
    finish(jobs::run(command))
}

/// Runs `marbledeck session ...`.
pub fn run_session_command(command: SessionCommand) -> ExitCode {
    finish(sessions::run(command))
}

/// Runs `marbledeck queues`, `machines` and `capabilities`.
pub fn run_node_command(command: NodeCommand) -> ExitCode {
    finish(monitoring::run(command))
}

/// Reports an error and returns the exit status.
fn finish(result: Result<Status, CommandError>) -> ExitCode {
    let error = match result {
        Ok(status) => return status.into(),
        Err(error) => error,
    };
    eprintln!("marbledeck: {error}");
    if let Some(ms) = error.retry_after_ms() {
        eprintln!("marbledeck: retry in {:.1} s", ms as f64 / 1000.0);
    }
    error.exit_code()
}
