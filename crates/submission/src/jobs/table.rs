//! All jobs, indexed by key, submission key, scheduler request and due time.

use super::job::{tenant_key, TenantKey, JOB_OVERHEAD_BYTES};
use super::{Job, JobLocation, JobOutcome, Visibility};
use crate::error::Problem;
use crate::ids::{ArrayKey, JobKey};
use crate::state::{Change, JobState, SubState};
use crate::template::Template;
use marbledeck_dispatcher::{Micros, RequestId};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound::{Excluded, Unbounded};

/// The bounds of the retry hint of a full table, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1000;
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// All jobs.
#[derive(Debug)]
pub struct JobTable {
    /// How long an ended job stays visible.
    retention: Micros,
    max_jobs: usize,
    max_bytes: usize,
    bytes: usize,
    jobs: BTreeMap<JobKey, Job>,
    by_tenant_key: HashMap<TenantKey, JobKey>,
    by_request: HashMap<RequestId, JobKey>,
    /// The number of jobs of each array, visible or not.
    array_sizes: HashMap<ArrayKey, usize>,
    due: BTreeSet<(Micros, JobKey)>,
    /// The subset of `due` that belongs to ended jobs: the first entry tells when a full table has room again.
    expiries: BTreeSet<(Micros, JobKey)>,
}

impl JobTable {
    /// An empty table with these bounds.
    pub fn new(retention: Micros, max_jobs: usize, max_bytes: usize) -> Self {
        JobTable {
            retention,
            max_jobs,
            max_bytes,
            bytes: 0,
            jobs: BTreeMap::new(),
            by_tenant_key: HashMap::new(),
            by_request: HashMap::new(),
            array_sizes: HashMap::new(),
            due: BTreeSet::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// The job with this key, unless it was reaped.
    pub fn get(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(&key).filter(|job| !job.is_reaped())
    }

    /// The job with this key, reaped or not.
    pub fn get_any(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(&key)
    }

    /// The job with this key for modification, reaped or not.
    pub fn get_mut(&mut self, key: JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(&key)
    }

    /// The jobs after this key, or all jobs, in the order of their keys.
    pub fn iter_after(&self, key: Option<JobKey>) -> impl Iterator<Item = &Job> {
        let from = key.map_or(Unbounded, Excluded);
        self.jobs.range((from, Unbounded)).map(|(_, job)| job)
    }

    /// The keys of all jobs at a location, in ascending order.
    pub fn keys_at(&self, location: JobLocation) -> Vec<JobKey> {
        self.iter_after(None)
            .filter(|job| job.location == location)
            .map(|job| job.key)
            .collect()
    }

    /// The job that is with the scheduler as this request.
    pub fn key_of_request(&self, id: RequestId) -> Option<JobKey> {
        self.by_request.get(&id).copied()
    }

    /// The number of jobs, including reaped jobs whose submission key is still in use.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// The approximate memory use of all jobs, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Joins a resubmission to the job that has its submission key; `None` if there is no such job.
    ///
    /// # Errors
    /// If that job was submitted with another template.
    pub fn join(
        &mut self,
        template: &Template,
        index: Option<i64>,
    ) -> Result<Option<JobKey>, Problem> {
        let key =
            tenant_key(template, index).and_then(|name| self.by_tenant_key.get(&name).copied());
        let Some(job) = key.and_then(|key| self.jobs.get_mut(&key)) else {
            return Ok(None);
        };
        if !job.template.is_same_job(job.index, template, index) {
            return Err(Problem::invalid_argument(
                "submissionKey was used with another template",
            ));
        }
        job.duplicates += 1;
        Ok(Some(job.key))
    }

    /// Checks that there is room for another job whose template takes this many bytes.
    ///
    /// # Errors
    /// If there is none, with the time until a job is removed as the retry hint.
    pub fn check_capacity(&self, now: Micros, template_bytes: usize) -> Result<(), Problem> {
        let bytes = self.bytes + JOB_OVERHEAD_BYTES + template_bytes;
        if self.jobs.len() < self.max_jobs && bytes <= self.max_bytes {
            return Ok(());
        }
        let wait = self
            .expiries
            .first()
            .map_or(Micros(0), |(time, _)| *time - now);
        let retry_after_ms = (wait.0 / 1000).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        Err(Problem::try_later("too many jobs are held", retry_after_ms))
    }

    /// Adds a job and registers its submission key.
    pub fn insert(&mut self, job: Job) {
        let key = job.key;
        self.bytes += job.memory_bytes();
        // A job that has released its submission key must not take it from a job that uses it now.
        let released_key = releases_key(job.state, job.sub_state, job.last_sent());
        if let Some(tenant_key) = job.tenant_key().filter(|_| !released_key) {
            self.by_tenant_key.entry(tenant_key).or_insert(key);
        }
        if let JobLocation::Scheduled(id) = job.location {
            self.by_request.insert(id, key);
        }
        if let Some(array) = job.array {
            *self.array_sizes.entry(array).or_default() += 1;
        }
        let due = job.due;
        self.jobs.insert(key, Job { due: None, ..job });
        self.set_due(key, due);
    }

    /// Sets when a job must be handled next.
    pub fn set_due(&mut self, key: JobKey, due: Option<Micros>) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let has_ended = job.has_ended();
        if let Some(previous) = std::mem::replace(&mut job.due, due) {
            self.due.remove(&(previous, key));
            self.expiries.remove(&(previous, key));
        }
        if let Some(due) = due {
            self.due.insert((due, key));
            if has_ended {
                self.expiries.insert((due, key));
            }
        }
    }

    /// Records that a waiting job was passed to the scheduler.
    pub fn mark_scheduled(&mut self, key: JobKey, request: RequestId, deadline: Micros) {
        self.set_due(key, None);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.location = JobLocation::Scheduled(request);
            job.deadline = deadline;
            self.by_request.insert(request, key);
        }
    }

