//! The table of the jobs of a session that were not reaped.

use super::ResultFiles;
use crate::errno::{Errno, Result};
use marbledeck_submission_client::{JobInfo, JobState};
use std::collections::{HashMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A job of the session that was not reaped.
#[derive(Default)]
pub(super) struct SessionJob {
    /// The job information, once the job has ended.
    pub(super) final_info: Option<Box<JobInfo>>,
    /// The files that receive its result.
    pub(super) files: ResultFiles,
}

/// An ended job after its removal from the table.
pub(super) struct EndedJob {
    /// The job information.
    pub(super) info: Box<JobInfo>,
    /// The files that receive its result.
    pub(super) files: ResultFiles,
}

/// The contents of a [`JobTable`], protected by its mutex.
#[derive(Default)]
pub(super) struct Jobs {
    /// The jobs that were not reaped, by id.
    pub(super) by_id: HashMap<String, SessionJob>,
    /// The ids of ended jobs in the order in which they ended; may contain jobs that were reaped since.
    ended_ids: VecDeque<String>,
    /// Whether the session has ended, so that all waits fail.
    pub(super) is_session_ended: bool,
}

impl Jobs {
    /// Whether the job is in the table and has not ended.
    pub(super) fn is_unfinished(&self, id: &str) -> bool {
        self.by_id
            .get(id)
            .is_some_and(|job| job.final_info.is_none())
    }

    /// Returns the final state of a job in the table; `None` if the job has not ended.
    pub(super) fn ended_state(&self, id: &str) -> Option<JobState> {
        let info = self.by_id.get(id)?.final_info.as_ref()?;
        Some(info.job_state)
    }

    /// Returns the ids of the jobs that have not ended.
    pub(super) fn unfinished_ids(&self) -> Vec<String> {
        let unfinished = self
            .by_id
            .iter()
            .filter(|(_, job)| job.final_info.is_none());
        unfinished.map(|(id, _)| id.clone()).collect()
    }

    /// Removes and returns the id of the job that ended first among those that were not reaped.
    pub(super) fn pop_ended_id(&mut self) -> Option<String> {
        while let Some(id) = self.ended_ids.pop_front() {
            if self.by_id.contains_key(&id) {
                return Some(id);
            }
        }
        None
    }

    /// Removes a job from the table; returns `None` if it was not in the table or had not ended.
    pub(super) fn remove_ended(&mut self, id: &str) -> Option<EndedJob> {
        let job = self.by_id.remove(id)?;
        Some(EndedJob {
            info: job.final_info?,
            files: job.files,
        })
    }
}

/// The jobs of a session, with a condition variable that is notified when a job or the session ends.
#[derive(Default)]
pub(super) struct JobTable {
    jobs: Mutex<Jobs>,
    changed: Condvar,
}

impl JobTable {
    /// Locks the table.
    pub(super) fn lock(&self) -> MutexGuard<'_, Jobs> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a job or the session ends, or until the deadline. May wake up spuriously.
    ///
    /// # Errors
    /// `ExitTimeout` if the deadline has passed before the call.
    pub(super) fn wait_for_change<'a>(
        &self,
        jobs: MutexGuard<'a, Jobs>,
        deadline: Option<Instant>,
    ) -> Result<MutexGuard<'a, Jobs>> {
        let Some(deadline) = deadline else {
            let jobs = self.changed.wait(jobs);
            return Ok(jobs.unwrap_or_else(PoisonError::into_inner));
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(Errno::ExitTimeout.into());
        }
        let waited = self.changed.wait_timeout(jobs, remaining);
        Ok(waited.unwrap_or_else(PoisonError::into_inner).0)
    }

    /// Records the end of a job, unless it is already recorded or the job is not in the table.
    pub(super) fn record_end(&self, info: JobInfo) {
        let mut jobs = self.lock();
        let id = info.job_id.clone();
        if let Some(job) = jobs
            .by_id
            .get_mut(&id)
            .filter(|job| job.final_info.is_none())
        {
            job.final_info = Some(Box::new(info));
            jobs.ended_ids.push_back(id);
            self.changed.notify_all();
        }
    }

    /// Ends the session: all waits fail.
    pub(super) fn end_session(&self) {
        self.lock().is_session_ended = true;
        self.changed.notify_all();
    }
}
