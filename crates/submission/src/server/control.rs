//! Control operations: terminate, hold, release, suspend, resume and reap.

use super::client::{ClientId, Task};
use super::Server;
use crate::error::{ErrorId, Problem};
use crate::ids::JobKey;
use crate::jobs::{JobLocation, JobOutcome};
use crate::message::Targets;
use crate::scheduler::Scheduler;
use crate::state::{Change, JobState, SubState};
use marbledeck_dispatcher::Micros;
use serde_json::{json, Value};
use std::collections::VecDeque;

/// The maximum number of jobs that one operation controls in one turn.
const MAX_CONTROLS_PER_TURN: usize = 64;

/// The control operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ControlAction {
    Terminate,
    Hold,
    Release,
    Suspend,
    Resume,
    Reap,
}

/// A control operation on several jobs.
pub(super) struct ControlTask {
    seq: Value,
    action: ControlAction,
    /// The jobs that are not handled yet.
    jobs: VecDeque<JobKey>,
    changed: usize,
    rejected: usize,
    first_problem: Option<Problem>,
}

impl Server {
    /// Controls one job immediately, or several jobs as a task over several turns.
    pub(super) fn control(
        &mut self,
        now: Micros,
        client: ClientId,
        seq: &Value,
        action: ControlAction,
        targets: &Targets,
        scheduler: &mut dyn Scheduler,
    ) -> Result<(), Problem> {
        let mut jobs = self.resolve_targets(targets)?;
        if targets.job_id.is_some() {
            let state = self.control_job(now, jobs[0], action, scheduler)?;
            let id = self.ids.id(jobs[0]).to_string();
            self.send_answer(client, seq, json!({"jobId": id, "jobState": state}));
            return Ok(());
        }
        if action == ControlAction::Terminate {
            self.stop_array(targets);
            // Waiting jobs first: otherwise the end of a running member would start a waiting one.
            jobs.sort_by_key(|key| !self.is_waiting(*key));
        }
        let task = ControlTask {
            seq: seq.clone(),
            action,
            jobs: jobs.into(),
            changed: 0,
            rejected: 0,
            first_problem: None,
        };
        self.set_task(client, Task::Control(Box::new(task)));
        self.continue_task(now, client, scheduler);
        Ok(())
    }

    fn is_waiting(&self, key: JobKey) -> bool {
        self.jobs
            .get_any(key)
            .is_some_and(|job| job.location == JobLocation::Waiting)
    }

    /// Prevents further members of the array that is being terminated from being started.
    fn stop_array(&mut self, targets: &Targets) {
        let array = targets
            .job_array_id
            .as_deref()
            .and_then(|id| self.ids.parse(id));
        if let Some((_, array)) = self.array_mut(array) {
            array.is_stopped = true;
        }
    }

    /// Controls the next jobs of a task, and sends the answer after the last one.
    pub(super) fn continue_control(
        &mut self,
        now: Micros,
        client: ClientId,
        mut task: Box<ControlTask>,
        scheduler: &mut dyn Scheduler,
    ) {
        for _ in 0..MAX_CONTROLS_PER_TURN {
            let Some(key) = task.jobs.pop_front() else {
                break;
            };
            match self.control_job(now, key, task.action, scheduler) {
                Ok(_) => task.changed += 1,
                Err(problem) => {
                    task.rejected += 1;
                    task.first_problem.get_or_insert(problem);
                }
            }
        }
        if !task.jobs.is_empty() {
            self.set_task(client, Task::Control(task));
            return self.queue_task(client);
        }
        match task.first_problem {
            Some(problem) if task.changed == 0 => self.send_answer(client, &task.seq, problem),
            _ => {
                let body = json!({"changed": task.changed, "refused": task.rejected});
                self.send_answer(client, &task.seq, body);
            }
        }
    }

