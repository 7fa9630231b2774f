//! The jobs that were accepted: each with its one final state, kept for as long as it can be asked for and its
//! key counts.

use super::message::{ErrorId, JobState, Problem, Template};
use crate::core::Verdict;
use marbledeck::{Micros, RequestId};
use serde::Serialize;
use std::collections::{BTreeSet, HashMap};

/// What a job takes besides its texts.
const OVERHEAD: usize = 512;

pub struct Job {
    pub id: String,
    pub template: Template,
    pub state: JobState,
    sub_state: Option<&'static str>,
    problem: Option<Problem>,
    result: Option<String>,
    submitted: Micros,
    started: Option<Micros>,
    finished: Option<Micros>,
    deadline: Micros,
    invocation: RequestId,
    /// How long workers drop a repeat.
    window: Micros,
    duplicates: u64,
    expires: Option<Micros>,
}

/// What is told of a job.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub struct JobInfo<'a> {
    job_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    job_name: Option<&'a str>,
    job_state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    job_sub_state: Option<&'static str>,
    submission_time_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    dispatch_time_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    finish_time_ms: Option<u64>,
    duplicates: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<&'a str>,
    #[serde(flatten)]
    problem: Option<&'a Problem>,
}

impl Job {
    pub fn is_over(&self) -> bool {
        matches!(self.state, JobState::Done | JobState::Failed)
    }

    /// Why it was refused before any of it was accepted.
    pub fn problem(&self) -> Option<&Problem> {
        self.problem.as_ref()
    }

    pub fn invocation(&self) -> RequestId {
        self.invocation
    }

    pub fn info(&self) -> JobInfo<'_> {
        let ms = |at: Micros| at.0 / 1000;
        JobInfo {
            job_id: &self.id,
            job_name: self.template.job_name.as_deref(),
            job_state: self.state,
            job_sub_state: self.sub_state,
            submission_time_ms: ms(self.submitted),
            dispatch_time_ms: self.started.map(ms),
            finish_time_ms: self.finished.map(ms),
            duplicates: self.duplicates,
            result: self.result.as_deref(),
            problem: self.problem.as_ref(),
        }
    }

    fn size(&self) -> usize {
        OVERHEAD + self.template.size() + self.result.as_ref().map_or(0, String::len)
    }

    fn key(&self) -> Option<Key> {
        key(&self.template)
    }
}

/// A key counts within its tenant.
type Key = (Option<String>, String);

fn key(template: &Template) -> Option<Key> {
    let key = template.submission_key.clone()?;
    Some((template.accounting_id.clone(), key))
}

/// How a job has ended, besides its state.
#[derive(Default)]
struct End {
    sub_state: Option<&'static str>,
    problem: Option<Problem>,
    result: Option<String>,
    /// The last send that may have run.
    sent: Option<Micros>,
}

impl End {
    fn why(sub_state: &'static str, problem: Option<Problem>, sent: Option<Micros>) -> Self {
        End {
            sub_state: Some(sub_state),
            problem,
            result: None,
            sent,
        }
    }
}

pub struct Jobs {
    retain: Micros,
    max_jobs: usize,
    max_bytes: usize,
    bytes: usize,
    jobs: HashMap<String, Job>,
    by_key: HashMap<Key, String>,
    by_invocation: HashMap<RequestId, String>,
    expiries: BTreeSet<(Micros, String)>,
}

