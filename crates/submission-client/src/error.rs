//! Errors returned by the client.

use marbledeck_submission::message::{ErrorId, Problem};
use std::io;

/// Reason why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node answered with a problem.
    #[error("{}", describe(.0))]
    Problem(Problem),
    /// Connecting failed or the connection was lost until the retry timeout ended, or the client was closed.
    #[error("no connection to the node: {0}")]
    Connection(#[source] io::Error),
    /// The answer could not be decoded as an answer to the request.
    #[error("invalid answer from the node: {0}")]
    InvalidAnswer(String),
}

impl Error {
    /// The problem that the node answered with, if any.
    pub fn problem(&self) -> Option<&Problem> {
        match self {
            Error::Problem(problem) => Some(problem),
            _ => None,
        }
    }

    /// Whether the node answered with a problem of this identifier.
    pub fn is(&self, id: ErrorId) -> bool {
        self.problem().is_some_and(|problem| problem.error == id)
    }

    /// The error for a connection that closed before the answer arrived.
    pub(crate) fn connection_reset() -> Self {
        let error = io::Error::new(
            io::ErrorKind::ConnectionReset,
            "connection closed before the answer arrived",
        );
        Error::Connection(error)
    }
}

/// The message of a problem, or its identifier if the message is empty.
fn describe(problem: &Problem) -> String {
    if problem.message.is_empty() {
        return format!("{:?}", problem.error);
    }
    problem.message.clone()
}
