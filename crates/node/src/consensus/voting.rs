//! This node as a voter: its store, the voter of `marbledeck-consensus`, and the questions of nodes.

use crate::clock::millis;
use crate::config::AgreementConfig;
use crate::net::{Net, Peer, Token};
use marbledeck_consensus::wire::{Frame, NodeMessage, ReadResponse};
use marbledeck_consensus::{
    Command, ConsensusError, EncodedSnapshot, LeaseReclaimer, LeaseTerms, LogPosition,
    PersistRequest, PersistedState, Voter,
};
use marbledeck_dispatcher::Micros;
use marbledeck_storage::{CompletionEvent, Store, StoreError, StoredContents, WriteBatch};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Read;
use std::os::unix::net::UnixStream;

/// How often the voters tell each other whom they have heard.
const HEARD: Micros = millis(500);
/// The names of what is stored besides the log.
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const PROVEN: &str = "proven";
const KNOWN: &str = "voter/";

/// Who wants a reading.
pub struct Asker {
    /// Its connection; none for this node itself.
    pub of: Option<Token>,
    pub node: u32,
    pub question: u64,
    pub known: u64,
    pub boot: u64,
}

/// What a write was for.
enum Purpose {
    Voter(u64),
    /// The number of another voter's store.
    Note(u64),
    Proven,
}

/// What is to be sent.
#[derive(Default)]
pub struct Out {
    pub send: Vec<(u64, Frame)>,
    pub answers: Vec<(Option<Token>, ReadResponse)>,
    /// A voter that has said hello, and whether its store is the one that is known.
    pub noted: Vec<(Token, u64, bool)>,
}

pub struct Voting {
    id: u64,
    others: Vec<u64>,
    voter: Voter,
    pub store: u64,
    disk: Store,
    /// Its end of the pipe by which the disk's thread wakes the loop.
    out: UnixStream,
    pub pipe: Token,
    writes: u64,
    purposes: VecDeque<(u64, Purpose)>,
    /// Writes for which the thread's queue had no room.
    backlog: VecDeque<WriteBatch>,
    stalled: bool,
    /// That the consensus has stopped here was said.
    reported: bool,
    /// All other voters have taken this store for the one of this number, once: it may vote.
    proven: bool,
    welcomes: BTreeSet<u64>,
    denied: bool,
    /// The numbers of the other voters' stores, those that are durably noted and those that are about to be: nobody is
    /// welcomed before.
    stores: BTreeMap<u64, u64>,
    noting: BTreeMap<u64, u64>,
    hellos: Vec<(Token, u64, u64)>,
    /// The last question of each node, by its own number and by the node.
    asks: BTreeMap<u64, Asker>,
    last_ask: BTreeMap<u32, u64>,
    next: u64,
    heard: BTreeMap<u32, u64>,
    next_heard: Micros,
    warden: Option<LeaseReclaimer>,
    terms: LeaseTerms,
    span: Micros,
    due: Micros,
}

/// Why this node does not vote.
pub struct NoVote {
    pub what: String,
    /// What an operator can do.
    pub advice: &'static str,
    /// Another process has the store: it may be had later.
    pub again: bool,
}

impl NoVote {
    fn descriptors(e: std::io::Error) -> Self {
        NoVote {
            what: e.to_string(),
            advice: "raise the limit of descriptors",
            again: false,
        }
    }
}

/// A number that no other store has.
fn draw() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id()) | 1
}

fn number(bytes: &[u8]) -> Option<u64> {
    bytes
        .first_chunk::<8>()
        .map(|bytes| u64::from_be_bytes(*bytes))
}

