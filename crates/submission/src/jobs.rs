//! The jobs that were accepted: each with its one final state, kept for as long as it can be asked for and its
//! key counts.

use crate::ids::{Ids, Key};
use crate::message::{ErrorId, JobInfo, Problem};
use crate::sessions::SessionKey;
use crate::state::{Change, JobState};
use crate::template::Template;
use crate::transfer::Side;
use base64::prelude::{Engine, BASE64_STANDARD};
use marbledeck_dispatcher::{Micros, RequestId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// What a job takes besides its texts: its record and its places in the maps.
pub const OVERHEAD: usize = 512;

/// Where a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Not handed to the decisions: held, before its time, or behind its array's bound.
    Waiting,
    /// An invocation of the core.
    Handed(RequestId),
    /// The partner process owns it: waiting there, or handed on there.
    Elsewhere {
        owner: Side,
        /// The partner has handed it to its decisions.
        handed: bool,
    },
    /// It has its final state.
    Over,
}

/// One job.
#[derive(Debug)]
pub struct Job {
    pub key: Key,
    pub template: Rc<Template>,
    pub index: Option<i64>,
    pub session: Option<SessionKey>,
    pub array: Option<Key>,
    pub state: JobState,
    pub place: Place,
    pub sub_state: Option<&'static str>,
    pub end: Option<Box<End>>,
    pub machine: Option<Rc<str>>,
    pub submitted: Micros,
    /// Since when it has waited, or was last held.
    pub since: Micros,
    pub started: Option<Micros>,
    pub finished: Option<Micros>,
    /// When its time is up, once it was handed on.
    pub deadline: Micros,
    /// How long workers drop a repeat of its key.
    pub window: Micros,
    pub duplicates: u64,
    /// When something is to be done about it: to start it, to end its hold, or to forget it.
    pub due: Option<Micros>,
    /// Handed in a moment ago: the core has not said yet whether it refuses it at once.
    pub admitting: bool,
    /// No longer shown; only its key counts.
    pub reaped: bool,
    /// The partner process knows it, too.
    pub shared: bool,
}

/// How a job has ended, besides its state.
#[derive(Clone, Debug, Default)]
pub struct End {
    pub problem: Option<Problem>,
    pub result: Option<Vec<u8>>,
    /// The last send that may have run.
    pub sent: Option<Micros>,
}

impl Job {
    pub fn is_over(&self) -> bool {
        self.state.is_final()
    }

    /// Why there is no result.
    pub fn problem(&self) -> Option<&Problem> {
        self.end.as_ref().and_then(|end| end.problem.as_ref())
    }

    fn size(&self) -> usize {
        // The members of an array share their template.
        let template = match self.array {
            Some(_) => 0,
            None => self.template.size(),
        };
        let end = self.end.as_ref();
        let result = end.and_then(|end| end.result.as_ref());
        let key = self.template.submission_key.as_ref();
        OVERHEAD + template + result.map_or(0, Vec::len) + key.map_or(0, |key| 2 * key.len())
    }

    /// Its key: one counts within its tenant.
    fn name(&self) -> Option<Name> {
        name(&self.template, self.index)
    }

    /// What is told of it.
    pub fn info(&self, ids: &Ids, session: Option<&str>) -> JobInfo {
        let ms = |at: Micros| at.0 / 1000;
        let end = self.end.as_ref();
        let result = end.and_then(|end| end.result.as_deref());
        // Text that grows much when it is escaped goes coded: a line has its bounds.
        let text = result.and_then(|bytes| std::str::from_utf8(bytes).ok());
        let text = text.filter(|t| t.bytes().filter(|b| *b < 0x20).count() * 8 <= t.len() + 64);
        JobInfo {
            job_id: ids.word(self.key).to_string(),
            job_name: self.template.name_at(self.index),
            job_state: self.state,
            job_sub_state: self.sub_state.map(str::to_owned),
            queue_name: self.template.class().to_owned(),
            accounting_id: self.template.accounting_id.clone(),
            session: session.map(str::to_owned),
            job_array_id: self.array.map(|array| ids.word(array).to_string()),
            index: self.index,
            machine: self.machine.as_ref().map(|name| name.to_string()),
            submission_time_ms: ms(self.submitted),
            dispatch_time_ms: self.started.map(ms),
            finish_time_ms: self.finished.map(ms),
            duplicates: self.duplicates,
            result: text.map(str::to_owned),
            result_base64: match (text, result) {
                (None, Some(bytes)) => Some(BASE64_STANDARD.encode(bytes)),
                _ => None,
            },
            problem: end.and_then(|end| end.problem.clone()),
        }
    }
}

