//! What two processes of one node tell each other of their jobs while one replaces the other.
//!
//! The elder stops reading submitters, streams its sessions, arrays and jobs, and ends with [`Transfer::End`]. The heir
//! answers [`Transfer::Taken`]; from then on it owns all that was not handed to the elder's decisions, and reads
//! submitters. Each tells the other of every change of a job that both know, so that a job is ended once, by its
//! owner, and the survivor of the two knows what the other had done: before `Taken` the elder still owns all; after
//! it, a job that only waits goes back to the elder if the heir is lost, and one that was handed on is failed as lost.
//!
//! A process may be heir and elder at once, where upgrades follow each other closely.

use crate::ids::Key;
use crate::jobs::{End, Job, Place};
use crate::message::{ErrorId, Problem};
use crate::server::{Array, Desk, Server, SCHEDULED};
use crate::sessions::Record;
use crate::state::{Change, JobState};
use crate::template::Template;
use base64::prelude::{Engine, BASE64_STANDARD};
use marbledeck_dispatcher::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::rc::Rc;

/// How long an heir lets submitters wait for what the elder has to tell. A partner that hangs costs no more.
const PATIENCE: Micros = Micros(3_000_000);
/// Events of a session that are handed on.
const EVENTS: usize = 1024;

/// Which of the two partners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The process that this one replaces.
    Elder,
    /// The process that replaces this one.
    Heir,
}

/// A message from one process to the other. Times are those of the node's clock, in microseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transfer {
    /// A session with its last events: job, state, sub-state.
    Session {
        name: String,
        last: u64,
        events: Vec<(String, JobState, Option<String>)>,
    },
    /// An array; its members follow as jobs.
    Array {
        id: String,
        template: Box<Template>,
        session: Option<String>,
        max_parallel: Option<u32>,
        stopped: bool,
    },
    /// A job as it is now.
    Job(Box<JobRecord>),
    /// That was all.
    End,
    /// The heir owns what was not handed on.
    Taken,
}

/// A job as it is handed over.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct JobRecord {
    id: String,
    /// None for a member of an array.
    template: Option<Box<Template>>,
    index: Option<i64>,
    session: Option<String>,
    array: Option<String>,
    state: JobState,
    handed: bool,
    sub_state: Option<String>,
    problem: Option<Problem>,
    result: Option<String>,
    sent: Option<u64>,
    machine: Option<String>,
    submitted: u64,
    since: u64,
    started: Option<u64>,
    finished: Option<u64>,
    deadline: u64,
    window: u64,
    duplicates: u64,
    due: Option<u64>,
    reaped: bool,
}

/// How far an elder is with its telling.
#[derive(Debug)]
enum Giving {
    Sessions(usize),
    Arrays(Option<Key>),
    Jobs(Option<Key>),
    /// All is told, and not yet taken.
    Ended,
    Taken,
}

/// What is known of the two partners.
#[derive(Debug, Default)]
pub(crate) struct Partner {
    /// Until when the elder's telling is waited for; none once it is over.
    receiving: Option<Micros>,
    elder: bool,
    /// `Taken` is still to be said.
    owed: bool,
    giving: Option<Giving>,
    /// Jobs of which the elder, or the heir, is still to be told.
    dirty: [BTreeSet<Key>; 2],
    /// From whom a change comes that is just being made.
    source: Option<Side>,
}

impl Partner {
    /// Whether no line of a submitter is to be handled.
    pub(crate) fn is_deaf(&self) -> bool {
        self.receiving.is_some() || self.giving.is_some()
    }

    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.receiving
    }

    pub(crate) fn wake(&mut self, now: Micros) {
        if self.receiving.is_some_and(|until| until <= now) {
            // What it still tells is taken all the same.
            self.receiving = None;
        }
    }

    /// A job has changed: the partners that know it are told.
    pub(crate) fn changed(&mut self, job: Option<&Job>) {
        let Some(job) = job.filter(|job| job.shared) else {
            return;
        };
        if self.elder && self.source != Some(Side::Elder) {
            self.dirty[0].insert(job.key);
        }
        if self.giving.is_some() && self.source != Some(Side::Heir) {
            self.dirty[1].insert(job.key);
        }
    }
}

impl Server {
    /// This process replaces one that has a front, too: submitters wait until that has told what it knows.
    pub fn expect_transfer(&mut self, now: Micros) {
        self.partner.receiving = Some(now + PATIENCE);
        self.partner.elder = true;
    }

    /// Another process serves: no line is handled any more, and all that is known is told to it. What submitters have
    /// asked for and was not begun is dropped; they come back there.
    pub fn begin_transfer(&mut self) {
        if self.partner.giving.is_none() {
            self.partner.giving = Some(Giving::Sessions(0));
        }
    }

