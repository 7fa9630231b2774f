//! Endpoint lists of thousands of workers, in every format and at any speed. Once discovery begins to write an answer,
//! the previous list may be used for the drain's grace period and no longer. No result depends on the speed of the
//! machine.

use marbledeck_node::discovery::MAX_WORKERS;
use marbledeck_test_support::{
    AnswerForm, Delivery, DiscoveryStub, EnvironmentOptions, JobClient, ListedEndpoint,
    TestEnvironment,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The number of workers of the largest fleet.
const WORKERS: usize = 3200;
const TIME_LEFT_MS: u64 = 7000;
/// Shorter than any answer with thousands of workers, and longer than its first few entries.
const PARTIAL_ANSWER_BYTES: usize = 2000;
/// Part of the log line that says that workers which an incomplete answer has not listed get no new requests.
const PAUSED_LOG: &str = "not complete in time";
/// Part of the log line of a list that is refused for the number of its workers.
const TOO_MANY_LOG: &str = "more than 8192 workers";
/// Much longer than any wait takes, so only a failure reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The workers of a large fleet, all of them draining, at addresses where nothing listens.
fn draining_fleet() -> Vec<(String, SocketAddr)> {
    let address = |n: usize| format!("127.99.{}.{}:9", n / 250, n % 250 + 1);
    let worker = |n: usize| {
        let address = address(n).parse().expect("an address");
        (format!("z-{n:05}"), address)
    };
    (0..WORKERS).map(worker).collect()
}

/// Adds the large fleet to the list in one change, between the entries of `before` and `after`.
fn list_large_fleet(
    discovery: &DiscoveryStub,
    before: &[ListedEndpoint],
    after: &[ListedEndpoint],
) {
    let fleet = draining_fleet();
    let draining = fleet.iter().map(|(id, address)| ListedEndpoint {
        id,
        address: *address,
        phase: "draining",
    });
    let mut entries = before.to_vec();
    entries.extend(draining);
    entries.extend_from_slice(after);
    discovery.set_workers(&entries);
}

/// Starts a node with two workers, `w1` and `w2`.
fn start_with_two_workers() -> TestEnvironment {
    TestEnvironment::start(EnvironmentOptions {
        workers: 2,
        ..EnvironmentOptions::default()
    })
}

fn entry<'a>(environment: &TestEnvironment, id: &'a str, phase: &'a str) -> ListedEndpoint<'a> {
    let mut workers = environment.workers.iter();
    let worker = workers.find(|worker| worker.id == id).expect("known");
    ListedEndpoint {
        id,
        address: worker.address,
        phase,
    }
}

/// The result of a job for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobEnd {
    Served,
    /// Status 429 or 503, after which a retry is harmless.
    Rejected,
    Failed,
}

fn run_job(environment: &TestEnvironment, txn: &str) -> JobEnd {
    let client = JobClient::connect(&environment.client_address);
    let status = client.and_then(|mut client| client.run(txn, TIME_LEFT_MS));
    match status.expect("an answer") {
        200 => JobEnd::Served,
        429 | 503 => JobEnd::Rejected,
        _ => JobEnd::Failed,
    }
}

/// The number of jobs that each worker has started.
fn started_jobs(environment: &TestEnvironment) -> Vec<usize> {
    let workers = environment.workers.iter();
    workers.map(|worker| worker.started_jobs().len()).collect()
}

/// Whether the node knows from discovery that a worker drains, and not only that the list is too old.
fn is_draining(line: Option<&str>) -> bool {
    line.is_some_and(|line| line.contains("directory says draining"))
}

/// A list of 3,200 workers is accepted in every format.
#[rstest]
fn a_list_of_thousands_of_workers_is_accepted(
    #[values(AnswerForm::Compact, AnswerForm::Indented, AnswerForm::Chunked)] form: AnswerForm,
    #[values(true, false)] whole: bool,
) {
    let environment = start_with_two_workers();
    environment.discovery.set_answers(form, Delivery::AtOnce);
    environment.discovery.set_whole_lists(whole);
    let draining = entry(&environment, "w1", "draining");
    list_large_fleet(&environment.discovery, &[], &[draining]);
    environment.wait_for_member("w1", is_draining);
    assert_eq!(run_job(&environment, "job-1"), JobEnd::Served);
    assert_eq!(started_jobs(&environment), [0, 1]);
}

