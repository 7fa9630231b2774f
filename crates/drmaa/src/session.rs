//! The DRMAA session of a process (GFD.133): the jobs submitted since `drmaa_init` and their results.
//!
//! Each DRMAA session creates a job session on the node, whose events notify the library when a job ends. The collector
//! thread then fetches the job information and reaps the job on the node, so that a program can wait for any number of
//! jobs at any later time. `drmaa_wait` and `drmaa_synchronize` use the local job table and query the node only for jobs
//! of other sessions.

mod action;
mod collector;
mod job_table;
mod result_files;

use crate::errno::{Errno, Failure, Result};
use crate::native::{ContactString, NativeSpecification};
use crate::template::Template;
pub use action::Action;
use collector::{Collector, CollectorMessage};
use job_table::{JobTable, SessionJob};
use marbledeck_submission_client::{
    Client, ErrorId, IndexRange, JobInfo, JobState, Operation, Settings, Targets,
};
use rand::Rng;
use result_files::ResultFiles;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a request is retried while the node cannot be reached.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long [`Session::state`] waits for the collector to record a job that it has already reaped on the node.
const COLLECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// `DRMAA_JOB_IDS_SESSION_ANY`: any job of the session.
pub const SESSION_ANY: &str = "DRMAA_JOB_IDS_SESSION_ANY";

/// `DRMAA_JOB_IDS_SESSION_ALL`: all jobs of the session.
pub const SESSION_ALL: &str = "DRMAA_JOB_IDS_SESSION_ALL";

/// The DRMAA session of a process.
pub struct Session {
    contact: String,
    name: String,
    defaults: NativeSpecification,
    client: Arc<Client>,
    jobs: Arc<JobTable>,
    collector: Mutex<Option<JoinHandle<()>>>,
    collector_messages: Sender<CollectorMessage>,
}

/// The timeout of a wait; `None` waits without a limit.
pub type Timeout = Option<Duration>;

impl Session {
    /// Connects to a node and begins a session.
    ///
    /// # Errors
    /// `InvalidContactString` if the contact string is malformed, `DrmCommunication` if the node cannot be reached,
    /// `DrmsInitFailed` if the collector thread cannot be started.
    pub fn begin(contact: &str) -> Result<Self> {
        let ContactString { address, defaults } = ContactString::parse(contact)?;
        let settings = Settings {
            retry_timeout: RETRY_TIMEOUT,
            ..Settings::new(address)
        };
        let (collector_messages, messages) = channel();
        let event_messages = collector_messages.clone();
        let client = Arc::new(Client::with_events(
            settings,
            Box::new(move |event| {
                if let Some(message) = CollectorMessage::from_event(event) {
                    let _ = event_messages.send(message);
                }
            }),
        ));
        let name = format!("drmaa-{:016x}", rand::rng().random::<u64>());
        client.create_or_open_session(&name, None)?;
        let jobs: Arc<JobTable> = Arc::default();
        let collector = Collector {
            client: client.clone(),
            jobs: jobs.clone(),
            session: name.clone(),
            messages,
        };
        let collector = std::thread::Builder::new()
            .name("drmaa-collector".to_owned())
            .spawn(move || collector.run())
            .map_err(|error| Failure::new(Errno::DrmsInitFailed, error.to_string()))?;
        Ok(Session {
            contact: contact.to_owned(),
            name,
            defaults,
            client,
            jobs,
            collector: Mutex::new(Some(collector)),
            collector_messages,
        })
    }

    /// Ends the session and makes all waits fail. Its jobs continue.
    pub fn end(&self) {
        self.jobs.end_session();
        let _ = self.collector_messages.send(CollectorMessage::SessionEnded);
        let _ = self.client.destroy_session(&self.name);
        self.client.close();
        let collector = self
            .collector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(collector) = collector {
            let _ = collector.join();
        }
    }

    /// The contact string passed to [`Session::begin`].
    pub fn contact(&self) -> &str {
        &self.contact
    }

    /// Adds a submitted job to the job table.
    fn add_job(&self, id: &str, files: ResultFiles) {
        let job = SessionJob {
            final_info: None,
            files,
        };
        // The node may answer a duplicate submission key with a job that the session already has; keep that entry.
        self.jobs.lock().by_id.entry(id.to_owned()).or_insert(job);
        // If the job ended before it was added, its event was ignored: have the collector check it.
        let message = CollectorMessage::JobEnded(id.to_owned());
        let _ = self.collector_messages.send(message);
    }

