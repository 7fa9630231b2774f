//! Batch submission in DRMAA terms (GFD.231) over a protocol of one JSON object per line: the messages, the states of a
//! job, and the protocol's server without sockets. `docs/submission.md` describes the protocol, and
//! `docs/design/submission.md` gives the reasons for its design.
#![forbid(unsafe_code)]

mod error;
pub mod frame;
mod ids;
mod jobs;
mod limits;
pub mod message;
mod partner;
mod scheduler;
pub mod server;
mod sessions;
mod state;
pub mod template;
mod transfer;

pub use limits::{Limits, Usage};
pub use partner::Partner;
pub use scheduler::{ClassProperties, JobRequest, Placement, Scheduler, Verdict};
pub use server::Server;
pub use state::{Change, JobState};
pub use template::Template;
pub use transfer::{ArrayRecord, JobRecord, Transfer, TransferCounts};
