//! Client library for marbledeck's batch submission protocol (`docs/submission.md`). It reconnects when the connection
//! is lost, assigns every job a submission key so that the node recognises a resubmission after a lost answer as a
//! duplicate, and retries rejected submissions with jitter after the delay that the node asks for.
//!
//! ```no_run
//! use marbledeck_submission_client::{Client, Settings, Template};
//!
//! let client = Client::new(Settings::new("127.0.0.1:7100"));
//! let template = Template {
//!     remote_command: "/frame?n=7".to_owned(),
//!     job_category: "preview".to_owned(),
//!     accounting_id: Some("landesfilm".to_owned()),
//!     ..Template::default()
//! };
//! let job = client.run_job(template, None)?;
//! let info = client.wait_terminated(&job.job_id, None)?;
//! println!("{}: {}", info.job_id, info.job_state);
//! # Ok::<(), marbledeck_submission_client::Error>(())
//! ```
#![forbid(unsafe_code)]

mod backoff;
mod client;
mod connection;
mod error;
mod settings;

pub use backoff::Backoff;
pub use client::{Bulk, BulkJob, Client, ControlSummary, IndexRange, WaitGoal};
pub use connection::EventHandler;
pub use error::Error;
pub use marbledeck_submission::message::{
    Accepted, ArrayInfo, BulkJobAnswer, ErrorId, Event, Filter, JobInfo, Machine, Operation,
    Problem, Queue, Submitted, Targets,
};
pub use marbledeck_submission::{JobState, Template};
pub use settings::Settings;
