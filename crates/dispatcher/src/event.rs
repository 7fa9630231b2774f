//! Events that the caller passes to a dispatcher.

use crate::{ClassId, Micros, RequestId, TenantId, TimerId, WorkerEntry, WorkerId, WorkerListKind};

/// A worker's load report. Invalid values of free slots and memory are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
    /// Jobs in flight at the worker now, running and queued, according to the count that all
    /// dispatchers keep together.
    pub in_flight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker served it.
    Served,
    /// The worker answered with an error; the attempt may have run.
    Failed,
    /// The worker rejected it; the attempt never ran.
    Rejected,
    /// No answer arrived in time; the attempt may have run.
    TimedOut,
    /// The connection could not be opened; the attempt never ran.
    ConnectFailed,
    /// The connection was lost; the attempt may have run.
    Reset,
    /// It was cancelled; the attempt may have run.
    Cancelled,
    /// It was never sent.
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

/// A job that a client has submitted.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Id of this request; a client's retry has another one.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// How much longer the client waits for the answer.
    pub time_left: Micros,
    /// Expected run time on a worker of speed 1, if known.
    pub expected_work: Option<Micros>,
    /// Slots that it needs; values below 1 count as 1.
    pub slots: f64,
    /// Memory that it needs.
    pub memory: f64,
}

/// The end of an attempt. There is exactly one for each [`Action::Send`](crate::Action::Send).
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request is closed, by this outcome or before it.
    pub request_closed: bool,
    /// Time since the attempt was sent.
    pub latency: Micros,
    /// The worker's load report, if the answer carried one.
    pub report: Option<LoadReport>,
}

/// An event for a dispatcher to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client has submitted a job.
    JobReceived(Job),
    /// The worker list, or changes of it.
    WorkerList {
        /// Which part of the list the event carries.
        kind: WorkerListKind,
        /// Its entries.
        workers: Vec<WorkerEntry>,
    },
    /// An attempt has started to run.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// The response of a streamed job has started; the attempt no longer times out.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// The client of this request has disconnected.
    ClientLeft(RequestId),
    /// A probe has ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How the probe ended.
        outcome: Outcome,
        /// The worker's load report, if the answer carried one.
        report: Option<LoadReport>,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) has expired.
    TimerExpired(TimerId),
}
