//! The accepted jobs: each has exactly one final state, and is kept for as long as clients can ask for it and its
//! submission key counts.

mod job;
mod table;

pub use job::{Job, JobLocation, JobOutcome, Visibility};
pub use table::JobTable;
