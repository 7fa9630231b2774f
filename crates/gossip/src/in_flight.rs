//! The counts of attempts in flight: a node's own, and those that it owns for all.

use crate::message::{Message, MAX_COUNT};
use crate::{owner_of, short_id};
use marbledeck_dispatcher::{Micros, WorkerId};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How often a node repeats what it has in flight. An owner that has just started knows of all after this.
pub const REFRESH_INTERVAL: Micros = Micros(1_000_000);
/// A count that was not repeated for so long is void: its sender has died, or is cut off. Two datagrams may be lost.
pub const EXPIRY: Micros = Micros(2_500_000);
/// The workers for which an owner keeps counts at most; counts for more are dropped, whoever sends them.
pub const MAX_OWNED_WORKERS: usize = 4096;

/// The workers whose owners a node remembers at most: those that it asks about or sends to.
const MAX_CACHED_OWNERS: usize = 8192;

/// What became of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// This node owns the count itself: so many attempts are in flight.
    Known(u8),
    /// The owner is queried; [`InFlightGossip::receive`] will have its answer, unless it is lost.
    Sent,
    /// No answer is to be waited for: the owner did not answer lately, or this node owns the count and has not listened
    /// for long enough.
    Unavailable,
}

/// An owner's answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadAnswer {
    /// Short id of the worker.
    pub worker: u32,
    /// The attempts of all nodes in flight there; none where the owner does not know.
    pub in_flight: Option<u8>,
}

/// What another node has reported of its attempts in flight at a worker.
struct ForeignCount {
    in_flight: u8,
    sequence: u8,
    received_at: Micros,
}

impl ForeignCount {
    fn is_fresh(&self, now: Micros) -> bool {
        now - self.received_at < EXPIRY
    }

    /// Whether a count of this number was sent before this one, or is this one again.
    fn is_newer_than(&self, sequence: u8) -> bool {
        sequence.wrapping_sub(self.sequence) as i8 <= 0
    }
}

/// What this node has in flight at a worker.
#[derive(Default)]
struct OwnCount {
    in_flight: u8,
    sequence: u8,
    /// When the owner is next sent this count.
    refresh_at: Micros,
}

/// One node's part in the gossip.
pub struct InFlightGossip {
    index: usize,
    nodes: usize,
    started_at: Micros,
    own: BTreeMap<u32, OwnCount>,
    /// By worker, then by node.
    foreign: HashMap<u32, HashMap<usize, ForeignCount>>,
    /// Whether each node left a query open and has sent nothing since.
    is_silent: Vec<bool>,
    /// The owners of workers, cached.
    owners: HashMap<u32, usize>,
    /// When void counts are next removed.
    sweep_at: Micros,
    outgoing: VecDeque<(usize, Message)>,
}

impl InFlightGossip {
    /// The node at this position, from 0, among so many.
    pub fn new(index: usize, nodes: usize, now: Micros) -> Self {
        InFlightGossip {
            index,
            nodes,
            started_at: now,
            own: BTreeMap::new(),
            foreign: HashMap::new(),
            is_silent: vec![false; nodes],
            owners: HashMap::new(),
            sweep_at: now,
            outgoing: VecDeque::new(),
        }
    }

    /// The next datagram to send, and the position of the node that it is for.
    pub fn next_datagram(&mut self) -> Option<(usize, Vec<u8>)> {
        let (to, message) = self.outgoing.pop_front()?;
        Some((to, message.encode()))
    }

    /// An attempt is sent to this worker.
    pub fn record_send(&mut self, now: Micros, worker: WorkerId) {
        let own = self.own.entry(short_id(worker)).or_default();
        own.in_flight = own.in_flight.saturating_add(1).min(MAX_COUNT);
        self.send_count(now, short_id(worker));
    }

    /// An attempt at this worker has ended, however.
    pub fn record_end(&mut self, now: Micros, worker: WorkerId) {
        if let Some(own) = self.own.get_mut(&short_id(worker)) {
            own.in_flight = own.in_flight.saturating_sub(1);
            self.send_count(now, short_id(worker));
        }
    }

    /// Asks how many attempts are in flight at this worker.
    pub fn query(&mut self, now: Micros, worker: WorkerId) -> QueryOutcome {
        let worker = short_id(worker);
        let owner = self.owner(worker);
        if owner == self.index {
            let total = self.total_in_flight(now, worker);
            return total.map_or(QueryOutcome::Unavailable, QueryOutcome::Known);
        }
        self.outgoing.push_back((owner, Message::Query { worker }));
        if self.is_silent[owner] {
            QueryOutcome::Unavailable
        } else {
            QueryOutcome::Sent
        }
    }

    /// The owner of this worker did not answer in time: it is not waited for until it sends something again.
    pub fn mark_owner_silent(&mut self, worker: WorkerId) {
        let owner = self.owner(short_id(worker));
        self.is_silent[owner] = true;
    }

