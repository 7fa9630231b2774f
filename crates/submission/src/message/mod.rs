//! The messages of the protocol as types, for client and server. `docs/submission.md` describes them.

mod answer;
mod event;
mod job_info;
mod monitoring;
mod request;

pub use crate::error::{ErrorId, Problem};
pub use answer::{
    Accepted, Answer, ArrayInfo, BulkAnswer, BulkJobAnswer, JobInfoAnswer, JobPage, Submitted,
};
pub use event::Event;
pub(crate) use event::JobNotification;
pub use job_info::JobInfo;
pub use monitoring::{Machine, Queue};
pub use request::{Filter, Operation, Request, Targets};
