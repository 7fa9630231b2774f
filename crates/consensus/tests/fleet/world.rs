//! The fleet in virtual time: voters with their disks, nodes, messages in flight, and a checker.

mod deliver;
mod faults;
mod nodes;

pub use faults::{no_faults, Faults, ALL_FAULTS};

use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::{
    Change, Command, EncodedSnapshot, LeaseReclaimer, LeaseTerms, LeasedReader, Operation,
    OutgoingMessage, PersistRequest, PersistedState, ReplicatedState, Voter,
};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::SeatAllocator;
use std::collections::{BTreeMap, BinaryHeap};

pub const STEP: u64 = 10_000;
pub const TICK: u64 = 50_000;
pub const TERMS: LeaseTerms = LeaseTerms {
    duration: Micros(1_000_000),
    clock_drift: 0.01,
};
pub const LONGEST: u64 = 800_000;

pub struct Rng(pub oorandom::Rand64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(oorandom::Rand64::new(u128::from(seed)))
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.0.rand_range(0..n.max(1))
    }
    pub fn chance(&mut self, of: f64) -> bool {
        self.0.rand_float() < of
    }
}

pub enum Msg {
    Raft {
        from: u64,
        to: u64,
        bytes: Vec<u8>,
    },
    Ask {
        node: usize,
        to: u64,
        question: u64,
        known: u64,
        boot: u64,
        commands: Vec<Command>,
    },
    ReadResponse {
        node: usize,
        boot: u64,
        answer: ReadResponse,
    },
    Saved {
        voter: u64,
        boot: u64,
        saves: Vec<PersistRequest>,
    },
    ContactReport {
        to: u64,
        nodes: Vec<(u32, u64)>,
    },
}

/// A voter's disk: what is on it outlives the voter.
#[derive(Default, Clone)]
pub struct Disk {
    pub durable: PersistedState,
    pub full: bool,
    pub waiting: Vec<PersistRequest>,
    pub queued: Vec<PersistRequest>,
    pub busy: u64,
}

impl Disk {
    pub fn write(&mut self, save: &PersistRequest) {
        if let Some(hard) = &save.hard_state {
            self.durable.hard_state = Some(hard.clone());
        }
        if let Some(EncodedSnapshot {
            index,
            bytes: snapshot,
        }) = &save.snapshot
        {
            self.durable.snapshot = Some(snapshot.clone());
            self.durable
                .entries
                .retain(|(at, _)| !save.replaces_log && at > index);
        }
        if let Some((first, _)) = save.entries.first() {
            self.durable.entries.retain(|(at, _)| at < first);
            self.durable.entries.extend(save.entries.iter().cloned());
        }
    }
}

pub struct Seat {
    pub voter: Option<Voter>,
    pub reclaimer: Option<LeaseReclaimer>,
    pub disk: Disk,
    pub boot: u64,
    pub asks: BTreeMap<u64, (usize, u64, u64, u64)>,
    pub next: u64,
    pub contacts: BTreeMap<u32, u64>,
}

pub struct Node {
    pub reader: LeasedReader,
    pub allocator: SeatAllocator,
    pub boot: u64,
    pub up: bool,
    pub stopped_until: u64,
    /// The rate of its clock.
    pub rate: f64,
    pub voter: u64,
    pub ask_at: u64,
    pub seen: BTreeMap<String, u64>,
    /// Calls whose end it will learn: when, sent, known.
    pub calls: Vec<(u64, Micros, bool)>,
    pub change: Option<Command>,
    pub changes: u64,
}

impl Node {
    pub fn now(&self, at: u64) -> Micros {
        Micros((at as f64 * self.rate) as u64)
    }
}

/// How long each version of a record was acted upon.
#[derive(Default)]
pub struct Acts(BTreeMap<String, BTreeMap<u64, (u64, u64)>>);

impl Acts {
    pub fn note(&mut self, at: u64, name: &str, version: u64) {
        let acts = self.0.entry(name.to_owned()).or_default();
        acts.entry(version).or_insert((at, at)).1 = at;
    }

