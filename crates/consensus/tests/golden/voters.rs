//! The exact bytes that three voters send each other and store, from an election to the transfer of a snapshot.

use crate::samples::{command, request_seats};
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
const INCARNATION: u64 = 1_700_000_000_000_000;
/// More ticks than any election timeout.
const MAX_TICKS: usize = 40;
/// Commands after which every voter has written a snapshot.
const COMMANDS_UNTIL_SNAPSHOT: usize = 2000;
const COMMANDS_PER_ROUND: usize = 100;

/// The name of a message's type in the consensus library's protocol.
fn message_type(bytes: &[u8]) -> &'static str {
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

/// Persists a request as a node's store does: removes the entries that its snapshot covers or its entries replace.
pub fn store(persisted: &mut PersistedState, request: &PersistRequest) {
    if let Some(hard_state) = &request.hard_state {
        persisted.hard_state = Some(hard_state.clone());
    }
    if let Some(EncodedSnapshot {
        index,
        bytes: snapshot,
    }) = &request.snapshot
    {
        persisted.snapshot = Some(snapshot.clone());
        persisted
            .entries
            .retain(|(entry_index, _)| !request.replaces_log && entry_index > index);
    }
    if let Some((first, _)) = request.entries.first() {
        persisted
            .entries
            .retain(|(entry_index, _)| entry_index < first);
    }
    persisted.entries.extend(request.entries.iter().cloned());
}

/// Three voters whose messages are delivered at once and in order.
struct Group {
    voters: BTreeMap<u64, Voter>,
    stores: BTreeMap<u64, PersistedState>,
    /// The voter to and from which no messages are delivered.
    cut_off: Option<u64>,
    transcript: String,
    recording: bool,
    sent_types: BTreeSet<&'static str>,
}

impl Group {
    fn start(stores: BTreeMap<u64, PersistedState>, incarnation: u64) -> Self {
        let voters = stores.iter().map(|(id, persisted)| {
            let voter = Voter::new(*id, &VOTERS, incarnation, persisted).expect("a voter");
            (*id, voter)
        });
        Group {
            voters: voters.collect(),
            stores,
            cut_off: None,
            transcript: String::new(),
            recording: true,
            sent_types: BTreeSet::new(),
        }
    }

    fn voter(&mut self, id: u64) -> &mut Voter {
        self.voters.get_mut(&id).expect("one of the voters")
    }

    fn add_line(&mut self, line: &str) {
        if self.recording {
            writeln!(self.transcript, "{line}").expect("formatting into a string succeeds");
        }
    }

    fn section(&mut self, title: &str) {
        self.add_line(&format!("== {title}"));
    }

    /// Does all work that a voter hands to its caller now; returns whether there was any.
    fn process_effects(&mut self, id: u64, messages: &mut Vec<(u64, u64, Vec<u8>)>) -> bool {
        let effects = self.voter(id).poll_effects();
        let has_work = !effects.persist_requests.is_empty() || !effects.messages.is_empty();
        for request in &effects.persist_requests {
            self.persist(id, request);
        }
        if let Some(read) = effects.confirmed_read {
            self.add_line(&format!("{id} confirms read {read}"));
        }
        for AppliedCommand { command, outcome } in &effects.applied {
            let (command, outcome) = (json(command), json(outcome));
            self.add_line(&format!("{id} applies {command}: {outcome}"));
        }
        let sent = effects
            .messages
            .into_iter()
            .map(|OutgoingMessage { to, bytes }| (id, to, bytes));
        messages.extend(sent);
        has_work
    }

    fn persist(&mut self, id: u64, request: &PersistRequest) {
        if let Some(hard_state) = &request.hard_state {
            self.add_line(&format!("{id} stores hard state {}", hex(hard_state)));
        }
        if let Some(EncodedSnapshot {
            index,
            bytes: snapshot,
        }) = &request.snapshot
        {
            let mode = if request.replaces_log {
                "in place of the log"
            } else {
                "beside the log"
            };
            self.add_line(&format!(
                "{id} stores snapshot {index} {mode} {}",
                hex(snapshot)
            ));
        }
        for (index, entry) in &request.entries {
            self.add_line(&format!("{id} stores entry {index} {}", hex(entry)));
        }
        store(self.stores.get_mut(&id).expect("its store"), request);
        self.voter(id).handle_persisted(request.ticket);
    }

