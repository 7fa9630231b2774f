//! Processes a `Ready` of the consensus library: messages, entries to persist and to apply, snapshots.

use super::{AppliedCommand, Effects, HeldMessages, LogPosition, Voter};
use crate::command::Command;
use crate::persistence::{EncodedSnapshot, PersistRequest};
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Snapshot};
use raft::Ready;

/// Number of applied entries after which a snapshot replaces the log before it.
const SNAPSHOT_INTERVAL: u64 = 2000;
/// Number of entries before a snapshot that stay in the log, for voters that are only a little behind.
const RETAINED_ENTRIES: u64 = 500;

fn encode_snapshot(snapshot: &Snapshot) -> EncodedSnapshot {
    EncodedSnapshot {
        index: snapshot.get_metadata().index,
        bytes: snapshot.write_to_bytes().unwrap_or_default(),
    }
}

impl Voter {
    /// Processes one `Ready` of the library. Returns `None` if the voter has stopped or the log rejected an update.
    pub(super) fn process_ready(&mut self, effects: &mut Effects) -> Option<()> {
        let mut ready = self.with_raft(raft::RawNode::ready)?;
        let ticket = ready.number();
        self.send(ready.take_messages(), effects);
        let mut request = PersistRequest {
            ticket,
            ..PersistRequest::default()
        };
        self.install_snapshot(ready.snapshot(), &mut request)?;
        self.append_entries(&ready.take_entries(), &mut request)?;
        self.update_hard_state(&ready, &mut request)?;
        for read in ready.take_read_states() {
            self.reads.handle_read_index(&read.request_ctx, read.index);
        }
        let committed = ready.take_committed_entries();
        let messages = ready.take_persisted_messages();
        self.held_messages
            .push_back(HeldMessages { ticket, messages });
        self.with_raft(|raft| raft.advance_append_async(ready))?;
        for entry in &committed {
            self.apply_entry(entry, effects);
        }
        if request.replaces_log {
            self.installing_ticket = Some(ticket);
        }
        if self.installing_ticket.is_none() {
            self.with_raft(raft::RawNode::advance_apply)?;
        }
        self.compact_log(&mut request);
        if request.is_empty() && self.unpersisted_tickets.is_empty() {
            self.with_raft(|raft| raft.on_persist_ready(ticket))?;
        } else {
            self.unpersisted_tickets.push_back(ticket);
            effects.persist_requests.push(request);
        }
        Some(())
    }

    /// Replaces log and state by a snapshot received from another voter, if there is one.
    fn install_snapshot(
        &mut self,
        snapshot: &Snapshot,
        request: &mut PersistRequest,
    ) -> Option<()> {
        let metadata = snapshot.get_metadata();
        if metadata.conf_state.is_none() || metadata.index == 0 {
            return Some(());
        }
        match serde_json::from_slice(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => {
                self.stop_reason = Some(format!(
                    "a snapshot from another voter cannot be decoded: {error}"
                ));
                return None;
            }
        }
        self.applied = LogPosition::of_snapshot(snapshot);
        self.snapshot_index = metadata.index;
        request.snapshot = Some(encode_snapshot(snapshot));
        request.replaces_log = true;
        self.with_raft(|raft| raft.mut_store().install(snapshot))?
            .ok()
    }

    fn append_entries(&mut self, entries: &[Entry], request: &mut PersistRequest) -> Option<()> {
        let encode = |entry: &Entry| (entry.index, entry.write_to_bytes().unwrap_or_default());
        request.entries = entries.iter().map(encode).collect();
        self.with_raft(|raft| raft.store().append(entries))?.ok()
    }

    fn update_hard_state(&mut self, ready: &Ready, request: &mut PersistRequest) -> Option<()> {
        if let Some(hard_state) = ready.hs() {
            let hard_state = hard_state.clone();
            if ready.must_sync() {
                request.hard_state = Some(hard_state.write_to_bytes().unwrap_or_default());
            }
            self.with_raft(|raft| raft.mut_store().set_hard_state(hard_state))?;
        }
        Some(())
    }

    fn apply_entry(&mut self, entry: &Entry, effects: &mut Effects) {
        self.applied = LogPosition {
            term: entry.term,
            index: entry.index,
        };
        // A new leader's first entry is empty.
        if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
            return;
        }
        // An entry that cannot be decoded here cannot be decoded at any voter, so that all voters skip it.
        if let Ok(command) = serde_json::from_slice::<Command>(&entry.data) {
            let outcome = self.state.apply(&command);
            effects.applied.push(AppliedCommand { command, outcome });
        }
    }

    /// Takes a snapshot and drops the log before it, once `SNAPSHOT_INTERVAL` entries were applied since the last one.
    fn compact_log(&mut self, request: &mut PersistRequest) {
        let LogPosition { term, index } = self.applied;
        if index - self.snapshot_index < SNAPSHOT_INTERVAL || request.snapshot.is_some() {
            return;
        }
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = index;
        snapshot.mut_metadata().term = term;
        let conf_state = self.raft.store().conf_state();
        snapshot.mut_metadata().set_conf_state(conf_state);
        snapshot.data = serde_json::to_vec(&self.state).unwrap_or_default().into();
        self.snapshot_index = index;
        request.snapshot = Some(encode_snapshot(&snapshot));
        self.with_raft(|raft| drop(raft.mut_store().compact(snapshot, RETAINED_ENTRIES)));
    }
}
