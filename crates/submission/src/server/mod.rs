//! The protocol's server without sockets, clock or scheduler. It handles the lines that clients send, produces the
//! lines that are sent to them, and passes jobs to a [`Scheduler`].
//!
//! The caller reports [connections](Server::handle_connect) and passes in a client's line while the server
//! [accepts](Server::accepts_line) lines of that client. It takes the [output lines](Server::next_line) of each
//! [client that has any](Server::take_readable_clients). After the scheduler has decided on the jobs of a turn,
//! [`Server::answer_submissions`] answers their submissions. Each call does a bounded amount of work; [`Server::wake`],
//! which must be called at the time that [`Server::next_wake`] returns, continues with the rest.

mod arrays;
mod bulk;
mod capabilities;
mod client;
mod control;
mod dispatch;
mod handover;
mod lifecycle;
mod listing;
mod notification;
mod operations;
mod sessions;
mod submission;
mod tasks;
mod waits;

pub use client::ClientId;

use crate::error::{ErrorId, Problem};
use crate::ids::{ArrayKey, IdRegistry, JobKey};
use crate::jobs::{JobLocation, JobOutcome, JobTable};
use crate::limits::{Limits, Usage};
use crate::message::Request;
use crate::scheduler::Scheduler;
use crate::sessions::Sessions;
use crate::state::{Change, SubState};
use arrays::JobArray;
use client::{Client, Task};
use handover::Handover;
use marbledeck_dispatcher::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use submission::Admission;
use waits::Waits;

/// The maximum number of due or ready jobs handled in one turn.
const MAX_JOBS_PER_TURN: usize = 256;
/// The maximum number of tasks continued in one turn.
const MAX_TASKS_PER_TURN: usize = 8;
/// The maximum of a timeout or a relative deadline, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 24 * 3600 * 1000;
/// The usual retry hint, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;
/// The retry hint of a node that shuts down, in milliseconds: by then another node should be serving.
const SHUTDOWN_RETRY_AFTER_MS: u64 = 2000;

/// The server's side of the protocol.
pub struct Server {
    limits: Limits,
    ids: IdRegistry,
    jobs: JobTable,
    sessions: Sessions,
    arrays: BTreeMap<ArrayKey, JobArray>,
    clients: HashMap<ClientId, Client>,
    waits: Waits,
    /// The clients that receive a job's state changes because of `notify`.
    watchers: HashMap<JobKey, Vec<ClientId>>,
    /// Submissions of this turn that are not answered yet.
    admissions: Vec<Admission>,
    /// Clients whose task can continue, in the order in which they are served.
    task_queue: VecDeque<ClientId>,
    /// Arrays that may have a member to pass to the scheduler.
    ready_arrays: BTreeSet<ArrayKey>,
    /// When paused arrays become ready again.
    paused_arrays: BTreeSet<(Micros, ArrayKey)>,
    /// Clients that have output to read.
    readable_clients: BTreeSet<ClientId>,
    /// Whether the node is shutting down, so that new jobs are rejected.
    is_shutting_down: bool,
    handover: Handover,
}

impl Server {
    /// Creates an empty server. The ids of its jobs begin with `prefix`, which must differ between starts of the node.
    pub fn new(limits: Limits, prefix: String) -> Self {
        let sessions = Sessions::new(
            limits.max_sessions,
            limits.max_session_events,
            limits.session_idle_timeout,
        );
        Server {
            ids: IdRegistry::new(prefix),
            jobs: JobTable::new(limits.retention, limits.max_jobs, limits.max_bytes),
            sessions,
            limits,
            arrays: BTreeMap::new(),
            clients: HashMap::new(),
            waits: Waits::default(),
            watchers: HashMap::new(),
            admissions: Vec::new(),
            task_queue: VecDeque::new(),
            ready_arrays: BTreeSet::new(),
            paused_arrays: BTreeSet::new(),
            readable_clients: BTreeSet::new(),
            is_shutting_down: false,
            handover: Handover::default(),
        }
    }

    /// Adds a client that has connected.
    pub fn handle_connect(&mut self, client: ClientId) {
        self.clients.insert(client, Client::default());
    }

    /// Removes a client that has disconnected. Its jobs continue; the members of a bulk job that were not submitted yet
    /// are dropped.
    pub fn handle_disconnect(&mut self, now: Micros, client: ClientId) {
        let Some(removed) = self.clients.remove(&client) else {
            return;
        };
        for wait in removed.waits {
            self.remove_wait(wait);
        }
        for job in removed.watched_jobs {
            self.unwatch(job, client);
        }
        for open in removed.open_sessions {
            self.close_session(now, open.session, client);
        }
        if let Some(Task::Bulk(bulk)) = removed.task {
            self.finish_growing(bulk.array);
        }
        self.readable_clients.remove(&client);
    }

