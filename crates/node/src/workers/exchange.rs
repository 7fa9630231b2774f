//! One exchange with a worker over whatever protocol it takes: what has come of the response so far.

use super::http_exchange::HttpExchange;
use super::submission_exchange::SubmissionExchange;
use crate::core::AttemptEnd;
use crate::net::conn::Connection;

/// How far the response has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Completion {
    /// More of it is to come.
    #[default]
    Partial,
    /// It is complete, and its connection can carry the next request.
    Reusable,
    /// It is complete or cannot be read on; its connection is of no more use.
    Closed,
}

impl Completion {
    /// The completion of a response whose connection can be reused or not.
    pub fn of(reusable: bool) -> Self {
        if reusable {
            Completion::Reusable
        } else {
            Completion::Closed
        }
    }
}

/// What a read of the connection has brought.
#[derive(Default)]
pub struct ReadProgress {
    /// The worker has said that it runs the attempt.
    pub started: bool,
    /// How the attempt or probe has ended.
    pub end: Option<AttemptEnd>,
    /// How far the response has come.
    pub completion: Completion,
}

/// The response that a connection is waiting for, by the protocol that its worker takes.
pub enum Exchange {
    /// HTTP/1.1, with an event stream as the response.
    Http(HttpExchange),
    /// Batch submission: this node is the submitter.
    Submission(SubmissionExchange),
}

impl Exchange {
    /// Reads what has come on the connection.
    pub fn read(&mut self, conn: &mut Connection) -> ReadProgress {
        match self {
            Exchange::Http(exchange) => exchange.read(conn),
            Exchange::Submission(exchange) => exchange.read(conn),
        }
    }
}
