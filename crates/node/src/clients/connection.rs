//! A client's connection: the progress of its current request, and its eviction rank.

use crate::clock::millis;
use crate::core::MAX_SMALL_BODY;
use crate::net::conn::Connection;
use crate::net::http::{self, Body, ParseError, RequestHead};
use marbledeck_dispatcher::{Micros, RequestId};

/// How long after the accept a connection counts as new: its first request may still be on its way.
const NEW_CONNECTION_PERIOD: Micros = millis(500);

/// A request whose head has been read, but not all of its body.
pub struct PartialRequest {
    /// Its head.
    pub head: RequestHead,
    /// The decoder of the body.
    pub body: Body,
    /// The content of the body so far.
    pub content: Vec<u8>,
    /// The memory that the head takes, in bytes.
    pub head_bytes: usize,
}

/// The progress of the current request.
pub enum Stage {
    /// No byte of the next request has arrived.
    Idle,
    /// A part of its head has arrived.
    ReadingHead,
    /// Its head and possibly a part of its body have arrived.
    ReadingBody(Box<PartialRequest>),
    /// It was accepted and is waiting for its answer.
    AwaitingAnswer {
        /// The request.
        request: RequestId,
        /// Whether the client wants to keep the connection.
        keep_alive: bool,
    },
}

/// The order in which connections are closed when a new one needs a descriptor; the lowest is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// It has never sent anything.
    Silent,
    /// It has sent a part of a request.
    Incomplete,
    /// It is between two requests, after an answer.
    Idle,
}

/// A connection's position in the eviction order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionKey {
    /// Its rank, which comes first in the order.
    pub rank: EvictionRank,
    /// When it got this rank: within a rank, the connection with the lowest number is closed first.
    pub sequence: u64,
}

/// The result of one step of reading a request.
pub enum ReadStep {
    /// More input is needed, or the current request has no answer yet.
    Blocked,
    /// The first bytes of a request have arrived.
    RequestBegun,
    /// The head is complete.
    HeadRead {
        /// Whether the client is waiting for `100 Continue`.
        wants_continue: bool,
    },
    /// A part of the body was read.
    BodyRead,
    /// The input is not a valid request.
    Failed(ParseError),
}

/// A client's connection.
pub struct ClientConnection {
    /// The progress of its current request.
    pub stage: Stage,
    accepted: Micros,
    /// Its position in the eviction order; none while its request is waiting for an answer.
    pub eviction: Option<EvictionKey>,
    /// How many requests it has sent completely.
    pub request_count: u64,
    /// When its current request must have arrived completely; none while no request is arriving.
    pub request_deadline: Option<Micros>,
    /// When the client was last known not to have closed the connection.
    pub known_open_at: Micros,
    /// When its last answer was given.
    pub answered_at: Micros,
    /// The memory that its current request takes while it arrives, in bytes.
    pub partial_bytes: usize,
    /// The bytes reserved from the budget for large bodies while its body is read.
    pub reserved_bytes: usize,
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted at this time.
    pub fn new(accepted: Micros) -> Self {
        ClientConnection {
            stage: Stage::Idle,
            accepted,
            eviction: None,
            request_count: 0,
            request_deadline: None,
            known_open_at: accepted,
            answered_at: accepted,
            partial_bytes: 0,
            reserved_bytes: 0,
        }
    }

    /// Whether its first request may still be on its way.
    pub fn is_new(&self, now: Micros) -> bool {
        self.request_count == 0 && now < self.accepted + NEW_CONNECTION_PERIOD
    }

    /// Whether its request is waiting for an answer.
    pub fn awaits_answer(&self) -> bool {
        matches!(self.stage, Stage::AwaitingAnswer { .. })
    }

    /// Whether its request has been read completely and not been handled yet.
    pub fn has_request(&self) -> bool {
        matches!(&self.stage, Stage::ReadingBody(partial) if partial.body.is_done())
    }

    /// Reads the next part of a request from the connection's input.
    pub fn advance(&mut self, conn: &mut Connection) -> ReadStep {
        match &mut self.stage {
            Stage::AwaitingAnswer { .. } => ReadStep::Blocked,
            Stage::Idle if conn.input.is_empty() => ReadStep::Blocked,
            Stage::Idle => {
                self.stage = Stage::ReadingHead;
                ReadStep::RequestBegun
            }
            Stage::ReadingHead => match http::parse_request_head(conn.input.all()) {
                Ok(None) => ReadStep::Blocked,
                Ok(Some((head, used))) => {
                    conn.input.consume(used);
                    self.begin_body(head, conn)
                }
                Err(error) => ReadStep::Failed(error),
            },
            Stage::ReadingBody(partial) => {
                match partial.body.take(conn.input.all(), &mut partial.content) {
                    Ok(used) => {
                        conn.input.consume(used);
                        ReadStep::BodyRead
                    }
                    Err(error) => ReadStep::Failed(error),
                }
            }
        }
    }

    fn begin_body(&mut self, head: RequestHead, conn: &Connection) -> ReadStep {
        let body = match Body::of_request(&head.fields) {
            Ok(body) => body,
            Err(error) => return ReadStep::Failed(error),
        };
        let max_bytes = body.max_remaining();
        self.reserved_bytes = if max_bytes > MAX_SMALL_BODY {
            max_bytes
        } else {
            0
        };
        let expect = head.fields.get("Expect");
        let expects_continue = expect.is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
        let wants_continue = expects_continue && !body.is_done() && conn.input.is_empty();
        self.stage = Stage::ReadingBody(Box::new(PartialRequest {
            head_bytes: head.memory_bytes(),
            head,
            body,
            content: Vec::new(),
        }));
        ReadStep::HeadRead { wants_continue }
    }
}
