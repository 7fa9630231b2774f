//! What nodes say to each other: frames of a bounded length, which are looked at before anything in them is decoded.

use crate::book::{Book, Command, Outcome, Record, Stream};
use crate::error::AgreementError;
use marbledeck_licensing::{Part, Pool};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest frame, in bytes, without its head: a snapshot of the book, whose records have a bound of their own.
pub const LONGEST: usize = 16 * 1024 * 1024;
/// The longest of a node that does not vote: a question with a change.
pub const LONGEST_QUESTION: usize = 1024 * 1024 + 256 * 1024;
/// Commands of one question.
pub const MOST_COMMANDS: usize = 4;
/// Length and kind.
const HEAD: usize = 5;

/// A frame.
#[derive(Debug)]
pub enum Frame {
    /// A message of the consensus library, for [`crate::Voter::receive`].
    Raft(Vec<u8>),
    /// Anything else.
    Said(Box<Said>),
}

/// What is not the library's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Said {
    /// The first frame of whoever connects.
    Hello {
        /// The fleet's name in the operator file.
        fleet: String,
        /// The number of the node.
        node: u32,
        /// Its number as a voter, and the number of its store.
        voter: Option<(u64, u64)>,
    },
    /// The answer to a voter's: this one takes it for what it says, and has noted that durably.
    Welcome {
        /// The number of the voter that answers.
        voter: u64,
    },
    /// The answer to a voter whose number is known with another store: it has forgotten what it had promised.
    Denied {
        /// The number of the voter that answers.
        voter: u64,
    },
    /// A node wants a reading, and commands carried out.
    Ask {
        /// Comes back with the answer.
        question: u64,
        /// The revision up to which it knows the records.
        known: u64,
        /// Its start.
        boot: u64,
        /// What it wants done; the same until the answer says that it is.
        commands: Vec<Command>,
    },
    /// The voter was not behind when it had been asked.
    Answer(Box<Answer>),
    /// The nodes, with their starts, that have asked this voter lately.
    Heard {
        /// Node and start.
        nodes: Vec<(u32, u64)>,
    },
}

/// A reading.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The question's number.
    pub question: u64,
    /// The book's revision.
    pub revision: u64,
    /// What has changed since the revision that the asker knows.
    pub records: Vec<(String, Record)>,
    /// The number of the asker's last move of seats that was carried out.
    pub moved: u64,
    /// The number and the outcome of the asker's last change.
    pub changed: Option<(u64, Outcome)>,
    /// The seats that the asker holds: pool, tenant, seats, how many are asked back.
    pub parts: Vec<(String, String, u32, u32)>,
    /// The seats of each pool that nobody holds.
    pub free: Vec<(String, u32)>,
    /// A later start of the asker is known: it must not act.
    pub stale: bool,
}

impl Answer {
    /// What a node of this start is told of a book, if it knows the records up to this revision.
    pub fn of(book: &Book, node: u32, boot: u64, question: u64, known: u64) -> Self {
        let last = |stream| book.last(node, boot, stream);
        let pools: BTreeMap<&str, &Pool> = book.pools().collect();
        let holds = book.seats().holds(node, boot).into_iter();
        let parts = holds.map(|(name, tenant, seats)| {
            let pool = pools.get(name.as_str());
            let recalled = pool.map_or(0, |pool| book.seats().recalled(&name, pool, &tenant));
            (name, tenant, seats, recalled)
        });
        let records = book.since(known);
        let free = pools.iter();
        Answer {
            question,
            revision: book.revision(),
            records: records
                .map(|(name, record)| (name.clone(), record.clone()))
                .collect(),
            moved: last(Stream::Seats).map_or(0, |(number, _)| number),
            changed: last(Stream::Changes).map(|(number, outcome)| (number, outcome.clone())),
            parts: parts.collect(),
            free: free
                .map(|(name, pool)| ((*name).to_owned(), book.seats().free(name, pool)))
                .collect(),
            stale: book.is_stale(node, boot),
        }
    }

    /// The seats that the asker holds.
    pub fn held(&self) -> Vec<Part> {
        let parts = self.parts.iter().cloned();
        let part = |(pool, tenant, seats, recalled)| Part {
            pool,
            tenant,
            seats,
            recalled,
        };
        parts.map(part).collect()
    }
}

/// A frame's bytes.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let (kind, body) = match frame {
        Frame::Raft(body) => (b'R', body.clone()),
        Frame::Said(said) => (b'S', serde_json::to_vec(said).unwrap_or_default()),
    };
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.push(kind);
    bytes.extend(body);
    bytes
}

/// The first frame of these bytes and how many it takes; none where it has not wholly come.
///
/// # Errors
/// No such frame can come: it is too long, of no known kind, or makes no sense.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, AgreementError> {
    let wrong = |what: &str| Err(AgreementError::Message(what.to_owned()));
    let Some(head) = bytes.first_chunk::<HEAD>() else {
        return Ok(None);
    };
    let [a, b, c, d, kind] = *head;
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length > LONGEST {
        return wrong("a frame is too long");
    }
    if !matches!(kind, b'R' | b'S') {
        return wrong("a frame of no known kind");
    }
    let Some(body) = bytes.get(HEAD..HEAD + length) else {
        return Ok(None);
    };
    let frame = match kind {
        b'R' => Frame::Raft(body.to_vec()),
        _ => match serde_json::from_slice::<Said>(body) {
            Ok(said) => Frame::Said(Box::new(said)),
            Err(e) => return wrong(&e.to_string()),
        },
    };
    Ok(Some((frame, HEAD + length)))
}
