//! A submitter of batch jobs, which checks that each accepted job ends exactly once and is reported.

use super::{job_class, Audit, Random};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Maximum number of jobs that have not ended.
const MAX_OPEN_JOBS: usize = 6;
/// How long a read waits before the submitter looks whether the run is over.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// How long the jobs that are open at the end of the run may take.
const FINAL_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection of the submitter.
struct Connection {
    reader: BufReader<TcpStream>,
    /// The part of the next line that has come.
    line: Vec<u8>,
}

/// A request that was sent on this connection.
#[derive(Clone, Debug)]
enum Call {
    RunJob,
    WaitTerminated(String),
}

/// What a read has brought.
enum Received {
    Line(Value),
    Nothing,
    Closed,
}

/// Submits jobs one after another, and waits for the end of each.
pub struct Submitter {
    address: String,
    audit: Arc<Audit>,
    random: Random,
    connection: Option<Connection>,
    /// The requests without an answer, by sequence number.
    calls: HashMap<u64, Call>,
    next_sequence: u64,
    /// The accepted jobs whose end was not reported, and when they were accepted.
    open_jobs: HashMap<String, Instant>,
    reported: usize,
}

impl Submitter {
    /// Creates a submitter that connects to this address.
    pub fn new(address: String, random: Random, audit: Arc<Audit>) -> Self {
        Submitter {
            address,
            audit,
            random,
            connection: None,
            calls: HashMap::new(),
            next_sequence: 0,
            open_jobs: HashMap::new(),
            reported: 0,
        }
    }

    /// Submits jobs until the run is over, then waits for the open ones. Returns the number of reported jobs.
    pub fn run(mut self) -> usize {
        while !self.is_over() {
            if !self.is_connected() {
                sleep(READ_TIMEOUT);
                continue;
            }
            let running = self
                .calls
                .values()
                .filter(|call| matches!(call, Call::RunJob));
            if self.open_jobs.len() + running.count() < MAX_OPEN_JOBS && self.random.below(3) == 0 {
                self.submit();
            }
            self.receive();
        }
        let deadline = Instant::now() + FINAL_TIMEOUT;
        while !self.open_jobs.is_empty() && Instant::now() < deadline {
            if self.is_connected() {
                self.receive();
            } else {
                sleep(READ_TIMEOUT);
            }
        }
        for job in self.open_jobs.keys() {
            self.audit
                .fault(format!("batch: the end of {job} was not reported"));
        }
        self.reported
    }

    fn is_over(&self) -> bool {
        self.audit.node.is_over.load(Ordering::SeqCst)
    }

    /// Connects if there is no connection, and then waits for the open jobs again.
    fn is_connected(&mut self) -> bool {
        if self.connection.is_some() {
            return true;
        }
        let Ok(stream) = TcpStream::connect(&self.address) else {
            return false;
        };
        let options = stream.set_nodelay(true);
        if options
            .and_then(|()| stream.set_read_timeout(Some(READ_TIMEOUT)))
            .is_err()
        {
            return false;
        }
        self.connection = Some(Connection {
            reader: BufReader::new(stream),
            line: Vec::new(),
        });
        for job in self.open_jobs.keys().cloned().collect::<Vec<_>>() {
            self.wait_for(job);
        }
        true
    }

    fn submit(&mut self) {
        let sequence = self.next_sequence;
        let class = job_class(sequence as usize).name();
        let template = json!({"remoteCommand": format!("/b{sequence}"), "jobCategory": class,
            "accountingId": "sued", "deadlineMs": 3000, "submissionKey": format!("batch-{sequence}")});
        self.call(Call::RunJob, json!({"op": "runJob", "template": template}));
    }

    fn wait_for(&mut self, job: String) {
        let request = json!({"op": "waitTerminated", "jobId": job});
        self.call(Call::WaitTerminated(job), request);
    }

    fn call(&mut self, call: Call, mut request: Value) {
        self.next_sequence += 1;
        request["seq"] = self.next_sequence.into();
        let line = format!("{request}\n");
        let connection = self.connection.as_mut();
        let sent =
            connection.map(|connection| connection.reader.get_mut().write_all(line.as_bytes()));
        if matches!(sent, Some(Ok(()))) {
            self.calls.insert(self.next_sequence, call);
        }
    }

    fn receive(&mut self) {
        match self.read_line() {
            Received::Line(line) => self.handle(&line),
            Received::Nothing => {}
            Received::Closed => {
                self.connection = None;
                self.calls.clear();
            }
        }
    }

    fn read_line(&mut self) -> Received {
        let Some(connection) = &mut self.connection else {
            return Received::Nothing;
        };
        match connection.reader.read_until(b'\n', &mut connection.line) {
            Ok(_) if connection.line.ends_with(b"\n") => {
                let line = std::mem::take(&mut connection.line);
                serde_json::from_slice(&line).map_or(Received::Closed, Received::Line)
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Received::Nothing
            }
            Ok(_) | Err(_) => Received::Closed,
        }
    }

    fn handle(&mut self, line: &Value) {
        let sequence = line["seq"].as_u64().unwrap_or_default();
        let Some(call) = self.calls.remove(&sequence) else {
            return;
        };
        match (call, line["jobId"].as_str(), &line["jobInfo"]) {
            (Call::RunJob, Some(job), _) => {
                self.open_jobs.insert(job.to_owned(), Instant::now());
                self.wait_for(job.to_owned());
            }
            (Call::WaitTerminated(job), _, info) if !info.is_null() => {
                let ended = self.open_jobs.remove(&job).is_some();
                self.reported += 1;
                let state = info["jobState"].as_str().unwrap_or_default();
                if !ended || !["DONE", "FAILED"].contains(&state) {
                    self.audit
                        .fault(format!("batch: the end of {job} was reported as {line}"));
                }
            }
            (Call::WaitTerminated(job), ..) => {
                let accepted_at = self.open_jobs.remove(&job);
                let may_be_forgotten =
                    accepted_at.is_some_and(|at| self.audit.has_crashed_since(at));
                if !may_be_forgotten {
                    self.audit.fault(format!(
                        "batch: {job} was accepted and then answered with {line}"
                    ));
                }
            }
            // The job was not accepted.
            (Call::RunJob, None, _) => {}
        }
    }
}
