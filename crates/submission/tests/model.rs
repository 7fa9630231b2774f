//! Random histories of submitters, workers, time and upgrades against a small model of what each job's state must be.

mod common;

use common::{limits, Bench, WINDOW};
use marbledeck_dispatcher::Micros;
use marbledeck_submission::{Change, JobState, Partner, Verdict};
use proptest::prelude::*;
use serde_json::{json, Value};
use std::collections::HashMap;

const RETAIN: Micros = Micros(60_000_000);
const HOLD: Micros = Micros(100_000_000);

#[derive(Clone, Debug)]
enum Step {
    Run { key: Option<u8>, held: bool },
    Hold(usize),
    Release(usize),
    Terminate(usize),
    Reap(usize),
    Send(usize, bool),
    Return(usize),
    Answer(usize, u8),
    Pass(u64),
    Reconnect,
    Upgrade,
}

fn step() -> impl Strategy<Value = Step> {
    let job = 0..24usize;
    prop_oneof![
        4 => (proptest::option::of(0..4u8), any::<bool>()).prop_map(|(key, held)| Step::Run { key, held }),
        2 => job.clone().prop_map(Step::Hold),
        2 => job.clone().prop_map(Step::Release),
        1 => job.clone().prop_map(Step::Terminate),
        1 => job.clone().prop_map(Step::Reap),
        4 => (job.clone(), any::<bool>()).prop_map(|(job, runs)| Step::Send(job, runs)),
        1 => job.clone().prop_map(Step::Return),
        4 => (job, 0..3u8).prop_map(|(job, how)| Step::Answer(job, how)),
        2 => (1..45u64).prop_map(Step::Pass),
        1 => Just(Step::Reconnect),
        1 => Just(Step::Upgrade),
    ]
}

/// What the model knows of a job.
struct Known {
    id: Value,
    key: Option<u8>,
    state: JobState,
    /// When it was last held.
    since: Micros,
    sent: Option<Micros>,
    /// It may have run, and was not refused.
    ran: bool,
    ended: Option<Micros>,
    /// Its key names it no longer.
    freed: bool,
    reaped: bool,
    /// With which process it was last handed on.
    at: usize,
}

impl Known {
    fn key_until(&self) -> Option<Micros> {
        let ended = self.ended?;
        let window = if self.key.is_some() {
            WINDOW
        } else {
            Micros(0)
        };
        let dedup = self.sent.filter(|_| self.ran).map(|sent| sent + window);
        let kept = if self.reaped {
            Micros(0)
        } else {
            ended + RETAIN
        };
        Some(dedup.map_or(kept, |until| until.max(kept)))
    }

    fn is_known(&self, now: Micros) -> bool {
        self.key_until().is_none_or(|until| now < until)
    }

    fn is_shown(&self, now: Micros) -> bool {
        !self.reaped && self.is_known(now)
    }

    fn has_key(&self, now: Micros) -> bool {
        self.is_known(now) && !self.freed
    }

    fn change(&mut self, change: Change) -> bool {
        match self.state.after(change) {
            Some(next) => {
                self.state = next;
                true
            }
            None => false,
        }
    }

    fn end(&mut self, now: Micros, change: Change, ran: bool) -> bool {
        let changed = self.change(change);
        if changed {
            self.ended = Some(now);
            self.ran = ran && self.sent.is_some();
            self.freed = self.state == JobState::Failed && !self.ran;
        }
        changed
    }
}

struct World {
    /// The processes; the last one serves.
    benches: Vec<Bench>,
    known: Vec<Known>,
    peer: u64,
    /// The last event that was read.
    seen: u64,
    states: HashMap<String, JobState>,
}

impl World {
    fn new() -> Self {
        let mut world = World {
            benches: vec![Bench::named(limits(), "n0-0")],
            known: Vec::new(),
            peer: 1,
            seen: 0,
            states: HashMap::new(),
        };
        world.serving().connect(1);
        world
            .serving()
            .ask(1, json!({"op": "createSession", "name": "s"}));
        world
    }

    fn serving(&mut self) -> &mut Bench {
        self.benches.last_mut().unwrap()
    }

    fn now(&self) -> Micros {
        self.benches[0].now
    }

