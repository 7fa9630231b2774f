//! Applies the messages of a partner process.

use super::super::arrays::{Growth, JobArray};
use super::super::{retry_pause, Server, RETRY_AFTER_MS};
use crate::ids::{ArrayKey, JobKey};
use crate::jobs::{Job, JobLocation, JobOutcome, Visibility};
use crate::partner::Partner;
use crate::scheduler::Scheduler;
use crate::sessions::{SessionEvent, SessionKey};
use crate::state::{Change, JobState, SubState};
use crate::template::Template;
use crate::transfer::{ArrayRecord, JobRecord, Transfer};
use base64::prelude::{Engine, BASE64_STANDARD};
use marbledeck_dispatcher::Micros;
use std::rc::Rc;

/// The events of a session as they are sent: job, state and sub-state of each.
type SentEvents = Vec<(String, JobState, Option<String>)>;

impl Server {
    /// Applies a message of a partner.
    pub fn handle_transfer(
        &mut self,
        now: Micros,
        partner: Partner,
        message: Transfer,
        scheduler: &mut dyn Scheduler,
    ) {
        self.handover.source = Some(partner);
        self.apply_transfer(now, partner, message, scheduler);
        self.handover.source = None;
    }

    fn apply_transfer(
        &mut self,
        now: Micros,
        partner: Partner,
        message: Transfer,
        scheduler: &mut dyn Scheduler,
    ) {
        match (message, partner) {
            (
                Transfer::Session {
                    name,
                    last_event,
                    events,
                },
                Partner::Predecessor,
            ) => self.import_session(now, &name, last_event, events),
            (Transfer::Array(record), Partner::Predecessor) => self.import_array(*record),
            (Transfer::Job(record), _) => self.apply_job(now, partner, *record, scheduler),
            (Transfer::End, Partner::Predecessor) => {
                self.handover.receive_deadline = None;
                self.handover.must_confirm = true;
                self.complete_imported_arrays();
                self.take_over_waiting_jobs(Partner::Predecessor);
            }
            (Transfer::Taken, Partner::Successor) => self.confirm_handover(),
            // Ignored: only a predecessor sends its state, and only a successor confirms it.
            (Transfer::Session { .. } | Transfer::Array(_) | Transfer::End, Partner::Successor)
            | (Transfer::Taken, Partner::Predecessor) => {}
        }
    }

    fn import_session(&mut self, now: Micros, name: &str, last_event: u64, events: SentEvents) {
        let mut imported = Vec::with_capacity(events.len());
        for (job_id, state, sub_state) in events {
            if let Some(job) = self.ids.parse_or_register(&job_id) {
                imported.push(SessionEvent {
                    job,
                    state,
                    sub_state: parse_sub_state(sub_state.as_deref()),
                });
            }
        }
        let restored = self.sessions.restore(now, name, last_event, imported);
        self.handover.taken_over.sessions += usize::from(restored.is_some());
    }

    fn import_array(&mut self, record: ArrayRecord) {
        let Some(key) = self.ids.parse_or_register(&record.id) else {
            return;
        };
        let session = record.session.as_deref();
        let session = session.and_then(|name| self.sessions.find(name));
        let template = Rc::new(record.template);
        // Its members follow as jobs.
        let mut array = JobArray::new(template, session, record.max_parallel, Growth::Importing);
        array.is_stopped = record.is_stopped;
        array.paused_until = record.paused_until.map(Micros);
        let pause = array.paused_until.map(|time| (time, key));
        self.paused_arrays.extend(pause);
        self.arrays.insert(key, array);
        self.handover.taken_over.arrays += 1;
    }

    fn apply_job(
        &mut self,
        now: Micros,
        partner: Partner,
        record: JobRecord,
        scheduler: &mut dyn Scheduler,
    ) {
        let key = match partner {
            Partner::Predecessor => self.ids.parse_or_register(&record.id),
            Partner::Successor => self.ids.parse(&record.id),
        };
        let Some(key) = key else {
            return;
        };
        if self.jobs.get_any(key).is_some() {
            self.update_job(now, partner, key, &record, scheduler);
        } else if partner == Partner::Predecessor {
            self.import_job(key, record);
        }
    }

    /// Adds a job that the predecessor has sent.
    fn import_job(&mut self, key: JobKey, mut record: JobRecord) {
        let array_key = record
            .array
            .as_deref()
            .and_then(|id| self.ids.parse_or_register(id));
        let array = array_key.filter(|array| self.arrays.contains_key(array));
        let Some(template) = self.imported_template(record.template.take(), array) else {
            self.handover.taken_over.dropped_jobs += 1;
            return;
        };
        self.handover.taken_over.jobs += 1;
        let session = record.session.as_deref();
        let session = session.and_then(|name| self.sessions.find(name));
        let job = imported_job(key, template, session, array, &record);
        let state = job.state;
        self.jobs.insert(job);
        if record.is_scheduled && !state.is_final() {
            self.handover.jobs_at_predecessor.insert(key);
        }
        if record.is_reaped {
            return;
        }
        if let Some(session) = session.and_then(|key| self.sessions.get_mut(key)) {
            session.jobs.insert(key);
            session.idle_since = None;
            session.update_job(key, state);
        }
        if let Some((_, array)) = self.array_mut(array) {
            array.members.insert(key);
            array.update_member(key, state);
            if record.is_scheduled && !state.is_final() {
                array.active.insert(key);
            }
        }
    }

