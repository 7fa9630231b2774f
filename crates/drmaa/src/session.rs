//! The session of a process (GFD.133): the jobs that were handed in since `drmaa_init`, and what has become
//! of them.
//!
//! The node tells of each job's end as an event of a job session of its own. A collector takes the job's information as
//! soon as it has ended and has the node forget it, so that a program may wait for its jobs as late as it likes, and
//! however many it has. `drmaa_wait` and `drmaa_synchronize` look here, and ask the node only for jobs that are not of
//! this session.

use crate::errno::{Errno, Failure, Result};
use crate::native::{self, Native};
use crate::template::{Template, INCR};
use marbledeck_submission_client::{
    Client, ErrorId, Event, Filter, IndexRange, JobInfo, JobState, Operation, Problem, Settings,
    Targets,
};
use rand::Rng;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long a lost node is waited for.
const PATIENCE: Duration = Duration::from_secs(10);
/// How often the node is asked what has become of all jobs, besides what it tells.
const LOOK: Duration = Duration::from_secs(10);

/// `DRMAA_JOB_IDS_SESSION_ANY` and `DRMAA_JOB_IDS_SESSION_ALL`.
pub const ANY: &str = "DRMAA_JOB_IDS_SESSION_ANY";
pub const ALL: &str = "DRMAA_JOB_IDS_SESSION_ALL";

/// A job of the session that was not reaped.
#[derive(Default)]
struct Known {
    ended: Option<Box<JobInfo>>,
    /// Where its result goes, and what is told of a failure.
    output: Option<String>,
    error: Option<String>,
    index: Option<i64>,
}

#[derive(Default)]
struct Jobs {
    known: HashMap<String, Known>,
    /// Those that have ended, in the order in which they did; some were reaped since.
    ended: VecDeque<String>,
    /// The session is over: whoever waits is to give up.
    over: bool,
}

enum Word {
    Ended(String),
    /// Something may have been missed.
    Look,
    Over,
}

/// A session.
pub struct Session {
    contact: String,
    name: String,
    defaults: Native,
    client: Arc<Client>,
    jobs: Arc<(Mutex<Jobs>, Condvar)>,
    collector: Mutex<Option<std::thread::JoinHandle<()>>>,
    words: Sender<Word>,
}

/// What is done to jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Suspend,
    Resume,
    Hold,
    Release,
    Terminate,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How long a wait may take: none for ever.
pub type Timeout = Option<Duration>;

impl Session {
    /// Begins a session.
    ///
    /// # Errors
    /// A contact that makes no sense, or a node that cannot be reached.
    pub fn begin(contact: &str) -> Result<Self> {
        let (node, defaults) = native::contact(contact)?;
        let settings = Settings {
            retry_timeout: PATIENCE,
            ..Settings::new(node)
        };
        let (words, heard) = channel();
        let tell = words.clone();
        let client = Arc::new(Client::with_events(
            settings,
            Box::new(move |event| {
                let word = match event {
                    Event::NewState {
                        job_id, job_state, ..
                    } if job_state.is_final() => Word::Ended(job_id),
                    Event::NewState { .. } => return,
                    Event::Gap { .. } => Word::Look,
                };
                let _ = tell.send(word);
            }),
        ));
        let name = format!("drmaa-{:016x}", rand::rng().random::<u64>());
        client.create_or_open_session(&name, None)?;
        let jobs: Arc<(Mutex<Jobs>, Condvar)> = Arc::default();
        let (own, theirs, session) = (client.clone(), jobs.clone(), name.clone());
        let collector = std::thread::Builder::new()
            .name("drmaa-collector".to_owned())
            .spawn(move || collect(&own, &theirs, &session, &heard))
            .map_err(|e| Failure::new(Errno::DrmsInitFailed, e.to_string()))?;
        Ok(Session {
            contact: contact.to_owned(),
            name,
            defaults,
            client,
            jobs,
            collector: Mutex::new(Some(collector)),
            words,
        })
    }

    /// Ends the session. Its jobs go on.
    pub fn end(&self) {
        locked(&self.jobs.0).over = true;
        self.jobs.1.notify_all();
        let _ = self.words.send(Word::Over);
        let _ = self.client.destroy_session(&self.name);
        self.client.close();
        if let Some(collector) = locked(&self.collector).take() {
            let _ = collector.join();
        }
    }

    /// The contact that it was begun with.
    pub fn contact(&self) -> &str {
        &self.contact
    }

