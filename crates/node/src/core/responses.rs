//! Stage 5, responses: reports the progress and end of attempts to the dispatcher, and passes a result to the client.

use super::table::AttemptState;
use super::{Command, Core, FinalAnswer};
use marbledeck_dispatcher::{AttemptEnded, Event, LoadReport, Micros, Outcome, RequestId};
use std::fmt;

/// How an attempt has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The kind of end.
    pub outcome: Outcome,
    /// The worker's result; only with [`Outcome::Served`].
    pub result: Option<Vec<u8>>,
    /// The worker's load, if it was reported with the end.
    pub report: Option<LoadReport>,
}

impl AttemptEnd {
    /// An end without a result and without a load report.
    pub fn new(outcome: Outcome) -> Self {
        Self::with_report(outcome, None)
    }

    /// An end without a result.
    pub fn with_report(outcome: Outcome, report: Option<LoadReport>) -> Self {
        AttemptEnd {
            outcome,
            result: None,
            report,
        }
    }
}

/// Formats the free slots of a load report for the log.
pub(super) struct FreeSlots(pub Option<LoadReport>);

impl fmt::Display for FreeSlots {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0.and_then(|report| report.free_slots) {
            Some(free) => write!(f, "{free:.1}")?,
            None => f.write_str("-")?,
        }
        let in_flight = self.0.and_then(|report| report.in_flight);
        in_flight.map_or(Ok(()), |count| write!(f, ", in flight {count}"))
    }
}

impl Core {
    /// Records that a worker has started to run an attempt.
    pub fn handle_attempt_started(&mut self, now: Micros, id: RequestId, attempt: u32) {
        let Some(in_flight) = self.table.in_flight(id, attempt) else {
            return;
        };
        if in_flight.state == AttemptState::InFlight {
            in_flight.state = AttemptState::Running(now);
        }
        let worker = in_flight.worker;
        if !self.table.is_closed(id) {
            self.commands.push_back(Command::RequestRunning(id, worker));
        }
        self.pending.push_back(Event::AttemptStarted {
            request: id,
            attempt,
        });
        self.decide(now);
    }

    /// Handles the end of an attempt. A second end, or the end of a cancelled attempt, is ignored.
    pub fn handle_attempt_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        mut end: AttemptEnd,
    ) {
        if self.table.in_flight(id, attempt).is_none() {
            return;
        }
        let result = end.result.take();
        if let Some(result) = result.filter(|_| end.outcome == Outcome::Served) {
            self.finish(id, FinalAnswer::Served(result));
        }
        self.end_attempt(now, id, attempt, end);
        self.decide(now);
    }

    /// Records the end of an attempt in flight and queues it for the dispatcher.
    pub(super) fn end_attempt(&mut self, now: Micros, id: RequestId, number: u32, end: AttemptEnd) {
        let AttemptEnd {
            outcome, report, ..
        } = end;
        let Some(attempt) = self.table.in_flight(id, number) else {
            return;
        };
        let started = match attempt.state {
            AttemptState::Running(since) => Some(since),
            _ => None,
        };
        attempt.state = if outcome.never_ran() {
            AttemptState::NeverRan
        } else {
            AttemptState::Ended
        };
        let (worker, sent) = (attempt.worker, attempt.sent);
        if let Some(timer) = attempt.timer.take() {
            self.timers.remove(timer);
        }
        let latency = now - sent;
        log::trace!(
            "call {}.{number} worker {:016x} {outcome:?}: waited {} ran {} us, free {}",
            id.0,
            worker.0,
            started.map_or(latency, |since| since - sent).0,
            started.map_or(Micros(0), |since| now - since).0,
            FreeSlots(report)
        );
        let needs = self.table.get(id).map(|request| request.needs.clone());
        if let Some(needs) = needs {
            self.release_seats(now - latency, &needs, outcome);
        }
        let request_closed = self.table.is_closed(id);
        self.counts.record_outcome(outcome);
        self.commands.push_back(Command::AttemptEnded(worker));
        if started.is_some() && !request_closed {
            self.requeue_candidates.push(id);
        }
        self.pending.push_back(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt: number,
            worker,
            outcome,
            request_closed,
            latency,
            report,
        }));
        self.remove_if_done(id);
    }
}
