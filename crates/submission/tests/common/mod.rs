//! Runs a server with a scripted scheduler in virtual time.
#![allow(dead_code, reason = "each test binary uses only a part of this module")]

pub mod transcript;
pub mod upgrade;

use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::message::{Machine, Problem, Queue};
use marbledeck_submission::server::ClientId;
use marbledeck_submission::{ClassProperties, JobRequest, Limits, Scheduler, Server, Verdict};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// How long the simulated workers drop repeats of an idempotency key.
pub const DEDUP_WINDOW: Micros = Micros(40_000_000);

/// A job that the scheduler has accepted.
#[derive(Clone, Debug)]
pub struct AcceptedJob {
    pub job_id: String,
    pub key: Option<String>,
    pub tenant: Option<String>,
    /// When it was last sent to a worker.
    pub sent: Option<Micros>,
}

/// A scheduler whose decisions are made by the test.
#[derive(Debug, Default)]
pub struct ScriptedScheduler {
    pub open_jobs: BTreeMap<RequestId, AcceptedJob>,
    pub submitted: u64,
    pub duplicates: u64,
    /// Whether every job is rejected with a retry hint.
    pub is_full: bool,
    /// The number of machines in addition to the first one.
    pub extra_machines: usize,
}

impl Scheduler for ScriptedScheduler {
    fn class_properties(&self, name: &str) -> Option<ClassProperties> {
        let window = match name {
            "preview" => Micros(0),
            "sheet" => DEDUP_WINDOW,
            _ => return None,
        };
        Some(ClassProperties {
            deadline: Micros(10_000_000),
            dedup_window: window,
            allows_retries: true,
        })
    }

    fn check(&self, class: &str, _: Option<&str>, keyed: bool) -> Result<(), Problem> {
        match class {
            "preview" => Ok(()),
            "sheet" if keyed => Ok(()),
            "sheet" => Err(Problem::invalid_argument("this class needs a key")),
            _ => Err(Problem::invalid_argument("unknown class")),
        }
    }

    fn submit(&mut self, _: Micros, request: JobRequest) -> Result<RequestId, Problem> {
        self.check(request.class, request.tenant, request.key.is_some())?;
        if self.is_full {
            return Err(Problem::try_later("too many invocations are open", 500));
        }
        let id = RequestId(self.submitted);
        self.submitted += 1;
        let accepted = AcceptedJob {
            job_id: request.job_id,
            key: request.key,
            tenant: request.tenant.map(str::to_owned),
            sent: None,
        };
        assert!(self
            .open_jobs
            .values()
            .all(|other| other.job_id != accepted.job_id));
        self.open_jobs.insert(id, accepted);
        Ok(id)
    }

    fn recall(&mut self, _: Micros, id: RequestId) -> bool {
        let unsent = self
            .open_jobs
            .get(&id)
            .is_some_and(|accepted| accepted.sent.is_none());
        unsent && self.open_jobs.remove(&id).is_some()
    }

    fn abandon(&mut self, _: Micros, id: RequestId) -> Option<Micros> {
        self.open_jobs.remove(&id)?.sent
    }

    fn count_duplicate(&mut self) {
        self.duplicates += 1;
    }

    fn queues(&self) -> Vec<Queue> {
        ["preview", "sheet"]
            .map(|name| Queue {
                name: name.to_owned(),
                ..Queue::default()
            })
            .into()
    }

    fn machines(&self, _: Micros) -> Vec<Machine> {
        let machine = |n: usize| Machine {
            name: format!("w{n}"),
            ..Machine::default()
        };
        (1..=self.extra_machines + 1).map(machine).collect()
    }
}

/// A server with its scheduler and the lines that its clients have received.
pub struct Harness {
    pub now: Micros,
    pub server: Server,
    pub scheduler: ScriptedScheduler,
    pub received: BTreeMap<ClientId, Vec<Value>>,
}

pub fn limits() -> Limits {
    Limits {
        max_jobs: 1000,
        max_bytes: 1 << 24,
        max_bulk: 500,
        max_sessions: 8,
        max_session_events: 64,
        retention: Micros(60_000_000),
        max_hold: Micros(100_000_000),
        session_idle_timeout: Micros(500_000_000),
    }
}

impl Harness {
    pub fn new(limits: Limits) -> Self {
        Self::with_prefix(limits, "n0-1")
    }

