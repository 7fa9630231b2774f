//! Applies the answers of other sites to the jobs that were forwarded to them.

use super::RETRY_INTERVAL;
use crate::context::Context;
use crate::core::FinalAnswer;
use crate::placement::{ForwardedJob, ForwardedJobs};
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_federation::SiteResponse;
use marbledeck_submission::message::{ErrorId, JobInfo, Problem, Submitted};
use marbledeck_submission::JobState;
use serde_json::Value;

/// The kinds of queries about a job.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Query {
    /// Submits the job, and asks whether the site accepts it.
    Submit,
    /// Asks for the job's outcome, for which the site waits.
    Wait,
}

/// A query that was not answered yet.
pub(super) struct PendingQuery {
    /// The job that it is about.
    pub(super) job: RequestId,
    /// The kind of query.
    pub(super) query: Query,
    /// When the query times out.
    pub(super) deadline: Micros,
}

/// Clears the pending query of a job, schedules the job's next step after the retry interval, and returns the job.
fn end_query<'a>(
    now: Micros,
    pending: &PendingQuery,
    jobs: &'a mut ForwardedJobs,
) -> Option<&'a mut ForwardedJob> {
    jobs.schedule(pending.job, now + RETRY_INTERVAL);
    let job = jobs.get_mut(pending.job)?;
    job.pending_query = None;
    Some(job)
}

/// Handles a query whose answer is lost. A site that was asked to accept the job may have done so.
pub(super) fn handle_lost_query(now: Micros, pending: &PendingQuery, context: &mut Context) {
    let Some(jobs) = &mut context.forwarded_jobs else {
        return;
    };
    if let Some(job) = end_query(now, pending, jobs) {
        if pending.query == Query::Submit {
            job.placement.handle_response(SiteResponse::NoAnswer);
        }
    }
}

/// Handles a site's answer to a query.
pub(super) fn handle_answer(
    now: Micros,
    pending: &PendingQuery,
    answer: Value,
    context: &mut Context,
) {
    let Some(jobs) = &mut context.forwarded_jobs else {
        return;
    };
    let Some(job) = end_query(now, pending, jobs) else {
        return;
    };
    match pending.query {
        Query::Submit => {
            let outcome = submission_outcome(job, answer);
            let is_unanswered = outcome == SiteResponse::NoAnswer;
            job.placement.handle_response(outcome);
            // The next site is asked at once. `Placement` pauses after all sites have asked for a later retry.
            if !is_unanswered {
                jobs.schedule(pending.job, now);
            }
        }
        Query::Wait => handle_wait_answer(now, pending.job, answer, context),
    }
}

/// Decodes a site's answer to a submission.
fn submission_outcome(job: &mut ForwardedJob, answer: Value) -> SiteResponse {
    match serde_json::from_value::<Submitted>(answer) {
        Ok(Submitted::Accepted(accepted)) => {
            job.remote_id = Some(accepted.job_id);
            SiteResponse::Accepted
        }
        Ok(Submitted::Rejected(problem)) => match (problem.error, problem.catalog_version) {
            (ErrorId::TryLater, _) => SiteResponse::RetryLater,
            (_, Some(version)) => SiteResponse::Outdated(version),
            _ => SiteResponse::Rejected(problem.message),
        },
        // A site whose answer cannot be decoded may have accepted the job.
        Err(_) => SiteResponse::NoAnswer,
    }
}

/// Handles a site's answer to a wait: the state of the job, or an error.
fn handle_wait_answer(now: Micros, id: RequestId, answer: Value, context: &mut Context) {
    match serde_json::from_value::<JobInfo>(answer["jobInfo"].clone()) {
        Ok(info) if info.job_state.is_final() => {
            let answer = match (info.job_state, info.result_bytes()) {
                (JobState::Done, Some(result)) => FinalAnswer::Served(result),
                (JobState::Done, None) => FinalAnswer::Served(Vec::new()),
                _ => FinalAnswer::Failed,
            };
            finish(id, answer, context);
        }
        Ok(_) => schedule_now(now, id, context),
        Err(_) => match serde_json::from_value::<Problem>(answer) {
            Ok(problem) if problem.error == ErrorId::Timeout => schedule_now(now, id, context),
            Ok(problem) if problem.error == ErrorId::InvalidArgument => {
                // The site accepted the job but does not know it any more. The job may have run.
                log::warn!(
                    "federation: job {id:?} fails: the site that accepted it does not know it any more: {}",
                    problem.message
                );
                finish(id, FinalAnswer::Failed, context);
            }
            _ => {}
        },
    }
}

fn schedule_now(now: Micros, id: RequestId, context: &mut Context) {
    if let Some(jobs) = &mut context.forwarded_jobs {
        jobs.schedule(id, now);
    }
}

/// Removes a job that has ended, and passes its final answer to the core unless the job is abandoned.
pub(super) fn finish(id: RequestId, answer: FinalAnswer, context: &mut Context) {
    let jobs = context.forwarded_jobs.as_mut();
    let job = jobs.and_then(|jobs| jobs.remove(id));
    if job.is_some_and(|job| !job.is_abandoned) {
        context.core.push_answer(id, answer);
    }
}
