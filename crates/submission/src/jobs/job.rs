//! One job: its state, its location and its outcome.

use crate::error::{ErrorId, Problem};
use crate::ids::{ArrayKey, IdRegistry, JobKey};
use crate::message::JobInfo;
use crate::partner::Partner;
use crate::sessions::SessionKey;
use crate::state::{JobState, SubState};
use crate::template::Template;
use base64::prelude::{Engine, BASE64_STANDARD};
use marbledeck_dispatcher::{Micros, RequestId};
use std::rc::Rc;

/// The approximate memory of a job without its strings, in bytes: its record and its index entries.
pub const JOB_OVERHEAD_BYTES: usize = 512;
/// The retry hint of a rejected job if the scheduler gives none, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// Where a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLocation {
    /// Not yet passed to the scheduler: it is held, its start time has not come, or its array has reached
    /// `maxParallel`.
    Waiting,
    /// With the scheduler, as this request.
    Scheduled(RequestId),
    /// Owned by the partner process.
    AtPartner {
        /// The process that owns it.
        owner: Partner,
        /// Whether the owner has passed it to its scheduler.
        scheduled: bool,
    },
    /// It has its final state.
    Ended,
}

/// Whether clients can see a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Visibility {
    /// Not yet: its submission is not answered, so the scheduler can still reject it.
    Admitting,
    /// Visible.
    Visible,
    /// No longer: it is kept only because its submission key is in use.
    Reaped,
}

/// One job.
#[derive(Debug)]
pub struct Job {
    /// Its key.
    pub key: JobKey,
    /// The template that describes it.
    pub template: Rc<Template>,
    /// Its index in the array.
    pub index: Option<i64>,
    /// The session that it belongs to.
    pub session: Option<SessionKey>,
    /// The array that it is a member of.
    pub array: Option<ArrayKey>,
    /// Its state.
    pub state: JobState,
    /// Where it is.
    pub location: JobLocation,
    /// How it has ended, or why it is held.
    pub sub_state: Option<SubState>,
    /// Its outcome, once it has ended.
    pub outcome: Option<Box<JobOutcome>>,
    /// The worker that ran it last.
    pub machine: Option<Rc<str>>,
    /// When it was submitted.
    pub submitted_at: Micros,
    /// Since when it has waited, or was last held.
    pub waiting_since: Micros,
    /// When a worker first ran it.
    pub started_at: Option<Micros>,
    /// When it ended.
    pub finished_at: Option<Micros>,
    /// Its deadline, once it was passed to the scheduler.
    pub deadline: Micros,
    /// How long workers drop repeats of its key.
    pub dedup_window: Micros,
    /// How many resubmissions joined it.
    pub duplicates: u64,
    /// When it must be handled next: to start it, to end its hold, or to remove it.
    pub due: Option<Micros>,
    /// Whether clients can see it.
    pub visibility: Visibility,
    /// Whether the partner process knows it, too.
    pub is_shared: bool,
}

/// The result or problem of a job that has ended.
#[derive(Clone, Debug, Default)]
pub struct JobOutcome {
    /// Why there is no result.
    pub problem: Option<Problem>,
    /// The worker's result.
    pub result: Option<Vec<u8>>,
    /// When it was last sent to a worker that may have run it.
    pub last_sent: Option<Micros>,
}

impl JobOutcome {
    /// The outcome of a job that has no result because of `problem` and has not run.
    pub fn not_run(problem: Problem) -> Self {
        JobOutcome {
            problem: Some(problem),
            ..JobOutcome::default()
        }
    }

    /// The outcome of a job that the scheduler rejected.
    pub fn rejected(retry_after: Option<Micros>) -> Self {
        let retry_after_ms =
            retry_after.map_or(DEFAULT_RETRY_AFTER_MS, |wait| wait.0.div_ceil(1000));
        JobOutcome::not_run(Problem::try_later("refused", retry_after_ms))
    }

    /// The outcome of a job that may or may not have run.
    pub fn failed(sub_state: SubState, last_sent: Option<Micros>) -> Self {
        let error = match sub_state {
            SubState::Overdue => ErrorId::Timeout,
            _ => ErrorId::DrmCommunication,
        };
        JobOutcome {
            problem: Some(Problem::new(error, "it may have run")),
            result: None,
            last_sent,
        }
    }
}

/// A submission key and the tenant within which it is unique.
pub type TenantKey = (Option<String>, String);

