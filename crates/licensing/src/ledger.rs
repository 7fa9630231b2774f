//! What the nodes have agreed on: the seats of each pool that each of them holds.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A pool of seats, as an operator sets it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// How many there are.
    pub seats: u32,
    /// How many of them each of these tenants can always have.
    #[serde(default)]
    pub guaranteed: BTreeMap<String, u32>,
    /// The longest that a call can run at its worker, in milliseconds: a seat whose call has an unknown end is held for
    /// so long.
    pub longest_run_ms: u64,
}

/// The seats that one start of a node holds for a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The node's number.
    pub node: u32,
    /// Its start: a restarted node is another holder.
    pub boot: u64,
    /// The tenant that its jobs are of; empty where there are none.
    pub tenant: String,
    /// How many.
    pub seats: u32,
}

/// Seats that a node no longer holds and that its calls may still use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ebb {
    /// Whose they were.
    pub node: u32,
    /// Of which tenant.
    pub tenant: String,
    /// How many.
    pub seats: u32,
    /// The longest run that the pool ever had while they were held, in milliseconds.
    pub longest_run_ms: u64,
}

/// A change of who holds what. A node speaks for its own start; what it holds of another is seen to by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Move {
    /// It wants so many more, and gets what can be given.
    Want {
        /// The pool.
        pool: String,
        /// For jobs of this tenant.
        tenant: String,
        /// How many more.
        seats: u32,
    },
    /// It gives so many back, which no call of it uses.
    Return {
        /// The pool.
        pool: String,
        /// The tenant that it held them for.
        tenant: String,
        /// How many.
        seats: u32,
    },
    /// All that a start of a node holds ebbs: it is dead, or was started anew.
    Reclaim {
        /// The node.
        node: u32,
        /// The start.
        boot: u64,
    },
    /// Nothing of these seats can be in use any more.
    Free {
        /// The pool.
        pool: String,
        /// The number under which they ebb.
        ebb: u64,
    },
}

/// One pool's seats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    blocks: Vec<Block>,
    ebbing: BTreeMap<u64, Ebb>,
    next: u64,
    /// The longest run of a call that any holder may have been told.
    longest_run_ms: u64,
    /// What tenants under their guaranteed part were not given, since it is lent.
    owed: BTreeMap<String, u32>,
}

impl Held {
    fn of_tenant(&self, tenant: &str) -> u32 {
        let held = self.blocks.iter().filter(|block| block.tenant == tenant);
        let ebbing = self.ebbing.values().filter(|ebb| ebb.tenant == tenant);
        held.map(|b| b.seats).sum::<u32>() + ebbing.map(|e| e.seats).sum::<u32>()
    }

    fn taken(&self) -> u32 {
        let held: u32 = self.blocks.iter().map(|block| block.seats).sum();
        held + self.ebbing.values().map(|ebb| ebb.seats).sum::<u32>()
    }

    /// What a tenant may still be given: what is free, less what the others' guaranteed parts lack.
    fn spare(&self, pool: &Pool, tenant: &str) -> u32 {
        let others = pool.guaranteed.iter().filter(|(name, _)| *name != tenant);
        let lacking = others.map(|(name, part)| part.saturating_sub(self.of_tenant(name)));
        let free = pool.seats.saturating_sub(self.taken());
        free.saturating_sub(lacking.sum())
    }

    fn ebb(&mut self, of: impl Fn(&Block) -> bool) {
        let (gone, kept) = std::mem::take(&mut self.blocks).into_iter().partition(of);
        self.blocks = kept;
        for Block {
            node,
            tenant,
            seats,
            ..
        } in gone
        {
            if seats > 0 {
                let longest_run_ms = self.longest_run_ms;
                self.ebbing.insert(
                    self.next,
                    Ebb {
                        node,
                        tenant,
                        seats,
                        longest_run_ms,
                    },
                );
                self.next += 1;
            }
        }
    }

    fn block(&mut self, node: u32, boot: u64, tenant: &str) -> &mut Block {
        let own = |b: &Block| b.node == node && b.boot == boot && b.tenant == tenant;
        let at = self.blocks.iter().position(own).unwrap_or_else(|| {
            let tenant = tenant.to_owned();
            self.blocks.push(Block {
                node,
                boot,
                tenant,
                seats: 0,
            });
            self.blocks.len() - 1
        });
        &mut self.blocks[at]
    }
}

