//! Requests that wait for the start or the end of jobs.

use super::client::{ClientId, Output, WaitId};
use super::{Server, MAX_TIMEOUT_MS, RETRY_AFTER_MS};
use crate::error::{ErrorId, Problem};
use crate::ids::{ArrayKey, JobKey};
use crate::message::Targets;
use crate::sessions::SessionKey;
use crate::state::JobState;
use marbledeck_dispatcher::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The maximum number of waits that one client may have open.
const MAX_WAITS_PER_CLIENT: usize = 1024;
/// The maximum number of jobs, arrays and sessions that all waits of one client may name together.
const MAX_WAIT_SUBJECTS_PER_CLIENT: usize = 16 * 1024;

/// The condition on a job's state that satisfies a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitGoal {
    /// A job runs or has ended.
    Started,
    /// A job has ended.
    Ended,
}

impl WaitGoal {
    fn is_satisfied_by(self, state: JobState) -> bool {
        match self {
            WaitGoal::Started => state.has_started(),
            WaitGoal::Ended => state.is_final(),
        }
    }

    /// The first of these jobs that satisfies the wait.
    fn first_satisfying_job(
        self,
        ended: &BTreeSet<JobKey>,
        running: &BTreeSet<JobKey>,
    ) -> Option<JobKey> {
        let running = running.first().filter(|_| self == WaitGoal::Started);
        ended.first().or(running).copied()
    }
}

/// A job, or a group of jobs of which any satisfies a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum WaitSubject {
    /// One job.
    Job(JobKey),
    /// Any member of an array.
    Array(ArrayKey),
    /// Any job of a session.
    Session(SessionKey),
}

/// A client's request that waits for a job.
pub(super) struct Wait {
    client: ClientId,
    seq: Value,
    subjects: Vec<WaitSubject>,
    goal: WaitGoal,
    timeout: Option<Micros>,
}

/// The open waits.
#[derive(Default)]
pub(super) struct Waits {
    /// Ordered by id, so that they are answered in the order in which they arrived.
    waits: BTreeMap<WaitId, Wait>,
    next_id: WaitId,
    timeouts: BTreeSet<(Micros, WaitId)>,
    by_subject: HashMap<WaitSubject, BTreeSet<WaitId>>,
}

impl Waits {
    /// The number of open waits.
    pub(super) fn len(&self) -> usize {
        self.waits.len()
    }

    /// When the next wait times out.
    pub(super) fn next_timeout(&self) -> Option<Micros> {
        self.timeouts.first().map(|(time, _)| *time)
    }

    /// A wait that has timed out.
    fn first_expired(&self, now: Micros) -> Option<WaitId> {
        let (time, id) = self.timeouts.first()?;
        (*time <= now).then_some(*id)
    }

    /// The waits on this subject.
    pub(super) fn waits_on(&self, subject: WaitSubject) -> BTreeSet<WaitId> {
        self.by_subject.get(&subject).cloned().unwrap_or_default()
    }

    /// The waits on this subject that are satisfied by a job that has started, or has ended if `has_ended` is set.
    fn satisfied_waits_on(&self, subject: WaitSubject, has_ended: bool) -> Vec<WaitId> {
        let Some(waits) = self.by_subject.get(&subject) else {
            return Vec::new();
        };
        let is_satisfied = |id: &&WaitId| {
            let wait = self.waits.get(id);
            has_ended || wait.is_some_and(|wait| wait.goal == WaitGoal::Started)
        };
        waits.iter().filter(is_satisfied).copied().collect()
    }

    fn insert(&mut self, wait: Wait) -> WaitId {
        let id = self.next_id;
        self.next_id += 1;
        self.timeouts.extend(wait.timeout.map(|time| (time, id)));
        for subject in &wait.subjects {
            self.by_subject.entry(*subject).or_default().insert(id);
        }
        self.waits.insert(id, wait);
        id
    }

    fn remove(&mut self, id: WaitId) -> Option<Wait> {
        let wait = self.waits.remove(&id)?;
        if let Some(timeout) = wait.timeout {
            self.timeouts.remove(&(timeout, id));
        }
        for subject in &wait.subjects {
            if let Some(waits) = self.by_subject.get_mut(subject) {
                waits.remove(&id);
                if waits.is_empty() {
                    self.by_subject.remove(subject);
                }
            }
        }
        Some(wait)
    }
}

/// The subjects of a new wait, and a job that already satisfies it.
struct WaitTarget {
    subjects: Vec<WaitSubject>,
    satisfied_by: Option<JobKey>,
}

