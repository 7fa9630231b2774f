//! The collector thread of a session: it fetches the information of each job as soon as the job has ended, and has the
//! node forget the job.

use super::job_table::JobTable;
use marbledeck_submission_client::{
    Client, ErrorId, Event, Filter, JobInfo, JobState, Operation, Problem, Targets,
};
use std::collections::HashSet;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interval at which the states of all jobs are polled, besides the node's notifications.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// A message to the collector.
pub(super) enum CollectorMessage {
    /// The job with this id has, or may have, ended.
    JobEnded(String),
    /// Notifications were missed: all jobs are to be polled.
    EventsMissed,
    /// The session ends.
    SessionOver,
}

impl CollectorMessage {
    /// The message that an event of the session calls for, if any.
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

/// The state of the collector thread.
pub(super) struct Collector {
    /// The connection to the node.
    pub(super) client: Arc<Client>,
    /// The jobs of the session.
    pub(super) jobs: Arc<JobTable>,
    /// The name of the session on the node.
    pub(super) session: String,
    /// The messages to the collector.
    pub(super) messages: Receiver<CollectorMessage>,
}

impl Collector {
    /// Collects ended jobs until the session is over.
    pub(super) fn run(&self) {
        let mut next_poll = Instant::now() + POLL_INTERVAL;
        loop {
            let timeout = next_poll.saturating_duration_since(Instant::now());
            match self.messages.recv_timeout(timeout) {
                Ok(CollectorMessage::SessionOver) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(CollectorMessage::JobEnded(id)) => self.collect_job(&id),
                Ok(CollectorMessage::EventsMissed) | Err(RecvTimeoutError::Timeout) => {
                    next_poll = Instant::now() + POLL_INTERVAL;
                    self.poll_all_jobs();
                }
            }
        }
    }

    /// Fetches the information of a job that may have ended, and reaps the job on the node.
    fn collect_job(&self, id: &str) {
        let is_open = self.jobs.lock().is_open(id);
        if !is_open {
            return;
        }
        match self.client.job_info(id) {
            Ok(info) if info.job_state.is_final() => {
                let targets = Targets::job(id);
                let _ = self.client.control(Operation::Reap { targets });
                self.jobs.record_end(info);
            }
            Ok(_) => {}
            // The node was restarted without its state: nothing is known of the fate of the job.
            Err(error) if error.is(ErrorId::InvalidArgument) => {
                self.jobs.record_end(lost_job(id));
            }
            // The next poll tries again.
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
        let open_ids = self.jobs.lock().open_ids();
        for id in open_ids.iter().filter(|id| !unfinished.contains(*id)) {
            self.collect_job(id);
        }
    }
}

/// The information of a job that the node has lost.
fn lost_job(id: &str) -> JobInfo {
    JobInfo {
        job_id: id.to_owned(),
        job_state: JobState::Failed,
        job_sub_state: Some("lost".to_owned()),
        dispatch_time_ms: Some(0),
        problem: Some(Problem::new(
            ErrorId::DrmCommunication,
            "the node no longer knows the job: it may have run",
        )),
        ..JobInfo::default()
    }
}