    /// The number of connected clients.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// The server's current resource usage.
    pub fn usage(&self) -> Usage {
        Usage {
            jobs: self.jobs.len(),
            bytes: self.jobs.bytes(),
            sessions: self.sessions.len(),
            arrays: self.arrays.len(),
            waits: self.waits.len(),
        }
    }

    /// Whether the next line of a client may be passed in: all its requests are answered, and the answers are read.
    pub fn accepts_line(&self, client: ClientId) -> bool {
        !self.is_paused() && self.clients.get(&client).is_some_and(Client::is_idle)
    }

    /// Whether a handover keeps the server from accepting lines of any client.
    pub fn is_paused(&self) -> bool {
        self.handover.pauses_clients()
    }

    /// Whether nothing remains to be sent to a client that sends no more requests, so that its connection can be
    /// closed.
    pub fn is_done_with(&self, client: ClientId) -> bool {
        let is_done = |client: &Client| {
            client.is_idle() && client.waits.is_empty() && client.open_sessions.is_empty()
        };
        self.clients.get(&client).is_none_or(is_done)
    }

    /// Returns the clients that have had new output since the last call.
    pub fn take_readable_clients(&mut self) -> Vec<ClientId> {
        std::mem::take(&mut self.readable_clients)
            .into_iter()
            .collect()
    }

    /// Rejects all new jobs from now on, because the node is shutting down.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    /// Rejects all jobs that were not passed to the scheduler, which would be lost because no successor takes them
    /// over.
    pub fn reject_waiting(&mut self, now: Micros) {
        for key in self.jobs.keys_at(JobLocation::Waiting) {
            let problem = Problem::try_later("the node is shutting down", SHUTDOWN_RETRY_AFTER_MS);
            let outcome = JobOutcome::not_run(problem);
            self.end_job(now, key, Change::Fail, Some(SubState::Rejected), outcome);
        }
    }

    /// When [`Server::wake`] must be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let has_work = !self.task_queue.is_empty() || !self.ready_arrays.is_empty();
        let job_times = [
            has_work.then_some(Micros(0)),
            self.jobs.next_due(),
            self.paused_arrays.first().map(|(time, _)| *time),
        ];
        // Jobs that are being sent to a successor are no longer started by this process.
        let job_times = job_times
            .into_iter()
            .filter(|_| !self.is_sending_handover());
        let other_times = [
            self.waits.next_timeout(),
            self.sessions.next_expiry(),
            self.handover.receive_deadline(),
        ];
        job_times.chain(other_times).flatten().min()
    }

    /// Handles due jobs and timeouts, and continues the tasks of clients.
    pub fn wake(&mut self, now: Micros, scheduler: &mut dyn Scheduler) {
        self.handover.expire(now);
        self.sessions.expire(now);
        self.expire_waits(now);
        if self.is_sending_handover() {
            return;
        }
        for _ in 0..MAX_JOBS_PER_TURN {
            let Some(key) = self.jobs.pop_due(now) else {
                break;
            };
            self.handle_due_job(now, key, scheduler);
        }
        self.resume_paused_arrays(now);
        self.dispatch_arrays(now, scheduler);
        for _ in 0..self.task_queue.len().min(MAX_TASKS_PER_TURN) {
            let Some(client) = self.task_queue.pop_front() else {
                break;
            };
            self.continue_task(now, client, scheduler);
        }
    }

    /// Handles a line of a client.
    pub fn handle_line(
        &mut self,
        now: Micros,
        client: ClientId,
        line: &[u8],
        scheduler: &mut dyn Scheduler,
    ) {
        let request: Request = match serde_json::from_slice(line) {
            Ok(request) => request,
            Err(error) => {
                let value: Value = serde_json::from_slice(line).unwrap_or_default();
                let seq = value.get("seq").cloned().unwrap_or_default();
                return self.send_answer(
                    client,
                    &seq,
                    Problem::invalid_argument(error.to_string()),
                );
            }
        };
        let seq = request.seq;
        if let Err(problem) = self.handle_operation(now, client, &seq, request.op, scheduler) {
            self.send_answer(client, &seq, problem);
        }
    }
}

/// Converts a Unix time in milliseconds to the node's clock.
fn micros_of_unix_ms(ms: u64) -> Micros {
    Micros(ms.saturating_mul(1000))
}

/// Converts the retry hint of a problem to a time span.
fn retry_pause(problem: &Problem) -> Micros {
    Micros(1000 * problem.retry_after_ms.unwrap_or(RETRY_AFTER_MS))
}

/// The problem of a session that does not exist or is not open.
fn invalid_session(message: impl Into<String>) -> Problem {
    Problem::new(ErrorId::InvalidSession, message)
}
