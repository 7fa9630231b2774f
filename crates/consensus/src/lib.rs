//! Records with versions that all nodes of a fleet agree on, and for how long each node may act on one.
//!
//! The [`Book`] is the state that [`Command`]s change, alike at every voter, without a clock. A [`Voter`] keeps it by
//! consensus (the `raft` library), and a [`Reader`] is what each node, voter or not, may act on. No input or output:
//! whoever carries it tells the time, stores what it is told to, and hands on bytes. `docs/design/agreement.md` states
//! the guarantees and their proofs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod book;
mod error;
mod log;
mod reader;
mod voter;
mod warden;
pub mod wire;

pub use book::{Body, Book, Change, Command, Outcome, Rates, Record, Site, Stream, What};
pub use error::{AgreementError, Refusal};
pub use reader::{Acting, Reader, Terms};
pub use voter::{Durable, Save, Voter, Work};
pub use warden::Warden;