    /// Delivers messages until no voter has work to do.
    fn run_until_idle(&mut self) {
        loop {
            let mut messages = Vec::new();
            let mut has_work = false;
            for id in VOTERS {
                has_work |= self.process_effects(id, &mut messages);
            }
            if !has_work {
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
        let message_type = message_type(bytes);
        if self.recording {
            self.sent_types.insert(message_type);
        }
        self.add_line(&format!("{from} to {to}, {message_type}: {}", hex(bytes)));
        let received = self.voter(to).handle_message(from, bytes);
        received.expect("a message between voters");
    }

    fn tick(&mut self, id: u64) {
        self.voter(id).tick();
        self.run_until_idle();
    }

    /// Ticks only this voter, so that it is the one that starts an election. The number of ticks is random; the messages do
    /// not depend on it.
    fn elect(&mut self, id: u64) {
        for _ in 0..MAX_TICKS {
            if self.voter(id).is_leader() {
                return;
            }
            self.tick(id);
        }
        panic!("voter {id} was not elected within {MAX_TICKS} ticks");
    }

    fn propose(&mut self, by: u64, command: &Command) {
        self.voter(by).propose(command);
        self.run_until_idle();
    }

    fn state(&self, id: u64) -> &ReplicatedState {
        self.voters[&id].state()
    }

    /// Adds the contents of each voter's store to the transcript.
    fn add_stored_state(&mut self) {
        for (id, persisted) in self.stores.clone() {
            let hard_state = persisted.hard_state.as_deref().map_or(String::new(), hex);
            let snapshot = persisted.snapshot.as_deref().map_or(String::new(), hex);
            self.add_line(&format!("{id} has hard state {hard_state}"));
            self.add_line(&format!("{id} has snapshot {snapshot}"));
            for (index, entry) in &persisted.entries {
                self.add_line(&format!("{id} has entry {index} {}", hex(entry)));
            }
        }
    }
}

/// A command that changes only the revision.
pub fn no_op_command() -> Command {
    let free = LedgerCommand::FreeDrained {
        pool: "none".into(),
        draining_id: 0,
    };
    command(0, 0, 0, Operation::Seats(free))
}

#[test]
#[expect(clippy::too_many_lines, reason = "one history, step by step")]
fn messages_between_voters_and_their_stored_state() {
    let empty = VOTERS.map(|id| (id, PersistedState::default()));
    let mut group = Group::start(empty.into(), INCARNATION);
    group.section("election of voter 1");
    group.elect(1);

    group.section("commands proposed by the leader and by a follower");
    for (number, (_, command)) in history().into_iter().enumerate() {
        let by = if number == 1 { 2 } else { 1 };
        group.propose(by, &command);
    }

    group.section("a read at the leader, and a heartbeat");
    group.voter(1).request_read(1);
    group.tick(1);
    group.tick(1);

    group.section("a read at a follower");
    group.voter(2).request_read(1);
    group.tick(2);

    group.section("voter 3 misses an entry");
    group.cut_off = Some(3);
    let missed = command(2, 200, 3, Operation::Seats(request_seats("av1", "news", 1)));
    group.propose(1, &missed);
    group.cut_off = None;
    let next = command(2, 200, 4, Operation::Seats(request_seats("av1", "news", 2)));
    group.propose(1, &next);

    group.section("voter 3 misses more entries than the log retains");
    group.cut_off = Some(3);
    group.recording = false;
    for _ in 0..COMMANDS_UNTIL_SNAPSHOT / COMMANDS_PER_ROUND {
        for _ in 0..COMMANDS_PER_ROUND {
            group.voter(1).propose(&no_op_command());
        }
        group.run_until_idle();
    }
    group.recording = true;
    let after = command(2, 200, 5, Operation::Seats(request_seats("av1", "news", 3)));
    group.propose(1, &after);
    group.cut_off = None;
    for _ in 0..MAX_TICKS {
        if group.state(3) == group.state(1) {
            break;
        }
        group.tick(1);
    }
    assert!(group.state(3) == group.state(1) && group.state(2) == group.state(1));

    group.section("the stored state at the end");
    group.add_stored_state();
    let state = json(group.state(1));
    group.add_line(&format!("state {state}"));

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
        group.sent_types,
        BTreeSet::from(sent),
        "not every type of message was sent"
    );
    assert_golden("voters", &group.transcript);

    // All voters restart from their persisted state without losing anything.
    let mut restarted = Group::start(group.stores.clone(), INCARNATION + 1);
    restarted.elect(1);
    for id in VOTERS {
        assert!(
            restarted.state(id) == group.state(1),
            "voter {id} lost part of its state"
        );
    }
}
