//! Random histories of clients, workers, time and upgrades, compared with a small model of the jobs' states.

mod common;

use common::{limits, Bench, WINDOW};
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::{Change, JobState, Partner, Verdict};
use proptest::prelude::*;
use serde_json::{json, Value};
use std::collections::HashMap;

/// The limits of the server, for the model.
const RETENTION: Micros = Micros(60_000_000);
const MAX_HOLD: Micros = Micros(100_000_000);
/// Processes of one history.
const MAX_PROCESSES: usize = 3;

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

/// A job in the model.
struct KnownJob {
    id: Value,
    key: Option<u8>,
    state: JobState,
    /// When it was last held.
    held_since: Micros,
    sent: Option<Micros>,
    /// It may have run, and was not rejected.
    ran: bool,
    ended: Option<Micros>,
    /// A resubmission with its key is a new job.
    released_key: bool,
    reaped: bool,
    /// The process that last passed it to its scheduler.
    process: usize,
}

impl KnownJob {
    fn expiry(&self) -> Option<Micros> {
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
            ended + RETENTION
        };
        Some(dedup.map_or(kept, |until| until.max(kept)))
    }

    fn is_known(&self, now: Micros) -> bool {
        self.expiry().is_none_or(|until| now < until)
    }

    fn is_shown(&self, now: Micros) -> bool {
        !self.reaped && self.is_known(now)
    }

    fn has_key(&self, now: Micros) -> bool {
        self.is_known(now) && !self.released_key
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
            self.released_key = self.state == JobState::Failed && !self.ran;
        }
        changed
    }
}

/// A job that is with the scheduler of a process.
struct ScheduledJob {
    /// Its number in the model.
    number: usize,
    process: usize,
    request: RequestId,
}

struct World {
    /// The processes; the last one serves.
    benches: Vec<Bench>,
    known: Vec<KnownJob>,
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

