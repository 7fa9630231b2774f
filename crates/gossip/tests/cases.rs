//! The counts among many nodes, in virtual time, while datagrams are lost, late, repeated or made up.

use marbledeck_dispatcher::{Micros, WorkerId};
use marbledeck_gossip::message::{Message, LONGEST};
use marbledeck_gossip::{
    keeper, short, Asked, Peers, Questions, Told, EXPIRES, MOST_WORKERS, REFRESH,
};
use proptest::prelude::*;
use std::collections::HashMap;

const WORKER: WorkerId = WorkerId(0xe6a1_28c4_0675_47b0);

/// Nodes that hear each other at once, unless the datagram is lost.
struct Tier {
    nodes: Vec<Peers>,
    lost: fn(usize, usize) -> bool,
    sent: usize,
}

impl Tier {
    fn new(nodes: usize, lost: fn(usize, usize) -> bool) -> Self {
        let node = |n| Peers::new(n, nodes, Micros(0));
        let nodes = (0..nodes).map(node).collect();
        Tier {
            nodes,
            lost,
            sent: 0,
        }
    }

    /// Carries what is to be said, and gives the answers that came, with the node that asked.
    fn carry(&mut self, now: Micros) -> Vec<(usize, Told)> {
        let mut answers = Vec::new();
        loop {
            let mut quiet = true;
            for from in 0..self.nodes.len() {
                while let Some((to, bytes)) = self.nodes[from].datagram() {
                    assert!(bytes.len() <= LONGEST && to != from);
                    (self.sent, quiet) = (self.sent + 1, false);
                    if !(self.lost)(from, to) {
                        let told = self.nodes[to].receive(now, from, &bytes);
                        answers.extend(told.map(|told| (to, told)));
                    }
                }
            }
            if quiet {
                return answers;
            }
        }
    }

    /// What a node hears that asks now.
    fn ask(&mut self, now: Micros, node: usize) -> Option<u8> {
        match self.nodes[node].ask(now, WORKER) {
            Asked::Known(calls) => Some(calls),
            Asked::Nothing => {
                self.carry(now);
                None
            }
            Asked::Sent => {
                let answers = self.carry(now);
                let told = answers.iter().find(|(to, _)| *to == node);
                told.and_then(|(_, told)| told.calls)
            }
        }
    }

    fn wake(&mut self, now: Micros) {
        self.nodes.iter_mut().for_each(|node| node.wake(now));
        self.carry(now);
    }
}

fn a_moment_later(now: Micros) -> Micros {
    now + Micros(1000)
}

/// The cause of jobs that pile up at one worker: 300 nodes that each send there, and one that asks knows of them all.
#[test]
fn a_node_that_asks_knows_of_the_calls_of_all_others() {
    let mut tier = Tier::new(300, |_, _| false);
    let now = a_moment_later(REFRESH);
    tier.wake(now);
    for node in 0..300 {
        if node % 30 == 7 {
            tier.nodes[node].called(now, WORKER);
        }
    }
    tier.carry(now);
    for node in [0, 7, 150, keeper(short(WORKER), 300)] {
        assert_eq!(tier.ask(now, node), Some(10), "node {node}");
    }
    tier.nodes[7].ended(now, WORKER);
    tier.carry(now);
    assert_eq!(tier.ask(now, 150), Some(9));
    // What is said again is no more calls.
    let later = a_moment_later(now + REFRESH);
    tier.wake(later);
    assert_eq!(tier.ask(later, 150), Some(9));
    // Ten words, an end, nine said again and some questions: nothing is told to all.
    assert!(tier.sent < 60, "{} datagrams", tier.sent);
}

/// A keeper that has just started knows of nothing and says so, until each node must have said again what it has out.
#[test]
fn a_keeper_that_has_just_started_does_not_say_that_a_worker_is_empty() {
    let mut tier = Tier::new(9, |_, _| false);
    let keeper = keeper(short(WORKER), 9);
    let node = (keeper + 1) % 9;
    let now = a_moment_later(REFRESH);
    tier.nodes[node].called(now, WORKER);
    tier.carry(now);
    assert_eq!(tier.ask(now, node), Some(1));
    tier.nodes[keeper] = Peers::new(keeper, 9, now);
    assert_eq!(tier.ask(a_moment_later(now), node), None);
    let later = a_moment_later(now + REFRESH);
    tier.wake(later);
    assert_eq!(tier.ask(later, node), Some(1));
}

