//! Property tests: random sequences of client, worker and time events and upgrades are compared with a small model of
//! the jobs' states.

mod common;

use common::{limits, Harness, DEDUP_WINDOW};
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::{Change, JobState, Partner, Verdict};
use proptest::prelude::*;
use serde_json::{json, Value};
use std::collections::HashMap;

/// The server's retention and maximum hold, as used by the model.
const RETENTION: Micros = Micros(60_000_000);
const MAX_HOLD: Micros = Micros(100_000_000);
/// The maximum number of processes in one sequence.
const MAX_PROCESSES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Submit { key: Option<u8>, held: bool },
    Hold(usize),
    Release(usize),
    Terminate(usize),
    Reap(usize),
    SendToWorker(usize, bool),
    Requeue(usize),
    EndRequest(usize, u8),
    Advance(u64),
    Reconnect,
    Upgrade,
}

fn step() -> impl Strategy<Value = Step> {
    let job = 0..24usize;
    prop_oneof![
        4 => (proptest::option::of(0..4u8), any::<bool>()).prop_map(|(key, held)| Step::Submit { key, held }),
        2 => job.clone().prop_map(Step::Hold),
        2 => job.clone().prop_map(Step::Release),
        1 => job.clone().prop_map(Step::Terminate),
        1 => job.clone().prop_map(Step::Reap),
        4 => (job.clone(), any::<bool>()).prop_map(|(job, starts)| Step::SendToWorker(job, starts)),
        1 => job.clone().prop_map(Step::Requeue),
        4 => (job, 0..3u8).prop_map(|(job, outcome)| Step::EndRequest(job, outcome)),
        2 => (1..45u64).prop_map(Step::Advance),
        1 => Just(Step::Reconnect),
        1 => Just(Step::Upgrade),
    ]
}

/// A job in the model.
struct ModelJob {
    id: Value,
    key: Option<u8>,
    state: JobState,
    /// When it was last held.
    held_since: Micros,
    sent: Option<Micros>,
    /// Whether it may have run and was not rejected.
    may_have_run: bool,
    ended: Option<Micros>,
    /// Whether it no longer uses its key, so that a resubmission is a new job.
    released_key: bool,
    reaped: bool,
    /// The process that last passed it to its scheduler.
    process: usize,
}

impl ModelJob {
    fn expiry(&self) -> Option<Micros> {
        let ended = self.ended?;
        let window = if self.key.is_some() {
            DEDUP_WINDOW
        } else {
            Micros(0)
        };
        let key_expiry = self
            .sent
            .filter(|_| self.may_have_run)
            .map(|sent| sent + window);
        let visible_until = if self.reaped {
            Micros(0)
        } else {
            ended + RETENTION
        };
        Some(key_expiry.map_or(visible_until, |until| until.max(visible_until)))
    }

    fn is_retained(&self, now: Micros) -> bool {
        self.expiry().is_none_or(|until| now < until)
    }

    fn is_visible(&self, now: Micros) -> bool {
        !self.reaped && self.is_retained(now)
    }

    fn uses_key(&self, now: Micros) -> bool {
        self.is_retained(now) && !self.released_key
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

    fn end(&mut self, now: Micros, change: Change, may_have_run: bool) -> bool {
        let changed = self.change(change);
        if changed {
            self.ended = Some(now);
            self.may_have_run = may_have_run && self.sent.is_some();
            self.released_key = self.state == JobState::Failed && !self.may_have_run;
        }
        changed
    }
}

/// A job that is with the scheduler of a process.
struct ScheduledJob {
    /// Its index in the model's list of jobs.
    index: usize,
    process: usize,
    request: RequestId,
}

/// The processes of a sequence and the model of their jobs.
struct Simulation {
    /// The processes; the last one serves.
    processes: Vec<Harness>,
    jobs: Vec<ModelJob>,
    client: u64,
    /// The number of the last event that the client has received.
    last_event: u64,
    /// The last state of each job in the events.
    states: HashMap<String, JobState>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Simulation {
            processes: vec![Harness::with_prefix(limits(), "n0-0")],
            jobs: Vec::new(),
            client: 1,
            last_event: 0,
            states: HashMap::new(),
        };
        simulation.serving().connect(1);
        simulation
            .serving()
            .send_request(1, json!({"op": "createSession", "name": "s"}));
        simulation
    }

    fn serving(&mut self) -> &mut Harness {
        self.processes.last_mut().unwrap()
    }

