//! The messages between nodes, and their framing.
//!
//! A frame is a length of four bytes (big-endian, of the body only), one byte for its kind and the body: an unmodified
//! message of the consensus library, or a [`NodeMessage`] in JSON. The length is checked before anything is decoded.

use crate::command::{Command, CommandSequence, Outcome};
use crate::error::ConsensusError;
use crate::record::Record;
use crate::state::ReplicatedState;
use marbledeck_licensing::{HeldSeats, Pool, SeatAllocation};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum length of a frame's body in bytes; enough for a snapshot of the replicated state.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Maximum length of a frame's body from a node that is not a voter; enough for a read request with a change.
pub const MAX_REQUEST_BYTES: usize = 1024 * 1024 + 256 * 1024;
/// Maximum number of commands in one read request.
pub const MAX_COMMANDS_PER_REQUEST: usize = 4;
/// Length of a frame's header: the length of the body, and the kind.
const HEADER_BYTES: usize = 5;
/// The kinds of frames.
const KIND_RAFT: u8 = b'R';
const KIND_NODE: u8 = b'S';

/// A frame.
#[derive(Debug)]
pub enum Frame {
    /// A message of the consensus library, for [`crate::Voter::handle_message`].
    Raft(Vec<u8>),
    /// Any other message.
    Node(Box<NodeMessage>),
}

/// A message that is not one of the consensus library.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Said")]
pub enum NodeMessage {
    /// The first message on a connection, from the node that opened it.
    Hello {
        /// The fleet's name in the operator file.
        fleet: String,
        /// Number of the node.
        node: u32,
        /// For a voter: its number as a voter, and the number of its store.
        voter: Option<(u64, u64)>,
    },
    /// Response to a voter's `Hello`: the responding voter has durably recorded the number of the sender's store.
    Welcome {
        /// Number of the responding voter.
        voter: u64,
    },
    /// Response to a voter's `Hello` whose number is recorded with another store: the sender has lost the votes and
    /// entries that it had persisted, and must not vote.
    Denied {
        /// Number of the responding voter.
        voter: u64,
    },
    /// Requests a lease on the records, and proposes commands.
    #[serde(rename = "Ask")]
    ReadRequest {
        /// Number of the request, repeated in the response.
        #[serde(rename = "question")]
        request_id: u64,
        /// The revision up to which the node knows the records.
        #[serde(rename = "known")]
        known_revision: u64,
        /// Incarnation of the node.
        #[serde(rename = "boot")]
        incarnation: u64,
        /// Commands to propose; repeated until a response shows that they were applied.
        commands: Vec<Command>,
    },
    /// Response to a read request, confirmed by a quorum after the request arrived.
    #[serde(rename = "Answer")]
    ReadResponse(Box<ReadResponse>),
    /// The nodes that have contacted the sending voter recently.
    #[serde(rename = "Heard")]
    ContactReport {
        /// Number and incarnation of each node.
        nodes: Vec<(u32, u64)>,
    },
}

/// The response to a read request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Answer")]
pub struct ReadResponse {
    /// Number of the request.
    #[serde(rename = "question")]
    pub request_id: u64,
    /// The revision of the replicated state.
    pub revision: u64,
    /// The records, by name, that have changed since the revision that the node knows.
    pub records: Vec<(String, Record)>,
    /// Number of the node's last operation on seats that was applied; 0 for none.
    #[serde(rename = "moved")]
    pub last_seat_operation: u64,
    /// Number and outcome of the node's last change of records.
    #[serde(rename = "changed")]
    pub last_change: Option<(u64, Outcome)>,
    /// The seats that the node holds: pool, tenant, seats, and how many of them are recalled.
    #[serde(rename = "parts")]
    pub seats: Vec<(String, String, u32, u32)>,
    /// The number of seats of each pool that no node holds.
    #[serde(rename = "free")]
    pub free_seats: Vec<(String, u32)>,
    /// A later incarnation of the node is known, so that this one must not act on records any more.
    pub stale: bool,
}

impl ReadResponse {
    /// Creates the response to a read request of this incarnation of a node.
    pub fn new(
        state: &ReplicatedState,
        node: u32,
        incarnation: u64,
        request_id: u64,
        known_revision: u64,
    ) -> Self {
        let last = |sequence| state.last_command(node, incarnation, sequence);
        let last_change = last(CommandSequence::Changes);
        let pools: BTreeMap<&str, &Pool> = state.pools().collect();
        let held = state.seats().held_by(node, incarnation).into_iter();
        let seats = held.map(|held| {
            let HeldSeats {
                pool: name,
                tenant,
                seats,
            } = held;
            let pool = pools.get(name.as_str());
            let recalled = pool.map_or(0, |pool| state.seats().recalled(&name, pool, &tenant));
            (name, tenant, seats, recalled)
        });
        let records = state.records_since(known_revision);
        let records = records.map(|(name, record)| (name.clone(), record.clone()));
        let free_seats = pools.iter().map(|(name, pool)| {
            let free = state.seats().free(name, pool);
            ((*name).to_owned(), free)
        });
        ReadResponse {
            request_id,
            revision: state.revision(),
            records: records.collect(),
            last_seat_operation: last(CommandSequence::Seats).map_or(0, |last| last.number),
            last_change: last_change.map(|last| (last.number, last.outcome.clone())),
            seats: seats.collect(),
            free_seats: free_seats.collect(),
            stale: state.is_stale(node, incarnation),
        }
    }

    /// The seats that the node holds.
    pub fn held_seats(&self) -> Vec<SeatAllocation> {
        let seats = self.seats.iter().cloned();
        let held = seats.map(|(pool, tenant, seats, recalled)| SeatAllocation {
            pool,
            tenant,
            seats,
            recalled,
        });
        held.collect()
    }
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let (kind, body) = match frame {
        Frame::Raft(body) => (KIND_RAFT, body.clone()),
        Frame::Node(message) => (KIND_NODE, serde_json::to_vec(message).unwrap_or_default()),
    };
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.push(kind);
    bytes.extend(body);
    bytes
}

/// Decodes the first frame of these bytes; returns it with its length in bytes, or `None` where it is incomplete.
///
/// # Errors
/// The bytes do not begin with a valid frame: it is too long, of an unknown kind or malformed.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, ConsensusError> {
    let malformed = |reason: &str| ConsensusError::MalformedMessage(reason.to_owned());
    let Some([length @ .., kind]) = bytes.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(malformed("the frame exceeds the maximum length"));
    }
    if !matches!(*kind, KIND_RAFT | KIND_NODE) {
        return Err(malformed("the frame is of an unknown kind"));
    }
    let Some(body) = bytes.get(HEADER_BYTES..HEADER_BYTES + length) else {
        return Ok(None);
    };
    let frame = if *kind == KIND_RAFT {
        Frame::Raft(body.to_vec())
    } else {
        let message = serde_json::from_slice::<NodeMessage>(body);
        Frame::Node(Box::new(message.map_err(|e| malformed(&e.to_string()))?))
    };
    Ok(Some((frame, HEADER_BYTES + length)))
}
