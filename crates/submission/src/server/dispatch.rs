//! Passes waiting jobs to the scheduler when they are due or their array has capacity.

use super::{
    micros_of_unix_ms, retry_pause, Server, MAX_JOBS_PER_TURN, MAX_TIMEOUT_MS, RETRY_AFTER_MS,
};
use crate::error::{ErrorId, Problem};
use crate::ids::JobKey;
use crate::jobs::{Job, JobLocation, JobOutcome};
use crate::scheduler::{JobRequest, Placement, Scheduler};
use crate::state::{Change, SubState};
use crate::template::Template;
use marbledeck_dispatcher::{Micros, RequestId};

/// The deadline of a job at another site if neither the template nor the manifest gives a time.
const REMOTE_DEADLINE: Micros = Micros(600_000_000);
/// The default deadline of a job at another site, as a multiple of the run time in its manifest.
const REMOTE_RUN_TIME_FACTOR: u64 = 2;

/// A job that the scheduler has accepted.
pub(super) struct AcceptedRequest {
    /// The scheduler's id.
    pub(super) id: RequestId,
    /// The job's deadline.
    pub(super) deadline: Micros,
}

impl Server {
    /// Handles a due job: starts it, ends it after its deadline or maximum hold, or removes it after its retention.
    pub(super) fn handle_due_job(
        &mut self,
        now: Micros,
        key: JobKey,
        scheduler: &mut dyn Scheduler,
    ) {
        let Some(job) = self.jobs.get_any(key) else {
            return;
        };
        if job.has_ended() {
            return self.remove_job(now, key);
        }
        if job.location != JobLocation::Waiting {
            return;
        }
        if let Some((sub_state, problem)) = self.waiting_timeout(now, job) {
            let outcome = JobOutcome::not_run(problem);
            return self.end_job(now, key, Change::Fail, Some(sub_state), outcome);
        }
        let is_ready = job.is_ready() && job.array.is_none();
        let start_time = job.template.start_time.map(micros_of_unix_ms);
        let is_startable = job.is_held_until_start() && start_time.is_none_or(|start| start <= now);
        self.schedule_waiting_job(key);
        if is_ready {
            self.dispatch_job(now, key, scheduler);
        } else if is_startable {
            self.release_job(now, key, scheduler);
        }
    }

    /// The sub-state and problem of a waiting job whose deadline or maximum hold has passed.
    fn waiting_timeout(&self, now: Micros, job: &Job) -> Option<(SubState, Problem)> {
        let deadline = job.template.deadline_time.map(micros_of_unix_ms);
        if deadline.is_some_and(|deadline| deadline <= now) {
            let message = "the deadline passed before the job could start";
            return Some((SubState::Overdue, Problem::new(ErrorId::Timeout, message)));
        }
        if job.waiting_since + self.limits.max_hold <= now {
            let problem = Problem::try_later(
                "the job was held for longer than the node allows",
                RETRY_AFTER_MS,
            );
            return Some((SubState::Expired, problem));
        }
        None
    }

