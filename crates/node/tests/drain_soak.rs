//! Seeded soak test of draining: a node with thousands of listed workers serves clients that send jobs without pause.
//! Meanwhile hundreds of workers drain and return at a time, endpoint lists arrive in every format and at every speed,
//! discovery goes down and returns, and the node is paused, starved of processor time, reloaded, terminated and killed.
//! Every fourth seed uses pushed lists. No request may begin at a worker after the grace period of its drain, no
//! process may fail, and every accepted request must be answered in time.
//!
//! Long run: `MARBLEDECK_SOAK_SEEDS=1..51 cargo test --release -p marbledeck-node --test drain_soak -- --nocapture`.

use marbledeck_test_support::soak::{run_seeds, Random, StallMeter};
use marbledeck_test_support::{
    AnswerForm, Delivery, DiscoveryStub, EnvironmentOptions, JobClient, ListedEndpoint,
    SeenRequest, TestEnvironment, WorkerCrowd,
};
use rustix::process::{kill_process, Pid, Signal};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// The seeds that run by default.
const CI_SEEDS: Range<u64> = 1..7;
const WORKERS: usize = 2400;
const CLIENTS: usize = 6;
const IDLE_CONNECTIONS: usize = 150;
/// Duration of the run of one seed.
const RUN_TIME: Duration = Duration::from_secs(9);
/// The drain's grace period plus the platform's tolerance for sockets.
const GRACE: Duration = Duration::from_millis(450);
const TIME_LEFT: Duration = Duration::from_millis(2000);
/// The platform's rule counts an answer that is later than the deadline by more than this as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// SIGKILL comes this long after SIGTERM at the earliest: the longest deadline, counted as 3 s, plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// Outcomes that the clients have seen, and the faults found.
#[derive(Default)]
struct Tally {
    served: AtomicUsize,
    rejected: AtomicUsize,
    failed: AtomicUsize,
    /// Requests without an answer because a process ended.
    crossed: AtomicUsize,
    faults: Mutex<Vec<String>>,
}

/// State that all threads of a run share.
struct Run {
    stop: Arc<AtomicBool>,
    /// Incremented before and after each restart, so it is odd while a process ends or starts.
    restarts: AtomicU64,
    tally: Tally,
    stalls: StallMeter,
}

impl Run {
    fn fault(&self, fault: String) {
        self.tally.faults.lock().expect("no panic").push(fault);
    }

    fn is_over(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Sends one job after another, and closes its connection now and then.
    fn client(&self, number: usize, address: &str, mut random: Random) {
        let mut connection = None;
        for job in 0.. {
            if self.is_over() {
                return;
            }
            sleep(random.millis(1..30));
            if random.below(20) == 0 {
                connection = None;
            }
            let restarts = self.restarts.load(Ordering::SeqCst);
            // A reused connection may belong to a process that has ended since.
            let reused = connection.take();
            let crosses = reused.as_ref().is_some_and(|(_, since)| *since != restarts);
            let client =
                reused.map_or_else(|| JobClient::connect(address), |(client, _)| Ok(client));
            let Ok(mut client) = client else {
                continue;
            };
            let began = Instant::now();
            let txn = format!("{number}-{job}");
            let answer = client.run(&txn, TIME_LEFT.as_millis() as u64);
            let is_restarting =
                restarts % 2 == 1 || self.restarts.load(Ordering::SeqCst) != restarts;
            let unsettled = crosses || is_restarting;
            self.record_answer(&txn, began, answer.as_ref().ok().copied(), unsettled);
            let is_open = answer.is_ok() && !client.is_closing();
            connection = is_open.then_some((client, restarts));
        }
    }

    fn record_answer(&self, txn: &str, began: Instant, status: Option<u16>, unsettled: bool) {
        let took = began.elapsed();
        let allowed = TIME_LEFT + ANSWER_SLACK + self.stalls.between(began, Instant::now());
        let counter = match status {
            Some(200) => &self.tally.served,
            Some(429 | 503) => &self.tally.rejected,
            Some(_) => &self.tally.failed,
            None if unsettled => &self.tally.crossed,
            None => return self.fault(format!("{txn}: no answer after {took:?}")),
        };
        counter.fetch_add(1, Ordering::SeqCst);
        if took > allowed && !unsettled {
            self.fault(format!("{txn}: answered after {took:?}"));
        }
    }
}

/// The run of one seed.
struct Scenario<'a> {
    random: Random,
    environment: TestEnvironment,
    crowd: &'a WorkerCrowd,
    run: Arc<Run>,
    log: Vec<String>,
}

