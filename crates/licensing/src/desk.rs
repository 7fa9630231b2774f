//! What one node grants of its own part. A grant is a look at a few numbers: no message, no allocation.

use crate::ledger::Move;
use marbledeck_dispatcher::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// How long a desk waits before it asks again for seats that there were none of, at first and at most.
const FIRST: Micros = Micros(100_000);
const LONGEST: Micros = Micros(3_200_000);

/// A licence, by its place in the node's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Licence(pub u16);

/// Why no seat was granted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoSeat {
    /// All seats of this node's part are in use.
    #[error("no seat of '{0}' is free here")]
    Taken(String),
    /// What the fleet has agreed on cannot be known now.
    #[error("no voter has confirmed this node's seats of '{0}' lately")]
    Unconfirmed(String),
    /// No pool of this name was ever agreed on.
    #[error("there is no pool of seats '{0}'")]
    NoPool(String),
}

impl NoSeat {
    /// What whoever is on call can do.
    pub fn advice(&self) -> &'static str {
        match self {
            NoSeat::Taken(_) => "wait, or raise the pool's seats, if the licence has more; `records` shows who holds them",
            NoSeat::Unconfirmed(_) => "see to it that this node reaches a voter, and that a majority of voters runs",
            NoSeat::NoPool(_) => "set the record seats/NAME at the operators' address",
        }
    }
}

/// One node's part of a pool, for one tenant, as the fleet has agreed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The pool's name.
    pub pool: String,
    /// The tenant.
    pub tenant: String,
    /// The seats that this start holds.
    pub seats: u32,
    /// How many are asked back, as its calls end.
    pub recalled: u32,
}

/// What a confirmed answer of the voters tells a desk.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// For how long it may be acted upon.
    pub until: Micros,
    /// The number of this start's last command that the fleet has carried out.
    pub done: u64,
    /// What this start holds.
    pub parts: Vec<Part>,
    /// The pools that there are, with the longest run of a call.
    pub pools: Vec<(String, Micros)>,
    /// How many seats of each nobody holds.
    pub free: Vec<(String, u32)>,
}

#[derive(Clone, Debug, Default)]
struct Own {
    seats: u32,
    recalled: u32,
    /// Given back by a command that is under way.
    leaving: u32,
    in_use: u32,
    /// Calls whose end is not known, by when they are surely over; counted in `in_use`.
    unknown: BinaryHeap<Reverse<Micros>>,
    /// Jobs that found no seat since the last command, and the most in use in this span and the one before.
    short: u32,
    peaks: (u32, u32),
    /// How long it waited before it last asked for more, when it may again, and what it held then: where the pool has no
    /// more, all who lack seats would ask at every reading.
    pause: Micros,
    again: Micros,
    had: u32,
}

impl Own {
    fn expire(&mut self, now: Micros) {
        while self.unknown.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.unknown.pop();
            self.in_use = self.in_use.saturating_sub(1);
        }
    }

    fn free(&self) -> u32 {
        self.seats.saturating_sub(self.leaving + self.in_use)
    }
}

#[derive(Clone, Debug)]
struct Local {
    name: String,
    there: bool,
    longest: Micros,
    /// The seats that nobody held when the fleet was read last.
    free: u32,
    /// By tenant, in the order of the settings.
    tenants: Vec<Own>,
}

/// The seats of one start of a node.
#[derive(Clone, Debug)]
pub struct Desk {
    tenants: Vec<String>,
    pools: Vec<Local>,
    until: Micros,
    /// The command that is under way, and the number of the last one.
    under_way: Option<(u64, Move)>,
    last: u64,
    /// How long seats stay that nobody uses, and when the present span began.
    idle: Micros,
    span: Micros,
}

impl Desk {
    /// For these licences and tenants; where there are no tenants, all jobs are of one without a name. Seats that were
    /// not used for one to two times `idle` are given back.
    pub fn new(licences: Vec<String>, mut tenants: Vec<String>, idle: Micros) -> Self {
        if tenants.is_empty() {
            tenants.push(String::new());
        }
        let pools = licences.into_iter().map(|name| Local {
            name,
            there: false,
            longest: Micros(0),
            free: 0,
            tenants: tenants.iter().map(|_| Own::default()).collect(),
        });
        Desk {
            pools: pools.collect(),
            tenants,
            until: Micros(0),
            under_way: None,
            last: 0,
            idle,
            span: Micros(0),
        }
    }

    /// The licence of this name.
    pub fn licence(&self, name: &str) -> Option<Licence> {
        let at = self.pools.iter().position(|pool| pool.name == name)?;
        Some(Licence(at as u16))
    }

