//! The Raft log in memory, with the last snapshot of the replicated state. Persisting it is left to the caller.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};

/// The storage that the `raft` library reads.
pub struct Log {
    entries: MemStorage,
    /// The last snapshot; the library sends it to a voter that is far behind.
    snapshot: Snapshot,
}

impl Log {
    /// Creates the empty log of a new group of these voters.
    pub fn new(voters: &[u64]) -> Self {
        Log {
            entries: MemStorage::new_with_conf_state((voters.to_vec(), Vec::new())),
            snapshot: Snapshot::default(),
        }
    }

    /// Appends entries, replacing any with the same or a later index.
    pub fn append(&self, entries: &[Entry]) -> raft::Result<()> {
        self.entries.wl().append(entries)
    }

    /// Replaces the log by this snapshot.
    pub fn install(&mut self, snapshot: &Snapshot) -> raft::Result<()> {
        self.entries.wl().apply_snapshot(snapshot.clone())?;
        self.snapshot = snapshot.clone();
        Ok(())
    }

    /// Sets this snapshot and drops the entries that it covers, except for the last `retained`: voters that are only a
    /// little behind are sent these entries instead of the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot, retained: u64) -> raft::Result<()> {
        let index = snapshot.get_metadata().index.saturating_sub(retained);
        self.snapshot = snapshot;
        self.entries.wl().compact(index)
    }

    /// Sets the term, the vote and the commit index.
    pub fn set_hard_state(&mut self, hard_state: HardState) {
        self.entries.wl().set_hardstate(hard_state);
    }

    /// The voters of the group.
    pub fn conf_state(&self) -> ConfState {
        let state = self.entries.initial_state();
        state.map(|state| state.conf_state).unwrap_or_default()
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.entries.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.entries.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot.get_metadata().index && index > 0 {
            Ok(self.snapshot.get_metadata().term)
        } else {
            self.entries.term(index)
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.entries.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.entries.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index >= request_index.max(1) {
            Ok(self.snapshot.clone())
        } else {
            let unavailable = raft::StorageError::SnapshotTemporarilyUnavailable;
            Err(raft::Error::Store(unavailable))
        }
    }
}