impl Scenario<'_> {
    /// Lists these workers in discovery with this phase.
    fn set_phase(&self, workers: &[usize], phase: &str) {
        let ids: Vec<String> = workers.iter().map(|n| WorkerCrowd::id(*n)).collect();
        let entries = ids.iter().zip(workers).map(|(id, n)| ListedEndpoint {
            id,
            address: self.crowd.addresses[*n],
            phase,
        });
        let entries: Vec<ListedEndpoint> = entries.collect();
        self.environment.discovery.set_workers(&entries);
    }

    /// Changes the phase of one worker, of a few or of a large part of them.
    fn change_workers(&mut self) {
        let sizes = [1, 12, WORKERS * 15 / 100, WORKERS * 6 / 10];
        let size = sizes[self.random.below(sizes.len())];
        let first = self.random.below(WORKERS);
        let workers: Vec<usize> = (first..first + size).map(|n| n % WORKERS).collect();
        let phase = ["draining", "removed", "up", "up"][self.random.below(4)];
        self.log.push(format!("{size} {phase}"));
        self.set_phase(&workers, phase);
    }

    /// Changes the format and the delivery of discovery's answers.
    fn change_answers(&mut self) {
        let forms = [
            AnswerForm::Compact,
            AnswerForm::Indented,
            AnswerForm::Chunked,
        ];
        let form = forms[self.random.below(forms.len())];
        let delivery = match self.random.below(8) {
            0 | 1 => Delivery::Paced {
                bytes: 1 + self.random.below(24_000),
                pause: self.random.millis(1..60),
            },
            2 => Delivery::CutAfter(self.random.below(60_000)),
            3 => Delivery::StopAfter(self.random.below(60_000)),
            _ => Delivery::AtOnce,
        };
        self.log.push(format!("{form:?} {delivery:?}"));
        let discovery = &self.environment.discovery;
        discovery.set_answers(form, delivery);
        discovery.set_whole_lists(self.random.below(3) == 0);
        if self.random.below(2) == 0 {
            discovery.resume();
        }
    }

    fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(self.environment.process_id() as i32).expect("a process");
        kill_process(id, signal).expect("it runs");
    }

    /// Pauses the node for at most as long as the platform may.
    fn pause_node(&mut self) {
        let span = self.random.millis(20..150);
        self.log.push(format!("node paused for {span:?}"));
        self.signal(Signal::STOP);
        sleep(span);
        self.signal(Signal::CONT);
    }

    /// Leaves the node a tenth of a processor for a while.
    fn starve_node(&mut self) {
        let end = Instant::now() + self.random.millis(300..1200);
        self.log.push("node starved of processor time".to_owned());
        while Instant::now() < end {
            self.signal(Signal::STOP);
            sleep(Duration::from_millis(18));
            self.signal(Signal::CONT);
            sleep(Duration::from_millis(2));
        }
    }

    fn restart(&mut self, gracefully: bool) {
        self.log
            .push(format!("node restarted, gracefully: {gracefully}"));
        self.run.restarts.fetch_add(1, Ordering::SeqCst);
        let newest = self.random.below(2) == 0;
        let known = self.environment.discovery.endpoint_list();
        self.environment.set_known((!newest).then_some(known));
        let began = Instant::now();
        if gracefully {
            let ended = self.environment.terminate_and_restart(KILL_AFTER);
            let stalled = self.run.stalls.between(began, Instant::now());
            if !ended && stalled.is_zero() {
                self.run.fault(
                    "the node did not exit after SIGTERM before it had to be killed".to_owned(),
                );
            }
        } else {
            self.environment.crash_and_restart();
        }
        self.run.restarts.fetch_add(1, Ordering::SeqCst);
    }

    fn stop_discovery(&mut self) {
        let span = self.random.millis(200..1500);
        self.log.push(format!("discovery down for {span:?}"));
        self.environment.discovery.set_down(true);
        sleep(span);
        self.environment.discovery.set_down(false);
    }

    fn step(&mut self) {
        match self.random.below(16) {
            0..=5 => self.change_workers(),
            6..=9 => self.change_answers(),
            10 => self.environment.discovery.resume(),
            11 => self.pause_node(),
            12 => self.starve_node(),
            13 => self.stop_discovery(),
            14 => self.signal(Signal::HUP),
            _ if self.random.below(3) == 0 => {
                let gracefully = self.random.below(2) == 0;
                self.restart(gracefully);
            }
            _ => {}
        }
        self.check_drains();
        sleep(self.random.millis(20..350));
    }

    /// Checks that no request began at a worker after the grace period of its drain.
    fn check_drains(&self) {
        let discovery: &DiscoveryStub = &self.environment.discovery;
        for request in self.crowd.take_seen() {
            let id = WorkerCrowd::id(request.worker);
            let began_at = request.first_byte_at;
            let Some(notice) = discovery.notice_at(&id, began_at) else {
                continue;
            };
            let stalled = self.run.stalls.between(notice, began_at);
            let late = began_at - notice;
            if late > GRACE + stalled {
                let SeenRequest { txn, client, .. } = &request;
                let reports = discovery.describe_reports(&id, began_at);
                self.run.fault(format!(
                    "drain: {txn:?} from {client} began at {id} {late:?} after the notice; the machine stalled for \
                     {stalled:?}; told of the worker: {reports}"
                ));
            }
        }
    }
}

