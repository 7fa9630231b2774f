//! Writes to the voter's store. The storage crate's thread carries them out and reports when they are durable.

use super::{Admission, Voting};
use marbledeck_dispatcher::Micros;
use marbledeck_storage::{CompletionEvent, WriteBatch};
use std::io::Read;

/// What a write contains, which decides what follows once it is durable.
pub(super) enum WriteKind {
    /// State of the voter, with the voter's own ticket.
    Voter(u64),
    /// The store number of the other voter with this number.
    KnownStore(u64),
    /// The mark that all other voters have welcomed this store.
    Admission,
}

impl Voting {
    /// Submits writes of the backlog while the disk thread's queue has room.
    pub(super) fn write_backlog(&mut self) {
        while let Some(write) = self.backlog.pop_front() {
            if self.disk.submit(write.clone()).is_err() {
                self.backlog.push_front(write);
                break;
            }
        }
    }

    /// Submits a write, or appends it to the backlog where the disk thread's queue is full.
    pub(super) fn write(&mut self, kind: WriteKind, mut write: WriteBatch) {
        self.last_write += 1;
        write.ticket = self.last_write;
        self.pending_writes.push_back((self.last_write, kind));
        if !self.backlog.is_empty() || self.disk.submit(write.clone()).is_err() {
            // The voter takes no new entries until the disk has caught up.
            self.voter.suspend();
            self.backlog.push_back(write);
        }
    }

    /// Handles what the disk thread has reported: durable writes, or a stall.
    pub(in crate::consensus) fn handle_disk_signal(&mut self, now: Micros) {
        let mut bytes = [0; 64];
        while matches!(self.disk_pipe.read(&mut bytes), Ok(length) if length > 0) {}
        for event in self.disk.take_events() {
            match event {
                CompletionEvent::Persisted(ticket) => self.handle_written(now, ticket),
                CompletionEvent::Stalled(e) => {
                    if !std::mem::replace(&mut self.is_stalled, true) {
                        log::error!(
                            "consensus: the disk rejects writes, so this voter pauses: {e}: {}",
                            e.advice()
                        );
                    }
                    self.voter.suspend();
                }
            }
        }
    }

    /// Finishes all writes up to this ticket, which are durable now.
    fn handle_written(&mut self, now: Micros, ticket: u64) {
        if std::mem::take(&mut self.is_stalled) {
            log::info!("consensus: the disk takes writes again; this voter resumes");
        }
        while let Some((_, kind)) = self
            .pending_writes
            .pop_front_if(|(written, _)| *written <= ticket)
        {
            self.finish_write(now, kind);
        }
    }

    fn finish_write(&mut self, now: Micros, kind: WriteKind) {
        match kind {
            WriteKind::Voter(ticket) => self.voter.handle_persisted(ticket),
            // `answer_hellos` answers the voter at its next call.
            WriteKind::KnownStore(voter) => {
                let store = self.unwritten_stores.remove(&voter);
                self.known_stores.extend(store.map(|store| (voter, store)));
            }
            WriteKind::Admission => {
                log::info!(
                    "consensus: all other voters have admitted this store; this node votes now"
                );
                if !matches!(self.admission, Admission::Denied) {
                    self.admission = Admission::Admitted;
                }
                self.next_tick = now;
            }
        }
    }
}