impl Voting {
    /// Opens the store and begins to vote, or to prove that it may.
    ///
    /// # Errors
    /// What is wrong, and what an operator can do about it.
    pub fn open(
        config: &AgreementConfig,
        now: Micros,
        peer: Peer,
        net: &mut Net,
    ) -> Result<Self, NoVote> {
        let (out, pipe) = UnixStream::pair().map_err(NoVote::descriptors)?;
        out.set_nonblocking(true).map_err(NoVote::descriptors)?;
        pipe.set_nonblocking(true).map_err(NoVote::descriptors)?;
        let opened = Store::open(&config.store, draw(), pipe);
        let (
            disk,
            StoredContents {
                store_number: store,
                values,
                entries,
            },
        ) = opened.map_err(|e| NoVote {
            what: e.to_string(),
            advice: e.advice(),
            again: matches!(e, StoreError::InUse),
        })?;
        let mut durable = PersistedState {
            entries,
            ..PersistedState::default()
        };
        let (mut proven, mut stores) = (false, BTreeMap::new());
        for (name, value) in values {
            match name.as_str() {
                HARD => durable.hard_state = Some(value),
                SNAPSHOT => durable.snapshot = Some(value),
                PROVEN => proven = true,
                name => {
                    let known = name.strip_prefix(KNOWN).and_then(|n| n.parse().ok());
                    stores.extend(known.zip(number(&value)));
                }
            }
        }
        let id = u64::from(config.node);
        let ids: Vec<u64> = config.voters.iter().map(|voter| voter.number).collect();
        let voter = Voter::new(id, &ids, now.0, &durable);
        let voter = voter.map_err(|e| NoVote {
            what: e.to_string(),
            advice: e.advice(),
            again: false,
        })?;
        let signal = net.signal(out.try_clone().map_err(NoVote::descriptors)?.into(), peer);
        log::info!(
            "agreement: store {store:016x}, {}",
            if proven { "known to the voters" } else { "new" }
        );
        Ok(Voting {
            id,
            others: ids.into_iter().filter(|other| *other != id).collect(),
            voter,
            store,
            disk,
            out,
            pipe: signal.map_err(NoVote::descriptors)?,
            writes: 0,
            purposes: VecDeque::new(),
            backlog: VecDeque::new(),
            stalled: false,
            reported: false,
            proven,
            welcomes: BTreeSet::new(),
            denied: false,
            stores,
            noting: BTreeMap::new(),
            hellos: Vec::new(),
            asks: BTreeMap::new(),
            last_ask: BTreeMap::new(),
            next: 0,
            heard: BTreeMap::new(),
            next_heard: now,
            warden: None,
            terms: config.terms,
            span: config.tick,
            due: now,
        })
    }

    /// Whether it votes, and can be asked.
    pub fn takes_part(&self) -> bool {
        self.proven && !self.denied && self.voter.stop_reason().is_none()
    }

    /// In words, for an operator.
    pub fn state(&self) -> String {
        let LogPosition { term, index: at } = self.voter.position();
        let how = match (
            self.voter.stop_reason(),
            self.denied,
            self.proven,
            self.stalled,
            self.voter.is_leader(),
        ) {
            (Some(why), ..) => format!("has stopped: {why}"),
            (_, true, ..) => {
                "does not vote: the others know this number with another store".to_owned()
            }
            (.., false, _, _) => format!(
                "waits for {} to know it",
                self.others.len() - self.welcomes.len()
            ),
            (.., true, _) => "takes no part: its disk takes nothing".to_owned(),
            (.., true) => "leads".to_owned(),
            _ => format!("follows {}", self.voter.leader_id()),
        };
        format!(
            "voter {} {how}, term {term}, log at {at}, {} entries",
            self.id,
            self.voter.log_len()
        )
    }

    /// The voters that this one is to connect to, so that they know it.
    pub fn unmet(&self) -> Vec<u64> {
        match self.proven || self.denied {
            true => Vec::new(),
            false => self
                .others
                .iter()
                .copied()
                .filter(|v| !self.welcomes.contains(v))
                .collect(),
        }
    }

    pub fn welcomed(&mut self, voter: u64) {
        self.welcomes.insert(voter);
        if !self.proven && !self.denied && self.welcomes.len() == self.others.len() {
            self.write(
                Purpose::Proven,
                WriteBatch {
                    values: vec![(PROVEN.to_owned(), Some(vec![1]))],
                    ..WriteBatch::default()
                },
            );
        }
    }

