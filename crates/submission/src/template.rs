//! The job template: DRMAA's attributes as far as they mean something here, and the three that it lacks. Each other
//! attribute of GFD.231, section 5.7, is refused by name.

use crate::message::{ErrorId, Problem};
use base64::prelude::{Engine, BASE64_STANDARD};
use marbledeck_federation::Manifest;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Stands for a job's index in the template of `runBulkJobs` (GFD.231, section 4.4).
pub const PARAMETRIC_INDEX: &str = "${PARAMETRIC_INDEX}";
/// The longest command, key or name, in bytes.
pub const MAX_WORD: usize = 2048;
/// The longest input, in bytes.
pub const MAX_INPUT: usize = 64 * 1024;

/// The attributes of GFD.231 that nothing here can honour. A template may carry them unset.
pub const UNSUPPORTED: [&str; 19] = [
    "candidateMachines",
    "email",
    "emailOnStarted",
    "emailOnTerminated",
    "errorPath",
    "inputPath",
    "jobEnvironment",
    "joinFiles",
    "machineArch",
    "machineOS",
    "maxSlots",
    "minPhysMemory",
    "outputPath",
    "priority",
    "reservationId",
    "resourceLimits",
    "stageInFiles",
    "stageOutFiles",
    "workingDirectory",
];

/// The attributes that mean something here, as the capabilities tell them.
pub const SUPPORTED: [&str; 16] = [
    "accountingId",
    "args",
    "deadlineMs",
    "deadlineTime",
    "input",
    "inputBase64",
    "jobCategory",
    "jobName",
    "manifest",
    "minSlots",
    "queueName",
    "remoteCommand",
    "rerunnable",
    "startTime",
    "submissionKey",
    "submitAsHold",
];

/// What a submitter wants done. Times are Unix times in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct Template {
    /// The path, with its query, that the worker is asked for.
    pub remote_command: String,
    /// The class. Where it is missing, `queueName` names it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub job_category: String,
    /// The same by another name; both must agree where both are there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue_name: Option<String>,
    /// The input where there is no other: a line each.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub args: Option<Vec<String>>,
    /// The tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounting_id: Option<String>,
    /// For the submitter's own use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_name: Option<String>,
    /// The slots that it takes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min_slots: Option<f64>,
    /// The body, as text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub input: Option<String>,
    /// The body, coded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub input_base64: Option<String>,
    /// The key by which repeats are known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission_key: Option<String>,
    /// How long the end is waited for, in milliseconds, from when the job may start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// When the job is to have ended, waiting included.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_time: Option<u64>,
    /// Held until then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_time: Option<u64>,
    /// Held until it is released.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub submit_as_hold: bool,
    /// Whether it may be run again after an error. `false` is refused for a class that the decisions run again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rerunnable: Option<bool>,
    /// What it needs of a site. One that does not fit here is handed to another site.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub manifest: Option<Manifest>,
    /// Another site has handed it over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forwarded: Option<Forwarded>,
    /// What else the message held; none of it is served.
    #[serde(flatten)]
    pub others: Map<String, Value>,
}

/// What a site says of a job that it hands over.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Forwarded {
    /// The site.
    pub from: String,
    /// The version of the catalog that it has checked the job against.
    pub catalog: u64,
}

fn word(text: &str) -> bool {
    let fits = !text.is_empty() && text.len() <= MAX_WORD;
    fits && text.bytes().all(|b| b.is_ascii_graphic())
}

fn is_set(value: &Value) -> bool {
    match value {
        Value::Null | Value::Bool(false) => false,
        Value::String(text) => !text.is_empty(),
        Value::Array(list) => !list.is_empty(),
        Value::Object(map) => !map.is_empty(),
        Value::Bool(true) | Value::Number(_) => true,
    }
}

impl Template {
    /// Sets the input: as text where it is text that stays short on the wire, coded otherwise.
    pub fn set_input(&mut self, bytes: Vec<u8>) {
        let dense = bytes.iter().filter(|b| **b < 0x20).count() * 8 > bytes.len() + 64;
        match String::from_utf8(bytes) {
            Ok(text) if !dense => self.input = Some(text),
            Ok(text) => self.input_base64 = Some(BASE64_STANDARD.encode(text)),
            Err(e) => self.input_base64 = Some(BASE64_STANDARD.encode(e.into_bytes())),
        }
    }

    /// The class that it asks for.
    pub fn class(&self) -> &str {
        match &self.queue_name {
            Some(queue) if self.job_category.is_empty() => queue,
            _ => &self.job_category,
        }
    }

    /// Fills in the index where the text names it.
    fn fill(text: &str, index: Option<i64>) -> String {
        match index {
            Some(index) => text.replace(PARAMETRIC_INDEX, &index.to_string()),
            None => text.to_owned(),
        }
    }

    /// The submission key of the job of this index.
    pub fn key_at(&self, index: Option<i64>) -> Option<String> {
        let key = self.submission_key.as_ref();
        key.map(|key| Self::fill(key, index))
    }

