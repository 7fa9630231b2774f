//! Versioned records that all nodes of a fleet agree on, and leases that limit how long a node may act on a version.
//!
//! [`ReplicatedState`] is changed by [`Command`]s only, in the same way at every voter, and reads no clock. A [`Voter`]
//! replicates it by Raft (the `raft` library). A [`LeasedReader`], one at each node whether it votes or not, decides which
//! records the node may act on now. [`LeaseReclaimer`] runs at the leader and reclaims the licence seats of nodes that
//! were restarted or lost contact.
//!
//! The crate does no input or output: the caller provides the time, persists the data and transports the messages.
//! `docs/design/agreement.md` states the guarantees and their proofs.
#![forbid(unsafe_code)]

mod change;
mod command;
mod error;
mod lease;
mod lease_reclaimer;
mod log;
mod persistence;
mod reader;
mod record;
mod state;
mod voter;
pub mod wire;

pub use change::Change;
pub use command::{Command, CommandSequence, LastCommand, Operation, Outcome};
pub use error::{ChangeError, ConsensusError};
pub use lease::LeaseTerms;
pub use lease_reclaimer::LeaseReclaimer;
pub use persistence::{EncodedEntry, EncodedSnapshot, PersistRequest, PersistedState};
pub use reader::{LeasedReader, ReadTicket, RecordValidity};
pub use record::{Rates, Record, RecordBody, Site};
pub use state::ReplicatedState;
pub use voter::{AppliedCommand, Effects, LogPosition, OutgoingMessage, Voter};
