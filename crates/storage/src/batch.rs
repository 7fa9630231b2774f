//! The data that is written to a store, and that is loaded from it.

/// Changes that are made durable atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Reported once the batch is durable. Must be greater than the ticket of the batch before.
    pub ticket: u64,
    /// Values by name; `None` removes a value.
    pub values: Vec<(String, Option<Vec<u8>>)>,
    /// Removes the log entries up to and including this index, before the new ones are added.
    pub drop_entries_to: Option<u64>,
    /// New log entries, by index. Stored entries from the first of them on are removed.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// The contents of a store when it is opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredContents {
    /// The number that the store was given when it was created.
    pub store_number: u64,
    /// Values by name.
    pub values: Vec<(String, Vec<u8>)>,
    /// Log entries, in the order of their indexes.
    pub entries: Vec<(u64, Vec<u8>)>,
}
