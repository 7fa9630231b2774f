//! A fleet in virtual time: voters that are killed, cut off, and run out of disk; nodes that are stopped, restarted and
//! whose clocks run at different rates. One checker looks at every node at every step. A failure prints its seed.

use marbledeck_consensus::wire::{ReadResponse, MAX_COMMANDS_PER_REQUEST};
use marbledeck_consensus::{
    Change, Command, EncodedSnapshot, LeaseReclaimer, LeaseTerms, LeasedReader, Operation, Outcome,
    OutgoingMessage, PersistRequest, PersistedState, Rates, ReadTicket, Record, RecordBody,
    RecordValidity, ReplicatedState, Voter,
};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{ConfirmedSeats, LicenceId, NumberedCommand, Pool, SeatAllocator};
use std::collections::{BTreeMap, BinaryHeap};

const STEP: u64 = 10_000;
const TICK: u64 = 50_000;
const TERMS: LeaseTerms = LeaseTerms {
    duration: Micros(1_000_000),
    clock_drift: 0.01,
};
const LONGEST: u64 = 800_000;

struct Rng(oorandom::Rand64);

impl Rng {
    fn new(seed: u64) -> Self {
        Rng(oorandom::Rand64::new(u128::from(seed)))
    }
    fn below(&mut self, n: u64) -> u64 {
        self.0.rand_range(0..n.max(1))
    }
    fn chance(&mut self, of: f64) -> bool {
        self.0.rand_float() < of
    }
}

enum Msg {
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
    Heard {
        to: u64,
        nodes: Vec<(u32, u64)>,
    },
}

/// A voter's disk: what is on it outlives the voter.
#[derive(Default, Clone)]
struct Disk {
    durable: PersistedState,
    full: bool,
    waiting: Vec<PersistRequest>,
    queued: Vec<PersistRequest>,
    busy: u64,
}