    /// The template of an imported job. `None` if it should come from the job's array, but that does not exist.
    fn imported_template(
        &self,
        template: Option<Box<Template>>,
        array: Option<ArrayKey>,
    ) -> Option<Rc<Template>> {
        match template {
            Some(template) => Some(Rc::new(*template)),
            None => Some(self.arrays.get(&array?)?.template.clone()),
        }
    }

    /// Applies a partner's change to a job that both processes know.
    fn update_job(
        &mut self,
        now: Micros,
        partner: Partner,
        key: JobKey,
        record: &JobRecord,
        scheduler: &mut dyn Scheduler,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.has_ended() {
            if record.is_reaped && !job.is_reaped() && record.state.is_final() {
                self.reap_job(now, key);
            }
            return;
        }
        let machine = record.machine.as_deref().map(Rc::from);
        job.machine = machine.or(job.machine.take());
        if record.state.is_final() {
            return self.end_by_partner(now, key, record, scheduler);
        }
        if record.is_scheduled && !matches!(job.location, JobLocation::Scheduled(_)) {
            job.location = JobLocation::AtPartner {
                owner: partner,
                scheduled: true,
            };
            let array = job.array;
            if let Some((_, array)) = self.array_mut(array) {
                array.active.insert(key);
            }
            if partner == Partner::Predecessor {
                self.handover.jobs_at_predecessor.insert(key);
            }
        }
        let change = match record.state {
            JobState::Queued => Change::Release,
            JobState::QueuedHeld => Change::Hold,
            JobState::Running => Change::Start,
            JobState::Requeued => Change::Return,
            _ => return,
        };
        if self.jobs.apply(key, change, now) {
            self.publish_change(key);
        }
    }

    /// Ends a job that the partner has ended.
    fn end_by_partner(
        &mut self,
        now: Micros,
        key: JobKey,
        record: &JobRecord,
        scheduler: &mut dyn Scheduler,
    ) {
        let Some(job) = self.jobs.get_any(key) else {
            return;
        };
        let (location, array) = (job.location, job.array);
        let mut outcome = imported_outcome(record);
        if let JobLocation::Scheduled(id) = location {
            // A client has terminated the job at the partner: this process's scheduler abandons its attempts.
            outcome.last_sent = outcome.last_sent.max(scheduler.abandon(now, id));
        }
        // The partner may have released a job that is still held here.
        self.jobs.apply(key, Change::Release, now);
        let sub_state = parse_sub_state(record.sub_state.as_deref());
        let change = match record.state {
            JobState::Done => Change::Serve,
            _ if sub_state == Some(SubState::Terminated) => Change::Terminate,
            _ => Change::Fail,
        };
        if sub_state == Some(SubState::Rejected) {
            let default_pause = Micros(1000 * RETRY_AFTER_MS);
            let pause = outcome.problem.as_ref().map_or(default_pause, retry_pause);
            self.pause_array(array, now + pause);
        }
        self.end_job(now, key, change, sub_state, outcome);
    }
}

/// Creates a job from the record that the predecessor has sent.
fn imported_job(
    key: JobKey,
    template: Rc<Template>,
    session: Option<SessionKey>,
    array: Option<ArrayKey>,
    record: &JobRecord,
) -> Job {
    let has_ended = record.state.is_final();
    let location = if has_ended {
        JobLocation::Ended
    } else {
        JobLocation::AtPartner {
            owner: Partner::Predecessor,
            scheduled: record.is_scheduled,
        }
    };
    Job {
        key,
        template,
        index: record.index,
        session,
        array,
        state: record.state,
        location,
        sub_state: parse_sub_state(record.sub_state.as_deref()),
        outcome: has_ended.then(|| Box::new(imported_outcome(record))),
        machine: record.machine.as_deref().map(Rc::from),
        submitted_at: Micros(record.submitted_at),
        waiting_since: Micros(record.waiting_since),
        started_at: record.started_at.map(Micros),
        finished_at: record.finished_at.map(Micros),
        deadline: Micros(record.deadline),
        dedup_window: Micros(record.dedup_window),
        duplicates: record.duplicates,
        due: record.due.map(Micros),
        visibility: if record.is_reaped {
            Visibility::Reaped
        } else {
            Visibility::Visible
        },
        is_shared: true,
    }
}

/// The outcome of a job that the partner has ended.
fn imported_outcome(record: &JobRecord) -> JobOutcome {
    let result = record.result.as_ref();
    JobOutcome {
        problem: record.problem.clone(),
        result: result.and_then(|encoded| BASE64_STANDARD.decode(encoded).ok()),
        last_sent: record.last_sent.map(Micros),
    }
}

/// The sub-state with this name on the wire; `None` if the name is unknown.
fn parse_sub_state(name: Option<&str>) -> Option<SubState> {
    name.and_then(SubState::parse)
}
