//! Counts of attempts in flight: this node's own, and those of other nodes at the workers that it owns.

use crate::message::{Message, MAX_COUNT};
use crate::{owner_of, short_id};
use marbledeck_dispatcher::{Micros, WorkerId};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Interval at which a node repeats its counts. An owner that has just started knows all counts after this time.
pub const REFRESH_INTERVAL: Micros = Micros(1_000_000);
/// Time after which a count that was not repeated expires, since its sender has died or cannot be reached. Up to two
/// datagrams in a row may be lost.
pub const EXPIRY: Micros = Micros(2_500_000);
/// Maximum number of workers for which an owner stores counts of other nodes. Counts for further workers are dropped.
pub const MAX_OWNED_WORKERS: usize = 4096;

/// Maximum number of workers whose owners a node caches; only those that it queries or sends to.
const MAX_CACHED_OWNERS: usize = 8192;

/// The immediate result of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// This node owns the worker: the number of attempts in flight there.
    Known(u8),
    /// The query is on its way to the owner. [`InFlightGossip::receive`] returns the answer, unless a datagram is lost.
    Sent,
    /// There is no answer to wait for: the owner did not answer the last time, or this node owns the worker and has not
    /// yet run long enough to know the count.
    Unavailable,
}

/// An owner's answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadAnswer {
    /// Short id of the worker.
    pub worker: u32,
    /// The attempts of all nodes in flight there; none if the owner does not know.
    pub in_flight: Option<u8>,
}

/// The attempts in flight at a worker that another node has reported.
struct PeerCount {
    in_flight: u8,
    sequence: u8,
    received_at: Micros,
}

impl PeerCount {
    fn is_fresh(&self, now: Micros) -> bool {
        now - self.received_at < EXPIRY
    }

    /// Whether a count with this sequence number was sent before this count or repeats it.
    fn is_newer_than(&self, sequence: u8) -> bool {
        sequence.wrapping_sub(self.sequence) as i8 <= 0
    }
}

/// This node's attempts in flight at a worker.
#[derive(Default)]
struct OwnCount {
    in_flight: u8,
    sequence: u8,
    /// When to send this count to the owner again.
    next_refresh_at: Micros,
}

/// The gossip state of one node.
pub struct InFlightGossip {
    index: usize,
    nodes: usize,
    started_at: Micros,
    own_counts: BTreeMap<u32, OwnCount>,
    /// Counts of other nodes, by worker and then by node.
    peer_counts: HashMap<u32, HashMap<usize, PeerCount>>,
    /// For each node, whether it left a query unanswered and has sent nothing since.
    is_silent: Vec<bool>,
    /// Cache of the owners of workers.
    owners: HashMap<u32, usize>,
    /// When to remove expired counts next.
    next_sweep_at: Micros,
    outgoing: VecDeque<(usize, Message)>,
}

impl InFlightGossip {
    /// Creates the state of the node at this position, from 0, among `nodes` nodes.
    pub fn new(index: usize, nodes: usize, now: Micros) -> Self {
        InFlightGossip {
            index,
            nodes,
            started_at: now,
            own_counts: BTreeMap::new(),
            peer_counts: HashMap::new(),
            is_silent: vec![false; nodes],
            owners: HashMap::new(),
            next_sweep_at: now,
            outgoing: VecDeque::new(),
        }
    }

    /// Takes out the next datagram to send, with the position of the receiving node.
    pub fn next_datagram(&mut self) -> Option<(usize, Vec<u8>)> {
        let (to, message) = self.outgoing.pop_front()?;
        Some((to, message.encode()))
    }

    /// Records that an attempt is sent to this worker.
    pub fn record_send(&mut self, now: Micros, worker: WorkerId) {
        let own_count = self.own_counts.entry(short_id(worker)).or_default();
        own_count.in_flight = own_count.in_flight.saturating_add(1).min(MAX_COUNT);
        self.send_count(now, short_id(worker));
    }

    /// Records that an attempt at this worker has ended, with whatever outcome.
    pub fn record_end(&mut self, now: Micros, worker: WorkerId) {
        if let Some(own_count) = self.own_counts.get_mut(&short_id(worker)) {
            own_count.in_flight = own_count.in_flight.saturating_sub(1);
            self.send_count(now, short_id(worker));
        }
    }

    /// Queries the number of attempts in flight at this worker.
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

