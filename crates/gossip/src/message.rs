//! The datagrams, byte by byte. The first byte holds the version in its upper half and the kind in its lower one; numbers
//! are big-endian. A datagram of another version, kind or length is not understood, and is dropped.
//!
//! | kind | bytes | fields |
//! | --- | --- | --- |
//! | 1, held | 7 | short name of the worker (4), number of the word (1), calls out there (1) |
//! | 2, ask | 5 | short name of the worker (4) |
//! | 3, told | 6 | short name of the worker (4), calls out there of all nodes (1), 255 where not known |

/// The version of the messages that this crate speaks.
pub const VERSION: u8 = 1;
/// The longest message, in bytes.
pub const LONGEST: usize = 7;
/// The greatest count that a message can carry.
pub const MOST: u8 = 254;
const UNKNOWN: u8 = 255;

/// One datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender has so many calls out to this worker. Each word about a worker has the next number, so that one that
    /// overtook another is not undone.
    Held { worker: u32, number: u8, calls: u8 },
    /// How many calls are out to this worker?
    Ask { worker: u32 },
    /// So many, of all nodes; none where the keeper has not listened for long enough.
    Told { worker: u32, calls: Option<u8> },
}

impl Message {
    /// The message as it goes out.
    pub fn bytes(self) -> Vec<u8> {
        let (kind, worker, rest) = match self {
            Message::Held {
                worker,
                number,
                calls,
            } => (1, worker, vec![number, calls.min(MOST)]),
            Message::Ask { worker } => (2, worker, vec![]),
            Message::Told { worker, calls } => {
                (3, worker, vec![calls.map_or(UNKNOWN, |n| n.min(MOST))])
            }
        };
        let mut bytes = vec![VERSION << 4 | kind];
        bytes.extend(worker.to_be_bytes());
        bytes.extend(rest);
        bytes
    }

    /// The message that has come; none where it is not understood.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let (first, rest) = bytes.split_first()?;
        let (worker, rest) = rest.split_first_chunk::<4>()?;
        let worker = u32::from_be_bytes(*worker);
        match (first ^ (VERSION << 4), rest) {
            (1, &[number, calls]) => Some(Message::Held {
                worker,
                number,
                calls: calls.min(MOST),
            }),
            (2, []) => Some(Message::Ask { worker }),
            (3, &[calls]) => Some(Message::Told {
                worker,
                calls: Some(calls).filter(|n| *n != UNKNOWN),
            }),
            _ => None,
        }
    }
}
