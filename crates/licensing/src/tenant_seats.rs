//! The seats of one pool that one node holds for one tenant: their use, and the requests and returns that follow from it.

use crate::allocator::SeatAllocation;
use crate::command::LedgerCommand;
use marbledeck_dispatcher::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The shortest and the longest time between requests for seats of a pool that has none free.
const MIN_REQUEST_BACKOFF: Micros = Micros(100_000);
const MAX_REQUEST_BACKOFF: Micros = Micros(3_200_000);

/// The counters of held and used seats, and the backoff of requests for more.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantSeats {
    /// Seats that the node holds.
    pub held: u32,
    /// How many of them are recalled.
    recalled: u32,
    /// How many are returned by the command in flight; they are not granted meanwhile.
    returning: u32,
    /// How many are in use, including those in `uncertain_ends`.
    pub in_use: u32,
    /// For each attempt whose end is unknown, the time by which it must have ended.
    uncertain_ends: BinaryHeap<Reverse<Micros>>,
    /// Number of attempts denied a seat since the last call of `poll_command`.
    denied: u32,
    /// The most seats in use during the current idle period.
    peak_in_use: u32,
    /// The most seats in use during the previous idle period.
    previous_peak_in_use: u32,
    /// The time between requests. Without a backoff, every node that lacks seats of an exhausted pool would send a request
    /// at each update.
    request_backoff: Micros,
    next_request: Micros,
    /// Number of seats held at the last request.
    held_at_request: u32,
}

impl TenantSeats {
    /// Frees the seats of attempts with an unknown end that must have ended by now.
    pub fn expire_uncertain(&mut self, now: Micros) {
        let is_over = |Reverse(end): &Reverse<Micros>| *end <= now;
        while self.uncertain_ends.peek().is_some_and(is_over) {
            self.uncertain_ends.pop();
            self.in_use = self.in_use.saturating_sub(1);
        }
    }

    /// Number of seats that can be granted now.
    pub fn free(&self) -> u32 {
        self.held.saturating_sub(self.returning + self.in_use)
    }

    /// Counts an attempt that was denied a seat.
    pub fn record_denied(&mut self) {
        self.denied += 1;
    }

    /// Takes one seat.
    pub fn acquire(&mut self) {
        self.in_use += 1;
        self.peak_in_use = self.peak_in_use.max(self.in_use);
    }

    /// Frees the seat of an attempt that has ended.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Keeps the seat of an attempt whose end is unknown in use until `end`.
    pub fn release_at(&mut self, end: Micros) {
        self.uncertain_ends.push(Reverse(end));
    }

    /// The command in flight was applied: seats that it returned are no longer held.
    pub fn finish_return(&mut self) {
        self.returning = 0;
    }

    /// Ends the backoff, since the pool has more free seats than before and a request may succeed now.
    pub fn reset_backoff(&mut self) {
        self.request_backoff = Micros(0);
        self.next_request = Micros(0);
    }

    /// Applies the node's allocation by the ledger; `None` where it holds no seats.
    pub fn apply_allocation(&mut self, allocation: Option<&SeatAllocation>) {
        self.held = allocation.map_or(0, |allocation| allocation.seats);
        self.recalled = allocation.map_or(0, |allocation| allocation.recalled);
    }

    /// Begins the next idle period.
    pub fn begin_idle_period(&mut self) {
        self.previous_peak_in_use = self.peak_in_use;
        self.peak_in_use = self.in_use;
    }

    /// The command that is due, if any: a request for more seats, or the return of recalled or idle ones. Idle seats are
    /// only returned at the end of an idle period.
    pub fn poll_command(
        &mut self,
        now: Micros,
        pool: &str,
        tenant: &str,
        idle_period_ended: bool,
    ) -> Option<LedgerCommand> {
        let used = self
            .peak_in_use
            .max(self.previous_peak_in_use)
            .max(self.in_use);
        let unused = self.held.saturating_sub(used);
        let returnable = unused.max(self.recalled).min(self.free());
        if self.held > self.held_at_request {
            self.request_backoff = Micros(0);
        }
        let lacks_seats = std::mem::take(&mut self.denied) > 0 && now >= self.next_request;
        if lacks_seats && self.recalled == 0 {
            self.delay_next_request(now);
            return Some(LedgerCommand::Request {
                pool: pool.to_owned(),
                tenant: tenant.to_owned(),
                // Asks for as many seats as are in use, so that a large demand is met after a few requests.
                seats: self.in_use.max(1),
            });
        }
        if returnable > 0 && (idle_period_ended || self.recalled > 0) {
            self.returning = returnable;
            return Some(LedgerCommand::Return {
                pool: pool.to_owned(),
                tenant: tenant.to_owned(),
                seats: returnable,
            });
        }
        None
    }

    fn delay_next_request(&mut self, now: Micros) {
        let doubled = self.request_backoff + self.request_backoff;
        self.request_backoff = doubled.clamp(MIN_REQUEST_BACKOFF, MAX_REQUEST_BACKOFF);
        self.next_request = now + self.request_backoff;
        self.held_at_request = self.held;
    }
}
