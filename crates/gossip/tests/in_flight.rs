//! Counts of many nodes in virtual time, with datagrams that are lost, late, repeated or forged.

use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_gossip::message::{Message, MAX_LENGTH};
use marbledeck_gossip::{
    owner_of, short_id, InFlightGossip, LoadAnswer, PendingQueries, QueryOutcome, EXPIRY,
    MAX_OWNED_WORKERS, REFRESH_INTERVAL,
};
use proptest::prelude::*;
use std::collections::HashMap;

const WORKER: WorkerId = WorkerId(0xe6a1_28c4_0675_47b0);

/// Nodes that receive each other's datagrams immediately, unless `lost` drops them.
struct Cluster {
    nodes: Vec<InFlightGossip>,
    lost: fn(usize, usize) -> bool,
    sent: usize,
}

impl Cluster {
    fn new(nodes: usize, lost: fn(usize, usize) -> bool) -> Self {
        let node = |n| InFlightGossip::new(n, nodes, Micros(0));
        let nodes = (0..nodes).map(node).collect();
        Cluster {
            nodes,
            lost,
            sent: 0,
        }
    }

    /// Delivers all datagrams and returns the answers, each with the node that queried.
    fn deliver(&mut self, now: Micros) -> Vec<(usize, LoadAnswer)> {
        let mut answers = Vec::new();
        loop {
            let mut is_done = true;
            for from in 0..self.nodes.len() {
                while let Some((to, bytes)) = self.nodes[from].next_datagram() {
                    assert!(bytes.len() <= MAX_LENGTH && to != from);
                    (self.sent, is_done) = (self.sent + 1, false);
                    if !(self.lost)(from, to) {
                        let answer = self.nodes[to].receive(now, from, &bytes);
                        answers.extend(answer.map(|answer| (to, answer)));
                    }
                }
            }
            if is_done {
                return answers;
            }
        }
    }

    /// Queries from a node and returns the count in the answer, if there is one.
    fn query(&mut self, now: Micros, node: usize) -> Option<u8> {
        match self.nodes[node].query(now, WORKER) {
            QueryOutcome::Known(in_flight) => Some(in_flight),
            QueryOutcome::Unavailable => {
                self.deliver(now);
                None
            }
            QueryOutcome::Sent => {
                let answers = self.deliver(now);
                let answer = answers.iter().find(|(to, _)| *to == node);
                answer.and_then(|(_, answer)| answer.in_flight)
            }
        }
    }

    fn wake(&mut self, now: Micros) {
        self.nodes.iter_mut().for_each(|node| node.wake(now));
        self.deliver(now);
    }
}

fn one_millisecond_after(now: Micros) -> Micros {
    now + Micros(1000)
}

/// Jobs pile up at one worker if nodes do not know of the attempts of others. With 300 nodes, a node that queries knows
/// of all attempts at a worker.
#[test]
fn a_node_that_queries_knows_of_the_attempts_of_all_others() {
    let mut cluster = Cluster::new(300, |_, _| false);
    let now = one_millisecond_after(REFRESH_INTERVAL);
    cluster.wake(now);
    for node in 0..300 {
        if node % 30 == 7 {
            cluster.nodes[node].record_send(now, WORKER);
        }
    }
    cluster.deliver(now);
    for node in [0, 7, 150, owner_of(short_id(WORKER), 300)] {
        assert_eq!(cluster.query(now, node), Some(10), "node {node}");
    }
    cluster.nodes[7].record_end(now, WORKER);
    cluster.deliver(now);
    assert_eq!(cluster.query(now, 150), Some(9));
    // Repeated counts do not add attempts.
    let later = one_millisecond_after(now + REFRESH_INTERVAL);
    cluster.wake(later);
    assert_eq!(cluster.query(later, 150), Some(9));
    // Ten counts, an end, nine repeated counts and some queries: nothing is sent to all nodes.
    assert!(cluster.sent < 60, "{} datagrams", cluster.sent);
}

/// An owner that has just started answers that it does not know, until each node has had time to repeat its counts.
#[test]
fn an_owner_that_has_just_started_does_not_report_a_worker_as_idle() {
    let mut cluster = Cluster::new(9, |_, _| false);
    let owner = owner_of(short_id(WORKER), 9);
    let node = (owner + 1) % 9;
    let now = one_millisecond_after(REFRESH_INTERVAL);
    cluster.nodes[node].record_send(now, WORKER);
    cluster.deliver(now);
    assert_eq!(cluster.query(now, node), Some(1));
    cluster.nodes[owner] = InFlightGossip::new(owner, 9, now);
    assert_eq!(cluster.query(one_millisecond_after(now), node), None);
    let later = one_millisecond_after(now + REFRESH_INTERVAL);
    cluster.wake(later);
    assert_eq!(cluster.query(later, node), Some(1));
}