/// Starts a node whose file lists all workers, with a discovery service that pushes its lists or is polled.
fn start_node(crowd: &WorkerCrowd, pushes_lists: bool) -> TestEnvironment {
    let options = EnvironmentOptions {
        workers: 0,
        memory_mb: 64,
        sockets: 640,
        registry_mode: if pushes_lists {
            "automatic"
        } else {
            "subscribe"
        },
        ..EnvironmentOptions::default()
    };
    TestEnvironment::start_with(options, |discovery| {
        let ids: Vec<String> = (0..WORKERS).map(WorkerCrowd::id).collect();
        let entries = ids.iter().zip(crowd.addresses.iter());
        let entries = entries.map(|(id, address)| ListedEndpoint {
            id,
            address: *address,
            phase: "up",
        });
        discovery.set_workers(&entries.collect::<Vec<_>>());
        if pushes_lists {
            discovery.push_lists();
        }
    })
}

/// Runs a seed and returns the faults found.
fn run_seed(seed: u64, crowd: &WorkerCrowd) -> Vec<String> {
    let stop = Arc::new(AtomicBool::new(false));
    let run = Arc::new(Run {
        stop: stop.clone(),
        restarts: AtomicU64::new(0),
        tally: Tally::default(),
        stalls: StallMeter::start(stop.clone()),
    });
    crowd.take_seen();
    let environment = start_node(crowd, seed.is_multiple_of(4));
    let address = environment.client_address.clone();
    let clients: Vec<JoinHandle<()>> = (0..CLIENTS)
        .map(|number| {
            let (run, address) = (run.clone(), address.clone());
            let random = Random::new(seed << 16 | number as u64);
            std::thread::spawn(move || run.client(number, &address, random))
        })
        .collect();
    // Some runs also have clients that hold connections and send nothing.
    let idle = if seed.is_multiple_of(3) {
        IDLE_CONNECTIONS
    } else {
        0
    };
    let idle: Vec<_> = (0..idle).map(|_| JobClient::connect(&address)).collect();
    let mut scenario = Scenario {
        random: Random::new(seed),
        environment,
        crowd,
        run: run.clone(),
        log: Vec::new(),
    };
    let end = Instant::now() + RUN_TIME;
    while Instant::now() < end {
        scenario.step();
    }
    scenario.environment.discovery.resume();
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("the client thread does not panic");
    }
    scenario.check_drains();
    drop(idle);
    let load = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let tally = &run.tally;
    println!(
        "seed {seed}: served {} rejected {} failed {} crossed a restart {}, {} steps",
        load(&tally.served),
        load(&tally.rejected),
        load(&tally.failed),
        load(&tally.crossed),
        scenario.log.len()
    );
    let faults = std::mem::take(&mut *tally.faults.lock().expect("no panic"));
    if !faults.is_empty() {
        println!("seed {seed}: {}", scenario.log.join("; "));
    }
    faults
}

#[test]
fn no_request_begins_at_a_drained_worker_during_list_changes_and_restarts() {
    let crowd = WorkerCrowd::start(WORKERS);
    run_seeds(CI_SEEDS, |seed| run_seed(seed, &crowd));
}