    /// Lets the processes hear of each other, and reads the events: each a legal step from the one before, numbered
    /// without a gap.
    fn settle(&mut self) {
        loop {
            let mut more = false;
            for at in 1..self.benches.len() {
                let (older, newer) = self.benches.split_at_mut(at);
                let (old, new) = (&mut older[at - 1], &mut newer[0]);
                while let Some(told) = old.server.next_transfer(Partner::Successor) {
                    new.server.handle_transfer(
                        new.now,
                        Partner::Predecessor,
                        told,
                        &mut new.scheduler,
                    );
                    more = true;
                }
                while let Some(told) = new.server.next_transfer(Partner::Predecessor) {
                    old.server.handle_transfer(
                        old.now,
                        Partner::Successor,
                        told,
                        &mut old.scheduler,
                    );
                    more = true;
                }
            }
            self.benches
                .iter_mut()
                .for_each(|bench| bench.pass(Micros(0)));
            if !more {
                break;
            }
        }
        let peer = self.peer;
        for line in self.serving().take(peer) {
            assert_eq!(line["event"], "NEW_STATE", "{line}");
            let number = line["number"].as_u64().unwrap();
            assert_eq!(number, self.seen + 1, "a gap in the events");
            self.seen = number;
            let job = line["jobId"].as_str().unwrap().to_owned();
            let state: JobState = serde_json::from_value(line["jobState"].clone()).unwrap();
            if let Some(before) = self.states.insert(job, state) {
                assert!(!before.is_final(), "{before} was left");
                let legal = Change::ALL.iter().any(|c| before.after(*c) == Some(state));
                assert!(legal, "{before} to {state}");
            }
        }
    }

    fn act(&mut self, op: &str, at: usize) -> Value {
        let (peer, id) = (self.peer, self.known[at].id.clone());
        self.serving().ask(peer, json!({"op": op, "jobId": id}))
    }

