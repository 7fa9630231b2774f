//! Stage 2, admit: the dispatcher's word on an invocation that it does not serve, carried out at once. The node
//! neither overrides nor delays it.

use super::{Core, FinalAnswer};
use marbledeck_dispatcher::{Event, Micros, RequestId, WorkerListKind};

impl Core {
    pub(super) fn reject(&mut self, id: RequestId, come_back: Option<Micros>) {
        self.finish(id, FinalAnswer::Rejected(come_back));
    }

    pub(super) fn fail(&mut self, id: RequestId) {
        self.finish(id, FinalAnswer::Failed);
    }

    /// The consumer has left: no answer is owed any more. Calls that are out come back as they will. Tells the
    /// last send that may have run.
    pub fn handle_client_left(&mut self, now: Micros, id: RequestId) -> Option<Micros> {
        let sent = self.table.get(id).and_then(|i| i.last_sent());
        if self.table.answer(id) {
            self.counts.gone += 1;
            self.pending.push_back(Event::ClientLeft(id));
            self.table.forget(id);
            self.decide(now);
        }
        sent
    }

    /// Takes an invocation back for which no call was ever made: it gets no answer. Tells whether it could be.
    pub fn cancel_if_unsent(&mut self, now: Micros, id: RequestId) -> bool {
        let unsent = self
            .table
            .get(id)
            .is_some_and(|i| !i.answered && i.calls.is_empty());
        if unsent {
            self.handle_client_left(now, id);
        }
        unsent
    }

    /// Ends all that is still open, since the process is about to be killed: a consumer that hears so can come back to
    /// the process that has replaced this one. The dispatcher says how each ends, as it does where no worker is left.
    pub fn end_open_requests(&mut self, now: Micros) {
        self.apply_worker_list(now, WorkerListKind::Full, Vec::new());
        for id in self.table.open() {
            let calls = self.table.get(id).map_or(0, |i| i.calls.len());
            for attempt in 0..calls as u32 {
                self.time_out(now, id, attempt);
            }
            // One that was never sent waits for this.
            self.pending.push_back(Event::TimerExpired(id.into()));
            self.decide(now);
        }
    }

    /// Guards the rule that nothing taken is lost: the attempts' time-outs, due before, have let the dispatcher
    /// answer; one that has said nothing by now is answered for it.
    pub(super) fn overdue(&mut self, id: RequestId) {
        if self.finish(id, FinalAnswer::Failed) {
            log::error!("invocation {} had no answer at its deadline", id.0);
            self.pending.push_back(Event::ClientLeft(id));
        }
    }
}
