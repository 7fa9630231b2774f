//! Batch submission in DRMAA's terms (GFD.231), as a protocol of one JSON object a line: the messages, the states of a
//! job, and the protocol's server without sockets. `docs/submission.md` is the page on the protocol,
//! `docs/design/submission.md` tells why it is as it is.
#![forbid(unsafe_code)]

pub mod frame;
mod ids;
mod jobs;
pub mod message;
pub mod server;
mod sessions;
mod state;
pub mod template;
mod transfer;

pub use server::{ClassFacts, Desk, Holds, Limits, Order, Server, Verdict, Whereabouts};
pub use state::{Change, JobState};
pub use template::Template;
pub use transfer::{Side, Transfer};