    /// Submits a job and returns its id.
    ///
    /// # Errors
    /// An error that names the attribute that is not supported, or the error of the node.
    pub fn run_job(&self, template: &Template) -> Result<String> {
        let request = template.to_request(&self.defaults, false)?;
        let job = self.client.run_job(request.template, Some(&self.name))?;
        let files = ResultFiles {
            output_path: request.output_path,
            error_path: request.error_path,
            index: None,
        };
        self.add_job(&job.job_id, files);
        Ok(job.job_id)
    }

    /// Submits a job for each index and returns the ids. If the node rejects some of the jobs, the accepted ones are
    /// terminated and reaped, since DRMAA 1.0 cannot report a partial success.
    ///
    /// # Errors
    /// An error that names the attribute that is not supported, or the error of the node.
    pub fn run_bulk_jobs(&self, template: &Template, indices: IndexRange) -> Result<Vec<String>> {
        let IndexRange { begin, end, step } = indices;
        if begin < 1 || end < 1 || step == 0 || step > 0 && begin > end || step < 0 && begin < end {
            let message =
                "invalid job indices: expected indices of at least 1 and a nonzero step from start towards end";
            return Err(Failure::new(Errno::InvalidArgument, message));
        }
        let request = template.to_request(&self.defaults, true)?;
        let bulk = self.client.run_bulk(
            request.template,
            indices,
            request.max_parallel,
            Some(&self.name),
        )?;
        let mut first_problem = None;
        let mut accepted_jobs = Vec::with_capacity(bulk.jobs.len());
        for job in bulk.jobs {
            match job.result {
                Ok(accepted) => accepted_jobs.push((job.index, accepted.job_id)),
                Err(problem) => drop(first_problem.get_or_insert(problem)),
            }
        }
        if let Some(problem) = first_problem {
            for (_, job_id) in accepted_jobs {
                self.terminate_and_reap(job_id);
            }
            return Err(marbledeck_submission_client::Error::Problem(problem).into());
        }
        for (index, job_id) in &accepted_jobs {
            let files = ResultFiles {
                output_path: request.output_path.clone(),
                error_path: request.error_path.clone(),
                index: Some(*index),
            };
            self.add_job(job_id, files);
        }
        let job_ids = accepted_jobs.into_iter().map(|(_, job_id)| job_id);
        Ok(job_ids.collect())
    }

    /// Terminates a job and reaps it on the node; errors are ignored.
    fn terminate_and_reap(&self, job_id: String) {
        let targets = Targets::job(job_id);
        let _ = self.client.control(Operation::Terminate {
            targets: targets.clone(),
        });
        let _ = self.client.control(Operation::Reap { targets });
    }

    /// Waits for the end of a job, or of any job of the session, and reaps it.
    ///
    /// # Errors
    /// `InvalidJob` if the job is unknown or was reaped, `ExitTimeout` after the timeout, `NoActiveSession` if the
    /// session ends during the wait.
    pub fn wait(&self, id: &str, timeout: Timeout) -> Result<JobInfo> {
        let deadline = timeout.map(|timeout| Instant::now() + timeout);
        let mut jobs = self.jobs.lock();
        loop {
            if jobs.is_session_ended {
                return Err(Errno::NoActiveSession.into());
            }
            let ended_id = if id == SESSION_ANY {
                if jobs.by_id.is_empty() {
                    return Err(Errno::InvalidJob.into());
                }
                jobs.pop_ended_id()
            } else if let Some(job) = jobs.by_id.get(id) {
                job.final_info.as_ref().map(|_| id.to_owned())
            } else {
                drop(jobs);
                return self.wait_foreign(id, timeout);
            };
            if let Some(job) = ended_id.and_then(|id| jobs.remove_ended(&id)) {
                drop(jobs);
                job.files.write(&job.info)?;
                return Ok(*job.info);
            }
            jobs = self.jobs.wait_for_change(jobs, deadline)?;
        }
    }

    /// Waits for the end of a job of another session and reaps it.
    fn wait_foreign(&self, id: &str, timeout: Timeout) -> Result<JobInfo> {
        let info = self
            .client
            .wait_terminated(id, timeout)
            .map_err(job_failure)?;
        let targets = Targets::job(id);
        // If another waiter has reaped the job, this request and the wait fail.
        self.client
            .control(Operation::Reap { targets })
            .map_err(job_failure)?;
        Ok(info)
    }

