//! The error of this crate, with advice for operators.

use std::io;

/// An error of opening a store or of writing to it.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The directory or the file in it cannot be accessed.
    #[error("store: cannot access its directory or file: {0}")]
    Directory(#[source] io::Error),
    /// Another process has the store open.
    #[error("store: another process has it open")]
    InUse,
    /// The file is damaged, or of another format.
    #[error("store: the file is damaged: {0}")]
    Damaged(String),
    /// The write failed. It may be retried.
    #[error("store: write failed: {0}; nothing is promised until it can be written")]
    WriteFailed(String),
}

impl StoreError {
    /// Advice for the operator.
    pub fn advice(&self) -> &'static str {
        match self {
            StoreError::Directory(_) => {
                "check that the folder under `store` exists, is writable and is used by one process only"
            }
            StoreError::InUse => "stop the other process, or give each node a `store` of its own",
            StoreError::Damaged(_) => {
                "set the folder aside and keep it; replace this voter under a new number"
            }
            StoreError::WriteFailed(_) => {
                "free some disk space; the node resumes by itself once writes succeed"
            }
        }
    }

    pub(crate) fn write_failed(error: impl Into<redb::Error>) -> Self {
        StoreError::WriteFailed(error.into().to_string())
    }

    /// A file that can be opened but not read is damaged, unless the disk itself failed.
    pub(crate) fn read_failed(error: impl Into<redb::Error>) -> Self {
        match error.into() {
            redb::Error::Io(error) => StoreError::Directory(error),
            error => StoreError::Damaged(error.to_string()),
        }
    }
}
