//! A node that votes: runs the voter of `marbledeck-consensus` on a durable store, and answers the nodes' queries for
//! the records.

mod admission;
mod disk;
mod error;
mod store;

pub(super) use error::VotingError;

use super::config::ConsensusConfig;
use crate::clock::millis;
use crate::net::{Net, Peer, Token};
use admission::{Admission, Hello, HelloReply};
use disk::WriteKind;
use marbledeck_consensus::wire::{Frame, NodeMessage, ReadResponse};
use marbledeck_consensus::{
    Command, ConsensusError, LeaseReclaimer, LeaseTerms, LogPosition, Voter,
};
use marbledeck_dispatcher::Micros;
use marbledeck_storage::{Store, WriteBatch};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::os::unix::net::UnixStream;

/// How often a voter reports to the others which nodes have queried it.
const LIVE_NODES_INTERVAL: Micros = millis(500);

/// A node's query for the current records.
pub(super) struct Query {
    /// The node's connection; `None` for this node itself.
    pub(super) connection: Option<Token>,
    /// The node's number.
    pub(super) node: u32,
    /// The number that the node gave the query.
    pub(super) number: u64,
    /// The revision up to which the node knows the records.
    pub(super) known_revision: u64,
    /// The incarnation of the node's process.
    pub(super) incarnation: u64,
}

/// What the voter has to send.
#[derive(Default)]
pub(super) struct Output {
    /// Frames to other voters, with the numbers of the voters.
    pub(super) frames: Vec<(u64, Frame)>,
    /// Answers to queries, with the connection of each query; `None` for this node's own.
    pub(super) answers: Vec<(Option<Token>, ReadResponse)>,
    /// Answers to voters that have identified themselves.
    pub(super) hello_replies: Vec<HelloReply>,
}

/// The voter of this node, with its store and the queries that it has to answer.
pub(super) struct Voting {
    id: u64,
    others: Vec<u64>,
    voter: Voter,
    store_number: u64,
    disk: Store,
    /// The event loop's end of the socket pair by which the disk thread wakes it.
    disk_pipe: UnixStream,
    disk_signal: Token,
    /// The ticket of the last write.
    last_write: u64,
    /// The writes that are not durable yet, by their tickets.
    pending_writes: VecDeque<(u64, WriteKind)>,
    /// Writes for which the disk thread's queue had no room.
    backlog: VecDeque<WriteBatch>,
    /// Whether the disk rejects writes.
    is_stalled: bool,
    /// Whether the log already says that the voter has stopped.
    is_stop_logged: bool,
    admission: Admission,
    /// The store numbers of other voters that are recorded durably. A voter is welcomed only after that.
    known_stores: BTreeMap<u64, u64>,
    /// The store numbers of other voters that are being written.
    unwritten_stores: BTreeMap<u64, u64>,
    hellos: Vec<Hello>,
    /// The last query of each node, by the number of its read at the voter.
    queries: BTreeMap<u64, Query>,
    /// The number of the read for each node's last query.
    last_queries: BTreeMap<u32, u64>,
    /// The number of the latest read.
    latest_query: u64,
    /// The nodes that have queried this voter since its last report to the others, with their incarnations.
    live_nodes: BTreeMap<u32, u64>,
    next_live_nodes: Micros,
    /// Reclaims the seats of dead nodes; `None` unless this voter is the leader.
    lease_reclaimer: Option<LeaseReclaimer>,
    terms: LeaseTerms,
    tick_interval: Micros,
    next_tick: Micros,
}

impl Voting {
    /// Opens the store. The voter votes once it is admitted.
    ///
    /// # Errors
    /// The store cannot be used, its contents are invalid, or no file descriptor is left.
    pub(super) fn open(
        config: &ConsensusConfig,
        now: Micros,
        peer: Peer,
        net: &mut Net,
    ) -> Result<Self, VotingError> {
        let (disk_pipe, disk_thread_end) = UnixStream::pair()?;
        disk_pipe.set_nonblocking(true)?;
        disk_thread_end.set_nonblocking(true)?;
        let opened = store::open(config, disk_thread_end)?;
        let id = u64::from(config.node);
        let ids: Vec<u64> = config.voters.iter().map(|voter| voter.number).collect();
        let voter = Voter::new(id, &ids, now.0, &opened.durable)?;
        let disk_signal = net.add_signal_pipe(disk_pipe.try_clone()?.into(), peer);
        let (admission, description) = if opened.is_admitted {
            (Admission::Admitted, "admitted by all other voters")
        } else {
            let welcomed_by = BTreeSet::new();
            (Admission::Pending { welcomed_by }, "not admitted yet")
        };
        log::info!(
            "consensus: voter {id} opened store {:016x}, {description}",
            opened.number
        );
        Ok(Voting {
            id,
            others: ids.into_iter().filter(|other| *other != id).collect(),
            voter,
            store_number: opened.number,
            disk: opened.store,
            disk_pipe,
            disk_signal: disk_signal?,
            last_write: 0,
            pending_writes: VecDeque::new(),
            backlog: VecDeque::new(),
            is_stalled: false,
            is_stop_logged: false,
            admission,
            known_stores: opened.known_stores,
            unwritten_stores: BTreeMap::new(),
            hellos: Vec::new(),
            queries: BTreeMap::new(),
            last_queries: BTreeMap::new(),
            latest_query: 0,
            live_nodes: BTreeMap::new(),
            next_live_nodes: now,
            lease_reclaimer: None,
            terms: config.terms,
            tick_interval: config.tick,
            next_tick: now,
        })
    }