impl Disk {
    fn write(&mut self, save: &PersistRequest) {
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

struct Seat {
    voter: Option<Voter>,
    reclaimer: Option<LeaseReclaimer>,
    disk: Disk,
    boot: u64,
    asks: BTreeMap<u64, (usize, u64, u64, u64)>,
    next: u64,
    heard: BTreeMap<u32, u64>,
}

struct Node {
    reader: LeasedReader,
    allocator: SeatAllocator,
    boot: u64,
    up: bool,
    stopped_until: u64,
    /// The rate of its clock.
    rate: f64,
    voter: u64,
    ask_at: u64,
    seen: BTreeMap<String, u64>,
    /// Calls whose end it will learn: when, sent, known.
    calls: Vec<(u64, Micros, bool)>,
    change: Option<Command>,
    changes: u64,
}

impl Node {
    fn now(&self, at: u64) -> Micros {
        Micros((at as f64 * self.rate) as u64)
    }
}

/// How long each version of a record was acted upon.
#[derive(Default)]
struct Acts(BTreeMap<String, BTreeMap<u64, (u64, u64)>>);

impl Acts {
    fn note(&mut self, at: u64, name: &str, version: u64) {
        let acts = self.0.entry(name.to_owned()).or_default();
        acts.entry(version).or_insert((at, at)).1 = at;
    }

    /// The longest that an earlier version was acted upon after the first act on a later one.
    fn worst(&self, name: &str) -> i64 {
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

struct World {
    rng: Rng,
    at: u64,
    seats: Vec<Seat>,
    nodes: Vec<Node>,
    queue: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    msgs: BTreeMap<u64, Msg>,
    serial: u64,
    /// From and to: nothing passes. Voters count from 1, nodes from 1000.
    cuts: Vec<(u64, u64, u64)>,
    acts: Acts,
    /// Calls that run at workers, by when they end.
    running: Vec<u64>,
    pool: u32,
    most: usize,
    done: u64,
    asked: u64,
    grants: u64,
    refused: u64,
    /// Messages that left each voter, and the seats in use, added up over all steps.
    sent: BTreeMap<u64, u64>,
    in_use: u64,
    /// Takes and holds as long as it can, so that demand never lacks.
    greedy: bool,
}

fn no_faults() -> Faults {
    Faults {
        cuts: 0.0,
        kills: 0.0,
        stops: 0.0,
        full: 0.0,
    }
}

#[derive(Clone, Copy)]
struct Faults {
    cuts: f64,
    kills: f64,
    stops: f64,
    full: f64,
}

const ALL: Faults = Faults {
    cuts: 0.4,
    kills: 0.4,
    stops: 0.6,
    full: 0.15,
};

impl World {
    fn new(seed: u64, voters: u64, nodes: usize) -> Self {
        let mut rng = Rng::new(seed);
        let ids: Vec<u64> = (1..=voters).collect();
        let seat = |id: u64| Seat {
            voter: Some(Voter::new(id, &ids, 1, &PersistedState::default()).expect("a voter")),
            reclaimer: None,
            disk: Disk::default(),
            boot: 1,
            asks: BTreeMap::new(),
            next: 0,
            heard: BTreeMap::new(),
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

    fn send(&mut self, from: u64, to: u64, msg: Msg) {
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

    fn later(&mut self, at: u64, msg: Msg) {
        self.serial += 1;
        self.queue.push(std::cmp::Reverse((at, self.serial)));
        self.msgs.insert(self.serial, msg);
    }

    /// Carries out what a voter wants.
    fn drive(&mut self, v: usize) {
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

    #[expect(
        clippy::too_many_lines,
        reason = "to be split by kind of message or action"
    )]
    fn deliver(&mut self, msg: Msg) {
        match msg {
            Msg::Raft { from, to, bytes } => {
                if let Some(voter) = &mut self.seats[to as usize - 1].voter {
                    voter
                        .handle_message(from, &bytes)
                        .expect("a voter's message");
                }
            }
            Msg::Ask {
                node,
                to,
                question,
                known,
                boot,
                commands,
            } => {
                let seat = &mut self.seats[to as usize - 1];
                if let Some(voter) = &mut seat.voter {
                    seat.next += 1;
                    seat.asks.insert(seat.next, (node, question, known, boot));
                    seat.heard.insert(node as u32, boot);
                    voter.request_read(seat.next);
                    for command in commands.iter().take(MAX_COMMANDS_PER_REQUEST) {
                        voter.propose(command);
                    }
                }
            }
            Msg::ReadResponse { node, boot, answer } => {
                let at = self.at;
                let node = &mut self.nodes[node];
                if !node.up || node.boot != boot || node.stopped_until > at {
                    return;
                }
                let now = node.now(at);
                if node.reader.apply_response(now, &answer) {
                    let pool = match node.reader.validity(now, "seats/codec") {
                        RecordValidity::Active(Record {
                            body: Some(RecordBody::Pool(pool)),
                            ..
                        }) => {
                            vec![("codec".to_owned(), Micros(pool.longest_run_ms * 1000))]
                        }
                        _ => Vec::new(),
                    };
                    let (until, parts) = (node.reader.lease_expiry(), answer.held_seats());
                    node.allocator.apply_confirmed(&ConfirmedSeats {
                        free_seats: answer.free_seats.clone(),
                        lease_expiry: until,
                        last_applied_command: answer.last_seat_operation,
                        allocations: parts,
                        pools: pool,
                    });
                    if let (Some(change), Some((number, outcome))) =
                        (&node.change, &answer.last_change)
                    {
                        if change.number == *number {
                            self.done += u64::from(*outcome == Outcome::Done);
                            node.change = None;
                        }
                    }
                }
            }
            Msg::Saved { voter, boot, saves } => {
                let seat = &mut self.seats[voter as usize - 1];
                for save in saves.iter().filter(|_| seat.boot == boot) {
                    seat.disk.write(save);
                    if let Some(voter) = &mut seat.voter {
                        voter.handle_persisted(save.ticket);
                    }
                }
            }
            Msg::Heard { to, nodes } => {
                let at = self.at;
                if let Some(reclaimer) = &mut self.seats[to as usize - 1].reclaimer {
                    for (node, boot) in nodes {
                        reclaimer.record_contact(Micros(at), node, boot);
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
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
                let nodes: Vec<(u32, u64)> = std::mem::take(&mut seat.heard).into_iter().collect();
                if let Some(reclaimer) = &mut seat.reclaimer {
                    for (node, boot) in &nodes {
                        reclaimer.record_contact(Micros(at), *node, *boot);
                    }
                }
                for to in (1..=self.seats.len() as u64).filter(|to| *to != id) {
                    let nodes = nodes.clone();
                    self.send(id, to, Msg::Heard { to, nodes });
                }
            }
        }
    }

    /// Every node that runs asks, takes seats and acts.
    #[expect(
        clippy::too_many_lines,
        reason = "to be split by kind of message or action"
    )]
    fn live(&mut self) {
        let at = self.at;
        for n in 0..self.nodes.len() {
            let node = &mut self.nodes[n];
            if !node.up || node.stopped_until > at {
                continue;
            }
            let now = node.now(at);
            // What it would do just now.
            let names: Vec<String> = node.reader.record_names().map(str::to_owned).collect();
            for name in names {
                if let RecordValidity::Active(record) = node.reader.validity(now, &name) {
                    let last = node.seen.entry(name.clone()).or_default();
                    assert!(record.version >= *last, "{name} went back");
                    *last = record.version;
                    self.acts.note(at, &name, record.version);
                }
            }
            while let Some(at_call) = node.calls.iter().position(|(end, ..)| *end <= at) {
                let (_, sent, known) = node.calls.swap_remove(at_call);
                node.allocator.release(sent, &[LicenceId(0)], 0, known);
            }
            // Where demand moves, it is a quarter of the nodes at a time that has it.
            let wants = !self.greedy || (n as u64 + at / 10_000_000).is_multiple_of(4);
            if wants && self.rng.chance(if self.greedy { 0.5 } else { 0.05 }) {
                match node.allocator.acquire(now, &[LicenceId(0)], 0) {
                    Ok(()) => {
                        self.grants += 1;
                        // It runs at its worker whatever becomes of the node.
                        let ends = at + 10_000 + self.rng.below(LONGEST - 10_000);
                        let known = self.rng.chance(0.8);
                        let heard = if known {
                            ends
                        } else {
                            at + self.rng.below(ends - at)
                        };
                        self.running.push(ends);
                        node.calls.push((heard, now, known));
                    }
                    Err(_) => self.refused += 1,
                }
            }
            if node.ask_at <= at {
                node.ask_at = at + 200_000 + self.rng.below(60_000);
                if self.rng.chance(0.2) || !node.reader.has_lease(now) {
                    node.voter = 1 + self.rng.below(self.seats.len() as u64);
                }
                let ReadTicket {
                    request_id: question,
                    known_revision: known,
                } = node.reader.begin_read(now);
                let moves = node.allocator.poll_command(now).map(
                    |NumberedCommand {
                         number,
                         command: what,
                     }| Command {
                        node: n as u32,
                        incarnation: node.boot,
                        number,
                        operation: Operation::Seats(what),
                    },
                );
                let commands: Vec<Command> = moves.into_iter().chain(node.change.clone()).collect();
                let (to, boot) = (node.voter, node.boot);
                self.asked += 1;
                self.send(
                    1000 + n as u64,
                    to,
                    Msg::Ask {
                        node: n,
                        to,
                        question,
                        known,
                        boot,
                        commands,
                    },
                );
            }
        }
        self.running.retain(|end| *end > at);
        self.most = self.most.max(self.running.len());
        self.in_use += self.running.len() as u64;
        assert!(
            self.running.len() <= self.pool as usize,
            "{} seats in use of {}",
            self.running.len(),
            self.pool
        );
    }

    #[expect(
        clippy::too_many_lines,
        reason = "to be split by kind of message or action"
    )]
    fn fault(&mut self, faults: Faults) {
        let (at, voters) = (self.at, self.seats.len() as u64);
        if self.rng.chance(faults.cuts) {
            // One way or both, between voters or between a node and a voter.
            let node = 1000 + self.rng.below(self.nodes.len() as u64);
            let (a, b) = (1 + self.rng.below(voters), 1 + self.rng.below(voters));
            let (a, b) = if self.rng.chance(0.3) {
                (node, b)
            } else {
                (a, b)
            };
            let until = at + self.rng.below(5_000_000);
            self.cuts.push((a, b, until));
            if self.rng.chance(0.5) {
                self.cuts.push((b, a, until));
            }
        }
        if self.rng.chance(faults.kills) {
            let v = self.rng.below(voters) as usize;
            let seat = &mut self.seats[v];
            (seat.voter, seat.reclaimer) = (None, None);
            seat.asks.clear();
            seat.disk.waiting.clear();
            seat.disk.queued.clear();
            seat.disk.busy = 0;
            // What was under way is lost: it was not known to be durable.
            seat.boot += 1;
        }
        if self.rng.chance(faults.stops) {
            let n = self.rng.below(self.nodes.len() as u64) as usize;
            let span = self.rng.below(4_000_000);
            self.nodes[n].stopped_until = at + span;
        }
        if self.rng.chance(faults.stops / 2.0) {
            // Killed, and started again soon: its calls go on at their workers.
            let n = self.rng.below(self.nodes.len() as u64) as usize;
            let node = &mut self.nodes[n];
            node.boot += 1;
            node.reader = LeasedReader::new(TERMS);
            node.allocator =
                SeatAllocator::new(vec!["codec".into()], Vec::new(), Micros(2_000_000));
            node.calls.clear();
            node.change = None;
            node.seen.clear();
        }
        if self.rng.chance(faults.full) {
            let v = self.rng.below(voters) as usize;
            self.seats[v].disk.full = true;
        }
        for v in 0..self.seats.len() {
            if self.rng.chance(0.4) && self.seats[v].disk.busy <= self.at {
                let seat = &mut self.seats[v];
                seat.disk.full = false;
                let waiting = std::mem::take(&mut seat.disk.waiting);
                if let Some(voter) = &mut seat.voter {
                    for save in waiting {
                        seat.disk.write(&save);
                        voter.handle_persisted(save.ticket);
                    }
                }
            }
            if self.seats[v].voter.is_none() && self.rng.chance(0.5) {
                let ids: Vec<u64> = (1..=voters).collect();
                let seat = &mut self.seats[v];
                seat.boot += 1;
                let voter = Voter::new(v as u64 + 1, &ids, seat.boot, &seat.disk.durable);
                seat.voter = Some(voter.expect("what was stored is sound"));
            }
        }
    }

    /// An operator at this node changes records.
    fn change(&mut self, n: usize, change: Change) {
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

    fn run(&mut self, until: u64, faults: Faults, each_s: impl Fn(&mut World)) {
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
            self.live();
            if self.at.is_multiple_of(1_000_000) {
                self.fault(faults);
                each_s(self);
            }
        }
    }

    fn newest(&self) -> Option<&ReplicatedState> {
        let books = self
            .seats
            .iter()
            .filter_map(|seat| seat.voter.as_ref().map(Voter::state));
        books.max_by_key(|book| book.revision())
    }
}

fn pool(seats: u32) -> Option<RecordBody> {
    Some(RecordBody::Pool(Pool {
        seats,
        guaranteed: BTreeMap::new(),
        longest_run_ms: LONGEST / 1000,
    }))
}

fn put(
    expect: &[(&str, u64)],
    bodies: Vec<(&str, Option<RecordBody>)>,
    exclusive: &[&str],
) -> Change {
    Change {
        expect: expect
            .iter()
            .map(|(name, version)| ((*name).to_owned(), *version))
            .collect(),
        put: bodies
            .into_iter()
            .map(|(name, body)| (name.to_owned(), body))
            .collect(),
        exclusive: exclusive.iter().map(|name| (*name).to_owned()).collect(),
    }
}

fn rates(of: f64) -> Option<RecordBody> {
    Some(RecordBody::Rates(Rates {
        per_s: [("au".to_owned(), of)].into(),
    }))
}

/// A second's changes: rates, and a list of which no two versions may act at a time.
fn change_some(world: &mut World) {
    let Some(book) = world.newest() else {
        return;
    };
    let (r, o, p) = (
        book.version("settings/rates"),
        book.version("workers/out"),
        book.version("seats/codec"),
    );
    let n = world.rng.below(world.nodes.len() as u64) as usize;
    let seats = world.pool;
    let out = Some(RecordBody::OutOfService([format!("w{o}")].into()));
    let change = match (p, world.rng.chance(0.5)) {
        (0, _) => put(
            &[("seats/codec", 0)],
            vec![("seats/codec", pool(seats))],
            &[],
        ),
        (_, true) => put(
            &[("settings/rates", r)],
            vec![("settings/rates", rates(r as f64))],
            &[],
        ),
        (_, false) => put(
            &[("workers/out", o)],
            vec![("workers/out", out)],
            &["workers/out"],
        ),
    };
    world.change(n, change);
}

fn history(seed: u64, nodes: usize, seconds: u64) -> World {
    let mut world = World::new(seed, 5, nodes);
    world.run(5_000_000, no_faults(), change_some);
    world.run(seconds * 1_000_000, ALL, change_some);
    let overlap = TERMS.max_overlap().0 as i64 + STEP as i64;
    for name in ["settings/rates", "seats/codec"] {
        let worst = world.acts.worst(name);
        assert!(
            worst <= overlap,
            "seed {seed}: {name}: {worst} us of overlap, {overlap} are allowed"
        );
    }
    let worst = world.acts.worst("workers/out");
    assert!(
        worst < 0,
        "seed {seed}: versions of an exclusive record overlapped by {worst} us"
    );
    world
}

/// Histories of faults: the first seed, and how many, may be set; a long run takes 1,000.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str, or| {
        std::env::var(name)
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(or)
    };
    let first = number("MARBLEDECK_SEED", 1);
    first..first + number("MARBLEDECK_HISTORIES", 24)
}

#[test]
fn no_two_versions_act_for_longer_than_t() {
    let (mut done, mut grants) = (0, 0);
    for seed in seeds() {
        println!("seed {seed}");
        let world = history(seed, 30, 40);
        done += world.done;
        grants += world.grants;
    }
    // Else nothing was tried.
    assert!(
        done >= 24 && grants >= 24 * 20,
        "{done} changes, {grants} grants"
    );
}

#[test]
fn a_whole_fleet_of_300() {
    let world = history(7, 300, 20);
    assert!(world.done > 3, "{} changes", world.done);
    // One read index a voter and tick, whoever asks.
    assert!(world.asked > 300 * 15 * 3, "{} questions", world.asked);
}

#[test]
fn without_a_majority_the_fallbacks_hold() {
    let mut world = World::new(3, 3, 6);
    world.run(6_000_000, no_faults(), change_some);
    assert!(world
        .nodes
        .iter()
        .all(|node| node.reader.has_lease(node.now(world.at))));
    for v in [0, 1] {
        world.seats[v].voter = None;
    }
    let before = world.grants;
    let cut = world.at;
    world.run(cut + 1_200_000, no_faults(), |_| {});
    let granted = world.grants;
    for node in &mut world.nodes {
        let now = node.now(world.at);
        assert!(!node.reader.has_lease(now));
        assert!(matches!(
            node.reader.validity(now, "settings/rates"),
            RecordValidity::Unconfirmed { .. } | RecordValidity::Unknown
        ));
        assert!(node.allocator.acquire(now, &[LicenceId(0)], 0).is_err());
    }
    assert!(granted > 0 || before > 0);
    // A majority again, with what it had written: all goes on.
    for v in [0, 1] {
        let durable = world.seats[v].disk.durable.clone();
        world.seats[v].boot += 1;
        world.seats[v].voter =
            Some(Voter::new(v as u64 + 1, &[1, 2, 3], 9, &durable).expect("a voter"));
    }
    let at = world.at;
    world.run(at + 4_000_000, no_faults(), |_| {});
    assert!(world
        .nodes
        .iter()
        .all(|node| node.reader.has_lease(node.now(world.at))));
}

#[test]
fn a_dead_nodes_seats_come_back_only_after_its_calls() {
    let mut world = World::new(5, 3, 4);
    world.run(8_000_000, no_faults(), change_some);
    world.run(14_000_000, no_faults(), |_| {});
    let held = |world: &World, n: u32| -> u32 {
        let book = world.newest().expect("a book");
        book.seats()
            .held_by(n, 1)
            .iter()
            .map(|held| held.seats)
            .sum()
    };
    let n = (0..4).max_by_key(|n| held(&world, *n)).expect("four");
    assert!(held(&world, n) > 0, "nobody holds a seat");
    let taken = world.newest().expect("a book").seats().taken("codec");
    world.nodes[n as usize].up = false;
    let died = world.at;
    while held(&world, n) > 0 {
        let at = world.at;
        world.run(at + STEP, no_faults(), |_| {});
        assert!(
            world.at < died + 10_000_000,
            "its block was never reclaimed"
        );
    }
    // Draining seats are still taken.
    assert!(world.newest().expect("a book").seats().draining().count() > 0);
    let reclaimed = world.at;
    while world.newest().expect("a book").seats().draining().count() > 0 {
        let at = world.at;
        world.run(at + STEP, no_faults(), |_| {});
        assert!(
            world.at < reclaimed + 10_000_000,
            "its seats never came back"
        );
    }
    assert!(
        world.at - reclaimed >= TERMS.max_overlap().0 + LONGEST,
        "{} us",
        world.at - reclaimed
    );
    assert!(taken > 0);
}

/// The messages that promise anything wait for the disk.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "to be split by kind of message or action"
)]
fn nothing_leaves_before_it_is_durable() {
    let ids = [1, 2, 3];
    let mut a = Voter::new(1, &ids, 1, &PersistedState::default()).expect("a voter");
    let mut b = Voter::new(2, &ids, 1, &PersistedState::default()).expect("a voter");
    let mut promised = 0;
    // a stands for election; b's vote is not said before it is written.
    let mut to_b = Vec::new();
    for _ in 0..40 {
        a.tick();
        let work = a.poll_effects();
        work.persist_requests
            .iter()
            .for_each(|save| a.handle_persisted(save.ticket));
        to_b.extend(work.messages);
        to_b.extend(a.poll_effects().messages);
        for OutgoingMessage { to, bytes } in to_b.drain(..).filter(|message| message.to == 2) {
            assert_eq!(to, 2);
            b.handle_message(1, &bytes).expect("a's message");
        }
        let work = b.poll_effects();
        let tickets: Vec<u64> = work
            .persist_requests
            .iter()
            .map(|save| save.ticket)
            .collect();
        let held = work
            .persist_requests
            .iter()
            .any(|save| save.hard_state.is_some() || !save.entries.is_empty());
        let early: Vec<_> = work.messages.clone();
        if held {
            promised += 1;
            assert!(early.is_empty(), "b has promised what it has not written");
        }
        tickets
            .iter()
            .for_each(|ticket| b.handle_persisted(*ticket));
        for OutgoingMessage { bytes, .. } in early
            .into_iter()
            .chain(b.poll_effects().messages)
            .filter(|message| message.to == 1)
        {
            a.handle_message(2, &bytes).expect("b's message");
        }
    }
    assert!(promised > 0 && a.is_leader(), "{promised} promises");
    // Its disk takes nothing from now on: it leads no more, and says nothing, until a write gets through.
    a.suspend();
    let mut last = 0;
    for _ in 0..20 {
        a.tick();
        let work = a.poll_effects();
        assert!(
            work.messages.is_empty() && !a.is_leader(),
            "it speaks with a full disk"
        );
        last = work
            .persist_requests
            .last()
            .map_or(last, |save| save.ticket);
    }
    a.propose(&Command {
        node: 1,
        incarnation: 1,
        number: 1,
        operation: Operation::Change(Change::default()),
    });
    let saves = a.poll_effects().persist_requests;
    a.handle_persisted(saves.last().map_or(last, |save| save.ticket));
    a.tick();
    a.tick();
    assert!(
        !a.poll_effects().messages.is_empty(),
        "it is silent for good"
    );
}

