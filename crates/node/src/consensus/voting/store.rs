//! The layout of a voter's store: reads it at the start, and builds the batches that are written.

use super::VotingError;
use crate::consensus::config::ConsensusConfig;
use marbledeck_consensus::{PersistRequest, PersistedState};
use marbledeck_storage::{Store, StoredContents, WriteBatch};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::os::unix::net::UnixStream;

/// Names of the stored values; the log is stored beside them.
const HARD_STATE: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const ADMITTED: &str = "proven";
/// Prefix of the values that hold other voters' store numbers.
const VOTER_PREFIX: &str = "voter/";

/// An open store and its contents.
pub(super) struct OpenedStore {
    pub(super) store: Store,
    /// The store's number.
    pub(super) number: u64,
    /// The voter's persisted state.
    pub(super) durable: PersistedState,
    /// Whether all other voters have welcomed this store.
    pub(super) is_admitted: bool,
    /// The other voters' store numbers, by the voters' numbers.
    pub(super) known_stores: BTreeMap<u64, u64>,
}

/// Opens the store, or creates it.
///
/// # Errors
/// The store cannot be used, or another process uses it.
pub(super) fn open(
    config: &ConsensusConfig,
    signal: UnixStream,
) -> Result<OpenedStore, VotingError> {
    let (store, contents) = Store::open(&config.store, random_store_number(), signal)?;
    let StoredContents {
        store_number: number,
        values,
        entries,
    } = contents;
    let mut opened = OpenedStore {
        store,
        number,
        durable: PersistedState {
            entries,
            ..PersistedState::default()
        },
        is_admitted: false,
        known_stores: BTreeMap::new(),
    };
    for (name, value) in values {
        match name.as_str() {
            HARD_STATE => opened.durable.hard_state = Some(value),
            SNAPSHOT => opened.durable.snapshot = Some(value),
            ADMITTED => opened.is_admitted = true,
            name => {
                let voter = name.strip_prefix(VOTER_PREFIX);
                let voter = voter.and_then(|number| number.parse().ok());
                opened.known_stores.extend(voter.zip(decode_number(&value)));
            }
        }
    }
    Ok(opened)
}

/// A batch that marks the store as welcomed by all other voters.
pub(super) fn admission_batch() -> WriteBatch {
    WriteBatch {
        values: vec![(ADMITTED.to_owned(), Some(vec![1]))],
        ..WriteBatch::default()
    }
}

/// A batch that records another voter's store number.
pub(super) fn known_store_batch(voter: u64, store: u64) -> WriteBatch {
    let name = format!("{VOTER_PREFIX}{voter}");
    WriteBatch {
        values: vec![(name, Some(store.to_be_bytes().to_vec()))],
        ..WriteBatch::default()
    }
}

/// A batch of the state that the voter wants to be durable.
pub(super) fn persist_batch(request: PersistRequest) -> WriteBatch {
    let mut batch = WriteBatch {
        entries: request.entries,
        ..WriteBatch::default()
    };
    let hard_state = request
        .hard_state
        .map(|hard| (HARD_STATE.to_owned(), Some(hard)));
    batch.values.extend(hard_state);
    if let Some(snapshot) = request.snapshot {
        batch
            .values
            .push((SNAPSHOT.to_owned(), Some(snapshot.bytes)));
        let covered = if request.replaces_log {
            u64::MAX
        } else {
            snapshot.index
        };
        batch.drop_entries_to = Some(covered);
    }
    batch
}

/// A random number for a new store, unlikely to be that of another one. Its lowest bit is set, so that it is never 0.
fn random_store_number() -> u64 {
    RandomState::new().hash_one(std::process::id()) | 1
}

fn decode_number(bytes: &[u8]) -> Option<u64> {
    let bytes = bytes.first_chunk::<8>()?;
    Some(u64::from_be_bytes(*bytes))
}
