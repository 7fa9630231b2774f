//! Endpoint lists of thousands of workers, in all forms and at any pace: from the moment at which discovery begins to
//! write an answer, the list before it may be used for the drain's grace and no longer. No result depends on how fast the
//! machine is.

use marbledeck_test_support::{
    AnswerForm, Delivery, DiscoveryStub, EnvironmentOptions, JobClient, ListedEndpoint,
    TestEnvironment,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

/// As many workers as the largest fleet has.
const WORKERS: usize = 3200;
const TIME_LEFT_MS: u64 = 7000;
/// Less than any answer with thousands of workers has, and more than the first few entries.
const FIRST_BYTES: usize = 2000;
/// The log says so when the workers that an unfinished answer has not named get nothing more.
const PAUSED: &str = "not complete in time";

/// The workers of a large fleet that nobody listens for: they drain.
fn drained_fleet() -> Vec<(String, SocketAddr)> {
    let address = |n: usize| format!("127.99.{}.{}:9", n / 250, n % 250 + 1);
    let worker = |n: usize| {
        let address = address(n).parse().expect("an address");
        (format!("z-{n:05}"), address)
    };
    (0..WORKERS).map(worker).collect()
}

/// Adds the large fleet to the list in one change: after these entries, and before those.
fn list_large_fleet(
    discovery: &DiscoveryStub,
    before: &[ListedEndpoint],
    after: &[ListedEndpoint],
) {
    let fleet = drained_fleet();
    let drained = fleet.iter().map(|(id, address)| ListedEndpoint {
        id,
        address: *address,
        phase: "draining",
    });
    let mut entries = before.to_vec();
    entries.extend(drained);
    entries.extend_from_slice(after);
    discovery.set_workers(&entries);
}

/// A node with two workers, `w1` and `w2`.
fn two_workers() -> TestEnvironment {
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

/// How a job ends for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobEnd {
    Served,
    /// With 429 or 503: trying again is harmless.
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

/// The jobs that each worker has started.
fn started(environment: &TestEnvironment) -> Vec<usize> {
    let workers = environment.workers.iter();
    workers.map(|worker| worker.started_jobs().len()).collect()
}

/// Whether the node has it from discovery that a worker drains; not only that the list is too old.
fn is_drained(line: Option<&str>) -> bool {
    line.is_some_and(|line| line.contains("directory says draining"))
}

/// Whatever its form, a list of 3,200 workers is taken.
#[rstest]
fn a_list_of_thousands_of_workers_is_taken(
    #[values(AnswerForm::Compact, AnswerForm::Indented, AnswerForm::Chunked)] form: AnswerForm,
    #[values(true, false)] whole: bool,
) {
    let environment = two_workers();
    environment.discovery.set_answers(form, Delivery::AtOnce);
    environment.discovery.set_whole_lists(whole);
    let drained = entry(&environment, "w1", "draining");
    list_large_fleet(&environment.discovery, &[], &[drained]);
    environment.wait_for_member("w1", is_drained);
    assert_eq!(run_job(&environment, "job-1"), JobEnd::Served);
    assert_eq!(started(&environment), [0, 1]);
}

/// An answer that stops half-way: once the grace is over, only those workers get jobs that it has named as up.
#[rstest]
#[case::none_named(&[], JobEnd::Rejected)]
#[case::one_named(&["w2"], JobEnd::Served)]
fn an_answer_that_stops_half_way_pauses_the_workers_that_it_has_not_named(
    #[case] named: &[&str],
    #[case] end: JobEnd,
) {
    let environment = two_workers();
    let discovery = &environment.discovery;
    discovery.set_answers(AnswerForm::Compact, Delivery::StopAfter(FIRST_BYTES));
    let named = named.iter().map(|id| entry(&environment, id, "up"));
    let drained = entry(&environment, "w1", "draining");
    list_large_fleet(discovery, &named.collect::<Vec<_>>(), &[drained]);
    environment.wait_for_log(PAUSED);
    assert_eq!(run_job(&environment, "job-1"), end);
    let served = usize::from(end == JobEnd::Served);
    assert_eq!(started(&environment), [0, served]);
    discovery.set_answers(AnswerForm::Compact, Delivery::AtOnce);
    discovery.resume();
    environment.wait_for_member("w1", is_drained);
    assert_eq!(run_job(&environment, "job-2"), JobEnd::Served);
    assert_eq!(started(&environment)[0], 0);
}

/// An answer that is cut off has been written all the same.
#[test]
fn an_answer_that_is_cut_off_ends_the_use_of_the_list_before_it() {
    let environment = two_workers();
    let discovery = &environment.discovery;
    discovery.set_answers(AnswerForm::Compact, Delivery::CutAfter(FIRST_BYTES));
    let drained = entry(&environment, "w1", "draining");
    list_large_fleet(discovery, &[], &[drained]);
    environment.wait_for_log(PAUSED);
    assert_eq!(run_job(&environment, "job-1"), JobEnd::Rejected);
    discovery.set_answers(AnswerForm::Compact, Delivery::AtOnce);
    environment.wait_for_member("w1", is_drained);
    assert_eq!(run_job(&environment, "job-2"), JobEnd::Served);
    assert_eq!(started(&environment), [0, 1]);
}

/// A list that takes longer to come than a silent call is given is taken all the same.
#[test]
fn a_list_of_thousands_of_workers_is_taken_though_it_comes_slowly() {
    let environment = two_workers();
    let pause = Duration::from_millis(100);
    let paced = Delivery::Paced {
        bytes: 16 * 1024,
        pause,
    };
    let discovery = &environment.discovery;
    discovery.set_answers(AnswerForm::Compact, paced);
    let drained = entry(&environment, "w1", "draining");
    list_large_fleet(discovery, &[], &[drained]);
    environment.wait_for_member("w1", is_drained);
    assert_eq!(started(&environment), [0, 0]);
}

/// A process that takes over knows all workers of its predecessor at once, though discovery is down, and so do operators.
#[test]
fn a_list_of_thousands_of_workers_outlives_an_upgrade() {
    let mut environment = two_workers();
    list_large_fleet(&environment.discovery, &[], &[]);
    environment.wait_for_member("z-03199", is_drained);
    environment.discovery.set_down(true);
    environment.start_successor();
    environment.wait_for_member("z-03199", is_drained);
    let members = environment.members();
    assert_eq!(members.len(), 2 + WORKERS);
    let drained = members.iter().filter(|line| is_drained(Some(line)));
    assert_eq!(drained.count(), WORKERS);
    assert!(environment.has_logged("takes over from a process that runs"));
}

/// A process that starts from its file alone knows what the file lists.
#[test]
fn a_list_of_thousands_of_workers_in_the_file_is_used() {
    let environment = TestEnvironment::start_with(EnvironmentOptions::default(), |discovery| {
        list_large_fleet(discovery, &[], &[]);
        discovery.set_down(true);
    });
    assert_eq!(environment.members().len(), 3 + WORKERS);
    assert_eq!(run_job(&environment, "job-1"), JobEnd::Served);
}
