//! The log as the consensus library reads it: in memory, with snapshots of the book. What of it is durable is the
//! carrier's to say.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};

pub struct Log {
    pub mem: MemStorage,
    /// The last snapshot of the book; the library asks for it where a voter is far behind.
    snapshot: Snapshot,
}

impl Log {
    /// The log of a new fleet of these voters.
    pub fn new(voters: &[u64]) -> Self {
        let mem = MemStorage::new_with_conf_state((voters.to_vec(), Vec::new()));
        Log {
            mem,
            snapshot: Snapshot::default(),
        }
    }

    /// Goes on from this snapshot, and drops the entries before it.
    pub fn install(&mut self, snapshot: &Snapshot) -> raft::Result<()> {
        self.mem.wl().apply_snapshot(snapshot.clone())?;
        self.snapshot = snapshot.clone();
        Ok(())
    }

    /// Keeps a snapshot of what was applied, and drops the entries that are in it, but for some: a voter that is little
    /// behind is told entries.
    pub fn compact(&mut self, snapshot: Snapshot, keep: u64) -> raft::Result<()> {
        let index = snapshot.get_metadata().index.saturating_sub(keep);
        self.snapshot = snapshot;
        self.mem.wl().compact(index)
    }

    pub fn set_hard_state(&mut self, hard: HardState) {
        self.mem.wl().set_hardstate(hard);
    }

    pub fn conf_state(&self) -> ConfState {
        self.mem
            .initial_state()
            .map(|state| state.conf_state)
            .unwrap_or_default()
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.mem.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.mem.entries(low, high, max_size, context)
    }

    fn term(&self, idx: u64) -> raft::Result<u64> {
        match idx == self.snapshot.get_metadata().index && idx > 0 {
            true => Ok(self.snapshot.get_metadata().term),
            false => self.mem.term(idx),
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.mem.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.mem.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        match self.snapshot.get_metadata().index >= request_index.max(1) {
            true => Ok(self.snapshot.clone()),
            false => Err(raft::Error::Store(
                raft::StorageError::SnapshotTemporarilyUnavailable,
            )),
        }
    }
}
