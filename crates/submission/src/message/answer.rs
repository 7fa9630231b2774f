//! Answers to submissions and to queries for jobs and arrays.

use super::JobInfo;
use crate::error::Problem;
use crate::state::JobState;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// An answer: the request's `seq` and the fields of the body.
#[derive(Debug, Serialize)]
pub struct Answer<'a, T: Serialize> {
    /// The `seq` of the request.
    pub seq: &'a Value,
    /// The fields of the answer, or a [`Problem`].
    #[serde(flatten)]
    pub body: T,
}

/// A job that was accepted, in the answer to its submission.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
pub struct Accepted {
    /// The job's id.
    pub job_id: String,
    /// Its state when the answer was written.
    pub job_state: JobState,
    /// Whether it joined a job that was submitted earlier with the same submission key.
    pub duplicate: bool,
}

/// The result of a submission.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Submitted {
    /// The job was accepted and will end exactly once.
    Accepted(Accepted),
    /// The job was rejected and does not run.
    Rejected(Problem),
}

/// One member's part of the answer to `runBulkJobs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "OfBulk")]
pub struct BulkJobAnswer {
    /// The member's index.
    pub index: i64,
    /// The result of its submission.
    #[serde(flatten)]
    pub submitted: Submitted,
}

/// A line of the answer to `runBulkJobs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct BulkAnswer {
    /// The id of the array.
    pub job_array_id: String,
    /// Some of its members, in the order of their indices.
    pub jobs: Vec<BulkJobAnswer>,
    /// Whether another line follows.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
}

/// The answer with the information of one job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "OneJob", rename_all = "camelCase")]
pub struct JobInfoAnswer {
    /// The job.
    pub job_info: JobInfo,
}

/// A page of jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Page")]
pub struct JobPage {
    /// The jobs, without their results.
    pub jobs: Vec<JobInfo>,
    /// The `after` of the next page; `None` on the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// The information of an array (GFD.231, section 8.5).
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
pub struct ArrayInfo {
    /// The array's id.
    pub job_array_id: String,
    /// The session that its members belong to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
    /// How many members may be with the scheduler at the same time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_parallel: Option<u32>,
    /// How many members there are.
    pub jobs: usize,
    /// How many of them are with the scheduler or a worker.
    pub active: usize,
    /// How many have not been passed to the scheduler yet.
    pub waiting: usize,
    /// How many have ended and were not reaped.
    pub ended: usize,
}
