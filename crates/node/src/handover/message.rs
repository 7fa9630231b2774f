//! What the two processes of one node say to each other, one JSON value a line.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Which of the two partners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The process that this one replaces.
    Predecessor,
    /// The process that replaces this one.
    Successor,
}

impl Side {
    /// Both sides, in the order in which they are served.
    pub const BOTH: [Side; 2] = [Side::Predecessor, Side::Successor];
}

/// A message of one process to the other.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Word", rename_all = "snake_case")]
pub enum Message {
    /// An operator has taken the worker of this id out of service.
    #[serde(rename = "out")]
    WorkerOut(String),
    /// An operator has put the worker of this id back into service.
    #[serde(rename = "back")]
    WorkerBack(String),
    /// The new process can serve: the old one need accept nothing more.
    Serving,
    /// The old process has begun its graceful shutdown.
    #[serde(rename = "ending")]
    ShuttingDown,
    /// The names of the services that the new process has; sent only to one that has named its own.
    #[serde(rename = "parties")]
    Services(Vec<String>),
    /// A message for the service of this name.
    #[serde(rename = "party")]
    Service(String, Value),
}

/// What has happened on a link to another process of this node.
#[derive(Debug, PartialEq, Eq)]
pub enum HandoverEvent {
    /// A process has come to replace this one; it waits for [the state](super::Handover::send_state).
    SuccessorConnected(crate::net::Token),
    /// A partner has sent a message.
    Received(Side, Message),
    /// A partner is gone.
    Lost(Side),
}
