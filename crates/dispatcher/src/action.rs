//! What a dispatcher asks of its caller.

use crate::{Micros, RequestId, TimerId, WorkerId};

/// Something that the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered from 0 in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Where given, the attempt's last byte has to leave before this moment.
        send_before: Option<Micros>,
    },
    /// Final: reject; trying again does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// The time to come back after.
        retry_after: Option<Micros>,
    },
    /// Final: failed, nothing is promised.
    Fail(RequestId),
    /// Give up waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// Probe a worker.
    Probe(WorkerId),
    /// Hand back [`Event::TimerExpired`](crate::Event::TimerExpired) at this moment.
    SetTimer {
        /// When it expires.
        at: Micros,
        /// The timer.
        timer: TimerId,
    },
    /// Watch the worker list for changes.
    WatchWorkers,
}
