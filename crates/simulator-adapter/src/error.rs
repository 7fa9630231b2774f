//! Why the adapter ends before its input does.

use marbledeck_platform_settings::PlatformSettingsError;
use std::io;
use thiserror::Error;

/// Why the adapter ends. The message names the line of input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input cannot be read.
    #[error("line {number}: {source}")]
    Input {
        /// The line's number, from 1.
        number: u64,
        /// What the system reports.
        source: io::Error,
    },
    /// A batch cannot be answered.
    #[error("line {number}: {source}")]
    Batch {
        /// The line's number, from 1.
        number: u64,
        /// What is wrong with it.
        source: BatchError,
    },
    /// The output cannot be written.
    #[error("standard output: {0}")]
    Output(io::Error),
}

/// What is wrong with a batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// It is not in the form of the wire.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// An instance was given settings that it cannot work with.
    #[error("{instance}: {source}")]
    Settings {
        /// The instance.
        instance: String,
        /// What is wrong with them.
        source: PlatformSettingsError,
    },
    /// An instance has not been attached.
    #[error("{instance}: a message before 'attach'")]
    NotAttached {
        /// The instance.
        instance: String,
    },
}
