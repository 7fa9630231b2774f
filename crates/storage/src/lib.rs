//! Durable storage of a voter's log and values.
//!
//! A writer thread does all writes, so that the event loop never waits for the disk. Each write has a ticket. Completions
//! are reported in the order of the tickets, and a byte in a pipe wakes the event loop.
//!
//! The file is an embedded database (`redb`): a write is stored completely or not at all, even if the process ends during
//! it. Each value has a checksum over itself and its key, so that later damage is detected.
#![forbid(unsafe_code)]

mod batch;
mod channel;
mod checksum;
mod error;
mod file;
mod store;
mod writer;

pub use batch::{StoredContents, WriteBatch};
pub use channel::{bounded_channel, ChannelClosed, ChannelFull, Receiver, Sender};
pub use error::StoreError;
pub use file::StoreFile;
pub use store::Store;
pub use writer::CompletionEvent;