/// All pools' seats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    pools: BTreeMap<String, Held>,
}

impl Ledger {
    /// Carries out a move of this start of a node. `pool` finds the pools as they are set now; what a pool has fewer
    /// seats for than it gave is left to those who hold it, and nothing more is given.
    pub fn apply<'a>(
        &mut self,
        node: u32,
        boot: u64,
        what: &Move,
        pool: impl Fn(&str) -> Option<&'a Pool>,
    ) {
        match what {
            Move::Want {
                pool: name,
                tenant,
                seats,
            } => {
                // A node that was started anew has forgotten what its earlier starts have out.
                for held in self.pools.values_mut() {
                    held.ebb(|block| block.node == node && block.boot != boot);
                }
                let Some(pool) = pool(name) else {
                    return;
                };
                let held = self.pools.entry(name.clone()).or_default();
                held.longest_run_ms = held.longest_run_ms.max(pool.longest_run_ms);
                let given = held.spare(pool, tenant).min(*seats);
                if given > 0 {
                    held.block(node, boot, tenant).seats += given;
                }
                let part = pool.guaranteed.get(tenant).copied().unwrap_or(0);
                let owed = part
                    .saturating_sub(held.of_tenant(tenant))
                    .min(seats - given);
                match owed {
                    0 => held.owed.remove(tenant),
                    owed => held.owed.insert(tenant.clone(), owed),
                };
            }
            Move::Return {
                pool,
                tenant,
                seats,
            } => {
                if let Some(held) = self.pools.get_mut(pool) {
                    let block = held.block(node, boot, tenant);
                    block.seats = block.seats.saturating_sub(*seats);
                    held.blocks.retain(|block| block.seats > 0);
                }
            }
            Move::Reclaim { node, boot } => {
                for held in self.pools.values_mut() {
                    held.ebb(|block| block.node == *node && block.boot == *boot);
                }
            }
            Move::Free { pool, ebb } => {
                if let Some(held) = self.pools.get_mut(pool) {
                    held.ebbing.remove(ebb);
                }
            }
        }
    }

    /// What a start of a node holds: pool, tenant, seats.
    pub fn holds(&self, node: u32, boot: u64) -> Vec<(String, String, u32)> {
        let mut holds = Vec::new();
        for (name, held) in &self.pools {
            let own = held
                .blocks
                .iter()
                .filter(|b| b.node == node && b.boot == boot);
            holds.extend(own.map(|block| (name.clone(), block.tenant.clone(), block.seats)));
        }
        holds
    }

    /// How many seats of a pool are to come back from those that tenants hold beyond their guaranteed part.
    pub fn recalled(&self, name: &str, pool: &Pool, tenant: &str) -> u32 {
        let Some(held) = self.pools.get(name) else {
            return 0;
        };
        let owed: u32 = held
            .owed
            .iter()
            .filter(|(to, _)| *to != tenant)
            .map(|(_, n)| n)
            .sum();
        // What ebbs already, or is free, comes back by itself.
        let coming: u32 = held.ebbing.values().map(|ebb| ebb.seats).sum::<u32>();
        let free = pool.seats.saturating_sub(held.taken());
        let part = pool.guaranteed.get(tenant).copied().unwrap_or(0);
        let lent = held.of_tenant(tenant).saturating_sub(part);
        owed.saturating_sub(coming + free).min(lent)
    }

    /// Every start of a node that holds a seat.
    pub fn holders(&self) -> Vec<(u32, u64)> {
        let blocks = self.pools.values().flat_map(|held| &held.blocks);
        let mut holders: Vec<(u32, u64)> = blocks.map(|block| (block.node, block.boot)).collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// All that ebbs: pool and number.
    pub fn ebbing(&self) -> impl Iterator<Item = (&str, u64, &Ebb)> {
        let pools = self.pools.iter();
        pools.flat_map(|(name, held)| {
            held.ebbing
                .iter()
                .map(|(id, ebb)| (name.as_str(), *id, ebb))
        })
    }

    /// The seats of a pool that nobody holds and that do not ebb.
    pub fn free(&self, name: &str, pool: &Pool) -> u32 {
        pool.seats.saturating_sub(self.taken(name))
    }

    /// The seats of a pool that are held or ebb.
    pub fn taken(&self, pool: &str) -> u32 {
        self.pools.get(pool).map_or(0, Held::taken)
    }
}