    fn enter(&self, id: &str, known: Known) {
        let mut jobs = locked(&self.jobs.0);
        // A resubmission that joined an earlier job of this session is that job.
        jobs.known.entry(id.to_owned()).or_insert(known);
        drop(jobs);
        // It may have ended before it was entered here.
        let _ = self.words.send(Word::Ended(id.to_owned()));
    }

    /// Hands in a job.
    ///
    /// # Errors
    /// Names the attribute, or says what the node says.
    pub fn run(&self, template: &Template) -> Result<String> {
        let request = template.to_request(&self.defaults, false)?;
        let job = self.client.run_job(request.template, Some(&self.name))?;
        self.enter(
            &job.job_id,
            Known {
                output: request.output_path,
                error: request.error_path,
                ..Known::default()
            },
        );
        Ok(job.job_id)
    }

    /// Hands in a job for each index. Where the node refuses some of them, those that it took are ended again: DRMAA
    /// 1.0 has no way to tell of a part.
    ///
    /// # Errors
    /// Names the attribute, or says what the node says.
    pub fn run_bulk(&self, template: &Template, indices: (i64, i64, i64)) -> Result<Vec<String>> {
        let (begin, end, step) = indices;
        if begin < 1 || end < 1 || step == 0 || step > 0 && begin > end || step < 0 && begin < end {
            let words = "want indices from 1 on, and a step that leads from the first to the last";
            return Err(Failure::new(Errno::InvalidArgument, words));
        }
        let request = template.to_request(&self.defaults, true)?;
        let bulk = self.client.run_bulk(
            request.template,
            IndexRange::new(begin, end, step),
            request.max_parallel,
            Some(&self.name),
        )?;
        let mut refused = None;
        let mut ids = Vec::with_capacity(bulk.jobs.len());
        for job in bulk.jobs {
            match job.result {
                Ok(accepted) => ids.push((job.index, accepted.job_id)),
                Err(problem) => drop(refused.get_or_insert(problem)),
            }
        }
        if let Some(problem) = refused {
            for (_, job_id) in ids {
                let targets = Targets::job(job_id);
                let _ = self.client.control(Operation::Terminate {
                    targets: targets.clone(),
                });
                let _ = self.client.control(Operation::Reap { targets });
            }
            return Err(marbledeck_submission_client::Error::Problem(problem).into());
        }
        for (index, id) in &ids {
            self.enter(
                id,
                Known {
                    output: request.output_path.clone(),
                    error: request.error_path.clone(),
                    index: Some(*index),
                    ended: None,
                },
            );
        }
        Ok(ids.into_iter().map(|(_, id)| id).collect())
    }

    /// Waits for the end of a job, or of any of the session, and reaps it.
    ///
    /// # Errors
    /// `INVALID_JOB` for one that is not known or was reaped, `EXIT_TIMEOUT` where it took too long.
    pub fn wait(&self, id: &str, timeout: Timeout) -> Result<JobInfo> {
        let until = timeout.map(|timeout| Instant::now() + timeout);
        let mut jobs = locked(&self.jobs.0);
        loop {
            if jobs.over {
                return Err(Errno::NoActiveSession.into());
            }
            let ended = match id {
                ANY if jobs.known.is_empty() => return Err(Errno::InvalidJob.into()),
                ANY => loop {
                    match jobs.ended.pop_front() {
                        Some(id) if jobs.known.contains_key(&id) => break Some(id),
                        Some(_) => {}
                        None => break None,
                    }
                },
                id => match jobs.known.get(id) {
                    Some(known) => known.ended.as_ref().map(|_| id.to_owned()),
                    None => {
                        drop(jobs);
                        return self.wait_foreign(id, timeout);
                    }
                },
            };
            let known = ended.and_then(|id| jobs.known.remove(&id));
            if let Some((known, info)) = known.and_then(|mut k| Some((k.ended.take()?, k))) {
                drop(jobs);
                deliver(&info, &known)?;
                return Ok(*known);
            }
            jobs = self.sleep(jobs, until)?;
        }
    }

