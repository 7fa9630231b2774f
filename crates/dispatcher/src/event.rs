//! What the caller tells a dispatcher.

use crate::{ClassId, Micros, RequestId, TenantId, TimerId, WorkerEntry, WorkerId, WorkerListKind};

/// A worker's load report. Values that make no sense are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
    /// The jobs in flight at the worker at this moment, running and queued, as all dispatchers
    /// count them together.
    pub in_flight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The worker answered with an error; it may have run.
    Failed,
    /// Rejected by the worker unseen.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// Not connected; it never ran.
    ConnectFailed,
    /// Connection lost; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A job that a client has handed over.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// This try.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// How long the client goes on waiting.
    pub time_left: Micros,
    /// Work expected, at speed 1, where known.
    pub expected_work: Option<Micros>,
    /// Slots it takes; 0 counts as 1.
    pub slots: f64,
    /// Memory it takes.
    pub memory: f64,
}

/// The end of an attempt; exactly one for each send.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the request is over, by this outcome or earlier.
    pub request_closed: bool,
    /// Time since the send.
    pub latency: Micros,
    /// The worker's report, if one came along.
    pub report: Option<LoadReport>,
}

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client has handed over a job.
    JobReceived(Job),
    /// The list of workers, or part of it.
    WorkerList {
        /// How much of the list this is.
        kind: WorkerListKind,
        /// Its entries.
        workers: Vec<WorkerEntry>,
    },
    /// An attempt has begun to run.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// The answer of a streamed job has begun: its time-out no longer runs.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// The client has left.
    ClientLeft(RequestId),
    /// A probe has ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How the probe ended.
        outcome: Outcome,
        /// The worker's report, if one came along.
        report: Option<LoadReport>,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) has expired.
    TimerExpired(TimerId),
}
