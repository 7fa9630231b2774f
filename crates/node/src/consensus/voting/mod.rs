//! This node as a voter: its store, the voter of `marbledeck-consensus`, and the queries of nodes.

mod admission;
mod disk;
mod error;
mod store;

pub(super) use error::VotingError;

use super::config::ConsensusConfig;
use crate::clock::millis;
use crate::net::{Net, Peer, Token};
use admission::{Admission, Hello, HelloReply};
use disk::Purpose;
use marbledeck_consensus::wire::{Frame, NodeMessage, ReadResponse};
use marbledeck_consensus::{
    Command, ConsensusError, LeaseReclaimer, LeaseTerms, LogPosition, Voter,
};
use marbledeck_dispatcher::Micros;
use marbledeck_storage::{Store, WriteBatch};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::os::unix::net::UnixStream;

/// How often the voters tell each other which nodes have asked them.
const LIVE_NODES_INTERVAL: Micros = millis(500);

/// A node's query for a reading.
pub(super) struct Query {
    /// The node's connection; none for this node itself.
    pub(super) connection: Option<Token>,
    /// The node's number.
    pub(super) node: u32,
    /// The query's number.
    pub(super) number: u64,
    /// The revision of the records that the node knows already.
    pub(super) known_revision: u64,
    /// The incarnation of the node's process.
    pub(super) incarnation: u64,
}

/// What is to be sent.
#[derive(Default)]
pub(super) struct Output {
    /// Frames for other voters, by their numbers.
    pub(super) frames: Vec<(u64, Frame)>,
    /// Answers to queries, by the connections that they came over; none for this node's own.
    pub(super) answers: Vec<(Option<Token>, ReadResponse)>,
    /// Answers to voters that have sent who they are.
    pub(super) hello_replies: Vec<HelloReply>,
}

/// This node as a voter.
pub(super) struct Voting {
    id: u64,
    others: Vec<u64>,
    voter: Voter,
    store_number: u64,
    disk: Store,
    /// The end of the pipe by which the disk's thread wakes the event loop.
    disk_pipe: UnixStream,
    disk_signal: Token,
    /// How many writes there were.
    writes: u64,
    /// What the writes were that are not done yet, by their tickets.
    purposes: VecDeque<(u64, Purpose)>,
    /// Writes for which the thread's mailbox had no room.
    backlog: VecDeque<WriteBatch>,
    /// The disk takes no writes.
    is_stalled: bool,
    /// That consensus has stopped here was logged.
    stop_is_logged: bool,
    admission: Admission,
    /// The numbers of the other voters' stores that are durably noted: nobody is welcomed before.
    known_stores: BTreeMap<u64, u64>,
    /// Those that are being written.
    unwritten_stores: BTreeMap<u64, u64>,
    hellos: Vec<Hello>,
    /// The last query of each node, by the number that the voter knows it by.
    queries: BTreeMap<u64, Query>,
    /// The voter's number of each node's last query.
    last_queries: BTreeMap<u32, u64>,
    /// The voter's number of the latest query.
    latest_query: u64,
    /// The nodes that have asked since the other voters were notified, and their incarnations.
    live_nodes: BTreeMap<u32, u64>,
    next_live_nodes: Micros,
    /// What only the leader does; none while this one does not lead.
    leader_duties: Option<LeaseReclaimer>,
    terms: LeaseTerms,
    tick_interval: Micros,
    next_tick: Micros,
}