    /// The name of the job of this index.
    pub fn name_at(&self, index: Option<i64>) -> Option<String> {
        self.job_name.as_ref().map(|name| Self::fill(name, index))
    }

    /// The path that the job of this index asks for.
    pub fn command_at(&self, index: Option<i64>) -> String {
        Self::fill(&self.remote_command, index)
    }

    /// The input of the job of this index.
    ///
    /// # Errors
    /// Two inputs, one that cannot be decoded, or one that is too long.
    pub fn body_at(&self, index: Option<i64>) -> Result<Vec<u8>, Problem> {
        let body = match (&self.input, &self.input_base64, &self.args) {
            (Some(_), Some(_), _) => {
                return Err(Problem::invalid("input and inputBase64 exclude each other"))
            }
            (Some(_), _, Some(_)) | (_, Some(_), Some(_)) => {
                return Err(Problem::invalid("args and an input exclude each other"))
            }
            (Some(text), None, None) => Self::fill(text, index).into_bytes(),
            (None, Some(coded), None) => BASE64_STANDARD
                .decode(coded)
                .map_err(|_| Problem::invalid("inputBase64 is malformed"))?,
            (None, None, Some(args)) => {
                let lines = args.iter().map(|arg| Self::fill(arg, index) + "\n");
                lines.collect::<String>().into_bytes()
            }
            (None, None, None) => Vec::new(),
        };
        match body.len() > MAX_INPUT {
            true => Err(Problem::invalid("the input is too long")),
            false => Ok(body),
        }
    }

    /// Whether the jobs of both ask for the same. How long each is waited for is no part of that.
    pub fn same(&self, index: Option<i64>, other: &Template, other_index: Option<i64>) -> bool {
        let plain = |t: &Template, index| Template {
            remote_command: t.command_at(index),
            job_name: t.name_at(index),
            submission_key: t.key_at(index),
            input: t.input.as_ref().map(|text| Self::fill(text, index)),
            deadline_ms: None,
            deadline_time: None,
            ..t.clone()
        };
        index == other_index && self == other || plain(self, index) == plain(other, other_index)
    }

    /// Checks all that can be said without the node's settings. What goes into the head of a call must not end its
    /// line or its word.
    ///
    /// # Errors
    /// Names the attribute: `UNSUPPORTED_ATTRIBUTE` for one of GFD.231 that is not honoured, `INVALID_ARGUMENT` for
    /// any other fault.
    pub fn check(&self, index: Option<i64>) -> Result<(), Problem> {
        if let Some((name, _)) = self.others.iter().find(|(_, value)| is_set(value)) {
            if UNSUPPORTED.contains(&name.as_str()) {
                let words = format!("`{name}` is not supported");
                return Err(Problem::new(ErrorId::UnsupportedAttribute, words));
            }
            return Err(Problem::invalid(format!("unknown field `{name}`")));
        }
        let invalid = |what: &str| Err(Problem::invalid(what));
        let command = self.command_at(index);
        if !word(&command) || !command.starts_with('/') {
            return invalid("remoteCommand wants a path");
        }
        if self.key_at(index).is_some_and(|key| !word(&key)) {
            return invalid("submissionKey wants visible characters");
        }
        if self.job_name.as_ref().is_some_and(|n| n.len() > MAX_WORD) {
            return invalid("jobName is too long");
        }
        if self.min_slots.is_some_and(|n| !n.is_finite() || n < 0.0) {
            return invalid("minSlots wants a number");
        }
        if self.deadline_ms == Some(0) {
            return invalid("deadlineMs wants whole milliseconds");
        }
        match &self.queue_name {
            Some(queue) if !self.job_category.is_empty() && *queue != self.job_category => {
                return invalid("queueName and jobCategory name different classes");
            }
            None if self.job_category.is_empty() => return invalid("missing field `jobCategory`"),
            _ => {}
        }
        if let Some(manifest) = &self.manifest {
            if let Err(wrong) = manifest.validate() {
                return Err(Problem::invalid(format!("manifest.{wrong}")));
            }
            if manifest.class != self.class() {
                return invalid("manifest.class is another than the job's");
            }
        }
        if let (Some(start), Some(deadline)) = (self.start_time, self.deadline_time) {
            if start >= deadline {
                return invalid("startTime is not before deadlineTime");
            }
        }
        self.body_at(index).map(drop)
    }

    /// About how much memory it takes, in bytes.
    pub fn size(&self) -> usize {
        let of = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let words = of(&self.accounting_id) + of(&self.job_name) + of(&self.submission_key);
        let input = of(&self.input) + of(&self.input_base64) + of(&self.queue_name);
        let args = self.args.iter().flatten().map(|arg| arg.len() + 24);
        self.remote_command.len()
            + self.job_category.len()
            + words
            + input
            + args.sum::<usize>()
            + std::mem::size_of::<Template>()
    }
}
