//! The other process of a node while one process replaces the other.

/// One of the two processes that this process can exchange jobs with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partner {
    /// The process that this one replaces.
    Predecessor,
    /// The process that replaces this one.
    Successor,
}
