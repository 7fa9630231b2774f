//! The state of the model: the replicated state, two nodes, and the messages between them.

use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::{
    Change, Command, LeaseReclaimer, LeaseTerms, LeasedReader, Operation, Record, RecordBody,
    RecordValidity, ReplicatedState,
};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::{ConfirmedSeats, LedgerCommand, LicenceId, SeatAllocator};
use std::hash::{Hash, Hasher};

pub const TICK: u64 = 1_000_000;
/// A reading holds for a tick, and a call runs for one at most.
pub const TERMS: LeaseTerms = LeaseTerms {
    duration: Micros(TICK),
    clock_drift: 0.0,
};
pub const RUN: u64 = 1;
pub const SEAT: &[LicenceId] = &[LicenceId(0)];

/// By what it shows: everything of it counts.
#[derive(Clone, Debug)]
pub struct Shown<T>(pub T);

impl<T: std::fmt::Debug> Hash for Shown<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{:?}", self.0).hash(state);
    }
}

impl<T: std::fmt::Debug> PartialEq for Shown<T> {
    fn eq(&self, other: &Self) -> bool {
        format!("{:?}", self.0) == format!("{:?}", other.0)
    }
}

#[derive(Clone, Debug, Hash, PartialEq)]
pub struct Node {
    pub reader: Shown<LeasedReader>,
    pub allocator: Shown<SeatAllocator>,
    pub boot: u64,
    /// Its attempts whose end it does not know: when each was sent, and when it ends at its worker.
    pub calls: Vec<(u64, u64)>,
}

#[derive(Clone, Debug, Hash, PartialEq)]
pub enum Msg {
    Question {
        node: u32,
        boot: u64,
        question: u64,
        known: u64,
    },
    ReadResponse {
        node: u32,
        boot: u64,
        answer: Shown<ReadResponse>,
    },
    Command(Shown<Command>),
}

#[derive(Clone, Debug, Hash, PartialEq)]
pub struct State {
    pub at: u64,
    pub book: Shown<ReplicatedState>,
    pub reclaimer: Shown<LeaseReclaimer>,
    pub nodes: Vec<Node>,
    pub msgs: Vec<Msg>,
    /// When the calls that run at workers end.
    pub running: Vec<u64>,
    pub crashes: u8,
    pub leaders: u8,
    pub changes: u64,
    pub asks: u8,
}

impl Node {
    pub fn read(&mut self, time: Micros, answer: &ReadResponse) {
        let reader = &mut self.reader.0;
        if !reader.apply_response(time, answer) {
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
        let (until, parts) = (reader.lease_expiry(), answer.held_seats());
        self.allocator.0.apply_confirmed(&ConfirmedSeats {
            free_seats: answer.free_seats.clone(),
            lease_expiry: until,
            last_applied_command: answer.last_seat_operation,
            allocations: parts,
            pools,
        });
    }
}

pub fn node() -> Node {
    let allocator = SeatAllocator::new(vec!["av1".into()], Vec::new(), Micros(100 * TICK));
    Node {
        reader: Shown(LeasedReader::new(TERMS)),
        allocator: Shown(allocator),
        boot: 1,
        calls: Vec::new(),
    }
}

pub fn put(record: &str, version: u64, body: RecordBody) -> Operation {
    Operation::Change(Change {
        expect: [(record.to_owned(), version)].into(),
        put: [(record.to_owned(), Some(body))].into(),
        exclusive: [record.to_owned()].into(),
    })
}

/// Long before all that is played.
pub fn before() -> Micros {
    Micros(TICK)
}

pub fn now(at: u64) -> Micros {
    // Not from 0: that is a time before all others.
    Micros((at + 10) * TICK)
}

impl State {
    pub fn command(&mut self, what: Operation) {
        self.book.0.apply(&Command {
            node: 0,
            incarnation: 0,
            number: 0,
            operation: what,
        });
    }

    pub fn version(&self, node: &Node) -> Option<u64> {
        match node.reader.0.validity(now(self.at), "workers/out") {
            RecordValidity::Active(record) => Some(record.version),
            _ => None,
        }
    }
}

impl State {
    pub fn tick(&mut self) {
        self.at += 1;
        let at = self.at;
        self.running.retain(|end| *end > at);
    }

    /// A node sends its seat command, if it has one, and a read request.
    pub fn send_request(&mut self, n: usize) {
        let time = now(self.at);
        let node = &mut self.nodes[n];
        if let Some(numbered) = node.allocator.0.poll_command(time) {
            let command = Command {
                node: n as u32,
                incarnation: node.boot,
                number: numbered.number,
                operation: Operation::Seats(numbered.command),
            };
            self.msgs.push(Msg::Command(Shown(command)));
        }
        let ticket = node.reader.0.begin_read(time);
        self.msgs.push(Msg::Question {
            node: n as u32,
            boot: node.boot,
            question: ticket.request_id,
            known: ticket.known_revision,
        });
    }

    /// A voter answers the read request that is this message.
    pub fn answer_request(&mut self, message: usize) -> Option<()> {
        let Msg::Question {
            node,
            boot,
            question,
            known,
        } = self.msgs.remove(message)
        else {
            return None;
        };
        let answer = ReadResponse::new(&self.book.0, node, boot, question, known);
        self.msgs.push(Msg::ReadResponse {
            node,
            boot,
            answer: Shown(answer),
        });
        Some(())
    }

    /// A command reaches the voters, or a response its node.
    pub fn deliver(&mut self, message: usize) -> Option<()> {
        match self.msgs.remove(message) {
            Msg::Command(command) => drop(self.book.0.apply(&command.0)),
            Msg::ReadResponse { node, boot, answer } => {
                let time = now(self.at);
                let node = &mut self.nodes[node as usize];
                if node.boot == boot {
                    node.read(time, &answer.0);
                }
            }
            Msg::Question { .. } => return None,
        }
        Some(())
    }

    pub fn begin_attempt(&mut self, n: usize) {
        let time = now(self.at);
        let node = &mut self.nodes[n];
        if node.allocator.0.acquire(time, SEAT, 0).is_ok() {
            let end = self.at + RUN;
            node.calls.push((self.at, end));
            self.running.push(end);
        }
    }

    /// A node learns that an attempt has ended, or gives it up where the end is not `known`.
    pub fn end_attempt(&mut self, n: usize, known: bool) -> Option<()> {
        let at = self.at;
        let node = &mut self.nodes[n];
        let over = |(_, end): &(u64, u64)| !known || *end <= at;
        let index = node.calls.iter().position(over)?;
        let (sent, _) = node.calls.remove(index);
        node.allocator.0.release(now(sent), SEAT, 0, known);
        Some(())
    }

    /// The leader takes a node for dead.
    pub fn suspect(&mut self, n: usize) {
        let incarnation = self.nodes[n].boot;
        self.command(Operation::Seats(LedgerCommand::Reclaim {
            node: n as u32,
            incarnation,
        }));
        // It observes the draining seats at once.
        let time = now(self.at);
        let _ = self.reclaimer.0.poll_operations(time, &self.book.0);
    }
}
