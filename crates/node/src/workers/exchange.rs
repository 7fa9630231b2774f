//! One request and response with a worker, over HTTP or the submission protocol.

use super::http_exchange::HttpExchange;
use super::submission_exchange::SubmissionExchange;
use crate::core::AttemptEnd;
use crate::net::conn::Connection;

/// How much of the response has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Completion {
    /// More of it is expected.
    #[default]
    Partial,
    /// It is complete, and the connection can be reused for the next request.
    Reusable,
    /// It is complete or unreadable, and the connection must be closed.
    Closed,
}

impl Completion {
    /// The completion of a response that is complete.
    pub fn of(reusable: bool) -> Self {
        if reusable {
            Completion::Reusable
        } else {
            Completion::Closed
        }
    }
}

/// The result of reading from the connection.
#[derive(Default)]
pub struct ReadProgress {
    /// Whether the worker has reported that the attempt is running.
    pub started: bool,
    /// The end of the attempt or probe, if this read brought it.
    pub end: Option<AttemptEnd>,
    /// How much of the response has been read so far.
    pub completion: Completion,
}

/// The response that a connection is waiting for, by the worker's protocol.
pub enum Exchange {
    /// HTTP/1.1, with an event stream as the response.
    Http(HttpExchange),
    /// The submission protocol, with this node as the submitter.
    Submission(SubmissionExchange),
}

impl Exchange {
    /// Reads the data received on the connection.
    pub fn read(&mut self, conn: &mut Connection) -> ReadProgress {
        match self {
            Exchange::Http(exchange) => exchange.read(conn),
            Exchange::Submission(exchange) => exchange.read(conn),
        }
    }
}
