//! The interface of the server to the scheduler, which sends jobs to workers.

use crate::error::Problem;
use crate::message::{Machine, Queue};
use crate::template::Template;
use marbledeck_dispatcher::{Micros, RequestId};

/// A job that is passed to the scheduler.
#[derive(Debug)]
pub struct JobRequest<'a> {
    /// The request class.
    pub class: &'a str,
    /// The tenant.
    pub tenant: Option<&'a str>,
    /// The time until the job's deadline.
    pub time_left: Micros,
    /// The number of slots that it takes.
    pub slots: f64,
    /// The job's id, which also identifies it at the worker.
    pub job_id: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The path and query of the request to the worker.
    pub target: String,
    /// The body of the request to the worker.
    pub body: Vec<u8>,
    /// Where the job is to run.
    pub placement: Placement,
    /// The complete template.
    pub template: &'a Template,
    /// The job's index in its array.
    pub index: Option<i64>,
}

/// Where a job is to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// At this site.
    Local,
    /// At another site.
    Remote,
}

/// The properties of a request class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassProperties {
    /// The deadline of its jobs if the template sets none.
    pub deadline: Micros,
    /// How long workers drop repeats of an idempotency key; zero if the class has no keys.
    pub dedup_window: Micros,
    /// Whether the scheduler may retry its jobs.
    pub allows_retries: bool,
}

/// The final result of a job, as the scheduler reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A worker has sent this result.
    Served(Vec<u8>),
    /// The job has not run: a retry is harmless.
    Rejected {
        /// How long a client should wait before a retry.
        retry_after: Option<Micros>,
    },
    /// The job may or may not have run.
    Failed,
}

/// The scheduler, as the server needs it.
pub trait Scheduler {
    /// The properties of the class with this name.
    fn class_properties(&self, class: &str) -> Option<ClassProperties>;

    /// Checks a job's class, tenant and key.
    ///
    /// # Errors
    /// Why [`Scheduler::submit`] would reject such a job regardless of its deadline and the load.
    fn check(&self, class: &str, tenant: Option<&str>, has_key: bool) -> Result<(), Problem>;

    /// Decides by a job's manifest at which site it runs.
    ///
    /// # Errors
    /// If no site can run it, or the decision is not possible at present.
    fn place(&self, _template: &Template) -> Result<Placement, Problem> {
        Ok(Placement::Local)
    }

    /// Accepts a job. Its end is reported once, by [`Server::handle_verdict`](crate::Server::handle_verdict).
    ///
    /// # Errors
    /// Why it was rejected; it has not run.
    fn submit(&mut self, now: Micros, request: JobRequest) -> Result<RequestId, Problem>;

    /// Takes a job back if it was never sent to a worker, and returns whether it did. The end of a recalled job is not
    /// reported.
    fn recall(&mut self, now: Micros, id: RequestId) -> bool;

    /// Abandons a job, whose end is not reported. Returns when it was last sent to a worker that may have run it.
    fn abandon(&mut self, now: Micros, id: RequestId) -> Option<Micros>;

    /// Counts a resubmission that joined an earlier job.
    fn count_duplicate(&mut self);

    /// The request classes.
    fn queues(&self) -> Vec<Queue>;

    /// The workers.
    fn machines(&self, now: Micros) -> Vec<Machine>;
}