/// Calls of a node that has died count no longer than a word stands.
#[test]
fn the_calls_of_a_dead_node_expire() {
    let mut tier = Tier::new(9, |_, _| false);
    let keeper = keeper(short(WORKER), 9);
    let (dead, alive) = ((keeper + 1) % 9, (keeper + 2) % 9);
    let now = a_moment_later(REFRESH);
    tier.nodes[dead].called(now, WORKER);
    tier.nodes[alive].called(now, WORKER);
    tier.carry(now);
    assert_eq!(tier.ask(now, alive), Some(2));
    tier.nodes[dead] = Peers::new(dead, 9, now);
    let mut later = now;
    while later < now + EXPIRES {
        later = later + REFRESH;
        tier.wake(later);
    }
    assert_eq!(tier.ask(later, alive), Some(1));
}

/// A keeper that is cut off is waited for once, and again as soon as it is heard.
#[test]
fn a_silent_keeper_is_not_waited_for() {
    let mut tier = Tier::new(9, |_, _| true);
    let keeper = keeper(short(WORKER), 9);
    let node = (keeper + 1) % 9;
    let now = a_moment_later(REFRESH);
    assert_eq!(tier.nodes[node].ask(now, WORKER), Asked::Sent);
    tier.nodes[node].unanswered(WORKER);
    assert_eq!(tier.nodes[node].ask(now, WORKER), Asked::Nothing);
    tier.lost = |_, _| false;
    tier.carry(now);
    assert_eq!(tier.nodes[node].ask(now, WORKER), Asked::Sent);
}

/// A word that overtook a later one changes nothing, and neither does one that comes twice.
#[test]
fn late_and_repeated_words_change_nothing() {
    let word = |number, calls| {
        let worker = short(WORKER);
        Message::Held {
            worker,
            number,
            calls,
        }
        .bytes()
    };
    let at = keeper(short(WORKER), 9);
    let mut kept = Peers::new(at, 9, Micros(0));
    let now = a_moment_later(REFRESH);
    let from = (at + 1) % 9;
    for (number, calls, counted) in [(9, 3, 3), (8, 7, 3), (9, 3, 3), (200, 1, 3), (10, 2, 2)] {
        kept.receive(now, from, &word(number, calls));
        assert_eq!(kept.ask(now, WORKER), Asked::Known(counted), "{number}");
    }
}

/// Only a worker's keeper answers for it, only its keeper takes words about it, and only from nodes that there are.
#[test]
fn what_no_keeper_says_is_dropped() {
    let worker = short(WORKER);
    let at = keeper(worker, 9);
    let other = (at + 1) % 9;
    let now = a_moment_later(REFRESH);
    let told = Message::Told {
        worker,
        calls: Some(0),
    };
    let mut node = Peers::new(other, 9, Micros(0));
    assert_eq!(node.receive(now, (at + 2) % 9, &told.bytes()), None);
    assert!(node.receive(now, at, &told.bytes()).is_some());
    let held = Message::Held {
        worker,
        number: 1,
        calls: 200,
    };
    let mut kept = Peers::new(at, 9, Micros(0));
    kept.receive(now, 9, &held.bytes());
    assert_eq!(kept.ask(now, WORKER), Asked::Known(0));
    node.receive(now, at, &Message::Ask { worker }.bytes());
    assert_eq!(node.datagram(), None);
}

/// A node that makes up workers fills a bounded table, and the table is empty again once its words have expired.
#[test]
fn made_up_workers_take_bounded_room() {
    let mut kept = Peers::new(0, 2, Micros(0));
    let now = a_moment_later(REFRESH);
    let mut mine = (0u32..).filter(|w| keeper(*w, 2) == 0);
    for worker in mine.by_ref().take(MOST_WORKERS) {
        let word = Message::Held {
            worker,
            number: 1,
            calls: 1,
        };
        kept.receive(now, 1, &word.bytes());
    }
    let worker = mine.next().unwrap();
    let word = Message::Held {
        worker,
        number: 1,
        calls: 1,
    };
    let one = WorkerId(worker.into());
    kept.receive(now, 1, &word.bytes());
    assert_eq!(kept.ask(now, one), Asked::Known(0), "no room");
    let later = now + EXPIRES;
    kept.wake(later);
    kept.receive(later, 1, &word.bytes());
    assert_eq!(kept.ask(later, one), Asked::Known(1), "room again");
}

