//! Tests that a job which must not be repeated does not run twice under one id.

use marbledeck_dispatcher::{Micros, Outcome, WorkerEntry, WorkerListKind};
use marbledeck_node::core::{AttemptEnd, Core, NameRegistry, NewRequest, Payload, RequestError};
use marbledeck_platform_settings::{worker_id, PlatformSettings};
use marbledeck_test_support::soak::{JobClass, JobConnection, JobRequest};
use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Much longer than any step takes, so only a failure reaches it.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const CONFLICT: u16 = 409;
const ID: &str = "once";
/// How often a job is sent again that has ended.
const MANY_TIMES: usize = 20;

fn connect(address: &str) -> JobConnection {
    JobConnection::connect(address).expect("a connection")
}

fn send(connection: &mut JobConnection) {
    let request = JobRequest {
        txn: ID.to_owned(),
        class: JobClass::Unsafe,
        time_left: Duration::from_secs(7),
    };
    connection.send(&request).expect("a written request");
}

fn status(connection: &mut JobConnection) -> u16 {
    let answer = connection.receive(Instant::now() + STEP_TIMEOUT);
    answer.expect("an answer").status
}

/// A node with one worker, whose jobs start and end as the test says.
struct HeldWorker {
    environment: TestEnvironment,
    started: Receiver<()>,
    release: Sender<()>,
}

impl HeldWorker {
    fn start() -> Self {
        let environment = TestEnvironment::start(EnvironmentOptions {
            workers: 1,
            has_unsafe_class: true,
            ..EnvironmentOptions::default()
        });
        let (start, started) = channel();
        let (release, wait_for_release) = channel::<()>();
        let wait_for_release = Mutex::new(wait_for_release);
        environment.workers[0].set_behaviour(move |_| {
            start.send(()).expect("the test waits");
            let released = wait_for_release.lock().expect("no panic").recv();
            released.expect("the test releases the job");
            JobBehaviour::Serve(Duration::ZERO, "made".to_owned())
        });
        HeldWorker {
            environment,
            started,
            release,
        }
    }

    /// Sends the job, waits until it runs, and leaves.
    fn run_and_leave(&self, mut client: JobConnection) {
        send(&mut client);
        self.started.recv().expect("a started job");
    }

    /// Lets the job end, and returns how many jobs the worker has run once it has answered.
    fn finish(&self) -> usize {
        self.release.send(()).expect("the worker waits");
        let worker = &self.environment.workers[0];
        let deadline = Instant::now() + STEP_TIMEOUT;
        while worker.answered_jobs() == 0 {
            assert!(Instant::now() < deadline, "the worker does not answer");
            std::thread::yield_now();
        }
        worker.started_jobs().len()
    }
}

/// Guards against a second run of a job that comes again at the same process after its client has left: while it runs, and
/// after it has ended.
#[test]
fn a_job_whose_client_has_left_does_not_run_again_under_its_id() {
    let worker = HeldWorker::start();
    let address = &worker.environment.client_address;
    worker.run_and_leave(connect(address));
    let mut again = connect(address);
    send(&mut again);
    assert_eq!(status(&mut again), CONFLICT);
    assert_eq!(worker.finish(), 1);
    // The node may read the worker's answer between any two of these.
    for _ in 0..MANY_TIMES {
        send(&mut again);
        assert_eq!(status(&mut again), CONFLICT);
    }
}

/// Guards against a second run of a job at the successor of an upgrade, after its client has left the old process.
#[test]
fn a_job_that_the_old_process_runs_does_not_run_at_its_successor() {
    let mut worker = HeldWorker::start();
    worker.run_and_leave(connect(&worker.environment.client_address));
    worker.environment.start_successor();
    worker.environment.signal(0, "-TERM");
    let mut again = connect(&worker.environment.client_address);
    send(&mut again);
    assert_eq!(status(&mut again), CONFLICT);
    assert_eq!(worker.finish(), 1);
    assert!(worker.environment.exits_cleanly(0));
    send(&mut again);
    assert_eq!(status(&mut again), CONFLICT);
}

