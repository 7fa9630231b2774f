//! A server with a scripted scheduler, in virtual time.
#![allow(dead_code, reason = "each test program uses a part of this module")]

pub mod transcript;

use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::message::{Machine, Problem, Queue};
use marbledeck_submission::server::ClientId;
use marbledeck_submission::{ClassProperties, JobRequest, Limits, Scheduler, Server, Verdict};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// How long the simulated workers drop repeats of a key.
pub const WINDOW: Micros = Micros(40_000_000);

/// A job that the scheduler has accepted.
#[derive(Clone, Debug)]
pub struct AcceptedJob {
    pub job_id: String,
    pub key: Option<String>,
    pub tenant: Option<String>,
    /// When it was last sent to a worker.
    pub sent: Option<Micros>,
}

/// A scheduler whose decisions the test makes.
#[derive(Debug, Default)]
pub struct Script {
    pub open: BTreeMap<RequestId, AcceptedJob>,
    pub submitted: u64,
    pub duplicates: u64,
    /// Every job is rejected while this is set.
    pub full: bool,
    /// How many machines there are besides one.
    pub machines: usize,
}

impl Scheduler for Script {
    fn class_properties(&self, name: &str) -> Option<ClassProperties> {
        let window = match name {
            "preview" => Micros(0),
            "sheet" => WINDOW,
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
        if self.full {
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
            .open
            .values()
            .all(|other| other.job_id != accepted.job_id));
        self.open.insert(id, accepted);
        Ok(id)
    }

    fn recall(&mut self, _: Micros, id: RequestId) -> bool {
        let unsent = self
            .open
            .get(&id)
            .is_some_and(|accepted| accepted.sent.is_none());
        unsent && self.open.remove(&id).is_some()
    }

    fn abandon(&mut self, _: Micros, id: RequestId) -> Option<Micros> {
        self.open.remove(&id)?.sent
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
        (1..=self.machines + 1).map(machine).collect()
    }
}

/// A server, its scheduler, and what its clients have read.
pub struct Bench {
    pub now: Micros,
    pub server: Server,
    pub scheduler: Script,
    pub read: BTreeMap<ClientId, Vec<Value>>,
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

impl Bench {
    pub fn new(limits: Limits) -> Self {
        Self::named(limits, "n0-1")
    }

    pub fn named(limits: Limits, prefix: &str) -> Self {
        Bench {
            now: Micros(1_000_000_000),
            server: Server::new(limits, prefix.to_owned()),
            scheduler: Script::default(),
            read: BTreeMap::new(),
        }
    }

    pub fn connect(&mut self, peer: ClientId) {
        self.server.handle_connect(peer);
        self.read.insert(peer, Vec::new());
    }

    /// Passes in a line and lets everything happen that follows from it.
    pub fn say(&mut self, peer: ClientId, line: Value) {
        let bytes = serde_json::to_vec(&line).unwrap();
        assert!(self.server.accepts_line(peer), "not read from: {line}");
        self.server
            .handle_line(self.now, peer, &bytes, &mut self.scheduler);
        self.turn();
    }

    /// Passes in a request and returns its answer.
    pub fn ask(&mut self, peer: ClientId, mut line: Value) -> Value {
        line["seq"] = "ask".into();
        self.say(peer, line);
        for _ in 0..10_000 {
            let read = self.read.get_mut(&peer).unwrap();
            if let Some(at) = read.iter().position(|v| v["seq"] == "ask") {
                return read.remove(at);
            }
            self.turn();
        }
        panic!("no answer: {:?}", self.read[&peer]);
    }

    /// Does everything that is due and reads all output.
    pub fn turn(&mut self) {
        self.server.wake(self.now, &mut self.scheduler);
        self.server.answer_submissions(self.now);
        for peer in self.server.take_readable_clients() {
            self.read_all(peer);
        }
    }

    pub fn read_all(&mut self, peer: ClientId) {
        while let Some(line) = self.server.next_line(peer) {
            let value = serde_json::from_slice(&line).expect("a line is an object");
            self.read.entry(peer).or_default().push(value);
        }
    }

    /// Lets time pass and wakes the server whenever it asks for it.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.server.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.turn();
        }
        self.now = end;
        self.turn();
    }

    /// A worker is sent a job, and perhaps runs it.
    pub fn send(&mut self, id: RequestId, runs: bool) {
        if let Some(accepted) = self.scheduler.open.get_mut(&id) {
            accepted.sent = Some(self.now);
            if runs {
                self.server.handle_started(self.now, id, Some("w1".into()));
            }
            self.turn();
        }
    }

    pub fn requeue(&mut self, id: RequestId) {
        self.server.handle_requeued(self.now, id);
        self.turn();
    }

    pub fn answer(&mut self, id: RequestId, verdict: Verdict) {
        let Some(accepted) = self.scheduler.open.remove(&id) else {
            return;
        };
        // What was refused has not run.
        let sent = accepted
            .sent
            .filter(|_| !matches!(verdict, Verdict::Rejected { .. }));
        assert!(self.server.handle_verdict(self.now, id, verdict, sent));
        self.turn();
    }

    /// The request as which a job is with the scheduler.
    pub fn request(&self, job: &Value) -> RequestId {
        let found = self.scheduler.open.iter();
        let mut found = found.filter(|(_, accepted)| accepted.job_id == job.as_str().unwrap());
        *found.next().expect("with the scheduler").0
    }

    pub fn run(&mut self, peer: ClientId, more: Value) -> Value {
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
        self.ask(peer, line)
    }

    pub fn state(&mut self, peer: ClientId, job: &Value) -> String {
        let info = self.ask(peer, json!({"op": "getJobInfo", "jobId": job}));
        info["jobInfo"]["jobState"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }

    pub fn take(&mut self, peer: ClientId) -> Vec<Value> {
        std::mem::take(self.read.get_mut(&peer).unwrap())
    }
}

/// A result.
pub fn served() -> Verdict {
    Verdict::Served(b"made".to_vec())
}

/// A time span in seconds.
pub fn secs(s: u64) -> Micros {
    Micros(s * 1_000_000)
}

/// A field of an answer that is text.
pub fn text_of(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or("").to_owned()
}
