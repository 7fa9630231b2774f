//! The messages of the protocol as types, for both of its ends. `docs/submission.md` describes them.

use crate::state::JobState;
use crate::template::Template;
use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What a submitter asks for; `seq` comes back with the answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Request {
    /// Any value; null where it is missing.
    #[serde(default)]
    pub seq: Value,
    /// What is asked for.
    #[serde(flatten)]
    pub op: Op,
}

/// One job, all members of an array, or all jobs of a session.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
pub struct Targets {
    /// One job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_id: Option<String>,
    /// Several.
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
    /// One job.
    pub fn job(id: impl Into<String>) -> Self {
        Targets {
            job_id: Some(id.into()),
            ..Targets::default()
        }
    }

    /// All members of an array.
    pub fn array(id: impl Into<String>) -> Self {
        Targets {
            job_array_id: Some(id.into()),
            ..Targets::default()
        }
    }
}

/// Which jobs a list names (GFD.231, section 5.5: the JobInfo as a filter). What is not set matches every job.
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
    /// Jobs handed in at this Unix time in milliseconds, or later.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub submitted_from_ms: Option<u64>,
    /// Jobs handed in before this Unix time in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub submitted_before_ms: Option<u64>,
}

/// What can be asked for.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "op", rename_all = "camelCase", rename_all_fields = "camelCase")]
pub enum Op {
    /// Hands in a job (GFD.231, section 8.2).
    RunJob {
        template: Template,
        #[serde(default)]
        notify: bool,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        session: Option<String>,
    },
    /// Hands in an array of jobs (section 8.2).
    RunBulkJobs {
        template: Template,
        begin_index: i64,
        end_index: i64,
        #[serde(default = "one")]
        step: i64,
        /// How many members may be with the decisions at an instant.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        max_parallel: Option<u32>,
        #[serde(default)]
        notify: bool,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        session: Option<String>,
    },
    /// Asks after a job (section 8.4).
    GetJobInfo { job_id: String },
    /// Asks after an array (section 8.5).
    GetJobArray { job_array_id: String },
    /// Waits until a job runs or has ended.
    WaitStarted {
        job_id: String,
        timeout_ms: Option<u64>,
    },
    /// Waits until a job has ended.
    WaitTerminated {
        job_id: String,
        timeout_ms: Option<u64>,
    },
    /// Waits until any of these runs or has ended (section 8.2).
    WaitAnyStarted {
        #[serde(flatten)]
        of: Targets,
        timeout_ms: Option<u64>,
    },
    /// Waits until any of these has ended.
    WaitAnyTerminated {
        #[serde(flatten)]
        of: Targets,
        timeout_ms: Option<u64>,
    },
    /// Ends jobs (sections 8.4 and 8.5; so are the next four).
    Terminate {
        #[serde(flatten)]
        of: Targets,
    },
    /// Holds jobs.
    Hold {
        #[serde(flatten)]
        of: Targets,
    },
    /// Releases held jobs.
    Release {
        #[serde(flatten)]
        of: Targets,
    },
    /// No worker here can.
    Suspend {
        #[serde(flatten)]
        of: Targets,
    },
    /// No job here is suspended.
    Resume {
        #[serde(flatten)]
        of: Targets,
    },
    /// Forgets ended jobs.
    Reap {
        #[serde(flatten)]
        of: Targets,
    },
    /// The jobs that a filter names, a page at a time (sections 8.2 and 10.1).
    ListJobs {
        #[serde(default, skip_serializing_if = "Option::is_none")]
        session: Option<String>,
        #[serde(default)]
        filter: Filter,
        /// The most jobs of the answer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<usize>,
        /// What the page before gave as `next`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<String>,
    },
    /// Creates a session and opens it (section 7.1; so are the next four).
    CreateSession { name: String },
    /// Opens a session: its events come from number `since` + 1 on, or from now on.
    OpenSession {
        name: String,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        since: Option<u64>,
    },
    /// Ends the events of a session on this connection.
    CloseSession { name: String },
    /// Forgets a session. Its jobs go on.
    DestroySession { name: String },
    /// The names of all sessions.
    ListSessions,
    /// The queues, which are the classes (section 10.1; so are the next two).
    GetAllQueues {
        #[serde(default, skip_serializing_if = "Option::is_none")]
        names: Option<Vec<String>>,
    },
    /// The machines, which are the workers.
    GetAllMachines {
        #[serde(default, skip_serializing_if = "Option::is_none")]
        names: Option<Vec<String>>,
    },
    /// There are none: see the capabilities.
    GetAllReservations,
    /// What is supported and what is not (section 7.1, `supports`).
    GetCapabilities,
    /// Names and versions (section 7.1).
    GetDrmsInfo,
}

fn one() -> i64 {
    1
}

/// DRMAA's errors (GFD.231, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum ErrorId {
    DeniedByDrms,
    DrmCommunication,
    TryLater,
    SessionManagement,
    Timeout,
    Internal,
    InvalidArgument,
    InvalidSession,
    InvalidState,
    OutOfResource,
    UnsupportedAttribute,
    UnsupportedOperation,
    ImplementationSpecific,
}

/// An error with its words, and for `TRY_LATER` with when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Problem {
    /// Which it is.
    pub error: ErrorId,
    /// For people.
    #[serde(default)]
    pub message: String,
    /// In how many milliseconds another try is worth it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The version of this site's catalog, where the job was checked against another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalog_version: Option<u64>,
}

