//! The counts among many nodes, in virtual time, while datagrams are lost, late, repeated or forged.

use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_gossip::message::{Message, MAX_LENGTH};
use marbledeck_gossip::{
    owner_of, short_id, InFlightGossip, LoadAnswer, PendingQueries, QueryOutcome, EXPIRY,
    MAX_OWNED_WORKERS, REFRESH_INTERVAL,
};
use proptest::prelude::*;
use std::collections::HashMap;

const WORKER: WorkerId = WorkerId(0xe6a1_28c4_0675_47b0);

/// Nodes that receive each other's datagrams at once, unless the datagram is lost.
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

    /// Delivers all datagrams, and gives the answers that came, with the node that queried.
    fn deliver(&mut self, now: Micros) -> Vec<(usize, LoadAnswer)> {
        let mut answers = Vec::new();
        loop {
            let mut quiet = true;
            for from in 0..self.nodes.len() {
                while let Some((to, bytes)) = self.nodes[from].next_datagram() {
                    assert!(bytes.len() <= MAX_LENGTH && to != from);
                    (self.sent, quiet) = (self.sent + 1, false);
                    if !(self.lost)(from, to) {
                        let answer = self.nodes[to].receive(now, from, &bytes);
                        answers.extend(answer.map(|answer| (to, answer)));
                    }
                }
            }
            if quiet {
                return answers;
            }
        }
    }

    /// What a node is answered that queries now.
    fn ask(&mut self, now: Micros, node: usize) -> Option<u8> {
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

fn a_moment_later(now: Micros) -> Micros {
    now + Micros(1000)
}

/// The cause of jobs that pile up at one worker: 300 nodes that each send there, and one that queries knows of them all.
#[test]
fn a_node_that_queries_knows_of_the_attempts_of_all_others() {
    let mut cluster = Cluster::new(300, |_, _| false);
    let now = a_moment_later(REFRESH_INTERVAL);
    cluster.wake(now);
    for node in 0..300 {
        if node % 30 == 7 {
            cluster.nodes[node].record_send(now, WORKER);
        }
    }
    cluster.deliver(now);
    for node in [0, 7, 150, owner_of(short_id(WORKER), 300)] {
        assert_eq!(cluster.ask(now, node), Some(10), "node {node}");
    }
    cluster.nodes[7].record_end(now, WORKER);
    cluster.deliver(now);
    assert_eq!(cluster.ask(now, 150), Some(9));
    // What is repeated is no further attempt.
    let later = a_moment_later(now + REFRESH_INTERVAL);
    cluster.wake(later);
    assert_eq!(cluster.ask(later, 150), Some(9));
    // Ten counts, an end, nine repeated and some queries: nothing goes to all nodes.
    assert!(cluster.sent < 60, "{} datagrams", cluster.sent);
}

/// An owner that has just started knows of nothing and says so, until each node must have repeated its counts.
#[test]
fn an_owner_that_has_just_started_does_not_report_a_worker_as_idle() {
    let mut cluster = Cluster::new(9, |_, _| false);
    let owner = owner_of(short_id(WORKER), 9);
    let node = (owner + 1) % 9;
    let now = a_moment_later(REFRESH_INTERVAL);
    cluster.nodes[node].record_send(now, WORKER);
    cluster.deliver(now);
    assert_eq!(cluster.ask(now, node), Some(1));
    cluster.nodes[owner] = InFlightGossip::new(owner, 9, now);
    assert_eq!(cluster.ask(a_moment_later(now), node), None);
    let later = a_moment_later(now + REFRESH_INTERVAL);
    cluster.wake(later);
    assert_eq!(cluster.ask(later, node), Some(1));
}

/// Attempts of a node that has died count no longer than until a count expires.
#[test]
fn the_attempts_of_a_dead_node_expire() {
    let mut cluster = Cluster::new(9, |_, _| false);
    let owner = owner_of(short_id(WORKER), 9);
    let (dead, alive) = ((owner + 1) % 9, (owner + 2) % 9);
    let now = a_moment_later(REFRESH_INTERVAL);
    cluster.nodes[dead].record_send(now, WORKER);
    cluster.nodes[alive].record_send(now, WORKER);
    cluster.deliver(now);
    assert_eq!(cluster.ask(now, alive), Some(2));
    cluster.nodes[dead] = InFlightGossip::new(dead, 9, now);
    let mut later = now;
    while later < now + EXPIRY {
        later = later + REFRESH_INTERVAL;
        cluster.wake(later);
    }
    assert_eq!(cluster.ask(later, alive), Some(1));
}

/// An owner that is cut off is waited for once, and again as soon as it is heard from.
#[test]
fn a_silent_owner_is_not_waited_for() {
    let mut cluster = Cluster::new(9, |_, _| true);
    let owner = owner_of(short_id(WORKER), 9);
    let node = (owner + 1) % 9;
    let now = a_moment_later(REFRESH_INTERVAL);
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

/// A count that overtook a later one changes nothing, and neither does one that comes twice.
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
    let at = owner_of(short_id(WORKER), 9);
    let mut kept = InFlightGossip::new(at, 9, Micros(0));
    let now = a_moment_later(REFRESH_INTERVAL);
    let from = (at + 1) % 9;
    for (sequence, in_flight, counted) in [(9, 3, 3), (8, 7, 3), (9, 3, 3), (200, 1, 3), (10, 2, 2)]
    {
        kept.receive(now, from, &count(sequence, in_flight));
        assert_eq!(
            kept.query(now, WORKER),
            QueryOutcome::Known(counted),
            "{sequence}"
        );
    }
}

/// Only a worker's owner answers for it, only its owner takes counts about it, and only from nodes that there are.
#[test]
fn what_does_not_come_from_an_owner_is_dropped() {
    let worker = short_id(WORKER);
    let at = owner_of(worker, 9);
    let other = (at + 1) % 9;
    let now = a_moment_later(REFRESH_INTERVAL);
    let answer = Message::Answer {
        worker,
        in_flight: Some(0),
    };
    let mut node = InFlightGossip::new(other, 9, Micros(0));
    assert_eq!(node.receive(now, (at + 2) % 9, &answer.encode()), None);
    assert!(node.receive(now, at, &answer.encode()).is_some());
    let held = Message::Count {
        worker,
        sequence: 1,
        in_flight: 200,
    };
    let mut kept = InFlightGossip::new(at, 9, Micros(0));
    kept.receive(now, 9, &held.encode());
    assert_eq!(kept.query(now, WORKER), QueryOutcome::Known(0));
    node.receive(now, at, &Message::Query { worker }.encode());
    assert_eq!(node.next_datagram(), None);
}

/// A node that invents workers fills a bounded table, and the table is empty again once its counts have expired.
#[test]
fn invented_workers_take_bounded_memory() {
    let mut kept = InFlightGossip::new(0, 2, Micros(0));
    let now = a_moment_later(REFRESH_INTERVAL);
    let mut mine = (0u32..).filter(|w| owner_of(*w, 2) == 0);
    for worker in mine.by_ref().take(MAX_OWNED_WORKERS) {
        let count = Message::Count {
            worker,
            sequence: 1,
            in_flight: 1,
        };
        kept.receive(now, 1, &count.encode());
    }
    let worker = mine.next().unwrap();
    let count = Message::Count {
        worker,
        sequence: 1,
        in_flight: 1,
    };
    let one = WorkerId(worker.into());
    kept.receive(now, 1, &count.encode());
    assert_eq!(kept.query(now, one), QueryOutcome::Known(0), "no room");
    let later = now + EXPIRY;
    kept.wake(later);
    kept.receive(later, 1, &count.encode());
    assert_eq!(kept.query(later, one), QueryOutcome::Known(1), "room again");
}

/// Owners are spread: of 200 workers none of 300 nodes owns more than a handful, and all agree.
#[test]
fn owners_are_spread_over_the_nodes() {
    let mut kept = vec![0; 300];
    for worker in 0..200u32 {
        kept[owner_of(worker.wrapping_mul(0x9E37_79B9), 300)] += 1;
    }
    assert!(kept.iter().max() <= Some(&6), "{kept:?}");
}

proptest! {
    #[test]
    fn whatever_comes_does_no_harm(from in 0usize..12, bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut node = InFlightGossip::new(3, 9, Micros(0));
        node.receive(REFRESH_INTERVAL, from, &bytes);
        node.wake(REFRESH_INTERVAL);
        while let Some((to, bytes)) = node.next_datagram() {
            prop_assert!(to < 9 && bytes.len() <= MAX_LENGTH);
        }
    }

    #[test]
    fn a_message_that_is_understood_is_written_as_it_came(bytes in proptest::collection::vec(any::<u8>(), 0..9)) {
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

/// The node's loop wakes the counts on every turn; what a faulty node has sent is walked over once in a while only.
#[test]
fn void_counts_are_swept_once_in_a_while() {
    let mut node = InFlightGossip::new(0, 300, Micros(0));
    let kept = (0..).filter(|worker| owner_of(*worker, 300) == 0).take(9);
    for worker in kept {
        let count = Message::Count {
            worker,
            sequence: 1,
            in_flight: 1,
        };
        node.receive(Micros(0), 1, &count.encode());
    }
    node.wake(EXPIRY);
    assert_eq!(node.stored_counts(), 0, "void counts are forgotten");
    let late = EXPIRY + Micros(REFRESH_INTERVAL.0 / 2);
    let worker = (0..).find(|worker| owner_of(*worker, 300) == 0).unwrap();
    let count = Message::Count {
        worker,
        sequence: 9,
        in_flight: 1,
    };
    node.receive(Micros(late.0 - EXPIRY.0), 1, &count.encode());
    assert_eq!(node.stored_counts(), 1);
    node.wake(late);
    assert_eq!(node.stored_counts(), 1, "not before the next sweep");
    node.wake(EXPIRY + REFRESH_INTERVAL);
    assert_eq!(node.stored_counts(), 0);
}

proptest! {
    /// Whoever probes a worker waits for the owner's answer: each query ends once, also where two workers share a
    /// short id.
    #[test]
    fn each_question_ends_exactly_once(steps in prop::collection::vec((0..3u8, 0..4u64, 0..2u64), 0..80)) {
        // Pairs of one short name: what is added to the lower half is added to the upper one.
        let worker = |n: u64, pair: u64| WorkerId((n ^ pair << 8) | pair << 40);
        prop_assert_eq!(short_id(worker(3, 0)), short_id(worker(3, 1)));
        let (mut questions, mut open) = (PendingQueries::default(), HashMap::new());
        let mut now = Micros(0);
        for (step, n, pair) in steps {
            now = now + Micros(10);
            let ended = match step {
                // Nothing asks again while its question is open.
                0 if !open.contains_key(&worker(n, pair)) => {
                    let displaced = questions.insert(worker(n, pair), now + Micros(35));
                    open.insert(worker(n, pair), now + Micros(35));
                    displaced
                }
                1 => questions.take_answered(short_id(worker(n, 0))),
                _ => questions.take_overdue(now),
            };
            if let Some(ended) = ended {
                prop_assert!(open.remove(&ended).is_some(), "ended twice, or never queried");
            }
        }
        prop_assert_eq!(questions.next_deadline(), open.values().min().copied());
        while let Some(ended) = questions.take_overdue(now + Micros(100)) {
            prop_assert!(open.remove(&ended).is_some());
        }
        prop_assert!(open.is_empty(), "never ended: {:?}", open);
    }
}