/// A leader whose disk is full gives way, and what was agreed goes on without it.
#[test]
fn a_disk_that_is_full_promises_nothing() {
    let mut world = World::new(11, 3, 6);
    world.run(6_000_000, no_faults(), change_some);
    let leader = world
        .seats
        .iter()
        .position(|seat| seat.voter.as_ref().is_some_and(Voter::is_leader))
        .expect("a leader");
    world.seats[leader].disk.full = true;
    let before = world.done;
    // The faults' round would end it: none is played here.
    while world.at < 14_000_000 {
        let at = world.at;
        world.seats[leader].disk.full = true;
        world.run(at + 500_000, no_faults(), change_some);
    }
    assert!(world.done > before, "nothing was agreed without it");
    let book = world.newest().expect("a book").revision();
    world.seats[leader].disk.full = false;
    world.run(20_000_000, no_faults(), |_| {});
    let own = world.seats[leader]
        .voter
        .as_ref()
        .expect("it runs")
        .state()
        .revision();
    assert!(
        own >= book,
        "it takes part again by itself: {own} of {book}"
    );
}

/// An answer of an earlier revision, or to another question, is no reading.
#[test]
fn an_observer_never_goes_back() {
    let mut reader = LeasedReader::new(TERMS);
    let first = reader.begin_read(Micros(0)).request_id;
    let second = reader.begin_read(Micros(10)).request_id;
    let answer = |question, revision| ReadResponse {
        request_id: question,
        revision,
        ..ReadResponse::default()
    };
    assert!(!reader.apply_response(Micros(20), &answer(first, 5)));
    assert!(reader.apply_response(Micros(20), &answer(second, 5)));
    let ReadTicket {
        request_id: third,
        known_revision: known,
    } = reader.begin_read(Micros(500_000));
    assert_eq!(known, 5);
    assert!(!reader.apply_response(Micros(500_010), &answer(third, 4)));
    assert_eq!(reader.lease_expiry(), Micros(1_000_010));
    // Counted from the question, however late the answer is.
    assert!(reader.apply_response(Micros(900_000), &answer(third, 6)));
    assert_eq!(reader.lease_expiry(), Micros(1_500_000));
}

