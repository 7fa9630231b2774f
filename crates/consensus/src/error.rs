//! What can go wrong, and what whoever is on call can do about it.

/// Why a change of records was not taken. Nothing of it holds.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
pub enum Refusal {
    /// A record has another version than the change expects.
    #[error("{record}: it has version {has}, the change expects {expected}")]
    Version {
        /// The record.
        record: String,
        /// The version that it has; 0 where there never was one.
        has: u64,
        /// The version that the change names.
        expected: u64,
    },
    /// A record is written for which the change names no version.
    #[error("{record}: the change does not name the version that it expects")]
    Unnamed {
        /// The record.
        record: String,
    },
    /// No records have such a name, or not with this content.
    #[error("{record}: {what}")]
    Name {
        /// The record.
        record: String,
        /// What is wrong.
        what: String,
    },
    /// A value makes no sense.
    #[error("{record}: {key}: {what}")]
    Value {
        /// The record.
        record: String,
        /// The key in it.
        key: String,
        /// What is wrong with it.
        what: String,
    },
    /// The change is empty, or too large.
    #[error("the change {0}")]
    Size(String),
    /// The start of the node that sent it is older than one that is known.
    #[error("node {node} has been started anew since")]
    Stale {
        /// The node.
        node: u32,
    },
}

impl Refusal {
    /// What whoever is on call can do.
    pub fn advice(&self) -> &'static str {
        match self {
            Refusal::Version { .. } => "somebody else has changed it: read it anew with `records`, and change what is there now",
            Refusal::Unnamed { .. } => "name the version of each record under `expect`; 0 for a new one",
            Refusal::Name { .. } => "records are settings/rates, workers/out, seats/NAME and sites/NAME, each with its own content",
            Refusal::Value { .. } => "correct the value of the key that is named, and send the whole change again",
            Refusal::Size(_) => "put one to 64 records into a change, of less than 1 MiB; all records together take 4 MiB at most",
            Refusal::Stale { .. } => "send it again: the process that it was sent to has been replaced",
        }
    }
}

/// What keeps a voter or a reader from its work.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum AgreementError {
    /// Bytes of a peer that are no message.
    #[error("a message that makes no sense: {0}")]
    Message(String),
    /// A message for another, or from one that is no voter.
    #[error("a message from {from} to {to}, which is not between voters of this fleet")]
    Stranger {
        /// Who it says it is from.
        from: u64,
        /// Whom it is for.
        to: u64,
    },
    /// What was stored cannot be used.
    #[error("what was stored makes no sense: {0}")]
    Stored(String),
    /// The consensus library has given up: this voter takes no further part.
    #[error("the consensus has stopped at this voter: {0}")]
    Stopped(String),
    /// The configuration makes no fleet.
    #[error("{0}")]
    Fleet(String),
}

impl AgreementError {
    /// What whoever is on call can do.
    pub fn advice(&self) -> &'static str {
        match self {
            AgreementError::Message(_) => "see that all nodes run versions that understand each other; the connection was closed",
            AgreementError::Stranger { .. } => "compare the `voters` of the operator files: they must be the same at all nodes",
            AgreementError::Stored(_) => "this voter stays out: set its `store` aside, keep it, and replace the voter under a new number",
            AgreementError::Stopped(_) => "restart the node; if it stops again, set its `store` aside and replace the voter",
            AgreementError::Fleet(_) => "correct the key that is named in the operator file",
        }
    }
}
