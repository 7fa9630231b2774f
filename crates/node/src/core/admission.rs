//! Stage 2, admission: the dispatcher's decision on a request that it does not serve is carried out at once. The node
//! neither overrides nor delays it. Here, too, are the ways in which a request ends without a worker: its client
//! leaves, it is cancelled, or the process is about to end.

use super::{Core, FinalAnswer};
use marbledeck_dispatcher::{Event, Micros, RequestId, WorkerListKind};

impl Core {
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Micros>) {
        self.finish(id, FinalAnswer::Rejected(retry_after));
    }

    pub(super) fn fail(&mut self, id: RequestId) {
        self.finish(id, FinalAnswer::Failed);
    }

    /// The client has left: no answer is owed any more. Attempts in flight end as they will. Returns when the last
    /// attempt was sent that may have run.
    pub fn handle_client_left(&mut self, now: Micros, id: RequestId) -> Option<Micros> {
        let last_attempt_sent_at = self
            .table
            .get(id)
            .and_then(|request| request.last_attempt_sent_at());
        if self.table.close(id) {
            self.counts.clients_left += 1;
            self.pending.push_back(Event::ClientLeft(id));
            self.table.remove_if_done(id);
            self.decide(now);
        }
        last_attempt_sent_at
    }

    /// Cancels a request for which no attempt was ever made; it gets no answer. Returns whether it was cancelled.
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

    /// Ends every open request, since the process is about to be killed: a client that gets an answer can come back
    /// to the process that has replaced this one. The dispatcher decides how each ends, as it does where no worker is
    /// left.
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
            // A request that was never sent waits for this timer.
            self.pending.push_back(Event::TimerExpired(id.into()));
            self.decide(now);
        }
    }

    /// Fails a request that has no answer after its deadline. The attempts' timeouts, due before, have let the
    /// dispatcher answer; this guards the rule that each accepted request gets an answer.
    pub(super) fn fail_overdue(&mut self, id: RequestId) {
        if self.finish(id, FinalAnswer::Failed) {
            log::error!("request {} had no answer at its deadline", id.0);
            self.pending.push_back(Event::ClientLeft(id));
        }
    }
}
