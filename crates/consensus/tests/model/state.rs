//! The state of the model: the replicated state, two nodes, and the messages in flight.

use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::{
    Change, Command, LeaseReclaimer, LeaseTerms, LeasedReader, Operation, Record, RecordBody,
    RecordValidity, ReplicatedState,
};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{ConfirmedSeats, LedgerCommand, LicenceId, SeatAllocator};
use std::hash::{Hash, Hasher};

/// Length of a tick.
pub const TICK_US: u64 = 1_000_000;
/// A lease lasts one tick, and an attempt one tick at most.
pub const TERMS: LeaseTerms = LeaseTerms {
    duration: Micros(TICK_US),
    clock_drift: 0.0,
};
/// Duration of an attempt in ticks.
pub const RUN_TICKS: u64 = 1;
pub const LICENCE: &[LicenceId] = &[LicenceId(0)];

/// Compares and hashes a value by its `Debug` output, for types that do not implement `PartialEq` and `Hash`.
#[derive(Clone, Debug)]
pub struct ByDebug<T>(pub T);

impl<T: std::fmt::Debug> Hash for ByDebug<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{:?}", self.0).hash(state);
    }
}

impl<T: std::fmt::Debug> PartialEq for ByDebug<T> {
    fn eq(&self, other: &Self) -> bool {
        format!("{:?}", self.0) == format!("{:?}", other.0)
    }
}

#[derive(Clone, Debug, Hash, PartialEq)]
pub struct Node {
    pub reader: ByDebug<LeasedReader>,
    pub allocator: ByDebug<SeatAllocator>,
    pub incarnation: u64,
    /// Its attempts whose end it has not observed: when each was sent, and when it ends at its worker.
    pub attempts: Vec<(u64, u64)>,
}

#[derive(Clone, Debug, Hash, PartialEq)]
pub enum Message {
    ReadRequest {
        node: u32,
        incarnation: u64,
        request_id: u64,
        known_revision: u64,
    },
    ReadResponse {
        node: u32,
        incarnation: u64,
        response: ByDebug<ReadResponse>,
    },
    Command(ByDebug<Command>),
}

#[derive(Clone, Debug, Hash, PartialEq)]
pub struct State {
    /// Virtual time in ticks.
    pub tick: u64,
    pub replicated: ByDebug<ReplicatedState>,
    pub reclaimer: ByDebug<LeaseReclaimer>,
    pub nodes: Vec<Node>,
    pub messages: Vec<Message>,
    /// When each attempt that runs at a worker ends.
    pub running: Vec<u64>,
    pub crashes: u8,
    pub leader_changes: u8,
    pub changes: u64,
    pub reads_sent: u8,
}

impl Node {
    pub fn apply_response(&mut self, time: Micros, response: &ReadResponse) {
        let reader = &mut self.reader.0;
        if !reader.apply_response(time, response) {
            return;
        }
        let pools = match reader.validity(time, "seats/av1") {
            RecordValidity::Active(Record {
                body: Some(RecordBody::Pool(pool)),
                ..
            }) => {
                vec![("av1".to_owned(), Micros(pool.longest_run_ms * 1000))]
            }
            _ => Vec::new(),
        };
        let (lease_expiry, allocations) = (reader.lease_expiry(), response.held_seats());
        self.allocator.0.apply_confirmed(&ConfirmedSeats {
            free_seats: response.free_seats.clone(),
            lease_expiry,
            last_applied_command: response.last_seat_operation,
            allocations,
            pools,
        });
    }
}

pub fn new_node() -> Node {
    let allocator = SeatAllocator::new(vec!["av1".into()], Vec::new(), Micros(100 * TICK_US));
    Node {
        reader: ByDebug(LeasedReader::new(TERMS)),
        allocator: ByDebug(allocator),
        incarnation: 1,
        attempts: Vec::new(),
    }
}

pub fn put(record: &str, version: u64, body: RecordBody) -> Operation {
    Operation::Change(Change {
        expect: [(record.to_owned(), version)].into(),
        put: [(record.to_owned(), Some(body))].into(),
        exclusive: [record.to_owned()].into(),
    })
}

/// A time long before the first tick.
pub fn initial_time() -> Micros {
    Micros(TICK_US)
}

