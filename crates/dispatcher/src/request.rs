//! What is remembered of a request and its attempts. Nothing is decided here.

use crate::{Job, Micros, Outcome, WorkerEntry, WorkerId};

/// One send of a request to a worker.
#[derive(Default)]
pub(crate) struct Attempt {
    /// Its worker, as it was then.
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

    /// Whether it is proved that it never ran.
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

/// A request that is not over, or whose attempts have not all ended.
pub(crate) struct Request {
    pub job: Job,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    /// It has had its final answer, or needs none.
    pub finished: bool,
    /// Seconds until its buckets have a token; it has paid if zero.
    pub token_wait: f64,
    /// The workers probed for it that have not answered yet.
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

    /// How long ago it came.
    pub fn age(&self, now: Micros) -> Micros {
        now - Micros(self.deadline.0 - self.job.time_left.0)
    }

    /// Whether it was sent to this worker.
    pub fn was_sent_to(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|a| a.worker.worker == worker)
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether none of its attempts is running, and it is not over.
    pub fn is_waiting(&self) -> bool {
        !self.finished && !self.attempts.iter().any(Attempt::is_running)
    }
}
