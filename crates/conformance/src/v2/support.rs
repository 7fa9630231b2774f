//! Steps that the tests of several sections share. Each panics where the node does not do what the step expects.

use crate::{Clause, ClauseTest, Outcome, World, WAIT_TIMEOUT};
use marbledeck_submission_client::{
    Client, ControlSummary, Error, ErrorId, Event, IndexRange, JobInfo, JobState, Operation,
    Settings, Targets,
};
use serde_json::Value;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long the suite waits for a condition or an event.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// The pause between two looks at a condition.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A clause with a test.
pub(super) fn clause(section: &'static str, expected: &'static str, test: ClauseTest) -> Clause {
    Clause {
        section,
        expected,
        test: Some(test),
    }
}

/// The error of a request that is expected to fail.
pub(super) fn expect_error<T>(response: Result<T, Error>) -> ErrorId {
    match response {
        Ok(_) => panic!("it was not refused"),
        Err(error) => error
            .problem()
            .map(|problem| problem.error)
            .unwrap_or_else(|| panic!("{error}")),
    }
}

/// The present state of a job.
pub(super) fn job_state(world: &World, job_id: &str) -> JobState {
    world.client.job_info(job_id).expect("known").job_state
}

/// Waits for the end of a job; returns its information.
pub(super) fn wait_until_done(world: &World, job_id: &str) -> JobInfo {
    world
        .client
        .wait_terminated(job_id, WAIT_TIMEOUT)
        .expect("it ends")
}

/// Whether the node declares this capability present.
pub(super) fn has_capability(world: &World, capability: &str) -> bool {
    let response = world
        .client
        .request(Operation::GetCapabilities)
        .expect("the capabilities are readable");
    response["capabilities"][capability]
        .as_bool()
        .expect("declared")
}

/// Checks that the capability, if there is one, is declared absent, and that a template with the attribute is rejected
/// by an error that names it. The clause is then not applicable.
pub(super) fn expect_unsupported_attribute(
    world: &World,
    capability: Option<&str>,
    attribute: &str,
    value: Value,
) -> Outcome {
    if let Some(capability) = capability {
        assert!(
            !has_capability(world, capability),
            "{capability} is declared"
        );
    }
    let mut template = world.preview("/x");
    template.others.insert(attribute.to_owned(), value);
    let response = world.client.run_job(template, None);
    let message = response
        .as_ref()
        .err()
        .map(ToString::to_string)
        .unwrap_or_default();
    assert_eq!(expect_error(response), ErrorId::UnsupportedAttribute);
    assert!(message.contains(attribute), "{message}");
    Outcome::NotApplicable
}

/// Sends a control operation for one job.
pub(super) fn control(
    world: &World,
    operation: fn(Targets) -> Operation,
    job_id: &str,
) -> Result<ControlSummary, Error> {
    world.client.control(operation(Targets::job(job_id)))
}

/// The operation that holds these jobs.
pub(super) fn hold(targets: Targets) -> Operation {
    Operation::Hold { targets }
}

/// The operation that releases these jobs.
pub(super) fn release(targets: Targets) -> Operation {
    Operation::Release { targets }
}

/// The operation that terminates these jobs.
pub(super) fn terminate(targets: Targets) -> Operation {
    Operation::Terminate { targets }
}

/// The operation that suspends these jobs.
pub(super) fn suspend(targets: Targets) -> Operation {
    Operation::Suspend { targets }
}

/// The operation that resumes these jobs.
pub(super) fn resume(targets: Targets) -> Operation {
    Operation::Resume { targets }
}

/// The operation that reaps these jobs.
pub(super) fn reap(targets: Targets) -> Operation {
    Operation::Reap { targets }
}

/// Creates a session.
pub(super) fn create_session(world: &World, name: &str) {
    let name = name.to_owned();
    world
        .client
        .request(Operation::CreateSession { name })
        .expect("created");
}

/// The ids of an accepted bulk.
pub(super) struct SubmittedBulk {
    /// The id of the job array.
    pub(super) array_id: String,
    /// The ids of the jobs, in the order of their indices.
    pub(super) job_ids: Vec<String>,
}

/// Submits a bulk with the indices from 1 to `count`, of which at most `max_parallel` run at a time.
pub(super) fn submit_bulk(
    world: &World,
    command: &str,
    count: i64,
    max_parallel: Option<u32>,
    session: Option<&str>,
) -> SubmittedBulk {
    let template = world.preview(command);
    let indices = IndexRange::new(1, count, 1);
    let bulk = world
        .client
        .run_bulk(template, indices, max_parallel, session)
        .expect("the bulk is accepted");
    let job_ids = bulk
        .jobs
        .iter()
        .map(|job| job.result.as_ref().expect("accepted").job_id.clone())
        .collect();
    SubmittedBulk {
        array_id: bulk.arrays[0].clone(),
        job_ids,
    }
}

/// The time so many milliseconds from now, in milliseconds since 1970.
pub(super) fn milliseconds_from_now(milliseconds: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("after 1970").as_millis() as u64 + milliseconds
}

/// Waits until the condition is met.
pub(super) fn wait_for_condition(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{description}");
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
    /// Connects to the node.
    pub(super) fn connect(world: &World) -> Self {
        let (sender, events) = channel();
        let forward_event = move |event: Event| drop(sender.send(event));
        let settings = Settings::new(world.environment.submission_address.clone());
        let client = Client::with_events(settings, Box::new(forward_event));
        EventReader { client, events }
    }

    /// Waits for the next event.
    pub(super) fn next_event(&self) -> Event {
        self.events
            .recv_timeout(CONDITION_TIMEOUT)
            .expect("an event arrives")
    }
}

/// The first `count` states in the event history of a session.
pub(super) fn state_history(world: &World, session: &str, count: usize) -> Vec<JobState> {
    let reader = EventReader::connect(world);
    reader.client.open_session(session, Some(0)).unwrap();
    let next_state = || match reader.next_event() {
        Event::NewState { job_state, .. } => job_state,
        gap => panic!("{gap:?}"),
    };
    (0..count).map(|_| next_state()).collect()
}
