//! One voter: the book, kept by consensus.

use crate::book::{Book, Command, Outcome};
use crate::error::AgreementError;
use crate::log::Log;
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, HardState, Message, MessageType, Snapshot};
use raft::{Config, RawNode, StateRole, Storage};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Ticks after which a voter that hears no leader stands for election (up to twice that, at random), and between a
/// leader's signs of life.
const ELECTION: usize = 10;
const HEARTBEAT: usize = 2;
/// Bytes of entries in one message, and messages under way to a voter.
const MOST_BYTES: u64 = 256 * 1024;
const IN_FLIGHT: usize = 64;
/// Bytes of commands that a leader takes before a majority has the ones before: more are lost, and asked for again.
const MOST_UNCOMMITTED: u64 = 8 * 1024 * 1024;
/// Ticks after which a read index that was not answered is asked for anew: its message may be lost.
const PATIENCE: u64 = 2 * HEARTBEAT as u64;
/// Entries after which the book is written whole and the log before it dropped, and how many of them are kept.
const COMPACT: u64 = 2000;
const KEPT: u64 = 500;

/// What a voter finds in its store when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Durable {
    /// The vote.
    pub hard: Option<Vec<u8>>,
    /// The book, with the place in the log up to which it goes.
    pub snapshot: Option<Vec<u8>>,
    /// Entries with their indexes, in order.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// What is to be made durable, in one piece and in the order of the tickets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Save {
    /// Comes back with [`Voter::saved`].
    pub ticket: u64,
    /// The vote.
    pub hard: Option<Vec<u8>>,
    /// A snapshot, with its index. Entries up to it may go; where it came from another voter, all entries must.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Whether the snapshot replaces the log.
    pub replaces: bool,
    /// Entries. What was stored from the first of them on is void.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// What a voter wants done.
#[derive(Debug, Default)]
pub struct Work {
    /// To be made durable.
    pub saves: Vec<Save>,
    /// Messages for other voters.
    pub send: Vec<(u64, Vec<u8>)>,
    /// All questions up to this one may be answered from the book now.
    pub confirmed: Option<u64>,
    /// Commands that were carried out.
    pub applied: Vec<(Command, Outcome)>,
}

/// A voter without sockets, clock or disk.
pub struct Voter {
    id: u64,
    voters: Vec<u64>,
    raw: RawNode<Log>,
    book: Book,
    applied: (u64, u64),
    snapshotted: u64,
    /// Messages that leave once the save of their number is durable.
    held: VecDeque<(u64, Vec<Message>)>,
    outstanding: VecDeque<u64>,
    /// A snapshot that was installed counts as applied once the save of this number is durable.
    installed: Option<u64>,
    /// The last question; the read index that is out, with the last question before it and when it was asked for; and
    /// the questions that wait for the book to come so far. They are counted and not kept: they may come for as long as
    /// there is no majority.
    asked: u64,
    read: u64,
    reading: Option<(Vec<u8>, u64, u64)>,
    waiting: Vec<(u64, u64)>,
    serial: u64,
    boot: u64,
    ticks: u64,
    /// The disk takes nothing: nothing is said.
    stalled: bool,
    stopped: Option<String>,
}

fn stored(e: impl std::fmt::Display) -> AgreementError {
    AgreementError::Stored(e.to_string())
}

