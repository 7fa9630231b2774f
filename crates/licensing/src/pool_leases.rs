//! The leases on the seats of one pool.

use crate::pool::Pool;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The seats that one incarnation of a node holds for a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Block")]
pub struct SeatLease {
    /// Number of the node.
    pub node: u32,
    /// Its incarnation: after a restart, the node is another holder.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The tenant whose attempts use them; empty where there are no tenants.
    pub tenant: String,
    /// How many.
    pub seats: u32,
}

/// Seats that a node does not hold any more, but that its attempts may still use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Ebb")]
pub struct DrainingLease {
    /// Number of the node that held them.
    pub node: u32,
    /// The tenant that they were held for.
    pub tenant: String,
    /// How many.
    pub seats: u32,
    /// The longest run that the pool allowed while they were held, in milliseconds.
    pub longest_run_ms: u64,
}

/// The leases on one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Held")]
pub(crate) struct PoolLeases {
    #[serde(rename = "blocks")]
    pub leases: Vec<SeatLease>,
    /// By number.
    #[serde(rename = "ebbing")]
    pub draining: BTreeMap<u64, DrainingLease>,
    #[serde(rename = "next")]
    next_draining_id: u64,
    /// The longest run that any holder may have read, in milliseconds.
    longest_run_ms: u64,
    /// Seats that tenants requested within their guarantee and were not given, because other tenants hold them.
    #[serde(rename = "owed")]
    shortfalls: BTreeMap<String, u32>,
}

impl PoolLeases {
    /// Seats that are held for a tenant or drain after it.
    fn taken_by(&self, tenant: &str) -> u32 {
        let held = self.leases.iter().filter(|lease| lease.tenant == tenant);
        let draining = self.draining.values();
        let draining = draining.filter(|lease| lease.tenant == tenant);
        let held = held.map(|lease| lease.seats).sum::<u32>();
        held + draining.map(|lease| lease.seats).sum::<u32>()
    }

    fn draining_seats(&self) -> u32 {
        self.draining.values().map(|lease| lease.seats).sum()
    }

    /// Seats that are held or drain.
    pub fn taken(&self) -> u32 {
        let held: u32 = self.leases.iter().map(|lease| lease.seats).sum();
        held + self.draining_seats()
    }

    /// Seats that a tenant can still be given: the free ones, less those that other tenants' guarantees need.
    fn available_to(&self, pool: &Pool, tenant: &str) -> u32 {
        let others = pool.guaranteed.iter().filter(|(name, _)| *name != tenant);
        let reserved =
            others.map(|(name, guaranteed)| guaranteed.saturating_sub(self.taken_by(name)));
        let free = pool.seats.saturating_sub(self.taken());
        free.saturating_sub(reserved.sum())
    }

    /// Gives a tenant as many of the requested seats as it can have, and notes what its guarantee lacks.
    pub fn request(&mut self, node: u32, incarnation: u64, tenant: &str, seats: u32, pool: &Pool) {
        self.longest_run_ms = self.longest_run_ms.max(pool.longest_run_ms);
        let granted = self.available_to(pool, tenant).min(seats);
        if granted > 0 {
            self.lease_mut(node, incarnation, tenant).seats += granted;
        }
        let lacking = pool
            .guaranteed_to(tenant)
            .saturating_sub(self.taken_by(tenant));
        let shortfall = lacking.min(seats - granted);
        if shortfall == 0 {
            self.shortfalls.remove(tenant);
        } else {
            self.shortfalls.insert(tenant.to_owned(), shortfall);
        }
    }

    /// Takes seats back that are not in use.
    pub fn release(&mut self, node: u32, incarnation: u64, tenant: &str, seats: u32) {
        let lease = self.lease_mut(node, incarnation, tenant);
        lease.seats = lease.seats.saturating_sub(seats);
        self.leases.retain(|lease| lease.seats > 0);
    }

    /// Lets all leases drain that are selected.
    pub fn drain(&mut self, is_selected: impl Fn(&SeatLease) -> bool) {
        let leases = std::mem::take(&mut self.leases);
        let (ended, kept) = leases.into_iter().partition(is_selected);
        self.leases = kept;
        for lease in ended {
            if lease.seats == 0 {
                continue;
            }
            let draining = DrainingLease {
                node: lease.node,
                tenant: lease.tenant,
                seats: lease.seats,
                longest_run_ms: self.longest_run_ms,
            };
            self.draining.insert(self.next_draining_id, draining);
            self.next_draining_id += 1;
        }
    }

    /// The lease of this holder and tenant; made with no seats where there is none.
    fn lease_mut(&mut self, node: u32, incarnation: u64, tenant: &str) -> &mut SeatLease {
        let is_own = |lease: &SeatLease| {
            lease.node == node && lease.incarnation == incarnation && lease.tenant == tenant
        };
        let index = self.leases.iter().position(is_own).unwrap_or_else(|| {
            self.leases.push(SeatLease {
                node,
                incarnation,
                tenant: tenant.to_owned(),
                seats: 0,
            });
            self.leases.len() - 1
        });
        &mut self.leases[index]
    }

    /// Seats that a tenant is to return, for the guarantees of others.
    pub fn recalled_from(&self, pool: &Pool, tenant: &str) -> u32 {
        let others = self.shortfalls.iter().filter(|(name, _)| *name != tenant);
        let missing: u32 = others.map(|(_, seats)| seats).sum();
        // Draining and free seats meet a shortfall without a recall.
        let free = pool.seats.saturating_sub(self.taken());
        let expected = self.draining_seats() + free;
        let beyond_guarantee = self
            .taken_by(tenant)
            .saturating_sub(pool.guaranteed_to(tenant));
        missing.saturating_sub(expected).min(beyond_guarantee)
    }
}