/// Guards against a second run of a job that a successor has begun, on a connection that the old process still has.
#[test]
fn a_job_that_the_successor_runs_does_not_run_at_the_old_process() {
    let mut worker = HeldWorker::start();
    let mut at_old_process = connect(&worker.environment.client_address);
    at_old_process
        .send_bytes(b"GET /ready HTTP/1.1\r\n\r\n")
        .expect("a written request");
    assert_eq!(status(&mut at_old_process), 200);
    worker.environment.start_successor();
    worker.run_and_leave(connect(&worker.environment.client_address));
    send(&mut at_old_process);
    assert_eq!(status(&mut at_old_process), CONFLICT);
    assert_eq!(worker.finish(), 1);
}

fn new_core() -> Core {
    let config = include_str!("exchanges/config.json").replace("\"MEMBERS\"", "");
    let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    let platform: PlatformSettings =
        serde_json::from_value(config["settings"].clone()).expect("settings");
    let settings = platform.dispatcher_settings().expect("valid settings");
    let names = NameRegistry::new(&platform, &settings);
    let mut core = Core::new(settings, names, 7, Micros(0)).expect("valid settings");
    let worker = WorkerEntry {
        worker: worker_id("w1"),
        ..WorkerEntry::default()
    };
    core.apply_worker_list(Micros(0), WorkerListKind::Full, vec![worker]);
    core
}

fn order(now: Micros) -> NewRequest<'static> {
    NewRequest {
        class: "sheet-publish",
        tenant: Some("au"),
        time_left: Micros(7_000_000 + now.0 % 2),
        has_client_id: true,
        payload: Payload {
            transaction_id: ID.to_owned(),
            key: Some("k".to_owned()),
            ..Payload::default()
        },
        ..NewRequest::default()
    }
}

/// Guards against an id that is refused although its request never ran, and against one that is refused for ever.
#[test]
fn only_an_id_that_may_have_run_is_refused_and_not_for_ever() {
    for (is_written, outcome, may_have_run) in [
        (false, Outcome::ConnectFailed, false),
        (true, Outcome::Rejected, false),
        (true, Outcome::Reset, true),
        (true, Outcome::Served, true),
    ] {
        let mut core = new_core();
        let id = core.accept_request(Micros(0), order(Micros(0)));
        let id = id.expect("an accepted request");
        if is_written {
            core.handle_attempt_written(id, 0);
        }
        core.handle_client_left(Micros(1), id);
        core.handle_attempt_ended(Micros(2), id, 0, AttemptEnd::new(outcome));
        let again = core.accept_request(Micros(3), order(Micros(3)));
        let expected = Err(RequestError::IdSent);
        assert_eq!(again == expected, may_have_run, "{outcome:?}: {again:?}");
        let later = Micros(128_000_000);
        let again = core.accept_request(later, order(later));
        assert_ne!(again, expected, "{outcome:?}");
    }
}

/// Guards against a request that both processes of an upgrade have taken, and against ids that are not told.
#[test]
fn an_unsent_request_fails_if_the_other_process_sends_its_id() {
    let mut core = new_core();
    core.set_shares_ids(true);
    let id = core.accept_request(Micros(0), order(Micros(0)));
    let id = id.expect("an accepted request");
    assert_eq!(core.take_unshared_ids(), [ID]);
    assert_eq!(core.sent_ids(), [ID]);
    core.add_foreign_ids(Micros(1), &[ID.to_owned()]);
    assert!(core.is_closed(id));
    let mut core = new_core();
    let id = core.accept_request(Micros(0), order(Micros(0)));
    let id = id.expect("an accepted request");
    core.handle_attempt_written(id, 0);
    core.add_foreign_ids(Micros(1), &[ID.to_owned()]);
    assert!(!core.is_closed(id), "it may run here already");
}
