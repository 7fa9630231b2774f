//! The job template: the supported attributes of GFD.231, section 5.7, and some extensions. An unsupported attribute
//! that is set is rejected with an error that names it.

use crate::error::{ErrorId, Problem};
use base64::prelude::{Engine, BASE64_STANDARD};
use marbledeck_federation::Manifest;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The placeholder for a member's index in the template of `runBulkJobs` (GFD.231, section 4.4).
pub const PARAMETRIC_INDEX: &str = "${PARAMETRIC_INDEX}";
/// The maximum length of a command, key or name, in bytes.
pub const MAX_ATTRIBUTE_BYTES: usize = 2048;
/// The maximum length of an input, in bytes.
pub const MAX_INPUT_BYTES: usize = 64 * 1024;

/// The attributes of GFD.231 that are not supported. A template may carry them unset.
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

/// The supported attributes, as listed in the capabilities.
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

/// Describes a job. Times are Unix times in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct Template {
    /// The path and query of the request to the worker.
    pub remote_command: String,
    /// The request class; if it is missing, `queueName` names it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub job_category: String,
    /// Another name of the request class; both must agree if both are set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue_name: Option<String>,
    /// Arguments, sent as an input with one line per argument; excludes the other inputs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub args: Option<Vec<String>>,
    /// The tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounting_id: Option<String>,
    /// A name for the client's own use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_name: Option<String>,
    /// The number of slots that the job takes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min_slots: Option<f64>,
    /// The input, as text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub input: Option<String>,
    /// The input, in Base64.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub input_base64: Option<String>,
    /// The idempotency key: a resubmission with it joins the first job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission_key: Option<String>,
    /// The deadline in milliseconds from the moment when the job may start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The deadline as a point in time, which includes the time before the start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_time: Option<u64>,
    /// The job is held until this time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_time: Option<u64>,
    /// The job is held until it is released.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub submit_as_hold: bool,
    /// Whether it may be retried. `false` is rejected for a class whose jobs the scheduler retries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rerunnable: Option<bool>,
    /// The job's requirements on a site. A job that this site cannot run is forwarded to another site.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub manifest: Option<Manifest>,
    /// Set if another site has forwarded the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forwarded: Option<Forwarded>,
    /// All other fields of the message; [`Template::check`] rejects them.
    #[serde(flatten)]
    pub others: Map<String, Value>,
}

/// The information that a site adds to a job that it forwards.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Forwarded {
    /// The name of the forwarding site.
    pub from: String,
    /// The version of the catalog that the forwarding site has checked the job against.
    pub catalog: u64,
}

