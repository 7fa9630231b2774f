//! This node as a voter: its store, the voter of `marbledeck-consensus`, and the questions of nodes.

mod store;

use super::config::ConsensusConfig;
use crate::clock::millis;
use crate::net::{Net, Peer, Token};
use marbledeck_consensus::wire::{Answer, Frame, Said};
use marbledeck_consensus::{AgreementError, Command, Terms, Voter, Warden};
use marbledeck_dispatcher::Micros;
use marbledeck_storage::{Done, Store, StoreError, Write};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// How often the voters tell each other which nodes have asked them.
const LIVE_NODES_INTERVAL: Micros = millis(500);

/// A node's question for a reading.
pub(super) struct Question {
    /// The node's connection; none for this node itself.
    pub(super) connection: Option<Token>,
    /// The node's number.
    pub(super) node: u32,
    /// The question's number.
    pub(super) number: u64,
    /// The revision of the records that the node knows already.
    pub(super) known_revision: u64,
    /// The incarnation of the node's process.
    pub(super) incarnation: u64,
}

/// What was written.
enum Purpose {
    /// State of the voter, with the voter's ticket.
    Voter(u64),
    /// The number of this other voter's store.
    KnownStore(u64),
    /// That all other voters know this store.
    Admission,
}

/// The answer to a voter that has sent who it is.
pub(super) struct HelloReply {
    /// The voter's connection.
    pub(super) connection: Token,
    /// The voter's number.
    pub(super) voter: u64,
    /// Whether its store is the one that is known.
    pub(super) is_known: bool,
}

/// What is to be sent.
#[derive(Default)]
pub(super) struct Output {
    /// Frames for other voters, by their numbers.
    pub(super) frames: Vec<(u64, Frame)>,
    /// Answers to questions, by the connections that they came over; none for this node's own.
    pub(super) answers: Vec<(Option<Token>, Answer)>,
    /// Answers to voters that have sent who they are.
    pub(super) hello_replies: Vec<HelloReply>,
}

/// A voter that has sent who it is, and has no answer yet.
struct Hello {
    connection: Token,
    voter: u64,
    store: u64,
}

/// Whether this store may vote under this voter's number. One that has lost its store has forgotten its promises.
enum Admission {
    /// It may not yet: these of the other voters have taken it for the one of this number.
    Pending { welcomed_by: BTreeSet<u64> },
    /// It may, since all others have, once.
    Admitted,
    /// It may not: another voter knows this number with another store.
    Denied,
}

/// Why this node does not vote.
#[derive(Debug, thiserror::Error)]
pub(super) enum VotingError {
    /// The system has no descriptor left.
    #[error(transparent)]
    Descriptors(#[from] io::Error),
    /// The store cannot be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// What is stored makes no voter.
    #[error(transparent)]
    Voter(#[from] AgreementError),
}

impl VotingError {
    /// What an operator can do.
    pub(super) fn advice(&self) -> &'static str {
        match self {
            VotingError::Descriptors(_) => "raise the limit of descriptors",
            VotingError::Store(error) => error.advice(),
            VotingError::Voter(error) => error.advice(),
        }
    }

    /// Whether another process has the store: it may be had later.
    pub(super) fn is_temporary(&self) -> bool {
        matches!(self, VotingError::Store(StoreError::InUse))
    }
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
    backlog: VecDeque<Write>,
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
    /// The last question of each node, by the number that the voter knows it by.
    questions: BTreeMap<u64, Question>,
    /// The voter's number of each node's last question.
    last_questions: BTreeMap<u32, u64>,
    /// The voter's number of the latest question.
    latest_question: u64,
    /// The nodes that have asked since the other voters were notified, and their incarnations.
    live_nodes: BTreeMap<u32, u64>,
    next_live_nodes: Micros,
    /// What only the leader does; none while this one does not lead.
    leader_duties: Option<Warden>,
    terms: Terms,
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
        let disk_signal = net.signal(disk_pipe.try_clone()?.into(), peer);
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
            questions: BTreeMap::new(),
            last_questions: BTreeMap::new(),
            latest_question: 0,
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
        matches!(self.admission, Admission::Admitted) && self.voter.stopped().is_none()
    }

    /// In words, for an operator.
    pub(super) fn describe(&self) -> String {
        let (term, index) = self.voter.place();
        format!(
            "voter {} {}, term {term}, log at {index}, {} entries",
            self.id,
            self.describe_role(),
            self.voter.log_len()
        )
    }

