//! An attempt or probe over HTTP: encodes the request and parses the response incrementally.

use super::exchange::{Completion, ReadProgress};
use super::report;
use crate::core::{AttemptEnd, Payload};
use crate::net::conn::Connection;
use crate::net::http::{self, Body, ParseError, ResponseHead, MAX_BODY};
use marbledeck_dispatcher::{Micros, Outcome};
use marbledeck_platform_settings::ReportFields;
use serde_json::Value;

/// The path at which a worker reports its load.
pub const LOAD_PATH: &str = "/status/load";
/// The path at which a worker reports only whether it is healthy.
pub const HEALTH_PATH: &str = "/health";

/// The maximum size in bytes of buffered response content that is not a complete line.
const MAX_BUFFERED_CONTENT: usize = 2 * MAX_BODY;

/// Encodes the request of an attempt, which forwards the client's fields for the worker unchanged.
pub fn attempt_request(payload: &Payload, host: &str, remaining: Micros) -> Vec<u8> {
    let key = payload.key.as_deref();
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {host}\r\nX-Txn: {}\r\n{key}X-Remaining-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        payload.method,
        payload.target,
        payload.transaction_id,
        remaining.0.div_ceil(1000),
        payload.body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&payload.body);
    bytes
}

/// Encodes the request of a probe of [`LOAD_PATH`] or [`HEALTH_PATH`].
pub fn probe_request(host: &str, path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// The response to one attempt or probe.
pub struct HttpExchange {
    /// The transaction id that each line must have; none for a probe.
    transaction_id: Option<String>,
    report_fields: ReportFields,
    head: Option<(ResponseHead, Body)>,
    /// The received body content that is not a complete line yet.
    content: Vec<u8>,
    ended: bool,
}

impl HttpExchange {
    /// The response to an attempt with this transaction id.
    pub fn attempt(transaction_id: String, report_fields: ReportFields) -> Self {
        Self::new(Some(transaction_id), report_fields)
    }

    /// The response to a probe.
    pub fn probe(report_fields: ReportFields) -> Self {
        Self::new(None, report_fields)
    }

    fn new(transaction_id: Option<String>, report_fields: ReportFields) -> Self {
        HttpExchange {
            transaction_id,
            report_fields,
            head: None,
            content: Vec::new(),
            ended: false,
        }
    }

    fn is_probe(&self) -> bool {
        self.transaction_id.is_none()
    }

    /// Reads the data received on the connection.
    pub fn read(&mut self, conn: &mut Connection) -> ReadProgress {
        let mut progress = ReadProgress::default();
        if self.advance(conn, &mut progress).is_err() {
            // The response is malformed, but the request may have run.
            self.end(&mut progress, AttemptEnd::new(Outcome::Failed));
            progress.completion = Completion::Closed;
        }
        progress
    }

    fn advance(
        &mut self,
        conn: &mut Connection,
        progress: &mut ReadProgress,
    ) -> Result<(), ParseError> {
        if self.head.is_none() {
            let Some((head, used)) = http::parse_response_head(conn.input.all())? else {
                return Ok(());
            };
            conn.input.consume(used);
            let body = Body::of_response(&head)?;
            self.handle_head(&head, progress);
            self.head = Some((head, body));
        }
        let Some((head, body)) = &mut self.head else {
            return Ok(());
        };
        let used = body.take(conn.input.all(), &mut self.content)?;
        conn.input.consume(used);
        let complete = body.is_done() || conn.eof && body.ends_with_connection();
        let (status, keep_alive) = (head.status, head.keep_alive);
        if !self.is_probe() && status == 200 {
            self.handle_lines(progress);
        } else if complete && self.is_probe() && !self.ended {
            let text = std::str::from_utf8(&self.content).unwrap_or_default();
            let report = report::from_text(self.report_fields, text);
            let end = AttemptEnd::with_report(probe_outcome(status), report);
            self.end(progress, end);
        }
        if complete {
            // The response ended without a final line, so the attempt may have run.
            self.end(progress, AttemptEnd::new(Outcome::Reset));
            let reusable = keep_alive && conn.is_open() && conn.input.is_empty();
            progress.completion = Completion::of(reusable);
        } else if self.content.len() > MAX_BUFFERED_CONTENT {
            return Err(ParseError::BodyTooLong);
        }
        Ok(())
    }

    /// Reports the end of the attempt or probe, unless it was already reported.
    fn end(&mut self, progress: &mut ReadProgress, end: AttemptEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            progress.end = Some(end);
        }
    }

    /// Ends an attempt whose status is not 200.
    fn handle_head(&mut self, head: &ResponseHead, progress: &mut ReadProgress) {
        if self.is_probe() || head.status == 200 {
            return;
        }
        let rejected = head.fields.get("X-Turned-Away") == Some("1");
        let outcome = match head.status {
            503 | 504 if rejected => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        let load = head.fields.get("X-Pressure");
        let load = load.and_then(|text| report::from_text(self.report_fields, text));
        self.end(progress, AttemptEnd::with_report(outcome, load));
    }

    /// Handles the complete lines received so far.
    fn handle_lines(&mut self, progress: &mut ReadProgress) {
        while let Some(end) = self.content.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.content.drain(..=end).collect();
            if !self.ended && !line.trim_ascii().is_empty() {
                self.handle_line(&line, progress);
            }
        }
    }

    fn handle_line(&mut self, line: &[u8], progress: &mut ReadProgress) {
        let value: Value = serde_json::from_slice(line).unwrap_or_default();
        let text = |name: &str| value.get(name).and_then(Value::as_str);
        if text("id") != self.transaction_id.as_deref() {
            // Not an object, or for another request: only a result for this request may be served.
            return self.end(progress, AttemptEnd::new(Outcome::Failed));
        }
        let load = value.get("load");
        let load = load.and_then(|load| report::from_value(self.report_fields, load));
        let end = match text("state") {
            Some("started") => {
                progress.started = true;
                return;
            }
            Some("done") => match text("result") {
                Some(result) => AttemptEnd {
                    result: Some(result.as_bytes().to_vec()),
                    ..AttemptEnd::with_report(Outcome::Served, load)
                },
                None => AttemptEnd::with_report(Outcome::Failed, load),
            },
            Some("failed") => AttemptEnd::with_report(Outcome::Failed, load),
            Some("returned") => AttemptEnd::with_report(Outcome::Rejected, load),
            Some("lost") => AttemptEnd::with_report(Outcome::Reset, load),
            // A progress report, or a state that a later version added.
            _ => return,
        };
        self.end(progress, end);
    }
}

fn probe_outcome(status: u16) -> Outcome {
    match status {
        200 => Outcome::Served,
        503 => Outcome::Rejected,
        _ => Outcome::Failed,
    }
}