/// The counts of a node that has died expire.
#[test]
fn the_attempts_of_a_dead_node_expire() {
    let mut cluster = Cluster::new(9, |_, _| false);
    let owner = owner_of(short_id(WORKER), 9);
    let (dead, alive) = ((owner + 1) % 9, (owner + 2) % 9);
    let now = one_millisecond_after(REFRESH_INTERVAL);
    cluster.nodes[dead].record_send(now, WORKER);
    cluster.nodes[alive].record_send(now, WORKER);
    cluster.deliver(now);
    assert_eq!(cluster.query(now, alive), Some(2));
    cluster.nodes[dead] = InFlightGossip::new(dead, 9, now);
    let mut later = now;
    while later < now + EXPIRY {
        later = later + REFRESH_INTERVAL;
        cluster.wake(later);
    }
    assert_eq!(cluster.query(later, alive), Some(1));
}

/// A node waits only once for an owner that cannot be reached, until it receives something from it.
#[test]
fn a_silent_owner_is_not_waited_for() {
    let mut cluster = Cluster::new(9, |_, _| true);
    let owner = owner_of(short_id(WORKER), 9);
    let node = (owner + 1) % 9;
    let now = one_millisecond_after(REFRESH_INTERVAL);
    assert_eq!(cluster.nodes[node].query(now, WORKER), QueryOutcome::Sent);
    cluster.nodes[node].mark_owner_silent(WORKER);
    assert_eq!(
        cluster.nodes[node].query(now, WORKER),
        QueryOutcome::Unavailable
    );
    cluster.lost = |_, _| false;
    cluster.deliver(now);
    assert_eq!(cluster.nodes[node].query(now, WORKER), QueryOutcome::Sent);
}

/// A count that arrives after a later one changes nothing, and neither does one that arrives twice.
#[test]
fn late_and_repeated_counts_change_nothing() {
    let count = |sequence, in_flight| {
        let worker = short_id(WORKER);
        Message::Count {
            worker,
            sequence,
            in_flight,
        }
        .encode()
    };
    let owner = owner_of(short_id(WORKER), 9);
    let mut node = InFlightGossip::new(owner, 9, Micros(0));
    let now = one_millisecond_after(REFRESH_INTERVAL);
    let from = (owner + 1) % 9;
    for (sequence, in_flight, expected) in
        [(9, 3, 3), (8, 7, 3), (9, 3, 3), (200, 1, 3), (10, 2, 2)]
    {
        node.receive(now, from, &count(sequence, in_flight));
        assert_eq!(
            node.query(now, WORKER),
            QueryOutcome::Known(expected),
            "{sequence}"
        );
    }
}

/// Answers are accepted only from the owner of the worker. Counts are stored only by the owner, and only from existing
/// nodes.
#[test]
fn answers_and_counts_that_bypass_the_owner_are_dropped() {
    let worker = short_id(WORKER);
    let owner = owner_of(worker, 9);
    let other = (owner + 1) % 9;
    let now = one_millisecond_after(REFRESH_INTERVAL);
    let answer = Message::Answer {
        worker,
        in_flight: Some(0),
    };
    let mut node = InFlightGossip::new(other, 9, Micros(0));
    assert_eq!(node.receive(now, (owner + 2) % 9, &answer.encode()), None);
    assert!(node.receive(now, owner, &answer.encode()).is_some());
    let count = Message::Count {
        worker,
        sequence: 1,
        in_flight: 200,
    };
    let mut owner_node = InFlightGossip::new(owner, 9, Micros(0));
    owner_node.receive(now, 9, &count.encode());
    assert_eq!(owner_node.query(now, WORKER), QueryOutcome::Known(0));
    node.receive(now, owner, &Message::Query { worker }.encode());
    assert_eq!(node.next_datagram(), None);
}

/// A faulty node that invents workers fills a table of bounded size. Once its counts have expired, there is space again.
#[test]
fn invented_workers_take_bounded_memory() {
    let mut node = InFlightGossip::new(0, 2, Micros(0));
    let now = one_millisecond_after(REFRESH_INTERVAL);
    let mut owned = (0u32..).filter(|w| owner_of(*w, 2) == 0);
    for worker in owned.by_ref().take(MAX_OWNED_WORKERS) {
        let count = Message::Count {
            worker,
            sequence: 1,
            in_flight: 1,
        };
        node.receive(now, 1, &count.encode());
    }
    let worker = owned.next().unwrap();
    let count = Message::Count {
        worker,
        sequence: 1,
        in_flight: 1,
    };
    let worker_id = WorkerId(worker.into());
    node.receive(now, 1, &count.encode());
    assert_eq!(
        node.query(now, worker_id),
        QueryOutcome::Known(0),
        "the table is full"
    );
    let later = now + EXPIRY;
    node.wake(later);
    node.receive(later, 1, &count.encode());
    assert_eq!(
        node.query(later, worker_id),
        QueryOutcome::Known(1),
        "expired counts leave space"
    );
}

