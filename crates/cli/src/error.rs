//! The error type of the commands.

use crate::Status;
use marbledeck_submission_client::Error;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit status of a usage error, as clap sets it.
const USAGE_ERROR: u8 = 2;

/// Why a command has failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A request to the node has failed.
    #[error(transparent)]
    Request(#[from] Error),
    /// The file given with `--input` cannot be read.
    #[error("cannot read --input {}: {source}", path.display())]
    Input {
        /// The path of the file.
        path: PathBuf,
        /// Why it cannot be read.
        source: io::Error,
    },
}

impl CommandError {
    /// The number of milliseconds after which the node asks to retry, if it has sent one.
    pub(crate) fn retry_after_ms(&self) -> Option<u64> {
        match self {
            CommandError::Request(error) => error.problem()?.retry_after_ms,
            CommandError::Input { .. } => None,
        }
    }

    /// The exit status of the program for this error.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Request(error) => Status::of_error(error).into(),
            CommandError::Input { .. } => ExitCode::from(USAGE_ERROR),
        }
    }
}
