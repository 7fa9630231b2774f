//! What comes back from a worker over HTTP, read as it comes: starts, and the outcome of the call.

use super::report;
use crate::core::{AttemptEnd, Payload};
use crate::net::conn::Connection;
use crate::net::http::{self, Body, ParseError, ResponseHead, MAX_BODY};
use marbledeck_dispatcher::{Micros, Outcome};
use marbledeck_platform_settings::ReportFields;
use serde_json::Value;

/// What has come of a call since the last look.
#[derive(Default)]
pub struct News {
    pub started: bool,
    pub end: Option<AttemptEnd>,
    /// The answer is whole: whether its connection can carry the next call.
    pub over: Option<bool>,
}

/// The request that hands a job over; every field that the consumer set for it is passed on as it was.
pub fn request(work: &Payload, host: &str, remaining: Micros) -> Vec<u8> {
    let key = work.key.as_deref();
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {host}\r\nX-Txn: {}\r\n{key}X-Remaining-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        work.method,
        work.target,
        work.transaction_id,
        remaining.0.div_ceil(1000),
        work.body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&work.body);
    bytes
}

/// The request that asks for a worker's load, or only whether it is well.
pub fn probe(host: &str, reports: bool) -> Vec<u8> {
    let path = if reports { "/status/load" } else { "/health" };
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// The answer to one call or probe.
pub struct Answer {
    /// The id that the lines must carry; none for a probe.
    txn: Option<String>,
    reads: ReportFields,
    head: Option<(ResponseHead, Body)>,
    content: Vec<u8>,
    ended: bool,
}

impl Answer {
    pub fn new(txn: Option<String>, reads: ReportFields) -> Self {
        Answer {
            txn,
            reads,
            head: None,
            content: Vec::new(),
            ended: false,
        }
    }

    /// Takes what has come on the connection.
    pub fn read(&mut self, conn: &mut Connection) -> News {
        let mut news = News::default();
        if self.step(conn, &mut news).is_err() {
            // What cannot be read may still have run.
            self.end(&mut news, AttemptEnd::with_report(Outcome::Failed, None));
            news.over = Some(false);
        }
        news
    }

    fn step(&mut self, conn: &mut Connection, news: &mut News) -> Result<(), ParseError> {
        if self.head.is_none() {
            let Some((head, used)) = http::response_head(conn.input.all())? else {
                return Ok(());
            };
            conn.input.consume(used);
            let body = Body::of_response(&head)?;
            self.status(&head, news);
            self.head = Some((head, body));
        }
        let Some((head, body)) = &mut self.head else {
            return Ok(());
        };
        let used = body.take(conn.input.all(), &mut self.content)?;
        conn.input.consume(used);
        let whole = body.is_done() || conn.eof && body.ends_with_connection();
        let (status, keep_alive) = (head.status, head.keep_alive);
        if self.txn.is_some() && status == 200 {
            self.lines(news);
        } else if whole && self.txn.is_none() && !self.ended {
            let text = std::str::from_utf8(&self.content).unwrap_or_default();
            let told = report::from_text(self.reads, text);
            let end = AttemptEnd::with_report(probed(status), told);
            self.end(news, end);
        }
        if whole {
            // Without its last line a call may have run.
            self.end(news, AttemptEnd::with_report(Outcome::Reset, None));
            news.over = Some(keep_alive && conn.is_open() && conn.input.is_empty());
        } else if self.content.len() > 2 * MAX_BODY {
            return Err(ParseError::BodyTooLong);
        }
        Ok(())
    }

    fn end(&mut self, news: &mut News, end: AttemptEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            news.end = Some(end);
        }
    }

    /// A status other than 200 ends a call.
    fn status(&mut self, head: &ResponseHead, news: &mut News) {
        if self.txn.is_none() || head.status == 200 {
            return;
        }
        let turned_away = head.fields.get("X-Turned-Away") == Some("1");
        let outcome = match head.status {
            503 | 504 if turned_away => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        let load = head.fields.get("X-Pressure");
        let load = load.and_then(|text| report::from_text(self.reads, text));
        self.end(news, AttemptEnd::with_report(outcome, load));
    }

    /// Takes the lines that are whole; a last one may lack its end only where the body has ended.
    fn lines(&mut self, news: &mut News) {
        while let Some(end) = self.content.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.content.drain(..=end).collect();
            if !self.ended && !line.trim_ascii().is_empty() {
                self.line(&line, news);
            }
        }
    }

    fn line(&mut self, line: &[u8], news: &mut News) {
        let value: Value = serde_json::from_slice(line).unwrap_or_default();
        let text = |name: &str| value.get(name).and_then(Value::as_str);
        if text("id") != self.txn.as_deref() {
            // Not ours, or no object: nothing is served that was not made for this invocation.
            return self.end(news, AttemptEnd::with_report(Outcome::Failed, None));
        }
        let load = value.get("load");
        let load = load.and_then(|load| report::from_value(self.reads, load));
        let end = match text("state") {
            Some("started") => return news.started = true,
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
            // Progress, or a state of a later day.
            _ => return,
        };
        self.end(news, end);
    }
}

fn probed(status: u16) -> Outcome {
    match status {
        200 => Outcome::Served,
        503 => Outcome::Rejected,
        _ => Outcome::Failed,
    }
}
