//! The messages that two processes of one node exchange while one replaces the other.

use crate::error::Problem;
use crate::state::JobState;
use crate::template::Template;
use serde::{Deserialize, Serialize};

/// A message from one process to the other. Times are on the node's clock, in microseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transfer {
    /// A session.
    Session {
        /// Its name.
        name: String,
        /// The number of its newest event.
        #[serde(rename = "last")]
        last_event: u64,
        /// Its latest events: job, state and sub-state of each.
        events: Vec<(String, JobState, Option<String>)>,
    },
    /// An array; its members follow as jobs.
    Array(Box<ArrayRecord>),
    /// The current state of a job.
    Job(Box<JobRecord>),
    /// The predecessor has sent everything.
    End,
    /// The successor confirms that it owns all jobs that were not passed to the predecessor's scheduler.
    Taken,
}

/// How much of a predecessor's state was sent or taken over in a handover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferCounts {
    /// The number of sessions.
    pub sessions: usize,
    /// The number of arrays.
    pub arrays: usize,
    /// The number of jobs, including reaped jobs whose submission key is still in use.
    pub jobs: usize,
    /// The number of received jobs that were dropped because neither they nor a known array had a template.
    pub dropped_jobs: usize,
}

impl TransferCounts {
    /// Counts a message with a part of the state.
    pub(crate) fn count(&mut self, message: &Transfer) {
        match message {
            Transfer::Session { .. } => self.sessions += 1,
            Transfer::Array(_) => self.arrays += 1,
            Transfer::Job(_) => self.jobs += 1,
            Transfer::End | Transfer::Taken => {}
        }
    }
}

/// An array as the predecessor sends it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ArrayRecord {
    pub(crate) id: String,
    /// The template of its members.
    pub(crate) template: Template,
    /// The session of its members.
    pub(crate) session: Option<String>,
    /// How many members may be with the scheduler at the same time.
    pub(crate) max_parallel: Option<u32>,
    /// Whether all its members are being terminated.
    #[serde(rename = "stopped")]
    pub(crate) is_stopped: bool,
    /// No member is passed to a scheduler before this time. Older versions of the program neither send nor read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) paused_until: Option<u64>,
}

/// A job as one process sends it to the other.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct JobRecord {
    pub(crate) id: String,
    /// `None` for a member of an array.
    pub(crate) template: Option<Box<Template>>,
    pub(crate) index: Option<i64>,
    pub(crate) session: Option<String>,
    pub(crate) array: Option<String>,
    pub(crate) state: JobState,
    /// Whether the sender has passed it to its scheduler.
    #[serde(rename = "handed")]
    pub(crate) is_scheduled: bool,
    pub(crate) sub_state: Option<String>,
    pub(crate) problem: Option<Problem>,
    /// The result in Base64.
    pub(crate) result: Option<String>,
    #[serde(rename = "sent")]
    pub(crate) last_sent: Option<u64>,
    pub(crate) machine: Option<String>,
    #[serde(rename = "submitted")]
    pub(crate) submitted_at: u64,
    #[serde(rename = "since")]
    pub(crate) waiting_since: u64,
    #[serde(rename = "started")]
    pub(crate) started_at: Option<u64>,
    #[serde(rename = "finished")]
    pub(crate) finished_at: Option<u64>,
    pub(crate) deadline: u64,
    #[serde(rename = "window")]
    pub(crate) dedup_window: u64,
    pub(crate) duplicates: u64,
    pub(crate) due: Option<u64>,
    #[serde(rename = "reaped")]
    pub(crate) is_reaped: bool,
}
