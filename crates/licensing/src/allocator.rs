//! Grants one node's seats to its attempts. A grant only compares and updates counters: it sends no message and allocates
//! no memory.

use crate::command::LedgerCommand;
use crate::error::SeatError;
use crate::tenant_seats::TenantSeats;
use marbledeck_dispatcher::Micros;

/// A licence, identified by its index in the node's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LicenceId(pub u16);

/// The seats of one pool that a node holds for one tenant, by the agreed ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeatAllocation {
    /// The pool.
    pub pool: String,
    /// The tenant; empty where there are no tenants.
    pub tenant: String,
    /// The seats that this incarnation of the node holds.
    pub seats: u32,
    /// How many of them the node has to return as its attempts end.
    pub recalled: u32,
}

/// What a node has read of the ledger under a lease.
#[derive(Clone, Debug, Default)]
pub struct ConfirmedSeats {
    /// When the lease expires.
    pub lease_expiry: Micros,
    /// Number of the last command of this incarnation that was applied; 0 for none.
    pub last_applied_command: u64,
    /// The seats that this incarnation holds.
    pub allocations: Vec<SeatAllocation>,
    /// The names of the pools, with the longest run of an attempt.
    pub pools: Vec<(String, Micros)>,
    /// The number of free seats of each pool.
    pub free_seats: Vec<(String, u32)>,
}

/// A command for the ledger. A node repeats it with the same number until it is applied, so that a lost message
/// does no harm and a repeated one has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedCommand {
    /// Number of the command within this incarnation, from 1.
    pub number: u64,
    /// The command.
    pub command: LedgerCommand,
}

/// How many seats of one pool a node holds for one tenant, and how many of them are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeatUsage<'a> {
    /// The pool.
    pub pool: &'a str,
    /// The tenant; empty where there are no tenants.
    pub tenant: &'a str,
    /// Number of seats that the node holds.
    pub held: u32,
    /// Number of seats in use.
    pub in_use: u32,
}

#[derive(Clone, Debug)]
struct LocalPool {
    name: String,
    /// Whether the agreed records contain this pool.
    exists: bool,
    /// The longest run of any attempt that may still be in flight.
    longest_run: Micros,
    /// The number of free seats at the last update.
    free: u32,
    /// The seats for each tenant, in the order of the settings.
    tenants: Vec<TenantSeats>,
}

/// Grants the seats of one incarnation of a node.
#[derive(Clone, Debug)]
pub struct SeatAllocator {
    tenants: Vec<String>,
    pools: Vec<LocalPool>,
    lease_expiry: Micros,
    /// The last command, until it is applied.
    command_in_flight: Option<NumberedCommand>,
    last_command_number: u64,
    /// Length of an idle period, after which unused seats are returned.
    idle_period: Micros,
    /// When the current idle period began.
    idle_period_start: Micros,
}

impl SeatAllocator {
    /// An allocator for these licences and tenants, which holds no seats. If `tenants` is empty, all attempts belong to one
    /// tenant with an empty name. Seats are returned after they were unused for one to two times `idle_period`.
    pub fn new(licences: Vec<String>, mut tenants: Vec<String>, idle_period: Micros) -> Self {
        if tenants.is_empty() {
            tenants.push(String::new());
        }
        let pools = licences.into_iter().map(|name| LocalPool {
            name,
            exists: false,
            longest_run: Micros(0),
            free: 0,
            tenants: tenants.iter().map(|_| TenantSeats::default()).collect(),
        });
        SeatAllocator {
            pools: pools.collect(),
            tenants,
            lease_expiry: Micros(0),
            command_in_flight: None,
            last_command_number: 0,
            idle_period,
            idle_period_start: Micros(0),
        }
    }

    /// Finds a licence by its name.
    pub fn find_licence(&self, name: &str) -> Option<LicenceId> {
        let index = self.pools.iter().position(|pool| pool.name == name)?;
        Some(LicenceId(index as u16))
    }

    /// Applies what the node has read of the ledger, which is valid until the lease expires.
    pub fn apply_confirmed(&mut self, confirmed: &ConfirmedSeats) {
        self.lease_expiry = confirmed.lease_expiry;
        let is_applied =
            |command: &mut NumberedCommand| confirmed.last_applied_command >= command.number;
        if self.command_in_flight.take_if(is_applied).is_some() {
            for seats in self.pools.iter_mut().flat_map(|pool| &mut pool.tenants) {
                seats.finish_return();
            }
        }
        for pool in &mut self.pools {
            pool.apply_confirmed(confirmed, &self.tenants);
        }
    }