    /// Takes a datagram from the node at this position. What is not understood does nothing.
    pub fn receive(&mut self, now: Micros, from: usize, bytes: &[u8]) -> Option<LoadAnswer> {
        let message = Message::decode(bytes)?;
        *self.is_silent.get_mut(from)? = false;
        match message {
            Message::Count {
                worker,
                sequence,
                in_flight,
            } => {
                let count = ForeignCount {
                    in_flight,
                    sequence,
                    received_at: now,
                };
                self.receive_count(now, from, worker, count);
                None
            }
            Message::Query { worker } => {
                if self.is_owner(self.index, worker) {
                    let in_flight = self.total_in_flight(now, worker);
                    let answer = Message::Answer { worker, in_flight };
                    self.outgoing.push_back((from, answer));
                }
                None
            }
            Message::Answer { worker, in_flight } => {
                // Only the owner knows.
                let is_from_owner = self.is_owner(from, worker);
                is_from_owner.then_some(LoadAnswer { worker, in_flight })
            }
        }
    }

    fn receive_count(&mut self, now: Micros, from: usize, worker: u32, count: ForeignCount) {
        let has_capacity =
            self.foreign.len() < MAX_OWNED_WORKERS || self.foreign.contains_key(&worker);
        if !has_capacity || !self.is_owner(self.index, worker) {
            return;
        }
        let counts = self.foreign.entry(worker).or_default();
        let is_outdated =
            |known: &ForeignCount| known.is_fresh(now) && known.is_newer_than(count.sequence);
        if !counts.get(&from).is_some_and(is_outdated) {
            counts.insert(from, count);
        }
    }

    /// How many counts of other nodes are stored, void ones included until the next sweep.
    pub fn stored_counts(&self) -> usize {
        self.foreign.values().map(HashMap::len).sum()
    }

    /// When [`InFlightGossip::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        self.own.values().map(|own| own.refresh_at).min()
    }

    /// Repeats the counts that have not changed for a while, and forgets what is void.
    pub fn wake(&mut self, now: Micros) {
        let due = self.own.iter().filter(|(_, own)| own.refresh_at <= now);
        for worker in due.map(|(worker, _)| *worker).collect::<Vec<_>>() {
            // That nothing is in flight any more is sent once more and no longer.
            let is_over = self.own[&worker].in_flight == 0;
            self.send_count(now, worker);
            if is_over {
                self.own.remove(&worker);
            }
        }
        // No total includes a void count, so they may stay for a while: a walk over all on each turn of the node's loop
        // would be work that any node could make.
        if self.sweep_at <= now {
            self.sweep_at = now + REFRESH_INTERVAL;
            self.foreign.retain(|_, counts| {
                counts.retain(|_, count| count.is_fresh(now));
                !counts.is_empty()
            });
        }
    }

    /// Sends the owner of this worker what this node has in flight there.
    fn send_count(&mut self, now: Micros, worker: u32) {
        let owner = self.owner(worker);
        let Some(own) = self.own.get_mut(&worker) else {
            return;
        };
        own.sequence = own.sequence.wrapping_add(1);
        own.refresh_at = now + REFRESH_INTERVAL;
        if owner != self.index {
            let count = Message::Count {
                worker,
                sequence: own.sequence,
                in_flight: own.in_flight,
            };
            self.outgoing.push_back((owner, count));
        }
    }

    /// The attempts of all nodes in flight at a worker that this one owns; none while it has not listened for long
    /// enough to know of all.
    fn total_in_flight(&self, now: Micros, worker: u32) -> Option<u8> {
        if now - self.started_at < REFRESH_INTERVAL {
            return None;
        }
        let counts = self
            .foreign
            .get(&worker)
            .into_iter()
            .flat_map(HashMap::values);
        let fresh = counts.filter(|count| count.is_fresh(now));
        let foreign: u32 = fresh.map(|count| u32::from(count.in_flight)).sum();
        let own = self.own.get(&worker).map_or(0, |own| own.in_flight);
        Some((foreign + u32::from(own)).min(u32::from(MAX_COUNT)) as u8)
    }

    /// Whether this node owns the count of a worker that another node names. Nothing is remembered of it: whatever
    /// ids others send, the owners of this node's own workers stay known.
    fn is_owner(&self, node: usize, worker: u32) -> bool {
        let known = self.owners.get(&worker).copied();
        node == self.index && self.foreign.contains_key(&worker)
            || known.unwrap_or_else(|| owner_of(worker, self.nodes)) == node
    }

    fn owner(&mut self, worker: u32) -> usize {
        if self.owners.len() >= MAX_CACHED_OWNERS {
            self.owners.clear();
        }
        let nodes = self.nodes;
        let owner = self.owners.entry(worker);
        *owner.or_insert_with(|| owner_of(worker, nodes))
    }
}
