//! Queries of jobs, queues and machines, and control operations.

use super::request::decode;
use super::Client;
use crate::Error;
use marbledeck_submission::message::{
    ArrayInfo, Filter, JobInfo, JobInfoAnswer, JobPage, Machine, Operation, Queue,
};
use serde::Deserialize;

/// Number of jobs requested per page.
const PAGE_JOBS: usize = 256;

/// The result of a control operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlSummary {
    /// Number of jobs whose state was changed.
    pub changed: usize,
    /// Number of jobs whose state does not allow the operation.
    pub rejected: usize,
}

/// The answer to a control operation; the counts are absent if the operation was on a single job.
#[derive(Deserialize)]
#[serde(rename = "Many")]
struct ControlAnswer {
    changed: Option<usize>,
    #[serde(rename = "refused")]
    rejected: Option<usize>,
}

/// The answer to `getJobArray`.
#[derive(Deserialize)]
#[serde(rename = "One", rename_all = "camelCase")]
struct ArrayAnswer {
    job_array: ArrayInfo,
}

/// The answer to `getAllQueues`.
#[derive(Deserialize)]
struct Queues {
    queues: Vec<Queue>,
}

/// A line of the answer to `getAllMachines`.
#[derive(Deserialize)]
struct Machines {
    machines: Vec<Machine>,
}

impl Client {
    /// Returns the information of a job.
    ///
    /// # Errors
    /// `INVALID_ARGUMENT` if there is no such job.
    pub fn job_info(&self, job_id: &str) -> Result<JobInfo, Error> {
        let job_id = job_id.to_owned();
        let answer: JobInfoAnswer = self.call(Operation::GetJobInfo { job_id })?;
        Ok(answer.job_info)
    }

    /// Returns the information of a job array.
    ///
    /// # Errors
    /// `INVALID_ARGUMENT` if there is no such job array.
    pub fn job_array(&self, job_array_id: &str) -> Result<ArrayInfo, Error> {
        let job_array_id = job_array_id.to_owned();
        let answer: ArrayAnswer = self.call(Operation::GetJobArray { job_array_id })?;
        Ok(answer.job_array)
    }

    /// Passes each job that matches the filter to `handle_job`; `None` lists the jobs of all sessions.
    ///
    /// # Errors
    /// If the request fails or there is no such session.
    pub fn list_jobs(
        &self,
        session: Option<&str>,
        filter: &Filter,
        mut handle_job: impl FnMut(JobInfo),
    ) -> Result<(), Error> {
        let mut after = None;
        loop {
            let page: JobPage = self.call(Operation::ListJobs {
                session: session.map(str::to_owned),
                filter: filter.clone(),
                limit: Some(PAGE_JOBS),
                after,
            })?;
            page.jobs.into_iter().for_each(&mut handle_job);
            after = page.next;
            if after.is_none() {
                return Ok(());
            }
        }
    }

    /// Sends a control operation: terminate, hold, release, suspend, resume or reap.
    ///
    /// # Errors
    /// The node's problem if no job was changed.
    pub fn control(&self, operation: Operation) -> Result<ControlSummary, Error> {
        let answer: ControlAnswer = self.call(operation)?;
        Ok(ControlSummary {
            changed: answer.changed.unwrap_or(1),
            rejected: answer.rejected.unwrap_or(0),
        })
    }

    /// Returns all queues.
    ///
    /// # Errors
    /// If the request fails.
    pub fn queues(&self) -> Result<Vec<Queue>, Error> {
        let answer: Queues = self.call(Operation::GetAllQueues { names: None })?;
        Ok(answer.queues)
    }

    /// Returns all machines.
    ///
    /// # Errors
    /// If the request fails.
    pub fn machines(&self) -> Result<Vec<Machine>, Error> {
        let mut machines = Vec::new();
        for line in self.call_lines(Operation::GetAllMachines { names: None })? {
            machines.extend(decode::<Machines>(line)?.machines);
        }
        Ok(machines)
    }
}
