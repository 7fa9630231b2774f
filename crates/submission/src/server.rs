//! The protocol's server without sockets, clock or core: lines of submitters go in, lines for them come out, and jobs
//! go to the decisions through a [`Desk`].
//!
//! A carrier tells it of [peers](Server::connect) and hands it their lines as long as it [wants](Server::wants_line)
//! any; it [pulls](Server::pull) lines for each of the [peers](Server::take_talkative) that have something to read, as
//! they take them. After the core has done what it was told, [`Server::admitted`] answers the submissions of the turn.
//! No step does more than a bounded amount of work; what is left over is done in [`Server::wake`], which
//! [`Server::next_wake`] asks for.

use crate::frame;
use crate::ids::{Ids, Key};
use crate::jobs::{self, End, Job, Jobs, Place};
use crate::message::*;
use crate::sessions::{Next, Record, SessionKey, Sessions};
use crate::state::{Change, JobState};
use crate::template::{Template, SUPPORTED, UNSUPPORTED};
use marbledeck_dispatcher::{Micros, RequestId};
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// A submitter's connection, as its carrier numbers it; never used twice.
pub type Peer = u64;

/// Waits that one submitter may have open, and jobs that all of them may name together.
pub const MOST_WAITS: usize = 1024;
const MOST_NAMED: usize = 16 * 1024;
/// Sessions that one submitter may have open.
const MOST_OPEN: usize = 64;
/// Jobs of a bulk, or of a control of many, handled in one turn.
const PIECE: usize = 64;
/// Jobs that are due or to be handed on, handled in one turn.
const DUE: usize = 256;
/// Jobs that one line of an answer to `runBulkJobs` names.
const BULK_LINE: usize = 256;
/// Machines that one line of an answer names.
const MACHINES: usize = 200;
/// The most jobs of a page, jobs looked at for one, and bytes after which it ends.
const PAGE: usize = 256;
const SCAN: usize = 2048;
const PAGE_BYTES: usize = 64 * 1024;
/// The longest that a job may be waited for, in milliseconds.
const LONGEST_MS: u64 = 24 * 3600 * 1000;
/// How long a job is waited for that another site runs, where nothing says it.
const ELSEWHERE: Micros = Micros(600_000_000);
/// When to come back to a node that is ending: by then another serves.
const ENDING_MS: u64 = 2000;

/// What the server may hold. Counts are of things, sizes in bytes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Jobs, waiting, running and ended ones together.
    pub max_jobs: usize,
    /// Bytes of templates and results.
    pub max_bytes: usize,
    /// Jobs of one `runBulkJobs`.
    pub max_bulk: usize,
    /// Job sessions.
    pub max_sessions: usize,
    /// Events that a session remembers.
    pub history: usize,
    /// How long an ended job can be asked for.
    pub retain: Micros,
    /// How long a job may wait before it is handed to the decisions.
    pub longest_hold: Micros,
    /// How long a session is kept that has neither jobs nor readers.
    pub keep_session: Micros,
}

/// A job for the decisions.
#[derive(Debug)]
pub struct Order<'a> {
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    pub time_left: Micros,
    pub slots: f64,
    /// The job's id, by which workers know it.
    pub txn: String,
    pub key: Option<String>,
    pub target: String,
    pub body: Vec<u8>,
    /// Where it is to run.
    pub place: Whereabouts,
    /// All that was handed in, and the index in an array.
    pub template: &'a Template,
    pub index: Option<i64>,
}

/// Where a job is to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whereabouts {
    /// At this site.
    Here,
    /// At another.
    Elsewhere,
}

/// What a class is.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassFacts {
    /// How long its jobs are waited for.
    pub deadline: Micros,
    /// How long workers drop repeats of a key; zero where there are no keys.
    pub window: Micros,
    /// Whether the decisions may run a job of it again.
    pub reruns: bool,
}

/// How the decisions have ended a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The result that a worker gave for it.
    Served(Vec<u8>),
    /// Trying again is harmless, perhaps after this time.
    Rejected(Option<Micros>),
    /// Nothing is promised.
    Failed,
}

/// The decisions and what stands behind them, as the server sees it.
pub trait Desk {
    /// The class of this name.
    fn class(&self, name: &str) -> Option<ClassFacts>;
    /// Whether an order of this class, tenant and key would be taken, its time and the load apart.
    ///
    /// # Errors
    /// What [`Desk::take_in`] would say.
    fn check(&self, class: &str, tenant: Option<&str>, keyed: bool) -> Result<(), Problem>;
    /// Where a job is to run, by its manifest.
    ///
    /// # Errors
    /// At no site, or it cannot be known now.
    fn place(&self, _template: &Template) -> Result<Whereabouts, Problem> {
        Ok(Whereabouts::Here)
    }
    /// Hands a job over. From here on it gets one [`Server::answer`].
    ///
    /// # Errors
    /// Why it was not taken; nothing of it has run.
    fn take_in(&mut self, now: Micros, order: Order) -> Result<RequestId, Problem>;
    /// Takes a job back, if no call was ever made for it; it gets no answer then.
    fn recall(&mut self, now: Micros, id: RequestId) -> bool;
    /// Nobody waits for a job any more, and it gets no answer. Tells the last send that may have run.
    fn gone(&mut self, now: Micros, id: RequestId) -> Option<Micros>;
    /// A resubmission has joined an earlier job.
    fn count_duplicate(&mut self);
    /// The queues.
    fn queues(&self) -> Vec<Queue>;
    /// The machines.
    fn machines(&self, now: Micros) -> Vec<Machine>;
}

/// What a submitter is still to be told.
enum Out {
    Line(Vec<u8>),
    /// A job as it is when this is written: the answer to this request ...
    Info(Value, Key),
    /// ... or a notification.
    News(Key),
}

/// What a submitter has asked for that takes more than a turn.
enum Chore {
    Bulk(Box<Bulk>),
    Control(Box<Control>),
}

struct Bulk {
    seq: Value,
    template: Rc<Template>,
    notify: bool,
    session: Option<SessionKey>,
    array: Key,
    /// The index of the next job, the step, and how many are still to come.
    next: i128,
    step: i128,
    left: usize,
    answers: Vec<OfBulk>,
}

struct Control {
    seq: Value,
    act: Act,
    jobs: VecDeque<Key>,
    changed: usize,
    refused: usize,
    problem: Option<Problem>,
}

/// What can be done to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Terminate,
    Hold,
    Release,
    Suspend,
    Resume,
    Reap,
}

#[derive(Default)]
struct Submitter {
    outbox: VecDeque<Out>,
    waits: BTreeSet<u64>,
    /// Jobs that its waits name, one by one.
    named: usize,
    /// The open sessions, each with the number of the last event that was told.
    open: Vec<(SessionKey, u64)>,
    watched: HashSet<Key>,
    chore: Option<Chore>,
    /// A submission of it is being decided.
    admitting: bool,
}

/// What a wait is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Subject {
    Job(Key),
    Array(Key),
    Session(SessionKey),
}

struct Wait {
    peer: Peer,
    seq: Value,
    subjects: Vec<Subject>,
    for_start: bool,
    until: Option<Micros>,
}

/// A job and whether it was joined, or why it is none.
type Handed = Result<(Key, bool), Problem>;

/// Jobs that were handed in and of which the core has not said yet whether it refuses them at once.
struct Admission {
    peer: Peer,
    seq: Value,
    notify: bool,
    jobs: Vec<(Option<i64>, Handed)>,
    bulk: bool,
}

/// An array of jobs.
pub(crate) struct Array {
    pub(crate) template: Rc<Template>,
    pub(crate) session: Option<SessionKey>,
    pub(crate) max_parallel: Option<u32>,
    /// The members that are shown.
    pub(crate) members: BTreeSet<Key>,
    /// Those that are with the decisions, here or at the partner.
    pub(crate) active: BTreeSet<Key>,
    /// Those that wait for their turn, and some that no longer do.
    pub(crate) waiting: VecDeque<Key>,
    running: BTreeSet<Key>,
    ended: BTreeSet<Key>,
    /// No member is handed on before: the decisions have refused one.
    resting: Option<Micros>,
    /// All are being ended: none is handed on.
    pub(crate) stopped: bool,
    /// Its bulk is still being taken.
    pub(crate) growing: bool,
}

