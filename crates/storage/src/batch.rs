//! What is written to a store and read from it.

/// Changes that are made durable atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Reported back once the batch is durable. Greater than that of the batch before.
    pub ticket: u64,
    /// Values by name; `None` removes a value.
    pub values: Vec<(String, Option<Vec<u8>>)>,
    /// Removes the log entries up to this index, before the new ones are added.
    pub drop_entries_to: Option<u64>,
    /// New log entries, by index. Stored entries from the first of them on are removed.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// What a store contains when it is opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredContents {
    /// The store's own number, which it was created with.
    pub store_number: u64,
    /// Values by name.
    pub values: Vec<(String, Vec<u8>)>,
    /// Log entries, in the order of their indexes.
    pub entries: Vec<(u64, Vec<u8>)>,
}