    /// Sets when a waiting job is due: at the earliest of its start time, its deadline and the end of its maximum hold.
    pub(super) fn schedule_waiting_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_any(key) else {
            return;
        };
        let start = job
            .template
            .start_time
            .filter(|_| job.sub_state == Some(SubState::Scheduled))
            .map(micros_of_unix_ms);
        let deadline = job.template.deadline_time.map(micros_of_unix_ms);
        let hold_end = Some(job.waiting_since + self.limits.max_hold);
        let due = [start, deadline, hold_end].into_iter().flatten().min();
        self.jobs.set_due(key, due);
    }

    /// Passes members of ready arrays to the scheduler.
    pub(super) fn dispatch_arrays(&mut self, now: Micros, scheduler: &mut dyn Scheduler) {
        for _ in 0..MAX_JOBS_PER_TURN {
            let Some(array_key) = self.ready_arrays.first().copied() else {
                return;
            };
            let next = match self.arrays.get_mut(&array_key) {
                Some(array) if array.can_start_member(now) => array.waiting.pop_front(),
                _ => None,
            };
            let Some(key) = next else {
                self.ready_arrays.remove(&array_key);
                continue;
            };
            if self.jobs.get_any(key).is_some_and(Job::is_ready) {
                self.dispatch_job(now, key, scheduler);
            }
        }
    }

    /// Passes a waiting job to the scheduler.
    pub(super) fn dispatch_job(&mut self, now: Micros, key: JobKey, scheduler: &mut dyn Scheduler) {
        let Some(job) = self.jobs.get_any(key) else {
            return;
        };
        let array = job.array;
        match self.submit_job(now, key, scheduler) {
            Ok(accepted) => {
                self.jobs
                    .mark_scheduled(key, accepted.id, accepted.deadline);
                if let Some((_, array)) = self.array_mut(array) {
                    array.active.insert(key);
                }
                self.handover.queue_change(self.jobs.get_any(key));
            }
            // The scheduler accepts no job at present: the member stays at the head of its array's queue.
            Err(problem) if problem.error == ErrorId::TryLater && array.is_some() => {
                self.pause_array(array, now + retry_pause(&problem));
                if let Some((_, array)) = self.array_mut(array) {
                    array.waiting.push_front(key);
                }
            }
            Err(problem) => {
                let outcome = JobOutcome::not_run(problem);
                self.end_job(now, key, Change::Fail, Some(SubState::Rejected), outcome);
            }
        }
    }

    fn submit_job(
        &mut self,
        now: Micros,
        key: JobKey,
        scheduler: &mut dyn Scheduler,
    ) -> Result<AcceptedRequest, Problem> {
        let Some(job) = self.jobs.get_any(key) else {
            return Err(Problem::unknown_job());
        };
        let job_id = self.ids.id(key).to_string();
        // The set of sites may have changed since the job was submitted.
        let placement = scheduler.place(&job.template)?;
        submit_request(now, &job.template, job.index, job_id, placement, scheduler)
    }
}

/// The time until the deadline of a job that is passed to the scheduler now.
fn time_left(
    now: Micros,
    template: &Template,
    placement: Placement,
    scheduler: &dyn Scheduler,
) -> Micros {
    let class = scheduler
        .class_properties(template.class())
        .unwrap_or_default();
    let requested = template
        .deadline_ms
        .map(|ms| Micros(1000 * ms.min(MAX_TIMEOUT_MS)));
    let run_ms = template
        .manifest
        .as_ref()
        .and_then(|manifest| manifest.run_ms);
    let default = match (placement, run_ms) {
        (Placement::Local, _) => class.deadline,
        (Placement::Remote, Some(run_ms)) => {
            Micros(1000 * REMOTE_RUN_TIME_FACTOR * run_ms.min(MAX_TIMEOUT_MS))
        }
        (Placement::Remote, None) => REMOTE_DEADLINE,
    };
    let time_left = requested.unwrap_or(default);
    match template.deadline_time.map(micros_of_unix_ms) {
        Some(deadline) => time_left.min(deadline - now),
        None => time_left,
    }
}

/// Submits a job to the scheduler.
pub(super) fn submit_request(
    now: Micros,
    template: &Template,
    index: Option<i64>,
    job_id: String,
    placement: Placement,
    scheduler: &mut dyn Scheduler,
) -> Result<AcceptedRequest, Problem> {
    let time_left = time_left(now, template, placement, scheduler);
    let request = JobRequest {
        class: template.class(),
        tenant: template.accounting_id.as_deref(),
        time_left,
        slots: template.min_slots.unwrap_or(0.0),
        job_id,
        key: template.key_at(index),
        target: template.command_at(index),
        body: template.body_at(index)?,
        placement,
        template,
        index,
    };
    let id = scheduler.submit(now, request)?;
    Ok(AcceptedRequest {
        id,
        deadline: now + time_left,
    })
}
