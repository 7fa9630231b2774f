//! The leases on the seats of one pool: grants, returns, draining and recalls.

use crate::pool::Pool;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The seats that one incarnation of a node holds for a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Block")]
pub struct SeatLease {
    /// Number of the node.
    pub node: u32,
    /// Its incarnation. After a restart, the node is a different holder.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The tenant whose attempts use the seats; empty where there are no tenants.
    pub tenant: String,
    /// The number of seats.
    pub seats: u32,
}

/// Seats that a node no longer holds, but that its attempts may still use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Ebb")]
pub struct DrainingLease {
    /// Number of the node that held the seats.
    pub node: u32,
    /// The tenant that the seats were held for.
    pub tenant: String,
    /// The number of seats.
    pub seats: u32,
    /// The longest run that the pool allowed while the seats were held, in milliseconds.
    pub longest_run_ms: u64,
}

/// The leases on one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Held")]
pub(crate) struct PoolLeases {
    #[serde(rename = "blocks")]
    pub leases: Vec<SeatLease>,
    /// The draining leases by their numbers.
    #[serde(rename = "ebbing")]
    pub draining: BTreeMap<u64, DrainingLease>,
    #[serde(rename = "next")]
    next_draining_id: u64,
    /// The longest run of the pool that any holder may have read, in milliseconds.
    longest_run_ms: u64,
    /// Seats that tenants requested within their guarantees but were not granted, because other tenants hold them.
    #[serde(rename = "owed")]
    shortfalls: BTreeMap<String, u32>,
}

impl PoolLeases {
    /// Number of seats that are held for a tenant or draining after being held for it.
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

    /// Number of seats that are held or draining.
    pub fn taken(&self) -> u32 {
        let held: u32 = self.leases.iter().map(|lease| lease.seats).sum();
        held + self.draining_seats()
    }

    /// Number of seats that can still be granted to a tenant: the free ones, less those needed for other tenants' guarantees.
    fn available_to(&self, pool: &Pool, tenant: &str) -> u32 {
        let others = pool.guaranteed.iter().filter(|(name, _)| *name != tenant);
        let reserved =
            others.map(|(name, guaranteed)| guaranteed.saturating_sub(self.taken_by(name)));
        let free = pool.seats.saturating_sub(self.taken());
        free.saturating_sub(reserved.sum())
    }

    /// Grants a tenant as many of the requested seats as are available to it, and records how far it falls short of its
    /// guarantee.
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

    /// Releases seats that the holder no longer uses.
    pub fn release(&mut self, node: u32, incarnation: u64, tenant: &str, seats: u32) {
        let lease = self.lease_mut(node, incarnation, tenant);
        lease.seats = lease.seats.saturating_sub(seats);
        self.leases.retain(|lease| lease.seats > 0);
    }

    /// Turns the selected leases into draining ones.
    pub fn drain(&mut self, is_selected: impl Fn(&SeatLease) -> bool) {
        let leases = std::mem::take(&mut self.leases);
        let (ended, active) = leases.into_iter().partition(is_selected);
        self.leases = active;
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

    /// The lease of this holder and tenant, which is created without seats if there is none.
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

    /// Number of seats that a tenant has to return so that the guarantees of others can be met.
    pub fn recalled_from(&self, pool: &Pool, tenant: &str) -> u32 {
        let others = self.shortfalls.iter().filter(|(name, _)| *name != tenant);
        let missing: u32 = others.map(|(_, seats)| seats).sum();
        // Draining and free seats cover a shortfall without a recall.
        let free = pool.seats.saturating_sub(self.taken());
        let expected = self.draining_seats() + free;
        let beyond_guarantee = self
            .taken_by(tenant)
            .saturating_sub(pool.guaranteed_to(tenant));
        missing.saturating_sub(expected).min(beyond_guarantee)
    }
}
