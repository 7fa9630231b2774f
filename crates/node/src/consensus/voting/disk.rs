//! The writes to the store, which a thread of its own carries out, and what follows once they are durable.

use super::{Admission, Voting};
use marbledeck_dispatcher::Micros;
use marbledeck_storage::{CompletionEvent, WriteBatch};
use std::io::Read;

/// What was written.
pub(super) enum Purpose {
    /// State of the voter, with the voter's ticket.
    Voter(u64),
    /// The number of this other voter's store.
    KnownStore(u64),
    /// That all other voters know this store.
    Admission,
}

impl Voting {
    /// Hands over the writes for which there was no room, as far as there is now.
    pub(super) fn write_backlog(&mut self) {
        while let Some(write) = self.backlog.pop_front() {
            if self.disk.submit(write.clone()).is_err() {
                self.backlog.push_front(write);
                break;
            }
        }
    }

    /// Has something written.
    pub(super) fn write(&mut self, purpose: Purpose, mut write: WriteBatch) {
        self.writes += 1;
        write.ticket = self.writes;
        self.purposes.push_back((self.writes, purpose));
        if !self.backlog.is_empty() || self.disk.submit(write.clone()).is_err() {
            // The disk is far behind: nothing more is taken in before it has caught up.
            self.voter.suspend();
            self.backlog.push_back(write);
        }
    }

    /// The disk's thread has done something.
    pub(in crate::consensus) fn handle_disk_signal(&mut self, now: Micros) {
        let mut bytes = [0; 64];
        while matches!(self.disk_pipe.read(&mut bytes), Ok(length) if length > 0) {}
        for done in self.disk.take_events() {
            match done {
                CompletionEvent::Persisted(ticket) => self.handle_written(now, ticket),
                CompletionEvent::Stalled(e) => {
                    if !std::mem::replace(&mut self.is_stalled, true) {
                        log::error!("agreement: {e}: {}", e.advice());
                    }
                    self.voter.suspend();
                }
            }
        }
    }

    /// All writes up to this one are durable.
    fn handle_written(&mut self, now: Micros, ticket: u64) {
        if std::mem::take(&mut self.is_stalled) {
            log::info!("agreement: the disk takes writes again; this voter takes part again");
        }
        while let Some((_, purpose)) = self
            .purposes
            .pop_front_if(|(written, _)| *written <= ticket)
        {
            self.finish_write(now, purpose);
        }
    }

    fn finish_write(&mut self, now: Micros, purpose: Purpose) {
        match purpose {
            Purpose::Voter(ticket) => self.voter.handle_persisted(ticket),
            // Those that have sent who they are, are answered now.
            Purpose::KnownStore(voter) => {
                let store = self.unwritten_stores.remove(&voter);
                self.known_stores.extend(store.map(|store| (voter, store)));
            }
            Purpose::Admission => {
                log::info!("agreement: all voters know this store; it votes");
                if !matches!(self.admission, Admission::Denied) {
                    self.admission = Admission::Admitted;
                }
                self.next_tick = now;
            }
        }
    }
}
