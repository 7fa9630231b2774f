//! The conformance suite of the submission interface: a table of clauses of DRMAA's specifications, each with the
//! expected behaviour and a test against a running node with simulated neighbours. A clause without a test counts as
//! failed. A clause about an optional feature is not applicable only where the node's capabilities declare the feature
//! absent, which the test of the clause checks.

mod report;
mod v1;
mod v2;

pub use report::report;

use marbledeck_submission_client::{Client, Settings, Template};
use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// The result of a clause in a run of the suite.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The node does what the clause asks for.
    Passed,
    /// The node does not, or the clause has no test. Carries the reason.
    Failed(String),
    /// The clause is about something optional that the node declares absent.
    NotApplicable,
}

/// What the test of a clause found where it did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node does what the clause asks for.
    Holds,
    /// A capability of the node declares the optional feature absent.
    NotApplicable,
}

/// The test of a clause. It fails by a panic.
pub type ClauseTest = fn(&World) -> Outcome;

/// One clause.
pub struct Clause {
    /// The number of the specification, and the section.
    pub section: &'static str,
    /// The expected behaviour, as the table shows it.
    pub expected: &'static str,
    /// The test; a clause without one counts as failed.
    pub test: Option<ClauseTest>,
}

/// A running node with simulated neighbours, and a client of its submission interface.
pub struct World {
    /// The node, its workers and its registry.
    pub environment: TestEnvironment,
    /// A client that is connected to the node.
    pub client: Client,
}

impl World {
    /// Starts a node with three workers. A command `/slow...` runs for four seconds and `/fail...` fails; any other
    /// command is served in a few milliseconds.
    #[must_use]
    pub fn start() -> Self {
        let environment = TestEnvironment::start(EnvironmentOptions {
            submission_keys: "history = 64\nretain_s = 600\nmax_sessions = 120".to_owned(),
            ..EnvironmentOptions::default()
        });
        for worker in &environment.workers {
            worker.set_behaviour(|job| behaviour_of(&job.target));
        }
        let client = Client::new(Settings::new(environment.submission_address.clone()));
        World {
            environment,
            client,
        }
    }

    /// A job template of the idempotent class `preview`.
    #[must_use]
    pub fn preview(&self, command: &str) -> Template {
        Template {
            remote_command: command.to_owned(),
            job_category: "preview".to_owned(),
            accounting_id: Some("au".to_owned()),
            ..Template::default()
        }
    }

    /// Submits a held job to this session, or without a session; returns the id of the job.
    ///
    /// # Panics
    ///
    /// Where the node does not accept the job.
    pub fn submit_held_job(&self, command: &str, session: Option<&str>) -> String {
        let template = Template {
            submit_as_hold: true,
            ..self.preview(command)
        };
        let job = self.client.run_job(template, session);
        job.expect("a held job is taken").job_id
    }

    /// Submits a job and waits for its end; returns the id of the job.
    ///
    /// # Panics
    ///
    /// Where the node does not accept or finish the job.
    pub fn run_finished_job(&self, command: &str) -> String {
        let job = self
            .client
            .run_job(self.preview(command), None)
            .expect("taken")
            .job_id;
        let ended = self.client.wait_terminated(&job, WAIT_TIMEOUT);
        ended.expect("it ends");
        job
    }

    /// Submits a slow job and waits for its start; returns the id of the job.
    ///
    /// # Panics
    ///
    /// Where the node does not accept or start the job.
    pub fn start_running_job(&self) -> String {
        let job = self
            .client
            .run_job(self.preview("/slow"), None)
            .expect("taken")
            .job_id;
        let started = self.client.wait_started(&job, WAIT_TIMEOUT);
        assert_eq!(
            started.expect("it runs").job_state,
            marbledeck_submission_client::JobState::Running
        );
        job
    }
}

/// How the workers serve the job with this command.
fn behaviour_of(command: &str) -> JobBehaviour {
    if command.starts_with("/slow") {
        JobBehaviour::Serve(SLOW_JOB_DURATION, "late".to_owned())
    } else if command.starts_with("/fail") {
        JobBehaviour::Fail(JOB_DURATION)
    } else {
        JobBehaviour::Serve(JOB_DURATION, format!("made {command}"))
    }
}

/// How long a worker takes for an ordinary job.
const JOB_DURATION: Duration = Duration::from_millis(5);

/// How long a worker takes for a job whose command begins with `/slow`.
const SLOW_JOB_DURATION: Duration = Duration::from_millis(4000);

/// The timeout of waits that are expected to succeed: far longer than any job of the suite takes.
pub const WAIT_TIMEOUT: Option<Duration> = Some(Duration::from_secs(30));

/// All clauses, in the order of their sections.
#[must_use]
pub fn clauses() -> Vec<Clause> {
    let mut clauses = v2::clauses();
    clauses.extend(v1::clauses());
    clauses
}

/// A clause and its result.
pub struct ClauseResult {
    /// The clause.
    pub clause: Clause,
    /// Its result.
    pub verdict: Verdict,
}

/// Runs all clauses against one node.
#[must_use]
pub fn run() -> Vec<ClauseResult> {
    let world = World::start();
    let run_clause = |clause: Clause| {
        let verdict = run_test(&world, clause.test);
        ClauseResult { clause, verdict }
    };
    clauses().into_iter().map(run_clause).collect()
}

/// Runs the test of one clause.
fn run_test(world: &World, test: Option<ClauseTest>) -> Verdict {
    let Some(test) = test else {
        return Verdict::Failed("there is no test".to_owned());
    };
    match catch_unwind(AssertUnwindSafe(|| test(world))) {
        Ok(Outcome::Holds) => Verdict::Passed,
        Ok(Outcome::NotApplicable) => Verdict::NotApplicable,
        Err(payload) => Verdict::Failed(panic_message(payload.as_ref())),
    }
}

/// The message of a panic; empty where it carries no text.
fn panic_message(payload: &(dyn Any + Send)) -> String {
    if let Some(message) = payload.downcast_ref::<String>() {
        message.clone()
    } else if let Some(message) = payload.downcast_ref::<&str>() {
        (*message).to_owned()
    } else {
        String::new()
    }
}
