//! Reclaims the licence seats of nodes that were restarted or lost contact. Runs at the leader.

use crate::command::Operation;
use crate::lease::LeaseTerms;
use crate::state::ReplicatedState;
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{DrainingSeats, Holder, LedgerCommand};
use std::collections::BTreeMap;

/// A node's latest known contact with any voter.
#[derive(Clone, Copy, Debug)]
struct Contact {
    incarnation: u64,
    time: Micros,
}

/// Decides when seats of other nodes may be reclaimed and freed, while its voter is the leader. All delays count from
/// what this leader has observed itself, so a new leader starts them again.
#[derive(Clone, Debug)]
pub struct LeaseReclaimer {
    terms: LeaseTerms,
    started: Micros,
    contacts: BTreeMap<u32, Contact>,
    /// When each draining lease was first observed, by pool and number.
    draining_since: BTreeMap<(String, u64), Micros>,
}

impl LeaseReclaimer {
    /// Creates a reclaimer that observes from `now` on, when the voter becomes the leader.
    pub fn new(now: Micros, terms: LeaseTerms) -> Self {
        LeaseReclaimer {
            terms,
            started: now,
            contacts: BTreeMap::new(),
            draining_since: BTreeMap::new(),
        }
    }

    /// Records that this incarnation of a node has contacted a voter.
    pub fn record_contact(&mut self, now: Micros, node: u32, incarnation: u64) {
        let latest = Contact {
            incarnation,
            time: now,
        };
        let contact = self.contacts.entry(node).or_insert(latest);
        if incarnation >= contact.incarnation {
            *contact = latest;
        }
    }

    /// The operations to propose now. An operation is returned again until the state shows that it was applied.
    pub fn poll_operations(&mut self, now: Micros, state: &ReplicatedState) -> Vec<Operation> {
        let mut operations = self.reclaim_seats(now, state);
        operations.extend(self.free_drained_seats(now, state));
        operations
    }

    /// Reclaims the seats of nodes that were restarted, or that have contacted no voter for too long.
    fn reclaim_seats(&self, now: Micros, state: &ReplicatedState) -> Vec<Operation> {
        // A node with a valid lease has contacted a voter within the lease's duration. The second duration is for the
        // contact reports to reach the leader.
        let max_silence = Micros(2 * self.terms.max_overlap().0);
        let mut operations = Vec::new();
        for Holder { node, incarnation } in state.seats().holders() {
            let contact = self.contacts.get(&node).copied().unwrap_or(Contact {
                incarnation,
                time: self.started,
            });
            if contact.incarnation > incarnation || now - contact.time > max_silence {
                operations.push(Operation::Seats(LedgerCommand::Reclaim {
                    node,
                    incarnation,
                }));
            }
        }
        operations
    }

    /// Frees draining seats once no attempt of their last holder can still run.
    fn free_drained_seats(&mut self, now: Micros, state: &ReplicatedState) -> Vec<Operation> {
        let mut operations = Vec::new();
        let mut previous = std::mem::take(&mut self.draining_since);
        for draining in state.seats().draining() {
            let DrainingSeats {
                pool,
                draining_id,
                lease,
            } = draining;
            let key = (pool.to_owned(), draining_id);
            let first_observed = previous.remove(&key).unwrap_or(now);
            self.draining_since.insert(key, first_observed);
            // The holder's last lease must have expired, and after it the longest attempt begun under it must have ended.
            let longest_run = Micros::from_secs_f64(
                lease.longest_run_ms as f64 / 1000.0 * (1.0 + self.terms.clock_drift),
            );
            if now - first_observed > self.terms.activation_delay() + longest_run {
                let pool = pool.to_owned();
                operations.push(Operation::Seats(LedgerCommand::FreeDrained {
                    pool,
                    draining_id,
                }));
            }
        }
        operations
    }
}
