//! DRMAA conformance suite of the submission interface. It consists of clauses of the specifications, each with the
//! expected behaviour and a test that runs against a node with a stub registry and stub workers. A clause without a
//! test counts as failed. A clause about an optional feature is not applicable only if the node's capabilities declare
//! the feature absent, which its test checks.

mod report;
mod v1;
mod v2;

pub use report::report;

use marbledeck_submission_client::{Client, Settings, Template};
use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// The result of a clause in a run of the conformance suite.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The node conforms to the clause.
    Passed,
    /// The node does not conform, or the clause has no test. Contains the reason.
    Failed(String),
    /// The clause is about an optional feature that the node declares absent.
    NotApplicable,
}

/// The result of a test that did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node conforms to the clause.
    Holds,
    /// The node's capabilities declare the optional feature absent.
    NotApplicable,
}

/// The test of a clause. It panics on failure.
pub type ClauseTest = fn(&Fixture) -> Outcome;

/// A clause of a specification with its test.
pub struct Clause {
    /// Number of the specification and section, such as `GFD.231, 8.4`.
    pub section: &'static str,
    /// The expected behaviour, as shown in the report.
    pub expected: &'static str,
    /// The test; a clause without one counts as failed.
    pub test: Option<ClauseTest>,
}

/// A running node with a stub registry and stub workers, and a client of its submission interface. All tests share it.
pub struct Fixture {
    /// The node, its stub workers and its stub registry.
    pub environment: TestEnvironment,
    /// A client of the node's submission interface.
    pub client: Client,
}

impl Fixture {
    /// Starts a node with three workers. Jobs whose command begins with `/slow` take four seconds, those whose command
    /// begins with `/fail` fail, and any other job is served in a few milliseconds.
    #[must_use]
    pub fn start() -> Self {
        let environment = TestEnvironment::start(EnvironmentOptions {
            submission_keys: "history = 64\nretain_s = 600\nmax_sessions = 120".to_owned(),
            ..EnvironmentOptions::default()
        });
        for worker in &environment.workers {
            worker.set_behaviour(|job| worker_behaviour(&job.target));
        }
        let client = Client::new(Settings::new(environment.submission_address.clone()));
        Fixture {
            environment,
            client,
        }
    }

    /// Creates a job template of the idempotent class `preview`.
    #[must_use]
    pub fn preview_template(&self, command: &str) -> Template {
        Template {
            remote_command: command.to_owned(),
            job_category: "preview".to_owned(),
            accounting_id: Some("au".to_owned()),
            ..Template::default()
        }
    }

    /// Submits a job as held, to this session or without a session, and returns its id.
    ///
    /// # Panics
    ///
    /// If the node does not accept the job.
    pub fn submit_held_job(&self, command: &str, session: Option<&str>) -> String {
        let template = Template {
            submit_as_hold: true,
            ..self.preview_template(command)
        };
        let job = self.client.run_job(template, session);
        job.expect("the node accepts a held job").job_id
    }

    /// Submits a job, waits for its end and returns its id.
    ///
    /// # Panics
    ///
    /// If the node does not accept the job or the job does not end in time.
    pub fn run_finished_job(&self, command: &str) -> String {
        let job = self
            .client
            .run_job(self.preview_template(command), None)
            .expect("the node accepts the job")
            .job_id;
        let ended = self.client.wait_terminated(&job, WAIT_TIMEOUT);
        ended.expect("the job ends in time");
        job
    }

    /// Submits a slow job, waits for its start and returns its id.
    ///
    /// # Panics
    ///
    /// If the node does not accept the job or the job does not start in time.
    pub fn start_running_job(&self) -> String {
        let job = self
            .client
            .run_job(self.preview_template("/slow"), None)
            .expect("the node accepts the job")
            .job_id;
        let started = self.client.wait_started(&job, WAIT_TIMEOUT);
        assert_eq!(
            started.expect("the job starts in time").job_state,
            marbledeck_submission_client::JobState::Running
        );
        job
    }
}

/// The behaviour of the stub workers for a job with this command.
fn worker_behaviour(command: &str) -> JobBehaviour {
    if command.starts_with("/slow") {
        JobBehaviour::Serve(SLOW_JOB_DURATION, "late".to_owned())
    } else if command.starts_with("/fail") {
        JobBehaviour::Fail(JOB_DURATION)
    } else {
        JobBehaviour::Serve(JOB_DURATION, format!("made {command}"))
    }
}

/// Run time of an ordinary job.
const JOB_DURATION: Duration = Duration::from_millis(5);

/// Run time of a job whose command begins with `/slow`.
const SLOW_JOB_DURATION: Duration = Duration::from_millis(4000);

/// Timeout of waits that are expected to succeed, far longer than any job of the suite runs.
pub const WAIT_TIMEOUT: Option<Duration> = Some(Duration::from_secs(30));

/// All clauses, in the order of their sections.
#[must_use]
pub fn clauses() -> Vec<Clause> {
    let mut clauses = v2::clauses();
    clauses.extend(v1::clauses());
    clauses
}

/// A clause and its verdict.
pub struct ClauseResult {
    /// The clause.
    pub clause: Clause,
    /// Its verdict.
    pub verdict: Verdict,
}

/// Runs the tests of all clauses against one node.
#[must_use]
pub fn run() -> Vec<ClauseResult> {
    let fixture = Fixture::start();
    let run_clause = |clause: Clause| {
        let verdict = run_test(&fixture, clause.test);
        ClauseResult { clause, verdict }
    };
    clauses().into_iter().map(run_clause).collect()
}

/// Runs the test of one clause.
fn run_test(fixture: &Fixture, test: Option<ClauseTest>) -> Verdict {
    let Some(test) = test else {
        return Verdict::Failed("the clause has no test".to_owned());
    };
    match catch_unwind(AssertUnwindSafe(|| test(fixture))) {
        Ok(Outcome::Holds) => Verdict::Passed,
        Ok(Outcome::NotApplicable) => Verdict::NotApplicable,
        Err(payload) => Verdict::Failed(panic_message(payload.as_ref())),
    }
}

/// Returns the message of a panic, or an empty string if its payload is not a string.
fn panic_message(payload: &(dyn Any + Send)) -> String {
    if let Some(message) = payload.downcast_ref::<String>() {
        message.clone()
    } else if let Some(message) = payload.downcast_ref::<&str>() {
        (*message).to_owned()
    } else {
        String::new()
    }
}