    /// Controls a job; returns its state afterwards.
    fn control_job(
        &mut self,
        now: Micros,
        key: JobKey,
        action: ControlAction,
        scheduler: &mut dyn Scheduler,
    ) -> Result<JobState, Problem> {
        let Some(job) = self.jobs.get(key) else {
            return Err(Problem::unknown_job());
        };
        let state = job.state;
        if action != ControlAction::Reap && job.has_ended() {
            return Err(Problem::invalid_state("the job has ended"));
        }
        let illegal = |reason: &str| {
            Err(Problem::invalid_state(format!(
                "{reason}: the job is {state}"
            )))
        };
        match action {
            ControlAction::Terminate => Ok(self.terminate_job(now, key, scheduler)),
            ControlAction::Hold if state.after(Change::Hold).is_none() => illegal("not to be held"),
            ControlAction::Hold => self.hold_job(now, key, scheduler),
            ControlAction::Release if state.after(Change::Release).is_none() => illegal("not held"),
            ControlAction::Release => {
                self.release_job(now, key, scheduler);
                Ok(self.jobs.get(key).map_or(JobState::Failed, |job| job.state))
            }
            ControlAction::Suspend if state == JobState::Running => {
                let message = "workers cannot suspend a job: see the capabilities";
                Err(Problem::new(ErrorId::UnsupportedOperation, message))
            }
            ControlAction::Suspend => illegal("not to be suspended"),
            ControlAction::Resume => illegal("not suspended"),
            ControlAction::Reap if !state.is_final() => illegal("not to be reaped"),
            ControlAction::Reap => {
                self.reap_job(now, key);
                self.handover.queue_change(self.jobs.get_any(key));
                Ok(state)
            }
        }
    }

    fn terminate_job(
        &mut self,
        now: Micros,
        key: JobKey,
        scheduler: &mut dyn Scheduler,
    ) -> JobState {
        // Workers cannot be told to stop: a job that was sent may run to completion, so its submission key stays in
        // use.
        let last_sent = match self.jobs.get(key).map(|job| job.location) {
            Some(JobLocation::Scheduled(id)) => scheduler.abandon(now, id),
            Some(JobLocation::AtPartner {
                scheduled: true, ..
            }) => Some(now),
            _ => None,
        };
        let outcome = JobOutcome {
            last_sent,
            ..JobOutcome::default()
        };
        let sub_state = Some(SubState::Terminated);
        self.end_job(now, key, Change::Terminate, sub_state, outcome);
        JobState::Failed
    }

    fn hold_job(
        &mut self,
        now: Micros,
        key: JobKey,
        scheduler: &mut dyn Scheduler,
    ) -> Result<JobState, Problem> {
        let Some(job) = self.jobs.get(key) else {
            return Err(Problem::unknown_job());
        };
        let array = job.array;
        match job.location {
            JobLocation::Scheduled(id) if scheduler.recall(now, id) => {
                self.jobs.mark_recalled(key);
                self.deactivate_member(key, array);
            }
            JobLocation::Waiting => {}
            _ => {
                return Err(Problem::invalid_state(
                    "the job cannot be held: it was sent to a worker, or another process of the node has it",
                ))
            }
        }
        self.jobs.apply(key, Change::Hold, now);
        if let Some(job) = self.jobs.get_mut(key) {
            job.sub_state = None;
            job.waiting_since = now;
        }
        self.schedule_waiting_job(key);
        self.publish_change(key);
        Ok(JobState::QueuedHeld)
    }

    /// Ends a job's hold. The job is passed to the scheduler, or queued in its array.
    pub(super) fn release_job(&mut self, now: Micros, key: JobKey, scheduler: &mut dyn Scheduler) {
        if !self.jobs.apply(key, Change::Release, now) {
            return;
        }
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.sub_state = None;
        let array = job.array;
        self.schedule_waiting_job(key);
        self.publish_change(key);
        if let Some((array_key, array)) = self.array_mut(array) {
            array.waiting.push_back(key);
            self.ready_arrays.insert(array_key);
            self.dispatch_arrays(now, scheduler);
        } else {
            self.dispatch_job(now, key, scheduler);
        }
    }
}