    /// Exchanges the processes' messages and checks the events: legal transitions, numbered without a gap.
    fn settle(&mut self) {
        loop {
            let mut more = false;
            for at in 1..self.benches.len() {
                let (older, newer) = self.benches.split_at_mut(at);
                let (old, new) = (&mut older[at - 1], &mut newer[0]);
                while let Some(message) = old.server.next_transfer(Partner::Successor) {
                    new.server.handle_transfer(
                        new.now,
                        Partner::Predecessor,
                        message,
                        &mut new.scheduler,
                    );
                    more = true;
                }
                while let Some(message) = new.server.next_transfer(Partner::Predecessor) {
                    old.server.handle_transfer(
                        old.now,
                        Partner::Successor,
                        message,
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

    fn control(&mut self, operation: &str, at: usize) -> Value {
        let (peer, id) = (self.peer, self.known[at].id.clone());
        self.serving()
            .ask(peer, json!({"op": operation, "jobId": id}))
    }

    /// Plays a step and compares the server with the model.
    fn play(&mut self, step: Step) {
        let now = self.now();
        let count = self.known.len();
        let pick = |number: usize| (count > 0).then(|| number % count);
        match step {
            Step::Run { key, held } => self.submit(now, key, held),
            Step::Hold(number) => self.play_control(now, pick(number), Self::hold),
            Step::Release(number) => self.play_control(now, pick(number), Self::release),
            Step::Terminate(number) => self.play_control(now, pick(number), Self::terminate),
            Step::Reap(number) => self.play_control(now, pick(number), Self::reap),
            Step::Send(number, runs) => {
                if let Some(job) = pick(number).and_then(|number| self.scheduled(number)) {
                    self.send(now, job, runs);
                }
            }
            Step::Return(number) => {
                if let Some(job) = pick(number).and_then(|number| self.scheduled(number)) {
                    self.known[job.number].change(Change::Return);
                    self.benches[job.process].requeue(job.request);
                }
            }
            Step::Answer(number, how) => {
                if let Some(job) = pick(number).and_then(|number| self.scheduled(number)) {
                    self.answer(now, job, how);
                }
            }
            Step::Pass(seconds) => self.pass(seconds),
            Step::Reconnect => self.reconnect(),
            Step::Upgrade if self.benches.len() >= MAX_PROCESSES => return,
            Step::Upgrade => self.upgrade(),
        }
        self.settle();
        self.compare();
    }

    fn play_control(
        &mut self,
        now: Micros,
        number: Option<usize>,
        control: fn(&mut Self, Micros, usize),
    ) {
        if let Some(number) = number {
            control(self, now, number);
        }
    }

    /// Submits a job, which joins the first one with its key.
    fn submit(&mut self, now: Micros, key: Option<u8>, held: bool) {
        let mut template =
            json!({"remoteCommand": "/x", "jobCategory": "preview", "submitAsHold": held});
        if let Some(key) = key {
            template["jobCategory"] = "sheet".into();
            template["submissionKey"] = key.to_string().into();
            // Whether it is held is a part of the template, which must not differ for a key.
            template["submitAsHold"] = (key % 2 == 0).into();
        }
        let held = key.map_or(held, |key| key % 2 == 0);
        let peer = self.peer;
        let line = json!({"op": "runJob", "session": "s", "template": template});
        let answer = self.serving().ask(peer, line);
        let joins = key.and_then(|_| {
            let first = |k: &KnownJob| k.key == key && k.has_key(now);
            self.known.iter().position(first)
        });
        match joins {
            Some(first) => {
                assert_eq!(answer["duplicate"], true, "{answer}");
                assert_eq!(answer["jobId"], self.known[first].id);
            }
            None => {
                assert_eq!(answer["duplicate"], false, "{answer}");
                let process = self.benches.len() - 1;
                self.known.push(KnownJob {
                    id: answer["jobId"].clone(),
                    key,
                    state: if held {
                        JobState::QueuedHeld
                    } else {
                        JobState::Queued
                    },
                    held_since: now,
                    sent: None,
                    ran: false,
                    ended: None,
                    released_key: false,
                    reaped: false,
                    process,
                });
            }
        }
    }

    /// Holds a job.
    fn hold(&mut self, now: Micros, number: usize) {
        let answer = self.control("hold", number);
        let serving = self.benches.len() - 1;
        let known = &mut self.known[number];
        // A job that another process has passed to its scheduler cannot be recalled.
        let may = known.is_shown(now) && known.sent.is_none() && known.process == serving;
        let held = may && known.change(Change::Hold);
        if held {
            known.held_since = now;
        }
        assert_eq!(answer["error"].is_null(), held, "{answer}");
    }

    /// Releases a job.
    fn release(&mut self, now: Micros, number: usize) {
        let answer = self.control("release", number);
        let serving = self.benches.len() - 1;
        let known = &mut self.known[number];
        let released = known.is_shown(now) && known.change(Change::Release);
        assert_eq!(answer["error"].is_null(), released, "{answer}");
        if released {
            known.process = serving;
        }
    }

    /// Terminates a job.
    fn terminate(&mut self, now: Micros, number: usize) {
        let answer = self.control("terminate", number);
        let serving = self.benches.len() - 1;
        let known = &mut self.known[number];
        let open = !known.state.is_final() && known.is_shown(now);
        // Whether another process has sent the job is not known here.
        if open && known.process != serving && known.state != JobState::QueuedHeld {
            known.sent = Some(now);
        }
        let ended = open && known.end(now, Change::Terminate, true);
        assert_eq!(answer["error"].is_null(), ended, "{answer}");
    }

    /// Reaps a job.
    fn reap(&mut self, now: Micros, number: usize) {
        let answer = self.control("reap", number);
        let known = &mut self.known[number];
        let reaped = known.is_shown(now) && known.state.is_final();
        assert_eq!(answer["error"].is_null(), reaped, "{answer}");
        known.reaped |= reaped;
    }

    /// A worker is sent a job, and perhaps runs it.
    fn send(&mut self, now: Micros, job: ScheduledJob, runs: bool) {
        // A job that may have run excludes other runs with its key while workers would drop the repeat.
        let key = self.known[job.number].key;
        let others = self
            .known
            .iter()
            .enumerate()
            .filter(|(i, k)| *i != job.number && k.key == key);
        for (_, other) in others.filter(|_| key.is_some()) {
            let may_have = other.sent.filter(|_| other.ran || other.ended.is_none());
            assert!(
                may_have.is_none_or(|sent| sent + WINDOW <= now),
                "run twice"
            );
        }
        let known = &mut self.known[job.number];
        known.sent = Some(now);
        if runs {
            known.change(Change::Start);
        }
        self.benches[job.process].send(job.request, runs);
    }

    /// The scheduler ends a job.
    fn answer(&mut self, now: Micros, job: ScheduledJob, how: u8) {
        let known = &mut self.known[job.number];
        let (change, verdict) = match how {
            0 if known.sent.is_some() => (Change::Serve, Verdict::Served(b"r".to_vec())),
            1 => (Change::Fail, Verdict::Failed),
            _ => (Change::Fail, Verdict::Rejected { retry_after: None }),
        };
        let ran = !matches!(verdict, Verdict::Rejected { .. });
        assert!(known.end(now, change, ran));
        self.benches[job.process].answer(job.request, verdict);
    }

    /// Lets time pass.
    fn pass(&mut self, seconds: u64) {
        let span = Micros(seconds * 1_000_000);
        self.benches.iter_mut().for_each(|bench| bench.pass(span));
        let now = self.now();
        for known in &mut self.known {
            let over = known.held_since + MAX_HOLD;
            if known.state == JobState::QueuedHeld && over <= now {
                known.end(over, Change::Fail, false);
            }
        }
    }

    /// The client reconnects and reads on from the last event that it has seen.
    fn reconnect(&mut self) {
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

    /// Another process replaces the serving one.
    fn upgrade(&mut self) {
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
        held.for_each(|known| known.process = serving);
    }

    /// Where a job is with the scheduler of some process.
    fn scheduled(&self, number: usize) -> Option<ScheduledJob> {
        let id = self.known[number].id.as_str().unwrap();
        let request = |bench: &Bench| {
            let mut open = bench.scheduler.open.iter();
            open.find(|(_, accepted)| accepted.job_id == id)
                .map(|(request, _)| *request)
        };
        let mut processes = self.benches.iter().enumerate();
        processes.find_map(|(process, bench)| {
            Some(ScheduledJob {
                number,
                process,
                request: request(bench)?,
            })
        })
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
            let out = self.scheduled(at).is_some();
            let queued = !state.is_final() && state != JobState::QueuedHeld;
            assert_eq!(
                out, queued,
                "{state}: with the scheduler exactly while it may run"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, max_shrink_iters: 2000, ..ProptestConfig::default() })]

    #[test]
    fn random_histories_agree_with_the_model(steps in proptest::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in steps {
            world.play(step);
        }
    }

    /// Every line gets one answer, and the server goes on.
    #[test]
    fn every_mutated_line_gets_one_answer(which in 0..12usize, cuts in proptest::collection::vec((0..400usize, any::<u8>()), 0..6)) {
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