/// The time of a tick.
pub fn time_at(tick: u64) -> Micros {
    // Ticks are mapped to times after 0, which stands for a time before all others.
    Micros((tick + 10) * TICK_US)
}

impl State {
    /// Applies a command of the leader.
    pub fn apply_command(&mut self, operation: Operation) {
        self.replicated.0.apply(&Command {
            node: 0,
            incarnation: 0,
            number: 0,
            operation,
        });
    }

    /// The version of the exclusive record that the node may act on.
    pub fn active_version(&self, node: &Node) -> Option<u64> {
        match node.reader.0.validity(time_at(self.tick), "workers/out") {
            RecordValidity::Active(record) => Some(record.version),
            _ => None,
        }
    }
}

impl State {
    pub fn tick(&mut self) {
        self.tick += 1;
        let tick = self.tick;
        self.running.retain(|end| *end > tick);
    }

    /// A node sends its seat command, if it has one, and a read request.
    pub fn send_request(&mut self, n: usize) {
        let time = time_at(self.tick);
        let node = &mut self.nodes[n];
        if let Some(numbered) = node.allocator.0.poll_command(time) {
            let command = Command {
                node: n as u32,
                incarnation: node.incarnation,
                number: numbered.number,
                operation: Operation::Seats(numbered.command),
            };
            self.messages.push(Message::Command(ByDebug(command)));
        }
        let ticket = node.reader.0.begin_read(time);
        self.messages.push(Message::ReadRequest {
            node: n as u32,
            incarnation: node.incarnation,
            request_id: ticket.request_id,
            known_revision: ticket.known_revision,
        });
    }

    /// A voter responds to the read request that is this message, from the current state.
    pub fn answer_request(&mut self, message: usize) -> Option<()> {
        let Message::ReadRequest {
            node,
            incarnation,
            request_id,
            known_revision,
        } = self.messages.remove(message)
        else {
            return None;
        };
        let response = ReadResponse::new(
            &self.replicated.0,
            node,
            incarnation,
            request_id,
            known_revision,
        );
        self.messages.push(Message::ReadResponse {
            node,
            incarnation,
            response: ByDebug(response),
        });
        Some(())
    }

    /// A command reaches the voters, or a response its node.
    pub fn deliver(&mut self, message: usize) -> Option<()> {
        match self.messages.remove(message) {
            Message::Command(command) => drop(self.replicated.0.apply(&command.0)),
            Message::ReadResponse {
                node,
                incarnation,
                response,
            } => {
                let time = time_at(self.tick);
                let node = &mut self.nodes[node as usize];
                if node.incarnation == incarnation {
                    node.apply_response(time, &response.0);
                }
            }
            Message::ReadRequest { .. } => return None,
        }
        Some(())
    }

    pub fn begin_attempt(&mut self, n: usize) {
        let time = time_at(self.tick);
        let node = &mut self.nodes[n];
        if node.allocator.0.acquire(time, LICENCE, 0).is_ok() {
            let end = self.tick + RUN_TICKS;
            node.attempts.push((self.tick, end));
            self.running.push(end);
        }
    }

    /// A node learns that an attempt has ended, or gives it up if the end is not known.
    pub fn end_attempt(&mut self, n: usize, end_is_known: bool) -> Option<()> {
        let tick = self.tick;
        let node = &mut self.nodes[n];
        let is_over = |(_, end): &(u64, u64)| !end_is_known || *end <= tick;
        let index = node.attempts.iter().position(is_over)?;
        let (sent, _) = node.attempts.remove(index);
        node.allocator
            .0
            .release(time_at(sent), LICENCE, 0, end_is_known);
        Some(())
    }

    /// The leader reclaims the seats of a node that it suspects to be dead.
    pub fn suspect(&mut self, n: usize) {
        let incarnation = self.nodes[n].incarnation;
        self.apply_command(Operation::Seats(LedgerCommand::Reclaim {
            node: n as u32,
            incarnation,
        }));
        // The reclaimer observes the draining seats at once.
        let time = time_at(self.tick);
        let _ = self.reclaimer.0.poll_operations(time, &self.replicated.0);
    }
}
