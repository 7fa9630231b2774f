//! Stage 3, routing: checks that an attempt chosen by the dispatcher can still be made, and numbers it.

use super::table::{Attempt, AttemptState};
use super::Core;
use marbledeck_dispatcher::{AttemptEnded, Event, Micros, Outcome, RequestId, WorkerId};

impl Core {
    /// Starts an attempt at this worker. One that can no longer be made is reported as not sent, since the dispatcher
    /// expects exactly one end for each send.
    pub(super) fn route(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        send_before: Option<Micros>,
    ) {
        let max_attempts = self.max_attempts as usize;
        let Some(request) = self.table.get(id) else {
            return log::error!(
                "request {} is no longer in the table; ignoring a send for it",
                id.0
            );
        };
        let number = request.attempts.len() as u32;
        let is_open = !request.closed && now < request.deadline;
        let allowed = is_open && request.attempts.len() < max_attempts;
        let needs = request.needs.clone();
        // An attempt without a licence seat is not sent; the dispatcher then decides how the request continues.
        let allowed = allowed && self.acquire_seats(now, &needs);
        let Some(request) = self.table.get(id) else {
            return;
        };
        let state = if allowed {
            AttemptState::InFlight
        } else {
            AttemptState::NeverRan
        };
        request.attempts.push(Attempt {
            worker,
            sent: now,
            state,
            is_written: false,
            timer: None,
        });
        if allowed {
            return self.start_attempt(id, number, send_before);
        }
        let request_closed = request.closed;
        self.pending.push_back(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt: number,
            worker,
            outcome: Outcome::NotSent,
            request_closed,
            latency: Micros(0),
            report: None,
        }));
    }
}
