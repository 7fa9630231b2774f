//! What a voter has stored durably, and how it is written.

use super::VotingError;
use crate::consensus::config::ConsensusConfig;
use marbledeck_consensus::{PersistRequest, PersistedState};
use marbledeck_storage::{Store, StoredContents, WriteBatch};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::os::unix::net::UnixStream;

/// The names of what is stored besides the log.
const HARD_STATE: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const ADMITTED: &str = "proven";
/// What the names of the numbers of other voters' stores begin with.
const VOTER_PREFIX: &str = "voter/";

/// A store that was opened, and what it holds.
pub(super) struct OpenedStore {
    pub(super) store: Store,
    /// The store's number.
    pub(super) number: u64,
    /// The voter's state.
    pub(super) durable: PersistedState,
    /// Whether all other voters have taken this store for the one of this voter, once.
    pub(super) is_admitted: bool,
    /// The numbers of the other voters' stores.
    pub(super) known_stores: BTreeMap<u64, u64>,
}

/// Opens the store, or makes a new one.
///
/// # Errors
/// It cannot be used, or another process uses it.
pub(super) fn open(
    config: &ConsensusConfig,
    signal: UnixStream,
) -> Result<OpenedStore, VotingError> {
    let (store, loaded) = Store::open(&config.store, draw_number(), signal)?;
    let StoredContents {
        store_number: number,
        values,
        entries,
    } = loaded;
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

/// Notes that all other voters know this store.
pub(super) fn write_admitted() -> WriteBatch {
    WriteBatch {
        values: vec![(ADMITTED.to_owned(), Some(vec![1]))],
        ..WriteBatch::default()
    }
}

/// Notes the number of another voter's store.
pub(super) fn write_known_store(voter: u64, store: u64) -> WriteBatch {
    let name = format!("{VOTER_PREFIX}{voter}");
    WriteBatch {
        values: vec![(name, Some(store.to_be_bytes().to_vec()))],
        ..WriteBatch::default()
    }
}

/// Writes what the voter wants to be durable.
pub(super) fn write_save(save: PersistRequest) -> WriteBatch {
    let mut write = WriteBatch {
        entries: save.entries,
        ..WriteBatch::default()
    };
    let hard_state = save
        .hard_state
        .map(|hard| (HARD_STATE.to_owned(), Some(hard)));
    write.values.extend(hard_state);
    if let Some(snapshot) = save.snapshot {
        write
            .values
            .push((SNAPSHOT.to_owned(), Some(snapshot.bytes)));
        let covered = if save.replaces_log {
            u64::MAX
        } else {
            snapshot.index
        };
        write.drop_entries_to = Some(covered);
    }
    write
}

/// A number that no other store has.
fn draw_number() -> u64 {
    RandomState::new().hash_one(std::process::id()) | 1
}

fn decode_number(bytes: &[u8]) -> Option<u64> {
    let bytes = bytes.first_chunk::<8>()?;
    Some(u64::from_be_bytes(*bytes))
}
