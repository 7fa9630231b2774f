//! What three voters send each other and store, byte by byte, from an election to the transfer of a snapshot.

use crate::samples::{command, want};
use crate::state::history;
use crate::{assert_golden, hex, json};
use marbledeck_consensus::{
    AppliedCommand, Command, EncodedSnapshot, Operation, OutgoingMessage, PersistRequest,
    PersistedState, ReplicatedState, Voter,
};
use marbledeck_licensing::LedgerCommand;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

const VOTERS: [u64; 3] = [1, 2, 3];
const BOOT: u64 = 1_700_000_000_000_000;
/// More ticks than any election timeout.
const MOST_TICKS: usize = 40;
/// Commands after which every voter has written a snapshot.
const MANY: usize = 2000;
const BATCH: usize = 100;

/// The name of a message's type in the consensus library's protocol.
fn kind_of(bytes: &[u8]) -> &'static str {
    let message = Message::parse_from_bytes(bytes).expect("a message of the library");
    match message.get_msg_type() {
        MessageType::MsgPropose => "propose",
        MessageType::MsgAppend => "append",
        MessageType::MsgAppendResponse => "append response",
        MessageType::MsgRequestVote => "request vote",
        MessageType::MsgRequestVoteResponse => "request vote response",
        MessageType::MsgRequestPreVote => "request pre-vote",
        MessageType::MsgRequestPreVoteResponse => "request pre-vote response",
        MessageType::MsgSnapshot => "snapshot",
        MessageType::MsgHeartbeat => "heartbeat",
        MessageType::MsgHeartbeatResponse => "heartbeat response",
        MessageType::MsgReadIndex => "read index",
        MessageType::MsgReadIndexResp => "read index response",
        _ => "another",
    }
}

/// Stores a save as the node has it in its store: what a snapshot replaces goes, and what an entry overwrites.
pub fn store(durable: &mut PersistedState, save: &PersistRequest) {
    if let Some(hard) = &save.hard_state {
        durable.hard_state = Some(hard.clone());
    }
    if let Some(EncodedSnapshot {
        index,
        bytes: snapshot,
    }) = &save.snapshot
    {
        durable.snapshot = Some(snapshot.clone());
        durable
            .entries
            .retain(|(at, _)| !save.replaces_log && at > index);
    }
    if let Some((first, _)) = save.entries.first() {
        durable.entries.retain(|(at, _)| at < first);
    }
    durable.entries.extend(save.entries.iter().cloned());
}

/// Three voters, whose messages arrive at once and in order.
struct Group {
    voters: BTreeMap<u64, Voter>,
    stores: BTreeMap<u64, PersistedState>,
    /// No message to this one or from it arrives.
    cut_off: Option<u64>,
    transcript: String,
    recording: bool,
    kinds: BTreeSet<&'static str>,
}

impl Group {
    fn start(stores: BTreeMap<u64, PersistedState>, boot: u64) -> Self {
        let voters = stores.iter().map(|(id, durable)| {
            let voter = Voter::new(*id, &VOTERS, boot, durable).expect("a voter");
            (*id, voter)
        });
        Group {
            voters: voters.collect(),
            stores,
            cut_off: None,
            transcript: String::new(),
            recording: true,
            kinds: BTreeSet::new(),
        }
    }

    fn voter(&mut self, id: u64) -> &mut Voter {
        self.voters.get_mut(&id).expect("one of the voters")
    }

    fn line(&mut self, line: &str) {
        if self.recording {
            writeln!(self.transcript, "{line}").expect("a string takes it");
        }
    }

    fn section(&mut self, title: &str) {
        self.line(&format!("== {title}"));
    }

    /// Everything that a voter wants done now; tells whether there was anything.
    fn work(&mut self, id: u64, messages: &mut Vec<(u64, u64, Vec<u8>)>) -> bool {
        let work = self.voter(id).poll_effects();
        let busy = !work.persist_requests.is_empty() || !work.messages.is_empty();
        for save in &work.persist_requests {
            self.save(id, save);
        }
        if let Some(question) = work.confirmed_read {
            self.line(&format!("{id} confirms question {question}"));
        }
        for AppliedCommand { command, outcome } in &work.applied {
            let (command, outcome) = (json(command), json(outcome));
            self.line(&format!("{id} applies {command}: {outcome}"));
        }
        let sent = work
            .messages
            .into_iter()
            .map(|OutgoingMessage { to, bytes }| (id, to, bytes));
        messages.extend(sent);
        busy
    }

    fn save(&mut self, id: u64, save: &PersistRequest) {
        if let Some(hard) = &save.hard_state {
            self.line(&format!("{id} stores hard state {}", hex(hard)));
        }
        if let Some(EncodedSnapshot {
            index,
            bytes: snapshot,
        }) = &save.snapshot
        {
            let how = if save.replaces_log {
                "for the log"
            } else {
                "besides the log"
            };
            self.line(&format!(
                "{id} stores snapshot {index} {how} {}",
                hex(snapshot)
            ));
        }
        for (index, entry) in &save.entries {
            self.line(&format!("{id} stores entry {index} {}", hex(entry)));
        }
        store(self.stores.get_mut(&id).expect("its store"), save);
        self.voter(id).handle_persisted(save.ticket);
    }

