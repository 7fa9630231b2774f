//! Submission of jobs.
//!
//! A submitted job is passed to the scheduler immediately unless it must wait. [`Server::answer_submissions`] sends the
//! answer at the end of the turn. A job that the scheduler has rejected by then is answered with an error and never
//! becomes visible.

use super::client::ClientId;
use super::dispatch::submit_request;
use super::{micros_of_unix_ms, Server, RETRY_AFTER_MS, SHUTDOWN_RETRY_AFTER_MS};
use crate::error::{ErrorId, Problem};
use crate::ids::{ArrayKey, JobKey};
use crate::jobs::{Job, JobLocation, Visibility};
use crate::message::{Accepted, BulkJobAnswer, Submitted};
use crate::scheduler::{ClassProperties, Placement, Scheduler};
use crate::sessions::SessionKey;
use crate::state::{JobState, SubState};
use crate::template::Template;
use marbledeck_dispatcher::Micros;
use serde_json::Value;
use std::rc::Rc;

/// The job that a submission has created or joined.
#[derive(Clone, Copy)]
pub(super) struct SubmittedJob {
    key: JobKey,
    /// Whether the submission joined an earlier job.
    is_duplicate: bool,
}

/// A submitted job, or why it was rejected.
pub(super) type SubmissionResult = Result<SubmittedJob, Problem>;

/// Submissions of one client in this turn that are not answered yet.
pub(super) struct Admission {
    client: ClientId,
    notify: bool,
    jobs: AdmittedJobs,
}

/// The jobs of an [`Admission`].
pub(super) enum AdmittedJobs {
    /// `runJob`.
    Single { seq: Value, job: SubmissionResult },
    /// Some members of `runBulkJobs`: the index and the submission of each.
    Bulk(Vec<(i64, SubmissionResult)>),
}

/// The array, the index in it and the session of a submitted job.
pub(super) struct Origin {
    pub(super) index: Option<i64>,
    pub(super) array: Option<ArrayKey>,
    pub(super) session: Option<SessionKey>,
}

impl Server {
    #[expect(clippy::too_many_arguments, reason = "the fields of the operation")]
    pub(super) fn handle_run_job(
        &mut self,
        now: Micros,
        client: ClientId,
        seq: &Value,
        template: Template,
        notify: bool,
        session: Option<String>,
        scheduler: &mut dyn Scheduler,
    ) -> Result<(), Problem> {
        let origin = Origin {
            index: None,
            array: None,
            session: self.find_optional_session(session)?,
        };
        let job = self.submit(now, &Rc::new(template), origin, scheduler);
        let seq = seq.clone();
        self.admit_later(client, notify, AdmittedJobs::Single { seq, job });
        Ok(())
    }

    /// Submits a job. If a job with the same submission key exists, the submission joins that job; otherwise the new
    /// job is passed to the scheduler unless it must wait.
    pub(super) fn submit(
        &mut self,
        now: Micros,
        template: &Rc<Template>,
        origin: Origin,
        scheduler: &mut dyn Scheduler,
    ) -> SubmissionResult {
        let index = origin.index;
        template.check(index)?;
        if let Some(key) = self.jobs.join(template, index)? {
            scheduler.count_duplicate();
            return Ok(SubmittedJob {
                key,
                is_duplicate: true,
            });
        }
        if self.is_shutting_down {
            return Err(Problem::try_later(
                "the node is shutting down",
                SHUTDOWN_RETRY_AFTER_MS,
            ));
        }
        let template_bytes = match origin.array {
            Some(_) => 0,
            None => template.memory_bytes(),
        };
        self.jobs.check_capacity(now, template_bytes)?;
        let placement = scheduler.place(template)?;
        let class = check_with_scheduler(now, template, placement, scheduler)?;
        let array = origin.array.and_then(|array| self.arrays.get(&array));
        let is_limited = array.is_some_and(|array| array.max_parallel.is_some());
        let mut job = Job::new(self.ids.allocate(), template.clone(), index, now);
        job.session = origin.session;
        job.array = origin.array;
        job.dedup_window = class.dedup_window;
        hold_if_requested(now, &mut job);
        self.start_or_queue(now, job, is_limited, placement, scheduler)
    }

    /// Passes a new job to the scheduler, unless it is held or its array limits its members.
    fn start_or_queue(
        &mut self,
        now: Micros,
        mut job: Job,
        is_limited: bool,
        placement: Placement,
        scheduler: &mut dyn Scheduler,
    ) -> SubmissionResult {
        let key = job.key;
        let submitted = SubmittedJob {
            key,
            is_duplicate: false,
        };
        if is_limited || job.state == JobState::QueuedHeld {
            self.jobs.insert(job);
            self.schedule_waiting_job(key);
            return Ok(submitted);
        }
        let job_id = self.ids.id(key).to_string();
        match submit_request(now, &job.template, job.index, job_id, placement, scheduler) {
            Ok(accepted) => {
                job.location = JobLocation::Scheduled(accepted.id);
                job.deadline = accepted.deadline;
                self.jobs.insert(job);
                Ok(submitted)
            }
            Err(problem) => {
                self.ids.release(key);
                Err(problem)
            }
        }
    }

