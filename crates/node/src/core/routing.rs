//! Stage 3, route: checks that a send the dispatcher wants can be made at all, and numbers the call.

use super::table::Call;
use super::Core;
use marbledeck_dispatcher::{AttemptEnded, Event, Micros, Outcome, RequestId, WorkerId};

impl Core {
    /// A send that can no longer be made is moot, and told so: each send gets exactly one end.
    pub(super) fn route(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        latest: Option<Micros>,
    ) {
        let most = self.attempts as usize;
        let Some(invocation) = self.table.get(id) else {
            return log::error!("a send for invocation {}, which is over", id.0);
        };
        let attempt = invocation.calls.len() as u32;
        let may =
            !invocation.answered && now < invocation.deadline && invocation.calls.len() < most;
        let needs = invocation.needs.clone();
        // A call that finds no seat is moot, as one that finds no worker would be: the dispatcher goes on from there.
        let may = may && self.seat(now, &needs);
        let Some(invocation) = self.table.get(id) else {
            return;
        };
        invocation.calls.push(Call {
            worker,
            sent: now,
            out: may,
            started: None,
            never_ran: !may,
        });
        if may {
            return self.send(id, attempt, latest);
        }
        let closed = invocation.answered;
        self.pending.push_back(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            worker,
            outcome: Outcome::NotSent,
            request_closed: closed,
            latency: Micros(0),
            report: None,
        }));
    }
}
