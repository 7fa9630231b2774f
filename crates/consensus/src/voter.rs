//! A voter: a member of the Raft group that replicates the state.

mod message_check;
mod reads;
mod ready;

use crate::command::{Command, Outcome};
use crate::error::ConsensusError;
use crate::log::Log;
use crate::persistence::{restore, PersistRequest, PersistedState};
use crate::state::ReplicatedState;
use protobuf::Message as _;
use raft::eraftpb::{Message, Snapshot};
use raft::{Config, RawNode, StateRole, Storage};
use reads::PendingReads;
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Ticks without a message from a leader after which a voter starts an election; each timeout is a random number from this
/// to twice this.
const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Maximum size of the entries in one message.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
/// Maximum number of append messages in flight to one voter.
const MAX_IN_FLIGHT_MESSAGES: usize = 64;
/// Maximum size of uncommitted commands at the leader. It drops further ones; their requesters repeat them.
const MAX_UNCOMMITTED_BYTES: u64 = 8 * 1024 * 1024;
/// Allowed numbers of voters; a single voter is for tests and development.
const GROUP_SIZES: [usize; 4] = [1, 3, 5, 7];

/// A position in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    /// The Raft term.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}

impl LogPosition {
    pub(crate) fn of_snapshot(snapshot: &Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        LogPosition {
            term: metadata.term,
            index: metadata.index,
        }
    }
}

/// A message to another voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Number of the receiving voter.
    pub to: u64,
    /// The message, for its [`Voter::handle_message`].
    pub bytes: Vec<u8>,
}

/// A command that was applied, and its result.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedCommand {
    /// The command.
    pub command: Command,
    /// Its result.
    pub outcome: Outcome,
}

/// Work for the caller of a voter.
#[derive(Debug, Default)]
pub struct Effects {
    /// To be persisted, in this order.
    pub persist_requests: Vec<PersistRequest>,
    /// To be sent now.
    pub messages: Vec<OutgoingMessage>,
    /// All reads up to this number may be answered from the state now.
    pub confirmed_read: Option<u64>,
    /// The commands that were applied.
    pub applied: Vec<AppliedCommand>,
}

/// Messages that may be sent only once the persist request of this ticket is durable.
struct HeldMessages {
    ticket: u64,
    messages: Vec<Message>,
}

/// A voter. It has no sockets, clock or disk; the caller provides them.
pub struct Voter {
    id: u64,
    voters: Vec<u64>,
    raft: RawNode<Log>,
    state: ReplicatedState,
    /// The last log entry that was applied to the state.
    applied: LogPosition,
    /// Index of the last snapshot.
    snapshot_index: u64,
    held_messages: VecDeque<HeldMessages>,
    /// Tickets of the persist requests that are not durable yet.
    unpersisted_tickets: VecDeque<u64>,
    /// Ticket of a snapshot received from another voter, which counts as applied once it is durable.
    installing_ticket: Option<u64>,
    reads: PendingReads,
    /// Number of ticks since the start.
    ticks: u64,
    /// The store cannot persist anything, so that no message is sent or handled.
    suspended: bool,
    /// Set once the voter has stopped: the panic message of the consensus library, or why a snapshot cannot be used.
    stop_reason: Option<String>,
}