impl Voter {
    /// A voter of this number, one of these; `boot` differs between its starts.
    ///
    /// # Errors
    /// What was stored cannot be used, or the voters make no fleet.
    pub fn new(
        id: u64,
        voters: &[u64],
        boot: u64,
        durable: &Durable,
    ) -> Result<Self, AgreementError> {
        if !voters.contains(&id) || ![1, 3, 5, 7].contains(&voters.len()) || voters.contains(&0) {
            let what = "voters: want 3, 5 or 7 numbers from 1 on, this node's among them";
            return Err(AgreementError::Fleet(what.to_owned()));
        }
        let mut log = Log::new(voters);
        let mut book = Book::default();
        let mut applied = (0, 0);
        if let Some(bytes) = &durable.snapshot {
            let snapshot = Snapshot::parse_from_bytes(bytes).map_err(stored)?;
            let meta = snapshot.get_metadata();
            applied = (meta.index, meta.term);
            book = serde_json::from_slice(&snapshot.data).map_err(stored)?;
            log.install(&snapshot).map_err(stored)?;
        }
        let mut entries = Vec::new();
        for (index, bytes) in &durable.entries {
            let entry = Entry::parse_from_bytes(bytes).map_err(stored)?;
            let next = entries
                .last()
                .map_or(applied.0 + 1, |last: &Entry| last.index + 1);
            if entry.index != *index {
                return Err(stored("an entry is not at its index"));
            }
            if *index <= applied.0 {
                continue;
            }
            if *index != next {
                return Err(stored("an entry of the log is missing"));
            }
            entries.push(entry);
        }
        log.mem.wl().append(&entries).map_err(stored)?;
        let last = entries.last().map_or(applied.0, |last| last.index);
        if let Some(bytes) = &durable.hard {
            let mut hard = HardState::parse_from_bytes(bytes).map_err(stored)?;
            if hard.commit > last {
                return Err(stored("the log ends before what it had committed"));
            }
            hard.commit = hard.commit.max(applied.0);
            hard.term = hard.term.max(applied.1);
            log.set_hard_state(hard);
        }
        let config = Config {
            id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied: applied.0,
            max_size_per_msg: MOST_BYTES,
            max_inflight_msgs: IN_FLIGHT,
            max_uncommitted_size: MOST_UNCOMMITTED,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &logger).map_err(stored)?;
        Ok(Voter {
            id,
            voters: voters.to_vec(),
            raw,
            book,
            applied,
            snapshotted: applied.0,
            held: VecDeque::new(),
            outstanding: VecDeque::new(),
            installed: None,
            asked: 0,
            read: 0,
            reading: None,
            waiting: Vec::new(),
            serial: 0,
            boot,
            ticks: 0,
            stalled: false,
            stopped: None,
        })
    }

    /// Runs the library. What it takes for impossible, it ends by a panic: this voter then takes no further part, and
    /// the node serves on.
    fn run<T>(&mut self, what: impl FnOnce(&mut RawNode<Log>) -> T) -> Option<T> {
        if self.stopped.is_some() {
            return None;
        }
        let raw = &mut self.raw;
        match catch_unwind(AssertUnwindSafe(|| what(raw))) {
            Ok(done) => Some(done),
            Err(panic) => {
                let word = panic.downcast_ref::<String>().cloned();
                let word = word.or(panic.downcast_ref::<&str>().map(|word| (*word).to_owned()));
                self.stopped = Some(word.unwrap_or_default());
                None
            }
        }
    }

    /// Why this voter takes no further part, if it does not.
    pub fn stopped(&self) -> Option<&str> {
        self.stopped.as_deref()
    }

    /// A span of time has passed, the same at all voters.
    pub fn tick(&mut self) {
        self.ticks += 1;
        if !self.stalled {
            self.run(|raw| raw.tick());
        }
        // Its message, or the answer, may be lost.
        self.reading
            .take_if(|(.., since)| self.ticks - *since > PATIENCE);
        if self.reading.is_none() && self.asked > self.read {
            self.serial += 1;
            // Its own at each voter and each start: an answer to another is none to this one.
            let mut context = self.id.to_be_bytes().to_vec();
            context.extend(self.boot.to_be_bytes());
            context.extend(self.serial.to_be_bytes());
            self.reading = Some((context.clone(), self.asked, self.ticks));
            self.run(|raw| raw.read_index(context));
        }
    }