/// The submission key of the member of a template with this index.
pub fn tenant_key(template: &Template, index: Option<i64>) -> Option<TenantKey> {
    let key = template.key_at(index)?;
    Some((template.accounting_id.clone(), key))
}

impl Job {
    /// A job that was just submitted.
    pub fn new(key: JobKey, template: Rc<Template>, index: Option<i64>, now: Micros) -> Self {
        Job {
            key,
            template,
            index,
            session: None,
            array: None,
            state: JobState::Queued,
            location: JobLocation::Waiting,
            sub_state: None,
            outcome: None,
            machine: None,
            submitted_at: now,
            waiting_since: now,
            started_at: None,
            finished_at: None,
            deadline: Micros(u64::MAX),
            dedup_window: Micros(0),
            duplicates: 0,
            due: None,
            visibility: Visibility::Admitting,
            is_shared: false,
        }
    }

    /// Whether it has its final state.
    pub fn has_ended(&self) -> bool {
        self.state.is_final()
    }

    /// Whether it was reaped, so that clients can no longer see it.
    pub fn is_reaped(&self) -> bool {
        self.visibility == Visibility::Reaped
    }

    /// Whether its submission is not answered yet, so that the scheduler can still reject it.
    pub fn is_admitting(&self) -> bool {
        self.visibility == Visibility::Admitting
    }

    /// Whether it can be passed to the scheduler: it waits and is not held.
    pub fn is_ready(&self) -> bool {
        self.location == JobLocation::Waiting && self.state == JobState::Queued
    }

    /// Whether it is held until its start time.
    pub fn is_held_until_start(&self) -> bool {
        self.state == JobState::QueuedHeld && self.sub_state == Some(SubState::Scheduled)
    }

    /// Why there is no result.
    pub fn problem(&self) -> Option<&Problem> {
        self.outcome
            .as_ref()
            .and_then(|outcome| outcome.problem.as_ref())
    }

    /// The worker's result.
    pub fn result(&self) -> Option<&[u8]> {
        self.outcome
            .as_ref()
            .and_then(|outcome| outcome.result.as_deref())
    }

    /// When it was last sent to a worker that may have run it; known once it has ended.
    pub fn last_sent(&self) -> Option<Micros> {
        self.outcome.as_ref().and_then(|outcome| outcome.last_sent)
    }

    /// Its approximate memory use, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        // The members of an array share their template.
        let template = match self.array {
            Some(_) => 0,
            None => self.template.memory_bytes(),
        };
        let result = self.result().map_or(0, <[u8]>::len);
        let key = self.template.submission_key.as_ref();
        JOB_OVERHEAD_BYTES + template + result + key.map_or(0, |key| 2 * key.len())
    }

    /// Its submission key.
    pub(super) fn tenant_key(&self) -> Option<TenantKey> {
        tenant_key(&self.template, self.index)
    }

    /// The information that is sent to clients.
    pub fn info(&self, ids: &IdRegistry, session: Option<&str>) -> JobInfo {
        let millis = |time: Micros| time.0 / 1000;
        let result = self.result();
        // The length of a line is limited, so text that needs many escapes in JSON is sent in Base64.
        let text = result.and_then(|bytes| std::str::from_utf8(bytes).ok());
        let text = text.filter(|t| t.bytes().filter(|b| *b < 0x20).count() * 8 <= t.len() + 64);
        JobInfo {
            job_id: ids.id(self.key).to_string(),
            job_name: self.template.name_at(self.index),
            job_state: self.state,
            job_sub_state: self
                .sub_state
                .map(|sub_state| sub_state.as_str().to_owned()),
            queue_name: self.template.class().to_owned(),
            accounting_id: self.template.accounting_id.clone(),
            session: session.map(str::to_owned),
            job_array_id: self.array.map(|array| ids.id(array).to_string()),
            index: self.index,
            machine: self.machine.as_ref().map(ToString::to_string),
            submission_time_ms: millis(self.submitted_at),
            dispatch_time_ms: self.started_at.map(millis),
            finish_time_ms: self.finished_at.map(millis),
            duplicates: self.duplicates,
            result: text.map(str::to_owned),
            result_base64: match (text, result) {
                (None, Some(bytes)) => Some(BASE64_STANDARD.encode(bytes)),
                _ => None,
            },
            problem: self.problem().cloned(),
        }
    }
}