    /// Waits for news of any job.
    fn sleep<'a>(
        &'a self,
        jobs: MutexGuard<'a, Jobs>,
        until: Option<Instant>,
    ) -> Result<MutexGuard<'a, Jobs>> {
        let Some(until) = until else {
            return Ok(self
                .jobs
                .1
                .wait(jobs)
                .unwrap_or_else(PoisonError::into_inner));
        };
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Errno::ExitTimeout.into());
        }
        let waited = self.jobs.1.wait_timeout(jobs, left);
        Ok(waited.unwrap_or_else(PoisonError::into_inner).0)
    }

    /// A job that is not of this session, as far as the node knows it.
    fn wait_foreign(&self, id: &str, timeout: Timeout) -> Result<JobInfo> {
        let info = self.client.wait_terminated(id, timeout).map_err(of_job)?;
        let targets = Targets::job(id);
        // Who else waits for it may have been quicker.
        let reaped = self
            .client
            .control(Operation::Reap { targets })
            .map_err(of_job);
        reaped.map(|_| info)
    }

    /// Waits until all of these have ended; with `dispose` they are reaped.
    ///
    /// # Errors
    /// `INVALID_JOB` for one that is not known, `EXIT_TIMEOUT` where it took too long.
    pub fn synchronize(&self, ids: &[String], timeout: Timeout, dispose: bool) -> Result<()> {
        let until = timeout.map(|timeout| Instant::now() + timeout);
        let all = ids.iter().any(|id| id == ALL);
        let ids: Vec<String> = if all {
            // The jobs up to the moment of the call; a job that is reaped meanwhile has ended.
            locked(&self.jobs.0).known.keys().cloned().collect()
        } else {
            ids.to_vec()
        };
        let foreign: Vec<&String> = {
            let jobs = locked(&self.jobs.0);
            let unknown = ids
                .iter()
                .filter(|id| !all && !jobs.known.contains_key(*id));
            unknown.collect()
        };
        for id in &foreign {
            let left = until.map(|until| until.saturating_duration_since(Instant::now()));
            self.client.wait_terminated(id, left).map_err(of_job)?;
            if dispose {
                let targets = Targets::job(id.as_str());
                let _ = self.client.control(Operation::Reap { targets });
            }
        }
        let mut jobs = locked(&self.jobs.0);
        loop {
            if jobs.over {
                return Err(Errno::NoActiveSession.into());
            }
            let open = |id: &&String| {
                jobs.known
                    .get(*id)
                    .is_some_and(|known| known.ended.is_none())
            };
            if !ids.iter().any(|id| open(&id)) {
                break;
            }
            jobs = self.sleep(jobs, until)?;
        }
        if dispose {
            let ended: Vec<Known> = ids.iter().filter_map(|id| jobs.known.remove(id)).collect();
            drop(jobs);
            for mut known in ended {
                if let Some(info) = known.ended.take() {
                    deliver(&known, &info)?;
                }
            }
        }
        Ok(())
    }

    /// Does this to a job, or to all of the session.
    ///
    /// # Errors
    /// `INVALID_JOB` for one that is not known or has ended, or that its state does not allow it.
    pub fn control(&self, id: &str, action: Action) -> Result<()> {
        if id != ALL {
            return self.control_one(id, action);
        }
        let open: Vec<String> = {
            let jobs = locked(&self.jobs.0);
            let open = jobs.known.iter().filter(|(_, known)| known.ended.is_none());
            open.map(|(id, _)| id.clone()).collect()
        };
        let mut first = Ok(());
        for id in open {
            match self.control_one(&id, action) {
                // It has ended meanwhile.
                Err(e) if e.errno == Errno::InvalidJob => {}
                told => first = first.and(told),
            }
        }
        first
    }

    fn control_one(&self, id: &str, action: Action) -> Result<()> {
        let ended = |known: &Known| known.ended.is_some();
        if locked(&self.jobs.0).known.get(id).is_some_and(ended) {
            return Err(Failure::new(Errno::InvalidJob, "the job has ended"));
        }
        let targets = Targets::job(id);
        let (op, errno) = match action {
            Action::Suspend => (
                Operation::Suspend { targets },
                Errno::SuspendInconsistentState,
            ),
            Action::Resume => (
                Operation::Resume { targets },
                Errno::ResumeInconsistentState,
            ),
            Action::Hold => (Operation::Hold { targets }, Errno::HoldInconsistentState),
            Action::Release => (
                Operation::Release { targets },
                Errno::ReleaseInconsistentState,
            ),
            Action::Terminate => (Operation::Terminate { targets }, Errno::InvalidJob),
        };
        let told = self.client.control(op);
        told.map(drop).map_err(|error| {
            let state = error.is(ErrorId::InvalidState) || error.is(ErrorId::UnsupportedOperation);
            if state {
                Failure::new(errno, error.to_string())
            } else {
                of_job(error)
            }
        })
    }

    /// A job's state.
    ///
    /// # Errors
    /// `INVALID_JOB` for one that is not known or was reaped.
    pub fn state(&self, id: &str) -> Result<JobState> {
        let ended = |jobs: &Jobs| {
            let known = jobs.known.get(id)?;
            known.ended.as_ref().map(|info| info.job_state)
        };
        if let Some(state) = ended(&locked(&self.jobs.0)) {
            return Ok(state);
        }
        match self.client.job_info(id) {
            Ok(info) => Ok(info.job_state),
            // The collector may have taken it between the two looks.
            Err(error) => {
                let failure = of_job(error);
                let until = Instant::now() + Duration::from_secs(1);
                let mut jobs = locked(&self.jobs.0);
                loop {
                    match ended(&jobs) {
                        Some(state) => return Ok(state),
                        None if !jobs.known.contains_key(id) => return Err(failure),
                        None => {}
                    }
                    let Ok(more) = self.sleep(jobs, Some(until)) else {
                        return Err(failure);
                    };
                    jobs = more;
                }
            }
        }
    }
}

