//! The counts: a node's own, and those that it keeps for all.

use crate::message::{Message, MOST};
use crate::{keeper, short};
use marbledeck_dispatcher::{Micros, WorkerId};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How often a node says again what it has out. A keeper that has just started has heard all after this.
pub const REFRESH: Micros = Micros(1_000_000);
/// A word that was not said again for so long is void: its sender has died, or is cut off. Two may be lost.
pub const EXPIRES: Micros = Micros(2_500_000);
/// The workers of which a keeper holds counts at most; words about more are dropped, whoever says them.
pub const MOST_WORKERS: usize = 4096;

/// What became of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// This node keeps the count itself: so many calls are out.
    Known(u8),
    /// The keeper is asked; [`Peers::receive`] will have its answer, unless it is lost.
    Sent,
    /// Nothing is to be waited for: the keeper did not answer lately, or has not listened for long enough.
    Nothing,
}

/// A keeper's answer: so many calls are out to the worker of this short name; none where it does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    pub worker: u32,
    pub calls: Option<u8>,
}

/// What another node has said of its calls to a worker.
struct Word {
    calls: u8,
    number: u8,
    at: Micros,
}

/// What this node has out to a worker.
#[derive(Default)]
struct Own {
    calls: u8,
    number: u8,
    /// When the keeper is next told.
    due: Micros,
}

/// One node's part.
pub struct Peers {
    index: usize,
    nodes: usize,
    born: Micros,
    own: BTreeMap<u32, Own>,
    /// By worker, then by node.
    kept: HashMap<u32, HashMap<usize, Word>>,
    /// The nodes that left a question open and were not heard since.
    silent: Vec<bool>,
    keepers: HashMap<u32, usize>,
    /// When words that are void are next looked for.
    sweep: Micros,
    out: VecDeque<(usize, Message)>,
}

impl Peers {
    /// The node of this number, from 0, among so many.
    pub fn new(index: usize, nodes: usize, now: Micros) -> Self {
        Peers {
            index,
            nodes,
            born: now,
            own: BTreeMap::new(),
            kept: HashMap::new(),
            silent: vec![false; nodes],
            keepers: HashMap::new(),
            sweep: now,
            out: VecDeque::new(),
        }
    }

    /// The next datagram to send, and the number of the node that it is for.
    pub fn datagram(&mut self) -> Option<(usize, Vec<u8>)> {
        let (to, message) = self.out.pop_front()?;
        Some((to, message.bytes()))
    }

    /// A call goes out to this worker.
    pub fn called(&mut self, now: Micros, worker: WorkerId) {
        let own = self.own.entry(short(worker)).or_default();
        own.calls = own.calls.saturating_add(1).min(MOST);
        self.say(now, short(worker));
    }

    /// A call to this worker has ended, however.
    pub fn ended(&mut self, now: Micros, worker: WorkerId) {
        if let Some(own) = self.own.get_mut(&short(worker)) {
            own.calls = own.calls.saturating_sub(1);
            self.say(now, short(worker));
        }
    }

    /// Asks how many calls are out to this worker.
    pub fn ask(&mut self, now: Micros, worker: WorkerId) -> Asked {
        let worker = short(worker);
        let keeper = self.keeper(worker);
        if keeper == self.index {
            return self.count(now, worker).map_or(Asked::Nothing, Asked::Known);
        }
        self.out.push_back((keeper, Message::Ask { worker }));
        match self.silent[keeper] {
            true => Asked::Nothing,
            false => Asked::Sent,
        }
    }

    /// The keeper of this worker did not answer in time: it is not waited for until it is heard again.
    pub fn unanswered(&mut self, worker: WorkerId) {
        let keeper = self.keeper(short(worker));
        self.silent[keeper] = true;
    }

    /// Takes a datagram from the node of this number. What is not understood does nothing.
    pub fn receive(&mut self, now: Micros, from: usize, bytes: &[u8]) -> Option<Told> {
        let message = Message::read(bytes)?;
        *self.silent.get_mut(from)? = false;
        match message {
            Message::Held {
                worker,
                number,
                calls,
            } => {
                let room = self.kept.len() < MOST_WORKERS || self.kept.contains_key(&worker);
                if room && self.keeper(worker) == self.index {
                    let words = self.kept.entry(worker).or_default();
                    let old =
                        |w: &Word| now - w.at < EXPIRES && number.wrapping_sub(w.number) as i8 <= 0;
                    if !words.get(&from).is_some_and(old) {
                        let at = now;
                        words.insert(from, Word { calls, number, at });
                    }
                }
                None
            }
            Message::Ask { worker } => {
                if self.keeper(worker) == self.index {
                    let calls = self.count(now, worker);
                    self.out.push_back((from, Message::Told { worker, calls }));
                }
                None
            }
            Message::Told { worker, calls } => {
                // Only a keeper knows.
                (self.keeper(worker) == from).then_some(Told { worker, calls })
            }
        }
    }

    /// How many words of other nodes are held, void ones included until the next sweep.
    pub fn words(&self) -> usize {
        self.kept.values().map(HashMap::len).sum()
    }

    /// When [`Peers::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        self.own.values().map(|own| own.due).min()
    }

    /// Says again what has not changed for a while, and forgets what is over.
    pub fn wake(&mut self, now: Micros) {
        let due = self.own.iter().filter(|(_, own)| own.due <= now);
        for worker in due.map(|(worker, _)| *worker).collect::<Vec<_>>() {
            // That nothing is out any more is said once more and no longer.
            let over = self.own[&worker].calls == 0;
            self.say(now, worker);
            if over {
                self.own.remove(&worker);
            }
        }
        // No count reads a void word, so they may stay for a while: a walk over all on each turn of the node's loop
        // would be work that any peer could make.
        if self.sweep <= now {
            self.sweep = now + REFRESH;
            self.kept.retain(|_, words| {
                words.retain(|_, word| now - word.at < EXPIRES);
                !words.is_empty()
            });
        }
    }

    /// Tells the keeper of this worker what this node has out there.
    fn say(&mut self, now: Micros, worker: u32) {
        let keeper = self.keeper(worker);
        let Some(own) = self.own.get_mut(&worker) else {
            return;
        };
        own.number = own.number.wrapping_add(1);
        own.due = now + REFRESH;
        let (number, calls) = (own.number, own.calls);
        if keeper != self.index {
            let held = Message::Held {
                worker,
                number,
                calls,
            };
            self.out.push_back((keeper, held));
        }
    }

    /// How many calls all nodes have out to a worker that this one keeps; none while it has not listened for long
    /// enough to have heard of all.
    fn count(&self, now: Micros, worker: u32) -> Option<u8> {
        if now - self.born < REFRESH {
            return None;
        }
        let words = self.kept.get(&worker).into_iter().flat_map(HashMap::values);
        let fresh = words.filter(|word| now - word.at < EXPIRES);
        let others: u32 = fresh.map(|word| u32::from(word.calls)).sum();
        let own = self.own.get(&worker).map_or(0, |own| own.calls);
        Some((others + u32::from(own)).min(u32::from(MOST)) as u8)
    }

    fn keeper(&mut self, worker: u32) -> usize {
        if self.keepers.len() >= MOST_WORKERS {
            self.keepers.clear();
        }
        let nodes = self.nodes;
        *self
            .keepers
            .entry(worker)
            .or_insert_with(|| keeper(worker, nodes))
    }
}