impl JobInfo {
    /// What the worker made, if it has come.
    pub fn result_bytes(&self) -> Option<Vec<u8>> {
        match (&self.result, &self.result_base64) {
            (Some(text), _) => Some(text.clone().into_bytes()),
            (None, Some(coded)) => BASE64_STANDARD.decode(coded).ok(),
            (None, None) => None,
        }
    }
}

impl Problem {
    /// Any error.
    pub fn new(error: ErrorId, message: impl Into<String>) -> Self {
        Problem {
            error,
            message: message.into(),
            retry_after_ms: None,
            catalog_version: None,
        }
    }

    /// A message, template or name that makes no sense.
    pub fn invalid(message: impl Into<String>) -> Self {
        Problem::new(ErrorId::InvalidArgument, message)
    }

    /// What the job's state does not allow.
    pub fn state(message: impl Into<String>) -> Self {
        Problem::new(ErrorId::InvalidState, message)
    }

    /// Not now, but in so many milliseconds.
    pub fn later(message: impl Into<String>, ms: u64) -> Self {
        Problem {
            retry_after_ms: Some(ms),
            ..Problem::new(ErrorId::TryLater, message)
        }
    }
}

/// A job that was accepted, in the answer to its submission.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
pub struct Accepted {
    /// By which it is asked after.
    pub job_id: String,
    /// Its state by now.
    pub job_state: JobState,
    /// Whether it joined a job that was handed in before under its key.
    pub duplicate: bool,
}

/// Either of the two.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Submitted {
    /// It will end exactly once.
    Accepted(Accepted),
    /// Nothing of it was taken.
    Not(Problem),
}

/// One job's part of the answer to `runBulkJobs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OfBulk {
    /// Its index.
    pub index: i64,
    /// What became of it.
    #[serde(flatten)]
    pub submitted: Submitted,
}

/// A line of the answer to `runBulkJobs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct BulkAnswer {
    /// The array that the jobs are members of.
    pub job_array_id: String,
    /// Some of them, in the order of their indices.
    pub jobs: Vec<OfBulk>,
    /// Whether another line follows.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
}

/// The answer that tells of one job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct OneJob {
    pub job_info: JobInfo,
}

/// A page of jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    pub jobs: Vec<JobInfo>,
    /// The `after` of the next page; none where this is the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// What is told of a job (GFD.231, section 5.5). Times are Unix times in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct JobInfo {
    pub job_id: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_name: Option<String>,
    pub job_state: JobState,
    /// How it has ended, or why it is held; `docs/submission.md` has the words.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_sub_state: Option<String>,
    /// The class.
    #[serde(default)]
    pub queue_name: String,
    /// The tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounting_id: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_array_id: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<i64>,
    /// The worker that ran it last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub machine: Option<String>,
    pub submission_time_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dispatch_time_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_time_ms: Option<u64>,
    /// Resubmissions that joined it.
    #[serde(default)]
    pub duplicates: u64,
    /// What the worker made, where it is text ...
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// ... and where it is not, coded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result_base64: Option<String>,
    /// Why there is no result.
    #[serde(flatten)]
    pub problem: Option<Problem>,
}

/// What is told of an array (GFD.231, section 8.5).
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
pub struct ArrayInfo {
    pub job_array_id: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_parallel: Option<u32>,
    /// How many members were taken.
    pub jobs: usize,
    /// How many of them are with the decisions or a worker now.
    pub active: usize,
    /// How many have not been handed to the decisions.
    pub waiting: usize,
    /// How many have ended and were not reaped.
    pub ended: usize,
}

/// A queue, which is a class (GFD.231, section 5.1).
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
pub struct Queue {
    pub name: String,
    /// The longest that its jobs are waited for where a template does not say.
    pub deadline_ms: u64,
    /// How long workers drop repeats of a key; 0 where the class has no keys.
    pub dedup_window_ms: u64,
    /// Whether its jobs need a key.
    pub keyed: bool,
}

/// A machine, which is a worker (GFD.231, section 5.3).
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct Machine {
    pub name: String,
    /// Whether new jobs may go there.
    pub available: bool,
    /// Its last word, or the operators': `up`, `draining`, `out`.
    pub state: String,
    pub zone: String,
    pub kind: String,
    pub address: String,
    /// Calls that are out to it from this node.
    pub calls: usize,
    /// Its free slots, as it told last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub free_slots: Option<f64>,
    /// How old that word is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report_age_ms: Option<u64>,
}

/// An answer with the request's own mark.
#[derive(Debug, Serialize)]
pub struct Answer<'a, T: Serialize> {
    pub seq: &'a Value,
    #[serde(flatten)]
    pub body: T,
}

/// What is told unasked: `NEW_STATE` of a job, or the `GAP` of a history that no longer reaches back so far.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "event", rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Event {
    /// A job's new state (GFD.231, section 8.3). With `notify` the other fields of [`JobInfo`] come as well.
    #[serde(rename_all = "camelCase")]
    NewState {
        /// The session that is open; none for `notify` of a job without one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        session: Option<String>,
        /// The event's number there; none for `notify`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        number: Option<u64>,
        job_id: String,
        job_state: JobState,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        job_sub_state: Option<String>,
    },
    /// The events of these numbers are no longer known.
    #[serde(rename_all = "camelCase")]
    Gap { session: String, from: u64, to: u64 },
}