/// Whether a text is safe in the head of a request: it has no character that could end its line or field.
fn is_token(text: &str) -> bool {
    let valid_length = !text.is_empty() && text.len() <= MAX_ATTRIBUTE_BYTES;
    valid_length && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Whether an attribute has a value other than null, false or empty. Unsupported attributes may be present but unset.
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
    /// Sets the input: as text if it is UTF-8 that needs few escapes in JSON, otherwise in Base64.
    pub fn set_input(&mut self, bytes: Vec<u8>) {
        let needs_many_escapes = bytes.iter().filter(|b| **b < 0x20).count() * 8 > bytes.len() + 64;
        match String::from_utf8(bytes) {
            Ok(text) if !needs_many_escapes => self.input = Some(text),
            Ok(text) => self.input_base64 = Some(BASE64_STANDARD.encode(text)),
            Err(e) => self.input_base64 = Some(BASE64_STANDARD.encode(e.into_bytes())),
        }
    }

    /// The request class.
    pub fn class(&self) -> &str {
        match &self.queue_name {
            Some(queue) if self.job_category.is_empty() => queue,
            _ => &self.job_category,
        }
    }

    /// Replaces the placeholder with the index, if there is one.
    fn fill_index(text: &str, index: Option<i64>) -> String {
        match index {
            Some(index) => text.replace(PARAMETRIC_INDEX, &index.to_string()),
            None => text.to_owned(),
        }
    }

    /// The submission key of the member with this index.
    pub fn key_at(&self, index: Option<i64>) -> Option<String> {
        let key = self.submission_key.as_ref();
        key.map(|key| Self::fill_index(key, index))
    }

    /// The job name of the member with this index.
    pub fn name_at(&self, index: Option<i64>) -> Option<String> {
        self.job_name
            .as_ref()
            .map(|name| Self::fill_index(name, index))
    }

    /// The path of the member with this index.
    pub fn command_at(&self, index: Option<i64>) -> String {
        Self::fill_index(&self.remote_command, index)
    }

    /// The input of the member with this index.
    ///
    /// # Errors
    /// If more than one input is set, or the input cannot be decoded or is too long.
    pub fn body_at(&self, index: Option<i64>) -> Result<Vec<u8>, Problem> {
        let body = match (&self.input, &self.input_base64, &self.args) {
            (Some(_), Some(_), _) => {
                return Err(Problem::invalid_argument(
                    "input and inputBase64 cannot both be set",
                ))
            }
            (Some(_), _, Some(_)) | (_, Some(_), Some(_)) => {
                return Err(Problem::invalid_argument(
                    "args cannot be combined with input or inputBase64",
                ))
            }
            (Some(text), None, None) => Self::fill_index(text, index).into_bytes(),
            (None, Some(encoded), None) => BASE64_STANDARD
                .decode(encoded)
                .map_err(|_| Problem::invalid_argument("inputBase64 is malformed"))?,
            (None, None, Some(args)) => {
                let lines = args.iter().map(|arg| Self::fill_index(arg, index) + "\n");
                lines.collect::<String>().into_bytes()
            }
            (None, None, None) => Vec::new(),
        };
        if body.len() > MAX_INPUT_BYTES {
            return Err(Problem::invalid_argument("the input is too long"));
        }
        Ok(body)
    }

    /// Whether two jobs are the same except for their deadlines.
    pub fn is_same_job(
        &self,
        index: Option<i64>,
        other: &Template,
        other_index: Option<i64>,
    ) -> bool {
        let without_deadlines = |t: &Template, index| Template {
            remote_command: t.command_at(index),
            job_name: t.name_at(index),
            submission_key: t.key_at(index),
            input: t.input.as_ref().map(|text| Self::fill_index(text, index)),
            deadline_ms: None,
            deadline_time: None,
            ..t.clone()
        };
        index == other_index && self == other
            || without_deadlines(self, index) == without_deadlines(other, other_index)
    }

    /// Checks the template as far as possible without the node's configuration.
    ///
    /// # Errors
    /// [`ErrorId::UnsupportedAttribute`] names an attribute of GFD.231 that is not supported,
    /// [`ErrorId::InvalidArgument`] any other fault.
    pub fn check(&self, index: Option<i64>) -> Result<(), Problem> {
        if let Some((name, _)) = self.others.iter().find(|(_, value)| is_set(value)) {
            if UNSUPPORTED.contains(&name.as_str()) {
                let message = format!("`{name}` is not supported");
                return Err(Problem::new(ErrorId::UnsupportedAttribute, message));
            }
            return Err(Problem::invalid_argument(format!("unknown field `{name}`")));
        }
        let invalid = |message: &str| Err(Problem::invalid_argument(message));
        let command = self.command_at(index);
        if !is_token(&command) || !command.starts_with('/') {
            return invalid("remoteCommand wants a path");
        }
        if self.key_at(index).is_some_and(|key| !is_token(&key)) {
            return invalid(
                "submissionKey is empty, too long, or has characters other than visible ASCII",
            );
        }
        if self
            .job_name
            .as_ref()
            .is_some_and(|n| n.len() > MAX_ATTRIBUTE_BYTES)
        {
            return invalid("jobName is too long");
        }
        if self.min_slots.is_some_and(|n| !n.is_finite() || n < 0.0) {
            return invalid("minSlots must be a finite number of at least 0");
        }
        if self.deadline_ms == Some(0) {
            return invalid("deadlineMs must be at least 1");
        }
        match &self.queue_name {
            Some(queue) if !self.job_category.is_empty() && *queue != self.job_category => {
                return invalid("queueName and jobCategory name different classes");
            }
            None if self.job_category.is_empty() => return invalid("missing field `jobCategory`"),
            _ => {}
        }
        if let Some(manifest) = &self.manifest {
            if let Err(fault) = manifest.validate() {
                return Err(Problem::invalid_argument(format!("manifest.{fault}")));
            }
            if manifest.class != self.class() {
                return invalid("manifest.class differs from the class of the job");
            }
        }
        if let (Some(start), Some(deadline)) = (self.start_time, self.deadline_time) {
            if start >= deadline {
                return invalid("startTime is not before deadlineTime");
            }
        }
        self.body_at(index).map(drop)
    }

    /// The approximate memory use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let length = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let names =
            length(&self.accounting_id) + length(&self.job_name) + length(&self.submission_key);
        let input = length(&self.input) + length(&self.input_base64) + length(&self.queue_name);
        let args = self
            .args
            .iter()
            .flatten()
            .map(|arg| arg.len() + std::mem::size_of::<String>());
        self.remote_command.len()
            + self.job_category.len()
            + names
            + input
            + args.sum::<usize>()
            + std::mem::size_of::<Template>()
    }
}
