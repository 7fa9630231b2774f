//! What the leader sees to: the seats of nodes that are gone, and those that ebb.

use crate::book::{Book, What};
use crate::reader::Terms;
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::Move;
use std::collections::BTreeMap;

/// Watches over seats while its voter leads. What it has seen counts from its own observation: a voter that has just
/// become the leader waits anew.
#[derive(Clone, Debug)]
pub struct Warden {
    terms: Terms,
    since: Micros,
    /// Each node's start, and when any voter heard it last.
    heard: BTreeMap<u32, (u64, Micros)>,
    /// When each ebb was first seen.
    seen: BTreeMap<(String, u64), Micros>,
}

impl Warden {
    /// The voter leads from now on.
    pub fn new(now: Micros, terms: Terms) -> Self {
        Warden {
            terms,
            since: now,
            heard: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    /// A voter has heard this start of a node.
    pub fn heard(&mut self, now: Micros, node: u32, boot: u64) {
        let (known, at) = self.heard.entry(node).or_insert((boot, now));
        if boot >= *known {
            (*known, *at) = (boot, now);
        }
    }

    /// What is to be proposed now. May be proposed again, until the book shows that it was done.
    pub fn due(&mut self, now: Micros, book: &Book) -> Vec<What> {
        let mut due = Vec::new();
        // A node that reads was heard within a lease; twice that, and nobody has for one of its own.
        let silence = Micros(2 * self.terms.overlap().0);
        for (node, boot) in book.seats().holders() {
            let (started, at) = self.heard.get(&node).copied().unwrap_or((boot, self.since));
            if started > boot || now - at > silence {
                due.push(What::Seats(Move::Reclaim { node, boot }));
            }
        }
        let mut seen = std::mem::take(&mut self.seen);
        for (pool, ebb, what) in book.seats().ebbing() {
            let key = (pool.to_owned(), ebb);
            let since = seen.remove(&key).unwrap_or(now);
            self.seen.insert(key, since);
            // Its holder's last reading is over, and the last call that it began then.
            let run = Micros::from_secs_f64(
                what.longest_run_ms as f64 / 1000.0 * (1.0 + self.terms.drift),
            );
            if now - since > self.terms.quiet() + run {
                due.push(What::Seats(Move::Free {
                    pool: pool.to_owned(),
                    ebb,
                }));
            }
        }
        due
    }
}
