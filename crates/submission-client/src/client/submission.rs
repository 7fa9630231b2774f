//! Submission of jobs, and resubmission of those that the node rejects with `TRY_LATER`.

#[cfg(test)]
mod tests;

use super::request::decode;
use super::Client;
use crate::{Backoff, Error};
use marbledeck_submission::message::{
    Accepted, BulkAnswer, BulkJobAnswer, ErrorId, Operation, Problem, Submitted,
};
use marbledeck_submission::template::PARAMETRIC_INDEX;
use marbledeck_submission::Template;
use rand::Rng;
use std::time::{Duration, Instant};

/// Initial bound of the backoff between resubmissions.
const INITIAL_PAUSE: Duration = Duration::from_millis(100);
/// Maximum bound of the backoff between resubmissions.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// The indices of a bulk job: `begin`, `begin + step`, and so on, up to and including `end` if it is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexRange {
    /// The first index.
    pub begin: i64,
    /// The last index.
    pub end: i64,
    /// Difference between two successive indices; may be negative.
    pub step: i64,
}

impl IndexRange {
    /// The indices from `begin` to `end` in increments of `step`.
    pub fn new(begin: i64, end: i64, step: i64) -> Self {
        IndexRange { begin, end, step }
    }
}

/// The jobs of a bulk submission.
#[derive(Clone, Debug, Default)]
pub struct Bulk {
    /// Ids of the job arrays that the jobs belong to; more than one if jobs were resubmitted.
    pub arrays: Vec<String>,
    /// The jobs, in the order of the index range.
    pub jobs: Vec<BulkJob>,
}

/// One job of a [`Bulk`].
#[derive(Clone, Debug)]
pub struct BulkJob {
    /// Index of the job.
    pub index: i64,
    /// The accepted job, or the reason why the node rejected it.
    pub result: Result<Accepted, Problem>,
}

/// Backoff between resubmissions, with a time limit.
struct ResubmitBackoff {
    deadline: Instant,
    backoff: Backoff,
}

impl ResubmitBackoff {
    fn new(timeout: Duration) -> Self {
        ResubmitBackoff {
            deadline: Instant::now() + timeout,
            backoff: Backoff::new(INITIAL_PAUSE, MAX_PAUSE),
        }
    }

    /// Returns the pause before the next attempt, or `None` if it would end after the deadline.
    fn next_pause(&mut self, retry_after: Option<Duration>) -> Option<Duration> {
        let pause = self.backoff.next_pause(retry_after);
        (Instant::now() + pause <= self.deadline).then_some(pause)
    }
}

impl Client {
    /// Submits a job. A template without a submission key gets a random one, so that the node recognises a repeated
    /// request as a duplicate and the job runs once.
    ///
    /// # Errors
    /// If the node rejects the job, with `TRY_LATER` until the resubmit timeout or with another problem, or the request
    /// fails.
    pub fn run_job(&self, template: Template, session: Option<&str>) -> Result<Accepted, Error> {
        let operation = Operation::RunJob {
            template: with_key(template, ""),
            notify: false,
            session: session.map(str::to_owned),
        };
        let mut resubmit_backoff = ResubmitBackoff::new(self.settings.resubmit_timeout);
        loop {
            let problem = match self.call(operation.clone()) {
                Err(Error::Problem(problem)) if problem.error == ErrorId::TryLater => problem,
                answer => return answer,
            };
            let retry_after = problem.retry_after_ms.map(Duration::from_millis);
            let Some(pause) = resubmit_backoff.next_pause(retry_after) else {
                return Err(Error::Problem(problem));
            };
            std::thread::sleep(pause);
        }
    }

