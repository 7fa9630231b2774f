//! The error of the seat allocator, with advice for operators.

/// Why no seat was granted. Each variant names the licence.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SeatError {
    /// All seats that this node holds are in use.
    #[error("no seat of '{0}' is free here")]
    NoneFree(String),
    /// The node's lease on the agreed records has expired.
    #[error("no voter has confirmed this node's seats of '{0}' lately")]
    Unconfirmed(String),
    /// The agreed records contain no pool for this licence.
    #[error("there is no pool of seats '{0}'")]
    UnknownPool(String),
}

impl SeatError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            SeatError::NoneFree(_) => {
                "wait, or raise the pool's seats, if the licence has more; `records` shows who holds them"
            }
            SeatError::Unconfirmed(_) => {
                "see to it that this node reaches a voter, and that a majority of voters runs"
            }
            SeatError::UnknownPool(_) => "set the record seats/NAME at the operators' address",
        }
    }
}
