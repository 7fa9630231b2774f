//! A client of marbledeck's batch submission (`docs/submission.md`), for programs that hand in jobs: it keeps a
//! connection and makes a new one where that is lost, gives every job a submission key so that a resubmission after a
//! lost reply joins the first one, and comes back when the node asks it to, with some jitter.
//!
//! ```no_run
//! use marbledeck_submission_client::{Client, Settings, Template};
//!
//! let client = Client::new(Settings::at("127.0.0.1:7100"));
//! let template = Template {
//!     remote_command: "/frame?n=7".to_owned(),
//!     job_category: "preview".to_owned(),
//!     accounting_id: Some("landesfilm".to_owned()),
//!     ..Template::default()
//! };
//! let job = client.run(template, None)?;
//! let info = client.wait_terminated(&job.job_id, None)?;
//! println!("{}: {}", info.job_id, info.job_state);
//! # Ok::<(), marbledeck_submission_client::Error>(())
//! ```
#![forbid(unsafe_code)]

mod client;
mod link;
mod retry;

pub use client::{Bulk, Client, Settings};
pub use link::OnEvent;
pub use marbledeck_submission::message::{
    Accepted, ArrayInfo, BulkJobAnswer, ErrorId, Event, Filter, JobInfo, Machine, Operation,
    Problem, Queue, Submitted, Targets,
};
pub use marbledeck_submission::{JobState, Template};
pub use retry::Backoff;

use std::fmt;
use std::io;

/// Why something was not done.
#[derive(Debug)]
pub enum Error {
    /// The node says no.
    Problem(Problem),
    /// No connection came up, or each one was lost, for as long as the settings are patient.
    Lost(io::Error),
    /// The node says what makes no sense.
    Garbled(String),
}

impl Error {
    /// The node's word, if it said one.
    pub fn problem(&self) -> Option<&Problem> {
        match self {
            Error::Problem(problem) => Some(problem),
            _ => None,
        }
    }

    /// Whether the node said this.
    pub fn is(&self, id: ErrorId) -> bool {
        self.problem().is_some_and(|problem| problem.error == id)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::Problem(p) if p.message.is_empty() => write!(f, "{:?}", p.error),
            Error::Problem(p) => f.write_str(&p.message),
            Error::Lost(e) => write!(f, "no connection to the node: {e}"),
            Error::Garbled(what) => write!(f, "the node's answer makes no sense: {what}"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Error::Lost(e) => Some(e),
            _ => None,
        }
    }
}
