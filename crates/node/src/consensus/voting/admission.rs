//! Admission of voters: a voter that has lost its store must not vote under its old number, since it has forgotten its
//! votes and its log.
//!
//! A voter sends the number of its store to all others. Each of them durably records the first store number that a voter
//! sends, and welcomes only that store. A voter is admitted once all others have welcomed it.

use super::{store, Output, Voting, WriteKind};
use crate::net::Token;
use std::collections::BTreeSet;

/// The answer to a voter that has identified itself.
pub(in crate::consensus) struct HelloReply {
    /// The voter's connection.
    pub(in crate::consensus) connection: Token,
    /// The voter's number.
    pub(in crate::consensus) voter: u64,
    /// Whether its store is the one recorded for its number.
    pub(in crate::consensus) is_known: bool,
}

/// A voter that has identified itself and was not answered yet.
pub(super) struct Hello {
    connection: Token,
    voter: u64,
    store: u64,
}

/// Whether this node may vote with its store.
pub(super) enum Admission {
    /// Not yet: only these of the other voters have welcomed the store.
    Pending { welcomed_by: BTreeSet<u64> },
    /// It may: all other voters have welcomed the store.
    Admitted,
    /// It may not: another voter has recorded another store for this node's number.
    Denied,
}

impl Voting {
    /// The voters that have not welcomed this store yet, to which this voter connects.
    pub(in crate::consensus) fn missing_welcomes(&self) -> Vec<u64> {
        let Admission::Pending { welcomed_by } = &self.admission else {
            return Vec::new();
        };
        let others = self.others.iter().copied();
        others
            .filter(|voter| !welcomed_by.contains(voter))
            .collect()
    }

    /// Another voter has welcomed this store. The last welcome leads to the admission.
    pub(in crate::consensus) fn handle_welcome(&mut self, voter: u64) {
        let Admission::Pending { welcomed_by } = &mut self.admission else {
            return;
        };
        welcomed_by.insert(voter);
        if welcomed_by.len() == self.others.len() {
            self.write(WriteKind::Admission, store::admission_batch());
        }
    }

    /// Another voter has recorded another store for this node's number: this node stops voting.
    pub(in crate::consensus) fn handle_denial(&mut self, voter: u64) {
        if matches!(self.admission, Admission::Denied) {
            return;
        }
        self.admission = Admission::Denied;
        log::error!(
            "consensus: voter {voter} knows voter {} with another store, so the votes and the log of its old store are \
             lost, and it does not vote. Put its old store back, or replace the voter under a new number",
            self.id
        );
    }

    /// Another voter has identified itself. It is answered once its store number is recorded durably.
    pub(in crate::consensus) fn handle_hello(&mut self, connection: Token, voter: u64, store: u64) {
        self.hellos.push(Hello {
            connection,
            voter,
            store,
        });
    }

    /// Answers the voters whose store numbers are recorded durably, and has those of the others written.
    pub(super) fn answer_hellos(&mut self, output: &mut Output) {
        for hello in std::mem::take(&mut self.hellos) {
            let voter = hello.voter;
            if let Some(known) = self.known_stores.get(&voter) {
                output.hello_replies.push(HelloReply {
                    connection: hello.connection,
                    voter,
                    is_known: *known == hello.store,
                });
                continue;
            }
            if !self.unwritten_stores.contains_key(&voter) {
                let write = store::known_store_batch(voter, hello.store);
                self.write(WriteKind::KnownStore(voter), write);
                self.unwritten_stores.insert(voter, hello.store);
            }
            // Only the last connection of a voter is answered.
            self.hellos.retain(|other| other.voter != voter);
            self.hellos.push(hello);
        }
    }
}