    /// Waits until all of these jobs have ended, and reaps them if `dispose` is set.
    ///
    /// # Errors
    /// `InvalidJob` if a job is unknown, `ExitTimeout` after the timeout, `NoActiveSession` if the session ends during
    /// the wait.
    pub fn synchronize(&self, ids: &[String], timeout: Timeout, dispose: bool) -> Result<()> {
        let deadline = timeout.map(|timeout| Instant::now() + timeout);
        let is_whole_session = ids.iter().any(|id| id == SESSION_ALL);
        let ids: Vec<String> = if is_whole_session {
            // The jobs submitted before this call. A job that another thread reaps during the wait has ended.
            self.jobs.lock().by_id.keys().cloned().collect()
        } else {
            ids.to_vec()
        };
        if !is_whole_session {
            self.synchronize_foreign(&ids, deadline, dispose)?;
        }
        let mut jobs = self.jobs.lock();
        loop {
            if jobs.is_session_ended {
                return Err(Errno::NoActiveSession.into());
            }
            if !ids.iter().any(|id| jobs.is_unfinished(id)) {
                break;
            }
            jobs = self.jobs.wait_for_change(jobs, deadline)?;
        }
        if dispose {
            let ended: Vec<_> = ids.iter().filter_map(|id| jobs.remove_ended(id)).collect();
            drop(jobs);
            for job in ended {
                job.files.write(&job.info)?;
            }
        }
        Ok(())
    }

    /// Waits for those of the jobs that belong to other sessions, and reaps them if `dispose` is set.
    fn synchronize_foreign(
        &self,
        ids: &[String],
        deadline: Option<Instant>,
        dispose: bool,
    ) -> Result<()> {
        let foreign: Vec<&String> = {
            let jobs = self.jobs.lock();
            let unknown = ids.iter().filter(|id| !jobs.by_id.contains_key(*id));
            unknown.collect()
        };
        for id in foreign {
            let remaining =
                deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
            self.client
                .wait_terminated(id, remaining)
                .map_err(job_failure)?;
            if dispose {
                let targets = Targets::job(id.as_str());
                let _ = self.client.control(Operation::Reap { targets });
            }
        }
        Ok(())
    }

    /// Applies a control operation to a job, or to all unfinished jobs of the session.
    ///
    /// # Errors
    /// `InvalidJob` if the job is unknown or has ended, or the `InconsistentState` error of the action if the state of
    /// the job does not allow it. For all jobs, the first error.
    pub fn control(&self, id: &str, action: Action) -> Result<()> {
        if id != SESSION_ALL {
            return self.control_one(id, action);
        }
        let unfinished_ids = self.jobs.lock().unfinished_ids();
        let mut first_result = Ok(());
        for id in unfinished_ids {
            match self.control_one(&id, action) {
                // The job has ended since the ids were collected.
                Err(failure) if failure.errno == Errno::InvalidJob => {}
                result => first_result = first_result.and(result),
            }
        }
        first_result
    }

    /// Applies a control operation to one job.
    fn control_one(&self, id: &str, action: Action) -> Result<()> {
        let is_ended = |job: &SessionJob| job.final_info.is_some();
        if self.jobs.lock().by_id.get(id).is_some_and(is_ended) {
            return Err(Failure::new(Errno::InvalidJob, "the job has ended"));
        }
        let operation = action.operation(Targets::job(id));
        self.client.control(operation).map(drop).map_err(|error| {
            if error.is(ErrorId::InvalidState) || error.is(ErrorId::UnsupportedOperation) {
                Failure::new(action.inconsistent_state(), error.to_string())
            } else {
                job_failure(error)
            }
        })
    }

    /// Returns the state of a job.
    ///
    /// # Errors
    /// `InvalidJob` if the job is unknown or was reaped.
    pub fn state(&self, id: &str) -> Result<JobState> {
        let ended_state = self.jobs.lock().ended_state(id);
        if let Some(state) = ended_state {
            return Ok(state);
        }
        match self.client.job_info(id) {
            Ok(info) => Ok(info.job_state),
            // The collector may have reaped the job after the lookup in the job table.
            Err(error) => self.wait_for_collected_state(id, job_failure(error)),
        }
    }

    /// Waits until the collector has recorded the end of a job that the node does not know; fails with `failure` if the
    /// job is not in the job table or is not recorded within [`COLLECTION_TIMEOUT`].
    fn wait_for_collected_state(&self, id: &str, failure: Failure) -> Result<JobState> {
        let deadline = Instant::now() + COLLECTION_TIMEOUT;
        let mut jobs = self.jobs.lock();
        loop {
            if let Some(state) = jobs.ended_state(id) {
                return Ok(state);
            }
            if !jobs.by_id.contains_key(id) {
                return Err(failure);
            }
            let Ok(changed_jobs) = self.jobs.wait_for_change(jobs, Some(deadline)) else {
                return Err(failure);
            };
            jobs = changed_jobs;
        }
    }
}

/// Converts the error of a request about a job; the node rejects an unknown id with `INVALID_ARGUMENT`.
fn job_failure(error: marbledeck_submission_client::Error) -> Failure {
    if error.is(ErrorId::InvalidArgument) {
        Failure::new(Errno::InvalidJob, error.to_string())
    } else {
        error.into()
    }
}
