//! Timers, earliest first. They are not withdrawn: one that no longer matters is ignored when it is due.

use marbledeck_dispatcher::{Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// Set by the dispatcher.
    Dispatcher(TimerId),
    /// An attempt's time is up.
    Attempt(RequestId, u32),
    /// The consumer gives up now.
    Deadline(RequestId),
}

#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    /// Equal moments fire in the order in which they were set.
    set: u64,
}

impl Timers {
    pub fn add(&mut self, at: Micros, due: Due) {
        self.heap.push(Reverse((at, self.set, due)));
        self.set += 1;
    }

    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    pub fn pop(&mut self, now: Micros) -> Option<Due> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((.., due))| due)
    }
}