    /// Whether this process tells, or has told, another what it knows.
    pub fn is_giving(&self) -> bool {
        self.partner.giving.is_some()
    }

    /// Whether the heir, if there is one, knows all that it is to know.
    pub fn is_handed_over(&self) -> bool {
        match self.partner.giving {
            None => true,
            Some(Giving::Taken) => self.partner.dirty[Side::Heir as usize].is_empty(),
            Some(_) => false,
        }
    }

    /// The next message for a partner, if there is one.
    pub fn pull_transfer(&mut self, side: Side) -> Option<Transfer> {
        if side == Side::Elder && std::mem::take(&mut self.partner.owed) {
            return Some(Transfer::Taken);
        }
        if let Some(key) = self.partner.dirty[side as usize].pop_first() {
            // Forgotten meanwhile, it has no news.
            return match self.jobs.any(key).map(|job| self.job_record(job)) {
                Some(record) => Some(Transfer::Job(Box::new(record))),
                None => self.pull_transfer(side),
            };
        }
        if side == Side::Elder {
            return None;
        }
        self.give()
    }

    fn give(&mut self) -> Option<Transfer> {
        loop {
            match self.partner.giving.as_mut()? {
                Giving::Sessions(told) => {
                    let Some((_, session)) = self.sessions.iter().nth(*told) else {
                        self.partner.giving = Some(Giving::Arrays(None));
                        continue;
                    };
                    *told += 1;
                    let (first, events) = session.history();
                    let held = (session.last + 1 - first) as usize;
                    let word = |record: &Record| {
                        let sub_state = record.sub_state.map(str::to_owned);
                        (
                            self.ids.word(record.job).to_string(),
                            record.state,
                            sub_state,
                        )
                    };
                    return Some(Transfer::Session {
                        name: session.name.clone(),
                        last: session.last,
                        events: events.skip(held.saturating_sub(EVENTS)).map(word).collect(),
                    });
                }
                Giving::Arrays(after) => {
                    use std::ops::Bound::{Excluded, Unbounded};
                    let from = after.map_or(Unbounded, Excluded);
                    let Some((key, array)) = self.arrays.range((from, Unbounded)).next() else {
                        self.partner.giving = Some(Giving::Jobs(None));
                        continue;
                    };
                    *after = Some(*key);
                    let session = array.session.and_then(|s| self.sessions.get(s));
                    return Some(Transfer::Array {
                        id: self.ids.word(*key).to_string(),
                        template: Box::new((*array.template).clone()),
                        session: session.map(|session| session.name.clone()),
                        max_parallel: array.max_parallel,
                        stopped: array.stopped,
                    });
                }
                Giving::Jobs(after) => {
                    let Some(key) = self.jobs.after(*after).next().map(|job| job.key) else {
                        self.partner.giving = Some(Giving::Ended);
                        return Some(Transfer::End);
                    };
                    *after = Some(key);
                    if let Some(job) = self.jobs.get_mut(key) {
                        job.shared = true;
                    }
                    let record = self.jobs.any(key).map(|job| self.job_record(job))?;
                    return Some(Transfer::Job(Box::new(record)));
                }
                Giving::Ended | Giving::Taken => return None,
            }
        }
    }

    fn job_record(&self, job: &Job) -> JobRecord {
        let end = job.end.as_deref();
        let handed = matches!(
            job.place,
            Place::Handed(_) | Place::Elsewhere { handed: true, .. }
        );
        let result = end.and_then(|end| end.result.as_ref());
        JobRecord {
            id: self.ids.word(job.key).to_string(),
            template: job
                .array
                .is_none()
                .then(|| Box::new((*job.template).clone())),
            index: job.index,
            session: self.session_name(job).map(str::to_owned),
            array: job.array.map(|array| self.ids.word(array).to_string()),
            state: job.state,
            handed,
            sub_state: job.sub_state.map(str::to_owned),
            problem: end.and_then(|end| end.problem.clone()),
            result: result.map(|bytes| BASE64_STANDARD.encode(bytes)),
            sent: end.and_then(|end| end.sent).map(|at| at.0),
            machine: job.machine.as_ref().map(|name| name.to_string()),
            submitted: job.submitted.0,
            since: job.since.0,
            started: job.started.map(|at| at.0),
            finished: job.finished.map(|at| at.0),
            deadline: job.deadline.0,
            window: job.window.0,
            duplicates: job.duplicates,
            due: job.due.filter(|_| job.is_over()).map(|at| at.0),
            reaped: job.reaped,
        }
    }