    /// A message of another voter.
    ///
    /// # Errors
    /// It is none, or not for this one. Nothing of it was heeded.
    pub fn receive(&mut self, from: u64, bytes: &[u8]) -> Result<(), AgreementError> {
        let message = Message::parse_from_bytes(bytes);
        let message = message.map_err(|e| AgreementError::Message(e.to_string()))?;
        // Questions and proposals are passed on by whoever was taken for the leader.
        let passed = matches!(
            message.get_msg_type(),
            MessageType::MsgReadIndex | MessageType::MsgPropose
        );
        let sender = message.from == from || passed && self.voters.contains(&message.from);
        let voter = self.voters.contains(&from) && from != self.id && sender;
        if !voter || message.to != self.id {
            return Err(AgreementError::Stranger {
                from: message.from,
                to: message.to,
            });
        }
        if self.stalled {
            // Nothing of it could be written: what is lost is sent again.
            return Ok(());
        }
        // The library ends the process on what these would make it do.
        let wrong = |what: &str| Err(AgreementError::Message(what.to_owned()));
        let last = self.raw.raft.raft_log.last_index();
        let kind = message.get_msg_type();
        if kind == MessageType::MsgHeartbeat && message.commit > last {
            return wrong("a leader says that more is agreed than this voter has");
        }
        let entries = &message.entries;
        let append = kind == MessageType::MsgAppend;
        if append
            && entries
                .iter()
                .zip(message.index + 1..)
                .any(|(entry, index)| entry.index != index)
        {
            return wrong("entries that do not follow each other");
        }
        if kind == MessageType::MsgReadIndexResp && entries.len() != 1 {
            return wrong("an answer to no question");
        }
        if matches!(kind, MessageType::MsgReadIndex | MessageType::MsgPropose) && entries.is_empty()
        {
            return wrong("nothing is asked");
        }
        // A message of an earlier term, or a proposal that cannot be taken now, is the library's to drop.
        self.run(|raw| drop(raw.step(message)));
        Ok(())
    }

    /// Has a command proposed: by this voter, or through the leader that it knows. It may be lost; whoever wants it asks
    /// again with the same number.
    pub fn propose(&mut self, command: &Command) {
        if let Ok(bytes) = serde_json::to_vec(command) {
            self.run(|raw| drop(raw.propose(Vec::new(), bytes)));
        }
    }

    /// Somebody wants a reading: this number, greater than the last, comes back as [confirmed](Work::confirmed).
    pub fn ask(&mut self, question: u64) {
        self.asked = self.asked.max(question);
    }

    /// Everything up to this ticket is durable.
    pub fn saved(&mut self, ticket: u64) {
        while self
            .outstanding
            .pop_front_if(|out| *out <= ticket)
            .is_some()
        {}
        self.stalled = false;
        let installed = self.installed.take_if(|at| *at <= ticket).is_some();
        self.run(|raw| {
            raw.on_persist_ready(ticket);
            if installed {
                raw.advance_apply();
            }
        });
    }

    /// The disk takes nothing now: nothing is promised, and a leader gives way. It is to try again, in the same order,
    /// and [`Voter::saved`] ends this.
    pub fn stall(&mut self) {
        self.stalled = true;
    }

    /// What is to be done now.
    pub fn work(&mut self) -> Work {
        let mut work = Work::default();
        while self.run(|raw| raw.has_ready()) == Some(true) && self.step(&mut work).is_some() {}
        while let Some((_, held)) = self
            .held
            .pop_front_if(|(ticket, _)| self.outstanding.front().is_none_or(|out| *ticket < *out))
        {
            self.post(held, &mut work);
        }
        let applied = self.applied.0;
        self.waiting.retain(|(index, asked)| {
            let there = *index <= applied;
            if there {
                work.confirmed = work.confirmed.max(Some(*asked));
            }
            !there
        });
        work
    }

