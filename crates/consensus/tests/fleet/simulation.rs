//! Simulation of a fleet in virtual time: voters with their disks, nodes, messages in flight, and checks at every step.

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

/// Length of a simulation step.
pub const STEP_US: u64 = 10_000;
/// Length of a voter's tick.
pub const TICK_US: u64 = 50_000;
pub const TERMS: LeaseTerms = LeaseTerms {
    duration: Micros(1_000_000),
    clock_drift: 0.01,
};
/// Upper limit of an attempt's duration.
pub const LONGEST_RUN_US: u64 = 800_000;

pub struct Rng(pub oorandom::Rand64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(oorandom::Rand64::new(u128::from(seed)))
    }
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.rand_range(0..limit.max(1))
    }
    pub fn chance(&mut self, probability: f64) -> bool {
        self.0.rand_float() < probability
    }
}

pub enum Message {
    Raft {
        sender: u64,
        to: u64,
        bytes: Vec<u8>,
    },
    ReadRequest {
        node: usize,
        to: u64,
        request_id: u64,
        known_revision: u64,
        incarnation: u64,
        commands: Vec<Command>,
    },
    ReadResponse {
        node: usize,
        incarnation: u64,
        response: ReadResponse,
    },
    Persisted {
        voter: u64,
        incarnation: u64,
        requests: Vec<PersistRequest>,
    },
    ContactReport {
        to: u64,
        nodes: Vec<(u32, u64)>,
    },
}

/// A voter's disk. Its contents survive a kill of the voter.
#[derive(Default, Clone)]
pub struct Disk {
    pub persisted: PersistedState,
    pub full: bool,
    /// Requests that failed because the disk was full.
    pub blocked: Vec<PersistRequest>,
    /// Requests for the next write.
    pub queued: Vec<PersistRequest>,
    /// When the current write completes.
    pub busy_until: u64,
}

impl Disk {
    pub fn write(&mut self, request: &PersistRequest) {
        if let Some(hard_state) = &request.hard_state {
            self.persisted.hard_state = Some(hard_state.clone());
        }
        if let Some(EncodedSnapshot {
            index,
            bytes: snapshot,
        }) = &request.snapshot
        {
            self.persisted.snapshot = Some(snapshot.clone());
            self.persisted
                .entries
                .retain(|(entry_index, _)| !request.replaces_log && entry_index > index);
        }
        if let Some((first, _)) = request.entries.first() {
            self.persisted
                .entries
                .retain(|(entry_index, _)| entry_index < first);
            self.persisted
                .entries
                .extend(request.entries.iter().cloned());
        }
    }
}

/// A voter and its disk. `voter` is `None` while the voter is killed, `reclaimer` while it is not the leader.
pub struct VoterSlot {
    pub voter: Option<Voter>,
    pub reclaimer: Option<LeaseReclaimer>,
    pub disk: Disk,
    pub incarnation: u64,
    /// Read requests that are not confirmed yet, by their number: node, request id, known revision, incarnation.
    pub reads: BTreeMap<u64, (usize, u64, u64, u64)>,
    /// Number of the last read request.
    pub last_read: u64,
    /// Nodes that have contacted the voter since its last report, with their incarnations.
    pub contacts: BTreeMap<u32, u64>,
}

pub struct Node {
    pub reader: LeasedReader,
    pub allocator: SeatAllocator,
    pub incarnation: u64,
    /// Whether the node has not been killed for good.
    pub up: bool,
    pub paused_until: u64,
    /// Rate of its clock relative to the simulation's time.
    pub clock_rate: f64,
    /// The voter to which it sends its read requests.
    pub voter: u64,
    /// When it sends its next read request.
    pub next_read: u64,
    /// The last version of each record that it acted on.
    pub last_versions: BTreeMap<String, u64>,
    /// Attempts in progress: when the node drops each one, when it sent it, and whether the attempt has ended by then or the
    /// node gives it up.
    pub attempts: Vec<(u64, Micros, bool)>,
    /// The change of records that it has requested.
    pub pending_change: Option<Command>,
    pub change_count: u64,
}

impl Node {
    /// The time of its clock.
    pub fn local_time(&self, time: u64) -> Micros {
        Micros((time as f64 * self.clock_rate) as u64)
    }
}

/// When nodes acted on each version of a record: first and last time.
#[derive(Default)]
pub struct ActivePeriods(BTreeMap<String, BTreeMap<u64, (u64, u64)>>);

impl ActivePeriods {
    pub fn record(&mut self, time: u64, name: &str, version: u64) {
        let versions = self.0.entry(name.to_owned()).or_default();
        versions.entry(version).or_insert((time, time)).1 = time;
    }

