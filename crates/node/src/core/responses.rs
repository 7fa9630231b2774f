//! Stage 5, relay: what comes back from the workers goes to the dispatcher, and a result to the consumer.

use super::{Command, Core, FinalAnswer};
use marbledeck_dispatcher::{AttemptEnded, Event, LoadReport, Micros, Outcome, RequestId};
use std::fmt;

/// What a report tells of free slots, for the log.
pub(super) struct Told(pub Option<LoadReport>);

impl fmt::Display for Told {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0.and_then(|report| report.free_slots) {
            Some(free) => write!(f, "{free:.1}")?,
            None => f.write_str("-")?,
        }
        let held = self.0.and_then(|report| report.in_flight);
        held.map_or(Ok(()), |held| write!(f, ", held {held}"))
    }
}

impl Core {
    /// A worker has begun to run a call.
    pub fn handle_attempt_started(&mut self, now: Micros, id: RequestId, attempt: u32) {
        let Some(call) = self.table.out(id, attempt) else {
            return;
        };
        call.started.get_or_insert(now);
        let worker = call.worker;
        if self.table.get(id).is_some_and(|i| !i.answered) {
            self.commands.push_back(Command::RequestRunning(id, worker));
        }
        self.pending.push_back(Event::AttemptStarted {
            request: id,
            attempt,
        });
        self.decide(now);
    }

    /// A call has ended; `result` comes with [`Outcome::Served`] and is what the worker made. An end told twice, or
    /// told of a call that was given up, is ignored.
    pub fn handle_attempt_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        result: Option<Vec<u8>>,
        report: Option<LoadReport>,
    ) {
        if self.table.out(id, attempt).is_none() {
            return;
        }
        if let Some(result) = result.filter(|_| outcome == Outcome::Served) {
            self.finish(id, FinalAnswer::Served(result));
        }
        self.back(now, id, attempt, outcome, report);
        self.decide(now);
    }

    /// Notes the end of a call that is out, for the dispatcher to hear of.
    pub(super) fn back(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(call) = self.table.out(id, attempt) else {
            return;
        };
        call.out = false;
        let started = call.started;
        call.never_ran = outcome.never_ran();
        let (worker, latency) = (call.worker, now - call.sent);
        log::trace!(
            "call {}.{attempt} worker {:016x} {outcome:?}: waited {} ran {} us, free {}",
            id.0,
            worker.0,
            started.map_or(latency, |at| at - call.sent).0,
            started.map_or(Micros(0), |at| now - at).0,
            Told(report)
        );
        let needs = self.table.get(id).map(|i| i.needs.clone());
        if let Some(needs) = needs {
            self.unseat(now - latency, &needs, outcome);
        }
        let closed = self.table.get(id).is_none_or(|i| i.answered);
        self.counts.end(outcome);
        self.commands.push_back(Command::AttemptEnded(worker));
        if started.is_some() && !closed {
            self.returned.push(id);
        }
        self.pending.push_back(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            worker,
            outcome,
            request_closed: closed,
            latency,
            report,
        }));
        self.table.forget(id);
    }
}