    fn take(&mut self, step: Step) {
        let now = self.now();
        let count = self.known.len();
        let pick = |at: usize| (count > 0).then(|| at % count);
        match step {
            Step::Run { key, held } => {
                let mut template =
                    json!({"remoteCommand": "/x", "jobCategory": "preview", "submitAsHold": held});
                if let Some(key) = key {
                    template["jobCategory"] = "sheet".into();
                    template["submissionKey"] = key.to_string().into();
                    // Whether it is held is part of what is asked for.
                    template["submitAsHold"] = (key % 2 == 0).into();
                }
                let held = key.map_or(held, |key| key % 2 == 0);
                let peer = self.peer;
                let line = json!({"op": "runJob", "session": "s", "template": template});
                let answer = self.serving().ask(peer, line);
                let joins = key.and_then(|_| {
                    let first = |k: &Known| k.key == key && k.has_key(now);
                    self.known.iter().position(first)
                });
                match joins {
                    Some(first) => {
                        assert_eq!(answer["duplicate"], true, "{answer}");
                        assert_eq!(answer["jobId"], self.known[first].id);
                    }
                    None => {
                        assert_eq!(answer["duplicate"], false, "{answer}");
                        let at = self.benches.len() - 1;
                        self.known.push(Known {
                            id: answer["jobId"].clone(),
                            key,
                            state: if held {
                                JobState::QueuedHeld
                            } else {
                                JobState::Queued
                            },
                            since: now,
                            sent: None,
                            ran: false,
                            ended: None,
                            freed: false,
                            reaped: false,
                            at,
                        });
                    }
                }
            }
            Step::Hold(at) => {
                if let Some(at) = pick(at) {
                    let answer = self.act("hold", at);
                    let serving = self.benches.len() - 1;
                    let known = &mut self.known[at];
                    // What another process has handed on is not taken back.
                    let may = known.is_shown(now) && known.sent.is_none() && known.at == serving;
                    let held = may && known.change(Change::Hold);
                    if held {
                        known.since = now;
                    }
                    assert_eq!(answer["error"].is_null(), held, "{answer}");
                }
            }
            Step::Release(at) => {
                if let Some(at) = pick(at) {
                    let answer = self.act("release", at);
                    let serving = self.benches.len() - 1;
                    let known = &mut self.known[at];
                    let released = known.is_shown(now) && known.change(Change::Release);
                    assert_eq!(answer["error"].is_null(), released, "{answer}");
                    if released {
                        known.at = serving;
                    }
                }
            }
            Step::Terminate(at) => {
                if let Some(at) = pick(at) {
                    let answer = self.act("terminate", at);
                    let serving = self.benches.len() - 1;
                    let known = &mut self.known[at];
                    let open = !known.state.is_final() && known.is_shown(now);
                    // Of what another process has, this one cannot tell that it was not sent.
                    if open && known.at != serving && known.state != JobState::QueuedHeld {
                        known.sent = Some(now);
                    }
                    let ended = open && known.end(now, Change::Terminate, true);
                    assert_eq!(answer["error"].is_null(), ended, "{answer}");
                }
            }
            Step::Reap(at) => {
                if let Some(at) = pick(at) {
                    let answer = self.act("reap", at);
                    let known = &mut self.known[at];
                    let reaped = known.is_shown(now) && known.state.is_final();
                    assert_eq!(answer["error"].is_null(), reaped, "{answer}");
                    known.reaped |= reaped;
                }
            }
            Step::Send(at, runs) => {
                if let Some((at, bench, id)) = pick(at).and_then(|at| self.out(at)) {
                    // No run past the allowance: what may have run for a key runs for no other job of that key while
                    // workers would drop the repeat.
                    let key = self.known[at].key;
                    let others = self
                        .known
                        .iter()
                        .enumerate()
                        .filter(|(i, k)| *i != at && k.key == key);
                    for (_, other) in others.filter(|_| key.is_some()) {
                        let may_have = other.sent.filter(|_| other.ran || other.ended.is_none());
                        assert!(
                            may_have.is_none_or(|sent| sent + WINDOW <= now),
                            "run twice"
                        );
                    }
                    let known = &mut self.known[at];
                    known.sent = Some(now);
                    if runs {
                        known.change(Change::Start);
                    }
                    self.benches[bench].send(id, runs);
                }
            }
            Step::Return(at) => {
                if let Some((at, bench, id)) = pick(at).and_then(|at| self.out(at)) {
                    self.known[at].change(Change::Return);
                    self.benches[bench].requeue(id);
                }
            }
            Step::Answer(at, how) => {
                if let Some((at, bench, id)) = pick(at).and_then(|at| self.out(at)) {
                    let known = &mut self.known[at];
                    let (change, verdict) = match how {
                        0 if known.sent.is_some() => {
                            (Change::Serve, Verdict::Served(b"r".to_vec()))
                        }
                        1 => (Change::Fail, Verdict::Failed),
                        _ => (Change::Fail, Verdict::Rejected { retry_after: None }),
                    };
                    let ran = !matches!(verdict, Verdict::Rejected { .. });
                    assert!(known.end(now, change, ran));
                    self.benches[bench].answer(id, verdict);
                }
            }
            Step::Pass(secs) => {
                let span = Micros(secs * 1_000_000);
                self.benches.iter_mut().for_each(|bench| bench.pass(span));
                let now = self.now();
                for known in &mut self.known {
                    let over = known.since + HOLD;
                    if known.state == JobState::QueuedHeld && over <= now {
                        known.end(over, Change::Fail, false);
                    }
                }
            }
            Step::Reconnect => {
                let (old, since) = (self.peer, self.seen);
                self.peer += 1;
                let (new, now) = (self.peer, self.now());
                let bench = self.serving();
                bench.server.handle_disconnect(now, old);
                bench.connect(new);
                bench.ask(
                    new,
                    json!({"op": "openSession", "name": "s", "since": since}),
                );
            }
            Step::Upgrade => {
                if self.benches.len() >= 3 {
                    return;
                }
                let (peer, now) = (self.peer, self.now());
                let old = self.serving();
                old.server.begin_handover();
                old.server.handle_disconnect(now, peer);
                let mut new = Bench::named(limits(), &format!("n0-{}", self.benches.len()));
                new.now = now;
                new.server.expect_predecessor(now);
                self.peer += 1;
                new.connect(self.peer);
                self.benches.push(new);
                self.settle();
                let (peer, since) = (self.peer, self.seen);
                let line = json!({"op": "openSession", "name": "s", "since": since});
                self.serving().ask(peer, line);
                let serving = self.benches.len() - 1;
                let held = self
                    .known
                    .iter_mut()
                    .filter(|k| k.state == JobState::QueuedHeld);
                held.for_each(|known| known.at = serving);
            }
        }
        self.settle();
        self.compare();
    }