    /// Records that the owner of this worker did not answer in time. Queries to it are [`QueryOutcome::Unavailable`]
    /// until it sends something again.
    pub fn mark_owner_silent(&mut self, worker: WorkerId) {
        let owner = self.owner(short_id(worker));
        self.is_silent[owner] = true;
    }

    /// Handles a datagram from the node at this position, and returns the answer if it is one. Ignores invalid datagrams.
    pub fn receive(&mut self, now: Micros, from: usize, bytes: &[u8]) -> Option<LoadAnswer> {
        let message = Message::decode(bytes)?;
        *self.is_silent.get_mut(from)? = false;
        match message {
            Message::Count {
                worker,
                sequence,
                in_flight,
            } => {
                let count = PeerCount {
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
                // Only the owner knows the count.
                let is_from_owner = self.is_owner(from, worker);
                is_from_owner.then_some(LoadAnswer { worker, in_flight })
            }
        }
    }

    fn receive_count(&mut self, now: Micros, from: usize, worker: u32, count: PeerCount) {
        let has_capacity =
            self.peer_counts.len() < MAX_OWNED_WORKERS || self.peer_counts.contains_key(&worker);
        if !has_capacity || !self.is_owner(self.index, worker) {
            return;
        }
        let counts = self.peer_counts.entry(worker).or_default();
        let is_outdated =
            |known: &PeerCount| known.is_fresh(now) && known.is_newer_than(count.sequence);
        if !counts.get(&from).is_some_and(is_outdated) {
            counts.insert(from, count);
        }
    }

    /// Number of stored counts of other nodes, including expired ones until the next sweep.
    pub fn stored_counts(&self) -> usize {
        self.peer_counts.values().map(HashMap::len).sum()
    }

    /// When to call [`InFlightGossip::wake`] next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.own_counts
            .values()
            .map(|own_count| own_count.next_refresh_at)
            .min()
    }

    /// Repeats the counts that are due, and removes expired counts of other nodes.
    pub fn wake(&mut self, now: Micros) {
        let due = self
            .own_counts
            .iter()
            .filter(|(_, own_count)| own_count.next_refresh_at <= now);
        for worker in due.map(|(worker, _)| *worker).collect::<Vec<_>>() {
            // A count of zero is repeated once and then dropped.
            let is_idle = self.own_counts[&worker].in_flight == 0;
            self.send_count(now, worker);
            if is_idle {
                self.own_counts.remove(&worker);
            }
        }
        // Totals leave out expired counts, so these need not be removed at once. Searching all counts on each turn of
        // the node's loop would let any node cause much work by sending many counts.
        if self.next_sweep_at <= now {
            self.next_sweep_at = now + REFRESH_INTERVAL;
            self.peer_counts.retain(|_, counts| {
                counts.retain(|_, count| count.is_fresh(now));
                !counts.is_empty()
            });
        }
    }

    /// Sends this node's count for this worker to its owner.
    fn send_count(&mut self, now: Micros, worker: u32) {
        let owner = self.owner(worker);
        let Some(own_count) = self.own_counts.get_mut(&worker) else {
            return;
        };
        own_count.sequence = own_count.sequence.wrapping_add(1);
        own_count.next_refresh_at = now + REFRESH_INTERVAL;
        if owner != self.index {
            let count = Message::Count {
                worker,
                sequence: own_count.sequence,
                in_flight: own_count.in_flight,
            };
            self.outgoing.push_back((owner, count));
        }
    }

    /// The attempts of all nodes in flight at a worker that this node owns; none while it has not run long enough to
    /// have received all counts.
    fn total_in_flight(&self, now: Micros, worker: u32) -> Option<u8> {
        if now - self.started_at < REFRESH_INTERVAL {
            return None;
        }
        let counts = self
            .peer_counts
            .get(&worker)
            .into_iter()
            .flat_map(HashMap::values);
        let fresh = counts.filter(|count| count.is_fresh(now));
        let peer_total: u32 = fresh.map(|count| u32::from(count.in_flight)).sum();
        let own_total = self
            .own_counts
            .get(&worker)
            .map_or(0, |own_count| own_count.in_flight);
        Some((peer_total + u32::from(own_total)).min(u32::from(MAX_COUNT)) as u8)
    }

    /// Whether the node at position `node` owns a worker that a datagram names. Does not add to the cache of owners, so
    /// that invented ids in datagrams cannot displace the workers that this node uses.
    fn is_owner(&self, node: usize, worker: u32) -> bool {
        let known = self.owners.get(&worker).copied();
        node == self.index && self.peer_counts.contains_key(&worker)
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
