//! Sends this process's sessions, arrays and jobs to its successor.

use super::super::Server;
use super::SendProgress;
use crate::ids::{ArrayKey, JobKey};
use crate::jobs::{Job, JobLocation};
use crate::partner::Partner;
use crate::sessions::{Session, SessionEvent};
use crate::transfer::{ArrayRecord, JobRecord, Transfer};
use base64::prelude::{Engine, BASE64_STANDARD};
use std::ops::Bound::{Excluded, Unbounded};

/// The maximum number of events that are sent of each session.
const MAX_SENT_EVENTS: usize = 1024;

impl Server {
    /// The next message with a part of the state for the successor.
    pub(super) fn next_export(&mut self) -> Option<Transfer> {
        if !self.can_export() {
            return None;
        }
        loop {
            let (message, progress) = match *self.handover.progress.as_ref()? {
                SendProgress::Sessions(sent) => match self.sessions.iter().nth(sent) {
                    Some((_, session)) => (
                        Some(self.export_session(session)),
                        SendProgress::Sessions(sent + 1),
                    ),
                    None => (None, SendProgress::Arrays(None)),
                },
                SendProgress::Arrays(after) => match self.array_after(after) {
                    Some(key) => (self.export_array(key), SendProgress::Arrays(Some(key))),
                    None => (None, SendProgress::Jobs(None)),
                },
                SendProgress::Jobs(after) => match self.job_after(after) {
                    Some(key) => (self.export_job(key), SendProgress::Jobs(Some(key))),
                    None => (Some(Transfer::End), SendProgress::Sent),
                },
                SendProgress::Sent | SendProgress::Confirmed => return None,
            };
            self.handover.progress = Some(progress);
            if let Some(message) = message {
                self.handover.sent.count(&message);
                return Some(message);
            }
        }
    }

    /// Whether everything that the successor must be told is known here by now.
    fn can_export(&self) -> bool {
        // Until then the scheduler can still reject the jobs of this turn, and the successor would have jobs that do
        // not exist.
        let are_submissions_answered = self.admissions.is_empty();
        // What the predecessor sends after a part was passed on would be known to this process alone, which no longer
        // starts jobs.
        let is_state_received = self.handover.receive_deadline.is_none();
        are_submissions_answered && is_state_received
    }

    fn array_after(&self, after: Option<ArrayKey>) -> Option<ArrayKey> {
        let from = after.map_or(Unbounded, Excluded);
        self.arrays
            .range((from, Unbounded))
            .next()
            .map(|(key, _)| *key)
    }

    fn job_after(&self, after: Option<JobKey>) -> Option<JobKey> {
        self.jobs.iter_after(after).next().map(|job| job.key)
    }

    fn export_session(&self, session: &Session) -> Transfer {
        let history = session.history();
        let skipped = history.len().saturating_sub(MAX_SENT_EVENTS);
        let export_event = |event: &SessionEvent| {
            let job_id = self.ids.id(event.job).to_string();
            let sub_state = event
                .sub_state
                .map(|sub_state| sub_state.as_str().to_owned());
            (job_id, event.state, sub_state)
        };
        Transfer::Session {
            name: session.name.clone(),
            last_event: session.last_event,
            events: history.iter().skip(skipped).map(export_event).collect(),
        }
    }

    fn export_array(&self, key: ArrayKey) -> Option<Transfer> {
        let array = self.arrays.get(&key)?;
        let session = array.session.and_then(|session| self.sessions.get(session));
        Some(Transfer::Array(Box::new(ArrayRecord {
            id: self.ids.id(key).to_string(),
            template: (*array.template).clone(),
            session: session.map(|session| session.name.clone()),
            max_parallel: array.max_parallel,
            is_stopped: array.is_stopped,
            paused_until: array.paused_until.map(|time| time.0),
        })))
    }

    fn export_job(&mut self, key: JobKey) -> Option<Transfer> {
        self.jobs.get_mut(key)?.is_shared = true;
        let job = self.jobs.get_any(key)?;
        Some(Transfer::Job(Box::new(self.job_record(job))))
    }

    /// A job as it is sent to a partner.
    pub(super) fn job_record(&self, job: &Job) -> JobRecord {
        let is_scheduled = matches!(
            job.location,
            JobLocation::Scheduled(_)
                | JobLocation::AtPartner {
                    scheduled: true,
                    ..
                }
        );
        let template = match job.array {
            Some(_) => None,
            None => Some(Box::new((*job.template).clone())),
        };
        JobRecord {
            id: self.ids.id(job.key).to_string(),
            template,
            index: job.index,
            session: self.session_name(job).map(str::to_owned),
            array: job.array.map(|array| self.ids.id(array).to_string()),
            state: job.state,
            is_scheduled,
            sub_state: job.sub_state.map(|sub_state| sub_state.as_str().to_owned()),
            problem: job.problem().cloned(),
            result: job.result().map(|bytes| BASE64_STANDARD.encode(bytes)),
            last_sent: job.last_sent().map(|time| time.0),
            machine: job.machine.as_ref().map(ToString::to_string),
            submitted_at: job.submitted_at.0,
            waiting_since: job.waiting_since.0,
            started_at: job.started_at.map(|time| time.0),
            finished_at: job.finished_at.map(|time| time.0),
            deadline: job.deadline.0,
            dedup_window: job.dedup_window.0,
            duplicates: job.duplicates,
            due: job.due.filter(|_| job.has_ended()).map(|time| time.0),
            is_reaped: job.is_reaped(),
        }
    }

    /// Records that the successor has confirmed the state: the jobs that only wait here belong to it from now on.
    pub(super) fn confirm_handover(&mut self) {
        self.handover.progress = Some(SendProgress::Confirmed);
        for key in self.jobs.keys_at(JobLocation::Waiting) {
            if !self.jobs.get_any(key).is_some_and(|job| job.is_shared) {
                continue;
            }
            self.jobs.set_due(key, None);
            if let Some(job) = self.jobs.get_mut(key) {
                job.location = JobLocation::AtPartner {
                    owner: Partner::Successor,
                    scheduled: false,
                };
            }
        }
        self.ready_arrays.clear();
    }
}
