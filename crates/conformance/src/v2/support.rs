//! Helpers shared by the tests of several sections. They panic if the node does not behave as expected.

use crate::{Clause, ClauseTest, Fixture, Outcome, WAIT_TIMEOUT};
use marbledeck_submission_client::{
    Client, ControlSummary, Error, ErrorId, Event, IndexRange, JobInfo, JobState, Operation,
    Settings, Targets,
};
use serde_json::Value;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Timeout for a condition or an event.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Creates a clause with a test.
pub(super) fn clause(section: &'static str, expected: &'static str, test: ClauseTest) -> Clause {
    Clause {
        section,
        expected,
        test: Some(test),
    }
}

/// Returns the error identifier of a request that is expected to fail.
pub(super) fn expect_error<T>(response: Result<T, Error>) -> ErrorId {
    match response {
        Ok(_) => panic!("the request succeeded, but the node was expected to reject it"),
        Err(error) => error
            .problem()
            .map(|problem| problem.error)
            .unwrap_or_else(|| panic!("{error}")),
    }
}

/// Returns the current state of a job.
pub(super) fn job_state(fixture: &Fixture, job_id: &str) -> JobState {
    fixture
        .client
        .job_info(job_id)
        .expect("the job is known")
        .job_state
}

/// Waits for the end of a job and returns its information.
pub(super) fn wait_until_ended(fixture: &Fixture, job_id: &str) -> JobInfo {
    fixture
        .client
        .wait_terminated(job_id, WAIT_TIMEOUT)
        .expect("the job ends in time")
}

/// Whether the node declares this capability present.
pub(super) fn has_capability(fixture: &Fixture, capability: &str) -> bool {
    let response = fixture
        .client
        .request(Operation::GetCapabilities)
        .expect("the node returns its capabilities");
    response["capabilities"][capability]
        .as_bool()
        .expect("the capability is declared present or absent")
}

/// Asserts that the capability, if given, is declared absent, and that a template with the attribute is rejected with
/// an error that names the attribute. The clause is then not applicable.
pub(super) fn expect_unsupported_attribute(
    fixture: &Fixture,
    capability: Option<&str>,
    attribute: &str,
    value: Value,
) -> Outcome {
    if let Some(capability) = capability {
        assert!(
            !has_capability(fixture, capability),
            "{capability} is declared present"
        );
    }
    let mut template = fixture.preview_template("/x");
    template.others.insert(attribute.to_owned(), value);
    let response = fixture.client.run_job(template, None);
    let message = response
        .as_ref()
        .err()
        .map(ToString::to_string)
        .unwrap_or_default();
    assert_eq!(expect_error(response), ErrorId::UnsupportedAttribute);
    assert!(message.contains(attribute), "{message}");
    Outcome::NotApplicable
}

/// Applies a control operation to a job.
pub(super) fn control(
    fixture: &Fixture,
    operation: fn(Targets) -> Operation,
    job_id: &str,
) -> Result<ControlSummary, Error> {
    fixture.client.control(operation(Targets::job(job_id)))
}

/// Creates the operation that holds jobs.
pub(super) fn hold(targets: Targets) -> Operation {
    Operation::Hold { targets }
}

/// Creates the operation that releases jobs.
pub(super) fn release(targets: Targets) -> Operation {
    Operation::Release { targets }
}

/// Creates the operation that terminates jobs.
pub(super) fn terminate(targets: Targets) -> Operation {
    Operation::Terminate { targets }
}

/// Creates the operation that suspends jobs.
pub(super) fn suspend(targets: Targets) -> Operation {
    Operation::Suspend { targets }
}

/// Creates the operation that resumes jobs.
pub(super) fn resume(targets: Targets) -> Operation {
    Operation::Resume { targets }
}

/// Creates the operation that reaps jobs.
pub(super) fn reap(targets: Targets) -> Operation {
    Operation::Reap { targets }
}

/// Creates a session.
pub(super) fn create_session(fixture: &Fixture, name: &str) {
    let name = name.to_owned();
    fixture
        .client
        .request(Operation::CreateSession { name })
        .expect("the session is created");
}

/// The ids of an accepted bulk job.
pub(super) struct SubmittedBulk {
    /// The id of the job array.
    pub(super) array_id: String,
    /// The ids of the jobs, in the order of their indices.
    pub(super) job_ids: Vec<String>,
}

/// Submits a bulk job with the indices from 1 to `count`, of which at most `max_parallel` jobs run at the same time.
pub(super) fn submit_bulk(
    fixture: &Fixture,
    command: &str,
    count: i64,
    max_parallel: Option<u32>,
    session: Option<&str>,
) -> SubmittedBulk {
    let template = fixture.preview_template(command);
    let indices = IndexRange::new(1, count, 1);
    let bulk = fixture
        .client
        .run_bulk(template, indices, max_parallel, session)
        .expect("the node accepts the bulk job");
    let job_ids = bulk
        .jobs
        .iter()
        .map(|job| {
            job.result
                .as_ref()
                .expect("the node accepts each job")
                .job_id
                .clone()
        })
        .collect();
    SubmittedBulk {
        array_id: bulk.arrays[0].clone(),
        job_ids,
    }
}

/// Returns the time this many milliseconds from now, in milliseconds since the Unix epoch.
pub(super) fn milliseconds_from_now(milliseconds: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("the clock is past the Unix epoch").as_millis() as u64 + milliseconds
}

/// Polls a condition until it is true.
pub(super) fn wait_for_condition(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting: {description}"
        );
        std::thread::sleep(CONDITION_POLL_INTERVAL);
    }
}

/// A client that receives the events of the sessions it opens.
pub(super) struct EventReader {
    /// The client.
    pub(super) client: Client,
    events: Receiver<Event>,
}

impl EventReader {
    /// Creates a client, which connects with its first request.
    pub(super) fn new(fixture: &Fixture) -> Self {
        let (sender, events) = channel();
        let forward_event = move |event: Event| drop(sender.send(event));
        let settings = Settings::new(fixture.environment.submission_address.clone());
        let client = Client::with_events(settings, Box::new(forward_event));
        EventReader { client, events }
    }

    /// Waits for the next event.
    pub(super) fn next_event(&self) -> Event {
        self.events
            .recv_timeout(CONDITION_TIMEOUT)
            .expect("an event arrives in time")
    }
}

/// Returns the job states of the first `count` events of a session.
pub(super) fn state_history(fixture: &Fixture, session: &str, count: usize) -> Vec<JobState> {
    let reader = EventReader::new(fixture);
    reader.client.open_session(session, Some(0)).unwrap();
    let next_state = || match reader.next_event() {
        Event::NewState { job_state, .. } => job_state,
        gap => panic!("unexpected event: {gap:?}"),
    };
    (0..count).map(|_| next_state()).collect()
}