    /// Goes on until nobody has anything to do.
    fn settle(&mut self) {
        loop {
            let mut messages = Vec::new();
            let mut busy = false;
            for id in VOTERS {
                busy |= self.work(id, &mut messages);
            }
            if !busy {
                return;
            }
            messages.sort_by_key(|(from, to, _)| (*from, *to));
            for (from, to, bytes) in messages {
                self.deliver(from, to, &bytes);
            }
        }
    }

    fn deliver(&mut self, from: u64, to: u64, bytes: &[u8]) {
        if self.cut_off == Some(from) || self.cut_off == Some(to) {
            return;
        }
        let kind = kind_of(bytes);
        if self.recording {
            self.kinds.insert(kind);
        }
        self.line(&format!("{from} to {to}, {kind}: {}", hex(bytes)));
        let received = self.voter(to).handle_message(from, bytes);
        received.expect("a message between voters");
    }

    fn tick(&mut self, id: u64) {
        self.voter(id).tick();
        self.settle();
    }

    /// Only this voter's time passes: it is the one that stands for election. How many ticks that takes is drawn at
    /// random; what is sent does not depend on it.
    fn elect(&mut self, id: u64) {
        for _ in 0..MOST_TICKS {
            if self.voter(id).is_leader() {
                return;
            }
            self.tick(id);
        }
        panic!("voter {id} was not elected");
    }

    fn propose(&mut self, by: u64, command: &Command) {
        self.voter(by).propose(command);
        self.settle();
    }

    fn book(&self, id: u64) -> &ReplicatedState {
        self.voters[&id].state()
    }

    /// What is in each voter's store.
    fn stored(&mut self) {
        for (id, durable) in self.stores.clone() {
            let hard = durable.hard_state.as_deref().map_or(String::new(), hex);
            let snapshot = durable.snapshot.as_deref().map_or(String::new(), hex);
            self.line(&format!("{id} has hard state {hard}"));
            self.line(&format!("{id} has snapshot {snapshot}"));
            for (index, entry) in &durable.entries {
                self.line(&format!("{id} has entry {index} {}", hex(entry)));
            }
        }
    }
}

/// Changes nothing but the count of commands.
pub fn idle_command() -> Command {
    let free = LedgerCommand::FreeDrained {
        pool: "none".into(),
        draining_id: 0,
    };
    command(0, 0, 0, Operation::Seats(free))
}

#[test]
#[expect(clippy::too_many_lines, reason = "one history, step by step")]
fn messages_between_voters_and_what_they_store() {
    let empty = VOTERS.map(|id| (id, PersistedState::default()));
    let mut group = Group::start(empty.into(), BOOT);
    group.section("election of voter 1");
    group.elect(1);

    group.section("commands proposed by the leader and by a follower");
    for (number, (_, command)) in history().into_iter().enumerate() {
        let by = if number == 1 { 2 } else { 1 };
        group.propose(by, &command);
    }

    group.section("a reading at the leader, and a sign of life");
    group.voter(1).request_read(1);
    group.tick(1);
    group.tick(1);

    group.section("a reading at a follower");
    group.voter(2).request_read(1);
    group.tick(2);

    group.section("voter 3 misses an entry");
    group.cut_off = Some(3);
    let missed = command(2, 200, 3, Operation::Seats(want("av1", "news", 1)));
    group.propose(1, &missed);
    group.cut_off = None;
    let next = command(2, 200, 4, Operation::Seats(want("av1", "news", 2)));
    group.propose(1, &next);

    group.section("voter 3 misses more than the log keeps");
    group.cut_off = Some(3);
    group.recording = false;
    for _ in 0..MANY / BATCH {
        for _ in 0..BATCH {
            group.voter(1).propose(&idle_command());
        }
        group.settle();
    }
    group.recording = true;
    let after = command(2, 200, 5, Operation::Seats(want("av1", "news", 3)));
    group.propose(1, &after);
    group.cut_off = None;
    for _ in 0..MOST_TICKS {
        if group.book(3) == group.book(1) {
            break;
        }
        group.tick(1);
    }
    assert!(group.book(3) == group.book(1) && group.book(2) == group.book(1));

    group.section("what is stored at the end");
    group.stored();
    let book = json(group.book(1));
    group.line(&format!("state {book}"));

    let sent = [
        "append",
        "append response",
        "heartbeat",
        "heartbeat response",
        "propose",
        "read index",
        "read index response",
        "request pre-vote",
        "request pre-vote response",
        "request vote",
        "request vote response",
        "snapshot",
    ];
    assert_eq!(
        group.kinds,
        BTreeSet::from(sent),
        "every kind of message was sent"
    );
    assert_golden("voters", &group.transcript);

    // From what was stored, all of them go on where they were.
    let mut restarted = Group::start(group.stores.clone(), BOOT + 1);
    restarted.elect(1);
    for id in VOTERS {
        assert!(
            restarted.book(id) == group.book(1),
            "voter {id} lost something"
        );
    }
}
