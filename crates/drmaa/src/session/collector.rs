//! The collector thread of a session, which fetches the information of each ended job and reaps the job on the node.

use super::job_table::JobTable;
use marbledeck_submission_client::{
    Client, ErrorId, Event, Filter, JobInfo, JobState, Operation, Problem, Targets,
};
use std::collections::HashSet;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which all jobs are polled, in addition to the node's events. Polling also retries failed requests.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// A message to the collector.
pub(super) enum CollectorMessage {
    /// The job with this id has or may have ended.
    JobEnded(String),
    /// Events were missed, so all jobs must be polled.
    EventsMissed,
    /// The session has ended; the thread exits.
    SessionEnded,
}

impl CollectorMessage {
    /// Converts an event of the session; `None` if the event requires no action.
    pub(super) fn from_event(event: Event) -> Option<Self> {
        match event {
            Event::NewState {
                job_id, job_state, ..
            } if job_state.is_final() => Some(Self::JobEnded(job_id)),
            Event::NewState { .. } => None,
            Event::Gap { .. } => Some(Self::EventsMissed),
        }
    }
}

/// The collector of a session; [`Collector::run`] is the body of its thread.
pub(super) struct Collector {
    /// The client that the session uses.
    pub(super) client: Arc<Client>,
    /// The jobs of the session.
    pub(super) jobs: Arc<JobTable>,
    /// The name of the session on the node.
    pub(super) session: String,
    /// The messages to the collector.
    pub(super) messages: Receiver<CollectorMessage>,
}

impl Collector {
    /// Collects ended jobs until the session has ended.
    pub(super) fn run(&self) {
        let mut next_poll = Instant::now() + POLL_INTERVAL;
        loop {
            let timeout = next_poll.saturating_duration_since(Instant::now());
            match self.messages.recv_timeout(timeout) {
                Ok(CollectorMessage::SessionEnded) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(CollectorMessage::JobEnded(id)) => self.collect_job(&id),
                Ok(CollectorMessage::EventsMissed) | Err(RecvTimeoutError::Timeout) => {
                    next_poll = Instant::now() + POLL_INTERVAL;
                    self.poll_all_jobs();
                }
            }
        }
    }

    /// Fetches the information of a job and, if the job has ended, reaps it on the node and records its end.
    fn collect_job(&self, id: &str) {
        let is_unfinished = self.jobs.lock().is_unfinished(id);
        if !is_unfinished {
            return;
        }
        match self.client.job_info(id) {
            Ok(info) if info.job_state.is_final() => {
                let targets = Targets::job(id);
                let _ = self.client.control(Operation::Reap { targets });
                self.jobs.record_end(info);
            }
            Ok(_) => {}
            // The node lost its state in a restart, so whether the job ran is unknown.
            Err(error) if error.is(ErrorId::InvalidArgument) => {
                self.jobs.record_end(lost_job(id));
            }
            // The next poll retries.
            Err(_) => {}
        }
    }

    /// Collects the jobs that the node no longer lists as unfinished.
    fn poll_all_jobs(&self) {
        let mut unfinished = HashSet::new();
        let filter = Filter::default();
        let listed = self.client.list_jobs(Some(&self.session), &filter, |info| {
            if !info.job_state.is_final() {
                unfinished.insert(info.job_id);
            }
        });
        if listed.is_err() {
            return;
        }
        let unfinished_ids = self.jobs.lock().unfinished_ids();
        for id in unfinished_ids.iter().filter(|id| !unfinished.contains(*id)) {
            self.collect_job(id);
        }
    }
}

/// The information recorded for a job that the node has lost.
fn lost_job(id: &str) -> JobInfo {
    JobInfo {
        job_id: id.to_owned(),
        job_state: JobState::Failed,
        job_sub_state: Some("lost".to_owned()),
        dispatch_time_ms: Some(0),
        problem: Some(Problem::new(
            ErrorId::DrmCommunication,
            "the node no longer knows the job, probably after a restart; the job may have run",
        )),
        ..JobInfo::default()
    }
}