    fn now(&self) -> Micros {
        self.processes[0].now
    }

    /// Exchanges the processes' messages. Checks that the client's events are legal transitions, numbered without a
    /// gap.
    fn settle(&mut self) {
        loop {
            let mut has_exchanged = false;
            for at in 1..self.processes.len() {
                let (older, newer) = self.processes.split_at_mut(at);
                let (old, new) = (&mut older[at - 1], &mut newer[0]);
                while let Some(message) = old.server.next_transfer(Partner::Successor) {
                    new.server.handle_transfer(
                        new.now,
                        Partner::Predecessor,
                        message,
                        &mut new.scheduler,
                    );
                    has_exchanged = true;
                }
                while let Some(message) = new.server.next_transfer(Partner::Predecessor) {
                    old.server.handle_transfer(
                        old.now,
                        Partner::Successor,
                        message,
                        &mut old.scheduler,
                    );
                    has_exchanged = true;
                }
            }
            self.processes
                .iter_mut()
                .for_each(|harness| harness.advance(Micros(0)));
            if !has_exchanged {
                break;
            }
        }
        let client = self.client;
        for line in self.serving().take_received(client) {
            assert_eq!(line["event"], "NEW_STATE", "{line}");
            let number = line["number"].as_u64().unwrap();
            assert_eq!(number, self.last_event + 1, "the events have a gap");
            self.last_event = number;
            let job = line["jobId"].as_str().unwrap().to_owned();
            let state: JobState = serde_json::from_value(line["jobState"].clone()).unwrap();
            if let Some(before) = self.states.insert(job, state) {
                assert!(
                    !before.is_final(),
                    "the final state {before} was left for {state}"
                );
                let legal = Change::ALL.iter().any(|c| before.after(*c) == Some(state));
                assert!(legal, "illegal transition from {before} to {state}");
            }
        }
    }

    fn control(&mut self, operation: &str, index: usize) -> Value {
        let (client, id) = (self.client, self.jobs[index].id.clone());
        self.serving()
            .send_request(client, json!({"op": operation, "jobId": id}))
    }

    /// Applies a step to the server and the model, and compares them.
    fn apply(&mut self, step: Step) {
        let now = self.now();
        let count = self.jobs.len();
        let pick = |index: usize| (count > 0).then(|| index % count);
        match step {
            Step::Submit { key, held } => self.submit(now, key, held),
            Step::Hold(index) => self.apply_control(now, pick(index), Self::hold),
            Step::Release(index) => self.apply_control(now, pick(index), Self::release),
            Step::Terminate(index) => self.apply_control(now, pick(index), Self::terminate),
            Step::Reap(index) => self.apply_control(now, pick(index), Self::reap),
            Step::SendToWorker(index, starts) => {
                if let Some(job) = pick(index).and_then(|index| self.find_scheduled(index)) {
                    self.send_to_worker(now, job, starts);
                }
            }
            Step::Requeue(index) => {
                if let Some(job) = pick(index).and_then(|index| self.find_scheduled(index)) {
                    self.jobs[job.index].change(Change::Return);
                    self.processes[job.process].requeue(job.request);
                }
            }
            Step::EndRequest(index, outcome) => {
                if let Some(job) = pick(index).and_then(|index| self.find_scheduled(index)) {
                    self.end_request(now, job, outcome);
                }
            }
            Step::Advance(seconds) => self.advance(seconds),
            Step::Reconnect => self.reconnect(),
            Step::Upgrade if self.processes.len() >= MAX_PROCESSES => return,
            Step::Upgrade => self.upgrade(),
        }
        self.settle();
        self.compare();
    }

    fn apply_control(
        &mut self,
        now: Micros,
        index: Option<usize>,
        control: fn(&mut Self, Micros, usize),
    ) {
        if let Some(index) = index {
            control(self, now, index);
        }
    }

