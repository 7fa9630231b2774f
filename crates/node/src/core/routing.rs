//! Stage 3, routing: checks that a send which the dispatcher wants can still be made, and numbers the attempt.

use super::table::{Attempt, AttemptState};
use super::Core;
use marbledeck_dispatcher::{AttemptEnded, Event, Micros, Outcome, RequestId, WorkerId};

impl Core {
    /// Starts an attempt at this worker. One that can no longer be made is reported as not sent: the dispatcher hears
    /// of exactly one end for each send.
    pub(super) fn route(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        send_before: Option<Micros>,
    ) {
        let max_attempts = self.max_attempts as usize;
        let Some(request) = self.table.get(id) else {
            return log::error!("a send for request {}, which is over", id.0);
        };
        let number = request.attempts.len() as u32;
        let is_open = !request.closed && now < request.deadline;
        let allowed = is_open && request.attempts.len() < max_attempts;
        let needs = request.needs.clone();
        // An attempt without a licence seat ends like one without a worker: the dispatcher goes on from there.
        let allowed = allowed && self.take_seats(now, &needs);
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
