//! One node's seats of one pool, for one tenant.

use crate::allocator::SeatAllocation;
use crate::command::LedgerCommand;
use marbledeck_dispatcher::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Backoff between requests for seats of a pool that has none free.
const MIN_REQUEST_BACKOFF: Micros = Micros(100_000);
const MAX_REQUEST_BACKOFF: Micros = Micros(3_200_000);

/// Seats held and in use, and when to request more.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantSeats {
    /// Seats that the node holds.
    pub held: u32,
    /// How many of them are recalled.
    recalled: u32,
    /// How many are returned by the command in flight.
    returning: u32,
    /// How many are in use, those of `uncertain_ends` included.
    pub in_use: u32,
    /// Attempts whose end is unknown, by the time when they have surely ended.
    uncertain_ends: BinaryHeap<Reverse<Micros>>,
    /// Attempts that found no seat since the last command.
    denied: u32,
    /// The most seats in use in the current idle period, and in the one before.
    peak_in_use: u32,
    previous_peak_in_use: u32,
    /// The backoff of requests: while a pool has nothing free, every node that lacks seats would request some at each
    /// update.
    request_backoff: Micros,
    next_request: Micros,
    /// Seats held at the last request.
    held_at_request: u32,
}

impl TenantSeats {
    /// Ends the use of seats whose attempts have surely ended.
    pub fn expire_uncertain(&mut self, now: Micros) {
        let is_over = |Reverse(end): &Reverse<Micros>| *end <= now;
        while self.uncertain_ends.peek().is_some_and(is_over) {
            self.uncertain_ends.pop();
            self.in_use = self.in_use.saturating_sub(1);
        }
    }

    /// Seats that can be granted.
    pub fn free(&self) -> u32 {
        self.held.saturating_sub(self.returning + self.in_use)
    }

    /// Counts an attempt that found no seat.
    pub fn record_denied(&mut self) {
        self.denied += 1;
    }

    /// Takes one seat.
    pub fn acquire(&mut self) {
        self.in_use += 1;
        self.peak_in_use = self.peak_in_use.max(self.in_use);
    }

    /// An attempt has ended: its seat is free.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Whether an attempt has ended is unknown: its seat stays in use until `end`.
    pub fn release_at(&mut self, end: Micros) {
        self.uncertain_ends.push(Reverse(end));
    }

    /// The command in flight was applied.
    pub fn finish_return(&mut self) {
        self.returning = 0;
    }

    /// The pool has more free seats than before: a request may succeed now.
    pub fn reset_backoff(&mut self) {
        self.request_backoff = Micros(0);
        self.next_request = Micros(0);
    }

    /// Applies what the fleet has agreed on; `None` where the node holds nothing.
    pub fn apply_allocation(&mut self, allocation: Option<&SeatAllocation>) {
        self.held = allocation.map_or(0, |allocation| allocation.seats);
        self.recalled = allocation.map_or(0, |allocation| allocation.recalled);
    }

    /// Begins the next idle period.
    pub fn begin_idle_period(&mut self) {
        self.previous_peak_in_use = self.peak_in_use;
        self.peak_in_use = self.in_use;
    }

    /// A request for more seats, or the return of idle or recalled ones, if any is due. Idle seats are returned at the end
    /// of an idle period only.
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
                // Doubles the seats: a large need is met after few messages.
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