    fn describe_role(&self) -> String {
        if let Some(reason) = self.voter.stopped() {
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
            Admission::Admitted if self.voter.leads() => "leads".to_owned(),
            Admission::Admitted => format!("follows {}", self.voter.leader()),
        }
    }

    /// The voters that this one is to connect to, so that they know it.
    pub(super) fn missing_welcomes(&self) -> Vec<u64> {
        let Admission::Pending { welcomed_by } = &self.admission else {
            return Vec::new();
        };
        let others = self.others.iter().copied();
        others
            .filter(|voter| !welcomed_by.contains(voter))
            .collect()
    }

    /// Another voter has taken this store for the one of this number.
    pub(super) fn handle_welcome(&mut self, voter: u64) {
        let Admission::Pending { welcomed_by } = &mut self.admission else {
            return;
        };
        welcomed_by.insert(voter);
        if welcomed_by.len() == self.others.len() {
            self.write(Purpose::Admission, store::write_admitted());
        }
    }

    /// Another voter knows this number with another store.
    pub(super) fn handle_denial(&mut self, voter: u64) {
        if matches!(self.admission, Admission::Denied) {
            return;
        }
        self.admission = Admission::Denied;
        log::error!(
            "agreement: voter {voter} knows voter {} with another store: what this one had promised is forgotten, and \
             it does not vote. Put its old store back, or replace the voter under a new number",
            self.id
        );
    }

    /// Another voter sends who it is. It is answered once its store's number is noted durably.
    pub(super) fn handle_hello(&mut self, connection: Token, voter: u64, store: u64) {
        self.hellos.push(Hello {
            connection,
            voter,
            store,
        });
    }

    /// A message of another voter.
    ///
    /// # Errors
    /// It makes no sense.
    pub(super) fn receive(&mut self, sender: u64, bytes: &[u8]) -> Result<(), AgreementError> {
        if self.takes_part() {
            self.voter.receive(sender, bytes)
        } else {
            Ok(())
        }
    }

    /// A node asks for a reading, and wants these commands carried out.
    pub(super) fn take_question(
        &mut self,
        question: Question,
        commands: impl Iterator<Item = Command>,
    ) {
        if !self.takes_part() {
            return;
        }
        let (node, incarnation) = (question.node, question.incarnation);
        self.live_nodes.insert(node, incarnation);
        for command in commands {
            if command.node == node && command.boot == incarnation && command.is_a_nodes() {
                self.propose_new(&command);
            }
        }
        self.latest_question += 1;
        self.voter.ask(self.latest_question);
        // A node waits for its last question only.
        let earlier = self.last_questions.insert(node, self.latest_question);
        if let Some(earlier) = earlier {
            self.questions.remove(&earlier);
        }
        self.questions.insert(self.latest_question, question);
    }

    /// What this one knows to be done already need not be done again.
    fn propose_new(&mut self, command: &Command) {
        let book = self.voter.book();
        let last = book.last(command.node, command.boot, command.stream());
        if command.number > 0 && last.is_none_or(|(last, _)| last < command.number) {
            self.voter.propose(command);
        }
    }

