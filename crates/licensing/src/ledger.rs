//! The ledger: the replicated state that records which node holds how many seats of each pool.

use crate::command::LedgerCommand;
use crate::pool::Pool;
use crate::pool_leases::{DrainingLease, PoolLeases};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An incarnation of a node that holds seats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Number of the node.
    pub node: u32,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Seats of one pool that a node holds for a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldSeats {
    /// The pool.
    pub pool: String,
    /// The tenant; empty where there are no tenants.
    pub tenant: String,
    /// The number of seats.
    pub seats: u32,
}

/// A draining lease, with its pool and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainingSeats<'a> {
    /// The pool.
    pub pool: &'a str,
    /// Number of the lease in its pool.
    pub draining_id: u64,
    /// The lease.
    pub lease: &'a DrainingLease,
}

/// The seats of all pools.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    pools: BTreeMap<String, PoolLeases>,
}

impl Ledger {
    /// Applies a command of this incarnation of a node. `find_pool` looks up the current configuration of a pool. If more
    /// seats are held than the pool has, the holders keep theirs and no more are granted.
    pub fn apply<'a>(
        &mut self,
        node: u32,
        incarnation: u64,
        command: &LedgerCommand,
        find_pool: impl Fn(&str) -> Option<&'a Pool>,
    ) {
        match command {
            LedgerCommand::Request {
                pool: name,
                tenant,
                seats,
            } => {
                // Attempts of the node's earlier incarnations may still be in flight, and a restarted node does not know them.
                self.drain(|holder| holder.node == node && holder.incarnation != incarnation);
                if let Some(pool) = find_pool(name) {
                    let leases = self.pools.entry(name.clone()).or_default();
                    leases.request(node, incarnation, tenant, *seats, pool);
                }
            }
            LedgerCommand::Return {
                pool,
                tenant,
                seats,
            } => {
                if let Some(leases) = self.pools.get_mut(pool) {
                    leases.release(node, incarnation, tenant, *seats);
                }
            }
            LedgerCommand::Reclaim { node, incarnation } => {
                let (node, incarnation) = (*node, *incarnation);
                self.drain(|holder| holder == Holder { node, incarnation });
            }
            LedgerCommand::FreeDrained { pool, draining_id } => {
                if let Some(leases) = self.pools.get_mut(pool) {
                    leases.draining.remove(draining_id);
                }
            }
        }
    }

    /// Drains the leases of the selected holders in all pools.
    fn drain(&mut self, is_selected: impl Fn(Holder) -> bool) {
        for leases in self.pools.values_mut() {
            leases.drain(|lease| {
                is_selected(Holder {
                    node: lease.node,
                    incarnation: lease.incarnation,
                })
            });
        }
    }

    /// The seats that an incarnation of a node holds.
    pub fn held_by(&self, node: u32, incarnation: u64) -> Vec<HeldSeats> {
        let mut held = Vec::new();
        for (pool, leases) in &self.pools {
            let own = leases
                .leases
                .iter()
                .filter(|lease| lease.node == node && lease.incarnation == incarnation);
            held.extend(own.map(|lease| HeldSeats {
                pool: pool.clone(),
                tenant: lease.tenant.clone(),
                seats: lease.seats,
            }));
        }
        held
    }

    /// How many seats of a pool a tenant has to return, since it holds more than its guarantee and other tenants have fewer
    /// than theirs.
    pub fn recalled(&self, name: &str, pool: &Pool, tenant: &str) -> u32 {
        let leases = self.pools.get(name);
        leases.map_or(0, |leases| leases.recalled_from(pool, tenant))
    }

    /// All holders of seats, sorted and without duplicates.
    pub fn holders(&self) -> Vec<Holder> {
        let leases = self.pools.values().flat_map(|pool| &pool.leases);
        let mut holders: Vec<Holder> = leases
            .map(|lease| Holder {
                node: lease.node,
                incarnation: lease.incarnation,
            })
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// All draining leases.
    pub fn draining(&self) -> impl Iterator<Item = DrainingSeats<'_>> {
        self.pools.iter().flat_map(|(pool, leases)| {
            let draining = leases.draining.iter();
            draining.map(|(draining_id, lease)| DrainingSeats {
                pool,
                draining_id: *draining_id,
                lease,
            })
        })
    }

    /// Number of seats of a pool that are neither held nor draining.
    pub fn free(&self, name: &str, pool: &Pool) -> u32 {
        pool.seats.saturating_sub(self.taken(name))
    }

    /// Number of seats of a pool that are held or draining.
    pub fn taken(&self, pool: &str) -> u32 {
        self.pools.get(pool).map_or(0, PoolLeases::taken)
    }
}
