//! `runBulkJobs`: submission of an array of jobs over several turns.

use super::arrays::{Growth, JobArray};
use super::client::{ClientId, Task};
use super::submission::{AdmittedJobs, Origin};
use super::Server;
use crate::error::Problem;
use crate::ids::ArrayKey;
use crate::message::{BulkAnswer, BulkJobAnswer};
use crate::scheduler::Scheduler;
use crate::sessions::SessionKey;
use crate::template::Template;
use marbledeck_dispatcher::Micros;
use serde_json::Value;
use std::rc::Rc;

/// The maximum number of members that one bulk submission submits in one turn.
const MAX_SUBMISSIONS_PER_TURN: usize = 64;
/// The number of jobs after which a line of the answer to `runBulkJobs` ends.
const JOBS_PER_LINE: usize = 256;

/// The fields of a `runBulkJobs` request.
pub(super) struct BulkRequest {
    pub(super) template: Template,
    pub(super) begin_index: i64,
    pub(super) end_index: i64,
    pub(super) step: i64,
    pub(super) max_parallel: Option<u32>,
    pub(super) notify: bool,
    pub(super) session: Option<String>,
}

/// A `runBulkJobs` operation in progress.
pub(super) struct BulkTask {
    seq: Value,
    template: Rc<Template>,
    notify: bool,
    session: Option<SessionKey>,
    pub(super) array: ArrayKey,
    /// The next index. It is wider than an index because the step after the last member may exceed the largest index.
    next_index: i128,
    step: i128,
    /// The number of jobs that are not submitted yet.
    jobs_left: usize,
    /// The answers that are not sent yet.
    answers: Vec<BulkJobAnswer>,
}

impl Server {
    pub(super) fn handle_run_bulk_jobs(
        &mut self,
        now: Micros,
        client: ClientId,
        seq: &Value,
        request: BulkRequest,
        scheduler: &mut dyn Scheduler,
    ) -> Result<(), Problem> {
        let session = self.find_optional_session(request.session)?;
        let jobs_left = self.count_bulk(request.begin_index, request.end_index, request.step)?;
        if request.max_parallel == Some(0) {
            return Err(Problem::invalid_argument("maxParallel must be at least 1"));
        }
        let template = Rc::new(request.template);
        let array_key = self.ids.allocate();
        let array = JobArray::new(
            template.clone(),
            session,
            request.max_parallel,
            Growth::Submitting,
        );
        self.arrays.insert(array_key, array);
        let bulk = BulkTask {
            seq: seq.clone(),
            template,
            notify: request.notify,
            session,
            array: array_key,
            next_index: request.begin_index.into(),
            step: request.step.into(),
            jobs_left,
            answers: Vec::new(),
        };
        self.set_task(client, Task::Bulk(Box::new(bulk)));
        self.continue_task(now, client, scheduler);
        Ok(())
    }

    /// The number of members of a bulk job with these indices.
    fn count_bulk(&self, begin: i64, end: i64, step: i64) -> Result<usize, Problem> {
        if step == 0 || step > 0 && begin > end || step < 0 && begin < end {
            return Err(Problem::invalid_argument(
                "beginIndex, endIndex and step name no job",
            ));
        }
        // The difference of two indices may exceed the range of an index.
        let (begin, end, step) = (i128::from(begin), i128::from(end), i128::from(step));
        let count = (end - begin) / step + 1;
        let max = self.limits.max_bulk;
        match usize::try_from(count) {
            Ok(count) if count <= max => Ok(count),
            _ => Err(Problem::invalid_argument(format!(
                "at most {max} jobs at once"
            ))),
        }
    }

    /// Adds answers to a bulk job; sends them once they fill a line or all members are submitted.
    pub(super) fn send_bulk_answers(&mut self, client: ClientId, answers: Vec<BulkJobAnswer>) {
        let Some(state) = self.clients.get_mut(&client) else {
            return;
        };
        let Some(Task::Bulk(bulk)) = &mut state.task else {
            return;
        };
        bulk.answers.extend(answers);
        let is_complete = bulk.jobs_left == 0;
        if !is_complete && bulk.answers.len() < JOBS_PER_LINE {
            return;
        }
        let array = bulk.array;
        let seq = bulk.seq.clone();
        let jobs = std::mem::take(&mut bulk.answers);
        if is_complete {
            state.task = None;
        }
        let body = BulkAnswer {
            job_array_id: self.ids.id(array).to_string(),
            jobs,
            more: !is_complete,
        };
        if is_complete {
            self.finish_growing(array);
        }
        self.send_answer(client, &seq, body);
    }

    pub(super) fn continue_bulk(
        &mut self,
        now: Micros,
        client: ClientId,
        mut bulk: Box<BulkTask>,
        scheduler: &mut dyn Scheduler,
    ) {
        let count = bulk.jobs_left.min(MAX_SUBMISSIONS_PER_TURN);
        let mut jobs = Vec::with_capacity(count);
        for _ in 0..count {
            // It lies between the first and the last index, so the conversion is lossless.
            let index = bulk.next_index as i64;
            let origin = Origin {
                index: Some(index),
                array: Some(bulk.array),
                session: bulk.session,
            };
            let job = self.submit(now, &bulk.template, origin, scheduler);
            jobs.push((index, job));
            bulk.next_index += bulk.step;
        }
        bulk.jobs_left -= count;
        let notify = bulk.notify;
        self.set_task(client, Task::Bulk(bulk));
        self.admit_later(client, notify, AdmittedJobs::Bulk(jobs));
    }
}
