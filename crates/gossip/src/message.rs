//! The format of the datagrams. The first byte holds the version in its upper half and the kind in its lower half;
//! numbers are big-endian. A datagram with another version, kind or length is dropped.
//!
//! | kind | bytes | fields |
//! | --- | --- | --- |
//! | 1, count | 7 | short id of the worker (4), sequence number (1), the sender's attempts in flight there (1) |
//! | 2, query | 5 | short id of the worker (4) |
//! | 3, answer | 6 | short id of the worker (4), all nodes' attempts in flight there (1), 255 if unknown |

/// The version of the datagram format.
pub const VERSION: u8 = 1;
/// The length of the longest message, in bytes.
pub const MAX_LENGTH: usize = 7;
/// The greatest count that a message can carry.
pub const MAX_COUNT: u8 = 254;
/// The encoding of an unknown count.
const UNKNOWN: u8 = 255;

const KIND_COUNT: u8 = 1;
const KIND_QUERY: u8 = 2;
const KIND_ANSWER: u8 = 3;

/// One datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender's attempts in flight at a worker.
    Count {
        /// Short id of the worker.
        worker: u32,
        /// Number of this count for the worker, modulo 256. An owner ignores counts that arrive after a later one.
        sequence: u8,
        /// The sender's attempts in flight there.
        in_flight: u8,
    },
    /// Asks the owner of a worker for the attempts of all nodes in flight there.
    Query {
        /// Short id of the worker.
        worker: u32,
    },
    /// The attempts of all nodes in flight at a worker.
    Answer {
        /// Short id of the worker.
        worker: u32,
        /// The number of attempts; none if the owner has not yet run long enough to know it.
        in_flight: Option<u8>,
    },
}

impl Message {
    /// Encodes the message as a datagram.
    pub fn encode(self) -> Vec<u8> {
        let (kind, worker, rest) = match self {
            Message::Count {
                worker,
                sequence,
                in_flight,
            } => (KIND_COUNT, worker, vec![sequence, in_flight.min(MAX_COUNT)]),
            Message::Query { worker } => (KIND_QUERY, worker, vec![]),
            Message::Answer { worker, in_flight } => {
                let count = in_flight.map_or(UNKNOWN, |count| count.min(MAX_COUNT));
                (KIND_ANSWER, worker, vec![count])
            }
        };
        let mut bytes = vec![VERSION << 4 | kind];
        bytes.extend(worker.to_be_bytes());
        bytes.extend(rest);
        bytes
    }

    /// Decodes a datagram; none if its version, kind or length is unknown.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let (first, rest) = bytes.split_first()?;
        let (worker, rest) = rest.split_first_chunk::<4>()?;
        let worker = u32::from_be_bytes(*worker);
        match (first ^ (VERSION << 4), rest) {
            (KIND_COUNT, &[sequence, count]) => Some(Message::Count {
                worker,
                sequence,
                in_flight: count.min(MAX_COUNT),
            }),
            (KIND_QUERY, []) => Some(Message::Query { worker }),
            (KIND_ANSWER, &[count]) => Some(Message::Answer {
                worker,
                in_flight: Some(count).filter(|count| *count != UNKNOWN),
            }),
            _ => None,
        }
    }
}
