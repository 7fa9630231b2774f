//! Seeded soak test of restarts and upgrades: clients go on using their open connections until the kill, signals come
//! in series, workers drain, some runs have a crowd of idle clients, and a submitter hands in batch jobs. Each request
//! is judged by the platform's rules; none is exempt because a restart is near.
//!
//! Long run: `MARBLEDECK_SOAK_SEEDS=1..61 cargo test --release -p marbledeck-node --test restart_soak -- --nocapture`.

use marbledeck_test_support::soak::{
    job_class, planned_behaviour, run_seeds, Audit, ClientKind, JobClass, JobConnection, Random,
    SoakClient, Submitter,
};
use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, ReceivedJob, TestEnvironment};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// The seeds that run by default.
const CI_SEEDS: Range<u64> = 1..7;
const WORKERS: usize = 9;
const CLIENTS: usize = 24;
/// More than the node has descriptors in a run with a crowd.
const CROWD: usize = 350;
const CROWDED_SOCKETS: usize = 256;
const DEFAULT_SOCKETS: usize = 1024;
/// The drain's grace period plus the platform's tolerance for sockets.
const GRACE: Duration = Duration::from_millis(450);
/// SIGKILL comes this long after SIGTERM at the earliest: the longest deadline, counted as 3 s, plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// The longest time for which the platform may hold up a process.
const LONGEST_PAUSE_MS: usize = 150;
/// Number of restarts of a run.
const RESTARTS: usize = 3;
/// How long the jobs of the end of a run are waited for.
const LAST_JOBS: Duration = Duration::from_millis(500);

/// One way to end a process or to replace it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    /// SIGTERM, then another process.
    Plain,
    /// A successor starts, and then the old process gets SIGTERM.
    Upgrade,
    /// The old process gets SIGTERM while its successor starts.
    HastyUpgrade,
    /// The successor is killed while it takes over, and the old process serves on.
    SuccessorKilled,
    /// The old process is killed while its successor takes over.
    PredecessorKilled,
}

impl Restart {
    const ALL: [Restart; 5] = [
        Restart::Plain,
        Restart::Upgrade,
        Restart::HastyUpgrade,
        Restart::SuccessorKilled,
        Restart::PredecessorKilled,
    ];
}

/// When a process of the node ran. Its position in the list is its number for the discovery stub, less one.
struct ProcessSpan {
    began_at: Instant,
    ended_at: Option<Instant>,
}

impl ProcessSpan {
    fn ran_at(&self, moment: Instant) -> bool {
        self.began_at <= moment && self.ended_at.is_none_or(|ended| moment <= ended)
    }
}

