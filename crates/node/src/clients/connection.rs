//! A client's connection: how far its request has come, and its rank when another wants its descriptor.

use crate::clock::millis;
use crate::net::conn::Connection;
use crate::net::http::{self, Body, ParseError, RequestHead};
use marbledeck_dispatcher::{Micros, RequestId};

/// A body up to this size needs no reservation: few are larger, and those must not shut the others out.
const MAX_UNRESERVED_BODY: usize = 4 * 1024;

/// For so long after its accept a connection may be waiting for its first request to arrive.
const NEW_FOR: Micros = millis(500);

/// A request whose body is still to come.
pub struct PartialRequest {
    /// Its head.
    pub head: RequestHead,
    /// How far the body has come.
    pub body: Body,
    /// The body's content so far.
    pub content: Vec<u8>,
}

/// How far the current request has come.
pub enum Stage {
    /// Nothing has come of the next request.
    Idle,
    /// A part of its head has come.
    ReadingHead,
    /// Its head has come, and a part of its body.
    ReadingBody(Box<PartialRequest>),
    /// It is complete and waits for its answer.
    AwaitingAnswer {
        /// The request.
        request: RequestId,
        /// Whether the client wants to keep the connection.
        keep_alive: bool,
    },
}

/// What a connection is worth when another wants its descriptor; the first is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// It has never sent anything.
    Silent,
    /// It has sent a part of a request.
    Incomplete,
    /// It is between two requests.
    Idle,
}

/// A connection's place among those that can be closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionKey {
    /// What it is worth.
    pub rank: EvictionRank,
    /// The earlier of two of the same rank comes first.
    pub turn: u64,
}

/// What a step of reading a request has brought.
pub enum ReadStep {
    /// More has to come first.
    Blocked,
    /// The first bytes of a request have come.
    RequestBegun,
    /// The head is complete.
    HeadRead {
        /// The client waits for `100 Continue`.
        wants_continue: bool,
    },
    /// A part of the body has come.
    BodyRead,
    /// What has come is no request.
    Failed(ParseError),
}

/// A client's connection.
pub struct ClientConnection {
    /// How far its request has come.
    pub stage: Stage,
    accepted: Micros,
    /// Its place among those that can be closed; none while its request waits for an answer.
    pub eviction: Option<EvictionKey>,
    /// Counts its requests, so that a deadline of an earlier one is known to be out of date.
    pub request_number: u64,
    /// What its body may take of the budget for large bodies, while it is read.
    pub reserved_bytes: usize,
}

impl ClientConnection {
    /// A connection that was accepted at this time.
    pub fn new(accepted: Micros) -> Self {
        ClientConnection {
            stage: Stage::Idle,
            accepted,
            eviction: None,
            request_number: 0,
            reserved_bytes: 0,
        }
    }

    /// Whether its first request may be on the way.
    pub fn is_new(&self, now: Micros) -> bool {
        self.request_number == 0 && now < self.accepted + NEW_FOR
    }

    /// Whether its request waits for an answer.
    pub fn awaits_answer(&self) -> bool {
        matches!(self.stage, Stage::AwaitingAnswer { .. })
    }

    /// Whether its request is complete and not handled yet.
    pub fn has_request(&self) -> bool {
        matches!(&self.stage, Stage::ReadingBody(partial) if partial.body.is_done())
    }

    /// Reads on as far as the next part of a request goes.
    pub fn advance(&mut self, conn: &mut Connection) -> ReadStep {
        match &mut self.stage {
            Stage::AwaitingAnswer { .. } => ReadStep::Blocked,
            Stage::Idle if conn.input.is_empty() => ReadStep::Blocked,
            Stage::Idle => {
                self.stage = Stage::ReadingHead;
                ReadStep::RequestBegun
            }
            Stage::ReadingHead => match http::request_head(conn.input.all()) {
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
        self.reserved_bytes = if max_bytes > MAX_UNRESERVED_BODY {
            max_bytes
        } else {
            0
        };
        let expect = head.fields.get("Expect");
        let expects_continue = expect.is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
        let wants_continue = expects_continue && !body.is_done() && conn.input.is_empty();
        self.stage = Stage::ReadingBody(Box::new(PartialRequest {
            head,
            body,
            content: Vec::new(),
        }));
        ReadStep::HeadRead { wants_continue }
    }
}
