//! The error of starting a voter, with advice for operators.

use marbledeck_consensus::ConsensusError;
use marbledeck_storage::StoreError;
use std::io;

/// Why the voter of this node cannot start.
#[derive(Debug, thiserror::Error)]
pub(in crate::consensus) enum VotingError {
    /// No file descriptor is left.
    #[error(transparent)]
    Descriptors(#[from] io::Error),
    /// The store cannot be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The stored state is invalid.
    #[error(transparent)]
    Voter(#[from] ConsensusError),
}

impl VotingError {
    /// What an operator can do about it.
    pub(in crate::consensus) fn advice(&self) -> &'static str {
        match self {
            VotingError::Descriptors(_) => "raise the limit of open file descriptors",
            VotingError::Store(error) => error.advice(),
            VotingError::Voter(error) => error.advice(),
        }
    }

    /// Whether another process uses the store, so that opening it may succeed later.
    pub(in crate::consensus) fn is_temporary(&self) -> bool {
        matches!(self, VotingError::Store(StoreError::InUse))
    }
}