/// Keepers are spread: of 200 workers none of 300 nodes keeps more than a handful, and all agree.
#[test]
fn keepers_are_spread_over_the_nodes() {
    let mut kept = vec![0; 300];
    for worker in 0..200u32 {
        kept[keeper(worker.wrapping_mul(0x9E37_79B9), 300)] += 1;
    }
    assert!(kept.iter().max() <= Some(&6), "{kept:?}");
}

proptest! {
    #[test]
    fn whatever_comes_does_no_harm(from in 0usize..12, bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut node = Peers::new(3, 9, Micros(0));
        node.receive(REFRESH, from, &bytes);
        node.wake(REFRESH);
        while let Some((to, bytes)) = node.datagram() {
            prop_assert!(to < 9 && bytes.len() <= LONGEST);
        }
    }

    #[test]
    fn a_message_that_is_understood_is_written_as_it_came(bytes in proptest::collection::vec(any::<u8>(), 0..9)) {
        if let Some(message) = Message::read(&bytes) {
            prop_assert_eq!(Message::read(&message.bytes()), Some(message));
        }
    }

    #[test]
    fn messages_come_back_as_they_were(worker: u32, number: u8, calls in 0u8..=254, known: bool) {
        let told = Some(calls).filter(|_| known);
        for message in [
            Message::Held { worker, number, calls },
            Message::Ask { worker },
            Message::Told { worker, calls: told },
        ] {
            prop_assert_eq!(Message::read(&message.bytes()), Some(message));
        }
    }
}

/// The node's loop wakes the counts on every turn; what a lying node has said is walked over once in a while only.
#[test]
fn void_words_are_looked_for_once_in_a_while() {
    let mut node = Peers::new(0, 300, Micros(0));
    let kept = (0..).filter(|worker| keeper(*worker, 300) == 0).take(9);
    for worker in kept {
        let word = Message::Held {
            worker,
            number: 1,
            calls: 1,
        };
        node.receive(Micros(0), 1, &word.bytes());
    }
    node.wake(EXPIRES);
    assert_eq!(node.words(), 0, "void words are forgotten");
    let late = EXPIRES + Micros(REFRESH.0 / 2);
    let worker = (0..).find(|worker| keeper(*worker, 300) == 0).unwrap();
    let word = Message::Held {
        worker,
        number: 9,
        calls: 1,
    };
    node.receive(Micros(late.0 - EXPIRES.0), 1, &word.bytes());
    assert_eq!(node.words(), 1);
    node.wake(late);
    assert_eq!(node.words(), 1, "not before the next sweep");
    node.wake(EXPIRES + REFRESH);
    assert_eq!(node.words(), 0);
}

proptest! {
    /// Whoever probes a worker waits for the keeper's answer: each question ends once, also where two workers share a
    /// short name.
    #[test]
    fn each_question_ends_exactly_once(steps in prop::collection::vec((0..3u8, 0..4u64, 0..2u64), 0..80)) {
        // Pairs of one short name: what is added to the lower half is added to the upper one.
        let worker = |n: u64, pair: u64| WorkerId((n ^ pair << 8) | pair << 40);
        prop_assert_eq!(short(worker(3, 0)), short(worker(3, 1)));
        let (mut questions, mut open) = (Questions::default(), HashMap::new());
        let mut now = Micros(0);
        for (step, n, pair) in steps {
            now = now + Micros(10);
            let ended = match step {
                // Nothing asks again while its question is open.
                0 if !open.contains_key(&worker(n, pair)) => {
                    let displaced = questions.open(worker(n, pair), now + Micros(35));
                    open.insert(worker(n, pair), now + Micros(35));
                    displaced
                }
                1 => questions.answered(short(worker(n, 0))),
                _ => questions.overdue(now),
            };
            if let Some(ended) = ended {
                prop_assert!(open.remove(&ended).is_some(), "ended twice, or never asked");
            }
        }
        prop_assert_eq!(questions.next(), open.values().min().copied());
        while let Some(ended) = questions.overdue(now + Micros(100)) {
            prop_assert!(open.remove(&ended).is_some());
        }
        prop_assert!(open.is_empty(), "never ended: {:?}", open);
    }
}