    /// The longest time for which nodes acted on an earlier version after the first one acted on a later version.
    pub fn longest_overlap(&self, name: &str) -> i64 {
        let Some(versions) = self.0.get(name) else {
            return i64::MIN;
        };
        let mut longest = i64::MIN;
        for (version, (first, _)) in versions {
            for (_, (_, last)) in versions.range(..version) {
                longest = longest.max(*last as i64 - *first as i64);
            }
        }
        longest
    }
}

pub struct Simulation {
    pub rng: Rng,
    /// Virtual time in microseconds.
    pub time: u64,
    pub slots: Vec<VoterSlot>,
    pub nodes: Vec<Node>,
    /// Delivery time and number of each message in flight.
    pub queue: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    pub messages: BTreeMap<u64, Message>,
    pub last_message_id: u64,
    /// Cut connections: from, to, until when. Voters are numbered from 1, nodes from 1000.
    pub cuts: Vec<(u64, u64, u64)>,
    pub active_periods: ActivePeriods,
    /// When each attempt that runs at a worker ends.
    pub running: Vec<u64>,
    pub pool_seats: u32,
    pub max_running: usize,
    pub changes_applied: u64,
    pub reads_sent: u64,
    pub grants: u64,
    pub denied_attempts: u64,
    /// Number of messages that each voter and node has sent.
    pub messages_sent: BTreeMap<u64, u64>,
    /// Sum of the seats in use over all steps.
    pub used_seat_steps: u64,
    /// Whether a changing quarter of the nodes has high demand for seats, instead of all nodes a low one.
    pub shifting_demand: bool,
}

impl Simulation {
    pub fn new(seed: u64, voters: u64, nodes: usize) -> Self {
        let mut rng = Rng::new(seed);
        let ids: Vec<u64> = (1..=voters).collect();
        let slot = |id: u64| VoterSlot {
            voter: Some(Voter::new(id, &ids, 1, &PersistedState::default()).expect("a voter")),
            reclaimer: None,
            disk: Disk::default(),
            incarnation: 1,
            reads: BTreeMap::new(),
            last_read: 0,
            contacts: BTreeMap::new(),
        };
        let slots = ids.iter().map(|id| slot(*id)).collect();
        let node = |rng: &mut Rng| Node {
            reader: LeasedReader::new(TERMS),
            allocator: SeatAllocator::new(vec!["codec".into()], Vec::new(), Micros(2_000_000)),
            incarnation: 1,
            up: true,
            paused_until: 0,
            // The rates of any two clocks differ by 1% at most.
            clock_rate: 0.995 + 0.00995 * rng.0.rand_float(),
            voter: 1 + rng.below(voters),
            next_read: rng.below(300_000),
            last_versions: BTreeMap::new(),
            attempts: Vec::new(),
            pending_change: None,
            change_count: 0,
        };
        let nodes = (0..nodes).map(|_| node(&mut rng)).collect();
        Simulation {
            rng,
            time: 0,
            slots,
            nodes,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            last_message_id: 0,
            cuts: Vec::new(),
            active_periods: ActivePeriods::default(),
            running: Vec::new(),
            pool_seats: 20,
            max_running: 0,
            changes_applied: 0,
            reads_sent: 0,
            grants: 0,
            denied_attempts: 0,
            messages_sent: BTreeMap::new(),
            used_seat_steps: 0,
            shifting_demand: false,
        }
    }

    pub fn send(&mut self, from: u64, to: u64, message: Message) {
        *self.messages_sent.entry(from).or_default() += 1;
        let cut = self
            .cuts
            .iter()
            .any(|(a, b, until)| *a == from && *b == to && *until > self.time);
        if cut || self.rng.chance(0.01) {
            return;
        }
        // A few messages are delayed so much that they arrive out of order.
        let max_delay = if self.rng.chance(0.02) {
            400_000
        } else {
            8_000
        };
        let delivery_time = self.time + 500 + self.rng.below(max_delay);
        self.schedule(delivery_time, message);
    }

    pub fn schedule(&mut self, delivery_time: u64, message: Message) {
        self.last_message_id += 1;
        self.queue
            .push(std::cmp::Reverse((delivery_time, self.last_message_id)));
        self.messages.insert(self.last_message_id, message);
    }

