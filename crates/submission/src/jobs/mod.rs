//! The accepted jobs. Each reaches exactly one final state, and is kept as long as it is visible to clients or its
//! submission key is in use.

mod job;
mod table;

pub use job::{Job, JobLocation, JobOutcome, Visibility};
pub use table::JobTable;
