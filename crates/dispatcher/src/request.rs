//! State of a request and its attempts. Holds no policy.

use crate::{Job, Micros, Outcome, WorkerEntry, WorkerId};

/// One send of a request to a worker.
#[derive(Default)]
pub(crate) struct Attempt {
    /// List entry of its worker at the time of the send.
    pub worker: WorkerEntry,
    pub sent_at: Micros,
    pub started_at: Option<Micros>,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn new(worker: WorkerEntry, sent_at: Micros) -> Self {
        Attempt {
            worker,
            sent_at,
            ..Attempt::default()
        }
    }

    /// Whether its outcome proves that it never ran.
    pub fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }

    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it is in flight and has not started.
    pub fn is_queued(&self) -> bool {
        self.is_in_flight() && self.started_at.is_none()
    }

    /// Whether it is in flight and has started.
    pub fn is_running(&self) -> bool {
        self.is_in_flight() && self.started_at.is_some()
    }
}

/// A request that is not finished, or has attempts in flight.
pub(crate) struct Request {
    pub job: Job,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    /// Whether it has its final answer, or needs none because the client has left.
    pub finished: bool,
    /// Seconds until its token buckets hold a token, as of its arrival; zero if it was charged.
    pub token_wait: f64,
    /// Workers that were probed for it and have not answered yet.
    pub pending_probes: Vec<WorkerId>,
}

impl Request {
    pub fn new(now: Micros, job: Job, token_wait: f64) -> Self {
        Request {
            deadline: now + job.time_left,
            job,
            attempts: Vec::new(),
            finished: false,
            token_wait,
            pending_probes: Vec::new(),
        }
    }

    /// Time since its arrival.
    pub fn age(&self, now: Micros) -> Micros {
        now - Micros(self.deadline.0 - self.job.time_left.0)
    }

    /// Whether any of its attempts was sent to this worker.
    pub fn was_sent_to(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|a| a.worker.worker == worker)
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether it is not finished and none of its attempts is running.
    pub fn is_waiting(&self) -> bool {
        !self.finished && !self.attempts.iter().any(Attempt::is_running)
    }
}