    /// A partner has told something.
    pub fn take_transfer(&mut self, now: Micros, side: Side, told: Transfer, desk: &mut dyn Desk) {
        self.partner.source = Some(side);
        self.take(now, side, told, desk);
        self.partner.source = None;
    }

    fn take(&mut self, now: Micros, side: Side, told: Transfer, desk: &mut dyn Desk) {
        match (told, side) {
            (Transfer::Session { name, last, events }, Side::Elder) => {
                let mut records = Vec::with_capacity(events.len());
                for (job, state, sub_state) in events {
                    if let Some(job) = self.ids.learn(&job) {
                        let sub_state = sub_state.and_then(|word| known_word(&word));
                        records.push(Record {
                            job,
                            state,
                            sub_state,
                        });
                    }
                }
                self.sessions.restore(now, &name, last, records);
            }
            (
                Transfer::Array {
                    id,
                    template,
                    session,
                    max_parallel,
                    stopped,
                },
                Side::Elder,
            ) => {
                let session = session.and_then(|name| self.sessions.find(&name));
                if let Some(key) = self.ids.learn(&id) {
                    let mut array = Array::new(Rc::new(*template), session, max_parallel);
                    // Nothing is handed on before all is told.
                    (array.stopped, array.growing) = (stopped, true);
                    self.arrays.insert(key, array);
                }
            }
            (Transfer::Job(record), _) => {
                let key = match side {
                    Side::Elder => self.ids.learn(&record.id),
                    Side::Heir => self.ids.key(&record.id),
                };
                let Some(key) = key else {
                    return;
                };
                if self.jobs.any(key).is_some() {
                    self.update(now, side, key, &record, desk);
                } else if side == Side::Elder {
                    self.import(key, *record);
                }
            }
            (Transfer::End, Side::Elder) => {
                self.partner.receiving = None;
                self.partner.owed = true;
                self.own_waiting(Side::Elder);
            }
            (Transfer::Taken, Side::Heir) => {
                self.partner.giving = Some(Giving::Taken);
                let waits = |job: &&Job| job.shared && job.place == Place::Waiting;
                let keys: Vec<Key> = self.jobs.after(None).filter(waits).map(|j| j.key).collect();
                for key in keys {
                    self.jobs.set_due(key, None);
                    if let Some(job) = self.jobs.get_mut(key) {
                        job.place = Place::Elsewhere {
                            owner: Side::Heir,
                            handed: false,
                        };
                    }
                }
                self.ready.clear();
            }
            // Not for this side to say.
            _ => {}
        }
    }

    /// Enters a job that the elder knows.
    fn import(&mut self, key: Key, record: JobRecord) {
        let array = record.array.as_deref().and_then(|id| self.ids.learn(id));
        let of_array = array.and_then(|array| self.arrays.get(&array));
        let template = match (record.template, of_array) {
            (Some(template), _) => Rc::new(*template),
            (None, Some(array)) => array.template.clone(),
            // Its array is gone: nothing tells what it is.
            (None, None) => return,
        };
        let session = record.session.and_then(|name| self.sessions.find(&name));
        let over = record.state.is_final();
        let end = over.then(|| {
            let result = record
                .result
                .and_then(|coded| BASE64_STANDARD.decode(coded).ok());
            Box::new(End {
                problem: record.problem,
                result,
                sent: record.sent.map(Micros),
            })
        });
        let place = match over {
            true => Place::Over,
            false => Place::Elsewhere {
                owner: Side::Elder,
                handed: record.handed,
            },
        };
        let job = Job {
            key,
            template,
            index: record.index,
            session,
            array: array.filter(|array| self.arrays.contains_key(array)),
            state: record.state,
            place,
            sub_state: record.sub_state.and_then(|word| known_word(&word)),
            end,
            machine: record.machine.map(Rc::from),
            submitted: Micros(record.submitted),
            since: Micros(record.since),
            started: record.started.map(Micros),
            finished: record.finished.map(Micros),
            deadline: Micros(record.deadline),
            window: Micros(record.window),
            duplicates: record.duplicates,
            due: record.due.map(Micros),
            admitting: false,
            reaped: record.reaped,
            shared: true,
        };
        let (state, handed) = (job.state, record.handed);
        let (array, reaped) = (job.array, job.reaped);
        self.jobs.enter(job);
        if reaped {
            return;
        }
        if let Some(session) = session.and_then(|key| self.sessions.get_mut(key)) {
            session.jobs.insert(key);
            session.idle = None;
            session.place(key, state);
        }
        if let Some(array) = array.and_then(|array| self.arrays.get_mut(&array)) {
            array.members.insert(key);
            array.place(key, state);
            if handed && !over {
                array.active.insert(key);
            }
        }
    }

