//! The messages between two processes of one node, each sent as a line of JSON.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The role of the other process.
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

    /// The role of the process on the other side of this one.
    pub fn opposite(self) -> Side {
        match self {
            Side::Predecessor => Side::Successor,
            Side::Successor => Side::Predecessor,
        }
    }
}

/// A message to the other process.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Word", rename_all = "snake_case")]
pub enum Message {
    /// An operator has taken the worker with this id out of service.
    #[serde(rename = "out")]
    WorkerOut(String),
    /// An operator has put the worker with this id back into service.
    #[serde(rename = "back")]
    WorkerBack(String),
    /// The new process can serve, so the old one may stop accepting connections.
    Serving,
    /// The old process has begun its graceful shutdown.
    #[serde(rename = "ending")]
    ShuttingDown,
    /// The names of the new process's services. It is sent only to a process whose state lists its own services.
    #[serde(rename = "parties")]
    Services(Vec<String>),
    /// A message for the service with this name.
    #[serde(rename = "party")]
    Service(String, Value),
}

/// An event on a link to another process of this node.
#[derive(Debug, PartialEq, Eq)]
pub enum HandoverEvent {
    /// A process that is to replace this one has connected, and waits for [the state](super::Handover::send_state).
    SuccessorConnected(crate::net::Token),
    /// The process with this role has sent a message.
    Received(Side, Message),
    /// The link to the process with this role is closed.
    Lost(Side),
}