    /// Submits a job for each index. `${PARAMETRIC_INDEX}` in the template is replaced by the index. Jobs that the node
    /// rejects with `TRY_LATER` are resubmitted until the resubmit timeout; the result contains the jobs that are still
    /// rejected then.
    ///
    /// # Errors
    /// If the request fails, or the template or the index range is invalid.
    pub fn run_bulk(
        &self,
        template: Template,
        indices: IndexRange,
        max_parallel: Option<u32>,
        session: Option<&str>,
    ) -> Result<Bulk, Error> {
        let template = with_key(template, &format!("-{PARAMETRIC_INDEX}"));
        let mut resubmit_backoff = ResubmitBackoff::new(self.settings.resubmit_timeout);
        let mut bulk = Bulk::default();
        let mut ranges = vec![indices];
        loop {
            let mut rejected = Vec::new();
            for range in ranges {
                let operation = Operation::RunBulkJobs {
                    template: template.clone(),
                    begin_index: range.begin,
                    end_index: range.end,
                    step: range.step,
                    max_parallel,
                    notify: false,
                    session: session.map(str::to_owned),
                };
                for line in self.call_lines(operation)? {
                    bulk.add_answer(decode(line)?, &mut rejected);
                }
            }
            if rejected.is_empty() {
                break;
            }
            let Some(pause) = resubmit_backoff.next_pause(Some(max_retry_after(&rejected))) else {
                bulk.add_rejected(rejected);
                break;
            };
            std::thread::sleep(pause);
            ranges = group_indices(rejected.iter().map(|job| job.index), indices.step);
        }
        bulk.sort(indices.step);
        Ok(bulk)
    }
}

/// A job of a bulk that the node rejected with `TRY_LATER`.
struct RejectedJob {
    index: i64,
    problem: Problem,
}

/// The longest delay that the node asked for; zero if it asked for none.
fn max_retry_after(rejected: &[RejectedJob]) -> Duration {
    let delays_ms = rejected.iter().map(|job| job.problem.retry_after_ms);
    Duration::from_millis(delays_ms.flatten().max().unwrap_or(0))
}

impl Bulk {
    /// Adds the jobs of one line of an answer; those rejected with `TRY_LATER` go to `rejected` instead.
    fn add_answer(&mut self, answer: BulkAnswer, rejected: &mut Vec<RejectedJob>) {
        if self.arrays.last() != Some(&answer.job_array_id) {
            self.arrays.push(answer.job_array_id);
        }
        for BulkJobAnswer { index, submitted } in answer.jobs {
            let result = match submitted {
                Submitted::Rejected(problem) if problem.error == ErrorId::TryLater => {
                    rejected.push(RejectedJob { index, problem });
                    continue;
                }
                Submitted::Rejected(problem) => Err(problem),
                Submitted::Accepted(job) => Ok(job),
            };
            self.jobs.push(BulkJob { index, result });
        }
    }

    fn add_rejected(&mut self, rejected: Vec<RejectedJob>) {
        self.jobs.extend(rejected.into_iter().map(|job| BulkJob {
            index: job.index,
            result: Err(job.problem),
        }));
    }

    /// Sorts the jobs by index, in the direction of `step`.
    fn sort(&mut self, step: i64) {
        self.jobs.sort_by_key(|job| job.index);
        if step < 0 {
            self.jobs.reverse();
        }
    }
}

/// Sets a random submission key that ends with `suffix`, unless the template has a key.
fn with_key(mut template: Template, suffix: &str) -> Template {
    let random_key = || format!("{:032x}{suffix}", rand::rng().random::<u128>());
    template.submission_key.get_or_insert_with(random_key);
    template
}

/// Groups indices in the order of `step` into as few ranges as possible.
fn group_indices(indices: impl Iterator<Item = i64>, step: i64) -> Vec<IndexRange> {
    let mut ranges: Vec<IndexRange> = Vec::new();
    for index in indices {
        match ranges.last_mut() {
            Some(range) if range.end.checked_add(step) == Some(index) => range.end = index,
            _ => ranges.push(IndexRange::new(index, index, step)),
        }
    }
    ranges
}
