//! Tests what a client sees whose request meets the end of its connection.

use marbledeck_test_support::soak::{JobClass, JobConnection, JobRequest, ReceiveError};
use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Much longer than any step takes, so only a failure reaches it.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Bounds the number of connections that a test opens.
const CONNECT_INTERVAL: Duration = Duration::from_millis(10);
/// Longer than a node leaves a connection half open that it has ended.
const RESET_TIMEOUT: Duration = Duration::from_secs(6);

fn request(txn: &str) -> JobRequest {
    JobRequest {
        txn: txn.to_owned(),
        class: JobClass::Safe,
        time_left: Duration::from_secs(2),
    }
}

fn receive(connection: &mut JobConnection) -> Result<u16, ReceiveError> {
    let answer = connection.receive(Instant::now() + STEP_TIMEOUT);
    answer.map(|answer| answer.status)
}

/// Opens connections until the node refuses them, and returns the last one.
fn last_accepted_connection(environment: &TestEnvironment) -> JobConnection {
    let mut connections = Vec::new();
    while let Ok(connection) = JobConnection::connect(&environment.client_address) {
        connections.push(connection);
        sleep(CONNECT_INTERVAL);
    }
    connections.pop().expect("a connection")
}

/// Guards against a request that is read and thrown away because it comes right after the node has ended a connection
/// on which nothing had come: unread, it is reset, and its client may send it again.
#[test]
fn a_request_on_a_new_connection_that_has_just_ended_is_left_unread() {
    let environment = TestEnvironment::start(EnvironmentOptions::default());
    environment.signal(0, "-TERM");
    let mut connection = last_accepted_connection(&environment);
    let ended = receive(&mut connection);
    assert!(
        matches!(ended, Err(ReceiveError::Ended { received: 0 })),
        "{ended:?}"
    );
    connection
        .send(&request("late"))
        .expect("a written request");
    assert!(
        connection.is_reset_within(RESET_TIMEOUT),
        "the request was read"
    );
}

/// Guards against a request whose first half was read and whose connection then ends without an answer.
#[test]
fn a_request_that_is_not_complete_when_the_node_ends_is_answered() {
    let environment = TestEnvironment::start(EnvironmentOptions::default());
    let mut connection = JobConnection::connect(&environment.client_address).expect("a connection");
    let bytes = request("half").encode();
    let half = connection.send_bytes(&bytes[..bytes.len() / 2]);
    half.expect("a written half");
    environment.signal(0, "-TERM");
    let answer = connection.receive(Instant::now() + STEP_TIMEOUT);
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.closes), (503, true));
    assert!(answer.retry_after.is_some());
}

/// Guards against a next request that is read and thrown away because its connection ends in the turn of the answer.
#[test]
fn a_request_after_an_answer_that_was_the_last_one_is_left_unread() {
    let mut environment = TestEnvironment::start(EnvironmentOptions {
        workers: 1,
        ..EnvironmentOptions::default()
    });
    let worker = environment.workers[0].clone();
    let (started, wait_for_start) = channel();
    let (release, wait_for_release) = channel::<()>();
    let wait_for_release = Mutex::new(wait_for_release);
    worker.set_behaviour(move |_| {
        started.send(()).expect("the test waits");
        let released = wait_for_release.lock().expect("no panic").recv();
        released.expect("the test releases the job");
        JobBehaviour::Serve(Duration::ZERO, "made".to_owned())
    });
    let mut connection = JobConnection::connect(&environment.client_address).expect("a connection");
    connection
        .send(&request("first"))
        .expect("a written request");
    wait_for_start.recv().expect("a started job");
    environment.start_successor();
    // The process finds the answer and SIGTERM in one turn of its loop.
    environment.signal(0, "-STOP");
    release.send(()).expect("the worker waits");
    let deadline = Instant::now() + STEP_TIMEOUT;
    while worker.answered_jobs() == 0 {
        assert!(Instant::now() < deadline, "the worker does not answer");
        sleep(Duration::from_millis(1));
    }
    environment.signal(0, "-TERM");
    environment.signal(0, "-CONT");
    let answer = connection.receive(deadline).expect("an answer");
    assert_eq!((answer.status, answer.closes), (200, false));
    let ended = receive(&mut connection);
    assert!(
        matches!(ended, Err(ReceiveError::Ended { received: 0 })),
        "{ended:?}"
    );
    connection
        .send(&request("second"))
        .expect("a written request");
    assert!(
        connection.is_reset_within(RESET_TIMEOUT),
        "the request was read"
    );
}
