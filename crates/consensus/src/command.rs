//! Commands: the entries of the replicated log.

use crate::change::Change;
use crate::error::ChangeError;
use marbledeck_licensing::LedgerCommand;
use serde::{Deserialize, Serialize};

/// A sequence in which the commands of a node are numbered. A node has at most one command of each sequence in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename = "Stream")]
pub enum CommandSequence {
    /// Operations on licence seats.
    Seats,
    /// Changes of records, requested by operators.
    Changes,
}

/// The operation of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "What")]
pub enum Operation {
    /// Changes records.
    Change(Change),
    /// Changes who holds licence seats.
    Seats(LedgerCommand),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Number of the node that requests it.
    pub node: u32,
    /// Incarnation of that node. Later incarnations have greater numbers.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Number in its sequence, from 1, so that a repeated command is applied only once. 0 for an idempotent command.
    pub number: u64,
    /// The operation.
    #[serde(rename = "what")]
    pub operation: Operation,
}

impl Command {
    /// Whether a node may request this command. Only the leader reclaims and frees the seats of other nodes.
    pub fn is_allowed_for_nodes(&self) -> bool {
        match &self.operation {
            Operation::Change(change) => change.check().is_ok(),
            Operation::Seats(LedgerCommand::Request { .. } | LedgerCommand::Return { .. }) => true,
            Operation::Seats(LedgerCommand::Reclaim { .. } | LedgerCommand::FreeDrained { .. }) => {
                false
            }
        }
    }

    /// The sequence in which the command is numbered.
    pub fn sequence(&self) -> CommandSequence {
        match self.operation {
            Operation::Change(_) => CommandSequence::Changes,
            Operation::Seats(_) => CommandSequence::Seats,
        }
    }
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was applied completely.
    Done,
    /// It was rejected, and nothing of it was applied.
    #[serde(rename = "Refused")]
    Rejected(ChangeError),
}

/// The last command of a sequence that was applied, kept to recognise repeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Last")]
pub struct LastCommand {
    /// The sequence.
    #[serde(rename = "stream")]
    pub sequence: CommandSequence,
    /// The command's number in the sequence.
    pub number: u64,
    /// Its result.
    pub outcome: Outcome,
}