    pub fn denied(&mut self, voter: u64) {
        if !std::mem::replace(&mut self.denied, true) {
            log::error!(
                "agreement: voter {voter} knows voter {} with another store: what this one had promised is forgotten, and \
                 it does not vote. Put its old store back, or replace the voter under a new number",
                self.id
            );
        }
    }

    /// Another voter says who it is. It is answered once its store's number is noted durably.
    pub fn hello(&mut self, token: Token, voter: u64, store: u64) {
        self.hellos.push((token, voter, store));
    }

    /// A message of another voter.
    ///
    /// # Errors
    /// It makes no sense.
    pub fn receive(&mut self, from: u64, bytes: &[u8]) -> Result<(), ConsensusError> {
        match self.takes_part() {
            true => self.voter.handle_message(from, bytes),
            false => Ok(()),
        }
    }

    /// Somebody asks for a reading, and wants these commands carried out.
    pub fn ask(&mut self, asker: Asker, commands: impl Iterator<Item = Command>) {
        if !self.takes_part() {
            return;
        }
        self.heard.insert(asker.node, asker.boot);
        // What this one knows to be done already need not be done again.
        let own = |c: &Command| {
            c.node == asker.node && c.incarnation == asker.boot && c.is_allowed_for_nodes()
        };
        for command in commands.filter(own) {
            let last = self.voter.state().last_command(
                command.node,
                command.incarnation,
                command.sequence(),
            );
            if command.number > 0 && last.is_none_or(|last| last.number < command.number) {
                self.voter.propose(&command);
            }
        }
        self.next += 1;
        self.voter.request_read(self.next);
        // A node waits for its last question only.
        if let Some(before) = self.last_ask.insert(asker.node, self.next) {
            self.asks.remove(&before);
        }
        self.asks.insert(self.next, asker);
    }

    pub fn heard(&mut self, now: Micros, nodes: &[(u32, u64)]) {
        if let Some(warden) = &mut self.warden {
            nodes
                .iter()
                .for_each(|(node, boot)| warden.record_contact(now, *node, *boot));
        }
    }

    pub fn next_tick(&self) -> Micros {
        self.due
    }

    pub fn tick(&mut self, now: Micros) {
        if now < self.due {
            return;
        }
        // After a standstill, one tick is enough: what was missed is not made up for.
        self.due = now + self.span;
        while let Some(write) = self.backlog.pop_front() {
            if self.disk.submit(write.clone()).is_err() {
                self.backlog.push_front(write);
                break;
            }
        }
        if !self.takes_part() {
            return;
        }
        self.voter.tick();
        match (&self.warden, self.voter.is_leader()) {
            (None, true) => {
                log::info!("agreement: this voter leads");
                self.warden = Some(LeaseReclaimer::new(now, self.terms));
            }
            (Some(_), false) => {
                log::info!("agreement: this voter leads no more");
                self.warden = None;
            }
            _ => {}
        }
        if let Some(warden) = &mut self.warden {
            for what in warden.poll_operations(now, self.voter.state()) {
                self.voter.propose(&Command {
                    node: 0,
                    incarnation: 0,
                    number: 0,
                    operation: what,
                });
            }
        }
    }

    fn write(&mut self, purpose: Purpose, mut write: WriteBatch) {
        self.writes += 1;
        write.ticket = self.writes;
        self.purposes.push_back((self.writes, purpose));
        if !self.backlog.is_empty() || self.disk.submit(write.clone()).is_err() {
            // The disk is far behind: nothing more is taken in before it has caught up.
            self.voter.suspend();
            self.backlog.push_back(write);
        }
    }

