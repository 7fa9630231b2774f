//! The information of a job that is sent to clients.

use crate::error::Problem;
use crate::state::JobState;
use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};

/// The information of a job (GFD.231, section 5.5). Times are Unix times in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct JobInfo {
    /// The job's id.
    pub job_id: String,
    /// The name from its template.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_name: Option<String>,
    /// Its state.
    pub job_state: JobState,
    /// How it has ended, or why it is held; `docs/submission.md` lists the values.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_sub_state: Option<String>,
    /// The request class.
    #[serde(default)]
    pub queue_name: String,
    /// The tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounting_id: Option<String>,
    /// The session that it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
    /// The array that it is a member of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_array_id: Option<String>,
    /// Its index in the array.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<i64>,
    /// The worker that ran it last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub machine: Option<String>,
    /// When it was submitted.
    pub submission_time_ms: u64,
    /// When a worker first ran it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dispatch_time_ms: Option<u64>,
    /// When it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_time_ms: Option<u64>,
    /// How many resubmissions joined it.
    #[serde(default)]
    pub duplicates: u64,
    /// The worker's result, if it is text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// The worker's result in Base64, if it is not text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result_base64: Option<String>,
    /// Why there is no result.
    #[serde(flatten)]
    pub problem: Option<Problem>,
}

impl JobInfo {
    /// The worker's result, if there is one.
    pub fn result_bytes(&self) -> Option<Vec<u8>> {
        match (&self.result, &self.result_base64) {
            (Some(text), _) => Some(text.clone().into_bytes()),
            (None, Some(encoded)) => BASE64_STANDARD.decode(encoded).ok(),
            (None, None) => None,
        }
    }
}