    /// Schedules the answer of a submission for the end of the turn.
    pub(super) fn admit_later(&mut self, client: ClientId, notify: bool, jobs: AdmittedJobs) {
        if let Some(state) = self.clients.get_mut(&client) {
            state.is_submitting = true;
        }
        self.admissions.push(Admission {
            client,
            notify,
            jobs,
        });
    }

    /// Answers the submissions of this turn. Must be called after the scheduler has decided on their jobs: a job that
    /// it has rejected by now is answered with an error and removed.
    pub fn answer_submissions(&mut self, now: Micros) {
        for admission in std::mem::take(&mut self.admissions) {
            let (client, notify) = (admission.client, admission.notify);
            if let Some(state) = self.clients.get_mut(&client) {
                state.is_submitting = false;
            }
            match admission.jobs {
                AdmittedJobs::Single { seq, job } => {
                    let submitted = self.admit(now, client, notify, job);
                    self.send_answer(client, &seq, submitted);
                }
                AdmittedJobs::Bulk(jobs) => {
                    let mut answers = Vec::with_capacity(jobs.len());
                    for (index, job) in jobs {
                        let submitted = self.admit(now, client, notify, job);
                        answers.push(BulkJobAnswer { index, submitted });
                    }
                    self.send_bulk_answers(client, answers);
                    self.queue_task(client);
                }
            }
        }
    }

    /// Makes a submitted job visible, unless the scheduler has rejected it since its submission.
    fn admit(
        &mut self,
        now: Micros,
        client: ClientId,
        notify: bool,
        job: SubmissionResult,
    ) -> Submitted {
        let SubmittedJob { key, is_duplicate } = match job {
            Ok(job) => job,
            Err(problem) => return Submitted::Rejected(problem),
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return Submitted::Rejected(Problem::try_later("refused", RETRY_AFTER_MS));
        };
        let job_state = job.state;
        if !is_duplicate {
            if job_state == JobState::Failed {
                let problem = rejection(job);
                let array = job.array;
                self.jobs.remove(key);
                self.remove_unused_array(array);
                return Submitted::Rejected(problem);
            }
            if job.is_admitting() {
                job.visibility = Visibility::Visible;
            }
            self.add_to_groups(now, key);
        }
        if notify && !job_state.is_final() {
            self.watch(key, client);
        }
        Submitted::Accepted(Accepted {
            job_id: self.ids.id(key).to_string(),
            job_state,
            duplicate: is_duplicate,
        })
    }

    /// Adds a job that has become visible to its array and session.
    fn add_to_groups(&mut self, now: Micros, key: JobKey) {
        let Some(job) = self.jobs.get_any(key) else {
            return;
        };
        let (session, array) = (job.session, job.array);
        let is_ready = job.is_ready();
        let is_held = job.state == JobState::QueuedHeld;
        if let Some((array_key, array)) = self.array_mut(array) {
            array.members.insert(key);
            if is_ready {
                array.waiting.push_back(key);
                self.ready_arrays.insert(array_key);
            } else if !is_held {
                array.active.insert(key);
            }
        }
        if let Some(session) = session.and_then(|session| self.sessions.get_mut(session)) {
            session.jobs.insert(key);
        }
        self.record_state(key);
        if let Some(session) = session {
            self.sessions.update_idle(now, session);
        }
    }
}

/// Checks a template against its class; returns the class's properties.
fn check_with_scheduler(
    now: Micros,
    template: &Template,
    placement: Placement,
    scheduler: &dyn Scheduler,
) -> Result<ClassProperties, Problem> {
    if placement == Placement::Local {
        let tenant = template.accounting_id.as_deref();
        let has_key = template.submission_key.is_some();
        scheduler.check(template.class(), tenant, has_key)?;
    }
    let class = scheduler
        .class_properties(template.class())
        .unwrap_or_default();
    if template.rerunnable == Some(false) && class.allows_retries {
        let message = "`rerunnable` cannot be false: the scheduler retries jobs of this class";
        return Err(Problem::new(ErrorId::UnsupportedAttribute, message));
    }
    let deadline = template.deadline_time.map(micros_of_unix_ms);
    if deadline.is_some_and(|deadline| deadline <= now) {
        return Err(Problem::invalid_argument("deadlineTime has passed"));
    }
    Ok(class)
}

/// Holds a new job if its template asks for it or sets a start time in the future.
fn hold_if_requested(now: Micros, job: &mut Job) {
    let start = job.template.start_time.map(micros_of_unix_ms);
    if job.template.submit_as_hold {
        job.state = JobState::QueuedHeld;
    } else if start.is_some_and(|start| start > now) {
        job.state = JobState::QueuedHeld;
        job.sub_state = Some(SubState::Scheduled);
    }
}

/// The answer to a submission whose job the scheduler rejected in the same turn.
fn rejection(job: &Job) -> Problem {
    match job.problem() {
        Some(problem) if problem.error == ErrorId::TryLater => problem.clone(),
        _ => Problem::new(ErrorId::DeniedByDrms, "no worker may run the job"),
    }
}