impl Array {
    pub(crate) fn new(
        template: Rc<Template>,
        session: Option<SessionKey>,
        max_parallel: Option<u32>,
    ) -> Self {
        Array {
            template,
            session,
            max_parallel,
            members: BTreeSet::new(),
            active: BTreeSet::new(),
            waiting: VecDeque::new(),
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
            resting: None,
            stopped: false,
            growing: false,
        }
    }

    /// Notes whether a member runs or has ended.
    pub(crate) fn place(&mut self, job: Key, state: JobState) {
        self.running.remove(&job);
        if state.is_final() {
            self.ended.insert(job);
        } else if state.has_started() {
            self.running.insert(job);
        }
    }

    fn may_start(&self, now: Micros) -> bool {
        let room = self
            .max_parallel
            .is_none_or(|most| self.active.len() < most as usize);
        room && !self.stopped && self.resting.is_none_or(|until| until <= now)
    }
}

/// The server's side of the protocol.
pub struct Server {
    pub(crate) limits: Limits,
    pub(crate) ids: Ids,
    pub(crate) jobs: Jobs,
    pub(crate) sessions: Sessions,
    pub(crate) arrays: BTreeMap<Key, Array>,
    peers: HashMap<Peer, Submitter>,
    /// By number, so that they are answered in the order in which they came.
    waits: BTreeMap<u64, Wait>,
    next_wait: u64,
    waits_due: BTreeSet<(Micros, u64)>,
    waits_of: HashMap<Subject, BTreeSet<u64>>,
    watchers: HashMap<Key, Vec<Peer>>,
    admissions: Vec<Admission>,
    /// Submitters with a chore, in turn.
    busy: VecDeque<Peer>,
    /// Arrays that may have a member to hand on.
    pub(crate) ready: BTreeSet<Key>,
    resting: BTreeSet<(Micros, Key)>,
    /// Submitters with something to read.
    talkative: BTreeSet<Peer>,
    /// The node is to end: no job is taken any more.
    pub(crate) ending: bool,
    pub(crate) partner: crate::transfer::Partner,
}

impl Server {
    /// `prefix` begins the ids of this start's jobs: no other start may have it.
    pub fn new(limits: Limits, prefix: String) -> Self {
        Server {
            ids: Ids::new(prefix),
            jobs: Jobs::new(limits.retain, limits.max_jobs, limits.max_bytes),
            sessions: Sessions::new(limits.max_sessions, limits.history, limits.keep_session),
            limits,
            arrays: BTreeMap::new(),
            peers: HashMap::new(),
            waits: BTreeMap::new(),
            next_wait: 0,
            waits_due: BTreeSet::new(),
            waits_of: HashMap::new(),
            watchers: HashMap::new(),
            admissions: Vec::new(),
            busy: VecDeque::new(),
            ready: BTreeSet::new(),
            resting: BTreeSet::new(),
            talkative: BTreeSet::new(),
            ending: false,
            partner: Default::default(),
        }
    }

    /// A submitter has connected.
    pub fn connect(&mut self, peer: Peer) {
        self.peers.insert(peer, Submitter::default());
    }

    /// A submitter is gone. Its jobs go on; of a bulk that is not wholly taken, the rest is not.
    pub fn disconnect(&mut self, now: Micros, peer: Peer) {
        let Some(gone) = self.peers.remove(&peer) else {
            return;
        };
        for number in gone.waits {
            self.end_wait(number);
        }
        for job in gone.watched {
            self.unwatch(job, peer);
        }
        for (session, _) in gone.open {
            self.leave(now, session, peer);
        }
        if let Some(Chore::Bulk(bulk)) = gone.chore {
            self.grown(bulk.array);
        }
        self.talkative.remove(&peer);
    }

    /// How many submitters are connected.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    /// How many jobs, sessions and arrays are held, and about how many bytes the jobs take.
    pub fn holds(&self) -> Holds {
        Holds {
            jobs: self.jobs.len(),
            bytes: self.jobs.bytes(),
            sessions: self.sessions.len(),
            arrays: self.arrays.len(),
            waits: self.waits.len(),
        }
    }

    /// Whether the next line of a submitter may be handed in: all that it has asked for has been answered, and read
    /// as far as its connection takes it.
    pub fn wants_line(&self, peer: Peer) -> bool {
        let free = |s: &Submitter| s.outbox.is_empty() && !s.admitting && s.chore.is_none();
        !self.partner.is_deaf() && self.peers.get(&peer).is_some_and(free)
    }

    /// Whether no line is handled now, since another process is being told what this one knows or the other way.
    pub fn is_deaf(&self) -> bool {
        self.partner.is_deaf()
    }

    /// Whether nothing more is owed to a submitter that sends nothing more.
    pub fn is_done_with(&self, peer: Peer) -> bool {
        let done = |s: &Submitter| {
            let free = s.outbox.is_empty() && !s.admitting && s.chore.is_none();
            free && s.waits.is_empty() && s.open.is_empty()
        };
        self.peers.get(&peer).is_none_or(done)
    }

    /// The submitters that have something to read since this was last asked.
    pub fn take_talkative(&mut self) -> Vec<Peer> {
        std::mem::take(&mut self.talkative).into_iter().collect()
    }

    /// The node is to end: no job is taken any more.
    pub fn end(&mut self) {
        self.ending = true;
    }

    /// No process takes over: what was not handed to the decisions is refused, since it could only be lost.
    pub fn refuse_waiting(&mut self, now: Micros) {
        let waiting = |job: &&Job| job.place == Place::Waiting;
        let keys: Vec<Key> = self
            .jobs
            .after(None)
            .filter(waiting)
            .map(|j| j.key)
            .collect();
        for key in keys {
            let end = End {
                problem: Some(Problem::later("the node is ending", ENDING_MS)),
                ..End::default()
            };
            self.end_job(now, key, Change::Fail, Some("refused"), end);
        }
    }

