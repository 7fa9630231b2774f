//! The state of one client connection.

use super::bulk::BulkTask;
use super::control::ControlTask;
use crate::ids::JobKey;
use crate::sessions::SessionKey;
use serde_json::Value;
use std::collections::{BTreeSet, HashSet, VecDeque};

/// A client's connection, as the caller numbers it; never reused.
pub type ClientId = u64;

/// The key of an open wait.
pub(super) type WaitId = u64;

/// A message that a client has not read yet.
pub(super) enum Output {
    /// A complete line.
    Line(Vec<u8>),
    /// An answer with the job's state at the time when the client reads it.
    JobInfo {
        /// The `seq` of the request.
        seq: Value,
        /// The job.
        job: JobKey,
    },
    /// A notification of the job's state at the time when the client reads it.
    Notification(JobKey),
}

/// An operation that takes several turns.
pub(super) enum Task {
    /// `runBulkJobs`.
    Bulk(Box<BulkTask>),
    /// A control operation on several jobs.
    Control(Box<ControlTask>),
}

/// A session that a client has opened.
pub(super) struct OpenSession {
    /// The session.
    pub(super) session: SessionKey,
    /// The number of the last event that was sent.
    pub(super) last_sent: u64,
}

/// One client connection.
#[derive(Default)]
pub(super) struct Client {
    /// The messages that it has not read yet.
    pub(super) outbox: VecDeque<Output>,
    /// Its open waits.
    pub(super) waits: BTreeSet<WaitId>,
    /// The number of jobs, arrays and sessions that its waits name.
    pub(super) wait_subjects: usize,
    /// Its open sessions.
    pub(super) open_sessions: Vec<OpenSession>,
    /// The jobs whose state changes it receives because of `notify`.
    pub(super) watched_jobs: HashSet<JobKey>,
    /// Its operation that is in progress over several turns.
    pub(super) task: Option<Task>,
    /// Whether it has a submission in this turn that is not answered yet.
    pub(super) is_submitting: bool,
}

impl Client {
    /// Whether all its requests are answered and the answers are read.
    pub(super) fn is_idle(&self) -> bool {
        self.is_ready_for_task() && self.task.is_none()
    }

    /// Whether its task may continue: earlier submissions are decided, and their answers are read.
    pub(super) fn is_ready_for_task(&self) -> bool {
        self.outbox.is_empty() && !self.is_submitting
    }
}