    /// Takes over what a partner tells of a job that both know.
    fn update(
        &mut self,
        now: Micros,
        side: Side,
        key: Key,
        record: &JobRecord,
        desk: &mut dyn Desk,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if record.reaped && !job.reaped && record.state.is_final() && job.is_over() {
            self.unshow(now, key);
            return self.jobs.reap(key, now);
        }
        if job.is_over() {
            return;
        }
        job.machine = record
            .machine
            .as_deref()
            .map(Rc::from)
            .or(job.machine.take());
        let array = job.array;
        if record.handed && !record.state.is_final() && !matches!(job.place, Place::Handed(_)) {
            job.place = Place::Elsewhere {
                owner: side,
                handed: true,
            };
            if let Some(array) = array.and_then(|array| self.arrays.get_mut(&array)) {
                array.active.insert(key);
            }
        }
        if record.state.is_final() {
            // Ended there by its submitter: nobody waits for what is out for it here.
            let mut sent = record.sent.map(Micros);
            if let Some(Place::Handed(id)) = self.jobs.any(key).map(|job| job.place) {
                sent = sent.max(desk.gone(now, id));
            }
            // What was held there has been released there.
            self.jobs.change(key, Change::Release, now);
            let result = record.result.as_ref();
            let end = End {
                problem: record.problem.clone(),
                result: result.and_then(|coded| BASE64_STANDARD.decode(coded).ok()),
                sent,
            };
            let sub_state = record.sub_state.as_deref().and_then(known_word);
            let change = match record.state {
                JobState::Done => Change::Serve,
                _ if sub_state == Some("terminated") => Change::Terminate,
                _ => Change::Fail,
            };
            if sub_state == Some("refused") {
                let ms = end.problem.as_ref().and_then(|p| p.retry_after_ms);
                self.rest(array, now + Micros(1000 * ms.unwrap_or(1000)));
            }
            return self.end_job(now, key, change, sub_state, end);
        }
        let change = match record.state {
            JobState::Queued => Change::Release,
            JobState::QueuedHeld => Change::Hold,
            JobState::Running => Change::Start,
            JobState::Requeued => Change::Return,
            _ => return,
        };
        if self.jobs.change(key, change, now) {
            self.changed(key);
        }
    }

    /// What waits at the owner that this side was, and was never handed on, is this process's from now on.
    fn own_waiting(&mut self, side: Side) {
        let theirs = Place::Elsewhere {
            owner: side,
            handed: false,
        };
        let waits = |job: &&Job| job.place == theirs;
        let keys: Vec<Key> = self
            .jobs
            .after(None)
            .filter(waits)
            .map(|job| job.key)
            .collect();
        for key in keys {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.place = Place::Waiting;
            let (queued, array) = (job.state == JobState::Queued, job.array);
            self.set_waiting_due(key);
            if !queued {
                continue;
            }
            match array.and_then(|id| Some((id, self.arrays.get_mut(&id)?))) {
                Some((id, array)) => {
                    array.waiting.push_back(key);
                    self.ready.insert(id);
                }
                // Released and not yet handed on: looked at at once.
                None => self.jobs.set_due(key, Some(Micros(0))),
            }
        }
        for array in self.arrays.values_mut() {
            array.growing = false;
        }
        let ids: Vec<Key> = self.arrays.keys().copied().collect();
        self.ready.extend(ids);
        self.arrays.retain(|_, array| !array.members.is_empty());
    }

    /// A partner is gone. What only waited there is this process's; what was handed on there may have run.
    pub fn partner_lost(&mut self, now: Micros, side: Side) {
        match side {
            Side::Elder => {
                (self.partner.receiving, self.partner.elder) = (None, false);
                self.partner.owed = false;
            }
            Side::Heir => self.partner.giving = None,
        }
        self.partner.dirty[side as usize].clear();
        self.own_waiting(side);
        let theirs = Place::Elsewhere {
            owner: side,
            handed: true,
        };
        let lost = |job: &&Job| job.place == theirs;
        let keys: Vec<Key> = self
            .jobs
            .after(None)
            .filter(lost)
            .map(|job| job.key)
            .collect();
        for key in keys {
            let words = "the process that had it is gone: it may have run";
            let end = End {
                problem: Some(Problem::new(ErrorId::DrmCommunication, words)),
                result: None,
                sent: Some(now),
            };
            self.end_job(now, key, Change::Fail, Some("lost"), end);
        }
    }
}

/// The words for sub-states, as the rest of the server knows them.
fn known_word(word: &str) -> Option<&'static str> {
    let known = [
        "refused",
        "failed",
        "overdue",
        "terminated",
        "expired",
        "lost",
        SCHEDULED,
    ];
    known.into_iter().find(|known| *known == word)
}