    /// When [`Server::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        let now = !self.busy.is_empty() || !self.ready.is_empty();
        let own = [
            now.then_some(Micros(0)),
            self.jobs.next_due(),
            self.resting.first().map(|(at, _)| *at),
        ];
        // What is being told to an heir is not begun here any more.
        let own = own.into_iter().filter(|_| !self.is_giving());
        let any = [
            self.waits_due.first().map(|(at, _)| *at),
            self.sessions.next_due(),
            self.partner.next_due(),
        ];
        own.chain(any).flatten().min()
    }

    /// Does what is due and goes on with what takes several turns.
    pub fn wake(&mut self, now: Micros, desk: &mut dyn Desk) {
        self.partner.wake(now);
        self.sessions.expire(now);
        while let Some((_, number)) = self.waits_due.first().copied().filter(|(at, _)| *at <= now) {
            if let Some(wait) = self.end_wait(number) {
                // The job goes on: only the wait is over.
                let problem = Problem::new(ErrorId::Timeout, "the job goes on");
                self.say(wait.peer, &wait.seq, problem);
            }
        }
        if self.is_giving() {
            return;
        }
        for _ in 0..DUE {
            let Some(key) = self.jobs.pop_due(now) else {
                break;
            };
            self.due(now, key, desk);
        }
        while let Some((_, array)) = self.resting.first().copied().filter(|(at, _)| *at <= now) {
            self.resting.pop_first();
            self.ready.insert(array);
        }
        self.pump(now, desk);
        for _ in 0..self.busy.len().min(8) {
            let Some(peer) = self.busy.pop_front() else {
                break;
            };
            self.work(now, peer, desk);
        }
    }

    /// A job's time has come.
    fn due(&mut self, now: Micros, key: Key, desk: &mut dyn Desk) {
        let Some(job) = self.jobs.any(key) else {
            return;
        };
        if job.is_over() {
            return self.drop_job(now, key);
        }
        if job.place != Place::Waiting {
            return;
        }
        let overdue = job.template.deadline_time.is_some_and(|ms| unix(ms) <= now);
        if overdue || job.since + self.limits.longest_hold <= now {
            let (sub_state, error, words) = match overdue {
                true => (
                    "overdue",
                    ErrorId::Timeout,
                    "its time was up before it could start",
                ),
                false => ("expired", ErrorId::TryLater, "it was held for too long"),
            };
            let mut problem = Problem::new(error, words);
            problem.retry_after_ms = (!overdue).then_some(1000);
            let end = End {
                problem: Some(problem),
                ..End::default()
            };
            self.end_job(now, key, Change::Fail, Some(sub_state), end);
            return;
        }
        let loose = job.state == JobState::Queued && job.array.is_none();
        self.set_waiting_due(key);
        if loose {
            return self.hand_on(now, key, desk);
        }
        if job_is_scheduled(self.jobs.any(key)) && self.start_time(key).is_none_or(|at| at <= now) {
            self.release(now, key, desk);
        }
    }

    fn start_time(&self, key: Key) -> Option<Micros> {
        self.jobs.any(key)?.template.start_time.map(unix)
    }

    /// Sets when a waiting job is to be looked at: its start, its deadline, or the end of its hold.
    pub(crate) fn set_waiting_due(&mut self, key: Key) {
        let Some(job) = self.jobs.any(key) else {
            return;
        };
        let start = job.template.start_time.map(unix);
        let start = start.filter(|_| job.sub_state == Some(SCHEDULED));
        let deadline = job.template.deadline_time.map(unix);
        let hold = Some(job.since + self.limits.longest_hold);
        let due = [start, deadline, hold].into_iter().flatten().min();
        self.jobs.set_due(key, due);
    }

    /// Hands on members of arrays that may start.
    fn pump(&mut self, now: Micros, desk: &mut dyn Desk) {
        for _ in 0..DUE {
            let Some(id) = self.ready.first().copied() else {
                return;
            };
            let next = match self.arrays.get_mut(&id) {
                Some(array) if array.may_start(now) => array.waiting.pop_front(),
                _ => None,
            };
            let Some(key) = next else {
                self.ready.remove(&id);
                continue;
            };
            let waits = |job: &Job| job.place == Place::Waiting && job.state == JobState::Queued;
            if self.jobs.any(key).is_some_and(waits) {
                self.hand_on(now, key, desk);
            }
        }
    }

    /// Hands a waiting job to the decisions.
    fn hand_on(&mut self, now: Micros, key: Key, desk: &mut dyn Desk) {
        let Some(job) = self.jobs.any(key) else {
            return;
        };
        let array = job.array;
        match self.take_in(now, key, desk) {
            Ok((invocation, deadline)) => {
                self.jobs.handed(key, invocation, deadline);
                if let Some(array) = array.and_then(|array| self.arrays.get_mut(&array)) {
                    array.active.insert(key);
                }
                self.partner.changed(self.jobs.any(key));
            }
            // The decisions have not seen it: it keeps its place.
            Err(problem) if problem.error == ErrorId::TryLater && array.is_some() => {
                let rest = Micros(1000 * problem.retry_after_ms.unwrap_or(1000));
                self.rest(array, now + rest);
                let array = array.and_then(|array| self.arrays.get_mut(&array));
                if let Some(array) = array {
                    array.waiting.push_front(key);
                }
            }
            Err(problem) => {
                let end = End {
                    problem: Some(problem),
                    ..End::default()
                };
                self.end_job(now, key, Change::Fail, Some("refused"), end);
            }
        }
    }

    fn take_in(
        &mut self,
        now: Micros,
        key: Key,
        desk: &mut dyn Desk,
    ) -> Result<(RequestId, Micros), Problem> {
        let Some(job) = self.jobs.any(key) else {
            return Err(Problem::invalid("no such job"));
        };
        let txn = self.ids.word(key).to_string();
        // Sites may have changed since it was handed in.
        let place = desk.place(&job.template)?;
        order(now, &job.template, job.index, txn, place, desk)
    }

    /// No member of an array is handed on for a while.
    pub(crate) fn rest(&mut self, array: Option<Key>, until: Micros) {
        let Some((id, array)) = array.and_then(|id| Some((id, self.arrays.get_mut(&id)?))) else {
            return;
        };
        if array.max_parallel.is_none() && array.waiting.is_empty() {
            return;
        }
        if let Some(old) = array.resting.replace(until) {
            self.resting.remove(&(old, id));
        }
        self.resting.insert((until, id));
    }

    /// Handles a line of a submitter.
    pub fn line(&mut self, now: Micros, peer: Peer, line: &[u8], desk: &mut dyn Desk) {
        let request: Request = match serde_json::from_slice(line) {
            Ok(request) => request,
            Err(e) => {
                let value: Value = serde_json::from_slice(line).unwrap_or_default();
                let seq = value.get("seq").cloned().unwrap_or_default();
                return self.say(peer, &seq, Problem::invalid(e.to_string()));
            }
        };
        let seq = request.seq;
        if let Err(problem) = self.op(now, peer, &seq, request.op, desk) {
            self.say(peer, &seq, problem);
        }
    }

    /// Carries out a request: it is answered by now or later, or else with the problem.
    fn op(
        &mut self,
        now: Micros,
        peer: Peer,
        seq: &Value,
        op: Op,
        desk: &mut dyn Desk,
    ) -> Result<(), Problem> {
        match op {
            Op::RunJob {
                template,
                notify,
                session,
            } => {
                let session = self.session_of(session)?;
                let template = Rc::new(template);
                let job = self.submit(now, &template, None, None, session, desk);
                self.admit_later(peer, seq.clone(), notify, vec![(None, job)], false);
            }
            Op::RunBulkJobs {
                template,
                begin_index,
                end_index,
                step,
                max_parallel,
                notify,
                session,
            } => {
                let session = self.session_of(session)?;
                let left = self.count(begin_index, end_index, step)?;
                if max_parallel == Some(0) {
                    return Err(Problem::invalid("maxParallel wants 1 or more"));
                }
                let template = Rc::new(template);
                let array = self.ids.fresh();
                let mut new = Array::new(template.clone(), session, max_parallel);
                new.growing = true;
                self.arrays.insert(array, new);
                let bulk = Bulk {
                    seq: seq.clone(),
                    template,
                    notify,
                    session,
                    array,
                    next: begin_index.into(),
                    step: step.into(),
                    left,
                    answers: Vec::new(),
                };
                self.give_chore(peer, Chore::Bulk(Box::new(bulk)));
                self.work(now, peer, desk);
            }
            Op::GetJobInfo { job_id } => {
                let key = self.shown(&job_id)?;
                self.send(peer, Out::Info(seq.clone(), key));
            }
            Op::GetJobArray { job_array_id } => {
                let info = self.array_info(self.array(&job_array_id)?);
                self.say(peer, seq, json!({ "jobArray": info }));
            }
            Op::WaitStarted { job_id, timeout_ms } => {
                let of = Targets::job(job_id);
                self.wait(now, peer, seq, &of, true, timeout_ms)?;
            }
            Op::WaitTerminated { job_id, timeout_ms } => {
                let of = Targets::job(job_id);
                self.wait(now, peer, seq, &of, false, timeout_ms)?;
            }
            Op::WaitAnyStarted { of, timeout_ms } => {
                self.wait(now, peer, seq, &of, true, timeout_ms)?
            }
            Op::WaitAnyTerminated { of, timeout_ms } => {
                self.wait(now, peer, seq, &of, false, timeout_ms)?
            }
            Op::Terminate { of } => self.control(now, peer, seq, Act::Terminate, &of, desk)?,
            Op::Hold { of } => self.control(now, peer, seq, Act::Hold, &of, desk)?,
            Op::Release { of } => self.control(now, peer, seq, Act::Release, &of, desk)?,
            Op::Suspend { of } => self.control(now, peer, seq, Act::Suspend, &of, desk)?,
            Op::Resume { of } => self.control(now, peer, seq, Act::Resume, &of, desk)?,
            Op::Reap { of } => self.control(now, peer, seq, Act::Reap, &of, desk)?,
            Op::ListJobs {
                session,
                filter,
                limit,
                after,
            } => {
                let page = self.list(session, &filter, limit, after)?;
                self.say(peer, seq, page);
            }
            Op::CreateSession { name } => {
                self.room_to_open(peer)?;
                let key = self.sessions.create(now, &name)?;
                self.open(now, peer, key, 0);
                self.say(peer, seq, json!({ "session": name, "lastEvent": 0 }));
            }
            Op::OpenSession { name, since } => {
                let key = self.session(&name)?;
                self.room_to_open(peer)?;
                let last = self.sessions.get(key).map_or(0, |s| s.last);
                if let Some(ahead) = since.filter(|since| *since > last) {
                    // Numbers of another life of this name: nothing that was told then is known.
                    let words = format!("since {ahead} is beyond the last event, {last}");
                    return Err(Problem::invalid(words));
                }
                self.open(now, peer, key, since.unwrap_or(last));
                self.say(peer, seq, json!({ "session": name, "lastEvent": last }));
            }
            Op::CloseSession { name } => {
                let key = self.session(&name)?;
                let is_open = |s: &Submitter| s.open.iter().any(|(open, _)| *open == key);
                if !self.peers.get(&peer).is_some_and(is_open) {
                    return Err(Problem::new(ErrorId::InvalidSession, "it is not open here"));
                }
                self.leave(now, key, peer);
                self.say(peer, seq, json!({ "session": name }));
            }
            Op::DestroySession { name } => {
                let key = self.session(&name)?;
                self.destroy(key);
                self.say(peer, seq, json!({ "session": name }));
            }
            Op::ListSessions => {
                let names = json!({ "sessions": self.sessions.names() });
                self.say(peer, seq, names);
            }
            Op::GetAllQueues { names } => {
                let mut queues = desk.queues();
                queues.retain(|q| names.as_ref().is_none_or(|names| names.contains(&q.name)));
                self.say(peer, seq, json!({ "queues": queues }));
            }
            Op::GetAllMachines { names } => {
                let mut machines = desk.machines(now);
                let named =
                    |m: &Machine| names.as_ref().is_none_or(|names| names.contains(&m.name));
                machines.retain(named);
                // A large fleet does not fit a line.
                let mut parts: Vec<&[Machine]> = machines.chunks(MACHINES).collect();
                let last = parts.pop().unwrap_or_default();
                for part in parts {
                    self.say(peer, seq, json!({ "machines": part, "more": true }));
                }
                self.say(peer, seq, json!({ "machines": last }));
            }
            Op::GetAllReservations => {
                let words =
                    "there are no reservations: see ADVANCE_RESERVATION in the capabilities";
                return Err(Problem::new(ErrorId::UnsupportedOperation, words));
            }
            Op::GetCapabilities => self.say(peer, seq, capabilities(&self.limits)),
            Op::GetDrmsInfo => {
                let info = json!({
                    "drmsName": "marbledeck",
                    "drmsVersion": env!("CARGO_PKG_VERSION"),
                    "drmaaName": "marbledeck submission",
                    "drmaaVersion": "2.0",
                });
                self.say(peer, seq, info);
            }
        }
        Ok(())
    }

    fn session_of(&self, name: Option<String>) -> Result<Option<SessionKey>, Problem> {
        name.map(|name| self.session(&name)).transpose()
    }

    fn session(&self, name: &str) -> Result<SessionKey, Problem> {
        let found = self.sessions.find(name);
        found.ok_or_else(|| {
            Problem::new(
                ErrorId::InvalidSession,
                format!("no such session: `{name}`"),
            )
        })
    }

    fn array(&self, word: &str) -> Result<Key, Problem> {
        let key = self.ids.key(word);
        key.filter(|key| self.arrays.contains_key(key))
            .ok_or_else(|| Problem::invalid("no such job array"))
    }

    fn shown(&self, word: &str) -> Result<Key, Problem> {
        let key = self.ids.key(word);
        let shown = |key: &Key| self.jobs.get(*key).is_some_and(|job| !job.admitting);
        key.filter(shown).ok_or_else(unknown_job)
    }

    /// How many jobs a bulk names.
    fn count(&self, begin: i64, end: i64, step: i64) -> Result<usize, Problem> {
        if step == 0 || step > 0 && begin > end || step < 0 && begin < end {
            return Err(Problem::invalid(
                "beginIndex, endIndex and step name no job",
            ));
        }
        // Wider than any index: the way from one to another may not fit into the indices' own size.
        let (begin, end, step) = (i128::from(begin), i128::from(end), i128::from(step));
        let count = (end - begin) / step + 1;
        let most = self.limits.max_bulk;
        match usize::try_from(count) {
            Ok(count) if count <= most => Ok(count),
            _ => Err(Problem::invalid(format!("at most {most} jobs at once"))),
        }
    }

    /// Takes a job in, hands it to the decisions unless it is to wait, or joins it to the one that has its key.
    fn submit(
        &mut self,
        now: Micros,
        template: &Rc<Template>,
        index: Option<i64>,
        array: Option<Key>,
        session: Option<SessionKey>,
        desk: &mut dyn Desk,
    ) -> Handed {
        template.check(index)?;
        if let Some(first) = self.jobs.join(template, index)? {
            desk.count_duplicate();
            return Ok((first, true));
        }
        if self.ending {
            return Err(Problem::later("the node is ending", ENDING_MS));
        }
        let size = if array.is_some() { 0 } else { template.size() };
        self.jobs.room(now, size)?;
        let keyed = template.submission_key.is_some();
        let tenant = template.accounting_id.as_deref();
        let place = desk.place(template)?;
        if place == Whereabouts::Here {
            desk.check(template.class(), tenant, keyed)?;
        }
        let facts = desk.class(template.class()).unwrap_or_default();
        if template.rerunnable == Some(false) && facts.reruns {
            let words = "`rerunnable` cannot be false: jobs of this class are run again where that is allowed";
            return Err(Problem::new(ErrorId::UnsupportedAttribute, words));
        }
        if template.deadline_time.is_some_and(|ms| unix(ms) <= now) {
            return Err(Problem::invalid("deadlineTime is over"));
        }
        let scheduled = template.start_time.is_some_and(|ms| unix(ms) > now);
        let held = template.submit_as_hold || scheduled;
        let bound = array.and_then(|array| self.arrays.get(&array));
        let bound = bound.is_some_and(|array| array.max_parallel.is_some());
        let key = self.ids.fresh();
        let mut job = Job {
            key,
            template: template.clone(),
            index,
            session,
            array,
            state: if held {
                JobState::QueuedHeld
            } else {
                JobState::Queued
            },
            place: Place::Waiting,
            sub_state: (held && !template.submit_as_hold).then_some(SCHEDULED),
            end: None,
            machine: None,
            submitted: now,
            since: now,
            started: None,
            finished: None,
            deadline: Micros(u64::MAX),
            window: facts.window,
            duplicates: 0,
            due: None,
            admitting: true,
            reaped: false,
            shared: false,
        };
        if held || bound {
            self.jobs.enter(job);
            self.set_waiting_due(key);
            return Ok((key, false));
        }
        let txn = self.ids.word(key).to_string();
        match order(now, template, index, txn, place, desk) {
            Ok((invocation, deadline)) => {
                (job.place, job.deadline) = (Place::Handed(invocation), deadline);
                self.jobs.enter(job);
                Ok((key, false))
            }
            Err(problem) => {
                self.ids.take_back(key);
                Err(problem)
            }
        }
    }

    fn admit_later(
        &mut self,
        peer: Peer,
        seq: Value,
        notify: bool,
        jobs: Vec<(Option<i64>, Handed)>,
        bulk: bool,
    ) {
        if let Some(submitter) = self.peers.get_mut(&peer) {
            submitter.admitting = true;
        }
        self.admissions.push(Admission {
            peer,
            seq,
            notify,
            jobs,
            bulk,
        });
    }

    /// Answers the submissions of this turn: the core has refused by now what it refuses at once, and that was
    /// never accepted.
    pub fn admitted(&mut self, now: Micros) {
        for admission in std::mem::take(&mut self.admissions) {
            let peer = admission.peer;
            if let Some(submitter) = self.peers.get_mut(&peer) {
                submitter.admitting = false;
            }
            let mut answers = Vec::with_capacity(admission.jobs.len());
            for (index, job) in admission.jobs {
                let submitted = self.admit(now, peer, admission.notify, job);
                answers.push((index, submitted));
            }
            if !admission.bulk {
                if let Some((_, submitted)) = answers.pop() {
                    self.say(peer, &admission.seq, submitted);
                }
                continue;
            }
            self.bulk_answers(peer, answers);
            self.resume(peer);
        }
    }

    /// Lets a submitter's chore go on, once what was said of it has been decided and read.
    fn resume(&mut self, peer: Peer) {
        let free = |s: &Submitter| s.chore.is_some() && !s.admitting && s.outbox.is_empty();
        if self.peers.get(&peer).is_some_and(free) && !self.busy.contains(&peer) {
            self.busy.push_back(peer);
        }
    }

    /// A piece of a bulk is decided: says so, a line at a time.
    fn bulk_answers(&mut self, peer: Peer, answers: Vec<(Option<i64>, Submitted)>) {
        let Some(submitter) = self.peers.get_mut(&peer) else {
            return;
        };
        let Some(Chore::Bulk(bulk)) = &mut submitter.chore else {
            return;
        };
        let of = |(index, submitted): (Option<i64>, Submitted)| OfBulk {
            index: index.unwrap_or_default(),
            submitted,
        };
        bulk.answers.extend(answers.into_iter().map(of));
        let (last, array) = (bulk.left == 0, bulk.array);
        if !last && bulk.answers.len() < BULK_LINE {
            return;
        }
        let (seq, answers) = (bulk.seq.clone(), std::mem::take(&mut bulk.answers));
        if last {
            submitter.chore = None;
        }
        let body = BulkAnswer {
            job_array_id: self.ids.word(array).to_string(),
            jobs: answers,
            more: !last,
        };
        if last {
            self.grown(array);
        }
        self.say(peer, &seq, body);
    }

    /// No member is added to an array any more.
    fn grown(&mut self, id: Key) {
        if let Some(array) = self.arrays.get_mut(&id) {
            array.growing = false;
            if array.members.is_empty() {
                self.arrays.remove(&id);
            }
        }
    }

    fn admit(&mut self, now: Micros, peer: Peer, notify: bool, job: Handed) -> Submitted {
        let (key, duplicate) = match job {
            Ok(job) => job,
            Err(problem) => return Submitted::Not(problem),
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return Submitted::Not(Problem::later("refused", 1000));
        };
        let job_state = job.state;
        if !duplicate && job_state == JobState::Failed {
            let denied = || Problem::new(ErrorId::DeniedByDrms, "no worker may run it");
            let problem = job.problem().filter(|p| p.error == ErrorId::TryLater);
            let problem = problem.cloned().unwrap_or_else(denied);
            self.jobs.forget(key);
            return Submitted::Not(problem);
        }
        if !duplicate {
            job.admitting = false;
            let (session, array) = (job.session, job.array);
            let waits = job.place == Place::Waiting && job_state == JobState::Queued;
            if let Some(id) = array {
                if let Some(array) = self.arrays.get_mut(&id) {
                    array.members.insert(key);
                    if waits {
                        array.waiting.push_back(key);
                        self.ready.insert(id);
                    } else if job_state != JobState::QueuedHeld {
                        array.active.insert(key);
                    }
                }
            }
            if let Some(session) = session.and_then(|s| self.sessions.get_mut(s)) {
                session.jobs.insert(key);
            }
            self.record(key);
            self.sessions_settled(now, session);
        }
        if notify && !job_state.is_final() {
            self.watch(key, peer);
        }
        Submitted::Accepted(Accepted {
            job_id: self.ids.word(key).to_string(),
            job_state,
            duplicate,
        })
    }

    fn sessions_settled(&mut self, now: Micros, session: Option<SessionKey>) {
        if let Some(session) = session {
            self.sessions.settle(now, session);
        }
    }

    fn watch(&mut self, key: Key, peer: Peer) {
        let Some(submitter) = self.peers.get_mut(&peer) else {
            return;
        };
        if submitter.watched.insert(key) {
            self.watchers.entry(key).or_default().push(peer);
        }
    }

    fn unwatch(&mut self, key: Key, peer: Peer) {
        if let Some(watchers) = self.watchers.get_mut(&key) {
            watchers.retain(|p| *p != peer);
            if watchers.is_empty() {
                self.watchers.remove(&key);
            }
        }
    }

    fn give_chore(&mut self, peer: Peer, chore: Chore) {
        if let Some(submitter) = self.peers.get_mut(&peer) {
            submitter.chore = Some(chore);
        }
    }

    /// Goes on with what a submitter has asked for, a piece at a time.
    fn work(&mut self, now: Micros, peer: Peer, desk: &mut dyn Desk) {
        let Some(submitter) = self.peers.get_mut(&peer) else {
            return;
        };
        if submitter.admitting || !submitter.outbox.is_empty() {
            // Goes on once what was said has been decided and read.
            return;
        }
        match submitter.chore.take() {
            None => {}
            Some(Chore::Bulk(mut bulk)) => {
                let piece = bulk.left.min(PIECE);
                let mut jobs = Vec::with_capacity(piece);
                let (array, session) = (bulk.array, bulk.session);
                for _ in 0..piece {
                    // Between two indices that fit, so it fits.
                    let index = Some(bulk.next as i64);
                    let job = self.submit(now, &bulk.template, index, Some(array), session, desk);
                    jobs.push((index, job));
                    bulk.next += bulk.step;
                }
                bulk.left -= piece;
                let (seq, notify) = (bulk.seq.clone(), bulk.notify);
                self.give_chore(peer, Chore::Bulk(bulk));
                self.admit_later(peer, seq, notify, jobs, true);
            }
            Some(Chore::Control(mut control)) => {
                for _ in 0..PIECE {
                    let Some(key) = control.jobs.pop_front() else {
                        break;
                    };
                    match self.act(now, key, control.act, desk) {
                        Ok(_) => control.changed += 1,
                        Err(problem) => {
                            control.refused += 1;
                            control.problem.get_or_insert(problem);
                        }
                    }
                }
                if !control.jobs.is_empty() {
                    self.give_chore(peer, Chore::Control(control));
                    return self.resume(peer);
                }
                let (changed, refused) = (control.changed, control.refused);
                match control.problem {
                    Some(problem) if changed == 0 => self.say(peer, &control.seq, problem),
                    _ => {
                        let body = json!({"changed": changed, "refused": refused});
                        self.say(peer, &control.seq, body);
                    }
                }
            }
        }
    }

    /// The jobs that these targets name.
    fn targets(&self, of: &Targets) -> Result<Vec<Key>, Problem> {
        match of {
            Targets {
                job_id: Some(id),
                job_ids: None,
                job_array_id: None,
                session: None,
            } => Ok(vec![self.shown(id)?]),
            Targets {
                job_id: None,
                job_ids: Some(ids),
                job_array_id: None,
                session: None,
            } if !ids.is_empty() => ids.iter().map(|id| self.shown(id)).collect(),
            Targets {
                job_id: None,
                job_ids: None,
                job_array_id: Some(id),
                session: None,
            } => {
                let members = self.array(id).map(|key| &self.arrays[&key].members)?;
                Ok(members.iter().copied().collect())
            }
            Targets {
                job_id: None,
                job_ids: None,
                job_array_id: None,
                session: Some(name),
            } => {
                let session = self.sessions.get(self.session(name)?);
                let jobs = session.into_iter().flat_map(|session| &session.jobs);
                Ok(jobs.copied().collect())
            }
            _ => Err(Problem::invalid(
                "want one of jobId, jobIds, jobArrayId and session",
            )),
        }
    }

    fn control(
        &mut self,
        now: Micros,
        peer: Peer,
        seq: &Value,
        act: Act,
        of: &Targets,
        desk: &mut dyn Desk,
    ) -> Result<(), Problem> {
        let mut jobs = self.targets(of)?;
        if of.job_id.is_some() {
            let state = self.act(now, jobs[0], act, desk)?;
            let id = self.ids.word(jobs[0]).to_string();
            self.say(peer, seq, json!({"jobId": id, "jobState": state}));
            return Ok(());
        }
        if act == Act::Terminate {
            // Those that wait go first: none of them is to start because another has ended.
            if let Some(array) = of.job_array_id.as_deref().and_then(|id| self.ids.key(id)) {
                if let Some(array) = self.arrays.get_mut(&array) {
                    array.stopped = true;
                }
            }
            let waits = |key: &Key| {
                self.jobs
                    .any(*key)
                    .is_some_and(|j| j.place == Place::Waiting)
            };
            jobs.sort_by_key(|key| !waits(key));
        }
        let control = Control {
            seq: seq.clone(),
            act,
            jobs: jobs.into(),
            changed: 0,
            refused: 0,
            problem: None,
        };
        self.give_chore(peer, Chore::Control(Box::new(control)));
        self.work(now, peer, desk);
        Ok(())
    }

    /// Does this to a job; tells its state after that.
    fn act(
        &mut self,
        now: Micros,
        key: Key,
        act: Act,
        desk: &mut dyn Desk,
    ) -> Result<JobState, Problem> {
        let Some(job) = self.jobs.get(key) else {
            return Err(unknown_job());
        };
        let (state, place, array) = (job.state, job.place, job.array);
        let cannot = |what: &str| Err(Problem::state(format!("{what}: the job is {state}")));
        if act != Act::Reap && job.is_over() {
            return Err(Problem::state("the job has ended"));
        }
        match act {
            Act::Terminate => {
                // Workers do not stop: what was sent may run to its end, and its key counts on.
                let sent = match place {
                    Place::Handed(id) => desk.gone(now, id),
                    Place::Elsewhere { handed: true, .. } => Some(now),
                    _ => None,
                };
                let end = End {
                    sent,
                    ..End::default()
                };
                self.end_job(now, key, Change::Terminate, Some("terminated"), end);
                Ok(JobState::Failed)
            }
            Act::Hold if state.after(Change::Hold).is_none() => cannot("not to be held"),
            Act::Hold => {
                match place {
                    Place::Handed(id) if desk.recall(now, id) => {
                        self.jobs.recalled(key);
                        self.left(key, array);
                    }
                    Place::Waiting => {}
                    _ => return Err(Problem::state("a worker has had it: it cannot be held")),
                }
                self.jobs.change(key, Change::Hold, now);
                if let Some(job) = self.jobs.get_mut(key) {
                    (job.sub_state, job.since) = (None, now);
                }
                self.set_waiting_due(key);
                self.changed(key);
                Ok(JobState::QueuedHeld)
            }
            Act::Release if state.after(Change::Release).is_none() => cannot("not held"),
            Act::Release => {
                self.release(now, key, desk);
                Ok(self.jobs.get(key).map_or(JobState::Failed, |job| job.state))
            }
            Act::Suspend if state == JobState::Running => {
                let words = "workers cannot suspend a job: see the capabilities";
                Err(Problem::new(ErrorId::UnsupportedOperation, words))
            }
            Act::Suspend => cannot("not to be suspended"),
            Act::Resume => cannot("not suspended"),
            Act::Reap if !job.is_over() => cannot("not to be reaped"),
            Act::Reap => {
                self.unshow(now, key);
                self.jobs.reap(key, now);
                self.partner.changed(self.jobs.any(key));
                Ok(state)
            }
        }
    }

    /// Ends a job's hold and hands it on, or lets it wait for its array's turn.
    fn release(&mut self, now: Micros, key: Key, desk: &mut dyn Desk) {
        if !self.jobs.change(key, Change::Release, now) {
            return;
        }
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.sub_state = None;
        let array = job.array;
        self.set_waiting_due(key);
        self.changed(key);
        match array.and_then(|id| Some((id, self.arrays.get_mut(&id)?))) {
            Some((id, array)) => {
                array.waiting.push_back(key);
                self.ready.insert(id);
                self.pump(now, desk);
            }
            None => self.hand_on(now, key, desk),
        }
    }

    /// A job is with the decisions no longer: its array may hand on another.
    fn left(&mut self, key: Key, array: Option<Key>) {
        let Some((id, array)) = array.and_then(|id| Some((id, self.arrays.get_mut(&id)?))) else {
            return;
        };
        if array.active.remove(&key) {
            self.ready.insert(id);
        }
    }

    /// A worker has begun to run an invocation.
    pub fn running(&mut self, now: Micros, id: RequestId, machine: Option<Rc<str>>) {
        let Some(key) = self.jobs.of_invocation(id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(key) {
            job.machine = machine.or(job.machine.take());
        }
        if self.jobs.change(key, Change::Start, now) {
            self.changed(key);
        }
    }

    /// An invocation that ran has come back and is to run once more.
    pub fn requeued(&mut self, now: Micros, id: RequestId) {
        let key = self.jobs.of_invocation(id);
        if let Some(key) = key.filter(|key| self.jobs.change(*key, Change::Return, now)) {
            self.changed(key);
        }
    }

    /// The final answer of an invocation, if it is a job of this front; `sent` is the last send that may have run.
    /// Tells whether it was.
    pub fn answer(
        &mut self,
        now: Micros,
        id: RequestId,
        verdict: Verdict,
        sent: Option<Micros>,
    ) -> bool {
        let Some(key) = self.jobs.of_invocation(id) else {
            return false;
        };
        let overdue = self.jobs.any(key).is_some_and(|job| now >= job.deadline);
        let array = self.jobs.any(key).and_then(|job| job.array);
        match verdict {
            Verdict::Served(result) => {
                let end = End {
                    result: Some(result),
                    sent,
                    problem: None,
                };
                self.end_job(now, key, Change::Serve, None, end);
            }
            Verdict::Rejected(wait) => {
                // Before its end makes room for another member, which would be refused as well.
                self.rest(array, now + wait.unwrap_or(Micros(1_000_000)));
                self.end_job(
                    now,
                    key,
                    Change::Fail,
                    Some("refused"),
                    jobs::rejected(wait),
                );
            }
            Verdict::Failed => {
                let (sub_state, end) = jobs::failed(overdue, sent);
                self.end_job(now, key, Change::Fail, Some(sub_state), end);
            }
        }
        true
    }

    /// Gives a job its final state, once.
    pub(crate) fn end_job(
        &mut self,
        now: Micros,
        key: Key,
        change: Change,
        sub_state: Option<&'static str>,
        end: End,
    ) {
        let array = self.jobs.any(key).and_then(|job| job.array);
        if self.jobs.end(key, change, now, sub_state, end) {
            self.left(key, array);
            self.changed(key);
        }
    }

    /// Tells those who watch a job or wait for it of its new state.
    pub(crate) fn changed(&mut self, key: Key) {
        let Some(job) = self.jobs.get(key).filter(|job| !job.admitting) else {
            return;
        };
        let (over, started) = (job.is_over(), job.state.has_started());
        let (array, session) = (job.array, job.session);
        self.record(key);
        self.partner.changed(self.jobs.any(key));
        let watchers = match over {
            true => self.watchers.remove(&key).unwrap_or_default(),
            false => self.watchers.get(&key).cloned().unwrap_or_default(),
        };
        for peer in watchers {
            if let Some(submitter) = self.peers.get_mut(&peer).filter(|_| over) {
                submitter.watched.remove(&key);
            }
            self.send(peer, Out::News(key));
        }
        if !started {
            return;
        }
        let subjects = [
            Some(Subject::Job(key)),
            array.map(Subject::Array),
            session.map(Subject::Session),
        ];
        for subject in subjects.into_iter().flatten() {
            let Some(waits) = self.waits_of.get(&subject) else {
                continue;
            };
            let met = |n: &&u64| over || self.waits.get(n).is_some_and(|wait| wait.for_start);
            for number in waits.iter().filter(met).copied().collect::<Vec<_>>() {
                if let Some(wait) = self.end_wait(number) {
                    self.send(wait.peer, Out::Info(wait.seq, key));
                }
            }
        }
    }

    /// Notes a job's state in its session's history, and in its array.
    fn record(&mut self, key: Key) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let record = Record {
            job: key,
            state: job.state,
            sub_state: job.sub_state,
        };
        if let Some(array) = job.array.and_then(|array| self.arrays.get_mut(&array)) {
            array.place(key, record.state);
        }
        if let Some(key) = job.session {
            self.sessions.record(key, record);
            let readers = self.sessions.get(key).into_iter().flat_map(|s| &s.readers);
            self.talkative.extend(readers);
        }
    }

    /// A job is shown no longer.
    pub(crate) fn unshow(&mut self, now: Micros, key: Key) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let (session, array) = (job.session, job.array);
        if let Some(session) = session {
            self.sessions.drop_job(now, session, key);
        }
        if let Some((id, array)) = array.and_then(|id| Some((id, self.arrays.get_mut(&id)?))) {
            array.members.remove(&key);
            array.running.remove(&key);
            array.ended.remove(&key);
            array.active.remove(&key);
            if array.members.is_empty() && !array.growing {
                if let Some(until) = array.resting {
                    self.resting.remove(&(until, id));
                }
                self.arrays.remove(&id);
            }
        }
    }

    fn drop_job(&mut self, now: Micros, key: Key) {
        self.unshow(now, key);
        self.jobs.forget(key);
    }

    /// Answers a wait that is over as it comes, and keeps any other.
    fn wait(
        &mut self,
        now: Micros,
        peer: Peer,
        seq: &Value,
        of: &Targets,
        for_start: bool,
        timeout_ms: Option<u64>,
    ) -> Result<(), Problem> {
        let met = |state: JobState| state.is_final() || for_start && state.has_started();
        let met_key = |key: &Key| self.jobs.get(*key).is_some_and(|job| met(job.state));
        let first = |ended: &BTreeSet<Key>, running: &BTreeSet<Key>| {
            let running = running.first().filter(|_| for_start);
            ended.first().or(running).copied()
        };
        let (subjects, found) = match (&of.job_array_id, &of.session) {
            (Some(id), None) if of.job_id.is_none() && of.job_ids.is_none() => {
                let key = self.array(id)?;
                let array = &self.arrays[&key];
                (
                    vec![Subject::Array(key)],
                    first(&array.ended, &array.running),
                )
            }
            (None, Some(name)) if of.job_id.is_none() && of.job_ids.is_none() => {
                let key = self.session(name)?;
                let session = self.sessions.get(key).filter(|s| !s.jobs.is_empty());
                let session = session.ok_or_else(|| Problem::invalid("the session has no jobs"))?;
                (
                    vec![Subject::Session(key)],
                    first(&session.ended, &session.running),
                )
            }
            _ => {
                let keys = self.targets(of)?;
                let found = keys.iter().copied().find(met_key);
                (keys.into_iter().map(Subject::Job).collect(), found)
            }
        };
        if let Some(key) = found {
            self.send(peer, Out::Info(seq.clone(), key));
            return Ok(());
        }
        let Some(submitter) = self.peers.get_mut(&peer) else {
            return Ok(());
        };
        let named = submitter.named + subjects.len();
        if submitter.waits.len() >= MOST_WAITS || named > MOST_NAMED {
            return Err(Problem::later("too many waits", 1000));
        }
        let number = self.next_wait;
        self.next_wait += 1;
        submitter.waits.insert(number);
        submitter.named = named;
        let until = timeout_ms.map(|ms| now + Micros(1000 * ms.min(LONGEST_MS)));
        self.waits_due.extend(until.map(|until| (until, number)));
        for subject in &subjects {
            self.waits_of.entry(*subject).or_default().insert(number);
        }
        let wait = Wait {
            peer,
            seq: seq.clone(),
            subjects,
            for_start,
            until,
        };
        self.waits.insert(number, wait);
        Ok(())
    }

    fn end_wait(&mut self, number: u64) -> Option<Wait> {
        let wait = self.waits.remove(&number)?;
        if let Some(until) = wait.until {
            self.waits_due.remove(&(until, number));
        }
        for subject in &wait.subjects {
            if let Some(waits) = self.waits_of.get_mut(subject) {
                waits.remove(&number);
                if waits.is_empty() {
                    self.waits_of.remove(subject);
                }
            }
        }
        if let Some(submitter) = self.peers.get_mut(&wait.peer) {
            submitter.waits.remove(&number);
            submitter.named -= wait.subjects.len();
        }
        Some(wait)
    }

    fn room_to_open(&self, peer: Peer) -> Result<(), Problem> {
        let open = self.peers.get(&peer).map_or(0, |s| s.open.len());
        match open < MOST_OPEN {
            true => Ok(()),
            false => Err(Problem::later("too many sessions are open here", 1000)),
        }
    }

    fn open(&mut self, now: Micros, peer: Peer, key: SessionKey, seen: u64) {
        let Some(submitter) = self.peers.get_mut(&peer) else {
            return;
        };
        // Opened twice, it goes on from where it is asked to.
        submitter.open.retain(|(open, _)| *open != key);
        submitter.open.push((key, seen));
        if let Some(session) = self.sessions.get_mut(key) {
            if !session.readers.contains(&peer) {
                session.readers.push(peer);
            }
        }
        self.sessions.settle(now, key);
        self.talkative.insert(peer);
    }

    fn leave(&mut self, now: Micros, key: SessionKey, peer: Peer) {
        if let Some(submitter) = self.peers.get_mut(&peer) {
            submitter.open.retain(|(open, _)| *open != key);
        }
        if let Some(session) = self.sessions.get_mut(key) {
            session.readers.retain(|reader| *reader != peer);
        }
        self.sessions.settle(now, key);
    }

    /// Forgets a session. Its jobs go on without one, and who waits for any of them hears so.
    fn destroy(&mut self, key: SessionKey) {
        let Some(session) = self.sessions.destroy(key) else {
            return;
        };
        for job in session.jobs {
            if let Some(job) = self.jobs.get_mut(job) {
                job.session = None;
            }
        }
        for peer in session.readers {
            if let Some(submitter) = self.peers.get_mut(&peer) {
                submitter.open.retain(|(open, _)| *open != key);
            }
        }
        let waits = self.waits_of.get(&Subject::Session(key)).cloned();
        for number in waits.unwrap_or_default() {
            if let Some(wait) = self.end_wait(number) {
                let problem = Problem::new(ErrorId::InvalidSession, "the session was destroyed");
                self.say(wait.peer, &wait.seq, problem);
            }
        }
        for array in self.arrays.values_mut() {
            array.session = array.session.filter(|of| *of != key);
        }
    }

    fn array_info(&self, key: Key) -> ArrayInfo {
        let Some(array) = self.arrays.get(&key) else {
            return ArrayInfo::default();
        };
        let session = array.session.and_then(|s| self.sessions.get(s));
        ArrayInfo {
            job_array_id: self.ids.word(key).to_string(),
            session: session.map(|session| session.name.clone()),
            max_parallel: array.max_parallel,
            jobs: array.members.len(),
            active: array.active.len(),
            waiting: array.members.len() - array.active.len() - array.ended.len(),
            ended: array.ended.len(),
        }
    }

    /// A page of the jobs that a filter names, in the order in which they were handed in. Results are left out.
    fn list(
        &self,
        session: Option<String>,
        filter: &Filter,
        limit: Option<usize>,
        after: Option<String>,
    ) -> Result<Page, Problem> {
        let session = self.session_of(session)?;
        let of_array = filter.job_array_id.as_deref().map(|id| self.array(id));
        let of_array = of_array.transpose()?;
        let after = match after {
            Some(word) => Some(self.ids.key(&word).ok_or_else(unknown_job)?),
            None => None,
        };
        let limit = limit.unwrap_or(100).clamp(1, PAGE);
        let matches = |job: &Job| {
            let ms = job.submitted.0 / 1000;
            let id = &filter.job_id;
            !job.reaped
                && !job.admitting
                && id
                    .as_ref()
                    .is_none_or(|id| self.ids.key(id) == Some(job.key))
                && (filter.job_name.is_none() || filter.job_name == job.template.name_at(job.index))
                && filter
                    .job_states
                    .as_ref()
                    .is_none_or(|states| states.contains(&job.state))
                && filter
                    .queue_name
                    .as_ref()
                    .is_none_or(|name| name == job.template.class())
                && (filter.accounting_id.is_none()
                    || filter.accounting_id == job.template.accounting_id)
                && filter.submitted_from_ms.is_none_or(|from| ms >= from)
                && filter.submitted_before_ms.is_none_or(|before| ms < before)
        };
        // The smallest set that holds all of them.
        let members = of_array.map(|array| &self.arrays[&array].members);
        let of_session = session.and_then(|s| self.sessions.get(s)).map(|s| &s.jobs);
        let mut jobs: Box<dyn Iterator<Item = &Job>> = match members.or(of_session) {
            Some(keys) => {
                use std::ops::Bound::{Excluded, Unbounded};
                let from = after.map_or(Unbounded, Excluded);
                let of = keys.range((from, Unbounded));
                Box::new(of.filter_map(|key| self.jobs.get(*key)))
            }
            None => Box::new(self.jobs.after(after)),
        };
        let (mut page, mut bytes, mut last, mut seen) = (Vec::new(), 0, after, 0);
        let mut whole = false;
        while page.len() < limit && bytes < PAGE_BYTES && seen < SCAN {
            let Some(job) = jobs.next() else {
                whole = true;
                break;
            };
            (last, seen) = (Some(job.key), seen + 1);
            if matches(job) && (session.is_none() || job.session == session) {
                let mut info = job.info(&self.ids, self.session_name(job));
                (info.result, info.result_base64) = (None, None);
                let name = info.job_name.as_ref().map_or(0, String::len);
                bytes += 400 + name + info.queue_name.len();
                page.push(info);
            }
        }
        let last = last.filter(|_| !whole && jobs.next().is_some());
        Ok(Page {
            jobs: page,
            next: last.map(|last| self.ids.word(last).to_string()),
        })
    }

    pub(crate) fn session_name(&self, job: &Job) -> Option<&str> {
        let session = job.session.and_then(|key| self.sessions.get(key));
        session.map(|session| &*session.name)
    }

    fn say(&mut self, peer: Peer, seq: &Value, body: impl Serialize) {
        let line = frame::line(&Answer { seq, body });
        self.send(peer, Out::Line(line));
    }

    fn send(&mut self, peer: Peer, out: Out) {
        if let Some(submitter) = self.peers.get_mut(&peer) {
            submitter.outbox.push_back(out);
            self.talkative.insert(peer);
        }
    }

    /// The next line for a submitter, if there is one; jobs are told as they are by now. Events come after all answers.
    pub fn pull(&mut self, peer: Peer) -> Option<Vec<u8>> {
        let line = self.next_line(peer);
        self.resume(peer);
        line
    }

    fn next_line(&mut self, peer: Peer) -> Option<Vec<u8>> {
        let submitter = self.peers.get_mut(&peer)?;
        while let Some(out) = submitter.outbox.pop_front() {
            match out {
                Out::Line(line) => return Some(line),
                Out::Info(seq, key) => {
                    let seq = &seq;
                    return Some(match self.jobs.get(key) {
                        Some(job) => {
                            let info = job.info(&self.ids, self.session_name(job));
                            let body = OneJob { job_info: info };
                            frame::line(&Answer { seq, body })
                        }
                        None => {
                            let body = unknown_job();
                            frame::line(&Answer { seq, body })
                        }
                    });
                }
                Out::News(key) => {
                    if let Some(job) = self.jobs.get(key) {
                        return Some(frame::line(&News {
                            event: "NEW_STATE",
                            info: job.info(&self.ids, self.session_name(job)),
                        }));
                    }
                }
            }
        }
        for (key, seen) in &mut submitter.open {
            let Some(session) = self.sessions.get(*key) else {
                continue;
            };
            let name = || session.name.clone();
            let event = match session.next(*seen) {
                None => continue,
                Some(Next::Gap(from, to)) => {
                    *seen = to;
                    Event::Gap {
                        session: name(),
                        from,
                        to,
                    }
                }
                Some(Next::Event(number, record)) => {
                    *seen = number;
                    Event::NewState {
                        session: Some(name()),
                        number: Some(number),
                        job_id: self.ids.word(record.job).to_string(),
                        job_state: record.state,
                        job_sub_state: record.sub_state.map(str::to_owned),
                    }
                }
            };
            return Some(frame::line(&event));
        }
        None
    }
}

