//! The errors of this crate, each with advice for operators.

/// The reason why a change of records was rejected. No part of a rejected change is applied.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
#[serde(rename = "Refusal")]
pub enum ChangeError {
    /// A record has another version than the change expects.
    #[error("{record}: it has version {actual}, the change expects {expected}")]
    #[serde(rename = "Version")]
    VersionMismatch {
        /// Name of the record.
        record: String,
        /// The version that the record has; 0 where it never existed.
        #[serde(rename = "has")]
        actual: u64,
        /// The version that the change expects.
        expected: u64,
    },
    /// The change writes a record without an expected version.
    #[error("{record}: the change does not name the version that it expects")]
    #[serde(rename = "Unnamed")]
    MissingExpectedVersion {
        /// Name of the record.
        record: String,
    },
    /// The record's name is invalid, or a record of this name cannot have this kind of body.
    #[error("{record}: {reason}")]
    #[serde(rename = "Name")]
    InvalidRecord {
        /// Name of the record.
        record: String,
        /// Why it is invalid.
        #[serde(rename = "what")]
        reason: String,
    },
    /// A value in the body of a record is invalid.
    #[error("{record}: {key}: {reason}")]
    #[serde(rename = "Value")]
    InvalidValue {
        /// Name of the record.
        record: String,
        /// The key in its body.
        key: String,
        /// Why the value is invalid.
        #[serde(rename = "what")]
        reason: String,
    },
    /// The change is empty, or too large.
    #[error("the change {0}")]
    #[serde(rename = "Size")]
    InvalidSize(String),
    /// A later incarnation of the sending node is known.
    #[error("node {node} was restarted after it had sent the change")]
    #[serde(rename = "Stale")]
    StaleIncarnation {
        /// Number of the node.
        node: u32,
    },
}

impl ChangeError {
    /// Advice for the operator.
    pub fn advice(&self) -> &'static str {
        match self {
            ChangeError::VersionMismatch { .. } => {
                "somebody else has changed it: read it anew with `records`, and change what is there now"
            }
            ChangeError::MissingExpectedVersion { .. } => {
                "name the version of each record under `expect`; 0 for a new one"
            }
            ChangeError::InvalidRecord { .. } => {
                "records are settings/rates, workers/out, seats/NAME and sites/NAME, each with its own content"
            }
            ChangeError::InvalidValue { .. } => {
                "correct the value of the key that is named, and send the whole change again"
            }
            ChangeError::InvalidSize(_) => {
                "put one to 64 records into a change, of less than 1 MiB; all records together take 4 MiB at most"
            }
            ChangeError::StaleIncarnation { .. } => {
                "send the change again: the process that took it has been replaced"
            }
        }
    }
}

/// An error of a voter, or of a connection to one.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConsensusError {
    /// A peer sent bytes that are not a valid message.
    #[error("malformed message: {0}")]
    MalformedMessage(String),
    /// A message that is not from a voter of this fleet, or not addressed to this one.
    #[error("message from {from} to {to}: the sender is not a voter of this fleet, or the message is not for this voter")]
    UnknownSender {
        /// The sender that the message names.
        from: u64,
        /// The receiver that the message names.
        to: u64,
    },
    /// The persisted state is damaged or incomplete.
    #[error("the persisted state is damaged or incomplete: {0}")]
    CorruptState(String),
    /// The consensus library panicked: this voter takes no further part.
    #[error("the consensus library panicked, and this voter has stopped: {0}")]
    Stopped(String),
    /// The configured voters do not form a valid group.
    #[error("{0}")]
    InvalidConfiguration(String),
}

impl ConsensusError {
    /// Advice for the operator.
    pub fn advice(&self) -> &'static str {
        match self {
            ConsensusError::MalformedMessage(_) => {
                "the connection was closed; check that all nodes run compatible versions"
            }
            ConsensusError::UnknownSender { .. } => {
                "compare the `voters` of the operator files: they must be the same at all nodes"
            }
            ConsensusError::CorruptState(_) => {
                "set the folder under `store` aside and keep it; replace this voter under a new number"
            }
            ConsensusError::Stopped(_) => {
                "restart the node; if it stops again, set its `store` aside and replace the voter"
            }
            ConsensusError::InvalidConfiguration(_) => {
                "correct the named key in the operator file"
            }
        }
    }
}