    /// Records that a job was taken back from the scheduler.
    pub fn mark_recalled(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            if let JobLocation::Scheduled(id) = job.location {
                self.by_request.remove(&id);
            }
            job.location = JobLocation::Waiting;
        }
    }

    /// Applies a change that is legal and does not end the job; returns whether the state has changed.
    pub fn apply(&mut self, key: JobKey, change: Change, now: Micros) -> bool {
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        let Some(next) = job.state.after(change).filter(|next| !next.is_final()) else {
            return false;
        };
        if next == JobState::Running && job.started_at.is_none() {
            job.started_at = Some(now);
        }
        std::mem::replace(&mut job.state, next) != next
    }

    /// Ends a job; returns whether this call has ended it.
    pub fn end(
        &mut self,
        key: JobKey,
        change: Change,
        now: Micros,
        sub_state: Option<SubState>,
        outcome: JobOutcome,
    ) -> bool {
        let last_sent = outcome.last_sent;
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        let next = job.state.after(change).filter(|next| next.is_final());
        let Some(state) = next else {
            return false;
        };
        let bytes_before = job.memory_bytes();
        job.state = state;
        job.sub_state = sub_state;
        job.outcome = Some(Box::new(outcome));
        job.finished_at = Some(now);
        let bytes_after = job.memory_bytes();
        let dedup_window = job.dedup_window;
        let location = std::mem::replace(&mut job.location, JobLocation::Ended);
        if let JobLocation::Scheduled(id) = location {
            self.by_request.remove(&id);
        }
        self.bytes = self.bytes + bytes_after - bytes_before;
        // The submission key stays in use as long as workers drop repeats, or as long as the job is visible if longer.
        let key_expiry = last_sent.map_or(now, |sent| sent + dedup_window);
        self.set_due(key, Some(key_expiry.max(now + self.retention)));
        if releases_key(state, sub_state, last_sent) {
            self.release_tenant_key(key);
        }
        true
    }

    /// When the submission key of a job that is no longer visible expires; `None` if the job does not use its key.
    fn key_expiry(&self, key: JobKey) -> Option<Micros> {
        let job = self.jobs.get(&key)?;
        let last_sent = job.last_sent()?;
        let holder = job
            .tenant_key()
            .and_then(|name| self.by_tenant_key.get(&name));
        (holder == Some(&key)).then_some(last_sent + job.dedup_window)
    }

    /// Hides a job. The job is kept while its submission key is in use, which is as long as workers drop repeats.
    pub fn reap(&mut self, key: JobKey, now: Micros) {
        let expiry = self.key_expiry(key).filter(|expiry| *expiry > now);
        let Some(expiry) = expiry else {
            self.remove(key);
            return;
        };
        self.set_due(key, Some(expiry));
        if let Some(job) = self.jobs.get_mut(&key) {
            let bytes_before = job.memory_bytes();
            job.visibility = Visibility::Reaped;
            if let Some(outcome) = &mut job.outcome {
                outcome.result = None;
            }
            self.bytes = self.bytes + job.memory_bytes() - bytes_before;
        }
    }

    fn release_tenant_key(&mut self, key: JobKey) {
        let tenant_key = self.jobs.get(&key).and_then(Job::tenant_key);
        let used = tenant_key.filter(|name| self.by_tenant_key.get(name) == Some(&key));
        if let Some(tenant_key) = used {
            self.by_tenant_key.remove(&tenant_key);
        }
    }

    /// Removes a job.
    pub fn remove(&mut self, key: JobKey) {
        self.release_tenant_key(key);
        self.set_due(key, None);
        let Some(job) = self.jobs.remove(&key) else {
            return;
        };
        self.bytes -= job.memory_bytes();
        if let JobLocation::Scheduled(id) = job.location {
            self.by_request.remove(&id);
        }
        if let Some(array) = job.array {
            self.remove_from_array(array);
        }
    }

    fn remove_from_array(&mut self, array: ArrayKey) {
        if let Entry::Occupied(mut size) = self.array_sizes.entry(array) {
            *size.get_mut() -= 1;
            if *size.get() == 0 {
                size.remove();
            }
        }
    }

    /// Whether any job belongs to this array: visible, not yet visible, or kept only for its submission key.
    pub fn has_members(&self, array: ArrayKey) -> bool {
        self.array_sizes.contains_key(&array)
    }

    /// When the next job is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|(time, _)| *time)
    }

    /// Takes the next job that is due now.
    pub fn pop_due(&mut self, now: Micros) -> Option<JobKey> {
        let (_, key) = self.due.first().copied().filter(|(time, _)| *time <= now)?;
        self.set_due(key, None);
        Some(key)
    }
}

/// Whether an ended job gives up its submission key, so that a resubmission is a new job: the job was rejected, or
/// failed without having been sent to a worker.
fn releases_key(state: JobState, sub_state: Option<SubState>, last_sent: Option<Micros>) -> bool {
    state == JobState::Failed && (sub_state == Some(SubState::Rejected) || last_sent.is_none())
}