/// What is held at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holds {
    pub jobs: usize,
    pub bytes: usize,
    pub sessions: usize,
    pub arrays: usize,
    pub waits: usize,
}

/// Why a job is held whose start time has not come.
pub(crate) const SCHEDULED: &str = "scheduled";

fn job_is_scheduled(job: Option<&Job>) -> bool {
    job.is_some_and(|job| job.state == JobState::QueuedHeld && job.sub_state == Some(SCHEDULED))
}

/// A Unix time in milliseconds on the node's clock.
fn unix(ms: u64) -> Micros {
    Micros(ms.saturating_mul(1000))
}

/// Hands a job to the decisions; tells its invocation, and when its time is up.
fn order(
    now: Micros,
    template: &Template,
    index: Option<i64>,
    txn: String,
    place: Whereabouts,
    desk: &mut dyn Desk,
) -> Result<(RequestId, Micros), Problem> {
    let facts = desk.class(template.class()).unwrap_or_default();
    let asked = template
        .deadline_ms
        .map(|ms| Micros(1000 * ms.min(LONGEST_MS)));
    let run = template
        .manifest
        .as_ref()
        .and_then(|manifest| manifest.run_ms);
    let usual = match (place, run) {
        (Whereabouts::Here, _) => facts.deadline,
        (Whereabouts::Elsewhere, Some(run)) => Micros(2000 * run.min(LONGEST_MS)),
        (Whereabouts::Elsewhere, None) => ELSEWHERE,
    };
    let mut time_left = asked.unwrap_or(usual);
    if let Some(until) = template.deadline_time.map(unix) {
        time_left = time_left.min(until - now);
    }
    let order = Order {
        class: template.class(),
        tenant: template.accounting_id.as_deref(),
        time_left,
        slots: template.min_slots.unwrap_or(0.0),
        txn,
        key: template.key_at(index),
        target: template.command_at(index),
        body: template.body_at(index)?,
        place,
        template,
        index,
    };
    let invocation = desk.take_in(now, order)?;
    Ok((invocation, now + time_left))
}

