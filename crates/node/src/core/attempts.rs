//! Stage 4, send: hands a call to the worker links and sees to its time-out and its withdrawal.

use super::timers::Due;
use super::{AttemptCommand, Command, Core};
use marbledeck_dispatcher::{Micros, Outcome, RequestId};

impl Core {
    pub(super) fn send(&mut self, id: RequestId, attempt: u32, latest: Option<Micros>) {
        let Some(invocation) = self.table.get(id) else {
            return;
        };
        let until = invocation.deadline;
        let worker = invocation.calls[attempt as usize].worker;
        let work = invocation.payload.clone();
        self.timers.add(until, Due::Attempt(id, attempt));
        self.counts.calls += 1;
        log::trace!("call {}.{attempt} to {:016x}", id.0, worker.0);
        self.commands
            .push_back(Command::StartAttempt(AttemptCommand {
                request: id,
                attempt,
                worker,
                payload: work,
                deadline: until,
                send_before: latest,
            }));
    }

    pub(super) fn time_out(&mut self, now: Micros, id: RequestId, attempt: u32) {
        self.stop_waiting(now, id, attempt, Outcome::TimedOut);
    }

    pub(super) fn cancel(&mut self, now: Micros, id: RequestId, attempt: u32) {
        self.stop_waiting(now, id, attempt, Outcome::Cancelled);
    }

    fn stop_waiting(&mut self, now: Micros, id: RequestId, attempt: u32, outcome: Outcome) {
        if self.table.out(id, attempt).is_some() {
            self.commands.push_back(Command::CancelAttempt {
                request: id,
                attempt,
            });
            self.back(now, id, attempt, outcome, None);
        }
    }
}
