//! Stage 2, admission: carries out the dispatcher's decision to reject or fail a request, immediately and unchanged.
//!
//! Also ends requests for reasons other than a worker's response: the client disconnects, the request is cancelled, or
//! the process is about to exit.

use super::{Core, FinalAnswer};
use marbledeck_dispatcher::{Event, Micros, RequestId, WorkerListKind};

impl Core {
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Micros>) {
        self.finish(id, FinalAnswer::Rejected(retry_after));
    }

    pub(super) fn fail(&mut self, id: RequestId) {
        self.finish(id, FinalAnswer::Failed);
    }

    /// Closes a request whose client has disconnected; it gets no answer, and attempts in flight are left to
    /// finish. Returns the start time of the last attempt that may have run.
    pub fn handle_client_left(&mut self, now: Micros, id: RequestId) -> Option<Micros> {
        let last_attempt_sent_at = self
            .table
            .get(id)
            .and_then(|request| request.last_attempt_sent_at());
        if self.close(id) {
            self.counts.clients_left += 1;
            self.pending.push_back(Event::ClientLeft(id));
            self.remove_if_done(id);
            self.decide(now);
        }
        last_attempt_sent_at
    }

    /// Cancels a request that is open and has had no attempt; it gets no answer. Returns whether it was cancelled.
    pub fn cancel_if_unsent(&mut self, now: Micros, id: RequestId) -> bool {
        let unsent = self
            .table
            .get(id)
            .is_some_and(|request| !request.closed && request.attempts.is_empty());
        if unsent {
            self.handle_client_left(now, id);
        }
        unsent
    }

    /// Ends an open request instead of sending its next attempt: it is rejected if none of its attempts may have run, and
    /// fails otherwise. The next attempt is withdrawn, since its request is closed.
    pub fn end_unsent(&mut self, now: Micros, id: RequestId) {
        let request = self.table.get(id);
        let may_have_run = request.is_some_and(|request| request.may_have_run());
        let answer = if may_have_run {
            FinalAnswer::Failed
        } else {
            FinalAnswer::Rejected(None)
        };
        if self.finish(id, answer) {
            self.pending.push_back(Event::ClientLeft(id));
            self.decide(now);
        }
    }

    /// Ends every open request because the process is about to be killed. Clients that get an answer can retry at the
    /// successor process. The dispatcher decides how each request ends, as it does when no worker is left.
    pub fn end_open_requests(&mut self, now: Micros) {
        self.apply_worker_list(now, WorkerListKind::Full, Vec::new());
        for id in self.table.open_requests() {
            let attempts = self
                .table
                .get(id)
                .map_or(0, |request| request.attempts.len());
            for attempt in 0..attempts as u32 {
                self.time_out(now, id, attempt);
            }
            // A request that was never sent is only ended by its dispatcher timer.
            self.pending.push_back(Event::TimerExpired(id.into()));
            self.decide(now);
        }
    }

    /// Fails a request that still has no answer after its deadline. The attempts' timeouts expire earlier and normally
    /// let the dispatcher answer; this is a safeguard so that each accepted request gets an answer.
    pub(super) fn fail_overdue(&mut self, id: RequestId) {
        if self.finish(id, FinalAnswer::Failed) {
            log::error!("request {} had no answer by its deadline; failing it", id.0);
            self.pending.push_back(Event::ClientLeft(id));
        }
    }
}