impl Voter {
    /// Creates the voter with number `id` in a group of `voters`. `incarnation` must differ between its starts.
    ///
    /// # Errors
    /// The persisted state cannot be used, or the voters do not form a valid group.
    pub fn new(
        id: u64,
        voters: &[u64],
        incarnation: u64,
        persisted: &PersistedState,
    ) -> Result<Self, ConsensusError> {
        if !voters.contains(&id) || !GROUP_SIZES.contains(&voters.len()) || voters.contains(&0) {
            let message =
                "voters: must be 3, 5 or 7 numbers, each 1 or more, including this node's";
            return Err(ConsensusError::InvalidConfiguration(message.to_owned()));
        }
        let restored = restore(voters, persisted)?;
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: restored.applied.index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_IN_FLIGHT_MESSAGES,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&config, restored.log, &logger)
            .map_err(|error| ConsensusError::CorruptState(error.to_string()))?;
        Ok(Voter {
            id,
            voters: voters.to_vec(),
            raft,
            state: restored.state,
            applied: restored.applied,
            snapshot_index: restored.applied.index,
            held_messages: VecDeque::new(),
            unpersisted_tickets: VecDeque::new(),
            installing_ticket: None,
            reads: PendingReads::new(id, incarnation),
            ticks: 0,
            suspended: false,
            stop_reason: None,
        })
    }

    /// Calls the consensus library, which panics where its invariants are violated. After a panic this voter stops, and
    /// the process continues. Returns `None` if the voter has stopped.
    fn with_raft<T>(&mut self, call: impl FnOnce(&mut RawNode<Log>) -> T) -> Option<T> {
        if self.stop_reason.is_some() {
            return None;
        }
        let raft = &mut self.raft;
        match catch_unwind(AssertUnwindSafe(|| call(raft))) {
            Ok(result) => Some(result),
            Err(panic) => {
                let message = panic.downcast_ref::<String>().cloned();
                let message =
                    message.or(panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
                self.stop_reason = Some(message.unwrap_or_default());
                None
            }
        }
    }

    /// The reason why this voter has stopped; `None` while it runs.
    pub fn stop_reason(&self) -> Option<&str> {
        self.stop_reason.as_deref()
    }

    /// Advances the voter's time by one tick. All voters must use the same tick length.
    pub fn tick(&mut self) {
        self.ticks += 1;
        if !self.suspended {
            self.with_raft(RawNode::tick);
        }
        if let Some(context) = self.reads.poll_read_index(self.ticks) {
            self.with_raft(|raft| raft.read_index(context));
        }
    }

    /// Handles a message of another voter.
    ///
    /// # Errors
    /// The message is malformed, or not from another voter to this one. It was not handled.
    pub fn handle_message(&mut self, from: u64, bytes: &[u8]) -> Result<(), ConsensusError> {
        let message = Message::parse_from_bytes(bytes)
            .map_err(|error| ConsensusError::MalformedMessage(error.to_string()))?;
        message_check::check_addresses(&message, from, self.id, &self.voters)?;
        if self.suspended {
            // The result of handling it could not be persisted. Raft sends lost messages again.
            return Ok(());
        }
        message_check::check_content(&message, self.raft.raft.raft_log.last_index())?;
        // The library rejects messages of an earlier term, and proposals that cannot be accepted now.
        self.with_raft(|raft| drop(raft.step(message)));
        Ok(())
    }

    /// Proposes a command; a follower forwards it to the leader. The proposal may be lost, so that the requester must
    /// repeat it with the same number.
    pub fn propose(&mut self, command: &Command) {
        if let Ok(bytes) = serde_json::to_vec(command) {
            self.with_raft(|raft| drop(raft.propose(Vec::new(), bytes)));
        }
    }

    /// Requests a linearizable read. `request` must be greater than any before; it comes back as
    /// [`Effects::confirmed_read`].
    pub fn request_read(&mut self, request: u64) {
        self.reads.add_request(request);
    }

    /// Handles that everything up to this ticket is durable, and ends a suspension.
    pub fn handle_persisted(&mut self, ticket: u64) {
        let is_durable = |unpersisted: &mut u64| *unpersisted <= ticket;
        while self.unpersisted_tickets.pop_front_if(is_durable).is_some() {}
        self.suspended = false;
        let installed = self
            .installing_ticket
            .take_if(|installing| *installing <= ticket)
            .is_some();
        self.with_raft(|raft| {
            raft.on_persist_ready(ticket);
            if installed {
                raft.advance_apply();
            }
        });
    }

    /// Suspends the voter while the store cannot persist anything: it sends no messages and does not act as the leader
    /// until [`Voter::handle_persisted`]. The caller must retry the persist requests in their order.
    pub fn suspend(&mut self) {
        self.suspended = true;
    }

    /// Takes the work that the caller has to do now.
    pub fn poll_effects(&mut self) -> Effects {
        let mut effects = Effects::default();
        while self.with_raft(|raft| raft.has_ready()) == Some(true)
            && self.process_ready(&mut effects).is_some()
        {}
        self.release_held_messages(&mut effects);
        effects.confirmed_read = self.reads.take_confirmed(self.applied.index);
        effects
    }

    fn release_held_messages(&mut self, effects: &mut Effects) {
        let oldest_unpersisted = self.unpersisted_tickets.front().copied();
        let is_durable =
            |held: &mut HeldMessages| oldest_unpersisted.is_none_or(|oldest| held.ticket < oldest);
        while let Some(held) = self.held_messages.pop_front_if(is_durable) {
            self.send(held.messages, effects);
        }
    }

    fn send(&self, messages: Vec<Message>, effects: &mut Effects) {
        // A message may acknowledge data that the store could not persist.
        if self.suspended {
            return;
        }
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                let to = message.to;
                effects.messages.push(OutgoingMessage { to, bytes });
            }
        }
    }

    /// The replicated state, as far as this voter has applied the log.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether this voter is the leader and can act as such.
    pub fn is_leader(&self) -> bool {
        self.stop_reason.is_none() && !self.suspended && self.raft.raft.state == StateRole::Leader
    }

    /// Number of the leader that this voter knows; 0 for none.
    pub fn leader_id(&self) -> u64 {
        self.raft.raft.leader_id
    }

    /// The current term, and the index up to which the log is applied.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            term: self.raft.raft.term,
            index: self.applied.index,
        }
    }

    /// The number of entries that the log holds.
    pub fn log_len(&self) -> u64 {
        let log = self.raft.store();
        log.last_index().unwrap_or(0) + 1 - log.first_index().unwrap_or(0)
    }
}
