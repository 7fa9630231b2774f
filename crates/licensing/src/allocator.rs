//! Grants one node's own seats to its attempts. A grant reads a few numbers: no message, no memory allocation.

use crate::command::LedgerCommand;
use crate::error::SeatError;
use crate::tenant_seats::TenantSeats;
use marbledeck_dispatcher::Micros;

/// A licence, by its index in the node's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LicenceId(pub u16);

/// The seats of one pool that a node holds for one tenant, as the fleet has agreed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeatAllocation {
    /// The pool.
    pub pool: String,
    /// The tenant; empty where there are no tenants.
    pub tenant: String,
    /// The seats that this incarnation of the node holds.
    pub seats: u32,
    /// How many of them it is to return as its attempts end.
    pub recalled: u32,
}

/// What a node has read, under a lease, of the fleet's seats.
#[derive(Clone, Debug, Default)]
pub struct ConfirmedSeats {
    /// When the lease expires.
    pub lease_expiry: Micros,
    /// Number of this incarnation's last command that was applied; 0 for none.
    pub last_applied_command: u64,
    /// What this incarnation holds.
    pub allocations: Vec<SeatAllocation>,
    /// The pools by name, with the longest run of an attempt.
    pub pools: Vec<(String, Micros)>,
    /// The seats of each pool that nobody holds.
    pub free_seats: Vec<(String, u32)>,
}

/// A command for the ledger. It is repeated with the same number until it was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedCommand {
    /// Counts the commands of this incarnation, from 1.
    pub number: u64,
    /// The command.
    pub command: LedgerCommand,
}

/// The seats of one pool and tenant at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeatUsage<'a> {
    /// The pool.
    pub pool: &'a str,
    /// The tenant; empty where there are no tenants.
    pub tenant: &'a str,
    /// Seats that the node holds.
    pub held: u32,
    /// Seats in use.
    pub in_use: u32,
}

#[derive(Clone, Debug)]
struct LocalPool {
    name: String,
    /// Whether the fleet has this pool.
    exists: bool,
    /// The longest run of an attempt that may still be in flight.
    longest_run: Micros,
    /// The seats that nobody held at the last update.
    free: u32,
    /// By tenant, in the order of the settings.
    tenants: Vec<TenantSeats>,
}

/// Grants the seats of one incarnation of a node.
#[derive(Clone, Debug)]
pub struct SeatAllocator {
    tenants: Vec<String>,
    pools: Vec<LocalPool>,
    lease_expiry: Micros,
    /// The command that was not applied yet.
    command_in_flight: Option<NumberedCommand>,
    last_command_number: u64,
    /// How long an idle period lasts, and when the current one began.
    idle_period: Micros,
    idle_period_start: Micros,
}

impl SeatAllocator {
    /// An allocator for these licences and tenants, which holds no seats. Without tenants, all attempts belong to one with
    /// an empty name. Seats that were not used for one to two times `idle_period` are returned.
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

    /// Applies what the node has read of the fleet's seats. It holds until the lease expires.
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

    /// Checks that an attempt of this tenant would be granted a seat of each of these licences now. Counts a denial.
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

    /// Releases the seats of an attempt that was sent at `sent`. Where it is not known whether it has ended at its worker,
    /// they stay in use until its longest run is over.
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

    /// The command to send to the fleet: the same until it was applied. `None` where nothing is to change.
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
        // An attempt in flight may run as long as was allowed when it began.
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
            let own = allocations
                .find(|allocation| allocation.pool == self.name && allocation.tenant == *tenant);
            seats.apply_allocation(own);
        }
    }
}
