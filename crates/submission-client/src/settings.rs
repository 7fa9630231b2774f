//! Client settings: the node's address and the timeouts.

use std::time::Duration;

/// Address and timeouts of a [`Client`](crate::Client).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Submission address of the node, `host:port`; the host is a name or an IP address.
    pub contact: String,
    /// How long a request is retried while connecting fails or connections are lost.
    pub retry_timeout: Duration,
    /// How long a job is resubmitted while the node rejects it with `TRY_LATER`.
    pub resubmit_timeout: Duration,
    /// Time limit for an answer. For a wait with a timeout it is added to that timeout; other waits have none.
    pub answer_timeout: Duration,
}

impl Settings {
    /// Default settings for the node at this address.
    pub fn new(contact: impl Into<String>) -> Self {
        Settings {
            contact: contact.into(),
            retry_timeout: Duration::from_secs(15),
            resubmit_timeout: Duration::from_secs(60),
            answer_timeout: Duration::from_secs(30),
        }
    }
}
