//! The answers of the discovery stub: the entries that they list, what they tell of each worker, and their encoding.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Size of a chunk in answers with chunked transfer coding.
const CHUNK_BYTES: usize = 4000;

/// The encoding of an answer's body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerForm {
    /// JSON without white space, with `Content-Length`.
    #[default]
    Compact,
    /// Indented JSON, with `Content-Length`.
    Indented,
    /// JSON without white space, with chunked transfer coding.
    Chunked,
}

/// An entry of the list. Entries in phase `removed` are kept so that changes can report them.
pub(crate) struct ListedWorker {
    /// The revision of the list at which this entry was last changed.
    pub(crate) revision: u64,
    /// The entry as it is sent.
    pub(crate) member: Value,
}

impl ListedWorker {
    pub(crate) fn id(&self) -> &str {
        self.member["id"].as_str().unwrap_or_default()
    }

    pub(crate) fn is_up(&self) -> bool {
        self.member["phase"] == "up"
    }

    pub(crate) fn cell(&self) -> u64 {
        self.member["cell"].as_u64().unwrap_or_default()
    }
}

/// The JSON form of an entry.
pub(crate) fn member(id: &str, address: SocketAddr, phase: &str, cell: u64) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "east", "flavor": "std",
        "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// An answer before its encoding.
pub(crate) struct Answer {
    pub(crate) body: Value,
    /// The revision of its list.
    pub(crate) revision: u64,
    /// What it tells, first about the entries of its body in their order, then about the workers that it leaves out.
    pub(crate) told: Vec<ToldEntry>,
}

/// What an answer tells about one worker.
pub(crate) struct ToldEntry {
    pub(crate) id: String,
    /// The revision of the list in which the entry last changed.
    pub(crate) revision: u64,
    pub(crate) is_up: bool,
}

impl From<&ListedWorker> for ToldEntry {
    fn from(worker: &ListedWorker) -> Self {
        ToldEntry {
            id: worker.id().to_owned(),
            revision: worker.revision,
            is_up: worker.is_up(),
        }
    }
}

/// The bytes of an answer.
pub(crate) struct EncodedAnswer {
    pub(crate) bytes: Vec<u8>,
    /// For each entry: the offset after its last byte.
    pub(crate) entry_ends: Vec<usize>,
}

/// Encodes the head and the body of an answer.
pub(crate) fn encode(form: AnswerForm, body: &Value) -> EncodedAnswer {
    let text = match form {
        AnswerForm::Indented => serde_json::to_string_pretty(body).unwrap_or_default(),
        AnswerForm::Compact | AnswerForm::Chunked => body.to_string(),
    };
    let count = body["members"].as_array().map_or(0, Vec::len);
    // Entries hold no braces, so the first closing ones are theirs.
    let braces = text.match_indices('}').take(count);
    let ends_in_text = braces.map(|(offset, brace)| offset + brace.len());
    if form != AnswerForm::Chunked {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        return EncodedAnswer {
            entry_ends: ends_in_text.map(|end| head.len() + end).collect(),
            bytes: (head + &text).into_bytes(),
        };
    }
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let mut ends_in_text = ends_in_text.peekable();
    let mut entry_ends = Vec::new();
    for (number, chunk) in text.as_bytes().chunks(CHUNK_BYTES).enumerate() {
        bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
        let chunk_start = number * CHUNK_BYTES;
        let chunk_end = chunk_start + chunk.len();
        while let Some(end) = ends_in_text.next_if(|end| *end <= chunk_end) {
            entry_ends.push(bytes.len() + end - chunk_start);
        }
        bytes.extend_from_slice(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    EncodedAnswer { bytes, entry_ends }
}