    /// The longest that an earlier version was acted upon after the first act on a later one.
    pub fn worst(&self, name: &str) -> i64 {
        let Some(acts) = self.0.get(name) else {
            return i64::MIN;
        };
        let mut worst = i64::MIN;
        for (version, (first, _)) in acts {
            for (_, (_, last)) in acts.range(..version) {
                worst = worst.max(*last as i64 - *first as i64);
            }
        }
        worst
    }
}

pub struct World {
    pub rng: Rng,
    pub at: u64,
    pub seats: Vec<Seat>,
    pub nodes: Vec<Node>,
    pub queue: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    pub msgs: BTreeMap<u64, Msg>,
    pub serial: u64,
    /// From and to: nothing passes. Voters count from 1, nodes from 1000.
    pub cuts: Vec<(u64, u64, u64)>,
    pub acts: Acts,
    /// Calls that run at workers, by when they end.
    pub running: Vec<u64>,
    pub pool: u32,
    pub most: usize,
    pub done: u64,
    pub asked: u64,
    pub grants: u64,
    pub refused: u64,
    /// Messages that left each voter, and the seats in use, added up over all steps.
    pub sent: BTreeMap<u64, u64>,
    pub in_use: u64,
    /// Takes and holds as long as it can, so that demand never lacks.
    pub greedy: bool,
}

impl World {
    pub fn new(seed: u64, voters: u64, nodes: usize) -> Self {
        let mut rng = Rng::new(seed);
        let ids: Vec<u64> = (1..=voters).collect();
        let seat = |id: u64| Seat {
            voter: Some(Voter::new(id, &ids, 1, &PersistedState::default()).expect("a voter")),
            reclaimer: None,
            disk: Disk::default(),
            boot: 1,
            asks: BTreeMap::new(),
            next: 0,
            contacts: BTreeMap::new(),
        };
        let seats = ids.iter().map(|id| seat(*id)).collect();
        let node = |rng: &mut Rng| Node {
            reader: LeasedReader::new(TERMS),
            allocator: SeatAllocator::new(vec!["codec".into()], Vec::new(), Micros(2_000_000)),
            boot: 1,
            up: true,
            stopped_until: 0,
            // Any two differ by one part in a hundred at most.
            rate: 0.995 + 0.00995 * rng.0.rand_float(),
            voter: 1 + rng.below(voters),
            ask_at: rng.below(300_000),
            seen: BTreeMap::new(),
            calls: Vec::new(),
            change: None,
            changes: 0,
        };
        let nodes = (0..nodes).map(|_| node(&mut rng)).collect();
        World {
            rng,
            at: 0,
            seats,
            nodes,
            queue: BinaryHeap::new(),
            msgs: BTreeMap::new(),
            serial: 0,
            cuts: Vec::new(),
            acts: Acts::default(),
            running: Vec::new(),
            pool: 20,
            most: 0,
            done: 0,
            asked: 0,
            grants: 0,
            refused: 0,
            sent: BTreeMap::new(),
            in_use: 0,
            greedy: false,
        }
    }

    pub fn send(&mut self, from: u64, to: u64, msg: Msg) {
        *self.sent.entry(from).or_default() += 1;
        let cut = self
            .cuts
            .iter()
            .any(|(a, b, until)| *a == from && *b == to && *until > self.at);
        if cut || self.rng.chance(0.01) {
            return;
        }
        // Late now and then, and so out of order.
        let late = if self.rng.chance(0.02) {
            400_000
        } else {
            8_000
        };
        let at = self.at + 500 + self.rng.below(late);
        self.later(at, msg);
    }

    pub fn later(&mut self, at: u64, msg: Msg) {
        self.serial += 1;
        self.queue.push(std::cmp::Reverse((at, self.serial)));
        self.msgs.insert(self.serial, msg);
    }