    /// Does the work that a voter hands to its caller.
    pub fn process_effects(&mut self, v: usize) {
        let sender = v as u64 + 1;
        let Some(voter) = &mut self.slots[v].voter else {
            return;
        };
        let effects = voter.poll_effects();
        let is_leader = voter.is_leader();
        let time = self.time;
        if is_leader && self.slots[v].reclaimer.is_none() {
            self.slots[v].reclaimer = Some(LeaseReclaimer::new(Micros(time), TERMS));
        } else if !is_leader {
            self.slots[v].reclaimer = None;
        }
        for request in effects.persist_requests {
            let slot = &mut self.slots[v];
            if slot.disk.full || !slot.disk.blocked.is_empty() {
                let queued = std::mem::take(&mut slot.disk.queued);
                slot.disk.blocked.extend(queued);
                slot.disk.blocked.push(request);
                slot.voter.as_mut().expect("it runs").suspend();
                continue;
            }
            self.slots[v].disk.queued.push(request);
        }
        // The disk does one write at a time, of all queued requests together.
        if self.slots[v].disk.busy_until <= self.time && !self.slots[v].disk.queued.is_empty() {
            let completion_time = self.time + 2_000 + self.rng.below(20_000);
            let slot = &mut self.slots[v];
            slot.disk.busy_until = completion_time;
            let (incarnation, requests) = (slot.incarnation, std::mem::take(&mut slot.disk.queued));
            self.schedule(
                completion_time,
                Message::Persisted {
                    voter: sender,
                    incarnation,
                    requests,
                },
            );
        }
        for OutgoingMessage { to, bytes } in effects.messages {
            self.send(sender, to, Message::Raft { sender, to, bytes });
        }
        let slot = &mut self.slots[v];
        let unconfirmed = slot
            .reads
            .split_off(&(effects.confirmed_read.unwrap_or(0) + 1));
        for (node, request_id, known_revision, incarnation) in
            std::mem::replace(&mut slot.reads, unconfirmed).into_values()
        {
            let state = self.slots[v].voter.as_ref().expect("it runs").state();
            let response =
                ReadResponse::new(state, node as u32, incarnation, request_id, known_revision);
            self.send(
                sender,
                1000 + node as u64,
                Message::ReadResponse {
                    node,
                    incarnation,
                    response,
                },
            );
        }
    }

    pub fn tick(&mut self) {
        for v in 0..self.slots.len() {
            let id = v as u64 + 1;
            if let Some(voter) = &mut self.slots[v].voter {
                voter.tick();
            }
            let (time, slot) = (self.time, &mut self.slots[v]);
            if let (Some(voter), Some(reclaimer)) = (&mut slot.voter, &mut slot.reclaimer) {
                for operation in reclaimer.poll_operations(Micros(time), voter.state()) {
                    voter.propose(&Command {
                        node: 0,
                        incarnation: 0,
                        number: 0,
                        operation,
                    });
                }
            }
            if self.time.is_multiple_of(500_000) && slot.voter.is_some() {
                let nodes: Vec<(u32, u64)> =
                    std::mem::take(&mut slot.contacts).into_iter().collect();
                if let Some(reclaimer) = &mut slot.reclaimer {
                    for (node, incarnation) in &nodes {
                        reclaimer.record_contact(Micros(time), *node, *incarnation);
                    }
                }
                for to in (1..=self.slots.len() as u64).filter(|to| *to != id) {
                    let nodes = nodes.clone();
                    self.send(id, to, Message::ContactReport { to, nodes });
                }
            }
        }
    }

    /// An operator requests a change of records at this node.
    pub fn request_change(&mut self, n: usize, change: Change) {
        let node = &mut self.nodes[n];
        if node.pending_change.is_none() {
            node.change_count += 1;
            let (incarnation, number) = (node.incarnation, node.change_count);
            node.pending_change = Some(Command {
                node: n as u32,
                incarnation,
                number,
                operation: Operation::Change(change),
            });
        }
    }

    pub fn run(&mut self, until: u64, faults: Faults, each_second: impl Fn(&mut Simulation)) {
        while self.time < until {
            self.time += STEP_US;
            while self.queue.peek().is_some_and(|next| next.0 .0 <= self.time) {
                let (_, message_id) = self.queue.pop().expect("a queued message").0;
                let message = self
                    .messages
                    .remove(&message_id)
                    .expect("a message in flight");
                self.deliver(message);
            }
            if self.time.is_multiple_of(TICK_US) {
                self.tick();
            }
            for v in 0..self.slots.len() {
                self.process_effects(v);
            }
            self.step_nodes();
            if self.time.is_multiple_of(1_000_000) {
                self.inject_faults(faults);
                each_second(self);
            }
        }
    }

    /// The state of the voter that has applied the most commands.
    pub fn newest_state(&self) -> Option<&ReplicatedState> {
        let states = self
            .slots
            .iter()
            .filter_map(|slot| slot.voter.as_ref().map(Voter::state));
        states.max_by_key(|state| state.revision())
    }
}