/// What is supported and what is not, by the names of GFD.231, section 4.5, and the attributes of its templates.
fn capabilities(limits: &Limits) -> Value {
    json!({
        "capabilities": {
            "ADVANCE_RESERVATION": false,
            "RESERVE_SLOTS": false,
            "CALLBACK": true,
            "BULK_JOBS_MAXPARALLEL": true,
            "JT_EMAIL": false,
            "JT_STAGING": false,
            "JT_DEADLINE": true,
            "JT_MAXSLOTS": false,
            "JT_ACCOUNTINGID": true,
            "RT_STARTNOW": false,
            "RT_DURATION": false,
            "RT_MACHINEOS": false,
            "RT_MACHINEARCH": false,
            "HOLD_QUEUED": true,
            "HOLD_SENT": false,
            "SUSPEND": false,
        },
        "jobTemplateAttributes": SUPPORTED,
        "unsupportedAttributes": UNSUPPORTED,
        "jobInfoAttributes": [
            "jobId", "jobName", "jobState", "jobSubState", "queueName", "accountingId", "session", "jobArrayId",
            "index", "machine", "submissionTimeMs", "dispatchTimeMs", "finishTimeMs", "duplicates", "result",
            "resultBase64", "error", "message", "retryAfterMs",
        ],
        "limits": {
            "maxJobs": limits.max_jobs,
            "maxBulk": limits.max_bulk,
            "maxSessions": limits.max_sessions,
            "history": limits.history,
            "retainMs": limits.retain.0 / 1000,
            "holdMs": limits.longest_hold.0 / 1000,
        },
    })
}

/// A job's new state, told to those who asked for it with the job.
#[derive(Serialize)]
struct News {
    event: &'static str,
    #[serde(flatten)]
    info: JobInfo,
}

fn unknown_job() -> Problem {
    Problem::invalid("no such job")
}