/// After the grace period of an answer that stops half-way, only workers that it has listed as up get jobs.
#[rstest]
#[case::none_listed(&[], JobEnd::Rejected)]
#[case::one_listed(&["w2"], JobEnd::Served)]
fn an_answer_that_stops_half_way_pauses_the_workers_that_it_has_not_listed(
    #[case] listed: &[&str],
    #[case] end: JobEnd,
) {
    let environment = start_with_two_workers();
    let discovery = &environment.discovery;
    discovery.set_answers(
        AnswerForm::Compact,
        Delivery::StopAfter(PARTIAL_ANSWER_BYTES),
    );
    let listed = listed.iter().map(|id| entry(&environment, id, "up"));
    let draining = entry(&environment, "w1", "draining");
    list_large_fleet(discovery, &listed.collect::<Vec<_>>(), &[draining]);
    environment.wait_for_log(PAUSED_LOG);
    assert_eq!(run_job(&environment, "job-1"), end);
    let served = usize::from(end == JobEnd::Served);
    assert_eq!(started_jobs(&environment), [0, served]);
    discovery.set_answers(AnswerForm::Compact, Delivery::AtOnce);
    discovery.resume();
    environment.wait_for_member("w1", is_draining);
    assert_eq!(run_job(&environment, "job-2"), JobEnd::Served);
    assert_eq!(started_jobs(&environment)[0], 0);
}

/// Discovery counts an answer as written even if its connection breaks, so the previous list expires.
#[test]
fn an_answer_that_is_cut_off_ends_the_use_of_the_list_before_it() {
    let environment = start_with_two_workers();
    let discovery = &environment.discovery;
    discovery.set_answers(
        AnswerForm::Compact,
        Delivery::CutAfter(PARTIAL_ANSWER_BYTES),
    );
    let draining = entry(&environment, "w1", "draining");
    list_large_fleet(discovery, &[], &[draining]);
    environment.wait_for_log(PAUSED_LOG);
    assert_eq!(run_job(&environment, "job-1"), JobEnd::Rejected);
    discovery.set_answers(AnswerForm::Compact, Delivery::AtOnce);
    environment.wait_for_member("w1", is_draining);
    assert_eq!(run_job(&environment, "job-2"), JobEnd::Served);
    assert_eq!(started_jobs(&environment), [0, 1]);
}

/// A list is accepted even if its transfer takes longer than the timeout of a silent call.
#[test]
fn a_slow_list_of_thousands_of_workers_is_accepted() {
    let environment = start_with_two_workers();
    let pause = Duration::from_millis(100);
    let paced = Delivery::Paced {
        bytes: 16 * 1024,
        pause,
    };
    let discovery = &environment.discovery;
    discovery.set_answers(AnswerForm::Compact, paced);
    let draining = entry(&environment, "w1", "draining");
    list_large_fleet(discovery, &[], &[draining]);
    environment.wait_for_member("w1", is_draining);
    assert_eq!(started_jobs(&environment), [0, 0]);
}

/// After an upgrade while discovery is down, the new process knows all workers of its predecessor at once, and shows
/// them to operators.
#[test]
fn a_list_of_thousands_of_workers_outlives_an_upgrade() {
    let mut environment = start_with_two_workers();
    list_large_fleet(&environment.discovery, &[], &[]);
    environment.wait_for_member("z-03199", is_draining);
    environment.discovery.set_down(true);
    environment.start_successor();
    environment.wait_for_member("z-03199", is_draining);
    let members = environment.members();
    assert_eq!(members.len(), 2 + WORKERS);
    let draining = members.iter().filter(|line| is_draining(Some(line)));
    assert_eq!(draining.count(), WORKERS);
    assert!(environment.has_logged("takes over from a process that runs"));
}

/// A process that starts while discovery is down uses the list in its file.
#[test]
fn a_list_of_thousands_of_workers_in_the_file_is_used() {
    let environment = TestEnvironment::start_with(EnvironmentOptions::default(), |discovery| {
        list_large_fleet(discovery, &[], &[]);
        discovery.set_down(true);
    });
    assert_eq!(environment.members().len(), 3 + WORKERS);
    assert_eq!(run_job(&environment, "job-1"), JobEnd::Served);
}

/// Guards against a list with too many workers that enters one more of them with each call.
#[test]
fn a_list_with_too_many_workers_never_exceeds_the_bound() {
    const FAILED_CALLS: usize = 3;
    let environment = start_with_two_workers();
    let ids: Vec<String> = (0..MAX_WORKERS + FAILED_CALLS)
        .map(|number| format!("z-{number:05}"))
        .collect();
    let address = "127.99.0.1:9".parse().expect("an address");
    let entries = ids.iter().map(|id| ListedEndpoint {
        id,
        address,
        phase: "draining",
    });
    environment
        .discovery
        .set_workers(&entries.collect::<Vec<_>>());
    let failures = || {
        let lines = environment.log_lines();
        let failed = lines.iter().filter(|line| line.contains(TOO_MANY_LOG));
        failed.count()
    };
    let deadline = Instant::now() + TIMEOUT;
    while failures() < FAILED_CALLS {
        assert!(Instant::now() < deadline, "the list is not refused");
        sleep(Duration::from_millis(5));
    }
    assert_eq!(environment.members().len(), MAX_WORKERS);
}