impl Server {
    /// Answers a wait immediately if a job already satisfies it, and keeps it open otherwise.
    pub(super) fn wait(
        &mut self,
        now: Micros,
        client: ClientId,
        seq: &Value,
        targets: &Targets,
        goal: WaitGoal,
        timeout_ms: Option<u64>,
    ) -> Result<(), Problem> {
        let target = self.wait_target(targets, goal)?;
        let seq = seq.clone();
        if let Some(job) = target.satisfied_by {
            self.send(client, Output::JobInfo { seq, job });
            return Ok(());
        }
        let subjects = target.subjects;
        let Some(state) = self.clients.get_mut(&client) else {
            return Ok(());
        };
        let wait_subjects = state.wait_subjects + subjects.len();
        if state.waits.len() >= MAX_WAITS_PER_CLIENT || wait_subjects > MAX_WAIT_SUBJECTS_PER_CLIENT
        {
            return Err(Problem::try_later("too many waits", RETRY_AFTER_MS));
        }
        let timeout = timeout_ms.map(|ms| now + Micros(1000 * ms.min(MAX_TIMEOUT_MS)));
        let id = self.waits.insert(Wait {
            client,
            seq,
            subjects,
            goal,
            timeout,
        });
        state.waits.insert(id);
        state.wait_subjects = wait_subjects;
        Ok(())
    }

    fn wait_target(&self, targets: &Targets, goal: WaitGoal) -> Result<WaitTarget, Problem> {
        let names_jobs = targets.job_id.is_some() || targets.job_ids.is_some();
        match (&targets.job_array_id, &targets.session) {
            (Some(id), None) if !names_jobs => {
                let key = self.find_array(id)?;
                let array = &self.arrays[&key];
                Ok(WaitTarget {
                    subjects: vec![WaitSubject::Array(key)],
                    satisfied_by: goal.first_satisfying_job(&array.ended, &array.running),
                })
            }
            (None, Some(name)) if !names_jobs => {
                let key = self.find_session(name)?;
                let session = self.sessions.get(key).filter(|s| !s.jobs.is_empty());
                let session =
                    session.ok_or_else(|| Problem::invalid_argument("the session has no jobs"))?;
                Ok(WaitTarget {
                    subjects: vec![WaitSubject::Session(key)],
                    satisfied_by: goal.first_satisfying_job(&session.ended, &session.running),
                })
            }
            _ => {
                let keys = self.resolve_targets(targets)?;
                let is_satisfied = |key: &JobKey| {
                    let job = self.jobs.get(*key);
                    job.is_some_and(|job| goal.is_satisfied_by(job.state))
                };
                let satisfied_by = keys.iter().copied().find(is_satisfied);
                let subjects = keys.into_iter().map(WaitSubject::Job).collect();
                Ok(WaitTarget {
                    subjects,
                    satisfied_by,
                })
            }
        }
    }

    /// Answers the waits that a job's new state satisfies.
    pub(super) fn satisfy_waits(
        &mut self,
        job: JobKey,
        array: Option<ArrayKey>,
        session: Option<SessionKey>,
        has_ended: bool,
    ) {
        let subjects = [
            Some(WaitSubject::Job(job)),
            array.map(WaitSubject::Array),
            session.map(WaitSubject::Session),
        ];
        for subject in subjects.into_iter().flatten() {
            for id in self.waits.satisfied_waits_on(subject, has_ended) {
                if let Some(wait) = self.remove_wait(id) {
                    let seq = wait.seq;
                    self.send(wait.client, Output::JobInfo { seq, job });
                }
            }
        }
    }

    /// Ends the waits that have timed out; their jobs continue.
    pub(super) fn expire_waits(&mut self, now: Micros) {
        while let Some(id) = self.waits.first_expired(now) {
            self.fail_wait(id, Problem::new(ErrorId::Timeout, "the job goes on"));
        }
    }

    /// Ends a wait with an error.
    pub(super) fn fail_wait(&mut self, id: WaitId, problem: Problem) {
        if let Some(wait) = self.remove_wait(id) {
            self.send_answer(wait.client, &wait.seq, problem);
        }
    }

    /// Removes a wait without sending an answer.
    pub(super) fn remove_wait(&mut self, id: WaitId) -> Option<Wait> {
        let wait = self.waits.remove(id)?;
        if let Some(client) = self.clients.get_mut(&wait.client) {
            client.waits.remove(&id);
            client.wait_subjects -= wait.subjects.len();
        }
        Some(wait)
    }
}
