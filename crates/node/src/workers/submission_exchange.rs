//! An attempt over the submission protocol: this node is the submitter, and the worker runs the job. The protocol is
//! described in `docs/submission.md`; its states are mapped to the platform's outcomes.

use super::exchange::{Completion, ReadProgress};
use super::report;
use crate::core::{AttemptEnd, Payload};
use crate::net::conn::Connection;
use base64::prelude::{Engine, BASE64_STANDARD};
use marbledeck_dispatcher::{LoadReport, Micros, Outcome};
use marbledeck_platform_settings::ReportFields;
use marbledeck_submission::frame;
use serde_json::{json, Value};

/// The maximum length of a line from a worker: a result with JSON escapes.
const MAX_LINE: usize = 160 * 1024;

/// Encodes the line that submits a job.
pub fn attempt_request(payload: &Payload, remaining: Micros) -> Vec<u8> {
    let mut template = json!({
        "jobName": payload.transaction_id,
        "remoteCommand": payload.target,
        "deadlineMs": remaining.0.div_ceil(1000),
    });
    match std::str::from_utf8(&payload.body) {
        Ok(text) => template["input"] = text.into(),
        Err(_) => template["inputBase64"] = BASE64_STANDARD.encode(&payload.body).into(),
    }
    if let Some(key) = &payload.key {
        template["submissionKey"] = key.as_str().into();
    }
    let run = json!({
        "op": "runJob",
        "seq": payload.transaction_id,
        "notify": true,
        "template": template,
    });
    frame::encode_line(&run)
}

/// A job submitted to a worker, and the reader of the worker's reports about it.
pub struct SubmissionExchange {
    /// The `seq` of the message that submitted the job: the request's transaction id.
    sequence: String,
    report_fields: ReportFields,
    /// The worker's id for the job, once the worker has accepted it.
    job: Option<String>,
    ended: bool,
}

impl SubmissionExchange {
    /// Creates the reader for a job submitted with this `seq`.
    pub fn new(sequence: &str, report_fields: ReportFields) -> Self {
        SubmissionExchange {
            sequence: sequence.to_owned(),
            report_fields,
            job: None,
            ended: false,
        }
    }

    /// Reads the data received on the connection.
    pub fn read(&mut self, conn: &mut Connection) -> ReadProgress {
        let mut progress = ReadProgress::default();
        while !self.ended {
            let full = conn.input.is_full();
            let held = conn.input.all();
            let end = match frame::find_line(held, MAX_LINE, full) {
                Ok(None) => break,
                Ok(Some(length)) => {
                    let end = match held[..length].trim_ascii() {
                        [] => None,
                        line => self.handle_line(line, &mut progress),
                    };
                    conn.input.consume(length + 1);
                    end
                }
                Err(frame::TooLong) => Some(AttemptEnd::new(Outcome::Failed)),
            };
            if end.is_some() {
                self.ended = true;
                progress.completion = Completion::of(conn.is_open() && conn.input.is_empty());
                progress.end = end;
            }
        }
        progress
    }

    /// The end that a line reports, if any. Lines about other jobs are dropped, since some of an earlier job on this
    /// connection may still arrive.
    fn handle_line(&mut self, line: &[u8], progress: &mut ReadProgress) -> Option<AttemptEnd> {
        let Ok(value) = serde_json::from_slice::<Value>(line) else {
            return Some(AttemptEnd::new(Outcome::Failed));
        };
        let text = |name: &str| value.get(name).and_then(Value::as_str);
        let load = value.get("load");
        let load = load.and_then(|load| report::from_value(self.report_fields, load));
        if text("seq") == Some(&self.sequence) {
            // The job was not accepted. With an error that says to retry later or that denies it, it has never run.
            let outcome = match text("error") {
                Some("TRY_LATER" | "DENIED_BY_DRMS") => Outcome::Rejected,
                Some(_) => Outcome::Failed,
                None => {
                    self.job = text("jobId").map(str::to_owned);
                    return None;
                }
            };
            return Some(AttemptEnd::with_report(outcome, load));
        }
        if self.job.is_none() || text("jobId") != self.job.as_deref() {
            return None;
        }
        let outcome = match (text("jobState")?, text("jobSubState")) {
            ("RUNNING", _) => {
                progress.started = true;
                return None;
            }
            ("DONE", _) => return Some(completed_job_end(&value, load)),
            ("REQUEUED", _) | ("FAILED", Some("returned")) => Outcome::Rejected,
            ("FAILED", Some("lost")) => Outcome::Reset,
            ("FAILED", _) => Outcome::Failed,
            _ => return None,
        };
        Some(AttemptEnd::with_report(outcome, load))
    }
}

/// The end of a job in state `DONE`: it has failed if the result is missing or cannot be decoded.
fn completed_job_end(value: &Value, load: Option<LoadReport>) -> AttemptEnd {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    let encoded = text("resultBase64");
    let decoded = encoded.and_then(|text| BASE64_STANDARD.decode(text).ok());
    let result = text("result").map(|text| text.as_bytes().to_vec());
    let result = result.or(decoded);
    let outcome = if result.is_some() {
        Outcome::Served
    } else {
        Outcome::Failed
    };
    AttemptEnd {
        result,
        ..AttemptEnd::with_report(outcome, load)
    }
}