    /// The number of the store.
    pub(super) fn store_number(&self) -> u64 {
        self.store_number
    }

    /// The socket on which the disk thread wakes the event loop.
    pub(super) fn disk_signal(&self) -> Token {
        self.disk_signal
    }

    /// Whether this voter is admitted and running, so that it votes and answers queries.
    pub(super) fn is_active(&self) -> bool {
        matches!(self.admission, Admission::Admitted) && self.voter.stop_reason().is_none()
    }

    /// One line for operators: the role, the term and the log.
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

    /// Handles a Raft message of another voter.
    ///
    /// # Errors
    /// The message is invalid.
    pub(super) fn receive(&mut self, sender: u64, bytes: &[u8]) -> Result<(), ConsensusError> {
        if self.is_active() {
            self.voter.handle_message(sender, bytes)
        } else {
            Ok(())
        }
    }

    /// Takes a node's query and proposes the commands that came with it.
    pub(super) fn handle_query(&mut self, query: Query, commands: impl Iterator<Item = Command>) {
        if !self.is_active() {
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
        // A node waits for the answer to its last query only.
        let earlier = self.last_queries.insert(node, self.latest_query);
        if let Some(earlier) = earlier {
            self.queries.remove(&earlier);
        }
        self.queries.insert(self.latest_query, query);
    }

    /// Proposes a command unless the state shows that it was applied already.
    fn propose_new(&mut self, command: &Command) {
        let state = self.voter.state();
        let last = state.last_command(command.node, command.incarnation, command.sequence());
        if command.number > 0 && last.is_none_or(|last| last.number < command.number) {
            self.voter.propose(command);
        }
    }

    /// Records that these incarnations of nodes have queried a voter, and so are alive.
    pub(super) fn record_live_nodes(&mut self, now: Micros, nodes: &[(u32, u64)]) {
        if let Some(reclaimer) = &mut self.lease_reclaimer {
            for (node, incarnation) in nodes {
                reclaimer.record_contact(now, *node, *incarnation);
            }
        }
    }

    /// When the next tick is due.
    pub(super) fn next_tick(&self) -> Micros {
        self.next_tick
    }

    /// Advances the voter by one tick, if one is due.
    pub(super) fn tick(&mut self, now: Micros) {
        if now < self.next_tick {
            return;
        }
        // Ticks missed while the process was stalled are skipped.
        self.next_tick = now + self.tick_interval;
        self.write_backlog();
        if !self.is_active() {
            return;
        }
        self.voter.tick();
        self.update_leadership(now);
        if let Some(reclaimer) = &mut self.lease_reclaimer {
            for operation in reclaimer.poll_operations(now, self.voter.state()) {
                self.voter.propose(&Command {
                    node: 0,
                    incarnation: 0,
                    number: 0,
                    operation,
                });
            }
        }
    }

    fn update_leadership(&mut self, now: Micros) {
        match (&self.lease_reclaimer, self.voter.is_leader()) {
            (None, true) => {
                log::info!("consensus: this voter is the leader now");
                self.lease_reclaimer = Some(LeaseReclaimer::new(now, self.terms));
            }
            (Some(_), false) => {
                log::info!("consensus: this voter is no longer the leader");
                self.lease_reclaimer = None;
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    /// Has the voter's state written, and returns what is to be sent now.
    pub(super) fn poll_output(&mut self, now: Micros) -> Output {
        let mut output = Output::default();
        self.answer_hellos(&mut output);
        if !self.is_active() {
            self.queries.clear();
            return output;
        }
        let effects = self.voter.poll_effects();
        for request in effects.persist_requests {
            let ticket = request.ticket;
            self.write(WriteKind::Voter(ticket), store::persist_batch(request));
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
        if let Some(reason) = self.voter.stop_reason().filter(|_| !self.is_stop_logged) {
            log::error!(
                "consensus: this voter has stopped and no longer votes: {reason}. Restart the node; if it stops again, set its store aside"
            );
            self.is_stop_logged = true;
        }
        output
    }

    /// Answers the queries whose reads are confirmed.
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

    /// Reports the nodes that have queried this voter to all other voters, since any of them may be the leader.
    fn send_live_nodes(&mut self, now: Micros, output: &mut Output) {
        let live_nodes = std::mem::take(&mut self.live_nodes);
        let nodes: Vec<(u32, u64)> = live_nodes.into_iter().collect();
        self.record_live_nodes(now, &nodes);
        for voter in &self.others {
            let nodes = nodes.clone();
            let frame = Frame::Node(Box::new(NodeMessage::ContactReport { nodes }));
            output.frames.push((*voter, frame));
        }
    }
}
