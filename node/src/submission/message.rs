//! The messages of the submission protocol as types, and the checks of a job template.

use crate::core::Work;
use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Stands for a job's index in the template of `runBulkJobs`.
pub const PARAMETRIC_INDEX: &str = "${PARAMETRIC_INDEX}";
/// The longest command, key or name.
const MAX_WORD: usize = 2048;
/// The longest input, in bytes.
const MAX_INPUT: usize = 64 * 1024;

/// What a submitter asks for; `seq` comes back with the answer.
#[derive(Debug, Deserialize)]
pub struct Request {
    #[serde(default)]
    pub seq: Value,
    #[serde(flatten)]
    pub op: Op,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "op", rename_all = "camelCase", rename_all_fields = "camelCase")]
pub enum Op {
    RunJob {
        template: Template,
        #[serde(default)]
        notify: bool,
    },
    RunBulkJobs {
        template: Template,
        begin_index: i64,
        end_index: i64,
        step: i64,
        #[serde(default)]
        notify: bool,
    },
    GetJobInfo {
        job_id: String,
    },
    WaitStarted {
        job_id: String,
        timeout_ms: Option<u64>,
    },
    WaitTerminated {
        job_id: String,
        timeout_ms: Option<u64>,
    },
    Terminate {
        job_id: String,
    },
}

/// A job template: DRMAA's attributes as far as they mean something here, and the three that it lacks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Template {
    pub remote_command: String,
    pub job_category: String,
    #[serde(default)]
    pub accounting_id: Option<String>,
    #[serde(default)]
    pub job_name: Option<String>,
    #[serde(default)]
    pub min_slots: Option<f64>,
    #[serde(default)]
    pub input: Option<String>,
    #[serde(default)]
    pub input_base64: Option<String>,
    #[serde(default)]
    pub submission_key: Option<String>,
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

impl Template {
    /// The template of one job of many.
    pub fn at(&self, index: i64) -> Template {
        let index = index.to_string();
        let fill = |text: &String| text.replace(PARAMETRIC_INDEX, &index);
        Template {
            remote_command: fill(&self.remote_command),
            job_name: self.job_name.as_ref().map(fill),
            input: self.input.as_ref().map(fill),
            submission_key: self.submission_key.as_ref().map(fill),
            ..self.clone()
        }
    }

    /// Whether both ask for the same. How long each is waited for is no part of that.
    pub fn same(&self, other: &Template) -> bool {
        let untimed = |t: &Template| Template {
            deadline_ms: None,
            ..t.clone()
        };
        untimed(self) == untimed(other)
    }

    /// The work that it asks for. What goes into the head of a call must not end its line or its word.
    pub fn work(&self, txn: String) -> Result<Work, Problem> {
        let word = |text: &str| {
            let fits = !text.is_empty() && text.len() <= MAX_WORD;
            fits && text.bytes().all(|b| b.is_ascii_graphic())
        };
        if !word(&self.remote_command) || !self.remote_command.starts_with('/') {
            return Err(Problem::invalid("remoteCommand wants a path"));
        }
        if self.submission_key.as_deref().is_some_and(|key| !word(key)) {
            return Err(Problem::invalid("submissionKey wants visible characters"));
        }
        if self
            .job_name
            .as_ref()
            .is_some_and(|name| name.len() > MAX_WORD)
        {
            return Err(Problem::invalid("jobName is too long"));
        }
        if self.min_slots.is_some_and(|n| !n.is_finite() || n < 0.0) {
            return Err(Problem::invalid("minSlots wants a number"));
        }
        if self.deadline_ms == Some(0) {
            return Err(Problem::invalid("deadlineMs wants whole milliseconds"));
        }
        let body = match (&self.input, &self.input_base64) {
            (Some(_), Some(_)) => {
                return Err(Problem::invalid("input and inputBase64 exclude each other"))
            }
            (Some(text), None) => text.clone().into_bytes(),
            (None, Some(coded)) => BASE64_STANDARD
                .decode(coded)
                .map_err(|_| Problem::invalid("inputBase64 is malformed"))?,
            (None, None) => Vec::new(),
        };
        if body.len() > MAX_INPUT {
            return Err(Problem::invalid("the input is too long"));
        }
        Ok(Work {
            txn,
            key: self.submission_key.clone(),
            method: "POST".to_owned(),
            target: self.remote_command.clone(),
            body,
        })
    }

    /// About how much memory it takes.
    pub fn size(&self) -> usize {
        let of = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let words = of(&self.accounting_id) + of(&self.job_name) + of(&self.submission_key);
        let input = of(&self.input) + of(&self.input_base64);
        self.remote_command.len() + self.job_category.len() + words + input
    }
}

/// DRMAA's errors, as far as they occur here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum ErrorId {
    InvalidArgument,
    TryLater,
    DeniedByDrms,
    InvalidState,
    Timeout,
    DrmCommunication,
}

/// An error with its words, and for TRY_LATER with when.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Problem {
    pub error: ErrorId,
    pub message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    pub fn new(error: ErrorId, message: impl Into<String>) -> Self {
        Problem {
            error,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    pub fn invalid(message: impl Into<String>) -> Self {
        Problem::new(ErrorId::InvalidArgument, message)
    }

    pub fn later(message: impl Into<String>, ms: u64) -> Self {
        Problem {
            retry_after_ms: Some(ms),
            ..Problem::new(ErrorId::TryLater, message)
        }
    }
}

/// DRMAA's job states, as far as they occur here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum JobState {
    #[default]
    Queued,
    Running,
    Done,
    Failed,
}

/// A job that was accepted, in the answer to its submission.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Accepted {
    pub job_id: String,
    pub job_state: JobState,
    pub duplicate: bool,
}

/// Either of the two.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum Submitted {
    Accepted(Accepted),
    Not(Problem),
}

/// One job's part of the answer to `runBulkJobs`.
#[derive(Debug, Serialize)]
pub struct OfBulk {
    pub index: i64,
    #[serde(flatten)]
    pub submitted: Submitted,
}

/// An answer with the request's own mark.
#[derive(Debug, Serialize)]
pub struct Answer<'a, T: Serialize> {
    pub seq: &'a Value,
    #[serde(flatten)]
    pub body: T,
}
