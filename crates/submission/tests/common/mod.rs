//! A server with a scripted desk, in virtual time.
#![allow(dead_code)]

pub mod transcript;

use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::message::{Machine, Problem, Queue};
use marbledeck_submission::server::Peer;
use marbledeck_submission::{ClassFacts, Desk, Limits, Order, Server, Verdict};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// How long the stand-in for the workers drops repeats of a key.
pub const WINDOW: Micros = Micros(40_000_000);

/// An order that the desk has taken.
#[derive(Clone, Debug)]
pub struct Taken {
    pub txn: String,
    pub key: Option<String>,
    pub tenant: Option<String>,
    /// When it was last sent to a worker.
    pub sent: Option<Micros>,
}

/// A desk whose decisions the test takes.
#[derive(Debug, Default)]
pub struct Script {
    pub open: BTreeMap<RequestId, Taken>,
    pub taken: u64,
    pub duplicates: u64,
    /// No order is taken, for so long.
    pub full: bool,
    /// How many machines there are besides one.
    pub machines: usize,
}

impl Desk for Script {
    fn class(&self, name: &str) -> Option<ClassFacts> {
        let window = match name {
            "preview" => Micros(0),
            "sheet" => WINDOW,
            _ => return None,
        };
        Some(ClassFacts {
            deadline: Micros(10_000_000),
            window,
            reruns: true,
        })
    }

    fn check(&self, class: &str, _: Option<&str>, keyed: bool) -> Result<(), Problem> {
        match class {
            "preview" => Ok(()),
            "sheet" if keyed => Ok(()),
            "sheet" => Err(Problem::invalid("this class needs a key")),
            _ => Err(Problem::invalid("unknown class")),
        }
    }

    fn take_in(&mut self, _: Micros, order: Order) -> Result<RequestId, Problem> {
        self.check(order.class, order.tenant, order.key.is_some())?;
        if self.full {
            return Err(Problem::later("too many invocations are open", 500));
        }
        let id = RequestId(self.taken);
        self.taken += 1;
        let taken = Taken {
            txn: order.txn,
            key: order.key,
            tenant: order.tenant.map(str::to_owned),
            sent: None,
        };
        assert!(self.open.values().all(|other| other.txn != taken.txn));
        self.open.insert(id, taken);
        Ok(id)
    }

    fn recall(&mut self, _: Micros, id: RequestId) -> bool {
        let unsent = self.open.get(&id).is_some_and(|taken| taken.sent.is_none());
        unsent && self.open.remove(&id).is_some()
    }

    fn gone(&mut self, _: Micros, id: RequestId) -> Option<Micros> {
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

/// A server, its desk, and what its submitters have read.
pub struct Bench {
    pub now: Micros,
    pub server: Server,
    pub desk: Script,
    pub read: BTreeMap<Peer, Vec<Value>>,
}

pub fn limits() -> Limits {
    Limits {
        max_jobs: 1000,
        max_bytes: 1 << 24,
        max_bulk: 500,
        max_sessions: 8,
        history: 64,
        retain: Micros(60_000_000),
        longest_hold: Micros(100_000_000),
        keep_session: Micros(500_000_000),
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
            desk: Script::default(),
            read: BTreeMap::new(),
        }
    }

    pub fn connect(&mut self, peer: Peer) {
        self.server.connect(peer);
        self.read.insert(peer, Vec::new());
    }

    /// Hands in a line and lets all that follows from it happen.
    pub fn say(&mut self, peer: Peer, line: Value) {
        let bytes = serde_json::to_vec(&line).unwrap();
        assert!(self.server.wants_line(peer), "not read from: {line}");
        self.server.line(self.now, peer, &bytes, &mut self.desk);
        self.turn();
    }

    /// The same, and the answer to it.
    pub fn ask(&mut self, peer: Peer, mut line: Value) -> Value {
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

    /// Everything that is due by now, and the reading of it.
    pub fn turn(&mut self) {
        self.server.wake(self.now, &mut self.desk);
        self.server.admitted(self.now);
        for peer in self.server.take_talkative() {
            self.read_all(peer);
        }
    }

    pub fn read_all(&mut self, peer: Peer) {
        while let Some(line) = self.server.pull(peer) {
            let value = serde_json::from_slice(&line).expect("a line is an object");
            self.read.entry(peer).or_default().push(value);
        }
    }

    /// Lets time pass, waking the server whenever it wants to be.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.server.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.turn();
        }
        self.now = end;
        self.turn();
    }

    /// A worker is sent an order, and perhaps runs it.
    pub fn send(&mut self, id: RequestId, runs: bool) {
        if let Some(taken) = self.desk.open.get_mut(&id) {
            taken.sent = Some(self.now);
            if runs {
                self.server.running(self.now, id, Some("w1".into()));
            }
            self.turn();
        }
    }

    pub fn requeue(&mut self, id: RequestId) {
        self.server.requeued(self.now, id);
        self.turn();
    }

    pub fn answer(&mut self, id: RequestId, verdict: Verdict) {
        let Some(taken) = self.desk.open.remove(&id) else {
            return;
        };
        // What was refused has not run.
        let sent = taken
            .sent
            .filter(|_| !matches!(verdict, Verdict::Rejected(_)));
        assert!(self.server.answer(self.now, id, verdict, sent));
        self.turn();
    }

    /// The open order of a job.
    pub fn order(&self, job: &Value) -> RequestId {
        let found = self.desk.open.iter();
        let mut found = found.filter(|(_, taken)| taken.txn == job.as_str().unwrap());
        *found.next().expect("with the decisions").0
    }

    pub fn run(&mut self, peer: Peer, more: Value) -> Value {
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

    pub fn state(&mut self, peer: Peer, job: &Value) -> String {
        let info = self.ask(peer, json!({"op": "getJobInfo", "jobId": job}));
        info["jobInfo"]["jobState"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }

    pub fn take(&mut self, peer: Peer) -> Vec<Value> {
        std::mem::take(self.read.get_mut(&peer).unwrap())
    }
}