/// The run of one seed.
struct Scenario {
    random: Random,
    environment: TestEnvironment,
    audit: Arc<Audit>,
    processes: Vec<ProcessSpan>,
    /// The numbers of the processes that run, in the order of their start.
    running: Vec<usize>,
    began_at: Instant,
    log: Vec<String>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let is_crowded = seed.is_multiple_of(4);
        let options = EnvironmentOptions {
            workers: WORKERS,
            slots: 64,
            sockets: if is_crowded {
                CROWDED_SOCKETS
            } else {
                DEFAULT_SOCKETS
            },
            submission_keys: "max_submitters = 4".to_owned(),
            has_unsafe_class: true,
            ..EnvironmentOptions::default()
        };
        let began_at = Instant::now();
        let environment = TestEnvironment::start(options);
        for worker in &environment.workers {
            worker.set_behaviour(planned_behaviour);
        }
        let audit = Audit::start();
        let is_crowded_flag = &audit.node.is_crowded;
        is_crowded_flag.store(is_crowded, Ordering::SeqCst);
        Scenario {
            random: Random::new(seed),
            environment,
            audit,
            processes: vec![ProcessSpan {
                began_at,
                ended_at: None,
            }],
            running: vec![0],
            began_at,
            log: Vec::new(),
        }
    }

    fn note(&mut self, step: &str) {
        let at = self.began_at.elapsed().as_millis();
        self.log.push(format!("{at} ms {step}"));
    }

    fn accept_connections(&self, accepts: bool) {
        let flag = &self.audit.node.accepts_connections;
        flag.store(accepts, Ordering::SeqCst);
    }

    /// Lets the clients work for a while, and changes the phase of a worker now and then.
    fn rest(&mut self, span: Duration) {
        let end = Instant::now() + span;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(self.random.millis(20..200)));
            if self.random.below(2) == 0 {
                self.change_worker();
            }
        }
    }

    fn change_worker(&mut self) {
        let worker = &self.environment.workers[self.random.below(WORKERS)];
        let phase = ["draining", "up", "up"][self.random.below(3)];
        let discovery = &self.environment.discovery;
        discovery.set_worker(&worker.id, worker.address, phase);
    }

    fn rest_up_to(&mut self, limit_ms: usize) {
        let span = self.random.millis(0..limit_ms);
        self.rest(span);
    }

    /// Sends a signal to a running process; `index` counts those that run.
    fn signal(&mut self, index: usize, signal: &str) {
        self.note(&format!("{signal} to process {}", self.running[index]));
        self.environment.signal(index, signal);
    }

    /// Sends a few signals in series that change nothing: SIGHUP, SIGTERM once more where `repeats_term`, and pauses.
    fn signal_series(&mut self, index: usize, repeats_term: bool) {
        for _ in 0..self.random.below(4) {
            match self.random.below(3) {
                0 => self.signal(index, "-HUP"),
                1 if repeats_term => self.signal(index, "-TERM"),
                _ => {
                    self.signal(index, "-STOP");
                    sleep(self.random.millis(5..LONGEST_PAUSE_MS));
                    self.signal(index, "-CONT");
                }
            }
            self.rest_up_to(150);
        }
    }

    fn record_start(&mut self) {
        self.running.push(self.processes.len());
        self.processes.push(ProcessSpan {
            began_at: Instant::now(),
            ended_at: None,
        });
    }

    fn record_end(&mut self, index: usize) {
        let number = self.running.remove(index);
        self.processes[number].ended_at = Some(Instant::now());
        self.note(&format!("process {number} has ended"));
    }

    /// Waits until a process that got SIGTERM has exited; the platform kills it if it takes too long.
    fn reap(&mut self, index: usize, terminated_at: Instant) {
        let kill_at = terminated_at + KILL_AFTER;
        let left = kill_at.saturating_duration_since(Instant::now());
        if !self.environment.reap(index, left) {
            let number = self.running[index];
            let fault = format!("process {number} did not exit with status 0 before its SIGKILL");
            self.audit.fault(fault);
        }
        self.record_end(index);
    }

    fn crash(&mut self, index: usize) {
        self.note(&format!("SIGKILL to process {}", self.running[index]));
        let environment = &mut self.environment;
        self.audit.crash(|| environment.kill(index));
        self.record_end(index);
    }

    fn restart(&mut self, restart: Restart) {
        self.note(&format!("{restart:?}"));
        match restart {
            Restart::Plain => self.restart_plainly(),
            Restart::Upgrade => self.upgrade(false),
            Restart::HastyUpgrade => self.upgrade(true),
            Restart::SuccessorKilled => self.lose_successor(),
            Restart::PredecessorKilled => self.lose_predecessor(),
        }
    }

    fn restart_plainly(&mut self) {
        self.signal_series(0, false);
        let terminated_at = Instant::now();
        self.signal(0, "-TERM");
        let last_connection = self.random.millis(200..400);
        self.rest(last_connection);
        self.accept_connections(false);
        self.signal_series(0, true);
        self.reap(0, terminated_at);
        self.record_start();
        self.environment.start_again();
        self.accept_connections(true);
        self.note("serves again");
    }

    fn upgrade(&mut self, is_hasty: bool) {
        self.record_start();
        let successor = self.environment.launch_successor();
        let mut terminated_at = None;
        if is_hasty {
            self.rest_up_to(60);
            terminated_at = Some(Instant::now());
            self.signal(0, "-TERM");
        } else {
            self.signal_series(0, false);
        }
        self.environment.await_successor(successor);
        self.note("the successor serves");
        self.signal_series(1, false);
        let terminated_at = terminated_at.unwrap_or_else(Instant::now);
        self.signal(0, "-TERM");
        self.signal_series(0, true);
        self.reap(0, terminated_at);
    }

    fn lose_successor(&mut self) {
        self.record_start();
        let successor = self.environment.launch_successor();
        if self.random.below(2) == 0 {
            self.environment.await_successor(successor);
            self.rest_up_to(200);
        } else {
            let span = self.random.millis(0..60);
            sleep(span);
        }
        self.crash(1);
        self.rest_up_to(500);
    }

    fn lose_predecessor(&mut self) {
        self.record_start();
        let successor = self.environment.launch_successor();
        self.environment.await_successor(successor);
        self.rest_up_to(200);
        if self.random.below(2) == 0 {
            self.signal(0, "-TERM");
            self.rest_up_to(300);
        }
        self.crash(0);
    }

    /// Checks that no attempt began at a worker after the grace period of its drain, as told to every process that may
    /// have sent it.
    fn check_drains(&self) {
        let discovery = &self.environment.discovery;
        for worker in &self.environment.workers {
            for job in worker.started_jobs() {
                let began_at = job.first_byte_at;
                let processes = self.processes.iter().enumerate();
                let running = processes.filter(|(_, process)| process.ran_at(began_at));
                let notices = running.map(|(number, _)| {
                    discovery.process_notice_at(number + 1, &worker.id, began_at)
                });
                let Some(latest) = notices
                    .collect::<Option<Vec<_>>>()
                    .and_then(|notices| notices.into_iter().max())
                else {
                    continue;
                };
                let late = began_at - latest;
                let stalled = self.audit.stalls.between(latest, began_at);
                if late > GRACE + stalled {
                    let (txn, id) = (&job.txn, &worker.id);
                    let reports = discovery.describe_reports(id, began_at);
                    self.audit.fault(format!(
                        "drain: {txn} began at {id} {late:?} after the notice; told of the worker: {reports}"
                    ));
                }
            }
        }
    }

    /// Checks that no job ran more often, or in more places, than its class allows.
    fn check_repeats(&self) {
        let mut runs: BTreeMap<String, Vec<(Instant, usize)>> = BTreeMap::new();
        for (number, worker) in self.environment.workers.iter().enumerate() {
            for job in worker.started_jobs() {
                if !matches!(planned_behaviour(&job), JobBehaviour::HandBack(_)) {
                    let started = runs.entry(job.target.clone()).or_default();
                    started.push((job.received_at, cell(number)));
                }
            }
        }
        for (target, mut started) in runs {
            started.sort();
            let cells: BTreeSet<usize> = started.iter().map(|(_, cell)| *cell).collect();
            match class_of(&target) {
                JobClass::Unsafe if started.len() > 1 => self.audit.fault(format!(
                    "run twice: {target} must not run more than once, but ran at {started:?}"
                )),
                JobClass::Keyed if cells.len() > 1 => self.audit.fault(format!(
                    "run twice: the key of {target} is known in one cell, but it ran at {started:?}"
                )),
                _ => {}
            }
        }
    }

    /// Checks that the requests that the node claims not to have read reached no worker.
    fn check_unread(&self) {
        let unread = self.audit.take_unread();
        for worker in &self.environment.workers {
            let started = worker.started_jobs();
            let read = started.iter().filter(|job| unread.contains(&job.txn));
            for ReceivedJob { txn, .. } in read {
                let id = &worker.id;
                let fault = format!("lost: {txn} ran at {id} and its connection was closed");
                self.audit.fault(fault);
            }
        }
    }
}

