//! `listJobs`: lists the jobs that match a filter, in pages.

use super::Server;
use crate::error::Problem;
use crate::ids::{ArrayKey, JobKey};
use crate::jobs::{Job, Visibility};
use crate::message::{Filter, JobInfo, JobPage};
use crate::sessions::SessionKey;
use std::ops::Bound::{Excluded, Unbounded};

/// The number of jobs of a page if the request sets no limit.
const DEFAULT_PAGE_JOBS: usize = 100;
/// The maximum number of jobs of a page.
const MAX_PAGE_JOBS: usize = 256;
/// The maximum number of jobs that are examined for a page.
const MAX_EXAMINED_JOBS: usize = 2048;
/// The approximate size after which a page ends, in bytes.
const MAX_PAGE_BYTES: usize = 64 * 1024;
/// The approximate size of a job on a page besides its names, in bytes.
const JOB_INFO_BYTES: usize = 400;

/// Collects the jobs of a page within its limits.
struct PageBuilder {
    jobs: Vec<JobInfo>,
    bytes: usize,
    examined: usize,
    last_examined: Option<JobKey>,
}

impl PageBuilder {
    fn has_room(&self, limit: usize) -> bool {
        self.jobs.len() < limit && self.bytes < MAX_PAGE_BYTES && self.examined < MAX_EXAMINED_JOBS
    }

    /// Adds a job without its result.
    fn push(&mut self, mut info: JobInfo) {
        info.result = None;
        info.result_base64 = None;
        let name = info.job_name.as_ref().map_or(0, String::len);
        self.bytes += JOB_INFO_BYTES + name + info.queue_name.len();
        self.jobs.push(info);
    }
}

impl Server {
    /// Returns a page of the jobs that match a filter, in the order of their submission.
    pub(super) fn list_jobs(
        &self,
        session: Option<String>,
        filter: &Filter,
        limit: Option<usize>,
        after: Option<String>,
    ) -> Result<JobPage, Problem> {
        let session = self.find_optional_session(session)?;
        let array = filter.job_array_id.as_deref();
        let array = array.map(|id| self.find_array(id)).transpose()?;
        let after = match after {
            Some(id) => Some(self.ids.parse(&id).ok_or_else(Problem::unknown_job)?),
            None => None,
        };
        let limit = limit.unwrap_or(DEFAULT_PAGE_JOBS).clamp(1, MAX_PAGE_JOBS);
        let mut jobs = self.candidates(array, session, after);
        let mut page = PageBuilder {
            jobs: Vec::new(),
            bytes: 0,
            examined: 0,
            last_examined: after,
        };
        let mut is_complete = false;
        while page.has_room(limit) {
            let Some(job) = jobs.next() else {
                is_complete = true;
                break;
            };
            page.last_examined = Some(job.key);
            page.examined += 1;
            let is_in_session = session.is_none() || job.session == session;
            if is_in_session && self.matches_filter(job, filter) {
                page.push(job.info(&self.ids, self.session_name(job)));
            }
        }
        let next = page
            .last_examined
            .filter(|_| !is_complete && jobs.next().is_some());
        Ok(JobPage {
            jobs: page.jobs,
            next: next.map(|key| self.ids.id(key).to_string()),
        })
    }

    /// The jobs to examine, in key order after `after`: those of the array or the session if one is given, otherwise
    /// all.
    fn candidates(
        &self,
        array: Option<ArrayKey>,
        session: Option<SessionKey>,
        after: Option<JobKey>,
    ) -> Box<dyn Iterator<Item = &Job> + '_> {
        let members = array.map(|array| &self.arrays[&array].members);
        let session_jobs = session
            .and_then(|session| self.sessions.get(session))
            .map(|session| &session.jobs);
        match members.or(session_jobs) {
            Some(keys) => {
                let from = after.map_or(Unbounded, Excluded);
                let keys = keys.range((from, Unbounded));
                Box::new(keys.filter_map(|key| self.jobs.get(*key)))
            }
            None => Box::new(self.jobs.iter_after(after)),
        }
    }

    /// Whether a job is visible and matches a filter. The filter's array is ignored: the candidates are already limited
    /// to it.
    fn matches_filter(&self, job: &Job, filter: &Filter) -> bool {
        let submitted_ms = job.submitted_at.0 / 1000;
        job.visibility == Visibility::Visible
            && filter
                .job_id
                .as_ref()
                .is_none_or(|id| self.ids.parse(id) == Some(job.key))
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
            && filter
                .submitted_from_ms
                .is_none_or(|from| submitted_ms >= from)
            && filter
                .submitted_before_ms
                .is_none_or(|before| submitted_ms < before)
    }
}