    fn post(&self, messages: Vec<Message>, work: &mut Work) {
        // A voter whose disk takes nothing says nothing: what it says may rest on what it could not write.
        if self.stalled {
            return;
        }
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                work.send.push((message.to, bytes));
            }
        }
    }

    /// Handles what the library has ready.
    fn step(&mut self, work: &mut Work) -> Option<()> {
        let mut ready = self.run(|raw| raw.ready())?;
        let ticket = ready.number();
        self.post(ready.take_messages(), work);
        let mut save = Save {
            ticket,
            ..Save::default()
        };
        if !ready.snapshot().get_metadata().conf_state.is_none()
            && ready.snapshot().get_metadata().index > 0
        {
            let snapshot = ready.snapshot().clone();
            let meta = snapshot.get_metadata();
            match serde_json::from_slice(&snapshot.data) {
                Ok(book) => self.book = book,
                Err(e) => {
                    self.stopped = Some(format!("a snapshot of another voter: {e}"));
                    return None;
                }
            }
            self.applied = (meta.index, meta.term);
            self.snapshotted = meta.index;
            save.snapshot = Some((meta.index, snapshot.write_to_bytes().unwrap_or_default()));
            save.replaces = true;
            self.run(|raw| raw.mut_store().install(&snapshot))?.ok()?;
        }
        let entries = ready.take_entries();
        save.entries = entries
            .iter()
            .map(|e| (e.index, e.write_to_bytes().unwrap_or_default()))
            .collect();
        self.run(|raw| raw.store().mem.wl().append(&entries))?
            .ok()?;
        if let Some(hard) = ready.hs() {
            let hard = hard.clone();
            if ready.must_sync() {
                save.hard = Some(hard.write_to_bytes().unwrap_or_default());
            }
            self.run(|raw| raw.mut_store().set_hard_state(hard))?;
        }
        for state in ready.take_read_states() {
            let own = self
                .reading
                .take_if(|(context, ..)| *context == state.request_ctx);
            if let Some((_, asked, _)) = own {
                self.read = asked;
                self.waiting.push((state.index, asked));
            }
        }
        let committed = ready.take_committed_entries();
        let held = ready.take_persisted_messages();
        self.held.push_back((ticket, held));
        self.run(|raw| raw.advance_append_async(ready))?;
        for entry in &committed {
            self.apply(entry, work);
        }
        if save.replaces {
            self.installed = Some(ticket);
        }
        if self.installed.is_none() {
            self.run(|raw| raw.advance_apply())?;
        }
        self.compact(&mut save);
        let nothing = save.hard.is_none() && save.snapshot.is_none() && save.entries.is_empty();
        if nothing && self.outstanding.is_empty() {
            self.run(|raw| raw.on_persist_ready(ticket))?;
        } else {
            self.outstanding.push_back(ticket);
            work.saves.push(save);
        }
        Some(())
    }

    fn apply(&mut self, entry: &Entry, work: &mut Work) {
        self.applied = (entry.index, entry.term);
        // A new leader's first entry is empty.
        if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
            return;
        }
        // What cannot be read here cannot be read at any voter: all of them pass it over.
        if let Ok(command) = serde_json::from_slice::<Command>(&entry.data) {
            let outcome = self.book.apply(&command);
            work.applied.push((command, outcome));
        }
    }

    /// Writes the book whole once the log has grown long.
    fn compact(&mut self, save: &mut Save) {
        let (index, term) = self.applied;
        if index - self.snapshotted < COMPACT || save.snapshot.is_some() {
            return;
        }
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = index;
        snapshot.mut_metadata().term = term;
        let state = self.raw.store().conf_state();
        snapshot.mut_metadata().set_conf_state(state);
        snapshot.data = serde_json::to_vec(&self.book).unwrap_or_default().into();
        self.snapshotted = index;
        save.snapshot = Some((index, snapshot.write_to_bytes().unwrap_or_default()));
        self.run(|raw| drop(raw.mut_store().compact(snapshot, KEPT)));
    }

    /// What was agreed on, as far as this voter knows.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Whether this voter leads.
    pub fn leads(&self) -> bool {
        self.stopped.is_none() && !self.stalled && self.raw.raft.state == StateRole::Leader
    }

    /// The leader that this voter knows; 0 for none.
    pub fn leader(&self) -> u64 {
        self.raw.raft.leader_id
    }

    /// The term, and the place in the log up to which the book goes.
    pub fn place(&self) -> (u64, u64) {
        (self.raw.raft.term, self.applied.0)
    }

    /// How many entries the log holds.
    pub fn log_len(&self) -> u64 {
        let log = self.raw.store();
        log.last_index().unwrap_or(0) + 1 - log.first_index().unwrap_or(0)
    }
}
