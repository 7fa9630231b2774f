//! How the voters make sure that each has the store that it had before.
//!
//! A voter sends the number of its store to all others. Each notes the first number that a voter sends, durably, and
//! welcomes that store alone. A voter that all others have welcomed is admitted.

use super::{store, Output, Purpose, Voting};
use crate::net::Token;
use std::collections::BTreeSet;

/// The answer to a voter that has sent who it is.
pub(in crate::consensus) struct HelloReply {
    /// The voter's connection.
    pub(in crate::consensus) connection: Token,
    /// The voter's number.
    pub(in crate::consensus) voter: u64,
    /// Whether its store is the one that is known.
    pub(in crate::consensus) is_known: bool,
}

/// A voter that has sent who it is, and has no answer yet.
pub(super) struct Hello {
    connection: Token,
    voter: u64,
    store: u64,
}

/// Whether this store may vote under this voter's number. One that has lost its store has forgotten its promises.
pub(super) enum Admission {
    /// It may not yet: these of the other voters have taken it for the one of this number.
    Pending { welcomed_by: BTreeSet<u64> },
    /// It may, since all others have, once.
    Admitted,
    /// It may not: another voter knows this number with another store.
    Denied,
}

impl Voting {
    /// The voters that this one is to connect to, so that they know it.
    pub(in crate::consensus) fn missing_welcomes(&self) -> Vec<u64> {
        let Admission::Pending { welcomed_by } = &self.admission else {
            return Vec::new();
        };
        let others = self.others.iter().copied();
        others
            .filter(|voter| !welcomed_by.contains(voter))
            .collect()
    }

    /// Another voter has taken this store for the one of this number.
    pub(in crate::consensus) fn handle_welcome(&mut self, voter: u64) {
        let Admission::Pending { welcomed_by } = &mut self.admission else {
            return;
        };
        welcomed_by.insert(voter);
        if welcomed_by.len() == self.others.len() {
            self.write(Purpose::Admission, store::write_admitted());
        }
    }

    /// Another voter knows this number with another store.
    pub(in crate::consensus) fn handle_denial(&mut self, voter: u64) {
        if matches!(self.admission, Admission::Denied) {
            return;
        }
        self.admission = Admission::Denied;
        log::error!(
            "agreement: voter {voter} knows voter {} with another store: what this one had promised is forgotten, and \
             it does not vote. Put its old store back, or replace the voter under a new number",
            self.id
        );
    }

    /// Another voter sends who it is. It is answered once its store's number is noted durably.
    pub(in crate::consensus) fn handle_hello(&mut self, connection: Token, voter: u64, store: u64) {
        self.hellos.push(Hello {
            connection,
            voter,
            store,
        });
    }

    /// Answers those whose stores are durably noted, and has the others noted.
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
                let write = store::write_known_store(voter, hello.store);
                self.write(Purpose::KnownStore(voter), write);
                self.unwritten_stores.insert(voter, hello.store);
            }
            // The last connection of a voter is the one that counts.
            self.hellos.retain(|other| other.voter != voter);
            self.hellos.push(hello);
        }
    }
}