    /// These nodes, in these incarnations, have asked a voter.
    pub(super) fn note_live_nodes(&mut self, now: Micros, nodes: &[(u32, u64)]) {
        if let Some(duties) = &mut self.leader_duties {
            for (node, incarnation) in nodes {
                duties.heard(now, *node, *incarnation);
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
            for what in duties.due(now, self.voter.book()) {
                self.voter.propose(&Command {
                    node: 0,
                    boot: 0,
                    number: 0,
                    what,
                });
            }
        }
    }

    fn write_backlog(&mut self) {
        while let Some(write) = self.backlog.pop_front() {
            if !self.disk.write(write.clone()) {
                self.backlog.push_front(write);
                break;
            }
        }
    }

    fn follow_leadership(&mut self, now: Micros) {
        match (&self.leader_duties, self.voter.leads()) {
            (None, true) => {
                log::info!("agreement: this voter leads");
                self.leader_duties = Some(Warden::new(now, self.terms));
            }
            (Some(_), false) => {
                log::info!("agreement: this voter leads no more");
                self.leader_duties = None;
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    fn write(&mut self, purpose: Purpose, mut write: Write) {
        self.writes += 1;
        write.ticket = self.writes;
        self.purposes.push_back((self.writes, purpose));
        if !self.backlog.is_empty() || !self.disk.write(write.clone()) {
            // The disk is far behind: nothing more is taken in before it has caught up.
            self.voter.stall();
            self.backlog.push_back(write);
        }
    }

    /// The disk's thread has done something.
    pub(super) fn handle_disk_signal(&mut self, now: Micros) {
        let mut bytes = [0; 64];
        while matches!(self.disk_pipe.read(&mut bytes), Ok(length) if length > 0) {}
        for done in self.disk.take_done() {
            match done {
                Done::Written(ticket) => self.handle_written(now, ticket),
                Done::Stalled(e) => {
                    if !std::mem::replace(&mut self.is_stalled, true) {
                        log::error!("agreement: {e}: {}", e.advice());
                    }
                    self.voter.stall();
                }
            }
        }
    }

    /// All writes up to this one are durable.
    fn handle_written(&mut self, now: Micros, ticket: u64) {
        if std::mem::take(&mut self.is_stalled) {
            log::info!("agreement: the disk takes writes again; this voter takes part again");
        }
        while let Some((_, purpose)) = self
            .purposes
            .pop_front_if(|(written, _)| *written <= ticket)
        {
            self.finish_write(now, purpose);
        }
    }

    fn finish_write(&mut self, now: Micros, purpose: Purpose) {
        match purpose {
            Purpose::Voter(ticket) => self.voter.saved(ticket),
            // Those that have sent who they are, are answered now.
            Purpose::KnownStore(voter) => {
                let store = self.unwritten_stores.remove(&voter);
                self.known_stores.extend(store.map(|store| (voter, store)));
            }
            Purpose::Admission => {
                log::info!("agreement: all voters know this store; it votes");
                if !matches!(self.admission, Admission::Denied) {
                    self.admission = Admission::Admitted;
                }
                self.next_tick = now;
            }
        }
    }

    /// What is to be sent now.
    pub(super) fn work(&mut self, now: Micros) -> Output {
        let mut output = Output::default();
        self.answer_hellos(&mut output);
        if !self.takes_part() {
            self.questions.clear();
            return output;
        }
        let work = self.voter.work();
        for save in work.saves {
            let ticket = save.ticket;
            self.write(Purpose::Voter(ticket), store::write_save(save));
        }
        let messages = work.send.into_iter();
        output
            .frames
            .extend(messages.map(|(voter, bytes)| (voter, Frame::Raft(bytes))));
        self.answer_questions(work.confirmed.unwrap_or(0), &mut output);
        if now >= self.next_live_nodes {
            self.next_live_nodes = now + LIVE_NODES_INTERVAL;
            self.send_live_nodes(now, &mut output);
        }
        if let Some(reason) = self.voter.stopped().filter(|_| !self.stop_is_logged) {
            log::error!(
                "agreement: the consensus has stopped here: {reason}. Restart the node; if it stops again, set its store aside"
            );
            self.stop_is_logged = true;
        }
        output
    }

    /// Answers those whose stores are durably noted, and has the others noted.
    fn answer_hellos(&mut self, output: &mut Output) {
        for hello in std::mem::take(&mut self.hellos) {
            let voter = hello.voter;
            if let Some(known) = self.known_stores.get(&voter) {
                output.hello_replies.push(HelloReply {
                    connection: hello.connection,
                    voter,
                    is_known: *known == hello.store,
                });
                continue;
            }
            if !self.unwritten_stores.contains_key(&voter) {
                let write = store::write_known_store(voter, hello.store);
                self.write(Purpose::KnownStore(voter), write);
                self.unwritten_stores.insert(voter, hello.store);
            }
            // The last connection of a voter is the one that counts.
            self.hellos.retain(|other| other.voter != voter);
            self.hellos.push(hello);
        }
    }

    /// Answers the questions up to this one.
    fn answer_questions(&mut self, confirmed: u64, output: &mut Output) {
        let later = self.questions.split_off(&(confirmed + 1));
        for question in std::mem::replace(&mut self.questions, later).into_values() {
            let answer = Answer::of(
                self.voter.book(),
                question.node,
                question.incarnation,
                question.number,
                question.known_revision,
            );
            output.answers.push((question.connection, answer));
        }
    }

    /// Tells the other voters, of which one leads, which nodes have asked.
    fn send_live_nodes(&mut self, now: Micros, output: &mut Output) {
        let live_nodes = std::mem::take(&mut self.live_nodes);
        let nodes: Vec<(u32, u64)> = live_nodes.into_iter().collect();
        self.note_live_nodes(now, &nodes);
        for voter in &self.others {
            let nodes = nodes.clone();
            let frame = Frame::Said(Box::new(Said::Heard { nodes }));
            output.frames.push((*voter, frame));
        }
    }
}
