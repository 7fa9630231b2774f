//! Handles the scheduler's reports about jobs, and ends and removes jobs.

use super::{Server, RETRY_AFTER_MS};
use crate::ids::JobKey;
use crate::jobs::JobOutcome;
use crate::scheduler::Verdict;
use crate::state::{Change, SubState};
use marbledeck_dispatcher::{Micros, RequestId};
use std::rc::Rc;

impl Server {
    /// Records that a worker has begun to run a job.
    pub fn handle_started(&mut self, now: Micros, id: RequestId, machine: Option<Rc<str>>) {
        let Some(key) = self.jobs.key_of_request(id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(key) {
            job.machine = machine.or(job.machine.take());
        }
        if self.jobs.apply(key, Change::Start, now) {
            self.publish_change(key);
        }
    }

    /// Records that a worker has returned a running job, which will be retried.
    pub fn handle_requeued(&mut self, now: Micros, id: RequestId) {
        let Some(key) = self.jobs.key_of_request(id) else {
            return;
        };
        if self.jobs.apply(key, Change::Return, now) {
            self.publish_change(key);
        }
    }

    /// Ends a job with the scheduler's verdict; `last_sent` is when it was last sent to a worker that may have run it.
    /// Returns whether the request belongs to a job of this server.
    pub fn handle_verdict(
        &mut self,
        now: Micros,
        id: RequestId,
        verdict: Verdict,
        last_sent: Option<Micros>,
    ) -> bool {
        let Some(key) = self.jobs.key_of_request(id) else {
            return false;
        };
        let job = self.jobs.get_any(key);
        let is_overdue = job.is_some_and(|job| now >= job.deadline);
        let array = job.and_then(|job| job.array);
        match verdict {
            Verdict::Served(result) => {
                let outcome = JobOutcome {
                    result: Some(result),
                    last_sent,
                    problem: None,
                };
                self.end_job(now, key, Change::Serve, None, outcome);
            }
            Verdict::Rejected { retry_after } => {
                // The pause must precede the job's end, which would start another member that would be rejected as
                // well.
                let pause = retry_after.unwrap_or(Micros(1000 * RETRY_AFTER_MS));
                self.pause_array(array, now + pause);
                let outcome = JobOutcome::rejected(retry_after);
                self.end_job(now, key, Change::Fail, Some(SubState::Rejected), outcome);
            }
            Verdict::Failed => {
                let sub_state = if is_overdue {
                    SubState::Overdue
                } else {
                    SubState::Failed
                };
                let outcome = JobOutcome::failed(sub_state, last_sent);
                self.end_job(now, key, Change::Fail, Some(sub_state), outcome);
            }
        }
        true
    }

    /// Ends a job unless it has already ended.
    pub(super) fn end_job(
        &mut self,
        now: Micros,
        key: JobKey,
        change: Change,
        sub_state: Option<SubState>,
        outcome: JobOutcome,
    ) {
        let array = self.jobs.get_any(key).and_then(|job| job.array);
        if self.jobs.end(key, change, now, sub_state, outcome) {
            self.handover.forget_job_of_predecessor(key);
            self.deactivate_member(key, array);
            self.publish_change(key);
        }
    }

    /// Removes a job that is no longer visible from its session and from the visible members of its array.
    fn hide_job(&mut self, now: Micros, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let (session, array) = (job.session, job.array);
        if let Some(session) = session {
            self.sessions.remove_job(now, session, key);
        }
        self.hide_member(key, array);
    }

    /// Hides an ended job from clients. It is removed unless its submission key is still in use.
    pub(super) fn reap_job(&mut self, now: Micros, key: JobKey) {
        let array = self.jobs.get(key).and_then(|job| job.array);
        self.hide_job(now, key);
        self.jobs.reap(key, now);
        self.remove_unused_array(array);
    }

    /// Removes a job completely, and its array if no other job belongs to it.
    pub(super) fn remove_job(&mut self, now: Micros, key: JobKey) {
        let array = self.jobs.get_any(key).and_then(|job| job.array);
        self.hide_job(now, key);
        self.jobs.remove(key);
        self.remove_unused_array(array);
    }
}
