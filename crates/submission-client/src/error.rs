//! The errors of the client.

use marbledeck_submission::message::{ErrorId, Problem};
use std::io;

/// Why a request has failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node has answered with a problem.
    #[error("{}", describe(.0))]
    Problem(Problem),
    /// No connection could be made, or every one was lost, until the retry timeout.
    #[error("no connection to the node: {0}")]
    Connection(#[source] io::Error),
    /// The node's answer does not fit the request.
    #[error("the node's answer makes no sense: {0}")]
    InvalidAnswer(String),
}

impl Error {
    /// The node's problem, if it has answered with one.
    pub fn problem(&self) -> Option<&Problem> {
        match self {
            Error::Problem(problem) => Some(problem),
            _ => None,
        }
    }

    /// Whether the node has answered with this problem.
    pub fn is(&self, id: ErrorId) -> bool {
        self.problem().is_some_and(|problem| problem.error == id)
    }

    /// The error of a connection that broke while an answer was awaited.
    pub(crate) fn connection_reset() -> Self {
        let error = io::Error::new(io::ErrorKind::ConnectionReset, "the connection broke");
        Error::Connection(error)
    }
}

/// The problem's message, or the identifier of one without a message.
fn describe(problem: &Problem) -> String {
    if problem.message.is_empty() {
        return format!("{:?}", problem.error);
    }
    problem.message.clone()
}