impl Jobs {
    pub fn new(retain: Micros, max_jobs: usize, max_bytes: usize) -> Self {
        Jobs {
            retain,
            max_jobs,
            max_bytes,
            bytes: 0,
            jobs: HashMap::new(),
            by_key: HashMap::new(),
            by_invocation: HashMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    pub fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub fn of_invocation(&self, id: RequestId) -> Option<&str> {
        self.by_invocation.get(&id).map(String::as_str)
    }

    /// The job that this template's key names, if one does: a resubmission joins it. It never runs a second
    /// time, and with another template it is an error.
    pub fn join(&mut self, template: &Template) -> Result<Option<&Job>, Problem> {
        let id = key(template).and_then(|key| self.by_key.get(&key));
        let Some(job) = id.and_then(|id| self.jobs.get_mut(id)) else {
            return Ok(None);
        };
        if !job.template.same(template) {
            return Err(Problem::invalid(
                "submissionKey was used with another template",
            ));
        }
        job.duplicates += 1;
        Ok(Some(job))
    }

    /// Whether there is room for another job; else when to come back.
    pub fn room(&self, now: Micros, template: &Template) -> Result<(), Problem> {
        let bytes = self.bytes + OVERHEAD + template.size();
        if self.jobs.len() < self.max_jobs && bytes <= self.max_bytes {
            return Ok(());
        }
        let next = self.expiries.first().map_or(Micros(0), |(at, _)| *at - now);
        let ms = (next.0 / 1000).clamp(1000, 60_000);
        Err(Problem::later("too many jobs are held", ms))
    }

    pub fn enter(
        &mut self,
        id: String,
        template: Template,
        invocation: RequestId,
        now: Micros,
        deadline: Micros,
        window: Micros,
    ) {
        let job = Job {
            id: id.clone(),
            template,
            state: JobState::Queued,
            sub_state: None,
            problem: None,
            result: None,
            submitted: now,
            started: None,
            finished: None,
            deadline,
            invocation,
            window,
            duplicates: 0,
            expires: None,
        };
        self.bytes += job.size();
        if let Some(key) = job.key() {
            self.by_key.insert(key, id.clone());
        }
        self.by_invocation.insert(invocation, id.clone());
        self.jobs.insert(id, job);
    }

    /// It has begun to run; tells whether that is news.
    pub fn running(&mut self, id: &str, now: Micros) -> bool {
        let job = self.jobs.get_mut(id);
        let Some(job) = job.filter(|job| job.state == JobState::Queued) else {
            return false;
        };
        (job.state, job.started) = (JobState::Running, Some(now));
        true
    }

    /// Gives a job its final state, once; `sent` is the last send that may have run.
    pub fn finish(&mut self, id: &str, now: Micros, verdict: Verdict, sent: Option<Micros>) {
        let job = self.jobs.get(id);
        let overdue = job.is_some_and(|job| now >= job.deadline);
        match verdict {
            Verdict::Served(result) => {
                let result = String::from_utf8_lossy(&result).into_owned();
                self.end(
                    id,
                    now,
                    JobState::Done,
                    End {
                        result: Some(result),
                        sent,
                        ..End::default()
                    },
                );
            }
            Verdict::Rejected(wait) => {
                let ms = wait.map_or(1000, |wait| wait.0.div_ceil(1000));
                let problem = Problem::later("refused", ms);
                self.end(
                    id,
                    now,
                    JobState::Failed,
                    End::why("refused", Some(problem), sent),
                );
                // Coming back is harmless, so the key starts anew.
                self.forget_key(id);
            }
            Verdict::Failed => {
                let (sub, error) = match overdue {
                    true => ("overdue", ErrorId::Timeout),
                    false => ("failed", ErrorId::DrmCommunication),
                };
                let problem = Problem::new(error, "it may have run");
                self.end(
                    id,
                    now,
                    JobState::Failed,
                    End::why(sub, Some(problem), sent),
                );
            }
        }
    }

    /// The submitter wants it no longer.
    pub fn terminated(&mut self, id: &str, now: Micros, sent: Option<Micros>) {
        self.end(
            id,
            now,
            JobState::Failed,
            End::why("terminated", None, sent),
        );
    }

    fn end(&mut self, id: &str, now: Micros, state: JobState, end: End) {
        let sent = end.sent;
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.is_over()) else {
            return;
        };
        let before = job.size();
        (job.state, job.sub_state) = (state, end.sub_state);
        (job.problem, job.result) = (end.problem, end.result);
        job.finished = Some(now);
        self.bytes = self.bytes + job.size() - before;
        self.by_invocation.remove(&job.invocation);
        // The key counts for as long as workers would drop a repeat, and longer if the state is kept longer.
        let held = sent.map_or(now, |sent| sent + job.window);
        let until = held.max(now + self.retain);
        job.expires = Some(until);
        self.expiries.insert((until, id.to_owned()));
        if sent.is_none() && state == JobState::Failed {
            self.forget_key(id);
        }
    }

    /// Never ran, or may run again: a resubmission is a job of its own.
    fn forget_key(&mut self, id: &str) {
        let key = self.jobs.get(id).and_then(Job::key);
        if let Some(key) = key.filter(|key| self.by_key.get(key).is_some_and(|of| of == id)) {
            self.by_key.remove(&key);
        }
    }

    /// Drops a job that was refused before it was accepted.
    pub fn drop_job(&mut self, id: &str) {
        self.forget_key(id);
        if let Some(job) = self.jobs.remove(id) {
            self.bytes -= job.size();
            self.by_invocation.remove(&job.invocation);
            if let Some(at) = job.expires {
                self.expiries.remove(&(at, job.id));
            }
        }
    }

    pub fn next_expiry(&self) -> Option<Micros> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Forgets the jobs whose time is over.
    pub fn expire(&mut self, now: Micros) {
        while self.next_expiry().is_some_and(|at| at <= now) {
            if let Some((_, id)) = self.expiries.pop_first() {
                self.drop_job(&id);
            }
        }
    }
}