    pub fn with_prefix(limits: Limits, prefix: &str) -> Self {
        Harness {
            now: Micros(1_000_000_000),
            server: Server::new(limits, prefix.to_owned()),
            scheduler: ScriptedScheduler::default(),
            received: BTreeMap::new(),
        }
    }

    pub fn connect(&mut self, client: ClientId) {
        self.server.handle_connect(client);
        self.received.insert(client, Vec::new());
    }

    /// Passes a client's line to the server and runs one turn.
    pub fn send_line(&mut self, client: ClientId, line: Value) {
        let bytes = serde_json::to_vec(&line).unwrap();
        assert!(
            self.server.accepts_line(client),
            "the server does not accept a line of the client: {line}"
        );
        self.server
            .handle_line(self.now, client, &bytes, &mut self.scheduler);
        self.run_turn();
    }

    /// Sends a request and runs turns until its answer arrives, which is returned.
    pub fn send_request(&mut self, client: ClientId, mut line: Value) -> Value {
        line["seq"] = "ask".into();
        self.send_line(client, line);
        for _ in 0..10_000 {
            let lines = self.received.get_mut(&client).unwrap();
            if let Some(at) = lines.iter().position(|v| v["seq"] == "ask") {
                return lines.remove(at);
            }
            self.run_turn();
        }
        panic!("no answer: {:?}", self.received[&client]);
    }

    /// Runs one turn of the server and reads all output.
    pub fn run_turn(&mut self) {
        self.server.wake(self.now, &mut self.scheduler);
        self.server.answer_submissions(self.now);
        for client in self.server.take_readable_clients() {
            self.read_output(client);
        }
    }

    pub fn read_output(&mut self, client: ClientId) {
        while let Some(line) = self.server.next_line(client) {
            let value = serde_json::from_slice(&line).expect("a line is an object");
            self.received.entry(client).or_default().push(value);
        }
    }

    /// Advances the clock and wakes the server at each time that it asks for.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.server.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.run_turn();
        }
        self.now = end;
        self.run_turn();
    }

    /// Sends a job to a worker, which reports its start if `starts` is set.
    pub fn send_to_worker(&mut self, id: RequestId, starts: bool) {
        if let Some(accepted) = self.scheduler.open_jobs.get_mut(&id) {
            accepted.sent = Some(self.now);
            if starts {
                self.server.handle_started(self.now, id, Some("w1".into()));
            }
            self.run_turn();
        }
    }

    pub fn requeue(&mut self, id: RequestId) {
        self.server.handle_requeued(self.now, id);
        self.run_turn();
    }

    pub fn end_request(&mut self, id: RequestId, verdict: Verdict) {
        let Some(accepted) = self.scheduler.open_jobs.remove(&id) else {
            return;
        };
        // A rejected job has not run.
        let sent = accepted
            .sent
            .filter(|_| !matches!(verdict, Verdict::Rejected { .. }));
        assert!(self.server.handle_verdict(self.now, id, verdict, sent));
        self.run_turn();
    }

    /// The scheduler's id of a job.
    pub fn request_id(&self, job: &Value) -> RequestId {
        let found = self.scheduler.open_jobs.iter();
        let mut found = found.filter(|(_, accepted)| accepted.job_id == job.as_str().unwrap());
        *found.next().expect("the job is with the scheduler").0
    }

    pub fn submit_job(&mut self, client: ClientId, more: Value) -> Value {
        let mut line =
            json!({"op": "runJob", "template": {"remoteCommand": "/x", "jobCategory": "preview"}});
        for (name, value) in more.as_object().unwrap() {
            match line["template"].as_object_mut() {
                Some(template) if name != "session" && name != "notify" => {
                    template.insert(name.clone(), value.clone());
                }
                _ => line[name] = value.clone(),
            }
        }
        self.send_request(client, line)
    }

    pub fn job_state(&mut self, client: ClientId, job: &Value) -> String {
        let info = self.send_request(client, json!({"op": "getJobInfo", "jobId": job}));
        info["jobInfo"]["jobState"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }

    pub fn take_received(&mut self, client: ClientId) -> Vec<Value> {
        std::mem::take(self.received.get_mut(&client).unwrap())
    }
}

/// The verdict of a job with a result.
pub fn served() -> Verdict {
    Verdict::Served(b"made".to_vec())
}

/// A time span in seconds.
pub fn secs(s: u64) -> Micros {
    Micros(s * 1_000_000)
}

/// A text field of an answer; empty if it is missing.
pub fn text_field(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or("").to_owned()
}
