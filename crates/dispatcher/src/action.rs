//! Actions that a dispatcher requests from its caller.

use crate::{Micros, RequestId, TimerId, WorkerId};

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered from 0 in the order in which they are
    /// sent.
    Send {
        /// The request.
        request: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// If given, the last byte of the attempt must be sent before this time.
        send_before: Option<Micros>,
    },
    /// Final answer: reject the request. The client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// After how long the client should retry, if it is told.
        retry_after: Option<Micros>,
    },
    /// Final answer: fail the request. It may have run, so a retry may run it again.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// Probe a worker.
    Probe(WorkerId),
    /// Pass in [`Event::TimerExpired`](crate::Event::TimerExpired) at this time.
    SetTimer {
        /// When the timer expires.
        at: Micros,
        /// The timer.
        timer: TimerId,
    },
    /// Watch the worker list for changes.
    WatchWorkers,
}