/// The cell of the worker with this number, as the discovery stub assigns it.
fn cell(worker: usize) -> usize {
    worker / 3
}

/// The class of the job with this request target: `/cCLIENT-NUMBER` of a client, `/bNUMBER` of the submitter.
fn class_of(target: &str) -> JobClass {
    let number = target.rsplit(['-', 'b']).next();
    let number = number.and_then(|number| number.parse().ok());
    job_class(number.expect("the number of the job"))
}

fn start_clients(seed: u64, scenario: &Scenario) -> Vec<JoinHandle<()>> {
    let client = |number: usize| SoakClient {
        number,
        kind: ClientKind::of(number),
        address: scenario.environment.client_address.clone(),
        random: Random::new(seed << 16 | number as u64),
        audit: scenario.audit.clone(),
    };
    let clients = (0..CLIENTS).map(client);
    clients
        .map(|client| std::thread::spawn(move || client.run()))
        .collect()
}

/// Opens idle connections, half of which have sent a part of a request.
fn start_crowd(address: &str) -> Vec<JobConnection> {
    let mut crowd = Vec::new();
    for number in 0..CROWD {
        let Ok(mut connection) = JobConnection::connect(address) else {
            continue;
        };
        if number % 2 == 0 {
            let _ = connection.send_bytes(b"POST /half HTTP/1.1\r\nX-Txn: ");
        }
        crowd.push(connection);
    }
    crowd
}

/// Runs a seed and returns the faults found.
fn run_seed(seed: u64) -> Vec<String> {
    let mut scenario = Scenario::new(seed);
    let audit = scenario.audit.clone();
    let clients = start_clients(seed, &scenario);
    let submitter = Submitter::new(
        scenario.environment.submission_address.clone(),
        Random::new(seed << 16 | CLIENTS as u64),
        audit.clone(),
    );
    let submitter = std::thread::spawn(move || submitter.run());
    let first = seed as usize % Restart::ALL.len();
    for number in 0..RESTARTS {
        scenario.rest_up_to(800);
        let is_crowded = audit.node.is_crowded.load(Ordering::SeqCst);
        let crowd = is_crowded.then(|| start_crowd(&scenario.environment.client_address));
        // What comes after the first restart differs from one round of the seeds to the next.
        let round = seed as usize / Restart::ALL.len();
        let next = first + number * (1 + round);
        scenario.restart(Restart::ALL[next % Restart::ALL.len()]);
        drop(crowd);
    }
    scenario.rest_up_to(800);
    audit.node.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("the client thread does not panic");
    }
    let batch_jobs = submitter.join().expect("the submitter does not panic");
    sleep(LAST_JOBS);
    scenario.check_unread();
    scenario.check_drains();
    scenario.check_repeats();
    println!("seed {seed}: {}, {batch_jobs} batch jobs", audit.summary());
    let faults = audit.take_faults();
    if !faults.is_empty() {
        println!("seed {seed}: {}", scenario.log.join("; "));
        for line in scenario.environment.log_lines() {
            println!("seed {seed}: {line}");
        }
    }
    faults
}

#[test]
fn every_request_is_answered_once_and_in_time_over_restarts_and_upgrades() {
    run_seeds(CI_SEEDS, run_seed);
}