    /// Takes in what the fleet has agreed on. Nothing of it holds longer than the reading's time.
    pub fn read(&mut self, reading: &Reading) {
        self.until = reading.until;
        if self
            .under_way
            .as_ref()
            .is_some_and(|(number, _)| reading.done >= *number)
        {
            self.under_way = None;
            for own in self.pools.iter_mut().flat_map(|pool| &mut pool.tenants) {
                own.leaving = 0;
            }
        }
        for pool in &mut self.pools {
            let set = reading.pools.iter().find(|(name, _)| *name == pool.name);
            pool.there = set.is_some();
            // A call that is out may run as long as it might when it began.
            pool.longest = set.map_or(pool.longest, |(_, longest)| pool.longest.max(*longest));
            let free = reading.free.iter().find(|(name, _)| *name == pool.name);
            let free = free.map_or(0, |(_, free)| *free);
            let more = free > std::mem::replace(&mut pool.free, free);
            for (tenant, own) in self.tenants.iter().zip(&mut pool.tenants) {
                if more {
                    // There was nothing to be had; now there may be.
                    (own.pause, own.again) = (Micros(0), Micros(0));
                }
                let part = |part: &&Part| part.pool == pool.name && part.tenant == *tenant;
                let part = reading.parts.iter().find(part);
                own.seats = part.map_or(0, |part| part.seats);
                own.recalled = part.map_or(0, |part| part.recalled);
            }
        }
    }

    /// Whether a job of this tenant would get a seat of each of these licences now.
    ///
    /// # Errors
    /// The first that it would not.
    pub fn look(&mut self, now: Micros, licences: &[Licence], tenant: usize) -> Result<(), NoSeat> {
        for Licence(at) in licences {
            let Some(pool) = self.pools.get_mut(usize::from(*at)) else {
                return Err(NoSeat::NoPool(String::new()));
            };
            let Some(own) = pool.tenants.get_mut(tenant) else {
                return Err(NoSeat::NoPool(pool.name.clone()));
            };
            own.expire(now);
            if now >= self.until {
                return Err(NoSeat::Unconfirmed(pool.name.clone()));
            }
            if !pool.there {
                return Err(NoSeat::NoPool(pool.name.clone()));
            }
            if own.free() == 0 {
                own.short += 1;
                return Err(NoSeat::Taken(pool.name.clone()));
            }
        }
        Ok(())
    }

    /// Takes a seat of each of these licences, or of none. `now` is read just before the call that needs them goes out.
    ///
    /// # Errors
    /// The first licence that has none.
    pub fn take(&mut self, now: Micros, licences: &[Licence], tenant: usize) -> Result<(), NoSeat> {
        self.look(now, licences, tenant)?;
        for Licence(at) in licences {
            let own = &mut self.pools[usize::from(*at)].tenants[tenant];
            own.in_use += 1;
            own.peaks.0 = own.peaks.0.max(own.in_use);
        }
        Ok(())
    }

    /// The call that took them at `sent` is back. Where it is not `known` to have ended at its worker, they stay taken
    /// until its longest run is over.
    pub fn end(&mut self, sent: Micros, licences: &[Licence], tenant: usize, known: bool) {
        for Licence(at) in licences {
            let Some(pool) = self.pools.get_mut(usize::from(*at)) else {
                continue;
            };
            let over = sent + pool.longest;
            if let Some(own) = pool.tenants.get_mut(tenant) {
                match known {
                    true => own.in_use = own.in_use.saturating_sub(1),
                    false => own.unknown.push(Reverse(over)),
                }
            }
        }
    }

    /// The command that the fleet is to carry out, with its number: the same until it has. None where nothing is wanted.
    pub fn command(&mut self, now: Micros) -> Option<(u64, Move)> {
        if self.under_way.is_none() {
            self.under_way = self.next(now).map(|what| {
                self.last += 1;
                (self.last, what)
            });
        }
        self.under_way.clone()
    }

    fn next(&mut self, now: Micros) -> Option<Move> {
        let turn = now - self.span >= self.idle;
        let mut found = None;
        for pool in &mut self.pools {
            for (tenant, own) in self.tenants.iter().zip(&mut pool.tenants) {
                own.expire(now);
                if turn {
                    own.peaks = (own.in_use, own.peaks.0);
                }
                if found.is_some() || !pool.there {
                    continue;
                }
                let (pool, tenant) = (pool.name.clone(), tenant.clone());
                let used = own.peaks.0.max(own.peaks.1).max(own.in_use);
                let idle = own
                    .seats
                    .saturating_sub(used)
                    .max(own.recalled)
                    .min(own.free());
                if own.seats > own.had {
                    own.pause = Micros(0);
                }
                let short = std::mem::take(&mut own.short) > 0 && now >= own.again;
                if short && own.recalled == 0 {
                    own.pause = (own.pause + own.pause).clamp(FIRST, LONGEST);
                    (own.again, own.had) = (now + own.pause, own.seats);
                    // As many again as are in use: a part that grows by doubling is there after few messages.
                    found = Some(Move::Want {
                        pool,
                        tenant,
                        seats: own.in_use.max(1),
                    });
                } else if idle > 0 && (turn || own.recalled > 0) {
                    own.leaving = idle;
                    found = Some(Move::Return {
                        pool,
                        tenant,
                        seats: idle,
                    });
                }
            }
        }
        if turn {
            self.span = now;
        }
        found
    }

    /// Until when the last reading holds.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Pool, tenant, seats held and seats in use.
    pub fn figures(&self) -> impl Iterator<Item = (&str, &str, u32, u32)> {
        let pools = self.pools.iter();
        pools.flat_map(|pool| {
            let tenants = self.tenants.iter().zip(&pool.tenants);
            tenants
                .map(|(tenant, own)| (pool.name.as_str(), tenant.as_str(), own.seats, own.in_use))
        })
    }
}
