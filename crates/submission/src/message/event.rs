//! Events, which the server sends without a request.

use super::JobInfo;
use crate::state::JobState;
use serde::{Deserialize, Serialize};

/// An event of an open session, or of a job that was submitted with `notify`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "event", rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Event {
    /// A job has a new state (GFD.231, section 8.3). With `notify` the other fields of [`JobInfo`] are sent as well.
    #[serde(rename_all = "camelCase")]
    NewState {
        /// The open session; `None` for `notify` of a job without one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        session: Option<String>,
        /// The event's number in the session; `None` for `notify`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        number: Option<u64>,
        /// The job.
        job_id: String,
        /// Its new state.
        job_state: JobState,
        /// How it has ended, or why it is held.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        job_sub_state: Option<String>,
    },
    /// Events were dropped from the session's bounded history before they were sent.
    #[serde(rename_all = "camelCase")]
    Gap {
        /// The open session.
        session: String,
        /// The first missing number.
        from: u64,
        /// The last missing number.
        to: u64,
    },
}

/// A job's new state, sent to a client that submitted the job with `notify`. Unlike [`Event::NewState`] it carries
/// all fields of [`JobInfo`].
#[derive(Debug, Serialize)]
pub(crate) struct JobNotification {
    event: &'static str,
    #[serde(flatten)]
    info: JobInfo,
}

impl JobNotification {
    /// Creates a notification of the state in `info`.
    pub(crate) fn new(info: JobInfo) -> Self {
        JobNotification {
            event: "NEW_STATE",
            info,
        }
    }
}
