//! The settings of a client.

use std::time::Duration;

/// The settings of a client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the node accepts submissions: a host name or address, and a port.
    pub contact: String,
    /// For how long a request is retried if no connection can be made or every one is lost.
    pub retry_timeout: Duration,
    /// For how long a job is resubmitted that the node rejects for now.
    pub resubmit_timeout: Duration,
    /// How long an answer may take, except to a wait.
    pub answer_timeout: Duration,
}

impl Settings {
    /// The default settings for a node at this address.
    pub fn new(contact: impl Into<String>) -> Self {
        Settings {
            contact: contact.into(),
            retry_timeout: Duration::from_secs(15),
            resubmit_timeout: Duration::from_secs(60),
            answer_timeout: Duration::from_secs(30),
        }
    }
}
