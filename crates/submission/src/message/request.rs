//! Requests: the operations of clients, and the selection of the jobs that an operation applies to.

use crate::state::JobState;
use crate::template::Template;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A request of a client.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Request {
    /// Chosen by the client and repeated in the answer; null if it is missing.
    #[serde(default)]
    pub seq: Value,
    /// The operation to carry out.
    #[serde(flatten)]
    pub op: Operation,
}

/// The jobs that an operation applies to; exactly one field must be set.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
pub struct Targets {
    /// One job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_id: Option<String>,
    /// Several jobs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_ids: Option<Vec<String>>,
    /// All members of an array.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_array_id: Option<String>,
    /// All jobs of a session.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
}

impl Targets {
    /// Targets one job.
    pub fn job(id: impl Into<String>) -> Self {
        Targets {
            job_id: Some(id.into()),
            ..Targets::default()
        }
    }

    /// Targets all members of an array.
    pub fn array(id: impl Into<String>) -> Self {
        Targets {
            job_array_id: Some(id.into()),
            ..Targets::default()
        }
    }
}

/// Selects the jobs of a list (GFD.231, section 5.5: the JobInfo as a filter). An unset field matches every job.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Filter {
    /// The job of this id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job_id: Option<String>,
    /// Jobs of this name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job_name: Option<String>,
    /// Jobs in any of these states.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job_states: Option<Vec<JobState>>,
    /// Jobs of this class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_name: Option<String>,
    /// Jobs of this tenant.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub accounting_id: Option<String>,
    /// Members of this array.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job_array_id: Option<String>,
    /// Jobs submitted at or after this Unix time, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub submitted_from_ms: Option<u64>,
    /// Jobs submitted before this Unix time, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub submitted_before_ms: Option<u64>,
}

/// An operation, named by the field `op` on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(
    rename = "Op",
    tag = "op",
    rename_all = "camelCase",
    rename_all_fields = "camelCase"
)]
pub enum Operation {
    /// Submits a job (GFD.231, section 8.2).
    RunJob {
        /// The job.
        template: Template,
        /// Whether this connection receives the job's state changes.
        #[serde(default)]
        notify: bool,
        /// The session that the jobs belong to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        session: Option<String>,
    },
    /// Submits an array of jobs (section 8.2).
    RunBulkJobs {
        /// The template of all members.
        template: Template,
        /// The first index.
        begin_index: i64,
        /// The upper or, with a negative step, lower bound of the indices; a member if the steps reach it exactly.
        end_index: i64,
        /// The distance between two indices; may be negative.
        #[serde(default = "default_step")]
        step: i64,
        /// How many members may be with the scheduler at the same time.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        max_parallel: Option<u32>,
        /// Whether this connection receives the members' state changes.
        #[serde(default)]
        notify: bool,
        /// The session that the jobs belong to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        session: Option<String>,
    },
    /// Returns a job's information (section 8.4).
    GetJobInfo {
        /// The job.
        job_id: String,
    },
    /// Returns an array's information (section 8.5).
    GetJobArray {
        /// The array.
        job_array_id: String,
    },
    /// Waits until a job runs or has ended.
    WaitStarted {
        /// The job.
        job_id: String,
        /// After how many milliseconds the wait ends with an error.
        timeout_ms: Option<u64>,
    },
    /// Waits until a job has ended.
    WaitTerminated {
        /// The job.
        job_id: String,
        /// After how many milliseconds the wait ends with an error.
        timeout_ms: Option<u64>,
    },
    /// Waits until any of these runs or has ended (section 8.2).
    WaitAnyStarted {
        /// The jobs.
        #[serde(flatten)]
        targets: Targets,
        /// After how many milliseconds the wait ends with an error.
        timeout_ms: Option<u64>,
    },
    /// Waits until any of these has ended.
    WaitAnyTerminated {
        /// The jobs.
        #[serde(flatten)]
        targets: Targets,
        /// After how many milliseconds the wait ends with an error.
        timeout_ms: Option<u64>,
    },
    /// Terminates jobs (sections 8.4 and 8.5, as are the next five).
    Terminate {
        /// The jobs.
        #[serde(flatten)]
        targets: Targets,
    },
    /// Holds jobs.
    Hold {
        /// The jobs.
        #[serde(flatten)]
        targets: Targets,
    },
    /// Releases held jobs.
    Release {
        /// The jobs.
        #[serde(flatten)]
        targets: Targets,
    },
    /// Rejected: workers cannot suspend jobs.
    Suspend {
        /// The jobs.
        #[serde(flatten)]
        targets: Targets,
    },
    /// Rejected: no job is ever suspended.
    Resume {
        /// The jobs.
        #[serde(flatten)]
        targets: Targets,
    },
    /// Removes ended jobs.
    Reap {
        /// The jobs.
        #[serde(flatten)]
        targets: Targets,
    },
    /// Lists the jobs that a filter selects, one page per request (sections 8.2 and 10.1).
    ListJobs {
        /// Only jobs of this session.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        session: Option<String>,
        /// Selects the jobs.
        #[serde(default)]
        filter: Filter,
        /// The page's maximum number of jobs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<usize>,
        /// The `next` of the previous page.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<String>,
    },
    /// Creates a session and opens it (section 7.1, as are the next four).
    CreateSession {
        /// The session's name.
        name: String,
    },
    /// Opens a session: this connection receives its events.
    OpenSession {
        /// The session's name.
        name: String,
        /// The last event that the client knows; without it only new events are sent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        since: Option<u64>,
    },
    /// Stops the events of a session on this connection.
    CloseSession {
        /// The session's name.
        name: String,
    },
    /// Removes a session. Its jobs continue without a session.
    DestroySession {
        /// The session's name.
        name: String,
    },
    /// Lists the names of all sessions.
    ListSessions,
    /// Lists the queues, which are the request classes (section 10.1, as are the next two).
    GetAllQueues {
        /// Only queues of these names.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        names: Option<Vec<String>>,
    },
    /// Lists the machines, which are the workers.
    GetAllMachines {
        /// Only machines of these names.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        names: Option<Vec<String>>,
    },
    /// Rejected: reservations are not supported.
    GetAllReservations,
    /// Returns the supported and unsupported features (section 7.1, `supports`).
    GetCapabilities,
    /// Returns names and versions (section 7.1).
    GetDrmsInfo,
}

fn default_step() -> i64 {
    1
}
