//! Stage 4, attempts: passes an attempt to the worker connections, and ends it when it times out or is cancelled.

use super::responses::AttemptEnd;
use super::timers::Timer;
use super::{AttemptCommand, Command, Core};
use marbledeck_dispatcher::{Micros, Outcome, RequestId};

impl Core {
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        number: u32,
        send_before: Option<Micros>,
    ) {
        let Some(request) = self.table.get(id) else {
            return;
        };
        let deadline = request.deadline;
        let attempt = &mut request.attempts[number as usize];
        let worker = attempt.worker;
        attempt.timer = Some(self.timers.add(deadline, Timer::Attempt(id, number)));
        let payload = request.payload.clone();
        self.remember_id(id);
        self.counts.attempts += 1;
        log::trace!("call {}.{number} to {:016x}", id.0, worker.0);
        self.commands
            .push_back(Command::StartAttempt(AttemptCommand {
                request: id,
                attempt: number,
                worker,
                payload,
                deadline,
                send_before,
            }));
    }

    pub(super) fn time_out(&mut self, now: Micros, id: RequestId, attempt: u32) {
        self.abandon_attempt(now, id, attempt, Outcome::TimedOut);
    }

    pub(super) fn cancel(&mut self, now: Micros, id: RequestId, attempt: u32) {
        self.abandon_attempt(now, id, attempt, Outcome::Cancelled);
    }

    fn abandon_attempt(&mut self, now: Micros, id: RequestId, attempt: u32, outcome: Outcome) {
        if self.table.in_flight(id, attempt).is_some() {
            self.commands.push_back(Command::CancelAttempt {
                request: id,
                attempt,
            });
            self.end_attempt(now, id, attempt, AttemptEnd::new(outcome));
        }
    }
}