/// Owners are spread evenly: none of 300 nodes owns more than six of 200 workers.
#[test]
fn owners_are_spread_over_the_nodes() {
    let mut owned_workers = vec![0; 300];
    for worker in 0..200u32 {
        owned_workers[owner_of(worker.wrapping_mul(0x9E37_79B9), 300)] += 1;
    }
    assert!(owned_workers.iter().max() <= Some(&6), "{owned_workers:?}");
}

proptest! {
    #[test]
    fn arbitrary_datagrams_do_no_harm(from in 0usize..12, bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut node = InFlightGossip::new(3, 9, Micros(0));
        node.receive(REFRESH_INTERVAL, from, &bytes);
        node.wake(REFRESH_INTERVAL);
        while let Some((to, bytes)) = node.next_datagram() {
            prop_assert!(to < 9 && bytes.len() <= MAX_LENGTH);
        }
    }

    #[test]
    fn decoded_datagrams_are_the_same_after_encoding_and_decoding(bytes in proptest::collection::vec(any::<u8>(), 0..9)) {
        if let Some(message) = Message::decode(&bytes) {
            prop_assert_eq!(Message::decode(&message.encode()), Some(message));
        }
    }

    #[test]
    fn messages_are_decoded_as_they_were_encoded(worker: u32, sequence: u8, in_flight in 0u8..=254, known: bool) {
        let answer = Some(in_flight).filter(|_| known);
        for message in [
            Message::Count { worker, sequence, in_flight },
            Message::Query { worker },
            Message::Answer { worker, in_flight: answer },
        ] {
            prop_assert_eq!(Message::decode(&message.encode()), Some(message));
        }
    }
}

/// The node's loop calls `wake` on every turn, so expired counts, of which a faulty node may send many, are searched for
/// only at intervals.
#[test]
fn expired_counts_are_swept_at_intervals() {
    let mut node = InFlightGossip::new(0, 300, Micros(0));
    let owned = (0..).filter(|worker| owner_of(*worker, 300) == 0).take(9);
    for worker in owned {
        let count = Message::Count {
            worker,
            sequence: 1,
            in_flight: 1,
        };
        node.receive(Micros(0), 1, &count.encode());
    }
    node.wake(EXPIRY);
    assert_eq!(node.stored_counts(), 0, "expired counts are removed");
    let before_next_sweep = EXPIRY + Micros(REFRESH_INTERVAL.0 / 2);
    let worker = (0..).find(|worker| owner_of(*worker, 300) == 0).unwrap();
    let count = Message::Count {
        worker,
        sequence: 9,
        in_flight: 1,
    };
    node.receive(Micros(before_next_sweep.0 - EXPIRY.0), 1, &count.encode());
    assert_eq!(node.stored_counts(), 1);
    node.wake(before_next_sweep);
    assert_eq!(node.stored_counts(), 1, "not before the next sweep");
    node.wake(EXPIRY + REFRESH_INTERVAL);
    assert_eq!(node.stored_counts(), 0);
}

proptest! {
    /// Probes wait for the answer of the owner, so each query must end exactly once, even if two workers share a short
    /// id.
    #[test]
    fn each_query_ends_exactly_once(steps in prop::collection::vec((0..3u8, 0..4u64, 0..2u64), 0..80)) {
        // Pairs with the same short id: the same bits are added to the lower and the upper half of the id.
        let worker = |n: u64, pair: u64| WorkerId((n ^ pair << 8) | pair << 40);
        prop_assert_eq!(short_id(worker(3, 0)), short_id(worker(3, 1)));
        let (mut queries, mut open) = (PendingQueries::default(), HashMap::new());
        let mut now = Micros(0);
        for (step, n, pair) in steps {
            now = now + Micros(10);
            let ended = match step {
                // A worker is not queried again while its query is pending.
                0 if !open.contains_key(&worker(n, pair)) => {
                    let displaced = queries.insert(worker(n, pair), now + Micros(35));
                    open.insert(worker(n, pair), now + Micros(35));
                    displaced
                }
                1 => queries.take_answered(short_id(worker(n, 0))),
                _ => queries.take_overdue(now),
            };
            if let Some(ended) = ended {
                prop_assert!(open.remove(&ended).is_some(), "a query ended twice or was never made");
            }
        }
        prop_assert_eq!(queries.next_deadline(), open.values().min().copied());
        while let Some(ended) = queries.take_overdue(now + Micros(100)) {
            prop_assert!(open.remove(&ended).is_some());
        }
        prop_assert!(open.is_empty(), "queries never ended: {:?}", open);
    }
}
