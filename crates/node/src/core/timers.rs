//! Timers, earliest first. They are not withdrawn: one that no longer matters is ignored when it expires.

use marbledeck_dispatcher::{Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a timer stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Set by the dispatcher.
    Dispatcher(TimerId),
    /// The attempt of this number has reached its deadline.
    Attempt(RequestId, u32),
    /// The client waits no longer.
    Deadline(RequestId),
}

/// All timers of the core.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    /// How many were ever added: timers of the same time expire in the order in which they were added.
    added: u64,
}

impl Timers {
    /// Adds a timer that expires at this time.
    pub fn add(&mut self, at: Micros, timer: Timer) {
        self.heap.push(Reverse((at, self.added, timer)));
        self.added += 1;
    }

    /// When the next timer expires.
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes the earliest timer, if it has expired.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((.., timer))| timer)
    }
}