    /// Carries out what a voter wants.
    pub fn drive(&mut self, v: usize) {
        let id = v as u64 + 1;
        let Some(voter) = &mut self.seats[v].voter else {
            return;
        };
        let work = voter.poll_effects();
        let leads = voter.is_leader();
        let at = self.at;
        if leads && self.seats[v].reclaimer.is_none() {
            self.seats[v].reclaimer = Some(LeaseReclaimer::new(Micros(at), TERMS));
        } else if !leads {
            self.seats[v].reclaimer = None;
        }
        for save in work.persist_requests {
            let seat = &mut self.seats[v];
            if seat.disk.full || !seat.disk.waiting.is_empty() {
                let queued = std::mem::take(&mut seat.disk.queued);
                seat.disk.waiting.extend(queued);
                seat.disk.waiting.push(save);
                seat.voter.as_mut().expect("it runs").suspend();
                continue;
            }
            self.seats[v].disk.queued.push(save);
        }
        // One write after the other, each of all that waits.
        if self.seats[v].disk.busy <= self.at && !self.seats[v].disk.queued.is_empty() {
            let at = self.at + 2_000 + self.rng.below(20_000);
            let seat = &mut self.seats[v];
            seat.disk.busy = at;
            let (boot, saves) = (seat.boot, std::mem::take(&mut seat.disk.queued));
            self.later(
                at,
                Msg::Saved {
                    voter: id,
                    boot,
                    saves,
                },
            );
        }
        for OutgoingMessage { to, bytes } in work.messages {
            self.send(
                id,
                to,
                Msg::Raft {
                    from: id,
                    to,
                    bytes,
                },
            );
        }
        let seat = &mut self.seats[v];
        let later = seat.asks.split_off(&(work.confirmed_read.unwrap_or(0) + 1));
        for (node, question, known, boot) in std::mem::replace(&mut seat.asks, later).into_values()
        {
            let book = self.seats[v].voter.as_ref().expect("it runs").state();
            let answer = ReadResponse::new(book, node as u32, boot, question, known);
            self.send(
                id,
                1000 + node as u64,
                Msg::ReadResponse { node, boot, answer },
            );
        }
    }

    pub fn tick(&mut self) {
        for v in 0..self.seats.len() {
            let id = v as u64 + 1;
            if let Some(voter) = &mut self.seats[v].voter {
                voter.tick();
            }
            let (at, seat) = (self.at, &mut self.seats[v]);
            if let (Some(voter), Some(reclaimer)) = (&mut seat.voter, &mut seat.reclaimer) {
                for what in reclaimer.poll_operations(Micros(at), voter.state()) {
                    voter.propose(&Command {
                        node: 0,
                        incarnation: 0,
                        number: 0,
                        operation: what,
                    });
                }
            }
            if self.at.is_multiple_of(500_000) && seat.voter.is_some() {
                let nodes: Vec<(u32, u64)> =
                    std::mem::take(&mut seat.contacts).into_iter().collect();
                if let Some(reclaimer) = &mut seat.reclaimer {
                    for (node, boot) in &nodes {
                        reclaimer.record_contact(Micros(at), *node, *boot);
                    }
                }
                for to in (1..=self.seats.len() as u64).filter(|to| *to != id) {
                    let nodes = nodes.clone();
                    self.send(id, to, Msg::ContactReport { to, nodes });
                }
            }
        }
    }

    /// An operator at this node changes records.
    pub fn change(&mut self, n: usize, change: Change) {
        let node = &mut self.nodes[n];
        if node.change.is_none() {
            node.changes += 1;
            let (boot, number) = (node.boot, node.changes);
            node.change = Some(Command {
                node: n as u32,
                incarnation: boot,
                number,
                operation: Operation::Change(change),
            });
        }
    }

    pub fn run(&mut self, until: u64, faults: Faults, each_s: impl Fn(&mut World)) {
        while self.at < until {
            self.at += STEP;
            while self.queue.peek().is_some_and(|next| next.0 .0 <= self.at) {
                let (_, serial) = self.queue.pop().expect("it was seen").0;
                let msg = self.msgs.remove(&serial).expect("it was queued");
                self.deliver(msg);
            }
            if self.at.is_multiple_of(TICK) {
                self.tick();
            }
            for v in 0..self.seats.len() {
                self.drive(v);
            }
            self.step_nodes();
            if self.at.is_multiple_of(1_000_000) {
                self.fault(faults);
                each_s(self);
            }
        }
    }

    pub fn newest(&self) -> Option<&ReplicatedState> {
        let books = self
            .seats
            .iter()
            .filter_map(|seat| seat.voter.as_ref().map(Voter::state));
        books.max_by_key(|book| book.revision())
    }
}
