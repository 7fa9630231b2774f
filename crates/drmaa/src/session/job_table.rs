//! The jobs of a session that were not reaped yet.

use super::ResultFiles;
use crate::errno::{Errno, Result};
use marbledeck_submission_client::{JobInfo, JobState};
use std::collections::{HashMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A job of the session that was not reaped.
#[derive(Default)]
pub(super) struct SessionJob {
    /// The information of the job, once it has ended.
    pub(super) ended: Option<Box<JobInfo>>,
    /// The files for its result.
    pub(super) files: ResultFiles,
}

/// An ended job that was removed from the table.
pub(super) struct EndedJob {
    /// The information of the job.
    pub(super) info: Box<JobInfo>,
    /// The files for its result.
    pub(super) files: ResultFiles,
}

/// The state behind the lock of a [`JobTable`].
#[derive(Default)]
pub(super) struct Jobs {
    /// The jobs that were not reaped, by id.
    pub(super) known: HashMap<String, SessionJob>,
    /// The ids of ended jobs in the order of their ends; some of the jobs were reaped since.
    ended: VecDeque<String>,
    /// Whether the session has ended, so that all waits are to fail.
    pub(super) is_session_over: bool,
}

impl Jobs {
    /// Whether the job is known and has not ended.
    pub(super) fn is_open(&self, id: &str) -> bool {
        self.known.get(id).is_some_and(|job| job.ended.is_none())
    }

    /// The final state of a job that has ended.
    pub(super) fn ended_state(&self, id: &str) -> Option<JobState> {
        let info = self.known.get(id)?.ended.as_ref()?;
        Some(info.job_state)
    }

    /// The ids of the jobs that have not ended.
    pub(super) fn open_ids(&self) -> Vec<String> {
        let open = self.known.iter().filter(|(_, job)| job.ended.is_none());
        open.map(|(id, _)| id.clone()).collect()
    }

    /// Takes the id of the job that ended first among those that were not reaped.
    pub(super) fn pop_ended_id(&mut self) -> Option<String> {
        while let Some(id) = self.ended.pop_front() {
            if self.known.contains_key(&id) {
                return Some(id);
            }
        }
        None
    }

    /// Removes a job; none if it is not known or has not ended.
    pub(super) fn remove_ended(&mut self, id: &str) -> Option<EndedJob> {
        let job = self.known.remove(id)?;
        Some(EndedJob {
            info: job.ended?,
            files: job.files,
        })
    }
}

/// The jobs of a session, with a notification of each change.
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

    /// Waits for a change of any job, or until the deadline.
    ///
    /// # Errors
    /// `ExitTimeout` where the deadline has passed before the wait.
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

    /// Records the end of a job, unless it is recorded already or the job is not known.
    pub(super) fn record_end(&self, info: JobInfo) {
        let mut jobs = self.lock();
        let id = info.job_id.clone();
        if let Some(job) = jobs.known.get_mut(&id).filter(|job| job.ended.is_none()) {
            job.ended = Some(Box::new(info));
            jobs.ended.push_back(id);
            self.changed.notify_all();
        }
    }

    /// Makes all waits fail, since the session ends.
    pub(super) fn end_session(&self) {
        self.lock().is_session_over = true;
        self.changed.notify_all();
    }
}
