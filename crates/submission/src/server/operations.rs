//! Dispatches the operation of a request to its handler.

use super::bulk::BulkRequest;
use super::capabilities::{capabilities, drms_info};
use super::client::{ClientId, Output};
use super::control::ControlAction;
use super::waits::WaitGoal;
use super::Server;
use crate::error::{ErrorId, Problem};
use crate::ids::JobKey;
use crate::message::{Machine, Operation, Targets};
use crate::scheduler::Scheduler;
use marbledeck_dispatcher::Micros;
use serde_json::{json, Value};

/// The maximum number of machines in one line of an answer; a large fleet exceeds the maximum length of a line.
const MACHINES_PER_LINE: usize = 200;

impl Server {
    /// Executes an operation, which sends its answer immediately or in a later turn.
    ///
    /// # Errors
    /// The problem that the caller must send as the answer.
    #[expect(
        clippy::too_many_lines,
        reason = "a table with one entry per operation"
    )]
    pub(super) fn handle_operation(
        &mut self,
        now: Micros,
        client: ClientId,
        seq: &Value,
        operation: Operation,
        scheduler: &mut dyn Scheduler,
    ) -> Result<(), Problem> {
        use ControlAction as Action;
        let mut control = |server: &mut Server, action, targets: &Targets| {
            server.control(now, client, seq, action, targets, scheduler)
        };
        match operation {
            Operation::RunJob {
                template,
                notify,
                session,
            } => self.handle_run_job(now, client, seq, template, notify, session, scheduler),
            Operation::RunBulkJobs {
                template,
                begin_index,
                end_index,
                step,
                max_parallel,
                notify,
                session,
            } => {
                let bulk = BulkRequest {
                    template,
                    begin_index,
                    end_index,
                    step,
                    max_parallel,
                    notify,
                    session,
                };
                self.handle_run_bulk_jobs(now, client, seq, bulk, scheduler)
            }
            Operation::GetJobInfo { job_id } => {
                let job = self.find_job(&job_id)?;
                let seq = seq.clone();
                self.send(client, Output::JobInfo { seq, job });
                Ok(())
            }
            Operation::GetJobArray { job_array_id } => {
                let info = self.array_info(self.find_array(&job_array_id)?);
                self.send_answer(client, seq, json!({ "jobArray": info }));
                Ok(())
            }
            Operation::WaitStarted { job_id, timeout_ms } => {
                let targets = Targets::job(job_id);
                self.wait(now, client, seq, &targets, WaitGoal::Started, timeout_ms)
            }
            Operation::WaitTerminated { job_id, timeout_ms } => {
                let targets = Targets::job(job_id);
                self.wait(now, client, seq, &targets, WaitGoal::Ended, timeout_ms)
            }
            Operation::WaitAnyStarted {
                targets,
                timeout_ms,
            } => self.wait(now, client, seq, &targets, WaitGoal::Started, timeout_ms),
            Operation::WaitAnyTerminated {
                targets,
                timeout_ms,
            } => self.wait(now, client, seq, &targets, WaitGoal::Ended, timeout_ms),
            Operation::Terminate { targets } => control(self, Action::Terminate, &targets),
            Operation::Hold { targets } => control(self, Action::Hold, &targets),
            Operation::Release { targets } => control(self, Action::Release, &targets),
            Operation::Suspend { targets } => control(self, Action::Suspend, &targets),
            Operation::Resume { targets } => control(self, Action::Resume, &targets),
            Operation::Reap { targets } => control(self, Action::Reap, &targets),
            Operation::ListJobs {
                session,
                filter,
                limit,
                after,
            } => {
                let page = self.list_jobs(session, &filter, limit, after)?;
                self.send_answer(client, seq, page);
                Ok(())
            }
            Operation::CreateSession { name } => {
                self.handle_create_session(now, client, seq, &name)
            }
            Operation::OpenSession { name, since } => {
                self.handle_open_session(now, client, seq, &name, since)
            }
            Operation::CloseSession { name } => self.handle_close_session(now, client, seq, &name),
            Operation::DestroySession { name } => self.handle_destroy_session(client, seq, &name),
            Operation::ListSessions => {
                let body = json!({ "sessions": self.sessions.names() });
                self.send_answer(client, seq, body);
                Ok(())
            }
            Operation::GetAllQueues { names } => {
                let mut queues = scheduler.queues();
                queues.retain(|queue| is_named(names.as_deref(), &queue.name));
                self.send_answer(client, seq, json!({ "queues": queues }));
                Ok(())
            }
            Operation::GetAllMachines { names } => {
                let mut machines = scheduler.machines(now);
                machines.retain(|machine| is_named(names.as_deref(), &machine.name));
                self.send_machines(client, seq, &machines);
                Ok(())
            }
            Operation::GetAllReservations => {
                let message =
                    "reservations are not supported: see ADVANCE_RESERVATION in the capabilities";
                Err(Problem::new(ErrorId::UnsupportedOperation, message))
            }
            Operation::GetCapabilities => {
                self.send_answer(client, seq, capabilities(&self.limits));
                Ok(())
            }
            Operation::GetDrmsInfo => {
                self.send_answer(client, seq, drms_info());
                Ok(())
            }
        }
    }

    /// Sends the machines, split into lines of bounded length.
    fn send_machines(&mut self, client: ClientId, seq: &Value, machines: &[Machine]) {
        let mut parts: Vec<&[Machine]> = machines.chunks(MACHINES_PER_LINE).collect();
        let last = parts.pop().unwrap_or_default();
        for part in parts {
            self.send_answer(client, seq, json!({ "machines": part, "more": true }));
        }
        self.send_answer(client, seq, json!({ "machines": last }));
    }

    /// The visible job with this id.
    pub(super) fn find_job(&self, id: &str) -> Result<JobKey, Problem> {
        let is_visible = |key: &JobKey| {
            let job = self.jobs.get(*key);
            job.is_some_and(|job| !job.is_admitting())
        };
        let key = self.ids.parse(id);
        key.filter(is_visible).ok_or_else(Problem::unknown_job)
    }

    /// The jobs that the targets name.
    pub(super) fn resolve_targets(&self, targets: &Targets) -> Result<Vec<JobKey>, Problem> {
        let Targets {
            job_id,
            job_ids,
            job_array_id,
            session,
        } = targets;
        match (job_id, job_ids, job_array_id, session) {
            (Some(id), None, None, None) => Ok(vec![self.find_job(id)?]),
            (None, Some(ids), None, None) if !ids.is_empty() => {
                ids.iter().map(|id| self.find_job(id)).collect()
            }
            (None, None, Some(id), None) => {
                let array = &self.arrays[&self.find_array(id)?];
                Ok(array.members.iter().copied().collect())
            }
            (None, None, None, Some(name)) => {
                let session = self.sessions.get(self.find_session(name)?);
                let jobs = session.into_iter().flat_map(|session| &session.jobs);
                Ok(jobs.copied().collect())
            }
            _ => Err(Problem::invalid_argument(
                "exactly one of jobId, jobIds, jobArrayId and session must be set",
            )),
        }
    }
}

/// Whether a list of names contains a name; a missing list contains every name.
fn is_named(names: Option<&[String]>, name: &str) -> bool {
    names.is_none_or(|names| names.iter().any(|known| known == name))
}