    /// The disk's thread has told something.
    pub fn stored(&mut self, now: Micros) {
        let mut bytes = [0; 64];
        while matches!(self.out.read(&mut bytes), Ok(n) if n > 0) {}
        for done in self.disk.take_events() {
            match done {
                CompletionEvent::Persisted(ticket) => {
                    if std::mem::take(&mut self.stalled) {
                        log::info!(
                            "agreement: the disk takes writes again; this voter takes part again"
                        );
                    }
                    while let Some((_, purpose)) = self
                        .purposes
                        .pop_front_if(|(written, _)| *written <= ticket)
                    {
                        self.written(now, purpose);
                    }
                }
                CompletionEvent::Stalled(e) => {
                    if !std::mem::replace(&mut self.stalled, true) {
                        log::error!("agreement: {e}: {}", e.advice());
                    }
                    self.voter.suspend();
                }
            }
        }
    }

    fn written(&mut self, now: Micros, purpose: Purpose) {
        match purpose {
            Purpose::Voter(ticket) => self.voter.handle_persisted(ticket),
            // Those that have said hello are answered now.
            Purpose::Note(voter) => self
                .stores
                .extend(self.noting.remove(&voter).map(|store| (voter, store))),
            Purpose::Proven => {
                log::info!("agreement: all voters know this store; it votes");
                self.proven = true;
                self.due = now;
            }
        }
    }

    /// What is to be sent now.
    pub fn work(&mut self, now: Micros) -> Out {
        let mut out = Out::default();
        for (token, voter, store) in std::mem::take(&mut self.hellos) {
            if let Some(known) = self.stores.get(&voter) {
                out.noted.push((token, voter, *known == store));
                continue;
            }
            if !self.noting.contains_key(&voter) {
                let value = (
                    format!("{KNOWN}{voter}"),
                    Some(store.to_be_bytes().to_vec()),
                );
                self.write(
                    Purpose::Note(voter),
                    WriteBatch {
                        values: vec![value],
                        ..WriteBatch::default()
                    },
                );
                self.noting.insert(voter, store);
            }
            // The last connection of a voter is the one that counts.
            self.hellos.retain(|(_, other, _)| *other != voter);
            self.hellos.push((token, voter, store));
        }
        if !self.takes_part() {
            self.asks.clear();
            return out;
        }
        let work = self.voter.poll_effects();
        for save in work.persist_requests {
            let (ticket, write) = (save.ticket, stored(save));
            self.write(Purpose::Voter(ticket), write);
        }
        out.send.extend(
            work.messages
                .into_iter()
                .map(|message| (message.to, Frame::Raft(message.bytes))),
        );
        let later = self.asks.split_off(&(work.confirmed_read.unwrap_or(0) + 1));
        for asker in std::mem::replace(&mut self.asks, later).into_values() {
            let Asker {
                of,
                node,
                question,
                known,
                boot,
            } = asker;
            let answer = ReadResponse::new(self.voter.state(), node, boot, question, known);
            out.answers.push((of, answer));
        }
        if now >= self.next_heard {
            self.next_heard = now + HEARD;
            let nodes: Vec<(u32, u64)> = std::mem::take(&mut self.heard).into_iter().collect();
            self.heard(now, &nodes);
            let said = |to: &u64| {
                (
                    *to,
                    Frame::Node(Box::new(NodeMessage::ContactReport {
                        nodes: nodes.clone(),
                    })),
                )
            };
            out.send.extend(self.others.iter().map(said));
        }
        if let Some(why) = self.voter.stop_reason().filter(|_| !self.reported) {
            log::error!(
                "agreement: the consensus has stopped here: {why}. Restart the node; if it stops again, set its store aside"
            );
            self.reported = true;
        }
        out
    }
}

/// What is to be durable, as the store has it.
fn stored(save: PersistRequest) -> WriteBatch {
    let mut write = WriteBatch {
        entries: save.entries,
        ..WriteBatch::default()
    };
    write
        .values
        .extend(save.hard_state.map(|hard| (HARD.to_owned(), Some(hard))));
    if let Some(EncodedSnapshot {
        index,
        bytes: snapshot,
    }) = save.snapshot
    {
        write.values.push((SNAPSHOT.to_owned(), Some(snapshot)));
        write.drop_entries_to = Some(if save.replaces_log { u64::MAX } else { index });
    }
    write
}
