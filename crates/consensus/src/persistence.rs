//! The data that a voter has its caller persist, and the restoration of a voter from it.

use crate::error::ConsensusError;
use crate::log::Log;
use crate::state::ReplicatedState;
use crate::voter::LogPosition;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};

/// A log entry as it is stored: its index and its encoded form.
pub type EncodedEntry = (u64, Vec<u8>);

/// A snapshot of the replicated state as it is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct EncodedSnapshot {
    /// Index of the last log entry that the snapshot covers.
    pub index: u64,
    /// Its encoded form.
    pub bytes: Vec<u8>,
}

/// The persisted data from which a voter starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// The encoded term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
    /// The encoded snapshot of the replicated state.
    pub snapshot: Option<Vec<u8>>,
    /// Log entries, in the order of their indexes.
    pub entries: Vec<EncodedEntry>,
}

/// Data to persist atomically. Requests must be persisted in the order of their tickets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistRequest {
    /// To be passed to [`crate::Voter::handle_persisted`] once all of it is durable.
    pub ticket: u64,
    /// The encoded term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
    /// A snapshot. Stored entries that it covers may be dropped.
    pub snapshot: Option<EncodedSnapshot>,
    /// Whether the snapshot came from another voter, so that all stored entries must be dropped.
    pub replaces_log: bool,
    /// Log entries. Stored entries from the first of these indexes on must be dropped.
    pub entries: Vec<EncodedEntry>,
}

impl PersistRequest {
    /// Whether there is nothing to persist.
    pub(crate) fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// A voter's state as it was restored from its store.
pub(crate) struct RestoredState {
    pub log: Log,
    pub state: ReplicatedState,
    pub applied: LogPosition,
}

fn corrupt(error: impl std::fmt::Display) -> ConsensusError {
    ConsensusError::CorruptState(error.to_string())
}

/// Restores a voter's log and state.
///
/// # Errors
/// The stored state is damaged or incomplete.
pub(crate) fn restore(
    voters: &[u64],
    persisted: &PersistedState,
) -> Result<RestoredState, ConsensusError> {
    let mut log = Log::new(voters);
    let mut state = ReplicatedState::default();
    let mut applied = LogPosition::default();
    if let Some(bytes) = &persisted.snapshot {
        let snapshot = Snapshot::parse_from_bytes(bytes).map_err(corrupt)?;
        applied = LogPosition::of_snapshot(&snapshot);
        state = serde_json::from_slice(&snapshot.data).map_err(corrupt)?;
        log.install(&snapshot).map_err(corrupt)?;
    }
    let entries = decode_entries(&persisted.entries, applied.index)?;
    log.append(&entries).map_err(corrupt)?;
    if let Some(bytes) = &persisted.hard_state {
        let mut hard_state = HardState::parse_from_bytes(bytes).map_err(corrupt)?;
        let last_index = entries.last().map_or(applied.index, |last| last.index);
        if hard_state.commit > last_index {
            return Err(corrupt("the log ends before the stored commit index"));
        }
        hard_state.commit = hard_state.commit.max(applied.index);
        hard_state.term = hard_state.term.max(applied.term);
        log.set_hard_state(hard_state);
    }
    Ok(RestoredState {
        log,
        state,
        applied,
    })
}

/// Decodes the entries after the snapshot, which must follow it without a gap.
fn decode_entries(
    encoded: &[EncodedEntry],
    snapshot_index: u64,
) -> Result<Vec<Entry>, ConsensusError> {
    let mut entries: Vec<Entry> = Vec::new();
    for (index, bytes) in encoded {
        let entry = Entry::parse_from_bytes(bytes).map_err(corrupt)?;
        if entry.index != *index {
            return Err(corrupt(
                "a log entry is stored under another index than its own",
            ));
        }
        if *index <= snapshot_index {
            continue;
        }
        let previous_index = entries.last().map_or(snapshot_index, |last| last.index);
        if *index != previous_index + 1 {
            return Err(corrupt("the log has a gap before one of its entries"));
        }
        entries.push(entry);
    }
    Ok(entries)
}