    /// The order of a job that is with the decisions of some process.
    fn out(&self, at: usize) -> Option<(usize, usize, marbledeck_dispatcher::RequestId)> {
        let id = self.known[at].id.as_str().unwrap();
        let of = |bench: &Bench| {
            let mut open = bench.scheduler.open.iter();
            open.find(|(_, taken)| taken.job_id == id)
                .map(|(id, _)| *id)
        };
        let mut found = self.benches.iter().enumerate();
        found.find_map(|(bench, b)| Some((at, bench, of(b)?)))
    }

    fn compare(&mut self) {
        let (now, peer) = (self.now(), self.peer);
        for at in 0..self.known.len() {
            let id = self.known[at].id.clone();
            let info = self
                .serving()
                .ask(peer, json!({"op": "getJobInfo", "jobId": id}));
            let known = &self.known[at];
            if !known.is_shown(now) {
                assert_eq!(info["error"], "INVALID_ARGUMENT", "{info}");
                continue;
            }
            let state: JobState = serde_json::from_value(info["jobInfo"]["jobState"].clone())
                .unwrap_or_else(|_| panic!("{info}"));
            assert_eq!(state, known.state, "{info}");
            let out = self.out(at).is_some();
            let queued = !state.is_final() && state != JobState::QueuedHeld;
            assert_eq!(
                out, queued,
                "{state}: with the decisions exactly while it may run"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, max_shrink_iters: 2000, ..ProptestConfig::default() })]

    #[test]
    fn histories(steps in proptest::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in steps {
            world.take(step);
        }
    }

    /// Whatever a submitter sends, it gets one answer a line, and the server goes on.
    #[test]
    fn mutated_lines(which in 0..12usize, cuts in proptest::collection::vec((0..400usize, any::<u8>()), 0..6)) {
        let lines = [
            r#"{"op":"runJob","seq":1,"template":{"remoteCommand":"/x","jobCategory":"preview","minSlots":1.5,"args":["a"]}}"#,
            r#"{"op":"runBulkJobs","seq":1,"beginIndex":-2,"endIndex":9,"step":3,"maxParallel":2,"template":{"remoteCommand":"/x","jobCategory":"preview"}}"#,
            r#"{"op":"getJobInfo","seq":1,"jobId":"n0-1-0"}"#,
            r#"{"op":"waitAnyTerminated","seq":1,"jobIds":["n0-1-0"],"timeoutMs":10}"#,
            r#"{"op":"terminate","seq":1,"jobArrayId":"n0-1-0"}"#,
            r#"{"op":"hold","seq":1,"session":"s"}"#,
            r#"{"op":"listJobs","seq":1,"session":"s","filter":{"jobStates":["QUEUED"]},"limit":3,"after":"n0-1-0"}"#,
            r#"{"op":"createSession","seq":1,"name":"s"}"#,
            r#"{"op":"openSession","seq":1,"name":"s","since":1}"#,
            r#"{"op":"getAllMachines","seq":1,"names":["w1"]}"#,
            r#"{"op":"getCapabilities","seq":{"a":[1,2]}}"#,
            r#"{"op":"reap","seq":1,"jobId":"n0-1-0"}"#,
        ];
        let mut bench = Bench::new(limits());
        bench.connect(1);
        let mut bytes = lines[which].as_bytes().to_vec();
        for (at, byte) in cuts {
            let at = at % bytes.len();
            match byte % 3 {
                0 => bytes[at] = byte,
                1 => drop(bytes.remove(at)),
                _ => bytes.truncate(at.max(1)),
            }
            if bytes.is_empty() {
                bytes.push(b'{');
            }
        }
        bench.server.handle_line(bench.now, 1, &bytes, &mut bench.scheduler);
        bench.pass(Micros(50_000));
        let answers = bench.take(1);
        prop_assert_eq!(answers.iter().filter(|v| v["event"].is_null()).count(), 1, "{:?}", answers);
        let after = bench.run(1, json!({}));
        prop_assert!(after["jobId"].is_string(), "{}", after);
    }
}