    /// Submits a job, which must join the job that uses its key, if there is one.
    fn submit(&mut self, now: Micros, key: Option<u8>, held: bool) {
        let mut template =
            json!({"remoteCommand": "/x", "jobCategory": "preview", "submitAsHold": held});
        if let Some(key) = key {
            template["jobCategory"] = "sheet".into();
            template["submissionKey"] = key.to_string().into();
            // All submissions with a key need the same template, which includes `submitAsHold`.
            template["submitAsHold"] = (key % 2 == 0).into();
        }
        let held = key.map_or(held, |key| key % 2 == 0);
        let client = self.client;
        let line = json!({"op": "runJob", "session": "s", "template": template});
        let answer = self.serving().send_request(client, line);
        let joins = key.and_then(|_| {
            let first = |k: &ModelJob| k.key == key && k.uses_key(now);
            self.jobs.iter().position(first)
        });
        match joins {
            Some(first) => {
                assert_eq!(answer["duplicate"], true, "{answer}");
                assert_eq!(answer["jobId"], self.jobs[first].id);
            }
            None => {
                assert_eq!(answer["duplicate"], false, "{answer}");
                let process = self.processes.len() - 1;
                self.jobs.push(ModelJob {
                    id: answer["jobId"].clone(),
                    key,
                    state: if held {
                        JobState::QueuedHeld
                    } else {
                        JobState::Queued
                    },
                    held_since: now,
                    sent: None,
                    may_have_run: false,
                    ended: None,
                    released_key: false,
                    reaped: false,
                    process,
                });
            }
        }
    }

    /// Holds a job.
    fn hold(&mut self, now: Micros, index: usize) {
        let answer = self.control("hold", index);
        let serving = self.processes.len() - 1;
        let model_job = &mut self.jobs[index];
        // A job that another process has passed to its scheduler cannot be recalled.
        let can_hold =
            model_job.is_visible(now) && model_job.sent.is_none() && model_job.process == serving;
        let held = can_hold && model_job.change(Change::Hold);
        if held {
            model_job.held_since = now;
        }
        assert_eq!(answer["error"].is_null(), held, "{answer}");
    }

    /// Releases a job.
    fn release(&mut self, now: Micros, index: usize) {
        let answer = self.control("release", index);
        let serving = self.processes.len() - 1;
        let model_job = &mut self.jobs[index];
        let released = model_job.is_visible(now) && model_job.change(Change::Release);
        assert_eq!(answer["error"].is_null(), released, "{answer}");
        if released {
            model_job.process = serving;
        }
    }

    /// Terminates a job.
    fn terminate(&mut self, now: Micros, index: usize) {
        let answer = self.control("terminate", index);
        let serving = self.processes.len() - 1;
        let model_job = &mut self.jobs[index];
        let open = !model_job.state.is_final() && model_job.is_visible(now);
        // The serving process cannot know whether another process has sent the job, and must assume it.
        if open && model_job.process != serving && model_job.state != JobState::QueuedHeld {
            model_job.sent = Some(now);
        }
        let ended = open && model_job.end(now, Change::Terminate, true);
        assert_eq!(answer["error"].is_null(), ended, "{answer}");
    }

    /// Reaps a job.
    fn reap(&mut self, now: Micros, index: usize) {
        let answer = self.control("reap", index);
        let model_job = &mut self.jobs[index];
        let reaped = model_job.is_visible(now) && model_job.state.is_final();
        assert_eq!(answer["error"].is_null(), reaped, "{answer}");
        model_job.reaped |= reaped;
    }

    /// Sends a job to a worker, which reports its start if `starts` is set.
    fn send_to_worker(&mut self, now: Micros, job: ScheduledJob, starts: bool) {
        // No other job with the key may have been sent within the deduplication window.
        let key = self.jobs[job.index].key;
        let others = self
            .jobs
            .iter()
            .enumerate()
            .filter(|(i, k)| *i != job.index && k.key == key);
        for (_, other) in others.filter(|_| key.is_some()) {
            let last_sent = other
                .sent
                .filter(|_| other.may_have_run || other.ended.is_none());
            assert!(
                last_sent.is_none_or(|sent| sent + DEDUP_WINDOW <= now),
                "two jobs with one key were sent within the window"
            );
        }
        let model_job = &mut self.jobs[job.index];
        model_job.sent = Some(now);
        if starts {
            model_job.change(Change::Start);
        }
        self.processes[job.process].send_to_worker(job.request, starts);
    }

    /// The scheduler ends a job.
    fn end_request(&mut self, now: Micros, job: ScheduledJob, outcome: u8) {
        let model_job = &mut self.jobs[job.index];
        let (change, verdict) = match outcome {
            0 if model_job.sent.is_some() => (Change::Serve, Verdict::Served(b"r".to_vec())),
            1 => (Change::Fail, Verdict::Failed),
            _ => (Change::Fail, Verdict::Rejected { retry_after: None }),
        };
        let may_have_run = !matches!(verdict, Verdict::Rejected { .. });
        assert!(model_job.end(now, change, may_have_run));
        self.processes[job.process].end_request(job.request, verdict);
    }