impl Voting {
    /// Opens the store and begins to vote, or to be admitted.
    ///
    /// # Errors
    /// The store cannot be used, what it holds makes no sense, or there is no descriptor left.
    pub(super) fn open(
        config: &ConsensusConfig,
        now: Micros,
        peer: Peer,
        net: &mut Net,
    ) -> Result<Self, VotingError> {
        let (disk_pipe, threads_end) = UnixStream::pair()?;
        disk_pipe.set_nonblocking(true)?;
        threads_end.set_nonblocking(true)?;
        let opened = store::open(config, threads_end)?;
        let id = u64::from(config.node);
        let ids: Vec<u64> = config.voters.iter().map(|voter| voter.number).collect();
        let voter = Voter::new(id, &ids, now.0, &opened.durable)?;
        let disk_signal = net.add_signal_pipe(disk_pipe.try_clone()?.into(), peer);
        let (admission, description) = if opened.is_admitted {
            (Admission::Admitted, "known to the voters")
        } else {
            let welcomed_by = BTreeSet::new();
            (Admission::Pending { welcomed_by }, "new")
        };
        log::info!("agreement: store {:016x}, {description}", opened.number);
        Ok(Voting {
            id,
            others: ids.into_iter().filter(|other| *other != id).collect(),
            voter,
            store_number: opened.number,
            disk: opened.store,
            disk_pipe,
            disk_signal: disk_signal?,
            writes: 0,
            purposes: VecDeque::new(),
            backlog: VecDeque::new(),
            is_stalled: false,
            stop_is_logged: false,
            admission,
            known_stores: opened.known_stores,
            unwritten_stores: BTreeMap::new(),
            hellos: Vec::new(),
            queries: BTreeMap::new(),
            last_queries: BTreeMap::new(),
            latest_query: 0,
            live_nodes: BTreeMap::new(),
            next_live_nodes: now,
            leader_duties: None,
            terms: config.terms,
            tick_interval: config.tick,
            next_tick: now,
        })
    }

    /// The number of its store.
    pub(super) fn store_number(&self) -> u64 {
        self.store_number
    }

    /// The socket on which the disk's thread wakes the event loop.
    pub(super) fn disk_signal(&self) -> Token {
        self.disk_signal
    }

    /// Whether it votes, and can be asked.
    pub(super) fn takes_part(&self) -> bool {
        matches!(self.admission, Admission::Admitted) && self.voter.stop_reason().is_none()
    }

    /// A description for operators.
    pub(super) fn describe(&self) -> String {
        let LogPosition { term, index } = self.voter.position();
        format!(
            "voter {} {}, term {term}, log at {index}, {} entries",
            self.id,
            self.describe_role(),
            self.voter.log_len()
        )
    }

    fn describe_role(&self) -> String {
        if let Some(reason) = self.voter.stop_reason() {
            return format!("has stopped: {reason}");
        }
        match &self.admission {
            Admission::Denied => {
                "does not vote: the others know this number with another store".to_owned()
            }
            Admission::Pending { welcomed_by } => {
                let missing = self.others.len() - welcomed_by.len();
                format!("waits for {missing} to know it")
            }
            Admission::Admitted if self.is_stalled => {
                "takes no part: its disk takes nothing".to_owned()
            }
            Admission::Admitted if self.voter.is_leader() => "leads".to_owned(),
            Admission::Admitted => format!("follows {}", self.voter.leader_id()),
        }
    }

    /// A message of another voter.
    ///
    /// # Errors
    /// It makes no sense.
    pub(super) fn receive(&mut self, sender: u64, bytes: &[u8]) -> Result<(), ConsensusError> {
        if self.takes_part() {
            self.voter.handle_message(sender, bytes)
        } else {
            Ok(())
        }
    }

    /// A node asks for a reading, and wants these commands carried out.
    pub(super) fn take_query(&mut self, query: Query, commands: impl Iterator<Item = Command>) {
        if !self.takes_part() {
            return;
        }
        let (node, incarnation) = (query.node, query.incarnation);
        self.live_nodes.insert(node, incarnation);
        for command in commands {
            if command.node == node
                && command.incarnation == incarnation
                && command.is_allowed_for_nodes()
            {
                self.propose_new(&command);
            }
        }
        self.latest_query += 1;
        self.voter.request_read(self.latest_query);
        // A node waits for its last query only.
        let earlier = self.last_queries.insert(node, self.latest_query);
        if let Some(earlier) = earlier {
            self.queries.remove(&earlier);
        }
        self.queries.insert(self.latest_query, query);
    }

