//! What the sites' answers mean for the jobs.

use super::RETRY_INTERVAL;
use crate::context::Context;
use crate::core::FinalAnswer;
use crate::placement::{ForwardedJob, ForwardedJobs};
use marbledeck_dispatcher::{Micros, RequestId};
use marbledeck_federation::SiteResponse;
use marbledeck_submission::message::{ErrorId, JobInfo, Problem, Submitted};
use marbledeck_submission::JobState;
use serde_json::Value;

/// What was asked about a job.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Query {
    /// Whether the site takes it.
    Submit,
    /// How it ends.
    Wait,
}

/// A query that is not answered yet.
pub(super) struct OpenQuery {
    /// The job that it is about.
    pub(super) job: RequestId,
    /// What was asked.
    pub(super) query: Query,
    /// From then on the site counts as silent.
    pub(super) deadline: Micros,
}

/// Closes a query: the job that it was about, which may be asked about again after a pause.
fn close_query<'a>(
    now: Micros,
    open: &OpenQuery,
    jobs: &'a mut ForwardedJobs,
) -> Option<&'a mut ForwardedJob> {
    jobs.schedule(open.job, now + RETRY_INTERVAL);
    let job = jobs.get_mut(open.job)?;
    job.open_query = None;
    Some(job)
}

/// A query will not be answered.
pub(super) fn handle_lost_query(now: Micros, open: &OpenQuery, context: &mut Context) {
    let Some(jobs) = &mut context.forwarded_jobs else {
        return;
    };
    if let Some(job) = close_query(now, open, jobs) {
        if open.query == Query::Submit {
            job.placement.handle_response(SiteResponse::NoAnswer);
        }
    }
}

/// A site has answered a query.
pub(super) fn handle_answer(now: Micros, open: &OpenQuery, answer: Value, context: &mut Context) {
    let Some(jobs) = &mut context.forwarded_jobs else {
        return;
    };
    let Some(job) = close_query(now, open, jobs) else {
        return;
    };
    match open.query {
        Query::Submit => {
            let outcome = submission_outcome(job, answer);
            let is_lost = outcome == SiteResponse::NoAnswer;
            job.placement.handle_response(outcome);
            // After one that put it off, all have been asked before there is a pause.
            if !is_lost {
                jobs.schedule(open.job, now);
            }
        }
        Query::Wait => handle_wait_answer(now, open.job, answer, context),
    }
}

/// What a site's answer to a submission means.
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
        // What makes no sense may be the answer of one that has the job.
        Err(_) => SiteResponse::NoAnswer,
    }
}

/// A site has said how a job is, or why it cannot.
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
        Ok(_) => ask_at_once(now, id, context),
        Err(_) => match serde_json::from_value::<Problem>(answer) {
            Ok(problem) if problem.error == ErrorId::Timeout => ask_at_once(now, id, context),
            Ok(problem) if problem.error == ErrorId::InvalidArgument => {
                // It had the job and knows nothing of it: it may have run.
                log::warn!(
                    "sites: a job that was taken is not known there: {}",
                    problem.message
                );
                finish(id, FinalAnswer::Failed, context);
            }
            _ => {}
        },
    }
}

fn ask_at_once(now: Micros, id: RequestId, context: &mut Context) {
    if let Some(jobs) = &mut context.forwarded_jobs {
        jobs.schedule(id, now);
    }
}

/// A job has ended: its final answer goes to whoever waits for it.
pub(super) fn finish(id: RequestId, answer: FinalAnswer, context: &mut Context) {
    let jobs = context.forwarded_jobs.as_mut();
    let job = jobs.and_then(|jobs| jobs.remove(id));
    if job.is_some_and(|job| !job.is_abandoned) {
        context.core.push_answer(id, answer);
    }
}
