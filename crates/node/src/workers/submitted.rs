//! Invoker calls by submission: this node is the submitter, and a worker runs the job. `docs/submission.md` has
//! the protocol, and the outcomes are those of the platform's.

use super::outcomes::News;
use super::report;
use crate::core::{AttemptEnd, Payload};
use crate::net::conn::Connection;
use base64::prelude::{Engine, BASE64_STANDARD};
use marbledeck_dispatcher::{Micros, Outcome};
use marbledeck_platform_settings::ReportFields;
use marbledeck_submission::frame;
use serde_json::{json, Value};

/// The longest line of a worker: a result with its escapes.
const MAX_LINE: usize = 160 * 1024;

/// The line that hands a job over.
pub fn request(work: &Payload, remaining: Micros) -> Vec<u8> {
    let mut template = json!({
        "jobName": work.transaction_id,
        "remoteCommand": work.target,
        "deadlineMs": remaining.0.div_ceil(1000),
    });
    match std::str::from_utf8(&work.body) {
        Ok(text) => template["input"] = text.into(),
        Err(_) => template["inputBase64"] = BASE64_STANDARD.encode(&work.body).into(),
    }
    if let Some(key) = &work.key {
        template["submissionKey"] = key.as_str().into();
    }
    let run =
        json!({"op": "runJob", "seq": work.transaction_id, "notify": true, "template": template});
    frame::line(&run)
}

/// A job handed to a worker, and what the worker tells of it.
pub struct Submitted {
    seq: String,
    reads: ReportFields,
    /// The worker's id of the job, once it has taken it.
    job: Option<String>,
    ended: bool,
}

impl Submitted {
    pub fn new(seq: &str, reads: ReportFields) -> Self {
        Submitted {
            seq: seq.to_owned(),
            reads,
            job: None,
            ended: false,
        }
    }

    /// Takes what has come on the connection.
    pub fn read(&mut self, conn: &mut Connection) -> News {
        let mut news = News::default();
        while !self.ended {
            let full = conn.input.is_full();
            let held = conn.input.all();
            let end = match frame::next(held, MAX_LINE, full) {
                Ok(None) => break,
                Ok(Some(length)) => {
                    let end = match held[..length].trim_ascii() {
                        [] => None,
                        line => self.line(line, &mut news),
                    };
                    conn.input.consume(length + 1);
                    end
                }
                Err(frame::TooLong) => Some(AttemptEnd::with_report(Outcome::Failed, None)),
            };
            if end.is_some() {
                self.ended = true;
                news.over = Some(conn.is_open() && conn.input.is_empty());
                news.end = end;
            }
        }
        news
    }

    /// The end that a line tells, if any. What is not of this job is dropped: a line of an earlier one may
    /// still come.
    fn line(&mut self, line: &[u8], news: &mut News) -> Option<AttemptEnd> {
        let Ok(value) = serde_json::from_slice::<Value>(line) else {
            return Some(AttemptEnd::with_report(Outcome::Failed, None));
        };
        let text = |name: &str| value.get(name).and_then(Value::as_str);
        let load = value.get("load");
        let load = load.and_then(|load| report::from_value(self.reads, load));
        if text("seq") == Some(&self.seq) {
            // Not taken: tried later or denied, it has never run.
            match text("error") {
                Some("TRY_LATER" | "DENIED_BY_DRMS") => {
                    return Some(AttemptEnd::with_report(Outcome::Rejected, load))
                }
                Some(_) => return Some(AttemptEnd::with_report(Outcome::Failed, load)),
                None => self.job = text("jobId").map(str::to_owned),
            }
            return None;
        }
        if self.job.is_none() || text("jobId") != self.job.as_deref() {
            return None;
        }
        match (text("jobState")?, text("jobSubState")) {
            ("RUNNING", _) => {
                news.started = true;
                None
            }
            ("DONE", _) => {
                let coded = text("resultBase64").and_then(|t| BASE64_STANDARD.decode(t).ok());
                let result = text("result").map(|t| t.as_bytes().to_vec()).or(coded);
                let outcome = if result.is_some() {
                    Outcome::Served
                } else {
                    Outcome::Failed
                };
                Some(AttemptEnd {
                    result,
                    ..AttemptEnd::with_report(outcome, load)
                })
            }
            ("REQUEUED", _) | ("FAILED", Some("returned")) => {
                Some(AttemptEnd::with_report(Outcome::Rejected, load))
            }
            ("FAILED", Some("lost")) => Some(AttemptEnd::with_report(Outcome::Reset, load)),
            ("FAILED", _) => Some(AttemptEnd::with_report(Outcome::Failed, load)),
            _ => None,
        }
    }
}