/// Figures for `docs/benchmarks.md`, not a test: `cargo test --release -p marbledeck-consensus --test fleet figures --
/// --ignored --nocapture`.
#[test]
#[ignore = "figures"]
#[expect(
    clippy::too_many_lines,
    reason = "to be split by kind of message or action"
)]
fn figures() {
    for nodes in [10, 100, 300] {
        let mut world = World::new(1, 5, nodes);
        world.run(6_000_000, no_faults(), change_some);
        let (sent, asked) = (world.sent.clone(), world.asked);
        let leads = |seat: &Seat| seat.voter.as_ref().is_some_and(Voter::is_leader);
        let leader = 1 + world.seats.iter().position(leads).expect("a leader") as u64;
        world.run(16_000_000, no_faults(), |_| {});
        let now_sent = world.sent.clone();
        let rate =
            |id: u64| (now_sent.get(&id).unwrap_or(&0) - sent.get(&id).unwrap_or(&0)) as f64 / 10.0;
        let others: f64 = (1..=5).filter(|v| *v != leader).map(rate).sum::<f64>() / 4.0;
        let each = (world.asked - asked) as f64 / 10.0 / nodes as f64;
        // A change, and when the last node acts on it.
        let version = world.newest().expect("a book").version("settings/rates");
        let at = world.at;
        world.change(
            0,
            put(
                &[("settings/rates", version)],
                vec![("settings/rates", rates(1.0))],
                &[],
            ),
        );
        let acts = |node: &Node, now| match node.reader.validity(now, "settings/rates") {
            RecordValidity::Active(record) => record.version > version,
            _ => false,
        };
        while !world
            .nodes
            .iter()
            .all(|node| acts(node, node.now(world.at)))
        {
            let at = world.at;
            world.run(at + STEP, no_faults(), |_| {});
        }
        println!(
            "{nodes} nodes: the leader sends {:.0} messages a second, each other voter {others:.0}, each node asks {each:.1}; \
             a change is acted on by all after {} ms",
            rate(leader),
            (world.at - at) / 1000
        );
    }
    for (name, greedy) in [("even", false), ("moving", true)] {
        let mut world = World::new(2, 5, 30);
        world.greedy = greedy;
        world.run(10_000_000, no_faults(), change_some);
        world.in_use = 0;
        world.run(70_000_000, no_faults(), |_| {});
        let steps = 60_000_000 / STEP;
        println!(
            "pool of 20, {name} demand of 30 nodes: {:.2} of it in use",
            world.in_use as f64 / steps as f64 / 20.0
        );
    }
    let mut worst = i64::MIN;
    for seed in 1..=10 {
        let mut world = World::new(seed, 5, 30);
        world.run(40_000_000, ALL, change_some);
        worst = worst.max(world.acts.worst("settings/rates"));
    }
    println!(
        "worst overlap of two versions over 10 histories: {} ms of {} allowed",
        worst / 1000,
        TERMS.max_overlap().0 / 1000
    );
}
