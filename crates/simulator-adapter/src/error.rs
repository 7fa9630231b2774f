//! The errors that end the adapter before its input ends.

use marbledeck_platform_settings::PlatformSettingsError;
use std::io;
use thiserror::Error;

/// An error that ends the adapter. The message contains the number of the input line.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// A line of input cannot be read.
    #[error("line {number}: cannot read standard input: {source}")]
    Input {
        /// The line's number, from 1.
        number: u64,
        /// The I/O error.
        source: io::Error,
    },
    /// A batch cannot be answered.
    #[error("line {number}: {source}")]
    Batch {
        /// The line's number, from 1.
        number: u64,
        /// The problem with the batch.
        source: BatchError,
    },
    /// The output cannot be written.
    #[error("cannot write standard output: {0}")]
    Output(io::Error),
}

/// The problem with a batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not a batch in the format of the simulator.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The settings of an instance are invalid.
    #[error("instance {instance}: invalid settings: {source}")]
    Settings {
        /// The name of the instance.
        instance: String,
        /// The problem with the settings.
        source: PlatformSettingsError,
    },
    /// A message is addressed to an instance that is not attached.
    #[error("instance {instance}: received a message before 'attach'")]
    NotAttached {
        /// The name of the instance.
        instance: String,
    },
}
