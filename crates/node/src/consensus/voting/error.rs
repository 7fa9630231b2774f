//! Why a node does not vote.

use marbledeck_consensus::ConsensusError;
use marbledeck_storage::StoreError;
use std::io;

/// Why this node does not vote.
#[derive(Debug, thiserror::Error)]
pub(in crate::consensus) enum VotingError {
    /// The system has no descriptor left.
    #[error(transparent)]
    Descriptors(#[from] io::Error),
    /// The store cannot be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// What is stored makes no voter.
    #[error(transparent)]
    Voter(#[from] ConsensusError),
}

impl VotingError {
    /// What an operator can do.
    pub(in crate::consensus) fn advice(&self) -> &'static str {
        match self {
            VotingError::Descriptors(_) => "raise the limit of descriptors",
            VotingError::Store(error) => error.advice(),
            VotingError::Voter(error) => error.advice(),
        }
    }

    /// Whether another process has the store: it may be had later.
    pub(in crate::consensus) fn is_temporary(&self) -> bool {
        matches!(self, VotingError::Store(StoreError::InUse))
    }
}