    /// What this one knows to be done already need not be done again.
    fn propose_new(&mut self, command: &Command) {
        let state = self.voter.state();
        let last = state.last_command(command.node, command.incarnation, command.sequence());
        if command.number > 0 && last.is_none_or(|last| last.number < command.number) {
            self.voter.propose(command);
        }
    }

    /// These nodes, in these incarnations, have asked a voter.
    pub(super) fn note_live_nodes(&mut self, now: Micros, nodes: &[(u32, u64)]) {
        if let Some(duties) = &mut self.leader_duties {
            for (node, incarnation) in nodes {
                duties.record_contact(now, *node, *incarnation);
            }
        }
    }

    /// When the next tick is due.
    pub(super) fn next_tick(&self) -> Micros {
        self.next_tick
    }

    /// One step of time, if it is due.
    pub(super) fn tick(&mut self, now: Micros) {
        if now < self.next_tick {
            return;
        }
        // After a standstill, one tick is enough: what was missed is not made up for.
        self.next_tick = now + self.tick_interval;
        self.write_backlog();
        if !self.takes_part() {
            return;
        }
        self.voter.tick();
        self.follow_leadership(now);
        if let Some(duties) = &mut self.leader_duties {
            for operation in duties.poll_operations(now, self.voter.state()) {
                self.voter.propose(&Command {
                    node: 0,
                    incarnation: 0,
                    number: 0,
                    operation,
                });
            }
        }
    }

    fn follow_leadership(&mut self, now: Micros) {
        match (&self.leader_duties, self.voter.is_leader()) {
            (None, true) => {
                log::info!("agreement: this voter leads");
                self.leader_duties = Some(LeaseReclaimer::new(now, self.terms));
            }
            (Some(_), false) => {
                log::info!("agreement: this voter leads no more");
                self.leader_duties = None;
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    /// What is to be sent now.
    pub(super) fn work(&mut self, now: Micros) -> Output {
        let mut output = Output::default();
        self.answer_hellos(&mut output);
        if !self.takes_part() {
            self.queries.clear();
            return output;
        }
        let effects = self.voter.poll_effects();
        for request in effects.persist_requests {
            let ticket = request.ticket;
            self.write(Purpose::Voter(ticket), store::write_save(request));
        }
        let messages = effects.messages.into_iter();
        output
            .frames
            .extend(messages.map(|message| (message.to, Frame::Raft(message.bytes))));
        self.answer_queries(effects.confirmed_read.unwrap_or(0), &mut output);
        if now >= self.next_live_nodes {
            self.next_live_nodes = now + LIVE_NODES_INTERVAL;
            self.send_live_nodes(now, &mut output);
        }
        if let Some(reason) = self.voter.stop_reason().filter(|_| !self.stop_is_logged) {
            log::error!(
                "agreement: the consensus has stopped here: {reason}. Restart the node; if it stops again, set its store aside"
            );
            self.stop_is_logged = true;
        }
        output
    }

    /// Answers the queries up to this one.
    fn answer_queries(&mut self, confirmed: u64, output: &mut Output) {
        let later = self.queries.split_off(&(confirmed + 1));
        for query in std::mem::replace(&mut self.queries, later).into_values() {
            let answer = ReadResponse::new(
                self.voter.state(),
                query.node,
                query.incarnation,
                query.number,
                query.known_revision,
            );
            output.answers.push((query.connection, answer));
        }
    }

    /// Tells the other voters, of which one leads, which nodes have asked.
    fn send_live_nodes(&mut self, now: Micros, output: &mut Output) {
        let live_nodes = std::mem::take(&mut self.live_nodes);
        let nodes: Vec<(u32, u64)> = live_nodes.into_iter().collect();
        self.note_live_nodes(now, &nodes);
        for voter in &self.others {
            let nodes = nodes.clone();
            let frame = Frame::Node(Box::new(NodeMessage::ContactReport { nodes }));
            output.frames.push((*voter, frame));
        }
    }
}
