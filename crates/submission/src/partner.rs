//! The other process of a node while one process replaces the other.

/// A process with which this process exchanges jobs during an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partner {
    /// The process that this one replaces.
    Predecessor,
    /// The process that replaces this one.
    Successor,
}
