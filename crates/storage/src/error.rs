//! The error of this crate, with advice for operators.

use std::io;

/// Why a store cannot be opened, or a write failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The directory or the file in it cannot be accessed.
    #[error("store: {0}")]
    Directory(#[source] io::Error),
    /// Another process has opened the store.
    #[error("store: another process uses it")]
    InUse,
    /// The file is damaged, or of another format.
    #[error("store: the file is damaged: {0}")]
    Damaged(String),
    /// The write failed. It may be tried again.
    #[error("store: {0}; nothing is promised until it can be written")]
    WriteFailed(String),
}

impl StoreError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            StoreError::Directory(_) => {
                "see that the folder under `store` is there, can be written and is used by one process"
            }
            StoreError::InUse => "end the other process, or give each node a `store` of its own",
            StoreError::Damaged(_) => {
                "set the folder aside and keep it; replace this voter under a new number"
            }
            StoreError::WriteFailed(_) => {
                "make room on the disk; the node goes on by itself once there is"
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
