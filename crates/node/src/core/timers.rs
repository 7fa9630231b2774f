//! Timers, ordered by expiry. They can't be cancelled: one that is no longer relevant is ignored when it expires.

use marbledeck_dispatcher::{Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What happens when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the dispatcher expires.
    Dispatcher(TimerId),
    /// The attempt with this number reaches its deadline.
    Attempt(RequestId, u32),
    /// The request is overdue: its deadline has passed, and it is failed if it has no answer.
    Deadline(RequestId),
}

/// All timers of the core.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    /// The sequence number of the next timer: timers with the same expiry are handled in the order they were added.
    next_sequence: u64,
}

impl Timers {
    /// Adds a timer that expires at this time.
    pub fn add(&mut self, at: Micros, timer: Timer) {
        self.heap.push(Reverse((at, self.next_sequence, timer)));
        self.next_sequence += 1;
    }

    /// When the next timer expires.
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes and returns the earliest timer, if it has expired.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((.., timer))| timer)
    }
}
