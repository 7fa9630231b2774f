//! Timers, ordered by expiry. A timer that is not needed any more is removed, so that no more are kept than requests and
//! attempts are open.

use marbledeck_dispatcher::{Micros, RequestId, TimerId};
use std::collections::BTreeMap;

/// What happens when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A timer of the dispatcher expires.
    Dispatcher(TimerId),
    /// The attempt with this number reaches its deadline.
    Attempt(RequestId, u32),
    /// The request is overdue: its deadline has passed, and it is failed if it has no answer.
    Deadline(RequestId),
}

/// Identifies a timer: its expiry and its sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    at: Micros,
    sequence: u64,
}

/// All timers of the core.
#[derive(Default)]
pub struct Timers {
    by_key: BTreeMap<TimerKey, Timer>,
    /// The sequence number of the next timer: timers with the same expiry are handled in the order they were added.
    next_sequence: u64,
}

impl Timers {
    /// Adds a timer that expires at this time.
    pub fn add(&mut self, at: Micros, timer: Timer) -> TimerKey {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let key = TimerKey { at, sequence };
        self.by_key.insert(key, timer);
        key
    }

    /// Removes a timer, if it has not expired.
    pub fn remove(&mut self, key: TimerKey) {
        self.by_key.remove(&key);
    }

    /// When the next timer expires.
    pub fn next(&self) -> Option<Micros> {
        self.by_key.first_key_value().map(|(key, _)| key.at)
    }

    /// Removes and returns the earliest timer, if it has expired.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        let earliest = self.by_key.first_entry()?;
        (earliest.key().at <= now).then(|| earliest.remove())
    }
}