    /// Advances the clock.
    fn advance(&mut self, seconds: u64) {
        let span = Micros(seconds * 1_000_000);
        self.processes
            .iter_mut()
            .for_each(|harness| harness.advance(span));
        let now = self.now();
        for model_job in &mut self.jobs {
            let hold_end = model_job.held_since + MAX_HOLD;
            if model_job.state == JobState::QueuedHeld && hold_end <= now {
                model_job.end(hold_end, Change::Fail, false);
            }
        }
    }

    /// Reconnects the client, which continues after the last event that it has received.
    fn reconnect(&mut self) {
        let (old, since) = (self.client, self.last_event);
        self.client += 1;
        let (new, now) = (self.client, self.now());
        let harness = self.serving();
        harness.server.handle_disconnect(now, old);
        harness.connect(new);
        harness.send_request(
            new,
            json!({"op": "openSession", "name": "s", "since": since}),
        );
    }

    /// Replaces the serving process with another one.
    fn upgrade(&mut self) {
        let (client, now) = (self.client, self.now());
        let old = self.serving();
        old.server.begin_handover();
        old.server.handle_disconnect(now, client);
        let mut new = Harness::with_prefix(limits(), &format!("n0-{}", self.processes.len()));
        new.now = now;
        new.server.expect_predecessor(now);
        self.client += 1;
        new.connect(self.client);
        self.processes.push(new);
        self.settle();
        let (client, since) = (self.client, self.last_event);
        let line = json!({"op": "openSession", "name": "s", "since": since});
        self.serving().send_request(client, line);
        let serving = self.processes.len() - 1;
        let held = self
            .jobs
            .iter_mut()
            .filter(|k| k.state == JobState::QueuedHeld);
        held.for_each(|model_job| model_job.process = serving);
    }

    /// The request of a job that is with the scheduler of some process.
    fn find_scheduled(&self, index: usize) -> Option<ScheduledJob> {
        let id = self.jobs[index].id.as_str().unwrap();
        let request = |harness: &Harness| {
            let mut open = harness.scheduler.open_jobs.iter();
            open.find(|(_, accepted)| accepted.job_id == id)
                .map(|(request, _)| *request)
        };
        let mut processes = self.processes.iter().enumerate();
        processes.find_map(|(process, harness)| {
            Some(ScheduledJob {
                index,
                process,
                request: request(harness)?,
            })
        })
    }

    /// Compares the state of every job with the model.
    fn compare(&mut self) {
        let (now, client) = (self.now(), self.client);
        for index in 0..self.jobs.len() {
            let id = self.jobs[index].id.clone();
            let info = self
                .serving()
                .send_request(client, json!({"op": "getJobInfo", "jobId": id}));
            let model_job = &self.jobs[index];
            if !model_job.is_visible(now) {
                assert_eq!(info["error"], "INVALID_ARGUMENT", "{info}");
                continue;
            }
            let state: JobState = serde_json::from_value(info["jobInfo"]["jobState"].clone())
                .unwrap_or_else(|_| panic!("{info}"));
            assert_eq!(state, model_job.state, "{info}");
            let is_scheduled = self.find_scheduled(index).is_some();
            let may_run = !state.is_final() && state != JobState::QueuedHeld;
            assert_eq!(
                is_scheduled, may_run,
                "a job must be with a scheduler exactly while it may run, but is {state}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, max_shrink_iters: 2000, ..ProptestConfig::default() })]

    #[test]
    fn random_sequences_agree_with_the_model(steps in proptest::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(step);
        }
    }

    /// Requests with random bytes replaced, removed or cut off. Each gets one answer, and the server accepts jobs
    /// afterwards.
    #[test]
    fn every_mutated_line_gets_one_answer(line_index in 0..12usize, mutations in proptest::collection::vec((0..400usize, any::<u8>()), 0..6)) {
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
        let mut harness = Harness::new(limits());
        harness.connect(1);
        let mut bytes = lines[line_index].as_bytes().to_vec();
        for (at, byte) in mutations {
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
        harness.server.handle_line(harness.now, 1, &bytes, &mut harness.scheduler);
        harness.advance(Micros(50_000));
        let answers = harness.take_received(1);
        prop_assert_eq!(answers.iter().filter(|v| v["event"].is_null()).count(), 1, "{:?}", answers);
        let after = harness.submit_job(1, json!({}));
        prop_assert!(after["jobId"].is_string(), "{}", after);
    }
}