    /// Checks that an attempt of this tenant would be granted a seat of each of these licences now. A lack of free seats is
    /// counted as a denial, which leads to a request for more.
    ///
    /// # Errors
    /// The first licence without a seat, and why.
    pub fn check(
        &mut self,
        now: Micros,
        licences: &[LicenceId],
        tenant: usize,
    ) -> Result<(), SeatError> {
        for LicenceId(index) in licences {
            let Some(pool) = self.pools.get_mut(usize::from(*index)) else {
                return Err(SeatError::UnknownPool(String::new()));
            };
            let Some(seats) = pool.tenants.get_mut(tenant) else {
                return Err(SeatError::UnknownPool(pool.name.clone()));
            };
            seats.expire_uncertain(now);
            if now >= self.lease_expiry {
                return Err(SeatError::Unconfirmed(pool.name.clone()));
            }
            if !pool.exists {
                return Err(SeatError::UnknownPool(pool.name.clone()));
            }
            if seats.free() == 0 {
                seats.record_denied();
                return Err(SeatError::NoneFree(pool.name.clone()));
            }
        }
        Ok(())
    }

    /// Takes a seat of each of these licences, or none at all. `now` must be read just before the attempt is sent.
    ///
    /// # Errors
    /// The first licence without a seat, and why.
    pub fn acquire(
        &mut self,
        now: Micros,
        licences: &[LicenceId],
        tenant: usize,
    ) -> Result<(), SeatError> {
        self.check(now, licences, tenant)?;
        for LicenceId(index) in licences {
            self.pools[usize::from(*index)].tenants[tenant].acquire();
        }
        Ok(())
    }

    /// Releases the seats of an attempt that was sent at `sent`. If it is not known whether the attempt has ended at its
    /// worker, the seats stay in use until the longest run has passed.
    pub fn release(
        &mut self,
        sent: Micros,
        licences: &[LicenceId],
        tenant: usize,
        end_is_known: bool,
    ) {
        for LicenceId(index) in licences {
            let Some(pool) = self.pools.get_mut(usize::from(*index)) else {
                continue;
            };
            let latest_end = sent + pool.longest_run;
            let Some(seats) = pool.tenants.get_mut(tenant) else {
                continue;
            };
            if end_is_known {
                seats.release();
            } else {
                seats.release_at(latest_end);
            }
        }
    }

    /// The command to send to a voter: the same one until it is applied. `None` where no seats are to be requested or
    /// returned.
    pub fn poll_command(&mut self, now: Micros) -> Option<NumberedCommand> {
        if self.command_in_flight.is_none() {
            self.command_in_flight = self.next_command(now).map(|command| {
                self.last_command_number += 1;
                NumberedCommand {
                    number: self.last_command_number,
                    command,
                }
            });
        }
        self.command_in_flight.clone()
    }

    fn next_command(&mut self, now: Micros) -> Option<LedgerCommand> {
        let idle_period_ended = now - self.idle_period_start >= self.idle_period;
        let mut command = None;
        for pool in &mut self.pools {
            for (tenant, seats) in self.tenants.iter().zip(&mut pool.tenants) {
                seats.expire_uncertain(now);
                if idle_period_ended {
                    seats.begin_idle_period();
                }
                if command.is_none() && pool.exists {
                    command = seats.poll_command(now, &pool.name, tenant, idle_period_ended);
                }
            }
        }
        if idle_period_ended {
            self.idle_period_start = now;
        }
        command
    }

    /// When the last lease expires.
    pub fn lease_expiry(&self) -> Micros {
        self.lease_expiry
    }

    /// The seats of every pool and tenant.
    pub fn usage(&self) -> impl Iterator<Item = SeatUsage<'_>> {
        self.pools.iter().flat_map(|pool| {
            let tenants = self.tenants.iter().zip(&pool.tenants);
            tenants.map(|(tenant, seats)| SeatUsage {
                pool: &pool.name,
                tenant,
                held: seats.held,
                in_use: seats.in_use,
            })
        })
    }
}

impl LocalPool {
    fn apply_confirmed(&mut self, confirmed: &ConfirmedSeats, tenants: &[String]) {
        let mut pools = confirmed.pools.iter();
        let longest_run = pools.find(|(name, _)| *name == self.name);
        let longest_run = longest_run.map(|(_, longest_run)| *longest_run);
        self.exists = longest_run.is_some();
        // An attempt in flight may run for as long as the pool allowed when it began.
        self.longest_run = self.longest_run.max(longest_run.unwrap_or_default());
        let mut free_seats = confirmed.free_seats.iter();
        let free = free_seats.find(|(name, _)| *name == self.name);
        let free = free.map_or(0, |(_, free)| *free);
        let has_more_free = free > self.free;
        self.free = free;
        for (tenant, seats) in tenants.iter().zip(&mut self.tenants) {
            if has_more_free {
                seats.reset_backoff();
            }
            let mut allocations = confirmed.allocations.iter();
            let allocation = allocations
                .find(|allocation| allocation.pool == self.name && allocation.tenant == *tenant);
            seats.apply_allocation(allocation);
        }
    }
}