/// What the node says of a job: one that it does not know is no job.
fn of_job(error: marbledeck_submission_client::Error) -> Failure {
    if error.is(ErrorId::InvalidArgument) {
        Failure::new(Errno::InvalidJob, error.to_string())
    } else {
        error.into()
    }
}

/// Writes a job's result, or why there is none, where its template says.
fn deliver(known: &Known, info: &JobInfo) -> Result<()> {
    let index = known
        .index
        .map(|index| index.to_string())
        .unwrap_or_default();
    let write = |path: &Option<String>, bytes: &[u8]| match path {
        Some(path) => {
            let path = path.replace(INCR, &index);
            let written = std::fs::write(&path, bytes);
            written.map_err(|e| Failure::new(Errno::Internal, format!("{path}: {e}")))
        }
        None => Ok(()),
    };
    match (info.result_bytes(), &info.problem) {
        (Some(result), _) => write(&known.output, &result),
        (None, Some(problem)) => write(&known.error, format!("{}\n", problem.message).as_bytes()),
        (None, None) => Ok(()),
    }
}

/// Takes what is known of jobs as they end, until the session is over.
fn collect(client: &Client, jobs: &(Mutex<Jobs>, Condvar), session: &str, heard: &Receiver<Word>) {
    let mut look = Instant::now() + LOOK;
    loop {
        match heard.recv_timeout(look.saturating_duration_since(Instant::now())) {
            Ok(Word::Over) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(Word::Ended(id)) => take(client, jobs, &id),
            Ok(Word::Look) | Err(RecvTimeoutError::Timeout) => {
                look = Instant::now() + LOOK;
                look_at_all(client, jobs, session);
            }
        }
    }
}

/// Whether a job of the session is not known to have ended.
fn is_open(jobs: &(Mutex<Jobs>, Condvar), id: &str) -> bool {
    let jobs = locked(&jobs.0);
    jobs.known
        .get(id)
        .is_some_and(|known| known.ended.is_none())
}

fn take(client: &Client, jobs: &(Mutex<Jobs>, Condvar), id: &str) {
    if !is_open(jobs, id) {
        return;
    }
    match client.job_info(id) {
        Ok(info) if info.job_state.is_final() => {
            let _ = client.control(Operation::Reap {
                targets: Targets::job(id),
            });
            ended(jobs, info);
        }
        Ok(_) => {}
        // The node has forgotten it: it was started anew, and nothing tells what became of the job.
        Err(error) if error.is(ErrorId::InvalidArgument) => ended(
            jobs,
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
            },
        ),
        // Looked at again.
        Err(_) => {}
    }
}

fn ended(jobs: &(Mutex<Jobs>, Condvar), info: JobInfo) {
    let mut held = locked(&jobs.0);
    let id = info.job_id.clone();
    if let Some(known) = held
        .known
        .get_mut(&id)
        .filter(|known| known.ended.is_none())
    {
        known.ended = Some(Box::new(info));
        held.ended.push_back(id);
        jobs.1.notify_all();
    }
}

/// Asks what has become of all jobs.
fn look_at_all(client: &Client, jobs: &(Mutex<Jobs>, Condvar), session: &str) {
    let mut open = HashSet::new();
    let listed = client.list_jobs(Some(session), &Filter::default(), |info| {
        if !info.job_state.is_final() {
            open.insert(info.job_id);
        }
    });
    if listed.is_err() {
        return;
    }
    let unsure: Vec<String> = {
        let held = locked(&jobs.0);
        let running = held.known.iter().filter(|(_, known)| known.ended.is_none());
        running
            .map(|(id, _)| id.clone())
            .filter(|id| !open.contains(id))
            .collect()
    };
    for id in unsure {
        take(client, jobs, &id);
    }
}