/// A tenant and a key.
type Name = (Option<String>, String);

fn name(template: &Template, index: Option<i64>) -> Option<Name> {
    let key = template.key_at(index)?;
    Some((template.accounting_id.clone(), key))
}

/// The jobs, found by id, key and invocation, and by when something is due.
#[derive(Debug)]
pub struct Jobs {
    retain: Micros,
    max_jobs: usize,
    max_bytes: usize,
    bytes: usize,
    jobs: BTreeMap<Key, Job>,
    by_name: HashMap<Name, Key>,
    by_invocation: HashMap<RequestId, Key>,
    due: BTreeSet<(Micros, Key)>,
    /// When ended jobs are forgotten, apart from the other dates: what room comes when.
    expiries: BTreeSet<(Micros, Key)>,
}

impl Jobs {
    pub fn new(retain: Micros, max_jobs: usize, max_bytes: usize) -> Self {
        Jobs {
            retain,
            max_jobs,
            max_bytes,
            bytes: 0,
            jobs: BTreeMap::new(),
            by_name: HashMap::new(),
            by_invocation: HashMap::new(),
            due: BTreeSet::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// A job that is shown.
    pub fn get(&self, key: Key) -> Option<&Job> {
        self.jobs.get(&key).filter(|job| !job.reaped)
    }

    /// Any job, as long as its key counts.
    pub fn any(&self, key: Key) -> Option<&Job> {
        self.jobs.get(&key)
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut Job> {
        self.jobs.get_mut(&key)
    }

    /// The jobs after this one, in the order of their keys.
    pub fn after(&self, key: Option<Key>) -> impl Iterator<Item = &Job> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = key.map_or(Unbounded, Excluded);
        self.jobs.range((from, Unbounded)).map(|(_, job)| job)
    }

    pub fn of_invocation(&self, id: RequestId) -> Option<Key> {
        self.by_invocation.get(&id).copied()
    }

    /// How many are held, those included of which only the key counts.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// How many bytes they take, about.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The job that this template's key names, if one does: a resubmission joins it. It never runs a second
    /// time, and with another template it is an error.
    pub fn join(
        &mut self,
        template: &Template,
        index: Option<i64>,
    ) -> Result<Option<Key>, Problem> {
        let key = name(template, index).and_then(|name| self.by_name.get(&name).copied());
        let Some(job) = key.and_then(|key| self.jobs.get_mut(&key)) else {
            return Ok(None);
        };
        if !job.template.same(job.index, template, index) {
            return Err(Problem::invalid(
                "submissionKey was used with another template",
            ));
        }
        job.duplicates += 1;
        Ok(Some(job.key))
    }

    /// Whether there is room for another job; else when to come back.
    pub fn room(&self, now: Micros, template: usize) -> Result<(), Problem> {
        let bytes = self.bytes + OVERHEAD + template;
        if self.jobs.len() < self.max_jobs && bytes <= self.max_bytes {
            return Ok(());
        }
        let next = self.expiries.first().map_or(Micros(0), |(at, _)| *at - now);
        let ms = (next.0 / 1000).clamp(1000, 60_000);
        Err(Problem::later("too many jobs are held", ms))
    }

    /// Enters a job. Its key is from now on known.
    pub fn enter(&mut self, job: Job) {
        let key = job.key;
        self.bytes += job.size();
        // One that has freed its key before does not take it from another.
        let freed = job.state == JobState::Failed
            && (job.sub_state == Some("refused")
                || job.end.as_ref().is_none_or(|e| e.sent.is_none()));
        if let Some(name) = job.name().filter(|_| !freed) {
            self.by_name.entry(name).or_insert(key);
        }
        if let Place::Handed(id) = job.place {
            self.by_invocation.insert(id, key);
        }
        let due = job.due;
        self.jobs.insert(key, Job { due: None, ..job });
        self.set_due(key, due);
    }

    /// When something is to be done about a job.
    pub fn set_due(&mut self, key: Key, due: Option<Micros>) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let over = job.is_over();
        if let Some(old) = std::mem::replace(&mut job.due, due) {
            self.due.remove(&(old, key));
            self.expiries.remove(&(old, key));
        }
        if let Some(due) = due {
            self.due.insert((due, key));
            if over {
                self.expiries.insert((due, key));
            }
        }
    }

    /// A waiting job has been handed to the decisions.
    pub fn handed(&mut self, key: Key, invocation: RequestId, deadline: Micros) {
        self.set_due(key, None);
        if let Some(job) = self.jobs.get_mut(&key) {
            (job.place, job.deadline) = (Place::Handed(invocation), deadline);
            self.by_invocation.insert(invocation, key);
        }
    }

    /// A job that was handed on is with the decisions no longer.
    pub fn recalled(&mut self, key: Key) {
        if let Some(job) = self.jobs.get_mut(&key) {
            if let Place::Handed(id) = job.place {
                self.by_invocation.remove(&id);
            }
            job.place = Place::Waiting;
        }
    }

    /// Changes a job's state where the table allows it; tells whether that is news.
    pub fn change(&mut self, key: Key, change: Change, now: Micros) -> bool {
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        let Some(next) = job.state.after(change).filter(|next| !next.is_final()) else {
            return false;
        };
        if next == JobState::Running && job.started.is_none() {
            job.started = Some(now);
        }
        std::mem::replace(&mut job.state, next) != next
    }

    /// Gives a job its final state, once; tells whether it did.
    pub fn end(
        &mut self,
        key: Key,
        change: Change,
        now: Micros,
        sub_state: Option<&'static str>,
        end: End,
    ) -> bool {
        let sent = end.sent;
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        let next = job.state.after(change).filter(|next| next.is_final());
        let Some(state) = next else {
            return false;
        };
        let before = job.size();
        (job.state, job.sub_state) = (state, sub_state);
        job.end = Some(Box::new(end));
        job.finished = Some(now);
        if let Place::Handed(id) = std::mem::replace(&mut job.place, Place::Over) {
            self.by_invocation.remove(&id);
        }
        let job = &self.jobs[&key];
        self.bytes = self.bytes + job.size() - before;
        // The key counts for as long as workers would drop a repeat, and longer if the state is kept longer.
        let held = sent.map_or(now, |sent| sent + job.window);
        self.set_due(key, Some(held.max(now + self.retain)));
        // Never ran, or may run again: a resubmission is a job of its own.
        let again = sub_state == Some("refused") || sent.is_none();
        if state == JobState::Failed && again {
            self.forget_name(key);
        }
        true
    }

    /// Until when a job's key counts, besides its being shown.
    pub fn key_held(&self, key: Key) -> Option<Micros> {
        let job = self.jobs.get(&key)?;
        let sent = job.end.as_ref()?.sent?;
        let named = job.name().and_then(|name| self.by_name.get(&name));
        (named == Some(&key)).then_some(sent + job.window)
    }

    /// The job is no longer shown. Its key counts on as long as workers drop repeats.
    pub fn reap(&mut self, key: Key, now: Micros) {
        let held = self.key_held(key).filter(|until| *until > now);
        let Some(until) = held else {
            self.forget(key);
            return;
        };
        self.set_due(key, Some(until));
        if let Some(job) = self.jobs.get_mut(&key) {
            let before = job.size();
            job.reaped = true;
            if let Some(end) = &mut job.end {
                end.result = None;
            }
            self.bytes = self.bytes + job.size() - before;
        }
    }

    fn forget_name(&mut self, key: Key) {
        let name = self.jobs.get(&key).and_then(Job::name);
        if let Some(name) = name.filter(|name| self.by_name.get(name) == Some(&key)) {
            self.by_name.remove(&name);
        }
    }

    /// Drops a job.
    pub fn forget(&mut self, key: Key) -> Option<Job> {
        self.forget_name(key);
        self.set_due(key, None);
        let job = self.jobs.remove(&key)?;
        self.bytes -= job.size();
        if let Place::Handed(id) = job.place {
            self.by_invocation.remove(&id);
        }
        Some(job)
    }

    /// When the next job is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    /// The next job that is due by now.
    pub fn pop_due(&mut self, now: Micros) -> Option<Key> {
        let (_, key) = self.due.first().copied().filter(|(at, _)| *at <= now)?;
        self.set_due(key, None);
        Some(key)
    }
}

/// What a job ends with that the decisions have given up.
pub(crate) fn rejected(wait: Option<Micros>) -> End {
    let ms = wait.map_or(1000, |wait| wait.0.div_ceil(1000));
    End {
        problem: Some(Problem::later("refused", ms)),
        ..End::default()
    }
}

/// What a job ends with of which nothing is promised.
pub(crate) fn failed(overdue: bool, sent: Option<Micros>) -> (&'static str, End) {
    let (sub, error) = match overdue {
        true => ("overdue", ErrorId::Timeout),
        false => ("failed", ErrorId::DrmCommunication),
    };
    let end = End {
        problem: Some(Problem::new(error, "it may have run")),
        result: None,
        sent,
    };
    (sub, end)
}
