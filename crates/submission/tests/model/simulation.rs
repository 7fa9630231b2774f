//! The processes of a sequence, and the model of their jobs.

use crate::common::upgrade::exchange;
use crate::common::{limits, Harness, DEDUP_WINDOW};
use crate::job::{ModelArray, ModelJob};
use crate::{Step, MAX_PROCESSES};
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_submission::{Change, JobState, Verdict};
use serde_json::json;
use std::collections::HashMap;

/// How long an array starts no member after a rejection that asks for no time.
const REJECTION_PAUSE: Micros = Micros(1_000_000);

/// A job that is with the scheduler of a process.
pub struct ScheduledJob {
    /// Its index in the model's list of jobs.
    pub index: usize,
    pub process: usize,
    pub request: RequestId,
}

/// The processes of a sequence and the model of their jobs.
pub struct Simulation {
    /// The processes; the last one serves.
    pub processes: Vec<Harness>,
    pub jobs: Vec<ModelJob>,
    pub arrays: Vec<ModelArray>,
    /// The number of processes so far.
    pub started: usize,
    pub client: u64,
    /// The number of the last event that the client has received.
    pub last_event: u64,
    /// The last state of each job in the events.
    pub states: HashMap<String, JobState>,
}

impl Simulation {
    pub fn new() -> Self {
        let mut simulation = Simulation {
            processes: vec![Harness::with_prefix(limits(), "n0-0")],
            jobs: Vec::new(),
            arrays: Vec::new(),
            started: 1,
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

    pub fn serving(&mut self) -> &mut Harness {
        self.processes.last_mut().unwrap()
    }

    pub fn now(&self) -> Micros {
        self.processes[0].now
    }

    /// Exchanges the processes' messages. Checks that the client's events are legal transitions, numbered without a
    /// gap.
    pub fn settle(&mut self) {
        loop {
            let mut has_exchanged = false;
            for at in 1..self.processes.len() {
                let (older, newer) = self.processes.split_at_mut(at);
                let (old, new) = (&mut older[at - 1], &mut newer[0]);
                has_exchanged |= exchange(old, new, usize::MAX) > 0;
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

    /// Applies a step to the server and the model, and compares them.
    pub fn apply(&mut self, step: Step) {
        let now = self.now();
        let count = self.jobs.len();
        let pick = |index: usize| (count > 0).then(|| index % count);
        match step {
            Step::Submit { key, held } => self.submit(now, key, held),
            Step::SubmitBulk(bulk) => self.submit_bulk(now, bulk),
            Step::TerminateArray(index) => self.control_array(now, "terminate", index),
            Step::ReapArray(index) => self.control_array(now, "reap", index),
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
            Step::EndReplaced(process) => self.end_replaced(process),
            Step::LoseReplaced(process) => self.lose_replaced(now, process),
            Step::Upgrade if self.processes.len() >= MAX_PROCESSES => return,
            Step::Upgrade => self.upgrade(),
        }
        self.settle();
        self.compare();
    }

    pub fn apply_control(
        &mut self,
        now: Micros,
        index: Option<usize>,
        control: fn(&mut Self, Micros, usize),
    ) {
        if let Some(index) = index {
            control(self, now, index);
        }
    }

    /// Sends a job to a worker, which reports its start if `starts` is set.
    pub fn send_to_worker(&mut self, now: Micros, job: ScheduledJob, starts: bool) {
        // No other job with the key may have been sent within the deduplication window.
        let key = self.jobs[job.index].key;
        let others = self
            .jobs
            .iter()
            .enumerate()
            .filter(|(i, k)| *i != job.index && k.key == key);
        for (_, other) in others.filter(|_| key.is_some()) {
            assert!(
                other
                    .last_possible_run()
                    .is_none_or(|sent| sent + DEDUP_WINDOW <= now),
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
    pub fn end_request(&mut self, now: Micros, job: ScheduledJob, outcome: u8) {
        let model_job = &mut self.jobs[job.index];
        let (change, verdict) = match outcome {
            0 if model_job.sent.is_some() => (Change::Serve, Verdict::Served(b"r".to_vec())),
            1 => (Change::Fail, Verdict::Failed),
            _ => (Change::Fail, Verdict::Rejected { retry_after: None }),
        };
        let may_have_run = !matches!(verdict, Verdict::Rejected { .. });
        assert!(model_job.end(now, change, may_have_run));
        if let Some(array) = model_job.array.filter(|_| !may_have_run) {
            self.arrays[array].paused_until = now + REJECTION_PAUSE;
            self.arrays[array].scheduled -= 1;
        }
        self.processes[job.process].end_request(job.request, verdict);
    }

    /// Advances the clock.
    pub fn advance(&mut self, seconds: u64) {
        let span = Micros(seconds * 1_000_000);
        self.processes
            .iter_mut()
            .for_each(|harness| harness.advance(span));
        let now = self.now();
        for index in 0..self.jobs.len() {
            if self.find_scheduled(index).is_none() {
                self.jobs[index].expire(now);
            }
        }
    }

    /// The request of a job that is with the scheduler of some process.
    pub fn find_scheduled(&self, index: usize) -> Option<ScheduledJob> {
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
}
